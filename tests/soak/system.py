"""The processes of a soak: start, signals and restarts."""

import base64
import dataclasses
import json
import os
import pathlib
import random
import signal
import sys

import trio

from coltsfootsail import _embedded
from coltsfootsail import _http
from coltsfootsail import _net
from coltsfootsail.platform import messages
from coltsfootsail.standins import users
from tests.soak import checker
from tests.soak import protocol
from tests.soak import proxy
from tests.soak import records

NODES = ("g0", "g1", "g2")
ENGINES = ("e0", "e1", "e2", "e3")
SHOPS = ("s0", "s1", "s2")
READY_TIMEOUT_S = 300.0
RETRY_EXTRA = 58.0
EVENT_S = 0.05
CLOCK_NODE = "tests.soak.clock_node"
PARTS = ("caller", "peer", "ready", "directory")
ROOT = pathlib.Path(__file__).parent.parent.parent
SETTINGS = """\
[node]
name = "{name}"
region = "here"
data_centre = "a"
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
grace_s = {grace_s}
retry_extra = {retry_extra}
"""
KEYS = ("key-a", "key-b")  # the first one is revoked


@dataclasses.dataclass(slots=True)
class _Process:
    command: list
    log: pathlib.Path
    running: object = None


class System:
    """Nodes, servers and the store as processes, with proxies between them.

    ``links`` has the ``Proxy`` of each edge: ``callers/NODE``,
    ``NODE/store`` and ``nodes/SERVER``.

    :param directory: ``pathlib.Path`` for settings, logs and records.
    :param seed: seed of the servers' behaviour.
    :param fault_share: share of the requests that servers answer badly.
    :param behaviours: names of the ways in which they do.
    :param limit_pause_s: mean pause between the limits of a server, 0 for
        no limits.
    :param program: command that runs a node, without its settings.
    :param package_paths: directories of packages, one of which a node runs
        from each of its starts on; None stands for the installed one.
    :param has_proxies: whether nodes reach servers through proxies, which
        accept connections also while their server is down.
    :param brittle: refusals a second that plain servers bear, 0 for any
        number.
    :param has_keys: whether requests need keys.
    :param route_timeout_s: of all routes, 0 for those of the configuration.
    :param event_s: time that an engine takes for an event.
    :param retry_extra: retries beside a share of the requests that nodes may
        send in a window.
    """

    def __init__(
        self,
        directory,
        seed,
        fault_share,
        behaviours,
        limit_pause_s,
        program=(),
        package_paths=(None,),
        has_proxies=True,
        brittle=0,
        has_keys=False,
        retry_extra=RETRY_EXTRA,
        route_timeout_s=0.0,
        event_s=EVENT_S,
    ):
        self.directory = directory
        self.links = {}
        self._seed = seed
        self._fault_share = fault_share
        self._behaviours = behaviours
        self._limit_pause_s = limit_pause_s
        self._program = program or (sys.executable, "-m", CLOCK_NODE)
        self._package_paths = package_paths
        self._brittle = brittle
        self._has_keys = has_keys
        self._retry_extra = retry_extra
        self._route_timeout_s = route_timeout_s
        self._event_s = event_s
        self._server_address = "nodes/{}" if has_proxies else "{}"
        self._package_rng = random.Random(f"{seed}/packages")
        self._processes = {}
        self._incarnations = dict.fromkeys((*ENGINES, *SHOPS), 0)
        self._client = _http.HttpClient(_net.tcp_network())
        nodes = [f"{node}/{part}" for node in NODES for part in PARTS]
        proxies = [f"callers/{node}" for node in NODES]
        proxies += [f"{node}/store" for node in NODES]
        proxies += [f"nodes/{server}" for server in (*ENGINES, *SHOPS)]
        self.addresses = _embedded.loopback_addresses(
            ["store", *ENGINES, *SHOPS, *nodes, *proxies]
        )

    def caller_addresses(self, direct):
        """Get the addresses at which callers reach the nodes.

        :param direct: whether without the proxies.
        :returns: dict of address to name of the node.
        """
        key = "{}/caller" if direct else "callers/{}"
        return {self.addresses[key.format(node)]: node for node in NODES}

    async def start(self, nursery):
        """Start everything and wait until the nodes are ready.

        :param nursery: runs the proxies.
        """
        self._add("store", self._stand_in("store", "store", "store"))
        await self._launch("store")
        await self.put_configuration(1)
        if self._has_keys:
            await self.put_keys(2, KEYS)
        await self._start_proxies(nursery)
        for server in (*ENGINES, *SHOPS):
            await self.start_server(server)
        for node in NODES:
            self._add(node, self._node_command(node))
            await self._launch(node)
        with trio.fail_after(READY_TIMEOUT_S):
            for node in NODES:
                while not await self.is_ready(node):
                    await trio.sleep(0.1)

    async def _start_proxies(self, nursery):
        targets = {f"callers/{node}": f"{node}/caller" for node in NODES}
        targets |= {f"{node}/store": "store" for node in NODES}
        targets |= {f"nodes/{each}": each for each in (*ENGINES, *SHOPS)}
        for link, target in targets.items():
            self.links[link] = proxy.Proxy(self.addresses[target])
            await nursery.start(
                _net.tcp_network().serve,
                self.addresses[link],
                self.links[link].serve,
            )

    def _stand_in(self, role, name, address_name):
        path = self.directory / f"{name}.records"
        return [
            sys.executable,
            "-m",
            "tests.soak.processes",
            role,
            name,
            self.addresses[address_name],
            str(path),
            str(self._seed),
            str(self._fault_share),
            ",".join(self._behaviours),
            str(self._limit_pause_s),
            str(self._brittle),
            str(self._event_s),
        ]

    def _node_command(self, node):
        at = self.addresses
        text = SETTINGS.format(
            name=node,
            seeds=json.dumps([at[f"{each}/peer"] for each in NODES]),
            store=at[f"{node}/store"],
            grace_s=checker.GRACE_S,
            retry_extra=self._retry_extra,
            **{part: at[f"{node}/{part}"] for part in PARTS},
        )
        if self._has_keys:
            text += f"revocation_s = {checker.REVOCATION_S}\n"
        path = self.directory / f"{node}.toml"
        path.write_text(text)
        return [*self._program, "node", "--settings", str(path)]

    def _add(self, name, command):
        log = self.directory / f"{name}.log"
        self._processes[name] = _Process(command, log)

    def _choose_package(self, name):
        """Make the environment in which a process finds its package."""
        path = self._package_rng.choice(self._package_paths)
        if name not in NODES or path is None:
            return None
        return {**os.environ, "PYTHONPATH": str(path)}

    async def _launch(self, name):
        process = self._processes[name]
        with process.log.open("ab") as log, trio.CancelScope(shield=True):
            process.running = await trio.lowlevel.open_process(
                process.command,
                stdout=log,
                stderr=log,
                cwd=ROOT,
                env=self._choose_package(name),
            )

    async def start_server(self, server):
        """Start a server's next incarnation and register it."""
        self._incarnations[server] += 1
        name = self.instance(server)
        role = "engine" if server in ENGINES else "plain"
        self._add(server, self._stand_in(role, name, server))
        await self._launch(server)
        await self.register(server)

    def instance(self, server):
        """Get the id of a server's incarnation."""
        return f"i-{server}-{self._incarnations[server]}"

    async def register(self, server, state="ready"):
        """Write a server's entry to the store."""
        address = self.addresses[self._server_address.format(server)]
        entry = users.plain_entry(address, state)
        if server in ENGINES:
            models = [{"name": "base", "version": 1, "adapters": []}]
            entry |= {"service": "engines", "slots": 64, "models": models}
            entry["version"] = protocol.software(server)
        key = f"servers/{self.instance(server)}"
        value = base64.b64encode(json.dumps(entry).encode()).decode()
        await self._write(writes=[{"key": key, "value": value}])

    async def put_keys(self, version, keys):
        """Write a configuration with a tenant for each key."""
        tenants = [{"name": f"t-{key}", "apiKeys": [key]} for key in keys]
        await self.put_configuration(version, tenants=tenants)

    async def put_configuration(self, version, **fields):
        """Write a configuration."""
        raw = {**users.configuration(version), **fields}
        if self._route_timeout_s:
            timeout_ms = 1000 * self._route_timeout_s
            for route in raw["routes"]:
                route["timeoutMs"] = timeout_ms
        value = base64.b64encode(json.dumps(raw).encode()).decode()
        await self._write(writes=[{"key": "op/config", "value": value}])

    async def deregister(self, server):
        """Delete a server's entry from the store."""
        await self._write(drop=[f"servers/{self.instance(server)}"])

    async def _write(self, **rows):
        with trio.fail_after(READY_TIMEOUT_S):
            while True:
                try:
                    await self._client.call_json(
                        self.addresses["store"], "POST", "/v1/kv-txn", rows
                    )
                    return
                except OSError:
                    await trio.sleep(0.1)

    async def is_ready(self, node):
        """Tell whether a node serves callers."""
        address = self.addresses[f"{node}/ready"]
        try:
            status, _, _ = await self._client.call(
                address, "GET", messages.READY_PATH, fresh=True
            )
        except OSError:
            return False
        return status == 200

    def signal(self, name, signum):
        """Send a signal to a process, unless it has ended."""
        running = self._processes[name].running
        if running.poll() is None:
            running.send_signal(signum)

    async def wait(self, name, timeout_s):
        """Wait for the end of a process; kill it after ``timeout_s``."""
        running = self._processes[name].running
        with trio.move_on_after(timeout_s):
            await running.wait()
        self.signal(name, signal.SIGKILL)
        await running.wait()

    def memory(self, name):
        """Read the memory of a process.

        :returns: its number and its resident memory in MB; None if it has
            ended.
        """
        if self.has_ended(name):
            return None
        process = self._processes[name].running.pid
        statm = pathlib.Path(f"/proc/{process}/statm")
        try:
            pages = int(statm.read_text().split()[1])
        except (OSError, IndexError):
            return None
        return process, pages * os.sysconf("SC_PAGE_SIZE") / 1e6

    def has_ended(self, name):
        """Tell whether a process has ended by itself or was killed."""
        running = self._processes[name].running
        return running is not None and running.poll() is not None

    async def restart_node(self, node):
        """Start a node that has ended."""
        await self._launch(node)

    async def stop(self):
        """Kill all processes that this object started."""
        with trio.CancelScope(shield=True):
            for name in self._processes:
                self.signal(name, signal.SIGKILL)
            for process in self._processes.values():
                if process.running is not None:
                    await process.running.wait()

    def record_path(self, name):
        """Get the path of a file of records."""
        return self.directory / f"{name}.records"


def make_writer(system, name):
    """Create the ``records.Writer`` of a part of the soak's own process."""
    return records.Writer(system.record_path(name))
