"""Input and output of the placement core: rules, liveness of relays, proposals and status."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from millweir.placement.assignment import Difference, PartitionChange
from millweir.placement.leases import SECOND, LeaseRules


class Liveness(Enum):
    """Whether a relay is alive, as the membership reports it."""

    ALIVE = "alive"
    SUSPECTED = "suspected"
    GONE = "gone"  # also after it left for a restart


@dataclass(frozen=True, slots=True)
class Rules:
    """Delays and limits of the placement core."""

    replicas: int = 3  # of a partition
    # How long a relay has to be gone before its partitions move: longer than restarts and most network
    # partitions.
    removal_delay_ns: int = 600 * SECOND
    join_delay_ns: int = 60 * SECOND  # how long a relay has to be alive before it is given partitions
    leases: LeaseRules = LeaseRules()
    min_proposal_interval_ns: int = SECOND  # between committed proposals
    max_changes_per_proposal: int = 64  # changed placements, and as many ends of handovers
    max_absent_fraction: float = 0.5  # of the fleet's weight
    fill_below_ratio: float = 0.8  # of the mean load: a relay below this is filled up
    fill_to_ratio: float = 0.9  # of the mean load
    max_partitions_checked: int = 64  # for one balancing move, or for the repairs of one proposal
    max_members: int = 16_384


@dataclass(frozen=True, slots=True)
class Proposal:
    """Changes for the version after `base_version`; committed to the replicated store there or not at all."""

    base_version: int
    changes: tuple[PartitionChange, ...]
    digest: int

    def to_difference(self, version: int) -> Difference:
        """The difference that it becomes under the version assigned at the commit."""
        return Difference(self.base_version, version, self.changes, self.digest)


@dataclass(frozen=True, slots=True)
class Status:
    """What an operator is shown."""

    version: int
    members: int
    candidates: int
    departing: int  # relays whose partitions are being moved away
    handovers: int
    deficient: int  # partitions with too few replicas or two in a zone
    too_many_absent: bool  # too much of the fleet is gone, so that only partitions of leaving relays move
