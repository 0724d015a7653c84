"""Core of a relay's configuration holder: replicates its partitions from one distributor at a time.

The core is deterministic: it does no I/O and reads neither a clock nor a random source. Callers pass the time
in whole nanoseconds.

The holder keeps a replica of each partition assigned to it. It connects to one distributor, in an order given
by rendezvous hashing over its own name, and moves to the next one if the current one times out, is behind the
store, refuses it or is distrusted. A message is applied or refused as a whole: the resulting entries must
have the digest that the message gives. `take_actions` returns the folder writes and the frames to send; the
caller does the writes first, so that an acknowledged version survives a crash of the process.

Invariants: a replica's version never decreases. Entries change without a change of version only after the
store has contradicted the digest held. The assignment version never decreases.

If two sources disagree (same partition and version, different digests), the holder does not decide which is
right: it applies nothing and requests the digest from the configuration store. Whichever is wrong by that
digest is replaced (the replica) or avoided (the distributor). A snapshot has nothing to be compared with: it
is in force at once, and the store's digest is requested afterwards.

Cost: a message is linear in its edits; a hello and `advance_time` are at most linear in the relay's
partitions.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from xxhash import xxh3_64_intdigest

from millweir.configuration.events import (
    ChangeRefused,
    DigestsDisagree,
    DistributorDistrusted,
    DistributorLeft,
    Event,
    GapFound,
    ReplicaReplaced,
    StoredPartitionRefused,
)
from millweir.configuration.messages import (
    Acknowledgement,
    Assign,
    Chunk,
    Delta,
    Disagreement,
    Edit,
    HeldPartition,
    Hello,
    Message,
    PartitionRequest,
    RefusalReason,
    Status,
    Unavailable,
    UnreadableFrame,
    decode_frame,
    encode_frame,
)
from millweir.configuration.pacing import SECOND
from millweir.configuration.partition import (
    apply_edits,
    compute_digest,
    compute_digest_after,
    has_distinct_keys,
)

NEVER = 1 << 62
MAX_BACK_OFF_DOUBLINGS = 8  # of the delay between connection attempts


@dataclass(frozen=True, slots=True)
class HolderRules:
    """Timing and size limits of a holder."""

    distributor_timeout_ns: int = 12 * SECOND  # without a frame from the distributor before leaving it
    hello_retry_interval_ns: int = 3 * SECOND  # while a hello is unanswered
    max_behind_ns: int = 10 * SECOND  # how long a distributor may be behind the store
    request_retry_interval_ns: int = 3 * SECOND  # while a request is unanswered
    min_connect_back_off_ns: int = SECOND // 2  # doubled after each connection without a status
    max_connect_back_off_ns: int = 5 * SECOND
    distrust_period_ns: int = 600 * SECOND
    max_partitions: int = 4_096
    max_partition_bytes: int = 4 << 20  # of a snapshot's keys and values


@dataclass(frozen=True, slots=True)
class StoredReplica:
    """A partition as stored in the relay's folder."""

    version: int
    digest: int
    entries: dict[bytes, bytes]


@dataclass(frozen=True, slots=True)
class WriteDelta:
    """Write: apply edits to the stored partition and set its new version and digest."""

    partition: int
    version: int
    digest: int
    edits: tuple[Edit, ...]


@dataclass(frozen=True, slots=True)
class WriteReplica:
    """Write: replace the stored partition."""

    partition: int
    replica: StoredReplica


@dataclass(frozen=True, slots=True)
class RemoveReplica:
    """Write: remove the stored partition, which is no longer assigned to this relay."""

    partition: int


@dataclass(frozen=True, slots=True)
class WriteAssignment:
    """Write: store which partitions are assigned to this relay."""

    version: int
    partitions: tuple[int, ...]


Write = WriteDelta | WriteReplica | RemoveReplica | WriteAssignment


