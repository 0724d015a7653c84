"""A simulated fleet: a placement core and lease holders that receive its versions late or never.

Each relay has a drifting clock, requests its lease, becomes unreachable, is restarted with the placements of
an old version, and uses shares that it read up to `max_send_delay_ns` ago.  `step` checks every invariant.
"""

from __future__ import annotations

import random
from dataclasses import replace
from itertools import count

from millweir.placement.assignment import Assignment, Placement, Relay
from millweir.placement.core import Core
from millweir.placement.fleet import assign_all
from millweir.placement.holder import LeaseHolder, LeaseRules
from millweir.placement.interface import Liveness, Rules
from millweir.placement.leases import SECOND
from millweir.placement.partitions import find_partition

PARTITIONS = 12
LEASES = LeaseRules(duration_ns=20 * SECOND, max_clock_drift=0.05, max_send_delay_ns=SECOND)
RULES = Rules(
    removal_delay_ns=15 * SECOND,
    join_delay_ns=3 * SECOND,
    min_proposal_interval_ns=SECOND,
    max_changes_per_proposal=4,
    leases=LEASES,
)
STEP = SECOND // 2


def choose_destinations(partitions):
    """One destination for each partition."""
    found = {}
    numbers = count()
    while len(found) < partitions:
        number = next(numbers)
        found.setdefault(find_partition(number, partitions), number)
    return tuple(found[partition] for partition in range(partitions))


DESTINATIONS = choose_destinations(PARTITIONS)


def make_relays(number, zones=4, regions=2, weights=(1.0,)):
    """Relays distributed evenly over zones, and zones over regions."""
    return [
        Relay(f"r{n:04}", f"region{n % zones % regions}", f"zone{n % zones}", weights[n % len(weights)])
        for n in range(number)
    ]


def make_assignment(relays, partitions=PARTITIONS, replicas=3, version=1):
    """The initial assignment of a fleet."""
    table, _ = assign_all(relays, partitions, replicas)
    return Assignment(version, [Placement(names) for names in table])


def make_core(relays, rules=RULES, partitions=PARTITIONS, now=0):
    """A core for which all relays have been alive for the join delay."""
    core = Core(rules, make_assignment(relays, partitions, rules.replicas), now)
    for relay in relays:
        core.update_relay(now, relay, Liveness.ALIVE, now - rules.join_delay_ns)
    return core


def run_until_settled(core, now, seconds=4000, acknowledging=()):
    """Commit all that the core proposes; returns the time, and the proposals with their times."""
    proposals = []
    until = now + seconds * SECOND
    while now < until:
        if proposal := core.propose(now):
            proposals.append((now, proposal))
            core.apply_committed(now, proposal.to_difference(core.version + 1))
            for name in acknowledging:
                core.record_acknowledgement(name, core.version)
        now = max(now + core.rules.min_proposal_interval_ns, min(core.get_next_proposal_time(now), until))
    return now, proposals


def collect_moves(proposals):
    """Placements of proposals in which a replica changed."""
    return [
        change for _, proposal in proposals for change in proposal.changes if change.placement.in_handover
    ]


class SimulatedRelay:
    """One lease holder with its clock and the answers in transit to it."""

    def __init__(self, relay, rng):
        self.relay, self.rng = relay, rng
        self.clock_rate = 1 + rng.choice((-1, 1)) * LEASES.max_clock_drift
        self.clock_offset = rng.randrange(1000) * SECOND
        self.holder = LeaseHolder(relay.name, PARTITIONS, LEASES)
        self.unreachable_until = self.down_until = 0
        self.inbox = []  # arrival by true time, answer
        self.shares = [0.0] * PARTITIONS  # as read last
        self.read_at = 0

    def read_clock(self, now):
        return self.clock_offset + int(now * self.clock_rate)

    def is_reachable(self, now):
        return now >= self.unreachable_until and now >= self.down_until


