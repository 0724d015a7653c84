"""Unit tests of the network code: journal, HTTP readers, host list, calls, log, lag, shared waits."""

import asyncio
import random
from dataclasses import replace

import pytest
from rig import Platform, entry, settings

from millweir.facade import DecisionEngine
from millweir.interface import SECOND, Change, Limits, Outcome, Phase
from millweir.net import clock
from millweir.net.address_owners import ListedHost
from millweir.net.counters import Counters
from millweir.net.discovery import InvalidHostList, decode_host_list
from millweir.net.heads import ResponseReader, parse_duration, parse_retry_after
from millweir.net.hosts import HostConnections
from millweir.net.journal import FILE_NAME, Journal
from millweir.net.lag import LoopLag
from millweir.net.log import Log
from millweir.net.owed_message import NEVER_RAN_KIND, NEVER_RAN_RECORD, OwedMessage, encode_frames
from millweir.net.request_reader import RequestReader
from millweir.net.retry_after import RetryAfterStore


def message(name, body=b""):
    return OwedMessage(name, b"again", b"", b"k", b"m", 3, 99, body)


def describe_owed(journal):
    return [
        (p.number, *p.text_fields, p.body, p.deadline, p.destination, p.trips, p.given_up)
        for p in journal.owed.values()
    ]


@pytest.mark.parametrize("seed", range(6))
def test_journal_restores_owed_messages_from_a_truncated_file(seed, tmp_path):
    rng = random.Random(seed)
    journal = Journal(tmp_path, 20_000, 15_000, print)
    path, steps, ended = tmp_path / FILE_NAME, [], []
    for n in range(400):
        owed = list(journal.owed.values())
        step = rng.choice("ttrvgool")
        if step == "l" and ended:
            journal.record_never_ran(ended[-1], 0)  # a late record, perhaps of an ended message
        elif step == "t" and journal.free_bytes > 2500:
            journal.record_accepted(message(b"p%d" % n, rng.randbytes(rng.randrange(2000))))
        elif owed and (p := rng.choice(owed)):
            if step == "r":
                journal.record_trips([p], n)
            elif step == "v" and p.trips:
                journal.record_never_ran(p, rng.randrange(len(p.trips)))
                ended.append(p)
            elif step == "g":
                journal.record_given_up(p, rng.random() < 0.5, n)
            elif step == "o":
                journal.record_ended(p)
        size = path.stat().st_size
        assert size <= 20_000 and size + 15_000 <= 40_000
        if steps and size < steps[-1][0]:
            steps.clear()  # compaction replaced the file
        steps.append((size, repr(describe_owed(journal))))
    raw = path.read_bytes()
    journal.close()  # as when the process is killed: its locks end with it
    for length in [len(raw), *(rng.randrange(steps[0][0], len(raw) + 1) for _ in range(20))]:
        path.write_bytes(raw[:length])
        again = Journal(tmp_path, 20_000, 15_000, print)
        again.close()
        snapshots = [snapshot for size, snapshot in steps if size <= length]
        assert repr(describe_owed(again)) == snapshots[-1]
        assert again.free_bytes == 15_000 - sum(p.size for p in again.owed.values())
        assert again.torn_bytes == length - max(size for size, _ in steps if size <= length)


