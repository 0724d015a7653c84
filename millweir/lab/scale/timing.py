"""Repeats a step of a part and measures it: processor time, instructions; and memory of what a call builds.

A step is a function that is handed a meter and enters it for the part of its work that is measured.
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

from millweir.lab.scale.guard import resident_memory
from millweir.lab.scale.measurement import Figure
from millweir.lab.scale.steps import InstructionMeter

Step = Callable[[AbstractContextManager], None]
Built = TypeVar("Built")

BATCHES = 7  # of repeats; each counts with its mean
BATCH_TIME = 0.05  # processor seconds that a batch takes about
BATCH_MOST = 40  # repeats in a batch
COUNTED = 9  # repeats whose instructions are counted


@dataclass(frozen=True, slots=True)
class Spread:
    """The median of repeats, with the least and the greatest of them."""

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
    """What figures are about: the part measured, its size, and the trouble that it is in."""

    part: str
    size: int
    trouble: str = "calm"

    def figure(self, quantity: str, unit: str, spread: Spread) -> Figure:
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

    def timed(self, quantity: str, step: Step) -> Figure:
        """Processor seconds that a step takes."""
        return self.figure(quantity, "s", time_step(step))

    def counted(self, quantity: str, step: Step) -> Figure:
        """Instructions that a step takes."""
        return self.figure(f"{quantity}-instructions", "instructions", count_step(step))

    def memory(self, taken: int) -> Iterator[Figure]:
        """Bytes in all, and for each thing held."""
        yield self.figure("memory", "B", Spread.of([taken]))
        yield self.figure("memory-each", "B", Spread.of([taken / self.size]))


class Stopwatch:
    """Adds up the processor time spent within its `with` blocks."""

    __slots__ = ("_began", "seconds")

    def __init__(self) -> None:
        self.seconds = 0.0
        self._began = 0.0

    def __enter__(self) -> Stopwatch:
        self._began = time.process_time()
        return self

    def __exit__(self, *_: object) -> None:
        self.seconds += time.process_time() - self._began


def time_step(step: Step) -> Spread:
    """Processor seconds of one step; the garbage collector waits meanwhile."""
    gc.collect()
    gc.disable()
    try:
        first = Stopwatch()
        step(first)  # not counted: caches are cold
        batch = max(1, min(BATCH_MOST, int(BATCH_TIME / max(first.seconds, 1e-9))))
        means = []
        for _ in range(BATCHES):
            watch = Stopwatch()
            for _ in range(batch):
                step(watch)
            means.append(watch.seconds / batch)
    finally:
        gc.enable()
    return Spread.of(means)


def count_step(step: Step) -> Spread:
    """Instructions of one step."""
    counts = []
    for _ in range(COUNTED):
        meter = InstructionMeter()
        step(meter)
        counts.append(meter.counted)
    return Spread.of(counts)


def memory_of(build: Callable[[], Built]) -> tuple[int, Built]:
    """Bytes of resident memory that a call adds, and what it returns."""
    gc.collect()
    before = resident_memory(os.getpid())
    built = build()
    gc.collect()
    return resident_memory(os.getpid()) - before, built
