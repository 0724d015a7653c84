"""The log: plain lines on standard error, so many a second at most."""

from __future__ import annotations

import sys

from millweir.interface import SECOND
from millweir.net import clock


class Log:
    """Drops lines beyond its rate and says how many once it has room again."""

    __slots__ = ("_at", "_left", "_missed", "_rate")

    def __init__(self, rate: int) -> None:
        self._rate = rate
        self._left = rate
        self._at = clock.steady()
        self._missed = 0

    def say(self, text: str) -> None:
        now = clock.steady()
        if now - self._at >= SECOND:
            self._at = now
            self._left = self._rate
            if self._missed:
                self.must(f"log dropped={self._missed}")
                self._missed = 0
        if self._left <= 0:
            self._missed += 1
            return
        self._left -= 1
        self.must(text)

    def must(self, text: str) -> None:
        """A line that no limit may drop."""
        try:
            print(f"{clock.to_wall(clock.steady()) / 1e9:.3f} {text}", file=sys.stderr, flush=True)
        except OSError:
            self._missed += 1
