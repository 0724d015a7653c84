"""The tables of the core, each by itself: members, path reports, suspicion timers."""

from __future__ import annotations

import random

import pytest

from millweir.members.messages import MemberRecord, PathReport, ReportedState, mark
from millweir.members.paths import PathTable, path_key
from millweir.members.rules import NEVER
from millweir.members.suspicion import SuspicionTimers
from millweir.members.table import MemberTable
from millweir.members.view import Member, MemberStatus

CONTACT = "10.0.0.1", 1


def record(name, state=ReportedState.ALIVE, incarnation=1):
    return MemberRecord(name, 1, incarnation, state, CONTACT[0], CONTACT[1], name)


@pytest.fixture
def table():
    return MemberTable(3, random.Random(1), 0, [CONTACT])


def test_indexes_follow_each_change_of_a_row(table):
    member = table.add(1, record("a"), MemberStatus.ALIVE)
    assert list(table.active_members) == [member] and table.contacts == {CONTACT: 1}
    assert table.digest == mark("a", 1, 1) and table.changed_at == 1
    table.update(2, member, record("a", incarnation=2), MemberStatus.ALIVE)
    assert table.contacts == {CONTACT: 1} and table.digest == mark("a", 2, 1)
    table.update(3, member, record("a", ReportedState.GONE, 2), MemberStatus.GONE)
    assert not table.active_members and table.contacts == {CONTACT: 0} and table.digest == 0
    assert table.gone == [member] and table.changed_at == 3
    table.update(4, member, record("a", incarnation=3), MemberStatus.ALIVE)
    assert list(table.active_members) == [member] and table.gone == []


def test_a_full_table_evicts_the_longest_inactive_member_and_no_active_one(table):
    for time, name in enumerate("abc"):
        table.add(time, record(name, ReportedState.GONE), MemberStatus.GONE)
    assert table.has_room() and list(table.members) == ["b", "c"]
    assert [member.record.name for member in table.gone] == ["b", "c"]
    for member in list(table.members.values()):
        table.update(5, member, record(member.record.name, incarnation=2), MemberStatus.ALIVE)
    table.add(6, record("d"), MemberStatus.ALIVE)
    assert not table.has_room() and len(table.members) == 3


def test_members_gone_before_a_time_are_removed(table):
    for time, name in enumerate("abc"):
        table.add(time, record(name, ReportedState.GONE), MemberStatus.GONE)
    table.remove_gone_before(2)
    assert list(table.members) == ["c"] and [member.record.name for member in table.gone] == ["c"]


def test_a_full_path_table_drops_paths_that_are_up_again_first():
    paths = PathTable(max_reports=2)
    first, second, third = (PathReport("a", name, "a", 1, True) for name in "bcd")
    paths.store(first)
    paths.store(second)
    paths.store(PathReport("a", "c", "a", 2, False))
    paths.store(third)
    assert set(paths.reports) == {path_key(first), path_key(third)}
    paths.store(second)
    assert set(paths.reports) == {path_key(third), path_key(second)}


def test_only_a_newer_report_replaces_one_of_the_same_path():
    paths = PathTable(max_reports=9)
    assert not paths.is_newer(PathReport("a", "b", "a", 1, False))
    paths.store(PathReport("a", "b", "a", 1, True))
    assert not paths.is_newer(PathReport("a", "b", "a", 1, False))
    assert paths.is_newer(PathReport("a", "b", "a", 2, False))
    paths.remove_reports_by("a")
    assert paths.reports == {}


def test_suspicion_timers_use_the_last_time_set_and_drop_old_entries():
    suspects = {name: Member(record(name), 0) for name in "abc"}
    timers = SuspicionTimers(suspects)
    assert timers.next_expiry() == NEVER
    for time in range(1000):
        for number, member in enumerate(suspects.values()):
            member.suspicion_expires_at = 10 + time + number
            timers.add(member)
    assert len(timers._timers) <= 2 * len(suspects) + 64
    assert timers.next_expiry() == 1009
    del suspects["a"]
    assert timers.next_expiry() == 1010
    assert timers.pop_expired(1009) == []
    assert timers.pop_expired(1011) == [suspects["b"], suspects["c"]]
