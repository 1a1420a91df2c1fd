"""Decoders for what the operator and the servers write to the store.

Entries are untrusted: one that can't be decoded raises ``BadField`` and
affects no other.
"""

import contextlib
import ipaddress
import json
import re

from coltsfootsail import _fleet
from coltsfootsail import exceptions

CONFIG_KEY = "op/config"
VERSION_PREFIX = "op/version/"
SERVER_PREFIX = "servers/"
KEY_DIGESTS = "keyDigests"  # written by this system only, between nodes

_ROUTE_KINDS = {
    "idempotent": _fleet.RouteKind.IDEMPOTENT,
    "mutating": _fleet.RouteKind.MUTATING,
    "streaming": _fleet.RouteKind.STREAMING,
}
_DRAINING_BY_STATE = {"ready": False, "draining": True}
DECODE_ERRORS = (
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    OverflowError,  # an infinite number where an integer is due
    RecursionError,
)
_REQUIRED = object()
# Names that are sent in headers.
_HEADER_TEXT = re.compile(r"[!-~]([ -~]*[!-~])?")
_ADDRESS = re.compile(r"(\[[0-9A-Fa-f:.]+\]|[A-Za-z0-9._-]+):([0-9]{1,5})")
_NUMERIC_HOST = re.compile(r"\[.*\]|[0-9.]+")
_PORT_MAX = 65535
NUMBER_MAX = 2**63 - 1  # what messages between nodes can carry


def _load_object(value):
    try:
        raw = json.loads(value)
    except RecursionError as exc:
        raise ValueError("nested too deeply") from exc
    if not isinstance(raw, dict):
        raise TypeError("not an object")
    return raw


@contextlib.contextmanager
def _naming(path):
    """Name the field that can't be decoded.

    Only the kind of the error is told, because the value may be a key.

    :raises BadField: in place of an error of decoding.
    """
    try:
        yield
    except exceptions.BadField as exc:
        joint = "" if exc.detail.startswith("[") else "."
        raise exceptions.BadField(f"{path}{joint}{exc.detail}") from None
    except DECODE_ERRORS as exc:
        raise exceptions.BadField(f"{path}: {type(exc).__name__}") from None


def _field(raw, name, convert, default=_REQUIRED):
    """Convert a field of an object.

    :param default: the result if the field is missing or null.
    :raises BadField: if the field is missing or can't be converted.
    """
    with _naming(name):
        value = raw.get(name)
        if value is None:
            if default is _REQUIRED:
                raise KeyError(name)
            return default
        return convert(value)


def _items(convert):
    """Make the conversion of a list, whose items are named by position."""

    def convert_all(values):
        if not isinstance(values, list):
            raise TypeError("not a list")
        items = []
        for position, value in enumerate(values):
            with _naming(f"[{position}]"):
                items.append(convert(value))
        return tuple(items)

    return convert_all


def _bounded(number):
    if not 0 <= number <= NUMBER_MAX:
        raise ValueError("out of range")
    return number


