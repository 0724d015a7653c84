"""Files in the state folder that hold a time for each host: read and written atomically, told by version."""

from __future__ import annotations

import json
import os
from collections.abc import Callable
from pathlib import Path

FileStamp = tuple[int, int, int]  # inode, size and modification time, which show that a file was replaced
NO_FILE: FileStamp = (0, 0, 0)


def read_stamp(path: Path) -> FileStamp:
    """Identify a file's version; raises OSError.

    The modification time alone does not tell two versions apart that were written within a few milliseconds.
    """
    status = path.stat()
    return status.st_ino, status.st_size, status.st_mtime_ns


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


def write_host_times(path: Path, times: dict[str, int], replace: Callable[[Path, Path], None]) -> None:
    """Write host names and wall times in nanoseconds to a temporary file and rename it; raise OSError.

    `replace` moves the temporary file over the old one: `os.replace`, or `replace_unflushed`.
    """
    temporary = path.with_suffix(".new")
    temporary.write_text(json.dumps(times))
    replace(temporary, path)


def replace_unflushed(temporary: Path, path: Path) -> None:
    """Replace a file in two steps; a kill between them leaves its new content in the temporary file.

    Renamed over the old file, the new one is written to the disk first on some file systems (ext4), which
    blocks the event loop for as long.
    """
    path.unlink(missing_ok=True)
    os.rename(temporary, path)
