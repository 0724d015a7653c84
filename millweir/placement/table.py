"""The placements of all partitions, with those of the proposal under way, kept together with the fleet.

Each replacement takes steps that grow with the partition's replicas alone: the digest is updated, the fleet
is told who holds what, and the partition is noted where something is to be repaired.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from millweir.placement.assignment import EMPTY, Placement, placement_digest
from millweir.placement.fleet import Fleet


class Table:
    """Placements by partition; every relay that is named has to be a member of the fleet."""

    __slots__ = ("_fleet", "_replicas", "deficient", "digest", "placements")

    def __init__(self, fleet: Fleet, partitions: int, replicas: int) -> None:
        self._fleet, self._replicas = fleet, replicas
        self.placements: list[Placement] = [EMPTY] * partitions
        self.digest = 0
        # Partitions with too few replicas, or with two in a zone.
        self.deficient: dict[int, None] = dict.fromkeys(range(partitions))

    def __getitem__(self, partition: int) -> Placement:
        return self.placements[partition]

    def replace(self, partition: int, placement: Placement) -> None:
        """The partition's placement is this one from now on."""
        before = self.placements[partition]
        self.placements[partition] = placement
        self.digest ^= placement_digest(partition, before) ^ placement_digest(partition, placement)
        for name in before.replicas:
            if name not in placement.replicas:
                self._fleet.take(name, partition)
        for name in placement.replicas:
            if name not in before.replicas:
                self._fleet.give(name, partition)
        self.check(partition)

    def check(self, partition: int) -> None:
        """Note whether it is deficient."""
        replicas = self.placements[partition].replicas
        if len(replicas) < self._replicas or len(self.zones_of(replicas)) < len(replicas):
            self.deficient[partition] = None
        else:
            self.deficient.pop(partition, None)

    def put_last(self, partition: int) -> None:
        """Look at this deficient one after the others."""
        del self.deficient[partition]
        self.deficient[partition] = None

    def zones_of(self, names: Iterable[str]) -> set[str]:
        """Zones in which these relays stand."""
        return {self._fleet.members[name].relay.zone for name in names}

    def regions_of(self, names: Iterable[str]) -> set[str]:
        """Regions in which these relays stand."""
        return {self._fleet.members[name].relay.region for name in names}

    def in_zones_of_their_own(self, names: Iterable[str]) -> Iterator[str]:
        """Of each zone the first of the names."""
        zones: set[str] = set()
        for name in names:
            zone = self._fleet.members[name].relay.zone
            if zone not in zones:
                yield name
            zones.add(zone)

    def may_be_repaired(self, replicas: tuple[str, ...]) -> bool:
        """Two of them share a zone, and there is a candidate in a zone without one."""
        zones = self.zones_of(replicas)
        return len(zones) < len(replicas) and self._fleet.has_candidate_outside(zones)