def _number(value):
    """Convert a number that is not negative, nor too large for messages."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError("not a number")
    return float(_bounded(value))


def _whole_number(value):
    number = _number(value)
    if number != int(number):
        raise ValueError("not a whole number")
    return int(value)


def _text(value):
    if not isinstance(value, str):
        raise TypeError("not text")
    value.encode()  # fails on lone surrogates, as messages with them would
    return value


def _header_text(value):
    if not _HEADER_TEXT.fullmatch(_text(value)):
        raise ValueError("not printable")
    return value


def _printed(value):
    """Convert text, or a value that stands for its text."""
    return _text(str(value))


def _amount(value):
    """Convert a number, or its text, as ``_number``."""
    if isinstance(value, bool):
        raise TypeError("not a number")
    return _bounded(float(value))


def _count(value):
    """Convert a number, or its text, without its fraction."""
    if isinstance(value, bool):
        raise TypeError("not a number")
    return _bounded(int(value))


def _positive(convert):
    """Make a conversion that refuses 0."""

    def convert_positive(value):
        number = convert(value)
        if not number:
            raise ValueError("not above 0")
        return number

    return convert_positive


def _milliseconds(value):
    return _amount(value) / 1000


def _target(raw):
    return _fleet.RouteTarget(
        _field(raw, "service", _printed), _field(raw, "weight", _amount)
    )


def _targets(raw):
    if raw.get("split"):
        return _field(raw, "split", _items(_target))
    return (_fleet.RouteTarget(_field(raw, "service", _printed), 1.0),)


def _route(raw):
    timeout_s = _field(raw, "timeoutMs", _positive(_milliseconds))
    return _fleet.Route(
        name=_field(raw, "name", _printed),
        host=_field(raw, "host", _printed),
        prefix=_field(raw, "prefix", _printed),
        kind=_field(raw, "type", lambda value: _ROUTE_KINDS[value]),
        targets=_targets(raw),
        timeout_s=timeout_s,
        objective_s=_field(raw, "sloMs", _milliseconds, timeout_s),
        gap_s=_field(raw, "gapSloMs", _milliseconds, 0.0),
        priority=_field(raw, "priority", _count, 5),
        attempts=_field(raw, "attempts", _count, 1),
        resumable=_field(raw, "resumable", bool, False),
        # Text such as "false" must not make a route public.
        public=raw.get("public") is True,
    )


def _model(raw):
    return _fleet.BaseModel(
        name=_field(raw, "name", _printed),
        weights_mb=_field(raw, "weightsMb", _amount),
        adapter_mb=_field(raw, "adapterMb", _amount, 0.0),
        load_s=_field(raw, "loadS", _amount, 0.0) or 1.0,
    )


def _engine(raw):
    if not raw:
        return None
    return _fleet.EngineSpec(
        slots=_field(raw, "slots", _count),
        memory_tokens=_field(raw, "kvTokens", _count),
        adapter_slots=_field(raw, "adapterSlots", _count, 0),
        event_tokens=_field(raw, "stride", _count, 1),
        weights_mb=_field(raw, "weightsMb", _amount, 0.0),
        models=_field(raw, "models", _items(_model), ()),
    )


def _service(raw):
    return _fleet.Service(
        name=_field(raw, "name", _printed),
        connections_max=_field(raw, "maxConns", _count, 0) or 100,
        engine=_field(raw, "engine", _engine, None),
    )


def _limits(raw):
    default = _fleet.CallerLimits()
    if not raw:
        return default
    return _fleet.CallerLimits(
        header_bytes=_field(
            raw, "maxHeaderBytes", _positive(_count), default.header_bytes
        ),
        body_bytes=_field(raw, "maxBodyBytes", _count, default.body_bytes),
        header_timeout_s=_field(
            raw, "headerTimeoutMs", _milliseconds, default.header_timeout_s
        ),
        idle_timeout_s=_field(
            raw, "idleTimeoutMs", _milliseconds, default.idle_timeout_s
        ),
    )


def _quota(raw):
    per_s = _field(raw, "ratePerS", _number, 0.0)
    quota = _fleet.Quota(
        per_s=per_s,
        burst=_field(raw, "burst", _number, 0.0),
        counts_tokens=raw.get("unit") == "tokens",
        plain_cost=_field(raw, "plainTokens", _number, 0.0),
    )
    return quota if per_s else None


def _key_digest(key):
    if not _text(key):
        raise ValueError("empty")
    return _fleet.digest(key)


def _workspace(raw):
    digests = _field(raw, "apiKeys", _items(_key_digest), ())
    digests += _field(raw, KEY_DIGESTS, _items(_text), ())
    return _fleet.Workspace(
        name=_field(raw, "name", _header_text),
        key_digests=frozenset(digests),
        priority=_field(raw, "priority", _whole_number, None),
        quota=_quota(raw),
    )


def _workspaces(raw):
    workspaces = {}
    for position, workspace in enumerate(_items(_workspace)(raw)):
        if workspace.name in workspaces:
            raise exceptions.BadField(f"[{position}].name: duplicate")
        workspaces[workspace.name] = workspace
    return workspaces


def redact_keys(value):
    """Replace the keys in an encoded configuration by their digests.

    :param value: the bytes stored under ``CONFIG_KEY``.
    :returns: bytes that ``decode_deployment`` decodes to the same.
    """
    try:
        raw = _load_object(value)
        tenants = raw.get("tenants")
        if not tenants:
            return value
        raw["tenants"] = [_without_keys(item) for item in tenants]
        return json.dumps(raw).encode()
    except (exceptions.BadField, *DECODE_ERRORS):
        # What can't be decoded is not applied, and must not be kept either.
        return b""


def _without_keys(raw):
    digests = sorted(_workspace(raw).key_digests)
    return {**raw, "apiKeys": [], KEY_DIGESTS: digests}


def decode_deployment(value):
    """Decode the operator's configuration.

    :param value: the bytes stored under ``CONFIG_KEY``.
    :returns: a ``Deployment``.
    :raises BadField: if it can't be decoded.
    """
    with _naming("configuration"):
        raw = _load_object(value)
        services = _field(raw, "services", _items(_service))
        return _fleet.Deployment(
            version=_field(raw, "version", _count),
            routes=_field(raw, "routes", _items(_route)),
            services={service.name: service for service in services},
            limits=_field(raw, "limits", _limits, _fleet.CallerLimits()),
            workspaces=_field(raw, "tenants", _workspaces, None),
        )


def _adapters(texts):
    """Decode the adapters of a model, each a name and perhaps a version."""
    for text in _items(_text)(texts):
        name, _, version = text.partition("@")
        yield name, _bounded(int(version or 1))


def _held_model(raw):
    """Decode a model of a registration or a report.

    :returns: its name, and a tuple of pairs of adapter and version.
    """
    adapters = _field(
        raw, "adapters", lambda texts: tuple(_adapters(texts)), ()
    )
    return _field(raw, "name", _text), adapters


def decode_models(raw):
    """Decode the ``models`` field of a registration or a report.

    :returns: tuple of the model names, and dict of adapter key to version.
    :raises BadField: if it can't be decoded.
    """
    with _naming("models"):
        models = _items(_held_model)(raw or [])
    adapters = {
        _fleet.adapter_key(model, name): version
        for model, held in models
        for name, version in held
    }
    return tuple(model for model, _ in models), adapters


def _address(value):
    """Check that a server's address is a host and a port."""
    match = _ADDRESS.fullmatch(_text(value))
    if not match or not 1 <= int(match[2]) <= _PORT_MAX:
        raise ValueError("not an address")
    if _NUMERIC_HOST.fullmatch(match[1]):
        ipaddress.ip_address(match[1].strip("[]"))
    return value


