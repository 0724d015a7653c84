"""One relay's placements and lease: whether it may send to a destination, and its fair share of the rate
limit.

No I/O; the caller passes in the time, in whole nanoseconds of this relay's own clock.

Theory of operation.  The holder has the placements of one version that involve this relay.  It acts by them
under a *lease*: the answer to "which version is current?" extends the lease from the time of the request on,
and only once that version, or a later one, has been applied.  After the lease has expired the relay may not
send to any destination, as its partitions may have been assigned to others.  After a restart it has no
lease, whatever is on disk.

A partition in handover has `previous` replicas.  Until they have stopped, or reduced their share,

- a relay that loses the partition has stopped on applying the version;
- a relay that keeps it uses the lesser of its old and its new share;
- a relay that gains it waits for a version in which the handover is over, or for `handover_wait_ns` from
  when it learned of the change.

Bound: with S the replicas of a version and |S| their number, the shares of a destination's limit that are in
use at any moment sum to at most 1.  Relays still at the previous version are in S_old and use 1/|S_old|
each; those at the new version that were in S_old use no more than that; the others use 0.  After
`handover_wait_ns` no relay is at the previous version, and those in S_new use 1/|S_new|.  This assumes that
no third version changes the partition meanwhile (`core.py`, invariant 6), that clocks drift by no more than
`max_clock_drift`, and that no more than `max_send_delay_ns` passes between `get_fair_share` and the write
that follows it.

Why `handover_wait_ns` is long enough: a relay that acts by a version that a change has replaced holds no
later one, so the answer that extended its lease named that version or an earlier one.  The read of the
replicated store behind that answer began after the request and ended before the change was committed.  So
the request was sent before the commit, and the lease ends, by true time, no later than lease / (1 - drift)
after the commit, and the write that follows no later than `max_send_delay_ns` after that.  The relay that
waits learned of the change after the commit, and waits for (lease / (1 - drift) + send delay) * (1 + drift)
by its own clock, which is no less by true time.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum

from millweir.placement.assignment import (
    EMPTY_VERSION,
    ConflictingVersion,
    PartitionChange,
    Placement,
    StaleVersion,
    VersionGap,
    validate_placement,
)
from millweir.placement.leases import LeaseRules
from millweir.placement.partitions import find_partition

MAX_PENDING_RENEWALS = 8  # answers that name a version which has not been applied yet


class SendPermission(Enum):
    """Whether this relay may send to a destination."""

    ALLOWED = "own"
    WAITING = "waiting"  # allowed once the previous replicas have stopped
    NOT_ASSIGNED = "not own"
    UNKNOWN = "unknown"  # no version, or no lease: it may not send to any destination


@dataclass(slots=True)
class LearnedPlacement:
    """A placement that involves this relay, and when the relay learned of it."""

    placement: Placement
    learned_at: int


class LeaseHolder:
    """One relay's placements, lease and shares."""

    __slots__ = (
        "_lease_expires_at",
        "_placements",
        "_partitions",
        "_pending_renewals",
        "name",
        "rules",
        "version",
    )

    def __init__(self, name: str, partitions: int, rules: LeaseRules) -> None:
        self.name, self.rules, self.version = name, rules, EMPTY_VERSION
        self._partitions = partitions
        self._placements: dict[int, LearnedPlacement] = {}
        self._lease_expires_at = 0
        # Time of the request, version.
        self._pending_renewals: deque[tuple[int, int]] = deque(maxlen=MAX_PENDING_RENEWALS)

    # Updates.

    def replace_placements(self, now: int, version: int, placements: Mapping[int, Placement]) -> None:
        """Replace all placements by those of a version; raises a PlacementError if they can't be applied."""
        if version < self.version:
            raise StaleVersion(f"version {version} is older than the current version {self.version}")
        self._check(PartitionChange(partition, placement) for partition, placement in placements.items())
        placements = {
            partition: placement
            for partition, placement in placements.items()
            if placement.involves(self.name)
        }
        if version == self.version:
            if placements != {
                partition: learned.placement for partition, learned in self._placements.items()
            }:
                raise ConflictingVersion(f"version {version} has other placements here")
            return
        removed = self._placements.keys() - placements.keys()
        for partition in removed:
            del self._placements[partition]
        for partition, placement in placements.items():
            self._store_placement(now, partition, placement)
        self._advance_version(version)

    def apply_difference(
        self, now: int, base_version: int, version: int, changes: Iterable[PartitionChange]
    ) -> None:
        """Apply changes of placements; those that don't involve this relay may be among them."""
        changes = tuple(changes)
        if version < self.version:
            raise StaleVersion(f"version {version} is older than the current version {self.version}")
        if version == self.version:
            return
        if base_version != self.version:
            raise VersionGap(f"difference from version {base_version}, current is {self.version}")
        self._check(changes)
        for change in changes:
            if change.placement.involves(self.name):
                self._store_placement(now, change.partition, change.placement)
            else:
                self._placements.pop(change.partition, None)
        self._advance_version(version)

    def record_renewal(self, now: int, requested_at: int, version: int) -> None:
        """Extend the lease by an answer that names the current version, read after the request was sent.

        If that version has not been applied yet, the lease is extended once it is.  An answer whose request
        lies in the future is ignored.
        """
        if requested_at > now:
            return
        self._pending_renewals.append((requested_at, version))
        self._extend_lease()

    # Queries.

    def get_permission(self, now: int, destination: int) -> SendPermission:
        """Whether this relay may send to a destination now."""
        if not self.has_lease(now):
            return SendPermission.UNKNOWN
        learned = self._placements.get(find_partition(destination, self._partitions))
        if learned is None or self.name not in learned.placement.replicas:
            return SendPermission.NOT_ASSIGNED
        return SendPermission.ALLOWED if self._compute_fair_share(now, learned) else SendPermission.WAITING

    def get_fair_share(self, now: int, destination: int) -> float:
        """The fraction of the destination's rate limit that this relay may use now; 0 if it may not send."""
        learned = self._placements.get(find_partition(destination, self._partitions))
        return self._compute_fair_share(now, learned) if learned and self.has_lease(now) else 0.0

    def has_lease(self, now: int) -> bool:
        """Whether the relay may act by its version."""
        return self.version != EMPTY_VERSION and now < self._lease_expires_at

    @property
    def acknowledged_version(self) -> int:
        """The version to acknowledge: this relay acts by no earlier one."""
        return self.version

    @property
    def partition_count(self) -> int:
        """How many partitions involve this relay: its own, and those that it is losing."""
        return len(self._placements)

    def _compute_fair_share(self, now: int, learned: LearnedPlacement) -> float:
        replicas, previous = learned.placement.replicas, learned.placement.previous
        if self.name not in replicas:
            return 0.0
        if not previous or now - learned.learned_at >= self.rules.handover_wait_ns:
            return 1 / len(replicas)
        return 1 / max(len(replicas), len(previous)) if self.name in previous else 0.0

    # Placements.

    def _check(self, changes: Iterable[PartitionChange]) -> None:
        for change in changes:
            validate_placement(change.placement, change.partition, self._partitions)

    def _store_placement(self, now: int, partition: int, placement: Placement) -> None:
        learned = self._placements.get(partition)
        if learned is None or learned.placement != placement:
            self._placements[partition] = LearnedPlacement(placement, now)

    def _advance_version(self, version: int) -> None:
        """Set the version.  The lease stays valid: its request was sent before the next version was known."""
        self.version = version
        self._extend_lease()

    def _extend_lease(self) -> None:
        applicable = [
            requested_at for requested_at, version in self._pending_renewals if version <= self.version
        ]
        if applicable:
            self._lease_expires_at = max(self._lease_expires_at, max(applicable) + self.rules.duration_ns)
            later = [renewal for renewal in self._pending_renewals if renewal[1] > self.version]
            self._pending_renewals = deque(later, maxlen=MAX_PENDING_RENEWALS)
