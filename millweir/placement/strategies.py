"""Ways to place partitions that were weighed against the table of `core.py`; `docs/design/placement.md`.

Each is a value that places all partitions on a set of relays and, told another set, places them anew, moving
what its rule moves.  No way puts two replicas of a partition in one zone while another zone has a relay with
room.  None of them runs in a relay: they are here to be measured side by side.
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
Scored = tuple[float, str]
Groups = dict[str, dict[float, list[bytes]]]  # names of relays by zone and weight
HASHES = 1 << 64


class Strategy(Protocol):
    """A way to place partitions on relays."""

    name: str
    steps: int  # relays, ring positions or ranges looked at since the start

    def place(self, relays: Sequence[Relay]) -> list[Replicas]:
        """The replicas of each partition on these relays, given what was placed before."""


def name_hash(name: str, seed: int = 0) -> int:
    """64 bits that are the same everywhere."""
    return xxhash.xxh3_64_intdigest(name.encode(), seed)


def groups_of(relays: Sequence[Relay]) -> Groups:
    """Relays by zone and weight."""
    groups: Groups = {}
    for relay in relays:
        groups.setdefault(relay.zone, {}).setdefault(relay.weight, []).append(relay.name.encode())
    return groups


class Rendezvous:
    """Weighted rendezvous hashing (Thaler and Ravishankar 1998): the relays with the highest scores.

    The score of a relay of weight w for a partition is -w / ln(h), with h a hash of both in (0, 1); of relays
    of one weight the one with the greatest h has it.  No state is needed: what is kept here, the best of each
    zone, only saves scoring all relays again.
    """

    name = "rendezvous"

    def __init__(self, partitions: int, replicas: int) -> None:
        self.steps = 0
        self._partitions, self._replicas = partitions, replicas
        self._best: list[dict[str, Scored]] = [{} for _ in range(partitions)]  # by zone
        self._relays: dict[str, Relay] = {}

    def place(self, relays: Sequence[Relay]) -> list[Replicas]:
        present = {relay.name: relay for relay in relays}
        gone = self._relays.keys() - present.keys()
        everybody = groups_of(relays)
        new = groups_of([relay for relay in relays if relay.name not in self._relays])
        self._relays = present
        return [self._choose(partition, everybody, new, gone) for partition in range(self._partitions)]

    def _choose(self, partition: int, everybody: Groups, new: Groups, gone: Set[str]) -> Replicas:
        """Only newcomers are scored, but in a zone whose best is gone."""
        best = self._best[partition]
        for zone in [zone for zone, (_, name) in best.items() if name in gone]:
            del best[zone]
            self._score(partition, zone, everybody.get(zone, {}))
        for zone, group in new.items():
            self._score(partition, zone, group)
        highest = sorted(best.values(), reverse=True)[: self._replicas]
        return tuple(name for _, name in highest)

    def _score(self, partition: int, zone: str, group: dict[float, list[bytes]]) -> None:
        key = partition.to_bytes(8, "little")
        scored = [self._best[partition][zone]] if zone in self._best[partition] else []
        for weight, names in group.items():
            self.steps += len(names)
            hashed, name = max((xxhash.xxh3_64_intdigest(key + name), name) for name in names)
            scored.append((-weight / log((hashed + 1) / (HASHES + 2)), name.decode()))
        if scored:
            self._best[partition][zone] = max(scored)


class BoundedRing:
    """Consistent hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam 2018).

    Relays stand on a ring by hashes; a partition goes clockwise from its own hash to the first relay that
    holds less than (1 + `slack`) of its fair part.  Partitions are placed in a fixed order, so a change may
    displace others further on.
    """

    name = "bounded-ring"

    def __init__(self, partitions: int, replicas: int, slack: float = 0.1, points: int = 16) -> None:
        self.steps = 0
        self._partitions, self._replicas, self._slack, self._points = partitions, replicas, slack, points

    def place(self, relays: Sequence[Relay]) -> list[Replicas]:
        ring = sorted(
            (name_hash(relay.name, point), number)
            for number, relay in enumerate(relays)
            for point in range(ceil(self._points * relay.weight))
        )
        weight = sum(relay.weight for relay in relays)
        fair = self._partitions * self._replicas / weight
        room = [ceil((1 + self._slack) * fair * relay.weight) for relay in relays]
        return [self._walk(partition, relays, ring, room) for partition in range(self._partitions)]

    def _walk(
        self, partition: int, relays: Sequence[Relay], ring: list[tuple[int, int]], room: list[int]
    ) -> Replicas:
        start = bisect_left(ring, (name_hash(str(partition)), 0))
        names: list[str] = []
        zones: set[str] = set()
        for step in range(len(ring)):
            number = ring[(start + step) % len(ring)][1]
            relay = relays[number]
            self.steps += 1
            if room[number] > 0 and relay.zone not in zones:
                room[number] -= 1
                names.append(relay.name)
                zones.add(relay.zone)
                if len(names) == self._replicas:
                    break
        return tuple(names)


class RangeSplitting:
    """Ranges of the hashed keys, split, merged and moved by load, after Slicer (Adya and others 2016).

    A partition stands for the finest range.  Load is told (`traffic`, by partition); a range that is hot is
    split, and ranges move off the most loaded relays until these are within `slack` of the mean or a part
    `churn` of all replicas has moved.  Asymmetric replication, with which Slicer spreads the hottest keys, is
    left out here as in the other ways.
    """

    name = "range-splitting"

    def __init__(
        self,
        traffic: Sequence[float],
        replicas: int,
        ranges_per_relay: int = 16,
        slack: float = 0.1,
        churn: float = 0.09,
    ) -> None:
        self.steps = 0
        self._traffic, self._replicas = traffic, replicas
        self._ranges_per_relay, self._slack, self._churn = ranges_per_relay, slack, churn
        self._ranges: list[tuple[int, int]] = []  # first partition, and the one after the last
        self._placed: list[list[str]] = []  # replicas of each range

    @property
    def ranges(self) -> int:
        return len(self._ranges)

    def place(self, relays: Sequence[Relay]) -> list[Replicas]:
        by_name = {relay.name: relay for relay in relays}
        if not self._ranges:
            self._divide(max(1, len(relays) * self._ranges_per_relay // self._replicas))
        self._split_hot(len(relays))
        loads = self._drop_gone(by_name)
        self._fill(by_name, loads)
        self._balance(by_name, loads)
        table: list[Replicas] = []
        for (first, end), names in zip(self._ranges, self._placed, strict=True):
            table += [tuple(names)] * (end - first)
        return table

    def _divide(self, count: int) -> None:
        partitions = len(self._traffic)
        count = min(count, partitions)
        bounds = [partitions * number // count for number in range(count + 1)]
        self._ranges = list(zip(bounds, bounds[1:], strict=False))
        self._placed = [[] for _ in self._ranges]

    def _load(self, number: int) -> float:
        """What one replica of a range carries."""
        first, end = self._ranges[number]
        self.steps += 1
        return sum(self._traffic[first:end]) / self._replicas

    def _split_hot(self, relays: int) -> None:
        """Halve each range that carries more than twice the mean of the ranges, down to one partition."""
        mean = 2 * sum(self._traffic) / max(1, relays * self._ranges_per_relay)
        ranges, placed = [], []
        todo = [(*bounds, names) for bounds, names in zip(self._ranges, self._placed, strict=True)][::-1]
        while todo:
            first, end, names = todo.pop()
            self.steps += 1
            if end - first > 1 and sum(self._traffic[first:end]) / self._replicas > mean:
                middle = (first + end) // 2
                todo += [(middle, end, list(names)), (first, middle, list(names))]
            else:
                ranges.append((first, end))
                placed.append(names)
        self._ranges, self._placed = ranges, placed

    def _drop_gone(self, relays: dict[str, Relay]) -> dict[str, float]:
        loads = dict.fromkeys(relays, 0.0)
        for number, names in enumerate(self._placed):
            names[:] = [name for name in names if name in relays]
            load = self._load(number)
            for name in names:
                loads[name] += load / relays[name].weight
        return loads

    def _fill(self, relays: dict[str, Relay], loads: dict[str, float]) -> None:
        """The heaviest ranges that lack a replica first, each to the least loaded relay of another zone."""
        heap = [(load, name) for name, load in loads.items()]
        heapify(heap)
        lacking = [number for number, names in enumerate(self._placed) if len(names) < self._replicas]
        for number in sorted(lacking, key=self._load, reverse=True):
            while len(self._placed[number]) < self._replicas and self._give_least(
                number, heap, relays, loads
            ):
                pass

    def _give_least(
        self, number: int, heap: list[tuple[float, str]], relays: dict[str, Relay], loads: dict[str, float]
    ) -> bool:
        names = self._placed[number]
        zones = {relays[name].zone for name in names}
        passed = []
        while heap:
            load, name = heappop(heap)
            self.steps += 1
            if load != loads[name]:
                continue
            if relays[name].zone not in zones:
                loads[name] += self._load(number) / relays[name].weight
                names.append(name)
                heappush(heap, (loads[name], name))
                break
            passed.append((load, name))
        for entry in passed:
            heappush(heap, entry)
        return len(names) > len(zones)

    def _balance(self, relays: dict[str, Relay], loads: dict[str, float]) -> None:
        mean = sum(self._traffic) / sum(relay.weight for relay in relays.values())
        held: dict[str, list[int]] = {name: [] for name in relays}
        for number, names in enumerate(self._placed):
            for name in names:
                held[name].append(number)
        budget = int(self._churn * len(self._traffic) * self._replicas)
        order = sorted(loads, key=loads.__getitem__, reverse=True)
        receivers = sorted(loads, key=loads.__getitem__)
        for donor in order:
            if loads[donor] <= mean * (1 + self._slack) or budget <= 0:
                return
            budget -= self._relieve(donor, receivers, held, relays, loads, mean)

    def _relieve(
        self,
        donor: str,
        receivers: list[str],
        held: dict[str, list[int]],
        relays: dict[str, Relay],
        loads: dict[str, float],
        mean: float,
    ) -> int:
        """Move ranges off one relay, the smallest enough first; the partitions that moved."""
        moved = 0
        for number in sorted(held[donor], key=self._load):
            load = self._load(number)
            if loads[donor] <= mean * (1 + self._slack):
                break
            zones = {relays[name].zone for name in self._placed[number] if name != donor}
            for receiver in receivers[:64]:
                self.steps += 1
                fits = loads[receiver] + load / relays[receiver].weight <= mean * (1 + self._slack)
                if fits and relays[receiver].zone not in zones and receiver not in self._placed[number]:
                    self._placed[number][self._placed[number].index(donor)] = receiver
                    held[receiver].append(number)
                    loads[donor] -= load / relays[donor].weight
                    loads[receiver] += load / relays[receiver].weight
                    moved += self._ranges[number][1] - self._ranges[number][0]
                    break
            receivers.sort(key=loads.__getitem__)
        return moved
