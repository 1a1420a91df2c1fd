"""The data types of a deployment: routes, services, servers and reports.

All are frozen dataclasses without I/O; ``platform`` decodes them.
"""

import bisect
import dataclasses
import enum
import hashlib
import zlib


class RouteKind(enum.Enum):
    """The kind of a route, which decides whether requests may be retried."""

    IDEMPOTENT = "idempotent"
    MUTATING = "mutating"
    STREAMING = "streaming"


@dataclasses.dataclass(frozen=True, slots=True)
class RouteTarget:
    """A service that a route leads to, with its weight."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """One route of a deployment.

    :param objective_s: latency objective of an answer, or of the first
        event of a stream; only answers within it count in full.
    :param gap_s: longest pause allowed between events, 0 where the
        configuration states none.
    :param priority: 0 is the most urgent.
    :param attempts: number of servers that one request may be sent to.
    :param resumable: whether a broken stream may be resumed elsewhere.
    :param public: whether requests need no key.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    targets: tuple[RouteTarget, ...]
    timeout_s: float
    objective_s: float
    gap_s: float = 0.0
    priority: int = 5
    attempts: int = 1
    resumable: bool = False
    public: bool = False

    @property
    def repeatable(self):
        """Whether a request may run more than once."""
        if self.kind is RouteKind.STREAMING:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT

    def choose_service(self, key):
        """Choose the service of a request by the targets' weights.

        :param key: text that distributes requests, such as the request id.
        """
        total = sum(target.weight for target in self.targets)
        point = zlib.crc32(key.encode()) / 2**32 * total
        for target in self.targets:
            point -= target.weight
            if point < 0:
                return target.service
        return self.targets[-1].service


@dataclasses.dataclass(frozen=True, slots=True)
class BaseModel:
    """A base model, with the memory that it and each adapter take."""

    name: str
    weights_mb: float
    adapter_mb: float
    load_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSpec:
    """The capacity of each engine of a service.

    :param slots: requests that it runs at once.
    :param memory_tokens: tokens that fit its memory.
    :param adapter_slots: adapters that it holds at once.
    :param event_tokens: tokens in one event of a stream.
    :param weights_mb: memory for weights of models and adapters.
    :param models: the base models that it may hold.
    """

    slots: int
    memory_tokens: int
    adapter_slots: int
    event_tokens: int
    weights_mb: float
    models: tuple[BaseModel, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A set of servers.

    :param connections_max: connections that each server accepts.
    :param engine: an ``EngineSpec``, or None for a plain service.
    """

    name: str
    connections_max: int
    engine: EngineSpec | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size and duration of callers' requests."""

    header_bytes: int = 16384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class Quota:
    """What the requests of a workspace may use, over all nodes together.

    :param per_s: tokens, or requests, a second.
    :param burst: what may be used at once beyond that rate.
    :param counts_tokens: whether tokens are counted, not requests.
    :param plain_cost: tokens that a request without a token count uses.
    """

    per_s: float
    burst: float
    counts_tokens: bool = False
    plain_cost: float = 0.0

    def cost(self, tokens):
        """Get what a request uses.

        :param tokens: its prompt and output tokens, None if unstated.
        """
        if not self.counts_tokens:
            return 1.0
        return self.plain_cost if tokens is None else float(tokens)


@dataclasses.dataclass(frozen=True, slots=True)
class Workspace:
    """A customer whose requests carry keys.

    :param key_digests: the ``digest`` of each of its keys.
    :param priority: replaces the priority of routes; None for no change.
    :param quota: None for no limit.
    """

    name: str
    key_digests: frozenset[str]
    priority: int | None = None
    quota: Quota | None = None


def digest(key):
    """Compute the digest by which a key is stored and compared."""
    return hashlib.blake2b(key.encode(), digest_size=16).hexdigest()


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """One version of the configuration.

    :param workspaces: dict of name to ``Workspace``; None if requests need
        no keys.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: CallerLimits
    workspaces: dict[str, Workspace] | None = None


EMPTY_DEPLOYMENT = Deployment(0, (), {}, CallerLimits())


@dataclasses.dataclass(frozen=True, slots=True)
class Server:
    """A registered server.

    :param slots: requests that it runs at once.
    :param adapters: dict of adapter key (``model/name``) to version; a
        hint only, because registrations lag behind the server.
    :param created: store revision at which the entry was created.
    :param software: version of the server's software.
    :param cold_left_s: how much longer it was slow after its start, when it
        wrote this.
    :param born_ms: Unix time of its start in ms, 0 if unstated; a server may
        start again under its old name.
    """

    name: str
    service: str
    address: str
    data_centre: str
    draining: bool
    slots: int
    models: tuple[str, ...]
    adapters: dict[str, int]
    created: int = 0
    software: str = ""
    cold_left_s: float = 0.0
    born_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class EngineReport:
    """An engine's report of its state, some hundred milliseconds old.

    :param sequence: number of orders that it has accepted.
    :param adapters: dict of the key of each adapter held to its version.
    :param pending: keys of adapters that are being loaded.
    :param models: names of the base models that it holds.
    :param busy: whether an order for a base model is in progress.
    :param runs: ids of the requests that it runs; None if it lists none.
    :param born_ms: Unix time of the engine's start in ms, 0 if unstated.
    """

    sequence: int
    adapters: dict[str, int]
    pending: tuple[str, ...]
    running: int
    waiting: int
    models: tuple[str, ...]
    busy: bool = False
    runs: frozenset[str] | None = None
    born_ms: int = 0


class RouteTable:
    """Finds the route of a request by host and longest prefix.

    :param deployment: a ``Deployment``.
    """

    def __init__(self, deployment):
        self._hosts = {}
        for route in deployment.routes:
            self._hosts.setdefault(route.host, []).append(route)
        for routes in self._hosts.values():
            routes.sort(key=lambda route: route.prefix)

    def find(self, host, path):
        """Find the route with the longest prefix of the path.

        :returns: a ``Route`` or None.
        """
        routes = self._hosts.get(host, ())
        end = bisect.bisect_right(routes, path, key=lambda r: r.prefix)
        for route in reversed(routes[:end]):
            if path.startswith(route.prefix):
                return route
        return None


class KeyTable:
    """Finds the workspace that holds a caller's key.

    :param deployment: a ``Deployment``.
    """

    def __init__(self, deployment):
        self._by_digest = {
            key_digest: workspace
            for workspace in (deployment.workspaces or {}).values()
            for key_digest in workspace.key_digests
        }

    def find(self, key):
        """Find the holder of a key.

        :returns: a ``Workspace``, or None if the key is not known.
        """
        return self._by_digest.get(digest(key)) if key else None


def adapter_key(model, adapter):
    """Build the key of an adapter, or of a model if the adapter is empty."""
    return f"{model}/{adapter}" if adapter else model
