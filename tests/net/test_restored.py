"""What a start finds in its folder, against the first list, foreign files and a kill in the midst of it."""

import json
import resource
import threading
import time
from dataclasses import replace
from types import SimpleNamespace

import pytest
from rig import CONFIG, Platform, Program, reply, until

from millweir.control import bounds
from millweir.interface import Limits
from millweir.net import clock
from millweir.net.journal import FILE, Journal, OwedMessage, named
from millweir.settings import parse_settings
from net.inside import run_with_relay

STATE = "state"
BOUNDS = bounds(parse_settings(CONFIG), Limits(256, 1 << 20, 192 << 20))


class Gated(Platform):
    """Discovery that keeps lists back while its gate is shut, and says when it was asked."""

    def __init__(self, **given):
        self.gate, self.asks = threading.Event(), []
        self.when_asked = None  # what to do before the first answer
        self.gate.set()
        super().__init__(**given)

    def discover(self, heard):
        if heard.method == "GET":
            self.asks.append(time.monotonic())
            when_asked, self.when_asked = self.when_asked, None
            if when_asked:
                when_asked()
            self.gate.wait(20)
        return super().discover(heard)


@pytest.fixture
def start(tmp_path):
    programs = []

    def start(platform=None, **given):
        programs.append(Program(platform or Gated(), tmp_path, **given))
        return programs[-1]

    yield start
    for program in programs:
        program.end()


def owed(folder, *packets, slot=0):
    """A folder as an earlier life left it: what it had taken on, with the trips that had gone out."""
    folder.mkdir(exist_ok=True)
    home = folder / "apart" if slot else folder  # a journal that is opened adopts the others beside it
    home.mkdir(exist_ok=True)
    journal = Journal(home, 500_000, 400_000, print)
    for ident, profile, trips in packets:
        stop = time.time_ns() + 15 * 10**9
        message = OwedMessage(ident, profile, b"", b"", b"m" + ident, 0, stop, b"hello")
        journal.taken(message)
        for _ in range(trips):
            journal.trip([message], time.time_ns())
    journal.close()
    if slot:
        (home / FILE).rename(folder / named(slot))


@pytest.mark.parametrize("change", ["drained", "deleted", "whole"])
def test_no_call_goes_out_by_an_earlier_list_before_discovery_has_answered(tmp_path, start, change):
    platform = Gated(hosts=2)
    known = platform.list()
    platform.add("h0", status="DELETED" if change == "deleted" else "DRAINING")  # while no process ran
    if change == "whole":
        platform.raw_list = json.dumps(platform.list() | {"snapshot": True}).encode()
    owed(tmp_path / STATE, (b"a", b"again", 0), (b"b", b"once", 0))
    seen = []

    def when_asked():
        program = Program.__new__(Program)
        program.port = ports[0]
        until(lambda: program.get("/ready") == 200)
        seen.extend((program.hand_in("c"), len(platform.calls)))

    ports, init = [], Program.start

    def starting(self, *args, **given):
        ports.append(self.port)
        init(self, *args, **given)

    platform.when_asked = when_asked
    try:
        Program.start = starting
        program = start(platform, known=known)
    finally:
        Program.start = init
    until(lambda: len(platform.calls) == 3)
    assert seen == [202, 0]  # taken on meanwhile, nothing sent
    assert {call.head["host"] for call in platform.calls} == {"h1"}
    targets = json.loads(program.ask("GET", "/counters")[1])["targets"]
    assert targets == len(platform.rows) - (change == "deleted")


def test_a_drain_told_by_the_first_answer_began_in_an_earlier_life(tmp_path, start):
    platform = Gated(hosts=1)
    known = platform.list()
    platform.add("h0", status="DRAINING")
    owed(tmp_path / STATE, (b"a", b"again", 0))
    program = start(platform, known=known)
    assert program.hand_in("b", left="900m") == 202
    until(lambda: platform.notification_results("b"))
    assert not platform.calls  # nor within the grace of a drain told just now


def test_where_discovery_is_silent_the_list_of_an_earlier_life_serves_after_a_bounded_while(tmp_path, start):
    platform = Gated(hosts=1)
    owed(tmp_path / STATE, (b"a", b"again", 0))
    platform.gate.clear()
    began = time.monotonic()
    start(platform)
    until(lambda: platform.sent("a"))
    assert platform.sent("a")[0].at - platform.asks[0] > BOUNDS.startup_list_wait_ns / 1e9 - 0.3
    assert time.monotonic() - began < BOUNDS.startup_list_wait_ns / 1e9 + 4
    assert len(platform.asks) >= 2  # the first ask was silent: it was made anew, and is still out
    platform.add("h9")
    platform.gate.set()
    until(lambda: len(platform.asks) > 2)


def test_discovery_is_asked_at_once_at_a_start_also_in_a_large_fleet(start):
    settings = CONFIG | {"balancers": 200}
    platform = Gated(hosts=1)
    program = start(platform, settings=settings)
    until(lambda: platform.asks)
    asked_at = time.time() - time.monotonic() + platform.asks[0]
    ready = next(line for line in program.log().splitlines() if " ready name=" in line)
    assert asked_at - float(ready.split()[0]) < 1


