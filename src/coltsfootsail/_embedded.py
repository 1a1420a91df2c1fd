"""Runs the nodes and stand-ins of a deployment in one process.

The demo runs them on loopback TCP, the tests on an in-memory network in
virtual time.
"""

import contextlib
import dataclasses
import os
import socket
import time

import trio

from coltsfootsail import _config
from coltsfootsail import _deployment
from coltsfootsail import _document
from coltsfootsail import _http
from coltsfootsail import _kv
from coltsfootsail import _net
from coltsfootsail import _node
from coltsfootsail.standins import engine
from coltsfootsail.standins import kv
from coltsfootsail.standins import network as memory
from coltsfootsail.standins import platform

READY_TIMEOUT_S = 60.0
CALLER = "caller"


def _own_loopback():
    """Derive a loopback address of this process from its id.

    On an address that processes share, another one could take a free port
    between its selection and the call to listen.
    """
    pid = os.getpid()
    return f"127.{1 + pid // 62500 % 250}.{pid // 250 % 250}.{1 + pid % 250}"


def loopback_addresses(names):
    """Choose loopback addresses with free ports.

    :returns: dict of name to ``ip:port``.
    """
    addresses = {}
    with contextlib.ExitStack() as stack:
        for name in names:
            sock = stack.enter_context(socket.socket())
            sock.bind((_own_loopback(), 0))
            host, port = sock.getsockname()
            addresses[name] = f"{host}:{port}"
    return addresses


def memory_addresses(names):
    """Choose addresses in a ``MemoryNetwork``.

    The host is the part of the name before ``/``.

    :returns: dict of name to address.
    """
    return {
        name: f"{name.partition('/')[0]}:{number}"
        for number, name in enumerate(names, 1)
    }


@dataclasses.dataclass(slots=True)
class _Running:
    node: _node.Node
    scope: trio.CancelScope


