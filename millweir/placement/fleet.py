"""The relays of the fleet by load, and the choice of the candidates that are given partitions.

Load is the number of partitions held divided by weight.  The cost of a choice grows with the number of zones
and the logarithm of a zone's relays; nothing here iterates over all relays or all partitions.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import xxhash
from sortedcontainers import SortedList

from millweir.placement.assignment import Relay

MAX_REGION_LOAD_RATIO = 1.25  # of the mean load: up to this a new region beats the least loaded relay


class Member:
    """A relay and the partitions that it holds."""

    __slots__ = ("is_candidate", "partitions", "load_key", "relay")

    def __init__(self, relay: Relay) -> None:
        self.relay = relay
        self.partitions: dict[int, None] = {}  # of which it is a replica, in the order of assignment
        self.is_candidate = False
        self.load_key: tuple[float, int, str] = self.make_load_key()

    @property
    def load(self) -> float:
        return len(self.partitions) / self.relay.weight

    def move_to_end(self, partition: int) -> None:
        """Move a partition behind the others, so that it is checked last."""
        del self.partitions[partition]
        self.partitions[partition] = None

    def make_load_key(self) -> tuple[float, int, str]:
        """The sort key among a zone's relays: load, then a hash that changes with the partitions' number.

        A fixed order would place the same relays together in partition after partition, and a new relay could
        take over none of those partitions from any of them.
        """
        tie = xxhash.xxh3_64_intdigest(self.relay.name.encode(), len(self.partitions))
        return self.load, tie, self.relay.name


class Fleet:
    """Members by name, and the candidates of each zone ordered by load."""

    __slots__ = ("_zones", "replica_count", "members", "steps", "weight")

    def __init__(self) -> None:
        self.members: dict[str, Member] = {}
        self._zones: dict[str, SortedList] = {}  # load keys of the candidates; no empty zones
        self.weight = 0.0  # of all members, present or not
        self.replica_count = 0  # held by all members
        self.steps = 0  # candidates and partitions examined since the start

    def add(self, relay: Relay) -> Member:
        """Add a member, which is not a candidate yet."""
        member = self.members[relay.name] = Member(relay)
        self.weight += relay.weight
        return member

    def remove(self, name: str) -> None:
        """Remove a member that holds no partitions."""
        member = self.members[name]
        assert not member.partitions
        self.set_candidate(member, False)
        self.weight -= member.relay.weight
        del self.members[name]

    def set_relay(self, member: Member, relay: Relay) -> None:
        """Update a member's region, zone and weight."""
        candidate = member.is_candidate
        self.set_candidate(member, False)
        self.weight += relay.weight - member.relay.weight
        member.relay = relay
        self.set_candidate(member, candidate)

    def set_candidate(self, member: Member, candidate: bool) -> None:
        """Set whether a member may be given partitions."""
        if candidate is member.is_candidate:
            return
        if not candidate:
            self._remove_from_zone(member)
        member.is_candidate = candidate
        if candidate:
            self._add_to_zone(member)

    def add_replica(self, name: str, partition: int) -> None:
        """Record that a relay has become a replica of a partition."""
        member = self.members[name]
        self._remove_from_zone(member)
        member.partitions[partition] = None
        self.replica_count += 1
        self._add_to_zone(member)

    def remove_replica(self, name: str, partition: int) -> None:
        """Record that a relay is no longer a replica of a partition."""
        member = self.members[name]
        self._remove_from_zone(member)
        del member.partitions[partition]
        self.replica_count -= 1
        self._add_to_zone(member)

    def _add_to_zone(self, member: Member) -> None:
        if member.is_candidate:
            member.load_key = member.make_load_key()
            self._zones.setdefault(member.relay.zone, SortedList()).add(member.load_key)

    def _remove_from_zone(self, member: Member) -> None:
        if not member.is_candidate:
            return
        keys = self._zones[member.relay.zone]
        keys.remove(member.load_key)
        if not keys:
            del self._zones[member.relay.zone]

    @property
    def mean_load(self) -> float:
        """Over all members, also absent ones: a network partition that heals must not change it."""
        return self.replica_count / self.weight if self.weight > 0 else 0.0

    def has_candidate_outside(self, zones: set[str]) -> bool:
        """Whether some other zone has a candidate."""
        self.steps += len(self._zones)
        return not self._zones.keys() <= zones

    def find_least_loaded(self) -> Member | None:
        """The candidate with the least load."""
        self.steps += len(self._zones)
        key = min((keys[0] for keys in self._zones.values()), default=None)
        return self.members[key[2]] if key else None

    def iterate_most_loaded(self, above: float) -> Iterator[Member]:
        """Candidates with a load above a limit: the most loaded of each zone, then the next of each."""
        rank = 0
        while keys := [keys[-1 - rank] for keys in self._zones.values() if len(keys) > rank]:
            self.steps += len(keys)
            keys = [key for key in keys if key[0] > above]
            if not keys:
                return
            yield from (self.members[key[2]] for key in sorted(keys, reverse=True))
            rank += 1

    def choose_candidate(self, kept: Iterable[str]) -> Member | None:
        """The best candidate to join the kept replicas of a partition; None if there is none.

        A candidate in a zone without a replica is preferred.  Among those, one in a region without a replica
        is preferred if its load is at most `MAX_REGION_LOAD_RATIO` of the mean; otherwise the least loaded
        is chosen.
        """
        names = set(kept)
        relays = [self.members[name].relay for name in names if name in self.members]
        zones, regions = {relay.zone for relay in relays}, {relay.region for relay in relays}
        other_zones = [keys[0] for zone, keys in self._zones.items() if zone not in zones]
        self.steps += len(self._zones)
        if not other_zones:
            return self._choose_from_shared_zones(names)
        other_regions = [key for key in other_zones if self.members[key[2]].relay.region not in regions]
        best = min(other_regions, default=None)
        if best is None or best[0] > MAX_REGION_LOAD_RATIO * self.mean_load:
            best = min(other_zones)
        return self.members[best[2]]

    def _choose_from_shared_zones(self, names: set[str]) -> Member | None:
        """The least loaded candidate that is not among the names, where all zones have a replica."""
        keys = [self._find_first_outside(zone_keys, names) for zone_keys in self._zones.values()]
        best = min((key for key in keys if key), default=None)
        return self.members[best[2]] if best else None

    def _find_first_outside(self, keys: SortedList, names: set[str]) -> tuple[float, int, str] | None:
        for key in keys:
            self.steps += 1
            if key[2] not in names:
                return key
        return None


def assign_all(relays: Iterable[Relay], partitions: int, replicas: int) -> tuple[list[tuple[str, ...]], int]:
    """Assign replicas to every partition of an empty fleet.

    Also returns the steps taken, which grow as partitions x replicas x zones.
    """
    fleet = Fleet()
    for relay in relays:
        fleet.set_candidate(fleet.add(relay), True)
    table: list[tuple[str, ...]] = []
    for partition in range(partitions):
        names: list[str] = []
        while len(names) < replicas and (member := fleet.choose_candidate(names)):
            fleet.add_replica(member.relay.name, partition)
            names.append(member.relay.name)
        table.append(tuple(names))
    return table, fleet.steps
