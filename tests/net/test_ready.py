"""The work of a start before it is ready, and that thousands of owed packets do not delay it."""

import sys
import threading
from collections import deque
from types import SimpleNamespace

import pytest
from rig import CONFIG, Platform, Program, entry, reply, settings, until

from millweir.facade import DecisionEngine
from millweir.interface import SECOND, Change, Limits
from millweir.net import clock
from millweir.net.concurrent.key_turns import KeyTurns
from millweir.net.counters import Counters
from millweir.net.desk import RelayServer
from millweir.net.journal import FILE_NAME, Journal
from millweir.net.log import Log
from millweir.net.owed_message import OwedMessage
from millweir.net.service_classes import ServiceClasses
from net.inside import request, run_with_relay
from net.test_calls import submit_messages

LARGE = {"memory_mb": 192, "sockets": 256, "disk_mb": 16}
OWED = 10_000


def write_owed_packets(folder, count, attempts=0, profile=b"again", key=b""):
    """Fill a folder like a process that accepted `count` packets and was killed."""
    folder.mkdir(exist_ok=True)
    journal = Journal(folder, 1 << 30, 1 << 30, print)
    deadline = clock.to_wall(clock.monotonic_ns() + 60 * SECOND)
    for number in range(count):
        message = OwedMessage(
            b"p%d" % number, profile, b"", key, b"m%d" % number, number % 10, deadline, b"hello"
        )
        journal.record_accepted(message)
        for _ in range(attempts):
            journal.record_trips([message], clock.to_wall(clock.monotonic_ns()))
    journal.close()


def make_restored_server(journal, max_open):
    """A RelayServer without sockets, with everything that the journal owes in its backlog."""
    chosen = settings(max_open=max_open)
    engine = DecisionEngine(chosen, Limits(256, 1 << 20, 64 << 20), 1, clock.monotonic_ns())
    engine.update_hosts(clock.monotonic_ns(), Change.CACHED, tuple(entry(group, 0) for group in range(10)))
    server = RelayServer.__new__(RelayServer)
    server._engine, server._bounds, server._counters = engine, engine.bounds, Counters()
    server._is_closed = False
    server._owed, server._backlog, server._turn_scheduled = {}, deque(), True
    server._log = Log(engine.bounds.max_log_lines_per_second)
    server._service_classes, server._tenant_numbers = ServiceClasses(chosen, engine), {}
    server._service_classes._by_name = {b"again": 0}
    server._concurrent = SimpleNamespace(turns=KeyTurns(0, server._service_classes.keeps_order))
    for message in journal.owed.values():
        server._restore_message(message)
    return server


def count_calls(work):
    """The number of function calls, of Python and of the interpreter, that `work` makes."""
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
def test_the_work_of_a_start_is_proportional_to_the_packets_owed(tmp_path, max_open):
    work = {}
    for count in (1_000, 4_000):
        folder = tmp_path / str(count)
        write_owed_packets(folder, count, attempts=1)

        def start(folder=folder, count=count):
            journal = Journal(folder, 1 << 30, 1 << 30, print)
            server = make_restored_server(journal, max_open)
            assert len(server._backlog) == count
            while server._backlog:
                server._submit_backlog()
            journal.close()

        work[count] = count_calls(start)
    assert work[4_000] < 4.4 * work[1_000]  # only a logarithmic term, of a heap or sorted queue, may be added


def test_owed_packets_are_not_submitted_before_a_start_is_ready(tmp_path):
    write_owed_packets(tmp_path / "state", 1_000)
    journal = Journal(tmp_path / "state", 1 << 30, 1 << 30, print)
    server = make_restored_server(journal, 0)
    assert len(server._owed) == len(server._backlog) == 1_000 and not server._engine._relay._packets
    server._submit_backlog()
    assert len(server._engine._relay._packets) == server._bounds.max_requests_per_turn
    journal.close()


def test_a_process_with_ten_thousand_packets_owed_is_ready_and_has_restored_all_of_them(tmp_path):
    write_owed_packets(tmp_path / "state", OWED)
    platform = Platform(hosts=1)
    platform.decide = lambda call: reply(200)
    ceilings = CONFIG["ceilings"] | {"max-open": OWED + 1}
    program = Program(platform, tmp_path, limits=LARGE, settings=CONFIG | {"ceilings": ceilings})
    try:
        assert f"owed={OWED}" in program.log()
        text = until(lambda: program.ask("GET", "/counters/all")[1].decode())
        assert f"packets_restored {OWED}" in text.replace("=", " ").replace(":", " ")
        assert program.hand_in("p17") == 202  # known already: nothing new is accepted
        text = program.ask("GET", "/counters/all")[1].decode()
        assert "packets_taken" not in text
        until(lambda: platform.calls)  # the packets of the only destination with a host
    finally:
        program.end()


