"""Core of the coordinator, which runs beside the store's leader and tracks which changes are in force where.

The core is deterministic: it does no I/O and reads neither a clock nor a random source.

Each distributor aggregates its relays' acknowledgements and reports the rows that have changed. A relay is
*waiting* from the first to the last change of its partitions that it is not known to have acknowledged; every
change before the least of these first changes is in force everywhere. What a relay has acknowledged follows
from its row: the acknowledged version or, if the relay is caught up, everything that its distributor has
applied. A row counts only if it was made for the partitions that are assigned here: otherwise the distributor
did not consider all of them.

`in_force` never decreases: each change up to it was acknowledged by every holder of its partition. A relay
that returns with an older folder, or was just assigned a partition, is listed by `find_lagging` meanwhile.

Cost: a change takes one step for each holder of its partition; a report is linear in its rows and in those
caught-up relays of its distributor that wait for changes it has not applied yet; a full report is linear in
all relays of its distributor.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from itertools import islice

from sortedcontainers import SortedSet

from millweir.configuration.core import Assignment
from millweir.configuration.messages import CAUGHT_UP, RelayProgress, Report


class LagReason(Enum):
    """Why a relay is listed as lagging."""

    BEHIND = "behind"  # attached, but has not acknowledged the latest version
    DETACHED = "detached"  # attached to no distributor
    UNKNOWN = "unknown"  # its distributor has not reported on its current partitions


@dataclass(frozen=True, slots=True)
class LaggingRelay:
    """A relay that is not known to hold the latest versions of its partitions."""

    relay: str
    reason: LagReason
    acknowledged_version: int  # all changes up to this one are acknowledged
    distributor: str


class RelayRecord:
    """State of one relay."""

    __slots__ = (
        "assignment_version",
        "distributor",
        "first_unacknowledged",
        "acknowledged_version",
        "last_unacknowledged",
        "latest_version",
        "partitions",
        "reported_assignment_version",
        "session_number",
    )

    def __init__(self) -> None:
        self.assignment_version = 0
        self.partitions: frozenset[int] = frozenset()
        self.distributor: str | None = None
        self.session_number = -1
        self.reported_assignment_version = -1
        self.acknowledged_version = 0
        self.first_unacknowledged = 0  # valid while `last_unacknowledged` is not 0
        self.last_unacknowledged = 0
        self.latest_version = 0  # latest change of its partitions


@dataclass(slots=True)
class DistributorRecord:
    """State of one distributor."""

    incarnation: int = -1
    sequence: int = 0
    applied_version: int = 0
    reported_at: int = 0
    relays: dict[str, None] = field(default_factory=dict)
    waiting_relays: dict[str, None] = field(default_factory=dict)  # only caught-up ones


class Progress:
    """Tracks up to which change all holders have acknowledged, and which relays are lagging."""

    def __init__(self, latest_versions: Mapping[int, int], version: int) -> None:
        """Start from the store's latest version of each partition; nothing is known to be in force yet."""
        self.version = version
        self.assignment_version = 0
        self.relays: dict[str, RelayRecord] = {}
        self.distributors: dict[str, DistributorRecord] = {}
        self._latest_versions = dict(latest_versions)
        self._relays_by_partition: dict[int, dict[str, None]] = {}
        self._incomplete_relays: dict[str, None] = {}  # by their latest rows
        self._waiting_relays: SortedSet = SortedSet()  # (first unacknowledged version, relay)
        self._in_force = 0

    # --- queries

    @property
    def in_force(self) -> int:
        """Version up to which every change was acknowledged by every relay that holds its partition."""
        return self._in_force

    def find_lagging(self, limit: int = 64) -> list[LaggingRelay]:
        """List relays with unacknowledged changes, oldest change first, then other incomplete relays."""
        relays = [relay for _, relay in self._waiting_relays.islice(0, limit)]
        others = (relay for relay in self._incomplete_relays if not self.relays[relay].last_unacknowledged)
        relays.extend(islice(others, limit - len(relays)))
        return [self._describe_lagging(relay) for relay in relays]

    def find_lagging_holders(self, partition: int) -> list[LaggingRelay]:
        """List holders of one partition that have unacknowledged changes or are incomplete."""
        return [
            self._describe_lagging(relay)
            for relay in self._relays_by_partition.get(partition, {})
            if self.relays[relay].last_unacknowledged or relay in self._incomplete_relays
        ]

    def is_complete(self) -> bool:
        """Whether every relay is attached and has acknowledged the latest versions of its partitions."""
        return not self._waiting_relays and not self._incomplete_relays

    # --- inputs

    def record_change(self, version: int, partition: int) -> None:
        """Record the store's next change."""
        if version <= self.version:
            return
        self.version = version
        self._latest_versions[partition] = version
        for relay in self._relays_by_partition.get(partition, {}):
            record = self.relays[relay]
            record.latest_version = version
            self._add_unacknowledged(relay, record, version, version)
        self._advance_in_force()

    def update_assignments(self, version: int, assignments: Mapping[str, Assignment]) -> None:
        """Change the partitions of these relays as of an assignment version; other relays keep theirs."""
        if version <= self.assignment_version:
            return
        self.assignment_version = version
        for relay, assignment in assignments.items():
            self._apply_assignment(relay, assignment)
        self._advance_in_force()

    def record_report(self, now: int, report: Report) -> bool:
        """Record a distributor's report; return False if one is missing, so that a full one is requested."""
        record = self.distributors.setdefault(report.distributor, DistributorRecord())
        if report.incarnation < record.incarnation or (
            report.incarnation == record.incarnation and report.sequence <= record.sequence
        ):
            return True
        follows = report.incarnation == record.incarnation and report.sequence == record.sequence + 1
        if not (report.full or follows):
            return False
        record.incarnation = report.incarnation
        record.sequence = report.sequence
        record.reported_at = now
        if report.full:
            self._detach_missing_relays(record, report)
        for row in report.rows:
            self._record_row(report.distributor, record, row, report.applied_version)
        record.applied_version = report.applied_version
        for relay in list(record.waiting_relays):
            self._clear_acknowledged(relay, self.relays[relay])
        self._advance_in_force()
        return True

    # --- updates

    def _update_incomplete(self, relay: str, record: RelayRecord) -> None:
        """Add a relay to the incomplete ones, or remove it, by its latest row."""
        known = (
            record.distributor is not None and record.reported_assignment_version == record.assignment_version
        )
        if known and record.acknowledged_version == CAUGHT_UP:
            self._incomplete_relays.pop(relay, None)
        else:
            self._incomplete_relays[relay] = None

    def _describe_lagging(self, relay: str) -> LaggingRelay:
        record = self.relays[relay]
        if record.distributor is None:
            reason = LagReason.DETACHED
        elif record.reported_assignment_version != record.assignment_version:
            reason = LagReason.UNKNOWN
        else:
            reason = LagReason.BEHIND
        return LaggingRelay(relay, reason, self._get_acknowledged_version(record), record.distributor or "")

    def _get_acknowledged_version(self, record: RelayRecord) -> int:
        """Return the version up to which a relay is known to have acknowledged all changes."""
        if record.reported_assignment_version != record.assignment_version:
            return 0
        if record.acknowledged_version == CAUGHT_UP:
            return self.distributors[record.distributor].applied_version
        return record.acknowledged_version

    def _add_unacknowledged(self, relay: str, record: RelayRecord, first: int, last: int) -> None:
        """Extend the range of changes that a relay has not acknowledged."""
        if record.last_unacknowledged:
            self._waiting_relays.discard((record.first_unacknowledged, relay))
            first = min(first, record.first_unacknowledged)
            last = max(last, record.last_unacknowledged)
        record.first_unacknowledged, record.last_unacknowledged = first, last
        self._waiting_relays.add((first, relay))
        self._update_waiting_relays(relay, record)

    def _update_waiting_relays(self, relay: str, record: RelayRecord) -> None:
        """Check a waiting caught-up relay at each report of its distributor; others only at their rows."""
        if record.distributor is None:
            return
        waiting = self.distributors[record.distributor].waiting_relays
        if record.last_unacknowledged and record.acknowledged_version == CAUGHT_UP:
            waiting[relay] = None
        else:
            waiting.pop(relay, None)

    def _clear_acknowledged(self, relay: str, record: RelayRecord) -> None:
        """Remove the changes that a relay is now known to have acknowledged."""
        if not record.last_unacknowledged:
            return
        acknowledged_version = self._get_acknowledged_version(record)
        if acknowledged_version < record.first_unacknowledged:
            return
        self._waiting_relays.discard((record.first_unacknowledged, relay))
        if acknowledged_version >= record.last_unacknowledged:
            record.first_unacknowledged = record.last_unacknowledged = 0
            if record.distributor is not None:
                self.distributors[record.distributor].waiting_relays.pop(relay, None)
            return
        record.first_unacknowledged = acknowledged_version + 1
        self._waiting_relays.add((record.first_unacknowledged, relay))

    def _apply_assignment(self, relay: str, assignment: Assignment) -> None:
        """Replace a relay's partitions; a relay without partitions is forgotten."""
        record = self.relays.setdefault(relay, RelayRecord())
        for partition in record.partitions - assignment.partitions:
            del self._relays_by_partition[partition][relay]
        for partition in assignment.partitions - record.partitions:
            self._relays_by_partition.setdefault(partition, {})[relay] = None
        record.assignment_version = assignment.version
        record.partitions = assignment.partitions
        record.latest_version = max(
            (self._latest_versions.get(partition, 0) for partition in assignment.partitions), default=0
        )
        if record.last_unacknowledged:
            self._waiting_relays.discard((record.first_unacknowledged, relay))
            record.first_unacknowledged = record.last_unacknowledged = 0
        if not assignment.partitions:
            self._forget_relay(relay, record)
            return
        self._update_incomplete(relay, record)
        if record.latest_version > self._in_force:
            self._add_unacknowledged(relay, record, self._in_force + 1, record.latest_version)
            self._clear_acknowledged(relay, record)

    def _forget_relay(self, relay: str, record: RelayRecord) -> None:
        if record.distributor is not None:
            distributor = self.distributors[record.distributor]
            distributor.relays.pop(relay, None)
            distributor.waiting_relays.pop(relay, None)
        self._incomplete_relays.pop(relay, None)
        del self.relays[relay]

    def _record_row(
        self, name: str, distributor: DistributorRecord, row: RelayProgress, applied_version: int
    ) -> None:
        """Record a relay's row unless a newer session or another distributor's same session supersedes it."""
        record = self.relays.get(row.relay)
        if record is None or row.session_number < record.session_number:
            return
        if (
            row.session_number == record.session_number
            and record.distributor != name
            and record.distributor is not None
        ):
            return
        self._set_distributor(row.relay, record, name if row.attached else None)
        record.session_number = row.session_number
        record.reported_assignment_version = row.assignment_version
        record.acknowledged_version = row.acknowledged_version
        distributor.applied_version = applied_version
        self._update_incomplete(row.relay, record)
        self._clear_acknowledged(row.relay, record)
        self._update_waiting_relays(row.relay, record)

    def _set_distributor(self, relay: str, record: RelayRecord, name: str | None) -> None:
        """Attach a relay to a distributor, or detach it if `name` is None."""
        if record.distributor == name:
            return
        if record.distributor is not None:
            before = self.distributors[record.distributor]
            before.relays.pop(relay, None)
            before.waiting_relays.pop(relay, None)
        record.distributor = name
        if name is not None:
            self.distributors[name].relays[relay] = None

    def _detach_missing_relays(self, distributor: DistributorRecord, report: Report) -> None:
        """Detach relays that a full report does not list; what they had acknowledged is kept."""
        present = {row.relay for row in report.rows}
        for relay in [relay for relay in distributor.relays if relay not in present]:
            record = self.relays[relay]
            record.acknowledged_version = self._get_acknowledged_version(record)
            self._set_distributor(relay, record, None)
            self._update_incomplete(relay, record)

    def _advance_in_force(self) -> None:
        """Raise `in_force` to just before the first change that a relay has not acknowledged."""
        first = self._waiting_relays[0][0] if self._waiting_relays else self.version + 1
        self._in_force = max(self._in_force, first - 1)
