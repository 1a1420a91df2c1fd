"""Runs a small deployment for the scripts of the cases 11 to 14.

The gateways and the servers are processes of their own.  The platform's store
is the project's stand-in, in the process of the script, which is the operator
and the callers too.  All addresses are loopback addresses with free ports.
"""

import contextlib
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

import h11
import trio

from coltsfootsail import _net
from coltsfootsail.standins import store

ROOT = pathlib.Path(__file__).resolve().parents[2]
LIB = pathlib.Path(__file__).resolve().parent
HEARTBEAT_S = 1.2
EXPIRY_S = 3.6  # three heartbeats of silence
HOST = "shop.example"
TIME_LIMIT_S = 115
BEDS = []  # whose processes are ended by a signal too
WORKED_ON_S = 0.4  # of the rule TWICE
REQUEST_ID = "coltsfootsail-request-id"
# As deploy/settings.toml is filled in for the small sites.
SETTINGS = """\
[node]
name = "{name}"
region = "here"
data_centre = "{zone}"
caller_address = "{caller}"
peer_address = "{peer}"
admin_address = "{ready}"
seed_addresses = {seeds}
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
retry_extra = 58
retry_window_s = 10
news_s = 2000e-3
memory_mb = 300
descriptors = 4100
"""
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 4194304,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}

ENGINE = {
    "slots": 64,
    "kvTokens": 120000,
    "stride": 3,
    "models": [
        {
            "name": "base",
            "weightsMb": 65100.0,
            "loadS": 3.9,
            "adapters": 3000,
            "adapterMb": 12.0,
        }
    ],
    "weightsMb": 66600.0,
    "adapterSlots": 17,
    "loadsPerS": 2.1,
}


def route(prefix, kind, service, **fields):
    """Make a route of the operator's configuration."""
    return {
        "name": "r" + prefix.strip("/"),
        "host": HOST,
        "prefix": prefix,
        "type": kind,
        "timeoutMs": 1500,
        "sloMs": 400,
        "priority": 1,
        "service": service,
        "attempts": 2,
        "sticky": kind == "streaming",
        "resumable": False,
        **fields,
    }


def loopback_addresses(names):
    """Choose free ports on a loopback address of this process."""
    pid = os.getpid()
    host = f"127.{1 + pid // 62500 % 250}.{pid // 250 % 250}.{1 + pid % 250}"
    addresses = {}
    with contextlib.ExitStack() as stack:
        for name in names:
            sock = stack.enter_context(socket.socket())
            sock.bind((host, 0))
            addresses[name] = f"{host}:{sock.getsockname()[1]}"
    return addresses


class Record:
    """What a case sent and saw, written to ``record.txt``."""

    def __init__(self, folder):
        self._file = open(folder / "record.txt", "w", buffering=1)
        self.begun_s = time.monotonic()

    def add(self, text):
        at_s = time.monotonic() - self.begun_s
        self._file.write(f"{at_s:8.3f} {text}\n")


