"""The placement core: what moves, what does not, how fast, and at what cost."""

import random

import pytest
from placement.model import (
    RULES,
    collect_moves,
    find_shared_zones,
    make_assignment,
    make_core,
    make_relays,
    make_rules,
    run_until_settled,
)

from millweir.placement.assignment import (
    Assignment,
    ConflictingVersion,
    Difference,
    InvalidAssignment,
    PartitionChange,
    Placement,
    Relay,
    StaleVersion,
    VersionGap,
)
from millweir.placement.core import NEVER, Core
from millweir.placement.interface import Liveness, Rules
from millweir.placement.leases import SECOND

ALIVE = Liveness.ALIVE
SUSPECTED = Liveness.SUSPECTED
GONE = Liveness.GONE
FLEET = make_relays(22, zones=11, regions=4)
PARTITIONS = 128


def make_core_with(relays=FLEET, rules=RULES, partitions=PARTITIONS):
    return make_core(relays, rules, partitions)


def get_partitions(core, name):
    return set(core.fleet.members[name].partitions)


def compute_loads(core):
    """The load of each candidate: its partitions divided by its weight."""
    members = core.fleet.members.values()
    return [len(member.partitions) / member.relay.weight for member in members if member.is_candidate]


def update_relays(core, now, relays, liveness):
    for relay in relays:
        core.update_relay(now, relay, liveness, now)


# Events that move nothing.


def test_a_settled_fleet_moves_nothing():
    core = make_core_with()
    _, proposals = run_until_settled(core, 0)
    assert proposals == [] and core.get_next_proposal_time(0) == NEVER


