"""Scale of the register: renewals of ownership by 100 to 4,900 owners, with five voters in one process.

The consensus core of `millweir/store/core.py` runs on a simulated network.  Size is the number of owners,
each of which holds a lease on its own work and renews it every `RENEWAL_INTERVAL`.  Nothing of the register's
state machine is built yet (issue 32), so the tables here stand in for it.  Two designs are measured:

* `logged`: each renewal is one entry of the log.  A lease then survives a change of leader, and every voter
  pays for every renewal.
* `leased`: leases are held in the leader's memory and an entry is written only when ownership changes.  The
  renewals that came during one heartbeat are granted together, once a read-index round (Ongaro 6.4) has
  confirmed that the leader still leads.  A new leader knows of no lease, so it waits one lease before it
  gives anybody's work to another owner.

Quantities, with the growth that is expected in brackets.  Seconds are simulated; processor time is real and
includes encoding and decoding; "leader" and "follower" are one voter each.

* `logged-entries-second`, `leased-entries-second`: entries appended [n; constant 0]
* `*-leader-messages-second`, `*-follower-messages-second`: in and out, voters' and owners' [n; at a follower
  of `leased` constant]
* `*-leader-bytes-second`, `*-follower-bytes-second`: in and out [`logged`: n squared until one word is full,
  since the core tells all that is not acknowledged with each new entry; `leased`: n, at a follower constant]
* `*-leader-processor`, `*-follower-processor`: processor time in a second [as the bytes]
* `*-renewal-processor`: the leader's processor time for one renewal [`logged`: n, `leased`: constant]
* `*-owner-bytes-second`: bytes in and out at one owner [constant]
* `*-written-bytes-second`: bytes that one voter writes, log and snapshots [`logged`: n for the log, n squared
  for snapshots, which are of n owners and due after a fixed number of entries; `leased`: constant 0]
* `logged-renewals-refused`: renewals turned away because too many entries were not committed yet [constant 0]
* `state-memory`, `snapshot-bytes`: table of ownership at one voter, and its snapshot [n]
* `assignment-bytes`: one whole assignment version of placement as an entry, `PARTITIONS` partitions with
  `REPLICAS` replicas [a constant, and n for the relays' names]

In the troubles `machine`, `rack`, `zone` and `region` that many owners are lost at once:

* `changes`: owners whose work goes to others [machine, rack: constant; zone, region: n]
* `change-entries`, `change-bytes`, `change-processor`, `change-commit-time`: entries written, bytes out of
  the leader, its processor time, and simulated time until the last entry is committed [as `changes`]
* `assignment-change-bytes`: the entry that moves the lost relays' replicas to others [machine, rack: 1/n;
  zone, region: constant]
"""

from __future__ import annotations

import heapq
import math
import random
import time
import tracemalloc
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

import msgspec

from millweir.lab.scale.guard import Guard
from millweir.lab.scale.measurement import Figure
from millweir.store.core import SECOND, Core, RequestRejected, Role, Rules
from millweir.store.entries import (
    Entry,
    EntryKind,
    MemberId,
    Membership,
    PersistentState,
    Snapshot,
    decode_message,
    encode,
)

VOTERS = 5
RENEWAL_INTERVAL = 3 * SECOND
LEASE = 10 * SECOND
RUN_TIME = 2 * RENEWAL_INTERVAL
WARM_UP = SECOND
LATENCY_LOW = SECOND // 1000  # one way between two voters
LATENCY_HIGH = SECOND // 50
SNAPSHOT_EVERY = 1024  # entries
LOG_TAIL = 256  # entries kept behind a snapshot, for followers that lag
CHANGES_PER_ENTRY = 64
REPEATS = 3
ONE_RUN_FROM = 2_000  # owners: one run takes minutes there, as each logged renewal walks the log
RELAYS_PER_RACK = 40
ZONES = 11
REGIONS = 4
PARTITIONS = 32_768  # as millweir/placement has them
REPLICAS = 3
BYTES_PER_OWNER = 20_000  # expected of a run, for its plan


class Renewal(msgspec.Struct, array_like=True, frozen=True, tag="renewal"):
    """An owner asks for its lease to go on."""

    owner: str
    term: int
    sequence: int


class Grant(msgspec.Struct, array_like=True, frozen=True):
    """The leader's answer to a renewal."""

    owner: str
    term: int
    sequence: int
    lease: int  # nanoseconds from when the owner sent its renewal


class Ownership(msgspec.Struct, array_like=True, frozen=True):
    """Who may act for an owner's work, since which term."""

    owner: str
    holder: str
    term: int


class OwnershipChanges(msgspec.Struct, array_like=True, frozen=True, tag="changes"):
    """A command: work that goes to other holders."""

    changes: tuple[Ownership, ...]