class Answer:
    """What a caller got: ``status`` is 0 without a head of an answer."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.whole = False


class Bed:
    """The processes of a case.

    :param folder: of the case, for ``record.txt``.
    """

    def __init__(self, folder, configuration, nodes=3, zones=("a", "b", "c")):
        self.record = Record(folder)
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="case-"))
        self.store = store.StoreStandIn()
        self.nodes = [f"edge-{n}" for n in range(nodes)]
        self.zones = {
            name: zones[n % len(zones)] for n, name in enumerate(self.nodes)
        }
        parts = ("caller", "peer", "ready", "directory")
        names = [f"{node}/{part}" for node in self.nodes for part in parts]
        names += ["store", *(f"server-{n}" for n in range(12))]
        self.addresses = loopback_addresses(names)
        self.processes = {}
        self.registered = {}
        self.log = self.directory / "servers.log"
        self.log.touch()
        self._configuration = configuration
        self._nursery = None
        BEDS.append(self)

    async def _serve_store(self, task_status=trio.TASK_STATUS_IGNORED):
        handler = self.store.connection_handler("store")

        async def serve(stream):
            with contextlib.suppress(
                OSError, trio.BrokenResourceError, trio.ClosedResourceError
            ):
                await handler(stream)

        await _net.tcp_network().serve(
            self.addresses["store"], serve, task_status
        )

    def start_node(self, name):
        own = {
            part: self.addresses[f"{name}/{part}"]
            for part in ("caller", "peer", "ready", "directory")
        }
        seeds = [self.addresses[f"{node}/peer"] for node in self.nodes[:3]]
        path = self.directory / f"{name}.toml"
        path.write_text(
            SETTINGS.format(
                name=name,
                zone=self.zones[name],
                seeds=json.dumps(seeds),
                store=self.addresses["store"],
                **own,
            )
        )
        environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        self.processes[name] = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "coltsfootsail",
                "node",
                "--settings",
                str(path),
            ],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=open(self.directory / f"{name}.out", "ab"),
            stderr=subprocess.STDOUT,
        )
        self.record.add(f"machine {name} started")

    def start_server(self, kind, name, address_name, **options):
        address = self.addresses[address_name]
        self.processes[name] = subprocess.Popen(
            [
                sys.executable,
                str(LIB / "server3.py"),
                kind,
                name,
                address,
                str(self.log),
                json.dumps(options),
            ],
            stdin=subprocess.DEVNULL,
            stdout=open(self.directory / f"{name}.out", "ab"),
            stderr=subprocess.STDOUT,
        )
        self.record.add(f"server {name} started at {address}")
        return address

    def register(self, name, address, service, zone, **fields):
        """Write a server's entry, as the server itself would."""
        entry = {
            "service": service,
            "addr": address,
            "zone": zone,
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "coldLeftMs": 0,
            "seq": 0,
            **fields,
        }
        self.store.put(f"servers/{name}", entry)
        self.record.add(f"store: servers/{name} {entry['state']}")

    def register_model_server(self, name, address, **fields):
        """Write the entry of a server with the base model alone."""
        models = [{"name": "base", "version": 1, "adapters": []}]
        zone = "abc"[len(self.registered) % 3]
        self.registered[name] = address
        fields = {"slots": 64, "models": models, **fields}
        self.register(name, address, "kotoba", zone, **fields)

    def unregister(self, name):
        self.store.drop(f"servers/{name}")
        self.record.add(f"store: servers/{name} removed")

    def kill(self, name, signum=signal.SIGKILL):
        self.processes[name].send_signal(signum)
        self.record.add(f"{signal.Signals(signum).name} to {name}")

    async def is_listening(self, address):
        try:
            stream = await _net.tcp_network(0.5).open_stream(address)
        except OSError:
            return False
        await trio.aclose_forcefully(stream)
        return True

    async def wait_listening(self, address):
        while not await self.is_listening(address):
            await trio.sleep(0.05)

    async def wait_ready(self, timeout_s=30.0):
        """Wait until all machines answer 200 at ``/v1/readyz``."""
        with trio.fail_after(timeout_s):
            for node in self.nodes:
                while True:
                    with contextlib.suppress(OSError):
                        answer = await self.call(
                            "GET", "/v1/readyz", f"{node}/ready", quiet=True
                        )
                        if answer.status == 200:
                            break
                    await trio.sleep(0.1)
        self.record.add("all machines are ready")

    async def call(
        self,
        method,
        target,
        place,
        headers=(),
        body=b"",
        request_id="",
        deadline_ms=3000,
        keep_s=0.2,
        quiet=False,
    ):
        """Send one client attempt on a connection of its own.

        :param place: name of the address.
        :param keep_s: how long the connection is kept after the answer.
        :returns: an ``Answer``.
        """
        answer = Answer()
        fields = [("host", HOST), *headers]
        if request_id:
            fields.append((REQUEST_ID, request_id))
            fields.append(("coltsfootsail-deadline-ms", str(deadline_ms)))
        if body or method == "POST":
            fields.append(("content-length", str(len(body))))
        conn = h11.Connection(h11.CLIENT)
        data = conn.send(
            h11.Request(method=method, target=target, headers=fields)
        )
        if body:
            data += conn.send(h11.Data(data=body))
        data += conn.send(h11.EndOfMessage())
        if not quiet:
            self.record.add(f"{request_id} sent to {place}: {method} {target}")
        with trio.move_on_after(deadline_ms / 1000):
            try:
                stream = await _net.tcp_network(1.0).open_stream(
                    self.addresses[place]
                )
            except OSError:
                if quiet:
                    raise
                self.record.add(f"{request_id} no connection")
                return answer
            async with stream:
                await self._read(stream, conn, data, answer)
                if answer.whole and not quiet:
                    await trio.sleep(keep_s)
        if not quiet:
            stamp = answer.headers.get("coltsfootsail-server-stamp", "none")
            self.record.add(
                f"{request_id} answered {answer.status}, signature {stamp}, "
                f"{'whole' if answer.whole else 'not whole'}, "
                f"{answer.body[:120]!r}"
            )
        return answer

    async def _read(self, stream, conn, data, answer):
        try:
            await stream.send_all(data)
            while not answer.whole:
                event = conn.next_event()
                if event is h11.NEED_DATA:
                    conn.receive_data(await stream.receive_some(65536))
                elif isinstance(event, h11.Response):
                    answer.status = event.status_code
                    answer.headers = {
                        name.decode(): value.decode()
                        for name, value in event.headers
                    }
                elif isinstance(event, h11.Data):
                    answer.body += bytes(event.data)
                elif isinstance(event, h11.EndOfMessage):
                    answer.whole = True
                else:
                    return
        except (OSError, trio.BrokenResourceError, h11.RemoteProtocolError):
            return

    def events(self):
        """Read what the servers have logged so far."""
        lines = self.log.read_text().splitlines()
        return [json.loads(line) for line in lines]

    def note_server_events(self):
        """Copy the servers' log into the record."""
        begun_s = self.record.begun_s
        for event in self.events():
            at_s = event.pop("s") - begun_s
            self.record.add(f"server log {at_s:.3f} {json.dumps(event)}")

    def note_node_events(self, *names):
        """Copy lines of the machines' logs into the record.

        :param names: of the events.
        """
        for node in self.nodes:
            for line in (self.directory / f"{node}.out").open():
                with contextlib.suppress(ValueError):
                    event = json.loads(line)
                    if event["message"] in names:
                        self.record.add(f"log of {node}: {line.strip()}")

    @contextlib.asynccontextmanager
    async def running(self, start_servers):
        """Run the deployment in the block.

        :param start_servers: ``async ()``, starts and registers the servers.
        """
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                await nursery.start(self._serve_store)
                self.store.put("op/config", self._configuration)
                await start_servers()
                for node in self.nodes:
                    self.start_node(node)
                await self.wait_ready()
                # Leases, claims and links: traffic starts 12 s after the
                # machines do.
                await trio.sleep(9.0)
                yield
                nursery.cancel_scope.cancel()
        finally:
            self._end_all()

    def _end_all(self):
        for process in self.processes.values():
            with contextlib.suppress(OSError):
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        shutil.rmtree(self.directory, ignore_errors=True)


