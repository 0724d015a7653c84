"""A partition's entries, their digest, and a bounded log of its latest changes.

The digest is a sum of hashes over the entries (an incremental multiset hash, Bellare and Micciancio 1997): an
edit costs two hashes, however many entries there are. It detects corruption and faults, not forgery.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from xxhash import xxh3_64_intdigest

from millweir.configuration.messages import ENTRY_OVERHEAD_BYTES, MAX_CHANGE_BYTES, Change, Chunk, Delta, Edit

DIGEST_MASK = (1 << 64) - 1


def hash_entry(key: bytes, value: bytes) -> int:
    """Hash one entry; seeding with the key's length tells the entries (a, bc) and (ab, c) apart."""
    return xxh3_64_intdigest(key + value, len(key))


def compute_digest(entries: dict[bytes, bytes]) -> int:
    """Compute the digest of all entries, in time linear in their number."""
    return sum(map(hash_entry, entries.keys(), entries.values())) & DIGEST_MASK


def compute_digest_after(entries: dict[bytes, bytes], digest: int, edits: Iterable[Edit]) -> int:
    """Compute the digest after edits of distinct keys, in time linear in the edits only."""
    for edit in edits:
        old_value = entries.get(edit.key)
        if old_value is not None:
            digest -= hash_entry(edit.key, old_value)
        if edit.value is not None:
            digest += hash_entry(edit.key, edit.value)
    return digest & DIGEST_MASK


def apply_edits(entries: dict[bytes, bytes], edits: Iterable[Edit]) -> None:
    """Apply edits to entries in place."""
    for edit in edits:
        if edit.value is None:
            entries.pop(edit.key, None)
        else:
            entries[edit.key] = edit.value


def compute_max_encoded_size(edits: Iterable[Edit]) -> int:
    """Return an upper bound of the bytes that edits take in a message."""
    return sum(len(edit.key) + len(edit.value or b"") + ENTRY_OVERHEAD_BYTES for edit in edits)


def has_distinct_keys(edits: tuple[Edit, ...]) -> bool:
    """Whether no key is edited twice, as `compute_digest_after` requires."""
    return len({edit.key for edit in edits}) == len(edits)


class Partition:
    """A partition as held by a distributor, with the log from which deltas are built."""

    __slots__ = (
        "digest",
        "entries",
        "log",
        "log_bytes",
        "max_log_bytes",
        "max_log_changes",
        "log_start_version",
        "version",
    )

    def __init__(
        self, version: int, entries: dict[bytes, bytes], digest: int, max_log_changes: int, max_log_bytes: int
    ) -> None:
        self.version = version
        self.entries = entries
        self.digest = digest
        # None until the first change since the start, because most partitions see none.
        self.log: deque[Change] | None = None
        self.log_bytes = 0
        self.max_log_changes = max_log_changes
        self.max_log_bytes = max_log_bytes
        self.log_start_version = version  # the log has the changes after this version

    def can_apply(self, change: Change) -> bool:
        """Whether a change follows the version held and leads to the digest that it gives."""
        return (
            change.previous_version == self.version
            and change.version > self.version
            and has_distinct_keys(change.edits)
            and compute_max_encoded_size(change.edits) <= MAX_CHANGE_BYTES
            and compute_digest_after(self.entries, self.digest, change.edits) == change.digest
        )

    def apply_change(self, change: Change) -> None:
        """Apply a change that `can_apply` accepts; the oldest changes are dropped from a full log."""
        apply_edits(self.entries, change.edits)
        self.version = change.version
        self.digest = change.digest
        if self.log is None:
            self.log = deque()
        self.log.append(change)
        self.log_bytes += compute_max_encoded_size(change.edits)
        while len(self.log) > self.max_log_changes or self.log_bytes > self.max_log_bytes:
            dropped = self.log.popleft()
            self.log_bytes -= compute_max_encoded_size(dropped.edits)
            self.log_start_version = dropped.version

    def get_digest_at(self, version: int) -> int | None:
        """Return the digest at a version, or None if the log does not have it."""
        if version == self.version:
            return self.digest
        for change in self.log or ():
            if change.version == version:
                return change.digest
        return None

    def build_delta(self, partition_id: int, base_version: int, max_bytes: int) -> Delta | None:
        """Merge changes after `base_version`, as many as fit; None if the log does not reach back to it."""
        if base_version < self.log_start_version:
            return None
        last_edits: dict[bytes, Edit] = {}
        version, digest, size = base_version, 0, 0
        for change in self.log or ():
            if change.version <= base_version:
                continue
            size += compute_max_encoded_size(change.edits)
            if last_edits and size > max_bytes:
                break
            last_edits.update((edit.key, edit) for edit in change.edits)
            version, digest = change.version, change.digest
        return Delta(partition_id, base_version, version, tuple(last_edits.values()), digest)

    def build_snapshot(self, partition_id: int, max_bytes: int) -> deque[Chunk]:
        """Return all entries in chunks of about `max_bytes`; at least one chunk."""
        groups: list[list[Edit]] = [[]]
        size = 0
        for key, value in self.entries.items():
            entry_size = len(key) + len(value) + ENTRY_OVERHEAD_BYTES
            if size and size + entry_size > max_bytes:
                groups.append([])
                size = 0
            groups[-1].append(Edit(key, value))
            size += entry_size
        return deque(
            Chunk(partition_id, self.version, index, len(groups), tuple(group), self.digest)
            for index, group in enumerate(groups)
        )
