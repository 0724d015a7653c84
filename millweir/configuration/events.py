"""Events that the distributor and holder cores emit to their callers, counted by type name."""

from __future__ import annotations

from dataclasses import dataclass

from millweir.configuration.messages import RefusalReason


@dataclass(frozen=True, slots=True)
class ChangeRefused:
    """A relay refused a message and applied nothing of it."""

    source: str  # name of the distributor
    partition: int  # -1 if the frame was unreadable
    version: int
    reason: RefusalReason


@dataclass(frozen=True, slots=True)
class GapFound:
    """A delta starts after the version held; the missing changes have been requested."""

    source: str
    partition: int
    held_version: int
    previous_version: int


@dataclass(frozen=True, slots=True)
class DigestsDisagree:
    """Two sources have different digests at one version; the store's digest has been requested."""

    partition: int
    version: int
    held_source: str
    source: str


@dataclass(frozen=True, slots=True)
class DistributorDistrusted:
    """A distributor's digest differs from the store's; the distributor is avoided for a period."""

    distributor: str
    partition: int
    version: int


@dataclass(frozen=True, slots=True)
class ReplicaReplaced:
    """The digest held differs from the store's; the partition is fetched in full."""

    partition: int
    version: int


@dataclass(frozen=True, slots=True)
class DistributorLeft:
    """A relay leaves its distributor and connects to another one."""

    distributor: str
    reason: str


@dataclass(frozen=True, slots=True)
class StoredPartitionRefused:
    """A partition in the folder does not match its stored digest; it is fetched in full."""

    partition: int
    version: int


@dataclass(frozen=True, slots=True)
class SnapshotStarted:
    """A relay is sent a snapshot, as its version is older than the change log."""

    relay: str
    partition: int
    held_version: int


@dataclass(frozen=True, slots=True)
class RelayUnavailable:
    """A distributor refused a relay's hello."""

    relay: str
    reason: str


@dataclass(frozen=True, slots=True)
class StoreGapFound:
    """The store's changes skip a version; the missing ones have been requested."""

    held_version: int
    received_version: int


@dataclass(frozen=True, slots=True)
class StoreDigestMismatch:
    """A change or a fetched partition does not match the store's digest; the partition is fetched in full."""

    partition: int
    version: int


@dataclass(frozen=True, slots=True)
class UnreadableFrameDropped:
    """A distributor dropped an unreadable frame of a relay."""

    relay: str


Event = (
    ChangeRefused
    | GapFound
    | DigestsDisagree
    | DistributorDistrusted
    | ReplicaReplaced
    | DistributorLeft
    | StoredPartitionRefused
    | SnapshotStarted
    | RelayUnavailable
    | StoreGapFound
    | StoreDigestMismatch
    | UnreadableFrameDropped
)
