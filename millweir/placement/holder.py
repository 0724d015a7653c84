"""A relay's side: whether it may send to a destination, and how much of the destination's limit is its own.

No I/O, no clock, no chance of its own; whole nanoseconds of this relay's own clock.

Theory of operation.  The holder has its *part* of one version: the placements that name this relay.  It acts
by it under a *lease*: an answer to "which version is current?" counts from when the question was asked, and
only once that version, or a later one, is held.  With the lease over it may send nowhere: its partitions may
be others' by now.  A restart begins without a lease, whatever stands in the folder.

A partition in handover has `previous` replicas.  Until they have stopped, or lowered their share,

- who loses the partition has stopped on applying the version;
- who keeps it takes the lesser of its old and its new share;
- who gains it waits, for a version in which the handover is over, or for `handover_wait` from when it learned
  of the change.

Bound: with S the replicas of a version and |S| their number, the shares of a destination's limit that are in
use at any moment come to at most 1.  Those still at the version before are in S_old and use 1/|S_old| each;
those at the new one that were in S_old use no more than that; the others use 0.  After `handover_wait` nobody
is at the version before, and those of S_new use 1/|S_new|.  It takes that no third version changes the
partition meanwhile (`core.py`, invariant 6), that clocks drift by no more than `drift`, and that no more than
`pause` passes between the question `share` and the write that follows it.

Why `handover_wait` is long enough: who acts by a version that a change has replaced holds no later one, so
the answer that gave its lease named that version or an earlier one.  The register read behind the answer
began after the question and ended before the change was committed.  So the question was asked before the
commit, and the lease ends, by the true time, no later than lease / (1 - drift) after it, the write that
follows it no later than `pause` after that.  Who waits learned of the change after the commit, and waits for
(lease / (1 - drift) + pause) * (1 + drift) by its own clock, which is no less by the true time.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum

from millweir.placement.assignment import (
    UNASSIGNED,
    ConflictingVersion,
    PartitionChange,
    Placement,
    StaleVersion,
    VersionGap,
    check_placement,
)
from millweir.placement.leases import LeaseRules
from millweir.placement.partitions import partition_of

RENEWALS_MOST = 8  # answers that name a version which is not here yet


class Right(Enum):
    """Whether this relay may send to a destination."""

    OWN = "own"
    WAITING = "waiting"  # its own once the earlier replicas have stopped
    NOT_OWN = "not own"
    UNKNOWN = "unknown"  # no version, or no lease: it may send nowhere


@dataclass(slots=True)
class HeldPlacement:
    """A placement that names this relay, and since when it has known of it."""

    placement: Placement
    since: int


class Holder:
    """One relay's part of the assignment."""

    __slots__ = ("_leased_until", "_part", "_partitions", "_renewals", "name", "rules", "version")

    def __init__(self, name: str, partitions: int, rules: LeaseRules) -> None:
        self.name, self.rules, self.version = name, rules, UNASSIGNED
        self._partitions = partitions
        self._part: dict[int, HeldPlacement] = {}
        self._leased_until = 0
        self._renewals: deque[tuple[int, int]] = deque(maxlen=RENEWALS_MOST)  # time asked, version

    # What is told.

    def part_told(self, now: int, version: int, part: Mapping[int, Placement]) -> None:
        """This relay's whole part at a version; a PlacementError and no change where it doesn't fit."""
        if version < self.version:
            raise StaleVersion(f"version {version}, held is {self.version}")
        self._check(PartitionChange(partition, placement) for partition, placement in part.items())
        part = {partition: placement for partition, placement in part.items() if placement.names(self.name)}
        if version == self.version:
            if part != {partition: held.placement for partition, held in self._part.items()}:
                raise ConflictingVersion(f"version {version} with another part")
            return
        gone = self._part.keys() - part.keys()
        for partition in gone:
            del self._part[partition]
        for partition, placement in part.items():
            self._hold(now, partition, placement)
        self._advance(version)

    def difference_told(self, now: int, base: int, version: int, changes: Iterable[PartitionChange]) -> None:
        """What has changed of this relay's part; changes that don't concern it may be among them."""
        changes = tuple(changes)
        if version < self.version:
            raise StaleVersion(f"version {version}, held is {self.version}")
        if version == self.version:
            return
        if base != self.version:
            raise VersionGap(f"difference from version {base}, held is {self.version}")
        self._check(changes)
        for change in changes:
            if change.placement.names(self.name):
                self._hold(now, change.partition, change.placement)
            else:
                self._part.pop(change.partition, None)
        self._advance(version)

    def renewed(self, now: int, asked_at: int, version: int) -> None:
        """An answer read from the register after it was asked for, at that time: which version is current.

        Where that version is not here yet the lease goes on once it is.  An answer to what is yet to be asked
        is no answer.
        """
        if asked_at > now:
            return
        self._renewals.append((asked_at, version))
        self._extend_lease()

    # What is answered.

    def right(self, now: int, destination: int) -> Right:
        """Whether this relay may send there now."""
        if not self.is_leased(now):
            return Right.UNKNOWN
        held = self._part.get(partition_of(destination, self._partitions))
        if held is None or self.name not in held.placement.replicas:
            return Right.NOT_OWN
        return Right.OWN if self._share(now, held) else Right.WAITING

    def share(self, now: int, destination: int) -> float:
        """The part of the destination's limit that this relay may use now; 0 where it may not send."""
        held = self._part.get(partition_of(destination, self._partitions))
        return self._share(now, held) if held and self.is_leased(now) else 0.0

    def is_leased(self, now: int) -> bool:
        """Whether it may act by its version."""
        return self.version != UNASSIGNED and now < self._leased_until

    @property
    def acknowledges(self) -> int:
        """The version that this relay acts by and by no earlier one, to be told on."""
        return self.version

    @property
    def partitions_held(self) -> int:
        """Partitions of which this relay is told: its own, and those that it is losing."""
        return len(self._part)

    def _share(self, now: int, held: HeldPlacement) -> float:
        replicas, previous = held.placement.replicas, held.placement.previous
        if self.name not in replicas:
            return 0.0
        if not previous or now - held.since >= self.rules.handover_wait:
            return 1 / len(replicas)
        return 1 / max(len(replicas), len(previous)) if self.name in previous else 0.0

    # The part.

    def _check(self, changes: Iterable[PartitionChange]) -> None:
        for change in changes:
            check_placement(change.placement, change.partition, self._partitions)

    def _hold(self, now: int, partition: int, placement: Placement) -> None:
        held = self._part.get(partition)
        if held is None or held.placement != placement:
            self._part[partition] = HeldPlacement(placement, now)

    def _advance(self, version: int) -> None:
        """A lease that runs goes on: its question was asked before the version after this one was there."""
        self.version = version
        self._extend_lease()

    def _extend_lease(self) -> None:
        here = [asked_at for asked_at, version in self._renewals if version <= self.version]
        if here:
            self._leased_until = max(self._leased_until, max(here) + self.rules.lease)
            missing = [renewal for renewal in self._renewals if renewal[1] > self.version]
            self._renewals = deque(missing, maxlen=RENEWALS_MOST)
