"""What one rate limit and one recovery hold for in the stand-ins: a host, or all hosts of a destination."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

SECOND = 1_000_000_000


@dataclass(frozen=True, slots=True)
class RecoveryTerms:
    """The settings' terms of a recovery; times in nanoseconds."""

    initial_capacity: float  # share of the rate right after an outage
    recovery_time: int
    overload_multiple: float
    overload_window: int

    @classmethod
    def from_settings(cls, obligations: dict[str, float]) -> RecoveryTerms:
        return cls(
            obligations["cold-from"],
            int(obligations["cold-us"] * 1000),
            obligations["fall-multiple"],
            int(obligations["fall-us"] * 1000),
        )


class Destination:
    """Serves a rate of calls; after an outage of all its hosts it is recovering.

    It then serves a growing share of its rate.  More than N + 3 sqrt(N) + 3 calls in the settings' overload
    window overload it (rule 4), N being what they allow it then.
    """

    def __init__(self, rate: float, terms: RecoveryTerms, now: int) -> None:
        self.rate, self._terms = rate, terms
        self._tokens, self._tokens_at = rate, now
        self._faults: dict[str, int] = {}  # by host: outages that have not ended
        self._recovering_since = 0  # 0 when not recovering
        self._recent: deque[int] = deque()  # times of the calls within the overload window

    def add_host(self, host: str) -> None:
        self._faults[host] = 0

    def begin_outage(self, host: str) -> None:
        self._faults[host] += 1
        if all(self._faults.values()):
            self._recovering_since = 0

    def end_outage(self, host: str, now: int) -> None:
        """The first host to return after an outage of all of them begins the recovery."""
        all_out = all(self._faults.values())
        self._faults[host] -= 1
        if all_out and not self._faults[host]:
            self._recovering_since = now
            self._recent.clear()

    def record_call(self, now: int) -> int:
        """Count a call; return the calls in the window if they overload a recovering destination, else 0."""
        share = self._compute_capacity_share(now)
        if not self._recovering_since:
            return 0
        self._recent.append(now)
        while self._recent[0] < now - self._terms.overload_window:
            self._recent.popleft()
        calls = len(self._recent)
        allowed = self.rate * share * self._terms.overload_multiple * self._terms.overload_window / SECOND
        if calls <= allowed + 3 * allowed**0.5 + 3:
            return 0
        self._recent.clear()
        return calls

    def take_token(self, now: int) -> bool:
        """Whether a call is within the rate limit at present."""
        rate = self.rate * self._compute_capacity_share(now)
        self._tokens = min(rate, self._tokens + (now - self._tokens_at) / SECOND * rate)
        self._tokens_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _compute_capacity_share(self, now: int) -> float:
        """Return the share of its rate that it can serve now."""
        if not self._recovering_since:
            return 1.0
        elapsed = (now - self._recovering_since) / self._terms.recovery_time
        share = self._terms.initial_capacity + (1 - self._terms.initial_capacity) * elapsed
        if share >= 1:
            self._recovering_since = 0
        return min(share, 1.0)
