"""Clocks: monotonic time within this process, wall time for what is stored beyond it (nanoseconds)."""

from __future__ import annotations

import asyncio
import time
import uuid
from collections.abc import Callable
from pathlib import Path

monotonic_ns = time.monotonic_ns
_WALL_OFFSET_NS = time.time_ns() - time.monotonic_ns()
_BOOT_ID_PATH = Path("/proc/sys/kernel/random/boot_id")


def call_after_poll(loop: asyncio.AbstractEventLoop, callback: Callable[..., None], *args: object) -> None:
    """Call back after the loop's next poll, when all that the sockets hold by now has been read.

    This matters after the process was stopped: timers run before the poll, so a response that had arrived in
    time would be missed; and the end of a connection is read one poll after its last bytes.
    """
    loop.call_soon(loop.call_soon, callback, *args)


def to_wall(monotonic_time: int) -> int:
    """Convert monotonic time to Unix time."""
    return monotonic_time + _WALL_OFFSET_NS


def from_wall(wall_time: int) -> int:
    """Convert Unix time to this process's monotonic time."""
    return wall_time - _WALL_OFFSET_NS


def wall_offset() -> int:
    """Return by how much the wall clock was ahead of the monotonic one when this process started."""
    return _WALL_OFFSET_NS


def read_boot_id() -> bytes:
    """Return 16 bytes that identify the boot that the monotonic clock counts from; empty if unknown."""
    try:
        return uuid.UUID(_BOOT_ID_PATH.read_text().strip()).bytes
    except (OSError, ValueError):
        return b""
