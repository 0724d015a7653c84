"""Scale of the register: what grows with the owners, in counts of entries, messages and bytes."""

from __future__ import annotations

import math

import pytest

from millweir.lab.scale.guard import Guard, LimitExceeded
from millweir.lab.scale.register import (
    CHANGES_PER_ENTRY,
    RENEWAL_INTERVAL,
    Ownership,
    OwnershipChanges,
    Quorum,
    assignment,
    assignment_change,
    change_values,
    encode,
    lost_by_trouble,
    measure,
    owner_names,
    renewal_values,
)
from millweir.store.core import SECOND

SMALL = 20
LARGE = 80
GROWTH = LARGE / SMALL
SEED = 5
BEATS_SECOND = 8  # a heartbeat every 125 ms


def counts(design, size):
    """Quantity -> value, without the design's name and without times."""
    values = renewal_values(design, size, SEED)
    return {quantity.removeprefix(f"{design}-"): value for (quantity, _), value in values.items()}


@pytest.fixture(scope="module")
def logged():
    return counts("logged", SMALL), counts("logged", LARGE)


@pytest.fixture(scope="module")
def leased():
    return counts("leased", SMALL), counts("leased", LARGE)


def test_each_logged_renewal_is_one_entry(logged):
    for size, values in zip((SMALL, LARGE), logged, strict=True):
        assert values["entries-second"] == pytest.approx(size / (RENEWAL_INTERVAL / SECOND))
        assert values["renewals-refused"] == 0


def test_logged_renewals_write_in_proportion_to_the_owners(logged):
    small, large = logged
    assert large["written-bytes-second"] / small["written-bytes-second"] == pytest.approx(GROWTH, rel=0.1)


def test_leased_renewals_write_nothing(leased):
    for values in leased:
        assert values["entries-second"] == 0
        assert values["written-bytes-second"] == 0


def test_a_leased_renewal_costs_the_leader_two_messages_and_the_followers_none(leased):
    small, large = leased
    more_owners = (LARGE - SMALL) / (RENEWAL_INTERVAL / SECOND)
    rounds = 4 * BEATS_SECOND * 2  # words and answers of one confirmation a heartbeat, at the most
    more = large["leader-messages-second"] - small["leader-messages-second"]
    assert 2 * more_owners <= more <= 2 * more_owners + rounds
    for values in leased:
        assert values["follower-messages-second"] <= 2 * 2 * BEATS_SECOND


def test_an_owner_pays_the_same_in_any_fleet(logged, leased):
    for small, large in (logged, leased):
        assert large["owner-bytes-second"] == pytest.approx(small["owner-bytes-second"], rel=0.05)


def test_the_same_seed_gives_the_same_counts(leased):
    again = counts("leased", SMALL)
    for quantity, value in again.items():
        if "processor" not in quantity:
            assert value == leased[0][quantity], quantity


def test_lost_owners_go_over_in_entries_of_many():
    for lost in (1, CHANGES_PER_ENTRY, CHANGES_PER_ENTRY + 1):
        values = change_values(2 * CHANGES_PER_ENTRY, SEED, lost)
        assert values["change-entries", "entries"] == math.ceil(lost / CHANGES_PER_ENTRY)
        assert 0 < values["change-commit-time", "s"] < 1


def test_the_committed_changes_are_applied_at_every_voter():
    quorum = Quorum(SEED, owner_names(SMALL))
    leader = quorum.leader
    changes = OwnershipChanges((Ownership("relay-00003", "relay-00004", 2),))
    quorum.drive(leader, lambda: leader.core.propose(quorum.now, encode(changes)))
    quorum.run_until(quorum.now + SECOND)
    for voter in quorum.voters.values():
        assert voter.table.ownerships["relay-00003"].holder == "relay-00004"


def test_an_assignment_grows_by_the_relays_names_and_a_zone_moves_its_part():
    small, large = (len(encode(assignment(size))) for size in (1_000, 4_000))
    name = len("relay-00000") + 1
    assert large - small == 3_000 * name
    by_zone = [len(encode(assignment_change(size, lost_by_trouble(size)["zone"]))) for size in (1_100, 4_400)]
    assert by_zone[1] == pytest.approx(by_zone[0], rel=0.01)


def test_a_run_that_would_take_too_much_does_not_start():
    with pytest.raises(LimitExceeded):
        next(measure(1_000, SEED, Guard(memory_most=1 << 20)))
