"""Structured events of membership, with their fields."""

from __future__ import annotations

from millweir.operator.events import Event, index_event_types


class Entered(Event, tag="members.entered"):
    """This member has joined."""

    incarnation: int
    members: int


class Changed(Event, tag="members.changed"):
    """The status of another member has changed in the local view."""

    name: str
    before: str | None
    after: str
    by: str
    incarnation: int


class WokeLate(Event, tag="members.woke-late"):
    """A timer of this member fired late: the process was paused or starved of CPU."""

    late_ms: int


class Refuted(Event, tag="members.refuted"):
    """This member has refuted a record of itself with a higher incarnation."""

    claimed: str
    by: str
    incarnation: int


class NameLost(Event, tag="members.name-lost"):
    """Another process uses the name of this member and takes precedence."""

    other: str
    incarnation: int


class TableFull(Event, tag="members.table-full"):
    """A new member was dropped because the table is full; logged once."""

    most: int


class RefusedOnce(Event, tag="members.refused"):
    """A message was rejected; logged once per reason and peer."""

    reason: str
    peer: str


class FolderFailed(Event, tag="members.folder-failed"):
    """The state file could not be read or written."""

    fault: str


class Left(Event, tag="members.left"):
    """This member leaves in order; the field is the number of other active members."""

    told: int


KINDS = index_event_types(
    Entered, Changed, WokeLate, Refuted, NameLost, TableFull, RefusedOnce, FolderFailed, Left
)
