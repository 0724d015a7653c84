"""Ranks the rows by the share of the target from which each is over its budget.

The fleet grows as a whole: destinations, events, backlog and changes with the relays.  A row that is over in
a fleet of any size, because it rests on the events that each relay holds, is ranked by the share of these.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from millweir.lab.capacity.assumptions import Inputs
from millweir.lab.capacity.model import Fleet, Mechanism, Result, Row, Slopes, work_out

SMALLEST_RELAYS = 10.0
SMALLEST_BACKLOG = 1e-7  # of the target's
LARGEST_TIMES = 100.0  # of the target
STEPS_PER_DECADE = 10
BISECTIONS = 40


class Growth(Enum):
    """What grows until a row is over its budget."""

    FLEET = "the fleet as a whole"
    BACKLOG = "the events that each relay holds"


@dataclass(frozen=True, slots=True)
class Crossing:
    """The share of the target from which a row is over its budget."""

    growth: Growth
    share: float


@dataclass(frozen=True, slots=True)
class Ranked:
    """A row with where it goes over its budget."""

    result: Result  # at the target
    crossing: Crossing | None  # None: not over up to `LARGEST_TIMES` the target

    @property
    def row(self) -> Row:
        return self.result.row

    @property
    def share(self) -> float | None:
        return self.crossing.share if self.crossing else None


@dataclass(frozen=True, slots=True)
class Need:
    """A mechanism that takes rows below their budget, with the first of them."""

    remedy: Mechanism
    first: Ranked
    rows: int


def rank(rows: tuple[Row, ...], inputs: Inputs, slopes: Slopes) -> list[Ranked]:
    """All rows with a budget and a figure: those that go over it first, then by their share of it."""
    ranked = []
    for row in rows:
        result = work_out(row, Fleet(inputs), slopes)
        if result.share_of_budget is not None:
            ranked.append(Ranked(result, find_crossing(row, inputs, slopes)))
    return sorted(ranked, key=_order)


def _order(ranked: Ranked) -> tuple[float, float]:
    share = math.inf if ranked.share is None else ranked.share
    return share, -(ranked.result.share_of_budget or 0.0)


def find_crossing(row: Row, inputs: Inputs, slopes: Slopes) -> Crossing | None:
    """Where a row goes over its budget and stays over it; None: nowhere.

    A row that is over in small fleets alone doesn't stand in the way of growth, so it gives None as well.
    """

    def is_over_by_fleet(share: float) -> bool:
        return work_out(row, Fleet(inputs, share), slopes).is_over

    def is_over_by_backlog(share: float) -> bool:
        return work_out(row, Fleet(inputs, backlog_share=share), slopes).is_over

    smallest = smallest_share(inputs)
    share = _first_over(is_over_by_fleet, smallest)
    if share is None:
        return None
    if share == smallest and not is_over_by_backlog(SMALLEST_BACKLOG):
        held_share = _first_over(is_over_by_backlog, SMALLEST_BACKLOG)
        if held_share is not None:
            return Crossing(Growth.BACKLOG, held_share)
    return Crossing(Growth.FLEET, share)


def smallest_share(inputs: Inputs) -> float:
    """The share of the target at which the smallest fleet that is looked at stands."""
    return SMALLEST_RELAYS / inputs.targets.relays.value


def _first_over(is_over: Callable[[float], bool], smallest: float) -> float | None:
    """The share from which it is over up to the largest looked at."""
    if not is_over(LARGEST_TIMES):
        return None
    steps = math.ceil(math.log10(LARGEST_TIMES / smallest) * STEPS_PER_DECADE)
    above = LARGEST_TIMES
    for step in range(steps - 1, -1, -1):
        below = smallest * (LARGEST_TIMES / smallest) ** (step / steps)
        if not is_over(below):
            return _bisect(is_over, below, above)
        above = below
    return smallest


def _bisect(is_over: Callable[[float], bool], below: float, above: float) -> float:
    """Where it becomes over, between a share that is not and one that is."""
    for _ in range(BISECTIONS):
        middle = math.sqrt(below * above)
        if is_over(middle):
            above = middle
        else:
            below = middle
    return above


def needs(ranked: list[Ranked]) -> list[Need]:
    """The mechanisms that rows over budget at the target wait for, in the order of their first row."""
    first: dict[Mechanism, Ranked] = {}
    counts: dict[Mechanism, int] = {}
    for one in ranked:
        remedy = one.row.remedy
        if remedy is None or one.share is None or one.share > 1.0:
            continue
        first.setdefault(remedy, one)
        counts[remedy] = counts.get(remedy, 0) + 1
    return [Need(remedy, one, counts[remedy]) for remedy, one in first.items()]
