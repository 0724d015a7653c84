"""The changes of voters that a log holds: the newest is found without a walk over the log."""

from __future__ import annotations

from collections.abc import Iterable

from millweir.store.entries import Entry, Kind, Voters, read_voters


class VoterChanges:
    """Indexes and voters of the log's entries of kind `VOTERS`, oldest first.

    Invariant: the same entries, in the same order, as a walk over the log would find.  Growth: constant for
    the newest, for other additions and cuts with the number of changes, never with the log.
    """

    __slots__ = ("_changes",)

    def __init__(self, entries: Iterable[Entry]) -> None:
        self._changes: list[tuple[int, Voters]] = []
        for entry in entries:
            self.add(entry)

    def add(self, entry: Entry) -> None:
        """The log has grown by this entry, of whatever kind."""
        if entry.kind is Kind.VOTERS:
            self._changes.append((entry.index, read_voters(entry.data)))

    def cut(self, index: int) -> None:
        """The log has lost its entries from this index on."""
        while self._changes and self._changes[-1][0] >= index:
            self._changes.pop()

    def compact(self, index: int) -> None:
        """A snapshot stands in for the log's entries up to this index."""
        self._changes = [change for change in self._changes if change[0] > index]

    def newest(self, at_most: int | None = None) -> tuple[int, Voters] | None:
        """The last change, or the last up to an index; None where there is none."""
        if at_most is None:
            return self._changes[-1] if self._changes else None
        return next((change for change in reversed(self._changes) if change[0] <= at_most), None)
