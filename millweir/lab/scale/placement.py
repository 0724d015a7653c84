"""Placement at scale: the ways weighed side by side, and what the chosen one costs.  `size`: relays.

Partitions are fixed in number (`partitions`, the same at each size); destinations are as many a relay as at
the target.  Zones and regions are the target's: 11 and 4.  Quantities:

- `partitions`, `destinations`: what the run had; the second grows as n, the first is constant.
- `imbalance-partitions-WAY`, `imbalance-traffic-WAY`: the most loaded relay over the mean, the second under a
  Zipf spread of traffic over destinations.  Expected constant for all ways but rendezvous, whose grows as
  partitions a relay get fewer; by traffic it grows with the relays for all, as the hottest destination weighs
  more against a smaller mean.
- `moved-WAY` (trouble join, relay-lost, zone-lost; for the table also leave, which is planned): replicas that
  changed, over those that had to (what was on the relays lost, or the newcomer's fair part).  Expected
  constant.
- `steps-WAY`, `seconds-WAY`: of that change, and in calm of a full computation; a full one grows as n at the
  most for rendezvous, and is constant for the table; one member's change falls as 1/n with its partitions.
- `table-bytes-WAY`: what has to be told of a whole placement.
- `imbalance-partitions`, `full-computation-steps`, `full-computation-seconds`, `member-change-steps`,
  `member-change-seconds`, `replicas-moved`, `versions`, `difference-bytes`, `difference-bytes-most` (of one
  version), `change-ends-after` (simulated seconds to the last version, with the hold and the pace): the
  chosen way, by trouble.
- `assignment-bytes`, `part-bytes`, `partitions-per-relay`, `destinations-per-relay`, `core-memory`,
  `holder-memory`, `lookup-seconds`: the whole assignment, one relay's part of it, and their memory.
- what senders learn of a destination: see `placement_senders.py`.
"""

from __future__ import annotations

import random
import time
import tracemalloc
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from itertools import islice

from millweir.lab.scale import placement_senders
from millweir.lab.scale.guard import Guard
from millweir.lab.scale.measurement import Figure
from millweir.placement.assignment import Assignment, Difference, PartitionChange, Placement, Relay
from millweir.placement.codec import encode_assignment, encode_difference
from millweir.placement.core import Core
from millweir.placement.fleet import assign_all
from millweir.placement.holder import LeaseHolder
from millweir.placement.interface import Liveness, Rules
from millweir.placement.leases import SECOND, LeaseRules
from millweir.placement.partitions import PARTITIONS, find_partition
from millweir.placement.strategies import BoundedRing, RangeSplitting, Rendezvous, Strategy

REPLICAS = 3
ZONES = 11
REGIONS = 4
DESTINATIONS_PER_RELAY = 1_300_000 / 4_900
TRAFFIC_EXPONENT = 0.7  # Zipf; an assumption
MEMORY_A_RELAY = 64 << 10  # for the plan
MEMORY_BASE = 256 << 20  # for the plan
LOOKUPS = 20_000
HOLDERS = 20  # of which memory and look-ups are measured
Table = Sequence[tuple[str, ...]]


def fleet_of(number: int) -> list[Relay]:
    """Relays dealt out over the zones, and the zones over the regions."""
    return [
        Relay(f"relay-{n:05}", f"region-{n % ZONES % REGIONS}", f"zone-{n % ZONES}") for n in range(number)
    ]


def traffic_by_partition(destinations: int, exponent: float = TRAFFIC_EXPONENT) -> list[float]:
    """The part of the traffic that falls on each partition."""
    traffic = [0.0] * PARTITIONS
    total = 0.0
    for destination in range(destinations):
        weight = (destination + 1) ** -exponent
        total += weight
        traffic[find_partition(destination, PARTITIONS)] += weight
    return [weight / total for weight in traffic]


