"""How late this process is: what came waited so long, of late, until it was its turn."""

from __future__ import annotations

import asyncio

from millweir.net import clock


class LoopLag:
    """The longest wait noted within the last one to two spans; it fades by itself (nanoseconds)."""

    __slots__ = ("_before", "_began", "_most", "_span")

    def __init__(self, span: int, now: int) -> None:
        self._span = span
        self._began = now
        self._most = 0
        self._before = 0

    def note(self, now: int, waited: int) -> None:
        """Something had its turn after so long."""
        self.at(now)
        if waited > self._most:
            self._most = waited

    def at(self, now: int) -> int:
        """How late turns are now."""
        spans = (now - self._began) // self._span
        if spans:
            self._before = self._most if spans == 1 else 0
            self._most = 0
            self._began += spans * self._span
        return max(self._most, self._before)


class LoopPulse:
    """A heartbeat of the event loop, by which it is known how long it stood still."""

    __slots__ = ("_beat_at", "_loop", "_period", "_stall")

    def __init__(self, loop: asyncio.AbstractEventLoop, period: int) -> None:
        """`period`: nanoseconds between two beats."""
        self._loop = loop
        self._period = period
        self._beat_at = clock.steady()
        self._stall = (0, 0)  # when the last one began and ended
        self._schedule()

    def _schedule(self) -> None:
        self._loop.call_later(self._period / 1e9, self._beat)

    def _beat(self) -> None:
        now = clock.steady()
        if now - self._beat_at > 2 * self._period:
            self._stall = self._beat_at + self._period, now
        self._beat_at = now
        self._schedule()

    def came_at(self, now: int) -> int:
        """When what is read now may have come at the earliest: now, or when the loop began to stand still."""
        if now - self._beat_at > 2 * self._period:
            return self._beat_at + self._period
        began, ended = self._stall
        return began if now - ended < self._period else now