class AssignmentVersion(msgspec.Struct, array_like=True, frozen=True):
    """All replicas of all partitions, as two-byte indexes into the relays' names."""

    version: int
    relays: tuple[str, ...]
    replicas: bytes


class AssignmentChange(msgspec.Struct, array_like=True, frozen=True):
    """Replicas that move, from one version to the next: partition and new relay, two bytes each."""

    version: int
    moves: bytes


read_renewal = msgspec.msgpack.Decoder(Renewal).decode
read_command = msgspec.msgpack.Decoder(Renewal | OwnershipChanges).decode


class OwnershipTable:
    """The state machine's stand-in at one voter: terms of ownership, and leases where these are logged."""

    __slots__ = ("leases", "ownerships")

    def __init__(self, owners: tuple[str, ...]) -> None:
        self.ownerships = {owner: Ownership(owner, owner, 1) for owner in owners}
        self.leases = dict.fromkeys(owners, 0)

    def apply(self, data: bytes) -> None:
        """Take a committed entry's changes; applying one twice changes nothing more."""
        command = read_command(data)
        if isinstance(command, Renewal):
            self.leases[command.owner] = command.sequence
            return
        for ownership in command.changes:
            self.ownerships[ownership.owner] = ownership

    def snapshot(self) -> bytes:
        return encode((tuple(self.ownerships.values()), tuple(self.leases.values())))


@dataclass(slots=True)
class Load:
    """What one voter did."""

    messages: int = 0  # in and out
    bytes: int = 0  # in and out
    bytes_out: int = 0
    processor: int = 0  # nanoseconds
    entries: int = 0
    written: int = 0  # bytes of log and snapshots

    def received(self, size: int) -> None:
        self.messages += 1
        self.bytes += size

    def sent(self, size: int) -> None:
        self.messages += 1
        self.bytes += size
        self.bytes_out += size


@dataclass(slots=True)
class Voter:
    """One voter: its core, its state machine and what it did."""

    core: Core
    table: OwnershipTable
    load: Load = field(default_factory=Load)


@dataclass(slots=True)
class Quorum:
    """Five voters on a simulated network without faults; words of one pair of voters keep their order."""

    seed: int
    owners: tuple[str, ...]
    voters: dict[MemberId, Voter] = field(default_factory=dict)
    now: int = 0
    on_read: Callable[[object], None] = lambda token: None
    _events: list[tuple[int, int, Callable[[], None]]] = field(default_factory=list)
    _latency: dict[tuple[MemberId, MemberId], int] = field(default_factory=dict)
    _number: int = 0

    def __post_init__(self) -> None:
        chance = random.Random(self.seed)
        names = tuple(MemberId(f"voter-{number}", 1) for number in range(VOTERS))
        start = Snapshot(0, 0, Membership(names))
        for name in names:
            core = Core(
                PersistentState(name, snapshot=start), Rules(), random.Random(chance.getrandbits(60)), 0
            )
            self.voters[name] = Voter(core, OwnershipTable(self.owners))
        for sender in names:
            for receiver in names:
                self._latency[sender, receiver] = chance.randint(LATENCY_LOW, LATENCY_HIGH)
        while self.leader is None or self.leader.core.commit_index == 0:
            self.step()
        self.run_until(self.now + WARM_UP)
        self.reset_loads()

    @property
    def leader(self) -> Voter | None:
        return next((voter for voter in self.voters.values() if voter.core.role is Role.LEADER), None)

    @property
    def follower(self) -> Voter:
        return next(voter for voter in self.voters.values() if voter.core.role is Role.FOLLOWER)

    def reset_loads(self) -> None:
        for voter in self.voters.values():
            voter.load = Load()

    def schedule(self, at: int, action: Callable[[], None]) -> None:
        """Do something at a simulated time."""
        self._number += 1
        heapq.heappush(self._events, (at, self._number, action))

    def run_until(self, end: int) -> None:
        while self._next_time() <= end:
            self.step()
        self.now = end

    def drive(self, voter: Voter, call: Callable[[], object]) -> None:
        """Call a voter's core, then do its work: write, send, apply."""
        started = time.process_time_ns()
        call()
        work = voter.core.take_work()
        words = [(word.receiver, encode(word)) for word in work.messages]
        written = sum(len(encode(entry)) for entry in work.entries)
        self._apply(voter, work.committed)
        for token, _ in work.reads:
            self.on_read(token)
        load = voter.load
        load.processor += time.process_time_ns() - started
        load.entries += len(work.entries)
        load.written += written
        for receiver, data in words:
            load.sent(len(data))
            self._send(voter.core.member_id, receiver, data)

    def _apply(self, voter: Voter, committed: list[Entry]) -> None:
        for entry in committed:
            if entry.kind is EntryKind.COMMAND:
                voter.table.apply(entry.data)
        core = voter.core
        if core.applied_index - core.snapshot.index >= SNAPSHOT_EVERY + LOG_TAIL:
            # The table is newer than the index by the tail, which may be applied twice.
            snapshot = core.compact(core.applied_index - LOG_TAIL, voter.table.snapshot())
            voter.load.written += len(snapshot.data)

    def _send(self, sender: MemberId, receiver: MemberId, data: bytes) -> None:
        voter = self.voters[receiver]

        def deliver() -> None:
            voter.load.received(len(data))
            self.drive(voter, lambda: voter.core.receive(self.now, decode_message(data)))

        self.schedule(self.now + self._latency[sender, receiver], deliver)

    def _next_time(self) -> int:
        first_due = min(voter.core.next_timeout_at for voter in self.voters.values())
        return min(first_due, self._events[0][0]) if self._events else first_due

    def step(self) -> None:
        self.now = max(self.now, self._next_time())
        if self._events and self._events[0][0] <= self.now:
            heapq.heappop(self._events)[2]()
            return
        for voter in self.voters.values():
            if voter.core.next_timeout_at <= self.now:
                self.drive(voter, lambda core=voter.core: core.advance_time(self.now))


