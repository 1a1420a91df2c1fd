"""Servers for the cases of review/: plain ones and model servers.

``python3 server3.py KIND NAME ADDRESS LOG OPTIONS`` runs one server as a
process of its own; ``OPTIONS`` is a JSON object.  They speak what PROTOCOL.md
says under "Servers" and "Model placement", with the standard library alone.
Each line of ``LOG`` is a JSON object with the time (CLOCK_MONOTONIC) and what
happened.
"""

import asyncio
import json
import os
import signal
import sys
import time

STAMP = "3e1b.07.5a2.600.0.c9f2a4d1"
REQUEST_ID = "coltsfootsail-request-id"
REPORT_LAG_S = 0.1


class Log:
    """Writes what happens to a file, a line at once."""

    def __init__(self, path, name):
        self._file = open(path, "a", buffering=1)
        self._name = name

    def add(self, event, **fields):
        line = {"s": round(time.monotonic(), 4), "server": self._name}
        self._file.write(json.dumps({**line, "event": event, **fields}) + "\n")


async def read_request(reader):
    """Read a request; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    method, target, _ = first.split(" ", 2)
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers.setdefault(name.strip().lower(), value.strip())
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return method, target, headers, body


def encode(status, headers, body=b""):
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"content-length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


class PlainServer:
    """Runs ``slots`` requests at once, each for ``work_s``, and queues more.

    A waiting or running request is dropped when its connection closes.
    """

    def __init__(self, name, log, options):
        self.name = name
        self.log = log
        self.work_s = options.get("work_s", 0.09)
        self.large_bytes = options.get("large_bytes", 49152)
        self._slots = asyncio.Semaphore(options.get("slots", 6))

    def misdirected(self, headers):
        expected = headers.get("coltsfootsail-expect-instance", self.name)
        return expected != self.name

    async def serve(self, reader, writer):
        pending = None
        try:
            while True:
                req = await (pending or read_request(reader))
                pending = None
                if req is None:
                    return
                pending = await self.handle(req, reader, writer)
                if pending is None:
                    return
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            if pending is not None:
                pending.cancel()
            writer.close()

    async def handle(self, req, reader, writer):
        """Answer a request.

        :returns: the task that reads the next one; None to close.
        """
        method, target, headers, _ = req
        request_id = headers.get(REQUEST_ID, "")
        base = [(REQUEST_ID, request_id)]
        if self.misdirected(headers):
            self.log.add("misdirected", id=request_id)
            writer.write(encode(421, base))
            return asyncio.ensure_future(read_request(reader))
        following = asyncio.ensure_future(read_request(reader))
        work = asyncio.ensure_future(self.work(request_id, target))
        await asyncio.wait(
            (following, work), return_when=asyncio.FIRST_COMPLETED
        )
        if following.done() and following.result() is None:
            work.cancel()
            self.log.add("dropped", id=request_id)
            return None
        await work
        body = f"stock of {target}".encode()
        if target.startswith("/catalogue/"):
            body = (body + b"\n").ljust(self.large_bytes, b"x")
        headers = [*base, ("Coltsfootsail-Server-Stamp", STAMP)]
        writer.write(encode(200, headers, body))
        await writer.drain()
        return following

    async def work(self, request_id, target):
        async with self._slots:
            self.log.add("run", id=request_id, target=target)
            await asyncio.sleep(self.work_s)
            self.log.add("done", id=request_id)


class ModelServer(PlainServer):
    """Streams ``events`` events, ``event_s`` apart, in chunks.

    Options: ``drops`` tells whether a run ends when its connection closes.  A
    request for the adapter ``crashes_on`` ends the server as it begins to run.
    On SIGHUP the runs are preempted for ``pause_s``: they bring no event
    meanwhile.
    """

    def __init__(self, name, log, options):
        super().__init__(name, log, options)
        self.events = options.get("events", 20)
        self.event_s = options.get("event_s", 0.1)
        self.drops = options.get("drops", True)
        self.model = options.get("model", "base")
        self.crashes_on = options.get("crashes_on", "")
        self.pause_s = options.get("pause_s", 4.0)
        self._paused_until_s = 0.0
        self.sequence = 0
        self.adapters = {}
        self.running = {}
        self._shown = None

    def listen_to_signals(self):
        """Preempt the runs on SIGHUP."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self._preempt)

    def _preempt(self):
        self._paused_until_s = time.monotonic() + self.pause_s
        self.log.add("preempts", ids=list(self.running))

    def take_report(self):
        return {
            "stage": "both",
            "models": [
                {
                    "name": self.model,
                    "version": 1,
                    "adapters": [f"{a}@{v}" for a, v in self.adapters.items()],
                }
            ],
            "busy": False,
            "seq": self.sequence,
            "waiting": 0,
            "running": len(self.running),
            "runs": [[each, 100, 0, 5] for each in self.running],
            "kvUsed": 0,
            "kvTotal": 120000,
            "handles": 0,
            "pending": [],
            "state": "ready",
        }

    async def keep_report(self):
        """Show reports as of ``REPORT_LAG_S`` ago."""
        while True:
            report = self.take_report()
            await asyncio.sleep(REPORT_LAG_S)
            self._shown = report

    async def handle(self, req, reader, writer):
        _, target, headers, body = req
        if target == "/v1/report":
            if self.misdirected(headers):
                writer.write(encode(421, ()))
            else:
                report = json.dumps(self._shown or self.take_report())
                kind = [("content-type", "application/json")]
                writer.write(encode(200, kind, report.encode()))
            return asyncio.ensure_future(read_request(reader))
        if target == "/v1/order":
            writer.write(encode(self.order(headers, json.loads(body)), ()))
            return asyncio.ensure_future(read_request(reader))
        return await self.stream(headers, reader, writer)

    def order(self, headers, order):
        if self.misdirected(headers):
            return 421
        self.log.add("order", **order)
        if order.get("expected", self.sequence) != self.sequence:
            return 409
        adapter = order.get("adapter")
        if adapter is None:
            return 200
        if order["op"] == "unload":
            if self.adapters.pop(adapter, None) is not None:
                self.sequence += 1
            return 200
        version = order.get("version", 1)
        if self.adapters.get(adapter) == version:
            return 200
        self.sequence += 1
        self.adapters[adapter] = version
        return 202

    async def stream(self, headers, reader, writer):
        request_id = headers.get(REQUEST_ID, "")
        base = [(REQUEST_ID, request_id)]
        model, _, adapter = headers.get("coltsfootsail-model", "").partition(
            "/"
        )
        is_absent = model != self.model or (
            adapter and adapter not in self.adapters
        )
        if self.misdirected(headers) or is_absent:
            writer.write(encode(421, base))
            return asyncio.ensure_future(read_request(reader))
        following = asyncio.ensure_future(read_request(reader))
        after = int(headers.get("last-event-id") or 0)
        if adapter and adapter == self.crashes_on:
            self.log.add("crashes", id=request_id, adapter=adapter)
            os._exit(1)
        run = asyncio.ensure_future(self.run(request_id, after, writer))
        if self.drops:
            await asyncio.wait(
                (following, run), return_when=asyncio.FIRST_COMPLETED
            )
            if following.done() and following.result() is None:
                run.cancel()
                await asyncio.wait((run,))
                return None
        await run
        return following

    async def run(self, request_id, after, writer):
        self.log.add("begins", id=request_id, after=after)
        self.running[request_id] = None
        end = "dropped"
        try:
            head = [
                "HTTP/1.1 200 OK",
                f"{REQUEST_ID}: {request_id}",
                f"Coltsfootsail-Server-Stamp: {STAMP}",
                "Content-Type: text/event-stream",
                "Transfer-Encoding: chunked",
            ]
            writer.write("\r\n".join([*head, "", ""]).encode())
            for number in range(after + 1, self.events + 1):
                await asyncio.sleep(self.event_s)
                while time.monotonic() < self._paused_until_s:
                    await asyncio.sleep(0.05)
                event = f"id: {number}\ndata: {request_id} {number}\n\n"
                data = b"%x\r\n%s\r\n" % (len(event), event.encode())
                if not writer.is_closing():
                    writer.write(data)
            if not writer.is_closing():
                writer.write(b"0\r\n\r\n")
            end = "ends"
        finally:
            self.running.pop(request_id, None)
            self.log.add(end, id=request_id)


async def main(kind, name, address, path, options):
    host, port = address.rsplit(":", 1)
    server = KINDS[kind](name, Log(path, name), options)
    listener = await asyncio.start_server(
        server.serve, host, int(port), backlog=256
    )
    server.log.add("started")
    keeper = None
    if kind == "model":
        server.listen_to_signals()
        keeper = asyncio.ensure_future(server.keep_report())
    await listener.serve_forever()


KINDS = {"plain": PlainServer, "model": ModelServer}

if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:5], json.loads(sys.argv[5])))