def test_a_full_table_of_packets_that_were_never_tried_is_tried(tmp_path, start):
    most = CONFIG["ceilings"]["max-open"] - 1  # as many as a life can leave behind
    owed(tmp_path / STATE, *((b"p%d" % n, b"once" if n % 2 else b"again", 0) for n in range(most)))
    platform = Gated(hosts=2)
    start(platform)
    until(lambda: len({call.id for call in platform.calls}) == most)
    assert not platform.notifications


@pytest.mark.parametrize("profile", ["again", "once"])
def test_what_a_restart_found_untried_gives_way_to_nothing_that_can_be_refused(tmp_path, start, profile):
    # Brink days: 33 of 46 such messages were given up at once, with most of their time left.
    most = CONFIG["ceilings"]["max-open"]
    restored = [b"p%d" % n for n in range(most - 10)]
    owed(tmp_path / STATE, *((ident, profile.encode(), 0) for ident in restored))
    platform = Gated(hosts=1)
    platform.decide = lambda call: [0.2, reply(200)]  # slower than messages come
    relay = start(platform)
    statuses = [relay.hand_in(f"new{n}", "again") for n in range(3 * most)]
    until(lambda: {ident.decode() for ident in restored} <= {call.id for call in platform.calls})
    assert statuses.count(202) > most  # far more than the table holds
    assert not [ident for ident in restored if platform.notification_results(ident.decode())]


@pytest.mark.parametrize("trips, calls, ends", [(0, 1, []), (1, 0, ["dead"])])
def test_what_was_taken_on_under_a_profile_listed_no_more_is_still_tried_once(
    tmp_path, start, trips, calls, ends
):
    owed(tmp_path / STATE, (b"a", b"forgotten", trips))
    platform = Gated(hosts=1)
    platform.decide = lambda call: reply(500)  # it may have run
    start(platform)
    until(lambda: platform.notification_results("a"))
    assert len(platform.sent("a")) == calls and platform.notification_results("a") == ["dead"] == (
        ends or ["dead"]
    )


@pytest.mark.parametrize("semantics, calls", [("side_effect", 0), ("pure", 1)])
def test_the_effect_that_the_settings_name_now_decides_on_old_trips(tmp_path, start, semantics, calls):
    owed(tmp_path / STATE, (b"a", b"again", 1))  # replayable when it was taken on; it may have run
    grades = [
        grade | {"semantics": semantics} if grade["name"] == "again" else grade for grade in CONFIG["grades"]
    ]
    platform = Gated(hosts=1)
    start(platform, settings=CONFIG | {"grades": grades})
    until(lambda: platform.notification_results("a") or platform.sent("a"))
    assert len(platform.sent("a")) == calls and platform.notification_results("a") == ["dead"] * (not calls)


def test_a_profile_listed_no_more_brings_back_no_settings_from_before_a_reload(tmp_path, monkeypatch):
    async def steps(relay):
        desk = relay.desk
        fewer = replace(desk._classes.settings, max_trips=1)
        desk.reload(SimpleNamespace(settings=fewer, discovery=desk._discovery))
        desk._restore(
            OwedMessage(b"a", b"forgotten", b"", b"", b"", 0, time.time_ns() + 15 * 10**9, b"hello")
        )
        assert desk._engine._relay._max_trips == 1  # fewer trips bind at once, and go on to

    run_with_relay(Platform(hosts=1), tmp_path, monkeypatch, steps)


def test_a_kill_between_the_two_writes_of_a_hand_over_gives_no_packet_two_lives(tmp_path, start):
    owed(tmp_path / STATE, (b"a", b"once", 0), (b"b", b"once", 0))
    owed(tmp_path / STATE, (b"a", b"once", 0), slot=1)  # adopted above, its own file not yet gone
    platform = Gated(hosts=1)
    program = start(platform)
    until(lambda: platform.sent("a") and platform.sent("b"))
    program.end()
    program.start()
    assert len(platform.sent("a")) == len(platform.sent("b")) == 1
    assert not (tmp_path / STATE / named(1)).exists()


def test_a_disk_that_takes_no_more_leaves_the_rest_of_a_hand_over_where_it_was(tmp_path, monkeypatch):
    owed(tmp_path, *((b"p%d" % n, b"again", 1) for n in range(4)), slot=1)
    journal = Journal.__new__(Journal)
    real, left = Journal.taken, [2]

    def taken(self, message):
        if not left[0]:
            raise OSError("full")
        left[0] -= 1
        real(self, message)

    monkeypatch.setattr(Journal, "taken", taken)
    said = []
    journal.__init__(tmp_path, 500_000, 400_000, said.append)
    assert sorted(p.id for p in journal.owed.values()) == [b"p0", b"p1"] and "full" in said[0]
    for message in list(journal.owed.values()):
        journal.over(message)  # ended before the rest of them is adopted
    left[0] = 9
    assert sorted(p.id for p in journal.orphans()) == [b"p2", b"p3"]  # none comes twice
    assert all(p.trips for p in journal.owed.values()) and not (tmp_path / named(1)).exists()
    journal.close()


