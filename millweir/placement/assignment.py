"""Assignments: which relays are the replicas of each partition, under a version that only increases.

A partition in *handover* has `previous` replicas in addition to its replicas: those of the version before,
which may still send until they have acknowledged the change or their leases have expired (`holder.py`).  A
later version without `previous` ends the handover.

The digest of an assignment is the exclusive or of one hash per partition, so the cost of updating it by a
difference grows with the changes alone, and a comparison of eight bytes detects two distributors that
disagree.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

import xxhash

from millweir.placement.partitions import MAX_PARTITIONS

MAX_REPLICAS = 64  # of one partition
EMPTY_VERSION = 0  # of the assignment without replicas


class PlacementError(Exception):
    """An assignment or a difference can't be applied; nothing was changed."""


class StaleVersion(PlacementError):
    """Its version is lower than the current one."""


class ConflictingVersion(PlacementError):
    """Its version is the current one but its content differs: two sources disagree."""


class VersionGap(PlacementError):
    """The difference starts from another version than the current one; the full assignment is needed."""


class InvalidAssignment(PlacementError):
    """It can't be decoded, or its content contradicts its checksum, its digest or itself."""


@dataclass(frozen=True, slots=True)
class Relay:
    """A relay as placement sees it."""

    name: str
    region: str
    zone: str
    weight: float = 1.0  # of its fair share of the load, relative to the other relays


@dataclass(frozen=True, slots=True)
class Placement:
    """The replicas of one partition, and during a handover those of the version before."""

    replicas: tuple[str, ...] = ()
    previous: tuple[str, ...] = ()

    @property
    def in_handover(self) -> bool:
        return bool(self.previous)

    def involves(self, relay: str) -> bool:
        """Whether the relay is a replica, or was one in the version before."""
        return relay in self.replicas or relay in self.previous


EMPTY_PLACEMENT = Placement()


@dataclass(frozen=True, slots=True)
class PartitionChange:
    """The new placement of one partition."""

    partition: int
    placement: Placement


@dataclass(frozen=True, slots=True)
class Difference:
    """The changes from the assignment at `base_version` to the one at `version`."""

    base_version: int
    version: int
    changes: tuple[PartitionChange, ...]
    digest: int  # of the assignment at `version`


def compute_placement_digest(partition: int, placement: Placement) -> int:
    """The hash of one partition in the digest; 0 for an empty placement."""
    if placement == EMPTY_PLACEMENT:
        return 0
    names = "\0".join(placement.replicas) + "\1" + "\0".join(placement.previous)
    return xxhash.xxh3_64_intdigest(names.encode(), partition)


def validate_placement(placement: Placement, partition: int, partitions: int) -> None:
    """Raise InvalidAssignment for a partition out of range, repeated replicas or too many of them."""
    if not 0 <= partition < partitions:
        raise InvalidAssignment(f"partition {partition} of {partitions}")
    for names in (placement.replicas, placement.previous):
        if len(names) > MAX_REPLICAS:
            raise InvalidAssignment(f"{len(names)} replicas of one partition")
        if len(set(names)) != len(names):
            raise InvalidAssignment(f"duplicate replica in {names}")


class Assignment:
    """The placement of every partition at one version; immutable."""

    __slots__ = ("_placements", "digest", "version")

    def __init__(self, version: int, placements: Iterable[Placement]) -> None:
        self.version = version
        self._placements = tuple(placements)
        if not 0 < len(self._placements) <= MAX_PARTITIONS:
            raise InvalidAssignment(f"{len(self._placements)} partitions")
        self.digest = 0
        for partition, placement in enumerate(self._placements):
            validate_placement(placement, partition, self.partitions)
            self.digest ^= compute_placement_digest(partition, placement)

    @classmethod
    def empty(cls, partitions: int) -> Assignment:
        """The assignment in which no partition has a replica."""
        return cls(EMPTY_VERSION, (EMPTY_PLACEMENT,) * partitions)

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

    def select_placements_of(self, relay: str) -> dict[int, Placement]:
        """The placements that involve a relay: all that has to be sent to it."""
        return {number: placement for number, placement in enumerate(self) if placement.involves(relay)}

    def difference_to(self, newer: Assignment) -> Difference:
        """The difference to a newer assignment; the cost grows with the number of partitions."""
        if newer.partitions != self.partitions:
            raise InvalidAssignment(f"{newer.partitions} partitions, expected {self.partitions}")
        if newer.version <= self.version:
            raise StaleVersion(f"version {newer.version} is not newer than {self.version}")
        pairs = zip(self, newer, strict=True)
        changes = tuple(
            PartitionChange(number, after) for number, (before, after) in enumerate(pairs) if before != after
        )
        return Difference(self.version, newer.version, changes, newer.digest)

    def apply(self, difference: Difference) -> Assignment:
        """The assignment after a difference; raises a PlacementError if it can't be applied.

        Copies the table once; the cost of checks and digest grows with the changes alone.
        """
        if is_repeat(difference, self.version, self.digest):
            return self
        digest = compute_verified_digest(difference, self._placements, self.digest)
        placements = list(self._placements)
        for change in difference.changes:
            placements[change.partition] = change.placement
        newer = object.__new__(Assignment)
        newer.version, newer._placements, newer.digest = difference.version, tuple(placements), digest
        return newer


def is_repeat(difference: Difference, version: int, digest: int) -> bool:
    """Whether the difference has been applied already.

    Raises StaleVersion, ConflictingVersion or VersionGap if it can't follow the current version.
    """
    if difference.version < version:
        raise StaleVersion(f"version {difference.version} is older than the current version {version}")
    if difference.version == version:
        if difference.digest == digest:
            return True
        raise ConflictingVersion(f"version {version} has other content here")
    if difference.base_version != version:
        raise VersionGap(f"difference from version {difference.base_version}, current is {version}")
    return False


def compute_verified_digest(
    difference: Difference, placements: list[Placement] | tuple[Placement, ...], digest: int
) -> int:
    """The digest after a difference; raises InvalidAssignment if the difference contradicts itself."""
    seen = set()
    for change in difference.changes:
        validate_placement(change.placement, change.partition, len(placements))
        if change.partition in seen:
            raise InvalidAssignment(f"partition {change.partition} appears twice in the difference")
        seen.add(change.partition)
        digest ^= compute_placement_digest(change.partition, placements[change.partition])
        digest ^= compute_placement_digest(change.partition, change.placement)
    if digest != difference.digest:
        raise InvalidAssignment(f"the digest at version {difference.version} does not match")
    return digest
