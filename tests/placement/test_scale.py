"""The ways side by side and the senders, at small sizes: counts, never times."""

import pytest
from placement.model import relays

from millweir.lab.scale import placement, placement_senders
from millweir.placement.assignment import Relay
from millweir.placement.strategies import BoundedRing, RangeSplitting, Rendezvous

PARTS, REPLICAS = 512, 3
FLEET = relays(22, zones=11)
TRAFFIC = [1 / (1 + number) for number in range(PARTS)]
WAYS = {
    "rendezvous": lambda: Rendezvous(PARTS, REPLICAS),
    "bounded-ring": lambda: BoundedRing(PARTS, REPLICAS),
    "range-splitting": lambda: RangeSplitting(TRAFFIC, REPLICAS),
}


@pytest.fixture(params=WAYS)
def way(request):
    return WAYS[request.param]()


def check(table, given):
    zone = {relay.name: relay.zone for relay in given}
    assert len(table) == PARTS
    assert all(len({zone[name] for name in names}) == REPLICAS for names in table)


def test_every_way_places_all_partitions_over_zones_through_every_trouble(way):
    newcomer = Relay("new", "region0", "zone0")
    for given in (FLEET, [*FLEET, newcomer], FLEET[1:], [r for r in FLEET if r.zone != "zone3"], FLEET):
        check(way.place(given), given)


def test_every_way_places_the_same_again(way):
    first = way.place(FLEET)
    assert way.place(FLEET) == first and WAYS[way.name]().place(FLEET) == first


def test_rendezvous_moves_what_has_to_and_nothing_else():
    way = Rendezvous(PARTS, REPLICAS)
    before = way.place(FLEET)
    after = way.place(FLEET[1:])
    lost = FLEET[0].name
    assert placement.replicas_moved(before, after) == placement.replicas_on(before, {lost})
    assert way.place(FLEET) == before  # no history in it
    joined = way.place([*FLEET, Relay("new", "region0", "zone0")])
    assert {name for old, new in zip(before, joined, strict=True) for name in set(new) - set(old)} == {"new"}


def test_rendezvous_follows_weights():
    heavy = Relay("heavy", "region0", "zone99", 3.0)
    table = Rendezvous(4096, 1).place([*FLEET, heavy])
    assert placement.replicas_on(table, {"heavy"}) == pytest.approx(4096 * 3 / 25, rel=0.15)


def test_the_bounded_ring_keeps_its_bound():
    table = BoundedRing(PARTS, REPLICAS, slack=0.1).place(FLEET)
    assert placement.imbalance(table, FLEET) <= 1.13  # a whole partition more than 1.1 at the most


def test_range_splitting_moves_what_has_become_hot():
    traffic = [1.0] * PARTS
    way = RangeSplitting(traffic, REPLICAS)
    way.place(FLEET)
    hot = range(0, 40)
    for partition in hot:
        traffic[partition] = 20.0
    for _ in range(4):  # as far each time as the churn allows
        table = way.place(FLEET)
    assert placement.imbalance(table, FLEET, traffic) < 1.2


def test_range_splitting_levels_traffic_that_the_others_do_not():
    skewed = {name: placement.imbalance(make().place(FLEET), FLEET, TRAFFIC) for name, make in WAYS.items()}
    assert skewed["range-splitting"] < min(skewed["rendezvous"], skewed["bounded-ring"])


def test_three_senders_learn_a_limit_that_two_hundred_do_not():
    few, many = (placement_senders.limit_run(number, 1, seconds=240) for number in (3, 200))
    assert placement_senders.limits_held(few) < 2 < 10 < placement_senders.limits_held(many)
    assert placement_senders.refused_share(few) < placement_senders.refused_share(many)


def test_three_senders_notice_a_return_that_fifty_do_not():
    outage = placement_senders.Outage(begins=60, ends=180, run_ends=240)
    few, many = (placement_senders.outage_run(number, 1, outage) for number in (3, 50))
    times, never = placement_senders.notice_times(few, outage)
    assert never == 0 and max(times) < 30
    _, never = placement_senders.notice_times(many, outage)
    assert never > 10


def test_a_core_in_the_lab_moves_a_lost_zone_and_nothing_for_a_cut_region(monkeypatch):
    monkeypatch.setattr(placement, "PARTITIONS", 256)
    given = placement.fleet_of(22)
    table, _, _ = placement.full_computation(given)
    assignment = placement.Assignment(1, [placement.Placement(names) for names in table])
    figure = placement.FigureMaker(22)
    troubles = placement.troubles_of(given, placement.random.Random(1))
    found = {
        (one.trouble, one.quantity): one.value
        for one in placement.changes_of(assignment, given, troubles, figure)
    }
    assert found["region-cut", "replicas-moved"] == 0
    lost = placement.replicas_on(table, set(troubles[-1].gone))
    assert found["zone-lost", "replicas-moved"] == lost > 0
    assert found["leave", "change-ends-after"] < 600 < found["relay-lost", "change-ends-after"]