def test_a_file_that_can_not_be_read_is_kept_for_later(tmp_path, monkeypatch):
    owed(tmp_path, (b"a", b"again", 0))
    owed(tmp_path, (b"b", b"again", 0), slot=2)
    path, said = type(tmp_path), []
    read = path.read_bytes
    monkeypatch.setattr(
        path,
        "read_bytes",
        lambda self: (_ for _ in ()).throw(OSError("out of descriptors"))
        if self.name == named(2)
        else read(self),
    )
    journal = Journal(tmp_path, 500_000, 400_000, said.append)
    assert [p.id for p in journal.owed.values()] == [b"a"] and "descriptors" in said[0]
    monkeypatch.undo()
    assert [p.id for p in journal.orphans()] == [b"b"]
    journal.close()


@pytest.mark.parametrize(
    "text",
    [
        "",
        "{",
        "[]",
        "7",
        '{"h0":null}',
        '{"h0":"soon"}',
        '{"h0":Infinity}',
        '{"h0":1e300}',
        '{"h0":' + "9" * 40 + "}",
        "[" * 100_000,
        '{"h0":[1]}',
        "\xff",
    ],
    ids=lambda text: text[:16],
)
def test_unreadable_cordons_and_waits_are_a_line_in_the_log_and_end_nothing(tmp_path, start, text):
    (tmp_path / STATE).mkdir()
    for name in ("cordons.json", named(0, ".waits"), named(1, ".waits")):
        (tmp_path / STATE / name).write_text(text, encoding="latin-1")
    platform = Gated(hosts=1)
    program = start(platform)
    assert program.hand_in("a") == 202
    until(lambda: platform.sent("a"))
    assert "cordons-unreadable" in program.log() and "waits-unreadable" in program.log()
    assert "Traceback" not in program.log()
    # Both are still looked at: files that can be read again are heeded.
    (tmp_path / STATE / named(1, ".waits")).write_text(json.dumps({"h0": time.time_ns() + 2 * 10**9}))
    time.sleep(0.2)  # read every 50 ms
    program.hand_in("b")
    until(lambda: platform.sent("b"))
    assert platform.sent("b")[0].at - platform.sent("a")[0].at > 1.5


def test_a_wait_that_no_host_can_have_told_binds_nobody(tmp_path, start):
    (tmp_path / STATE).mkdir()
    far = time.time_ns() + 400 * 86_400 * 10**9
    (tmp_path / STATE / named(0, ".waits")).write_text(json.dumps({"h0": far}))
    platform = Gated(hosts=1)
    program = start(platform)
    assert program.hand_in("a") == 202
    until(lambda: platform.sent("a"))


def test_a_cordon_holds_for_a_host_that_is_listed_only_later(tmp_path, start):
    (tmp_path / STATE).mkdir()
    (tmp_path / STATE / "cordons.json").write_text(json.dumps({"h5": time.time_ns() - 10**10}))
    platform = Gated(hosts=1)
    program = start(platform)
    platform.add("h5")
    platform.add("h0", status="DRAINING")
    until(lambda: program.hand_in(f"x{time.monotonic_ns()}", left="400m") and len(platform.notifications) > 2)
    time.sleep(0.7)
    before = len(platform.calls)
    assert program.hand_in("late", left="600m") == 202
    until(lambda: platform.notification_results("late"))
    assert not [call for call in platform.calls[before:] if call.head["host"] == "h5"]


def test_a_start_waits_until_a_folder_that_is_full_takes_writes_again(tmp_path):
    # Soak seed 214 of issue 53: a relay started again while its disk took nothing ended without a line.
    program = Program(Platform(), tmp_path)
    try:
        program.end()
        lifted = threading.Timer(
            1.0, lambda: resource.prlimit(program.process.pid, resource.RLIMIT_FSIZE, (-1, -1))
        )
        lifted.start()
        program.start(max_file_bytes=1)
        lifted.join()
        assert program.hand_in("later") == 202
    finally:
        program.end()


@pytest.mark.parametrize("hours", [1, -1])
def test_a_deadline_in_the_folder_is_a_span_whatever_the_wall_clock_was_set_to(hours, tmp_path, monkeypatch):
    # Soak seed 313 (crowd) of issue 53: a relay restarted with its clock an hour off ended nothing in time.
    owed(tmp_path, (b"p", b"again", 0))
    began = time.time_ns()
    moved = hours * 3600 * 10**9
    monkeypatch.setattr(clock, "_WALL_OFFSET_NS", clock.wall_offset() + moved)
    for _ in range(2):  # of two restarts the second finds both clocks in one file
        journal = Journal(tmp_path, 500_000, 400_000, print)
        (message,) = journal.owed.values()
        journal.close()
        assert 14 * 10**9 < message.hard_stop - moved - began <= 15 * 10**9