class Fleet:
    """The simulated fleet; `step` advances it by half a second."""

    def __init__(self, seed, number=9, rules=RULES):
        self.rng = random.Random(seed)
        self.now = 1000 * SECOND
        self.rules = rules
        relays = make_relays(number, weights=self.rng.choice(((1.0,), (1.0, 2.0))))
        self.assignment = make_assignment(relays)
        self.history = {1: self.assignment}
        self.relays = {relay.name: SimulatedRelay(relay, self.rng) for relay in relays}
        self.core = Core(rules, self.assignment, self.now)
        self.core_started_at = self.now
        self.liveness, self.updated_at, self.leaving = {}, {}, set()
        for relay in relays:
            self.update_core(relay, Liveness.ALIVE, age=100 * SECOND)
        self.max_total_share = 0.0
        self.commits = []

    def update_core(self, relay, liveness, age=0):
        if self.liveness.get(relay.name) is not liveness:
            self.updated_at[relay.name] = self.now
        self.liveness[relay.name] = liveness
        self.core.update_relay(self.now, relay, liveness, self.now - age)

    def set_leaving(self, name, leaving):
        if leaving is not (name in self.leaving):
            self.updated_at[name] = self.now
        (self.leaving.add if leaving else self.leaving.discard)(name)
        self.core.set_leaving(self.now, name, leaving)

    def step(self, with_faults=True):
        """Advance by half a second: faults, commits, messages, reads of shares; then the checks."""
        self.now += STEP
        if with_faults:
            self.inject_faults()
        self.commit()
        for simulated_relay in self.relays.values():
            self.exchange_messages(simulated_relay)
            self.read_shares(simulated_relay)
        self.check()

    def inject_faults(self):
        rng = self.rng
        if rng.random() < 0.03:
            simulated_relay = rng.choice(list(self.relays.values()))
            simulated_relay.unreachable_until = self.now + rng.choice((2, 10, 40, 90)) * SECOND
        if rng.random() < 0.02:
            simulated_relay = rng.choice(list(self.relays.values()))
            self.restart(simulated_relay, rng.choice((1, 5, 60)) * SECOND)
        if rng.random() < 0.02:  # the membership reports are wrong as often as right
            self.update_core(rng.choice(list(self.relays.values())).relay, rng.choice(list(Liveness)))
        if rng.random() < 0.02:  # the worst case: it loses all partitions while it is unreachable
            simulated_relay = rng.choice(list(self.relays.values()))
            simulated_relay.unreachable_until = self.now + rng.choice((0, 40, 40)) * SECOND
            self.set_leaving(simulated_relay.relay.name, True)
        if rng.random() < 0.02:
            self.set_leaving(rng.choice(list(self.relays)), False)
        if rng.random() < 0.005:  # another core takes over, with other membership reports
            self.core = Core(self.rules, self.assignment, self.now)
            self.core_started_at = self.now
            self.liveness, self.leaving = {}, set()
            for simulated_relay in self.relays.values():
                reported = rng.choice((Liveness.ALIVE, Liveness.ALIVE, Liveness.GONE))
                self.update_core(simulated_relay.relay, reported, age=rng.randrange(100) * SECOND)

    def restart(self, simulated_relay, seconds):
        """Restart with an old disk state: the placements of an earlier version, and no lease."""
        simulated_relay.down_until, simulated_relay.inbox = self.now + seconds, []
        simulated_relay.holder = LeaseHolder(simulated_relay.relay.name, PARTITIONS, LEASES)
        simulated_relay.shares = [0.0] * PARTITIONS
        old = self.rng.choice(list(self.history.values()))
        simulated_relay.holder.replace_placements(
            simulated_relay.read_clock(self.now),
            old.version,
            old.select_placements_of(simulated_relay.relay.name),
        )

    def commit(self):
        proposal = self.core.propose(self.now)
        if proposal is None:
            return
        if self.rng.random() < 0.1:
            self.core.discard_proposal(self.now)
            return
        difference = proposal.to_difference(self.assignment.version + self.rng.choice((1, 1, 7)))
        self.check_proposal(proposal)
        self.assignment = self.assignment.apply(difference)
        self.history[difference.version] = self.assignment
        self.core.apply_committed(self.now, difference)
        self.commits.append((self.now, difference))

    def exchange_messages(self, simulated_relay):
        """Ask which version is current; the answer arrives late and brings the changes to that version."""
        name, now = simulated_relay.relay.name, self.now
        if simulated_relay.is_reachable(now) and self.rng.random() < 0.3:
            current, base = self.assignment, simulated_relay.holder.version
            answer = (simulated_relay.read_clock(now - self.rng.randrange(2) * STEP), base, current)
            simulated_relay.inbox.append((now + self.rng.choice((0, 0, 1, 5)) * SECOND, answer))
        for arrives, answer in list(simulated_relay.inbox):
            if arrives <= now and simulated_relay.is_reachable(now):
                simulated_relay.inbox.remove((arrives, answer))
                self.receive_answer(simulated_relay, *answer)
        if simulated_relay.is_reachable(now) and self.rng.random() < 0.5:
            self.core.record_acknowledgement(name, simulated_relay.holder.acknowledged_version)

    def receive_answer(self, simulated_relay, requested_at, base, current):
        clock, name, holder = (
            simulated_relay.read_clock(self.now),
            simulated_relay.relay.name,
            simulated_relay.holder,
        )
        if self.rng.random() < 0.8 and holder.version < current.version:
            if holder.version == base and base in self.history:
                changes = self.history[base].difference_to(current).changes
                holder.apply_difference(clock, base, current.version, changes)
            else:
                holder.replace_placements(clock, current.version, current.select_placements_of(name))
        holder.record_renewal(clock, requested_at, current.version)

    def read_shares(self, simulated_relay):
        """Use shares read now, or up to `max_send_delay_ns` ago; an unreachable relay can still send."""
        if self.now < simulated_relay.down_until:
            return
        if self.now - simulated_relay.read_at >= LEASES.max_send_delay_ns - STEP or self.rng.random() < 0.5:
            clock = simulated_relay.read_clock(self.now)
            simulated_relay.shares = [
                simulated_relay.holder.get_fair_share(clock, destination) for destination in DESTINATIONS
            ]
            simulated_relay.read_at = self.now

    def check_proposal(self, proposal):
        """Check the core's invariants, by the numbers in its doc comment."""
        assert proposal.base_version == self.assignment.version  # 1
        changes = [(self.assignment[change.partition], change.placement) for change in proposal.changes]
        ended = [(before, after) for before, after in changes if before.in_handover]
        assert all(after == Placement(before.replicas) for before, after in ended)  # 6
        moves = [(before, after) for before, after in changes if not before.in_handover]
        assert max(len(ended), len(moves)) <= self.rules.max_changes_per_proposal  # 4
        for before, after in moves:
            assert after.previous == before.replicas and len(after.replicas) == len(before.replicas)  # 6, 7
            lost, gained = (
                set(before.replicas) - set(after.replicas),
                set(after.replicas) - set(before.replicas),
            )
            self.check_zones(after.replicas, gained)
            self.check_gainers(gained)
            self.check_losers(lost, gained, repaired=self.count_zones(before.replicas) < len(before.replicas))

    def count_zones(self, replicas):
        return len({self.relays[name].relay.zone for name in replicas})

    def check_zones(self, replicas, gained):
        """Invariant 2: no two replicas in one zone while another zone has a candidate."""
        zones = {self.relays[name].relay.zone for name in replicas}
        candidates = {member.relay.zone for member in self.core.fleet.members.values() if member.is_candidate}
        for name in gained:
            others = {self.relays[other].relay.zone for other in replicas if other != name}
            assert self.relays[name].relay.zone not in others or candidates <= zones

    def check_gainers(self, gained):
        """Invariant 3: a gaining relay has been alive for the join delay and is not leaving."""
        for name in gained:
            assert self.liveness[name] is Liveness.ALIVE and name not in self.leaving
            assert (
                name in self.list_unchanged_since_start()
                or self.now - self.updated_at[name] >= self.rules.join_delay_ns
            )

    def check_losers(self, lost, gained, repaired):
        """Invariants 3 and 5: repair and balancing alone take replicas from relays that stay."""
        known = {
            name: reported for name, reported in self.liveness.items() if name in self.core.fleet.members
        }
        absent = sum(
            self.relays[name].relay.weight for name, reported in known.items() if reported is Liveness.GONE
        )
        too_many_absent = absent > self.rules.max_absent_fraction * sum(
            self.relays[name].relay.weight for name in known
        )
        for name in lost - self.leaving:
            assert not too_many_absent
            gone = (
                self.liveness[name] is Liveness.GONE
                and self.now - self.updated_at[name] >= self.rules.removal_delay_ns
            )
            assert gone or repaired or self.is_lighter(gained, name)

    def list_unchanged_since_start(self):
        """Relays whose reported liveness has not changed since this core started."""
        return {name for name, at in self.updated_at.items() if at == self.core_started_at}

    def is_lighter(self, gained, name):
        loads = {other: self.core.fleet.members[other].load for other in gained | {name}}
        return min(loads[other] for other in gained) <= loads[name] + self.rules.max_changes_per_proposal

    def sum_shares(self):
        """For each partition, the sum of all relays' shares of a destination's rate limit."""
        return [
            sum(shares)
            for shares in zip(
                *(simulated_relay.shares for simulated_relay in self.relays.values()), strict=True
            )
        ]

    def check(self):
        totals = self.sum_shares()
        self.max_total_share = max(self.max_total_share, *totals)
        assert self.max_total_share <= 1 + 1e-9, f"{self.max_total_share} of a limit in use"
        for partition in range(PARTITIONS):
            assert len(self.assignment[partition].replicas) == self.rules.replicas


def find_shared_zones(assignment, relays):
    """Partitions with two replicas in one zone."""
    zone = {relay.name: relay.zone for relay in relays}
    return [
        partition
        for partition, placement in enumerate(assignment)
        if len({zone[name] for name in placement.replicas}) < len(placement.replicas)
    ]


def make_rules(**changes):
    return replace(RULES, **changes)
