"""A token bucket over bytes, in whole numbers: time in nanoseconds is handed in."""

from __future__ import annotations

SECOND = 1_000_000_000


class ByteBucket:
    """Lets `rate` bytes a second pass, and `burst` more at once after a pause."""

    __slots__ = ("burst", "rate", "refilled_at", "tokens")

    def __init__(self, rate: int, burst: int, now: int) -> None:
        self.rate = rate
        self.burst = burst
        self.tokens = burst * SECOND  # in bytes times nanoseconds: no remainder is lost
        self.refilled_at = now

    def wait(self, now: int, size: int) -> int:
        """Nanoseconds until so many bytes may pass; more than the burst wait for a full bucket."""
        self._refill(now)
        missing = min(size, self.burst) * SECOND - self.tokens
        return max(0, -(-missing // self.rate))

    def take(self, now: int, size: int) -> None:
        """Count bytes that pass; more than there are make the next ones wait."""
        self._refill(now)
        self.tokens -= size * SECOND

    def _refill(self, now: int) -> None:
        passed = max(0, now - self.refilled_at)
        self.refilled_at += passed
        self.tokens = min(self.burst * SECOND, self.tokens + passed * self.rate)
