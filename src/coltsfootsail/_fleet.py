"""What a gateway serves: routes, services, servers and adapter versions.

All of it is plain frozen data, decoded elsewhere; nothing here does I/O.
"""

import bisect
import dataclasses
import enum
import zlib


class RouteKind(enum.Enum):
    """What may be repeated on a route."""

    IDEMPOTENT = "idempotent"
    MUTATING = "mutating"
    STREAMING = "streaming"


@dataclasses.dataclass(frozen=True, slots=True)
class RouteTarget:
    """A service that a route leads to, with its share."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """One route of a deployment.

    :param attempts: servers to which one request may be sent.
    :param objective_s: answers within this time earn full credit.
    :param gap_s: longest pause between events, 0 where none is stated.
    :param priority: 0 is the most urgent.
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

    @property
    def repeatable(self):
        """Whether a request may run more than once."""
        if self.kind is RouteKind.STREAMING:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT

    def choose_service(self, key):
        """Choose the service for a request by the weights.

        :param key: text that spreads requests, such as the request id.
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
    """A base model and what its weights and adapters take."""

    name: str
    weights_mb: float
    adapter_mb: float
    load_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSpec:
    """What the engines of one service can hold and run.

    :param weights_mb: room for weights of models and adapters.
    :param models: the base models that it may hold.
    :param event_tokens: tokens in one event of a stream.
    """

    slots: int
    memory_tokens: int
    adapter_slots: int
    event_tokens: int
    weights_mb: float
    models: tuple[BaseModel, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A set of servers; ``engine`` is None for a plain service."""

    name: str
    connections_max: int
    engine: EngineSpec | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """What callers may send, and how slowly."""

    header_bytes: int = 16384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """One version of the configuration."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: CallerLimits


EMPTY_DEPLOYMENT = Deployment(0, (), {}, CallerLimits())


@dataclasses.dataclass(frozen=True, slots=True)
class Server:
    """A registered server.

    :param adapters: adapter key (``model/name``) to the version held; the
        registry is late, so this is a hint.
    :param created: revision at which the entry was made.
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


@dataclasses.dataclass(frozen=True, slots=True)
class EngineReport:
    """What an engine says of itself, some hundred milliseconds late.

    :param sequence: number of orders that it has accepted.
    :param adapters: adapter key to version, those it holds.
    :param pending: adapter keys on their way.
    :param busy: whether an order for a base model is under way.
    """

    sequence: int
    adapters: dict[str, int]
    pending: tuple[str, ...]
    running: int
    waiting: int
    models: tuple[str, ...]
    busy: bool = False


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
        """Find the route whose prefix begins the path.

        :returns: a ``Route`` or None.
        """
        routes = self._hosts.get(host, ())
        end = bisect.bisect_right(routes, path, key=lambda r: r.prefix)
        for route in reversed(routes[:end]):
            if path.startswith(route.prefix):
                return route
        return None


def adapter_key(model, adapter):
    """Name an adapter over all models."""
    return f"{model}/{adapter}" if adapter else model
