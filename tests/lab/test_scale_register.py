"""Scale of the replicated store: growth with the owners, in counts of entries, messages and bytes."""

from __future__ import annotations

import math

import pytest

from millweir.lab.scale.guard import Guard, LimitExceeded
from millweir.lab.scale.register import (
    CHANGES_PER_ENTRY,
    RENEWAL_INTERVAL_NS,
    Ownership,
    OwnershipChanges,
    Quorum,
    build_assignment_change,
    build_assignment_version,
    build_owner_names,
    count_lost_owners_by_trouble,
    encode,
    measure,
    measure_changes,
    measure_renewals,
)
from millweir.store.core import SECOND

SMALL_SIZE = 20
LARGE_SIZE = 80
SIZE_RATIO = LARGE_SIZE / SMALL_SIZE
SEED = 5
HEARTBEATS_PER_SECOND = 8  # one every 125 ms


def measure_counts(design, size):
    """Returns the value of each quantity, without the design's name as a prefix."""
    values = measure_renewals(design, size, SEED)
    return {quantity.removeprefix(f"{design}-"): value for (quantity, _), value in values.items()}


@pytest.fixture(scope="module")
def logged():
    return measure_counts("logged", SMALL_SIZE), measure_counts("logged", LARGE_SIZE)


@pytest.fixture(scope="module")
def leased():
    return measure_counts("leased", SMALL_SIZE), measure_counts("leased", LARGE_SIZE)


def test_each_logged_renewal_is_one_entry(logged):
    for size, values in zip((SMALL_SIZE, LARGE_SIZE), logged, strict=True):
        assert values["entries-second"] == pytest.approx(size / (RENEWAL_INTERVAL_NS / SECOND))
        assert values["renewals-refused"] == 0


def test_logged_renewals_write_bytes_in_proportion_to_the_owners(logged):
    small, large = logged
    assert large["written-bytes-second"] / small["written-bytes-second"] == pytest.approx(SIZE_RATIO, rel=0.1)


def test_leased_renewals_write_nothing(leased):
    for values in leased:
        assert values["entries-second"] == 0
        assert values["written-bytes-second"] == 0


def test_a_leased_renewal_takes_two_messages_at_the_leader_and_none_at_followers(leased):
    small, large = leased
    added_renewals_per_second = (LARGE_SIZE - SMALL_SIZE) / (RENEWAL_INTERVAL_NS / SECOND)
    # Messages and responses of one confirmation per heartbeat, at most.
    max_round_messages = 4 * HEARTBEATS_PER_SECOND * 2
    added_messages = large["leader-messages-second"] - small["leader-messages-second"]
    assert (
        2 * added_renewals_per_second <= added_messages <= 2 * added_renewals_per_second + max_round_messages
    )
    for values in leased:
        assert values["follower-messages-second"] <= 2 * 2 * HEARTBEATS_PER_SECOND


def test_bytes_per_owner_do_not_depend_on_the_size(logged, leased):
    for small, large in (logged, leased):
        assert large["owner-bytes-second"] == pytest.approx(small["owner-bytes-second"], rel=0.05)


def test_the_same_seed_gives_the_same_counts(leased):
    repeated = measure_counts("leased", SMALL_SIZE)
    for quantity, value in repeated.items():
        if "processor" not in quantity:
            assert value == leased[0][quantity], quantity


def test_lost_owners_are_reassigned_in_batched_entries():
    for lost in (1, CHANGES_PER_ENTRY, CHANGES_PER_ENTRY + 1):
        values = measure_changes(2 * CHANGES_PER_ENTRY, SEED, lost)
        assert values["change-entries", "entries"] == math.ceil(lost / CHANGES_PER_ENTRY)
        assert 0 < values["change-commit-time", "s"] < 1


def test_committed_changes_are_applied_at_every_voter():
    quorum = Quorum(SEED, build_owner_names(SMALL_SIZE))
    leader = quorum.leader
    changes = OwnershipChanges((Ownership("relay-00003", "relay-00004", 2),))
    quorum.call_core(leader, lambda: leader.core.propose(quorum.now, encode(changes)))
    quorum.run_until(quorum.now + SECOND)
    for voter in quorum.voters.values():
        assert voter.table.ownerships["relay-00003"].holder == "relay-00004"


def test_an_assignment_grows_by_the_relay_names_and_a_lost_zone_moves_a_constant_size():
    small, large = (len(encode(build_assignment_version(size))) for size in (1_000, 4_000))
    name_bytes = len("relay-00000") + 1
    assert large - small == 3_000 * name_bytes
    zone_change_bytes = [
        len(encode(build_assignment_change(size, count_lost_owners_by_trouble(size)["zone"])))
        for size in (1_100, 4_400)
    ]
    assert zone_change_bytes[1] == pytest.approx(zone_change_bytes[0], rel=0.01)


def test_a_run_over_the_memory_limit_does_not_start():
    with pytest.raises(LimitExceeded):
        next(measure(1_000, SEED, Guard(max_memory_bytes=1 << 20)))