class Renewals:
    """Owners that renew, each at its own phase of the interval; the designs say what the leader does."""

    __slots__ = ("granted", "leader", "owner_bytes", "quorum", "refused")

    def __init__(self, quorum: Quorum) -> None:
        self.quorum = quorum
        self.leader = quorum.leader
        self.granted = self.refused = self.owner_bytes = 0

    def run(self) -> None:
        chance = random.Random(self.quorum.seed)
        start = self.quorum.now
        for owner in self.quorum.owners:
            first = start + chance.randrange(RENEWAL_INTERVAL)
            for sequence, at in enumerate(range(first, start + RUN_TIME, RENEWAL_INTERVAL), 1):
                data = encode(Renewal(owner, 1, sequence))
                self.quorum.schedule(at, lambda data=data: self._arrive(data))
        self.quorum.run_until(start + RUN_TIME)

    def _arrive(self, data: bytes) -> None:
        self.leader.load.received(len(data))
        self.owner_bytes += len(data)
        self.quorum.drive(self.leader, lambda: self.renew(read_renewal(data), data))

    def renew(self, renewal: Renewal, data: bytes) -> None:
        raise NotImplementedError

    def _grant(self, renewal: Renewal) -> None:
        data = encode(Grant(renewal.owner, renewal.term, renewal.sequence, LEASE))
        self.leader.load.sent(len(data))
        self.owner_bytes += len(data)
        self.granted += 1


class LoggedRenewals(Renewals):
    """Each renewal is an entry; it is granted as soon as that is proposed, which costs no more or less."""

    __slots__ = ()

    def renew(self, renewal: Renewal, data: bytes) -> None:
        try:
            self.leader.core.propose(self.quorum.now, data)
        except RequestRejected:
            self.refused += 1
        else:
            self._grant(renewal)


class LeasedRenewals(Renewals):
    """Leases in the leader's memory; one read-index round a heartbeat confirms all renewals of that time."""

    __slots__ = ("_confirming", "_leases", "_round", "_waiting")

    def __init__(self, quorum: Quorum) -> None:
        super().__init__(quorum)
        self._leases: dict[str, int] = {}
        self._waiting: list[Renewal] = []
        self._confirming: dict[int, list[Renewal]] = {}
        self._round = 0
        quorum.on_read = self._confirmed

    def renew(self, renewal: Renewal, data: bytes) -> None:
        if not self._waiting:
            self.quorum.schedule(
                self.quorum.now + self.leader.core.rules.heartbeat_interval_ns, self._confirm
            )
        self._waiting.append(renewal)

    def _confirm(self) -> None:
        self._round += 1
        self._confirming[self._round], self._waiting = self._waiting, []
        self.quorum.drive(self.leader, lambda: self.leader.core.request_read(self.quorum.now, self._round))

    def _confirmed(self, token: object) -> None:
        for renewal in self._confirming.pop(token):
            self._leases[renewal.owner] = self.quorum.now + LEASE
            self._grant(renewal)


DESIGNS: dict[str, type[Renewals]] = {"logged": LoggedRenewals, "leased": LeasedRenewals}


def owner_names(size: int) -> tuple[str, ...]:
    return tuple(f"relay-{number:05}" for number in range(size))


def lost_by_trouble(size: int) -> dict[str, int]:
    """How many owners each trouble takes at once."""
    return {
        "machine": 1,
        "rack": min(RELAYS_PER_RACK, size),
        "zone": math.ceil(size / ZONES),
        "region": math.ceil(size / REGIONS),
    }


