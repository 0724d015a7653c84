"""Assignments and differences as bytes: MessagePack with a table of names, in an envelope with a checksum.

The checksum (xxh3, 128 bits) finds what was garbled on the way or on disk.  It is no protection against
forging: who may speak is for the transport's seal.
"""

from __future__ import annotations

from array import array
from collections.abc import Iterable
from typing import Annotated, TypeVar

import msgspec
import xxhash

from millweir.placement.assignment import (
    Assignment,
    Difference,
    GarbledAssignment,
    PartitionChange,
    Placement,
)
from millweir.placement.partitions import PARTITIONS_MOST

FORMAT = 1
NAMES_MOST = 1 << 16  # an index into the names is two bytes
BYTES_MOST = 64 << 20

Content = TypeVar("Content")
Count = Annotated[int, msgspec.Meta(ge=0)]


class Envelope(msgspec.Struct, array_like=True, frozen=True):
    """Bytes with what tells whether they are whole."""

    format: int
    checksum: bytes
    content: bytes


class EncodedChange(msgspec.Struct, array_like=True, frozen=True):
    """A partition's placement, relays by their index in the table of names."""

    partition: Count
    replicas: tuple[Count, ...]
    previous: tuple[Count, ...] = ()


class EncodedDifference(msgspec.Struct, array_like=True, frozen=True):
    """A difference; `names` are those that its changes need."""

    base: Count
    version: Count
    digest: bytes
    names: tuple[str, ...]
    changes: tuple[EncodedChange, ...]


class EncodedAssignment(msgspec.Struct, array_like=True, frozen=True):
    """A whole assignment: one column of counts, one of two-byte indices; handovers beside them."""

    version: Count
    digest: bytes
    names: tuple[str, ...]
    counts: bytes  # of replicas, one byte a partition
    replicas: bytes  # indices of names, two bytes each, little-endian
    handovers: tuple[tuple[Count, tuple[Count, ...]], ...]  # partition, indices of the previous replicas


class NameTable:
    """Numbers names in the order in which they are first met."""

    __slots__ = ("_index",)

    def __init__(self) -> None:
        self._index: dict[str, int] = {}

    def index(self, name: str) -> int:
        found = self._index.setdefault(name, len(self._index))
        if found >= NAMES_MOST:
            raise ValueError(f"more than {NAMES_MOST} names")
        return found

    def indices(self, names: Iterable[str]) -> tuple[int, ...]:
        return tuple(self.index(name) for name in names)

    def names(self) -> tuple[str, ...]:
        return tuple(self._index)


def encode_assignment(assignment: Assignment) -> bytes:
    """A whole assignment as bytes."""
    table, replicas, handovers = NameTable(), array("H"), []
    for partition, placement in enumerate(assignment):
        replicas.extend(table.indices(placement.replicas))
        if placement.in_handover:
            handovers.append((partition, table.indices(placement.previous)))
    counts = bytes(len(placement.replicas) for placement in assignment)
    return _seal(
        EncodedAssignment(
            assignment.version,
            _digest_bytes(assignment.digest),
            table.names(),
            counts,
            _little_endian(replicas).tobytes(),
            tuple(handovers),
        )
    )


def decode_assignment(data: bytes) -> Assignment:
    """Read a whole assignment; GarbledAssignment where anything in it is wrong."""
    encoded = _open(data, EncodedAssignment)
    if not 0 < len(encoded.counts) <= PARTITIONS_MOST or len(encoded.replicas) != 2 * sum(encoded.counts):
        raise GarbledAssignment("counts and replicas don't fit together")
    indices = array("H")
    indices.frombytes(encoded.replicas)
    names = _named(encoded.names, _little_endian(indices))
    previous = {partition: _named(encoded.names, at) for partition, at in encoded.handovers}
    if not previous.keys() <= set(range(len(encoded.counts))):
        raise GarbledAssignment("a handover of a partition that is not there")
    placements, start = [], 0
    for partition, count in enumerate(encoded.counts):
        placements.append(Placement(names[start : start + count], previous.get(partition, ())))
        start += count
    assignment = Assignment(encoded.version, placements)
    if _digest_bytes(assignment.digest) != encoded.digest:
        raise GarbledAssignment(f"the digest at version {encoded.version} is another one")
    return assignment


def encode_difference(difference: Difference) -> bytes:
    """A difference as bytes."""
    table = NameTable()
    changes = tuple(
        EncodedChange(
            change.partition,
            table.indices(change.placement.replicas),
            table.indices(change.placement.previous),
        )
        for change in difference.changes
    )
    digest = _digest_bytes(difference.digest)
    return _seal(EncodedDifference(difference.base, difference.version, digest, table.names(), changes))


def decode_difference(data: bytes) -> Difference:
    """Read a difference; GarbledAssignment where it can't be read.  `Assignment.apply` checks if it fits."""
    encoded = _open(data, EncodedDifference)
    changes = tuple(
        PartitionChange(
            change.partition,
            Placement(_named(encoded.names, change.replicas), _named(encoded.names, change.previous)),
        )
        for change in encoded.changes
    )
    return Difference(encoded.base, encoded.version, changes, int.from_bytes(encoded.digest, "little"))


def _seal(content: msgspec.Struct) -> bytes:
    packed = msgspec.msgpack.encode(content)
    return msgspec.msgpack.encode(Envelope(FORMAT, xxhash.xxh3_128_digest(packed), packed))


def _open(data: bytes, kind: type[Content]) -> Content:
    if len(data) > BYTES_MOST:
        raise GarbledAssignment(f"{len(data)} bytes")
    try:
        envelope = msgspec.msgpack.decode(data, type=Envelope)
        if envelope.format != FORMAT:
            raise GarbledAssignment(f"format {envelope.format}, known is {FORMAT}")
        if xxhash.xxh3_128_digest(envelope.content) != envelope.checksum:
            raise GarbledAssignment("the checksum is another one")
        return msgspec.msgpack.decode(envelope.content, type=kind)
    except msgspec.DecodeError as fault:
        raise GarbledAssignment(str(fault)) from fault


def _named(names: tuple[str, ...], indices: Iterable[int]) -> tuple[str, ...]:
    try:
        return tuple(names[index] for index in indices)
    except IndexError:
        raise GarbledAssignment("a replica without a name") from None


def _digest_bytes(digest: int) -> bytes:
    return digest.to_bytes(8, "little")


def _little_endian(indices: array) -> array:
    if array("H", [1]).tobytes() != b"\1\0":
        indices.byteswap()
    return indices
