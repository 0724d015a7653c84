"""Ids of messages that are owed no more, kept for a while so that a repeat of one is not taken on again."""

from __future__ import annotations

from collections import deque


class EndedIds:
    """At most so many ids, the one that ended first falls out first; each until its deadline has passed.

    Growth: each step is constant, amortized.  The order is kept in a queue of its own: to find the first key
    of a dict, the places of all keys deleted before it are walked.
    """

    __slots__ = ("_deadlines", "_most", "_order")

    def __init__(self, most: int) -> None:
        self._most = most
        self._deadlines: dict[bytes, int] = {}  # steady time, nanoseconds
        self._order: deque[bytes] = deque()

    def __contains__(self, ident: bytes) -> bool:
        return ident in self._deadlines

    def __len__(self) -> int:
        return len(self._deadlines)

    def add(self, ident: bytes, deadline: int, now: int) -> None:
        """It has ended; those that are too many, or in front with their deadline passed, are forgotten."""
        if ident not in self._deadlines:
            self._order.append(ident)
        self._deadlines[ident] = deadline
        while self._order and (len(self._order) > self._most or now > self._deadlines[self._order[0]]):
            del self._deadlines[self._order.popleft()]
