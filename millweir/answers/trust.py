"""How far the answers of one host are trusted; no I/O and no clock."""

from __future__ import annotations

from millweir.answers.policy import (
    DEVIATION_WEIGHT,
    DISTRUST_NS,
    MEAN_WEIGHT,
    compute_answer_time,
    compute_max_unproven_age,
    compute_rest,
)


class HostTrust:
    """What one host's answers have shown: how long they take, and whether some came unasked."""

    __slots__ = ("_answer_time_deviation", "_distrusted_until", "_mean_answer_time")

    def __init__(self) -> None:
        self._mean_answer_time = 0.0  # moving average of served calls; 0: it has not served one yet
        self._answer_time_deviation = 0.0
        self._distrusted_until = 0

    def record_served(self, taken: int) -> None:
        """Record how long the host took to serve a call, by an answer that is proven or confirmed.

        Others may be copies, which come sooner: they must not shorten the silences that are to tell them.
        """
        mean, deviation = self._mean_answer_time, self._answer_time_deviation
        if mean:
            self._answer_time_deviation += (abs(taken - mean) - deviation) * DEVIATION_WEIGHT
            self._mean_answer_time += (taken - mean) * MEAN_WEIGHT
        else:
            self._mean_answer_time, self._answer_time_deviation = taken, taken / 2

    @property
    def answer_time(self) -> int:
        """How long the host may take to answer a call."""
        return compute_answer_time(self._mean_answer_time, self._answer_time_deviation)

    @property
    def rest(self) -> int:
        """How long a connection to the host carries no call after an answer."""
        return compute_rest(self._mean_answer_time)

    @property
    def max_unproven_age(self) -> int:
        """For how long a connection to the host may carry calls before it has been silent."""
        return compute_max_unproven_age(self.answer_time)

    def distrust(self, now: int) -> bool:
        """An answer was refuted; returns whether the host was trusted before."""
        was_trusted = self.is_trusted(now)
        self._distrusted_until = now + DISTRUST_NS
        return was_trusted

    def is_trusted(self, now: int) -> bool:
        """Whether a connection to the host may carry more than one call."""
        return now >= self._distrusted_until
