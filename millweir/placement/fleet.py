"""The relays that may be given partitions, ordered by load, and the choice among them.

Load is partitions held by weight.  A choice takes steps that grow with the zones and the logarithm of a
zone's relays; nothing here walks all relays or all partitions.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import xxhash
from sortedcontainers import SortedList

from millweir.placement.assignment import Relay

REGION_SLACK = 1.25  # of the mean load: so far a new region is preferred to the least loaded relay


class Member:
    """A relay with what it holds."""

    __slots__ = ("candidate", "held", "key", "relay")

    def __init__(self, relay: Relay) -> None:
        self.relay = relay
        self.held: dict[int, None] = {}  # partitions of which it is a replica, in the order given
        self.candidate = False
        self.key: tuple[float, int, str] = self.load_key()

    @property
    def load(self) -> float:
        return len(self.held) / self.relay.weight

    def put_last(self, partition: int) -> None:
        """It is looked at again after the others."""
        del self.held[partition]
        self.held[partition] = None

    def load_key(self) -> tuple[float, int, str]:
        """The place among a zone's relays: by load, then by a hash that is another at each number held.

        An order that stayed would put the same relays together in partition after partition, and a newcomer
        could take none of those from any of them.
        """
        tie = xxhash.xxh3_64_intdigest(self.relay.name.encode(), len(self.held))
        return self.load, tie, self.relay.name


class Fleet:
    """Members by name, and the candidates of each zone by load."""

    __slots__ = ("_zones", "held", "members", "steps", "weight")

    def __init__(self) -> None:
        self.members: dict[str, Member] = {}
        self._zones: dict[str, SortedList] = {}  # load keys of candidates; no zone without one
        self.weight = 0.0  # of the members among whom the load is to be spread, present or not
        self.held = 0  # replicas that all members hold
        self.steps = 0  # candidates and partitions looked at, since the start

    def add(self, relay: Relay) -> Member:
        """A new member that is no candidate yet."""
        member = self.members[relay.name] = Member(relay)
        self.weight += relay.weight
        return member

    def remove(self, name: str) -> None:
        """Forget a member that holds nothing."""
        member = self.members[name]
        assert not member.held
        self.set_candidate(member, False)
        self.weight -= member.relay.weight
        del self.members[name]

    def set_relay(self, member: Member, relay: Relay) -> None:
        """Its region, zone or weight is another one."""
        candidate = member.candidate
        self.set_candidate(member, False)
        self.weight += relay.weight - member.relay.weight
        member.relay = relay
        self.set_candidate(member, candidate)

    def set_candidate(self, member: Member, candidate: bool) -> None:
        """Whether it may be given partitions from now on."""
        if candidate is member.candidate:
            return
        if not candidate:
            self._leave_zone(member)
        member.candidate = candidate
        if candidate:
            self._enter_zone(member)

    def give(self, name: str, partition: int) -> None:
        """The relay is a replica of the partition from now on."""
        member = self.members[name]
        self._leave_zone(member)
        member.held[partition] = None
        self.held += 1
        self._enter_zone(member)

    def take(self, name: str, partition: int) -> None:
        """The relay is no replica of the partition any more."""
        member = self.members[name]
        self._leave_zone(member)
        del member.held[partition]
        self.held -= 1
        self._enter_zone(member)

    def _enter_zone(self, member: Member) -> None:
        if member.candidate:
            member.key = member.load_key()
            self._zones.setdefault(member.relay.zone, SortedList()).add(member.key)

    def _leave_zone(self, member: Member) -> None:
        if not member.candidate:
            return
        keys = self._zones[member.relay.zone]
        keys.remove(member.key)
        if not keys:
            del self._zones[member.relay.zone]

    @property
    def mean_load(self) -> float:
        """Of all members, lest a cut that heals change it."""
        return self.held / self.weight if self.weight > 0 else 0.0

    def has_candidate_outside(self, zones: set[str]) -> bool:
        """Whether some zone beside these has a candidate."""
        self.steps += len(self._zones)
        return not self._zones.keys() <= zones

    def least_loaded(self) -> Member | None:
        """The candidate with the least load."""
        self.steps += len(self._zones)
        key = min((keys[0] for keys in self._zones.values()), default=None)
        return self.members[key[2]] if key else None

    def most_loaded(self, above: float) -> Iterator[Member]:
        """Candidates with a load above that: the most loaded of each zone, then the next of each."""
        nth = 0
        while keys := [keys[-1 - nth] for keys in self._zones.values() if len(keys) > nth]:
            self.steps += len(keys)
            keys = [key for key in keys if key[0] > above]
            if not keys:
                return
            yield from (self.members[key[2]] for key in sorted(keys, reverse=True))
            nth += 1

    def choose(self, kept: Iterable[str]) -> Member | None:
        """The candidate that best joins the kept replicas of a partition; None where there is none.

        It shares no zone with them while some candidate doesn't; of those, one in a region of its own is
        taken up to a slack over the mean load, else the least loaded.
        """
        names = set(kept)
        relays = [self.members[name].relay for name in names if name in self.members]
        zones, regions = {relay.zone for relay in relays}, {relay.region for relay in relays}
        apart = [keys[0] for zone, keys in self._zones.items() if zone not in zones]
        self.steps += len(self._zones)
        if not apart:
            return self._least_of_shared_zones(names)
        elsewhere = [key for key in apart if self.members[key[2]].relay.region not in regions]
        best = min(elsewhere, default=None)
        if best is None or best[0] > REGION_SLACK * self.mean_load:
            best = min(apart)
        return self.members[best[2]]

    def _least_of_shared_zones(self, names: set[str]) -> Member | None:
        """The least loaded candidate that is not itself among the names: all zones are taken."""
        keys = [self._first_beside(zone_keys, names) for zone_keys in self._zones.values()]
        best = min((key for key in keys if key), default=None)
        return self.members[best[2]] if best else None

    def _first_beside(self, keys: SortedList, names: set[str]) -> tuple[float, int, str] | None:
        for key in keys:
            self.steps += 1
            if key[2] not in names:
                return key
        return None


def assign_all(relays: Iterable[Relay], partitions: int, replicas: int) -> tuple[list[tuple[str, ...]], int]:
    """Replicas for every partition from nothing, and the steps taken: partitions x replicas x zones."""
    fleet = Fleet()
    for relay in relays:
        fleet.set_candidate(fleet.add(relay), True)
    table: list[tuple[str, ...]] = []
    for partition in range(partitions):
        names: list[str] = []
        while len(names) < replicas and (member := fleet.choose(names)):
            fleet.give(member.relay.name, partition)
            names.append(member.relay.name)
        table.append(tuple(names))
    return table, fleet.steps
