"""Decoders for what the operator and the servers write to the store.

Entries are untrusted: one that can't be decoded raises ``BadField`` and
affects no other.
"""

import json

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
)


def _load_object(value):
    try:
        raw = json.loads(value)
    except RecursionError as exc:
        raise ValueError("nested too deeply") from exc
    if not isinstance(raw, dict):
        raise TypeError("not an object")
    return raw


def _targets(raw):
    if raw.get("split"):
        return tuple(
            _fleet.RouteTarget(str(part["service"]), float(part["weight"]))
            for part in raw["split"]
        )
    return (_fleet.RouteTarget(str(raw["service"]), 1.0),)


def _route(raw):
    return _fleet.Route(
        name=str(raw["name"]),
        host=str(raw["host"]),
        prefix=str(raw["prefix"]),
        kind=_ROUTE_KINDS[raw["type"]],
        targets=_targets(raw),
        timeout_s=float(raw["timeoutMs"]) / 1000,
        objective_s=float(raw.get("sloMs", raw["timeoutMs"])) / 1000,
        gap_s=float(raw.get("gapSloMs") or 0) / 1000,
        priority=int(raw.get("priority", 5)),
        attempts=int(raw.get("attempts", 1)),
        resumable=bool(raw.get("resumable", False)),
        public=bool(raw.get("public", False)),
    )


def _model(raw):
    return _fleet.BaseModel(
        name=str(raw["name"]),
        weights_mb=float(raw["weightsMb"]),
        adapter_mb=float(raw.get("adapterMb") or 0),
        load_s=float(raw.get("loadS") or 1),
    )


def _engine(raw):
    if not raw:
        return None
    return _fleet.EngineSpec(
        slots=int(raw["slots"]),
        memory_tokens=int(raw["kvTokens"]),
        adapter_slots=int(raw.get("adapterSlots", 0)),
        event_tokens=int(raw.get("stride", 1)),
        weights_mb=float(raw.get("weightsMb", 0)),
        models=tuple(_model(item) for item in raw.get("models", ())),
    )


def _service(raw):
    return _fleet.Service(
        name=str(raw["name"]),
        connections_max=int(raw.get("maxConns") or 100),
        engine=_engine(raw.get("engine")),
    )


def _limits(raw):
    default = _fleet.CallerLimits()
    if not raw:
        return default
    return _fleet.CallerLimits(
        header_bytes=int(raw.get("maxHeaderBytes", default.header_bytes)),
        body_bytes=int(raw.get("maxBodyBytes", default.body_bytes)),
        header_timeout_s=float(raw.get("headerTimeoutMs", 3000)) / 1000,
        idle_timeout_s=float(raw.get("idleTimeoutMs", 15000)) / 1000,
    )


def _quota(raw):
    per_s = float(raw.get("ratePerS") or 0)
    if not per_s:
        return None
    return _fleet.Quota(
        per_s=per_s,
        burst=float(raw.get("burst") or 0),
        counts_tokens=raw.get("unit") == "tokens",
        plain_cost=float(raw.get("plainTokens") or 0),
    )


def _workspace(raw):
    priority = raw.get("priority")
    digests = [_fleet.digest(str(key)) for key in raw.get("apiKeys") or ()]
    return _fleet.Workspace(
        name=str(raw["name"]),
        key_digests=frozenset([*digests, *(raw.get(KEY_DIGESTS) or ())]),
        priority=None if priority is None else int(priority),
        quota=_quota(raw),
    )


def _workspaces(raw):
    if not raw:
        return None
    workspaces = [_workspace(item) for item in raw]
    return {workspace.name: workspace for workspace in workspaces}


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
    except DECODE_ERRORS:
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
    try:
        raw = _load_object(value)
        services = [_service(item) for item in raw["services"]]
        return _fleet.Deployment(
            version=int(raw["version"]),
            routes=tuple(_route(item) for item in raw["routes"]),
            services={service.name: service for service in services},
            limits=_limits(raw.get("limits")),
            workspaces=_workspaces(raw.get("tenants")),
        )
    except DECODE_ERRORS as exc:
        raise exceptions.BadField(f"configuration: {exc!r}") from exc


def decode_models(raw):
    """Decode the ``models`` field of a registration or a report.

    :returns: tuple of the model names, and dict of adapter key to version.
    """
    names = []
    adapters = {}
    for item in raw or ():
        model = str(item["name"])
        names.append(model)
        for text in item.get("adapters") or ():
            name, _, version = str(text).partition("@")
            key = _fleet.adapter_key(model, name)
            adapters[key] = int(version or 1)
    return tuple(names), adapters


def _address(raw):
    if not isinstance(raw, str) or ":" not in raw:
        raise ValueError("not an address")
    return raw


def decode_server(entry):
    """Decode a server's registration.

    :param entry: an ``Entry`` under ``SERVER_PREFIX``.
    :returns: a ``Server``.
    :raises BadField: if it can't be decoded.
    """
    try:
        raw = _load_object(entry.value)
        names, adapters = decode_models(raw.get("models"))
        return _fleet.Server(
            name=entry.key.removeprefix(SERVER_PREFIX),
            service=str(raw["service"]),
            address=_address(raw["addr"]),
            data_centre=str(raw.get("zone", "")),
            draining=_DRAINING_BY_STATE[raw["state"]],
            slots=int(raw.get("slots") or 1),
            models=names,
            adapters=adapters,
            created=entry.create_revision,
            software=str(raw.get("version", "")),
            cold_left_s=max(0.0, float(raw.get("coldLeftMs") or 0) / 1000),
            born_ms=int(raw.get("born") or 0),
        )
    except DECODE_ERRORS as exc:
        raise exceptions.BadField(f"{entry.key}: {exc!r}") from exc


def decode_adapter_version(value):
    """Decode the operator's declaration of an adapter version.

    :returns: tuple of adapter key and version.
    :raises BadField: if it can't be decoded.
    """
    try:
        raw = _load_object(value)
        key = _fleet.adapter_key(
            str(raw["model"]), str(raw.get("adapter") or "")
        )
        return key, int(raw["version"])
    except DECODE_ERRORS as exc:
        raise exceptions.BadField(f"version: {exc!r}") from exc
