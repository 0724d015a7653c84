"""Ranks the rows by the fraction of the target size from which each exceeds its budget.

All inputs grow with the fleet: destinations, events, backlog and changes with the relays.  A row that exceeds
its budget at any fleet size because it depends on the events held by each relay is ranked by the fraction of
the target's backlog instead.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from millweir.lab.capacity.assumptions import Inputs
from millweir.lab.capacity.model import Fleet, Mechanism, Result, Row, Slopes, evaluate_row

MIN_RELAYS = 10.0
MIN_BACKLOG_FRACTION = 1e-7  # of the target's backlog
MAX_TARGET_RATIO = 100.0
STEPS_PER_DECADE = 10
BISECTION_STEPS = 40


class Growth(Enum):
    """The input that is varied until a row exceeds its budget."""

    FLEET = "the fleet as a whole"
    BACKLOG = "the events that each relay holds"


@dataclass(frozen=True, slots=True)
class Crossing:
    """The fraction of the target (size or backlog) from which a row exceeds its budget."""

    growth: Growth
    target_fraction: float


@dataclass(frozen=True, slots=True)
class RankedRow:
    """A row's result with the crossing of its budget."""

    result: Result  # at the target
    crossing: Crossing | None  # None: within its budget up to `MAX_TARGET_RATIO` times the target

    @property
    def row(self) -> Row:
        return self.result.row

    @property
    def target_fraction(self) -> float | None:
        return self.crossing.target_fraction if self.crossing else None


@dataclass(frozen=True, slots=True)
class NeededRemedy:
    """A mechanism that rows over budget need, with the first of these rows and their number."""

    remedy: Mechanism
    first: RankedRow
    row_count: int


def rank_rows(rows: tuple[Row, ...], inputs: Inputs, slopes: Slopes) -> list[RankedRow]:
    """Sort all rows with a budget and a figure: by crossing, then by the fraction of the budget used."""
    ranked_rows = []
    for row in rows:
        result = evaluate_row(row, Fleet(inputs), slopes)
        if result.budget_fraction is not None:
            ranked_rows.append(RankedRow(result, find_crossing(row, inputs, slopes)))
    return sorted(ranked_rows, key=_compute_sort_key)


def _compute_sort_key(ranked_row: RankedRow) -> tuple[float, float]:
    target_fraction = math.inf if ranked_row.target_fraction is None else ranked_row.target_fraction
    return target_fraction, -(ranked_row.result.budget_fraction or 0.0)


def find_crossing(row: Row, inputs: Inputs, slopes: Slopes) -> Crossing | None:
    """Find where a row exceeds its budget and stays above it; None if nowhere.

    A row that is over its budget only in small fleets does not limit growth, so it also gives None.
    """

    def is_over_at_fleet_size(target_fraction: float) -> bool:
        return evaluate_row(row, Fleet(inputs, target_fraction), slopes).is_over_budget

    def is_over_at_backlog(backlog_fraction: float) -> bool:
        return evaluate_row(row, Fleet(inputs, backlog_fraction=backlog_fraction), slopes).is_over_budget

    min_fraction = compute_min_target_fraction(inputs)
    target_fraction = _find_first_over(is_over_at_fleet_size, min_fraction)
    if target_fraction is None:
        return None
    if target_fraction == min_fraction and not is_over_at_backlog(MIN_BACKLOG_FRACTION):
        backlog_fraction = _find_first_over(is_over_at_backlog, MIN_BACKLOG_FRACTION)
        if backlog_fraction is not None:
            return Crossing(Growth.BACKLOG, backlog_fraction)
    return Crossing(Growth.FLEET, target_fraction)


def compute_min_target_fraction(inputs: Inputs) -> float:
    """Return the fraction of the target that the smallest fleet considered has."""
    return MIN_RELAYS / inputs.targets.relays.value


def _find_first_over(is_over_budget: Callable[[float], bool], min_fraction: float) -> float | None:
    """Find the fraction from which the budget is exceeded at every step up to `MAX_TARGET_RATIO`."""
    if not is_over_budget(MAX_TARGET_RATIO):
        return None
    steps = math.ceil(math.log10(MAX_TARGET_RATIO / min_fraction) * STEPS_PER_DECADE)
    above = MAX_TARGET_RATIO
    for step in range(steps - 1, -1, -1):
        below = min_fraction * (MAX_TARGET_RATIO / min_fraction) ** (step / steps)
        if not is_over_budget(below):
            return _bisect(is_over_budget, below, above)
        above = below
    return min_fraction


def _bisect(is_over_budget: Callable[[float], bool], below: float, above: float) -> float:
    """Find the crossing between a fraction within the budget and one over it."""
    for _ in range(BISECTION_STEPS):
        middle = math.sqrt(below * above)
        if is_over_budget(middle):
            above = middle
        else:
            below = middle
    return above


def collect_needed_remedies(ranked_rows: list[RankedRow]) -> list[NeededRemedy]:
    """Collect the remedies of the rows over budget at the target, in the order of their first row."""
    first: dict[Mechanism, RankedRow] = {}
    counts: dict[Mechanism, int] = {}
    for ranked_row in ranked_rows:
        remedy = ranked_row.row.remedy
        if remedy is None or ranked_row.target_fraction is None or ranked_row.target_fraction > 1.0:
            continue
        first.setdefault(remedy, ranked_row)
        counts[remedy] = counts.get(remedy, 0) + 1
    return [NeededRemedy(remedy, ranked_row, counts[remedy]) for remedy, ranked_row in first.items()]
