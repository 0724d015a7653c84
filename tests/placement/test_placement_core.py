"""The deciding core: what moves, what doesn't, how fast, and in how many steps."""

import random

import pytest
from placement.model import (
    RULES,
    assigned,
    core_of,
    moved,
    relays,
    settle,
    two_in_a_zone,
    with_rules,
)

from millweir.placement.assignment import (
    Assignment,
    ConflictingVersion,
    Difference,
    GarbledAssignment,
    PartitionChange,
    Placement,
    Relay,
    StaleVersion,
    VersionGap,
)
from millweir.placement.core import NEVER, Core
from millweir.placement.interface import Rules, Standing
from millweir.placement.leases import SECOND

ALIVE, SUSPECTED, GONE = Standing.ALIVE, Standing.SUSPECTED, Standing.GONE
FLEET = relays(22, zones=11, regions=4)
PARTS = 128


def core_with(given=FLEET, rules=RULES, partitions=PARTS):
    return core_of(given, rules, partitions)


def held(core, name):
    return set(core.fleet.members[name].held)


def loads(core):
    """Partitions by weight of each candidate."""
    members = core.fleet.members.values()
    return [len(member.held) / member.relay.weight for member in members if member.candidate]


def tell(core, now, given, standing):
    for relay in given:
        core.relay_told(now, relay, standing, now)


# What moves nothing.


def test_a_settled_fleet_moves_nothing():
    core = core_with()
    _, made = settle(core, 0)
    assert made == [] and core.due_at(0) == NEVER


