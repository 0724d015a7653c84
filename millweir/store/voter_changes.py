"""An index of the membership changes in a log, so that the newest is found without scanning the log."""

from __future__ import annotations

from collections.abc import Iterable

from millweir.store.entries import Entry, EntryKind, Membership, decode_membership


class MembershipChanges:
    """Indexes and contents of the log's entries of kind `MEMBERSHIP`, oldest first.

    Invariant: the same entries, in the same order, as a scan of the log would find.  Cost: constant for the
    newest change and for an addition; truncation, compaction and look-ups grow with the number of changes,
    never with the length of the log.
    """

    __slots__ = ("_changes",)

    def __init__(self, entries: Iterable[Entry]) -> None:
        self._changes: list[tuple[int, Membership]] = []
        for entry in entries:
            self.add(entry)

    def add(self, entry: Entry) -> None:
        """Record an entry appended to the log; entries of other kinds are ignored."""
        if entry.kind is EntryKind.MEMBERSHIP:
            self._changes.append((entry.index, decode_membership(entry.data)))

    def truncate(self, index: int) -> None:
        """Forget the changes from this index on, which the log has lost."""
        while self._changes and self._changes[-1][0] >= index:
            self._changes.pop()

    def compact(self, index: int) -> None:
        """Forget the changes up to this index, which a snapshot replaces."""
        self._changes = [change for change in self._changes if change[0] > index]

    def newest(self, at_most: int | None = None) -> tuple[int, Membership] | None:
        """The index and content of the newest change (up to an index); None where there is none."""
        if at_most is None:
            return self._changes[-1] if self._changes else None
        return next((change for change in reversed(self._changes) if change[0] <= at_most), None)
