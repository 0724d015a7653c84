"""The window of repeats at its shortest (1 s), over a restart and by the clocks of both lives."""

from collections import deque
from dataclasses import replace

import pytest
from rig import CONFIG, PROFILES, STEP, Platform, entry, settings

from millweir.facade import DecisionEngine
from millweir.interface import MILLISECOND, SECOND, Change, Effect, Limits
from millweir.net import clock
from millweir.net.counters import Counters
from millweir.net.desk import Desk
from millweir.net.journal import FILE, FRAME, OVER, OVER_KIND, Journal, OwedMessage
from millweir.net.log import Log
from millweir.net.service_classes import ServiceClasses
from net.inside import run_with_relay
from net.test_calls import HOLD_TIME_NS, advance_clock, submit_messages, wait_for_held_call

WINDOW = SECOND
MARGIN = 2 * STEP
LAST = WINDOW - MARGIN - 1  # the greatest age at which a repeat may still go out
NOW = 1_000 * SECOND
WALL_AHEAD = 1_700_000_000 * SECOND
BOOT = b"b" * 16
OTHER_BOOT = b"o" * 16
SETTINGS = settings(profiles=tuple(replace(profile, dedup_window=WINDOW) for profile in PROFILES))
REFERENCED = next(at for at, profile in enumerate(PROFILES) if profile.effect is Effect.IDEMPOTENT_BY_KEY)


class Machine:
    """A machine whose clocks the test sets; each life is one process on it, with the same folder."""

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
        """A life that sent one keyed packet so long ago, and was killed before its answer."""
        journal = self.journal()
        stop = clock.to_wall(NOW + 15 * SECOND)
        message = OwedMessage(b"p", b"marked", b"", b"", b"mark", 0, stop, b"body")
        journal.taken(message)
        journal.trip([message], clock.to_wall(NOW - age))
        journal.close()

    def restart(self, listed=True):
        """The next life, as far as its decisions: the facade with all that the folder held."""
        journal = self.journal()
        engine = DecisionEngine(SETTINGS, Limits(256, 1 << 20, 64 << 20), 1, self.steady)
        if listed:
            host = replace(entry(0, 0, kind=1), host=b"h0")
            engine.update_hosts(self.steady, Change.CACHED, (host,))
        desk = Desk.__new__(Desk)
        desk._engine, desk._bounds, desk._counters = engine, engine.bounds, Counters()
        desk._owed, desk._backlog = {}, deque()
        desk._log = Log(200)
        desk._classes, desk._tenants = ServiceClasses(SETTINGS, engine), {}
        desk._classes._by_name = {b"marked": REFERENCED}
        for message in journal.owed.values():
            desk._restore(message)
        desk._work_off_backlog()
        journal.close()
        engine.tick(self.steady)
        return engine


@pytest.fixture
def machine(monkeypatch, tmp_path):
    return Machine(monkeypatch, tmp_path)


def decision(engine):
    """What became of the one packet: repeated, errored (nothing is promised), dismissed or still held."""
    ending = engine.pop_ended()
    if ending:
        return "dismissed" if ending.again else "errored"
    return "repeated" if engine.pop_job() else "held"