def imbalance(table: Table, relays: Sequence[Relay], loads: Sequence[float] | None = None) -> float:
    """The most loaded relay's load over the mean, each replica with its part of the partition's load."""
    held = dict.fromkeys((relay.name for relay in relays), 0.0)
    for partition, names in enumerate(table):
        load = loads[partition] if loads else 1.0
        for name in names:
            held[name] += load / len(names)
    return max(held.values()) * len(held) / sum(held.values())


def replicas_moved(before: Table, after: Table) -> int:
    """Replicas that are new."""
    return sum(len(set(new) - set(old)) for old, new in zip(before, after, strict=True))


def replicas_on(table: Table, names: set[str]) -> int:
    """Replicas that these relays hold."""
    return sum(name in names for replicas in table for name in replicas)


@dataclass(frozen=True, slots=True)
class Trouble:
    """A change of the fleet."""

    name: str
    gone: frozenset[str] = frozenset()
    new: tuple[Relay, ...] = ()
    planned: bool = False  # those that go say so, and acknowledge what moves

    def applied_to(self, relays: Sequence[Relay]) -> list[Relay]:
        """The relays after it."""
        return [relay for relay in relays if relay.name not in self.gone] + list(self.new)


def troubles_of(relays: Sequence[Relay], chance: random.Random) -> list[Trouble]:
    """A newcomer, a planned leave, a relay lost, a zone lost."""
    newcomer = Relay("relay-new", "region-0", "zone-0")
    zone = frozenset(relay.name for relay in relays if relay.zone == "zone-3")
    return [
        Trouble("join", new=(newcomer,)),
        Trouble("leave", frozenset((chance.choice(relays).name,)), planned=True),
        Trouble("relay-lost", frozenset((chance.choice(relays).name,))),
        Trouble("zone-lost", zone),
    ]


def measure(size: int, seed: int, guard: Guard) -> Iterator[Figure]:
    """All quantities at one number of relays."""
    guard.check_plan(MEMORY_BASE + size * MEMORY_A_RELAY, processes=1)
    chance = random.Random(seed)
    relays = fleet_of(size)
    destinations = round(size * DESTINATIONS_PER_RELAY)
    traffic = traffic_by_partition(destinations)
    figure = FigureMaker(size)
    yield figure("partitions", "partitions", PARTITIONS)
    yield figure("destinations", "destinations", destinations)
    troubles = troubles_of(relays, chance)
    for make in ways(traffic):
        yield from compare(make, relays, traffic, [one for one in troubles if not one.planned], figure)
        guard.check()
    table, steps, seconds = full_computation(relays)
    yield figure("full-computation-steps", "steps", steps)
    yield figure("full-computation-seconds", "s", seconds)
    yield from compare_table(table, steps, seconds, relays, traffic, troubles, figure)
    assignment = Assignment(1, [Placement(names) for names in table])
    yield from sizes_of(assignment, relays, destinations, chance, figure)
    guard.check()
    yield from changes_of(assignment, relays, troubles, figure)
    guard.check()
    yield from placement_senders.measure(size, seed, REPLICAS)


class FigureMaker:
    """Makes figures of this part at one size."""

    def __init__(self, size: int) -> None:
        self._size = size

    def __call__(
        self,
        quantity: str,
        unit: str,
        value: float,
        low: float | None = None,
        high: float | None = None,
        trouble: str = "calm",
        repeats: int = 1,
        simulated: bool = False,
    ) -> Figure:
        return Figure(
            part="placement",
            quantity=quantity,
            unit=unit,
            trouble=trouble,
            size=self._size,
            value=value,
            low=value if low is None else low,
            high=value if high is None else high,
            repeats=repeats,
            simulated=simulated,
        )


# The ways side by side.


def ways(traffic: Sequence[float]) -> list[Callable[[], Strategy]]:
    """Makers of the ways that the table is weighed against."""
    return [
        lambda: Rendezvous(PARTITIONS, REPLICAS),
        lambda: BoundedRing(PARTITIONS, REPLICAS),
        lambda: RangeSplitting(traffic, REPLICAS),
    ]


