"""Which relays are the replicas of each partition next: the deciding core.

No I/O, no clock, no chance of its own; whole nanoseconds.

Theory of operation.  The core holds the present assignment, as the register committed it, and a view of the
members, which is a hint.  It is told what happened by one method for each thing; `propose` gives the changes
for the next version, if any.  The caller has the register commit a proposal only if the register's version is
still the proposal's base; the register gives the version, which only rises.  So any number of cores may run,
with views as wrong as they like: one proposal a version lands, and what is safe rests on no view.

What moves, in this order:

- the end of a *handover*: the replicas of before have acknowledged, or `LeaseRules.handover_wait` has passed
  since the change was committed, by when their leases have ended (`holder.py`);
- replicas on relays that leave for good (`leave_told`), at once, but paced;
- replicas on relays that have been gone for the whole of `hold`;
- partitions with too few replicas, or with two in one zone, where that can be mended;
- replicas from the most to the least loaded relay: one that falls below `fill_below` of the mean load is
  filled up to `fill_to`.

Invariants, checked after each step in `tests/placement/`:

1. The version only rises, one proposal is under way at a time, and an equal version with other content, a
   lower one or a gap is refused with nothing changed.
2. No two replicas of a partition are put in one zone while a zone without one has a candidate; zones are
   those that the view has told.
3. A relay that has not been gone for the whole of `hold`, counted from when this core heard it, and does not
   leave, loses a replica to balance or repair alone.  Its going and coming back moves nothing: the mean load
   counts it throughout.  Nobody is given anything before it has been alive for `settle`.
4. A proposal ends at most `changes_most` handovers and changes at most as many placements; two proposals that
   the register commits are `interval` apart.
5. While more than `absent_most` of the fleet's weight is gone nothing moves but what leaves: then the view is
   wrong or this side is the one cut off.
6. A partition in handover is not changed but by the handover's end: at no time do three versions of its
   replicas send.
7. A replica goes only as another comes, while there is a candidate; and only those of the relay concerned.
8. Steps of one member's change grow with its own partitions, the zones and the logarithm of the relays.
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
    checked_digest,
    repeats,
)
from millweir.placement.fleet import Fleet, Member
from millweir.placement.handovers import Handovers
from millweir.placement.interface import Proposal, Rules, Standing, Status
from millweir.placement.presence import Health, Presence
from millweir.placement.table import Table

NEVER = 1 << 62
DONORS_LEAST = 8  # among which a partition is looked for that may move to balance
REGIONS_LEAST = 2  # that balancing leaves to a partition: one may be cut off


@dataclass(slots=True)
class Staged:
    """The proposal under way, and what it replaced: undone where the register refuses it."""

    proposal: Proposal
    replaced: list[tuple[int, Placement]] = field(default_factory=list)


class Core:
    """Proposes the next assignment."""

    def __init__(self, rules: Rules, assignment: Assignment, now: int) -> None:
        self.rules, self.version = rules, assignment.version
        self.fleet = Fleet()
        self._table = Table(self.fleet, assignment.partitions, rules.replicas)
        self._presence = Presence(rules)
        self._handovers = Handovers(rules.leases.handover_wait)
        self._departing: dict[str, None] = {}  # relays that leave, or were gone for the hold
        self._emptied: dict[str, None] = {}  # of these, those that may hold nothing any more
        self._stuck: dict[str, None] = {}  # of these, those for whose partitions there was no candidate
        self._filling: set[str] = set()  # relays that fell below `fill_below` of the mean
        self._staged: Staged | None = None
        self._next_at = now
        self._balanced = False  # nothing has changed since no move to balance was found
        self._repairs_missed = 0  # deficient partitions looked at in vain since something changed
        for partition, placement in enumerate(assignment):
            self._replace(now, partition, placement)
            if placement.in_handover:
                self._begin_handover(now, partition, placement)
        assert self.digest == assignment.digest

    @property
    def digest(self) -> int:
        """Of the assignment, with the proposal under way."""
        return self._table.digest

    # What is told.

    def relay_told(self, now: int, relay: Relay, standing: Standing, since: int) -> None:
        """How the members' view sees a relay, and since when.

        `since` is a hint: whom this core meets alive has settled by it.  All else counts from now.
        """
        if not relay.weight > 0:
            raise ValueError(f"relay {relay.name} has a weight of {relay.weight}")
        health = self._presence.get(relay.name)
        if health is None:
            if standing is Standing.GONE or len(self._presence) >= self.rules.members_most:
                return  # it holds nothing, so nothing follows; or the table is full
            self._presence.meet(now, relay, standing, since)
            self._add(relay)
        else:
            self._set_relay(health, relay)
            if standing is not health.standing:
                self._set_standing(health, standing, now if health.seen else min(now, since))
            health.seen = True
        self._arm(now, relay.name)

    def leave_told(self, now: int, name: str, leaving: bool = True) -> bool:
        """An operator takes a relay out for good, or takes that back; False where there are too many."""
        told = self._presence.set_leaving(name, leaving)
        health = self._presence.get(name)
        if not told or health is None:
            return told
        self._stay(name)
        if leaving:
            self._departing[name] = None
        else:
            health.since = now
            self._arm(now, name)
        return True

    def acknowledged(self, name: str, version: int) -> None:
        """A relay acts by that version, or a later one."""
        if health := self._presence.get(name):
            health.acknowledged = max(health.acknowledged, version)
        self._handovers.acknowledged(name, version)

    def committed(self, now: int, difference: Difference) -> None:
        """The register has a new version, of this core or another; PlacementError where it doesn't fit."""
        if repeats(difference, self.version, self.digest):
            return
        staged = self._staged
        own = staged is not None and staged.proposal.at(difference.version) == difference
        if not own:
            self.refused(now)
            digest = checked_digest(difference, self._table.placements, self.digest)
            for change in difference.changes:
                self._replace(now, change.partition, change.placement)
            assert digest == self.digest
        self._staged, self.version = None, difference.version
        self._next_at = now + self.rules.interval
        for change in difference.changes:
            self._end_handover(change.partition)
            if change.placement.in_handover:
                self._begin_handover(now, change.partition, change.placement)
        self._look_anew()

    def refused(self, now: int) -> None:
        """The register did not commit the proposal under way: as if it had not been made."""
        if self._staged is None:
            return
        replaced, self._staged = self._staged.replaced, None
        for partition, placement in reversed(replaced):
            self._replace(now, partition, placement)
        self._look_anew()

    # What is proposed.

    def propose(self, now: int) -> Proposal | None:
        """The changes for the next version; None where there are none yet, or a proposal is under way."""
        if self._staged is not None or now < self._next_at:
            return None
        self._time_passed(now)
        self._forget_departed()
        staged = self._staged = Staged(Proposal(self.version, (), self.digest))
        changed: dict[int, None] = {}
        for partition in list(islice(self._handovers.complete, self.rules.changes_most)):
            changed[partition] = None
            self._stage(now, partition, Placement(self._table[partition].replicas))
        room = self.rules.changes_most
        for moves in (self._departures(), self._repairs(), self._balancing()):
            for partition, placement in islice(moves, room):
                changed[partition] = None
                self._stage(now, partition, placement)
                room -= 1
            if not room:
                break
        if not changed:
            self._staged = None
            return None
        changes = tuple(PartitionChange(partition, self._table[partition]) for partition in sorted(changed))
        staged.proposal = Proposal(self.version, changes, self.digest)
        return staged.proposal

    def due_at(self, now: int) -> int:
        """When `propose` may have something without anything being told; NEVER where that can't be."""
        if self._staged is not None:
            return NEVER
        if (
            self._handovers.complete
            or not self._balanced
            or self._repairable
            or any(map(self._departs, self._departing))
        ):
            return max(now, self._next_at)
        return max(self._next_at, min(self._presence.due_at, self._handovers.due_at))

    @property
    def held_back(self) -> bool:
        """Whether too much of the fleet is gone for anything to move on its account."""
        return self._presence.absent_weight > self.rules.absent_most * self.fleet.weight

    @property
    def steps(self) -> int:
        """Candidates, partitions and timers looked at since the start: what CI counts."""
        return self.fleet.steps + self._presence.steps + self._handovers.steps

    def placement(self, partition: int) -> Placement:
        """As committed, with the proposal under way."""
        return self._table[partition]

    def assignment(self) -> Assignment:
        """The whole as a value; grows with the partitions."""
        return Assignment(self.version, self._table.placements)

    def status(self) -> Status:
        """For the operator."""
        candidates = sum(member.candidate for member in self.fleet.members.values())
        return Status(
            self.version,
            len(self.fleet.members),
            candidates,
            len(self._departing),
            len(self._handovers),
            len(self._table.deficient),
            self.held_back,
        )

    # Members.

    def _add(self, relay: Relay) -> None:
        self.fleet.add(relay)
        self._balanced = False

    def _set_relay(self, health: Health, relay: Relay) -> None:
        if health.relay == relay:
            return
        self._presence.set_relay(health, relay)
        member = self.fleet.members[relay.name]
        self.fleet.set_relay(member, relay)
        for partition in member.held:
            self.fleet.steps += 1
            self._table.check(partition)
        self._look_anew()

    def _set_standing(self, health: Health, standing: Standing, since: int) -> None:
        self._presence.set_standing(health, standing, since)
        if not health.leaving:
            self._stay(health.relay.name)
        elif health.is_gone:
            self._emptied[health.relay.name] = None
        self._look_anew()

    def _stay(self, name: str) -> None:
        """Its partitions don't move on its account, and it is given none, until its timer rings again."""
        self._departing.pop(name, None)
        self._stuck.pop(name, None)
        self._set_candidate(name, False)

    def _arm(self, now: int, name: str) -> None:
        self._presence.arm(name)
        if self._presence.due_at <= now:
            self._time_passed(now)

    def _time_passed(self, now: int) -> None:
        for health in self._presence.time_passed(now):
            if health.is_gone:
                self._departing[health.relay.name] = None
            else:
                self._set_candidate(health.relay.name, True)
        self._handovers.time_passed(now)

    def _set_candidate(self, name: str, candidate: bool) -> None:
        member = self.fleet.members[name]
        if candidate is member.candidate:
            return
        self.fleet.set_candidate(member, candidate)
        self._look_anew()
        if candidate:
            self._departing.update(self._stuck)
            self._stuck.clear()

    def _look_anew(self) -> None:
        """What could not be moved may be now."""
        self._balanced, self._repairs_missed = False, 0

    @property
    def _repairable(self) -> bool:
        return not self.held_back and self._repairs_missed < len(self._table.deficient)

    def _departs(self, name: str) -> bool:
        """Whether its partitions are to be moved now."""
        health = self._presence[name]
        return health.leaving or not self.held_back and health.has_departed

    def _forget_departed(self) -> None:
        """Those that are gone for long and hold nothing any more; only as no proposal is under way."""
        for name in self._emptied:
            health = self._presence.get(name)
            if health and health.is_gone and health.has_departed and not self.fleet.members[name].held:
                self._presence.forget(name)
                self.fleet.remove(name)
                self._departing.pop(name, None)
        self._emptied.clear()

    # Moves: each generator gives the next placement, which is staged before it goes on.

    def _departures(self) -> Iterator[tuple[int, Placement]]:
        for name in [name for name in self._departing if self._departs(name)]:
            self.fleet.steps += 1
            for partition in list(self.fleet.members[name].held):
                self.fleet.steps += 1
                if not self._changeable(partition):
                    continue  # the handover's end brings the relay back here
                if placement := self._without_departing(partition):
                    yield partition, placement
                else:
                    self._stuck[name] = None
            del self._departing[name]
            self._emptied[name] = None

    def _without_departing(self, partition: int) -> Placement | None:
        """All of its departing replicas replaced at once; None where candidates are lacking."""
        before = self._table[partition].replicas
        names = [name for name in before if not self._departs(name)]
        while len(names) < len(before) and (member := self.fleet.choose(names)):
            names.append(member.relay.name)
        return Placement(tuple(names), before) if len(names) == len(before) else None

    def _repairs(self) -> Iterator[tuple[int, Placement]]:
        for partition in list(islice(self._table.deficient, self.rules.checks_most)):
            if not self._repairable:
                return
            self.fleet.steps += 1
            self._table.put_last(partition)
            self._repairs_missed += 1
            if self._changeable(partition) and (placement := self._repaired(partition)):
                self._repairs_missed -= 1
                yield partition, placement

    def _repaired(self, partition: int) -> Placement | None:
        before = self._table[partition].replicas
        names = list(self._table.in_zones_of_their_own(before))
        while len(names) < self.rules.replicas and (member := self.fleet.choose(names)):
            names.append(member.relay.name)
        better = len(names) > len(before) or len(self._table.zones_of(names)) > len(
            self._table.zones_of(before)
        )
        return Placement(tuple(names), before) if better else None

    def _balancing(self) -> Iterator[tuple[int, Placement]]:
        while not self._balanced and not self.held_back:
            found = self._balancing_move()
            if found is None:
                self._balanced = True
                return
            yield found

    def _balancing_move(self) -> tuple[int, Placement] | None:
        """One replica from a most loaded relay to the least loaded one, where that is short of its part."""
        least = self.fleet.least_loaded()
        if least is None or not self._is_short(least):
            return None
        checks = 0
        for donor in self.fleet.most_loaded(above=least.load + 1 / least.relay.weight):
            for partition in list(islice(donor.held, self.rules.checks_most // DONORS_LEAST)):
                checks += 1
                self.fleet.steps += 1
                if self._changeable(partition) and (moved := self._moved(partition, donor, least)):
                    return partition, moved
                donor.put_last(partition)
            if checks >= self.rules.checks_most:
                return None
        return None

    def _is_short(self, member: Member) -> bool:
        name, mean = member.relay.name, self.fleet.mean_load
        if member.load < self.rules.fill_below * mean:
            self._filling.add(name)
        elif member.load >= self.rules.fill_to * mean:
            self._filling.discard(name)
        return name in self._filling

    def _moved(self, partition: int, donor: Member, receiver: Member) -> Placement | None:
        """The placement with one relay in another's stead; None where its spread would suffer."""
        before = self._table[partition].replicas
        after = tuple(receiver.relay.name if name == donor.relay.name else name for name in before)
        if receiver.relay.name in before:
            return None
        if self._table.may_be_repaired(after):
            return None  # the donor is a candidate too: this covers that its zone would be without one
        if len(self._table.regions_of(after)) < min(REGIONS_LEAST, len(self._table.regions_of(before))):
            return None
        return Placement(after, before)

    # The table.

    def _changeable(self, partition: int) -> bool:
        return not self._table[partition].in_handover and partition not in self._handovers

    def _stage(self, now: int, partition: int, placement: Placement) -> None:
        self._staged.replaced.append((partition, self._table[partition]))
        self._replace(now, partition, placement)

    def _replace(self, now: int, partition: int, placement: Placement) -> None:
        before = self._table[partition].replicas
        gained = [name for name in placement.replicas if name not in before]
        for name in gained:
            if name not in self._presence:
                self._add(self._presence.meet_unseen(now, name))
        self._table.replace(partition, placement)
        for name in gained:
            self._look_at_departed(name)

    def _look_at_departed(self, name: str) -> None:
        """A relay that has departed has a partition, or one that may be moved again."""
        if self._presence[name].has_departed:
            self._departing[name] = None

    # Handovers.

    def _begin_handover(self, now: int, partition: int, placement: Placement) -> None:
        awaited = [name for name in placement.previous if not self._has_acknowledged(name)]
        self._handovers.begin(now, partition, self.version, awaited)

    def _has_acknowledged(self, name: str) -> bool:
        health = self._presence.get(name)
        return health is not None and health.acknowledged >= self.version

    def _end_handover(self, partition: int) -> None:
        if self._handovers.end(partition):
            for name in self._table[partition].replicas:
                self._look_at_departed(name)
