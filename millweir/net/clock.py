"""Time: a steady clock for this process, and the wall clock for what must outlast it."""

from __future__ import annotations

import time

MILLISECOND = 1_000_000
SECOND = 1_000_000_000

steady = time.monotonic_ns
_WALL_AHEAD = time.time_ns() - time.monotonic_ns()


def to_wall(at: int) -> int:
    """Steady time as Unix time, for the journal."""
    return at + _WALL_AHEAD


def from_wall(at: int) -> int:
    """Unix time as this process's steady time."""
    return at - _WALL_AHEAD
