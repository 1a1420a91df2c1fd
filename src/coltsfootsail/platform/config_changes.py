"""What differs between two versions of the operator's configuration.

Keys are counted and named by tenant and position, never shown.
"""

import dataclasses
import json

from coltsfootsail import _fleet
from coltsfootsail.platform import config_fields
from coltsfootsail.platform import registry

SECTIONS = ("routes", "services", "tenants")
_KEY_FIELDS = frozenset({"apiKeys", registry.KEY_DIGESTS})


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """One difference.

    :param place: section and name, and the field if one has changed.
    :param old: text of the old value, empty if there was none.
    :param new: text of the new value, empty if there is none.
    """

    place: str
    kind: str
    old: str = ""
    new: str = ""


def list_changes(old, new):
    """List what differs between two documents whose fields are valid.

    :returns: iterator of ``Change``.
    """
    for section in SECTIONS:
        yield from _compare_sections(
            section, _by_name(old, section), _by_name(new, section)
        )
    yield from _compare_fields(
        "limits", old.get("limits") or {}, new.get("limits") or {}
    )


def _by_name(document, section):
    return {item["name"]: item for item in document.get(section) or ()}


def _compare_sections(section, old, new):
    for name in sorted(old.keys() | new.keys()):
        place = f"{section}/{name}"
        if name not in new:
            yield Change(place, "removed")
        elif name not in old:
            yield Change(place, "added")
        else:
            yield from _compare_fields(place, old[name], new[name])


def _compare_fields(place, old, new):
    for name in sorted((old.keys() | new.keys()) - _KEY_FIELDS):
        before, after = old.get(name), new.get(name)
        if before == after:
            continue
        if name in config_fields.SHOWN_FIELDS:
            yield Change(
                f"{place}.{name}", "changed", _text(before), _text(after)
            )
        else:
            yield Change(place, "unknown field changed")
    if place.startswith("tenants/"):
        yield from _compare_keys(place, _digests(old), _digests(new))


def _text(value):
    return "" if value is None else json.dumps(value, ensure_ascii=False)


def _digests(tenant):
    keys = [_fleet.digest(key) for key in tenant.get("apiKeys") or ()]
    return [*keys, *(tenant.get(registry.KEY_DIGESTS) or ())]


def _compare_keys(place, old, new):
    for kind, digests, others in (
        ("removed", old, new),
        ("added", new, old),
    ):
        for position, digest in enumerate(digests):
            if digest not in others:
                yield Change(f"{place}.apiKeys[{position}]", kind)
