"""Time: a steady clock for this process, and the wall clock for what must outlast it."""

from __future__ import annotations

import asyncio
import time
import uuid
from collections.abc import Callable
from pathlib import Path

steady = time.monotonic_ns
_WALL_AHEAD = time.time_ns() - time.monotonic_ns()
_BOOT_ID = Path("/proc/sys/kernel/random/boot_id")


def once_read(loop: asyncio.AbstractEventLoop, what: Callable[..., None], *args: object) -> None:
    """Call it after the loop's next poll, when all that is in the sockets by now has been read.

    Guards what came while the process stood still: timers go before the poll, so an answer that was there
    in time would count as none; and the end of a connection is read one poll after its last bytes.
    """
    loop.call_soon(loop.call_soon, what, *args)


def to_wall(at: int) -> int:
    """Steady time as Unix time, for the journal."""
    return at + _WALL_AHEAD


def from_wall(at: int) -> int:
    """Unix time as this process's steady time."""
    return at - _WALL_AHEAD


def wall_ahead() -> int:
    """How far the wall clock was ahead of the steady one when this process started."""
    return _WALL_AHEAD


def boot_id() -> bytes:
    """16 bytes that name the boot whose uptime the steady clock counts; empty where the system tells none."""
    try:
        return uuid.UUID(_BOOT_ID.read_text().strip()).bytes
    except (OSError, ValueError):
        return b""
