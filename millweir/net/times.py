"""Files in the state folder that hold a time for each host, read and written atomically."""

from __future__ import annotations

import json
import os
from pathlib import Path


class Unreadable(Exception):
    """The file is not a JSON object of times; the text says why."""


def read_host_times(path: Path) -> dict[str, int]:
    """Read host names and wall times in nanoseconds; raise OSError or, for invalid content, Unreadable.

    No other exception may reach the start or the timers that call this: a truncated, foreign or edited file
    only leads to a line in the log.
    """
    try:
        content = json.loads(path.read_bytes())
        times = content.values() if isinstance(content, dict) else [None]
        if not all(type(at) is int and abs(at) < 1 << 63 for at in times):
            raise Unreadable("not a JSON object of integers")
    except (ValueError, RecursionError) as error:
        raise Unreadable(repr(error)) from error
    return content


def write_host_times(path: Path, times: dict[str, int]) -> None:
    """Write host names and wall times in nanoseconds to a temporary file and rename it; raise OSError."""
    temporary = path.with_suffix(".new")
    temporary.write_text(json.dumps(times))
    os.replace(temporary, path)