def find_overlaps(events):
    """Find the requests that went on elsewhere while a server ran them."""
    runs = {}
    for event in events:
        if event["event"] == "begins":
            run = [event["server"], event["s"], None]
            runs.setdefault(event["id"], []).append(run)
        elif event["event"] in ("ends", "dropped"):
            for run in runs[event["id"]]:
                if run[0] == event["server"] and run[2] is None:
                    run[2] = event["s"]
    broken = []
    for request_id, sent in runs.items():
        for before, after in zip(sent, sent[1:], strict=False):
            if before[2] is None or before[2] > after[1] + WORKED_ON_S:
                broken.append(
                    f"{request_id} begins at {after[0]}, and {before[0]} "
                    f"works on it for {before[2] - after[1]:.2f} s more"
                )
    return broken


def run(case, folder):
    """Run a case and exit with 0 if the rule held, 10 if it was broken.

    :param case: ``async (folder, trouble) -> bool``, whether the rule held.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    for signum in (signal.SIGALRM, signal.SIGTERM, signal.SIGINT):
        signal.signal(signum, _end_early)
    signal.alarm(TIME_LIMIT_S)
    try:
        held = trio.run(case, pathlib.Path(folder).resolve(), trouble)
    except BaseException as exc:
        print(f"could not run: {exc!r}")
        sys.exit(2)
    sys.exit(0 if held else 10)


def _end_early(signum, frame):
    """End all processes, when the case takes too long or is ended."""
    for bed in BEDS:
        bed._end_all()
    print(f"could not run: {signal.Signals(signum).name}", flush=True)
    os._exit(2)
