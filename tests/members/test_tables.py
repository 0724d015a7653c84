"""The tables of the core, each by itself."""

from __future__ import annotations

import random

import pytest

from millweir.members.messages import Claim, Cut, Rank, mark
from millweir.members.paths import Paths, key_of
from millweir.members.rules import NEVER
from millweir.members.suspicion import VerdictTimers
from millweir.members.table import Table
from millweir.members.view import Degree, Member

CONTACT = "10.0.0.1", 1


def claim(name, rank=Rank.ALIVE, incarnation=1):
    return Claim(name, 1, incarnation, rank, CONTACT[0], CONTACT[1], name)


@pytest.fixture
def table():
    return Table(3, random.Random(1), 0, [CONTACT])


def test_what_is_derived_from_a_row_changes_with_it(table):
    member = table.add(1, claim("a"), Degree.ALIVE)
    assert list(table.ring) == [member] and table.contacts == {CONTACT: 1}
    assert table.digest == mark("a", 1, 1) and table.changed_at == 1
    table.hold(2, member, claim("a", incarnation=2), Degree.ALIVE)
    assert table.contacts == {CONTACT: 1} and table.digest == mark("a", 2, 1)
    table.hold(3, member, claim("a", Rank.GONE, 2), Degree.GONE)
    assert not table.ring and table.contacts == {CONTACT: 0} and table.digest == 0
    assert table.gone == [member] and table.changed_at == 3
    table.hold(4, member, claim("a", incarnation=3), Degree.ALIVE)
    assert list(table.ring) == [member] and table.gone == []


def test_a_full_table_forgets_who_is_out_longest_and_no_active_member(table):
    for at, name in enumerate("abc"):
        table.add(at, claim(name, Rank.GONE), Degree.GONE)
    assert table.has_room() and list(table.rows) == ["b", "c"]
    assert [member.claim.name for member in table.gone] == ["b", "c"]
    for member in list(table.rows.values()):
        table.hold(5, member, claim(member.claim.name, incarnation=2), Degree.ALIVE)
    table.add(6, claim("d"), Degree.ALIVE)
    assert not table.has_room() and len(table.rows) == 3


def test_those_gone_before_a_time_are_forgotten(table):
    for at, name in enumerate("abc"):
        table.add(at, claim(name, Rank.GONE), Degree.GONE)
    table.forget_before(2)
    assert list(table.rows) == ["c"] and [member.claim.name for member in table.gone] == ["c"]


def test_paths_are_bounded_and_those_up_again_go_first():
    paths = Paths(most=2)
    first, second, third = (Cut("a", name, "a", 1, True) for name in "bcd")
    paths.hold(first)
    paths.hold(second)
    paths.hold(Cut("a", "c", "a", 2, False))
    paths.hold(third)
    assert set(paths.held) == {key_of(first), key_of(third)}
    paths.hold(second)
    assert set(paths.held) == {key_of(third), key_of(second)}


def test_only_a_newer_word_on_a_path_is_news():
    paths = Paths(most=9)
    assert not paths.is_news(Cut("a", "b", "a", 1, False))
    paths.hold(Cut("a", "b", "a", 1, True))
    assert not paths.is_news(Cut("a", "b", "a", 1, False))
    assert paths.is_news(Cut("a", "b", "a", 2, False))
    paths.forget("a")
    assert paths.held == {}


def test_verdict_timers_go_by_the_last_time_set_and_stay_few():
    suspects = {name: Member(claim(name), 0) for name in "abc"}
    timers = VerdictTimers(suspects)
    assert timers.next_at() == NEVER
    for at in range(1000):
        for number, member in enumerate(suspects.values()):
            member.verdict_at = 10 + at + number
            timers.add(member)
    assert len(timers._timers) <= 2 * len(suspects) + 64
    assert timers.next_at() == 1009
    del suspects["a"]
    assert timers.next_at() == 1010
    assert timers.due(1009) == []
    assert timers.due(1011) == [suspects["b"], suspects["c"]]
