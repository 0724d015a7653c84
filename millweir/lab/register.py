"""The register's consensus against its promises: seeded histories of faults, and all histories within bounds.

Both drive the core that the register runs.  What must hold, after each step (Ongaro's thesis, figure 3.2):
one leader a term at most; two logs that hold an entry of one index and term agree up to it; what was applied
anywhere at an index is the same everywhere; a read rests on all that was known committed when it was asked.
"""

from __future__ import annotations

import pickle
import random
from collections import deque
from collections.abc import Callable, Iterator

from millweir.store.core import SECOND, Core, RequestRejected, Role, Rules
from millweir.store.entries import (
    Entry,
    EntryKind,
    MemberId,
    Membership,
    Message,
    MessageType,
    PersistentState,
    Snapshot,
    decode_membership,
)

Make = Callable[..., Core]


class Broken(AssertionError):
    """A promise was broken; the text says which."""


class Promises:
    """What has been seen so far, and whether the next thing fits."""

    __slots__ = ("applied", "leaders")

    def __init__(self) -> None:
        self.leaders: dict[int, MemberId] = {}
        self.applied: dict[int, tuple[int, bytes]] = {}

    def led(self, core: Core) -> None:
        if core.role is Role.LEADER and self.leaders.setdefault(core.term, core.member_id) != core.member_id:
            raise Broken(f"two leaders in term {core.term}: {core.member_id} and {self.leaders[core.term]}")

    def did(self, entry: Entry) -> None:
        what = entry.term, entry.data
        if self.applied.setdefault(entry.index, what) != what:
            raise Broken(f"index {entry.index} was applied as {self.applied[entry.index]} and {what}")

    @staticmethod
    def match(cores: list[Core]) -> None:
        """Log matching, over all pairs; each core's voters are those of its log's newest entry on them."""
        for core in cores:
            changes = [entry for entry in core.log if entry.kind is EntryKind.MEMBERSHIP]
            if core.membership != (
                decode_membership(changes[-1].data) if changes else core.snapshot.membership
            ):
                raise Broken(f"{core.member_id} goes by other voters than its log has")
        for at, one in enumerate(cores):
            for other in cores[at + 1 :]:
                first = max(one.snapshot.index, other.snapshot.index)
                for index in range(min(one.last_index, other.last_index), first, -1):
                    if one.term_of(index) == other.term_of(index):
                        mine = one.log[first - one.snapshot.index : index - one.snapshot.index]
                        if mine != other.log[first - other.snapshot.index : index - other.snapshot.index]:
                            raise Broken(
                                f"logs of {one.member_id} and {other.member_id} differ below {index}"
                            )
                        break

    def complete(self, cores: list[Core]) -> None:
        """Who leads the newest term holds all that was applied anywhere."""
        leaders = [core for core in cores if core.role is Role.LEADER]
        leader = max(leaders, key=lambda core: core.term, default=None)
        if leader and leader.term >= max(self.leaders):
            for index, (term, _) in self.applied.items():
                if index > leader.snapshot.index and leader.term_of(index) != term:
                    raise Broken(f"leader {leader.member_id} of term {leader.term} lacks index {index}")


class Member:
    """One member: its core, its folder, its state machine."""

    def __init__(self, me: MemberId) -> None:
        self.kept = PersistentState(me)
        self.core: Core | None = None
        self.state: list[bytes] = []  # what was applied, as the state of a machine


