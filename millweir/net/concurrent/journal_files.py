"""Reads the journals of the folder's other processes, as they are now.

Rule 2 (no message takes effect twice): a client may hand a message in at one of the processes and again at
the other.  Each process writes an id to its journal before the client is answered, so the other one finds it
there.
"""

from __future__ import annotations

import os
import time
from dataclasses import dataclass, field
from pathlib import Path

from millweir.net import clock
from millweir.net.concurrent.journal_view import JournalView
from millweir.net.owed_message import decode_frames

# Two changes of a folder may carry the same time of change, which is as coarse as this.
FOLDER_TIME_NS = 50_000_000


@dataclass(slots=True)
class JournalFile:
    """One other process's journal, and how far it was read; it is replaced when it is compacted."""

    path: Path
    slot: int
    view: JournalView = field(default_factory=JournalView)
    inode: int = 0
    offset: int = 0

    def read_new_records(self) -> None:
        """Raise OSError where the file exists and can't be read."""
        status = self.path.stat()
        is_replaced = status.st_ino != self.inode or status.st_size < self.offset
        if status.st_size == self.offset and not is_replaced:
            return
        with open(self.path, "rb") as file:
            inode = os.fstat(file.fileno()).st_ino  # it may have been replaced since
            is_replaced = is_replaced or inode != self.inode
            start = 0 if is_replaced else self.offset
            # What the first look finds was taken before this process takes any.
            seen_at = clock.monotonic_ns() if self.inode else 0
            file.seek(start)
            raw = file.read()
        if is_replaced:
            self.view.begin_rebuild()
            self.inode, self.offset = inode, 0
        for body, end in decode_frames(raw):
            self.view.apply_record(body, seen_at)
            self.offset = start + end
        if is_replaced:
            self.view.end_rebuild()


def _read_if_there(file: JournalFile) -> bool:
    try:
        file.read_new_records()
    except FileNotFoundError:
        return False
    return True


class ConcurrentJournals:
    """The journals of the folder's other processes; without any, a look costs one system call."""

    __slots__ = ("_changed_at", "_folder", "_paths", "_removed", "files")

    def __init__(self, folder: Path, other_files: dict[int, str]) -> None:
        """`other_files`: by slot, the names under which other processes may keep a journal."""
        self._folder = folder
        self._paths = {slot: folder / name for slot, name in other_files.items()}
        self.files: dict[int, JournalFile] = {}
        self._removed: list[JournalFile] = []
        self._changed_at = 0  # of the folder, when its files were listed

    def __contains__(self, message_id: bytes) -> bool:
        """Whether another process has accepted the id; OSError where that can't be found out."""
        return self.read() and any(message_id in file.view.ids for file in self.files.values())

    def read(self) -> bool:
        """Read what is new in all files; returns whether there were any; OSError where that can't be done.

        A file is removed once its process has ended and another one has taken over what it owed.  That one
        has written it before, so the others are read again then.
        """
        self._list_files()
        if not self.files:
            return False
        while removed := [slot for slot, file in self.files.items() if not _read_if_there(file)]:
            self._removed += [self.files.pop(slot) for slot in removed]
        return True

    @property
    def has_changes(self) -> bool:
        """Whether there may be changes that were not taken."""
        return bool(self.files or self._removed)

    def take_removed(self) -> list[JournalFile]:
        """The files that were removed since the last call."""
        removed, self._removed = self._removed, []
        return removed

    def _list_files(self) -> None:
        changed_at = os.stat(self._folder).st_mtime_ns
        if changed_at == self._changed_at:
            return
        for slot, path in self._paths.items():
            if slot not in self.files and path.exists():
                self.files[slot] = JournalFile(path, slot)
        is_settled = time.time_ns() - changed_at > FOLDER_TIME_NS
        self._changed_at = changed_at if is_settled else 0
