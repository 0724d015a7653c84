"""Encoding of assignments and differences: MessagePack with a table of names, in an envelope with a checksum.

The checksum (xxh3, 128 bits) detects corruption in transit or on disk.  It does not protect against forgery:
authenticating the sender is the task of the transport.
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
    InvalidAssignment,
    PartitionChange,
    Placement,
)
from millweir.placement.partitions import MAX_PARTITIONS

FORMAT_VERSION = 1
MAX_NAMES = 1 << 16  # an index into the names is two bytes
MAX_ENCODED_BYTES = 64 << 20

Content = TypeVar("Content")
Count = Annotated[int, msgspec.Meta(ge=0)]


class Envelope(msgspec.Struct, array_like=True, frozen=True):
    """Encoded content with its format version and checksum."""

    format: int
    checksum: bytes
    content: bytes


class EncodedChange(msgspec.Struct, array_like=True, frozen=True):
    """A partition's placement; relays are indices into the table of names."""

    partition: Count
    replicas: tuple[Count, ...]
    previous: tuple[Count, ...] = ()


class EncodedDifference(msgspec.Struct, array_like=True, frozen=True):
    """A difference; `names` are those that its changes refer to."""

    base_version: Count
    version: Count
    digest: bytes
    names: tuple[str, ...]
    changes: tuple[EncodedChange, ...]


class EncodedAssignment(msgspec.Struct, array_like=True, frozen=True):
    """A full assignment: one column of counts, one of two-byte indices, and the handovers."""

    version: Count
    digest: bytes
    names: tuple[str, ...]
    counts: bytes  # of replicas, one byte per partition
    replicas: bytes  # indices of names, two bytes each, little-endian
    handovers: tuple[tuple[Count, tuple[Count, ...]], ...]  # partition, indices of the previous replicas


class NameTable:
    """Numbers names in the order of their first use."""

    __slots__ = ("_index",)

    def __init__(self) -> None:
        self._index: dict[str, int] = {}

    def get_or_add_index(self, name: str) -> int:
        found = self._index.setdefault(name, len(self._index))
        if found >= MAX_NAMES:
            raise ValueError(f"more than {MAX_NAMES} names")
        return found

    def get_or_add_indices(self, names: Iterable[str]) -> tuple[int, ...]:
        return tuple(self.get_or_add_index(name) for name in names)

    def names(self) -> tuple[str, ...]:
        return tuple(self._index)


def encode_assignment(assignment: Assignment) -> bytes:
    """Encode a full assignment."""
    table, replicas, handovers = NameTable(), array("H"), []
    for partition, placement in enumerate(assignment):
        replicas.extend(table.get_or_add_indices(placement.replicas))
        if placement.in_handover:
            handovers.append((partition, table.get_or_add_indices(placement.previous)))
    counts = bytes(len(placement.replicas) for placement in assignment)
    return _wrap(
        EncodedAssignment(
            assignment.version,
            _encode_digest(assignment.digest),
            table.names(),
            counts,
            _swap_to_little_endian(replicas).tobytes(),
            tuple(handovers),
        )
    )


def decode_assignment(data: bytes) -> Assignment:
    """Decode a full assignment; raises InvalidAssignment if anything in it is wrong."""
    encoded = _unwrap(data, EncodedAssignment)
    if not 0 < len(encoded.counts) <= MAX_PARTITIONS or len(encoded.replicas) != 2 * sum(encoded.counts):
        raise InvalidAssignment("counts don't match the number of replicas")
    indices = array("H")
    indices.frombytes(encoded.replicas)
    names = _resolve_names(encoded.names, _swap_to_little_endian(indices))
    previous = {partition: _resolve_names(encoded.names, at) for partition, at in encoded.handovers}
    if not previous.keys() <= set(range(len(encoded.counts))):
        raise InvalidAssignment("handover of an unknown partition")
    placements, start = [], 0
    for partition, count in enumerate(encoded.counts):
        placements.append(Placement(names[start : start + count], previous.get(partition, ())))
        start += count
    assignment = Assignment(encoded.version, placements)
    if _encode_digest(assignment.digest) != encoded.digest:
        raise InvalidAssignment(f"the digest at version {encoded.version} does not match")
    return assignment


def encode_difference(difference: Difference) -> bytes:
    """Encode a difference."""
    table = NameTable()
    changes = tuple(
        EncodedChange(
            change.partition,
            table.get_or_add_indices(change.placement.replicas),
            table.get_or_add_indices(change.placement.previous),
        )
        for change in difference.changes
    )
    digest = _encode_digest(difference.digest)
    return _wrap(
        EncodedDifference(difference.base_version, difference.version, digest, table.names(), changes)
    )


def decode_difference(data: bytes) -> Difference:
    """Decode a difference; raises InvalidAssignment if it is malformed.

    `Assignment.apply` checks whether it can be applied.
    """
    encoded = _unwrap(data, EncodedDifference)
    changes = tuple(
        PartitionChange(
            change.partition,
            Placement(
                _resolve_names(encoded.names, change.replicas), _resolve_names(encoded.names, change.previous)
            ),
        )
        for change in encoded.changes
    )
    return Difference(
        encoded.base_version, encoded.version, changes, int.from_bytes(encoded.digest, "little")
    )


def _wrap(content: msgspec.Struct) -> bytes:
    packed = msgspec.msgpack.encode(content)
    return msgspec.msgpack.encode(Envelope(FORMAT_VERSION, xxhash.xxh3_128_digest(packed), packed))


def _unwrap(data: bytes, kind: type[Content]) -> Content:
    if len(data) > MAX_ENCODED_BYTES:
        raise InvalidAssignment(f"{len(data)} bytes")
    try:
        envelope = msgspec.msgpack.decode(data, type=Envelope)
        if envelope.format != FORMAT_VERSION:
            raise InvalidAssignment(f"format {envelope.format}, expected {FORMAT_VERSION}")
        if xxhash.xxh3_128_digest(envelope.content) != envelope.checksum:
            raise InvalidAssignment("checksum mismatch")
        return msgspec.msgpack.decode(envelope.content, type=kind)
    except msgspec.DecodeError as error:
        raise InvalidAssignment(str(error)) from error


def _resolve_names(names: tuple[str, ...], indices: Iterable[int]) -> tuple[str, ...]:
    try:
        return tuple(names[index] for index in indices)
    except IndexError:
        raise InvalidAssignment("replica index out of range") from None


def _encode_digest(digest: int) -> bytes:
    return digest.to_bytes(8, "little")


def _swap_to_little_endian(indices: array) -> array:
    if array("H", [1]).tobytes() != b"\1\0":
        indices.byteswap()
    return indices
