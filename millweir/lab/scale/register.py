"""Scale test of the replicated store: lease renewals by 100 to 4,900 owners, with five voters in one process.

The consensus core of `millweir/store/core.py` runs on a simulated network.  Size is the number of owners,
each of which holds a lease on its own work and renews it every `RENEWAL_INTERVAL_NS`.  The store's state
machine does not exist yet (issue 32); the tables here are a simplified substitute.  Two designs are
measured:

* `logged`: each renewal is one log entry.  A lease then survives a change of leader, but every voter
  processes every renewal.
* `leased`: leases are held in the leader's memory and an entry is written only when ownership changes.  The
  renewals that arrive during one heartbeat interval are granted together, after a read-index round (Ongaro
  6.4) has confirmed the leader.  A new leader knows of no leases, so it waits for the duration of one lease
  before it assigns an owner's work to another owner.

Quantities, with the expected growth in brackets.  Seconds are simulated; processor time is real and
includes encoding and decoding; "leader" and "follower" are one voter each.

* `logged-entries-second`, `leased-entries-second`: entries appended [n; constant 0]
* `*-leader-messages-second`, `*-follower-messages-second`: in and out, to and from voters and owners [n; at
  a follower of `leased` constant]
* `*-leader-bytes-second`, `*-follower-bytes-second`: in and out [`logged`: n squared until one message is
  full, as the core sends all unacknowledged entries with each new one; `leased`: n, at a follower constant]
* `*-leader-processor`, `*-follower-processor`: processor time per second [as the bytes]
* `*-renewal-processor`: the leader's processor time per renewal [`logged`: n, `leased`: constant]
* `*-owner-bytes-second`: bytes in and out at one owner [constant]
* `*-written-bytes-second`: bytes that one voter writes, log and snapshots [`logged`: n for the log, n
  squared for snapshots, which contain n owners and are taken after a fixed number of entries; `leased`:
  constant 0]
* `logged-renewals-refused`: renewals rejected because too many entries were uncommitted [constant 0]
* `state-memory`, `snapshot-bytes`: ownership table of one voter, and its snapshot [n]
* `assignment-bytes`: a full assignment version of placement as an entry, `PARTITIONS` partitions with
  `REPLICAS` replicas [a constant, and n for the relays' names]

In the troubles `machine`, `rack`, `zone` and `region`, the owners of one such unit are lost at once:

* `changes`: owners whose work is reassigned [machine, rack: constant; zone, region: n]
* `change-entries`, `change-bytes`, `change-processor`, `change-commit-time`: entries written, bytes sent by
  the leader, its processor time, and simulated time until the last entry is committed [as `changes`]
* `assignment-change-bytes`: the entry that moves the lost relays' replicas [machine, rack: 1/n; zone,
  region: constant]
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

VOTER_COUNT = 5
RENEWAL_INTERVAL_NS = 3 * SECOND
LEASE_NS = 10 * SECOND
RUN_TIME_NS = 2 * RENEWAL_INTERVAL_NS
WARM_UP_NS = SECOND
MIN_LATENCY_NS = SECOND // 1000  # one way, between two voters
MAX_LATENCY_NS = SECOND // 50
SNAPSHOT_INTERVAL_ENTRIES = 1024
LOG_TAIL_ENTRIES = 256  # kept before a snapshot, for lagging followers
CHANGES_PER_ENTRY = 64
REPEAT_COUNT = 3
SINGLE_RUN_MIN_OWNERS = 2_000  # a run takes minutes, as each logged renewal iterates over the log
RELAYS_PER_RACK = 40
ZONE_COUNT = 11
REGION_COUNT = 4
PARTITIONS = 32_768  # as in millweir/placement
REPLICAS = 3
BYTES_PER_OWNER = 20_000  # expected, for the resource plan


class Renewal(msgspec.Struct, array_like=True, frozen=True, tag="renewal"):
    """An owner's request to renew its lease."""

    owner: str
    term: int
    sequence: int


class Grant(msgspec.Struct, array_like=True, frozen=True):
    """The leader's response to a renewal."""

    owner: str
    term: int
    sequence: int
    lease: int  # nanoseconds from the time at which the owner sent its renewal


class Ownership(msgspec.Struct, array_like=True, frozen=True):
    """The holder of an owner's work, and the term since which it holds it."""

    owner: str
    holder: str
    term: int


class OwnershipChanges(msgspec.Struct, array_like=True, frozen=True, tag="changes"):
    """Log command: work that moves to other holders."""

    changes: tuple[Ownership, ...]


class AssignmentVersion(msgspec.Struct, array_like=True, frozen=True):
    """All replicas of all partitions, as two-byte indexes into the list of relay names."""

    version: int
    relays: tuple[str, ...]
    replicas: bytes


