"""Measures a repeated step in processor time and in instructions, and the memory that a call allocates.

A step is a function that receives a meter, a context manager, and enters it round the work to be measured.
"""

from __future__ import annotations

import gc
import os
import time
from collections.abc import Callable, Iterable, Iterator
from contextlib import AbstractContextManager
from dataclasses import dataclass
from statistics import median
from typing import TypeVar

from millweir.lab.scale.guard import get_resident_memory
from millweir.lab.scale.measurement import Figure
from millweir.lab.scale.steps import InstructionMeter

Step = Callable[[AbstractContextManager], None]
Built = TypeVar("Built")

BATCH_COUNT = 7  # the mean of each batch is one repeat
BATCH_SECONDS = 0.05  # approximate processor time of a batch
MAX_BATCH_REPEATS = 40
COUNTED_REPEATS = 9


@dataclass(frozen=True, slots=True)
class Spread:
    """Median, minimum and maximum of the repeats."""

    value: float
    low: float
    high: float
    repeats: int

    @classmethod
    def of(cls, values: Iterable[float]) -> Spread:
        values = list(values)
        return cls(median(values), min(values), max(values), len(values))


@dataclass(frozen=True, slots=True)
class Subject:
    """What figures are about: the measured part, its size, and the fault or load (`trouble`) it is under."""

    part: str
    size: int
    trouble: str = "calm"

    def build_figure(self, quantity: str, unit: str, spread: Spread) -> Figure:
        return Figure(
            part=self.part,
            quantity=quantity,
            unit=unit,
            trouble=self.trouble,
            size=self.size,
            value=spread.value,
            low=spread.low,
            high=spread.high,
            repeats=spread.repeats,
        )

    def measure_time(self, quantity: str, step: Step) -> Figure:
        """Measures the processor seconds of a step."""
        return self.build_figure(quantity, "s", time_step(step))

    def measure_instructions(self, quantity: str, step: Step) -> Figure:
        """Counts the instructions of a step."""
        return self.build_figure(f"{quantity}-instructions", "instructions", count_step_instructions(step))

    def build_memory_figures(self, added_bytes: int) -> Iterator[Figure]:
        """Yields the figures of total bytes and of bytes per object."""
        yield self.build_figure("memory", "B", Spread.of([added_bytes]))
        yield self.build_figure("memory-each", "B", Spread.of([added_bytes / self.size]))


class Stopwatch:
    """Sums the processor time spent within its `with` blocks."""

    __slots__ = ("_started_at", "seconds")

    def __init__(self) -> None:
        self.seconds = 0.0
        self._started_at = 0.0

    def __enter__(self) -> Stopwatch:
        self._started_at = time.process_time()
        return self

    def __exit__(self, *_: object) -> None:
        self.seconds += time.process_time() - self._started_at


def time_step(step: Step) -> Spread:
    """Measures the processor seconds of one step, with the garbage collector disabled."""
    gc.collect()
    gc.disable()
    try:
        first = Stopwatch()
        step(first)  # not included: caches are cold
        batch = max(1, min(MAX_BATCH_REPEATS, int(BATCH_SECONDS / max(first.seconds, 1e-9))))
        means = []
        for _ in range(BATCH_COUNT):
            watch = Stopwatch()
            for _ in range(batch):
                step(watch)
            means.append(watch.seconds / batch)
    finally:
        gc.enable()
    return Spread.of(means)


def count_step_instructions(step: Step) -> Spread:
    """Counts the instructions of one step, repeatedly."""
    counts = []
    for _ in range(COUNTED_REPEATS):
        meter = InstructionMeter()
        step(meter)
        counts.append(meter.count)
    return Spread.of(counts)


def measure_added_memory(build: Callable[[], Built]) -> tuple[int, Built]:
    """Returns the bytes of resident memory that a call adds, and its result."""
    gc.collect()
    before = get_resident_memory(os.getpid())
    built = build()
    gc.collect()
    return get_resident_memory(os.getpid()) - before, built
