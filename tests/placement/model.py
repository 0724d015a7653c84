"""A fleet in simulated time: a core, a register and holders that hear of versions late or not at all.

Each relay has a clock of its own that drifts, asks for its lease, is cut off, is restarted with last week's
part, and uses a share that it read up to `pause` ago.  `step` checks every invariant.
"""

from __future__ import annotations

import random
from dataclasses import replace
from itertools import count

from millweir.placement.assignment import Assignment, Placement, Relay
from millweir.placement.core import Core
from millweir.placement.fleet import assign_all
from millweir.placement.holder import Holder, LeaseRules
from millweir.placement.interface import Rules, Standing
from millweir.placement.leases import SECOND
from millweir.placement.partitions import partition_of

PARTITIONS = 12
LEASES = LeaseRules(lease=20 * SECOND, drift=0.05, pause=SECOND)
RULES = Rules(hold=15 * SECOND, settle=3 * SECOND, interval=SECOND, changes_most=4, leases=LEASES)
STEP = SECOND // 2


def destinations(partitions):
    """One destination for each partition."""
    found = {}
    numbers = count()
    while len(found) < partitions:
        number = next(numbers)
        found.setdefault(partition_of(number, partitions), number)
    return tuple(found[partition] for partition in range(partitions))


DESTINATIONS = destinations(PARTITIONS)


def relays(number, zones=4, regions=2, weights=(1.0,)):
    """Relays dealt out over zones, and zones over regions."""
    return [
        Relay(f"r{n:04}", f"region{n % zones % regions}", f"zone{n % zones}", weights[n % len(weights)])
        for n in range(number)
    ]


def assigned(given, partitions=PARTITIONS, replicas=3, version=1):
    """A first assignment."""
    table, _ = assign_all(given, partitions, replicas)
    return Assignment(version, [Placement(names) for names in table])


def core_of(given, rules=RULES, partitions=PARTITIONS, now=0):
    """A core whose view has all relays alive and settled."""
    core = Core(rules, assigned(given, partitions, rules.replicas), now)
    for relay in given:
        core.relay_told(now, relay, Standing.ALIVE, now - rules.settle)
    return core


def settle(core, now, seconds=4000, acknowledging=()):
    """Commit all that the core proposes; returns the time and the proposals, with when they were made."""
    made = []
    until = now + seconds * SECOND
    while now < until:
        if proposal := core.propose(now):
            made.append((now, proposal))
            core.committed(now, proposal.at(core.version + 1))
            for name in acknowledging:
                core.acknowledged(name, core.version)
        now = max(now + core.rules.interval, min(core.due_at(now), until))
    return now, made


def moved(made):
    """Placements of proposals in which a replica changed."""
    return [change for _, proposal in made for change in proposal.changes if change.placement.in_handover]


class SimulatedRelay:
    """One holder with its clock, its folder and what is on the way to it."""

    def __init__(self, relay, chance):
        self.relay, self.chance = relay, chance
        self.rate = 1 + chance.choice((-1, 1)) * LEASES.drift
        self.offset = chance.randrange(1000) * SECOND
        self.holder = Holder(relay.name, PARTITIONS, LEASES)
        self.cut_until = self.down_until = 0
        self.inbox = []  # true time, what
        self.used = [0.0] * PARTITIONS  # shares as read last
        self.read_at = 0

    def clock(self, now):
        return self.offset + int(now * self.rate)

    def reaches(self, now):
        return now >= self.cut_until and now >= self.down_until


