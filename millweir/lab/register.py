"""Checks the replicated store's consensus core (Raft): random fault runs, and all histories within bounds.

Both drive the core that the store runs.  Invariants after each step (Ongaro's thesis, figure 3.2): at most
one leader per term; two logs with an entry of the same index and term are equal up to it; the entry applied
at an index is the same everywhere; a read reflects all that was known committed when it was requested.
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


class InvariantViolated(AssertionError):
    """An invariant was violated; the message says which."""


class Invariants:
    """Records leaders and applied entries, and checks the invariants against them."""

    __slots__ = ("applied", "leaders")

    def __init__(self) -> None:
        self.leaders: dict[int, MemberId] = {}
        self.applied: dict[int, tuple[int, bytes]] = {}

    def record_leader(self, core: Core) -> None:
        if core.role is Role.LEADER and self.leaders.setdefault(core.term, core.member_id) != core.member_id:
            raise InvariantViolated(
                f"two leaders in term {core.term}: {core.member_id} and {self.leaders[core.term]}"
            )

    def record_applied(self, entry: Entry) -> None:
        what = entry.term, entry.data
        if self.applied.setdefault(entry.index, what) != what:
            raise InvariantViolated(
                f"index {entry.index} was applied as {self.applied[entry.index]} and {what}"
            )

    @staticmethod
    def check_log_matching(cores: list[Core]) -> None:
        """Check log matching over all pairs, and that each core uses the newest membership in its log."""
        for core in cores:
            changes = [entry for entry in core.log if entry.kind is EntryKind.MEMBERSHIP]
            if core.membership != (
                decode_membership(changes[-1].data) if changes else core.snapshot.membership
            ):
                raise InvariantViolated(f"{core.member_id} uses another membership than its log holds")
        for at, one in enumerate(cores):
            for other in cores[at + 1 :]:
                first = max(one.snapshot.index, other.snapshot.index)
                for index in range(min(one.last_index, other.last_index), first, -1):
                    if one.term_of(index) == other.term_of(index):
                        mine = one.log[first - one.snapshot.index : index - one.snapshot.index]
                        if mine != other.log[first - other.snapshot.index : index - other.snapshot.index]:
                            raise InvariantViolated(
                                f"logs of {one.member_id} and {other.member_id} differ below {index}"
                            )
                        break

    def check_leader_completeness(self, cores: list[Core]) -> None:
        """Check leader completeness: the leader of the newest term holds every applied entry."""
        leaders = [core for core in cores if core.role is Role.LEADER]
        leader = max(leaders, key=lambda core: core.term, default=None)
        if leader and leader.term >= max(self.leaders):
            for index, (term, _) in self.applied.items():
                if index > leader.snapshot.index and leader.term_of(index) != term:
                    raise InvariantViolated(
                        f"leader {leader.member_id} of term {leader.term} lacks index {index}"
                    )


class Member:
    """One member: its core, its persistent state and its state machine."""

    def __init__(self, me: MemberId) -> None:
        self.persisted = PersistentState(me)
        self.core: Core | None = None
        self.state: list[bytes] = []  # the applied commands, as a state machine


class RandomFaultCluster:
    """A store cluster under random faults in simulated time; `run` raises at the first violated invariant."""

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
        self.rng = random.Random(seed)
        self.rules = Rules(max_entries_per_message=self.rng.choice((1, 1, 3, 64)))
        self.fault_probability = self.rng.choice((0.02, 0.1, 0.3))
        self.now = 0
        self.invariants = Invariants()
        self.names = tuple(f"v{n}" for n in range(size + 2))  # two more than the initial voters
        self._member_id_count = 0
        self.members = {name: Member(self._new_member_id(name)) for name in self.names}
        start = Membership(tuple(self.members[name].persisted.member_id for name in self.names[:size]))
        for member in self.members.values():
            member.persisted.snapshot = Snapshot(0, 0, start)
        self.in_flight: list[tuple[int, int, Message]] = []
        self._number = 0
        self.partition_sides: dict[str, int] = {}
        self.loss = 0.0
        self.kills, self.changes, self.compacts = kills, changes, compacts
        self.read_requests: dict[
            int, int
        ] = {}  # by read: the highest index known committed when it was requested
        self.known_committed = 0  # the highest index that any member has applied
        self.answered = self.done = 0
        self.steps = 0
        for name in self.names:
            self.start_member(name)

    def _new_member_id(self, name: str) -> MemberId:
        self._member_id_count += 1
        return MemberId(name, self._member_id_count)

    def start_member(self, name: str) -> None:
        member = self.members[name]
        persisted = pickle.loads(pickle.dumps(member.persisted))
        member.core = self.make(persisted, self.rules, random.Random(self.rng.getrandbits(60)), self.now)
        member.state = (
            list(pickle.loads(persisted.snapshot.data))
            if persisted.snapshot and persisted.snapshot.data
            else []
        )

    def process_work(self, name: str, crash: float = 0.0) -> None:
        """Write, send and apply, in this order; a crash may happen between any two of them."""
        member = self.members[name]
        core = member.core
        self.invariants.record_leader(core)
        work = core.take_work()
        if self.rng.random() < crash:
            member.core = None
            return
        persisted = member.persisted
        if work.term is not None:
            persisted.term, persisted.vote = work.term, work.vote
        if work.snapshot:
            persisted.snapshot, persisted.entries = work.snapshot, []
            member.state = list(pickle.loads(work.snapshot.data)) if work.snapshot.data else []
        if work.truncate_from is not None:
            persisted.entries = [entry for entry in persisted.entries if entry.index < work.truncate_from]
        persisted.entries += work.entries
        if self.rng.random() < crash:
            member.core = None
            return
        messages = work.messages
        fault = self.kills and self._choose_fault(messages)
        if fault == "partly sent":
            messages = self.rng.sample(messages, 1)
        for message in messages:
            self.send(message)
        for entry in work.committed:
            self.invariants.record_applied(entry)
            member.state.append(entry.data)
            self.known_committed = max(self.known_committed, entry.index)
            self.done += entry.kind is EntryKind.COMMAND
        for token, index in work.reads:
            self.answered += 1
            if index < self.read_requests[token]:
                raise InvariantViolated(
                    f"a read reflects index {index}, but {self.read_requests[token]} was known committed"
                )
        if self.compacts and core.applied_index - core.snapshot.index > 8 and self.rng.random() < 0.3:
            persisted.snapshot = core.compact(core.applied_index, pickle.dumps(member.state))
            persisted.entries = list(core.log)
        if fault:
            self.start_member(name)

    def _choose_fault(self, messages: list[Message]) -> str:
        """Choose a fault at a critical moment: after a vote, or after appending to only one follower."""
        roll = self.rng.random()
        if (
            any(message.type is MessageType.VOTE_REPLY and message.accepted for message in messages)
            and roll < self.fault_probability
        ):
            return "voted"
        if (
            any(message.type is MessageType.APPEND_REQUEST and message.entries for message in messages)
            and roll < self.fault_probability / 2
        ):
            return "partly sent"
        return ""

    def send(self, message: Message) -> None:
        if self.rng.random() < self.loss:
            return
        for _ in range(2 if self.rng.random() < 0.05 else 1):
            self._number += 1
            slow = self.rng.random() < 0.05
            delay = self.rng.randint(1, 2 * SECOND if slow else SECOND // 50)
            self.in_flight.append((self.now + delay, self._number, message))

    def run(self, steps: int) -> RandomFaultCluster:
        for self.steps in range(steps):
            self.step()
            cores = [member.core for member in self.members.values() if member.core]
            if self.steps % 8 == 0:
                self.invariants.check_log_matching(cores)
                self.invariants.check_leader_completeness(cores)
        return self

    def step(self) -> None:
        rng = self.rng
        up = [name for name in self.names if self.members[name].core]
        if rng.random() < 0.02:
            self._inject_fault(up)
        up = [name for name in self.names if self.members[name].core]
        if rng.random() < 0.15 and up:
            leading = [name for name in up if self.members[name].core.role is Role.LEADER]
            self._send_client_request(rng.choice(leading if leading and rng.random() < 0.8 else up))
        due = min((self.members[name].core.next_timeout_at for name in up), default=self.now + SECOND)
        first = min(self.in_flight, default=None)
        crash = 0.003 if self.kills else 0.0
        if first and first[0] <= due:
            self.in_flight.remove(first)
            self.now = max(self.now, first[0])
            message = first[2]
            member = self.members[message.receiver.name]
            if member.core and self.partition_sides.get(message.sender.name, 0) == self.partition_sides.get(
                message.receiver.name, 0
            ):
                member.core.receive(self.now, message)
                self.process_work(message.receiver.name, crash)
        else:
            self.now = max(self.now, due)
            for name in up:
                if self.members[name].core.next_timeout_at <= self.now:
                    self.members[name].core.advance_time(self.now)
                    self.process_work(name, crash)

    def _send_client_request(self, name: str) -> None:
        core, rng = self.members[name].core, self.rng
        kind = rng.random()
        try:
            if kind < 0.6:
                core.propose(self.now, b"%d" % self._number)
            elif kind < 0.8:
                self._number += 1
                self.read_requests[self._number] = self.known_committed
                core.request_read(self.now, self._number)
            elif kind < 0.85:
                core.transfer_leadership(self.now, rng.choice(core.membership.voters or (core.member_id,)))
            elif self.changes:
                self._change_membership(core)
                if rng.random() < 0.2:
                    self._change_membership(core)  # again, before the first change can be committed
        except RequestRejected:
            pass
        self.process_work(name)

    def _change_membership(self, core: Core) -> None:
        voters = core.membership
        names = {one.name for one in voters.all_members()}
        absent = [
            member.persisted.member_id
            for member in self.members.values()
            if member.persisted.member_id.name not in names
        ]
        stale = [one for one in voters.all_members() if self.members[one.name].persisted.member_id != one]
        if stale:  # its folder was lost: remove its earlier member id
            out = self.rng.choice(stale)
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
        elif len(voters.voters) > 3 and self.rng.random() < 0.3:
            core.change_membership(
                self.now, Membership(tuple(self.rng.sample(voters.voters, len(voters.voters) - 2)))
            )
        elif absent and self.rng.random() < 0.5:
            core.change_membership(self.now, Membership(voters.voters, (self.rng.choice(absent),)))
        elif len(voters.voters) > 2:
            out = self.rng.choice(voters.voters)
            core.change_membership(self.now, Membership(tuple(one for one in voters.voters if one != out)))

    def _inject_fault(self, up: list[str]) -> None:
        rng = self.rng
        kind = rng.randrange(6)
        if kind == 0:
            self.partition_sides = {name: rng.randrange(2) for name in self.names}
        elif kind <= 2:
            self.partition_sides = {}
            self.loss = rng.choice((0.0, 0.0, 0.1, 0.3))
        elif self.kills and kind == 3 and up:
            self.members[rng.choice(up)].core = None
        elif self.kills and kind == 4 and up and rng.random() < 0.15:
            self._lose_folder(rng.choice(up))
        for name in self.names:
            if self.members[name].core is None and rng.random() < 0.6:
                self.start_member(name)

    def _lose_folder(self, name: str) -> None:
        """Lose a folder: one at a time, and only while the others keep a majority without it."""
        running = [member for member in self.members.values() if member.core]
        leader = next((member.core for member in running if member.core.role is Role.LEADER), None)
        if leader is None:
            return
        voters = leader.membership
        intact = [
            one
            for one in voters.voters
            if self.members[one.name].persisted.member_id == one and one.name != name
        ]
        if (
            len(intact) >= voters.majority
            and leader._membership_index <= leader.commit_index
            and len(intact) == len(voters.voters) - (self.members[name].persisted.member_id in voters.voters)
        ):
            member = self.members[name]
            member.persisted = PersistentState(
                self._new_member_id(name), snapshot=Snapshot(0, 0, Membership(()))
            )
            member.core, member.state = None, []
            self.start_member(name)


class Bounds:
    """The limits of an exhaustive search; `messages` limits those in flight."""

    def __init__(
        self, terms: int = 2, proposals: int = 1, crashes: int = 0, messages: int = 6, states: int = 1_000_000
    ) -> None:
        self.terms, self.proposals, self.crashes, self.messages, self.states = (
            terms,
            proposals,
            crashes,
            messages,
            states,
        )


class State:
    """One state of the search: cores, persistent states, messages in flight, recorded invariants."""

    def __init__(
        self,
        cores: list[Core],
        persisted: list[PersistentState],
        messages: frozenset[Message],
        invariants: Invariants,
        proposals: int,
        crashes: int,
    ) -> None:
        self.cores, self.persisted, self.messages, self.invariants = cores, persisted, messages, invariants
        self.proposals, self.crashes = proposals, crashes

    def copy(self) -> State:
        return pickle.loads(pickle.dumps(self, pickle.HIGHEST_PROTOCOL))

    def key(self) -> tuple:
        """Return everything that the further history depends on."""
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
            tuple((persisted.term, persisted.vote, tuple(persisted.entries)) for persisted in self.persisted),
            self.messages,
            tuple(sorted(self.invariants.applied.items())),
            self.proposals,
            self.crashes,
        )


def explore_states(make: Make = Core, size: int = 3, bounds: Bounds | None = None) -> tuple[int, bool]:
    """Search all histories within the bounds, breadth first; return the number of states and completeness.

    Messages arrive in any order or never; elections start at any moment, even if the leader is healthy, since
    safety must not depend on time.  (Duplicate messages are left to the random runs.)
    """
    bounds = bounds or Bounds()
    ids = tuple(MemberId(f"v{n}", n) for n in range(size))
    start = Snapshot(0, 0, Membership(ids))
    rules = Rules(election_timeout_ns=0, heartbeat_interval_ns=1 << 61)
    persisted = [PersistentState(one, snapshot=start) for one in ids]
    cores = [make(pickle.loads(pickle.dumps(one)), rules, random.Random(0), 0) for one in persisted]
    first = State(cores, persisted, frozenset(), Invariants(), 0, 0)
    seen, queue = {first.key()}, deque([first])
    while queue:
        if len(seen) >= bounds.states:
            return len(seen), False
        for state in _successors(queue.popleft(), make, rules, bounds):
            key = state.key()
            if key not in seen:
                seen.add(key)
                queue.append(state)
    return len(seen), True


def _successors(state: State, make: Make, rules: Rules, bounds: Bounds) -> Iterator[State]:
    for message in state.messages:
        at = int(message.receiver.name[1:])
        after = state.copy()
        after.messages -= {message}
        after.cores[at].receive(0, message)
        if _process_work(after, at, bounds):
            yield after
    for at, core in enumerate(state.cores):
        if core.role is not Role.LEADER and core.term < bounds.terms:
            after = state.copy()
            after.cores[at]._start_election(0)
            if _process_work(after, at, bounds):
                yield after
        if core.role is Role.LEADER and state.proposals < bounds.proposals:
            after = state.copy()
            after.proposals += 1
            after.cores[at].propose(0, b"p%d" % after.proposals)
            if _process_work(after, at, bounds):
                yield after
        if state.crashes < bounds.crashes:
            after = state.copy()
            after.crashes += 1
            after.cores[at] = make(
                pickle.loads(pickle.dumps(after.persisted[at])), rules, random.Random(0), 0
            )
            yield after


def _process_work(state: State, at: int, bounds: Bounds) -> bool:
    """Write, send and apply; return False if more messages are in flight than the bound allows."""
    core, persisted = state.cores[at], state.persisted[at]
    state.invariants.record_leader(core)
    work = core.take_work()
    if work.term is not None:
        persisted.term, persisted.vote = work.term, work.vote
    if work.truncate_from is not None:
        persisted.entries = [entry for entry in persisted.entries if entry.index < work.truncate_from]
    persisted.entries += work.entries
    newest = max(core.term for core in state.cores)
    messages = state.messages | set(work.messages)
    state.messages = frozenset(message for message in messages if message.term >= newest - 1)
    for entry in work.committed:
        state.invariants.record_applied(entry)
    state.invariants.check_log_matching(state.cores)
    state.invariants.check_leader_completeness(state.cores)
    return len(state.messages) <= bounds.messages
