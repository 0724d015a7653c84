"""Partitions in handover: which relays have not acknowledged the change yet, and when the wait for them ends.

The cost of an acknowledgement grows with the partitions that await it.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

NEVER = 1 << 62  # a time that is never reached


@dataclass(slots=True)
class Handover:
    """The handover of one partition."""

    version: int
    expires_at: int
    awaited: set[str]  # relays that have not acknowledged yet


class Handovers:
    """All partitions in handover, by partition and by relay that has to acknowledge."""

    __slots__ = ("_awaiting", "_by_partition", "_deadlines", "_wait_ns", "completed", "steps")

    def __init__(self, wait_ns: int) -> None:
        self._wait_ns = wait_ns
        self._by_partition: dict[int, Handover] = {}
        self._awaiting: dict[str, dict[int, None]] = {}  # partitions, by relay that has to acknowledge
        self._deadlines: deque[tuple[int, int]] = deque()  # time, partition
        self.completed: dict[int, None] = {}  # partitions whose handover may be ended
        self.steps = 0

    def __contains__(self, partition: int) -> bool:
        return partition in self._by_partition

    def __len__(self) -> int:
        return len(self._by_partition)

    def begin(self, now: int, partition: int, version: int, awaited: Iterable[str]) -> None:
        """Start a handover of a partition changed at a version, which these relays have to acknowledge."""
        handover = Handover(version, now + self._wait_ns, set(awaited))
        self._by_partition[partition] = handover
        self._deadlines.append((handover.expires_at, partition))
        for name in handover.awaited:
            self._awaiting.setdefault(name, {})[partition] = None
        if not handover.awaited:
            self.completed[partition] = None

    def record_acknowledgement(self, name: str, version: int) -> None:
        """Record that a relay acts by that version, or a later one."""
        for partition in list(self._awaiting.get(name, ())):
            handover = self._by_partition[partition]
            self.steps += 1
            if handover.version <= version:
                self._stop_awaiting(name, partition)
                handover.awaited.discard(name)
                if not handover.awaited:
                    self.completed[partition] = None

    def expire_waits(self, now: int) -> None:
        """Complete the handovers whose wait is over by now."""
        while self._deadlines and self._deadlines[0][0] <= now:
            _, partition = self._deadlines.popleft()
            self.steps += 1
            handover = self._by_partition.get(partition)
            if handover and handover.expires_at <= now:
                self.completed[partition] = None

    @property
    def next_deadline(self) -> int:
        """When the next wait ends; NEVER if there is none."""
        return self._deadlines[0][0] if self._deadlines else NEVER

    def end(self, partition: int) -> bool:
        """Drop a handover that a committed version has ended or replaced; False if there was none."""
        self.completed.pop(partition, None)
        handover = self._by_partition.pop(partition, None)
        if handover is None:
            return False
        for name in handover.awaited:
            self._stop_awaiting(name, partition)
        return True

    def _stop_awaiting(self, name: str, partition: int) -> None:
        awaiting = self._awaiting[name]
        del awaiting[partition]
        if not awaiting:
            del self._awaiting[name]
