"""The journal: one file in the state folder with every message that the relay still owes an outcome.

A record is a length, a checksum and a body; reading stops at the first damaged record.  When the file has
grown too large, it is replaced by one that holds only what is still owed.
"""

from __future__ import annotations

import errno
import fcntl
import os
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

from millweir.answers.final import FinalAnswer
from millweir.net import clock
from millweir.net.ended import EndedIds
from millweir.net.journal_reader import JournalReader
from millweir.net.owed_message import (
    CLOCK_KIND,
    CLOCK_RECORD,
    ENDED_KIND,
    ENDED_RECORD,
    FRAME_HEADER,
    GIVEN_UP_KIND,
    GIVEN_UP_RECORD,
    MAX_TRIP_BYTES,
    NEVER_RAN_KIND,
    NEVER_RAN_RECORD,
    TRIP_KIND,
    TRIP_RECORD,
    OwedMessage,
    encode_frames,
    encode_known_id,
)

FILE_NAME = "journal"
DEFAULT_MAX_IDS = 4096
SLOT_COUNT = 4  # processes that may share the folder at once: normally one, and in an upgrade its replacement


def build_slot_file_name(slot: int, suffix: str = "") -> str:
    return (FILE_NAME if slot == 0 else f"{FILE_NAME}.{slot}") + suffix


def _encode_clock_record() -> bytes:
    """The record of the clocks that the times in the records after it refer to."""
    return CLOCK_RECORD.pack(CLOCK_KIND, 0, clock.wall_offset(), clock.read_boot_id())


