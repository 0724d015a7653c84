"""Counters of accepted messages, calls, connections and other events of this process."""

from __future__ import annotations

from collections import Counter


class Counters:
    """Named counts, logged on SIGUSR1 and at exit, and served over HTTP."""

    __slots__ = ("_counts",)

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()

    @property
    def counts(self) -> Counter[str]:
        """All counts; 0 for a name that was never counted."""
        return self._counts

    def add(self, name: str, by: int = 1) -> None:
        self._counts[name] += by

    def format_log_line(self) -> str:
        return "counters " + " ".join(f"{name}={number}" for name, number in sorted(self._counts.items()))

    def encode_lines(self) -> bytes:
        return "".join(f"{name} {number}\n" for name, number in sorted(self._counts.items())).encode()