def _software(value):
    """Convert a version of software: text that may be empty, or a number."""
    if not isinstance(value, str | int | float):
        raise TypeError("not text")
    return _header_text(str(value)) if value != "" else ""


def decode_server(entry):
    """Decode a server's registration.

    :param entry: an ``Entry`` under ``SERVER_PREFIX``.
    :returns: a ``Server``.
    :raises BadField: if it can't be decoded.
    """
    with _naming(entry.key):
        name = _header_text(entry.key.removeprefix(SERVER_PREFIX))
        raw = _load_object(entry.value)
        names, adapters = decode_models(raw.get("models"))
        return _fleet.Server(
            name=name,
            service=_field(raw, "service", _text),
            address=_field(raw, "addr", _address),
            data_centre=_field(raw, "zone", _text, ""),
            draining=_field(raw, "state", lambda s: _DRAINING_BY_STATE[s]),
            slots=_field(raw, "slots", _whole_number, 0) or 1,
            models=names,
            adapters=adapters,
            created=entry.create_revision,
            software=_field(raw, "version", _software, ""),
            cold_left_s=_field(raw, "coldLeftMs", _number, 0.0) / 1000,
            born_ms=_field(raw, "born", _whole_number, 0),
        )


def decode_adapter_version(value):
    """Decode the operator's declaration of an adapter version.

    :returns: tuple of adapter key and version.
    :raises BadField: if it can't be decoded.
    """
    with _naming("version"):
        raw = _load_object(value)
        key = _fleet.adapter_key(
            _field(raw, "model", str), _field(raw, "adapter", str, "")
        )
        return key, _field(raw, "version", lambda v: _bounded(int(v)))