class AssignmentChange(msgspec.Struct, array_like=True, frozen=True):
    """Replicas moved from one version to the next: partition and new relay, two bytes each."""

    version: int
    moves: bytes


decode_renewal = msgspec.msgpack.Decoder(Renewal).decode
decode_command = msgspec.msgpack.Decoder(Renewal | OwnershipChanges).decode


class OwnershipTable:
    """Simplified state machine of one voter: ownership with terms, and leases if these are logged."""

    __slots__ = ("leases", "ownerships")

    def __init__(self, owners: tuple[str, ...]) -> None:
        self.ownerships = {owner: Ownership(owner, owner, 1) for owner in owners}
        self.leases = dict.fromkeys(owners, 0)

    def apply(self, data: bytes) -> None:
        """Applies a committed entry; idempotent."""
        command = decode_command(data)
        if isinstance(command, Renewal):
            self.leases[command.owner] = command.sequence
            return
        for ownership in command.changes:
            self.ownerships[ownership.owner] = ownership

    def encode_snapshot(self) -> bytes:
        return encode((tuple(self.ownerships.values()), tuple(self.leases.values())))


@dataclass(slots=True)
class VoterLoad:
    """Work done by one voter."""

    messages: int = 0  # in and out
    bytes: int = 0  # in and out
    bytes_out: int = 0
    processor_ns: int = 0
    entries: int = 0
    written_bytes: int = 0  # bytes of log and snapshots

    def record_received(self, size: int) -> None:
        self.messages += 1
        self.bytes += size

    def record_sent(self, size: int) -> None:
        self.messages += 1
        self.bytes += size
        self.bytes_out += size


@dataclass(slots=True)
class Voter:
    """One voter: its core, its state machine and its load."""

    core: Core
    table: OwnershipTable
    load: VoterLoad = field(default_factory=VoterLoad)


@dataclass(slots=True)
class Quorum:
    """Five voters on a simulated network without faults; messages between two voters keep their order."""

    seed: int
    owners: tuple[str, ...]
    voters: dict[MemberId, Voter] = field(default_factory=dict)
    now: int = 0
    on_read: Callable[[object], None] = lambda token: None
    _events: list[tuple[int, int, Callable[[], None]]] = field(default_factory=list)
    _latency: dict[tuple[MemberId, MemberId], int] = field(default_factory=dict)
    _event_count: int = 0

    def __post_init__(self) -> None:
        rng = random.Random(self.seed)
        names = tuple(MemberId(f"voter-{number}", 1) for number in range(VOTER_COUNT))
        start = Snapshot(0, 0, Membership(names))
        for name in names:
            core = Core(PersistentState(name, snapshot=start), Rules(), random.Random(rng.getrandbits(60)), 0)
            self.voters[name] = Voter(core, OwnershipTable(self.owners))
        for sender in names:
            for receiver in names:
                self._latency[sender, receiver] = rng.randint(MIN_LATENCY_NS, MAX_LATENCY_NS)
        while self.leader is None or self.leader.core.commit_index == 0:
            self.step()
        self.run_until(self.now + WARM_UP_NS)
        self.reset_loads()

    @property
    def leader(self) -> Voter | None:
        return next((voter for voter in self.voters.values() if voter.core.role is Role.LEADER), None)

    @property
    def follower(self) -> Voter:
        return next(voter for voter in self.voters.values() if voter.core.role is Role.FOLLOWER)

    def reset_loads(self) -> None:
        for voter in self.voters.values():
            voter.load = VoterLoad()

    def schedule(self, at: int, action: Callable[[], None]) -> None:
        """Runs an action at a simulated time."""
        self._event_count += 1
        heapq.heappush(self._events, (at, self._event_count, action))

    def run_until(self, end: int) -> None:
        while self._next_time() <= end:
            self.step()
        self.now = end

    def call_core(self, voter: Voter, core_call: Callable[[], object]) -> None:
        """Calls a voter's core, then does the work that it returns: write, apply, send."""
        started_at = time.process_time_ns()
        core_call()
        work = voter.core.take_work()
        messages = [(message.receiver, encode(message)) for message in work.messages]
        written_bytes = sum(len(encode(entry)) for entry in work.entries)
        self._apply(voter, work.committed)
        for token, _ in work.reads:
            self.on_read(token)
        load = voter.load
        load.processor_ns += time.process_time_ns() - started_at
        load.entries += len(work.entries)
        load.written_bytes += written_bytes
        for receiver, data in messages:
            load.record_sent(len(data))
            self._send(voter.core.member_id, receiver, data)

    def _apply(self, voter: Voter, committed: list[Entry]) -> None:
        for entry in committed:
            if entry.kind is EntryKind.COMMAND:
                voter.table.apply(entry.data)
        core = voter.core
        if core.applied_index - core.snapshot.index >= SNAPSHOT_INTERVAL_ENTRIES + LOG_TAIL_ENTRIES:
            # The table already includes the entries of the tail, which can be applied twice.
            snapshot = core.compact(core.applied_index - LOG_TAIL_ENTRIES, voter.table.encode_snapshot())
            voter.load.written_bytes += len(snapshot.data)

    def _send(self, sender: MemberId, receiver: MemberId, data: bytes) -> None:
        voter = self.voters[receiver]

        def deliver() -> None:
            voter.load.record_received(len(data))
            self.call_core(voter, lambda: voter.core.receive(self.now, decode_message(data)))

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
                self.call_core(voter, lambda core=voter.core: core.advance_time(self.now))


