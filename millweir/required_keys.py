"""The keys that a reloaded configuration file must have.

The rule: a file read at SIGHUP must have each key that a file applied before it had, with a value of the same
JSON type; in a list of objects, each object must have the keys that all earlier objects of the list had.

Not required are the keys that the platform's pages let a file leave out (`settings_table.py`).

A file without such a key is rejected whole.  Nothing is filled in from defaults, from the environment or from
the values at the start, which may be out of date.  A key that was null or empty needs no value later.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from enum import Enum
from typing import Any

from millweir.settings_table import may_be_absent

LIST_NUMBER = re.compile(r"\[\d+\]")  # in the name of a key


class MissingKey(ValueError):
    """A reloaded file lacks a key, or the key's value has another type; the text names the key."""


class Kind(Enum):
    """The JSON type of a value that is neither an object nor a list."""

    ANY = "a value"  # there was none, or of several types
    BOOLEAN = "true or false"
    NUMBER = "a number"
    TEXT = "a text"


@dataclass(frozen=True, slots=True)
class ObjectShape:
    """The keys of an object."""

    keys: dict[str, Shape]


@dataclass(frozen=True, slots=True)
class ListShape:
    """What the entries of a list have in common; None while there was no entry."""

    entry: Shape | None


Shape = Kind | ObjectShape | ListShape


def read_shape(value: Any) -> Shape:
    """Read the shape of a decoded JSON value."""
    if isinstance(value, dict):
        return ObjectShape({key: read_shape(inner) for key, inner in value.items()})
    if isinstance(value, list):
        entry = None
        for inner in value:
            entry = _find_common(entry, read_shape(inner))
        return ListShape(entry)
    if isinstance(value, bool):
        return Kind.BOOLEAN
    if isinstance(value, int | float):
        return Kind.NUMBER
    return Kind.TEXT if value else Kind.ANY


def extend_shape(required: Shape, applied: Shape) -> Shape:
    """Return what is required after a file of the shape `applied`, which has all that was required before.

    A key that the file was allowed to leave out keeps the type that it had.
    """
    if isinstance(required, ObjectShape) and isinstance(applied, ObjectShape):
        extended = {
            key: extend_shape(required.keys[key], shape) if key in required.keys else shape
            for key, shape in applied.keys.items()
        }
        return ObjectShape(required.keys | extended)
    return _find_common(required, applied)


def check_shape(value: Any, required: Shape, name: str = "") -> None:
    """Raise MissingKey unless a decoded JSON value has all that is required; `name`: of its key, dotted."""
    if isinstance(required, ObjectShape):
        _check_object(value, required, name)
    elif isinstance(required, ListShape):
        if not isinstance(value, list):
            raise MissingKey(f"{name} is not a list")
        if required.entry is not None:
            for number, entry in enumerate(value):
                check_shape(entry, required.entry, f"{name}[{number}]")
    elif required is not Kind.ANY and read_shape(value) is not required:
        raise MissingKey(f"{name} is not {required.value}")


def _check_object(value: Any, required: ObjectShape, name: str) -> None:
    if not isinstance(value, dict):
        raise MissingKey(f"{name or 'the file'} is not an object")
    for key, shape in required.keys.items():
        inner_name = f"{name}.{key}" if name else key
        if key in value:
            check_shape(value[key], shape, inner_name)
        elif not may_be_absent(LIST_NUMBER.sub("[]", inner_name), value):
            raise MissingKey(f"missing key {inner_name}")


def _find_common(first: Shape | None, second: Shape) -> Shape:
    """Return what two shapes have in common."""
    if first is None or first == second:
        return second
    if isinstance(first, ObjectShape) and isinstance(second, ObjectShape):
        shared = first.keys.keys() & second.keys.keys()
        return ObjectShape({key: _find_common(first.keys[key], second.keys[key]) for key in sorted(shared)})
    if isinstance(first, ListShape) and isinstance(second, ListShape):
        return ListShape(first.entry if second.entry is None else _find_common(first.entry, second.entry))
    return Kind.ANY