def renewal_values(design: str, size: int, seed: int) -> dict[tuple[str, str], float]:
    """Quantity and unit -> value, of one run of one design."""
    quorum = Quorum(seed, owner_names(size))
    renewals = DESIGNS[design](quorum)
    renewals.run()
    seconds = RUN_TIME / SECOND
    leader, follower = quorum.leader.load, quorum.follower.load
    values = {
        ("entries-second", "entries/s"): leader.entries / seconds,
        ("leader-messages-second", "messages/s"): leader.messages / seconds,
        ("follower-messages-second", "messages/s"): follower.messages / seconds,
        ("leader-bytes-second", "B/s"): leader.bytes / seconds,
        ("follower-bytes-second", "B/s"): follower.bytes / seconds,
        ("leader-processor", "s/s"): leader.processor / RUN_TIME,
        ("follower-processor", "s/s"): follower.processor / RUN_TIME,
        ("renewal-processor", "s"): leader.processor / SECOND / max(1, renewals.granted),
        ("owner-bytes-second", "B/s"): renewals.owner_bytes / seconds / size,
        ("written-bytes-second", "B/s"): leader.written / seconds,
    }
    if design == "logged":
        values["renewals-refused", "renewals"] = renewals.refused
    return {(f"{design}-{quantity}", unit): value for (quantity, unit), value in values.items()}


def change_values(size: int, seed: int, lost: int) -> dict[tuple[str, str], float]:
    """Quantity and unit -> value, when that many owners' work goes to others at once."""
    owners = owner_names(size)
    quorum = Quorum(seed, owners)
    leader = quorum.leader
    taker = owners[-1]
    changes = [Ownership(owner, taker, 2) for owner in owners[:lost]]
    started = quorum.now
    for first in range(0, lost, CHANGES_PER_ENTRY):
        data = encode(OwnershipChanges(tuple(changes[first : first + CHANGES_PER_ENTRY])))
        quorum.drive(leader, lambda data=data: leader.core.propose(quorum.now, data))
    last = leader.core.last_index
    while leader.core.commit_index < last:
        quorum.step()
    return {
        ("changes", "owners"): lost,
        ("change-entries", "entries"): leader.load.entries,
        ("change-bytes", "B"): leader.load.bytes_out,
        ("change-processor", "s"): leader.load.processor / SECOND,
        ("change-commit-time", "s"): (quorum.now - started) / SECOND,
    }


def state_values(size: int) -> dict[tuple[str, str], float]:
    """Quantity and unit -> value, of what a voter holds."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    table = OwnershipTable(owner_names(size))
    memory = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return {
        ("state-memory", "B"): memory,
        ("snapshot-bytes", "B"): len(table.snapshot()),
        ("assignment-bytes", "B"): len(encode(assignment(size))),
    }


def assignment(relays: int) -> AssignmentVersion:
    """A version with replicas dealt out evenly: the entry's size doesn't depend on who has which."""
    replicas = bytearray()
    for number in range(PARTITIONS * REPLICAS):
        replicas += (number % relays).to_bytes(2, "big")
    return AssignmentVersion(1, owner_names(relays), bytes(replicas))


def assignment_change(relays: int, lost: int) -> AssignmentChange:
    """The moves of all replicas that the lost relays had."""
    moved = math.ceil(PARTITIONS * REPLICAS * lost / relays)
    return AssignmentChange(2, bytes(4 * moved))


def measure(size: int, seed: int, guard: Guard) -> Iterator[Figure]:
    """All quantities at one number of owners."""
    guard.check_plan(memory=size * BYTES_PER_OWNER, processes=1)
    repeats = REPEATS if size < ONE_RUN_FROM else 1
    for design in DESIGNS:
        runs = [renewal_values(design, size, seed + at) for at in range(repeats)]
        yield from _figures(size, "calm", runs, simulated=True)
        guard.check()
    for trouble, lost in lost_by_trouble(size).items():
        runs = [change_values(size, seed + at, lost) for at in range(REPEATS)]
        yield from _figures(size, trouble, runs, simulated=True)
        moves = {("assignment-change-bytes", "B"): len(encode(assignment_change(size, lost)))}
        yield from _figures(size, trouble, [moves], simulated=False)
        guard.check()
    yield from _figures(size, "calm", [state_values(size)], simulated=False)


def _figures(
    size: int, trouble: str, runs: list[dict[tuple[str, str], float]], simulated: bool
) -> Iterator[Figure]:
    """The median of the runs, with their spread."""
    for quantity, unit in runs[0]:
        values = sorted(float(run[quantity, unit]) for run in runs)
        yield Figure(
            part="register",
            quantity=quantity,
            unit=unit,
            trouble=trouble,
            size=size,
            value=values[len(values) // 2],
            low=values[0],
            high=values[-1],
            repeats=len(values),
            simulated=simulated,
        )
