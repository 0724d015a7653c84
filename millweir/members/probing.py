"""Whom to probe next, and the probe under way."""

from __future__ import annotations

import random
from collections.abc import Iterator

from millweir.members.messages import Claim
from millweir.members.view import Member


class Ring:
    """The active members, in an order shuffled anew each round: everybody is probed within a bound."""

    __slots__ = ("_at", "_chance", "_members")

    def __init__(self, chance: random.Random) -> None:
        self._chance = chance
        self._members: list[Member] = []
        self._at = 0  # the next one

    def __len__(self) -> int:
        return len(self._members)

    def __iter__(self) -> Iterator[Member]:
        return iter(self._members)

    def insert(self, member: Member) -> None:
        """Into the round, at a place by chance."""
        self._members.insert(self._chance.randint(0, len(self._members)), member)

    def remove(self, member: Member) -> None:
        at = self._members.index(member)
        del self._members[at]
        self._at -= at < self._at

    @property
    def current(self) -> Member | None:
        """The one that `advance` gave last."""
        return self._members[self._at - 1] if 0 < self._at <= len(self._members) else None

    def advance(self) -> Member | None:
        """The next one of the round, or the first one of the next round."""
        if self._at >= len(self._members):
            self._chance.shuffle(self._members)
            self._at = 0
        if not self._members:
            return None
        self._at += 1
        return self._members[self._at - 1]

    def some(self, count: int, but: Member | None = None) -> Iterator[Member]:
        """So many members by chance, each once."""
        members, seen = self._members, set()
        for _ in range(4 * count):
            if len(seen) >= min(count, len(members)):
                return
            member = members[self._chance.randrange(len(members))]
            if member is not but and member.claim.name not in seen:
                seen.add(member.claim.name)
                yield member


class Probe:
    """The one probe under way."""

    __slots__ = (
        "answered",
        "asked",
        "asks_at",
        "began",
        "direct",
        "ends",
        "nacks",
        "seq",
        "target",
        "wanted",
    )

    def __init__(self, target: Member, seq: int, began: int, asks_at: int, ends: int) -> None:
        self.target, self.seq, self.began, self.asks_at, self.ends = target, seq, began, asks_at, ends
        self.answered = self.direct = self.asked = False
        self.wanted = self.nacks = 0


class Relay:
    """A probe made for another member."""

    __slots__ = ("asker", "ends", "seq", "target")

    def __init__(self, asker: Claim, seq: int, target: str, ends: int) -> None:
        self.asker, self.target = asker, target
        self.seq = seq  # the asker's
        self.ends = ends  # when the asker is told that there was no answer