def compare(
    make: Callable[[], Strategy],
    relays: Sequence[Relay],
    traffic: Sequence[float],
    troubles: Sequence[Trouble],
    figure: FigureMaker,
) -> Iterator[Figure]:
    """One way: full computation, then each trouble from there and back."""
    way = make()
    started = time.perf_counter()
    table = way.place(relays)
    seconds = time.perf_counter() - started
    yield figure(f"steps-{way.name}", "steps", way.steps)
    yield figure(f"seconds-{way.name}", "s", seconds)
    yield from balance_of(way.name, table, relays, traffic, figure)
    yield figure(f"table-bytes-{way.name}", "B", told_bytes(way, relays))
    for trouble in troubles:
        after = trouble.applied_to(relays)
        steps, started = way.steps, time.perf_counter()
        changed = way.place(after)
        seconds = time.perf_counter() - started
        yield from change_of(
            way.name, table, changed, trouble, way.steps - steps, seconds, len(after), figure
        )
        table = way.place(relays)


def told_bytes(way: Strategy, relays: Sequence[Relay]) -> int:
    """The members' names alone for a way that anybody can work out; with ranges their bounds and replicas."""
    names = sum(len(relay.name) + 1 for relay in relays)
    if isinstance(way, RangeSplitting):
        return names + way.ranges * (4 + 2 * REPLICAS)
    return names


def balance_of(
    name: str, table: Table, relays: Sequence[Relay], traffic: Sequence[float], figure: FigureMaker
) -> Iterator[Figure]:
    yield figure(f"imbalance-partitions-{name}", "times the mean", imbalance(table, relays))
    yield figure(f"imbalance-traffic-{name}", "times the mean", imbalance(table, relays, traffic))


def change_of(
    name: str,
    before: Table,
    after: Table,
    trouble: Trouble,
    steps: int,
    seconds: float,
    relays: int,
    figure: FigureMaker,
) -> Iterator[Figure]:
    """What moved over what had to: replicas on relays lost, or a newcomer's fair part."""
    had_to = replicas_on(before, set(trouble.gone)) or PARTITIONS * REPLICAS / relays
    moved = replicas_moved(before, after) / had_to
    yield figure(f"moved-{name}", "times what had to", moved, trouble=trouble.name)
    yield figure(f"steps-{name}", "steps", steps, trouble=trouble.name)
    yield figure(f"seconds-{name}", "s", seconds, trouble=trouble.name)


# The chosen way: a table, changed by the deciding core.


def full_computation(relays: Sequence[Relay]) -> tuple[Table, int, float]:
    """A table from nothing, its steps and seconds."""
    started = time.perf_counter()
    table, steps = assign_all(relays, PARTITIONS, REPLICAS)
    return table, steps, time.perf_counter() - started


def compare_table(
    table: Table,
    steps: int,
    seconds: float,
    relays: Sequence[Relay],
    traffic: Sequence[float],
    troubles: Sequence[Trouble],
    figure: FigureMaker,
) -> Iterator[Figure]:
    """The core's figures as those of the other ways, without hold and pace."""
    yield figure("steps-table", "steps", steps)
    yield figure("seconds-table", "s", seconds)
    yield from balance_of("table", table, relays, traffic, figure)
    assignment = Assignment(1, [Placement(names) for names in table])
    yield figure("table-bytes-table", "B", len(encode_assignment(assignment)))
    rules = Rules(
        removal_delay_ns=0, join_delay_ns=0, min_proposal_interval_ns=0, max_changes_per_proposal=1 << 30
    )
    for trouble in troubles:
        run = TroubledCore(assignment, relays, rules)
        run.play(trouble)
        changed = [placement.replicas for placement in run.core.build_assignment()]
        count = len(trouble.applied_to(relays))
        yield from change_of("table", table, changed, trouble, run.steps, run.seconds, count, figure)


