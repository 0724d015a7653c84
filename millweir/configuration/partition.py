"""A partition's entries, their digest, and the bounded log of its last changes.

The digest is a sum of hashes over the entries (an incremental multiset hash, Bellare and Micciancio 1997): an
edit costs two hashes, however many entries there are.  It finds garbling and faults, not forgery.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from xxhash import xxh3_64_intdigest

from millweir.configuration.messages import CHANGE_BYTES_MOST, ENTRY_OVERHEAD, Change, Chunk, Delta, Edit

DIGEST_MASK = (1 << 64) - 1


def entry_digest(key: bytes, value: bytes) -> int:
    """An entry's part of a digest: the key's length keeps (a, bc) apart from (ab, c)."""
    return xxh3_64_intdigest(key + value, len(key))


def digest_of(entries: dict[bytes, bytes]) -> int:
    """The digest of all entries; grows with their number."""
    return sum(map(entry_digest, entries.keys(), entries.values())) & DIGEST_MASK


def digest_after(entries: dict[bytes, bytes], digest: int, edits: Iterable[Edit]) -> int:
    """The digest that edits of distinct keys lead to; grows with the edits only."""
    for edit in edits:
        before = entries.get(edit.key)
        if before is not None:
            digest -= entry_digest(edit.key, before)
        if edit.value is not None:
            digest += entry_digest(edit.key, edit.value)
    return digest & DIGEST_MASK


def apply_edits(entries: dict[bytes, bytes], edits: Iterable[Edit]) -> None:
    """Set and remove entries."""
    for edit in edits:
        if edit.value is None:
            entries.pop(edit.key, None)
        else:
            entries[edit.key] = edit.value


def edits_size(edits: Iterable[Edit]) -> int:
    """Bytes that edits take in a message, at the most."""
    return sum(len(edit.key) + len(edit.value or b"") + ENTRY_OVERHEAD for edit in edits)


def distinct_keys(edits: tuple[Edit, ...]) -> bool:
    """Whether no key is edited twice, as the digest needs it."""
    return len({edit.key for edit in edits}) == len(edits)


class Partition:
    """One partition at a distributor."""

    __slots__ = ("digest", "entries", "log", "log_bytes", "log_bytes_most", "log_most", "oldest", "version")

    def __init__(
        self, version: int, entries: dict[bytes, bytes], digest: int, log_most: int, log_bytes_most: int
    ) -> None:
        self.version = version
        self.entries = entries
        self.digest = digest
        self.log: deque[Change] | None = None  # most partitions have seen no change since the start
        self.log_bytes = 0
        self.log_most = log_most
        self.log_bytes_most = log_bytes_most
        self.oldest = version  # the log has the changes after this version

    def fits(self, change: Change) -> bool:
        """Whether a change chains to the version held and leads to the digest that it gives."""
        return (
            change.previous == self.version
            and change.version > self.version
            and distinct_keys(change.edits)
            and edits_size(change.edits) <= CHANGE_BYTES_MOST
            and digest_after(self.entries, self.digest, change.edits) == change.digest
        )

    def apply(self, change: Change) -> None:
        """Take in a change that fits; the oldest ones fall out of the log."""
        apply_edits(self.entries, change.edits)
        self.version = change.version
        self.digest = change.digest
        if self.log is None:
            self.log = deque()
        self.log.append(change)
        self.log_bytes += edits_size(change.edits)
        while len(self.log) > self.log_most or self.log_bytes > self.log_bytes_most:
            dropped = self.log.popleft()
            self.log_bytes -= edits_size(dropped.edits)
            self.oldest = dropped.version

    def digest_at(self, version: int) -> int | None:
        """The digest at a version that the log still reaches, else None."""
        if version == self.version:
            return self.digest
        for change in self.log or ():
            if change.version == version:
                return change.digest
        return None

    def delta(self, number: int, held: int, bytes_most: int) -> Delta | None:
        """The changes after `held`, as many as fit; None where the log does not reach back so far."""
        if held < self.oldest:
            return None
        last: dict[bytes, Edit] = {}
        version, digest, size = held, 0, 0
        for change in self.log or ():
            if change.version <= held:
                continue
            size += edits_size(change.edits)
            if last and size > bytes_most:
                break
            last.update((edit.key, edit) for edit in change.edits)
            version, digest = change.version, change.digest
        return Delta(number, held, version, tuple(last.values()), digest)

    def snapshot(self, number: int, chunk_bytes: int) -> deque[Chunk]:
        """The partition whole, in chunks of about so many bytes; at least one."""
        groups: list[list[Edit]] = [[]]
        size = 0
        for key, value in self.entries.items():
            entry_size = len(key) + len(value) + ENTRY_OVERHEAD
            if size and size + entry_size > chunk_bytes:
                groups.append([])
                size = 0
            groups[-1].append(Edit(key, value))
            size += entry_size
        return deque(
            Chunk(number, self.version, index, len(groups), tuple(group), self.digest)
            for index, group in enumerate(groups)
        )
