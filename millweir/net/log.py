"""A log of plain lines on standard error, with a limit of lines per second."""

from __future__ import annotations

import os
import stat
import sys

from millweir.interface import SECOND
from millweir.net import clock


class Log:
    """Drops lines beyond its rate and later logs how many it dropped."""

    __slots__ = ("_second_began_at", "_remaining", "_dropped", "_lines_per_second")

    def __init__(self, lines_per_second: int) -> None:
        self._lines_per_second = lines_per_second
        self._remaining = lines_per_second
        self._second_began_at = clock.monotonic_ns()
        self._dropped = 0

    def info(self, text: str) -> None:
        """Log a line, unless the limit is reached."""
        now = clock.monotonic_ns()
        if now - self._second_began_at >= SECOND:
            self._second_began_at = now
            self._remaining = self._lines_per_second
            if self._dropped:
                self.always(f"log dropped={self._dropped}")
                self._dropped = 0
        if self._remaining <= 0:
            self._dropped += 1
            return
        self._remaining -= 1
        self.always(text)

    def always(self, text: str) -> None:
        """Log a line regardless of the limit."""
        try:
            print(f"{clock.to_wall(clock.monotonic_ns()) / 1e9:.3f} {text}", file=sys.stderr, flush=True)
        except OSError:
            self._dropped += 1


def make_log_nonblocking() -> None:
    """Let lines be dropped, not waited for, where standard error is a pipe that nobody reads."""
    try:
        mode = os.fstat(sys.stderr.fileno()).st_mode
        if stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode):
            os.set_blocking(sys.stderr.fileno(), False)
    except (OSError, ValueError):  # closed, or replaced by something without a descriptor
        return