class RenewalDesign:
    """Renewals by owners, each at its own phase of the interval; subclasses implement the leader's part."""

    __slots__ = ("granted_count", "leader", "owner_bytes", "quorum", "rejected")

    def __init__(self, quorum: Quorum) -> None:
        self.quorum = quorum
        self.leader = quorum.leader
        self.granted_count = self.rejected = self.owner_bytes = 0

    def run(self) -> None:
        rng = random.Random(self.quorum.seed)
        start = self.quorum.now
        for owner in self.quorum.owners:
            first_renewal_at = start + rng.randrange(RENEWAL_INTERVAL_NS)
            for sequence, at in enumerate(
                range(first_renewal_at, start + RUN_TIME_NS, RENEWAL_INTERVAL_NS), 1
            ):
                data = encode(Renewal(owner, 1, sequence))
                self.quorum.schedule(at, lambda data=data: self._receive_renewal(data))
        self.quorum.run_until(start + RUN_TIME_NS)

    def _receive_renewal(self, data: bytes) -> None:
        self.leader.load.record_received(len(data))
        self.owner_bytes += len(data)
        self.quorum.call_core(self.leader, lambda: self.handle_renewal(decode_renewal(data), data))

    def handle_renewal(self, renewal: Renewal, data: bytes) -> None:
        raise NotImplementedError

    def _send_grant(self, renewal: Renewal) -> None:
        data = encode(Grant(renewal.owner, renewal.term, renewal.sequence, LEASE_NS))
        self.leader.load.record_sent(len(data))
        self.owner_bytes += len(data)
        self.granted_count += 1


class LoggedRenewals(RenewalDesign):
    """Each renewal is an entry; it is granted when the entry is proposed, which costs as much as waiting."""

    __slots__ = ()

    def handle_renewal(self, renewal: Renewal, data: bytes) -> None:
        try:
            self.leader.core.propose(self.quorum.now, data)
        except RequestRejected:
            self.rejected += 1
        else:
            self._send_grant(renewal)


class LeasedRenewals(RenewalDesign):
    """Leases in the leader's memory; one read-index round per heartbeat confirms all pending renewals."""

    __slots__ = ("_confirming", "_leases", "_round_number", "_waiting_renewals")

    def __init__(self, quorum: Quorum) -> None:
        super().__init__(quorum)
        self._leases: dict[str, int] = {}
        self._waiting_renewals: list[Renewal] = []
        self._confirming: dict[int, list[Renewal]] = {}
        self._round_number = 0
        quorum.on_read = self._finish_confirmation

    def handle_renewal(self, renewal: Renewal, data: bytes) -> None:
        if not self._waiting_renewals:
            self.quorum.schedule(
                self.quorum.now + self.leader.core.rules.heartbeat_interval_ns, self._start_confirmation
            )
        self._waiting_renewals.append(renewal)

    def _start_confirmation(self) -> None:
        self._round_number += 1
        self._confirming[self._round_number], self._waiting_renewals = self._waiting_renewals, []
        self.quorum.call_core(
            self.leader, lambda: self.leader.core.request_read(self.quorum.now, self._round_number)
        )

    def _finish_confirmation(self, token: object) -> None:
        for renewal in self._confirming.pop(token):
            self._leases[renewal.owner] = self.quorum.now + LEASE_NS
            self._send_grant(renewal)


DESIGNS: dict[str, type[RenewalDesign]] = {"logged": LoggedRenewals, "leased": LeasedRenewals}


def build_owner_names(size: int) -> tuple[str, ...]:
    return tuple(f"relay-{number:05}" for number in range(size))


def count_lost_owners_by_trouble(size: int) -> dict[str, int]:
    """Returns how many owners are lost at once, by trouble."""
    return {
        "machine": 1,
        "rack": min(RELAYS_PER_RACK, size),
        "zone": math.ceil(size / ZONE_COUNT),
        "region": math.ceil(size / REGION_COUNT),
    }


