"""Partitions in handover: who has not acknowledged the change yet, and when that is waited for no longer.

Steps grow with the partitions that wait for the relay concerned.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

NEVER = 1 << 62


@dataclass(slots=True)
class Handover:
    """One partition's."""

    version: int
    ends_at: int
    awaited: set[str]


class Handovers:
    """All partitions in handover, by partition and by who has to acknowledge."""

    __slots__ = ("_awaiting", "_by_partition", "_ends", "_wait", "complete", "steps")

    def __init__(self, wait: int) -> None:
        self._wait = wait
        self._by_partition: dict[int, Handover] = {}
        self._awaiting: dict[str, dict[int, None]] = {}  # partitions, by who has to acknowledge
        self._ends: deque[tuple[int, int]] = deque()  # time, partition
        self.complete: dict[int, None] = {}  # partitions whose handover may be ended
        self.steps = 0

    def __contains__(self, partition: int) -> bool:
        return partition in self._by_partition

    def __len__(self) -> int:
        return len(self._by_partition)

    def begin(self, now: int, partition: int, version: int, awaited: Iterable[str]) -> None:
        """The partition has changed with that version; these have to acknowledge it."""
        handover = Handover(version, now + self._wait, set(awaited))
        self._by_partition[partition] = handover
        self._ends.append((handover.ends_at, partition))
        for name in handover.awaited:
            self._awaiting.setdefault(name, {})[partition] = None
        if not handover.awaited:
            self.complete[partition] = None

    def acknowledged(self, name: str, version: int) -> None:
        """A relay acts by that version, or a later one."""
        for partition in list(self._awaiting.get(name, ())):
            handover = self._by_partition[partition]
            self.steps += 1
            if handover.version <= version:
                self._stop_awaiting(name, partition)
                handover.awaited.discard(name)
                if not handover.awaited:
                    self.complete[partition] = None

    def time_passed(self, now: int) -> None:
        """Those that were waited for long enough are complete."""
        while self._ends and self._ends[0][0] <= now:
            _, partition = self._ends.popleft()
            self.steps += 1
            handover = self._by_partition.get(partition)
            if handover and handover.ends_at <= now:
                self.complete[partition] = None

    @property
    def due_at(self) -> int:
        """When the next one has been waited for long enough; NEVER where there is none."""
        return self._ends[0][0] if self._ends else NEVER

    def end(self, partition: int) -> bool:
        """The register has the end of it, or another change; False where there was none."""
        self.complete.pop(partition, None)
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
