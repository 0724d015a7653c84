"""The deduplication window at its shortest (1 s), across a restart and the clocks of both processes.

A repeat after the window would take effect a second time (rule 2); the age of an attempt has to survive a
wall clock that is set, a reboot and files of earlier builds.
"""

from collections import deque
from dataclasses import replace
from types import SimpleNamespace

import pytest
from rig import CONFIG, PROFILES, STEP, Platform, entry, settings

from millweir.facade import DecisionEngine
from millweir.interface import MILLISECOND, SECOND, Change, Effect, Limits
from millweir.net import clock
from millweir.net.concurrent.key_turns import KeyTurns
from millweir.net.counters import Counters
from millweir.net.desk import RelayServer
from millweir.net.journal import FILE_NAME, Journal
from millweir.net.log import Log
from millweir.net.owed_message import ENDED_KIND, ENDED_RECORD, FRAME_HEADER, OwedMessage
from millweir.net.service_classes import ServiceClasses
from net.inside import run_with_relay
from net.test_calls import HOLD_TIME_NS, advance_clock, submit_messages, wait_for_held_call

WINDOW = SECOND
MARGIN = 2 * STEP
MAX_AGE = WINDOW - MARGIN - 1  # the greatest age at which a repeat may still go out
NOW = 1_000 * SECOND
WALL_AHEAD = 1_700_000_000 * SECOND
BOOT = b"b" * 16
OTHER_BOOT = b"o" * 16
SETTINGS = settings(profiles=tuple(replace(profile, dedup_window=WINDOW) for profile in PROFILES))
REFERENCED = next(at for at, profile in enumerate(PROFILES) if profile.effect is Effect.IDEMPOTENT_BY_KEY)


class Machine:
    """A machine whose clocks the test sets; its processes run one after the other in the same folder."""

    def __init__(self, monkeypatch, folder):
        self.patch, self.folder = monkeypatch, folder
        self.set(NOW, WALL_AHEAD, BOOT)

    def set(self, steady, wall_ahead, boot):
        self.steady, self.ahead, self.boot = steady, wall_ahead, boot
        self.patch.setattr(clock, "monotonic_ns", lambda: steady)
        self.patch.setattr(clock, "_WALL_OFFSET_NS", wall_ahead)
        self.patch.setattr(clock, "read_boot_id", lambda: boot)

    def journal(self):
        return Journal(self.folder, 500_000, 400_000, print)

    def leave_attempt(self, age):
        """Run a process that sent one keyed packet `age` ago and was killed before its answer."""
        journal = self.journal()
        deadline = clock.to_wall(NOW + 15 * SECOND)
        message = OwedMessage(b"p", b"marked", b"", b"", b"mark", 0, deadline, b"body")
        journal.record_accepted(message)
        journal.record_trips([message], clock.to_wall(NOW - age))
        journal.close()

    def restart(self, listed=True):
        """Start the next process as far as its decision engine, with everything that the folder held."""
        journal = self.journal()
        engine = DecisionEngine(SETTINGS, Limits(256, 1 << 20, 64 << 20), 1, self.steady)
        if listed:
            host = replace(entry(0, 0, kind=1), host=b"h0")
            engine.update_hosts(self.steady, Change.CACHED, (host,))
        server = RelayServer.__new__(RelayServer)
        server._engine, server._bounds, server._counters = engine, engine.bounds, Counters()
        server._is_closed = False
        server._owed, server._backlog = {}, deque()
        server._log = Log(200)
        server._service_classes, server._tenant_numbers = ServiceClasses(SETTINGS, engine), {}
        server._service_classes._by_name = {b"marked": REFERENCED}
        server._concurrent = SimpleNamespace(turns=KeyTurns(0, server._service_classes.keeps_order))
        for message in journal.owed.values():
            server._restore_message(message)
        server._submit_backlog()
        journal.close()
        engine.tick(self.steady)
        return engine


@pytest.fixture
def machine(monkeypatch, tmp_path):
    return Machine(monkeypatch, tmp_path)


def pop_decision(engine):
    """The outcome of the only packet: repeated, errored (it may have run), dismissed or still held."""
    ending = engine.pop_ended()
    if ending:
        return "dismissed" if ending.again else "errored"
    return "repeated" if engine.pop_job() else "held"


