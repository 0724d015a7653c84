"""A relay's side: lease, versions, handover, and the bound on what all relays together use of a limit."""

import pytest
from placement.model import DESTINATIONS, LEASES, PARTITIONS, Fleet

from millweir.placement.assignment import (
    ConflictingVersion,
    GarbledAssignment,
    PartitionChange,
    Placement,
    StaleVersion,
    VersionGap,
)
from millweir.placement.holder import Holder, Right
from millweir.placement.leases import SECOND, LeaseRules

PARTITION = 3
DESTINATION = DESTINATIONS[PARTITION]
OLD, CHANGED, NEW = (
    Placement(("a", "b", "c")),
    Placement(("d", "b", "c"), ("a", "b", "c")),
    Placement(("d", "b", "c")),
)


def holder_of(name, placement=OLD, version=1, rules=LEASES):
    holder = Holder(name, PARTITIONS, rules)
    holder.part_told(0, version, {PARTITION: placement} if placement.names(name) else {})
    holder.renewed(0, 0, version)
    return holder


def change_to(placement, partition=PARTITION):
    return [PartitionChange(partition, placement)]


@pytest.mark.parametrize("seed", [0, 1, 2, 3, 4, 5, 188])
def test_all_relays_together_never_use_more_than_the_limit(seed):  # and the core keeps its invariants
    fleet = Fleet(seed)
    for _ in range(400):
        fleet.step()
    assert fleet.commits


@pytest.mark.parametrize("seed", range(4))
def test_once_all_is_calm_the_whole_limit_is_used(seed):
    fleet = Fleet(seed)
    for _ in range(200):
        fleet.step()
    for name, one in fleet.relays.items():
        fleet.tell_leave(name, False)
        fleet.tell_core(one.relay, fleet.standing[name].ALIVE)
    for _ in range(400):
        fleet.step(trouble=False)
    assert fleet.sums() == pytest.approx([1.0] * PARTITIONS)


def test_a_share_is_the_limit_over_the_replicas():
    holder = holder_of("a")
    assert holder.right(SECOND, DESTINATION) is Right.OWN
    assert holder.share(SECOND, DESTINATION) == pytest.approx(1 / 3)
    other = DESTINATIONS[PARTITION + 1]
    assert holder.right(SECOND, other) is Right.NOT_OWN and holder.share(SECOND, other) == 0


def test_without_a_lease_it_may_send_nowhere():
    holder = Holder("a", PARTITIONS, LEASES)
    assert holder.right(0, DESTINATION) is Right.UNKNOWN
    holder.part_told(0, 1, {PARTITION: OLD})
    assert holder.right(0, DESTINATION) is Right.UNKNOWN  # as after a restart with what stood in the folder
    holder.renewed(5 * SECOND, 5 * SECOND, 1)
    assert holder.right(LEASES.lease + 4 * SECOND, DESTINATION) is Right.OWN
    assert holder.right(LEASES.lease + 5 * SECOND, DESTINATION) is Right.UNKNOWN
    assert holder.share(LEASES.lease + 5 * SECOND, DESTINATION) == 0


def test_an_answer_to_what_is_yet_to_be_asked_is_none():
    holder = Holder("a", PARTITIONS, LEASES)
    holder.part_told(0, 1, {PARTITION: OLD})
    holder.renewed(SECOND, SECOND + 1, 1)
    assert holder.right(SECOND, DESTINATION) is Right.UNKNOWN


def test_a_lease_that_names_a_later_version_counts_once_that_is_here():
    holder = Holder("b", PARTITIONS, LEASES)
    holder.part_told(0, 1, {PARTITION: OLD})
    holder.renewed(0, 0, 2)
    assert holder.right(SECOND, DESTINATION) is Right.UNKNOWN
    holder.difference_told(SECOND, 1, 2, change_to(CHANGED))
    assert holder.right(SECOND, DESTINATION) is Right.OWN


def test_who_loses_a_partition_stops_and_who_gains_it_waits():
    loser, keeper, gainer = holder_of("a"), holder_of("b"), holder_of("d")
    for one in (loser, keeper, gainer):
        one.difference_told(SECOND, 1, 2, change_to(CHANGED))
    assert loser.right(SECOND, DESTINATION) is Right.NOT_OWN
    assert keeper.share(SECOND, DESTINATION) == pytest.approx(1 / 3)
    assert gainer.right(SECOND, DESTINATION) is Right.WAITING
    gainer.difference_told(2 * SECOND, 2, 3, change_to(NEW))
    assert gainer.share(2 * SECOND, DESTINATION) == pytest.approx(1 / 3)


