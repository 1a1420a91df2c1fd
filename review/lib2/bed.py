"""A small deployment on loopback: store and servers here, gateways as processes.

The gateways are started with the command of ``deploy/system.toml`` and with
settings filled in from ``deploy/settings.toml``.  The store and the servers
are the project's own stand-ins, which run in the process of the case.
"""

import contextlib
import itertools
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

import trio

from coltsfootsail import _http
from coltsfootsail import _net
from coltsfootsail.standins import store as store_stand_in
from coltsfootsail.standins import users

ROOT = pathlib.Path(__file__).resolve().parents[2]
HEARTBEAT_S = 1.2  # of the sheet; an entry goes after three of them
BOUNDS = {
    "graceS": 8,
    "leaseMs": 3000,
    "budgetRatio": 0.2,
    "budgetExtra": 58,
    "budgetWindowS": 10,
    "drainMs": 2000,
}


_taken_ports = set()
_port_rng = random.SystemRandom()


def free_address(host="127.0.0.1"):
    """Find a free port, below those that connections get by themselves."""
    while True:
        port = _port_rng.randrange(15000, 32000)
        if port in _taken_ports:
            continue
        with socket.socket() as sock:
            try:
                sock.bind((host, port))
            except OSError:
                continue
        _taken_ports.add(port)
        return f"{host}:{port}"


def _lookup(scope, path):
    for part in path.split("."):
        scope = scope.get(part) if isinstance(scope, dict) else None
    return scope


def fill(template, fields):
    """Fill in a settings template as DEPLOY.md tells it."""

    def section(match):
        name, body = match[1], match[2]
        value = _lookup(fields, name)
        if not value:
            return ""
        if not isinstance(value, list):
            return body
        parts = []
        for number, item in enumerate(value):
            text = body.replace("{{.|json}}", json.dumps(item))
            last = number + 1 == len(value)
            parts.append(text.replace("{{,}}", "" if last else ","))
        return "".join(parts)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(
        r"\{\{([\w.]+)\|json\}\}",
        lambda match: json.dumps(_lookup(fields, match[1])),
        text,
    )


class Record:
    """Writes what happens to ``record.txt`` of the case."""

    def __init__(self, path):
        self._file = open(path, "w", buffering=1)
        self.begun_s = time.monotonic()

    def now_s(self):
        return time.monotonic() - self.begun_s

    def __call__(self, what, **fields):
        fields = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now_s():9.3f} {what} {fields}\n")


class Place:
    """A fixed address at which a server listens while it runs.

    :param handler: ``async (stream)``, serves a connection.
    """

    def __init__(self, handler):
        self._handler = handler
        self.address = free_address()
        self._open = {}
        self._scope = None

    async def listen(self, task_status=trio.TASK_STATUS_IGNORED):
        """Accept connections until the server crashes."""
        with trio.CancelScope() as self._scope:
            await _net.tcp_network().serve(
                self.address, self._serve, task_status=task_status
            )

    async def _serve(self, stream):
        with trio.CancelScope() as scope:
            self._open[scope] = stream
            try:
                await self._handler(stream)
            except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
                pass
            finally:
                del self._open[scope]

    def crash(self):
        """End as a process does: connections are reset, new ones refused."""
        for stream in self._open.values():
            _net.set_reset_on_close(stream, True)
        self._scope.cancel()


