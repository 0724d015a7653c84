"""What register, distributors and relays tell each other: MessagePack arrays behind a checksum.

A frame is eight bytes of xxh3_64 over the body, then the body, a tagged array.  New fields go to the end and
have a default.  Versions are global: each change of the configuration has the next whole number, and a
partition's version is that of the last change that fell into it.
"""

from __future__ import annotations

from enum import IntEnum

import msgspec
from xxhash import xxh3_64_digest

CHECKSUM_LENGTH = 8
FRAME_MOST = 65_536  # bytes; longer ones are refused unread
NAME_MOST = 64
KEY_MOST = 256
VALUE_MOST = 1_024
ENTRY_OVERHEAD = 8  # bytes that MessagePack adds to a key with its value, at the most
CHANGE_BYTES_MOST = 2_000  # of one change's edits; the register splits larger ones
CAUGHT_UP = -1  # Row.floor: the relay lacks nothing that its distributor has


class Edit(msgspec.Struct, array_like=True, frozen=True):
    """One entry's new value; None removes it."""

    key: bytes
    value: bytes | None


class Change(msgspec.Struct, array_like=True, frozen=True):
    """A change as the register gives it, in order: versions have no gaps, partitions' versions chain."""

    version: int
    partition: int
    previous: int  # the partition's version before
    edits: tuple[Edit, ...]
    digest: int  # of the partition's entries after it


class Held(msgspec.Struct, array_like=True, frozen=True):
    """One partition in a relay's folder."""

    partition: int
    version: int
    digest: int


class Hello(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """Relay to distributor, first on each connection: who it is and what it holds."""

    relay: str
    session: int  # rises with each connection and each start
    assignment: int  # the version of the assignment that it holds
    held: tuple[Held, ...]


class Acknowledge(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """Relay to distributor: the partition is written and in force at this version."""

    partition: int
    version: int


class Request(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """Relay to distributor: send the partition from this version on, or whole."""

    partition: int
    version: int
    whole: bool


class Status(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """Distributor to relay: the answer to a hello, then now and again."""

    version: int  # the last change that the distributor has
    assignment: int  # at which this relay's partitions were last changed
    behind: bool  # it knows that the register is further, or has not heard it for long


class Unavailable(msgspec.Struct, array_like=True, frozen=True, tag=5):
    """Distributor to relay: go to another one."""

    reason: str


class Assign(msgspec.Struct, array_like=True, frozen=True, tag=6):
    """Distributor to relay: these partitions are yours."""

    version: int
    partitions: tuple[int, ...]


class Delta(msgspec.Struct, array_like=True, frozen=True, tag=7):
    """All edits of a partition after `previous` up to `version`, the last of each key."""

    partition: int
    previous: int
    version: int
    edits: tuple[Edit, ...]
    digest: int  # of the partition's entries at `version`


class Chunk(msgspec.Struct, array_like=True, frozen=True, tag=8):
    """A piece of a partition's snapshot."""

    partition: int
    version: int
    index: int
    count: int
    entries: tuple[Edit, ...]
    digest: int  # of the whole snapshot


class Disagreement(msgspec.Struct, array_like=True, frozen=True, tag=9):
    """Distributor to relay: at this version I hold other entries than you."""

    partition: int
    version: int
    digest: int


class Row(msgspec.Struct, array_like=True, frozen=True):
    """How far one relay is, by its distributor."""

    relay: str
    session: int
    assigned: int  # the assignment's version at which this relay's partitions were last changed
    attached: bool
    floor: int  # all changes up to this one are acknowledged; CAUGHT_UP: all that the distributor has


class Report(msgspec.Struct, array_like=True, frozen=True, tag=10):
    """Distributor to coordinator: acknowledgements joined; rows that differ from the last report."""

    distributor: str
    life: int  # rises with each start of the distributor
    sequence: int  # rises by one with each report of a life
    full: bool  # all rows; relays that have none are not attached
    applied: int
    rows: tuple[Row, ...]


Message = (
    Hello | Acknowledge | Request | Status | Unavailable | Assign | Delta | Chunk | Disagreement | Report
)


class RefusalReason(IntEnum):
    """Why a message was refused."""

    UNREADABLE = 0  # checksum, form or length
    DIGEST = 1  # the entries that it leads to have another digest than it says
    DISPUTED = 2  # it contradicts what is held at the same version, or the register's word


class UnreadableFrame(ValueError):
    """A frame's checksum or form is wrong; nothing of it was taken in."""


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Message).decode


def encode_frame(message: Message) -> bytes:
    """A message as it is sent."""
    body = _encode(message)
    return xxh3_64_digest(body) + body


def decode_frame(frame: bytes) -> Message:
    """The message in a frame; UnreadableFrame where anything of it is wrong."""
    if not CHECKSUM_LENGTH < len(frame) <= FRAME_MOST:
        raise UnreadableFrame(f"{len(frame)} bytes")
    body = frame[CHECKSUM_LENGTH:]
    if xxh3_64_digest(body) != frame[:CHECKSUM_LENGTH]:
        raise UnreadableFrame("the checksum differs")
    try:
        return _decode(body)
    except msgspec.DecodeError as fault:
        raise UnreadableFrame(str(fault)) from None