def test_region_unreachable_for_less_than_the_removal_delay_moves_nothing():
    core = make_core_with()
    region = [relay for relay in FLEET if relay.region == "region1"]
    update_relays(core, 0, region, SUSPECTED)
    update_relays(core, SECOND, region, GONE)
    now, proposals = run_until_settled(core, SECOND, seconds=RULES.removal_delay_ns // SECOND - 1)
    update_relays(core, now, region, ALIVE)
    proposals += run_until_settled(core, now)[1]
    assert proposals == []


def test_lost_zone_moves_nothing_early_if_the_others_are_above_the_mean():
    relays = make_relays(12, zones=4)
    # Partitions of each relay, by zone; the mean is 30.
    partition_counts = {0: (25, 35, 35), 1: (32, 32, 31), 2: (32, 32, 31), 3: (25, 25, 25)}
    table = [[] for _ in range(120)]
    for zone, zone_counts in partition_counts.items():
        names = [f"r{zone + 4 * n:04}" for n, load in enumerate(zone_counts) for _ in range(load)]
        free = sorted(range(120), key=lambda number: len(table[number]))
        for number, name in zip(free, names, strict=False):
            table[number].append(name)
    core = Core(RULES, Assignment(1, [Placement(tuple(names)) for names in table]), 0)
    update_relays(core, 0, relays, ALIVE)
    assert run_until_settled(core, 0)[1] == []
    update_relays(core, 0, [relay for relay in relays if relay.zone == "zone3"], GONE)
    _, proposals = run_until_settled(core, 0, seconds=RULES.removal_delay_ns // SECOND - 1)
    assert proposals == []


def test_flapping_relays_move_nothing():
    core = make_core_with()
    now, proposals = 0, []
    for _ in range(40):
        update_relays(core, now, FLEET[:5], GONE)
        now, more = run_until_settled(core, now, seconds=RULES.removal_delay_ns // SECOND - 1)
        update_relays(core, now, FLEET[:5], ALIVE)
        now, again = run_until_settled(core, now, seconds=1)
        proposals += more + again
    assert proposals == []


def test_flapping_new_relay_is_given_nothing():
    core = make_core_with()
    newcomer, now = Relay("new", "region9", "zone99"), 0
    for _ in range(10):
        core.update_relay(now, newcomer, ALIVE, now)
        now, proposals = run_until_settled(core, now, seconds=RULES.join_delay_ns // SECOND - 1)
        assert proposals == []
        core.update_relay(now, newcomer, GONE, now)
        now += SECOND


def test_lasting_suspicion_moves_nothing():
    core = make_core_with()
    update_relays(core, 0, FLEET[:3], SUSPECTED)
    _, proposals = run_until_settled(core, 0)
    assert proposals == []


def test_suspicion_during_a_handover_moves_nothing_at_its_end():
    core = make_core_with()
    change = commit_departure(core).changes[0]
    suspected = [relay for relay in FLEET if relay.name in change.placement.replicas]
    update_relays(core, 0, suspected, SUSPECTED)
    for name in change.placement.previous:
        core.record_acknowledgement(name, core.version)
    run_until_settled(core, 0)
    assert core.get_placement(change.partition).replicas == change.placement.replicas


def test_restarts_move_nothing():
    core = make_core_with()
    now, proposals = 0, []
    for relay in FLEET:
        core.update_relay(now, relay, GONE, now)
        now, first = run_until_settled(core, now, seconds=5)
        core.update_relay(now, relay, ALIVE, now)
        now, second = run_until_settled(core, now, seconds=2)
        proposals += first + second
    assert proposals == []


def test_old_since_does_not_shorten_the_removal_delay():
    core = make_core_with()
    core.update_relay(0, FLEET[0], GONE, -3600 * SECOND)
    _, proposals = run_until_settled(core, 0, seconds=RULES.removal_delay_ns // SECOND - 1)
    assert proposals == []


def test_forgotten_relay_that_returns_waits_for_the_full_join_delay():
    core = make_core_with()
    core.update_relay(0, FLEET[0], GONE, 0)
    now, _ = run_until_settled(core, 0)
    core.update_relay(now, FLEET[0], ALIVE, 0)
    now, proposals = run_until_settled(core, now, seconds=RULES.join_delay_ns // SECOND - 1)
    assert proposals == []
    assert collect_moves(run_until_settled(core, now)[1])


def test_unreported_replica_counts_as_just_gone():
    core = Core(RULES, make_assignment(FLEET, PARTITIONS), 0)
    for relay in FLEET[1:]:
        core.update_relay(0, relay, ALIVE, -SECOND * 100)
    now, proposals = run_until_settled(core, 0, seconds=RULES.removal_delay_ns // SECOND - 1)
    assert proposals == []
    _, proposals = run_until_settled(core, now)
    assert collect_moves(proposals) and not is_assigned_to_any(core, FLEET[0].name)


def is_assigned_to_any(core, name):
    return any(name in placement.replicas for placement in core.build_assignment())


def test_nothing_moves_while_most_of_the_fleet_is_gone():
    core = make_core_with()
    update_relays(core, 0, FLEET[:12], GONE)
    now, proposals = run_until_settled(core, 0)
    assert proposals == [] and core.build_status().too_many_absent
    update_relays(core, now, FLEET[:6], ALIVE)
    _, proposals = run_until_settled(core, now)
    assert collect_moves(proposals)  # the other six have been gone for the removal delay


# Events that move replicas.


def test_lost_zone_moves_its_partitions_and_nothing_else():
    core = make_core_with()
    before = core.build_assignment()
    lost = {relay.name for relay in FLEET if relay.zone == "zone3"}
    lost_partitions = {number for number, placement in enumerate(before) if lost & set(placement.replicas)}
    update_relays(core, 0, [relay for relay in FLEET if relay.name in lost], GONE)
    now, proposals = run_until_settled(core, 0)
    after = core.build_assignment()
    for number in range(PARTITIONS):
        kept = [name for name in before[number].replicas if name not in lost]
        assert set(kept) <= set(after[number].replicas)
        assert (after[number].replicas == before[number].replicas) is (number not in lost_partitions)
        assert not lost & set(after[number].replicas) and len(after[number].replicas) == 3
    assert {change.partition for change in collect_moves(proposals)} == lost_partitions and len(
        collect_moves(proposals)
    ) == len(lost_partitions)
    assert not find_shared_zones(after, FLEET)
    assert lost.isdisjoint(core.fleet.members)  # the lost relays are forgotten
    assert max(compute_loads(core)) <= 1.35 * sum(compute_loads(core)) / len(compute_loads(core))


def test_both_replicas_lost_at_once_are_replaced_in_one_change():
    core = make_core_with(make_relays(12, zones=3, regions=3))
    update_relays(core, 0, [relay for relay in make_relays(12, zones=3) if relay.zone != "zone0"][:4], GONE)
    _, proposals = run_until_settled(core, 0)
    partitions = [change.partition for change in collect_moves(proposals)]
    assert len(partitions) == len(set(partitions))


def test_planned_leave_moves_at_once_at_a_limited_rate():
    core = make_core_with()
    core.set_leaving(0, FLEET[0].name)
    count = len(get_partitions(core, FLEET[0].name))
    proposals = []
    for now in range(0, 60 * SECOND, SECOND // 4):
        if proposal := core.propose(now):
            core.apply_committed(now, proposal.to_difference(core.version + 1))
            proposals.append((now, proposal))
        if not get_partitions(core, FLEET[0].name):
            break
    assert len(collect_moves(proposals)) == count
    assert len(proposals) == -(-count // RULES.max_changes_per_proposal)
    assert all(len(proposal.changes) <= RULES.max_changes_per_proposal for _, proposal in proposals)
    assert proposals[0][0] == 0
    assert all(
        b - a >= RULES.min_proposal_interval_ns
        for (a, _), (b, _) in zip(proposals, proposals[1:], strict=False)
    )


def test_forgotten_leaving_relay_that_returns_is_given_nothing():
    core = make_core_with()
    core.update_relay(0, FLEET[0], GONE, 0)
    now, _ = run_until_settled(core, 0)
    assert core.set_leaving(now, FLEET[0].name)
    core.update_relay(now, FLEET[0], ALIVE, now)
    run_until_settled(core, now)
    assert not get_partitions(core, FLEET[0].name)


def test_cancelled_leave_moves_nothing_more():
    core = make_core_with()
    core.set_leaving(0, FLEET[0].name)
    core.apply_committed(0, core.propose(0).to_difference(2))
    core.set_leaving(0, FLEET[0].name, leaving=False)
    left = get_partitions(core, FLEET[0].name)
    assert left
    now, _ = run_until_settled(core, 0, seconds=RULES.join_delay_ns // SECOND - 1)
    assert get_partitions(core, FLEET[0].name) == left


def test_new_relay_is_filled_from_the_most_loaded():
    core = make_core_with()
    before = core.build_assignment()
    core.update_relay(0, Relay("new", "region0", "zone0"), ALIVE, 0)
    _, proposals = run_until_settled(core, 0)
    count = len(get_partitions(core, "new"))
    assert RULES.fill_to_ratio * core.fleet.mean_load <= count <= core.fleet.mean_load + 1
    assert len(collect_moves(proposals)) == count
    for number, placement in enumerate(core.build_assignment()):
        assert set(placement.replicas) - set(before[number].replicas) <= {"new"}
    assert not find_shared_zones(core.build_assignment(), [*FLEET, Relay("new", "region0", "zone0")])


def list_regions(core, partition):
    return {core.fleet.members[name].relay.region for name in core.get_placement(partition).replicas}


def test_replicas_are_in_distinct_regions_where_load_allows_it():
    core = make_core_with()
    assert all(len(list_regions(core, partition)) == 3 for partition in range(PARTITIONS))


def test_balancing_leaves_a_partition_in_two_regions():
    relays = [Relay(f"r{n}", f"region{n // 6}", f"zone{n % 6}") for n in range(12)]  # regions share zones
    table = [(f"r{n % 6}", f"r{6 + (n + 1) % 6}", f"r{6 + (n + 2) % 6}") for n in range(PARTITIONS)]
    core = Core(RULES, Assignment(1, [Placement(names) for names in table]), 0)
    update_relays(core, 0, relays, ALIVE)
    update_relays(core, 0, [Relay(f"new{n}", "region1", f"zone{6 + n}") for n in range(8)], ALIVE)
    _, proposals = run_until_settled(core, 0)
    assert collect_moves(proposals)
    assert all(len(list_regions(core, partition)) == 2 for partition in range(PARTITIONS))


def test_number_of_members_is_bounded():
    core = make_core_with(rules=make_rules(max_members=len(FLEET)))
    core.update_relay(0, Relay("new", "region0", "zone0"), ALIVE, 0)
    assert core.build_status().members == len(FLEET)


def test_a_relay_shares_its_partitions_with_many_others():
    assignment = make_assignment(make_relays(110, zones=11, regions=4), 4096)
    shared = assignment.select_placements_of("r0000").values()
    assert len({name for placement in shared for name in placement.replicas}) > 60


def test_new_relay_in_a_large_fleet_is_filled():
    relays = make_relays(110, zones=11, regions=4)
    core = make_core(relays, Rules(), partitions=4096)
    core.update_relay(0, Relay("new", "region0", "zone0"), ALIVE, -Rules().join_delay_ns)
    run_until_settled(core, 0, acknowledging=[relay.name for relay in relays])
    assert len(get_partitions(core, "new")) >= RULES.fill_to_ratio * core.fleet.mean_load


def test_load_follows_weight():
    relays = make_relays(22, zones=11, regions=4, weights=(1.0, 2.0))
    core = make_core_with(relays, partitions=1024)
    assert max(compute_loads(core)) <= 1.1 * min(compute_loads(core))
    heavy = Relay("heavy", "region0", "zone0", 4.0)
    core.update_relay(0, heavy, ALIVE, 0)
    run_until_settled(core, 0)
    assert len(get_partitions(core, "heavy")) / 4.0 >= RULES.fill_to_ratio * core.fleet.mean_load


def test_replicas_share_a_zone_only_until_there_are_enough_zones():
    relays = make_relays(8, zones=2)
    core = make_core_with(relays)
    assert all(len(placement.replicas) == 3 for placement in core.build_assignment())
    assert len(find_shared_zones(core.build_assignment(), relays)) == PARTITIONS
    others = [Relay(f"new{n}", "region2", "zone2") for n in range(4)]
    update_relays(core, 0, others, ALIVE)
    run_until_settled(core, 0, acknowledging=[relay.name for relay in relays])
    assert not find_shared_zones(core.build_assignment(), relays + others)


def test_one_proposal_repairs_all_partitions_up_to_its_limit():
    relays = make_relays(12, zones=4)
    core = Core(
        make_rules(max_changes_per_proposal=64),
        Assignment(1, [Placement(("r0000", "r0004", "r0001"))] * 40),
        0,
    )
    for relay in relays:
        core.update_relay(0, relay, ALIVE, -RULES.join_delay_ns)
    assert len(core.propose(0).changes) == 40


def test_balancing_places_no_two_replicas_in_one_zone():
    relays = make_relays(12, zones=4)
    zone0 = [relay.name for relay in relays if relay.zone == "zone0"]
    table = [(zone0[n % 3], zone0[(n + 1) % 3], "r0001") for n in range(PARTITIONS)]  # all to be repaired
    core = Core(
        make_rules(max_changes_per_proposal=64, max_partitions_checked=8),
        Assignment(1, map(Placement, table)),
        0,
    )
    update_relays(core, 0, [*relays, Relay("new", "region0", "zone0")], ALIVE)
    _, proposals = run_until_settled(core, 0, seconds=8)
    zone = {relay.name: relay.zone for relay in relays} | {"new": "zone0"}
    for change in collect_moves(proposals):
        for name in set(change.placement.replicas) - set(change.placement.previous):
            assert [zone[other] for other in change.placement.replicas].count(zone[name]) == 1


def test_empty_assignment_is_filled():
    core = Core(RULES, Assignment.empty(PARTITIONS), 0)
    assert core.propose(0) is None
    update_relays(core, 0, FLEET, ALIVE)
    _, proposals = run_until_settled(core, 0)
    assert all(len(placement.replicas) == 3 for placement in core.build_assignment())
    assert not find_shared_zones(core.build_assignment(), FLEET)
    assert max(compute_loads(core)) - min(compute_loads(core)) <= 2


def test_replica_stays_until_there_is_a_candidate():
    relays = make_relays(3, zones=3)
    core = make_core_with(relays)
    core.set_leaving(0, relays[0].name)
    now, proposals = run_until_settled(core, 0, seconds=30)
    assert proposals == []
    core.update_relay(now, Relay("new", "region0", "zone0"), ALIVE, now)
    run_until_settled(core, now)
    assert len(get_partitions(core, "new")) == PARTITIONS and not get_partitions(core, relays[0].name)


# Handover.


def commit_departure(core, now=0):
    core.set_leaving(now, FLEET[0].name)
    proposal = core.propose(now)
    core.apply_committed(now, proposal.to_difference(core.version + 1))
    return proposal


def test_handover_ends_once_all_previous_replicas_have_acknowledged():
    core = make_core_with()
    change = commit_departure(core).changes[0]
    now, _ = run_until_settled(core, 0, seconds=10)
    for name in change.placement.previous:
        now, _ = run_until_settled(core, now, seconds=1)
        assert core.get_placement(change.partition).in_handover
        core.record_acknowledgement(name, 2)
    run_until_settled(core, now, seconds=1)
    assert core.get_placement(change.partition) == Placement(change.placement.replicas)


def test_acknowledgement_may_precede_the_commit_notification():
    core = make_core_with()
    core.set_leaving(0, FLEET[0].name)
    proposal = core.propose(0)
    for relay in FLEET:
        core.record_acknowledgement(relay.name, 2)
    core.apply_committed(0, proposal.to_difference(2))
    core.propose(SECOND)
    assert not any(core.get_placement(change.partition).in_handover for change in proposal.changes)


@pytest.mark.parametrize("acknowledged_version", [1, 0])
def test_acknowledgement_of_an_earlier_version_does_not_end_a_handover(acknowledged_version):
    core = make_core_with()
    change = commit_departure(core).changes[0]
    for name in change.placement.previous:
        core.record_acknowledgement(name, acknowledged_version)
    core.propose(SECOND)
    assert core.get_placement(change.partition).in_handover


def test_handover_of_a_silent_replica_ends_after_the_wait_and_not_before():
    core = make_core_with()
    partitions = [change.partition for change in commit_departure(core).changes]
    now, _ = run_until_settled(core, 0, seconds=RULES.leases.handover_wait_ns // SECOND - 1)
    assert all(core.get_placement(partition).in_handover for partition in partitions)
    run_until_settled(core, now, seconds=5)
    assert not any(core.get_placement(partition).in_handover for partition in partitions)


def test_a_partition_in_handover_is_not_changed_again():
    core = make_core_with()
    change = commit_departure(core).changes[0]
    core.set_leaving(0, change.placement.replicas[0])
    core.set_leaving(0, change.placement.replicas[1])
    run_until_settled(core, 0, seconds=RULES.leases.handover_wait_ns // SECOND - 1)
    assert core.get_placement(change.partition) == change.placement
    run_until_settled(core, 0)
    assert not set(core.get_placement(change.partition).replicas) & {
        FLEET[0].name,
        *change.placement.replicas[:2],
    }


# Versions.


def test_discarded_proposal_has_no_effect():
    core = make_core_with()
    core.set_leaving(0, FLEET[0].name)
    before = core.build_assignment()
    first = core.propose(0)
    assert core.propose(0) is None  # one is pending
    core.discard_proposal(0)
    assert core.build_assignment() == before and core.digest == before.digest
    second = core.propose(0)
    assert len(second.changes) == len(first.changes) == RULES.max_changes_per_proposal
    assert all(FLEET[0].name in change.placement.previous for change in second.changes)


def test_versions_only_increase_and_invalid_differences_have_no_effect():
    core = make_core_with()
    before = core.build_assignment()
    change = PartitionChange(0, Placement(("r0001", "r0002", "r0003")))
    right = before.difference_to(replace_placement(before, 7, change))
    for error_class, difference in (
        (VersionGap, Difference(3, 7, right.changes, right.digest)),
        (StaleVersion, Difference(0, 0, right.changes, right.digest)),
        (ConflictingVersion, Difference(0, 1, right.changes, right.digest)),
        (InvalidAssignment, Difference(1, 7, right.changes, right.digest ^ 1)),
        (InvalidAssignment, Difference(1, 7, right.changes * 2, right.digest)),
        (InvalidAssignment, Difference(1, 7, (PartitionChange(PARTITIONS, change.placement),), right.digest)),
    ):
        with pytest.raises(error_class):
            core.apply_committed(0, difference)
        assert core.build_assignment() == before
    core.apply_committed(0, right)
    core.apply_committed(0, right)  # already applied
    assert core.version == 7 and core.get_placement(0) == change.placement


def replace_placement(assignment, version, change):
    placements = list(assignment)
    placements[change.partition] = change.placement
    return Assignment(version, placements)


def test_version_of_another_core_replaces_the_pending_proposal():
    core, other = make_core_with(), make_core_with()
    core.set_leaving(0, FLEET[0].name)
    other.set_leaving(0, FLEET[1].name)
    core.propose(0)
    difference = other.propose(0).to_difference(5)
    core.apply_committed(0, difference)
    other.apply_committed(0, difference)
    assert core.build_assignment() == other.build_assignment() and core.version == 5
    run_until_settled(core, 0)
    assert not get_partitions(core, FLEET[0].name)


def test_attributes_of_a_forgotten_relay_are_kept_for_other_cores():
    core = make_core_with()
    core.update_relay(0, FLEET[0], GONE, 0)
    now, _ = run_until_settled(core, 0)
    assert FLEET[0].name not in core.fleet.members
    before = core.build_assignment()
    change = PartitionChange(0, Placement((FLEET[0].name, *before[0].replicas[1:])))
    core.apply_committed(now, before.difference_to(replace_placement(before, core.version + 1, change)))
    assert core.fleet.members[FLEET[0].name].relay == FLEET[0]


@pytest.mark.parametrize("seed", range(4))
def test_two_cores_with_the_same_versions_have_the_same_state(seed):
    rng = random.Random(seed)
    cores, now = [make_core_with(), make_core_with()], 0
    for _ in range(200):
        now += SECOND
        relay, liveness = rng.choice(FLEET), rng.choice((ALIVE, ALIVE, SUSPECTED, GONE))
        for core in cores:
            if rng.random() < 0.3:
                core.update_relay(now, relay, liveness, now)
            if rng.random() < 0.05:
                core.set_leaving(now, relay.name, rng.random() < 0.5)
            if rng.random() < 0.5:
                core.record_acknowledgement(relay.name, core.version)
        proposals = [core.propose(now) for core in cores]
        winner = rng.choice([proposal for proposal in proposals if proposal] or [None])
        for core in cores:
            core.discard_proposal(now) if winner is None else core.apply_committed(
                now, winner.to_difference(core.version + 1)
            )
        check_bookkeeping(cores)
    assert cores[0].version > 20


def check_bookkeeping(cores):
    assignment = cores[0].build_assignment()
    for core in cores:
        assert core.build_assignment() == assignment and core.digest == assignment.digest
        seen = {name: set() for name in core.fleet.members}
        for number, placement in enumerate(assignment):
            assert len(placement.replicas) == core.rules.replicas
            for name in placement.replicas:
                seen[name].add(number)
        assert all(seen[name] == get_partitions(core, name) for name in seen)
        assert core.fleet.replica_count == PARTITIONS * core.rules.replicas
        assert core.fleet.weight == pytest.approx(sum(m.relay.weight for m in core.fleet.members.values()))
        assert not find_shared_zones(assignment, FLEET)
        candidates = sorted(name for zone in core.fleet._zones.values() for _, _, name in zone)
        assert candidates == sorted(name for name, m in core.fleet.members.items() if m.is_candidate)


# Cost.


def count_steps(size, what):
    """Count the steps of a change in a fleet of that size, at a constant number of partitions per relay."""
    relays = make_relays(size, zones=11, regions=4)
    core = make_core_with(relays, Rules(join_delay_ns=0), partitions=8 * size)
    run_until_settled(core, 0)
    before = core.steps
    what(core, relays)
    run_until_settled(core, 0, acknowledging=[relay.name for relay in relays])
    return core.steps - before


CHANGES = {
    "leave": lambda core, relays: core.set_leaving(0, relays[0].name),
    "join": lambda core, relays: core.update_relay(0, Relay("new", "region0", "zone0"), ALIVE, 0),
    "gone": lambda core, relays: core.update_relay(0, relays[0], GONE, 0),
    "suspected": lambda core, relays: core.update_relay(0, relays[0], SUSPECTED, 0),
}


@pytest.mark.parametrize("name", CHANGES)
def test_cost_of_one_change_is_independent_of_fleet_size_and_partitions(name):
    few, many = (count_steps(size, CHANGES[name]) for size in (44, 352))  # eight times as many
    assert many <= 1.5 * few + 50


def test_number_of_timers_is_bounded_while_relays_flap():
    core = make_core_with()
    for now in range(0, 2000 * SECOND, 2 * SECOND):
        update_relays(core, now, FLEET[:4], GONE)
        update_relays(core, now + SECOND, FLEET[:4], ALIVE)
        core.propose(now + SECOND)
    assert len(core._health_tracker._timers) <= 4 * (RULES.removal_delay_ns // RULES.join_delay_ns + 2)


def test_default_delays_outlast_restarts_and_outages_of_minutes():
    rules = Rules()
    assert rules.removal_delay_ns >= 300 * SECOND and rules.leases.duration_ns >= 300 * SECOND
