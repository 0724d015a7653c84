"""Partitions: a fixed number of buckets to which destinations are assigned by a stable hash."""

from __future__ import annotations

import xxhash

PARTITIONS = 32_768  # of a fleet; fixed at its setup, as another number would move every destination
MAX_PARTITIONS = 1 << 20
DESTINATION_BYTES = 8
HASH_SEED = 0x6D696C6C  # part of the format: another seed distributes destinations differently


def find_partition(destination: int, partitions: int) -> int:
    """The partition of a destination: the same on every machine, in every version of the program."""
    if not 0 < partitions <= MAX_PARTITIONS:
        raise ValueError(f"{partitions} partitions; there may be 1 to {MAX_PARTITIONS}")
    key = destination.to_bytes(DESTINATION_BYTES, "little")
    return xxhash.xxh3_64_intdigest(key, HASH_SEED) % partitions