class Bed:
    """Store, servers and gateways of one case."""

    def __init__(self, case_dir, zones=("a", "b", "c"), configuration=None):
        name = os.environ.get("RECORD", "record.txt")
        self.record = Record(pathlib.Path(case_dir) / name)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.store = store_stand_in.StoreStandIn(trio.current_time)
        self.store_address = free_address()
        self.zones = zones
        self.dir = pathlib.Path(tempfile.mkdtemp())
        self.nodes = {}
        self.settings = {}
        self.names = [
            f"edge-{zone}-{zones[: number + 1].count(zone)}"
            for number, zone in enumerate(zones)
        ]
        self.addresses = {
            name: {
                part: free_address()
                for part in ("front", "ready", "control", "directory")
            }
            for name in self.names
        }
        self.configuration = configuration or users.configuration(1)
        self.client = _http.HttpClient(_net.tcp_network())
        self._ids = itertools.count(1)

    async def start(self, nursery):
        self.store.put("op/config", self.configuration)
        await nursery.start(
            _net.tcp_network().serve,
            self.store_address,
            self._contained(self.store.connection_handler("store")),
        )
        for name, zone in zip(self.names, self.zones, strict=True):
            self.start_node(name, zone)

    async def wait_ready(self):
        """Wait until all gateways are ready, which takes servers."""
        with trio.fail_after(30):
            for name in self.names:
                while not await self.is_ready(name):
                    await trio.sleep(0.1)
        self.record("ready", nodes=",".join(self.names))

    def _contained(self, handler):
        async def serve(stream):
            with contextlib.suppress(
                OSError, trio.BrokenResourceError, trio.ClosedResourceError
            ):
                await handler(stream)

        return serve

    def start_node(self, name, zone="a", store_address=None):
        own = self.addresses[name]
        fields = {
            "nodeName": name,
            "region": "here",
            "zone": zone,
            "listen": own,
            "seeds": [each["control"] for each in self.addresses.values()][:3],
            "platform": {"addr": store_address or self.store_address},
            "bounds": BOUNDS,
            "limits": {"memoryMb": 300, "maxFds": 4100},
        }
        template = (ROOT / "deploy/settings.toml").read_text()
        path = self.dir / f"{name}.toml"
        path.write_text(fill(template, fields))
        system = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = system["roles"]["node"]["run"].split()
        command = [
            str(path) if word.startswith("/etc/") else word for word in command
        ]
        command[0] = sys.executable
        env = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(ROOT / "target/deps"),
            "COLTSFOOTSAIL_SETTINGS": str(path),
            "HOME": str(self.dir),
        }
        log = open(self.dir / f"{name}.log", "ab")
        self.nodes[name] = subprocess.Popen(
            command, cwd=ROOT, env=env, stdout=log, stderr=log
        )
        self.record("node_started", node=name, zone=zone)

    async def is_ready(self, name):
        try:
            status, _, _ = await self.client.call(
                self.addresses[name]["ready"], "GET", "/v1/readyz", timeout_s=1.0
            )
        except OSError:
            return False
        return status == 200

    def signal_node(self, name, number):
        self.record("signal", node=name, number=int(number))
        self.nodes[name].send_signal(number)

    def new_id(self):
        return os.urandom(4).hex() + f"{next(self._ids):08x}"

    async def ask(self, name, method, target, headers=(), body=b"", timeout_s=3.0):
        """Send a request as a caller, on a new connection.

        :returns: tuple of status, headers and body; status 0 without answer.
        """
        request_id = self.new_id()
        fields = [
            ("host", users.HOST),
            ("coltsfootsail-request-id", request_id),
            ("coltsfootsail-deadline-ms", str(round(timeout_s * 1000))),
            *headers,
        ]
        sent_s = self.record.now_s()
        status, answer_headers, answer = 0, (), b""
        try:
            async with self._open(name) as exchange:
                with trio.fail_after(timeout_s):
                    await exchange.send(method, target, fields, body)
                    status = await exchange.read_head()
                    answer_headers = exchange.headers
                    answer = bytes(await exchange.read_body(1_000_000))
        except (trio.TooSlowError, *_http.STREAM_ERRORS) as exc:
            answer = repr(exc).encode()
            status = 0
        stamp = dict(answer_headers).get("coltsfootsail-server-stamp", "")
        self.record(
            "answer",
            id=request_id,
            node=name,
            request=f"{method}:{target}",
            sent=f"{sent_s:.3f}",
            status=status,
            stamped=bool(stamp),
            body=answer[:150],
        )
        return status, dict(answer_headers), answer

    @contextlib.asynccontextmanager
    async def _open(self, name):
        async with self.client.exchange(
            self.addresses[name]["front"], fresh=True
        ) as exchange:
            yield exchange

    def close(self):
        for name, process in self.nodes.items():
            if process.poll() is None:
                with contextlib.suppress(OSError):
                    process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.dir, keep, dirs_exist_ok=True)
        shutil.rmtree(self.dir, ignore_errors=True)


async def _end_on_signal(scope):
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            scope.cancel()


def main(case, case_dir, **kwargs):
    """Run a case and exit with its result.

    :param case: ``async (bed, nursery)``, returns whether the rule was broken.
    """
    result = 2

    async def run():
        nonlocal result
        bed = Bed(case_dir, **kwargs)
        try:
            with trio.move_on_after(115):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(_end_on_signal, nursery.cancel_scope)
                    await bed.start(nursery)
                    broken = await case(bed, nursery)
                    result = 1 if broken else 0
                    bed.record("result", broken=broken)
                    nursery.cancel_scope.cancel()
        finally:
            bed.close()

    try:
        trio.run(run)
    except BaseException:
        import traceback

        traceback.print_exc()
        result = 2
    sys.exit(result)