class Fleet:
    """The model; `step` lets half a second go by."""

    def __init__(self, seed, number=9, rules=RULES):
        self.chance = random.Random(seed)
        self.now = 1000 * SECOND
        self.rules = rules
        given = relays(number, weights=self.chance.choice(((1.0,), (1.0, 2.0))))
        self.assignment = assigned(given)
        self.history = {1: self.assignment}
        self.relays = {relay.name: SimulatedRelay(relay, self.chance) for relay in given}
        self.core = Core(rules, self.assignment, self.now)
        self.core_since = self.now
        self.standing, self.told_at, self.leaving = {}, {}, set()
        for relay in given:
            self.tell_core(relay, Standing.ALIVE, hint=100 * SECOND)
        self.worst = 0.0
        self.commits = []

    def tell_core(self, relay, standing, hint=0):
        if self.standing.get(relay.name) is not standing:
            self.told_at[relay.name] = self.now
        self.standing[relay.name] = standing
        self.core.relay_told(self.now, relay, standing, self.now - hint)

    def tell_leave(self, name, leaving):
        if leaving is not (name in self.leaving):
            self.told_at[name] = self.now
        (self.leaving.add if leaving else self.leaving.discard)(name)
        self.core.leave_told(self.now, name, leaving)

    def step(self, trouble=True):
        """Half a second: troubles, versions, what arrives, what is used; then the checks."""
        self.now += STEP
        if trouble:
            self.make_trouble()
        self.commit()
        for one in self.relays.values():
            self.talk(one)
            self.use(one)
        self.check()

    def make_trouble(self):
        chance = self.chance
        if chance.random() < 0.03:
            one = chance.choice(list(self.relays.values()))
            one.cut_until = self.now + chance.choice((2, 10, 40, 90)) * SECOND
        if chance.random() < 0.02:
            one = chance.choice(list(self.relays.values()))
            self.restart(one, chance.choice((1, 5, 60)) * SECOND)
        if chance.random() < 0.02:  # the view is wrong as often as it is right
            self.tell_core(chance.choice(list(self.relays.values())).relay, chance.choice(list(Standing)))
        if chance.random() < 0.02:  # what hurts most: it loses all while it can't hear of it
            one = chance.choice(list(self.relays.values()))
            one.cut_until = self.now + chance.choice((0, 40, 40)) * SECOND
            self.tell_leave(one.relay.name, True)
        if chance.random() < 0.02:
            self.tell_leave(chance.choice(list(self.relays)), False)
        if chance.random() < 0.005:  # another core takes over, with a view of its own
            self.core = Core(self.rules, self.assignment, self.now)
            self.core_since = self.now
            self.standing, self.leaving = {}, set()
            for one in self.relays.values():
                seen = chance.choice((Standing.ALIVE, Standing.ALIVE, Standing.GONE))
                self.tell_core(one.relay, seen, hint=chance.randrange(100) * SECOND)

    def restart(self, one, seconds):
        """Its folder is last week's: a part of a version of some time ago, and no lease."""
        one.down_until, one.inbox = self.now + seconds, []
        one.holder = Holder(one.relay.name, PARTITIONS, LEASES)
        one.used = [0.0] * PARTITIONS
        old = self.chance.choice(list(self.history.values()))
        one.holder.part_told(one.clock(self.now), old.version, old.part_of(one.relay.name))

    def commit(self):
        proposal = self.core.propose(self.now)
        if proposal is None:
            return
        if self.chance.random() < 0.1:
            self.core.refused(self.now)
            return
        difference = proposal.at(self.assignment.version + self.chance.choice((1, 1, 7)))
        self.check_proposal(proposal)
        self.assignment = self.assignment.apply(difference)
        self.history[difference.version] = self.assignment
        self.core.committed(self.now, difference)
        self.commits.append((self.now, difference))

    def talk(self, one):
        """Ask which version is current; what comes back, late, is the answer and the way to it."""
        name, now = one.relay.name, self.now
        if one.reaches(now) and self.chance.random() < 0.3:
            current, base = self.assignment, one.holder.version
            answer = (one.clock(now - self.chance.randrange(2) * STEP), base, current)
            one.inbox.append((now + self.chance.choice((0, 0, 1, 5)) * SECOND, answer))
        for arrives, answer in list(one.inbox):
            if arrives <= now and one.reaches(now):
                one.inbox.remove((arrives, answer))
                self.hear(one, *answer)
        if one.reaches(now) and self.chance.random() < 0.5:
            self.core.acknowledged(name, one.holder.acknowledges)

    def hear(self, one, asked_at, base, current):
        clock, name, holder = one.clock(self.now), one.relay.name, one.holder
        if self.chance.random() < 0.8 and holder.version < current.version:
            if holder.version == base and base in self.history:
                changes = self.history[base].difference_to(current).changes
                holder.difference_told(clock, base, current.version, changes)
            else:
                holder.part_told(clock, current.version, current.part_of(name))
        holder.renewed(clock, asked_at, current.version)

    def use(self, one):
        """It acts by shares read now, or up to `pause` ago; a cut doesn't keep it from sending."""
        if self.now < one.down_until:
            return
        if self.now - one.read_at >= LEASES.pause - STEP or self.chance.random() < 0.5:
            clock = one.clock(self.now)
            one.used = [one.holder.share(clock, destination) for destination in DESTINATIONS]
            one.read_at = self.now

    def check_proposal(self, proposal):
        """The core's invariants, as numbered there."""
        assert proposal.base == self.assignment.version  # 1
        changes = [(self.assignment[change.partition], change.placement) for change in proposal.changes]
        ended = [(before, after) for before, after in changes if before.in_handover]
        assert all(after == Placement(before.replicas) for before, after in ended)  # 6
        moves = [(before, after) for before, after in changes if not before.in_handover]
        assert max(len(ended), len(moves)) <= self.rules.changes_most  # 4
        for before, after in moves:
            assert after.previous == before.replicas and len(after.replicas) == len(before.replicas)  # 6, 7
            lost, gained = (
                set(before.replicas) - set(after.replicas),
                set(after.replicas) - set(before.replicas),
            )
            self.check_zones(after.replicas, gained)
            self.check_gained(gained)
            self.check_lost(lost, gained, repaired=self.zones(before.replicas) < len(before.replicas))

    def zones(self, replicas):
        return len({self.relays[name].relay.zone for name in replicas})

    def check_zones(self, replicas, gained):
        """Invariant 2."""
        zones = {self.relays[name].relay.zone for name in replicas}
        candidates = {member.relay.zone for member in self.core.fleet.members.values() if member.candidate}
        for name in gained:
            others = {self.relays[other].relay.zone for other in replicas if other != name}
            assert self.relays[name].relay.zone not in others or candidates <= zones

    def check_gained(self, gained):
        """Invariant 3: who is given something has been alive for long enough, and doesn't leave."""
        for name in gained:
            assert self.standing[name] is Standing.ALIVE and name not in self.leaving
            assert name in self.settled() or self.now - self.told_at[name] >= self.rules.settle

    def check_lost(self, lost, gained, repaired):
        """Invariants 3 and 5: what is not on the move on its own account moves to repair or balance alone."""
        known = {name: seen for name, seen in self.standing.items() if name in self.core.fleet.members}
        absent = sum(self.relays[name].relay.weight for name, seen in known.items() if seen is Standing.GONE)
        held_back = absent > self.rules.absent_most * sum(self.relays[name].relay.weight for name in known)
        for name in lost - self.leaving:
            assert not held_back
            gone = self.standing[name] is Standing.GONE and self.now - self.told_at[name] >= self.rules.hold
            assert gone or repaired or self.is_lighter(gained, name)

    def settled(self):
        """Whom this core met alive, and has not heard otherwise of since."""
        return {name for name, at in self.told_at.items() if at == self.core_since}

    def is_lighter(self, gained, name):
        loads = {other: self.core.fleet.members[other].load for other in gained | {name}}
        return min(loads[other] for other in gained) <= loads[name] + self.rules.changes_most

    def sums(self):
        """Of each partition: the parts of a destination's limit in use now, by all relays."""
        return [sum(used) for used in zip(*(one.used for one in self.relays.values()), strict=True)]

    def check(self):
        sums = self.sums()
        self.worst = max(self.worst, *sums)
        assert self.worst <= 1 + 1e-9, f"{self.worst} of a limit in use"
        for partition in range(PARTITIONS):
            assert len(self.assignment[partition].replicas) == self.rules.replicas


def two_in_a_zone(assignment, given):
    """Partitions with two replicas in one zone."""
    zone = {relay.name: relay.zone for relay in given}
    return [
        partition
        for partition, placement in enumerate(assignment)
        if len({zone[name] for name in placement.replicas}) < len(placement.replicas)
    ]


def with_rules(**given):
    return replace(RULES, **given)
