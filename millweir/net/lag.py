"""Event loop lag: how long input waits until the loop handles it, and when the loop stalled."""

from __future__ import annotations

import asyncio

from millweir.net import clock


class LoopLag:
    """The longest wait recorded within the last one to two spans, in nanoseconds."""

    __slots__ = ("_previous_max", "_span_began_at", "_current_max", "_span")

    def __init__(self, span: int, now: int) -> None:
        self._span = span
        self._span_began_at = now
        self._current_max = 0
        self._previous_max = 0

    def record(self, now: int, waited: int) -> None:
        """Record that something waited so long until it was handled."""
        self.current(now)
        if waited > self._current_max:
            self._current_max = waited

    def current(self, now: int) -> int:
        """Return the longest recent wait."""
        spans = (now - self._span_began_at) // self._span
        if spans:
            self._previous_max = self._current_max if spans == 1 else 0
            self._current_max = 0
            self._span_began_at += spans * self._span
        return max(self._current_max, self._previous_max)


class StallDetector:
    """Detects from a periodic timer when the event loop, or the whole process, did not run."""

    __slots__ = ("_last_beat_at", "_loop", "_period", "_last_stall")

    def __init__(self, loop: asyncio.AbstractEventLoop, period: int) -> None:
        """Start the timer; `period`: nanoseconds between two beats."""
        self._loop = loop
        self._period = period
        self._last_beat_at = clock.monotonic_ns()
        self._last_stall = (0, 0)  # its begin and end
        self._schedule()

    def _schedule(self) -> None:
        self._loop.call_later(self._period / 1e9, self._beat)

    def _beat(self) -> None:
        now = clock.monotonic_ns()
        if now - self._last_beat_at > 2 * self._period:
            self._last_stall = self._last_beat_at + self._period, now
        self._last_beat_at = now
        self._schedule()

    def earliest_arrival(self, now: int) -> int:
        """Return when input read now may have arrived at the earliest: now, or the begin of a stall."""
        if now - self._last_beat_at > 2 * self._period:
            return self._last_beat_at + self._period
        began, ended = self._last_stall
        return began if now - ended < self._period else now
