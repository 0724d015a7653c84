"""The journal by the number of messages owed, each with a body of 200 bytes and one attempt.

Quantities, with the form of growth that is expected of them; nothing but the journal's own code is run, on a
temporary folder.

* taken, taken-wall: one message is written, by processor and by wall time (constant)
* bytes, bytes-each: of the file as it was written, in all (n) and by message (constant)
* start, start-wall: from the folder to a journal that takes messages, its first compaction included (n)
* memory, memory-each: resident bytes of what is owed, read back (n), by message (constant)
* start-peak: the most resident bytes beyond those at the beginning, during the start (n)
* hand-in: all of them are handed to an engine, as at a start (n)
* compaction, compaction-wall: the file is written anew; nothing else runs meanwhile, so the greatest is the
  longest pause (n)
* compaction-peak: the most resident bytes beyond those at the beginning, during the compaction (n)
"""

from __future__ import annotations

import gc
import os
import shutil
import tempfile
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from pathlib import Path

from millweir.lab.scale.cores import SERVICE_CLASS, START, TENANT, Engine, settings
from millweir.lab.scale.guard import Guard, LimitExceeded, resident_memory
from millweir.lab.scale.measurement import Figure
from millweir.lab.scale.timing import Spread, Subject
from millweir.net.journal import Journal, OwedMessage, build_slot_file_name

PART = "journal"
BODY = 200  # bytes
EACH_DESTINATION = 10  # messages
MEMORY_EACH = 4 << 10  # bytes that a message may take at the most, the copies in a compaction included
DISK_EACH = 1 << 10  # bytes of disk, for the file and the one that takes its place
DISK_SHARE = 0.25  # of what is free
REPEATS = 3
FILE_MOST = 1 << 40  # so that no file is written anew but where it is asked for
RESET_PEAK = "5"  # what resets the peak of resident memory (proc(5), clear_refs)


def measure(size: int, seed: int, guard: Guard) -> Iterator[Figure]:
    """All quantities with so many messages owed."""
    guard.check_plan(memory=size * MEMORY_EACH, processes=2)
    subject = Subject(PART, size)
    with tempfile.TemporaryDirectory(prefix="millweir-scale-") as name:
        folder = Path(name)
        check_disk(folder, size)
        # In a process of its own, so that its memory is not used again here.
        with ProcessPoolExecutor(1, mp_context=get_context("spawn")) as filling:
            yield from filling.submit(measure_taken, subject, folder).result()
        guard.check()
        yield from measure_start(subject, folder)
        guard.check()
        yield from measure_hand_in(subject, folder, seed)
        guard.check()
        yield from measure_compaction(subject, folder)


def check_disk(folder: Path, size: int) -> None:
    """LimitExceeded where the files would take too much of what is free."""
    wanted, free = size * DISK_EACH, shutil.disk_usage(folder).free
    if wanted > free * DISK_SHARE:
        raise LimitExceeded(f"expected to take {wanted >> 20} MiB of disk, {free >> 20} MiB are free")


def open_journal(folder: Path) -> Journal:
    return Journal(folder, FILE_MOST, FILE_MOST, print)


def message(number: int) -> OwedMessage:
    """An owed message."""
    return OwedMessage(
        message_id=b"message-%012d" % number,
        profile=b"status",
        account=b"account-%04d" % (number % 1000),
        key=b"",
        idempotency_key=b"",
        destination=number // EACH_DESTINATION,
        deadline=1 << 62,
        body=b"x" * BODY,
    )


class Times:
    """Processor and wall seconds of repeated calls."""

    def __init__(self) -> None:
        self.processor: list[float] = []
        self.wall: list[float] = []

    def add(self, call: Callable[[], object]) -> object:
        gc.collect()
        processor, wall = time.process_time(), time.perf_counter()
        result = call()
        self.processor.append(time.process_time() - processor)
        self.wall.append(time.perf_counter() - wall)
        return result

    def figures(self, subject: Subject, quantity: str) -> Iterator[Figure]:
        yield subject.figure(quantity, "s", Spread.of(self.processor))
        yield subject.figure(f"{quantity}-wall", "s", Spread.of(self.wall))


class Peak:
    """The most resident memory from its making on, beyond what was resident then."""

    def __init__(self) -> None:
        gc.collect()
        Path("/proc/self/clear_refs").write_text(RESET_PEAK)
        self._before = resident_memory(os.getpid())

    def reached(self) -> int:
        status = Path("/proc/self/status").read_text()
        line = next(line for line in status.splitlines() if line.startswith("VmHWM:"))
        return int(line.split()[1]) * 1024 - self._before


def measure_taken(subject: Subject, folder: Path) -> list[Figure]:
    """Fills the folder."""
    journal = open_journal(folder)
    times = Times()
    first, batches = 0, min(10, subject.size)

    def take(numbers: range) -> None:
        for number in numbers:
            journal.record_accepted(message(number))

    for batch in range(batches):
        after = subject.size * (batch + 1) // batches
        times.add(lambda: take(range(first, after)))  # noqa: B023  run at once
        times.processor[-1] /= after - first
        times.wall[-1] /= after - first
        first = after
    for owed in journal.owed.values():
        journal.record_trips([owed], 1)
    written = (folder / build_slot_file_name(journal.slot)).stat().st_size
    journal.close()
    return [
        *times.figures(subject, "taken"),
        subject.figure("bytes", "B", Spread.of([written])),
        subject.figure("bytes-each", "B", Spread.of([written / subject.size])),
    ]


def measure_start(subject: Subject, folder: Path) -> Iterator[Figure]:
    times, memory, peaks = Times(), [], []
    for _ in range(REPEATS):
        peak = Peak()
        before = resident_memory(os.getpid())
        journal = times.add(lambda: open_journal(folder))
        peaks.append(peak.reached())
        gc.collect()
        memory.append(resident_memory(os.getpid()) - before)
        assert len(journal.owed) == subject.size
        journal.close()
        del journal
        gc.collect()
    yield from times.figures(subject, "start")
    # Memory that an earlier repeat has let go of is used again: the first one counts.
    yield from subject.memory(memory[0])
    yield subject.figure("start-peak", "B", Spread.of(peaks[:1]))


def measure_hand_in(subject: Subject, folder: Path, seed: int) -> Iterator[Figure]:
    journal = open_journal(folder)
    engine = Engine(settings(), seed)
    engine.list_all(max(1, subject.size // EACH_DESTINATION))
    times = Times()

    def hand_in() -> None:
        for owed in journal.owed.values():
            earlier = tuple((at, bool(void)) for at, void in owed.trips)
            stop = START + owed.deadline // 2
            engine.engine.add_packet(
                engine.now, owed, SERVICE_CLASS, TENANT, 0, stop, owed.destination, earlier
            )

    times.add(hand_in)
    journal.close()
    yield subject.figure("hand-in", "s", Spread.of(times.processor))


def measure_compaction(subject: Subject, folder: Path) -> Iterator[Figure]:
    journal = open_journal(folder)
    times, peak = Times(), Peak()
    for _ in range(REPEATS):
        times.add(journal._compact)
    reached = peak.reached()
    journal.close()
    yield from times.figures(subject, "compaction")
    yield subject.figure("compaction-peak", "B", Spread.of([reached]))
