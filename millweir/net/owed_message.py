"""An accepted message, and the records of the journal's file that hold it.

A record is a length, a checksum and a body; the first byte of the body is its kind.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterator

from millweir.answers.final import FinalAnswer

FRAME_HEADER = struct.Struct("<II")  # length of the body, its checksum
ACCEPTED_RECORD = struct.Struct("<BQqHHHHHi")  # kind, number, deadline, lengths of five texts, destination
TRIP_RECORD = struct.Struct("<BQq")  # kind, number, when it was sent
NEVER_RAN_RECORD = struct.Struct("<BQH")  # kind, number, index of the trip that never ran
GIVEN_UP_RECORD = struct.Struct("<BQBq")  # kind, number, whether the client may retry, retry-after
ENDED_RECORD = struct.Struct("<BQ")  # kind, number
# Kind, number, wall clock minus monotonic clock, boot id.  The number is 0, so that earlier builds skip
# the record.
CLOCK_RECORD = struct.Struct("<BQq16s")
# Kind, 0 (so that earlier builds skip the record), number, the final answer that is not confirmed.
FINAL_ANSWER_RECORD = struct.Struct("<BQQB")
# Kind, 0, until when the id that follows is known (wall time; 0: it is not known): of a message that has
# ended, and may be handed in again.
KNOWN_ID_RECORD = struct.Struct("<BQq")
# Kind, 0, number, when the message with a key that the next record holds was taken (monotonic time in the
# boot of the clock record).
TAKEN_RECORD = struct.Struct("<BQQq")
ACCEPTED_KIND = 1
TRIP_KIND = 2
NEVER_RAN_KIND = 3
GIVEN_UP_KIND = 4
ENDED_KIND = 5
CLOCK_KIND = 6
FINAL_ANSWER_KIND = 7
KNOWN_ID_KIND = 8
TAKEN_KIND = 9
NO_TRIP = -1
UNKNOWN_SENT_AT = 0  # wall time of a trip whose age can't be determined
# The most that one trip takes in a file, and a message without its texts, body and trips.
MAX_TRIP_BYTES = 2 * FRAME_HEADER.size + TRIP_RECORD.size + NEVER_RAN_RECORD.size
MAX_FIXED_BYTES = (
    3 * FRAME_HEADER.size + ACCEPTED_RECORD.size + GIVEN_UP_RECORD.size + FINAL_ANSWER_RECORD.size
)


class OwedMessage:
    """An accepted message, from its acceptance to its final outcome."""

    __slots__ = (
        "account",
        "body",
        "deadline",
        "destination",
        "ended_by_trip",
        "final_answer",
        "given_up",
        "id",
        "idempotency_key",
        "key",
        "number",
        "profile",
        "restored",
        "size",
        "taken_at",
        "trips",
    )

    def __init__(
        self,
        message_id: bytes,
        profile: bytes,
        account: bytes,
        key: bytes,
        idempotency_key: bytes,
        destination: int,
        deadline: int,
        body: bytes,
    ) -> None:
        self.number = 0
        self.id = message_id
        self.profile = profile
        self.account = account
        self.key = key  # messages with the same key keep their order
        self.idempotency_key = idempotency_key  # by which the destination recognises a repeat
        self.destination = destination
        self.deadline = deadline  # wall time, like all times here
        self.body = body
        self.trips: list[list[int]] = []  # when each was sent, and 1 once it is known that it never ran
        self.given_up: tuple[bool, int] | None = None
        self.final_answer: FinalAnswer | None = None  # unproven: it is not sent again, and not ended yet
        self.ended_by_trip = NO_TRIP  # index of the trip whose answer ended it, once a silence confirmed that
        self.restored = False  # accepted before the restart
        # Monotonic time, by which messages with one key are ordered; 0: not recorded, or in another boot.
        self.taken_at = 0
        # The most it takes in a file.
        self.size = MAX_FIXED_BYTES + sum(map(len, self.text_fields)) + len(body)
        if key:
            self.size += FRAME_HEADER.size + TAKEN_RECORD.size

    @property
    def text_fields(self) -> tuple[bytes, ...]:
        return self.id, self.profile, self.account, self.key, self.idempotency_key

    @property
    def may_have_run(self) -> bool:
        """Whether a trip may have run, and may still."""
        return any(not never_ran for _, never_ran in self.trips)

    def add_trip(self, sent_at: int) -> None:
        self.trips.append([sent_at, 0])
        self.size += MAX_TRIP_BYTES

    def encode_records(self) -> list[bytes]:
        """All records that a file must hold for this message."""
        head = ACCEPTED_RECORD.pack(
            ACCEPTED_KIND, self.number, self.deadline, *map(len, self.text_fields), self.destination
        )
        bodies = [TAKEN_RECORD.pack(TAKEN_KIND, 0, self.number, self.taken_at)] if self.key else []
        bodies.append(b"".join((head, *self.text_fields, self.body)))
        for index, (sent_at, never_ran) in enumerate(self.trips):
            bodies.append(TRIP_RECORD.pack(TRIP_KIND, self.number, sent_at))
            if never_ran:
                bodies.append(NEVER_RAN_RECORD.pack(NEVER_RAN_KIND, self.number, index))
        if self.final_answer:
            bodies.append(self.encode_final_answer())
        if self.given_up:
            bodies.append(GIVEN_UP_RECORD.pack(GIVEN_UP_KIND, self.number, *self.given_up))
        return bodies

    def encode_final_answer(self) -> bytes:
        """The record of its final answer."""
        return FINAL_ANSWER_RECORD.pack(FINAL_ANSWER_KIND, 0, self.number, self.final_answer.value)


def encode_known_id(message_id: bytes, known_until: int) -> bytes:
    """The record of an ended message's id; `known_until`: wall time."""
    return KNOWN_ID_RECORD.pack(KNOWN_ID_KIND, 0, known_until) + message_id


def decode_frames(raw: bytes) -> Iterator[tuple[bytes, int]]:
    """Yield the body of each whole record, and where it ends; stop at the first damaged one."""
    offset = 0
    while offset + FRAME_HEADER.size <= len(raw):
        size, checksum = FRAME_HEADER.unpack_from(raw, offset)
        start = offset + FRAME_HEADER.size
        body = raw[start : start + size]
        if len(body) < size or not size or zlib.crc32(body) != checksum:
            return
        offset = start + size
        yield body, offset


def encode_frames(bodies: list[bytes]) -> bytes:
    return b"".join([FRAME_HEADER.pack(len(body), zlib.crc32(body)) + body for body in bodies])
