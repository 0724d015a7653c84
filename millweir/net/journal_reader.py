"""Reads a journal file: the messages that it still owes an outcome, and the ids that it knows.

A record is a length, a checksum and a body (`owed_message.py`); reading stops at the first damaged one.
"""

from __future__ import annotations

import struct
from collections.abc import Callable

from millweir.answers.final import FinalAnswer
from millweir.interface import MILLISECOND
from millweir.net import clock
from millweir.net.ended import EndedIds
from millweir.net.owed_message import (
    ACCEPTED_KIND,
    ACCEPTED_RECORD,
    CLOCK_KIND,
    CLOCK_RECORD,
    ENDED_KIND,
    FINAL_ANSWER_KIND,
    FINAL_ANSWER_RECORD,
    GIVEN_UP_KIND,
    GIVEN_UP_RECORD,
    KNOWN_ID_KIND,
    KNOWN_ID_RECORD,
    NEVER_RAN_KIND,
    NEVER_RAN_RECORD,
    TAKEN_KIND,
    TAKEN_RECORD,
    TRIP_KIND,
    TRIP_RECORD,
    UNKNOWN_SENT_AT,
    OwedMessage,
    decode_frames,
)


def _measure_set_back(recorded_offset: int) -> int:
    """How far the wall clock was set back since its offset to the monotonic clock was recorded in this boot.

    Rule 2 (no message takes effect twice): a trip must not seem younger than it is by the monotonic clock,
    which runs on between two processes of one boot.  A wall clock that was set ahead makes trips seem
    older; that is safe and is not corrected.
    """
    return max(0, recorded_offset - clock.wall_offset())


class JournalReader:
    """What the records of one file lead to; ids of messages that have ended go to `ended_ids`."""

    def __init__(self, ended_ids: EndedIds, log_line: Callable[[str], None]) -> None:
        self._ended_ids, self._log_line = ended_ids, log_line
        self.owed: dict[int, OwedMessage] = {}  # by number
        self.last_number = 0
        self.torn_bytes = 0  # behind the last whole record
        # How far the wall clock was set back since the file was written (None where that is unknown), and how
        # far it was moved in either direction.
        self._set_back_ns: int | None = None
        self._wall_clock_shift_ns = 0
        self._taken = (0, 0)  # of the message that comes next: its number, and when it was taken

    def read(self, raw: bytes) -> None:
        """Apply the whole content of a file."""
        offset = 0
        for body, end in decode_frames(raw):
            if not self._apply_record(body):
                break
            if body[0] != TAKEN_KIND:  # whole only with the accepted message behind it
                offset = end
        self.torn_bytes = len(raw) - offset

    def _apply_record(self, body: bytes) -> bool:
        """Apply one record to the messages in memory; False where it can't be decoded."""
        try:
            if body[0] == ACCEPTED_KIND:
                _, number, deadline, *lengths, destination = ACCEPTED_RECORD.unpack_from(body)
                texts, offset = [], ACCEPTED_RECORD.size
                for length in lengths:
                    texts.append(body[offset : offset + length])
                    offset += length
                # Rule 1 (an outcome in time), where the wall clock was set while no process ran: a
                # deadline is a span of time and moves with the clock.
                message = OwedMessage(
                    *texts, destination, deadline + self._wall_clock_shift_ns, body[offset:]
                )
                message.number = self.last_number = number
                if self._taken[0] == number:
                    message.taken_at = self._taken[1]
                self.owed[number] = message
                return True
            if body[0] == CLOCK_KIND:
                _, _, recorded_offset, boot_id = CLOCK_RECORD.unpack(body)
                same_boot = boot_id == clock.read_boot_id()
                self._set_back_ns = _measure_set_back(recorded_offset) if same_boot else None
                self._wall_clock_shift_ns = clock.wall_offset() - recorded_offset if same_boot else 0
                if self._set_back_ns is None or self._set_back_ns >= MILLISECOND:
                    self._log_line(
                        f"clock-set-back ns={'unknown' if self._set_back_ns is None else self._set_back_ns}"
                    )
                return True
            if body[0] == FINAL_ANSWER_KIND:
                self._apply_final_answer(body)
                return True
            if body[0] == KNOWN_ID_KIND:
                self._apply_known_id(body)
                return True
            if body[0] == TAKEN_KIND:
                _, _, *taken = TAKEN_RECORD.unpack(body)
                self._taken = tuple(taken) if self._set_back_ns is not None else (0, 0)
                return True
            message = self.owed.get(struct.unpack_from("<Q", body, 1)[0])
            if body[0] == ENDED_KIND:
                if message:
                    del self.owed[message.number]
                    until = clock.from_wall(message.deadline)
                    self._ended_ids.add(message.id, until, clock.monotonic_ns())
            elif message is None:
                pass  # A late record of a message that has ended is no damage: the records after it are read.
            elif body[0] == TRIP_KIND:
                sent_at = TRIP_RECORD.unpack(body)[2]
                message.add_trip(
                    UNKNOWN_SENT_AT if self._set_back_ns is None else sent_at - self._set_back_ns
                )
            elif body[0] == NEVER_RAN_KIND:
                message.trips[NEVER_RAN_RECORD.unpack(body)[2]][1] = 1
            elif body[0] == GIVEN_UP_KIND:
                _, _, retryable, wait = GIVEN_UP_RECORD.unpack(body)
                message.given_up = (bool(retryable), wait)
            else:
                return False
        except (struct.error, IndexError, ValueError):
            return False
        return True

    def _apply_final_answer(self, body: bytes) -> None:
        _, _, number, value = FINAL_ANSWER_RECORD.unpack(body)
        if message := self.owed.get(number):
            message.final_answer = FinalAnswer(value)

    def _apply_known_id(self, body: bytes) -> None:
        _, _, known_until = KNOWN_ID_RECORD.unpack_from(body)
        message_id = body[KNOWN_ID_RECORD.size :]
        if known_until:
            known_until = clock.from_wall(known_until + self._wall_clock_shift_ns)
            self._ended_ids.add(message_id, known_until, clock.monotonic_ns())
        else:
            self._ended_ids.forget(message_id)
