"""Files in the relay's folder that hold a time for each host: read and written whole, or not at all."""

from __future__ import annotations

import json
import os
from pathlib import Path


class Unreadable(Exception):
    """The file holds no object of times; the text says why."""


def read_times(path: Path) -> dict[str, int]:
    """Host to wall time in nanoseconds; OSError where it can't be read, Unreadable where it is none.

    Guards the start and the timers that read such a file: one torn, foreign or edited is a line in the log.
    """
    try:
        given = json.loads(path.read_bytes())
        times = given.values() if isinstance(given, dict) else [None]
        if not all(type(at) is int and abs(at) < 1 << 63 for at in times):
            raise Unreadable("no object of whole numbers")
    except (ValueError, RecursionError) as fault:
        raise Unreadable(repr(fault)) from fault
    return given


def write_times(path: Path, times: dict[str, int]) -> None:
    """Host to wall time in nanoseconds, written aside and then renamed; OSError where that fails."""
    fresh = path.with_suffix(".new")
    fresh.write_text(json.dumps(times))
    os.replace(fresh, path)
