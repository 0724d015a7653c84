"""Bounds the calls that a recovering destination may receive from all relays together (slow start, rule 4).

In any window of the settings' overload time (`fall-us`) it may receive the N calls that the settings allow at
that moment, plus a margin for random variation.
"""

from __future__ import annotations

from bisect import bisect_left
from dataclasses import dataclass

from millweir.interface import SECOND
from millweir.lab.outages.scenario import OutageScenario

MIN_AWARE_SHARE = 2 / 3  # a window counts only if more of its calls than this came from aware relays
SMALL_WINDOW_CALLS = 30  # windows that allow fewer calls get a wider margin for random variation


@dataclass(frozen=True, slots=True)
class Arrival:
    """A call that reached the destination after the end of an outage."""

    at: int
    relay_aware: bool  # its relay saw a call fail or be refused during the outage, also before a restart


def compute_capacity(scenario: OutageScenario, since_return: float) -> float:
    """Return the calls per second that the destination can serve so long after the outage ended."""
    capacity_share = scenario.cold_from + (1 - scenario.cold_from) * since_return / scenario.cold_time
    return scenario.rate * min(1.0, capacity_share)


def compute_allowed_calls(scenario: OutageScenario, since_return: float) -> float:
    """Return N for the window whose middle is `since_return` nanoseconds after the outage ended."""
    return scenario.fall_multiple * compute_capacity(scenario, since_return) * scenario.fall_time / SECOND


def compute_call_bound(allowed: float) -> float:
    """Return the number of calls above which the destination counts as overloaded."""
    if allowed < SMALL_WINDOW_CALLS:
        return allowed + 3 * allowed**0.5 + 3
    return allowed + 2 * allowed**0.5 + 2


def compute_worst_window_ratio(scenario: OutageScenario, arrivals: list[Arrival], outage_end: int) -> float:
    """Return the largest ratio of calls to bound in any window whose calls came mostly from aware relays."""
    worst_ratio = 0.0
    times = [arrival.at for arrival in arrivals]
    for first, start in enumerate(times):
        window = arrivals[first : bisect_left(times, start + scenario.fall_time)]
        if sum(arrival.relay_aware for arrival in window) > MIN_AWARE_SHARE * len(window):
            window_middle = start + scenario.fall_time / 2 - outage_end
            worst_ratio = max(
                worst_ratio, len(window) / compute_call_bound(compute_allowed_calls(scenario, window_middle))
            )
    return worst_ratio
