"""Counters of what is taken in, sent and answered."""

from __future__ import annotations

from collections import Counter


class Counters:
    """Named counts, printed on request and at exit."""

    __slots__ = ("_counts",)

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()

    @property
    def counts(self) -> Counter[str]:
        """All counts; a name never counted is 0."""
        return self._counts

    def add(self, name: str, by: int = 1) -> None:
        self._counts[name] += by

    def line(self) -> str:
        return "counters " + " ".join(f"{name}={number}" for name, number in sorted(self._counts.items()))

    def text(self) -> bytes:
        return "".join(f"{name} {number}\n" for name, number in sorted(self._counts.items())).encode()
