"""Timers of the decision core, by time."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heapify, heappop, heappush
from itertools import count
from typing import Generic, TypeVar

Subject = TypeVar("Subject")

MIN_QUEUE_LENGTH = 4096  # below it, outdated timers stay until they are due


class TimerQueue(Generic[Subject]):
    """Subjects by the time at which they are due, those of one time in the order added.

    What ended early leaves timers behind, which would keep it in memory until its time.  They are dropped
    when the queue has doubled since the last time, which costs O(log n) for each timer added.
    """

    __slots__ = ("_heap", "_max_length", "_next_number")

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, Subject]] = []
        self._next_number = count().__next__
        self._max_length = MIN_QUEUE_LENGTH

    def __len__(self) -> int:
        return len(self._heap)

    @property
    def next_at(self) -> int:
        """When the next one is due; 0 without any."""
        return self._heap[0][0] if self._heap else 0

    def add(self, at: int, subject: Subject) -> None:
        heappush(self._heap, (at, self._next_number(), subject))

    def is_due(self, now: int) -> bool:
        return bool(self._heap) and self._heap[0][0] <= now

    def pop(self) -> Subject:
        """Remove the next one and return its subject."""
        return heappop(self._heap)[2]

    @property
    def may_be_outdated(self) -> bool:
        """Whether the queue has doubled since outdated timers were dropped."""
        return len(self._heap) > self._max_length

    def drop_outdated(self, is_needed: Callable[[Subject], bool]) -> None:
        """Drop the timers of subjects that need none any more."""
        self._heap = [entry for entry in self._heap if is_needed(entry[2])]
        heapify(self._heap)
        self._max_length = max(MIN_QUEUE_LENGTH, 2 * len(self._heap))
