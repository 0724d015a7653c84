"""How late this process is: what came waited so long, of late, until it was its turn."""

from __future__ import annotations


class LoopLag:
    """The longest wait noted within the last one to two spans; it fades by itself (nanoseconds)."""

    __slots__ = ("_before", "_began", "_most", "_span")

    def __init__(self, span: int, now: int) -> None:
        self._span = span
        self._began = now
        self._most = self._before = 0

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