def measure_renewals(design: str, size: int, seed: int) -> dict[tuple[str, str], float]:
    """Runs one design once and returns the value of each (quantity, unit)."""
    quorum = Quorum(seed, build_owner_names(size))
    renewals = DESIGNS[design](quorum)
    renewals.run()
    seconds = RUN_TIME_NS / SECOND
    leader, follower = quorum.leader.load, quorum.follower.load
    values = {
        ("entries-second", "entries/s"): leader.entries / seconds,
        ("leader-messages-second", "messages/s"): leader.messages / seconds,
        ("follower-messages-second", "messages/s"): follower.messages / seconds,
        ("leader-bytes-second", "B/s"): leader.bytes / seconds,
        ("follower-bytes-second", "B/s"): follower.bytes / seconds,
        ("leader-processor", "s/s"): leader.processor_ns / RUN_TIME_NS,
        ("follower-processor", "s/s"): follower.processor_ns / RUN_TIME_NS,
        ("renewal-processor", "s"): leader.processor_ns / SECOND / max(1, renewals.granted_count),
        ("owner-bytes-second", "B/s"): renewals.owner_bytes / seconds / size,
        ("written-bytes-second", "B/s"): leader.written_bytes / seconds,
    }
    if design == "logged":
        values["renewals-refused", "renewals"] = renewals.rejected
    return {(f"{design}-{quantity}", unit): value for (quantity, unit), value in values.items()}


def measure_changes(size: int, seed: int, lost: int) -> dict[tuple[str, str], float]:
    """Reassigns the work of `lost` owners at once and returns the value of each (quantity, unit)."""
    owners = build_owner_names(size)
    quorum = Quorum(seed, owners)
    leader = quorum.leader
    new_holder = owners[-1]
    changes = [Ownership(owner, new_holder, 2) for owner in owners[:lost]]
    started_at = quorum.now
    for first_change in range(0, lost, CHANGES_PER_ENTRY):
        data = encode(OwnershipChanges(tuple(changes[first_change : first_change + CHANGES_PER_ENTRY])))
        quorum.call_core(leader, lambda data=data: leader.core.propose(quorum.now, data))
    last = leader.core.last_index
    while leader.core.commit_index < last:
        quorum.step()
    return {
        ("changes", "owners"): lost,
        ("change-entries", "entries"): leader.load.entries,
        ("change-bytes", "B"): leader.load.bytes_out,
        ("change-processor", "s"): leader.load.processor_ns / SECOND,
        ("change-commit-time", "s"): (quorum.now - started_at) / SECOND,
    }


def measure_state(size: int) -> dict[tuple[str, str], float]:
    """Returns the value of each (quantity, unit) of a voter's state."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    table = OwnershipTable(build_owner_names(size))
    memory = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return {
        ("state-memory", "B"): memory,
        ("snapshot-bytes", "B"): len(table.encode_snapshot()),
        ("assignment-bytes", "B"): len(encode(build_assignment_version(size))),
    }


def build_assignment_version(relays: int) -> AssignmentVersion:
    """Builds a version with evenly spread replicas; their distribution does not affect its encoded size."""
    replicas = bytearray()
    for number in range(PARTITIONS * REPLICAS):
        replicas += (number % relays).to_bytes(2, "big")
    return AssignmentVersion(1, build_owner_names(relays), bytes(replicas))


def build_assignment_change(relays: int, lost: int) -> AssignmentChange:
    """Builds the moves of all replicas of the lost relays."""
    moved_replicas = math.ceil(PARTITIONS * REPLICAS * lost / relays)
    return AssignmentChange(2, bytes(4 * moved_replicas))


def measure(size: int, seed: int, guard: Guard) -> Iterator[Figure]:
    """Yields all quantities for `size` owners."""
    guard.check_plan(memory=size * BYTES_PER_OWNER, processes=1)
    repeats = REPEAT_COUNT if size < SINGLE_RUN_MIN_OWNERS else 1
    for design in DESIGNS:
        runs = [measure_renewals(design, size, seed + run_index) for run_index in range(repeats)]
        yield from _build_figures(size, "calm", runs, simulated=True)
        guard.check()
    for trouble, lost in count_lost_owners_by_trouble(size).items():
        runs = [measure_changes(size, seed + run_index, lost) for run_index in range(REPEAT_COUNT)]
        yield from _build_figures(size, trouble, runs, simulated=True)
        moves = {("assignment-change-bytes", "B"): len(encode(build_assignment_change(size, lost)))}
        yield from _build_figures(size, trouble, [moves], simulated=False)
        guard.check()
    yield from _build_figures(size, "calm", [measure_state(size)], simulated=False)


def _build_figures(
    size: int, trouble: str, runs: list[dict[tuple[str, str], float]], simulated: bool
) -> Iterator[Figure]:
    """Yields the median of the runs, with their minimum and maximum."""
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
