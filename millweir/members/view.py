"""The local view of the other members: one row each, with its current status."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from millweir.members.messages import MemberRecord
from millweir.members.rules import NEVER


class MemberStatus(Enum):
    """Status of a member in the local view."""

    ALIVE = "alive"
    LATE = "late"  # alive, but it answers late or reports that it runs late
    PATH_DOWN = "cut"  # alive, but a path to or from it is down
    SUSPECTED = "suspected"
    GONE = "gone"
    LEFT = "left"


class LocalState(Enum):
    """State of this member itself."""

    NOT_JOINED = "out"  # not yet joined, or its name is in use by another process
    JOINED = "in"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Change:
    """A change of a member's status in the local view."""

    at: int
    name: str
    before: MemberStatus | None
    after: MemberStatus
    reporter: str
    incarnation: int


class Member:
    """One other member in the local view."""

    __slots__ = (
        "suspected_by",
        "indirect_only_probes",
        "record",
        "inbound_down_since",
        "outbound_down_since",
        "status",
        "last_received_at",
        "lateness_ms",
        "status_since",
        "suspected_at",
        "indirect_only_since",
        "suspicion_expires_at",
        "status_reporter",
    )

    def __init__(self, record: MemberRecord, now: int) -> None:
        self.record = record
        self.status = MemberStatus.ALIVE  # never PATH_DOWN or LATE: `Core.status_of` derives those
        self.status_since = now
        self.status_reporter = record.reporter
        self.last_received_at = -NEVER  # a datagram from the member itself
        self.lateness_ms = 0  # as it reports, or by its last late ack
        self.suspected_by: set[str] | None = None
        self.suspected_at = 0
        self.suspicion_expires_at = NEVER
        self.indirect_only_probes = 0  # consecutive probes that were answered through helpers only
        self.indirect_only_since = 0
        # Since when the path to this member, and the path from it, has been down; 0 while it is up.
        self.outbound_down_since = self.inbound_down_since = 0

    @property
    def active(self) -> bool:
        """Whether the member counts as present: a suspected one still does."""
        return self.status is MemberStatus.ALIVE or self.status is MemberStatus.SUSPECTED
