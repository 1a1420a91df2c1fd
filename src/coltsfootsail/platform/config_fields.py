"""Fields of the operator's configuration, and checks of their types.

No value is ever part of a finding's text, since it may be a key.
"""

import dataclasses
import difflib

from coltsfootsail.platform import registry

REQUIRED = True


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """Something that is wrong with a configuration.

    :param level: ``error`` or ``warning``.
    :param place: where it is, such as ``routes[2].timeoutMs``.
    :param code: what kind it is, as one word.
    """

    level: str
    place: str
    code: str
    text: str


def error(place, code, text):
    """Make the finding of a mistake by which requests fail."""
    return Finding("error", place, code, text)


def warning(place, code, text):
    """Make the finding of something that has no or another effect."""
    return Finding("warning", place, code, text)


def _is_text(value):
    return isinstance(value, str)


def _is_flag(value):
    return isinstance(value, bool)


def _is_number(value):
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return is_number and 0 <= value <= registry.NUMBER_MAX


def _is_positive(value):
    return _is_number(value) and value > 0


def _is_positive_count(value):
    return _is_count(value) and value > 0


def _is_count(value):
    return _is_number(value) and value == int(value)


def _is_object(value):
    return isinstance(value, dict)


def _is_list(value):
    return isinstance(value, list)


def _is_kind(value):
    return value in ("idempotent", "mutating", "streaming")


_EXPECTED = {
    _is_text: "a text",
    _is_flag: "true or false",
    _is_number: "a number, 0 or more",
    _is_count: "a whole number, 0 or more",
    _is_positive: "a number above 0",
    _is_positive_count: "a whole number above 0",
    _is_object: "an object",
    _is_list: "a list",
    _is_kind: "idempotent, mutating or streaming",
}

# Of each kind of object: name of a field, and its check and whether it is
# required.
_DOCUMENT = {
    "version": (_is_count, REQUIRED),
    "routes": (_is_list, REQUIRED),
    "services": (_is_list, REQUIRED),
    "limits": (_is_object, False),
    "tenants": (_is_list, False),
}
_ROUTE = {
    "name": (_is_text, REQUIRED),
    "host": (_is_text, REQUIRED),
    "prefix": (_is_text, REQUIRED),
    "type": (_is_kind, REQUIRED),
    "service": (_is_text, False),
    "split": (_is_list, False),
    "timeoutMs": (_is_positive, REQUIRED),
    "sloMs": (_is_number, False),
    "gapSloMs": (_is_number, False),
    "priority": (_is_count, False),
    "attempts": (_is_count, False),
    "sticky": (_is_flag, False),
    "resumable": (_is_flag, False),
    "public": (_is_flag, False),
}
_SPLIT = {
    "service": (_is_text, REQUIRED),
    "weight": (_is_number, REQUIRED),
}
_SERVICE = {
    "name": (_is_text, REQUIRED),
    "maxConns": (_is_count, False),
    "engine": (_is_object, False),
}
_ENGINE = {
    "slots": (_is_count, REQUIRED),
    "kvTokens": (_is_count, REQUIRED),
    "stride": (_is_count, False),
    "models": (_is_list, False),
    "weightsMb": (_is_number, False),
    "adapterSlots": (_is_count, False),
    "loadsPerS": (_is_number, False),
}
_MODEL = {
    "name": (_is_text, REQUIRED),
    "weightsMb": (_is_number, REQUIRED),
    "loadS": (_is_number, False),
    "adapters": (_is_count, False),
    "adapterMb": (_is_number, False),
}
_LIMITS = {
    "maxHeaderBytes": (_is_positive_count, False),
    "maxBodyBytes": (_is_count, False),
    "headerTimeoutMs": (_is_number, False),
    "idleTimeoutMs": (_is_number, False),
}
_TENANT = {
    "name": (_is_text, REQUIRED),
    "apiKeys": (_is_list, False),
    "keyDigests": (_is_list, False),
    "priority": (_is_count, False),
    "ratePerS": (_is_number, False),
    "burst": (_is_number, False),
    "unit": (_is_text, False),
    "plainTokens": (_is_number, False),
}


def _check_object(value, fields, place):
    """Check the fields of one object, without what they contain."""
    if not _is_object(value):
        yield error(place, "type", "expected an object")
        return
    prefix = f"{place}." if place else ""
    for name, (check, required) in fields.items():
        if value.get(name) is None:
            if required:
                yield error(f"{prefix}{name}", "missing", "is missing")
        elif not check(value[name]):
            yield error(
                f"{prefix}{name}", "type", f"expected {_EXPECTED[check]}"
            )
    for name in value.keys() - fields.keys():
        close = difflib.get_close_matches(name, fields, 1)
        hint = f", meant {close[0]}?" if close else ""
        yield warning(place, "unknown_field", f"has an unknown field{hint}")


def _items(value, name):
    """List the places and the items of a list of objects."""
    items = value.get(name) if _is_object(value) else None
    return enumerate(items if _is_list(items) else ())


def _check_route(route, place):
    yield from _check_object(route, _ROUTE, place)
    if not _is_object(route):
        return
    for number, part in _items(route, "split"):
        yield from _check_object(part, _SPLIT, f"{place}.split[{number}]")
    if not route.get("split") and route.get("service") is None:
        yield error(f"{place}.service", "missing", "is missing")


def _check_service(service, place):
    yield from _check_object(service, _SERVICE, place)
    engine = service.get("engine") if _is_object(service) else None
    if not engine:
        return
    yield from _check_object(engine, _ENGINE, f"{place}.engine")
    for number, model in _items(engine, "models"):
        yield from _check_object(
            model, _MODEL, f"{place}.engine.models[{number}]"
        )


def _check_tenant(tenant, place):
    yield from _check_object(tenant, _TENANT, place)
    for number, key in _items(tenant, "apiKeys"):
        if not _is_text(key) or not key:
            yield error(
                f"{place}.apiKeys[{number}]", "type", "expected a text"
            )


# Fields whose values may be shown.
SHOWN_FIELDS = frozenset().union(
    *(_ROUTE, _SERVICE, _LIMITS, _TENANT.keys() - {"apiKeys", "keyDigests"})
)
_SECTIONS = {
    "routes": _check_route,
    "services": _check_service,
    "tenants": _check_tenant,
}


def check_fields(raw):
    """Check the types of all fields.

    :param raw: the decoded JSON document.
    :returns: iterator of ``Finding``.
    """
    yield from _check_object(raw, _DOCUMENT, "")
    for section, check in _SECTIONS.items():
        for number, item in _items(raw, section):
            yield from check(item, f"{section}[{number}]")
    if _is_object(raw) and _is_object(raw.get("limits")):
        yield from _check_object(raw["limits"], _LIMITS, "limits")
