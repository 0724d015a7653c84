"""What the deciding core is given and what it gives: rules, the members' view, proposals, status."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from millweir.placement.assignment import Difference, PartitionChange
from millweir.placement.leases import SECOND, LeaseRules


class Standing(Enum):
    """How a relay stands in the members' view."""

    ALIVE = "alive"
    SUSPECTED = "suspected"
    GONE = "gone"  # also after it left for a restart


@dataclass(frozen=True, slots=True)
class Rules:
    """Times in nanoseconds; counts as named."""

    replicas: int = 3  # of a partition
    hold: int = 600 * SECOND  # gone for so long before anything moves: longer than restarts and most cuts
    settle: int = 60 * SECOND  # alive for so long before it is given anything
    leases: LeaseRules = LeaseRules()
    interval: int = SECOND  # between proposals that are committed
    changes_most: int = 64  # placements in a proposal, and as many ends of handovers
    absent_most: float = 0.5  # of the fleet's weight
    fill_below: float = 0.8  # of the mean load: who has less is filled up
    fill_to: float = 0.9  # of the mean load
    checks_most: int = 64  # partitions looked at for one move to balance, or for repair in one proposal
    members_most: int = 16_384


@dataclass(frozen=True, slots=True)
class Proposal:
    """Changes for the version after `base`; the register commits it there or not at all."""

    base: int
    changes: tuple[PartitionChange, ...]
    digest: int

    def at(self, version: int) -> Difference:
        """The difference that it becomes under the version given by the register."""
        return Difference(self.base, version, self.changes, self.digest)


@dataclass(frozen=True, slots=True)
class Status:
    """What an operator is shown."""

    version: int
    members: int
    candidates: int
    moving_away: int  # relays whose partitions are on the move
    handovers: int
    deficient: int  # partitions with too few replicas or two in a zone
    held_back: bool  # too much of the fleet is gone