class TroubledCore:
    """A core through one trouble, every proposal committed and acknowledged by all who live."""

    def __init__(self, assignment: Assignment, relays: Sequence[Relay], rules: Rules) -> None:
        self.core = Core(rules, assignment, 0)
        self.ended_at = 0
        for relay in relays:
            self.core.update_relay(0, relay, Liveness.ALIVE, -rules.join_delay_ns)
        self.now = self.began_at = rules.removal_delay_ns  # the timers of the start have rung
        self.core.propose(self.now)
        self._relays = {relay.name: relay for relay in relays}
        self.differences: list[Difference] = []
        self.steps, self.seconds = 0, 0.0

    def play(self, trouble: Trouble) -> None:
        """Tell it, then let time pass until nothing moves any more."""
        steps, started = self.core.steps, time.perf_counter()
        for name in trouble.gone:
            if trouble.planned:
                self.core.set_leaving(self.now, name)
            else:
                self.core.update_relay(self.now, self._relays[name], Liveness.GONE, self.now)
        for relay in trouble.new:
            self.core.update_relay(self.now, relay, Liveness.ALIVE, self.now)
        self.seconds = time.perf_counter() - started
        while (due := self.core.get_next_proposal_time(self.now)) < 1 << 62:
            self.now = max(due, self.now)
            self._commit(frozenset() if trouble.planned else trouble.gone)
        self.steps = self.core.steps - steps

    def _commit(self, silent: frozenset[str]) -> None:
        started = time.perf_counter()
        proposal = self.core.propose(self.now)
        if proposal is not None:
            difference = proposal.to_difference(self.core.version + 1)
            self.core.apply_committed(self.now, difference)
            self.ended_at = self.now
            self.differences.append(difference)
            previous = {name for change in difference.changes for name in change.placement.previous}
            for name in previous - silent:
                self.core.record_acknowledgement(name, difference.version)
        self.seconds += time.perf_counter() - started


def changes_of(
    assignment: Assignment, relays: Sequence[Relay], troubles: Sequence[Trouble], figure: FigureMaker
) -> Iterator[Figure]:
    """The core as it is meant to run: with hold, pace and handovers."""
    region = frozenset(relay.name for relay in relays if relay.region == "region-1")
    yield from cut_of(assignment, relays, region, figure)
    for trouble in troubles:
        run = TroubledCore(assignment, relays, Rules())
        run.play(trouble)
        after = [placement.replicas for placement in run.core.build_assignment()]
        before = [placement.replicas for placement in assignment]
        names = trouble.applied_to(relays)
        sizes = [len(encode_difference(difference)) for difference in run.differences] or [0]
        made = {"trouble": trouble.name}
        yield figure("member-change-steps", "steps", run.steps, **made)
        yield figure("member-change-seconds", "s", run.seconds, **made)
        yield figure("replicas-moved", "replicas", replicas_moved(before, after), **made)
        yield figure("imbalance-partitions", "times the mean", imbalance(after, names), **made)
        yield figure("versions", "versions", len(run.differences), **made)
        yield figure("difference-bytes", "B", sum(sizes), **made)
        yield figure("difference-bytes-most", "B", max(sizes), **made)
        yield figure("change-ends-after", "s", (run.ended_at - run.began_at) / SECOND, **made, simulated=True)


def cut_of(
    assignment: Assignment, relays: Sequence[Relay], region: frozenset[str], figure: FigureMaker
) -> Iterator[Figure]:
    """A region that is gone for two minutes and back."""
    run = TroubledCore(assignment, relays, Rules())
    steps, started, now = run.core.steps, time.perf_counter(), run.now
    for standing, lasts in ((Liveness.GONE, 120), (Liveness.ALIVE, 3600)):
        for relay in relays:
            if relay.name in region:
                run.core.update_relay(now, relay, standing, now)
        for _ in range(lasts):
            now += SECOND
            if proposal := run.core.propose(now):
                run.core.apply_committed(now, proposal.to_difference(run.core.version + 1))
    seconds = time.perf_counter() - started
    moved = replicas_moved(
        [placement.replicas for placement in assignment],
        [placement.replicas for placement in run.core.build_assignment()],
    )
    yield figure("replicas-moved", "replicas", moved, trouble="region-cut")
    yield figure("member-change-steps", "steps", run.core.steps - steps, trouble="region-cut")
    yield figure("member-change-seconds", "s", seconds, trouble="region-cut")


