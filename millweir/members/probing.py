"""Order in which the active members are probed, and the state of running probes."""

from __future__ import annotations

import random
from collections.abc import Iterator

from millweir.members.messages import MemberRecord
from millweir.members.view import Member


class ActiveMembers:
    """The active members, in an order reshuffled each round, so that each is probed within a bounded time."""

    __slots__ = ("_next_index", "_rng", "_members")

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._members: list[Member] = []
        self._next_index = 0  # of the next member to be probed

    def __len__(self) -> int:
        return len(self._members)

    def __iter__(self) -> Iterator[Member]:
        return iter(self._members)

    def insert(self, member: Member) -> None:
        """Inserts a member at a random position."""
        self._members.insert(self._rng.randint(0, len(self._members)), member)

    def remove(self, member: Member) -> None:
        """Removes a member without changing the turns of the others."""
        index = self._members.index(member)
        del self._members[index]
        self._next_index -= index < self._next_index

    @property
    def current(self) -> Member | None:
        """The member that `advance` returned last, if it is still there."""
        return self._members[self._next_index - 1] if 0 < self._next_index <= len(self._members) else None

    def advance(self) -> Member | None:
        """Returns the next member to be probed; begins a new round after the last one."""
        if self._next_index >= len(self._members):
            self._rng.shuffle(self._members)
            self._next_index = 0
        if not self._members:
            return None
        self._next_index += 1
        return self._members[self._next_index - 1]

    def sample(self, count: int, exclude: Member | None = None) -> Iterator[Member]:
        """Yields up to `count` distinct members at random."""
        members, seen = self._members, set()
        for _ in range(4 * count):
            if len(seen) >= min(count, len(members)):
                return
            member = members[self._rng.randrange(len(members))]
            if member is not exclude and member.record.name not in seen:
                seen.add(member.record.name)
                yield member


class Probe:
    """A running probe: asks helpers at `indirect_at`, and has failed if it is unanswered at `ends_at`."""

    __slots__ = (
        "answered",
        "indirect_requested",
        "indirect_at",
        "started_at",
        "answered_directly",
        "ends_at",
        "nacks",
        "seq",
        "target",
        "expected_nacks",
    )

    def __init__(self, target: Member, seq: int, started_at: int, indirect_at: int, ends_at: int) -> None:
        self.target, self.seq, self.started_at, self.indirect_at, self.ends_at = (
            target,
            seq,
            started_at,
            indirect_at,
            ends_at,
        )
        self.answered = self.answered_directly = self.indirect_requested = False
        self.expected_nacks = self.nacks = 0


class IndirectProbe:
    """A ping sent on behalf of another member, after its ping-req."""

    __slots__ = ("requester", "ends_at", "seq", "target")

    def __init__(self, requester: MemberRecord, seq: int, target: str, ends_at: int) -> None:
        self.requester, self.target = requester, target
        self.seq = seq  # of the requester's probe
        self.ends_at = ends_at  # when the requester is sent a nack
