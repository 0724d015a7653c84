"""Partitions: a fixed number of parts into which destinations fall by a stable hash."""

from __future__ import annotations

import xxhash

PARTITIONS = 32_768  # of a fleet; fixed when it is set up, as every destination would move with it
PARTITIONS_MOST = 1 << 20
DESTINATION_BYTES = 8
HASH_SEED = 0x6D696C6C  # part of the format: another seed is another spread


def partition_of(destination: int, partitions: int) -> int:
    """The partition of a destination: the same on every machine, in every version of the program."""
    if not 0 < partitions <= PARTITIONS_MOST:
        raise ValueError(f"{partitions} partitions; there may be 1 to {PARTITIONS_MOST}")
    key = destination.to_bytes(DESTINATION_BYTES, "little")
    return xxhash.xxh3_64_intdigest(key, HASH_SEED) % partitions