def sizes_of(
    assignment: Assignment,
    relays: Sequence[Relay],
    destinations: int,
    chance: random.Random,
    figure: FigureMaker,
) -> Iterator[Figure]:
    """Bytes and memory of the whole and of one relay's part."""
    yield figure("assignment-bytes", "B", len(encode_assignment(assignment)))
    counts = parts_of(assignment, relays)
    yield spread_of("partitions-per-relay", "partitions", list(counts.values()), figure)
    per_partition = [0] * PARTITIONS
    for destination in range(destinations):
        per_partition[find_partition(destination, PARTITIONS)] += 1
    held = dict.fromkeys(counts, 0)
    for partition, placement in enumerate(assignment):
        for name in placement.replicas:
            held[name] += per_partition[partition]
    yield spread_of("destinations-per-relay", "destinations", list(held.values()), figure)
    chosen = chance.sample([relay.name for relay in relays], min(HOLDERS, len(relays)))
    parts = {name: assignment.select_placements_of(name) for name in chosen}
    yield spread_of("part-bytes", "B", [part_bytes(part) for part in parts.values()], figure)
    yield from memory_and_lookups(assignment, relays, parts, chance, figure)


def parts_of(assignment: Assignment, relays: Sequence[Relay]) -> dict[str, int]:
    """Partitions of each relay."""
    counts = dict.fromkeys((relay.name for relay in relays), 0)
    for placement in assignment:
        for name in placement.replicas:
            counts[name] += 1
    return counts


def part_bytes(part: dict[int, Placement]) -> int:
    """One relay's part as it is told."""
    changes = tuple(PartitionChange(partition, placement) for partition, placement in part.items())
    return len(encode_difference(Difference(0, 1, changes, 0)))


def spread_of(quantity: str, unit: str, values: Sequence[float], figure: FigureMaker) -> Figure:
    """The mean of many relays with the least and the greatest."""
    mean = sum(values) / len(values)
    return figure(quantity, unit, mean, min(values), max(values), repeats=len(values))


def memory_and_lookups(
    assignment: Assignment,
    relays: Sequence[Relay],
    parts: dict[str, dict[int, Placement]],
    chance: random.Random,
    figure: FigureMaker,
) -> Iterator[Figure]:
    tracemalloc.start()
    try:
        yield figure("core-memory", "B", allocated(lambda: TroubledCore(assignment, relays, Rules())))
        sizes = [allocated(lambda name=name: holder_of(name, copied(parts[name]))) for name in parts]
        yield spread_of("holder-memory", "B", sizes, figure)
    finally:
        tracemalloc.stop()
    yield spread_of(
        "lookup-seconds", "s", [lookup_seconds(name, parts[name], chance) for name in parts], figure
    )


def allocated(make: Callable[[], object]) -> int:
    """Bytes that what is made holds."""
    before = tracemalloc.get_traced_memory()[0]
    made = make()
    held = tracemalloc.get_traced_memory()[0] - before
    del made
    return held


def copied(part: dict[int, Placement]) -> dict[int, Placement]:
    """A part with strings of its own, as when it has been read from the wire."""
    return {
        partition: Placement(tuple((name + " ")[:-1] for name in placement.replicas))
        for partition, placement in part.items()
    }


def holder_of(name: str, part: dict[int, Placement]) -> LeaseHolder:
    """A holder with its part and a lease."""
    holder = LeaseHolder(name, PARTITIONS, LeaseRules())
    holder.replace_placements(0, 1, part)
    holder.record_renewal(0, 0, 1)
    return holder


def lookup_seconds(name: str, part: dict[int, Placement], chance: random.Random) -> float:
    """The mean time of one question for a destination's share."""
    holder = holder_of(name, part)
    asked = [chance.randrange(1 << 40) for _ in range(LOOKUPS // HOLDERS)]
    started = time.perf_counter()
    for destination in islice(asked, None):
        holder.get_fair_share(SECOND, destination)
    return (time.perf_counter() - started) / len(asked)