def test_damaged_journal_keeps_the_records_before_the_damage(tmp_path):
    journal = Journal(tmp_path, 20_000, 15_000, print)
    for n in range(3):
        journal.record_accepted(message(b"p%d" % n))
    raw = bytearray((tmp_path / FILE_NAME).read_bytes())
    raw[len(raw) // 2] ^= 1
    (tmp_path / FILE_NAME).write_bytes(raw)
    journal.close()
    assert [p.id for p in Journal(tmp_path, 20_000, 15_000, print).owed.values()] == [b"p0"]


def test_late_record_of_an_ended_message_does_not_hide_later_records(tmp_path):
    journal = Journal(tmp_path, 20_000, 15_000, print)
    first, second = message(b"a"), message(b"b")
    journal.record_accepted(first)
    journal.record_trips([first], 1)
    journal.record_ended(first)
    journal.record_never_ran(first, 0)
    with open(tmp_path / FILE_NAME, "ab") as file:  # as earlier versions wrote it
        file.write(encode_frames([NEVER_RAN_RECORD.pack(NEVER_RAN_KIND, first.number, 0)]))
    journal.record_accepted(second)
    journal.close()
    again = Journal(tmp_path, 20_000, 15_000, print)
    assert [p.id for p in again.owed.values()] == [b"b"] and not again.torn_bytes


def test_journal_numbering_continues_after_a_restart(tmp_path):
    journal = Journal(tmp_path, 20_000, 15_000, print)
    journal.record_accepted(message(b"a"))
    journal.close()
    again = Journal(tmp_path, 20_000, 15_000, print)
    again.record_accepted(message(b"b"))
    again.close()
    assert [p.id for p in Journal(tmp_path, 20_000, 15_000, print).owed.values()] == [b"a", b"b"]


@pytest.mark.parametrize("seed", range(4))
def test_requests_parse_alike_however_their_bytes_are_split(seed):
    rng = random.Random(seed)
    raw = b"".join(
        b"POST /api HTTP/1.1\r\nx-correlation-id: i%d\r\nX-Service-Class: c\r\nX-Time-Left: 7u\r\n"
        b"Cookie: a=1; about=k%d\r\nX-Addressing: x=1, dest=%d\r\nContent-Length: %d\r\n\r\n%b"
        % (n, n, n, n * 300, b"x" * n * 300)
        for n in range(6)
    )
    reader, at, requests = RequestReader(1000, 1 << 16), 0, []
    while at < len(raw):
        size = rng.choice((1, 7, 400, 2000))
        reader.feed(raw[at : at + size])
        while request := reader.read_request():
            requests.append(request)
        at += size
    assert not reader.mid_request and not reader.ended and not reader.held_bytes
    assert [(r.id, r.key, r.destination, r.remaining_time, len(r.body)) for r in requests] == [
        (b"i%d" % n, b"k%d" % n, n, 7000, n * 300) for n in range(6)
    ]


def test_durations_and_retry_after_values():
    assert parse_duration(b"480m") == 480_000_000 and parse_duration(b"15u") == 15_000
    for wrong in (b"", b"m", b"-1m", b"1s", b"1.5m", b"\xb2m"):
        with pytest.raises(ValueError, match="not a duration"):
            parse_duration(wrong)
    assert parse_retry_after(b"0.25") == SECOND // 4
    assert {parse_retry_after(wrong) for wrong in (b"nan", b"inf", b"-1", b"soon", b"1e99")} == {0}


def test_response_over_the_size_limit_is_rejected():
    reader = ResponseReader(100)
    assert reader.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n")
    assert not reader.feed(b"x" * 200)


@pytest.mark.parametrize(
    "change",
    [
        {"address": "nowhere"},
        {"status": "LOST"},
        {"group": "north"},
        {"weight": []},
        {"name": 7},
        {"address": "a:99999"},
        {"weight": float("inf")},
        {"weight": float("nan")},
        {"weight": -1},
    ],
)
def test_an_invalid_entry_rejects_the_whole_list(change):
    listed = Platform(hosts=2).list()
    assert len(decode_host_list(listed, settings()).entries) == 12
    listed["endpoints"][11] |= change
    with pytest.raises(InvalidHostList):
        decode_host_list(listed, settings())


def test_a_packet_is_not_written_after_its_end_or_a_wait_or_drain_of_its_host():
    # While a connection takes long to open, its packet may end (rule 1: one final outcome), its host may be
    # drained (rule 3: nothing is sent after the grace period) or send a retry-after (rule 6: it is binding).
    engine = DecisionEngine(settings(), Limits(256, 1 << 20, 1 << 26), 1, SECOND)
    rows = tuple(replace(entry(n, 0, kind=1, rate=100.0), host=b"h%d" % n) for n in range(3))
    engine.update_hosts(SECOND, Change.CACHED, rows)
    for host in engine._relay._hosts.values():
        host.last_success_at = 1  # otherwise only one call at a time is made
    for n in range(3):
        engine.add_packet(SECOND, f"p{n}", 2, 0, 0, 9 * SECOND, n)
        engine.add_packet(SECOND, f"q{n}", 2, 0, 0, 9 * SECOND, n)
    assert engine.tick(SECOND) > SECOND
    jobs = {}
    while job := engine.pop_job():
        jobs.setdefault(job.host, []).append(job.parts[0])
    (first, waiting), (drained, _), (ended, _) = jobs.values()
    now = SECOND + SECOND // 10
    engine.report_outcome(now, first, Outcome.FULL, wait=SECOND)
    gone = next(row for row in rows if row.host.decode() == drained.job.host)
    engine.update_hosts(now, Change.DELTA, (replace(gone, phase=Phase.DRAINING),))
    engine.report_outcome(now, ended, Outcome.FULFILLED, finished=True)
    assert not engine.may_write(now, waiting) and engine.may_write(now, drained)
    assert engine.may_write(now + SECOND, waiting) and not engine.may_write(now + SECOND, drained)
    assert not engine.may_write(now, ended)


class Peer(asyncio.Protocol):
    """A host in this process; `first` is called with the transport when its first bytes arrive."""

    def __init__(self, calls, first=None):
        self.read, self.calls, self.first = b"", calls, first

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        if self.first and not self.read:
            self.first(self.transport)
        self.read += data
        if self.read.endswith(b"body"):
            self.calls.append(self.read)
            self.read = b""
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")


def run_call(folder, first, after, hold):
    """Send a non-idempotent packet to a Peer; return outcomes, journaled trips and the calls received."""
    now, calls, outcomes = clock.monotonic_ns(), [], []
    engine = DecisionEngine(settings(), Limits(256, 1 << 20, 1 << 26), 1, now)
    owed = message(b"p", b"body")
    listed = replace(entry(owed.destination, 0, kind=1), host=b"h0")
    engine.update_hosts(now, Change.CACHED, (listed,))
    journal = Journal(folder, 20_000, 15_000, print)
    journal.record_accepted(owed)

    async def make_call():
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: Peer(calls, first), "127.0.0.1", 0)
        hosts = HostConnections(
            loop,
            replace(engine.bounds, last_byte_hold_ns=hold),
            SECOND,
            journal,
            lambda *_: True,
            lambda part, outcome, *_: outcomes.append(outcome),
            lambda part, final_answer, proven: None,
            lambda answer, settlement: None,
            lambda host, wait: None,
            Log(100),
            Counters(),
        )
        hosts.update_hosts({"h0": ListedHost(listed, server.sockets[0].getsockname())}, [])
        engine.add_packet(now, owed, 2, 0, 0, now + 9 * SECOND, owed.destination)
        engine.tick(now)
        hosts.start_call(engine.pop_job())
        await asyncio.sleep(0.05)
        after(hosts, journal)
        while not outcomes:
            await asyncio.sleep(0.01)
        hosts.update_hosts({}, ["h0"])
        await asyncio.sleep(0.01)
        assert not hosts._pools and not hosts._idle and not hosts._calls
        hosts.close()
        server.close()

    asyncio.run(asyncio.wait_for(make_call(), 5))
    journal.close()
    return outcomes, [p.trips for p in Journal(folder, 20_000, 15_000, print).owed.values()], calls


