"""Timers of suspicions: when a suspected member is to be declared gone."""

from __future__ import annotations

import heapq

from millweir.members.rules import NEVER
from millweir.members.view import Member


class SuspicionTimers:
    """Expiry times of the suspicions in a heap; O(log n) in the number of suspicions to set or remove one."""

    __slots__ = ("_sequence", "_suspects", "_timers")

    def __init__(self, suspects: dict[str, Member]) -> None:
        """`suspects`: the suspected members by name, maintained by the core."""
        self._suspects = suspects
        # A heap.  A timer that was set again leaves its old entry behind until its time comes.
        self._timers: list[tuple[int, int, Member]] = []
        self._sequence = 0

    def add(self, member: Member) -> None:
        """Adds a timer for the `suspicion_expires_at` of a member, in place of an earlier one."""
        self._sequence += 1
        heapq.heappush(self._timers, (member.suspicion_expires_at, self._sequence, member))
        if len(self._timers) > 2 * len(self._suspects) + 64:
            self._rebuild()

    def next_expiry(self) -> int:
        """Returns the earliest expiry time, or NEVER if no member is suspected."""
        timers = self._timers
        while timers and not self._is_current(timers[0]):
            heapq.heappop(timers)
        return timers[0][0] if timers else NEVER

    def pop_expired(self, now: int) -> list[Member]:
        """Removes and returns the members whose suspicion has expired.

        The caller declares each of them gone or sets its timer again.
        """
        expired: dict[str, Member] = {}
        while self.next_expiry() <= now:
            _, _, member = heapq.heappop(self._timers)
            expired[member.record.name] = member
        return list(expired.values())

    def _is_current(self, timer: tuple[int, int, Member]) -> bool:
        expires_at, _, member = timer
        return member.suspicion_expires_at == expires_at and self._suspects.get(member.record.name) is member

    def _rebuild(self) -> None:
        self._timers = [
            (member.suspicion_expires_at, sequence, member)
            for sequence, member in enumerate(self._suspects.values())
        ]
        self._sequence = len(self._timers)
        heapq.heapify(self._timers)