@dataclass(frozen=True, slots=True)
class DigestRequest:
    """Query the store's digest of a partition at a version; answer by `Holder.receive_store_digest`."""

    partition: int
    version: int


@dataclass(slots=True)
class HolderActions:
    """Actions that the caller has to carry out, in this order."""

    writes: list[Write] = field(default_factory=list)
    connect_to: str | None = None  # close the current connection and connect to this distributor
    frames: list[bytes] = field(default_factory=list)  # to the distributor, after the writes
    digest_requests: list[DigestRequest] = field(default_factory=list)
    events: list[Event] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Dispute:
    """A distributor's digest that is being checked with the configuration store."""

    version: int
    digest: int
    distributor: str


class Replica:
    """State of one partition held by the relay."""

    __slots__ = (
        "digest",
        "dispute",
        "entries",
        "retry_at",
        "required_digest",
        "source",
        "version",
        "requested_full",
    )

    def __init__(self, stored: StoredReplica) -> None:
        self.version = stored.version
        self.digest = stored.digest
        self.entries = stored.entries
        self.source = "folder"  # where the version held came from: the folder or a distributor's name
        self.retry_at = NEVER  # when the open request is repeated
        self.requested_full = False  # whether the open request is for all entries
        self.dispute: Dispute | None = None  # while the store's digest is requested
        # The store's digest at the version held, if the replica's digest was wrong.
        self.required_digest: int | None = None


@dataclass(slots=True)
class SnapshotAssembly:
    """A snapshot of which some chunks have been received."""

    version: int
    digest: int
    chunk_count: int
    chunks: dict[int, tuple[Edit, ...]] = field(default_factory=dict)
    size_bytes: int = 0


