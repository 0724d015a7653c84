"""The keys of the configuration file as the platform's pages define them: presence, type and bounds.

The table names each key that the relay reads.  Keys that it does not name are not checked here.  Which of the
other keys a file read at SIGHUP must have is decided in `required_keys.py`, which asks this module which keys
the pages let a file leave out.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum, auto
from typing import Any


class Presence(Enum):
    """When a file may leave a key out."""

    REQUIRED = auto()  # not once a file before it had the key
    OPTIONAL = auto()
    IDEMPOTENT_BY_KEY = auto()  # it may, but for a class that is idempotent by key


class ValueType(Enum):
    """The JSON type of a value."""

    TEXT = "a text"
    FLAG = "true or false"
    NUMBER = "a number"
    OBJECT = "an object"
    LIST = "a list"

    def admits(self, value: Any) -> bool:
        if self is ValueType.NUMBER:
            is_number = isinstance(value, int | float) and not isinstance(value, bool)
            return is_number and math.isfinite(value)
        return isinstance(value, PYTHON_TYPES[self])


PYTHON_TYPES = {ValueType.TEXT: str, ValueType.FLAG: bool, ValueType.OBJECT: dict, ValueType.LIST: list}


class InvalidValue(ValueError):
    """A value has another type than the pages say, or is out of bounds; the text names its key."""


@dataclass(frozen=True, slots=True)
class Key:
    """What the pages say of one key."""

    type: ValueType
    presence: Presence = Presence.REQUIRED
    above: float = -math.inf  # a number is above it
    at_least: float = -math.inf
    choices: frozenset[str] = frozenset()  # a text is one of them, where there are any

    def admits(self, value: Any) -> bool:
        if not self.type.admits(value):
            return False
        if self.type is ValueType.NUMBER:
            return value > self.above and value >= self.at_least
        return not self.choices or value in self.choices


TEXT = Key(ValueType.TEXT)
FLAG = Key(ValueType.FLAG)
NUMBER = Key(ValueType.NUMBER)
POSITIVE = Key(ValueType.NUMBER, above=0)
NOT_NEGATIVE = Key(ValueType.NUMBER, at_least=0)
OBJECT = Key(ValueType.OBJECT)
LIST = Key(ValueType.LIST)
IDEMPOTENT_BY_KEY_SEMANTICS = "token"
SEMANTICS = frozenset(("pure", IDEMPOTENT_BY_KEY_SEMANTICS, "side_effect"))

# By the key's name: dotted, with `[]` behind each list.
KEYS = {
    "settings": OBJECT,
    "settings.balancers": POSITIVE,
    "settings.period-us": NOT_NEGATIVE,
    "settings.membership-mode": TEXT,
    "settings.weight-source": TEXT,
    "settings.locality": NOT_NEGATIVE,
    "settings.localities": LIST,
    "settings.localities[]": TEXT,
    "settings.skus": LIST,
    "settings.skus[]": TEXT,
    "settings.over-share-worth": NOT_NEGATIVE,
    "settings.grades": LIST,
    "settings.grades[]": OBJECT,
    "settings.grades[].name": TEXT,
    "settings.grades[].credit": NOT_NEGATIVE,
    "settings.grades[].objective-us": POSITIVE,
    "settings.grades[].give-up-us": POSITIVE,
    "settings.grades[].late-share": NOT_NEGATIVE,
    "settings.grades[].semantics": Key(ValueType.TEXT, choices=SEMANTICS),
    "settings.grades[].streamed": FLAG,
    "settings.grades[].kinds": LIST,
    "settings.grades[].kinds[]": TEXT,
    "settings.grades[].key-scope": Key(ValueType.TEXT, Presence.IDEMPOTENT_BY_KEY),
    "settings.grades[].dedup-window-us": Key(ValueType.NUMBER, Presence.IDEMPOTENT_BY_KEY, at_least=0),
    "settings.grades[].one-at-a-time": Key(ValueType.FLAG, Presence.OPTIONAL),
    "settings.grades[].aim-stretch": Key(ValueType.NUMBER, Presence.OPTIONAL, at_least=0),
    "settings.family-info": OBJECT,
    "settings.family-info.slots": POSITIVE,
    "settings.family-info.bundle-max": LIST,
    "settings.family-info.bundle-max[]": NOT_NEGATIVE,
    "settings.family-info.kind-apart": LIST,
    "settings.family-info.kind-apart[]": FLAG,
    "settings.family-info.carriage": LIST,
    "settings.family-info.carriage[]": NUMBER,
    "settings.family-info.late": TEXT,
    "settings.ceilings": OBJECT,
    "settings.ceilings.max-attempts": POSITIVE,
    "settings.ceilings.max-open": NOT_NEGATIVE,
    "settings.ceilings.cancel": FLAG,
    "settings.ceilings.second-copies": FLAG,
    "settings.ceilings.retry-after": FLAG,
    "settings.ceilings.max-retry-after-us": NOT_NEGATIVE,
    "settings.ceilings.idle-close-us": NOT_NEGATIVE,
    "settings.ceilings.connect-timeout-us": NOT_NEGATIVE,
    "settings.obligations": OBJECT,
    "settings.obligations.answer-slack-us": NOT_NEGATIVE,
    "settings.obligations.must-ask-in-us": NOT_NEGATIVE,
    "settings.obligations.cold-from": NOT_NEGATIVE,
    "settings.obligations.cold-us": NOT_NEGATIVE,
    "settings.obligations.drain-grace-us": NOT_NEGATIVE,
    "settings.obligations.fall-multiple": NOT_NEGATIVE,
    "settings.obligations.fall-us": NOT_NEGATIVE,
    "settings.obligations.key-quiet-us": Key(ValueType.NUMBER, Presence.OPTIONAL, at_least=0),
    "settings.customers": LIST,
    "settings.customers[]": OBJECT,
    "settings.customers[].name": TEXT,
    "settings.customers[].quota-rps": NOT_NEGATIVE,
    "settings.report": OBJECT,
    "settings.report.fields": LIST,
    "settings.report.fields[]": TEXT,
    "limits": OBJECT,
    "limits.cores": POSITIVE,
    "limits.memory_mb": POSITIVE,
    "limits.sockets": POSITIVE,
    "limits.disk_mb": POSITIVE,
}


def check_types(value: Any, name: str = "") -> None:
    """Raise InvalidValue unless each value that the table names has its type and is within its bounds.

    A null is no value; whether its key needs one is decided in `required_keys.py`, except that a key which
    the pages let a file leave out is left out or has a value.
    """
    key = KEYS.get(name)
    if key is None and name:  # nothing in it is in the table either
        return
    if value is None and key and key.presence is Presence.REQUIRED:
        return
    if key and not key.admits(value):
        raise InvalidValue(f"{name} is not {key.type.value}, or out of bounds")
    if isinstance(value, dict):
        for inner_name, inner in value.items():
            check_types(inner, f"{name}.{inner_name}" if name else inner_name)
    elif isinstance(value, list):
        for inner in value:
            check_types(inner, f"{name}[]")


def may_be_absent(name: str, siblings: dict[str, Any]) -> bool:
    """Whether the pages let a file leave a key out; `siblings`: the object that lacks it."""
    presence = KEYS[name].presence if name in KEYS else Presence.REQUIRED
    if presence is Presence.IDEMPOTENT_BY_KEY:
        return siblings.get("semantics") != IDEMPOTENT_BY_KEY_SEMANTICS
    return presence is Presence.OPTIONAL
