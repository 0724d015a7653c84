"""The placement core: decides which relays are the replicas of each partition in the next version.

No I/O; the caller passes in the time, in whole nanoseconds.

Theory of operation.  The core holds the current assignment, as committed in the replicated store, and the
reports of the membership about relays, which are hints.  Each event has a method; `propose` returns the
changes for the next version, if any.  The caller commits a proposal only if the store's version is still the
proposal's base version; the store assigns the version, which only increases.  So any number of cores may
run, with membership reports as wrong as they like: one proposal per version is committed, and safety relies
on no report.

What is changed, in this order:

- the end of a *handover*: the previous replicas have acknowledged, or `LeaseRules.handover_wait_ns` has
  passed since the change was committed, by when their leases have expired (`holder.py`);
- replicas on relays that leave for good (`set_leaving`): at once, but at a limited rate;
- replicas on relays that have been gone for the whole of `removal_delay_ns`;
- partitions with too few replicas, or with two in one zone, where that can be repaired;
- replicas from the most to the least loaded relay: a relay that falls below `fill_below_ratio` of the mean
  load is filled up to `fill_to_ratio`.

Invariants, checked after each step in `tests/placement/`:

1.  The version only increases, one proposal is pending at a time, and an equal version with other content, a
   lower one or a gap is refused with nothing changed.
2.  No two replicas of a partition are placed in one zone while a zone without one has a candidate; zones are
   those that the membership has reported.
3.  A relay that is not leaving, and has not been gone for the whole of `removal_delay_ns` since this core
   was told, loses a replica only to balancing or repair.  Its going and returning moves nothing: the mean
   load counts it throughout.  No relay is given a partition before it has been alive for `join_delay_ns`.
4.  A proposal ends at most `max_changes_per_proposal` handovers and changes at most as many placements; two
   committed proposals are `min_proposal_interval_ns` apart.
5.  While more than `max_absent_fraction` of the fleet's weight is gone, only partitions of leaving relays
   move: either the reports are wrong or this side of a network partition is the one cut off.
6.  A partition in handover is changed only by the handover's end: at no time do replicas of three versions
   send.
7. A replica is removed only as another is added, while there is a candidate; and only replicas on the relay
   concerned.
8. The cost of one member's change grows with its own partitions, the zones and the logarithm of the relays.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import islice

from millweir.placement.assignment import (
    Assignment,
    Difference,
    PartitionChange,
    Placement,
    Relay,
    compute_verified_digest,
    is_repeat,
)
from millweir.placement.fleet import Fleet, Member
from millweir.placement.handovers import Handovers
from millweir.placement.interface import Liveness, Proposal, Rules, Status
from millweir.placement.presence import HealthTracker, RelayHealth
from millweir.placement.table import PlacementTable

NEVER = 1 << 62  # a time that is never reached
MIN_DONORS = 8  # relays that are searched for a partition to move, for balancing
MIN_REGIONS = 2  # of a partition after balancing, as one region may be cut off


@dataclass(slots=True)
class StagedProposal:
    """The pending proposal, and the placements it replaced, which are restored if it is not committed."""

    proposal: Proposal
    replaced: list[tuple[int, Placement]] = field(default_factory=list)


class Core:
    """Tracks the assignment and the relays' health, and proposes the next version."""

    def __init__(self, rules: Rules, assignment: Assignment, now: int) -> None:
        self.rules, self.version = rules, assignment.version
        self.fleet = Fleet()
        self._placement_table = PlacementTable(self.fleet, assignment.partitions, rules.replicas)
        self._health_tracker = HealthTracker(rules)
        self._handovers = Handovers(rules.leases.handover_wait_ns)
        self._departing: dict[str, None] = {}  # relays that leave, or were gone for the removal delay
        self._emptied: dict[str, None] = {}  # of these, those that may no longer hold partitions
        self._blocked: dict[str, None] = {}  # of these, those whose partitions had no candidate
        self._underloaded: set[str] = set()  # relays that fell below `fill_below_ratio` and are being filled
        self._staged: StagedProposal | None = None
        self._next_proposal_at = now
        self._balanced = False  # nothing has changed since no balancing move was found
        self._failed_repairs = 0  # deficient partitions checked without success since the last change
        for partition, placement in enumerate(assignment):
            self._set_placement(now, partition, placement)
            if placement.in_handover:
                self._begin_handover(now, partition, placement)
        assert self.digest == assignment.digest

    @property
    def digest(self) -> int:
        """The digest of the assignment, including the pending proposal."""
        return self._placement_table.digest

    # Events.

    def update_relay(self, now: int, relay: Relay, liveness: Liveness, since: int) -> None:
        """Update a relay by a report of the membership: its attributes, its liveness, and since when.

        `since` is a hint: only for a relay that is new here, and alive, does the join delay count from it.
        Everything else counts from now.
        """
        if not relay.weight > 0:
            raise ValueError(f"relay {relay.name} has a weight of {relay.weight}")
        health = self._health_tracker.get(relay.name)
        if health is None:
            if liveness is Liveness.GONE or len(self._health_tracker) >= self.rules.max_members:
                return  # it holds no partitions, so there is nothing to do; or the table is full
            self._health_tracker.add_seen_relay(now, relay, liveness, since)
            self._add(relay)
        else:
            self._set_relay(health, relay)
            if liveness is not health.liveness:
                self._set_liveness(health, liveness, now if health.seen else min(now, since))
            health.seen = True
        self._set_timer(now, relay.name)

    def set_leaving(self, now: int, name: str, leaving: bool = True) -> bool:
        """Mark a relay as leaving for good, or undo it, for an operator; False if too many are leaving."""
        accepted = self._health_tracker.set_leaving(name, leaving)
        health = self._health_tracker.get(name)
        if not accepted or health is None:
            return accepted
        self._cancel_departure(name)
        if leaving:
            self._departing[name] = None
        else:
            health.since = now
            self._set_timer(now, name)
        return True

    def record_acknowledgement(self, name: str, version: int) -> None:
        """Record that a relay acts by that version, or a later one."""
        if health := self._health_tracker.get(name):
            health.acknowledged_version = max(health.acknowledged_version, version)
        self._handovers.record_acknowledgement(name, version)

    def apply_committed(self, now: int, difference: Difference) -> None:
        """Apply a committed version, of this core or another; raises a PlacementError if it can't follow."""
        if is_repeat(difference, self.version, self.digest):
            return
        staged = self._staged
        is_own = staged is not None and staged.proposal.to_difference(difference.version) == difference
        if not is_own:
            self.discard_proposal(now)
            digest = compute_verified_digest(difference, self._placement_table.placements, self.digest)
            for change in difference.changes:
                self._set_placement(now, change.partition, change.placement)
            assert digest == self.digest
        self._staged, self.version = None, difference.version
        self._next_proposal_at = now + self.rules.min_proposal_interval_ns
        for change in difference.changes:
            self._finish_handover(change.partition)
            if change.placement.in_handover:
                self._begin_handover(now, change.partition, change.placement)
        self._reset_search()

    def discard_proposal(self, now: int) -> None:
        """Undo the pending proposal, which was not committed."""
        if self._staged is None:
            return
        replaced, self._staged = self._staged.replaced, None
        for partition, placement in reversed(replaced):
            self._set_placement(now, partition, placement)
        self._reset_search()

    # Proposals.

    def propose(self, now: int) -> Proposal | None:
        """The changes for the next version; None if there are none yet, or a proposal is pending."""
        if self._staged is not None or now < self._next_proposal_at:
            return None
        self._process_timers(now)
        self._forget_empty_relays()
        staged = self._staged = StagedProposal(Proposal(self.version, (), self.digest))
        changed: dict[int, None] = {}
        for partition in list(islice(self._handovers.completed, self.rules.max_changes_per_proposal)):
            changed[partition] = None
            self._stage(now, partition, Placement(self._placement_table[partition].replicas))
        remaining_changes = self.rules.max_changes_per_proposal
        for moves in (self._find_departures(), self._find_repairs(), self._find_balancing_moves()):
            for partition, placement in islice(moves, remaining_changes):
                changed[partition] = None
                self._stage(now, partition, placement)
                remaining_changes -= 1
            if not remaining_changes:
                break
        if not changed:
            self._staged = None
            return None
        changes = tuple(
            PartitionChange(partition, self._placement_table[partition]) for partition in sorted(changed)
        )
        staged.proposal = Proposal(self.version, changes, self.digest)
        return staged.proposal

    def get_next_proposal_time(self, now: int) -> int:
        """When `propose` may return something without another event; NEVER if it can't."""
        if self._staged is not None:
            return NEVER
        if (
            self._handovers.completed
            or not self._balanced
            or self._has_repairs
            or any(map(self._is_to_be_moved, self._departing))
        ):
            return max(now, self._next_proposal_at)
        return max(
            self._next_proposal_at, min(self._health_tracker.next_timer_at, self._handovers.next_deadline)
        )

    @property
    def too_many_absent(self) -> bool:
        """Whether too much of the fleet is gone for partitions of absent relays to be moved."""
        return self._health_tracker.absent_weight > self.rules.max_absent_fraction * self.fleet.weight

    @property
    def steps(self) -> int:
        """Candidates, partitions and timers examined since the start: the measure of cost that CI checks."""
        return self.fleet.steps + self._health_tracker.steps + self._handovers.steps

    def get_placement(self, partition: int) -> Placement:
        """A partition's placement, as committed or in the pending proposal."""
        return self._placement_table[partition]

    def build_assignment(self) -> Assignment:
        """The full assignment as an immutable value; the cost grows with the number of partitions."""
        return Assignment(self.version, self._placement_table.placements)

    def build_status(self) -> Status:
        """A summary for the operator."""
        candidates = sum(member.is_candidate for member in self.fleet.members.values())
        return Status(
            self.version,
            len(self.fleet.members),
            candidates,
            len(self._departing),
            len(self._handovers),
            len(self._placement_table.deficient),
            self.too_many_absent,
        )

    # Members.

    def _add(self, relay: Relay) -> None:
        self.fleet.add(relay)
        self._balanced = False

    def _set_relay(self, health: RelayHealth, relay: Relay) -> None:
        if health.relay == relay:
            return
        self._health_tracker.set_relay(health, relay)
        member = self.fleet.members[relay.name]
        self.fleet.set_relay(member, relay)
        for partition in member.partitions:
            self.fleet.steps += 1
            self._placement_table.update_deficient(partition)
        self._reset_search()

    def _set_liveness(self, health: RelayHealth, liveness: Liveness, since: int) -> None:
        self._health_tracker.set_liveness(health, liveness, since)
        if not health.leaving:
            self._cancel_departure(health.relay.name)
        elif health.is_gone:
            self._emptied[health.relay.name] = None
        self._reset_search()

    def _cancel_departure(self, name: str) -> None:
        """Until a relay's next timer, don't move its partitions for its absence, and give it none."""
        self._departing.pop(name, None)
        self._blocked.pop(name, None)
        self._set_candidate(name, False)

    def _set_timer(self, now: int, name: str) -> None:
        self._health_tracker.set_timer(name)
        if self._health_tracker.next_timer_at <= now:
            self._process_timers(now)

    def _process_timers(self, now: int) -> None:
        for health in self._health_tracker.pop_expired(now):
            if health.is_gone:
                self._departing[health.relay.name] = None
            else:
                self._set_candidate(health.relay.name, True)
        self._handovers.expire_waits(now)

    def _set_candidate(self, name: str, candidate: bool) -> None:
        member = self.fleet.members[name]
        if candidate is member.is_candidate:
            return
        self.fleet.set_candidate(member, candidate)
        self._reset_search()
        if candidate:
            self._departing.update(self._blocked)
            self._blocked.clear()

    def _reset_search(self) -> None:
        """Search again for moves and repairs that were not possible before."""
        self._balanced, self._failed_repairs = False, 0

    @property
    def _has_repairs(self) -> bool:
        return not self.too_many_absent and self._failed_repairs < len(self._placement_table.deficient)

    def _is_to_be_moved(self, name: str) -> bool:
        """Whether a relay's partitions are to be moved now."""
        health = self._health_tracker[name]
        return health.leaving or not self.too_many_absent and health.is_departing

    def _forget_empty_relays(self) -> None:
        """Forget departed relays that no longer hold partitions; only while no proposal is pending."""
        for name in self._emptied:
            health = self._health_tracker.get(name)
            if health and health.is_gone and health.is_departing and not self.fleet.members[name].partitions:
                self._health_tracker.forget_relay(name)
                self.fleet.remove(name)
                self._departing.pop(name, None)
        self._emptied.clear()

    # Moves: each generator yields one new placement, which is staged before the generator is resumed.

    def _find_departures(self) -> Iterator[tuple[int, Placement]]:
        for name in [name for name in self._departing if self._is_to_be_moved(name)]:
            self.fleet.steps += 1
            for partition in list(self.fleet.members[name].partitions):
                self.fleet.steps += 1
                if not self._is_changeable(partition):
                    continue  # the end of the handover queues the relay again
                if placement := self._replace_departing(partition):
                    yield partition, placement
                else:
                    self._blocked[name] = None
            del self._departing[name]
            self._emptied[name] = None

    def _replace_departing(self, partition: int) -> Placement | None:
        """The placement with all departing replicas replaced; None if there are too few candidates."""
        before = self._placement_table[partition].replicas
        names = [name for name in before if not self._is_to_be_moved(name)]
        while len(names) < len(before) and (member := self.fleet.choose_candidate(names)):
            names.append(member.relay.name)
        return Placement(tuple(names), before) if len(names) == len(before) else None

    def _find_repairs(self) -> Iterator[tuple[int, Placement]]:
        for partition in list(islice(self._placement_table.deficient, self.rules.max_partitions_checked)):
            if not self._has_repairs:
                return
            self.fleet.steps += 1
            self._placement_table.move_to_end(partition)
            self._failed_repairs += 1
            if self._is_changeable(partition) and (placement := self._repair(partition)):
                self._failed_repairs -= 1
                yield partition, placement

    def _repair(self, partition: int) -> Placement | None:
        before = self._placement_table[partition].replicas
        names = list(self._placement_table.select_one_per_zone(before))
        while len(names) < self.rules.replicas and (member := self.fleet.choose_candidate(names)):
            names.append(member.relay.name)
        is_improved = len(names) > len(before) or len(self._placement_table.list_zones(names)) > len(
            self._placement_table.list_zones(before)
        )
        return Placement(tuple(names), before) if is_improved else None

    def _find_balancing_moves(self) -> Iterator[tuple[int, Placement]]:
        while not self._balanced and not self.too_many_absent:
            move = self._find_balancing_move()
            if move is None:
                self._balanced = True
                return
            yield move

    def _find_balancing_move(self) -> tuple[int, Placement] | None:
        """The move of a replica from a highly loaded relay to the least loaded, if that is underloaded."""
        least = self.fleet.find_least_loaded()
        if least is None or not self._update_underloaded(least):
            return None
        checks = 0
        for donor in self.fleet.iterate_most_loaded(above=least.load + 1 / least.relay.weight):
            for partition in list(islice(donor.partitions, self.rules.max_partitions_checked // MIN_DONORS)):
                checks += 1
                self.fleet.steps += 1
                if self._is_changeable(partition) and (
                    moved := self._replace_replica(partition, donor, least)
                ):
                    return partition, moved
                donor.move_to_end(partition)
            if checks >= self.rules.max_partitions_checked:
                return None
        return None

    def _update_underloaded(self, member: Member) -> bool:
        """Whether to fill a member: from below `fill_below_ratio` until it reaches `fill_to_ratio`."""
        name, mean = member.relay.name, self.fleet.mean_load
        if member.load < self.rules.fill_below_ratio * mean:
            self._underloaded.add(name)
        elif member.load >= self.rules.fill_to_ratio * mean:
            self._underloaded.discard(name)
        return name in self._underloaded

    def _replace_replica(self, partition: int, donor: Member, receiver: Member) -> Placement | None:
        """The placement with one relay replaced by another; None if it spans too few zones or regions."""
        before = self._placement_table[partition].replicas
        after = tuple(receiver.relay.name if name == donor.relay.name else name for name in before)
        if receiver.relay.name in before:
            return None
        if self._placement_table.can_be_repaired(after):
            return None  # also if the donor's zone would be without a replica, as the donor is a candidate
        if len(self._placement_table.list_regions(after)) < min(
            MIN_REGIONS, len(self._placement_table.list_regions(before))
        ):
            return None
        return Placement(after, before)

    # Placements.

    def _is_changeable(self, partition: int) -> bool:
        return not self._placement_table[partition].in_handover and partition not in self._handovers

    def _stage(self, now: int, partition: int, placement: Placement) -> None:
        self._staged.replaced.append((partition, self._placement_table[partition]))
        self._set_placement(now, partition, placement)

    def _set_placement(self, now: int, partition: int, placement: Placement) -> None:
        before = self._placement_table[partition].replicas
        gained = [name for name in placement.replicas if name not in before]
        for name in gained:
            if name not in self._health_tracker:
                self._add(self._health_tracker.add_unseen_relay(now, name))
        self._placement_table.replace(partition, placement)
        for name in gained:
            self._queue_departure(name)

    def _queue_departure(self, name: str) -> None:
        """Queue a departing relay that was given a partition, or has one that may be moved again."""
        if self._health_tracker[name].is_departing:
            self._departing[name] = None

    # Handovers.

    def _begin_handover(self, now: int, partition: int, placement: Placement) -> None:
        awaited = [name for name in placement.previous if not self._has_acknowledged(name)]
        self._handovers.begin(now, partition, self.version, awaited)

    def _has_acknowledged(self, name: str) -> bool:
        health = self._health_tracker.get(name)
        return health is not None and health.acknowledged_version >= self.version

    def _finish_handover(self, partition: int) -> None:
        if self._handovers.end(partition):
            for name in self._placement_table[partition].replicas:
                self._queue_departure(name)
