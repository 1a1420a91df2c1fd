"""Settings of one process, from a TOML file, checked as a whole."""

import dataclasses
import tomllib

from coltsfootsail import _net
from coltsfootsail import _schema
from coltsfootsail import exceptions


_REQUIRED = dataclasses.MISSING


def _setting(text, default=_REQUIRED):
    """Make a field of the settings.

    :param text: what it means, and where its default comes from.
    """
    return dataclasses.field(default=default, metadata={"help": text})


@dataclasses.dataclass(frozen=True, slots=True)
class NodeSettings:
    """Who this process is and where it listens."""

    name: str = _setting("Name of the node, unique in the system.")
    region: str = _setting("Region; links join the nodes of one region.")
    data_centre: str = _setting("Data centre; near servers come first.")
    caller_address: str = _setting("Where callers connect, ip:port.")
    peer_address: str = _setting("Where other nodes connect, ip:port.")
    admin_address: str = _setting("Where operators connect, ip:port.")
    seed_addresses: tuple[str, ...] = _setting(
        "Peer addresses of nodes to learn from while the store is away.", ()
    )


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Where the platform's services are."""

    kv_addresses: tuple[str, ...] = _setting("Addresses of the KV service.")
    host_list_address: str = _setting(
        "Address of the list of endpoint hosts; empty for none.", ""
    )
    weight_store_loads_per_s: float = _setting(
        "Adapters that a region's weight store serves in a second.", 1.0
    )


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseSettings:
    """Lease of the node."""

    ttl_s: int = _setting(
        "Length; a dead node's claims are free after this time.", 15
    )
    renew_s: float = _setting(
        "Mean time between renewals; two may fail within the length.", 5.0
    )
    margin_s: float = _setting(
        "How much earlier the node stops to trust its lease: drift of the "
        "store's clock and the way of a renewal.",
        3.0,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class LimitSettings:
    """Bounds on what callers may use."""

    header_bytes: int = _setting("Largest head of a request.", 16384)
    body_bytes: int = _setting("Largest body of a request.", 1_048_576)
    connections: int = _setting("Open connections of callers.", 2000)
    requests: int = _setting("Requests under way at once.", 1000)
    read_timeout_s: float = _setting("To read one whole request.", 10.0)
    idle_timeout_s: float = _setting(
        "For which an idle connection of a caller is kept.", 60.0
    )
    write_timeout_s: float = _setting(
        "For a caller to take one part of an answer.", 30.0
    )
    request_timeout_s: float = _setting(
        "Deadline of a request that names none.", 120.0
    )
    silence_timeout_s: float = _setting(
        "For which an endpoint may say nothing.", 20.0
    )


@dataclasses.dataclass(frozen=True, slots=True)
class LedgerSettings:
    """The at-most-once ledger."""

    buckets: int = _setting("Keys in the store that share the claims.", 64)
    retention_s: float = _setting(
        "For which an answer can be asked for again: one day.", 86400.0
    )
    answer_bytes: int = _setting("Largest answer that is kept.", 2048)
    bucket_bytes: int = _setting(
        "Size of a bucket; the store takes values of 1 MB.", 900_000
    )


@dataclasses.dataclass(frozen=True, slots=True)
class DrainSettings:
    """A planned stop."""

    address_ttl_s: float = _setting(
        "For which callers keep an address; requests are taken as long.", 5.0
    )
    timeout_s: float = _setting(
        "Longest drain; two minutes of the longest request and reserve.",
        180.0,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class GatewaySettings:
    """A node on the users' platform, whose store holds the configuration."""

    ready_address: str = _setting(
        "Where readiness, metrics and status are asked, ip:port; without "
        "it the node is of the other kind.",
        "",
    )
    directory_address: str = _setting(
        "Where callers ask which address to use, ip:port.", ""
    )
    grace_s: float = _setting(
        "From SIGTERM to the kill; the platform states it.", 8.0
    )
    turn_s: float = _setting(
        "Orders of two nodes to one engine lie so far apart; the platform "
        "states it.",
        3.0,
    )
    news_s: float = _setting(
        "A change in the store must be in force in this time; the "
        "platform states it.",
        2.0,
    )
    retry_ratio: float = _setting(
        "Repeats allowed for each request of a service.", 0.2
    )
    retry_extra: float = _setting(
        "Repeats allowed besides, over all nodes.", 20.0
    )
    retry_window_s: float = _setting(
        "Time over which repeats are counted.", 10.0
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """All settings of a node."""

    node: NodeSettings = _setting(NodeSettings.__doc__)
    platform: PlatformSettings = _setting(PlatformSettings.__doc__)
    lease: LeaseSettings = _setting(LeaseSettings.__doc__, LeaseSettings())
    limits: LimitSettings = _setting(LimitSettings.__doc__, LimitSettings())
    ledger: LedgerSettings = _setting(LedgerSettings.__doc__, LedgerSettings())
    drain: DrainSettings = _setting(DrainSettings.__doc__, DrainSettings())
    gateway: GatewaySettings = _setting(
        GatewaySettings.__doc__, GatewaySettings()
    )
    admin_token_hash: str = _setting(
        "SHA-256 of the operators' token, hex; empty asks for none.", ""
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Described:
    """One setting: its key, type, default, value and meaning.

    :param default: None where the setting is required.
    """

    key: str
    type: str
    default: object
    value: object
    text: str


def describe(settings=None):
    """List every setting.

    :param settings: ``Settings`` to take values from, or None.
    :returns: list of ``Described``.
    """
    found = []
    for section in dataclasses.fields(Settings):
        values = settings and getattr(settings, section.name)
        if not dataclasses.is_dataclass(section.type):
            found.append(_described("", section, values))
            continue
        for field in dataclasses.fields(section.type):
            value = values and getattr(values, field.name)
            found.append(_described(section.name + ".", field, value))
    return found


def _described(prefix, field, value):
    required = field.default is dataclasses.MISSING
    return Described(
        key=prefix + field.name,
        type=getattr(field.type, "__name__", str(field.type)),
        default=None if required else field.default,
        value=value,
        text=field.metadata["help"],
    )


_POSITIVE_SECTIONS = ("lease", "limits", "ledger", "drain")
_GATEWAY_POSITIVE = ("grace_s", "turn_s", "news_s", "retry_window_s")
_GATEWAY_COUNTS = ("retry_ratio", "retry_extra")


def _address_problems(path, address):
    try:
        _net.split_address(address)
    except exceptions.BadField:
        yield _schema.Problem(path, repr(address), "ip:port")


def _range_problems(settings):
    for section in _POSITIVE_SECTIONS:
        part = getattr(settings, section)
        for field in dataclasses.fields(part):
            value = getattr(part, field.name)
            if not value > 0:
                path = f"{section}.{field.name}"
                yield _schema.Problem(path, repr(value), "more than 0")
    for name in _GATEWAY_POSITIVE:
        value = getattr(settings.gateway, name)
        if not value > 0:
            path = f"gateway.{name}"
            yield _schema.Problem(path, repr(value), "more than 0")
    for name in _GATEWAY_COUNTS:
        value = getattr(settings.gateway, name)
        if value < 0:
            path = f"gateway.{name}"
            yield _schema.Problem(path, repr(value), "0 or more")
    lease = settings.lease
    if lease.renew_s + lease.margin_s >= lease.ttl_s:
        yield _schema.Problem(
            "lease.renew_s",
            repr(lease.renew_s),
            "less than ttl_s - margin_s",
        )
    if settings.platform.weight_store_loads_per_s <= 0:
        yield _schema.Problem(
            "platform.weight_store_loads_per_s",
            repr(settings.platform.weight_store_loads_per_s),
            "more than 0",
        )


def _name_problems(node):
    for field in ("name", "region", "data_centre"):
        value = getattr(node, field)
        if not value or not value.replace("-", "").isalnum():
            yield _schema.Problem(
                f"node.{field}", repr(value), "letters, digits and dashes"
            )


def check(settings):
    """Check what types can't express.

    :param settings: ``Settings``.
    :returns: list of ``Problem``.
    """
    node = settings.node
    problems = list(_name_problems(node))
    for field in ("caller_address", "peer_address", "admin_address"):
        problems += _address_problems(f"node.{field}", getattr(node, field))
    if not settings.platform.kv_addresses:
        path = "platform.kv_addresses"
        problems.append(_schema.Problem(path, "an empty list", "an address"))
    for position, address in enumerate(settings.platform.kv_addresses):
        path = f"platform.kv_addresses.{position}"
        problems += _address_problems(path, address)
    for position, address in enumerate(node.seed_addresses):
        path = f"node.seed_addresses.{position}"
        problems += _address_problems(path, address)
    for field in ("ready_address", "directory_address"):
        address = getattr(settings.gateway, field)
        if settings.gateway.ready_address:
            problems += _address_problems(f"gateway.{field}", address)
    if settings.platform.host_list_address:
        problems += _address_problems(
            "platform.host_list_address", settings.platform.host_list_address
        )
    return problems + list(_range_problems(settings))


def loads(text):
    """Read settings from TOML text.

    :param text: the text.
    :returns: ``Settings``.
    :raises SettingsError: with every problem found.
    """
    try:
        value = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as exc:
        problem = _schema.Problem("(file)", str(exc), "TOML")
        raise exceptions.SettingsError([problem]) from exc
    settings, problems = _schema.structure(value, Settings)
    if settings is not None:
        problems = check(settings)
    if problems:
        raise exceptions.SettingsError(problems)
    return settings


def load(path):
    """Read settings from a file.

    :param path: the file's path.
    :returns: ``Settings``.
    :raises SettingsError: with every problem found.
    """
    try:
        with open(path, "rb") as file:
            text = file.read().decode()
    except (OSError, UnicodeDecodeError) as exc:
        problem = _schema.Problem(str(path), str(exc), "a readable file")
        raise exceptions.SettingsError([problem]) from exc
    return loads(text)
