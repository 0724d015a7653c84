"""Updates that are told on with other datagrams, and the bytes that may be spent on them."""

from __future__ import annotations

from collections import OrderedDict

import msgspec

from millweir.members.messages import CUTS_SINCE, Claim, Cut, Rank, encode
from millweir.members.rules import SECOND

ITEMS_MOST = 64  # of one datagram


class Update:
    """One item to be told on."""

    __slots__ = ("item", "raw", "told")

    def __init__(self, item: Claim | Cut, raw: bytes) -> None:
        self.item, self.raw = item, raw
        self.told = 0  # times


class Load:
    """The updates that one datagram carries."""

    __slots__ = ("claims", "cuts", "room")

    def __init__(self, room: int) -> None:
        self.room = room  # bytes left
        self.claims: list[msgspec.Raw] = []
        self.cuts: list[Cut] = []

    def __len__(self) -> int:
        return len(self.claims) + len(self.cuts)

    def add_claim(self, raw: bytes) -> None:
        self.claims.append(msgspec.Raw(raw))
        self.room -= len(raw)


Queue = OrderedDict[object, Update]


class Gossip:
    """What is to be told on: the living and suspected first, then the gone and paths.

    Each item is told so many times; the one told least often goes first.
    """

    __slots__ = ("_first", "_me", "_then")

    def __init__(self, me: str) -> None:
        """`me`: the name of the member itself; what it says of itself always goes first."""
        self._me = me
        self._first: Queue = OrderedDict()
        self._then: Queue = OrderedDict()

    def __bool__(self) -> bool:
        return bool(self._first or self._then)

    def tell(self, key: object, item: Claim | Cut) -> None:
        """Take an item in, in place of an older one of the same key."""
        urgent = isinstance(item, Claim) and (item.rank < Rank.GONE or item.name == self._me)
        queue, other = (self._first, self._then) if urgent else (self._then, self._first)
        other.pop(key, None)
        queue[key] = Update(item, encode(item))
        queue.move_to_end(key, last=False)

    def forget(self, key: object) -> None:
        self._first.pop(key, None)
        self._then.pop(key, None)

    def clear(self) -> None:
        self._first.clear()
        self._then.clear()

    def pack(self, to: Claim, times: int, load: Load) -> None:
        """Fill a datagram to a member; what has been told `times` is dropped."""
        for queue in (self._first, self._then):
            _pack(queue, to, times, load)


def _pack(queue: Queue, to: Claim, times: int, load: Load) -> None:
    again = []
    while queue and len(load) < ITEMS_MOST:
        key, update = next(iter(queue.items()))
        item, raw = update.item, update.raw
        if len(raw) > load.room:
            break
        del queue[key]
        if isinstance(item, Cut):
            if to.high >= CUTS_SINCE:
                load.cuts.append(item)
                load.room -= len(raw)
        elif item.name != to.name or item.rank is not Rank.ALIVE:
            load.add_claim(raw)
        update.told += 1
        if update.told < times:
            again.append((key, update))
    for key, update in again:
        queue[key] = update


class ByteBudget:
    """So many bytes a second, two datagrams at once; what has to be sent may overdraw it."""

    __slots__ = ("_at", "_left", "_most", "_rate")

    def __init__(self, rate: int, datagram_most: int, now: int) -> None:
        self._rate, self._most, self._at = rate, 2 * datagram_most * SECOND, now
        self._left = self._most  # bytes, times nanoseconds a second

    def left(self, now: int) -> int:
        """Bytes that may be sent now; negative while it is overdrawn."""
        self._left = min(self._most, self._left + max(now - self._at, 0) * self._rate)
        self._at = max(self._at, now)
        return self._left // SECOND

    def spend(self, size: int) -> None:
        self._left -= size * SECOND
