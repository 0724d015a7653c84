"""Whose turn it is where messages of one key are at two processes of a relay (rule 5: order per key).

Theory of operation: a message with a key is recorded under the folder's lock, with the time at which it was
taken, after the other journals have been read.  So of two messages at two processes, the one that was
recorded later knows of the earlier one, and the times give one order to all.  A message may go once no older
one of its key is open elsewhere, and the quiet time after a trip that may still run has passed.  The
invariant: of one key, no process starts a message while an older one is open at another.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from millweir.net.concurrent.journal_view import KeyedChanges, KeyedMessage
from millweir.net.owed_message import OwedMessage
from millweir.records import NEVER


@dataclass(slots=True)
class _OlderMessage:
    """A message elsewhere that those taken after it wait for."""

    message: KeyedMessage
    slot: int
    free_at: int = NEVER  # when the quiet time behind it ends; known once it has ended


class KeyTurns:
    """The messages of other processes that hold back those of this one."""

    __slots__ = ("_by_key", "_is_ordered", "_own_slot", "adopted_ids", "quiet_time")

    def __init__(self, own_slot: int, is_ordered: Callable[[bytes], bool], quiet_time: int = 0) -> None:
        """`is_ordered`: whether messages of a service class, by its name, keep their order."""
        self._own_slot, self._is_ordered = own_slot, is_ordered
        self.quiet_time = quiet_time  # behind a message that has ended and of which a trip may still run
        self._by_key: dict[int, dict[bytes, _OlderMessage]] = {}
        self.adopted_ids: set[bytes] = set()  # taken over, and not in the decision engine's queues yet

    def __bool__(self) -> bool:
        return bool(self._by_key)

    def apply_changes(self, slot: int, changes: KeyedChanges, now: int) -> set[int]:
        """Apply what the journal in a slot has told; returns the keys that may be free for others now."""
        for message in changes.opened:
            if self._is_ordered(message.profile):
                older = self._by_key.setdefault(message.key, {})
                older[message.id] = _OlderMessage(message, slot)
        for message in changes.ended:
            self._end(message, now)
        return {message.key for message in (*changes.opened, *changes.ended)}

    def _end(self, message: KeyedMessage, now: int) -> None:
        older = self._by_key.get(message.key, {}).get(message.id)
        if older is None or older.message is not message or message.id in self.adopted_ids:
            return
        if message.may_run_on:
            older.free_at = now + self.quiet_time
        else:
            self._remove(message.key, message.id)

    def _remove(self, key: int, message_id: bytes) -> None:
        older = self._by_key[key]
        older.pop(message_id, None)
        if not older:
            del self._by_key[key]

    def adopt(self, messages: Iterable[OwedMessage], now: int) -> None:
        """Keep holding back others for messages that this process has taken over, until `submit`.

        A message whose time is not recorded gets that at which it was seen.
        """
        for message in messages:
            self.adopted_ids.add(message.id)
            older = self._by_key.get(int.from_bytes(message.key), {}).get(message.id)
            message.taken_at = message.taken_at or (older.message.taken_at if older else now)

    def submit(self, key: int, message_id: bytes) -> None:
        """Note that the decision engine has a message in its own queue of the key."""
        self.adopted_ids.discard(message_id)
        if key in self._by_key:
            self._remove(key, message_id)

    def end_quiet_times(self, now: int) -> set[int]:
        """Free what waited for a quiet time that has passed; returns the keys."""
        passed = [
            (key, message_id)
            for key, older in self._by_key.items()
            for message_id, entry in older.items()
            if entry.free_at <= now
        ]
        for key, message_id in passed:
            self._remove(key, message_id)
        return {key for key, _ in passed}

    def find_limit(self, key: int) -> int:
        """Return the time before which a message of the key must have been taken to go now."""
        older = self._by_key.get(key)
        if not older:
            return NEVER
        # Of two taken at the same time, that of the process with the lower slot goes first.
        return min(entry.message.taken_at + (entry.slot > self._own_slot) for entry in older.values())