@pytest.mark.parametrize(
    "age, end",
    [
        (0, "repeated"),
        (WINDOW // 2, "repeated"),
        (MAX_AGE, "repeated"),
        (MAX_AGE + 1, "errored"),
        (WINDOW, "errored"),
        (2 * WINDOW, "errored"),
    ],
)
def test_an_attempt_from_before_a_restart_is_repeated_only_within_the_window(machine, age, end):
    machine.leave_attempt(age)
    assert pop_decision(machine.restart()) == end


@pytest.mark.parametrize(
    "age, set_back, end",
    [
        (WINDOW // 2, SECOND // 5, "repeated"),
        (WINDOW // 2, 3600 * SECOND, "repeated"),  # the monotonic clock still gives its age
        (MAX_AGE, SECOND // 5, "repeated"),
        (MAX_AGE + 1, SECOND // 5, "errored"),
        (WINDOW * 6 // 5, SECOND // 5 * 4, "errored"),  # 0.4 s old by the wall clock alone
        (60 * WINDOW, 60 * WINDOW, "errored"),
        (WINDOW // 2, -SECOND // 5, "repeated"),  # set ahead: older by the wall clock
        (WINDOW // 2, -SECOND // 2, "errored"),
        (0, -3600 * SECOND, "errored"),
    ],
)
def test_a_wall_clock_set_between_two_processes_makes_no_attempt_younger(machine, age, set_back, end):
    machine.leave_attempt(age)
    machine.set(NOW, WALL_AHEAD - set_back, BOOT)
    assert pop_decision(machine.restart()) == end


@pytest.mark.parametrize("age, end", [(WINDOW // 2, "repeated"), (WINDOW * 6 // 5, "errored")])
def test_a_wall_clock_set_back_before_each_of_two_restarts_makes_no_attempt_younger(machine, age, end):
    machine.leave_attempt(age)
    machine.set(NOW, WALL_AHEAD - SECOND // 2, BOOT)
    machine.journal().close()  # a process that was killed before it had decided anything
    machine.set(NOW, WALL_AHEAD - SECOND, BOOT)
    assert pop_decision(machine.restart()) == end


def test_each_process_that_continues_a_file_records_times_by_its_own_clocks(machine):
    machine.leave_attempt(WINDOW // 2)
    machine.set(NOW, WALL_AHEAD - SECOND // 4, BOOT)
    journal = machine.journal()
    deadline = clock.to_wall(NOW + 15 * SECOND)
    message = OwedMessage(b"q", b"marked", b"", b"", b"mark", 0, deadline, b"body")
    journal.record_accepted(message)
    journal.record_trips([message], clock.to_wall(NOW - WINDOW // 2))
    journal.close()
    machine.set(NOW, WALL_AHEAD - SECOND // 2, BOOT)
    journal = machine.journal()
    assert [clock.from_wall(p.trips[0][0]) for p in journal.owed.values()] == [NOW - WINDOW // 2] * 2
    journal.close()


@pytest.mark.parametrize("boot", [OTHER_BOOT, b""], ids=["rebooted", "boot-unknown"])
def test_an_attempt_from_before_a_boot_is_of_unknown_age(machine, boot):
    machine.leave_attempt(WINDOW // 2)
    machine.set(NOW, WALL_AHEAD, boot)
    assert pop_decision(machine.restart()) == "errored"


def test_an_attempt_is_of_unknown_age_where_boots_can_not_be_distinguished(machine):
    machine.set(NOW, WALL_AHEAD, b"")
    machine.leave_attempt(0)
    assert pop_decision(machine.restart()) == "errored"


def test_an_attempt_in_a_file_without_a_clock_record_is_of_unknown_age(machine):
    machine.leave_attempt(0)
    path = machine.folder / FILE_NAME
    raw = path.read_bytes()
    # Without its first record, as an earlier build wrote it.
    path.write_bytes(raw[FRAME_HEADER.size + FRAME_HEADER.unpack_from(raw)[0] :])
    assert pop_decision(machine.restart()) == "errored"


def test_earlier_builds_skip_the_record_of_the_clock(machine):
    # They skip any record with the number of a message that is not owed, and read on.
    machine.journal().close()
    raw = (machine.folder / FILE_NAME).read_bytes()
    assert (
        ENDED_RECORD.unpack_from(raw, FRAME_HEADER.size)[0] > ENDED_KIND
        and ENDED_RECORD.unpack_from(raw, FRAME_HEADER.size)[1] == 0
    )


@pytest.mark.parametrize("listed, end", [(False, "errored"), (True, "repeated")])
def test_an_attempt_held_for_its_destination_ends_with_the_window(machine, listed, end):
    machine.leave_attempt(WINDOW // 2)
    engine = machine.restart(listed=False)
    window_end = NOW - WINDOW // 2 + WINDOW - MARGIN
    assert engine.tick(NOW) <= window_end
    engine.tick(window_end - 1)
    assert pop_decision(engine) == "held"
    if listed:
        host = replace(entry(0, 0, kind=1), host=b"h0")
        engine.update_hosts(window_end - 1, Change.DELTA, (host,))
        engine.tick(window_end - 1)
    else:
        engine.tick(window_end)
    assert pop_decision(engine) == end


def test_a_repeat_whose_connection_opens_after_the_window_may_not_be_written(machine):
    machine.leave_attempt(WINDOW // 2)
    engine = machine.restart()
    (part,) = engine.pop_job().parts
    window_end = NOW - WINDOW // 2 + WINDOW - MARGIN
    assert engine.may_write(window_end - 1, part) and not engine.may_write(window_end, part)


def test_the_window_counts_from_the_first_byte_of_a_call_not_from_its_last(tmp_path, monkeypatch):
    platform = Platform(hosts=1)
    platform.decide = lambda call: None  # no answer

    async def steps(relay):
        await submit_messages(relay, "p", profile="marked")
        await wait_for_held_call(relay)
        written_by = clock.to_wall(clock.monotonic_ns())
        await relay.until(lambda: platform.sent("p"))
        (message,) = relay.server._journal.owed.values()
        assert [sent_at <= written_by for sent_at, _ in message.trips] == [True]

    run_with_relay(platform, tmp_path, monkeypatch, steps, last_byte_hold_ns=HOLD_TIME_NS)


def test_a_repeat_past_the_window_once_its_attempt_is_journalled_is_not_sent(tmp_path, monkeypatch):
    platform, record_trips = Platform(hosts=1), Journal.record_trips
    platform.decide = lambda call: "reset"

    def slow_record_trips(journal, messages, at):
        record_trips(journal, messages, at)
        if messages[0].trips[1:]:
            advance_clock(monkeypatch, 7 * SECOND)  # the deduplication window is 6 s

    monkeypatch.setattr(Journal, "record_trips", slow_record_trips)

    async def steps(relay):
        await submit_messages(relay, "p", profile="marked")
        await relay.until(lambda: platform.notification_results("p"))
        assert platform.notification_results("p") == ["dead"] and len(platform.calls) == 1

    run_with_relay(platform, tmp_path, monkeypatch, steps)


def test_a_call_withheld_after_it_was_journalled_is_recorded_as_never_run(tmp_path, monkeypatch):
    platform, record_trips, seen = Platform(hosts=1), Journal.record_trips, []

    def slow_record_trips(journal, messages, at):
        record_trips(journal, messages, at)
        if not seen:
            until = clock.monotonic_ns() + SECOND // 2
            seen.append((messages[0], until))
            relays[0].server._engine.apply_retry_after(clock.monotonic_ns(), b"h0", until)

    monkeypatch.setattr(Journal, "record_trips", slow_record_trips)
    relays = []

    async def steps(relay):
        relays.append(relay)
        await submit_messages(relay, "p", profile="once")
        await relay.until(lambda: platform.sent("p"))
        message, until = seen[0]
        assert [never_ran for _, never_ran in message.trips] == [1, 0] and len(platform.calls) == 1
        assert platform.calls[0].at * SECOND >= until

    run_with_relay(platform, tmp_path, monkeypatch, steps)


def test_an_attempt_that_only_a_clock_set_back_makes_young_is_not_repeated(tmp_path, monkeypatch):
    folder, set_back = tmp_path / "state", 800 * MILLISECOND
    folder.mkdir()
    wall_ahead = clock.wall_offset()
    monkeypatch.setattr(clock, "_WALL_OFFSET_NS", wall_ahead + set_back)
    journal = Journal(folder, 500_000, 400_000, print)
    deadline = clock.to_wall(clock.monotonic_ns() + 15 * SECOND)
    message = OwedMessage(b"p", b"marked", b"", b"", b"mark", 0, deadline, b"body")
    journal.record_accepted(message)
    journal.record_trips([message], clock.to_wall(clock.monotonic_ns() - WINDOW))
    journal.close()
    monkeypatch.setattr(clock, "_WALL_OFFSET_NS", wall_ahead)
    grades = [dict(grade, **{"dedup-window-us": WINDOW // 1000}) for grade in CONFIG["grades"]]
    platform = Platform(hosts=1)

    async def steps(relay):
        await relay.until(lambda: platform.notification_results("p") or platform.sent("p"))
        assert platform.notification_results("p") == ["dead"] and not platform.sent("p")

    run_with_relay(platform, tmp_path, monkeypatch, steps, {"settings": CONFIG | {"grades": grades}})
