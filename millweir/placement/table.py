"""The placements of all partitions, including the pending proposal, kept consistent with the fleet.

A replacement updates the digest, the fleet's record of which relay holds what, and the set of deficient
partitions.  Its cost grows with the partition's replicas alone.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from millweir.placement.assignment import EMPTY_PLACEMENT, Placement, compute_placement_digest
from millweir.placement.fleet import Fleet


class PlacementTable:
    """Placements by partition; every relay in a placement has to be a member of the fleet."""

    __slots__ = ("_fleet", "_replicas", "deficient", "digest", "placements")

    def __init__(self, fleet: Fleet, partitions: int, replicas: int) -> None:
        self._fleet, self._replicas = fleet, replicas
        self.placements: list[Placement] = [EMPTY_PLACEMENT] * partitions
        self.digest = 0
        # Partitions with too few replicas, or with two in a zone.
        self.deficient: dict[int, None] = dict.fromkeys(range(partitions))

    def __getitem__(self, partition: int) -> Placement:
        return self.placements[partition]

    def replace(self, partition: int, placement: Placement) -> None:
        """Set the partition's placement."""
        before = self.placements[partition]
        self.placements[partition] = placement
        self.digest ^= compute_placement_digest(partition, before) ^ compute_placement_digest(
            partition, placement
        )
        for name in before.replicas:
            if name not in placement.replicas:
                self._fleet.remove_replica(name, partition)
        for name in placement.replicas:
            if name not in before.replicas:
                self._fleet.add_replica(name, partition)
        self.update_deficient(partition)

    def update_deficient(self, partition: int) -> None:
        """Update whether a partition is deficient."""
        replicas = self.placements[partition].replicas
        if len(replicas) < self._replicas or len(self.list_zones(replicas)) < len(replicas):
            self.deficient[partition] = None
        else:
            self.deficient.pop(partition, None)

    def move_to_end(self, partition: int) -> None:
        """Move a deficient partition behind the others, so that it is checked last."""
        del self.deficient[partition]
        self.deficient[partition] = None

    def list_zones(self, names: Iterable[str]) -> set[str]:
        """The zones of these relays."""
        return {self._fleet.members[name].relay.zone for name in names}

    def list_regions(self, names: Iterable[str]) -> set[str]:
        """The regions of these relays."""
        return {self._fleet.members[name].relay.region for name in names}

    def select_one_per_zone(self, names: Iterable[str]) -> Iterator[str]:
        """The first relay of each zone."""
        zones: set[str] = set()
        for name in names:
            zone = self._fleet.members[name].relay.zone
            if zone not in zones:
                yield name
            zones.add(zone)

    def can_be_repaired(self, replicas: tuple[str, ...]) -> bool:
        """Whether two of them share a zone while a zone without a replica has a candidate."""
        zones = self.list_zones(replicas)
        return len(zones) < len(replicas) and self._fleet.has_candidate_outside(zones)
