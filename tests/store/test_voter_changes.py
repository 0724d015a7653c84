"""The index of membership changes: it agrees with a scan of the log, at a cost independent of its length."""

from __future__ import annotations

import random

import pytest

from millweir.lab.scale.steps import count_instructions
from millweir.store.core import SECOND, Core, Rules
from millweir.store.entries import (
    Entry,
    EntryKind,
    MemberId,
    Membership,
    PersistentState,
    decode_membership,
    encode,
)
from millweir.store.voter_changes import MembershipChanges

MEMBERS = tuple(MemberId(name, number) for number, name in enumerate("abcde"))


def make_change(index: int, rng: random.Random) -> Entry:
    return Entry(index, 1, EntryKind.MEMBERSHIP, encode(Membership(tuple(rng.sample(MEMBERS, 3)))))


def scan_for_newest(log: list[Entry], at_most: int) -> tuple[int, Membership] | None:
    """The reference: a scan of all entries."""
    found = [entry for entry in log if entry.kind is EntryKind.MEMBERSHIP and entry.index <= at_most]
    return (found[-1].index, decode_membership(found[-1].data)) if found else None


@pytest.mark.parametrize("seed", range(20))
def test_newest_change_is_the_one_that_a_scan_finds(seed):
    rng = random.Random(seed)
    log: list[Entry] = []
    changes = MembershipChanges([])
    last = first = 0
    for _ in range(300):
        step = rng.random()
        if step < 0.8:
            last += 1
            entry = make_change(last, rng) if rng.random() < 0.2 else Entry(last, 1, EntryKind.COMMAND)
            log.append(entry)
            changes.add(entry)
        elif step < 0.9 and last > first:
            cut = rng.randint(first + 1, last)
            log = [entry for entry in log if entry.index < cut]
            changes.truncate(cut)
            last = cut - 1
        else:
            at = rng.randint(first, last)
            assert changes.newest(at) == scan_for_newest(log, at)
            log = [entry for entry in log if entry.index > at]
            changes.compact(at)
            first = at
        assert changes.newest() == scan_for_newest(log, last)


def count_read_instructions(entries: int) -> int:
    """Count the instructions that reading the membership of a core with that many entries takes."""
    rng = random.Random(1)
    log = (
        make_change(1, rng),
        *(Entry(index, 1, EntryKind.COMMAND) for index in range(2, entries)),
    )
    core = Core(PersistentState(MEMBERS[0], entries=list(log)), Rules(), rng, SECOND)
    return count_instructions(lambda: core.membership)


def test_cost_of_reading_the_membership_is_independent_of_the_log_length():
    assert count_read_instructions(10) == count_read_instructions(10_000)
