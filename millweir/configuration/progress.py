"""What is in force where: the coordinator's core, beside the register's leader.  No I/O, no clock, no chance.

Theory of operation.  Each distributor joins its relays' acknowledgements and reports rows that have changed.
A relay *waits* from the first change of its partitions that it is not known to have acknowledged to the last
one; everything before the least of these is in force everywhere.  What a relay has acknowledged is read off
its row: its floor, or, where it is caught up, all that its distributor has applied.  A row counts only if it
was made for the same partitions as are assigned here: otherwise the distributor did not look at all of them.

`in_force` never falls: it says that each change up to it was acknowledged by each holder of its partition.  A
relay that comes back with an older folder, or has got a partition just now, is named by `lagging` meanwhile.

Steps: a change costs one step for each holder of its partition; a report costs its rows and those caught-up
relays of its distributor that wait for what it has not applied yet; a full report costs all its relays.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from itertools import islice

from sortedcontainers import SortedSet

from millweir.configuration.core import Assignment
from millweir.configuration.messages import CAUGHT_UP, Report, Row


class LagReason(Enum):
    """Why a relay is named."""

    BEHIND = "behind"  # attached, but it lacks a version
    DETACHED = "detached"  # no distributor has it
    UNKNOWN = "unknown"  # its distributor has not reported on the partitions that it has now


@dataclass(frozen=True, slots=True)
class Lagging:
    """One relay that is not known to hold the latest of its partitions."""

    relay: str
    reason: LagReason
    acknowledged: int  # all changes up to this one
    distributor: str


class RelayRecord:
    """What is known of one relay."""

    __slots__ = (
        "assigned",
        "distributor",
        "first",
        "floor",
        "last",
        "latest",
        "partitions",
        "row_assigned",
        "session",
    )

    def __init__(self) -> None:
        self.assigned = 0
        self.partitions: frozenset[int] = frozenset()
        self.distributor: str | None = None
        self.session = -1
        self.row_assigned = -1
        self.floor = 0
        self.first = 0  # it waits from this change to the last one, where the last is not 0
        self.last = 0
        self.latest = 0  # the last change of its partitions


@dataclass(slots=True)
class DistributorRecord:
    """What is known of one distributor."""

    life: int = -1
    sequence: int = 0
    applied: int = 0
    reported_at: int = 0
    relays: dict[str, None] = field(default_factory=dict)
    waiting: dict[str, None] = field(default_factory=dict)  # of those that are caught up


class Progress:
    """Which changes are in force everywhere, and who lacks one."""

    def __init__(self, latest: Mapping[int, int], version: int) -> None:
        """Starts with the register's partitions as they are; nothing is known to be in force yet."""
        self.version = version
        self.assignment = 0
        self.relays: dict[str, RelayRecord] = {}
        self.distributors: dict[str, DistributorRecord] = {}
        self._latest = dict(latest)
        self._holders: dict[int, dict[str, None]] = {}
        self._incomplete: dict[str, None] = {}  # by their last rows
        self._waiting: SortedSet = SortedSet()  # (first version, relay)
        self._in_force = 0

    # --- answers

    @property
    def in_force(self) -> int:
        """Every change up to this version was acknowledged by every relay that holds its partition."""
        return self._in_force

    def lagging(self, most: int = 64) -> list[Lagging]:
        """Relays that hold changes back, those that lack the oldest first; then others not complete."""
        names = [relay for _, relay in self._waiting.islice(0, most)]
        others = (relay for relay in self._incomplete if not self.relays[relay].last)
        names.extend(islice(others, most - len(names)))
        return [self._lagging(relay) for relay in names]

    def lagging_on(self, partition: int) -> list[Lagging]:
        """Holders of one partition that lack something."""
        return [
            self._lagging(relay)
            for relay in self._holders.get(partition, {})
            if self.relays[relay].last or relay in self._incomplete
        ]

    def complete(self) -> bool:
        """Whether every relay has everything now: nothing waits, nobody is detached or filling."""
        return not self._waiting and not self._incomplete

    # --- calls

    def change(self, version: int, partition: int) -> None:
        """The register's next change."""
        if version <= self.version:
            return
        self.version = version
        self._latest[partition] = version
        for relay in self._holders.get(partition, {}):
            record = self.relays[relay]
            record.latest = version
            self._wait(relay, record, version, version)
        self._advance()

    def assign(self, version: int, moves: Mapping[str, Assignment]) -> None:
        """From this version of the assignment on these relays hold these partitions; others stay."""
        if version <= self.assignment:
            return
        self.assignment = version
        for relay, assignment in moves.items():
            self._move(relay, assignment)
        self._advance()

    def report(self, now: int, report: Report) -> bool:
        """A distributor's report; False where one before it is missing: ask for a full one."""
        record = self.distributors.setdefault(report.distributor, DistributorRecord())
        if report.life < record.life or (report.life == record.life and report.sequence <= record.sequence):
            return True
        follows = report.life == record.life and report.sequence == record.sequence + 1
        if not (report.full or follows):
            return False
        record.life = report.life
        record.sequence = report.sequence
        record.reported_at = now
        if report.full:
            self._detach_missing(record, report)
        for row in report.rows:
            self._row(report.distributor, record, row, report.applied)
        record.applied = report.applied
        for relay in list(record.waiting):
            self._settle(relay, self.relays[relay])
        self._advance()
        return True

    # --- inside

    def _note(self, relay: str, record: RelayRecord) -> None:
        """Keep the list of those that are not complete by their last row."""
        known = record.distributor is not None and record.row_assigned == record.assigned
        if known and record.floor == CAUGHT_UP:
            self._incomplete.pop(relay, None)
        else:
            self._incomplete[relay] = None

    def _lagging(self, relay: str) -> Lagging:
        record = self.relays[relay]
        if record.distributor is None:
            reason = LagReason.DETACHED
        elif record.row_assigned != record.assigned:
            reason = LagReason.UNKNOWN
        else:
            reason = LagReason.BEHIND
        return Lagging(relay, reason, self._acknowledged(record), record.distributor or "")

    def _acknowledged(self, record: RelayRecord) -> int:
        """All changes up to this one are acknowledged by a relay, as far as is known."""
        if record.row_assigned != record.assigned:
            return 0
        if record.floor == CAUGHT_UP:
            return self.distributors[record.distributor].applied
        return record.floor

    def _wait(self, relay: str, record: RelayRecord, first: int, last: int) -> None:
        """The relay has changes to acknowledge."""
        if record.last:
            self._waiting.discard((record.first, relay))
            first = min(first, record.first)
            last = max(last, record.last)
        record.first, record.last = first, last
        self._waiting.add((first, relay))
        self._watch_applied(relay, record)

    def _watch_applied(self, relay: str, record: RelayRecord) -> None:
        """A caught-up relay that waits is looked at with each report; others when they have a row."""
        if record.distributor is None:
            return
        waiting = self.distributors[record.distributor].waiting
        if record.last and record.floor == CAUGHT_UP:
            waiting[relay] = None
        else:
            waiting.pop(relay, None)

    def _settle(self, relay: str, record: RelayRecord) -> None:
        """Strike out what a relay is now known to have acknowledged."""
        if not record.last:
            return
        acknowledged = self._acknowledged(record)
        if acknowledged < record.first:
            return
        self._waiting.discard((record.first, relay))
        if acknowledged >= record.last:
            record.first = record.last = 0
            if record.distributor is not None:
                self.distributors[record.distributor].waiting.pop(relay, None)
            return
        record.first = acknowledged + 1
        self._waiting.add((record.first, relay))

    def _move(self, relay: str, assignment: Assignment) -> None:
        record = self.relays.setdefault(relay, RelayRecord())
        for number in record.partitions - assignment.partitions:
            del self._holders[number][relay]
        for number in assignment.partitions - record.partitions:
            self._holders.setdefault(number, {})[relay] = None
        record.assigned = assignment.version
        record.partitions = assignment.partitions
        record.latest = max((self._latest.get(number, 0) for number in assignment.partitions), default=0)
        if record.last:
            self._waiting.discard((record.first, relay))
            record.first = record.last = 0
        if not assignment.partitions:
            self._forget(relay, record)
            return
        self._note(relay, record)
        if record.latest > self._in_force:
            self._wait(relay, record, self._in_force + 1, record.latest)
            self._settle(relay, record)

    def _forget(self, relay: str, record: RelayRecord) -> None:
        if record.distributor is not None:
            distributor = self.distributors[record.distributor]
            distributor.relays.pop(relay, None)
            distributor.waiting.pop(relay, None)
        self._incomplete.pop(relay, None)
        del self.relays[relay]

    def _row(self, name: str, distributor: DistributorRecord, row: Row, applied: int) -> None:
        record = self.relays.get(row.relay)
        if record is None or row.session < record.session:
            return
        if row.session == record.session and record.distributor != name and record.distributor is not None:
            return
        self._attach(row.relay, record, name if row.attached else None)
        record.session = row.session
        record.row_assigned = row.assigned
        record.floor = row.floor
        distributor.applied = applied
        self._note(row.relay, record)
        self._settle(row.relay, record)
        self._watch_applied(row.relay, record)

    def _attach(self, relay: str, record: RelayRecord, name: str | None) -> None:
        if record.distributor == name:
            return
        if record.distributor is not None:
            before = self.distributors[record.distributor]
            before.relays.pop(relay, None)
            before.waiting.pop(relay, None)
        record.distributor = name
        if name is not None:
            self.distributors[name].relays[relay] = None

    def _detach_missing(self, distributor: DistributorRecord, report: Report) -> None:
        """Relays that a full report does not have are not attached; what they had acknowledged stays."""
        present = {row.relay for row in report.rows}
        for relay in [relay for relay in distributor.relays if relay not in present]:
            record = self.relays[relay]
            record.floor = self._acknowledged(record)
            self._attach(relay, record, None)
            self._note(relay, record)

    def _advance(self) -> None:
        first = self._waiting[0][0] if self._waiting else self.version + 1
        self._in_force = max(self._in_force, first - 1)
