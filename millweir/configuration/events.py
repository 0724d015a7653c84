"""What the cores say to their callers: typed events, counted by their type's name."""

from __future__ import annotations

from dataclasses import dataclass

from millweir.configuration.messages import RefusalReason


@dataclass(frozen=True, slots=True)
class ChangeRefused:
    """A relay took nothing of a message."""

    source: str  # the distributor
    partition: int  # -1 where the frame could not be read
    version: int
    reason: RefusalReason


@dataclass(frozen=True, slots=True)
class GapFound:
    """A delta starts after the version held; the missing part was asked for."""

    source: str
    partition: int
    held: int
    previous: int


@dataclass(frozen=True, slots=True)
class DistributorsDisagree:
    """Two sources hold different entries at one version; the register is asked."""

    partition: int
    version: int
    held_from: str
    source: str


@dataclass(frozen=True, slots=True)
class DistributorDistrusted:
    """The register's word was against this distributor; it is avoided for a while."""

    distributor: str
    partition: int
    version: int


@dataclass(frozen=True, slots=True)
class ReplicaReplaced:
    """The register's word was against what was held; the partition is fetched whole."""

    partition: int
    version: int


@dataclass(frozen=True, slots=True)
class DistributorLeft:
    """A relay goes to another distributor."""

    distributor: str
    reason: str


@dataclass(frozen=True, slots=True)
class StoredPartitionRefused:
    """A partition read from the folder does not have the digest written beside it; it is fetched whole."""

    partition: int
    version: int


@dataclass(frozen=True, slots=True)
class SnapshotStarted:
    """A relay gets a partition whole: it is further behind than the log reaches."""

    relay: str
    partition: int
    held: int


@dataclass(frozen=True, slots=True)
class RelayUnavailable:
    """A relay was sent away."""

    relay: str
    reason: str


@dataclass(frozen=True, slots=True)
class RegisterGap:
    """The register's changes skip a version; what is missing was asked for."""

    held: int
    given: int


@dataclass(frozen=True, slots=True)
class RegisterMismatch:
    """A change does not lead to the register's digest; the partition is fetched whole."""

    partition: int
    version: int


@dataclass(frozen=True, slots=True)
class FrameRefused:
    """A distributor could not read a relay's frame."""

    relay: str


Event = (
    ChangeRefused
    | GapFound
    | DistributorsDisagree
    | DistributorDistrusted
    | ReplicaReplaced
    | DistributorLeft
    | StoredPartitionRefused
    | SnapshotStarted
    | RelayUnavailable
    | RegisterGap
    | RegisterMismatch
    | FrameRefused
)