def test_who_gains_a_partition_begins_by_itself_after_the_handover_wait():
    gainer = holder_of("d")
    gainer.difference_told(SECOND, 1, 2, change_to(CHANGED))
    begins = SECOND + LEASES.handover_wait
    gainer.renewed(begins - SECOND, begins - SECOND, 2)
    assert gainer.right(begins - 1, DESTINATION) is Right.WAITING
    assert gainer.right(begins, DESTINATION) is Right.OWN


@pytest.mark.parametrize("rules", [LEASES, LeaseRules()])
def test_the_wait_covers_the_slowest_clock_of_who_loses_and_the_fastest_of_who_gains(rules):
    committed = 1000 * SECOND  # true time; the question was asked at that moment, and the change heard of
    slow, fast = 1 - rules.drift, 1 + rules.drift
    loser = holder_of("a", rules=rules)
    loser.renewed(int(committed * slow), int(committed * slow), 1)
    gainer = holder_of("d", rules=rules)
    gainer.difference_told(int(committed * fast), 1, 2, change_to(CHANGED))
    last_share = committed + int(rules.lease / slow) - 1
    assert loser.share(int(last_share * slow), DESTINATION) > 0
    last_write = last_share + rules.pause
    gainer.renewed(int(last_write * fast), int(last_write * fast), 2)
    assert gainer.share(int(last_write * fast), DESTINATION) == 0
    assert gainer.share(int((last_write + rules.lease // 100) * fast), DESTINATION) > 0  # nor much longer


def test_who_keeps_a_partition_takes_the_lesser_share_until_the_others_have_stopped():
    keeper = holder_of("b", Placement(("a", "b")))
    keeper.difference_told(SECOND, 1, 2, change_to(Placement(("b", "c", "d"), ("a", "b"))))
    assert keeper.share(SECOND, DESTINATION) == pytest.approx(1 / 3)
    keeper.difference_told(SECOND, 2, 3, change_to(Placement(("b", "c", "d"))))
    keeper.difference_told(SECOND, 3, 4, change_to(Placement(("b",), ("b", "c", "d"))))
    assert keeper.share(2 * SECOND, DESTINATION) == pytest.approx(1 / 3)
    keeper.difference_told(SECOND, 4, 5, change_to(Placement(("b",))))
    assert keeper.share(2 * SECOND, DESTINATION) == 1


def test_hearing_the_same_change_again_does_not_begin_its_wait_anew():
    gainer = holder_of("d")
    gainer.difference_told(SECOND, 1, 2, change_to(CHANGED))
    gainer.part_told(10 * SECOND, 3, {PARTITION: CHANGED})
    gainer.renewed(10 * SECOND, 10 * SECOND, 3)
    assert gainer.right(SECOND + LEASES.handover_wait, DESTINATION) is Right.OWN


def test_what_does_not_fit_is_refused_whole():
    holder = holder_of("b", version=5)
    for fault, tell in (
        (StaleVersion, lambda: holder.part_told(0, 4, {PARTITION: OLD})),
        (StaleVersion, lambda: holder.difference_told(0, 3, 4, change_to(CHANGED))),
        (ConflictingVersion, lambda: holder.part_told(0, 5, {PARTITION: CHANGED})),
        (VersionGap, lambda: holder.difference_told(0, 6, 7, change_to(CHANGED))),
        (GarbledAssignment, lambda: holder.difference_told(0, 5, 6, change_to(NEW, PARTITIONS))),
        (GarbledAssignment, lambda: holder.part_told(0, 6, {PARTITION: Placement(("b", "b"))})),
    ):
        with pytest.raises(fault):
            tell()
    assert holder.version == 5 and holder.share(SECOND, DESTINATION) == pytest.approx(1 / 3)


def test_a_repeat_changes_nothing_and_what_is_no_longer_named_is_forgotten():
    holder = holder_of("a")
    holder.part_told(0, 1, {PARTITION: OLD})
    holder.difference_told(0, 0, 1, change_to(CHANGED))
    assert holder.version == 1 and holder.right(SECOND, DESTINATION) is Right.OWN
    holder.difference_told(0, 1, 2, change_to(NEW))
    assert holder.partitions_held == 0
