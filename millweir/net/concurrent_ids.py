"""Ids that other live processes of the same folder know: in an upgrade two processes accept messages at once.

Rule 2 (no message takes effect twice): a client may hand a message in at one of them and again at the other.
Each process writes an id to its journal before the client is answered, so the other one finds it there.
"""

from __future__ import annotations

import os
import time
from dataclasses import dataclass, field
from pathlib import Path

from millweir.net.owed_message import (
    ACCEPTED_KIND,
    ACCEPTED_RECORD,
    KNOWN_ID_KIND,
    KNOWN_ID_RECORD,
    decode_frames,
)

# Two changes of a folder may carry the same time of change, which is as coarse as this.
FOLDER_TIME_NS = 50_000_000


@dataclass(slots=True)
class _JournalFile:
    """What was read of another process's journal; the file is replaced when it is compacted."""

    path: Path
    inode: int = 0
    offset: int = 0
    ids: set[bytes] = field(default_factory=set)

    def read_new_records(self) -> None:
        """Raise OSError where the file exists and can't be read."""
        status = self.path.stat()
        if status.st_ino != self.inode or status.st_size < self.offset:
            self.inode, self.offset, self.ids = status.st_ino, 0, set()
        if status.st_size == self.offset:
            return
        with open(self.path, "rb") as file:
            file.seek(self.offset)
            raw = file.read()
        start = self.offset
        for body, end in decode_frames(raw):
            self._apply_record(body)
            self.offset = start + end

    def _apply_record(self, body: bytes) -> None:
        if body[0] == ACCEPTED_KIND:
            _, _, _, id_length, *_ = ACCEPTED_RECORD.unpack_from(body)
            self.ids.add(body[ACCEPTED_RECORD.size : ACCEPTED_RECORD.size + id_length])
        elif body[0] == KNOWN_ID_KIND:
            _, _, known_until = KNOWN_ID_RECORD.unpack_from(body)
            change = self.ids.add if known_until else self.ids.discard
            change(body[KNOWN_ID_RECORD.size :])


class ConcurrentIds:
    """Looks ids up in the journals of the folder's other processes, as they are now.

    Without another process a look-up costs one system call.
    """

    def __init__(self, folder: Path, other_files: list[str]) -> None:
        """`other_files`: the names under which other processes may keep a journal."""
        self._folder = folder
        self._paths = [folder / name for name in other_files]
        self._files: dict[Path, _JournalFile] = {}
        self._changed_at = 0  # of the folder, when its files were listed

    def __contains__(self, message_id: bytes) -> bool:
        """Whether another process has accepted the id; OSError where that can't be found out."""
        self._list_files()
        for path in list(self._files):
            try:
                self._files[path].read_new_records()
            except FileNotFoundError:  # its process has ended, and what it owed was taken over
                del self._files[path]
        return any(message_id in file.ids for file in self._files.values())

    def _list_files(self) -> None:
        changed_at = os.stat(self._folder).st_mtime_ns
        if changed_at == self._changed_at:
            return
        self._files = {
            path: self._files.get(path) or _JournalFile(path) for path in self._paths if path.exists()
        }
        is_settled = time.time_ns() - changed_at > FOLDER_TIME_NS
        self._changed_at = changed_at if is_settled else 0
