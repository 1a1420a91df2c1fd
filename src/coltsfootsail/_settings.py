"""Settings of one process, read from a TOML file and validated."""

import dataclasses
import tomllib

from coltsfootsail import _logs
from coltsfootsail import _net
from coltsfootsail import _schema
from coltsfootsail import exceptions


_REQUIRED = dataclasses.MISSING
# Pairs of section and key that only earlier builds know; files may have them.
RETIRED = frozenset()


def _setting(text, default=_REQUIRED):
    """Make a data class field for a setting.

    :param text: help text: the meaning and the reason for the default.
    """
    return dataclasses.field(default=default, metadata={"help": text})


@dataclasses.dataclass(frozen=True, slots=True)
class NodeSettings:
    """Identity of this node and the addresses on which it listens."""

    name: str = _setting("Name of the node; unique in the system.")
    region: str = _setting(
        "Region of the node; nodes link only to nodes of the same region."
    )
    data_centre: str = _setting(
        "Data centre of the node; servers in it are preferred."
    )
    caller_address: str = _setting(
        "Address for connections of callers, ip:port."
    )
    peer_address: str = _setting(
        "Address for connections of other nodes, ip:port."
    )
    admin_address: str = _setting(
        "Address for connections of operators, ip:port."
    )
    seed_addresses: tuple[str, ...] = _setting(
        "Peer addresses of nodes to read the configuration from while the "
        "store is unavailable.",
        (),
    )


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Addresses and limits of the platform's services."""

    kv_addresses: tuple[str, ...] = _setting("Addresses of the KV service.")
    host_list_address: str = _setting(
        "Address of the list of endpoint hosts; empty if there is none.",
        "",
    )
    weight_store_loads_per_s: float = _setting(
        "Adapter loads per second that a region's weight store can serve.", 1.0
    )


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseSettings:
    """Lease of the node in the KV service."""

    ttl_s: int = _setting(
        "Time to live; the claims of a dead node are released after it.", 15
    )
    renew_s: float = _setting(
        "Mean time between renewals; two may fail within the time to live.",
        5.0,
    )
    margin_s: float = _setting(
        "How much earlier the node treats its lease as expired: covers the "
        "drift of the store's clock and the travel time of a renewal.",
        3.0,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class LimitSettings:
    """Limits for requests and connections of callers."""

    header_bytes: int = _setting("Largest size of the request headers.", 16384)
    body_bytes: int = _setting("Largest size of a request body.", 1_048_576)
    connections: int = _setting(
        "Most connections of callers open at once.", 2000
    )
    requests: int = _setting("Most requests in progress at once.", 1000)
    read_timeout_s: float = _setting(
        "Time limit for reading a complete request.", 10.0
    )
    idle_timeout_s: float = _setting(
        "How long an idle connection of a caller is kept open.", 60.0
    )
    write_timeout_s: float = _setting(
        "Time limit for writing one part of an answer to a caller.", 30.0
    )
    request_timeout_s: float = _setting(
        "Deadline of a request that states none.", 120.0
    )
    silence_timeout_s: float = _setting(
        "How long an endpoint may send nothing before its request fails.", 20.0
    )


@dataclasses.dataclass(frozen=True, slots=True)
class LedgerSettings:
    """Ledger of the calls that run at most once."""

    buckets: int = _setting(
        "Number of keys in the store over which the ledger is spread.", 64
    )
    retention_s: float = _setting(
        "How long an answer can be requested again: one day.", 86400.0
    )
    answer_bytes: int = _setting("Largest answer that is stored.", 2048)
    bucket_bytes: int = _setting(
        "Largest size of a bucket; the store accepts values up to 1 MB.",
        900_000,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class DrainSettings:
    """Draining of the node before a planned stop."""

    address_ttl_s: float = _setting(
        "How long callers cache an address; a draining node accepts "
        "requests for this time.",
        5.0,
    )
    timeout_s: float = _setting(
        "Longest drain: the longest request, two minutes, and a reserve.",
        180.0,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Gateway mode: a node on the users' platform and its store."""

    ready_address: str = _setting(
        "Address for readiness, metrics and status, ip:port; empty if the "
        "node does not run as a gateway.",
        "",
    )
    directory_address: str = _setting(
        "Address at which callers ask which gateway to use, ip:port.", ""
    )
    grace_s: float = _setting(
        "Time from SIGTERM to SIGKILL, as set by the platform.", 8.0
    )
    turn_s: float = _setting(
        "Shortest time between orders of two different nodes to one engine, "
        "as set by the platform.",
        3.0,
    )
    news_s: float = _setting(
        "Time within which a change in the store must be in force, as set by "
        "the platform.",
        2.0,
    )
    retry_ratio: float = _setting(
        "Retries allowed per request of a service.", 0.2
    )
    retry_extra: float = _setting(
        "Retries allowed in addition, in total over all nodes.", 20.0
    )
    retry_window_s: float = _setting(
        "Time window over which retries are counted.", 10.0
    )
    revocation_s: float = _setting(
        "Time after which no request with a revoked key may run, at any "
        "node; 0 if revocations are only bound by the propagation time.",
        0.0,
    )
    memory_mb: int = _setting(
        "Memory that the host gives the process, in megabytes; what it holds "
        "for callers, servers and peers is bounded by it.",
        300,
    )
    descriptors: int = _setting(
        "File descriptors that the host gives the process, 200 of them for "
        "files; a lower limit of the process itself counts instead.",
        4100,
    )
    quota_window_s: float = _setting(
        "Time window over which a workspace's quota is judged.", 8.0
    )
    quota_overage: float = _setting(
        "Share of a quota by which a window may exceed it.", 0.0
    )
    quota_slack: float = _setting(
        "Tokens or requests by which a window may exceed a quota besides.",
        0.0,
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
        "SHA-256 of the operators' token in hex; empty requires no token.", ""
    )


@dataclasses.dataclass(frozen=True, slots=True)
class SettingDescription:
    """A setting: its key, type, default, value and help text.

    :param default: None if the setting is required.
    :param value: None if no settings were given.
    """

    key: str
    type: str
    default: object
    value: object
    text: str


def describe(settings=None):
    """Describe every setting.

    :param settings: ``Settings`` to take the values from, or None.
    :returns: list of ``SettingDescription``.
    """
    descriptions = []
    for section in dataclasses.fields(Settings):
        values = settings and getattr(settings, section.name)
        if not dataclasses.is_dataclass(section.type):
            descriptions.append(_describe_field("", section, values))
            continue
        for field in dataclasses.fields(section.type):
            value = values and getattr(values, field.name)
            descriptions.append(
                _describe_field(section.name + ".", field, value)
            )
    return descriptions


def _describe_field(prefix, field, value):
    required = field.default is dataclasses.MISSING
    return SettingDescription(
        key=prefix + field.name,
        type=getattr(field.type, "__name__", str(field.type)),
        default=None if required else field.default,
        value=value,
        text=field.metadata["help"],
    )


_POSITIVE_SECTIONS = ("lease", "limits", "ledger", "drain")
_GATEWAY_POSITIVE = ("grace_s", "turn_s", "news_s", "retry_window_s")
_GATEWAY_NOT_NEGATIVE = ("retry_ratio", "retry_extra", "revocation_s")


def _address_problems(path, address):
    try:
        _net.split_address(address)
    except exceptions.BadField:
        yield _schema.Problem(path, repr(address), "ip:port")


def _range_problems(settings):
    for section in _POSITIVE_SECTIONS:
        values = getattr(settings, section)
        for field in dataclasses.fields(values):
            value = getattr(values, field.name)
            if not value > 0:
                path = f"{section}.{field.name}"
                yield _schema.Problem(path, repr(value), "more than 0")
    for name in _GATEWAY_POSITIVE:
        value = getattr(settings.gateway, name)
        if not value > 0:
            path = f"gateway.{name}"
            yield _schema.Problem(path, repr(value), "more than 0")
    for name in _GATEWAY_NOT_NEGATIVE:
        value = getattr(settings.gateway, name)
        if not value >= 0:
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
    """Validate what the types can't express.

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


def _drop_retired(value):
    """Drop the keys that only earlier builds know, and warn of each.

    :param value: the decoded settings, which are changed.
    """
    for section, key in RETIRED:
        table = value.get(section)
        if isinstance(table, dict) and key in table:
            del table[key]
            _logs.state("setting_retired", key=f"{section}.{key}")


def loads(text):
    """Read settings from TOML text.

    :param text: the text.
    :returns: ``Settings``.
    :raises SettingsError: with every problem found.
    """
    try:
        value = tomllib.loads(text)
    except (ValueError, RecursionError) as exc:
        problem = _schema.Problem("(file)", str(exc), "TOML")
        raise exceptions.SettingsError([problem]) from exc
    _drop_retired(value)
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
