"""The keys of the configuration file as the platform's pages define them: presence, type and bounds.

The table below names each key that the relay reads.  Keys that it does not name are not checked here.  Which
of the other keys a file read at SIGHUP must have is decided in `required_keys.py`, which asks this module
which keys the pages let a file leave out.
"""

from __future__ import annotations

from enum import Enum
from typing import Annotated, Any, Literal, get_args, get_origin, get_type_hints

import msgspec
from msgspec import UNSET, Meta, Struct, UnsetType


class Presence(Enum):
    """When a file may leave a key out; without a mark it may not, once a file before it had the key."""

    OPTIONAL = "always"
    IDEMPOTENT_BY_KEY = "in a class that is not idempotent by key"


class InvalidValue(ValueError):
    """A value has another type than the pages say, or is out of bounds; the text names its key."""


IDEMPOTENT_BY_KEY_SEMANTICS = "token"
Positive = Annotated[float, Meta(gt=0)] | UnsetType
NotNegative = Annotated[float, Meta(ge=0)] | UnsetType
Flag = bool | UnsetType
Text = str | UnsetType


class ClassTable(Struct, rename="kebab"):
    """`settings.grades[]`: the service classes."""

    name: Text = UNSET
    credit: NotNegative = UNSET
    objective_us: Positive = UNSET
    give_up_us: Positive = UNSET
    late_share: NotNegative = UNSET
    semantics: Literal["pure", "token", "side_effect"] | UnsetType = UNSET
    streamed: Flag = UNSET
    kinds: list[str] | UnsetType = UNSET
    key_scope: Annotated[Text, Presence.IDEMPOTENT_BY_KEY] = UNSET
    dedup_window_us: Annotated[NotNegative, Presence.IDEMPOTENT_BY_KEY] = UNSET
    one_at_a_time: Annotated[Flag, Presence.OPTIONAL] = UNSET
    aim_stretch: Annotated[NotNegative, Presence.OPTIONAL] = UNSET


class FamilyTable(Struct, rename="kebab"):
    """`settings.family-info`: the properties of the service type."""

    slots: Positive = UNSET
    bundle_max: list[Annotated[int, Meta(ge=0)]] | UnsetType = UNSET
    kind_apart: list[bool] | UnsetType = UNSET
    carriage: list[float] | UnsetType = UNSET
    late: Text = UNSET


class CeilingsTable(Struct, rename="kebab"):
    """`settings.ceilings`: what the site permits."""

    max_attempts: Positive = UNSET
    max_open: NotNegative = UNSET
    cancel: Flag = UNSET
    second_copies: Flag = UNSET
    retry_after: Flag = UNSET
    max_retry_after_us: NotNegative = UNSET
    idle_close_us: NotNegative = UNSET
    connect_timeout_us: NotNegative = UNSET


class ObligationsTable(Struct, rename="kebab"):
    """`settings.obligations`: the figures of the rules."""

    answer_slack_us: NotNegative = UNSET
    must_ask_in_us: NotNegative = UNSET
    cold_from: NotNegative = UNSET
    cold_us: NotNegative = UNSET
    drain_grace_us: NotNegative = UNSET
    fall_multiple: NotNegative = UNSET
    fall_us: NotNegative = UNSET
    key_quiet_us: Annotated[NotNegative, Presence.OPTIONAL] = UNSET


class TenantTable(Struct, rename="kebab"):
    """`settings.customers[]`: the tenants."""

    name: Text = UNSET
    quota_rps: NotNegative = UNSET


class ReportTable(Struct, rename="kebab"):
    """`settings.report`: the load reports."""

    fields: list[str] | UnsetType = UNSET


class SettingsTable(Struct, rename="kebab"):
    """`settings`."""

    grades: list[ClassTable] | UnsetType = UNSET
    family_info: FamilyTable | UnsetType = UNSET
    ceilings: CeilingsTable | UnsetType = UNSET
    obligations: ObligationsTable | UnsetType = UNSET
    customers: list[TenantTable] | UnsetType = UNSET
    report: ReportTable | UnsetType = UNSET
    balancers: Positive = UNSET
    period_us: NotNegative = UNSET
    locality: NotNegative = UNSET
    localities: list[str] | UnsetType = UNSET
    skus: list[str] | UnsetType = UNSET
    over_share_worth: NotNegative = UNSET
    membership_mode: Text = UNSET
    weight_source: Text = UNSET


class LimitsTable(Struct):
    """`limits`: of the machine."""

    cores: Positive = UNSET
    memory_mb: Positive = UNSET
    sockets: Positive = UNSET
    disk_mb: Positive = UNSET


class FileTable(Struct):
    """The whole file; its addresses and its seed are checked where they are read."""

    settings: SettingsTable | UnsetType = UNSET
    limits: LimitsTable | UnsetType = UNSET


def check_types(document: dict[str, Any]) -> None:
    """Raise InvalidValue unless each value that the table names has its type and is within its bounds.

    A null is no value; whether its key needs one is decided in `required_keys.py`, except that a key which
    the pages let a file leave out is left out or has a value.
    """
    try:
        msgspec.convert(_drop_nulls(document, ""), FileTable)
    except msgspec.ValidationError as error:
        raise InvalidValue(str(error)) from error


def may_be_absent(name: str, siblings: dict[str, Any]) -> bool:
    """Whether the pages let a file leave a key out; `siblings`: the object that lacks it.

    `name`: the key, dotted, with `[]` behind each list, from `settings` on.
    """
    presence = PRESENCE.get(name)
    if presence is Presence.IDEMPOTENT_BY_KEY:
        return siblings.get("semantics") != IDEMPOTENT_BY_KEY_SEMANTICS
    return presence is Presence.OPTIONAL


def _drop_nulls(value: Any, name: str) -> Any:
    if isinstance(value, list):
        return [_drop_nulls(inner, f"{name}[]") for inner in value]
    if not isinstance(value, dict):
        return value
    return {
        key: _drop_nulls(inner, f"{name}.{key}")
        for key, inner in value.items()
        if inner is not None or f"{name}.{key}".lstrip(".") in PRESENCE
    }


def _list_presence(table: type[Struct], name: str) -> dict[str, Presence]:
    """The marked keys of a table and of those in it."""
    found: dict[str, Presence] = {}
    hints = get_type_hints(table, include_extras=True)
    for field in msgspec.structs.fields(table):
        inner_name = f"{name}.{field.encode_name}".lstrip(".")
        hint = hints[field.name]
        for mark in getattr(hint, "__metadata__", ()):
            if isinstance(mark, Presence):
                found[inner_name] = mark
        for inner in get_args(hint):
            is_list = get_origin(inner) is list
            inner_table = get_args(inner)[0] if is_list else inner
            if isinstance(inner_table, type) and issubclass(inner_table, Struct):
                found |= _list_presence(inner_table, inner_name + "[]" * is_list)
    return found


PRESENCE = _list_presence(FileTable, "")
