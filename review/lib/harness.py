"""A small deployment on loopback: gateways as processes, the rest here.

The gateways are the project's own program, started with the command of the
deploy file.  The store and the servers are the project's own stand-ins, or
subclasses of them, and run in this process.
"""

import contextlib
import itertools
import json
import os
import pathlib
import resource
import signal
import socket
import subprocess
import sys
import tempfile

import h11
import trio

from coltsfootsail import _net
from coltsfootsail.standins import servers
from coltsfootsail.standins import store
from coltsfootsail.standins import users

HELD, BROKEN, NOT_RUN = 0, 11, 2  # run.sh turns 11 into 1
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ROOT = pathlib.Path(__file__).resolve().parents[2]
HEARTBEAT_S = 1.2  # heartbeatMs of DEPLOY.md
EXPIRY_S = 3 * HEARTBEAT_S  # "after three heartbeat intervals of silence"
RESTART_S = 0.5  # "is restarted after a short delay"
BACKLOG = 16

# The bounds are those of sites/lmpar-core.toml, in the form that
# deploy/settings.toml gives them.
SETTINGS = """\
[node]
name = "{name}"
region = "here"
data_centre = "a"
caller_address = "{caller}"
peer_address = "{peer}"
admin_address = "{ready}"
seed_addresses = [{seeds}]

[platform]
kv_addresses = ["{store}"]

[lease]
ttl_s = 8
renew_s = 1.5
margin_s = 2.0

[gateway]
ready_address = "{ready}"
directory_address = "{directory}"
grace_s = 8.0
turn_s = 3000e-3
retry_ratio = 0.2
retry_extra = 58.0
retry_window_s = 10
news_s = 2000e-3
"""


ADAPTER_SLOTS = 17  # of lmpar-core


_hosts = itertools.count(2)


def free_addresses(names):
    """Choose loopback addresses with free ports.

    Each is on a host of its own, where no connection takes the port before
    it is listened on: connections begin at 127.0.0.1.
    """
    addresses = {}
    for name in names:
        number = next(_hosts)
        host = f"127.0.{number // 250}.{number % 250 + 2}"
        with socket.socket() as sock:
            sock.bind((host, 0))
            addresses[name] = f"{host}:{sock.getsockname()[1]}"
    return addresses


def make_configuration(version=1, **engine):
    """Make a configuration with engines like those of lmpar-core."""
    value = users.configuration(version)
    for service in value["services"]:
        if "engine" in service:
            service["engine"] = {
                **service["engine"],
                "adapterSlots": ADAPTER_SLOTS,
                **engine,
            }
    return value


class Record:
    """Writes ``record.txt``, with the time since the start of the script."""

    def __init__(self, folder):
        self._file = (folder / "record.txt").open("w")
        self._start_s = trio.current_time()

    def __call__(self, text):
        at_s = trio.current_time() - self._start_s
        self._file.write(f"{at_s:9.3f}  {text}\n")
        self._file.flush()

    def close(self):
        self._file.close()


