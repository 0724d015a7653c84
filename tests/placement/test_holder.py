"""Lease holders: lease, versions, handover, and the bound on the sum of all relays' shares."""

import pytest
from placement.model import DESTINATIONS, LEASES, PARTITIONS, Fleet

from millweir.placement.assignment import (
    ConflictingVersion,
    InvalidAssignment,
    PartitionChange,
    Placement,
    StaleVersion,
    VersionGap,
)
from millweir.placement.holder import LeaseHolder, SendPermission
from millweir.placement.leases import SECOND, LeaseRules

PARTITION = 3
DESTINATION = DESTINATIONS[PARTITION]
OLD = Placement(("a", "b", "c"))
CHANGED = Placement(("d", "b", "c"), ("a", "b", "c"))
NEW = Placement(("d", "b", "c"))


def make_holder(name, placement=OLD, version=1, rules=LEASES):
    holder = LeaseHolder(name, PARTITIONS, rules)
    holder.replace_placements(0, version, {PARTITION: placement} if placement.involves(name) else {})
    holder.record_renewal(0, 0, version)
    return holder


def make_changes(placement, partition=PARTITION):
    return [PartitionChange(partition, placement)]


@pytest.mark.parametrize("seed", [0, 1, 2, 3, 4, 5, 188])
def test_sum_of_shares_never_exceeds_the_limit(seed):  # also checks the core's invariants
    fleet = Fleet(seed)
    for _ in range(400):
        fleet.step()
    assert fleet.commits


@pytest.mark.parametrize("seed", range(4))
def test_whole_limit_is_used_once_faults_end(seed):
    fleet = Fleet(seed)
    for _ in range(200):
        fleet.step()
    for name, simulated_relay in fleet.relays.items():
        fleet.set_leaving(name, False)
        fleet.update_core(simulated_relay.relay, fleet.liveness[name].ALIVE)
    for _ in range(400):
        fleet.step(with_faults=False)
    assert fleet.sum_shares() == pytest.approx([1.0] * PARTITIONS)


def test_fair_share_is_the_limit_divided_by_the_replicas():
    holder = make_holder("a")
    assert holder.get_permission(SECOND, DESTINATION) is SendPermission.ALLOWED
    assert holder.get_fair_share(SECOND, DESTINATION) == pytest.approx(1 / 3)
    other = DESTINATIONS[PARTITION + 1]
    assert (
        holder.get_permission(SECOND, other) is SendPermission.NOT_ASSIGNED
        and holder.get_fair_share(SECOND, other) == 0
    )


def test_without_a_lease_nothing_may_be_sent():
    holder = LeaseHolder("a", PARTITIONS, LEASES)
    assert holder.get_permission(0, DESTINATION) is SendPermission.UNKNOWN
    holder.replace_placements(0, 1, {PARTITION: OLD})
    # As after a restart with the placements on disk.
    assert holder.get_permission(0, DESTINATION) is SendPermission.UNKNOWN
    holder.record_renewal(5 * SECOND, 5 * SECOND, 1)
    assert holder.get_permission(LEASES.duration_ns + 4 * SECOND, DESTINATION) is SendPermission.ALLOWED
    assert holder.get_permission(LEASES.duration_ns + 5 * SECOND, DESTINATION) is SendPermission.UNKNOWN
    assert holder.get_fair_share(LEASES.duration_ns + 5 * SECOND, DESTINATION) == 0


def test_answer_to_a_request_in_the_future_is_ignored():
    holder = LeaseHolder("a", PARTITIONS, LEASES)
    holder.replace_placements(0, 1, {PARTITION: OLD})
    holder.record_renewal(SECOND, SECOND + 1, 1)
    assert holder.get_permission(SECOND, DESTINATION) is SendPermission.UNKNOWN


def test_renewal_with_a_later_version_counts_once_that_is_applied():
    holder = LeaseHolder("b", PARTITIONS, LEASES)
    holder.replace_placements(0, 1, {PARTITION: OLD})
    holder.record_renewal(0, 0, 2)
    assert holder.get_permission(SECOND, DESTINATION) is SendPermission.UNKNOWN
    holder.apply_difference(SECOND, 1, 2, make_changes(CHANGED))
    assert holder.get_permission(SECOND, DESTINATION) is SendPermission.ALLOWED


def test_losing_relay_stops_and_gaining_relay_waits():
    loser, keeper, gainer = make_holder("a"), make_holder("b"), make_holder("d")
    for holder in (loser, keeper, gainer):
        holder.apply_difference(SECOND, 1, 2, make_changes(CHANGED))
    assert loser.get_permission(SECOND, DESTINATION) is SendPermission.NOT_ASSIGNED
    assert keeper.get_fair_share(SECOND, DESTINATION) == pytest.approx(1 / 3)
    assert gainer.get_permission(SECOND, DESTINATION) is SendPermission.WAITING
    gainer.apply_difference(2 * SECOND, 2, 3, make_changes(NEW))
    assert gainer.get_fair_share(2 * SECOND, DESTINATION) == pytest.approx(1 / 3)


