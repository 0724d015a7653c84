"""Messages between configuration store, distributors, relays and coordinator, and their encoding.

A frame is an eight-byte xxh3_64 checksum of the body, then the body: a tagged MessagePack array. New fields
are appended at the end and have a default. Versions are global: each change of the configuration has the next
integer, and a partition's version is that of its latest change.
"""

from __future__ import annotations

from enum import IntEnum

import msgspec
from xxhash import xxh3_64_digest

CHECKSUM_BYTES = 8
MAX_FRAME_BYTES = 65_536  # longer frames are refused without decoding
MAX_RELAY_NAME_LENGTH = 64
MAX_KEY_BYTES = 256
MAX_VALUE_BYTES = 1_024
ENTRY_OVERHEAD_BYTES = 8  # upper bound of what MessagePack adds to a key and its value
MAX_CHANGE_BYTES = 2_000  # of one change's edits; the store splits larger changes
CAUGHT_UP = -1  # RelayProgress: the relay has everything that its distributor has


class Edit(msgspec.Struct, array_like=True, frozen=True):
    """A new value of one entry, or its removal if the value is None."""

    key: bytes
    value: bytes | None


class Change(msgspec.Struct, array_like=True, frozen=True):
    """A change from the store; versions have no gaps, and each change names its partition's previous one."""

    version: int
    partition: int
    previous_version: int  # the partition's version before the change
    edits: tuple[Edit, ...]
    digest: int  # of the partition's entries after the change


class HeldPartition(msgspec.Struct, array_like=True, frozen=True):
    """Version and digest of one partition held by a relay."""

    partition: int
    version: int
    digest: int


class Hello(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """Relay to distributor, first on each connection: the relay's name and what it holds."""

    relay: str
    session_number: int  # increases with each hello and each start
    assignment_version: int  # of the assignment that the relay holds
    partitions: tuple[HeldPartition, ...]


class Acknowledgement(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """Relay to distributor: the partition is stored and in force at this version."""

    partition: int
    version: int


class PartitionRequest(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """Relay to distributor: request the changes of a partition after a version, or all its entries."""

    partition: int
    version: int
    full: bool


class Status(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """Distributor to relay: reply to a hello, then sent periodically."""

    version: int  # of the latest change that the distributor has
    assignment_version: int  # at which this relay's partitions were last changed
    behind: bool  # the store has later changes, or its heartbeats have timed out


class Unavailable(msgspec.Struct, array_like=True, frozen=True, tag=5):
    """Distributor to relay: the hello is refused, use another distributor."""

    reason: str


class Assign(msgspec.Struct, array_like=True, frozen=True, tag=6):
    """Distributor to relay: the partitions assigned to the relay."""

    version: int
    partitions: tuple[int, ...]


class Delta(msgspec.Struct, array_like=True, frozen=True, tag=7):
    """Edits of a partition after `previous_version` up to `version`, only the latest of each key."""

    partition: int
    previous_version: int
    version: int
    edits: tuple[Edit, ...]
    digest: int  # of the partition's entries at `version`


class Chunk(msgspec.Struct, array_like=True, frozen=True, tag=8):
    """A part of a partition's snapshot."""

    partition: int
    version: int
    index: int
    chunk_count: int
    entries: tuple[Edit, ...]
    digest: int  # of the whole snapshot


class Disagreement(msgspec.Struct, array_like=True, frozen=True, tag=9):
    """Distributor to relay: the digest held by the distributor at this version differs from the relay's."""

    partition: int
    version: int
    digest: int


class RelayProgress(msgspec.Struct, array_like=True, frozen=True):
    """Row of a report: how far one relay has acknowledged changes."""

    relay: str
    session_number: int
    assignment_version: int  # at which this relay's partitions were last changed
    attached: bool
    # All changes up to this one are acknowledged; CAUGHT_UP: all that the distributor has.
    acknowledged_version: int


class Report(msgspec.Struct, array_like=True, frozen=True, tag=10):
    """Distributor to coordinator: aggregated acknowledgements; rows that differ from the last report."""

    distributor: str
    incarnation: int  # increases with each start of the distributor
    sequence: int  # increases by one with each report of an incarnation
    full: bool  # has all rows: relays without one are not attached
    applied_version: int  # of the latest change that the distributor has applied
    rows: tuple[RelayProgress, ...]


Message = (
    Hello
    | Acknowledgement
    | PartitionRequest
    | Status
    | Unavailable
    | Assign
    | Delta
    | Chunk
    | Disagreement
    | Report
)


class RefusalReason(IntEnum):
    """Why a relay refused a message."""

    UNREADABLE = 0  # wrong checksum, form or length
    DIGEST = 1  # the resulting entries do not have the digest given
    DISPUTED = 2  # contradicts the digest held at the same version, or the store's


class UnreadableFrame(ValueError):
    """A frame has a wrong length, checksum or form; nothing of it was applied."""


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Message).decode


def encode_frame(message: Message) -> bytes:
    """Encode a message as a checksummed frame."""
    body = _encode(message)
    return xxh3_64_digest(body) + body


def decode_frame(frame: bytes) -> Message:
    """Decode the message in a frame; raise `UnreadableFrame` if anything is wrong with it."""
    if not CHECKSUM_BYTES < len(frame) <= MAX_FRAME_BYTES:
        raise UnreadableFrame(f"{len(frame)} bytes: frame length out of bounds")
    body = frame[CHECKSUM_BYTES:]
    if xxh3_64_digest(body) != frame[:CHECKSUM_BYTES]:
        raise UnreadableFrame("frame checksum mismatch")
    try:
        return _decode(body)
    except msgspec.DecodeError as error:
        raise UnreadableFrame(str(error)) from None