class Gateway:
    """One gateway process."""

    def __init__(self, name, at, folder, record, descriptors=None):
        self._descriptors = descriptors
        self.name = name
        self.at = at
        self.exits = 0
        self._record = record
        self._path = folder / f"{name}.toml"
        self._log = folder / f"{name}.log"
        self.process = None
        self.stopping = False

    def write_settings(self, seeds, store_address):
        self._path.write_text(
            SETTINGS.format(
                name=self.name,
                seeds=", ".join(f'"{seed}"' for seed in seeds),
                store=store_address,
                **self.at,
            )
        )

    def start(self):
        env = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        command = ["python3", "-m", "coltsfootsail", "node", "--settings"]
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                [*command, str(self._path)],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                cwd=ROOT,
                env=env,
                preexec_fn=self._limit_descriptors,
            )
        self._record(f"{self.name} started, pid {self.process.pid}")

    def _limit_descriptors(self):
        if self._descriptors is not None:
            limits = self._descriptors, self._descriptors
            resource.setrlimit(resource.RLIMIT_NOFILE, limits)

    async def keep_running(self):
        """Start the process again whenever it ends, as the platform does."""
        while True:
            await trio.sleep(0.02)
            status = self.process.poll()
            if status is None or self.stopping:
                continue
            self.exits += 1
            self._record(f"{self.name} ENDED BY ITSELF, status {status}")
            for line in self.last_lines():
                self._record(f"    {line}")
            await trio.sleep(RESTART_S)
            self.start()

    def last_lines(self):
        """Get the error with which the process ended."""
        lines = self._log.read_text(errors="replace").splitlines()
        errors = [line.strip(" |") for line in lines if line[:1] != "{"]
        return [line for line in errors if "Error: " in line][-1:]

    def log_lines(self):
        for line in self._log.read_text(errors="replace").splitlines():
            with contextlib.suppress(ValueError):
                yield json.loads(line)

    def end(self):
        self.stopping = True
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Engine(servers.ModelServer):
    """A model server with a life: it listens, registers and may go dark.

    Dark means what a machine without power does: nothing is answered, and
    new connections hang.
    """

    def __init__(self, name, store_stand_in, address, models=None):
        super().__init__(name, store_stand_in, address)
        self.adapter_slots = ADAPTER_SLOTS
        self.is_dark = False
        self.is_out = False
        self._fillers = []
        self._scope = trio.CancelScope()
        self._accepting = trio.CancelScope()
        self.events = 30
        self.event_s = 0.05

    async def live(self, task_status=trio.TASK_STATUS_IGNORED):
        """Listen and write a heartbeat now and then until it is ended."""
        host, port = self.address.rsplit(":", 1)
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, int(port)))
        sock.listen(BACKLOG)
        listener = trio.SocketListener(trio.socket.from_stdlib_socket(sock))
        with self._scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._heartbeats)
                task_status.started()
                with self._accepting:
                    while True:
                        stream = await listener.accept()
                        nursery.start_soon(self._serve_stream, stream)
                await trio.sleep_forever()
        sock.close()
        for filler in self._fillers:
            filler.close()

    async def _serve_stream(self, stream):
        async with stream:
            with contextlib.suppress(
                OSError, trio.BrokenResourceError, trio.ClosedResourceError
            ):
                await self.serve(stream)

    async def _heartbeats(self):
        while not self.is_dark:
            self.register()
            await trio.sleep(HEARTBEAT_S)

    async def _handle(self, req, resp):
        await self._stop_if_dark()
        await super()._handle(req, resp)

    async def _event_numbers(self, run, after):
        async for number in super()._event_numbers(run, after):
            await self._stop_if_dark()
            yield number

    async def _stop_if_dark(self):
        if self.is_dark:
            await trio.sleep_forever()

    async def go_dark(self):
        """Answer nothing more; let new connections hang."""
        self.is_dark = True
        self._accepting.cancel()
        host, port = self.address.rsplit(":", 1)
        for _ in range(BACKLOG + 8):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((host, int(port)))
            self._fillers.append(filler)
        await trio.sleep(0)

    def end(self):
        """Close everything."""
        self._scope.cancel()


class Plain(servers.PlainServer):
    """A sound plain server that keeps its entry up to date."""

    def __init__(self, name, store_stand_in, address, slots=20):
        super().__init__(name)
        self.address = address
        self._store = store_stand_in
        self._slots = slots

    async def live(self, task_status=trio.TASK_STATUS_IGNORED):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._heartbeats)
            await nursery.start(
                _net.tcp_network().serve, self.address, self._serve
            )
            task_status.started()

    async def _serve(self, stream):
        with contextlib.suppress(
            OSError, trio.BrokenResourceError, trio.ClosedResourceError
        ):
            await self.serve(stream)

    async def _heartbeats(self):
        while True:
            entry = users.plain_entry(self.address)
            entry["slots"] = self._slots
            self._store.put(f"servers/{self.name}", entry)
            await trio.sleep(HEARTBEAT_S)


