"""A simulated register, distributors, relays with folders, and a network that loses, repeats and reorders.

After every event the rules are checked (`World.check_relay`, `World.check_progress`):

- a replica's version never falls, in memory or in the folder, while the folder lives;
- entries at a version are the register's at that version, in memory and in the folder;
- nothing is in force everywhere that one of its holders has never had;
- what is kept is bounded, and no link takes more than its budget in any second.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter, defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass, field

import millweir.configuration.core as distributor_module
import millweir.configuration.holder as holder_module
import millweir.configuration.progress as progress_module
from millweir.configuration.core import Assignment, DistributorRules
from millweir.configuration.holder import (
    HolderRules,
    RemoveReplica,
    StoredReplica,
    WriteAssignment,
    WriteDelta,
    WriteReplica,
)
from millweir.configuration.messages import Change, Edit, Report, decode_frame
from millweir.configuration.partition import apply_edits, digest_of

SECOND = 1_000_000_000
MILLISECOND = 1_000_000
BUDGET = 11_000  # bytes a relay in any second
STEPS_MOST = 25_000  # of one case


@dataclass
class Cores:
    """The classes under test; a mutant replaces one of them."""

    Distributor: type = distributor_module.Distributor
    Holder: type = holder_module.Holder
    Progress: type = progress_module.Progress


@dataclass
class Network:
    """What happens to each message."""

    least: int = MILLISECOND
    most: int = 50 * MILLISECOND
    loss: float = 0.0
    repeat: float = 0.0
    garble: float = 0.0


class Register:
    """The configuration as it is: every version of every partition, for comparison."""

    def __init__(self, partitions: int, entries: int, chance: random.Random, log_most: int = 40) -> None:
        self.chance = chance
        self.version = 0
        self.log: deque[Change] = deque(maxlen=log_most)
        self.entries = [
            {b"destination-%d-%d" % (number, one): chance.randbytes(90) for one in range(entries)}
            for number in range(partitions)
        ]
        self.versions = [0] * partitions
        self.partition_of: dict[int, int] = {}
        self.history: dict[tuple[int, int], dict[bytes, bytes]] = {}
        for number in range(partitions):
            self.version += 1
            self.versions[number] = self.version
            self.partition_of[self.version] = number
            self.history[number, self.version] = dict(self.entries[number])
            self.history[number, 0] = {}

    def digest(self, number: int, version: int) -> int:
        return digest_of(self.history[number, version])

    def next_change(self, number: int | None = None, edits: int = 1) -> Change:
        chance = self.chance
        number = chance.randrange(len(self.entries)) if number is None else number
        entries = self.entries[number]
        keys = {b"destination-%d-%d" % (number, chance.randrange(40)) for _ in range(edits)}
        made = tuple(
            Edit(key, None if key in entries and chance.random() < 0.2 else chance.randbytes(90))
            for key in sorted(keys)
        )
        apply_edits(entries, made)
        self.version += 1
        previous, self.versions[number] = self.versions[number], self.version
        self.partition_of[self.version] = number
        self.history[number, self.version] = dict(entries)
        change = Change(self.version, number, previous, made, digest_of(entries))
        self.log.append(change)
        return change


@dataclass
class Folder:
    """A relay's disk."""

    assignment: WriteAssignment | None = None
    replicas: dict[int, StoredReplica] = field(default_factory=dict)

    def copy(self) -> Folder:
        replicas = {
            number: StoredReplica(one.version, one.digest, dict(one.entries))
            for number, one in self.replicas.items()
        }
        return Folder(self.assignment, replicas)

    def write(self, write: object) -> None:
        if isinstance(write, WriteAssignment):
            self.assignment = write
        elif isinstance(write, WriteReplica):
            self.replicas[write.partition] = StoredReplica(
                write.replica.version, write.replica.digest, dict(write.replica.entries)
            )
        elif isinstance(write, RemoveReplica):
            self.replicas.pop(write.partition, None)
        elif isinstance(write, WriteDelta):
            before = self.replicas.get(write.partition, StoredReplica(0, 0, {}))
            entries = dict(before.entries)
            apply_edits(entries, write.edits)
            self.replicas[write.partition] = StoredReplica(write.version, write.digest, entries)


