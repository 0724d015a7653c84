"""The operators' faults on the simulated fleet, free of the noise of a busy machine in real time.

Core, troubles and quantities are those of `membership.py`, in simulated time on a network without loss.
The same seed gives the same figures.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from functools import reduce
from operator import xor

from millweir.lab.fleet import Fleet, Node
from millweir.lab.scale.membership_messages import (
    CUT_REGION,
    LOST_ZONE,
    get_region,
    list_rack_members,
    list_zone_members,
)
from millweir.lab.scale.membership_steps import build_settled_fleet
from millweir.members.core import SECOND, Change, MemberStatus
from millweir.members.messages import mark

AGREEMENT_CHECK_INTERVAL_NS = SECOND // 4
RACK_SECONDS = ZONE_SECONDS = HEALED_SECONDS = 40
CUT_SECONDS = 120
RACK_LOST = "rack"
ZONE_LOST = "zone"
REGION_CUT = "region-cut"
REGION_HEALED = "region-healed"


@dataclass(slots=True)
class SimulationResult:
    """Cost of a period of simulated time, and how the members' views developed in it."""

    trouble: str
    seconds: int
    members: list[float] = field(default_factory=list)  # bytes per second of each surviving member
    samples: list[float] = field(default_factory=list)  # bytes of each member in each second
    agreed_after: float | None = None  # seconds
    counts: Counter[str] = field(default_factory=Counter)


def simulate_losses(size: int, seed: int) -> Iterator[SimulationResult]:
    """Simulates the loss of a rack and then of a zone, in the same fleet."""
    fleet = build_settled_fleet(size, seed)
    yield _simulate_loss(fleet, RACK_LOST, RACK_SECONDS, list_rack_members(size))
    yield _simulate_loss(fleet, ZONE_LOST, ZONE_SECONDS, list_zone_members(size, LOST_ZONE))


def simulate_region_cut(size: int, seed: int) -> Iterator[SimulationResult]:
    """Simulates a partition of a region and its end."""
    fleet = build_settled_fleet(size, seed)
    fleet.cut = _are_separated
    yield _simulate(fleet, REGION_CUT, CUT_SECONDS)
    fleet.cut = lambda start, end: False
    yield _simulate(fleet, REGION_HEALED, HEALED_SECONDS)


def _are_separated(start: str, end: str) -> bool:
    """Returns whether the network partition separates two members."""
    return (get_region(int(start[1:])) == CUT_REGION) != (get_region(int(end[1:])) == CUT_REGION)


def _simulate_loss(fleet: Fleet, trouble: str, seconds: int, lost: Iterable[int]) -> SimulationResult:
    for number in lost:
        fleet.nodes[number].kill()
    return _simulate(fleet, trouble, seconds)


def _simulate(fleet: Fleet, trouble: str, seconds: int) -> SimulationResult:
    result = SimulationResult(trouble, seconds)
    living = fleet.live_nodes
    started_at = fleet.now

    def count_false_verdicts(node: Node, change: Change) -> None:
        other = fleet.nodes[int(change.name[1:])]
        if other.dead or fleet.cut(node.name, other.name):
            return
        if change.after is MemberStatus.GONE:
            result.counts["false-deaths"] += 1
        elif change.after is MemberStatus.SUSPECTED:
            result.counts["false-suspicions"] += 1

    fleet.watch = count_false_verdicts
    initial_bytes = previous_bytes = [node.counts["bytes"] for node in living]
    for _ in range(seconds):
        second_end = fleet.now + SECOND
        while fleet.now < second_end:
            fleet.run(fleet.now + AGREEMENT_CHECK_INTERVAL_NS)
            if result.agreed_after is None and _is_agreed(living):
                result.agreed_after = (fleet.now - started_at) / SECOND
        sent_bytes = [node.counts["bytes"] for node in living]
        result.samples += [
            float(after - before) for before, after in zip(previous_bytes, sent_bytes, strict=True)
        ]
        previous_bytes = sent_bytes
    result.members = [
        (after - before) / seconds for before, after in zip(initial_bytes, previous_bytes, strict=True)
    ]
    return result


def _is_agreed(living: list[Node]) -> bool:
    """Returns whether the alive set of every living member is exactly the living members."""
    records = (node.core.me for node in living)
    expected_digest = reduce(
        xor, (mark(record.name, record.incarnation, record.run_id) for record in records)
    )
    return all(node.core.digest == expected_digest for node in living)
