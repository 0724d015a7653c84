"""The order of one key's messages at two processes, in every order of their steps (rule 5)."""

from itertools import combinations

import pytest

from millweir.net.concurrent.journal_view import JournalView
from millweir.net.concurrent.key_turns import KeyTurns
from millweir.net.owed_message import (
    ENDED_KIND,
    ENDED_RECORD,
    GIVEN_UP_KIND,
    GIVEN_UP_RECORD,
    NEVER_RAN_KIND,
    NEVER_RAN_RECORD,
    TRIP_KIND,
    TRIP_RECORD,
    OwedMessage,
)
from millweir.records import NEVER

KEY, QUIET = 7, 100


class Process:
    """What one process knows: its journal, its own queue of the key, and how far it has read the other's."""

    def __init__(self, slot):
        self.slot = slot
        self.journal, self.queue, self.out = [], [], None
        self.turns = KeyTurns(slot, lambda profile: True, QUIET)
        self.view, self.read_records = JournalView(), 0

    def write(self, *bodies):
        self.journal += bodies


class World:
    """Two processes, and what hosts saw: the messages as they were started."""

    def __init__(self):
        self.processes = [Process(0), Process(1)]
        self.now = 0
        self.taken, self.started = [], []

    def read(self, process):
        other = self.processes[1 - process.slot]
        for body in other.journal[process.read_records :]:
            process.view.apply_record(body)
        process.read_records = len(other.journal)
        process.turns.apply_changes(other.slot, process.view.take_changes(), self.now)

    def take(self, process):
        self.read(process)
        message = OwedMessage(b"m%d" % len(self.taken), b"c", b"", bytes([KEY]), b"", 0, 0, b"")
        self.now += 1
        message.number, message.taken_at = len(process.journal) + 1, self.now
        process.write(*message.encode_records())
        process.queue.append(message)
        self.taken.append(message)

    def start(self, process):
        """Start the first message of the queue if it has its turn; one at a time."""
        if process.out is None and process.queue:
            first = min(process.queue, key=lambda message: message.taken_at)
            if first.taken_at < process.turns.find_limit(KEY):
                assert not any(one.out for one in self.processes), f"{first.id} began while another was out"
                process.write(TRIP_RECORD.pack(TRIP_KIND, first.number, 0))
                process.out = first
                self.started.append(first)

    def end(self, process):
        if message := process.out:
            process.write(ENDED_RECORD.pack(ENDED_KIND, message.number))
            process.queue.remove(message)
            process.out = None

    def kill(self, process):
        """End a process; the other one takes over what it owes."""
        other = self.processes[1 - process.slot]
        self.read(other)
        other.turns.adopt(process.queue, self.now)
        for message in sorted(process.queue, key=lambda message: message.taken_at):
            message.number = len(other.journal) + 1
            other.write(*message.encode_records())
            other.turns.submit(KEY, message.id)
            other.queue.append(message)
        process.queue, process.out = [], None

    def step(self, name, slot):
        getattr(self, name)(self.processes[slot])

    def finish(self):
        """Let both go on until nothing is left."""
        for _ in range(4 * len(self.taken) + 4):
            for process in self.processes:
                self.read(process)
                self.start(process)
                self.end(process)
        assert not any(process.queue for process in self.processes), "a message never had its turn"
        first_starts = list(dict.fromkeys(self.started))
        assert first_starts == sorted(first_starts, key=lambda message: message.taken_at)


SCRIPT = ("take", "start", "take", "read", "end", "start", "read")


def interleave(first, second):
    """Every order of the steps of two processes, each in its own order."""
    length = len(first) + len(second)
    for places in combinations(range(length), len(first)):
        chosen, own, others = set(places), iter(first), iter(second)
        yield [(next(own), 0) if place in chosen else (next(others), 1) for place in range(length)]


def test_messages_of_one_key_were_out_at_once_at_two_processes():
    """Guards rule 5 in a replacement: a message waits for an older one of its key at the other process."""
    for steps in interleave(SCRIPT, SCRIPT):
        world = World()
        for name, slot in steps:
            world.step(name, slot)
        world.finish()


@pytest.mark.parametrize("killed", [0, 1])
def test_messages_taken_over_kept_their_place_in_the_key(killed):
    """Guards rule 5 where a process ends: what it owed goes between the messages of the one that lives."""
    script = ("take", "start", "take", "read", "take")
    for steps in interleave(script, script):
        for at in range(len(steps)):
            world = World()
            for name, slot in steps[:at]:
                world.step(name, slot)
            world.kill(world.processes[killed])
            for name, slot in steps[at:]:
                if slot != killed:
                    world.step(name, slot)
            world.finish()


