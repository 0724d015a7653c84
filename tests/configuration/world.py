"""Simulates the store, distributors, relays with folders, and a network that loses, duplicates and reorders.

After every event the invariants are checked (`Simulation.check_relay`, `Simulation.check_progress`):

- a replica's version never decreases, in memory or in the folder, unless the folder is replaced;
- entries at a version equal the store's at that version, in memory and in the folder;
- no change is in force everywhere that one of its holders has never had;
- kept state is bounded, and no connection carries more than its byte budget in any second.
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
from millweir.configuration.partition import apply_edits, compute_digest

SECOND = 1_000_000_000
MILLISECOND = 1_000_000
MAX_RELAY_BYTES_PER_SECOND = 11_000  # in any second, to one relay
MAX_EVENTS = 25_000  # of one case


@dataclass
class Cores:
    """The classes under test; a mutant replaces one of them."""

    Distributor: type = distributor_module.Distributor
    Holder: type = holder_module.Holder
    Progress: type = progress_module.Progress


@dataclass
class Network:
    """Delays of messages, and the probabilities that one is lost, duplicated or corrupted."""

    min_delay_ns: int = MILLISECOND
    max_delay_ns: int = 50 * MILLISECOND
    loss_rate: float = 0.0
    duplicate_rate: float = 0.0
    corruption_rate: float = 0.0


class ConfigurationStore:
    """The configuration store, with every version of every partition for comparison."""

    def __init__(self, partitions: int, entries: int, rng: random.Random, max_log_changes: int = 40) -> None:
        self.rng = rng
        self.version = 0
        self.log: deque[Change] = deque(maxlen=max_log_changes)
        self.entries = [
            {b"destination-%d-%d" % (partition_id, one): rng.randbytes(90) for one in range(entries)}
            for partition_id in range(partitions)
        ]
        self.versions = [0] * partitions
        self.partition_of: dict[int, int] = {}
        self.history: dict[tuple[int, int], dict[bytes, bytes]] = {}
        for partition_id in range(partitions):
            self.version += 1
            self.versions[partition_id] = self.version
            self.partition_of[self.version] = partition_id
            self.history[partition_id, self.version] = dict(self.entries[partition_id])
            self.history[partition_id, 0] = {}

    def compute_digest_at(self, partition_id: int, version: int) -> int:
        return compute_digest(self.history[partition_id, version])

    def make_change(self, partition_id: int | None = None, edits: int = 1) -> Change:
        rng = self.rng
        partition_id = rng.randrange(len(self.entries)) if partition_id is None else partition_id
        entries = self.entries[partition_id]
        keys = {b"destination-%d-%d" % (partition_id, rng.randrange(40)) for _ in range(edits)}
        edits_made = tuple(
            Edit(key, None if key in entries and rng.random() < 0.2 else rng.randbytes(90))
            for key in sorted(keys)
        )
        apply_edits(entries, edits_made)
        self.version += 1
        previous_version, self.versions[partition_id] = self.versions[partition_id], self.version
        self.partition_of[self.version] = partition_id
        self.history[partition_id, self.version] = dict(entries)
        change = Change(self.version, partition_id, previous_version, edits_made, compute_digest(entries))
        self.log.append(change)
        return change


@dataclass
class Folder:
    """A relay's folder on disk."""

    assignment: WriteAssignment | None = None
    replicas: dict[int, StoredReplica] = field(default_factory=dict)

    def copy(self) -> Folder:
        replicas = {
            partition_id: StoredReplica(one.version, one.digest, dict(one.entries))
            for partition_id, one in self.replicas.items()
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
    """One relay's process and folder, and what the checks remember about it."""

    name: str
    folder: Folder = field(default_factory=Folder)
    holder: object = None
    connection_id: int = 0
    start_count: int = 0
    timer_at: int = 0
    min_versions: dict[int, int] = field(default_factory=dict)  # by partition, of the current folder
    highest_versions: Counter = field(default_factory=Counter)  # by partition, over all folders
    events: list = field(default_factory=list)


@dataclass
class DistributorProcess:
    """One distributor's process; its core is None while it is stopped or hangs."""

    name: str
    core: object = None
    incarnation: int = 0
    timer_at: int = 0
    store_unreachable: bool = False
    events: list = field(default_factory=list)


@dataclass
class Connection:
    """A connection between a relay and a distributor, with its traffic."""

    relay: str
    distributor: str
    incarnation: int
    up: bool = True
    sent: deque = field(default_factory=deque)  # (time, bytes) of the last second
    sent_bytes: int = 0
    bytes_to_relay: int = 0
    frames: list = field(default_factory=list)


class Simulation:
    """The store, distributors, relays and network, driven by a heap of timed calls."""

    def __init__(
        self,
        seed: int,
        cores: Cores,
        distributors: int = 3,
        relays: int = 6,
        partitions: int = 10,
        replicas: int = 3,
        entries: int = 20,
        network: Network | None = None,
        rules: DistributorRules | None = None,
        keep_frames: bool = False,
    ) -> None:
        self.rng = random.Random(seed)
        self.cores = cores
        self.network = network or Network()
        self.rules = rules or DistributorRules()
        self.keep_frames = keep_frames
        self.now = 0
        self.store = ConfigurationStore(partitions, entries, self.rng)
        self.scheduled_calls: list[tuple[int, int, Callable]] = []
        self.last_id = 0
        self.event_count = 0
        self.max_events = MAX_EVENTS
        self.connections: dict[int, Connection] = {}
        self.assignment_version = 1
        self.assignments: dict[str, Assignment] = {}
        self.distributors = {
            f"distributor-{one}": DistributorProcess(f"distributor-{one}") for one in range(distributors)
        }
        self.relays = {f"relay-{one}": Relay(f"relay-{one}") for one in range(relays)}
        self.disconnected_relays: set[str] = set()  # relays that cannot reach any distributor
        # Relay and partition of replicas that a tampered distributor may have sent.
        self.tampered_replicas: set[tuple[str, int]] = set()
        self.checked_in_force = 0
        self.digest_replies = 0  # answers of the store to digest requests
        names = list(self.relays)
        held = defaultdict(set)
        for partition_id in range(partitions):
            for name in self.rng.sample(names, min(replicas, len(names))):
                held[name].add(partition_id)
        self.assignments = {name: Assignment(1, frozenset(held[name] or {0})) for name in names}
        self.progress = cores.Progress(dict(enumerate(self.store.versions)), self.store.version)
        self.progress.update_assignments(1, self.assignments)
        for name in self.distributors:
            self.start_distributor(name)
        self.send_store_heartbeats()

    # --- time

    def schedule(self, delay: int, call: Callable) -> None:
        self.last_id += 1
        heapq.heappush(self.scheduled_calls, (self.now + delay, self.last_id, call))

    def run_for(self, seconds: float) -> None:
        end = self.now + round(seconds * SECOND)
        while self.scheduled_calls and self.scheduled_calls[0][0] <= end:
            self.now, _, call = heapq.heappop(self.scheduled_calls)
            self.event_count += 1
            assert self.event_count < self.max_events, f"too many events; {self.describe_state()}"
            call()
            self.check_progress()
        self.now = end

    def run_until(self, condition: Callable[[], bool], seconds: float, what: str) -> None:
        end = self.now + round(seconds * SECOND)
        while not condition():
            assert self.now < end, f"not within {seconds} s: {what}; {self.describe_state()}"
            self.run_for(0.5)

    def run_until_converged(self, seconds: float = 120) -> None:
        """Run until every live, reachable relay has the store's versions and the coordinator knows it."""
        self.run_until(self.has_converged, seconds, "converged")

    def has_converged(self) -> bool:
        live = [
            one
            for one in self.relays.values()
            if one.holder is not None and one.name not in self.disconnected_relays
        ]
        for relay in live:
            for partition_id in self.assignments[relay.name].partitions:
                replica = relay.holder.replicas.get(partition_id)
                if replica is None or replica.version != self.store.versions[partition_id]:
                    return False
                if replica.entries != self.store.entries[partition_id]:
                    return False
        if len(live) < len(self.relays):
            return True
        return self.progress.in_force == self.store.version and self.progress.is_complete()

    def describe_state(self) -> str:
        rows = [
            f"{one.name}@{one.holder.distributor} "
            + str(
                {
                    partition_id: (
                        one.holder.replicas[partition_id].version,
                        self.store.versions[partition_id],
                    )
                    for partition_id in one.holder.replicas
                    if one.holder.replicas[partition_id].version != self.store.versions[partition_id]
                }
            )
            for one in self.relays.values()
            if one.holder
        ]
        progress = self.progress
        return f"in force {progress.in_force} of {self.store.version}, {progress.find_lagging(4)}, {rows}"

    def send_store_heartbeats(self) -> None:
        version = self.store.version
        for distributor in self.distributors.values():
            if distributor.core is not None and not distributor.store_unreachable:
                distributor.core.receive_store_heartbeat(self.now, version)
                self.process_distributor_output(distributor)
        self.schedule(2 * SECOND, self.send_store_heartbeats)

    # --- store

    def make_change(self, partition_id: int | None = None, edits: int = 1) -> Change:
        change = self.store.make_change(partition_id, edits)
        self.progress.record_change(change.version, change.partition)
        for distributor in self.distributors.values():
            self.transmit(lambda distributor=distributor: self.deliver_change(distributor, change))
        return change

    def deliver_change(self, distributor: DistributorProcess, change: Change) -> None:
        if distributor.core is not None and not distributor.store_unreachable:
            distributor.core.receive_change(self.now, change)
            self.process_distributor_output(distributor)

    def make_changes(self, count: int, seconds: float, edits: int = 1) -> None:
        """Make changes at random times and run the simulation meanwhile."""
        for _ in range(count):
            self.run_for(self.rng.random() * 2 * seconds / count)
            self.make_change(edits=edits)

    def serve_store_fetch(self, distributor: DistributorProcess, incarnation: int, after: int) -> None:
        """Send a distributor its missing changes if the log reaches back, otherwise all partitions."""
        if (
            distributor.core is None
            or distributor.incarnation != incarnation
            or distributor.store_unreachable
        ):
            return
        log = self.store.log
        if after and log and log[0].version <= after + 1:
            for change in list(log):
                if change.version > after:
                    distributor.core.receive_change(self.now, change)
        else:
            for partition_id, version in enumerate(self.store.versions):
                self.install_partition(distributor, partition_id, version)
            distributor.core.finish_loading(self.now, self.store.version)
            distributor.core.update_assignments(self.now, self.assignment_version, self.assignments)
        self.process_distributor_output(distributor)

    def install_partition(self, distributor: DistributorProcess, partition_id: int, version: int) -> None:
        entries = dict(self.store.entries[partition_id])
        assert distributor.core.install_partition(
            self.now, partition_id, version, entries, compute_digest(entries)
        )

    def update_assignments(self, assignments: dict[str, set[int]]) -> None:
        """Publish the next version of the assignment."""
        self.assignment_version += 1
        version = self.assignment_version
        new_assignments = {name: Assignment(version, frozenset(held)) for name, held in assignments.items()}
        self.assignments.update(new_assignments)
        self.progress.update_assignments(version, new_assignments)
        for distributor in self.distributors.values():
            if distributor.core is not None:
                distributor.core.update_assignments(self.now, version, new_assignments)
                self.process_distributor_output(distributor)

    def move_partition(self, partition_id: int) -> None:
        """Move a partition from one holder to a relay that does not hold it."""
        names = sorted(self.relays)
        holders = [name for name in names if partition_id in self.assignments[name].partitions]
        others = [name for name in names if name not in holders]
        before, after = self.rng.choice(holders), self.rng.choice(others)
        self.update_assignments(
            {
                before: set(self.assignments[before].partitions) - {partition_id},
                after: set(self.assignments[after].partitions) | {partition_id},
            }
        )

    # --- processes

    def start_distributor(self, name: str) -> None:
        distributor = self.distributors[name]
        distributor.incarnation += 1
        distributor.core = self.cores.Distributor(name, distributor.incarnation, self.rules, self.now)
        distributor.core.receive_store_heartbeat(self.now, self.store.version)
        self.process_distributor_output(distributor)

    def stop_distributor(self, name: str) -> None:
        distributor = self.distributors[name]
        distributor.core = None
        for connection_id, connection in list(self.connections.items()):
            if connection.distributor == name:
                self.close_connection(connection_id)

    def start_relay(self, name: str, folder: Folder | None = None) -> None:
        """Start a relay with its current folder, or with a copy of another one."""
        relay = self.relays[name]
        if folder is not None:
            relay.folder = folder.copy()
            relay.min_versions = {}
        relay.start_count += 1
        relay.holder = self.cores.Holder(
            name,
            relay.start_count * 1_000,
            self.distributors,
            HolderRules(),
            self.now,
            relay.folder.assignment,
            relay.folder.copy().replicas,
        )
        self.process_relay_actions(relay)

    def start_relays(self) -> None:
        for name in self.relays:
            self.start_relay(name)

    def stop_relay(self, name: str) -> None:
        relay = self.relays[name]
        relay.holder = None
        if relay.connection_id:
            self.close_connection(relay.connection_id)

    def disconnect_relay(self, name: str) -> None:
        self.disconnected_relays.add(name)
        if self.relays[name].connection_id:
            self.close_connection(self.relays[name].connection_id)

    def reconnect_relays(self) -> None:
        self.disconnected_relays.clear()

    def close_connection(self, connection_id: int) -> None:
        """Close a connection; each end is notified after a delay of its own."""
        connection = self.connections.pop(connection_id, None)
        if connection is None:
            return
        connection.up = False
        distributor = self.distributors[connection.distributor]
        if distributor.core is not None and distributor.incarnation == connection.incarnation:
            self.schedule(
                self.draw_delay(),
                lambda: self.notify_distributor_disconnect(
                    distributor, connection.incarnation, connection_id
                ),
            )
        relay = self.relays[connection.relay]
        if relay.connection_id == connection_id:
            relay.connection_id = 0
            holder = relay.holder
            self.schedule(
                self.draw_delay(), lambda: self.notify_relay_disconnect(relay, holder, connection.distributor)
            )

    def notify_distributor_disconnect(
        self, distributor: DistributorProcess, incarnation: int, connection_id: int
    ) -> None:
        if distributor.core is not None and distributor.incarnation == incarnation:
            distributor.core.handle_disconnect(self.now, connection_id)
            self.process_distributor_output(distributor)

    def notify_relay_disconnect(self, relay: Relay, holder: object, distributor: str) -> None:
        if relay.holder is holder is not None and not relay.connection_id:
            holder.handle_connection_down(self.now, distributor)
            self.process_relay_actions(relay)

    def connect_relay(self, relay: Relay, holder: object, name: str) -> None:
        if relay.holder is not holder:
            return
        if relay.connection_id:
            self.close_connection(relay.connection_id)
            relay.connection_id = 0
        distributor = self.distributors[name]
        if distributor.core is None or relay.name in self.disconnected_relays:
            holder.handle_connection_down(self.now, name)
        else:
            self.last_id += 1
            relay.connection_id = self.last_id
            self.connections[relay.connection_id] = Connection(relay.name, name, distributor.incarnation)
            holder.handle_connection_up(self.now, name)
        self.process_relay_actions(relay)

    # --- network

    def draw_delay(self) -> int:
        return self.rng.randint(self.network.min_delay_ns, self.network.max_delay_ns)

    def transmit(self, call: Callable) -> None:
        """Lose, delay or duplicate each message on its own, so that messages overtake each other."""
        if self.rng.random() < self.network.loss_rate:
            return
        self.schedule(self.draw_delay(), call)
        if self.rng.random() < self.network.duplicate_rate:
            self.schedule(2 * self.draw_delay(), call)

    def maybe_corrupt(self, frame: bytes) -> bytes:
        if self.rng.random() >= self.network.corruption_rate:
            return frame
        at = self.rng.randrange(len(frame))
        return frame[:at] + bytes([frame[at] ^ (1 << self.rng.randrange(8))]) + frame[at + 1 :]

    def deliver_to_relay(self, connection_id: int, frame: bytes) -> None:
        connection = self.connections.get(connection_id)
        relay = self.relays[connection.relay] if connection else None
        if relay is not None and relay.connection_id == connection_id and relay.holder is not None:
            relay.holder.receive_frame(self.now, connection.distributor, frame)
            self.process_relay_actions(relay)

    def deliver_to_distributor(self, connection_id: int, frame: bytes) -> None:
        connection = self.connections.get(connection_id)
        distributor = self.distributors[connection.distributor] if connection else None
        if (
            distributor is not None
            and distributor.core is not None
            and distributor.incarnation == connection.incarnation
        ):
            distributor.core.receive_frame(self.now, connection_id, frame)
            self.process_distributor_output(distributor)

    def deliver_to_coordinator(self, distributor: DistributorProcess, frame: bytes) -> None:
        report = decode_frame(frame)
        assert isinstance(report, Report)
        if not self.progress.record_report(self.now, report) and distributor.core is not None:
            distributor.core.request_full_report()
            self.process_distributor_output(distributor)

    # --- output of the cores

    def process_distributor_output(self, distributor: DistributorProcess) -> None:
        output = distributor.core.run_turn(self.now)
        distributor.events.extend(output.events)
        for outgoing in output.frames:
            connection = self.connections.get(outgoing.connection_id)
            if connection is None:
                continue
            self.record_sent_bytes(connection, len(outgoing.frame))
            if self.keep_frames:
                connection.frames.append(decode_frame(outgoing.frame))
            frame = self.maybe_corrupt(outgoing.frame)
            self.transmit(
                lambda connection_id=outgoing.connection_id, frame=frame: self.deliver_to_relay(
                    connection_id, frame
                )
            )
        for frame in output.reports:
            self.transmit(lambda frame=frame: self.deliver_to_coordinator(distributor, frame))
        incarnation = distributor.incarnation
        if output.fetch_changes_after is not None and not distributor.store_unreachable:
            after = output.fetch_changes_after
            self.schedule(self.draw_delay(), lambda: self.serve_store_fetch(distributor, incarnation, after))
        for partition_id in output.fetch_partitions:
            self.schedule(
                self.draw_delay(),
                lambda partition_id=partition_id: self.repair_partition(
                    distributor, incarnation, partition_id
                ),
            )
        self.check_distributor(distributor)
        self.set_timer(
            distributor,
            distributor.core,
            distributor.core.get_next_wake_time(self.now),
            self.process_distributor_output,
        )

    def repair_partition(self, distributor: DistributorProcess, incarnation: int, partition_id: int) -> None:
        if (
            distributor.core is not None
            and distributor.incarnation == incarnation
            and not distributor.store_unreachable
        ):
            self.install_partition(distributor, partition_id, self.store.versions[partition_id])
            self.process_distributor_output(distributor)

    def process_relay_actions(self, relay: Relay) -> None:
        holder = relay.holder
        actions = holder.take_actions()
        for write in actions.writes:
            relay.folder.write(write)
        self.check_relay(relay)
        for frame in actions.frames:
            if relay.connection_id:
                frame = self.maybe_corrupt(frame)
                self.transmit(
                    lambda connection_id=relay.connection_id, frame=frame: self.deliver_to_distributor(
                        connection_id, frame
                    )
                )
        for request in actions.digest_requests:
            if relay.name not in self.disconnected_relays:
                self.transmit(lambda request=request: self.answer_digest_request(relay, holder, request))
        if actions.connect_to is not None:
            self.schedule(self.draw_delay(), lambda: self.connect_relay(relay, holder, actions.connect_to))
        relay.events.extend(actions.events)
        self.set_timer(relay, holder, holder.get_next_wake_time(), self.advance_relay)

    def advance_relay(self, relay: Relay) -> None:
        relay.holder.advance_time(self.now)
        self.process_relay_actions(relay)

    def answer_digest_request(self, relay: Relay, holder: object, request: object) -> None:
        if relay.holder is holder:
            self.digest_replies += 1
            known = (request.partition, request.version) in self.store.history
            digest = self.store.compute_digest_at(request.partition, request.version) if known else None
            holder.receive_store_digest(self.now, request.partition, request.version, digest)
            self.process_relay_actions(relay)

    def set_timer(self, owner: object, core: object, at: int, call: Callable) -> None:
        """Set the owner's only timer; an earlier time replaces a later one."""
        if owner.timer_at > self.now and owner.timer_at <= at:
            return
        owner.timer_at = max(at, self.now + MILLISECOND)
        armed_at = owner.timer_at

        def fire() -> None:
            if owner.timer_at == armed_at:
                owner.timer_at = 0
                if core is (owner.holder if isinstance(owner, Relay) else owner.core):
                    call(owner)

        self.schedule(owner.timer_at - self.now, fire)

    # --- invariants

    def check_relay(self, relay: Relay) -> None:
        if set(relay.folder.replicas) - set(relay.holder.replicas):
            raise AssertionError(f"{relay.name}: the folder has unassigned partitions")
        for partition_id in set(relay.min_versions) - set(relay.holder.replicas):
            del relay.min_versions[partition_id]
        for partition_id, replica in relay.holder.replicas.items():
            min_version = relay.min_versions.get(partition_id, 0)
            assert (
                replica.version >= min_version
            ), f"{relay.name}: {partition_id} decreased from {min_version} to {replica.version}"
            relay.min_versions[partition_id] = replica.version
            relay.highest_versions[partition_id] = max(relay.highest_versions[partition_id], replica.version)
            stored = relay.folder.replicas.get(partition_id, StoredReplica(0, 0, {}))
            assert (stored.version, stored.digest) == (replica.version, replica.digest), "the folder differs"
            if (relay.name, partition_id) not in self.tampered_replicas:
                assert (
                    replica.entries == self.store.history[partition_id, replica.version]
                ), f"{relay.name}: partition {partition_id} at {replica.version} differs from the store's"
                assert stored.entries == replica.entries, "the folder's entries differ"

    def check_distributor(self, distributor: DistributorProcess) -> None:
        core = distributor.core
        assert len(core.sessions) <= self.rules.max_relays
        assert all(len(one.log or ()) <= self.rules.max_log_changes for one in core.partitions.values())
        assert len(core._timers) <= 16 * (len(self.relays) + 1), "too many timers"

    def check_progress(self) -> None:
        progress = self.progress
        assert progress.in_force >= self.checked_in_force, "the version in force decreased"
        while self.checked_in_force < progress.in_force:
            self.checked_in_force += 1
            version = self.checked_in_force
            partition_id = self.store.partition_of[version]
            for name, assignment in self.assignments.items():
                if partition_id in assignment.partitions:
                    assert (
                        self.relays[name].highest_versions[partition_id] >= version
                    ), f"{version} is reported in force everywhere, but {name} never had it"

    def record_sent_bytes(self, connection: Connection, size: int) -> None:
        connection.sent.append((self.now, size))
        connection.sent_bytes += size
        connection.bytes_to_relay += size
        while connection.sent[0][0] <= self.now - SECOND:
            connection.sent_bytes -= connection.sent.popleft()[1]
        assert (
            connection.sent_bytes <= MAX_RELAY_BYTES_PER_SECOND
        ), f"{connection.relay}: {connection.sent_bytes} bytes in a second"
