"""How far the answers of one host are trusted; no I/O and no clock."""

from __future__ import annotations

from millweir.answers.policy import (
    DEVIATION_WEIGHT,
    DISTRUST_NS,
    MEAN_WEIGHT,
    compute_silence_end,
)


class HostTrust:
    """What one host's answers have shown: how long they take, and whether some came unasked."""

    __slots__ = ("_answer_time", "_answer_time_deviation", "_distrusted_until")

    def __init__(self) -> None:
        self._answer_time = 0.0  # moving average; 0: it has not answered yet
        self._answer_time_deviation = 0.0
        self._distrusted_until = 0

    def record_answer(self, now: int, written_at: int) -> int:
        """Record an answer to a call written at that time; returns how long a silence after it lasts."""
        mean, deviation, taken = self._answer_time, self._answer_time_deviation, now - written_at
        silence_end = compute_silence_end(now, written_at, mean, deviation)
        if mean:
            self._answer_time_deviation += (abs(taken - mean) - deviation) * DEVIATION_WEIGHT
            self._answer_time += (taken - mean) * MEAN_WEIGHT
        else:
            self._answer_time, self._answer_time_deviation = taken, taken / 2
        return silence_end

    def distrust(self, now: int) -> bool:
        """An answer was refuted; returns whether the host was trusted before."""
        was_trusted = self.is_trusted(now)
        self._distrusted_until = now + DISTRUST_NS
        return was_trusted

    def is_trusted(self, now: int) -> bool:
        """Whether a connection to the host may carry more than one call."""
        return now >= self._distrusted_until
