"""When a host that may be recovering gets its next call, and at which rate.

Guards rule 4: a recovering host is not overloaded.  The operators allow all relays together N calls to it in
the recovery window.  Relays share no state, so each keeps to its part of N.

This is the only place that says when a call to such a host may go, whichever way it came to that: a restart,
a retry-after, a change of the host list or a refusal.  Each of these is a moment that other relays may wait
for too.  It releases the host: the first call goes at a random point of the interval between two calls,
counted from that moment.  The time is derived from the release whenever it is asked for, so what puts
the release off, for one host or for all that share its limit, puts the call off with it.
"""

from __future__ import annotations

from collections.abc import Callable

from millweir.interface import SECOND, Settings
from millweir.records import NEVER, Host

MIN_USE_WINDOW_NS = 5 * SECOND  # a shorter time since the start says little about the use of a destination


def find_siblings(host: Host) -> list[Host]:
    """All listed hosts that share its rate limit, itself among them."""
    return [other for other in host.destination.hosts if other.limit_scope is host.limit_scope]


def is_on_trial(host: Host) -> bool:
    """Suspected or ejected, and no call has succeeded since."""
    return bool(host.slow_start_rate) and not host.recovered_at


class RecoverySchedule:
    """Times the calls to hosts in slow start, and the first call after a release; it has no clock."""

    def __init__(self, settings: Settings, random_fraction: Callable[[], float], started_at: int) -> None:
        """`random_fraction` draws evenly from 0 to 1; `started_at`: when the process started."""
        self._random_fraction = random_fraction
        self._started_at = started_at
        self._recovery_window = settings.recovery_window or SECOND
        self._recovery_time = settings.recovery_time
        # The part of a relay's own use that it may send at first; all of it where no such rule is set.
        self.slow_start_share = min(1.0, settings.recovery_multiple * settings.initial_capacity) or 1.0
        self._linear_growth = (
            (1 - settings.initial_capacity)
            / (settings.initial_capacity or 1.0)
            / max(1, settings.recovery_time)
        )  # per nanosecond

    def start_trials(self, host: Host, now: int, rate: float = 0.0) -> None:
        """Limit the host to spaced trial calls, the first at random: all relays may see it fail at once.

        `rate`: the relay's part of the budget, where it is known already.
        """
        host.slow_start_rate = rate or self._compute_budget_part(host, now)
        host.recovered_at = 0
        host.release_fraction = self._random_fraction()
        host.last_call_at = now - int(host.release_fraction / 2 * SECOND / host.slow_start_rate)

    def release_host(self, host: Host, now: int) -> None:
        """The host could get no calls until now; all relays may have waited for this moment."""
        host.released_at = now
        host.last_call_at = 0
        host.release_fraction = self._random_fraction()

    def release_scope(self, host: Host, now: int) -> None:
        """The same for all that share its limit, where they are not in slow start."""
        host.limit_scope.released_at = now
        host.limit_scope.release_fraction = self._random_fraction()

    def record_call(self, host: Host, now: int) -> None:
        """A call to the host is sent."""
        scope = host.limit_scope
        host.last_call_at = scope.last_call_at = now
        if is_on_trial(host):
            scope.last_trial_at = now
            host.release_fraction = self._random_fraction()

    def record_refusal(self, host: Host) -> None:
        """A call was refused; where that came with a retry-after, its end is another release."""
        host.limit_scope.release_fraction = self._random_fraction()

    def next_call_at(self, host: Host, now: int) -> int:
        """When the host may be sent its next call; a time that has passed where nothing limits it."""
        scope = host.limit_scope
        released_at = max(scope.retry_after_until, scope.released_at)
        if not host.slow_start_rate:
            if scope.last_call_at >= released_at:
                return released_at
            return released_at + int(scope.release_fraction * SECOND / self._compute_resume_rate(host, now))
        if now <= host.confirm_by:
            return scope.retry_after_until
        elapsed = now - host.recovered_at if host.recovered_at else 0
        if elapsed >= self._recovery_time:
            return scope.retry_after_until
        rate = host.slow_start_rate * self._compute_growth(elapsed)
        if not host.recovered_at:
            rate = max(rate, self._compute_budget_part(host, now, of_messages_seen=True))
        next_at = host.last_call_at + int(SECOND / rate)
        released_at = max(released_at, host.released_at)
        if host.last_call_at < released_at:
            next_at = max(next_at, released_at + int(host.release_fraction * SECOND / rate))
        return next_at if host.recovered_at else max(next_at, self._next_sibling_trial_at(host))

    def recheck_at(self, host: Host, now: int) -> int:
        """When to check a limited host again: in slow start its rate grows, else only events change it."""
        if not host.recovered_at:
            return NEVER
        return max(now + self._recovery_window // 32, host.limit_scope.retry_after_until)

    def _compute_resume_rate(self, host: Host, now: int) -> float:
        """Calls per second of which the first after a release takes one, where no host is in slow start.

        A short retry-after may be that of a rate limit, or fall into the last moment of an outage.  The rate
        is the geometric mean of the learned limit, which fits the one, and of the budget part, which fits the
        other; the part alone, where a young process has seen no call succeed there.
        """
        limit = host.limit_scope.limit
        part = self._compute_budget_part(host, now) * max(1, len(host.destination.hosts))
        is_young = now - self._started_at < self._recovery_time
        if is_young and not any(sibling.last_success_at for sibling in find_siblings(host)):
            return min(limit, part)
        return min(limit, (limit * part) ** 0.5)

    def _compute_growth(self, elapsed: int) -> float:
        """The rate doubles with each recovery window, a quarter of one ahead of the capacity at most."""
        return min(
            2 ** (elapsed / self._recovery_window),
            1 + self._linear_growth * (elapsed + self._recovery_window // 4),
        )

    @staticmethod
    def _next_sibling_trial_at(host: Host) -> int:
        """Trial calls of one destination are spaced evenly over its hosts, so that they do not coincide."""
        siblings = max(1, len(find_siblings(host)))
        return host.limit_scope.last_trial_at + int(SECOND / (host.slow_start_rate * siblings))

    def _compute_budget_part(self, host: Host, now: int, of_messages_seen: bool = False) -> float:
        """Calls per second at the start of a slow start: the slow-start share of this relay's own use.

        Use is averaged with the fair share of the listed rate, as if that had been seen for as long as one
        call takes at it; with none at all, where it counts `of_messages_seen`.  So the parts of all relays
        add up to no more than the listed rate or the whole demand, also where few messages have come yet or
        more relays run than the settings name.
        """
        fair_share = host.limit_scope.fair_share
        weight = max(SECOND / fair_share, MIN_USE_WINDOW_NS)
        seen = host.destination.accepted_count * SECOND
        if not of_messages_seen:
            seen += fair_share * weight
        used = seen / (now - self._started_at + weight)
        passes = max(fair_share, host.limit_scope.limit)  # what gets through where demand exceeds the rate
        return (
            self.slow_start_share
            * min(used, passes, host.limit_scope.listed_rate)
            / max(1, len(host.destination.hosts))
        )