class Holder:
    """The configuration replicas of one relay, kept current through one distributor at a time."""

    def __init__(
        self,
        name: str,
        session_number: int,
        distributors: Iterable[str],
        rules: HolderRules,
        now: int,
        assignment: WriteAssignment | None = None,
        stored: Mapping[int, StoredReplica] | None = None,
    ) -> None:
        self.name = name
        self.session_number = session_number  # must exceed all session numbers of earlier starts
        self.rules = rules
        self.assignment_version = 0
        self.replicas: dict[int, Replica] = {}
        self.distributor = ""
        self.connected = self._connecting = False
        self.event_counts: Counter[str] = Counter()
        self._distributor_order = sorted(
            distributors, key=lambda distributor: xxh3_64_intdigest(f"{name}\0{distributor}".encode())
        )
        self._distrusted_until: dict[str, int] = {}
        self._assemblies: dict[int, SnapshotAssembly] = {}
        self._pending_partitions: set[int] = set()  # partitions with an open request or dispute
        self._hello_answered = False
        self._hello_retry_at = NEVER
        self._last_received_at = now
        self._behind_since = NEVER
        self._connect_at = now
        self._failed_connections = 0  # consecutive ones without a status
        self._known_version = 0
        self._actions = HolderActions()
        if assignment is not None:
            self._restore_replicas(assignment, stored or {})

    # --- inputs

    def update_assignment(self, now: int, version: int, partitions: Iterable[int]) -> None:
        """Set the relay's partitions as of an assignment version; older versions are ignored."""
        if self._replace_assignment(version, partitions) and self.connected:
            # The distributor may have missed that a partition was removed and reassigned.
            self._send_hello(now)

    def handle_connection_up(self, now: int, distributor: str) -> None:
        """Start a session on a new connection to a distributor."""
        if distributor != self.distributor:
            return
        self.connected = True
        self._connecting = False
        self._hello_answered = False
        self._last_received_at = now
        self._behind_since = NEVER
        self._send_hello(now)

    def handle_connection_down(self, now: int, distributor: str) -> None:
        """Leave a distributor whose connection was lost or could not be made."""
        if distributor == self.distributor and (self.connected or self._connecting):
            self._leave_distributor(now, "connection lost")

    def receive_frame(self, now: int, distributor: str, frame: bytes) -> None:
        """Handle a frame from the distributor."""
        if distributor != self.distributor or not self.connected:
            return
        self._last_received_at = now
        try:
            message = decode_frame(frame)
        except UnreadableFrame:
            self._emit_refusal(-1, 0, RefusalReason.UNREADABLE)
            return
        self._handle_message(now, message)

    def receive_store_digest(self, now: int, partition_id: int, version: int, digest: int | None) -> None:
        """Resolve a dispute by the store's digest at a version; None if the store no longer has it."""
        replica = self.replicas.get(partition_id)
        if replica is None or replica.dispute is None or replica.dispute.version != version:
            return
        dispute, replica.dispute = replica.dispute, None
        replica.retry_at = NEVER
        self._pending_partitions.discard(partition_id)
        if digest is not None:
            self._resolve_dispute(now, partition_id, replica, dispute, digest)

    def advance_time(self, now: int) -> None:
        """Handle expired timers; call it at `get_next_wake_time`."""
        if not self.connected:
            if now >= self._connect_at:
                self._connect_next(now)
            return
        if now - self._last_received_at >= self.rules.distributor_timeout_ns:
            self._leave_distributor(now, "distributor timed out")
        elif now - self._behind_since >= self.rules.max_behind_ns:
            self._leave_distributor(now, "distributor is behind the store")
        elif not self._hello_answered and now >= self._hello_retry_at:
            self._send_hello(now)
        else:
            self._retry_requests(now)

    def take_actions(self) -> HolderActions:
        """Return the actions collected since the last call."""
        actions, self._actions = self._actions, HolderActions()
        return actions

    def get_next_wake_time(self) -> int:
        """Return when `advance_time` has to be called next."""
        if not self.connected:
            return self._connect_at
        times = [self._last_received_at + self.rules.distributor_timeout_ns]
        if self._behind_since != NEVER:
            times.append(self._behind_since + self.rules.max_behind_ns)
        if not self._hello_answered:
            times.append(self._hello_retry_at)
        times.extend(self.replicas[partition_id].retry_at for partition_id in self._pending_partitions)
        return min(times)

    # --- assignment and connections

    def _replace_assignment(self, version: int, partitions: Iterable[int]) -> bool:
        """Adopt a newer assignment; return False if it is not newer or has too many partitions."""
        assigned = frozenset(partitions)
        if version <= self.assignment_version or len(assigned) > self.rules.max_partitions:
            return False
        self.assignment_version = version
        for partition_id in sorted(self.replicas.keys() - assigned):
            del self.replicas[partition_id]
            self._assemblies.pop(partition_id, None)
            self._pending_partitions.discard(partition_id)
            self._actions.writes.append(RemoveReplica(partition_id))
        for partition_id in sorted(assigned - self.replicas.keys()):
            self.replicas[partition_id] = Replica(StoredReplica(0, 0, {}))
        self._actions.writes.append(WriteAssignment(version, tuple(sorted(assigned))))
        return True

    def _restore_replicas(self, assignment: WriteAssignment, stored: Mapping[int, StoredReplica]) -> None:
        """Load the stored replicas; those that do not match their digests are removed and fetched again."""
        self.assignment_version = assignment.version
        for partition_id in assignment.partitions:
            replica = stored.get(partition_id, StoredReplica(0, 0, {}))
            if compute_digest(replica.entries) != replica.digest:
                self._emit_event(StoredPartitionRefused(partition_id, replica.version))
                self._actions.writes.append(RemoveReplica(partition_id))
                replica = StoredReplica(0, 0, {})
            self.replicas[partition_id] = Replica(replica)

    def _connect_next(self, now: int) -> None:
        """Connect to the next distributor in order, skipping distrusted ones unless all are distrusted."""
        start = self._distributor_order.index(self.distributor) + 1 if self.distributor else 0
        candidates = self._distributor_order[start:] + self._distributor_order[:start]
        trusted = [
            distributor for distributor in candidates if self._distrusted_until.get(distributor, 0) <= now
        ]
        self.distributor = (trusted or candidates)[0]
        # For the case that the caller never reports how the attempt ended.
        self._connect_at = now + self.rules.distributor_timeout_ns
        self._connecting = True
        self._actions.connect_to = self.distributor

    def _leave_distributor(self, now: int, reason: str) -> None:
        """Drop the current distributor and schedule the next connection attempt."""
        self._emit_event(DistributorLeft(self.distributor, reason))
        self.connected = self._connecting = False
        self._assemblies.clear()
        self._connect_at = now + min(
            self.rules.min_connect_back_off_ns << self._failed_connections, self.rules.max_connect_back_off_ns
        )
        self._failed_connections = min(self._failed_connections + 1, MAX_BACK_OFF_DOUBLINGS)

    def _send_hello(self, now: int) -> None:
        self.session_number += 1
        self._hello_retry_at = now + self.rules.hello_retry_interval_ns
        held = tuple(
            HeldPartition(partition_id, replica.version, replica.digest)
            for partition_id, replica in self.replicas.items()
        )
        self._send_message(Hello(self.name, self.session_number, self.assignment_version, held))

    # --- messages

    def _handle_message(self, now: int, message: Message) -> None:
        if isinstance(message, Delta):
            self._handle_delta(now, message)
        elif isinstance(message, Chunk):
            self._handle_chunk(now, message)
        elif isinstance(message, Status):
            self._handle_status(now, message)
        elif isinstance(message, Assign):
            self._replace_assignment(message.version, message.partitions)
        elif isinstance(message, Disagreement):
            self._handle_disagreement(now, message)
        elif isinstance(message, Unavailable):
            self._leave_distributor(now, message.reason)

    def _handle_status(self, now: int, status: Status) -> None:
        self._hello_answered = True
        self._failed_connections = 0
        behind = (
            status.behind
            or status.version < self._known_version
            or status.assignment_version < self.assignment_version
        )
        self._known_version = max(self._known_version, status.version)
        if not behind:
            self._behind_since = NEVER
        elif self._behind_since == NEVER:
            self._behind_since = now
        if status.assignment_version > self.assignment_version:
            self._send_hello(now)  # the Assign message was lost

    def _handle_delta(self, now: int, delta: Delta) -> None:
        replica = self.replicas.get(delta.partition)
        if replica is None:
            return
        if delta.version < replica.version:
            self._send_acknowledgement(delta.partition, replica)
        elif delta.version == replica.version:
            self._handle_same_version(now, delta.partition, replica, delta.version, delta.digest)
        elif delta.previous_version > replica.version:
            self._emit_event(
                GapFound(self.distributor, delta.partition, replica.version, delta.previous_version)
            )
            self._send_request(now, delta.partition, replica, full=False)
        else:
            self._apply_delta(now, replica, delta)

    def _apply_delta(self, now: int, replica: Replica, delta: Delta) -> None:
        """Apply a delta; edits are absolute, so it fits any version from its first to its last."""
        partition_id = delta.partition
        if replica.required_digest is not None or not has_distinct_keys(delta.edits):
            self._emit_refusal(partition_id, delta.version, RefusalReason.DISPUTED)
            return
        if compute_digest_after(replica.entries, replica.digest, delta.edits) != delta.digest:
            self._emit_refusal(partition_id, delta.version, RefusalReason.DIGEST)
            self._open_dispute(now, partition_id, replica, delta.version, delta.digest)
            return
        apply_edits(replica.entries, delta.edits)
        self._actions.writes.append(WriteDelta(partition_id, delta.version, delta.digest, delta.edits))
        self._mark_in_force(partition_id, replica, delta.version, delta.digest)

    def _handle_same_version(
        self, now: int, partition_id: int, replica: Replica, version: int, digest: int
    ) -> None:
        """Acknowledge a message for the version held, or open a dispute if the digests differ."""
        if digest == replica.digest:
            self._send_acknowledgement(partition_id, replica)
            return
        self._emit_refusal(partition_id, version, RefusalReason.DISPUTED)
        self._open_dispute(now, partition_id, replica, version, digest)

    def _handle_chunk(self, now: int, chunk: Chunk) -> None:
        partition_id = chunk.partition
        replica = self.replicas.get(partition_id)
        if replica is None:
            return
        if chunk.version < replica.version or (
            chunk.version == replica.version and replica.required_digest is None
        ):
            self._handle_redundant_chunk(now, partition_id, replica, chunk)
            return
        assembly = self._assemblies.get(partition_id)
        if assembly is None or assembly.version < chunk.version:
            assembly = self._assemblies[partition_id] = SnapshotAssembly(
                chunk.version, chunk.digest, chunk.chunk_count
            )
        if not self._belongs_to_assembly(assembly, chunk):
            del self._assemblies[partition_id]
            self._emit_refusal(partition_id, chunk.version, RefusalReason.DIGEST)
            self._send_request(now, partition_id, replica, full=True)
            return
        if chunk.version > assembly.version or chunk.index in assembly.chunks:
            return
        assembly.chunks[chunk.index] = chunk.entries
        assembly.size_bytes += sum(len(edit.key) + len(edit.value or b"") for edit in chunk.entries)
        replica.retry_at = now + self.rules.request_retry_interval_ns  # the answer is arriving
        if len(assembly.chunks) == assembly.chunk_count:
            del self._assemblies[partition_id]
            self._install_snapshot(now, partition_id, replica, assembly)

    def _handle_redundant_chunk(self, now: int, partition_id: int, replica: Replica, chunk: Chunk) -> None:
        """Answer a chunk of a version that is already held."""
        if chunk.version == replica.version:
            self._handle_same_version(now, partition_id, replica, chunk.version, chunk.digest)
        else:
            self._send_acknowledgement(partition_id, replica)

    def _belongs_to_assembly(self, assembly: SnapshotAssembly, chunk: Chunk) -> bool:
        """Whether a chunk can be part of this snapshot; late chunks of older ones pass and are not used."""
        if chunk.version < assembly.version:
            return True
        return (
            (assembly.digest, assembly.chunk_count) == (chunk.digest, chunk.chunk_count)
            and 0 <= chunk.index < chunk.chunk_count
            and assembly.size_bytes <= self.rules.max_partition_bytes
        )

    def _install_snapshot(
        self, now: int, partition_id: int, replica: Replica, assembly: SnapshotAssembly
    ) -> None:
        """Replace a replica by a complete snapshot; refuse it if its digest is wrong."""
        entries = {
            edit.key: edit.value
            for index in range(assembly.chunk_count)
            for edit in assembly.chunks[index]
            if edit.value is not None
        }
        contradicts_store = (
            assembly.version == replica.version
            and replica.required_digest is not None
            and assembly.digest != replica.required_digest
        )
        if contradicts_store or compute_digest(entries) != assembly.digest:
            reason = RefusalReason.DISPUTED if contradicts_store else RefusalReason.DIGEST
            self._emit_refusal(partition_id, assembly.version, reason)
            self._distrust_distributor(now, self.distributor, partition_id, assembly.version)
            return
        replica.entries = entries
        self._actions.writes.append(
            WriteReplica(partition_id, StoredReplica(assembly.version, assembly.digest, dict(entries)))
        )
        self._mark_in_force(partition_id, replica, assembly.version, assembly.digest)
        self._request_store_digest(
            now, partition_id, replica, Dispute(assembly.version, assembly.digest, self.distributor)
        )

    def _mark_in_force(self, partition_id: int, replica: Replica, version: int, digest: int) -> None:
        """Record the version now held, which ends any open request or dispute, and acknowledge it."""
        replica.version = version
        replica.digest = digest
        replica.source = self.distributor
        replica.required_digest = None
        replica.dispute = None
        replica.retry_at = NEVER
        self._pending_partitions.discard(partition_id)
        self._known_version = max(self._known_version, version)
        self._send_acknowledgement(partition_id, replica)

    def _send_acknowledgement(self, partition_id: int, replica: Replica) -> None:
        if replica.required_digest is None:
            self._send_message(Acknowledgement(partition_id, replica.version))

    # --- requests and disputes

    def _send_request(self, now: int, partition_id: int, replica: Replica, full: bool) -> None:
        """Request missing changes or all entries, unless the same or more is already requested."""
        if replica.retry_at != NEVER and replica.retry_at > now and full <= replica.requested_full:
            return
        replica.retry_at = now + self.rules.request_retry_interval_ns
        replica.requested_full = full
        self._pending_partitions.add(partition_id)
        self._send_message(PartitionRequest(partition_id, replica.version, full))

    def _retry_requests(self, now: int) -> None:
        for partition_id in sorted(self._pending_partitions):
            replica = self.replicas[partition_id]
            if replica.retry_at > now:
                continue
            if replica.dispute is not None:
                self._request_store_digest(now, partition_id, replica, replica.dispute)
            else:
                self._send_request(
                    now, partition_id, replica, replica.requested_full or replica.required_digest is not None
                )

    def _handle_disagreement(self, now: int, message: Disagreement) -> None:
        replica = self.replicas.get(message.partition)
        if replica is not None and replica.version == message.version and replica.digest != message.digest:
            self._emit_refusal(message.partition, message.version, RefusalReason.DISPUTED)
            self._open_dispute(now, message.partition, replica, message.version, message.digest)

    def _open_dispute(self, now: int, partition_id: int, replica: Replica, version: int, digest: int) -> None:
        """Request the store's digest to settle a mismatch, unless one is being settled already."""
        if replica.dispute is not None or replica.required_digest is not None:
            return
        self._emit_event(DigestsDisagree(partition_id, version, replica.source, self.distributor))
        self._request_store_digest(now, partition_id, replica, Dispute(version, digest, self.distributor))

    def _request_store_digest(self, now: int, partition_id: int, replica: Replica, dispute: Dispute) -> None:
        """Request the store's digest for a dispute; repeated until it is answered."""
        replica.dispute = dispute
        replica.retry_at = now + self.rules.request_retry_interval_ns
        self._pending_partitions.add(partition_id)
        self._actions.digest_requests.append(DigestRequest(partition_id, dispute.version))

    def _resolve_dispute(
        self, now: int, partition_id: int, replica: Replica, dispute: Dispute, digest: int
    ) -> None:
        """Act on the store's digest: the distributor, the replica held, or both can be wrong."""
        if dispute.digest != digest:
            self._distrust_distributor(now, dispute.distributor, partition_id, dispute.version)
        if dispute.version == replica.version and digest != replica.digest:
            replica.required_digest = digest
            self._emit_event(ReplicaReplaced(partition_id, replica.version))
            self._send_request(now, partition_id, replica, full=True)
        elif dispute.version > replica.version and dispute.digest == digest:
            self._send_request(now, partition_id, replica, full=True)

    def _distrust_distributor(self, now: int, distributor: str, partition_id: int, version: int) -> None:
        self._distrusted_until[distributor] = now + self.rules.distrust_period_ns
        self._emit_event(DistributorDistrusted(distributor, partition_id, version))
        if distributor == self.distributor:
            self._leave_distributor(now, "distributor is distrusted")

    def _emit_refusal(self, partition_id: int, version: int, reason: RefusalReason) -> None:
        self._emit_event(ChangeRefused(self.distributor, partition_id, version, reason))

    def _send_message(self, message: Message) -> None:
        if self.connected:
            self._actions.frames.append(encode_frame(message))

    def _emit_event(self, event: Event) -> None:
        self.event_counts[type(event).__name__] += 1
        self._actions.events.append(event)