@dataclass
class Relay:
    name: str
    folder: Folder = field(default_factory=Folder)
    holder: object = None
    link: int = 0
    starts: int = 0
    timer: int = 0
    floors: dict[int, int] = field(default_factory=dict)  # least version allowed, by partition
    reached: Counter = field(default_factory=Counter)  # greatest version ever held, by partition
    events: list = field(default_factory=list)


@dataclass
class Machine:
    """One distributor's process."""

    name: str
    core: object = None
    life: int = 0
    timer: int = 0
    register_cut: bool = False
    events: list = field(default_factory=list)


@dataclass
class Link:
    relay: str
    machine: str
    life: int
    up: bool = True
    sent: deque = field(default_factory=deque)  # (time, bytes) of the last second
    sent_bytes: int = 0
    bytes_to_relay: int = 0
    frames: list = field(default_factory=list)


class World:
    """All of it, driven by a heap of timed calls."""

    def __init__(
        self,
        seed: int,
        cores: Cores,
        machines: int = 3,
        relays: int = 6,
        partitions: int = 10,
        replicas: int = 3,
        entries: int = 20,
        network: Network | None = None,
        rules: DistributorRules | None = None,
        keep_frames: bool = False,
    ) -> None:
        self.chance = random.Random(seed)
        self.cores = cores
        self.network = network or Network()
        self.rules = rules or DistributorRules()
        self.keep_frames = keep_frames
        self.now = 0
        self.register = Register(partitions, entries, self.chance)
        self.calls: list[tuple[int, int, Callable]] = []
        self.number = 0
        self.steps = 0
        self.steps_most = STEPS_MOST
        self.links: dict[int, Link] = {}
        self.assignment = 1
        self.moves: dict[str, Assignment] = {}
        self.machines = {f"distributor-{one}": Machine(f"distributor-{one}") for one in range(machines)}
        self.relays = {f"relay-{one}": Relay(f"relay-{one}") for one in range(relays)}
        self.cut: set[str] = set()  # relays that reach nobody
        self.tampered: set[tuple[str, int]] = (
            set()
        )  # relay and partition that a tampered distributor may have told
        self.said_in_force = 0
        self.replies = 0  # words given by the register
        names = list(self.relays)
        held = defaultdict(set)
        for number in range(partitions):
            for name in self.chance.sample(names, min(replicas, len(names))):
                held[name].add(number)
        self.moves = {name: Assignment(1, frozenset(held[name] or {0})) for name in names}
        self.progress = cores.Progress(dict(enumerate(self.register.versions)), self.register.version)
        self.progress.assign(1, self.moves)
        for name in self.machines:
            self.start_machine(name)
        self.heartbeat()

    # --- time

    def at(self, delay: int, call: Callable) -> None:
        self.number += 1
        heapq.heappush(self.calls, (self.now + delay, self.number, call))

    def run(self, seconds: float) -> None:
        end = self.now + round(seconds * SECOND)
        while self.calls and self.calls[0][0] <= end:
            self.now, _, call = heapq.heappop(self.calls)
            self.steps += 1
            assert self.steps < self.steps_most, f"runs away; {self.state()}"
            call()
            self.check_progress()
        self.now = end

    def run_until(self, reached: Callable[[], bool], seconds: float, what: str) -> None:
        end = self.now + round(seconds * SECOND)
        while not reached():
            assert self.now < end, f"not within {seconds} s: {what}; {self.state()}"
            self.run(0.5)

    def settle(self, seconds: float = 120) -> None:
        """Every live reachable relay ends on the register's versions, and that is known."""
        self.run_until(self.converged, seconds, "converged")

    def converged(self) -> bool:
        live = [one for one in self.relays.values() if one.holder is not None and one.name not in self.cut]
        for relay in live:
            for number in self.moves[relay.name].partitions:
                replica = relay.holder.replicas.get(number)
                if replica is None or replica.version != self.register.versions[number]:
                    return False
                if replica.entries != self.register.entries[number]:
                    return False
        if len(live) < len(self.relays):
            return True
        return self.progress.in_force == self.register.version and self.progress.complete()

    def state(self) -> str:
        rows = [
            f"{one.name}@{one.holder.distributor} "
            + str(
                {
                    number: (one.holder.replicas[number].version, self.register.versions[number])
                    for number in one.holder.replicas
                    if one.holder.replicas[number].version != self.register.versions[number]
                }
            )
            for one in self.relays.values()
            if one.holder
        ]
        progress = self.progress
        return f"in force {progress.in_force} of {self.register.version}, {progress.lagging(4)}, {rows}"

    def heartbeat(self) -> None:
        version = self.register.version
        for machine in self.machines.values():
            if machine.core is not None and not machine.register_cut:
                machine.core.register_at(self.now, version)
                self.after_machine(machine)
        self.at(2 * SECOND, self.heartbeat)

    # --- register

    def change(self, number: int | None = None, edits: int = 1) -> Change:
        change = self.register.next_change(number, edits)
        self.progress.change(change.version, change.partition)
        for machine in self.machines.values():
            self.carry(lambda machine=machine: self.give_change(machine, change))
        return change

    def give_change(self, machine: Machine, change: Change) -> None:
        if machine.core is not None and not machine.register_cut:
            machine.core.change(self.now, change)
            self.after_machine(machine)

    def changes(self, count: int, seconds: float, edits: int = 1) -> None:
        """Changes at random times, run through."""
        for _ in range(count):
            self.run(self.chance.random() * 2 * seconds / count)
            self.change(edits=edits)

    def serve_register(self, machine: Machine, life: int, after: int) -> None:
        """What a distributor lacks, as changes where the log reaches, else all partitions."""
        if machine.core is None or machine.life != life or machine.register_cut:
            return
        log = self.register.log
        if after and log and log[0].version <= after + 1:
            for change in list(log):
                if change.version > after:
                    machine.core.change(self.now, change)
        else:
            for number, version in enumerate(self.register.versions):
                self.install(machine, number, version)
            machine.core.installed(self.now, self.register.version)
            machine.core.assign(self.now, self.assignment, self.moves)
        self.after_machine(machine)

    def install(self, machine: Machine, number: int, version: int) -> None:
        entries = dict(self.register.entries[number])
        assert machine.core.install(self.now, number, version, entries, digest_of(entries))

    def assign(self, moves: dict[str, set[int]]) -> None:
        """The next version of the assignment."""
        self.assignment += 1
        version = self.assignment
        made = {name: Assignment(version, frozenset(held)) for name, held in moves.items()}
        self.moves.update(made)
        self.progress.assign(version, made)
        for machine in self.machines.values():
            if machine.core is not None:
                machine.core.assign(self.now, version, made)
                self.after_machine(machine)

    def move(self, number: int) -> None:
        """A partition goes from one holder to a relay that does not hold it."""
        names = sorted(self.relays)
        holders = [name for name in names if number in self.moves[name].partitions]
        others = [name for name in names if name not in holders]
        before, after = self.chance.choice(holders), self.chance.choice(others)
        self.assign(
            {
                before: set(self.moves[before].partitions) - {number},
                after: set(self.moves[after].partitions) | {number},
            }
        )

    # --- processes

    def start_machine(self, name: str) -> None:
        machine = self.machines[name]
        machine.life += 1
        machine.core = self.cores.Distributor(name, machine.life, self.rules, self.now)
        machine.core.register_at(self.now, self.register.version)
        self.after_machine(machine)

    def kill_machine(self, name: str) -> None:
        machine = self.machines[name]
        machine.core = None
        for number, link in list(self.links.items()):
            if link.machine == name:
                self.break_link(number)

    def start_relay(self, name: str, folder: Folder | None = None) -> None:
        """Start with the folder at hand, or with another one."""
        relay = self.relays[name]
        if folder is not None:
            relay.folder = folder.copy()
            relay.floors = {}
        relay.starts += 1
        relay.holder = self.cores.Holder(
            name,
            relay.starts * 1_000,
            self.machines,
            HolderRules(),
            self.now,
            relay.folder.assignment,
            relay.folder.copy().replicas,
        )
        self.after_relay(relay)

    def start_relays(self) -> None:
        for name in self.relays:
            self.start_relay(name)

    def kill_relay(self, name: str) -> None:
        relay = self.relays[name]
        relay.holder = None
        if relay.link:
            self.break_link(relay.link)

    def cut_relay(self, name: str) -> None:
        self.cut.add(name)
        if self.relays[name].link:
            self.break_link(self.relays[name].link)

    def heal(self) -> None:
        self.cut.clear()

    def break_link(self, number: int) -> None:
        """Both ends notice, each in its time."""
        link = self.links.pop(number, None)
        if link is None:
            return
        link.up = False
        machine = self.machines[link.machine]
        if machine.core is not None and machine.life == link.life:
            self.at(self.delay(), lambda: self.link_lost(machine, link.life, number))
        relay = self.relays[link.relay]
        if relay.link == number:
            relay.link = 0
            holder = relay.holder
            self.at(self.delay(), lambda: self.connection_lost(relay, holder, link.machine))

    def link_lost(self, machine: Machine, life: int, number: int) -> None:
        if machine.core is not None and machine.life == life:
            machine.core.disconnected(self.now, number)
            self.after_machine(machine)

    def connection_lost(self, relay: Relay, holder: object, machine: str) -> None:
        if relay.holder is holder is not None and not relay.link:
            holder.connection_down(self.now, machine)
            self.after_relay(relay)

    def connect(self, relay: Relay, holder: object, name: str) -> None:
        if relay.holder is not holder:
            return
        if relay.link:
            self.break_link(relay.link)
            relay.link = 0
        machine = self.machines[name]
        if machine.core is None or relay.name in self.cut:
            holder.connection_down(self.now, name)
        else:
            self.number += 1
            relay.link = self.number
            self.links[relay.link] = Link(relay.name, name, machine.life)
            holder.connection_up(self.now, name)
        self.after_relay(relay)

    # --- network

    def delay(self) -> int:
        return self.chance.randint(self.network.least, self.network.most)

    def carry(self, call: Callable) -> None:
        """Lost, late, twice: each message on its own, so they overtake each other."""
        if self.chance.random() < self.network.loss:
            return
        self.at(self.delay(), call)
        if self.chance.random() < self.network.repeat:
            self.at(2 * self.delay(), call)

    def garbled(self, frame: bytes) -> bytes:
        if self.chance.random() >= self.network.garble:
            return frame
        at = self.chance.randrange(len(frame))
        return frame[:at] + bytes([frame[at] ^ (1 << self.chance.randrange(8))]) + frame[at + 1 :]

    def to_relay(self, number: int, frame: bytes) -> None:
        link = self.links.get(number)
        relay = self.relays[link.relay] if link else None
        if relay is not None and relay.link == number and relay.holder is not None:
            relay.holder.receive(self.now, link.machine, frame)
            self.after_relay(relay)

    def to_machine(self, number: int, frame: bytes) -> None:
        link = self.links.get(number)
        machine = self.machines[link.machine] if link else None
        if machine is not None and machine.core is not None and machine.life == link.life:
            machine.core.receive(self.now, number, frame)
            self.after_machine(machine)

    def to_progress(self, machine: Machine, frame: bytes) -> None:
        report = decode_frame(frame)
        assert isinstance(report, Report)
        if not self.progress.report(self.now, report) and machine.core is not None:
            machine.core.report_requested()
            self.after_machine(machine)

    # --- after each call of a core

    def after_machine(self, machine: Machine) -> None:
        output = machine.core.turn(self.now)
        machine.events.extend(output.events)
        for outgoing in output.frames:
            link = self.links.get(outgoing.link)
            if link is None:
                continue
            self.count_bytes(link, len(outgoing.frame))
            if self.keep_frames:
                link.frames.append(decode_frame(outgoing.frame))
            frame = self.garbled(outgoing.frame)
            self.carry(lambda number=outgoing.link, frame=frame: self.to_relay(number, frame))
        for frame in output.reports:
            self.carry(lambda frame=frame: self.to_progress(machine, frame))
        life = machine.life
        if output.fetch_after is not None and not machine.register_cut:
            after = output.fetch_after
            self.at(self.delay(), lambda: self.serve_register(machine, life, after))
        for number in output.fetch_partitions:
            self.at(self.delay(), lambda number=number: self.repair(machine, life, number))
        self.check_machine(machine)
        self.set_timer(machine, machine.core, machine.core.wake_at(self.now), self.after_machine)

    def repair(self, machine: Machine, life: int, number: int) -> None:
        if machine.core is not None and machine.life == life and not machine.register_cut:
            self.install(machine, number, self.register.versions[number])
            self.after_machine(machine)

    def after_relay(self, relay: Relay) -> None:
        holder = relay.holder
        step = holder.step()
        for write in step.writes:
            relay.folder.write(write)
        self.check_relay(relay)
        for frame in step.frames:
            if relay.link:
                frame = self.garbled(frame)
                self.carry(lambda number=relay.link, frame=frame: self.to_machine(number, frame))
        for word in step.words:
            if relay.name not in self.cut:
                self.carry(lambda word=word: self.give_word(relay, holder, word))
        if step.connect is not None:
            self.at(self.delay(), lambda: self.connect(relay, holder, step.connect))
        relay.events.extend(step.events)
        self.set_timer(relay, holder, holder.wake_at(), self.tick_relay)

    def tick_relay(self, relay: Relay) -> None:
        relay.holder.tick(self.now)
        self.after_relay(relay)

    def give_word(self, relay: Relay, holder: object, word: object) -> None:
        if relay.holder is holder:
            self.replies += 1
            known = (word.partition, word.version) in self.register.history
            digest = self.register.digest(word.partition, word.version) if known else None
            holder.word(self.now, word.partition, word.version, digest)
            self.after_relay(relay)

    def set_timer(self, owner: object, core: object, at: int, call: Callable) -> None:
        """One timer for each owner; an earlier one replaces it."""
        if owner.timer > self.now and owner.timer <= at:
            return
        owner.timer = max(at, self.now + MILLISECOND)
        mine = owner.timer

        def fire() -> None:
            if owner.timer == mine:
                owner.timer = 0
                if core is (owner.holder if isinstance(owner, Relay) else owner.core):
                    call(owner)

        self.at(owner.timer - self.now, fire)

    # --- rules

    def check_relay(self, relay: Relay) -> None:
        if set(relay.folder.replicas) - set(relay.holder.replicas):
            raise AssertionError(f"{relay.name}: the folder has partitions that are not held")
        for number in set(relay.floors) - set(relay.holder.replicas):
            del relay.floors[number]
        for number, replica in relay.holder.replicas.items():
            floor = relay.floors.get(number, 0)
            assert replica.version >= floor, f"{relay.name}: {number} fell from {floor} to {replica.version}"
            relay.floors[number] = replica.version
            relay.reached[number] = max(relay.reached[number], replica.version)
            stored = relay.folder.replicas.get(number, StoredReplica(0, 0, {}))
            assert (stored.version, stored.digest) == (replica.version, replica.digest), "the folder differs"
            if (relay.name, number) not in self.tampered:
                assert (
                    replica.entries == self.register.history[number, replica.version]
                ), f"{relay.name}: partition {number} at {replica.version} is not the register's"
                assert stored.entries == replica.entries, "the folder's entries differ"

    def check_machine(self, machine: Machine) -> None:
        core = machine.core
        assert len(core.sessions) <= self.rules.relays_most
        assert all(len(one.log or ()) <= self.rules.log_most for one in core.partitions.values())
        assert len(core._timers) <= 16 * (len(self.relays) + 1), "timers pile up"

    def check_progress(self) -> None:
        progress = self.progress
        assert progress.in_force >= self.said_in_force, "what is in force everywhere fell"
        while self.said_in_force < progress.in_force:
            self.said_in_force += 1
            version = self.said_in_force
            number = self.register.partition_of[version]
            for name, assignment in self.moves.items():
                if number in assignment.partitions:
                    assert (
                        self.relays[name].reached[number] >= version
                    ), f"{version} is said to be in force everywhere, {name} never had it"

    def count_bytes(self, link: Link, size: int) -> None:
        link.sent.append((self.now, size))
        link.sent_bytes += size
        link.bytes_to_relay += size
        while link.sent[0][0] <= self.now - SECOND:
            link.sent_bytes -= link.sent.popleft()[1]
        assert link.sent_bytes <= BUDGET, f"{link.relay}: {link.sent_bytes} bytes in a second"
