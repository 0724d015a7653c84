"""Paths between two members that are down, as their ends tell it."""

from __future__ import annotations

from millweir.members.messages import Cut
from millweir.members.rules import MILLISECOND

Key = tuple[str, str, str]  # start, end, and the end that tells it


class Paths:
    """The newest word on each path; bounded."""

    __slots__ = ("_most", "_number", "held")

    def __init__(self, most: int) -> None:
        self._most = most
        self._number = 0  # of this member's own words
        self.held: dict[Key, Cut] = {}

    def own(self, now: int, start: str, end: str, by: str, down: bool) -> Cut:
        """This member's own word, newer than all before, also those of an earlier life."""
        self._number = max(self._number + 1, now // MILLISECOND)
        return Cut(start, end, by, self._number, down)

    def is_news(self, cut: Cut) -> bool:
        """Newer than what is held; that a path is up is news only where it was down."""
        held = self.held.get(key_of(cut))
        if held:
            return cut.number > held.number
        return cut.number > -1 and cut.down

    def hold(self, cut: Cut) -> None:
        """The newest one; where there are too many, one that is up again goes first, then the oldest."""
        key = key_of(cut)
        self.held.pop(key, None)
        self.held[key] = cut
        if len(self.held) > self._most:
            mended = (old for old, one in self.held.items() if not one.down)
            self.held.pop(next(mended, next(iter(self.held))))

    def forget(self, name: str) -> None:
        """All that a member told."""
        for key in [key for key, cut in self.held.items() if cut.by == name]:
            del self.held[key]


def key_of(cut: Cut) -> Key:
    return cut.start, cut.end, cut.by
