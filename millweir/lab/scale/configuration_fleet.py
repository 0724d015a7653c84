"""Generates the fleet of the configuration scale test from a seed: partitions, entries and holders.

One relay holds the same amount at every size, as in the target fleet: 10 partitions of 80 destinations of
about 100 B (1.3 million destinations over 4,900 relays, three replicas each), and one common partition of
all relays.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from millweir.configuration.core import Assignment

DISTRIBUTOR_COUNT = 16
REPLICAS = 3
PARTITIONS_PER_RELAY = 10
DESTINATIONS_PER_PARTITION = 80
VALUE_BYTES = 80
COMMON_DESTINATIONS = 8  # in the partition that every relay holds


@dataclass(frozen=True, slots=True)
class FleetPlan:
    """Size and contents of the fleet of one run."""

    relays: int
    seed: int

    @property
    def partitions(self) -> int:
        """Number of partitions, without the common one, whose number follows theirs."""
        return max(1, self.relays * PARTITIONS_PER_RELAY // REPLICAS)

    @property
    def common(self) -> int:
        return self.partitions

    @property
    def base_version(self) -> int:
        """The store's version before the first change: one for each partition."""
        return self.partitions + 1

    def list_distributor_names(self) -> list[str]:
        return [f"distributor-{index}" for index in range(DISTRIBUTOR_COUNT)]

    def assignment(self) -> dict[str, Assignment]:
        """Builds the assignment of partitions to each relay."""
        rng = random.Random(self.seed)
        partitions_by_relay: list[list[int]] = [[self.common] for _ in range(self.relays)]
        for number in range(self.partitions):
            for relay in rng.sample(range(self.relays), min(REPLICAS, self.relays)):
                partitions_by_relay[relay].append(number)
        return {
            f"relay-{index}": Assignment(1, frozenset(numbers))
            for index, numbers in enumerate(partitions_by_relay)
        }

    def entries(self, number: int) -> dict[bytes, bytes]:
        """Builds a partition's entries at its base version, which is its number plus one."""
        rng = random.Random(self.seed << 32 | number)
        count = COMMON_DESTINATIONS if number == self.common else DESTINATIONS_PER_PARTITION
        return {
            b"destination-%d" % (number * DESTINATIONS_PER_PARTITION + index): rng.randbytes(VALUE_BYTES)
            for index in range(count)
        }