class Histories:
    """A register under random faults in simulated time; `run` raises Broken at the first broken promise."""

    def __init__(
        self,
        seed: int,
        size: int = 3,
        make: Make = Core,
        kills: bool = True,
        changes: bool = True,
        compacts: bool = True,
    ) -> None:
        self.seed, self.make = seed, make
        self.chance = random.Random(seed)
        self.rules = Rules(max_entries_per_message=self.chance.choice((1, 1, 3, 64)))
        self.strikes = self.chance.choice((0.02, 0.1, 0.3))
        self.now = 0
        self.promises = Promises()
        self.names = tuple(f"v{n}" for n in range(size + 2))  # two more than vote at the start
        self._lives = 0
        self.members = {name: Member(self._life(name)) for name in self.names}
        start = Membership(tuple(self.members[name].kept.member_id for name in self.names[:size]))
        for member in self.members.values():
            member.kept.snapshot = Snapshot(0, 0, start)
        self.net: list[tuple[int, int, Message]] = []
        self._number = 0
        self.sides: dict[str, int] = {}
        self.loss = 0.0
        self.kills, self.changes, self.compacts = kills, changes, compacts
        self.asked: dict[int, int] = {}  # read: the highest index known committed when it was asked
        self.known = 0  # the highest index that anybody has applied
        self.answered = self.done = 0
        self.steps = 0
        for name in self.names:
            self.begin(name)

    def _life(self, name: str) -> MemberId:
        self._lives += 1
        return MemberId(name, self._lives)

    def begin(self, name: str) -> None:
        member = self.members[name]
        kept = pickle.loads(pickle.dumps(member.kept))
        member.core = self.make(kept, self.rules, random.Random(self.chance.getrandbits(60)), self.now)
        member.state = list(pickle.loads(kept.snapshot.data)) if kept.snapshot and kept.snapshot.data else []

    def settle(self, name: str, crash: float = 0.0) -> None:
        """Write, send, apply, in this order; a crash may fall between any two."""
        member = self.members[name]
        core = member.core
        self.promises.led(core)
        work = core.take_work()
        if self.chance.random() < crash:
            member.core = None
            return
        kept = member.kept
        if work.term is not None:
            kept.term, kept.vote = work.term, work.vote
        if work.snapshot:
            kept.snapshot, kept.entries = work.snapshot, []
            member.state = list(pickle.loads(work.snapshot.data)) if work.snapshot.data else []
        if work.truncate_from is not None:
            kept.entries = [entry for entry in kept.entries if entry.index < work.truncate_from]
        kept.entries += work.entries
        if self.chance.random() < crash:
            member.core = None
            return
        words = work.messages
        struck = self.kills and self._struck(words)
        if struck == "half told":
            words = self.chance.sample(words, 1)
        for word in words:
            self.send(word)
        for entry in work.committed:
            self.promises.did(entry)
            member.state.append(entry.data)
            self.known = max(self.known, entry.index)
            self.done += entry.kind is EntryKind.COMMAND
        for token, index in work.reads:
            self.answered += 1
            if index < self.asked[token]:
                raise Broken(f"a read rests on {index}, {self.asked[token]} was known committed")
        if self.compacts and core.applied_index - core.snapshot.index > 8 and self.chance.random() < 0.3:
            kept.snapshot = core.compact(core.applied_index, pickle.dumps(member.state))
            kept.entries = list(core.log)
        if struck:
            self.begin(name)

    def _struck(self, words: list[Message]) -> str:
        """Faults at the narrow places: a voter restarts once it has voted, a leader that told but one."""
        strike = self.chance.random()
        if (
            any(word.type is MessageType.VOTE_REPLY and word.accepted for word in words)
            and strike < self.strikes
        ):
            return "voted"
        if (
            any(word.type is MessageType.APPEND_REQUEST and word.entries for word in words)
            and strike < self.strikes / 2
        ):
            return "half told"
        return ""

    def send(self, word: Message) -> None:
        if self.chance.random() < self.loss:
            return
        for _ in range(2 if self.chance.random() < 0.05 else 1):
            self._number += 1
            slow = self.chance.random() < 0.05
            delay = self.chance.randint(1, 2 * SECOND if slow else SECOND // 50)
            self.net.append((self.now + delay, self._number, word))

    def run(self, steps: int) -> Histories:
        for self.steps in range(steps):
            self.step()
            cores = [member.core for member in self.members.values() if member.core]
            if self.steps % 8 == 0:
                self.promises.match(cores)
                self.promises.complete(cores)
        return self

    def step(self) -> None:
        chance = self.chance
        up = [name for name in self.names if self.members[name].core]
        if chance.random() < 0.02:
            self._fault(up)
        up = [name for name in self.names if self.members[name].core]
        if chance.random() < 0.15 and up:
            leading = [name for name in up if self.members[name].core.role is Role.LEADER]
            self._client(chance.choice(leading if leading and chance.random() < 0.8 else up))
        due = min((self.members[name].core.next_timeout_at for name in up), default=self.now + SECOND)
        first = min(self.net, default=None)
        crash = 0.003 if self.kills else 0.0
        if first and first[0] <= due:
            self.net.remove(first)
            self.now = max(self.now, first[0])
            word = first[2]
            member = self.members[word.receiver.name]
            if member.core and self.sides.get(word.sender.name, 0) == self.sides.get(word.receiver.name, 0):
                member.core.receive(self.now, word)
                self.settle(word.receiver.name, crash)
        else:
            self.now = max(self.now, due)
            for name in up:
                if self.members[name].core.next_timeout_at <= self.now:
                    self.members[name].core.advance_time(self.now)
                    self.settle(name, crash)

    def _client(self, name: str) -> None:
        core, chance = self.members[name].core, self.chance
        kind = chance.random()
        try:
            if kind < 0.6:
                core.propose(self.now, b"%d" % self._number)
            elif kind < 0.8:
                self._number += 1
                self.asked[self._number] = self.known
                core.request_read(self.now, self._number)
            elif kind < 0.85:
                core.transfer_leadership(self.now, chance.choice(core.membership.voters or (core.member_id,)))
            elif self.changes:
                self._change(core)
                if chance.random() < 0.2:
                    self._change(core)  # again, before that one can be committed
        except RequestRejected:
            pass
        self.settle(name)

    def _change(self, core: Core) -> None:
        voters = core.membership
        names = {one.name for one in voters.all_members()}
        absent = [
            member.kept.member_id
            for member in self.members.values()
            if member.kept.member_id.name not in names
        ]
        stale = [one for one in voters.all_members() if self.members[one.name].kept.member_id != one]
        if stale:  # its folder was lost: out with the old life
            out = self.chance.choice(stale)
            core.change_membership(
                self.now,
                Membership(
                    tuple(one for one in voters.voters if one != out),
                    tuple(one for one in voters.learners if one != out),
                ),
            )
        elif voters.learners:
            one = voters.learners[0]
            core.change_membership(self.now, Membership((*voters.voters, one), voters.learners[1:]))
        elif len(voters.voters) > 3 and self.chance.random() < 0.3:
            core.change_membership(
                self.now, Membership(tuple(self.chance.sample(voters.voters, len(voters.voters) - 2)))
            )
        elif absent and self.chance.random() < 0.5:
            core.change_membership(self.now, Membership(voters.voters, (self.chance.choice(absent),)))
        elif len(voters.voters) > 2:
            out = self.chance.choice(voters.voters)
            core.change_membership(self.now, Membership(tuple(one for one in voters.voters if one != out)))

    def _fault(self, up: list[str]) -> None:
        chance = self.chance
        kind = chance.randrange(6)
        if kind == 0:
            self.sides = {name: chance.randrange(2) for name in self.names}
        elif kind <= 2:
            self.sides = {}
            self.loss = chance.choice((0.0, 0.0, 0.1, 0.3))
        elif self.kills and kind == 3 and up:
            self.members[chance.choice(up)].core = None
        elif self.kills and kind == 4 and up and chance.random() < 0.15:
            self._lose(chance.choice(up))
        for name in self.names:
            if self.members[name].core is None and chance.random() < 0.6:
                self.begin(name)

    def _lose(self, name: str) -> None:
        """Its folder is lost: one at a time, and only while the others can go on without it."""
        whole = [member for member in self.members.values() if member.core]
        leader = next((member.core for member in whole if member.core.role is Role.LEADER), None)
        if leader is None:
            return
        voters = leader.membership
        held = [
            one for one in voters.voters if self.members[one.name].kept.member_id == one and one.name != name
        ]
        if (
            len(held) >= voters.majority
            and leader._membership_index <= leader.commit_index
            and len(held) == len(voters.voters) - (self.members[name].kept.member_id in voters.voters)
        ):
            member = self.members[name]
            member.kept = PersistentState(self._life(name), snapshot=Snapshot(0, 0, Membership(())))
            member.core, member.state = None, []
            self.begin(name)


class Bounds:
    """How far `explore` goes."""

    def __init__(
        self, terms: int = 2, proposals: int = 1, crashes: int = 0, words: int = 6, states: int = 1_000_000
    ) -> None:
        self.terms, self.proposals, self.crashes, self.words, self.states = (
            terms,
            proposals,
            crashes,
            words,
            states,
        )


class State:
    """One point of a history: cores, folders, words under way, what was promised."""

    def __init__(
        self,
        cores: list[Core],
        kept: list[PersistentState],
        words: frozenset[Message],
        promises: Promises,
        proposals: int,
        crashes: int,
    ) -> None:
        self.cores, self.kept, self.words, self.promises = cores, kept, words, promises
        self.proposals, self.crashes = proposals, crashes

    def copy(self) -> State:
        return pickle.loads(pickle.dumps(self, pickle.HIGHEST_PROTOCOL))

    def key(self) -> tuple:
        """All that the future depends on."""
        return (
            tuple(
                (
                    core.term,
                    core.vote,
                    core.role,
                    core.leader,
                    tuple(core.log),
                    core.commit_index,
                    core.applied_index,
                    frozenset(core.votes),
                    tuple(
                        sorted(
                            (one.name, peer.match_index, peer.next_index) for one, peer in core.peers.items()
                        )
                    ),
                )
                for core in self.cores
            ),
            tuple((kept.term, kept.vote, tuple(kept.entries)) for kept in self.kept),
            self.words,
            tuple(sorted(self.promises.applied.items())),
            self.proposals,
            self.crashes,
        )


def explore(make: Make = Core, size: int = 3, bounds: Bounds | None = None) -> tuple[int, bool]:
    """Every history within the bounds, breadth first; the number of states, and whether that was all.

    Words come in any order or never; elections begin at any moment; nobody heeds that a leader is well, since
    safety must not rest on time.  (That words come twice is left to the seeded histories.)
    """
    bounds = bounds or Bounds()
    ids = tuple(MemberId(f"v{n}", n) for n in range(size))
    start = Snapshot(0, 0, Membership(ids))
    rules = Rules(election_timeout_ns=0, heartbeat_interval_ns=1 << 61)
    kept = [PersistentState(one, snapshot=start) for one in ids]
    cores = [make(pickle.loads(pickle.dumps(one)), rules, random.Random(0), 0) for one in kept]
    first = State(cores, kept, frozenset(), Promises(), 0, 0)
    seen, queue = {first.key()}, deque([first])
    while queue:
        if len(seen) >= bounds.states:
            return len(seen), False
        for state in _next(queue.popleft(), make, rules, bounds):
            key = state.key()
            if key not in seen:
                seen.add(key)
                queue.append(state)
    return len(seen), True


def _next(state: State, make: Make, rules: Rules, bounds: Bounds) -> Iterator[State]:
    for word in state.words:
        at = int(word.receiver.name[1:])
        after = state.copy()
        after.words -= {word}
        after.cores[at].receive(0, word)
        if _settled(after, at, bounds):
            yield after
    for at, core in enumerate(state.cores):
        if core.role is not Role.LEADER and core.term < bounds.terms:
            after = state.copy()
            after.cores[at]._start_election(0)
            if _settled(after, at, bounds):
                yield after
        if core.role is Role.LEADER and state.proposals < bounds.proposals:
            after = state.copy()
            after.proposals += 1
            after.cores[at].propose(0, b"p%d" % after.proposals)
            if _settled(after, at, bounds):
                yield after
        if state.crashes < bounds.crashes:
            after = state.copy()
            after.crashes += 1
            after.cores[at] = make(pickle.loads(pickle.dumps(after.kept[at])), rules, random.Random(0), 0)
            yield after


def _settled(state: State, at: int, bounds: Bounds) -> bool:
    """Write, send, apply; False where more words are under way than the bound."""
    core, kept = state.cores[at], state.kept[at]
    state.promises.led(core)
    work = core.take_work()
    if work.term is not None:
        kept.term, kept.vote = work.term, work.vote
    if work.truncate_from is not None:
        kept.entries = [entry for entry in kept.entries if entry.index < work.truncate_from]
    kept.entries += work.entries
    newest = max(core.term for core in state.cores)
    words = state.words | set(work.messages)
    state.words = frozenset(word for word in words if word.term >= newest - 1)
    for entry in work.committed:
        state.promises.did(entry)
    state.promises.match(state.cores)
    state.promises.complete(state.cores)
    return len(state.words) <= bounds.words