class Answer:
    """What a caller got.

    :param status: None if the connection ended before an answer.
    :param whole: whether the answer ended as complete.
    :param kept: whether the connection had carried a request before.
    """

    def __init__(self, request_id, kept):
        self.request_id = request_id
        self.kept = kept
        self.status = None
        self.headers = {}
        self.body = b""
        self.whole = False
        self.any_bytes = False


class Connection:
    """A caller's connection, kept open for many requests."""

    def __init__(self, address):
        self._address = address
        self._stream = None
        self._conn = None
        self._uses = 0

    async def open(self):
        host, port = self._address.rsplit(":", 1)
        with trio.fail_after(1.0):
            self._stream = await trio.open_tcp_stream(host, int(port))
        self._conn = h11.Connection(h11.CLIENT)
        self._uses = 0

    @property
    def is_open(self):
        return self._stream is not None

    async def close(self):
        stream, self._stream = self._stream, None
        if stream is not None:
            await trio.aclose_forcefully(stream)

    async def send(
        self,
        path,
        request_id,
        headers=(),
        body=b"x",
        timeout_s=15.0,
        method="POST",
        deadline_ms=5000,
    ):
        """Send one request.

        :raises OSError: if no connection can be made.
        """
        if not self.is_open:
            await self.open()
        answer = Answer(request_id, self._uses > 0)
        self._uses += 1
        fields = [
            ("host", users.HOST),
            ("coltsfootsail-request-id", request_id),
            ("coltsfootsail-deadline-ms", str(deadline_ms)),
            ("content-length", str(len(body))),
            *headers,
        ]
        req = h11.Request(method=method, target=path, headers=fields)
        events = [req, h11.Data(data=body), h11.EndOfMessage()]
        try:
            with trio.fail_after(timeout_s):
                await self._stream.send_all(
                    b"".join(map(self._conn.send, events))
                )
                await self._read(answer)
        except (
            OSError,
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            h11.RemoteProtocolError,
            trio.TooSlowError,
        ):
            await self.close()
            return answer
        if answer.headers.get("connection") == "close":
            await self.close()
        elif self._conn.our_state is h11.DONE:
            self._conn.start_next_cycle()
        else:
            await self.close()
        return answer

    async def _read(self, answer):
        parts = []
        try:
            while True:
                event = self._conn.next_event()
                if event is h11.NEED_DATA:
                    data = await self._stream.receive_some(65536)
                    answer.any_bytes = answer.any_bytes or bool(data)
                    self._conn.receive_data(data)
                elif isinstance(event, h11.Response):
                    answer.status = event.status_code
                    answer.headers = {
                        k.decode(): v.decode("latin-1")
                        for k, v in event.headers
                    }
                elif isinstance(event, h11.Data):
                    parts.append(bytes(event.data))
                elif isinstance(event, h11.EndOfMessage):
                    answer.whole = True
                    return
                elif isinstance(event, h11.ConnectionClosed):
                    raise h11.RemoteProtocolError("closed")
        finally:
            answer.body = b"".join(parts)


def prompt_headers(adapter, prompt=400, output=90):
    """Build the headers of a request to a model server."""
    return [
        ("coltsfootsail-model", adapter),
        ("coltsfootsail-tokens", f"{prompt},{output}"),
        (
            "coltsfootsail-prompt-prefix",
            f"aa01:{prompt // 2},bb02:{prompt // 2}",
        ),
    ]


