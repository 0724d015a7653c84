"""The fleet that the configuration's scale test is about: partitions, entries, who holds what; from the seed.

What one relay holds is the same at every size, as at the target: 10 partitions of 80 destinations of some
100 B (1.3 million destinations over 4,900 relays, three replicas each), and one partition that all hold.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from millweir.configuration.core import Assignment

DISTRIBUTORS = 16
REPLICAS = 3
PARTITIONS_A_RELAY = 10
DESTINATIONS_A_PARTITION = 80
VALUE_BYTES = 80
DESTINATIONS_IN_COMMON = 8  # entries of the partition that every relay holds


@dataclass(frozen=True, slots=True)
class FleetPlan:
    """Sizes of one run."""

    relays: int
    seed: int

    @property
    def partitions(self) -> int:
        """Partitions of destinations; the next number is the partition that all hold."""
        return max(1, self.relays * PARTITIONS_A_RELAY // REPLICAS)

    @property
    def common(self) -> int:
        return self.partitions

    @property
    def base_version(self) -> int:
        """The register's version before the first change: one for each partition."""
        return self.partitions + 1

    def distributors(self) -> list[str]:
        return [f"distributor-{one}" for one in range(DISTRIBUTORS)]

    def assignment(self) -> dict[str, Assignment]:
        """Which relay holds which partitions."""
        chance = random.Random(self.seed)
        held: list[list[int]] = [[self.common] for _ in range(self.relays)]
        for number in range(self.partitions):
            for relay in chance.sample(range(self.relays), min(REPLICAS, self.relays)):
                held[relay].append(number)
        return {f"relay-{one}": Assignment(1, frozenset(numbers)) for one, numbers in enumerate(held)}

    def entries(self, number: int) -> dict[bytes, bytes]:
        """A partition's entries at the base version, which is its number plus one."""
        chance = random.Random(self.seed << 32 | number)
        count = DESTINATIONS_IN_COMMON if number == self.common else DESTINATIONS_A_PARTITION
        return {
            b"destination-%d" % (number * DESTINATIONS_A_PARTITION + one): chance.randbytes(VALUE_BYTES)
            for one in range(count)
        }