def test_a_region_cut_off_for_less_than_the_hold_moves_nothing():
    core = core_with()
    region = [relay for relay in FLEET if relay.region == "region1"]
    tell(core, 0, region, SUSPECTED)
    tell(core, SECOND, region, GONE)
    now, made = settle(core, SECOND, seconds=RULES.hold // SECOND - 1)
    tell(core, now, region, ALIVE)
    made += settle(core, now)[1]
    assert made == []


def test_a_cut_moves_nothing_where_those_that_are_left_hold_more_than_the_mean():
    given = relays(12, zones=4)
    loads = {0: (25, 35, 35), 1: (32, 32, 31), 2: (32, 32, 31), 3: (25, 25, 25)}  # by zone; the mean is 30
    table = [[] for _ in range(120)]
    for zone, held_there in loads.items():
        names = [f"r{zone + 4 * n:04}" for n, load in enumerate(held_there) for _ in range(load)]
        free = sorted(range(120), key=lambda number: len(table[number]))
        for number, name in zip(free, names, strict=False):
            table[number].append(name)
    core = Core(RULES, Assignment(1, [Placement(tuple(names)) for names in table]), 0)
    tell(core, 0, given, ALIVE)
    assert settle(core, 0)[1] == []
    tell(core, 0, [relay for relay in given if relay.zone == "zone3"], GONE)
    _, made = settle(core, 0, seconds=RULES.hold // SECOND - 1)
    assert made == []


def test_flapping_members_move_nothing_however_long():
    core = core_with()
    now, made = 0, []
    for _ in range(40):
        tell(core, now, FLEET[:5], GONE)
        now, more = settle(core, now, seconds=RULES.hold // SECOND - 1)
        tell(core, now, FLEET[:5], ALIVE)
        now, again = settle(core, now, seconds=1)
        made += more + again
    assert made == []


def test_a_newcomer_that_flaps_is_given_nothing():
    core = core_with()
    newcomer, now = Relay("new", "region9", "zone99"), 0
    for _ in range(10):
        core.relay_told(now, newcomer, ALIVE, now)
        now, made = settle(core, now, seconds=RULES.settle // SECOND - 1)
        assert made == []
        core.relay_told(now, newcomer, GONE, now)
        now += SECOND


def test_a_suspicion_that_lasts_moves_nothing():
    core = core_with()
    tell(core, 0, FLEET[:3], SUSPECTED)
    _, made = settle(core, 0)
    assert made == []


def test_a_suspicion_during_a_handover_moves_nothing_at_its_end():
    core = core_with()
    change = leave_and_propose(core).changes[0]
    suspected = [relay for relay in FLEET if relay.name in change.placement.replicas]
    tell(core, 0, suspected, SUSPECTED)
    for name in change.placement.previous:
        core.acknowledged(name, core.version)
    settle(core, 0)
    assert core.placement(change.partition).replicas == change.placement.replicas


def test_restarts_move_nothing():
    core = core_with()
    now, made = 0, []
    for relay in FLEET:
        core.relay_told(now, relay, GONE, now)
        now, first = settle(core, now, seconds=5)
        core.relay_told(now, relay, ALIVE, now)
        now, second = settle(core, now, seconds=2)
        made += first + second
    assert made == []


def test_a_hint_of_long_ago_does_not_shorten_the_hold():
    core = core_with()
    core.relay_told(0, FLEET[0], GONE, -3600 * SECOND)
    _, made = settle(core, 0, seconds=RULES.hold // SECOND - 1)
    assert made == []


def test_who_comes_back_after_it_was_forgotten_settles_again_whatever_the_hint():
    core = core_with()
    core.relay_told(0, FLEET[0], GONE, 0)
    now, _ = settle(core, 0)
    core.relay_told(now, FLEET[0], ALIVE, 0)
    now, made = settle(core, now, seconds=RULES.settle // SECOND - 1)
    assert made == []
    assert moved(settle(core, now)[1])


def test_whom_no_view_has_told_of_is_held_as_if_just_gone():
    core = Core(RULES, assigned(FLEET, PARTS), 0)
    for relay in FLEET[1:]:
        core.relay_told(0, relay, ALIVE, -SECOND * 100)
    now, made = settle(core, 0, seconds=RULES.hold // SECOND - 1)
    assert made == []
    _, made = settle(core, now)
    assert moved(made) and not held_by_any(core, FLEET[0].name)


def held_by_any(core, name):
    return any(name in placement.replicas for placement in core.assignment())


def test_nothing_moves_while_most_of_the_fleet_is_gone():
    core = core_with()
    tell(core, 0, FLEET[:12], GONE)
    now, made = settle(core, 0)
    assert made == [] and core.status().held_back
    tell(core, now, FLEET[:6], ALIVE)
    _, made = settle(core, now)
    assert moved(made)  # the other six are gone for long


# What moves.


def test_a_zone_lost_moves_its_part_and_nothing_else():
    core = core_with()
    before = core.assignment()
    lost = {relay.name for relay in FLEET if relay.zone == "zone3"}
    part = {number for number, placement in enumerate(before) if lost & set(placement.replicas)}
    tell(core, 0, [relay for relay in FLEET if relay.name in lost], GONE)
    now, made = settle(core, 0)
    after = core.assignment()
    for number in range(PARTS):
        kept = [name for name in before[number].replicas if name not in lost]
        assert set(kept) <= set(after[number].replicas)
        assert (after[number].replicas == before[number].replicas) is (number not in part)
        assert not lost & set(after[number].replicas) and len(after[number].replicas) == 3
    assert {change.partition for change in moved(made)} == part and len(moved(made)) == len(part)
    assert not two_in_a_zone(after, FLEET)
    assert lost.isdisjoint(core.fleet.members)  # and are forgotten
    assert max(loads(core)) <= 1.35 * sum(loads(core)) / len(loads(core))


def test_both_replicas_lost_at_once_are_replaced_in_one_change():
    core = core_with(relays(12, zones=3, regions=3))
    tell(core, 0, [relay for relay in relays(12, zones=3) if relay.zone != "zone0"][:4], GONE)
    _, made = settle(core, 0)
    partitions = [change.partition for change in moved(made)]
    assert len(partitions) == len(set(partitions))


def test_a_planned_leave_moves_at_once_but_paced():
    core = core_with()
    core.leave_told(0, FLEET[0].name)
    count = len(held(core, FLEET[0].name))
    made = []
    for now in range(0, 60 * SECOND, SECOND // 4):
        if proposal := core.propose(now):
            core.committed(now, proposal.at(core.version + 1))
            made.append((now, proposal))
        if not held(core, FLEET[0].name):
            break
    assert len(moved(made)) == count
    assert len(made) == -(-count // RULES.changes_most)
    assert all(len(proposal.changes) <= RULES.changes_most for _, proposal in made)
    assert made[0][0] == 0
    assert all(b - a >= RULES.interval for (a, _), (b, _) in zip(made, made[1:], strict=False))


def test_who_is_to_leave_is_given_nothing_when_it_comes_back_from_being_forgotten():
    core = core_with()
    core.relay_told(0, FLEET[0], GONE, 0)
    now, _ = settle(core, 0)
    assert core.leave_told(now, FLEET[0].name)
    core.relay_told(now, FLEET[0], ALIVE, now)
    settle(core, now)
    assert not held(core, FLEET[0].name)


def test_a_leave_taken_back_moves_no_more():
    core = core_with()
    core.leave_told(0, FLEET[0].name)
    core.committed(0, core.propose(0).at(2))
    core.leave_told(0, FLEET[0].name, leaving=False)
    left = held(core, FLEET[0].name)
    assert left
    now, _ = settle(core, 0, seconds=RULES.settle // SECOND - 1)
    assert held(core, FLEET[0].name) == left


def test_a_newcomer_is_filled_from_the_most_loaded():
    core = core_with()
    before = core.assignment()
    core.relay_told(0, Relay("new", "region0", "zone0"), ALIVE, 0)
    _, made = settle(core, 0)
    count = len(held(core, "new"))
    assert RULES.fill_to * core.fleet.mean_load <= count <= core.fleet.mean_load + 1
    assert len(moved(made)) == count
    for number, placement in enumerate(core.assignment()):
        assert set(placement.replicas) - set(before[number].replicas) <= {"new"}
    assert not two_in_a_zone(core.assignment(), [*FLEET, Relay("new", "region0", "zone0")])


def regions_of(core, partition):
    return {core.fleet.members[name].relay.region for name in core.placement(partition).replicas}


def test_replicas_stand_in_regions_of_their_own_where_load_allows_it():
    core = core_with()
    assert all(len(regions_of(core, partition)) == 3 for partition in range(PARTS))


def test_balancing_leaves_a_partition_in_two_regions():
    given = [Relay(f"r{n}", f"region{n // 6}", f"zone{n % 6}") for n in range(12)]  # regions share zones
    table = [(f"r{n % 6}", f"r{6 + (n + 1) % 6}", f"r{6 + (n + 2) % 6}") for n in range(PARTS)]
    core = Core(RULES, Assignment(1, [Placement(names) for names in table]), 0)
    tell(core, 0, given, ALIVE)
    tell(core, 0, [Relay(f"new{n}", "region1", f"zone{6 + n}") for n in range(8)], ALIVE)
    _, made = settle(core, 0)
    assert moved(made)
    assert all(len(regions_of(core, partition)) == 2 for partition in range(PARTS))


def test_the_table_of_members_is_bounded():
    core = core_with(rules=with_rules(members_most=len(FLEET)))
    core.relay_told(0, Relay("new", "region0", "zone0"), ALIVE, 0)
    assert core.status().members == len(FLEET)


def test_a_relay_shares_its_partitions_with_many_others():
    assignment = assigned(relays(110, zones=11, regions=4), 4096)
    shared = assignment.part_of("r0000").values()
    assert len({name for placement in shared for name in placement.replicas}) > 60


def test_a_newcomer_to_a_large_fleet_is_filled_too():
    given = relays(110, zones=11, regions=4)
    core = core_of(given, Rules(), partitions=4096)
    core.relay_told(0, Relay("new", "region0", "zone0"), ALIVE, -Rules().settle)
    settle(core, 0, acknowledging=[relay.name for relay in given])
    assert len(held(core, "new")) >= RULES.fill_to * core.fleet.mean_load


def test_load_follows_weight():
    given = relays(22, zones=11, regions=4, weights=(1.0, 2.0))
    core = core_with(given, partitions=1024)
    assert max(loads(core)) <= 1.1 * min(loads(core))
    heavy = Relay("heavy", "region0", "zone0", 4.0)
    core.relay_told(0, heavy, ALIVE, 0)
    settle(core, 0)
    assert len(held(core, "heavy")) / 4.0 >= RULES.fill_to * core.fleet.mean_load


def test_with_too_few_zones_replicas_share_one_and_are_parted_again_once_that_can_be():
    given = relays(8, zones=2)
    core = core_with(given)
    assert all(len(placement.replicas) == 3 for placement in core.assignment())
    assert len(two_in_a_zone(core.assignment(), given)) == PARTS
    others = [Relay(f"new{n}", "region2", "zone2") for n in range(4)]
    tell(core, 0, others, ALIVE)
    settle(core, 0, acknowledging=[relay.name for relay in given])
    assert not two_in_a_zone(core.assignment(), given + others)


def test_all_that_can_be_repaired_is_repaired_in_one_proposal_up_to_its_bound():
    given = relays(12, zones=4)
    core = Core(with_rules(changes_most=64), Assignment(1, [Placement(("r0000", "r0004", "r0001"))] * 40), 0)
    for relay in given:
        core.relay_told(0, relay, ALIVE, -RULES.settle)
    assert len(core.propose(0).changes) == 40


def test_balancing_puts_no_replica_where_another_of_the_partition_is():
    given = relays(12, zones=4)
    zone0 = [relay.name for relay in given if relay.zone == "zone0"]
    table = [(zone0[n % 3], zone0[(n + 1) % 3], "r0001") for n in range(PARTS)]  # all to be repaired
    core = Core(with_rules(changes_most=64, checks_most=8), Assignment(1, map(Placement, table)), 0)
    tell(core, 0, [*given, Relay("new", "region0", "zone0")], ALIVE)
    _, made = settle(core, 0, seconds=8)
    zone = {relay.name: relay.zone for relay in given} | {"new": "zone0"}
    for change in moved(made):
        for name in set(change.placement.replicas) - set(change.placement.previous):
            assert [zone[other] for other in change.placement.replicas].count(zone[name]) == 1


def test_partitions_without_replicas_are_filled_first_of_all():
    core = Core(RULES, Assignment.empty(PARTS), 0)
    assert core.propose(0) is None
    tell(core, 0, FLEET, ALIVE)
    _, made = settle(core, 0)
    assert all(len(placement.replicas) == 3 for placement in core.assignment())
    assert not two_in_a_zone(core.assignment(), FLEET)
    assert max(loads(core)) - min(loads(core)) <= 2


def test_where_no_candidate_is_left_a_replica_stays_until_there_is_one():
    given = relays(3, zones=3)
    core = core_with(given)
    core.leave_told(0, given[0].name)
    now, made = settle(core, 0, seconds=30)
    assert made == []
    core.relay_told(now, Relay("new", "region0", "zone0"), ALIVE, now)
    settle(core, now)
    assert len(held(core, "new")) == PARTS and not held(core, given[0].name)


# Handover.


def leave_and_propose(core, now=0):
    core.leave_told(now, FLEET[0].name)
    proposal = core.propose(now)
    core.committed(now, proposal.at(core.version + 1))
    return proposal


def test_a_handover_ends_once_all_of_before_have_acknowledged():
    core = core_with()
    change = leave_and_propose(core).changes[0]
    now, _ = settle(core, 0, seconds=10)
    for name in change.placement.previous:
        now, _ = settle(core, now, seconds=1)
        assert core.placement(change.partition).in_handover
        core.acknowledged(name, 2)
    settle(core, now, seconds=1)
    assert core.placement(change.partition) == Placement(change.placement.replicas)


def test_an_acknowledgement_may_come_before_the_news_of_the_commit():
    core = core_with()
    core.leave_told(0, FLEET[0].name)
    proposal = core.propose(0)
    for relay in FLEET:
        core.acknowledged(relay.name, 2)
    core.committed(0, proposal.at(2))
    core.propose(SECOND)
    assert not any(core.placement(change.partition).in_handover for change in proposal.changes)


@pytest.mark.parametrize("said", [1, 0])
def test_an_acknowledgement_of_an_earlier_version_ends_nothing(said):
    core = core_with()
    change = leave_and_propose(core).changes[0]
    for name in change.placement.previous:
        core.acknowledged(name, said)
    core.propose(SECOND)
    assert core.placement(change.partition).in_handover


def test_a_silent_replica_ends_its_handover_by_the_wait_and_not_before():
    core = core_with()
    partitions = [change.partition for change in leave_and_propose(core).changes]
    now, _ = settle(core, 0, seconds=RULES.leases.handover_wait // SECOND - 1)
    assert all(core.placement(partition).in_handover for partition in partitions)
    settle(core, now, seconds=5)
    assert not any(core.placement(partition).in_handover for partition in partitions)


def test_a_partition_in_handover_is_not_changed_again():
    core = core_with()
    change = leave_and_propose(core).changes[0]
    core.leave_told(0, change.placement.replicas[0])
    core.leave_told(0, change.placement.replicas[1])
    settle(core, 0, seconds=RULES.leases.handover_wait // SECOND - 1)
    assert core.placement(change.partition) == change.placement
    settle(core, 0)
    assert not set(core.placement(change.partition).replicas) & {
        FLEET[0].name,
        *change.placement.replicas[:2],
    }


# Versions.


def test_a_refused_proposal_leaves_all_as_it_was():
    core = core_with()
    core.leave_told(0, FLEET[0].name)
    before = core.assignment()
    first = core.propose(0)
    assert core.propose(0) is None  # one is under way
    core.refused(0)
    assert core.assignment() == before and core.digest == before.digest
    second = core.propose(0)
    assert len(second.changes) == len(first.changes) == RULES.changes_most
    assert all(FLEET[0].name in change.placement.previous for change in second.changes)


def test_versions_only_rise_and_what_does_not_fit_is_refused_with_nothing_changed():
    core = core_with()
    before = core.assignment()
    change = PartitionChange(0, Placement(("r0001", "r0002", "r0003")))
    right = before.difference_to(replaced(before, 7, change))
    for fault, difference in (
        (VersionGap, Difference(3, 7, right.changes, right.digest)),
        (StaleVersion, Difference(0, 0, right.changes, right.digest)),
        (ConflictingVersion, Difference(0, 1, right.changes, right.digest)),
        (GarbledAssignment, Difference(1, 7, right.changes, right.digest ^ 1)),
        (GarbledAssignment, Difference(1, 7, right.changes * 2, right.digest)),
        (GarbledAssignment, Difference(1, 7, (PartitionChange(PARTS, change.placement),), right.digest)),
    ):
        with pytest.raises(fault):
            core.committed(0, difference)
        assert core.assignment() == before
    core.committed(0, right)
    core.committed(0, right)  # a repeat
    assert core.version == 7 and core.placement(0) == change.placement


def replaced(assignment, version, change):
    placements = list(assignment)
    placements[change.partition] = change.placement
    return Assignment(version, placements)


def test_anothers_version_replaces_the_proposal_under_way():
    core, other = core_with(), core_with()
    core.leave_told(0, FLEET[0].name)
    other.leave_told(0, FLEET[1].name)
    core.propose(0)
    difference = other.propose(0).at(5)
    core.committed(0, difference)
    other.committed(0, difference)
    assert core.assignment() == other.assignment() and core.version == 5
    settle(core, 0)
    assert not held(core, FLEET[0].name)


def test_where_a_forgotten_relay_stood_is_known_when_another_core_gives_it_something():
    core = core_with()
    core.relay_told(0, FLEET[0], GONE, 0)
    now, _ = settle(core, 0)
    assert FLEET[0].name not in core.fleet.members
    before = core.assignment()
    change = PartitionChange(0, Placement((FLEET[0].name, *before[0].replicas[1:])))
    core.committed(now, before.difference_to(replaced(before, core.version + 1, change)))
    assert core.fleet.members[FLEET[0].name].relay == FLEET[0]


@pytest.mark.parametrize("seed", range(4))
def test_two_cores_that_hear_the_same_versions_hold_the_same(seed):
    chance = random.Random(seed)
    cores, now = [core_with(), core_with()], 0
    for _ in range(200):
        now += SECOND
        relay, standing = chance.choice(FLEET), chance.choice((ALIVE, ALIVE, SUSPECTED, GONE))
        for core in cores:
            if chance.random() < 0.3:
                core.relay_told(now, relay, standing, now)
            if chance.random() < 0.05:
                core.leave_told(now, relay.name, chance.random() < 0.5)
            if chance.random() < 0.5:
                core.acknowledged(relay.name, core.version)
        proposals = [core.propose(now) for core in cores]
        winner = chance.choice([proposal for proposal in proposals if proposal] or [None])
        for core in cores:
            core.refused(now) if winner is None else core.committed(now, winner.at(core.version + 1))
        check_bookkeeping(cores)
    assert cores[0].version > 20


def check_bookkeeping(cores):
    assignment = cores[0].assignment()
    for core in cores:
        assert core.assignment() == assignment and core.digest == assignment.digest
        seen = {name: set() for name in core.fleet.members}
        for number, placement in enumerate(assignment):
            assert len(placement.replicas) == core.rules.replicas
            for name in placement.replicas:
                seen[name].add(number)
        assert all(seen[name] == held(core, name) for name in seen)
        assert core.fleet.held == PARTS * core.rules.replicas
        assert core.fleet.weight == pytest.approx(sum(m.relay.weight for m in core.fleet.members.values()))
        assert not two_in_a_zone(assignment, FLEET)
        candidates = sorted(name for zone in core.fleet._zones.values() for _, _, name in zone)
        assert candidates == sorted(name for name, m in core.fleet.members.items() if m.candidate)


# Cost.


def steps_of(size, what):
    """Steps that a change takes in a fleet of that size, with as many partitions a relay."""
    given = relays(size, zones=11, regions=4)
    core = core_with(given, Rules(settle=0), partitions=8 * size)
    settle(core, 0)
    before = core.steps
    what(core, given)
    settle(core, 0, acknowledging=[relay.name for relay in given])
    return core.steps - before


CHANGES = {
    "leave": lambda core, given: core.leave_told(0, given[0].name),
    "join": lambda core, given: core.relay_told(0, Relay("new", "region0", "zone0"), ALIVE, 0),
    "gone": lambda core, given: core.relay_told(0, given[0], GONE, 0),
    "suspected": lambda core, given: core.relay_told(0, given[0], SUSPECTED, 0),
}


@pytest.mark.parametrize("name", CHANGES)
def test_steps_of_one_members_change_do_not_grow_with_the_fleet_or_the_partitions(name):
    few, many = (steps_of(size, CHANGES[name]) for size in (44, 352))  # eight times as many
    assert many <= 1.5 * few + 50


def test_timers_stay_few_however_long_members_flap():
    core = core_with()
    for now in range(0, 2000 * SECOND, 2 * SECOND):
        tell(core, now, FLEET[:4], GONE)
        tell(core, now + SECOND, FLEET[:4], ALIVE)
        core.propose(now + SECOND)
    assert len(core._presence._timers) <= 4 * (RULES.hold // RULES.settle + 2)


def test_defaults_outlast_restarts_and_cuts_of_minutes():
    rules = Rules()
    assert rules.hold >= 300 * SECOND and rules.leases.lease >= 300 * SECOND