def test_a_call_whose_connection_ends_before_its_last_byte_never_ran(tmp_path):
    ended = run_call(tmp_path, lambda transport: transport.abort(), lambda hosts, journal: None, 60 * SECOND)
    assert ended == ([Outcome.CUT_OFF], [[]], [])


def test_a_trip_is_journaled_before_its_last_byte_and_a_removed_host_keeps_no_connection(tmp_path):
    def after(hosts, journal):
        assert not next(iter(journal.owed.values())).trips
        hosts.update_hosts({}, ["h0"])  # the host is removed while the call is in flight

    outcomes, trips, calls = run_call(tmp_path, None, after, SECOND // 5)
    assert outcomes == [Outcome.FULFILLED] and len(trips[0]) == 1 and len(calls) == 1


def test_a_tick_returns_only_future_times():
    # A loop timer must not spin on a past time, and must not be lost when it fires early.
    engine = DecisionEngine(settings(), Limits(256, 1 << 20, 1 << 26), 1, SECOND)
    engine.add_packet(SECOND, "p", 0, 0, 0, 3 * SECOND, 9)
    due = engine.tick(SECOND)
    assert due > SECOND and engine.tick(due - 1) == due
    assert engine.tick(due) == 0 and engine.pop_ended().item == "p"


def test_log_drops_lines_beyond_its_rate_and_reports_their_number(capsys, monkeypatch):
    now = [0]
    monkeypatch.setattr("millweir.net.clock.monotonic_ns", lambda: now[0])
    log = Log(3)
    for n in range(10):
        log.info(f"line {n}")
    now[0] = 2 * SECOND
    log.info("later")
    lines = [line.split(" ", 1)[1] for line in capsys.readouterr().err.splitlines()]
    assert lines == ["line 0", "line 1", "line 2", "log dropped=7", "later"]


def test_lag_is_the_longest_recent_wait_and_expires():
    lag = LoopLag(SECOND, 0)
    lag.record(SECOND // 2, 300)
    lag.record(SECOND // 2, 100)
    assert lag.current(SECOND // 2) == lag.current(2 * SECOND - 1) == 300
    lag.record(2 * SECOND, 50)
    assert lag.current(2 * SECOND) == lag.current(4 * SECOND - 1) == 50
    assert lag.current(4 * SECOND) == 0


def test_a_process_beside_another_has_its_own_journal_and_adopts_the_other_after_its_end(tmp_path):
    # During an upgrade each message has one final outcome (rule 1) and takes effect once (rule 2): the new
    # process sends nothing that the old one owes while that runs, and takes over all of it once it has ended.
    old = Journal(tmp_path, 20_000, 15_000, print)
    old.record_accepted(message(b"a"))
    new = Journal(tmp_path, 20_000, 15_000, print)
    assert new.slot != old.slot and not new.owed and not new.adopt_orphans()
    old.record_accepted(message(b"b"))
    new.record_accepted(message(b"c"))
    old.close()  # it exited, or was killed
    assert sorted(p.id for p in new.adopt_orphans()) == [b"a", b"b"]
    assert sorted(p.id for p in new.owed.values()) == [b"a", b"b", b"c"]
    new.close()
    assert sorted(p.id for p in Journal(tmp_path, 20_000, 15_000, print).owed.values()) == [b"a", b"b", b"c"]


def test_retry_after_waits_survive_a_chain_of_processes_and_reach_hosts_listed_later(tmp_path):
    # A retry-after is binding over upgrades (rule 6): one received by the first process binds the third, also
    # for a host that is listed there only after the wait was read.
    applied_to = []

    class DecisionEngine:
        def apply_retry_after(self, now, host, until):
            applied_to.append(host)

    class Loop:
        def call_later(self, *_):
            pass

        call_soon = call_later

    def process(slot):
        return RetryAfterStore(Loop(), tmp_path, slot, DecisionEngine(), lambda: None, Log(100))

    first = process(0)
    first.record_wait("h1", 30 * SECOND)
    second = process(1)
    second.start()  # the first still runs beside it
    assert applied_to == [b"h1"]
    third = process(0)  # the first has ended; the third takes its slot
    (tmp_path / "journal.waits").unlink()
    applied_to.clear()
    third.start()
    assert applied_to == [b"h1"]  # from the second's file, which includes the waits it read
    applied_to.clear()
    third.apply_to_hosts(["h2"])
    assert not applied_to  # it never sent a retry-after
    third.apply_to_hosts(["h2", "h1"])
    assert applied_to == [b"h1"]