class Embedded:
    """The stand-ins and nodes of one deployment.

    ``down`` contains the hosts whose node was killed or has stopped.

    :param deployment: a ``Deployment``.
    :param network_of: ``(host) -> Network``.
    :param make_addresses: ``(names) -> dict`` of name to address.
    :param token_s: time in which an engine generates a token.
    :param change: ``(Settings) -> Settings``, applied to the settings of
        each node.
    :param wall_of: ``(host) -> function`` that reads the host's wall clock.
    """

    def __init__(
        self,
        deployment,
        network_of,
        make_addresses,
        token_s=0.005,
        change=lambda settings: settings,
        wall_of=lambda host: time.time,
    ):
        self.deployment = deployment
        self.hosts = _deployment.host_names(deployment)
        self.network_of = network_of
        self._change = change
        self._wall_of = wall_of
        self.addresses = make_addresses(self._address_names())
        self.client = _http.HttpClient(network_of(CALLER))
        self.kv = kv.KvStandIn(network_of("kv").now)
        self.store = platform.WeightStoreStandIn(
            deployment.weight_store_loads_per_s
        )
        self.host_list = platform.HostListStandIn(self._all_hosts())
        self.engines = {
            name: engine.EngineStandIn(
                name,
                deployment.engine_slots,
                deployment.engine_batch,
                self.store,
                deployment.engine_fencing,
                token_s,
            )
            for name in _deployment.engine_names(deployment)
        }
        self.services = {
            name: platform.ServiceStandIn(name)
            for name in _deployment.service_names(deployment)
        }
        self.nodes = {}
        self.down = set()
        self._node_scopes = {}
        self._nursery = None

    def _address_names(self):
        names = ["kv", "hosts"]
        names += _deployment.engine_names(self.deployment)
        names += _deployment.service_names(self.deployment)
        for host in self.hosts:
            names += [f"{host}/{port}" for port in ("caller", "peer", "admin")]
        return names

    def _all_hosts(self):
        data_centres = self.deployment.data_centres
        hosts = dict(self.hosts)
        engines = _deployment.engine_names(self.deployment)
        services = _deployment.service_names(self.deployment)
        for group in (engines, services):
            for number, name in enumerate(group):
                hosts[f"host-{name}"] = data_centres[
                    number % len(data_centres)
                ]
        return hosts

    def settings(self, host):
        """Create the settings of a host's node."""
        addresses = [
            self.addresses[f"{host}/{port}"]
            for port in ("caller", "peer", "admin")
        ]
        return self._change(
            _deployment.settings(
                self.deployment,
                host,
                addresses,
                self.addresses["kv"],
                self.addresses["hosts"],
            )
        )

    def caller_address(self, host):
        """Get the address at which a node accepts callers."""
        return self.addresses[f"{host}/caller"]

    def admin_address(self, host):
        """Get the address at which a node accepts operators."""
        return self.addresses[f"{host}/admin"]

    def document(self):
        """Create the configuration document of the deployment."""
        return _deployment.document(self.deployment, self.addresses)

    async def start_standins(self, nursery):
        """Start all stand-ins."""
        standins = {"kv": self.kv, "hosts": self.host_list}
        standins |= self.engines | self.services
        for name, standin in standins.items():
            serve = self.network_of(name).serve
            await nursery.start(serve, self.addresses[name], standin.serve)
        nursery.start_soon(self.kv.run)

    async def store_document(self, document=None):
        """Write a configuration document to the KV stand-in.

        :param document: the deployment's by default.
        """
        client = _http.HttpClient(self.network_of("operator"))
        store = _kv.KvClient(client, [self.addresses["kv"]])
        new = document or self.document()
        operations = _config.difference(_document.Document(), new)
        return await _config.apply(store, _config.Edit(operations, "setup"))

    async def start_node(self, host, nursery=None):
        """Start the node of a host.

        :returns: the ``Node``.
        """
        nursery = nursery or self._nursery
        node = _node.Node(
            self.settings(host), self.network_of(host), self._wall_of(host)
        )
        self.nodes[host] = node
        self.down.discard(host)
        await nursery.start(self._run_node, host, node)
        return node

    async def _run_node(self, host, node, task_status):
        with trio.CancelScope() as scope:
            self._node_scopes[host] = scope
            await node.run(task_status)
        self.down.add(host)

    def kill(self, host):
        """Stop a node at once, as if its process were killed."""
        self._node_scopes[host].cancel()
        self.down.add(host)

    def live(self):
        """Get the running nodes.

        :returns: dict of host to ``Node``.
        """
        return {
            host: node
            for host, node in self.nodes.items()
            if host not in self.down
        }

    def is_ready(self):
        """Check that all nodes are ready and each engine has a ready owner."""
        ready = set()
        for node in self.live().values():
            if node.readiness() != "ready":
                return False
            ready |= {
                name
                for name, owner in node.owners.items()
                if owner.active and owner.ready
            }
        return ready == set(self.engines)

    async def wait_ready(self, timeout_s=READY_TIMEOUT_S):
        """Wait until ``is_ready`` holds."""
        with trio.fail_after(timeout_s):
            while not self.is_ready():
                await trio.sleep(0.05)

    @contextlib.asynccontextmanager
    async def running(self, hosts=None):
        """Context manager that runs the stand-ins and nodes.

        It is entered once the deployment is ready.

        :param hosts: hosts whose nodes start; all by default.
        """
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await self.start_standins(nursery)
            await self.store_document()
            for host in hosts if hosts is not None else self.hosts:
                await self.start_node(host, nursery)
            await self.wait_ready()
            yield self
            nursery.cancel_scope.cancel()


def on_loopback(deployment, **kwargs):
    """Create an ``Embedded`` on loopback TCP."""
    net = _net.tcp_network()
    return Embedded(deployment, lambda host: net, loopback_addresses, **kwargs)


def in_memory(deployment, net=None, **kwargs):
    """Create an ``Embedded`` on an in-memory network.

    :param net: a ``MemoryNetwork``.
    """
    net = net or memory.MemoryNetwork()
    return Embedded(deployment, net.network, memory_addresses, **kwargs)
