"""Guards the cost of one change, counted as executed lines: it grows with the partition's holders only."""

from __future__ import annotations

import sys
from collections.abc import Callable
from pathlib import Path

import millweir.configuration as package
from millweir.configuration.core import Assignment, Distributor, DistributorRules
from millweir.configuration.holder import Holder, HolderRules, StoredReplica, WriteAssignment
from millweir.configuration.messages import (
    Acknowledgement,
    Change,
    Delta,
    Edit,
    HeldPartition,
    Hello,
    Report,
    decode_frame,
    encode_frame,
)
from millweir.configuration.partition import compute_digest, compute_digest_after
from millweir.configuration.progress import Progress

PACKAGE_DIRECTORY = str(Path(package.__file__).parent)
PARTITION_COUNT = 64
SECOND = 1_000_000_000


def count_lines(call: Callable[[], None]) -> int:
    """Count the lines of the package that a call executes; lines in a loop count each time."""
    count = 0

    def trace(frame, event, _argument):
        nonlocal count
        if not frame.f_code.co_filename.startswith(PACKAGE_DIRECTORY):
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
    """A distributor and the coordinator, with attached relays that hold the latest versions."""

    def __init__(self, relays: int, holders: int, entries: int, outdated: int = 0) -> None:
        rules = DistributorRules(max_relays=relays)
        self.entries = {b"key-%d" % one: b"value" for one in range(entries)}
        digest = compute_digest(self.entries)
        self.distributor = Distributor("distributor", 1, rules, 0)
        for partition_id in range(PARTITION_COUNT):
            assert self.distributor.install_partition(
                0, partition_id, partition_id + 1, dict(self.entries), digest
            )
        self.distributor.finish_loading(0, PARTITION_COUNT)
        self.assignments = {
            f"relay-{one}": Assignment(
                1, frozenset([0 if one < holders else 1 + one % (PARTITION_COUNT - 1)])
            )
            for one in range(relays)
        }
        self.distributor.update_assignments(0, 1, self.assignments)
        self.progress = Progress(
            {partition_id: partition_id + 1 for partition_id in range(PARTITION_COUNT)}, PARTITION_COUNT
        )
        self.progress.update_assignments(1, self.assignments)
        for one, (name, assignment) in enumerate(self.assignments.items()):
            partition_id = min(assignment.partitions)
            version = 0 if one >= relays - outdated else partition_id + 1
            hello = Hello(name, 1, 1, (HeldPartition(partition_id, version, digest),))
            self.distributor.receive_frame(0, one + 1, encode_frame(hello))
        self.now = 0
        self.frames: list[Delta] = []
        for _ in range(relays):
            self.run_turn()
        self.version = PARTITION_COUNT
        self.previous_version = 1
        self.digest = digest

    def run_turn(self) -> None:
        self.now += SECOND // 1_000
        output = self.distributor.run_turn(self.now)
        for frame in output.reports:
            report = decode_frame(frame)
            assert isinstance(report, Report)
            assert self.progress.record_report(self.now, report)
        self.frames = [decode_frame(outgoing.frame) for outgoing in output.frames]

    def apply_one_change(self) -> None:
        """Make one change, acknowledge it by all holders and report it to the coordinator."""
        edits = (Edit(b"key-0", b"value %d" % self.version),)
        self.version += 1
        self.digest = compute_digest_after(self.entries, self.digest, edits)
        self.entries[b"key-0"] = edits[0].value
        change = Change(self.version, 0, self.previous_version, edits, self.digest)
        self.previous_version = self.version
        self.progress.record_change(change.version, change.partition)
        self.distributor.receive_change(self.now, change)
        self.run_turn()
        acknowledge = encode_frame(Acknowledgement(0, self.version))
        for one, assignment in enumerate(self.assignments.values()):
            if 0 in assignment.partitions:
                self.distributor.receive_frame(self.now, one + 1, acknowledge)
        self.now += SECOND // 5
        self.run_turn()


def count_lines_of_change(relays: int, holders: int, entries: int, outdated: int = 0) -> int:
    fleet = Fleet(relays, holders, entries, outdated)
    fleet.apply_one_change()
    lines = count_lines(fleet.apply_one_change)
    if not outdated:
        assert fleet.progress.in_force == fleet.version
    return lines


def test_a_change_costs_the_same_in_a_fleet_of_any_size():
    assert (
        count_lines_of_change(20, 3, 8)
        == count_lines_of_change(200, 3, 8)
        == count_lines_of_change(1_000, 3, 8)
    )


def test_a_change_costs_the_same_for_any_number_of_destinations():
    assert (
        count_lines_of_change(20, 3, 8)
        == count_lines_of_change(20, 3, 80)
        == count_lines_of_change(20, 3, 800)
    )


def test_a_change_costs_the_same_while_other_relays_are_outdated():
    one, many = (count_lines_of_change(200, 3, 8, outdated) for outdated in (0, 100))
    assert many == one


def test_the_cost_of_a_change_grows_linearly_with_its_holders():
    ten, twenty, forty = (count_lines_of_change(100, holders, 8) for holders in (10, 20, 40))
    assert forty - twenty == 2 * (twenty - ten)


def count_lines_of_delta(entries: int) -> int:
    held = {b"key-%d" % one: b"value" for one in range(entries)}
    digest = compute_digest(held)
    stored = {partition_id: StoredReplica(1, digest, dict(held)) for partition_id in range(10)}
    assignment = WriteAssignment(1, tuple(range(10)))
    holder = Holder("relay", 1, ["distributor"], HolderRules(), 0, assignment, stored)
    holder.advance_time(0)
    holder.handle_connection_up(0, "distributor")
    holder.take_actions()
    edits = (Edit(b"key-0", b"other"),)
    frame = encode_frame(Delta(0, 1, 2, edits, compute_digest_after(held, digest, edits)))
    lines = count_lines(lambda: holder.receive_frame(0, "distributor", frame))
    assert holder.replicas[0].version == 2
    return lines


def test_applying_a_delta_costs_the_same_for_any_number_of_destinations():
    assert count_lines_of_delta(8) == count_lines_of_delta(80) == count_lines_of_delta(800)