@pytest.fixture
def backlog(monkeypatch):
    """Nothing of the backlog is submitted until this event is set."""
    released, submit_backlog = threading.Event(), RelayServer._submit_backlog
    monkeypatch.setattr(
        RelayServer, "_submit_backlog", lambda server: submit_backlog(server) if released.is_set() else None
    )
    return released


def test_a_packet_accepted_during_the_backlog_is_sent_after_those_of_its_key_in_it(
    tmp_path, monkeypatch, backlog
):
    write_owed_packets(tmp_path / "state", 1, profile=b"marked", key=b"k")
    platform = Platform(hosts=1)
    platform.decide = lambda call: [0.2, reply(200)]  # long enough to overlap with another call

    async def steps(relay):
        await submit_messages(relay, "fresh", profile="marked", **{"Cookie": "about=k"})
        assert not platform.calls
        backlog.set()
        relay.server.request_turn()
        await relay.until(lambda: not relay.server._journal.owed)
        assert [call.id for call in platform.calls] == ["p0", "fresh"]
        assert platform.calls[1].at - platform.calls[0].at >= 0.2 and not platform.notifications

    run_with_relay(platform, tmp_path, monkeypatch, steps)


def test_no_more_packets_are_accepted_during_the_backlog_than_the_table_holds(tmp_path, monkeypatch, backlog):
    most = CONFIG["ceilings"]["max-open"]
    write_owed_packets(tmp_path / "state", most - 1)  # as many as one process can leave behind

    async def steps(relay):
        (client,) = await relay.connect_clients()
        client.send(request("fits", dest=9) + request("more", dest=9) + request("p1", dest=9))
        assert await client.statuses(3) == [202, 503, 202]  # the last one is known already
        backlog.set()
        relay.server.request_turn()
        await relay.until(lambda: platform.notifications)
        # When the last one fills the table, the packet of least value is dismissed; never tried, it may be
        # retried.
        assert [notice["result"] for notice in platform.notifications] == ["bounced"]
        assert len(relay.server._engine._relay._packets) == most - 1

    platform = Platform(hosts=1)
    platform.decide = lambda call: None  # all of it stays open
    run_with_relay(platform, tmp_path, monkeypatch, steps)


def read_inode(folder):
    return (folder / FILE_NAME).stat().st_ino


def test_a_start_does_not_rewrite_an_undamaged_file_of_mostly_owed_packets(tmp_path):
    write_owed_packets(tmp_path, 100)
    before = read_inode(tmp_path)
    journal = Journal(tmp_path, 1 << 20, 1 << 19, print)
    assert read_inode(tmp_path) == before and len(journal.owed) == 100
    journal.record_ended(journal.owed[1])
    journal.close()
    again = Journal(tmp_path, 1 << 20, 1 << 19, print)
    assert read_inode(tmp_path) == before and min(again.owed) == 2 and not again.torn_bytes
    again.close()


@pytest.mark.parametrize("fault", ["torn", "mostly-over", "too-large"])
def test_a_start_rewrites_a_file_that_it_can_not_continue(tmp_path, fault):
    write_owed_packets(tmp_path, 100)
    journal = Journal(tmp_path, 1 << 20, 1 << 19, print)
    for message in list(journal.owed.values())[: 95 if fault == "mostly-over" else 0]:
        journal.record_ended(message)
    left = list(journal.owed)
    journal.close()
    path, most = tmp_path / FILE_NAME, 1 << 20
    if fault == "torn":
        path.write_bytes(path.read_bytes() + b"half a record")
    if fault == "too-large":
        most = path.stat().st_size * 3 // 2  # a limit that was lowered before the restart
    before = read_inode(tmp_path)
    again = Journal(tmp_path, most, most, print)
    assert read_inode(tmp_path) != before and list(again.owed) == left
    again.record_accepted(OwedMessage(b"new", b"again", b"", b"", b"", 0, 0, b""))
    again.close()
    last = Journal(tmp_path, most, most, print)
    assert list(last.owed) == [*left, max(left) + 1] and not last.torn_bytes
    last.close()
