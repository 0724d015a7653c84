"""Scale test of placement by the number of relays: compares strategies and measures the one in use.

The number of partitions is the same at each size; the destinations per relay are those of the target fleet,
as are its 11 zones and 4 regions.  Quantities, where STRATEGY is the name of a strategy, or `table` for the
one in use:

- `partitions`, `destinations`: the numbers of this run; the first is constant, the second grows as n.
- `imbalance-partitions-STRATEGY`, `imbalance-traffic-STRATEGY`: load of the most loaded relay over the
  mean, the second with a Zipf distribution of traffic over destinations.  By partitions it is expected to
  be constant, except for rendezvous, where it grows as the partitions per relay become fewer; by traffic it
  grows with the relays for all strategies, as the hottest destination weighs more against a smaller mean.
- `moved-STRATEGY` (troubles join, relay-lost, zone-lost; for the table also leave, which is planned):
  replicas that moved over those that had to (those on the lost relays, or the new relay's fair share).
  Expected constant.
- `steps-STRATEGY`, `seconds-STRATEGY`: cost of that change, and in trouble calm of a full computation.  A
  full computation grows at most as n for rendezvous and is constant for the table; the change of one member
  falls as 1/n, as do its partitions.
- `table-bytes-STRATEGY`: bytes that describe a full placement on the wire.
- `imbalance-partitions`, `full-computation-steps`, `full-computation-seconds`, `member-change-steps`,
  `member-change-seconds`, `replicas-moved`, `versions`, `difference-bytes`, `difference-bytes-most` (of one
  version), `change-ends-after` (simulated seconds to the last version, with the delays and the rate limit
  of proposals): the strategy in use, by trouble.
- `assignment-bytes`, `part-bytes`, `partitions-per-relay`, `destinations-per-relay`, `core-memory`,
  `holder-memory`, `lookup-seconds`: the full assignment, one relay's placements, and their memory.
- what senders learn about a destination: see `placement_senders.py`.
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
ZONE_COUNT = 11
REGION_COUNT = 4
DESTINATIONS_PER_RELAY = 1_300_000 / 4_900
ZIPF_EXPONENT = 0.7  # assumed
BYTES_PER_RELAY = 64 << 10  # for the resource plan
BASE_BYTES = 256 << 20  # for the resource plan
LOOKUP_COUNT = 20_000
MEASURED_HOLDERS = 20  # relays whose memory and look-ups are measured
Table = Sequence[tuple[str, ...]]


def build_relays(number: int) -> list[Relay]:
    """Builds relays spread evenly over the zones, and the zones over the regions."""
    return [
        Relay(f"relay-{n:05}", f"region-{n % ZONE_COUNT % REGION_COUNT}", f"zone-{n % ZONE_COUNT}")
        for n in range(number)
    ]


def compute_partition_traffic(destinations: int, exponent: float = ZIPF_EXPONENT) -> list[float]:
    """Returns the fraction of the traffic of each partition, with a Zipf distribution over destinations."""
    traffic = [0.0] * PARTITIONS
    total = 0.0
    for destination in range(destinations):
        weight = (destination + 1) ** -exponent
        total += weight
        traffic[find_partition(destination, PARTITIONS)] += weight
    return [weight / total for weight in traffic]


def compute_imbalance(table: Table, relays: Sequence[Relay], loads: Sequence[float] | None = None) -> float:
    """Returns the most loaded relay's load over the mean; a partition's load is split over its replicas."""
    load_by_relay = dict.fromkeys((relay.name for relay in relays), 0.0)
    for partition, names in enumerate(table):
        load = loads[partition] if loads else 1.0
        for name in names:
            load_by_relay[name] += load / len(names)
    return max(load_by_relay.values()) * len(load_by_relay) / sum(load_by_relay.values())


def count_moved_replicas(before: Table, after: Table) -> int:
    """Counts the replicas of `after` that are not in `before`."""
    return sum(len(set(new) - set(old)) for old, new in zip(before, after, strict=True))


def count_replicas_on(table: Table, names: set[str]) -> int:
    """Counts the replicas that the named relays hold."""
    return sum(name in names for replicas in table for name in replicas)


@dataclass(frozen=True, slots=True)
class FleetChange:
    """Relays that leave or join the fleet."""

    name: str
    gone: frozenset[str] = frozenset()
    new: tuple[Relay, ...] = ()
    planned: bool = False  # the leaving relays announce it and acknowledge the moves

    def apply_to(self, relays: Sequence[Relay]) -> list[Relay]:
        """Returns the relays after the change."""
        return [relay for relay in relays if relay.name not in self.gone] + list(self.new)


def build_fleet_changes(relays: Sequence[Relay], rng: random.Random) -> list[FleetChange]:
    """Builds a join, a planned leave, the loss of a relay and the loss of a zone."""
    new_relay = Relay("relay-new", "region-0", "zone-0")
    zone = frozenset(relay.name for relay in relays if relay.zone == "zone-3")
    return [
        FleetChange("join", new=(new_relay,)),
        FleetChange("leave", frozenset((rng.choice(relays).name,)), planned=True),
        FleetChange("relay-lost", frozenset((rng.choice(relays).name,))),
        FleetChange("zone-lost", zone),
    ]


def measure(size: int, seed: int, guard: Guard) -> Iterator[Figure]:
    """Yields all quantities for `size` relays."""
    guard.check_plan(BASE_BYTES + size * BYTES_PER_RELAY, processes=1)
    rng = random.Random(seed)
    relays = build_relays(size)
    destinations = round(size * DESTINATIONS_PER_RELAY)
    traffic = compute_partition_traffic(destinations)
    figure = FigureBuilder(size)
    yield figure("partitions", "partitions", PARTITIONS)
    yield figure("destinations", "destinations", destinations)
    fleet_changes = build_fleet_changes(relays, rng)
    for factory in list_strategy_factories(traffic):
        yield from measure_strategy(
            factory, relays, traffic, [one for one in fleet_changes if not one.planned], figure
        )
        guard.check()
    table, steps, seconds = compute_full_table(relays)
    yield figure("full-computation-steps", "steps", steps)
    yield figure("full-computation-seconds", "s", seconds)
    yield from measure_table(table, steps, seconds, relays, traffic, fleet_changes, figure)
    assignment = Assignment(1, [Placement(names) for names in table])
    yield from measure_sizes(assignment, relays, destinations, rng, figure)
    guard.check()
    yield from measure_fleet_changes(assignment, relays, fleet_changes, figure)
    guard.check()
    yield from placement_senders.measure(size, seed, REPLICAS)


class FigureBuilder:
    """Builds figures of this part at one size."""

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


# Comparison of the strategies.


def list_strategy_factories(traffic: Sequence[float]) -> list[Callable[[], Strategy]]:
    """Returns factories of the strategies that the table is compared with."""
    return [
        lambda: Rendezvous(PARTITIONS, REPLICAS),
        lambda: BoundedRing(PARTITIONS, REPLICAS),
        lambda: RangeSplitting(traffic, REPLICAS),
    ]


def measure_strategy(
    factory: Callable[[], Strategy],
    relays: Sequence[Relay],
    traffic: Sequence[float],
    fleet_changes: Sequence[FleetChange],
    figure: FigureBuilder,
) -> Iterator[Figure]:
    """Measures one strategy: a full computation, then each fleet change, undone after it."""
    strategy = factory()
    started = time.perf_counter()
    table = strategy.place(relays)
    seconds = time.perf_counter() - started
    yield figure(f"steps-{strategy.name}", "steps", strategy.steps)
    yield figure(f"seconds-{strategy.name}", "s", seconds)
    yield from build_balance_figures(strategy.name, table, relays, traffic, figure)
    yield figure(f"table-bytes-{strategy.name}", "B", compute_table_bytes(strategy, relays))
    for fleet_change in fleet_changes:
        after = fleet_change.apply_to(relays)
        steps, started = strategy.steps, time.perf_counter()
        changed = strategy.place(after)
        seconds = time.perf_counter() - started
        yield from build_change_figures(
            strategy.name, table, changed, fleet_change, strategy.steps - steps, seconds, len(after), figure
        )
        table = strategy.place(relays)


def compute_table_bytes(strategy: Strategy, relays: Sequence[Relay]) -> int:
    """Returns the bytes that describe a full placement.

    Range splitting transfers the ranges' bounds and replicas; with the other strategies each member computes
    the placement from the members' names alone.
    """
    names = sum(len(relay.name) + 1 for relay in relays)
    if isinstance(strategy, RangeSplitting):
        return names + strategy.ranges * (4 + 2 * REPLICAS)
    return names


def build_balance_figures(
    name: str, table: Table, relays: Sequence[Relay], traffic: Sequence[float], figure: FigureBuilder
) -> Iterator[Figure]:
    yield figure(f"imbalance-partitions-{name}", "times the mean", compute_imbalance(table, relays))
    yield figure(f"imbalance-traffic-{name}", "times the mean", compute_imbalance(table, relays, traffic))


def build_change_figures(
    name: str,
    before: Table,
    after: Table,
    fleet_change: FleetChange,
    steps: int,
    seconds: float,
    relays: int,
    figure: FigureBuilder,
) -> Iterator[Figure]:
    """Yields the moves over the necessary ones (replicas on lost relays, or a new relay's fair share)."""
    necessary_moves = count_replicas_on(before, set(fleet_change.gone)) or PARTITIONS * REPLICAS / relays
    moved = count_moved_replicas(before, after) / necessary_moves
    yield figure(f"moved-{name}", "times what had to", moved, trouble=fleet_change.name)
    yield figure(f"steps-{name}", "steps", steps, trouble=fleet_change.name)
    yield figure(f"seconds-{name}", "s", seconds, trouble=fleet_change.name)


# The strategy in use: a table that the placement core changes.


def compute_full_table(relays: Sequence[Relay]) -> tuple[Table, int, float]:
    """Computes a table without a previous one; returns it with its steps and seconds."""
    started = time.perf_counter()
    table, steps = assign_all(relays, PARTITIONS, REPLICAS)
    return table, steps, time.perf_counter() - started


def measure_table(
    table: Table,
    steps: int,
    seconds: float,
    relays: Sequence[Relay],
    traffic: Sequence[float],
    fleet_changes: Sequence[FleetChange],
    figure: FigureBuilder,
) -> Iterator[Figure]:
    """Yields the core's figures for comparison with the strategies, without delays and rate limit."""
    yield figure("steps-table", "steps", steps)
    yield figure("seconds-table", "s", seconds)
    yield from build_balance_figures("table", table, relays, traffic, figure)
    assignment = Assignment(1, [Placement(names) for names in table])
    yield figure("table-bytes-table", "B", len(encode_assignment(assignment)))
    rules = Rules(
        removal_delay_ns=0, join_delay_ns=0, min_proposal_interval_ns=0, max_changes_per_proposal=1 << 30
    )
    for fleet_change in fleet_changes:
        simulation = CoreSimulation(assignment, relays, rules)
        simulation.apply_change(fleet_change)
        changed = [placement.replicas for placement in simulation.core.build_assignment()]
        count = len(fleet_change.apply_to(relays))
        yield from build_change_figures(
            "table", table, changed, fleet_change, simulation.steps, simulation.seconds, count, figure
        )


class CoreSimulation:
    """A placement core under a fleet change; living relays acknowledge every committed proposal."""

    def __init__(self, assignment: Assignment, relays: Sequence[Relay], rules: Rules) -> None:
        self.core = Core(rules, assignment, 0)
        self.ended_at = 0
        for relay in relays:
            self.core.update_relay(0, relay, Liveness.ALIVE, -rules.join_delay_ns)
        self.now = self.started_at = rules.removal_delay_ns  # the start's timers have expired
        self.core.propose(self.now)
        self._relays = {relay.name: relay for relay in relays}
        self.differences: list[Difference] = []
        self.steps, self.seconds = 0, 0.0

    def apply_change(self, fleet_change: FleetChange) -> None:
        """Reports the change to the core, then advances time until no proposal is pending."""
        steps, started = self.core.steps, time.perf_counter()
        for name in fleet_change.gone:
            if fleet_change.planned:
                self.core.set_leaving(self.now, name)
            else:
                self.core.update_relay(self.now, self._relays[name], Liveness.GONE, self.now)
        for relay in fleet_change.new:
            self.core.update_relay(self.now, relay, Liveness.ALIVE, self.now)
        self.seconds = time.perf_counter() - started
        while (next_proposal_at := self.core.get_next_proposal_time(self.now)) < 1 << 62:
            self.now = max(next_proposal_at, self.now)
            self._commit_next_proposal(frozenset() if fleet_change.planned else fleet_change.gone)
        self.steps = self.core.steps - steps

    def _commit_next_proposal(self, unresponsive_relays: frozenset[str]) -> None:
        started = time.perf_counter()
        proposal = self.core.propose(self.now)
        if proposal is not None:
            difference = proposal.to_difference(self.core.version + 1)
            self.core.apply_committed(self.now, difference)
            self.ended_at = self.now
            self.differences.append(difference)
            previous = {name for change in difference.changes for name in change.placement.previous}
            for name in previous - unresponsive_relays:
                self.core.record_acknowledgement(name, difference.version)
        self.seconds += time.perf_counter() - started


def measure_fleet_changes(
    assignment: Assignment,
    relays: Sequence[Relay],
    fleet_changes: Sequence[FleetChange],
    figure: FigureBuilder,
) -> Iterator[Figure]:
    """Measures the core with its regular delays, rate limit and handovers."""
    region = frozenset(relay.name for relay in relays if relay.region == "region-1")
    yield from measure_region_cut(assignment, relays, region, figure)
    for fleet_change in fleet_changes:
        simulation = CoreSimulation(assignment, relays, Rules())
        simulation.apply_change(fleet_change)
        after = [placement.replicas for placement in simulation.core.build_assignment()]
        before = [placement.replicas for placement in assignment]
        names = fleet_change.apply_to(relays)
        sizes = [len(encode_difference(difference)) for difference in simulation.differences] or [0]
        labels = {"trouble": fleet_change.name}
        yield figure("member-change-steps", "steps", simulation.steps, **labels)
        yield figure("member-change-seconds", "s", simulation.seconds, **labels)
        yield figure("replicas-moved", "replicas", count_moved_replicas(before, after), **labels)
        yield figure("imbalance-partitions", "times the mean", compute_imbalance(after, names), **labels)
        yield figure("versions", "versions", len(simulation.differences), **labels)
        yield figure("difference-bytes", "B", sum(sizes), **labels)
        yield figure("difference-bytes-most", "B", max(sizes), **labels)
        yield figure(
            "change-ends-after",
            "s",
            (simulation.ended_at - simulation.started_at) / SECOND,
            **labels,
            simulated=True,
        )


def measure_region_cut(
    assignment: Assignment, relays: Sequence[Relay], region: frozenset[str], figure: FigureBuilder
) -> Iterator[Figure]:
    """Measures a region that is unreachable for two minutes and then returns."""
    simulation = CoreSimulation(assignment, relays, Rules())
    steps, started, now = simulation.core.steps, time.perf_counter(), simulation.now
    for liveness, duration_seconds in ((Liveness.GONE, 120), (Liveness.ALIVE, 3600)):
        for relay in relays:
            if relay.name in region:
                simulation.core.update_relay(now, relay, liveness, now)
        for _ in range(duration_seconds):
            now += SECOND
            if proposal := simulation.core.propose(now):
                simulation.core.apply_committed(now, proposal.to_difference(simulation.core.version + 1))
    seconds = time.perf_counter() - started
    moved = count_moved_replicas(
        [placement.replicas for placement in assignment],
        [placement.replicas for placement in simulation.core.build_assignment()],
    )
    yield figure("replicas-moved", "replicas", moved, trouble="region-cut")
    yield figure("member-change-steps", "steps", simulation.core.steps - steps, trouble="region-cut")
    yield figure("member-change-seconds", "s", seconds, trouble="region-cut")


def measure_sizes(
    assignment: Assignment,
    relays: Sequence[Relay],
    destinations: int,
    rng: random.Random,
    figure: FigureBuilder,
) -> Iterator[Figure]:
    """Measures bytes and memory of the full assignment and of one relay's placements."""
    yield figure("assignment-bytes", "B", len(encode_assignment(assignment)))
    counts = count_partitions_per_relay(assignment, relays)
    yield build_spread_figure("partitions-per-relay", "partitions", list(counts.values()), figure)
    per_partition = [0] * PARTITIONS
    for destination in range(destinations):
        per_partition[find_partition(destination, PARTITIONS)] += 1
    destinations_by_relay = dict.fromkeys(counts, 0)
    for partition, placement in enumerate(assignment):
        for name in placement.replicas:
            destinations_by_relay[name] += per_partition[partition]
    yield build_spread_figure(
        "destinations-per-relay", "destinations", list(destinations_by_relay.values()), figure
    )
    chosen = rng.sample([relay.name for relay in relays], min(MEASURED_HOLDERS, len(relays)))
    placements_by_relay = {name: assignment.select_placements_of(name) for name in chosen}
    yield build_spread_figure(
        "part-bytes",
        "B",
        [compute_encoded_size(placements) for placements in placements_by_relay.values()],
        figure,
    )
    yield from measure_memory_and_lookups(assignment, relays, placements_by_relay, rng, figure)


def count_partitions_per_relay(assignment: Assignment, relays: Sequence[Relay]) -> dict[str, int]:
    """Counts the partitions of each relay."""
    counts = dict.fromkeys((relay.name for relay in relays), 0)
    for placement in assignment:
        for name in placement.replicas:
            counts[name] += 1
    return counts


def compute_encoded_size(placements: dict[int, Placement]) -> int:
    """Returns the encoded size of one relay's placements."""
    changes = tuple(PartitionChange(partition, placement) for partition, placement in placements.items())
    return len(encode_difference(Difference(0, 1, changes, 0)))


def build_spread_figure(quantity: str, unit: str, values: Sequence[float], figure: FigureBuilder) -> Figure:
    """Builds a figure with the mean, minimum and maximum over relays."""
    mean = sum(values) / len(values)
    return figure(quantity, unit, mean, min(values), max(values), repeats=len(values))


def measure_memory_and_lookups(
    assignment: Assignment,
    relays: Sequence[Relay],
    placements_by_relay: dict[str, dict[int, Placement]],
    rng: random.Random,
    figure: FigureBuilder,
) -> Iterator[Figure]:
    tracemalloc.start()
    try:
        yield figure(
            "core-memory", "B", measure_allocated_bytes(lambda: CoreSimulation(assignment, relays, Rules()))
        )
        sizes = [
            measure_allocated_bytes(
                lambda name=name: build_holder(name, copy_placements(placements_by_relay[name]))
            )
            for name in placements_by_relay
        ]
        yield build_spread_figure("holder-memory", "B", sizes, figure)
    finally:
        tracemalloc.stop()
    yield build_spread_figure(
        "lookup-seconds",
        "s",
        [measure_lookup_seconds(name, placements_by_relay[name], rng) for name in placements_by_relay],
        figure,
    )


def measure_allocated_bytes(factory: Callable[[], object]) -> int:
    """Returns the bytes that an object made by `factory` keeps allocated."""
    before = tracemalloc.get_traced_memory()[0]
    allocated_object = factory()
    allocated_bytes = tracemalloc.get_traced_memory()[0] - before
    del allocated_object
    return allocated_bytes


def copy_placements(placements: dict[int, Placement]) -> dict[int, Placement]:
    """Copies placements with new strings, as if they had been read from the wire."""
    return {
        partition: Placement(tuple((name + " ")[:-1] for name in placement.replicas))
        for partition, placement in placements.items()
    }


def build_holder(name: str, placements: dict[int, Placement]) -> LeaseHolder:
    """Builds a lease holder with its placements and a lease."""
    holder = LeaseHolder(name, PARTITIONS, LeaseRules())
    holder.replace_placements(0, 1, placements)
    holder.record_renewal(0, 0, 1)
    return holder


def measure_lookup_seconds(name: str, placements: dict[int, Placement], rng: random.Random) -> float:
    """Measures the mean seconds of one query of a destination's fair share."""
    holder = build_holder(name, placements)
    queried_destinations = [rng.randrange(1 << 40) for _ in range(LOOKUP_COUNT // MEASURED_HOLDERS)]
    started = time.perf_counter()
    for destination in islice(queried_destinations, None):
        holder.get_fair_share(SECOND, destination)
    return (time.perf_counter() - started) / len(queried_destinations)
