"""The bound on what a destination that has come back may be sent, by all relays together (rule 4).

In any window of the fall time: N calls, N being what the settings allow it then, and what chance explains.
"""

from __future__ import annotations

from bisect import bisect_left
from dataclasses import dataclass

from millweir.interface import SECOND
from millweir.lab.outages.scenario import OutageScenario

TOLD_SHARE = 2 / 3  # of the calls in a window; up to that, relays are not held responsible
FEW = 30  # fewer calls than this are given more to chance


@dataclass(frozen=True, slots=True)
class Arrival:
    """A call that reached the destination after its return."""

    at: int
    told: bool  # its relay saw a call fail or be refused during the outage, in an earlier life too


def allowed_calls(scenario: OutageScenario, since_return: float) -> float:
    """N of the window whose middle is so long (nanoseconds) after the return."""
    warmth = scenario.cold_from + (1 - scenario.cold_from) * since_return / scenario.cold_time
    capacity = scenario.rate * min(1.0, warmth)
    return scenario.fall_multiple * capacity * scenario.fall_time / SECOND


def bound(allowed: float) -> float:
    """The calls beyond which the destination falls."""
    if allowed < FEW:
        return allowed + 3 * allowed**0.5 + 3
    return allowed + 2 * allowed**0.5 + 2


def worst_window(scenario: OutageScenario, arrivals: list[Arrival], back_at: int) -> float:
    """The largest part of the bound that any window got, of those that mostly told relays filled."""
    worst = 0.0
    times = [arrival.at for arrival in arrivals]
    for first, begin in enumerate(times):
        window = arrivals[first : bisect_left(times, begin + scenario.fall_time)]
        if sum(arrival.told for arrival in window) > TOLD_SHARE * len(window):
            middle = begin + scenario.fall_time / 2 - back_at
            worst = max(worst, len(window) / bound(allowed_calls(scenario, middle)))
    return worst
