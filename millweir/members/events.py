"""The events of this part, with their fields."""

from __future__ import annotations

from millweir.operator.events import Event, index_event_types


class Entered(Event, tag="members.entered"):
    incarnation: int
    members: int


class Changed(Event, tag="members.changed"):
    name: str
    before: str | None
    after: str
    by: str
    incarnation: int


class WokeLate(Event, tag="members.woke-late"):
    late_ms: int


class Refuted(Event, tag="members.refuted"):
    claimed: str
    by: str
    incarnation: int


class NameLost(Event, tag="members.name-lost"):
    other: str
    incarnation: int


class TableFull(Event, tag="members.table-full"):
    most: int


class RefusedOnce(Event, tag="members.refused"):
    reason: str
    peer: str


class FolderFailed(Event, tag="members.folder-failed"):
    fault: str


class Left(Event, tag="members.left"):
    told: int


KINDS = index_event_types(
    Entered, Changed, WokeLate, Refuted, NameLost, TableFull, RefusedOnce, FolderFailed, Left
)
