"""A token bucket that limits a byte rate, in integer arithmetic; callers pass the time in nanoseconds."""

from __future__ import annotations

SECOND = 1_000_000_000


class TokenBucket:
    """Limits throughput to `bytes_per_second`, with bursts of up to `burst_bytes` after idle time."""

    __slots__ = ("burst_bytes", "bytes_per_second", "refilled_at", "tokens")

    def __init__(self, bytes_per_second: int, burst_bytes: int, now: int) -> None:
        self.bytes_per_second = bytes_per_second
        self.burst_bytes = burst_bytes
        self.tokens = burst_bytes * SECOND  # in byte-nanoseconds, so that no remainder is lost
        self.refilled_at = now

    def compute_delay(self, now: int, size: int) -> int:
        """Return the nanoseconds until `size` bytes may pass; a size over the burst needs a full bucket."""
        self._refill(now)
        missing = min(size, self.burst_bytes) * SECOND - self.tokens
        return max(0, -(-missing // self.bytes_per_second))

    def consume(self, now: int, size: int) -> None:
        """Take tokens for sent bytes; the balance may become negative, which delays the next ones."""
        self._refill(now)
        self.tokens -= size * SECOND

    def _refill(self, now: int) -> None:
        elapsed = max(0, now - self.refilled_at)
        self.refilled_at += elapsed
        self.tokens = min(self.burst_bytes * SECOND, self.tokens + elapsed * self.bytes_per_second)