class Deployment:
    """Gateways, a store, model servers and plain servers.

    :param nursery: runs the stand-ins.
    :param folder: for settings and logs.
    :param record: a ``Record``.
    """

    def __init__(
        self,
        nursery,
        folder,
        record,
        nodes=3,
        engines=2,
        plain=2,
        configuration=None,
        engine_class=Engine,
        plain_class=Plain,
        descriptors=None,
    ):
        self.nursery = nursery
        self.record = record
        self.store = store.StoreStandIn()
        self.numbers = itertools.count(1)
        parts = ("caller", "peer", "ready", "directory")
        names = [f"g{n}/{part}" for n in range(nodes) for part in parts]
        self.spare = [f"x{n}" for n in range(20)]
        addresses = free_addresses([*names, "store", *self.spare])
        self.addresses = addresses
        self.gateways = [
            Gateway(
                f"g{n}",
                {part: addresses[f"g{n}/{part}"] for part in parts},
                folder,
                record,
                descriptors,
            )
            for n in range(nodes)
        ]
        self.configuration = configuration or make_configuration()
        self.engine_class = engine_class
        self.plain_class = plain_class
        self.engines = []
        self.plain = []
        self._first = engines, plain

    def new_address(self):
        return self.addresses[self.spare.pop()]

    async def start(self):
        self.store.put("op/config", self.configuration)
        handler = self.store.connection_handler("store")

        async def serve_store(stream):
            with contextlib.suppress(
                OSError, trio.BrokenResourceError, trio.ClosedResourceError
            ):
                await handler(stream)

        await self.nursery.start(
            _net.tcp_network().serve, self.addresses["store"], serve_store
        )
        engines, plain = self._first
        for _ in range(engines):
            await self.add_engine()
        for number in range(plain):
            server = self.plain_class(
                f"i-s{number}", self.store, self.new_address()
            )
            self.plain.append(server)
            await self.nursery.start(server.live)
        seeds = [gateway.at["peer"] for gateway in self.gateways][:3]
        for gateway in self.gateways:
            gateway.write_settings(seeds, self.addresses["store"])
            gateway.start()
            self.nursery.start_soon(gateway.keep_running)

    async def add_engine(self, **fields):
        name = f"i-e{next(self.numbers)}"
        engine = self.engine_class(name, self.store, self.new_address())
        for key, value in fields.items():
            setattr(engine, key, value)
        self.engines.append(engine)
        await self.nursery.start(engine.live)
        self.record(f"model server {name} at {engine.address}")
        return engine

    async def wait_ready(self, timeout_s=20.0):
        """Wait until every gateway is ready and serves a request."""
        with trio.fail_after(timeout_s):
            for gateway in self.gateways:
                while not await self._is_ready(gateway):
                    await trio.sleep(0.1)

    async def _is_ready(self, gateway):
        conn = Connection(gateway.at["ready"])
        try:
            answer = await conn.send("/v1/readyz", "", method="GET", body=b"")
            return answer.status == 200
        except (OSError, trio.TooSlowError):
            return False
        finally:
            await conn.close()

    def end(self):
        for gateway in self.gateways:
            gateway.end()


_current = {}


def current_record():
    """Get the ``Record`` of the script."""
    return _current["record"]


def _stop(signum, frame):
    raise SystemExit(NOT_RUN)


def run(main, folder, **options):
    """Run ``async main(deployment, record)``, which returns the exit code."""
    folder = pathlib.Path(folder)
    signal.signal(signal.SIGTERM, _stop)

    async def start():
        record = _current["record"] = Record(folder)
        result = NOT_RUN
        with tempfile.TemporaryDirectory() as scratch:
            async with trio.open_nursery() as nursery:
                deployment = Deployment(
                    nursery, pathlib.Path(scratch), record, **options
                )
                try:
                    with trio.move_on_after(115.0):
                        await deployment.start()
                        await deployment.wait_ready()
                        result = await main(deployment, record)
                finally:
                    deployment.end()
                    for gateway in deployment.gateways:
                        keep = os.environ.get("KEEP_LOGS")
                        if keep:
                            text = gateway._log.read_text(errors="replace")
                            (
                                pathlib.Path(keep) / f"{gateway.name}.log"
                            ).write_text(text)
                    nursery.cancel_scope.cancel()
        record(f"result {result}")
        record.close()
        return result

    sys.exit(trio.run(start))
