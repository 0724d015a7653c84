"""Placement strategies that were compared with the table of `core.py`; see `docs/design/placement.md`.

Each assigns all partitions to a set of relays; called with another set, it reassigns them and moves what its
rule requires.  No strategy places two replicas of a partition in one zone while another zone has a relay
with spare capacity.  None of them runs in a relay: they exist to be measured against each other.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Sequence, Set
from heapq import heapify, heappop, heappush
from math import ceil, log
from typing import Protocol

import xxhash

from millweir.placement.assignment import Relay

Replicas = tuple[str, ...]
ScoredRelay = tuple[float, str]
Groups = dict[str, dict[float, list[bytes]]]  # names of relays by zone and weight
HASH_SPACE = 1 << 64  # number of hash values


class Strategy(Protocol):
    """Assigns partitions to relays."""

    name: str
    steps: int  # relays, ring positions or ranges examined since the start

    def place(self, relays: Sequence[Relay]) -> list[Replicas]:
        """The replicas of each partition on these relays, depending on the previous placement."""


def hash_name(name: str, seed: int = 0) -> int:
    """A stable 64-bit hash, the same on every machine."""
    return xxhash.xxh3_64_intdigest(name.encode(), seed)


def group_by_zone_and_weight(relays: Sequence[Relay]) -> Groups:
    groups: Groups = {}
    for relay in relays:
        groups.setdefault(relay.zone, {}).setdefault(relay.weight, []).append(relay.name.encode())
    return groups


class Rendezvous:
    """Weighted rendezvous hashing (Thaler and Ravishankar 1998): the relays with the highest scores.

    The score of a relay of weight w for a partition is -w / ln(h), with h a hash of both in (0, 1); among
    relays of equal weight the one with the greatest h has the highest score.  The strategy is stateless: the
    best relay of each zone is cached only to avoid scoring all relays again.
    """

    name = "rendezvous"

    def __init__(self, partitions: int, replicas: int) -> None:
        self.steps = 0
        self._partitions, self._replicas = partitions, replicas
        self._best_by_zone: list[dict[str, ScoredRelay]] = [{} for _ in range(partitions)]  # by zone
        self._relays: dict[str, Relay] = {}

    def place(self, relays: Sequence[Relay]) -> list[Replicas]:
        present = {relay.name: relay for relay in relays}
        missing = self._relays.keys() - present.keys()
        all_groups = group_by_zone_and_weight(relays)
        new_groups = group_by_zone_and_weight([relay for relay in relays if relay.name not in self._relays])
        self._relays = present
        return [
            self._choose_replicas(partition, all_groups, new_groups, missing)
            for partition in range(self._partitions)
        ]

    def _choose_replicas(
        self, partition: int, all_groups: Groups, new_groups: Groups, missing: Set[str]
    ) -> Replicas:
        """Score new relays only, except in a zone whose best relay is gone."""
        best_by_zone = self._best_by_zone[partition]
        for zone in [zone for zone, (_, name) in best_by_zone.items() if name in missing]:
            del best_by_zone[zone]
            self._score(partition, zone, all_groups.get(zone, {}))
        for zone, group in new_groups.items():
            self._score(partition, zone, group)
        highest = sorted(best_by_zone.values(), reverse=True)[: self._replicas]
        return tuple(name for _, name in highest)

    def _score(self, partition: int, zone: str, group: dict[float, list[bytes]]) -> None:
        key = partition.to_bytes(8, "little")
        scored = [self._best_by_zone[partition][zone]] if zone in self._best_by_zone[partition] else []
        for weight, names in group.items():
            self.steps += len(names)
            hash_value, name = max((xxhash.xxh3_64_intdigest(key + name), name) for name in names)
            scored.append((-weight / log((hash_value + 1) / (HASH_SPACE + 2)), name.decode()))
        if scored:
            self._best_by_zone[partition][zone] = max(scored)


class BoundedRing:
    """Consistent hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam 2018).

    Relays are points on a ring of hashes; a partition is assigned, clockwise from its own hash, to the first
    relay that holds less than (1 + `slack`) of its fair share.  Partitions are placed in a fixed order, so a
    change may displace later ones.
    """

    name = "bounded-ring"

    def __init__(
        self, partitions: int, replicas: int, slack: float = 0.1, points_per_relay: int = 16
    ) -> None:
        self.steps = 0
        self._partitions, self._replicas, self._slack, self._points_per_relay = (
            partitions,
            replicas,
            slack,
            points_per_relay,
        )

    def place(self, relays: Sequence[Relay]) -> list[Replicas]:
        ring = sorted(
            (hash_name(relay.name, point), number)
            for number, relay in enumerate(relays)
            for point in range(ceil(self._points_per_relay * relay.weight))
        )
        weight = sum(relay.weight for relay in relays)
        fair_share = self._partitions * self._replicas / weight
        remaining_capacity = [ceil((1 + self._slack) * fair_share * relay.weight) for relay in relays]
        return [
            self._walk_ring(partition, relays, ring, remaining_capacity)
            for partition in range(self._partitions)
        ]

    def _walk_ring(
        self,
        partition: int,
        relays: Sequence[Relay],
        ring: list[tuple[int, int]],
        remaining_capacity: list[int],
    ) -> Replicas:
        start = bisect_left(ring, (hash_name(str(partition)), 0))
        names: list[str] = []
        zones: set[str] = set()
        for step in range(len(ring)):
            number = ring[(start + step) % len(ring)][1]
            relay = relays[number]
            self.steps += 1
            if remaining_capacity[number] > 0 and relay.zone not in zones:
                remaining_capacity[number] -= 1
                names.append(relay.name)
                zones.add(relay.zone)
                if len(names) == self._replicas:
                    break
        return tuple(names)


class RangeSplitting:
    """Ranges of the hashed keys, split, merged and moved by load, after Slicer (Adya and others 2016).

    A partition is the smallest range.  The load is given (`traffic`, by partition); a hot range is split,
    and ranges move off the most loaded relays until these are within `slack` of the mean, or until the
    fraction `max_moved_fraction` of all replicas has moved.  Asymmetric replication, by which Slicer spreads
    the hottest keys, is left out, as in the other strategies.
    """

    name = "range-splitting"

    def __init__(
        self,
        traffic: Sequence[float],
        replicas: int,
        ranges_per_relay: int = 16,
        slack: float = 0.1,
        max_moved_fraction: float = 0.09,
    ) -> None:
        self.steps = 0
        self._traffic, self._replicas = traffic, replicas
        self._ranges_per_relay, self._slack, self._max_moved_fraction = (
            ranges_per_relay,
            slack,
            max_moved_fraction,
        )
        self._ranges: list[tuple[int, int]] = []  # first partition, and the one after the last
        self._replicas_by_range: list[list[str]] = []  # replicas of each range

    @property
    def ranges(self) -> int:
        return len(self._ranges)

    def place(self, relays: Sequence[Relay]) -> list[Replicas]:
        by_name = {relay.name: relay for relay in relays}
        if not self._ranges:
            self._divide_evenly(max(1, len(relays) * self._ranges_per_relay // self._replicas))
        self._split_hot_ranges(len(relays))
        loads = self._drop_missing_relays(by_name)
        self._assign_missing_replicas(by_name, loads)
        self._move_from_overloaded(by_name, loads)
        table: list[Replicas] = []
        for (first, end), names in zip(self._ranges, self._replicas_by_range, strict=True):
            table += [tuple(names)] * (end - first)
        return table

    def _divide_evenly(self, count: int) -> None:
        partitions = len(self._traffic)
        count = min(count, partitions)
        bounds = [partitions * number // count for number in range(count + 1)]
        self._ranges = list(zip(bounds, bounds[1:], strict=False))
        self._replicas_by_range = [[] for _ in self._ranges]

    def _compute_range_load(self, number: int) -> float:
        """The load of one replica of a range."""
        first, end = self._ranges[number]
        self.steps += 1
        return sum(self._traffic[first:end]) / self._replicas

    def _split_hot_ranges(self, relays: int) -> None:
        """Halve each range with more than twice the mean load of the ranges, down to one partition."""
        max_load = 2 * sum(self._traffic) / max(1, relays * self._ranges_per_relay)
        ranges, replicas_by_range = [], []
        pending = [
            (*bounds, names) for bounds, names in zip(self._ranges, self._replicas_by_range, strict=True)
        ][::-1]
        while pending:
            first, end, names = pending.pop()
            self.steps += 1
            if end - first > 1 and sum(self._traffic[first:end]) / self._replicas > max_load:
                middle = (first + end) // 2
                pending += [(middle, end, list(names)), (first, middle, list(names))]
            else:
                ranges.append((first, end))
                replicas_by_range.append(names)
        self._ranges, self._replicas_by_range = ranges, replicas_by_range

    def _drop_missing_relays(self, relays: dict[str, Relay]) -> dict[str, float]:
        loads = dict.fromkeys(relays, 0.0)
        for number, names in enumerate(self._replicas_by_range):
            names[:] = [name for name in names if name in relays]
            load = self._compute_range_load(number)
            for name in names:
                loads[name] += load / relays[name].weight
        return loads

    def _assign_missing_replicas(self, relays: dict[str, Relay], loads: dict[str, float]) -> None:
        """Assign missing replicas, heaviest range first, each to the least loaded relay of another zone."""
        heap = [(load, name) for name, load in loads.items()]
        heapify(heap)
        incomplete = [
            number for number, names in enumerate(self._replicas_by_range) if len(names) < self._replicas
        ]
        for number in sorted(incomplete, key=self._compute_range_load, reverse=True):
            while len(self._replicas_by_range[number]) < self._replicas and self._assign_to_least_loaded(
                number, heap, relays, loads
            ):
                pass

    def _assign_to_least_loaded(
        self, number: int, heap: list[tuple[float, str]], relays: dict[str, Relay], loads: dict[str, float]
    ) -> bool:
        names = self._replicas_by_range[number]
        zones = {relays[name].zone for name in names}
        skipped = []
        while heap:
            load, name = heappop(heap)
            self.steps += 1
            if load != loads[name]:
                continue
            if relays[name].zone not in zones:
                loads[name] += self._compute_range_load(number) / relays[name].weight
                names.append(name)
                heappush(heap, (loads[name], name))
                break
            skipped.append((load, name))
        for entry in skipped:
            heappush(heap, entry)
        return len(names) > len(zones)

    def _move_from_overloaded(self, relays: dict[str, Relay], loads: dict[str, float]) -> None:
        mean = sum(self._traffic) / sum(relay.weight for relay in relays.values())
        ranges_by_relay: dict[str, list[int]] = {name: [] for name in relays}
        for number, names in enumerate(self._replicas_by_range):
            for name in names:
                ranges_by_relay[name].append(number)
        budget = int(self._max_moved_fraction * len(self._traffic) * self._replicas)
        order = sorted(loads, key=loads.__getitem__, reverse=True)
        receivers = sorted(loads, key=loads.__getitem__)
        for donor in order:
            if loads[donor] <= mean * (1 + self._slack) or budget <= 0:
                return
            budget -= self._offload_relay(donor, receivers, ranges_by_relay, relays, loads, mean)

    def _offload_relay(
        self,
        donor: str,
        receivers: list[str],
        ranges_by_relay: dict[str, list[int]],
        relays: dict[str, Relay],
        loads: dict[str, float],
        mean: float,
    ) -> int:
        """Move ranges off one relay, the least loaded ranges first; returns how many partitions moved."""
        moved = 0
        for number in sorted(ranges_by_relay[donor], key=self._compute_range_load):
            load = self._compute_range_load(number)
            if loads[donor] <= mean * (1 + self._slack):
                break
            zones = {relays[name].zone for name in self._replicas_by_range[number] if name != donor}
            for receiver in receivers[:64]:
                self.steps += 1
                has_capacity = loads[receiver] + load / relays[receiver].weight <= mean * (1 + self._slack)
                if (
                    has_capacity
                    and relays[receiver].zone not in zones
                    and receiver not in self._replicas_by_range[number]
                ):
                    self._replicas_by_range[number][self._replicas_by_range[number].index(donor)] = receiver
                    ranges_by_relay[receiver].append(number)
                    loads[donor] -= load / relays[donor].weight
                    loads[receiver] += load / relays[receiver].weight
                    moved += self._ranges[number][1] - self._ranges[number][0]
                    break
            receivers.sort(key=loads.__getitem__)
        return moved