class Journal:
    """Every message that is still owed an outcome, in memory and on disk."""

    def __init__(
        self,
        folder: Path,
        max_file_bytes: int,
        max_live_bytes: int,
        log_line: Callable[[str], None],
        ended_ids: EndedIds | None = None,
    ) -> None:
        """`ended_ids`: to be filled with the ids that earlier processes of the folder knew."""
        self.folder, self._max_file_bytes, self._max_live_bytes, self._log_line = (
            folder,
            max_file_bytes,
            max_live_bytes,
            log_line,
        )
        self.owed: dict[int, OwedMessage] = {}
        self.ended_ids = EndedIds(DEFAULT_MAX_IDS) if ended_ids is None else ended_ids
        self.torn_bytes = 0  # dropped from the end of the file at the start
        self._live_bytes = self._file_bytes = self._last_number = 0
        # Records that the disk did not take, oldest first.  No message and no trip is recorded before they
        # are, so there are at most a few for each message that was owed then.
        self._unwritten: list[bytes] = []
        self._reserve_fd = -1  # kept open, and closed to make room for the descriptor of the next file
        self._lock_fds: dict[int, int] = {}
        self._file_fd = -1
        self._is_closed = False
        self.adoption_failed = False  # of what an ended process owed, when it was tried last
        try:
            self._open_file()
        except OSError:
            self.close()
            raise

    def _open_file(self) -> None:
        # Rule 2 (no message takes effect twice), in an upgrade: each process has a file of its own and
        # holds a lock on it while it lives.
        self.slot = next((slot for slot in range(SLOT_COUNT) if self._try_lock(slot)), SLOT_COUNT - 1)
        path = self.folder / build_slot_file_name(self.slot)
        if path.exists():
            content = self._read_file(path)
            self.owed, self._last_number, self.torn_bytes = (
                content.owed,
                content.last_number,
                content.torn_bytes,
            )
            self._live_bytes = sum(message.size for message in self.owed.values())
        if not self._reuse_file():
            self._compact()
        self.adopt_orphans()

    def _read_file(self, path: Path) -> JournalReader:
        reader = JournalReader(self.ended_ids, self._log_line)
        reader.read(path.read_bytes())
        return reader

    def _try_lock(self, slot: int) -> bool:
        """Whether this process holds the slot now; on a file system without locks it always does."""
        fd = os.open(self.folder / build_slot_file_name(slot, ".lock"), os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(fd)
            return False
        except OSError:
            pass
        self._lock_fds[slot] = fd
        return True

    def list_other_file_names(self) -> dict[int, str]:
        """By slot, the files in which other processes of the folder may keep what they owe."""
        return {slot: build_slot_file_name(slot) for slot in range(SLOT_COUNT) if slot != self.slot}

    def has_concurrent_process(self) -> bool:
        """Whether another live process holds a slot of this folder."""
        for slot in range(SLOT_COUNT):
            if slot == self.slot or not (self.folder / build_slot_file_name(slot, ".lock")).exists():
                continue
            try:
                if not self._try_lock(slot):
                    return True
            except OSError:  # out of descriptors: unknown
                return True
            os.close(self._lock_fds.pop(slot))
        return False

    def adopt_orphans(self) -> list[OwedMessage]:
        """Take over what ended processes of this folder still owed; the messages are written to this file."""
        adopted: list[OwedMessage] = []
        self.adoption_failed = False
        for slot in range(SLOT_COUNT):
            path = self.folder / build_slot_file_name(slot)
            if slot == self.slot or not path.exists() or not self._try_lock(slot):
                continue
            try:
                self._adopt_messages(path, self._read_file(path).owed, adopted)
            except OSError as error:  # out of descriptors or disk: the file is kept and tried again later
                self._log_line(f"journal-failed adopt slot={slot} {error}")
                self.adoption_failed = True
            os.close(self._lock_fds.pop(slot))
        return adopted

    def _adopt_messages(
        self, path: Path, orphaned: dict[int, OwedMessage], adopted: list[OwedMessage]
    ) -> None:
        """Write each message here before it is removed there; OSError where this disk takes no more.

        Rule 2 (no message takes effect twice), where a kill falls between the two writes: a message that
        is here already is not adopted again.
        """
        known_ids = {message.id for message in self.owed.values()}
        numbers = list(orphaned)  # the numbers in the other file; adopted messages get new ones
        try:
            for message in orphaned.values():
                if message.id not in known_ids:
                    self.record_accepted(message)
                    adopted.append(message)
        except OSError:
            removed_numbers = [
                number
                for number in numbers
                if orphaned[number] in adopted or orphaned[number].id in known_ids
            ]
            with open(path, "ab") as file:  # the other messages stay there
                file.write(
                    encode_frames([ENDED_RECORD.pack(ENDED_KIND, number) for number in removed_numbers])
                )
            raise
        self._write_known_ids()
        path.unlink(missing_ok=True)

    def _write_known_ids(self) -> None:
        """Write the ids that were read from another file, which is about to be removed."""
        with suppress(OSError):
            self._write(self._encode_known_ids((self._max_file_bytes - self._file_bytes) // 2))

    def close(self) -> None:
        """Release the file and the slot, as the end of the process does; nothing is written from then on."""
        self._is_closed = True
        if self._file_fd >= 0:
            os.close(self._file_fd)
            self._file_fd = -1
        self._close_reserve()
        for fd in self._lock_fds.values():
            os.close(fd)
        self._lock_fds.clear()

    @property
    def live_bytes(self) -> int:
        """The most that the messages owed take in a file."""
        return self._live_bytes

    @property
    def free_bytes(self) -> int:
        """The largest message that may be accepted."""
        return self._max_live_bytes - self._live_bytes

    def record_accepted(self, message: OwedMessage) -> None:
        """Write a message before its client is answered; OSError where the disk does not take it."""
        self._last_number = message.number = self._last_number + 1
        self._write(message.encode_records())
        self.owed[message.number] = message
        self._live_bytes += message.size

    def record_trips(self, messages: list[OwedMessage], sent_at: int) -> None:
        """Write a trip of each message before the last byte of their call is sent."""
        self._write([TRIP_RECORD.pack(TRIP_KIND, message.number, sent_at) for message in messages])
        for message in messages:
            message.add_trip(sent_at)
            self._live_bytes += MAX_TRIP_BYTES

    def record_never_ran(self, message: OwedMessage, index: int) -> None:
        """Record that one trip of a message never ran."""
        message.trips[index][1] = 1
        if message.number in self.owed:  # nothing more is recorded for a message that has ended
            self._write_or_log("void", NEVER_RAN_RECORD.pack(NEVER_RAN_KIND, message.number, index))

    def record_may_have_run(self, message: OwedMessage, index: int) -> None:
        """Record that a trip which was held to never have run may have, by a further trip of its time."""
        sent_at = message.trips[index][0]
        message.add_trip(sent_at)
        self._live_bytes += MAX_TRIP_BYTES
        self._write_or_log("trip", TRIP_RECORD.pack(TRIP_KIND, message.number, sent_at))

    def record_final_answer(self, message: OwedMessage, final_answer: FinalAnswer) -> None:
        """Record that a whole answer, not confirmed yet, has ended a message."""
        message.final_answer = final_answer
        self._write_or_log("final-answer", message.encode_final_answer())

    def record_given_up(self, message: OwedMessage, retryable: bool, wait: int) -> None:
        """Record an undelivered message of which the platform still has to be notified."""
        message.given_up = (retryable, wait)
        self._write_or_log("given-up", GIVEN_UP_RECORD.pack(GIVEN_UP_KIND, message.number, retryable, wait))

    def record_ended(self, message: OwedMessage) -> None:
        """Record that nothing more is owed for a message, and keep its id until its deadline."""
        if self.owed.pop(message.number, None):
            self._live_bytes -= message.size
            self._keep_id(message)
            self._write_or_log("over", ENDED_RECORD.pack(ENDED_KIND, message.number))

    def record_withdrawn(self, message: OwedMessage) -> None:
        """Record that a message was not accepted after all: its id may be handed in again."""
        self.record_ended(message)
        self.ended_ids.forget(message.id)
        self._write_or_log("withdrawn", encode_known_id(message.id, 0))

    def _keep_id(self, message: OwedMessage) -> None:
        self.ended_ids.add(message.id, clock.from_wall(message.deadline), clock.monotonic_ns())

    def write_late_records(self) -> None:
        """Write what the disk did not take before, if it takes it now."""
        if self._unwritten:
            try:
                self._write([])
            except OSError as error:
                self._log_line(f"journal-failed late records={len(self._unwritten)} {error}")

    def _write_or_log(self, what: str, body: bytes) -> None:
        """Write a record; one that the disk does not take is written before any later one.

        After a restart until then, fewer messages are known to have ended.
        """
        try:
            self._write([body])
        except OSError as error:
            self._unwritten.append(body)
            self._log_line(f"journal-failed {what} {error}")

    def _write(self, bodies: list[bytes]) -> None:
        if self._is_closed:  # another process may have taken over what was owed
            raise OSError(errno.EBADF, "the journal is closed")
        raw = encode_frames([*self._unwritten, *bodies])
        if self._file_bytes + len(raw) > self._max_file_bytes:
            self._compact()
            raw = encode_frames(bodies)  # the new file has the others
        written = os.write(self._file_fd, raw)
        self._file_bytes += written
        if written < len(raw):  # reading would stop at a partial record and lose the records after it
            os.ftruncate(self._file_fd, self._file_bytes - written)
            self._file_bytes -= written
            raise OSError("the journal took only a part of a record")
        self._unwritten.clear()

    def _reuse_file(self) -> bool:
        """Continue the previous process's file if it is undamaged and most of it is still owed."""
        path = self.folder / build_slot_file_name(self.slot)
        size = path.stat().st_size if path.exists() else 0
        if self.torn_bytes or not 0 < size <= min(2 * self._live_bytes, self._max_file_bytes // 2):
            return False
        self._file_fd, self._file_bytes = os.open(path, os.O_WRONLY | os.O_APPEND), size
        self._open_reserve()
        self._write([_encode_clock_record()])
        return True

    def _compact(self) -> None:
        """Replace the file atomically by one with only what is owed; a crash leaves one of them intact.

        Rule 2 (no message takes effect twice), where clients or hosts hold all other descriptors: the
        record of an end has to be written, so a descriptor is reserved for the new file.
        """
        self._close_reserve()
        try:
            self._write_compacted_file()
        finally:
            self._open_reserve()

    def _open_reserve(self) -> None:
        try:
            self._reserve_fd = os.open(os.devnull, os.O_RDONLY)
        except OSError as error:
            self._log_line(f"journal-failed reserve {error}")

    def _close_reserve(self) -> None:
        if self._reserve_fd >= 0:
            os.close(self._reserve_fd)
            self._reserve_fd = -1

    def _write_compacted_file(self) -> None:
        bodies = [body for message in self.owed.values() for body in message.encode_records()]
        bodies += self._encode_known_ids((self._max_file_bytes - self._live_bytes) // 2)
        raw = encode_frames([_encode_clock_record(), *bodies])
        new_path, path = (
            self.folder / build_slot_file_name(self.slot, ".new"),
            self.folder / build_slot_file_name(self.slot),
        )
        new_fd = os.open(new_path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND, 0o600)
        try:
            offset = 0
            while offset < len(raw):
                offset += os.write(new_fd, raw[offset:])
            os.rename(new_path, path)
        except OSError:
            os.close(new_fd)
            new_path.unlink(missing_ok=True)
            raise
        if self._file_fd >= 0:
            os.close(self._file_fd)
        self._file_fd, self._file_bytes = new_fd, len(raw)
        self._unwritten.clear()  # what they tell is in the new file

    def _encode_known_ids(self, max_bytes: int) -> list[bytes]:
        """The records of the ids that are still known, the latest first where not all of them fit."""
        now = clock.monotonic_ns()
        bodies: list[bytes] = []
        for message_id, known_until in self.ended_ids.latest():
            if known_until < now:
                continue
            body = encode_known_id(message_id, clock.to_wall(known_until))
            max_bytes -= FRAME_HEADER.size + len(body)
            if max_bytes < 0:
                break
            bodies.append(body)
        return bodies[::-1]
