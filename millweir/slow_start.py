"""Slow start: when a host is ejected, how often it is tried then, and how its load grows once it is back.

The operators' term: a destination that is back from an outage is cold; all relays together may send it N
calls in the fall time, N growing with its capacity, and only so many more as chance explains.  Relays share
nothing, so each keeps to a part of N, and the parts of all add up to N.

A host is healthy, ejected (spaced trials, one at a time) or in slow start (a trial went well: the pace grows
with time until the cold time is over).
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from millweir.events import HostState, HostTransition
from millweir.interface import SECOND, Settings
from millweir.records import Call, Host

FULFILLED_WEIGHT = -1.4  # log odds of a sequential test: 4 in 5 calls fail against 1 in 5
FAILED_WEIGHT = 1.4
REFUSED_WEIGHT = 0.9
EJECT_AT = 4.6  # log odds of a hundred to one
YOUNG = 5 * SECOND  # the first seconds of a life tell little of its use
TRANSITIONS_KEPT = 1024  # changes of state that the log has not picked up yet


class SlowStart:
    """The state of each host, kept in its record; no clock and no chance of its own."""

    def __init__(self, given: Settings, chance: Callable[[], float], born: int) -> None:
        self._chance = chance
        self._born = born
        self._fall_time = given.fall_time
        self._cold_time = given.cold_time
        self.cold_share = min(1.0, given.fall_multiple * given.cold_from)
        self._warming = (1 - given.cold_from) / (given.cold_from or 1.0) / max(1, given.cold_time)
        self.transitions: deque[HostTransition] = deque(maxlen=TRANSITIONS_KEPT)  # newest last

    def succeeded(self, host: Host, call: Call, now: int) -> None:
        """A call went well."""
        host.failure_score = max(0.0, host.failure_score + FULFILLED_WEIGHT)
        if not host.pace or call.sent_at < host.ejected_at:
            return
        if not host.recovered_at:
            host.recovered_at = now
            self._enter(host, HostState.SLOW_START, "fulfilled")
        if now - host.recovered_at >= self._cold_time:
            host.pace = host.failure_score = 0.0
            self._enter(host, HostState.HEALTHY, "warm")

    def failed(self, host: Host, weight: float, cause: str, now: int) -> None:
        """A sequential test on outcomes; a host that is found to fail gets its part of the cold budget."""
        host.failure_score = min(EJECT_AT, host.failure_score + weight)
        if host.pace or host.failure_score >= EJECT_AT:
            self._eject(host, cause, now)

    def siblings_failed(self, host: Host, weight: float, cause: str, now: int) -> None:
        """An outage mostly takes all hosts of a destination."""
        for other in [other for other in host.destination.hosts if other.route is host.route]:
            self.failed(other, weight, cause, now)

    def opens_at(self, host: Host, now: int) -> int:
        """When the host may be sent its next call; 0 where nothing holds it back."""
        if not host.pace:
            return 0
        warm = now - host.recovered_at if host.recovered_at else 0
        if warm >= self._cold_time:
            return 0
        growth = min(2 ** (warm / self._fall_time), 1 + self._warming * (warm + self._fall_time))
        return host.last_call_at + int(SECOND / (host.pace * growth))

    def on_trial(self, host: Host) -> bool:
        """Ejected, with no call gone well since."""
        return bool(host.pace) and not host.recovered_at

    def may_open_sooner(self, host: Host, now: int) -> int:
        """When to look again at a host held back: its pace grows meanwhile."""
        return now + self._fall_time // 32 if host.pace else 1 << 62

    def _eject(self, host: Host, cause: str, now: int) -> None:
        ejected = self.on_trial(host)
        host.pace = self._part_of_budget(host, now)
        host.route.last_ejected = host
        host.ejected_at, host.recovered_at = now, 0
        spread = self._chance() / 2
        host.last_call_at = max(now, host.route.wait_until) - int(spread * SECOND / host.pace)
        if not ejected:
            self._enter(host, HostState.EJECTED, cause)

    def _part_of_budget(self, host: Host, now: int) -> float:
        """Calls a second while cold: the cold share of own use, or of an even part where that is more."""
        age = max(now - self._born, YOUNG)
        used = max(host.route.share, host.destination.taken * SECOND / age)
        return self.cold_share * min(used, host.route.listed) / max(1, len(host.destination.hosts))

    def _enter(self, host: Host, state: HostState, cause: str) -> None:
        self.transitions.append(HostTransition(host.id, state, cause, host.pace))
