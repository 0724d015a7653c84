"""When suspicions run out: timers of their verdicts."""

from __future__ import annotations

import heapq

from millweir.members.rules import NEVER
from millweir.members.view import Member


class VerdictTimers:
    """When each suspicion runs out, the earliest first; log n of the suspicions to set or take one."""

    __slots__ = ("_number", "_suspects", "_timers")

    def __init__(self, suspects: dict[str, Member]) -> None:
        """`suspects`: those under suspicion, by name, as the core keeps them."""
        self._suspects = suspects
        self._timers: list[tuple[int, int, Member]] = []  # a heap; one that was set again stays till its time
        self._number = 0

    def add(self, member: Member) -> None:
        """The member's `verdict_at` has been set."""
        self._number += 1
        heapq.heappush(self._timers, (member.verdict_at, self._number, member))
        if len(self._timers) > 2 * len(self._suspects) + 64:
            self._rebuild()

    def next_at(self) -> int:
        """The earliest of all; NEVER where nobody is suspected."""
        timers = self._timers
        while timers and not self._holds(timers[0]):
            heapq.heappop(timers)
        return timers[0][0] if timers else NEVER

    def due(self, now: int) -> list[Member]:
        """Whose suspicion has run out; each is to be set again or held for gone."""
        found: dict[str, Member] = {}
        while self.next_at() <= now:
            _, _, member = heapq.heappop(self._timers)
            found[member.claim.name] = member
        return list(found.values())

    def _holds(self, timer: tuple[int, int, Member]) -> bool:
        at, _, member = timer
        return member.verdict_at == at and self._suspects.get(member.claim.name) is member

    def _rebuild(self) -> None:
        self._timers = [
            (member.verdict_at, number, member) for number, member in enumerate(self._suspects.values())
        ]
        self._number = len(self._timers)
        heapq.heapify(self._timers)
