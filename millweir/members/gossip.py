"""Queue of the updates to be gossiped, and the byte budget for sending them."""

from __future__ import annotations

from collections import OrderedDict

import msgspec

from millweir.members.messages import (
    PATH_REPORTS_MIN_VERSION,
    MemberRecord,
    PathReport,
    ReportedState,
    encode,
)
from millweir.members.rules import SECOND

MAX_ITEMS_PER_DATAGRAM = 64


class QueuedUpdate:
    """An update to be gossiped, with its encoding and the number of times it was sent."""

    __slots__ = ("item", "raw", "transmissions")

    def __init__(self, item: MemberRecord | PathReport, raw: bytes) -> None:
        self.item, self.raw = item, raw
        self.transmissions = 0


class GossipPayload:
    """The updates that one datagram carries, and the bytes left for more."""

    __slots__ = ("records", "path_reports", "free_bytes")

    def __init__(self, free_bytes: int) -> None:
        self.free_bytes = free_bytes
        self.records: list[msgspec.Raw] = []
        self.path_reports: list[PathReport] = []

    def __len__(self) -> int:
        return len(self.records) + len(self.path_reports)

    def add_record(self, raw: bytes) -> None:
        """Adds an encoded member record, even if it exceeds the free bytes."""
        self.records.append(msgspec.Raw(raw))
        self.free_bytes -= len(raw)


UpdateQueue = OrderedDict[object, QueuedUpdate]


class GossipQueue:
    """Updates waiting to be gossiped: alive and suspected members first, then gone members and paths.

    Each update is sent a limited number of times; those sent least often go first.
    """

    __slots__ = ("_urgent", "_me", "_normal")

    def __init__(self, me: str) -> None:
        """Records of the member called `me` itself are always urgent."""
        self._me = me
        self._urgent: UpdateQueue = OrderedDict()
        self._normal: UpdateQueue = OrderedDict()

    def __bool__(self) -> bool:
        return bool(self._urgent or self._normal)

    def enqueue(self, key: object, item: MemberRecord | PathReport) -> None:
        """Adds an update; it replaces an older one with the same key."""
        urgent = isinstance(item, MemberRecord) and (item.state < ReportedState.GONE or item.name == self._me)
        queue, other = (self._urgent, self._normal) if urgent else (self._normal, self._urgent)
        other.pop(key, None)
        queue[key] = QueuedUpdate(item, encode(item))
        queue.move_to_end(key, last=False)

    def remove(self, key: object) -> None:
        self._urgent.pop(key, None)
        self._normal.pop(key, None)

    def clear(self) -> None:
        self._urgent.clear()
        self._normal.clear()

    def pack(self, recipient: MemberRecord, max_transmissions: int, payload: GossipPayload) -> None:
        """Fills a datagram to a member; updates that have been sent `max_transmissions` times are dropped."""
        for queue in (self._urgent, self._normal):
            _pack(queue, recipient, max_transmissions, payload)


def _pack(
    queue: UpdateQueue, recipient: MemberRecord, max_transmissions: int, payload: GossipPayload
) -> None:
    unfinished = []
    while queue and len(payload) < MAX_ITEMS_PER_DATAGRAM:
        key, update = next(iter(queue.items()))
        item, raw = update.item, update.raw
        if len(raw) > payload.free_bytes:
            break
        del queue[key]
        if isinstance(item, PathReport):
            if recipient.max_version >= PATH_REPORTS_MIN_VERSION:
                payload.path_reports.append(item)
                payload.free_bytes -= len(raw)
        elif item.name != recipient.name or item.state is not ReportedState.ALIVE:
            payload.add_record(raw)
        update.transmissions += 1
        if update.transmissions < max_transmissions:
            unfinished.append((key, update))
    for key, update in unfinished:
        queue[key] = update


class ByteBudget:
    """Token bucket of two datagrams in size; datagrams that must be sent may overdraw it."""

    __slots__ = ("_updated_at", "_tokens", "_capacity", "_rate")

    def __init__(self, bytes_per_second: int, max_datagram_bytes: int, now: int) -> None:
        self._rate, self._capacity, self._updated_at = bytes_per_second, 2 * max_datagram_bytes * SECOND, now
        # In bytes times nanoseconds per second, so that all arithmetic is in integers.
        self._tokens = self._capacity

    def available_bytes(self, now: int) -> int:
        """Bytes that may be sent now; negative while the budget is overdrawn."""
        self._tokens = min(self._capacity, self._tokens + max(now - self._updated_at, 0) * self._rate)
        self._updated_at = max(self._updated_at, now)
        return self._tokens // SECOND

    def spend(self, size: int) -> None:
        """Takes the bytes of a datagram from the budget, which may become negative."""
        self._tokens -= size * SECOND
