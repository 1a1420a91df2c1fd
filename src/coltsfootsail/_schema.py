"""Validating conversion of plain data to frozen data classes.

All mistakes are reported together, each as a ``Problem`` with its path, the
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
SHARED_TUPLES_MAX = 4096


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


_EXPECTED_TEXTS = {
    bool: "true or false",
    int: "a whole number",
    float: "a number",
    str: "a text",
    bytes: "bytes",
}


def _make_scalar_hook(target_type):
    accepted = (int, float) if target_type is float else (target_type,)

    def convert(value, cls):
        if issubclass(cls, enum.Enum):
            return _structure_enum(value, cls)
        if type(value) not in accepted:
            raise _WrongTypeError(value, _EXPECTED_TEXTS[target_type])
        if target_type is str and len(value) <= INTERN_CHARS_MAX:
            return sys.intern(value)
        return target_type(value)

    return convert


def _structure_enum(value, target_type):
    choices = [str(member) for member in target_type]
    if not isinstance(value, str) or value not in choices:
        raise _WrongTypeError(value, "one of " + ", ".join(choices))
    return target_type(value)


def _make_tuple_hook(target_type):
    item_type = typing.get_args(target_type)[0]

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
            raise errors.IterableValidationError("list", failures, target_type)
        result = tuple(items)
        if item_type is not str:
            return result
        return _shared_tuple(result)

    return convert


@functools.lru_cache(maxsize=SHARED_TUPLES_MAX)
def _shared_tuple(items):
    """Return the same tuple for equal arguments, to save memory."""
    return items


def _is_tuple(target_type):
    args = typing.get_args(target_type)
    return typing.get_origin(target_type) is tuple and args[1:] == (Ellipsis,)


def _make_dataclass_hook(target_type):
    structure_fields = gen.make_dict_structure_fn(
        target_type, _CONVERTER, _cattrs_forbid_extra_keys=True
    )

    def convert(value, cls):
        if not isinstance(value, dict):
            raise _WrongTypeError(value, "a table")
        return structure_fields(value, cls)

    return convert


def _make_dict_hook(target_type):
    value_type = typing.get_args(target_type)[1]

    def convert(value, _type):
        if not isinstance(value, dict):
            raise _WrongTypeError(value, "a table")
        failures = []
        result = {}
        for key, item in value.items():
            try:
                result[str(key)] = _CONVERTER.structure(item, value_type)
            except Exception as exc:
                exc.__notes__ = [
                    errors.IterableValidationNote(
                        f"@ key {key!r}", key, value_type
                    )
                ]
                failures.append(exc)
        if failures:
            raise errors.IterableValidationError(
                "table", failures, target_type
            )
        return result

    return convert


def _make_converter():
    converter = cattrs.Converter(detailed_validation=True)
    for target_type in _EXPECTED_TEXTS:
        converter.register_structure_hook(
            target_type, _make_scalar_hook(target_type)
        )
    return converter


_CONVERTER = _make_converter()
_CONVERTER.register_structure_hook_factory(
    dataclasses.is_dataclass, _make_dataclass_hook
)
_CONVERTER.register_structure_hook_factory(_is_tuple, _make_tuple_hook)
_CONVERTER.register_structure_hook_factory(
    lambda target_type: typing.get_origin(target_type) is dict, _make_dict_hook
)


def _make_compact_dataclass_hook(target_type):
    return gen.make_dict_unstructure_fn(
        target_type, _COMPACT_CONVERTER, _cattrs_omit_if_default=True
    )


_COMPACT_CONVERTER = cattrs.Converter()
_COMPACT_CONVERTER.register_unstructure_hook_factory(
    dataclasses.is_dataclass, _make_compact_dataclass_hook
)


def _truncated_repr(value):
    text = repr(value)
    return text if len(text) <= 80 else text[:77] + "..."


def _unknown_keys(exc, path):
    known = [field.name for field in dataclasses.fields(exc.cl)]
    for key in sorted(exc.extra_fields):
        similar = difflib.get_close_matches(key, known, n=1)
        hint = (
            f"no such key; did you mean {similar[0]!r}"
            if similar
            else "no key"
        )
        yield Problem(f"{path}{key}", "an unknown key", hint)


def _problems(exc, path):
    if isinstance(exc, errors.BaseValidationError):
        located, unlocated = exc.group_exceptions()
        for inner, note in located:
            step = getattr(note, "name", getattr(note, "index", ""))
            yield from _problems(inner, f"{path}{step}.")
        for inner in unlocated:
            yield from _problems(inner, path)
    elif isinstance(exc, errors.ForbiddenExtraKeysError):
        yield from _unknown_keys(exc, path)
    elif isinstance(exc, _WrongTypeError):
        yield Problem(
            path.rstrip("."), _truncated_repr(exc.found), exc.expected
        )
    elif isinstance(exc, KeyError):
        yield Problem(path.rstrip("."), "nothing", "a value")
    else:
        yield Problem(
            path.rstrip("."), _truncated_repr(str(exc)), "a valid value"
        )


def structure(value, target_type):
    """Convert plain data to a data class.

    :param value: dicts, lists and scalars decoded from TOML, JSON or msgpack.
    :param target_type: the data class to convert to.
    :returns: tuple of the instance, or None if there are problems, and a
        list of ``Problem``.
    """
    try:
        return _CONVERTER.structure(value, target_type), []
    except errors.BaseValidationError as exc:
        return None, list(_problems(exc, ""))
    except _WrongTypeError as exc:
        return None, list(_problems(exc, ""))


def unstructure(value):
    """Convert an instance of a data class to plain data.

    :param value: the instance.
    :returns: dicts, lists and scalars.
    """
    return _CONVERTER.unstructure(value)


def unstructure_compact(value):
    """Convert an instance to plain data, omitting default values."""
    return _COMPACT_CONVERTER.unstructure(value)
