"""Log entries, messages and persistent state of the replicated store, encoded as MessagePack arrays.

Structs are encoded without field names, so new fields go to the end.
"""

from __future__ import annotations

from enum import IntEnum

import msgspec


class MemberId(msgspec.Struct, array_like=True, frozen=True):
    """A member of the replicated store: its name, and the generation of its data directory.

    An empty directory starts a new generation: a member that returns without its data is not the one that
    voted.
    """

    name: str
    generation: int


class EntryKind(IntEnum):
    """What an entry contains."""

    NO_OP = 0  # a new leader's first entry: committing it commits the entries before it
    COMMAND = 1
    MEMBERSHIP = 2


class Membership(msgspec.Struct, array_like=True, frozen=True):
    """The members that vote, and those that only follow."""

    voters: tuple[MemberId, ...]
    learners: tuple[MemberId, ...] = ()

    @property
    def majority(self) -> int:
        return len(self.voters) // 2 + 1

    def all_members(self) -> tuple[MemberId, ...]:
        return self.voters + self.learners


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """One entry of the log."""

    index: int
    term: int
    kind: EntryKind
    data: bytes = b""


class Snapshot(msgspec.Struct, array_like=True, frozen=True):
    """The state up to an index, in place of the entries up to there."""

    index: int
    term: int
    membership: Membership
    data: bytes = b""


class MessageType(IntEnum):
    """The type of a message between members."""

    PRE_VOTE_REQUEST = 0  # before an election: would the receiver vote for the sender? Changes no state
    PRE_VOTE_REPLY = 1
    VOTE_REQUEST = 2
    VOTE_REPLY = 3
    APPEND_REQUEST = 4
    APPEND_REPLY = 5
    INSTALL_SNAPSHOT = 6
    TIMEOUT_NOW = 7  # leadership transfer: the receiver starts an election at once


class Message(msgspec.Struct, array_like=True, frozen=True):
    """One message from a member to another."""

    type: MessageType
    sender: MemberId
    receiver: MemberId
    term: int
    # VOTE_REQUEST: last of the log; APPEND_REQUEST: the one before the entries; APPEND_REPLY: the last that
    # matches, or a hint where the logs may match
    index: int = 0
    log_term: int = 0  # of the entry at `index`
    accepted: bool = False
    entries: tuple[Entry, ...] = ()
    commit_index: int = 0
    round: int = 0  # APPEND_REQUEST: number of the leader's round; APPEND_REPLY: the round that it answers
    snapshot: Snapshot | None = None
    is_leadership_transfer: bool = False  # VOTE_REQUEST: the election was requested by the leader itself


class PersistentState(msgspec.Struct, array_like=True):
    """What a member keeps in its data directory."""

    member_id: MemberId
    term: int = 0
    vote: MemberId | None = None
    snapshot: Snapshot | None = None
    entries: list[Entry] = []


encode = msgspec.msgpack.Encoder().encode
decode_membership = msgspec.msgpack.Decoder(Membership).decode
decode_message = msgspec.msgpack.Decoder(Message).decode
