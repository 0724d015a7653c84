"""Ranks the rows by the size of the fleet from which each is over its budget."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

from millweir.lab.capacity.assumptions import Inputs
from millweir.lab.capacity.model import Fleet, Mechanism, Result, Row, Slopes, work_out

SMALLEST_RELAYS = 10.0
LARGEST_TIMES = 100.0  # of the target
STEPS_PER_DECADE = 10
BISECTIONS = 40


@dataclass(frozen=True, slots=True)
class Ranked:
    """A row with the share of the target from which it is over its budget."""

    result: Result  # at the target
    share: float | None  # None: not over up to `LARGEST_TIMES` the target
    from_smallest: bool  # over already at the smallest fleet looked at

    @property
    def row(self) -> Row:
        return self.result.row


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
            share = share_over_budget(row, inputs, slopes)
            ranked.append(Ranked(result, share, share == _smallest_share(inputs)))
    return sorted(ranked, key=_order)


def _order(ranked: Ranked) -> tuple[float, float]:
    share = math.inf if ranked.share is None else ranked.share
    return share, -(ranked.result.share_of_budget or 0.0)


def share_over_budget(row: Row, inputs: Inputs, slopes: Slopes) -> float | None:
    """The share of the target from which a row is over its budget in every larger fleet; None: it is not.

    A row that is over in small fleets alone doesn't stand in the way of growth, so it gives None as well.
    """

    def is_over(share: float) -> bool:
        return work_out(row, Fleet(inputs, share), slopes).is_over

    if not is_over(LARGEST_TIMES):
        return None
    smallest = _smallest_share(inputs)
    steps = math.ceil(math.log10(LARGEST_TIMES / smallest) * STEPS_PER_DECADE)
    above = LARGEST_TIMES
    for step in range(steps - 1, -1, -1):
        below = smallest * (LARGEST_TIMES / smallest) ** (step / steps)
        if not is_over(below):
            return _bisect(is_over, below, above)
        above = below
    return smallest


def _smallest_share(inputs: Inputs) -> float:
    return SMALLEST_RELAYS / inputs.targets.relays.value


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
