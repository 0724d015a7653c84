"""What the register's members write and tell each other, as MessagePack arrays; new fields go to the end."""

from __future__ import annotations

from enum import IntEnum

import msgspec


class Id(msgspec.Struct, array_like=True, frozen=True):
    """A member of the register: its name, and the life of its folder.

    A folder that is empty begins a new life: who comes back without its folder is not the one that voted.
    """

    name: str
    life: int


class Kind(IntEnum):
    """What an entry is for."""

    NOTHING = 0  # a leader's first: it commits what came before
    COMMAND = 1
    VOTERS = 2


class Voters(msgspec.Struct, array_like=True, frozen=True):
    """Who has a vote, and who only follows."""

    voters: tuple[Id, ...]
    learners: tuple[Id, ...] = ()

    @property
    def majority(self) -> int:
        return len(self.voters) // 2 + 1

    def everybody(self) -> tuple[Id, ...]:
        return self.voters + self.learners


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """One entry of the log."""

    index: int
    term: int
    kind: Kind
    data: bytes = b""


class Snapshot(msgspec.Struct, array_like=True, frozen=True):
    """All up to an index, in place of the entries."""

    index: int
    term: int
    voters: Voters
    data: bytes = b""


class Ask(IntEnum):
    """What a word is."""

    MAY_I = 0  # before an election: would you vote for me? Changes nothing
    MAY = 1
    VOTE = 2
    VOTED = 3
    APPEND = 4
    APPENDED = 5
    SNAPSHOT = 6
    LEAD = 7  # begin an election now: the leader hands over


class Word(msgspec.Struct, array_like=True, frozen=True):
    """One word from a member to another."""

    ask: Ask
    me: Id
    to: Id
    term: int
    index: int = 0  # VOTE: last of the log; APPEND: the one before; APPENDED: last that fits, or a hint
    log_term: int = 0
    yes: bool = False
    entries: tuple[Entry, ...] = ()
    commit: int = 0
    round: int = 0  # APPEND: counts the leader's rounds; APPENDED: the one that it answers
    snapshot: Snapshot | None = None
    handed: bool = False  # VOTE: asked for by the leader itself


class Kept(msgspec.Struct, array_like=True):
    """What stands in the folder."""

    me: Id
    term: int = 0
    vote: Id | None = None
    snapshot: Snapshot | None = None
    entries: list[Entry] = []


encode = msgspec.msgpack.Encoder().encode
read_voters = msgspec.msgpack.Decoder(Voters).decode
read_word = msgspec.msgpack.Decoder(Word).decode
