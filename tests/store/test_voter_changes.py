"""The changes of voters in a log: as a walk over the log finds them, at the same cost however long it is."""

from __future__ import annotations

import random

import pytest

from millweir.lab.scale.steps import count_instructions
from millweir.store.core import SECOND, Core, Rules
from millweir.store.entries import Entry, Id, Kept, Kind, Voters, encode, read_voters
from millweir.store.voter_changes import VoterChanges

MEMBERS = tuple(Id(name, number) for number, name in enumerate("abcde"))


def change(index: int, chance: random.Random) -> Entry:
    return Entry(index, 1, Kind.VOTERS, encode(Voters(tuple(chance.sample(MEMBERS, 3)))))


def walked(log: list[Entry], at_most: int) -> tuple[int, Voters] | None:
    """The model: a walk over all entries."""
    found = [entry for entry in log if entry.kind is Kind.VOTERS and entry.index <= at_most]
    return (found[-1].index, read_voters(found[-1].data)) if found else None


@pytest.mark.parametrize("seed", range(20))
def test_the_newest_change_is_the_one_that_a_walk_finds(seed):
    chance = random.Random(seed)
    log: list[Entry] = []
    changes = VoterChanges([])
    last = first = 0
    for _ in range(300):
        step = chance.random()
        if step < 0.8:
            last += 1
            entry = change(last, chance) if chance.random() < 0.2 else Entry(last, 1, Kind.COMMAND)
            log.append(entry)
            changes.add(entry)
        elif step < 0.9 and last > first:
            cut = chance.randint(first + 1, last)
            log = [entry for entry in log if entry.index < cut]
            changes.cut(cut)
            last = cut - 1
        else:
            at = chance.randint(first, last)
            assert changes.newest(at) == walked(log, at)
            log = [entry for entry in log if entry.index > at]
            changes.compact(at)
            first = at
        assert changes.newest() == walked(log, last)


def instructions(entries: int) -> int:
    """What it takes a member to look at its voters."""
    chance = random.Random(1)
    log = (change(1, chance), *(Entry(index, 1, Kind.COMMAND) for index in range(2, entries)))
    core = Core(Kept(MEMBERS[0], entries=list(log)), Rules(), chance, SECOND)
    return count_instructions(lambda: core.voters)


def test_a_look_at_the_voters_costs_the_same_however_long_the_log_is():
    assert instructions(10) == instructions(10_000)
