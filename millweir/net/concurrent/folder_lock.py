"""An exclusive lock that the processes of a folder hold while they change what they share."""

from __future__ import annotations

import contextlib
import fcntl
import os
import time
from collections.abc import Iterator
from pathlib import Path

FILE_NAME = "shared.lock"
RETRY_SECONDS = 0.0005


class LockHeld(OSError):
    """Another process holds the lock, and did not release it in time."""


@contextlib.contextmanager
def hold_folder_lock(folder: Path, wait_seconds: float) -> Iterator[None]:
    """Hold the lock of a folder; raises LockHeld, or OSError where its file can't be opened.

    It is held for a few system calls at a time, and ends with its process.  On a file system without locks it
    is not held at all.
    """
    fd = os.open(folder / FILE_NAME, os.O_RDWR | os.O_CREAT, 0o600)
    try:
        _wait_for_lock(fd, time.monotonic() + wait_seconds)
        yield
    finally:
        os.close(fd)


def _wait_for_lock(fd: int, give_up_at: float) -> None:
    while True:
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
            return
        except BlockingIOError as error:
            if time.monotonic() >= give_up_at:
                raise LockHeld(*error.args) from error
        except OSError:
            return
        time.sleep(RETRY_SECONDS)