def test_gaining_relay_starts_after_the_handover_wait():
    gainer = make_holder("d")
    gainer.apply_difference(SECOND, 1, 2, make_changes(CHANGED))
    begins = SECOND + LEASES.handover_wait_ns
    gainer.record_renewal(begins - SECOND, begins - SECOND, 2)
    assert gainer.get_permission(begins - 1, DESTINATION) is SendPermission.WAITING
    assert gainer.get_permission(begins, DESTINATION) is SendPermission.ALLOWED


@pytest.mark.parametrize("rules", [LEASES, LeaseRules()])
def test_handover_wait_covers_the_slowest_losing_and_fastest_gaining_clock(rules):
    committed = 1000 * SECOND  # true time, at which also the lease was requested and the change learned of
    slow, fast = 1 - rules.max_clock_drift, 1 + rules.max_clock_drift
    loser = make_holder("a", rules=rules)
    loser.record_renewal(int(committed * slow), int(committed * slow), 1)
    gainer = make_holder("d", rules=rules)
    gainer.apply_difference(int(committed * fast), 1, 2, make_changes(CHANGED))
    last_share = committed + int(rules.duration_ns / slow) - 1
    assert loser.get_fair_share(int(last_share * slow), DESTINATION) > 0
    last_write = last_share + rules.max_send_delay_ns
    gainer.record_renewal(int(last_write * fast), int(last_write * fast), 2)
    assert gainer.get_fair_share(int(last_write * fast), DESTINATION) == 0
    # The wait is not much longer than necessary either.
    assert gainer.get_fair_share(int((last_write + rules.duration_ns // 100) * fast), DESTINATION) > 0


def test_keeping_relay_uses_the_lesser_share_during_a_handover():
    keeper = make_holder("b", Placement(("a", "b")))
    keeper.apply_difference(SECOND, 1, 2, make_changes(Placement(("b", "c", "d"), ("a", "b"))))
    assert keeper.get_fair_share(SECOND, DESTINATION) == pytest.approx(1 / 3)
    keeper.apply_difference(SECOND, 2, 3, make_changes(Placement(("b", "c", "d"))))
    keeper.apply_difference(SECOND, 3, 4, make_changes(Placement(("b",), ("b", "c", "d"))))
    assert keeper.get_fair_share(2 * SECOND, DESTINATION) == pytest.approx(1 / 3)
    keeper.apply_difference(SECOND, 4, 5, make_changes(Placement(("b",))))
    assert keeper.get_fair_share(2 * SECOND, DESTINATION) == 1


def test_repeated_change_does_not_restart_the_wait():
    gainer = make_holder("d")
    gainer.apply_difference(SECOND, 1, 2, make_changes(CHANGED))
    gainer.replace_placements(10 * SECOND, 3, {PARTITION: CHANGED})
    gainer.record_renewal(10 * SECOND, 10 * SECOND, 3)
    assert gainer.get_permission(SECOND + LEASES.handover_wait_ns, DESTINATION) is SendPermission.ALLOWED


def test_updates_that_do_not_apply_are_rejected_without_effect():
    holder = make_holder("b", version=5)
    for error_class, update in (
        (StaleVersion, lambda: holder.replace_placements(0, 4, {PARTITION: OLD})),
        (StaleVersion, lambda: holder.apply_difference(0, 3, 4, make_changes(CHANGED))),
        (ConflictingVersion, lambda: holder.replace_placements(0, 5, {PARTITION: CHANGED})),
        (VersionGap, lambda: holder.apply_difference(0, 6, 7, make_changes(CHANGED))),
        (InvalidAssignment, lambda: holder.apply_difference(0, 5, 6, make_changes(NEW, PARTITIONS))),
        (InvalidAssignment, lambda: holder.replace_placements(0, 6, {PARTITION: Placement(("b", "b"))})),
    ):
        with pytest.raises(error_class):
            update()
    assert holder.version == 5 and holder.get_fair_share(SECOND, DESTINATION) == pytest.approx(1 / 3)


def test_repeat_changes_nothing_and_placements_without_the_relay_are_dropped():
    holder = make_holder("a")
    holder.replace_placements(0, 1, {PARTITION: OLD})
    holder.apply_difference(0, 0, 1, make_changes(CHANGED))
    assert holder.version == 1 and holder.get_permission(SECOND, DESTINATION) is SendPermission.ALLOWED
    holder.apply_difference(0, 1, 2, make_changes(NEW))
    assert holder.partition_count == 0
