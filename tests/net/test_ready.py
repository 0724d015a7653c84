"""How much work a start does before it is ready, and that thousands of owed packets do not hold it up."""

import sys
import threading
from collections import deque

import pytest
from rig import CONFIG, Platform, Program, entry, reply, settings, until

from millweir.facade import DecisionEngine
from millweir.interface import SECOND, Change, Limits
from millweir.net import clock
from millweir.net.counters import Counters
from millweir.net.desk import Desk
from millweir.net.journal import FILE, Journal, OwedMessage
from millweir.net.log import Log
from millweir.net.service_classes import ServiceClasses
from net.inside import request, run_with_relay
from net.test_calls import submit_messages

LARGE = {"memory_mb": 192, "sockets": 256, "disk_mb": 16}
OWED = 10_000


def leave_owed(folder, count, attempts=0, profile=b"again", key=b""):
    """A folder as a life left it that took on so many packets and was killed."""
    folder.mkdir(exist_ok=True)
    journal = Journal(folder, 1 << 30, 1 << 30, print)
    stop = clock.to_wall(clock.monotonic_ns() + 60 * SECOND)
    for number in range(count):
        message = OwedMessage(
            b"p%d" % number, profile, b"", key, b"m%d" % number, number % 10, stop, b"hello"
        )
        journal.taken(message)
        for _ in range(attempts):
            journal.trip([message], clock.to_wall(clock.monotonic_ns()))
    journal.close()


def restored_desk(journal, max_open):
    """A desk without sockets, with all that the journal owes in its backlog."""
    chosen = settings(max_open=max_open)
    engine = DecisionEngine(chosen, Limits(256, 1 << 20, 64 << 20), 1, clock.monotonic_ns())
    engine.update_hosts(clock.monotonic_ns(), Change.CACHED, tuple(entry(group, 0) for group in range(10)))
    desk = Desk.__new__(Desk)
    desk._engine, desk._bounds, desk._counters = engine, engine.bounds, Counters()
    desk._owed, desk._backlog, desk._scheduled = {}, deque(), True
    desk._log = Log(engine.bounds.max_log_lines_per_second)
    desk._classes, desk._tenants = ServiceClasses(chosen, engine), {}
    desk._classes._by_name = {b"again": 0}
    for message in journal.owed.values():
        desk._restore(message)
    return desk


def count_calls(work):
    """How many functions, Python's and the interpreter's, are called by it."""
    calls = 0

    def profile(frame, event, argument):
        nonlocal calls
        calls += event in ("call", "c_call")

    sys.setprofile(profile)
    try:
        work()
    finally:
        sys.setprofile(None)
    return calls


@pytest.mark.parametrize("max_open", [0, 60], ids=["any-number-open", "table-shrunk"])
def test_the_work_of_a_start_grows_in_proportion_to_what_is_owed(tmp_path, max_open):
    work = {}
    for count in (1_000, 4_000):
        folder = tmp_path / str(count)
        leave_owed(folder, count, attempts=1)

        def start(folder=folder, count=count):
            journal = Journal(folder, 1 << 30, 1 << 30, print)
            desk = restored_desk(journal, max_open)
            assert len(desk._backlog) == count
            while desk._backlog:
                desk._work_off_backlog()
            journal.close()

        work[count] = count_calls(start)
    assert work[4_000] < 4.4 * work[1_000]  # the depth of a heap or a sorted line is all that may be added


def test_what_is_done_before_a_start_is_ready_does_not_hand_in_what_is_owed(tmp_path):
    leave_owed(tmp_path / "state", 1_000)
    journal = Journal(tmp_path / "state", 1 << 30, 1 << 30, print)
    desk = restored_desk(journal, 0)
    assert len(desk._owed) == len(desk._backlog) == 1_000 and not desk._engine._relay._packets
    desk._work_off_backlog()
    assert len(desk._engine._relay._packets) == desk._bounds.max_requests_per_turn
    journal.close()