def view_message(*progress):
    """A view of a journal with one message and what became of it."""
    message = OwedMessage(b"m", b"c", b"", bytes([KEY]), b"", 0, 0, b"")
    message.number, message.taken_at = 1, 5
    view, turns = JournalView(), KeyTurns(1, lambda profile: True, QUIET)
    for body in (*message.encode_records(), *progress):
        view.apply_record(body)
    turns.apply_changes(0, view.take_changes(), 10)
    return view, turns


TRIP = TRIP_RECORD.pack(TRIP_KIND, 1, 0)
ENDED = ENDED_RECORD.pack(ENDED_KIND, 1)
GIVEN_UP = GIVEN_UP_RECORD.pack(GIVEN_UP_KIND, 1, False, 0)
NEVER_RAN = NEVER_RAN_RECORD.pack(NEVER_RAN_KIND, 1, 0)


@pytest.mark.parametrize(
    "progress, is_quiet",
    [
        ([TRIP, ENDED], False),  # answered
        ([TRIP, TRIP, ENDED], True),  # one of the two was answered
        ([TRIP, NEVER_RAN, TRIP, ENDED], False),
        ([TRIP, GIVEN_UP], True),
        ([TRIP, NEVER_RAN, GIVEN_UP], False),
        ([GIVEN_UP, ENDED], False),
    ],
)
def test_a_key_was_free_while_a_trip_at_the_other_process_might_still_run(progress, is_quiet):
    """Guards the quiet time behind a message that ended at the other process."""
    _, turns = view_message(*progress)
    assert turns.find_limit(KEY) == (5 if is_quiet else NEVER)
    assert turns.end_quiet_times(10 + QUIET - 1) == set()
    assert turns.end_quiet_times(10 + QUIET) == ({KEY} if is_quiet else set())
    assert turns.find_limit(KEY) == NEVER and not turns


def test_a_compacted_journal_freed_a_key_too_early():
    """Guards what is open in a file that was replaced: the same messages, beside those that have ended."""
    view, turns = view_message(TRIP)
    message = OwedMessage(b"m", b"c", b"", bytes([KEY]), b"", 0, 0, b"")
    message.number, message.taken_at = 1, 5
    message.add_trip(0)
    view.begin_rebuild()
    for body in message.encode_records():
        view.apply_record(body)
    view.end_rebuild()
    turns.apply_changes(0, view.take_changes(), 20)
    assert turns.find_limit(KEY) == 5
    view.begin_rebuild()
    view.end_rebuild()
    turns.apply_changes(0, view.take_changes(), 30)
    assert turns.find_limit(KEY) == NEVER


def test_messages_taken_at_the_same_time_waited_for_each_other():
    """Guards against a standstill: of two messages of unknown time, that at the lower slot goes first."""
    records = OwedMessage(b"m", b"c", b"", bytes([KEY]), b"", 0, 0, b"").encode_records()
    limits = []
    for own_slot, other_slot in ((0, 1), (1, 0)):
        view, turns = JournalView(), KeyTurns(own_slot, lambda profile: True, QUIET)
        for body in records:
            view.apply_record(body)
        turns.apply_changes(other_slot, view.take_changes(), 0)
        limits.append(turns.find_limit(KEY))
    assert limits == [1, 0]


def test_messages_of_an_earlier_build_went_before_all_others_of_their_key():
    """Guards an upgrade from a build that records no times: what is seen later was taken later."""
    view, turns = JournalView(), KeyTurns(1, lambda profile: True, QUIET)
    owed = []
    for number, seen_at in ((1, 0), (2, 50)):
        message = OwedMessage(b"m%d" % number, b"c", b"", bytes([KEY]), b"", 0, 0, b"")
        message.number = number
        view.apply_record(message.encode_records()[-1], seen_at)  # without the record of the time
        owed.append(message)
    turns.apply_changes(0, view.take_changes(), 60)
    assert turns.find_limit(KEY) == 0  # the own message of time 20 waits for the first alone
    view.apply_record(ENDED_RECORD.pack(ENDED_KIND, 1), 70)
    turns.apply_changes(0, view.take_changes(), 70)
    assert turns.find_limit(KEY) == 50
    turns.adopt(owed, 80)
    assert [message.taken_at for message in owed] == [80, 50]
