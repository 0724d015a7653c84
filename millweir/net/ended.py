"""Ids of ended messages, kept for a while so that a repeated request is not accepted again."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator

UNBOUNDED = 1 << 62


class EndedIds:
    """Holds each id until its deadline, and at most `max_ids` of them: the first to end is dropped first.

    Each operation takes amortized constant time.  The order is kept in a separate queue, as finding the first
    key of a dict walks over the slots of all keys deleted before it.
    """

    __slots__ = ("_deadlines", "_max_ids", "_max_time", "_order")

    def __init__(self, max_ids: int, max_time: int = UNBOUNDED) -> None:
        """`max_time`: nanoseconds for which an id is held at most, however late its deadline is."""
        self._max_ids = max_ids
        self._max_time = max_time
        self._deadlines: dict[bytes, int] = {}  # monotonic time, nanoseconds
        self._order: deque[bytes] = deque()

    def __contains__(self, message_id: bytes) -> bool:
        return message_id in self._deadlines

    def __len__(self) -> int:
        return len(self._deadlines)

    def add(self, message_id: bytes, deadline: int, now: int) -> None:
        """Add an ended message; drop ids beyond the limit, and at the front those past their deadline."""
        if message_id not in self._deadlines:
            self._order.append(message_id)
        self._deadlines[message_id] = min(deadline, now + self._max_time)
        while len(self._order) > self._max_ids:
            del self._deadlines[self._order.popleft()]
        self.drop_expired(now)

    def drop_expired(self, now: int) -> None:
        """Drop ids at the front that are past their deadline."""
        while self._order and now > self._deadlines[self._order[0]]:
            del self._deadlines[self._order.popleft()]

    def forget(self, message_id: bytes) -> None:
        """Let the id be accepted again."""
        if message_id in self._deadlines:
            self._order.remove(message_id)
            del self._deadlines[message_id]

    def latest(self) -> Iterator[tuple[bytes, int]]:
        """Yield the ids and their deadlines, the last added first."""
        return ((message_id, self._deadlines[message_id]) for message_id in reversed(self._order))
