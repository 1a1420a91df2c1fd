"""Checked conversion of plain data to frozen data classes.

All mistakes are found at once, each as a ``Problem`` with its path, the
value found and what was expected.
"""

import dataclasses
import difflib
import enum
import functools
import sys
import typing

import cattrs
from cattrs import errors
from cattrs import gen

INTERN_CHARS_MAX = 64
SHARED_TUPLES = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """One mistake in settings or in a document."""

    path: str
    found: str
    expected: str

    def __str__(self):
        return f"{self.path}: found {self.found}, expected {self.expected}"


class _WrongTypeError(ValueError):
    def __init__(self, found, expected):
        super().__init__(f"found {found!r}, expected {expected}")
        self.found = found
        self.expected = expected


_EXPECTED = {
    bool: "true or false",
    int: "a whole number",
    float: "a number",
    str: "a text",
    bytes: "bytes",
}


def _strict(kind):
    accepted = (int, float) if kind is float else (kind,)

    def convert(value, wanted):
        if issubclass(wanted, enum.Enum):
            return _strict_enum(value, wanted)
        if type(value) not in accepted:
            raise _WrongTypeError(value, _EXPECTED[kind])
        if kind is str and len(value) <= INTERN_CHARS_MAX:
            return sys.intern(value)
        return kind(value)

    return convert


def _strict_enum(value, kind):
    names = [str(member) for member in kind]
    if not isinstance(value, str) or value not in names:
        raise _WrongTypeError(value, "one of " + ", ".join(names))
    return kind(value)


def _sequence(kind):
    item_type = typing.get_args(kind)[0]

    def convert(value, _type):
        if not isinstance(value, list | tuple):
            raise _WrongTypeError(value, "a list")
        failures = []
        items = []
        for position, item in enumerate(value):
            try:
                items.append(_CONVERTER.structure(item, item_type))
            except Exception as exc:
                note = f"@ index {position}"
                exc.__notes__ = [
                    errors.IterableValidationNote(note, position, item_type)
                ]
                failures.append(exc)
        if failures:
            raise errors.IterableValidationError("list", failures, kind)
        found = tuple(items)
        if item_type is not str:
            return found
        return _shared_tuple(found)

    return convert


@functools.lru_cache(maxsize=SHARED_TUPLES)
def _shared_tuple(items):
    """Return one tuple for all equal ones, to hold it once."""
    return items


def _is_tuple(kind):
    args = typing.get_args(kind)
    return typing.get_origin(kind) is tuple and args[1:] == (Ellipsis,)


def _dataclass(kind):
    convert = gen.make_dict_structure_fn(
        kind, _CONVERTER, _cattrs_forbid_extra_keys=True
    )

    def checked(value, cls):
        if not isinstance(value, dict):
            raise _WrongTypeError(value, "a table")
        return convert(value, cls)

    return checked


def _mapping(kind):
    value_type = typing.get_args(kind)[1]

    def convert(value, _type):
        if not isinstance(value, dict):
            raise _WrongTypeError(value, "a table")
        failures = []
        found = {}
        for key, item in value.items():
            try:
                found[str(key)] = _CONVERTER.structure(item, value_type)
            except Exception as exc:
                exc.__notes__ = [
                    errors.IterableValidationNote(
                        f"@ key {key!r}", key, value_type
                    )
                ]
                failures.append(exc)
        if failures:
            raise errors.IterableValidationError("table", failures, kind)
        return found

    return convert


def _make_converter():
    converter = cattrs.Converter(detailed_validation=True)
    for kind in _EXPECTED:
        converter.register_structure_hook(kind, _strict(kind))
    return converter


_CONVERTER = _make_converter()
_CONVERTER.register_structure_hook_factory(
    dataclasses.is_dataclass, _dataclass
)
_CONVERTER.register_structure_hook_factory(_is_tuple, _sequence)
_CONVERTER.register_structure_hook_factory(
    lambda kind: typing.get_origin(kind) is dict, _mapping
)


def _compact_dataclass(kind):
    return gen.make_dict_unstructure_fn(
        kind, _COMPACT, _cattrs_omit_if_default=True
    )


_COMPACT = cattrs.Converter()
_COMPACT.register_unstructure_hook_factory(
    dataclasses.is_dataclass, _compact_dataclass
)


def _shown(value):
    text = repr(value)
    return text if len(text) <= 80 else text[:77] + "..."


def _unknown_keys(exc, path):
    known = [field.name for field in dataclasses.fields(exc.cl)]
    for key in sorted(exc.extra_fields):
        near = difflib.get_close_matches(key, known, n=1)
        hint = f"no such key; did you mean {near[0]!r}" if near else "no key"
        yield Problem(f"{path}{key}", "an unknown key", hint)


def _problems(exc, path):
    if isinstance(exc, errors.BaseValidationError):
        grouped, plain = exc.group_exceptions()
        for inner, note in grouped:
            step = getattr(note, "name", getattr(note, "index", ""))
            yield from _problems(inner, f"{path}{step}.")
        for inner in plain:
            yield from _problems(inner, path)
    elif isinstance(exc, errors.ForbiddenExtraKeysError):
        yield from _unknown_keys(exc, path)
    elif isinstance(exc, _WrongTypeError):
        yield Problem(path.rstrip("."), _shown(exc.found), exc.expected)
    elif isinstance(exc, KeyError):
        yield Problem(path.rstrip("."), "nothing", "a value")
    else:
        yield Problem(path.rstrip("."), _shown(str(exc)), "a valid value")


def structure(value, kind):
    """Convert plain data to a data class.

    :param value: dicts, lists and scalars as TOML, JSON or msgpack give.
    :param kind: the class to make.
    :returns: tuple of the instance, or None, and a list of ``Problem``.
    """
    try:
        return _CONVERTER.structure(value, kind), []
    except errors.BaseValidationError as exc:
        return None, list(_problems(exc, ""))
    except _WrongTypeError as exc:
        return None, list(_problems(exc, ""))


def unstructure(value):
    """Convert a data class to plain data.

    :param value: an instance.
    :returns: dicts, lists and scalars.
    """
    return _CONVERTER.unstructure(value)


def unstructure_compact(value):
    """Convert a data class to plain data without fields at default."""
    return _COMPACT.unstructure(value)
