"""The placement strategies compared, and the senders, at small sizes: counts, never times."""

import pytest
from placement.model import make_relays

from millweir.lab.scale import placement, placement_senders
from millweir.placement.assignment import Relay
from millweir.placement.strategies import BoundedRing, RangeSplitting, Rendezvous

PARTITIONS = 512
REPLICAS = 3
FLEET = make_relays(22, zones=11)
TRAFFIC = [1 / (1 + number) for number in range(PARTITIONS)]
STRATEGIES = {
    "rendezvous": lambda: Rendezvous(PARTITIONS, REPLICAS),
    "bounded-ring": lambda: BoundedRing(PARTITIONS, REPLICAS),
    "range-splitting": lambda: RangeSplitting(TRAFFIC, REPLICAS),
}


@pytest.fixture(params=STRATEGIES)
def strategy(request):
    return STRATEGIES[request.param]()


def check_spread(table, relays):
    zone = {relay.name: relay.zone for relay in relays}
    assert len(table) == PARTITIONS
    assert all(len({zone[name] for name in names}) == REPLICAS for names in table)


def test_every_strategy_spreads_all_partitions_over_zones_after_every_fault(strategy):
    newcomer = Relay("new", "region0", "zone0")
    for relays in (FLEET, [*FLEET, newcomer], FLEET[1:], [r for r in FLEET if r.zone != "zone3"], FLEET):
        check_spread(strategy.place(relays), relays)


def test_every_strategy_is_deterministic(strategy):
    first = strategy.place(FLEET)
    assert strategy.place(FLEET) == first and STRATEGIES[strategy.name]().place(FLEET) == first


def test_rendezvous_moves_only_what_is_necessary():
    strategy = Rendezvous(PARTITIONS, REPLICAS)
    before = strategy.place(FLEET)
    after = strategy.place(FLEET[1:])
    lost = FLEET[0].name
    assert placement.count_moved_replicas(before, after) == placement.count_replicas_on(before, {lost})
    assert strategy.place(FLEET) == before  # independent of the history
    joined = strategy.place([*FLEET, Relay("new", "region0", "zone0")])
    assert {name for old, new in zip(before, joined, strict=True) for name in set(new) - set(old)} == {"new"}


def test_rendezvous_follows_weights():
    heavy = Relay("heavy", "region0", "zone99", 3.0)
    table = Rendezvous(4096, 1).place([*FLEET, heavy])
    assert placement.count_replicas_on(table, {"heavy"}) == pytest.approx(4096 * 3 / 25, rel=0.15)


def test_bounded_ring_keeps_its_load_bound():
    table = BoundedRing(PARTITIONS, REPLICAS, slack=0.1).place(FLEET)
    assert placement.compute_imbalance(table, FLEET) <= 1.13  # at most one whole partition above 1.1


def test_range_splitting_moves_hot_partitions():
    traffic = [1.0] * PARTITIONS
    strategy = RangeSplitting(traffic, REPLICAS)
    strategy.place(FLEET)
    hot = range(0, 40)
    for partition in hot:
        traffic[partition] = 20.0
    for _ in range(4):  # each time as far as the limit on moves allows
        table = strategy.place(FLEET)
    assert placement.compute_imbalance(table, FLEET, traffic) < 1.2


def test_range_splitting_balances_traffic_better_than_the_others():
    skewed = {
        name: placement.compute_imbalance(make().place(FLEET), FLEET, TRAFFIC)
        for name, make in STRATEGIES.items()
    }
    assert skewed["range-splitting"] < min(skewed["rendezvous"], skewed["bounded-ring"])


def test_three_senders_learn_a_limit_that_two_hundred_do_not():
    few, many = (placement_senders.run_limit_scenario(number, 1, seconds=240) for number in (3, 200))
    assert (
        placement_senders.compute_learned_limit_ratio(few)
        < 2
        < 10
        < placement_senders.compute_learned_limit_ratio(many)
    )
    assert placement_senders.compute_refused_fraction(few) < placement_senders.compute_refused_fraction(many)


def test_three_senders_notice_a_recovery_that_fifty_do_not():
    outage = placement_senders.Outage(start_seconds=60, end_seconds=180, run_seconds=240)
    few, many = (placement_senders.run_outage_scenario(number, 1, outage) for number in (3, 50))
    times, never = placement_senders.list_recovery_notice_times(few, outage)
    assert never == 0 and max(times) < 30
    _, never = placement_senders.list_recovery_notice_times(many, outage)
    assert never > 10


def test_core_in_the_lab_moves_a_lost_zone_and_nothing_for_an_unreachable_region(monkeypatch):
    monkeypatch.setattr(placement, "PARTITIONS", 256)
    relays = placement.build_relays(22)
    table, _, _ = placement.compute_full_table(relays)
    assignment = placement.Assignment(1, [placement.Placement(names) for names in table])
    figure = placement.FigureBuilder(22)
    troubles = placement.build_fleet_changes(relays, placement.random.Random(1))
    found = {
        (one.trouble, one.quantity): one.value
        for one in placement.measure_fleet_changes(assignment, relays, troubles, figure)
    }
    assert found["region-cut", "replicas-moved"] == 0
    lost = placement.count_replicas_on(table, set(troubles[-1].gone))
    assert found["zone-lost", "replicas-moved"] == lost > 0
    assert found["leave", "change-ends-after"] < 600 < found["relay-lost", "change-ends-after"]
