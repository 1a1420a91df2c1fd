"""Good and bad answers of the servers of a soak, and records of their runs."""

import math
import os
import time

import trio

from coltsfootsail import _http
from coltsfootsail import _tasks
from coltsfootsail.platform import messages
from coltsfootsail.standins import servers
from tests.soak import protocol
from tests.soak import records

STALL_S = (0.5, 3.2)  # during which a server's process does nothing
LIMITS_PER_S = (0.0, 0.3, 1.0, 2.5)
LIMITED_S = (8.0, 12.0)  # during which a server names a limit
BUSY_S = (3.0, 6.0)  # during which a server refuses all requests
RETRY_AFTERS_S = (0.9, 2.0, 4.0)
ENDLESS_PART = b"x" * 65536
ENDLESS_PARTS = 2000  # 131 MB
BRITTLE_AFTER_S = 4.0  # from a server's start
IDLE_TIMEOUTS_S = (0.15, 0.6, 2.0, 60.0)  # after which servers close


class FaultyAnswers:
    """Answers requests, some of them badly, and records every run.

    Each behaviour is ``async (req, resp, work)``; ``work`` answers rightly.

    :param name: the server's name.
    :param writer: a ``records.Writer``.
    :param rng: source of randomness.
    :param share: of the requests that are answered badly.
    :param names: keys of ``BEHAVIOURS`` to choose from.
    """

    def __init__(self, name, writer, rng, share, names):
        self._name = name
        self._writer = writer
        self._rng = rng
        self._share = share
        self._runs = 0
        self.limit_per_s = None
        self.leaving = False
        self.retry_after_s = None
        self.speaking = trio.Event()
        self.speaking.set()
        self.brittle = 0
        self._full_s = []
        self.running = set()
        self._extra = {}
        self._unwatched = set()
        self._stalling = set()
        self._breaking = set()
        self.open_runs = 0
        self._behaviours = [BEHAVIOURS[each] for each in names]

    def head(self, req):
        """Get the headers that all answers to a request have."""
        headers = protocol.echo(req)
        if self.limit_per_s is not None:
            headers.append((messages.SERVER_LIMIT, str(self.limit_per_s)))
        if self.brittle:
            headers.append((messages.SERVER_BRITTLE, str(self.brittle)))
        if self.leaving:
            headers.append((messages.SERVER_LEAVING, "1"))
            self._record_statement(req, "leaving")
        return headers

    def _record_statement(self, req, what, for_s=0.0):
        attempt = req.header(messages.REQUEST_ID)
        self._writer.write(
            records.Statement(
                records.now_s(), self._name, attempt, what, for_s
            )
        )

    async def be_busy(self, pause_s):
        """Refuse all requests with a retry time for a while, again and again.

        :param pause_s: mean pause between these times.
        """
        while True:
            await trio.sleep(self._rng.expovariate(1 / pause_s))
            self.retry_after_s = self._rng.choice(RETRY_AFTERS_S)
            await trio.sleep(self._rng.uniform(*BUSY_S))
            self.retry_after_s = None

    async def name_limits(self, pause_s):
        """Name a limit for a while, again and again.

        :param pause_s: mean pause between limits.
        """
        while True:
            await trio.sleep(self._rng.expovariate(1 / pause_s))
            self._set_limit(self._rng.choice(LIMITS_PER_S))
            await trio.sleep(self._rng.uniform(*LIMITED_S))
            self._set_limit(None)

    def _set_limit(self, per_s):
        self.limit_per_s = per_s
        record = records.Limit(records.now_s(), self._name, per_s)
        self._writer.write(record)

    async def become_brittle(self, refusals_per_s):
        """State after a while how many refusals a second can be borne."""
        await trio.sleep(BRITTLE_AFTER_S)
        self.brittle = refusals_per_s

    async def refuse_for_want_of_room(self, req, resp):
        """Refuse a request; end the process after too many of these."""
        now_s = records.now_s()
        self._full_s = [each for each in self._full_s if each > now_s - 1.0]
        self._full_s.append(now_s)
        if self.brittle and len(self._full_s) > self.brittle:
            self._writer.write(records.Fall(now_s, self._name))
            os._exit(1)
        await self.refuse(req, resp)

    def crash(self, req):
        """Record that a request ends this process, and end it."""
        self._writer.write(
            records.Crash(
                records.now_s(), self._name, req.header(messages.REQUEST_ID)
            )
        )
        os._exit(1)

    def note_arrival(self, req):
        """Record that a request has arrived."""
        record = records.Arrival(
            records.now_s(), self._name, req.header(messages.REQUEST_ID)
        )
        self._writer.write(record)

    async def answer(self, req, resp, work):
        """Answer a request by one of the behaviours."""
        if self.retry_after_s is not None:
            await self._refuse_for_a_while(req, resp)
            return
        extra = self._extra.pop(resp.stream, None)
        if extra is not None:
            await resp.stream.send_all(extra)
        if self._rng.random() < self._share:
            behave = self._rng.choice(self._behaviours)
            await behave(self, req, resp, work)
        else:
            await work(req, resp)

    async def serve(self, stream, handler):
        """Serve one connection until it has been idle for a while."""
        idle_timeout_s = self._rng.choice(IDLE_TIMEOUTS_S)
        limits = _http.HttpLimits(idle_timeout_s=idle_timeout_s)
        await _http.serve_connection(stream, limits, handler)

    async def run(self, req, resp, work):
        """Record a run and do its work until the caller is gone.

        :param work: ``async ()``; returns how the run ended.
        """
        unwatched = self._take(self._unwatched, resp.stream)
        stalls = self._take(self._stalling, resp.stream)
        breaks = self._take(self._breaking, resp.stream)
        self._runs += 1
        run = f"{self._name}/{self._runs}"
        request_id = req.header(messages.REQUEST_ID)
        begin = records.RunBegin(
            records.now_s(),
            run,
            self._name,
            req.header(protocol.KIND),
            req.header(protocol.CONTENT),
            request_id,
        )
        self._writer.write(begin)
        self.open_runs += 1
        self.running.add(request_id)
        how = ["dropped"]
        if stalls:
            self._hang()

        async def work_until_hangup():
            with trio.CancelScope() as scope:

                async def watch():
                    if unwatched:
                        await trio.sleep_forever()
                    await resp.wait_hangup()
                    scope.cancel()

                how[0] = await _tasks.run_with_background(watch, work)

        break_s = self._rng.uniform(0.05, 0.4) if breaks else math.inf
        try:
            with trio.move_on_after(break_s) as scope:
                await work_until_hangup()
            if scope.cancelled_caught:
                how[0] = "broken"
                protocol.reset(resp.stream)
        finally:
            self.open_runs -= 1
            self.running.discard(request_id)
            self._writer.write(records.RunEnd(records.now_s(), run, how[0]))
        if how[0] != "done":
            raise trio.BrokenResourceError

    def _hang(self):
        """Do nothing in the whole process, as if it got no processor."""
        time.sleep(self._rng.uniform(*STALL_S))

    def record_order(self, order):
        """Record an order that has arrived."""
        record = records.Order(
            records.now_s(), self._name, order["holder"], order["fence"]
        )
        self._writer.write(record)

    @staticmethod
    def _take(streams, stream):
        found = stream in streams
        streams.discard(stream)
        return found

    async def refuse(self, req, resp, work=None):
        """Refuse a request and state that it was not run."""
        headers = [*self.head(req), (messages.NOT_RUN, "1")]
        await resp.reply(503, b"", headers)

    async def _refuse_for_a_while(self, req, resp):
        self._record_statement(req, "busy", self.retry_after_s)
        headers = [
            *self.head(req),
            (messages.NOT_RUN, "1"),
            (messages.RETRY_AFTER, str(self.retry_after_s)),
        ]
        await resp.reply(503, b"", headers)

    async def _refuse_and_repeat(self, req, resp, work):
        """Send the refusal again before the connection's next answer."""
        await self.refuse(req, resp)
        echo = "".join(
            f"{name}: {value}\r\n" for name, value in self.head(req)
        )
        self._extra[resp.stream] = (
            "HTTP/1.1 503 busy\r\n"
            f"{echo}{messages.NOT_RUN}: 1\r\ncontent-length: 0\r\n\r\n"
        ).encode()

    async def _refuse_and_close(self, req, resp, work):
        headers = [*self.head(req), (messages.NOT_RUN, "1")]
        await resp.reply(503, b"", [*headers, ("connection", "close")])

    async def _reset_unread(self, req, resp, work):
        protocol.reset(resp.stream)
        raise trio.BrokenResourceError

    async def _run_slowly(self, req, resp, work):
        await trio.sleep(self._rng.uniform(0.0, 0.1))
        await work(req, resp, self._rng.uniform(5.0, 20.0))

    async def _run_unwatched(self, req, resp, work):
        """Run slowly, and look at the connection only when writing."""
        self._unwatched.add(resp.stream)
        await self._run_slowly(req, resp, work)

    async def _run_and_stall(self, req, resp, work):
        """Begin to run, then let the whole process hang for a while."""
        self._stalling.add(resp.stream)
        await work(req, resp)

    async def _run_and_break(self, req, resp, work):
        """Reset the connection while the answer is written."""
        self._breaking.add(resp.stream)
        await work(req, resp)

    async def _run_and_reset(self, req, resp, work):
        async def end():
            await trio.sleep(self._rng.uniform(0.0, 0.1))
            protocol.reset(resp.stream)
            return "reset"

        await self.run(req, resp, end)

    async def _run_and_close(self, req, resp, work):
        async def end():
            await trio.sleep(self._rng.uniform(0.0, 0.1))
            return "closed"

        await self.run(req, resp, end)

    @staticmethod
    def _run_and_state(status):
        async def behave(self, req, resp, work):
            async def end():
                headers = [*self.head(req), servers.STAMP_HEADER]
                await resp.reply(status, b"busy", headers)
                return "done"

            await self.run(req, resp, end)

        return behave

    async def _run_and_truncate(self, req, resp, work):
        async def end():
            head = [*self.head(req), servers.STAMP_HEADER]
            await resp.start(200, [*head, ("content-length", "999")])
            await resp.write(b"do")
            return "truncated"

        await self.run(req, resp, end)

    async def _run_and_send_garbage(self, req, resp, work):
        async def end():
            await resp.stream.send_all(b"\x00\x01 no answer\r\n\r\n")
            return "garbage"

        await self.run(req, resp, end)

    async def _run_and_send_without_end(self, req, resp, work):
        """Send a body, for a stream an event, that has no end."""

        async def end():
            fields = [*self.head(req), servers.STAMP_HEADER]
            head = "".join(f"{name}: {value}\r\n" for name, value in fields)
            head = f"HTTP/1.1 200 OK\r\n{head}\r\ndata: "
            await resp.stream.send_all(head.encode())
            for _ in range(ENDLESS_PARTS):
                await resp.stream.send_all(ENDLESS_PART)
            return "endless"

        await self.run(req, resp, end)

    async def _answer_and_repeat(self, req, resp, work):
        """Send another answer before the connection's next one."""
        await work(req, resp)
        request_id = self._rng.choice((*self.head(req), ("x-none", "0")))
        self._extra[resp.stream] = (
            "HTTP/1.1 200 OK\r\n"
            f"{request_id[0]}: {request_id[1]}\r\n"
            f"{servers.STAMP_HEADER[0]}: {servers.STAMP_HEADER[1]}\r\n"
            "content-length: 5\r\n\r\nextra"
        ).encode()


BEHAVIOURS = {
    "refuse": FaultyAnswers.refuse,
    "refuse_and_repeat": FaultyAnswers._refuse_and_repeat,
    "refuse_and_close": FaultyAnswers._refuse_and_close,
    "reset_unread": FaultyAnswers._reset_unread,
    "run_slowly": FaultyAnswers._run_slowly,
    "run_and_reset": FaultyAnswers._run_and_reset,
    "run_and_break": FaultyAnswers._run_and_break,
    "run_and_close": FaultyAnswers._run_and_close,
    "run_and_408": FaultyAnswers._run_and_state(408),
    "run_and_429": FaultyAnswers._run_and_state(429),
    "run_and_503": FaultyAnswers._run_and_state(503),
    "run_and_500": FaultyAnswers._run_and_state(500),
    "run_and_truncate": FaultyAnswers._run_and_truncate,
    "run_and_send_garbage": FaultyAnswers._run_and_send_garbage,
    "run_and_send_without_end": FaultyAnswers._run_and_send_without_end,
    "answer_and_repeat": FaultyAnswers._answer_and_repeat,
    "run_unwatched": FaultyAnswers._run_unwatched,
    "run_and_stall": FaultyAnswers._run_and_stall,
}
