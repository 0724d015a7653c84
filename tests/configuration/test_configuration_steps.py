"""Steps of one change are counted as lines executed: they grow with the partition's holders only."""

from __future__ import annotations

import sys
from collections.abc import Callable
from pathlib import Path

import millweir.configuration as package
from millweir.configuration.core import Assignment, Distributor, DistributorRules
from millweir.configuration.holder import Holder, HolderRules, StoredReplica, WriteAssignment
from millweir.configuration.messages import (
    Acknowledge,
    Change,
    Delta,
    Edit,
    Held,
    Hello,
    Report,
    decode_frame,
    encode_frame,
)
from millweir.configuration.partition import digest_after, digest_of
from millweir.configuration.progress import Progress

FOLDER = str(Path(package.__file__).parent)
PARTITIONS = 64
SECOND = 1_000_000_000


def lines_of(call: Callable[[], None]) -> int:
    """Lines of the package that a call executes; a loop's lines count each time."""
    count = 0

    def trace(frame, event, _argument):
        nonlocal count
        if not frame.f_code.co_filename.startswith(FOLDER):
            return None
        count += event == "line"
        return trace

    before = sys.gettrace()
    sys.settrace(trace)
    try:
        call()
    finally:
        sys.settrace(before)
    return count


class Fleet:
    """A distributor and the coordinator with relays attached that hold everything they should."""

    def __init__(self, relays: int, holders: int, entries: int, lacking: int = 0) -> None:
        rules = DistributorRules(relays_most=relays)
        self.entries = {b"key-%d" % one: b"value" for one in range(entries)}
        digest = digest_of(self.entries)
        self.distributor = Distributor("distributor", 1, rules, 0)
        for number in range(PARTITIONS):
            assert self.distributor.install(0, number, number + 1, dict(self.entries), digest)
        self.distributor.installed(0, PARTITIONS)
        self.moves = {
            f"relay-{one}": Assignment(1, frozenset([0 if one < holders else 1 + one % (PARTITIONS - 1)]))
            for one in range(relays)
        }
        self.distributor.assign(0, 1, self.moves)
        self.progress = Progress({number: number + 1 for number in range(PARTITIONS)}, PARTITIONS)
        self.progress.assign(1, self.moves)
        for one, (name, assignment) in enumerate(self.moves.items()):
            number = min(assignment.partitions)
            version = 0 if one >= relays - lacking else number + 1
            hello = Hello(name, 1, 1, (Held(number, version, digest),))
            self.distributor.receive(0, one + 1, encode_frame(hello))
        self.now = 0
        self.frames: list[Delta] = []
        for _ in range(relays):
            self.turn()
        self.version = PARTITIONS
        self.previous = 1
        self.digest = digest

    def turn(self) -> None:
        self.now += SECOND // 1_000
        output = self.distributor.turn(self.now)
        for frame in output.reports:
            report = decode_frame(frame)
            assert isinstance(report, Report)
            assert self.progress.report(self.now, report)
        self.frames = [decode_frame(outgoing.frame) for outgoing in output.frames]

    def one_change(self) -> None:
        """From the register to known in force everywhere, at once."""
        edits = (Edit(b"key-0", b"value %d" % self.version),)
        self.version += 1
        self.digest = digest_after(self.entries, self.digest, edits)
        self.entries[b"key-0"] = edits[0].value
        change = Change(self.version, 0, self.previous, edits, self.digest)
        self.previous = self.version
        self.progress.change(change.version, change.partition)
        self.distributor.change(self.now, change)
        self.turn()
        acknowledge = encode_frame(Acknowledge(0, self.version))
        for one, assignment in enumerate(self.moves.values()):
            if 0 in assignment.partitions:
                self.distributor.receive(self.now, one + 1, acknowledge)
        self.now += SECOND // 5
        self.turn()


def lines_of_a_change(relays: int, holders: int, entries: int, lacking: int = 0) -> int:
    fleet = Fleet(relays, holders, entries, lacking)
    fleet.one_change()
    lines = lines_of(fleet.one_change)
    if not lacking:
        assert fleet.progress.in_force == fleet.version
    return lines


def test_a_change_costs_the_same_in_any_fleet():
    assert lines_of_a_change(20, 3, 8) == lines_of_a_change(200, 3, 8) == lines_of_a_change(1_000, 3, 8)


def test_a_change_costs_the_same_among_any_number_of_destinations():
    assert lines_of_a_change(20, 3, 8) == lines_of_a_change(20, 3, 80) == lines_of_a_change(20, 3, 800)


def test_a_change_costs_the_same_whoever_else_lacks_something():
    one, many = (lines_of_a_change(200, 3, 8, lacking) for lacking in (0, 100))
    assert many == one


def test_a_change_grows_by_the_holder():
    ten, twenty, forty = (lines_of_a_change(100, holders, 8) for holders in (10, 20, 40))
    assert forty - twenty == 2 * (twenty - ten)


def lines_of_a_delta(entries: int) -> int:
    held = {b"key-%d" % one: b"value" for one in range(entries)}
    digest = digest_of(held)
    stored = {number: StoredReplica(1, digest, dict(held)) for number in range(10)}
    assignment = WriteAssignment(1, tuple(range(10)))
    holder = Holder("relay", 1, ["distributor"], HolderRules(), 0, assignment, stored)
    holder.tick(0)
    holder.connection_up(0, "distributor")
    holder.step()
    edits = (Edit(b"key-0", b"other"),)
    frame = encode_frame(Delta(0, 1, 2, edits, digest_after(held, digest, edits)))
    lines = lines_of(lambda: holder.receive(0, "distributor", frame))
    assert holder.replicas[0].version == 2
    return lines


def test_a_relay_takes_a_change_in_the_same_steps_among_any_number_of_destinations():
    assert lines_of_a_delta(8) == lines_of_a_delta(80) == lines_of_a_delta(800)
