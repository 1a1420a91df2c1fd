"""Settings of one process, from a TOML file, checked as a whole."""

import dataclasses
import tomllib

from coltsfootsail import _net
from coltsfootsail import _schema
from coltsfootsail import exceptions


@dataclasses.dataclass(frozen=True, slots=True)
class TlsSettings:
    """Paths of a certificate, its key and the accepted authorities.

    Empty paths leave the listener or client in clear text.
    """

    certificate: str = ""
    key: str = ""
    authorities: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class NodeSettings:
    """Who this process is and where it listens.

    ``seed_addresses`` are peer addresses of other nodes; a node that
    starts while the KV service is down learns from them.
    """

    name: str
    region: str
    data_centre: str
    caller_address: str
    peer_address: str
    admin_address: str
    seed_addresses: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Where the platform's services are."""

    kv_addresses: tuple[str, ...]
    host_list_address: str = ""
    weight_store_loads_per_s: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseSettings:
    """Lease of the node: length, renewal period, safety margin."""

    ttl_s: int = 15
    renew_s: float = 5.0
    margin_s: float = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class LimitSettings:
    """Bounds on what callers may use."""

    header_bytes: int = 16384
    body_bytes: int = 1_048_576
    connections: int = 2000
    requests: int = 1000
    read_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0
    write_timeout_s: float = 30.0
    request_timeout_s: float = 120.0
    silence_timeout_s: float = 20.0


@dataclasses.dataclass(frozen=True, slots=True)
class LedgerSettings:
    """The at-most-once ledger."""

    buckets: int = 64
    retention_s: float = 86400.0
    answer_bytes: int = 2048
    bucket_bytes: int = 900_000


@dataclasses.dataclass(frozen=True, slots=True)
class DrainSettings:
    """How long cached addresses stay valid, and the longest drain."""

    address_ttl_s: float = 5.0
    timeout_s: float = 180.0


@dataclasses.dataclass(frozen=True, slots=True)
class GatewaySettings:
    """A node on the users' platform, whose store holds the configuration.

    Without a ``ready_address`` the node is one of the other kind.

    :param turn_s: orders of two nodes to one engine lie so far apart.
    :param news_s: a change in the store must be in force in this time.
    :param retry_ratio: repeats allowed for each request of a service.
    :param retry_extra: repeats allowed besides, over all nodes.
    """

    ready_address: str = ""
    directory_address: str = ""
    grace_s: float = 8.0
    turn_s: float = 3.0
    news_s: float = 2.0
    retry_ratio: float = 0.2
    retry_extra: float = 20.0
    retry_window_s: float = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """All settings of a node."""

    node: NodeSettings
    platform: PlatformSettings
    lease: LeaseSettings = LeaseSettings()
    limits: LimitSettings = LimitSettings()
    ledger: LedgerSettings = LedgerSettings()
    drain: DrainSettings = DrainSettings()
    gateway: GatewaySettings = GatewaySettings()
    admin_token_hash: str = ""


_POSITIVE_SECTIONS = ("lease", "limits", "ledger", "drain")


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
