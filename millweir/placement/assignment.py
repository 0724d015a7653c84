"""An assignment: which relays are the replicas of each partition, under a version that only rises.

A partition in *handover* has `previous` replicas beside its replicas: those of the version before, which
may still send until they have acknowledged or their leases have ended (`holder.py`).  A later version
without `previous` says that the handover is over.

The digest of an assignment is the exclusive or of one hash a partition, so a difference updates it in steps
that grow with the changes alone, and two distributors that disagree are found by comparing eight bytes.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

import xxhash

from millweir.placement.partitions import PARTITIONS_MOST

REPLICAS_MOST = 64  # of one partition
UNASSIGNED = 0  # the version of the empty assignment


class PlacementError(Exception):
    """An assignment or a difference can't be taken; nothing of it has been."""


class StaleVersion(PlacementError):
    """Its version is below the one held."""


class ConflictingVersion(PlacementError):
    """Its version is the one held, its content another: two sources disagree."""


class VersionGap(PlacementError):
    """It is a difference from a version other than the one held; the whole assignment is needed."""


class GarbledAssignment(PlacementError):
    """It can't be read, or its content contradicts its checksum, its digest or itself."""


@dataclass(frozen=True, slots=True)
class Relay:
    """A relay as placement sees it."""

    name: str
    region: str
    zone: str
    weight: float = 1.0  # its part of the load, against the other relays'


@dataclass(frozen=True, slots=True)
class Placement:
    """The replicas of one partition, and in a handover those of the version before."""

    replicas: tuple[str, ...] = ()
    previous: tuple[str, ...] = ()

    @property
    def in_handover(self) -> bool:
        return bool(self.previous)

    def names(self, relay: str) -> bool:
        """Whether the relay is, or was in the version before, a replica."""
        return relay in self.replicas or relay in self.previous


EMPTY = Placement()


@dataclass(frozen=True, slots=True)
class PartitionChange:
    """What one partition's placement is from a version on."""

    partition: int
    placement: Placement


@dataclass(frozen=True, slots=True)
class Difference:
    """What leads from the assignment at `base` to the one at `version`."""

    base: int
    version: int
    changes: tuple[PartitionChange, ...]
    digest: int  # of the assignment that it leads to


def placement_digest(partition: int, placement: Placement) -> int:
    """One partition's part of the digest; 0 for an empty placement."""
    if placement == EMPTY:
        return 0
    names = "\0".join(placement.replicas) + "\1" + "\0".join(placement.previous)
    return xxhash.xxh3_64_intdigest(names.encode(), partition)


def check_placement(placement: Placement, partition: int, partitions: int) -> None:
    """GarbledAssignment where the partition is out of range, or replicas repeat or are too many."""
    if not 0 <= partition < partitions:
        raise GarbledAssignment(f"partition {partition} of {partitions}")
    for names in (placement.replicas, placement.previous):
        if len(names) > REPLICAS_MOST:
            raise GarbledAssignment(f"{len(names)} replicas of one partition")
        if len(set(names)) != len(names):
            raise GarbledAssignment(f"a replica stands twice in {names}")


class Assignment:
    """The placement of every partition at one version; a value: no method changes it."""

    __slots__ = ("_placements", "digest", "version")

    def __init__(self, version: int, placements: Iterable[Placement]) -> None:
        self.version = version
        self._placements = tuple(placements)
        if not 0 < len(self._placements) <= PARTITIONS_MOST:
            raise GarbledAssignment(f"{len(self._placements)} partitions")
        self.digest = 0
        for partition, placement in enumerate(self._placements):
            check_placement(placement, partition, self.partitions)
            self.digest ^= placement_digest(partition, placement)

    @classmethod
    def empty(cls, partitions: int) -> Assignment:
        """No partition has a replica yet."""
        return cls(UNASSIGNED, (EMPTY,) * partitions)

    @property
    def partitions(self) -> int:
        return len(self._placements)

    def __getitem__(self, partition: int) -> Placement:
        return self._placements[partition]

    def __iter__(self) -> Iterator[Placement]:
        return iter(self._placements)

    def __eq__(self, other: object) -> bool:
        if not isinstance(other, Assignment):
            return NotImplemented
        return self.version == other.version and self._placements == other._placements

    __hash__ = None

    def part_of(self, relay: str) -> dict[int, Placement]:
        """The partitions that name a relay: all that it has to be told."""
        return {number: placement for number, placement in enumerate(self) if placement.names(relay)}

    def difference_to(self, newer: Assignment) -> Difference:
        """What leads from here to a newer assignment; steps grow with the partitions."""
        if newer.partitions != self.partitions:
            raise GarbledAssignment(f"{newer.partitions} partitions instead of {self.partitions}")
        if newer.version <= self.version:
            raise StaleVersion(f"version {newer.version} after {self.version}")
        pairs = zip(self, newer, strict=True)
        changes = tuple(
            PartitionChange(number, after) for number, (before, after) in enumerate(pairs) if before != after
        )
        return Difference(self.version, newer.version, changes, newer.digest)

    def apply(self, difference: Difference) -> Assignment:
        """The assignment that a difference leads to; a PlacementError and no change where it doesn't fit.

        One copy of the table; checks and digest grow with the changes alone.
        """
        if repeats(difference, self.version, self.digest):
            return self
        digest = checked_digest(difference, self._placements, self.digest)
        placements = list(self._placements)
        for change in difference.changes:
            placements[change.partition] = change.placement
        newer = object.__new__(Assignment)
        newer.version, newer._placements, newer.digest = difference.version, tuple(placements), digest
        return newer


def repeats(difference: Difference, version: int, digest: int) -> bool:
    """Whether it only repeats what is held; StaleVersion, ConflictingVersion or VersionGap otherwise."""
    if difference.version < version:
        raise StaleVersion(f"version {difference.version}, held is {version}")
    if difference.version == version:
        if difference.digest == digest:
            return True
        raise ConflictingVersion(f"version {version} with other content")
    if difference.base != version:
        raise VersionGap(f"difference from version {difference.base}, held is {version}")
    return False


def checked_digest(
    difference: Difference, placements: list[Placement] | tuple[Placement, ...], digest: int
) -> int:
    """The digest after a difference; GarbledAssignment where it contradicts itself."""
    seen = set()
    for change in difference.changes:
        check_placement(change.placement, change.partition, len(placements))
        if change.partition in seen:
            raise GarbledAssignment(f"partition {change.partition} stands twice there")
        seen.add(change.partition)
        digest ^= placement_digest(change.partition, placements[change.partition])
        digest ^= placement_digest(change.partition, change.placement)
    if digest != difference.digest:
        raise GarbledAssignment(f"the digest at version {difference.version} is another one")
    return digest