def test_a_process_with_ten_thousand_packets_owed_is_ready_and_has_taken_all_of_them_over(tmp_path):
    leave_owed(tmp_path / "state", OWED)
    platform = Platform(hosts=1)
    platform.decide = lambda call: reply(200)
    ceilings = CONFIG["ceilings"] | {"max-open": OWED + 1}
    program = Program(platform, tmp_path, limits=LARGE, settings=CONFIG | {"ceilings": ceilings})
    try:
        assert f"owed={OWED}" in program.log()
        text = until(lambda: program.ask("GET", "/counters/all")[1].decode())
        assert f"packets_restored {OWED}" in text.replace("=", " ").replace(":", " ")
        assert program.hand_in("p17") == 202  # known already: nothing new is taken on
        text = program.ask("GET", "/counters/all")[1].decode()
        assert "packets_taken" not in text
        until(lambda: platform.calls)  # the packets of the one destination with a host
    finally:
        program.end()


@pytest.fixture
def backlog(monkeypatch):
    """Nothing of the backlog is handed in until this is set."""
    released, work_off = threading.Event(), Desk._work_off_backlog
    monkeypatch.setattr(Desk, "_work_off_backlog", lambda desk: work_off(desk) if released.is_set() else None)
    return released


def test_a_packet_taken_during_the_backlog_goes_after_those_of_its_key_in_it(tmp_path, monkeypatch, backlog):
    leave_owed(tmp_path / "state", 1, profile=b"marked", key=b"k")
    platform = Platform(hosts=1)
    platform.decide = lambda call: [0.2, reply(200)]  # long enough for another call to cross it

    async def steps(relay):
        await submit_messages(relay, "fresh", profile="marked", **{"Cookie": "about=k"})
        assert not platform.calls
        backlog.set()
        relay.desk.wake()
        await relay.until(lambda: not relay.desk._journal.owed)
        assert [call.id for call in platform.calls] == ["p0", "fresh"]
        assert platform.calls[1].at - platform.calls[0].at >= 0.2 and not platform.notifications

    run_with_relay(platform, tmp_path, monkeypatch, steps)


def test_no_more_is_taken_during_the_backlog_than_the_table_holds(tmp_path, monkeypatch, backlog):
    most = CONFIG["ceilings"]["max-open"]
    leave_owed(tmp_path / "state", most - 1)  # as many as a life can leave behind

    async def steps(relay):
        (client,) = await relay.connect_clients()
        client.send(request("fits", dest=9) + request("more", dest=9) + request("p1", dest=9))
        assert await client.statuses(3) == [202, 503, 202]  # the last one is known already
        backlog.set()
        relay.desk.wake()
        await relay.until(lambda: platform.notifications)
        # A table that the last one fills lets the one worth least go, which was never tried: it may return.
        assert [notice["result"] for notice in platform.notifications] == ["bounced"]
        assert len(relay.desk._engine._relay._packets) == most - 1

    platform = Platform(hosts=1)
    platform.decide = lambda call: None  # all of it stays open
    run_with_relay(platform, tmp_path, monkeypatch, steps)


def inode(folder):
    return (folder / FILE).stat().st_ino


def test_a_start_does_not_rewrite_a_file_that_is_whole_and_mostly_of_what_is_owed(tmp_path):
    leave_owed(tmp_path, 100)
    before = inode(tmp_path)
    journal = Journal(tmp_path, 1 << 20, 1 << 19, print)
    assert inode(tmp_path) == before and len(journal.owed) == 100
    journal.over(journal.owed[1])
    journal.close()
    again = Journal(tmp_path, 1 << 20, 1 << 19, print)
    assert inode(tmp_path) == before and min(again.owed) == 2 and not again.torn
    again.close()


@pytest.mark.parametrize("fault", ["torn", "mostly-over", "too-large"])
def test_a_start_rewrites_a_file_that_it_can_not_go_on_with(tmp_path, fault):
    leave_owed(tmp_path, 100)
    journal = Journal(tmp_path, 1 << 20, 1 << 19, print)
    for message in list(journal.owed.values())[: 95 if fault == "mostly-over" else 0]:
        journal.over(message)
    left = list(journal.owed)
    journal.close()
    path, most = tmp_path / FILE, 1 << 20
    if fault == "torn":
        path.write_bytes(path.read_bytes() + b"half a record")
    if fault == "too-large":
        most = path.stat().st_size * 3 // 2  # a limit lowered since
    before = inode(tmp_path)
    again = Journal(tmp_path, most, most, print)
    assert inode(tmp_path) != before and list(again.owed) == left
    again.taken(OwedMessage(b"new", b"again", b"", b"", b"", 0, 0, b""))
    again.close()
    last = Journal(tmp_path, most, most, print)
    assert list(last.owed) == [*left, max(left) + 1] and not last.torn
    last.close()
