"""What the records of another process's journal say: the ids it has accepted, and its messages with a key.

Theory of operation: a journal is append-only, so a view only ever moves on by the records behind those it
has seen.  A journal that is compacted is another file with the same open messages; the view is then built
anew, and the messages that are missing from it count as ended.  A message of a key is open from its
acceptance until the other process may send the next one of that key: when it has ended or was given up.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass, field

from millweir.net.owed_message import (
    ACCEPTED_KIND,
    ACCEPTED_RECORD,
    ENDED_KIND,
    GIVEN_UP_KIND,
    KNOWN_ID_KIND,
    KNOWN_ID_RECORD,
    NEVER_RAN_KIND,
    TAKEN_KIND,
    TAKEN_RECORD,
    TRIP_KIND,
)

NUMBER = struct.Struct("<Q")  # of the message that a record is about, behind the record's kind


@dataclass(slots=True, eq=False)
class KeyedMessage:
    """A message with a key at another process."""

    id: bytes
    profile: bytes
    key: int
    taken_at: int = 0  # monotonic time; 0: not recorded, and before the journal was first read
    uncertain_trips: int = 0  # trips that may have run
    given_up: bool = False

    @property
    def may_run_on(self) -> bool:
        """Whether a trip may still run although the message has ended.

        The one trip of a message that was delivered has ended with it.  The journal does not tell which of
        several trips was answered.
        """
        return self.uncertain_trips > (0 if self.given_up else 1)


@dataclass(slots=True)
class KeyedChanges:
    """The messages with a key that were opened and ended by the records applied."""

    opened: list[KeyedMessage] = field(default_factory=list)
    ended: list[KeyedMessage] = field(default_factory=list)


class JournalView:
    """The state that one journal's records lead to."""

    __slots__ = ("_before_rebuild", "_open", "_taken", "changes", "ids")

    def __init__(self) -> None:
        self.ids: set[bytes] = set()
        self._open: dict[int, KeyedMessage] = {}  # by the message's number in its file
        self._before_rebuild: dict[bytes, KeyedMessage] = {}
        self._taken = (0, 0)  # of the message that comes next: its number, and when it was taken
        self.changes = KeyedChanges()  # since they were taken last

    def take_changes(self) -> KeyedChanges:
        changes, self.changes = self.changes, KeyedChanges()
        return changes

    def begin_rebuild(self) -> None:
        """Prepare for the records of the file that has replaced the one read so far."""
        self.ids = set()
        self._before_rebuild = {message.id: message for message in self._open.values()}
        self._open = {}

    def end_rebuild(self) -> None:
        """End the open messages that the new file does not hold."""
        self.changes.ended += self._before_rebuild.values()
        self._before_rebuild = {}

    def end_all(self) -> None:
        """End all open messages: the file was removed."""
        self.changes.ended += self._open.values()
        self._open = {}
        self.ids = set()

    def apply_record(self, body: bytes, seen_at: int = 0) -> None:
        """Apply one whole record; kinds that this view does not need are skipped.

        `seen_at`: taken for the time of a message where an earlier build, which does not record it, took it.
        """
        kind = body[0]
        if kind == ACCEPTED_KIND:
            self._apply_accepted(body, seen_at)
        elif kind == KNOWN_ID_KIND:
            _, _, known_until = KNOWN_ID_RECORD.unpack_from(body)
            change = self.ids.add if known_until else self.ids.discard
            change(body[KNOWN_ID_RECORD.size :])
        elif kind == TAKEN_KIND:
            _, _, *taken = TAKEN_RECORD.unpack_from(body)
            self._taken = tuple(taken)
        elif len(body) > NUMBER.size and (number := NUMBER.unpack_from(body, 1)[0]) in self._open:
            self._apply_progress(kind, number)

    def _apply_accepted(self, body: bytes, seen_at: int) -> None:
        _, number, _, id_length, profile_length, account_length, key_length, *_ = ACCEPTED_RECORD.unpack_from(
            body
        )
        id_end = ACCEPTED_RECORD.size + id_length
        message_id = body[ACCEPTED_RECORD.size : id_end]
        self.ids.add(message_id)
        if not key_length:
            return
        profile_end = id_end + profile_length
        key_start = profile_end + account_length
        key = int.from_bytes(body[key_start : key_start + key_length])
        if message := self._before_rebuild.pop(message_id, None):
            message.uncertain_trips = 0  # the new file holds its trips again
        else:
            message = KeyedMessage(message_id, body[id_end:profile_end], key, seen_at)
            self.changes.opened.append(message)
        if self._taken[0] == number:
            message.taken_at = self._taken[1]
        self._open[number] = message

    def _apply_progress(self, kind: int, number: int) -> None:
        message = self._open[number]
        if kind == TRIP_KIND:
            message.uncertain_trips += 1
        elif kind == NEVER_RAN_KIND:
            message.uncertain_trips -= 1
        elif kind in (GIVEN_UP_KIND, ENDED_KIND):
            message.given_up = kind == GIVEN_UP_KIND
            del self._open[number]
            self.changes.ended.append(message)