@pytest.mark.parametrize(
    "age, end",
    [
        (0, "repeated"),
        (WINDOW // 2, "repeated"),
        (LAST, "repeated"),
        (LAST + 1, "errored"),
        (WINDOW, "errored"),
        (2 * WINDOW, "errored"),
    ],
)
def test_an_attempt_of_an_earlier_life_is_repeated_inside_the_window_alone(machine, age, end):
    machine.leave_attempt(age)
    assert decision(machine.restart()) == end


@pytest.mark.parametrize(
    "age, set_back, end",
    [
        (WINDOW // 2, SECOND // 5, "repeated"),
        (WINDOW // 2, 3600 * SECOND, "repeated"),  # the steady clock still tells its age
        (LAST, SECOND // 5, "repeated"),
        (LAST + 1, SECOND // 5, "errored"),
        (WINDOW * 6 // 5, SECOND // 5 * 4, "errored"),  # 0.4 s old by the wall clock alone
        (60 * WINDOW, 60 * WINDOW, "errored"),
        (WINDOW // 2, -SECOND // 5, "repeated"),  # set ahead: older by the wall clock
        (WINDOW // 2, -SECOND // 2, "errored"),
        (0, -3600 * SECOND, "errored"),
    ],
)
def test_a_wall_clock_set_between_two_lives_makes_no_attempt_younger(machine, age, set_back, end):
    machine.leave_attempt(age)
    machine.set(NOW, WALL_AHEAD - set_back, BOOT)
    assert decision(machine.restart()) == end


@pytest.mark.parametrize("age, end", [(WINDOW // 2, "repeated"), (WINDOW * 6 // 5, "errored")])
def test_a_wall_clock_set_back_before_each_of_two_restarts_makes_no_attempt_younger(machine, age, end):
    machine.leave_attempt(age)
    machine.set(NOW, WALL_AHEAD - SECOND // 2, BOOT)
    machine.journal().close()  # a life that was killed before it had decided anything
    machine.set(NOW, WALL_AHEAD - SECOND, BOOT)
    assert decision(machine.restart()) == end


def test_each_life_that_goes_on_with_a_file_tells_times_by_its_own_clocks(machine):
    machine.leave_attempt(WINDOW // 2)
    machine.set(NOW, WALL_AHEAD - SECOND // 4, BOOT)
    journal = machine.journal()
    stop = clock.to_wall(NOW + 15 * SECOND)
    message = OwedMessage(b"q", b"marked", b"", b"", b"mark", 0, stop, b"body")
    journal.taken(message)
    journal.trip([message], clock.to_wall(NOW - WINDOW // 2))
    journal.close()
    machine.set(NOW, WALL_AHEAD - SECOND // 2, BOOT)
    journal = machine.journal()
    assert [clock.from_wall(p.trips[0][0]) for p in journal.owed.values()] == [NOW - WINDOW // 2] * 2
    journal.close()


@pytest.mark.parametrize("boot", [OTHER_BOOT, b""], ids=["rebooted", "boot-untold"])
def test_an_attempt_from_before_a_boot_is_of_any_age(machine, boot):
    machine.leave_attempt(WINDOW // 2)
    machine.set(NOW, WALL_AHEAD, boot)
    assert decision(machine.restart()) == "errored"


def test_where_no_boot_can_be_told_apart_an_attempt_is_of_any_age(machine):
    machine.set(NOW, WALL_AHEAD, b"")
    machine.leave_attempt(0)
    assert decision(machine.restart()) == "errored"


def test_an_attempt_in_a_file_that_names_no_clock_is_of_any_age(machine):
    machine.leave_attempt(0)
    path = machine.folder / FILE
    raw = path.read_bytes()
    path.write_bytes(raw[FRAME.size + FRAME.unpack_from(raw)[0] :])  # as an earlier build wrote it
    assert decision(machine.restart()) == "errored"


def test_earlier_builds_skip_the_record_of_the_clock(machine):
    # They skip a record of any kind whose number they do not owe, and read on.
    machine.journal().close()
    raw = (machine.folder / FILE).read_bytes()
    assert OVER.unpack_from(raw, FRAME.size)[0] > OVER_KIND and OVER.unpack_from(raw, FRAME.size)[1] == 0


@pytest.mark.parametrize("listed, end", [(False, "errored"), (True, "repeated")])
def test_an_attempt_held_for_its_destination_ends_when_its_repeat_is_known_no_more(machine, listed, end):
    machine.leave_attempt(WINDOW // 2)
    engine = machine.restart(listed=False)
    over = NOW - WINDOW // 2 + WINDOW - MARGIN
    assert engine.tick(NOW) <= over
    engine.tick(over - 1)
    assert decision(engine) == "held"
    if listed:
        host = replace(entry(0, 0, kind=1), host=b"h0")
        engine.update_hosts(over - 1, Change.DELTA, (host,))
        engine.tick(over - 1)
    else:
        engine.tick(over)
    assert decision(engine) == end


def test_a_repeat_whose_link_comes_up_after_the_window_may_not_be_written(machine):
    machine.leave_attempt(WINDOW // 2)
    engine = machine.restart()
    (part,) = engine.pop_job().parts
    over = NOW - WINDOW // 2 + WINDOW - MARGIN
    assert engine.may_write(over - 1, part) and not engine.may_write(over, part)


def test_the_window_counts_from_the_first_byte_of_a_call_not_from_its_last(tmp_path, monkeypatch):
    platform = Platform(hosts=1)
    platform.decide = lambda call: None  # no answer

    async def steps(relay):
        await submit_messages(relay, "p", profile="marked")
        await wait_for_held_call(relay)
        written_by = clock.to_wall(clock.monotonic_ns())
        await relay.until(lambda: platform.sent("p"))
        (message,) = relay.desk._journal.owed.values()
        assert [sent_at <= written_by for sent_at, _ in message.trips] == [True]

    run_with_relay(platform, tmp_path, monkeypatch, steps, last_byte_hold_ns=HOLD_TIME_NS)


def test_a_repeat_that_is_known_no_more_once_its_attempt_is_journalled_does_not_go(tmp_path, monkeypatch):
    platform, journal_trip = Platform(hosts=1), Journal.trip
    platform.decide = lambda call: "reset"

    def slow_trip(journal, messages, at):
        journal_trip(journal, messages, at)
        if messages[0].trips[1:]:
            advance_clock(monkeypatch, 7 * SECOND)  # known for 6 s

    monkeypatch.setattr(Journal, "trip", slow_trip)

    async def steps(relay):
        await submit_messages(relay, "p", profile="marked")
        await relay.until(lambda: platform.notification_results("p"))
        assert platform.notification_results("p") == ["dead"] and len(platform.calls) == 1

    run_with_relay(platform, tmp_path, monkeypatch, steps)


def test_a_call_withheld_after_it_was_journalled_is_journalled_as_never_run(tmp_path, monkeypatch):
    platform, journal_trip, seen = Platform(hosts=1), Journal.trip, []

    def slow_trip(journal, messages, at):
        journal_trip(journal, messages, at)
        if not seen:
            until = clock.monotonic_ns() + SECOND // 2
            seen.append((messages[0], until))
            relays[0].desk._engine.apply_retry_after(clock.monotonic_ns(), b"h0", until)

    monkeypatch.setattr(Journal, "trip", slow_trip)
    relays = []

    async def steps(relay):
        relays.append(relay)
        await submit_messages(relay, "p", profile="once")
        await relay.until(lambda: platform.sent("p"))
        message, until = seen[0]
        assert [void for _, void in message.trips] == [1, 0] and len(platform.calls) == 1
        assert platform.calls[0].at * SECOND >= until

    run_with_relay(platform, tmp_path, monkeypatch, steps)


def test_no_call_repeats_an_attempt_that_only_a_clock_set_back_makes_young(tmp_path, monkeypatch):
    folder, set_back = tmp_path / "state", 800 * MILLISECOND
    folder.mkdir()
    wall_ahead = clock.wall_offset()
    monkeypatch.setattr(clock, "_WALL_OFFSET_NS", wall_ahead + set_back)
    journal = Journal(folder, 500_000, 400_000, print)
    stop = clock.to_wall(clock.monotonic_ns() + 15 * SECOND)
    message = OwedMessage(b"p", b"marked", b"", b"", b"mark", 0, stop, b"body")
    journal.taken(message)
    journal.trip([message], clock.to_wall(clock.monotonic_ns() - WINDOW))
    journal.close()
    monkeypatch.setattr(clock, "_WALL_OFFSET_NS", wall_ahead)
    grades = [dict(grade, **{"dedup-window-us": WINDOW // 1000}) for grade in CONFIG["grades"]]
    platform = Platform(hosts=1)

    async def steps(relay):
        await relay.until(lambda: platform.notification_results("p") or platform.sent("p"))
        assert platform.notification_results("p") == ["dead"] and not platform.sent("p")

    run_with_relay(platform, tmp_path, monkeypatch, steps, {"settings": CONFIG | {"grades": grades}})
