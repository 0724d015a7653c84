"""Cost of the journal by the number of messages owed, each with a body of 200 bytes and one attempt.

Quantities, with the expected growth in brackets; only the journal's own code runs, in a temporary directory.

* taken, taken-wall: writing one accepted message, in processor time and in wall time (constant)
* bytes, bytes-each: size of the file as written, in total (n) and per message (constant)
* start, start-wall: opening the journal until it accepts messages, with its first compaction (n)
* memory, memory-each: resident bytes of the owed messages read back (n), per message (constant)
* start-peak: peak of resident bytes above those at the beginning, during the start (n)
* hand-in: submitting all owed messages to an engine, as at a start (n)
* compaction, compaction-wall: rewriting the file; nothing else runs during that time, so the maximum is the
  longest pause (n)
* compaction-peak: peak of resident bytes above those at the beginning, during the compaction (n)
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

from millweir.lab.scale.cores import (
    SERVICE_CLASS_INDEX,
    START_TIME_NS,
    TENANT_INDEX,
    EngineDriver,
    build_settings,
)
from millweir.lab.scale.guard import Guard, LimitExceeded, get_resident_memory
from millweir.lab.scale.measurement import Figure
from millweir.lab.scale.timing import Spread, Subject
from millweir.net.journal import Journal, build_slot_file_name
from millweir.net.owed_message import OwedMessage

PART = "journal"
BODY_BYTES = 200
MESSAGES_PER_DESTINATION = 10
MAX_BYTES_PER_MESSAGE = 4 << 10  # upper bound for a message, with the copies made in a compaction
DISK_BYTES_PER_MESSAGE = 1 << 10  # for the file and the one that replaces it
MAX_DISK_FRACTION = 0.25  # of the free disk space
REPEATS = 3
MAX_FILE_BYTES = 1 << 40  # so large that a compaction runs only when the test asks for it
RESET_PEAK_COMMAND = "5"  # written to clear_refs, resets the peak of resident memory; see proc(5)


def measure(size: int, seed: int, guard: Guard) -> Iterator[Figure]:
    """Yields all quantities with `size` messages owed."""
    guard.check_plan(memory=size * MAX_BYTES_PER_MESSAGE, processes=2)
    subject = Subject(PART, size)
    with tempfile.TemporaryDirectory(prefix="millweir-scale-") as name:
        folder = Path(name)
        check_disk(folder, size)
        # In a separate process, so that memory freed by it is not reused by the later measurements.
        with ProcessPoolExecutor(1, mp_context=get_context("spawn")) as executor:
            yield from executor.submit(measure_accepting, subject, folder).result()
        guard.check()
        yield from measure_start(subject, folder)
        guard.check()
        yield from measure_submission(subject, folder, seed)
        guard.check()
        yield from measure_compaction(subject, folder)


def check_disk(folder: Path, size: int) -> None:
    """Raises LimitExceeded if the files would take too much of the free disk space."""
    needed, free = size * DISK_BYTES_PER_MESSAGE, shutil.disk_usage(folder).free
    if needed > free * MAX_DISK_FRACTION:
        raise LimitExceeded(f"expected to take {needed >> 20} MiB of disk, {free >> 20} MiB are free")


def open_journal(folder: Path) -> Journal:
    return Journal(folder, MAX_FILE_BYTES, MAX_FILE_BYTES, print)


def build_message(number: int) -> OwedMessage:
    return OwedMessage(
        message_id=b"message-%012d" % number,
        profile=b"status",
        account=b"account-%04d" % (number % 1000),
        key=b"",
        idempotency_key=b"",
        destination=number // MESSAGES_PER_DESTINATION,
        deadline=1 << 62,
        body=b"x" * BODY_BYTES,
    )


class DurationSamples:
    """Processor and wall-clock seconds of repeated calls."""

    def __init__(self) -> None:
        self.processor_seconds: list[float] = []
        self.wall_seconds: list[float] = []

    def measure(self, call: Callable[[], object]) -> object:
        gc.collect()
        processor, wall = time.process_time(), time.perf_counter()
        result = call()
        self.processor_seconds.append(time.process_time() - processor)
        self.wall_seconds.append(time.perf_counter() - wall)
        return result

    def build_figures(self, subject: Subject, quantity: str) -> Iterator[Figure]:
        yield subject.build_figure(quantity, "s", Spread.of(self.processor_seconds))
        yield subject.build_figure(f"{quantity}-wall", "s", Spread.of(self.wall_seconds))


class MemoryPeak:
    """Peak of resident memory since this object was made, above what was resident then."""

    def __init__(self) -> None:
        gc.collect()
        Path("/proc/self/clear_refs").write_text(RESET_PEAK_COMMAND)
        self._initial_bytes = get_resident_memory(os.getpid())

    def get_increase(self) -> int:
        status = Path("/proc/self/status").read_text()
        line = next(line for line in status.splitlines() if line.startswith("VmHWM:"))
        return int(line.split()[1]) * 1024 - self._initial_bytes


def measure_accepting(subject: Subject, folder: Path) -> list[Figure]:
    """Measures writing the messages; leaves the journal in the directory for the later measurements."""
    journal = open_journal(folder)
    times = DurationSamples()
    first, batches = 0, min(10, subject.size)

    def record_messages(numbers: range) -> None:
        for number in numbers:
            journal.record_accepted(build_message(number))

    for batch in range(batches):
        end = subject.size * (batch + 1) // batches
        times.measure(lambda: record_messages(range(first, end)))  # noqa: B023  called within this iteration
        times.processor_seconds[-1] /= end - first
        times.wall_seconds[-1] /= end - first
        first = end
    for owed in journal.owed.values():
        journal.record_trips([owed], 1)
    file_bytes = (folder / build_slot_file_name(journal.slot)).stat().st_size
    journal.close()
    return [
        *times.build_figures(subject, "taken"),
        subject.build_figure("bytes", "B", Spread.of([file_bytes])),
        subject.build_figure("bytes-each", "B", Spread.of([file_bytes / subject.size])),
    ]


def measure_start(subject: Subject, folder: Path) -> Iterator[Figure]:
    times, memory, peaks = DurationSamples(), [], []
    for _ in range(REPEATS):
        peak = MemoryPeak()
        before = get_resident_memory(os.getpid())
        journal = times.measure(lambda: open_journal(folder))
        peaks.append(peak.get_increase())
        gc.collect()
        memory.append(get_resident_memory(os.getpid()) - before)
        assert len(journal.owed) == subject.size
        journal.close()
        del journal
        gc.collect()
    yield from times.build_figures(subject, "start")
    # Later repeats reuse memory that earlier ones freed, so only the first repeat counts.
    yield from subject.build_memory_figures(memory[0])
    yield subject.build_figure("start-peak", "B", Spread.of(peaks[:1]))


def measure_submission(subject: Subject, folder: Path, seed: int) -> Iterator[Figure]:
    journal = open_journal(folder)
    engine = EngineDriver(build_settings(), seed)
    engine.add_destinations(max(1, subject.size // MESSAGES_PER_DESTINATION))
    times = DurationSamples()

    def submit_owed_messages() -> None:
        for owed in journal.owed.values():
            previous_attempts = tuple(
                (attempted_at, bool(never_ran)) for attempted_at, never_ran in owed.trips
            )
            deadline = START_TIME_NS + owed.deadline // 2
            engine.decision_engine.add_packet(
                engine.now,
                owed,
                SERVICE_CLASS_INDEX,
                TENANT_INDEX,
                0,
                deadline,
                owed.destination,
                previous_attempts,
            )

    times.measure(submit_owed_messages)
    journal.close()
    yield subject.build_figure("hand-in", "s", Spread.of(times.processor_seconds))


def measure_compaction(subject: Subject, folder: Path) -> Iterator[Figure]:
    journal = open_journal(folder)
    times, peak = DurationSamples(), MemoryPeak()
    for _ in range(REPEATS):
        times.measure(journal._compact)
    increase = peak.get_increase()
    journal.close()
    yield from times.build_figures(subject, "compaction")
    yield subject.build_figure("compaction-peak", "B", Spread.of([increase]))
