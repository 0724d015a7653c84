"""Core of a distributor, which sends the configuration to relays.

The core is deterministic: it does no I/O and reads neither a clock nor a random source. Callers pass the time
in whole nanoseconds.

The configuration store sends all changes to every distributor, in order. A relay is attached to one
distributor at a time, and its hello lists the partition versions in its folder. The session then tracks, for
each partition of the relay, the acknowledged version and the version in flight; a partition whose
acknowledged version is not the latest is *outdated*. An outdated partition is sent as a delta if the change
log reaches back to the relay's version, otherwise as a snapshot in chunks. Deltas precede snapshots, sessions
are served round-robin, and two levels of token buckets limit the bytes: one bucket for each relay and one for
the whole distributor.

Acknowledgements are aggregated: a `Report` to the coordinator has only the rows that differ from the last
report.

Cost: a change takes one step for each attached holder of its partition, an acknowledgement is linear in the
outdated partitions of its relay, and a turn is linear in the frames it sends and the timers that have
expired. Only a full report and `install_partition` iterate over the sessions or the destinations.
"""

from __future__ import annotations

import heapq
from collections import Counter, OrderedDict, deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from millweir.configuration.events import (
    Event,
    RelayUnavailable,
    SnapshotStarted,
    StoreDigestMismatch,
    StoreGapFound,
    UnreadableFrameDropped,
)
from millweir.configuration.messages import (
    CAUGHT_UP,
    MAX_RELAY_NAME_LENGTH,
    Acknowledgement,
    Assign,
    Change,
    Chunk,
    Disagreement,
    Hello,
    Message,
    PartitionRequest,
    RelayProgress,
    Report,
    Status,
    Unavailable,
    UnreadableFrame,
    decode_frame,
    encode_frame,
)
from millweir.configuration.pacing import SECOND, TokenBucket
from millweir.configuration.partition import Partition, compute_digest


class Assignment(NamedTuple):
    """The partitions of one relay, and the assignment version at which they last changed."""

    version: int
    partitions: frozenset[int]


UNASSIGNED = Assignment(0, frozenset())


class CachedDelta(NamedTuple):
    """An encoded delta, shared by all relays with the same base version, and its resulting version."""

    frame: bytes
    version: int


class InFlight(NamedTuple):
    """The version of a partition that was sent and is not acknowledged yet."""

    version: int
    sent_at: int


@dataclass(frozen=True, slots=True)
class DistributorRules:
    """Timing, bandwidth and size limits of a distributor."""

    # To one relay; rate and burst together stay under 11 KB in any second.
    relay_bytes_per_second: int = 8_000
    relay_burst_bytes: int = 2_700
    total_bytes_per_second: int = 8_000_000  # to all relays
    total_burst_bytes: int = 1_000_000
    max_message_bytes: int = 2_000  # of edits in one delta or chunk
    max_log_changes: int = 64  # of one partition
    max_log_bytes: int = 16_384  # of one partition
    max_relays: int = 1_000
    max_partitions_per_relay: int = 4_096
    acknowledgement_timeout_ns: int = 3 * SECOND  # from sending a delta or last chunk
    status_interval_ns: int = 5 * SECOND
    min_report_interval_ns: int = SECOND // 10  # between two reports
    idle_report_interval_ns: int = 2 * SECOND  # while nothing changes
    store_timeout_ns: int = 5 * SECOND  # after which the distributor counts as behind
    min_fetch_interval_ns: int = SECOND  # between requests to the store
    max_cached_frames: int = 1_024
    max_messages_per_turn: int = 256


@dataclass(frozen=True, slots=True)
class OutgoingFrame:
    """A frame to send on a relay's connection."""

    connection_id: int
    frame: bytes


@dataclass(slots=True)
class TurnOutput:
    """Actions that the caller has to carry out after a turn."""

    frames: list[OutgoingFrame] = field(default_factory=list)
    connections_to_close: list[int] = field(default_factory=list)  # after their frames are sent
    reports: list[bytes] = field(default_factory=list)  # frames for the coordinator
    fetch_changes_after: int | None = None  # request all later changes from the store
    fetch_partitions: list[int] = field(default_factory=list)  # request these in full from the store
    events: list[Event] = field(default_factory=list)


class Session:
    """State of one relay's connection."""

    __slots__ = (
        "acknowledged_versions",
        "assignment_version",
        "bucket",
        "pending_chunks",
        "pending_deltas",
        "outdated_partitions",
        "connection_id",
        "session_number",
        "is_queued",
        "relay",
        "has_retry_timer",
        "in_flight",
        "pending_snapshots",
        "control_messages",
    )

    def __init__(self, relay: str, session_number: int, connection_id: int, bucket: TokenBucket) -> None:
        self.relay = relay
        self.session_number = session_number
        self.connection_id = connection_id
        self.bucket = bucket
        self.assignment_version = 0
        self.acknowledged_versions: dict[int, int] = {}  # by partition
        self.in_flight: dict[int, InFlight] = {}
        self.outdated_partitions: set[int] = set()
        self.control_messages: deque[Message] = deque()  # replies, statuses and assignments; sent first
        self.pending_deltas: dict[int, None] = {}  # partitions in sending order; the values are unused
        self.pending_snapshots: dict[int, None] = {}
        self.pending_chunks: deque[Chunk] = deque()  # of the snapshot being sent
        self.is_queued = False  # in the distributor's ready queue, or waiting for its token bucket
        self.has_retry_timer = False

    def get_next_base_version(self, partition_id: int) -> int:
        """Return the version of a partition from which the next delta starts."""
        in_flight = self.in_flight.get(partition_id)
        return self.acknowledged_versions[partition_id] if in_flight is None else in_flight.version

    def has_pending_messages(self) -> bool:
        return bool(
            self.control_messages or self.pending_deltas or self.pending_chunks or self.pending_snapshots
        )


class Distributor:
    """One of the processes that hold the whole configuration and distribute it to relays."""

    def __init__(self, name: str, incarnation: int, rules: DistributorRules, now: int) -> None:
        self.name = name
        self.incarnation = incarnation
        self.rules = rules
        self.version = 0
        self.loaded = False  # relays are refused until the first load is complete
        self.partitions: dict[int, Partition] = {}
        self.assignment_version = 0
        self.assignments: dict[str, Assignment] = {}
        self.sessions: dict[str, Session] = {}
        self.sessions_by_connection: dict[int, Session] = {}
        self.sessions_by_partition: dict[int, dict[str, Session]] = {}  # then by relay name
        self.event_counts: Counter[str] = Counter()
        self._total_bucket = TokenBucket(rules.total_bytes_per_second, rules.total_burst_bytes, now)
        self._ready_sessions: deque[Session] = deque()
        self._timers: list[tuple[int, int, str, Session]] = []
        self._last_timer_id = 0
        self._delta_cache: OrderedDict[tuple[int, int, int], CachedDelta] = OrderedDict()
        self._store_version = 0
        self._store_last_seen_at = now
        self._next_fetch_at = now
        self._mismatched_partitions: set[int] = set()
        self._report_sequence = 0
        self._full_report_requested = True
        self._reported_rows: dict[str, RelayProgress] = {}
        self._changed_relays: dict[str, None] = {}
        self._detached_rows: dict[str, RelayProgress] = {}  # since the last report
        self._reported_version = -1
        self._next_report_at = now
        self._output = TurnOutput()

    # --- configuration store

    def receive_store_heartbeat(self, now: int, version: int) -> None:
        """Record that the store is alive and that `version` is its latest change."""
        self._store_last_seen_at = now
        self._store_version = max(self._store_version, version)
        if self._store_version > self.version or not self.loaded:
            self._request_changes(now)

    def receive_change(self, now: int, change: Change) -> None:
        """Apply the store's next change; duplicates are ignored, missing changes are requested."""
        self._store_last_seen_at = now
        self._store_version = max(self._store_version, change.version)
        if not self.loaded or change.version <= self.version:
            return
        if change.version != self.version + 1:
            self._emit_event(StoreGapFound(self.version, change.version))
            self._request_changes(now)
            return
        self.version = change.version
        partition = self._get_or_create_partition(change.partition)
        if change.partition in self._mismatched_partitions or not partition.can_apply(change):
            self._mark_mismatched(change)
            return
        partition.apply_change(change)
        self._queue_changed_partition(now, change.partition)

    def install_partition(
        self, now: int, partition_id: int, version: int, entries: dict[bytes, bytes], digest: int
    ) -> bool:
        """Replace a partition with the store's copy; return False if the entries do not match the digest."""
        current = self.partitions.get(partition_id)
        repaired = partition_id in self._mismatched_partitions
        if current is not None and (
            version < current.version or (version == current.version and not repaired)
        ):
            return True
        if compute_digest(entries) != digest:
            self._emit_event(StoreDigestMismatch(partition_id, version))
            return False
        rules = self.rules
        self.partitions[partition_id] = Partition(
            version, entries, digest, rules.max_log_changes, rules.max_log_bytes
        )
        self._mismatched_partitions.discard(partition_id)
        self._queue_changed_partition(now, partition_id)
        return True

    def finish_loading(self, now: int, version: int) -> None:
        """Record that all partitions have been installed as of this version of the store."""
        self._store_last_seen_at = now
        self._store_version = max(self._store_version, version)
        self.version = max(self.version, version)
        self.loaded = True

    def update_assignments(self, now: int, version: int, assignments: Mapping[str, Assignment]) -> None:
        """Change the partitions of these relays as of an assignment version; other relays keep theirs."""
        if version <= self.assignment_version:
            return
        self.assignment_version = version
        for relay, assignment in assignments.items():
            session = self.sessions.get(relay)
            if assignment.partitions or session is not None:
                self.assignments[relay] = assignment
            else:
                self.assignments.pop(relay, None)
            if session is not None:
                self._apply_assignment(now, session)

    # --- relays

    def receive_frame(self, now: int, connection_id: int, frame: bytes) -> None:
        """Handle a frame from a relay's connection."""
        session = self.sessions_by_connection.get(connection_id)
        try:
            message = decode_frame(frame)
        except UnreadableFrame:
            self._emit_event(UnreadableFrameDropped(session.relay if session else ""))
            return
        if isinstance(message, Hello):
            self._handle_hello(now, connection_id, message)
        elif session is None:
            return
        elif isinstance(message, Acknowledgement):
            self._handle_acknowledgement(now, session, message.partition, message.version)
        elif isinstance(message, PartitionRequest):
            self._handle_request(now, session, message)

    def handle_disconnect(self, now: int, connection_id: int) -> None:
        """Detach the relay of a connection that was lost."""
        session = self.sessions_by_connection.get(connection_id)
        if session is not None:
            self._detach_session(session)

    def request_full_report(self) -> None:
        """Make the next report a full one, as the coordinator asked."""
        self._full_report_requested = True

    # --- turns

    def run_turn(self, now: int) -> TurnOutput:
        """Return what has to be done now; call it after any other method and at `get_next_wake_time`."""
        self._run_timers(now)
        self._send_frames(now)
        self._send_report(now)
        if self.loaded and self._mismatched_partitions and now >= self._next_fetch_at:
            self._next_fetch_at = now + self.rules.min_fetch_interval_ns
            self._output.fetch_partitions.extend(sorted(self._mismatched_partitions))
        output, self._output = self._output, TurnOutput()
        return output

    def get_next_wake_time(self, now: int) -> int:
        """Return when `run_turn` has to be called next if no other method is called before."""
        times = [self._get_next_report_time()]
        if self._timers:
            times.append(self._timers[0][0])
        if self._ready_sessions:
            times.append(now + max(1, self._total_bucket.compute_delay(now, self.rules.max_message_bytes)))
        if self._mismatched_partitions:
            times.append(self._next_fetch_at)
        return min(times)

    def is_behind(self, now: int) -> bool:
        """Whether the store has later changes, or has not sent anything within the time-out."""
        return (
            self.version < self._store_version or now - self._store_last_seen_at > self.rules.store_timeout_ns
        )

    # --- changes

    def _get_or_create_partition(self, partition_id: int) -> Partition:
        partition = self.partitions.get(partition_id)
        if partition is None:
            rules = self.rules
            partition = Partition(0, {}, 0, rules.max_log_changes, rules.max_log_bytes)
            self.partitions[partition_id] = partition
        return partition

    def _queue_changed_partition(self, now: int, partition_id: int) -> None:
        """Queue a changed partition for the attached relays that do not have its latest version."""
        latest = self.partitions[partition_id].version
        for session in self.sessions_by_partition.get(partition_id, {}).values():
            self._changed_relays[session.relay] = None
            if session.acknowledged_versions[partition_id] >= latest:
                session.outdated_partitions.discard(partition_id)
                continue
            session.outdated_partitions.add(partition_id)
            self._queue_partition(now, session, partition_id)

    def _mark_mismatched(self, change: Change) -> None:
        """Stop sending a partition until it has been fetched in full from the store."""
        self._emit_event(StoreDigestMismatch(change.partition, change.version))
        self._mismatched_partitions.add(change.partition)
        for session in self.sessions_by_partition.get(change.partition, {}).values():
            session.outdated_partitions.add(change.partition)
            self._changed_relays[session.relay] = None

    def _request_changes(self, now: int) -> None:
        """Make the caller fetch the store's later changes, at most once per interval."""
        if now < self._next_fetch_at:
            return
        self._next_fetch_at = now + self.rules.min_fetch_interval_ns
        self._output.fetch_changes_after = self.version if self.loaded else 0

    # --- sessions

    def _handle_hello(self, now: int, connection_id: int, hello: Hello) -> None:
        """Start or refuse a session; a relay's new session keeps the token bucket of its previous one."""
        reason = self._find_refusal_reason(hello)
        if reason:
            self._emit_event(RelayUnavailable(hello.relay[:MAX_RELAY_NAME_LENGTH], reason))
            self._output.frames.append(OutgoingFrame(connection_id, encode_frame(Unavailable(reason))))
            self._output.connections_to_close.append(connection_id)
            return
        other_session = self.sessions_by_connection.get(connection_id)
        if other_session is not None and other_session.relay != hello.relay:
            self._detach_session(other_session)
        previous_session = self.sessions.get(hello.relay)
        if previous_session is not None:
            if previous_session.session_number > hello.session_number:
                return
            self._detach_session(previous_session)
        bucket = TokenBucket(self.rules.relay_bytes_per_second, self.rules.relay_burst_bytes, now)
        if previous_session is not None:
            bucket = previous_session.bucket
        session = Session(hello.relay, hello.session_number, connection_id, bucket)
        self.sessions[hello.relay] = session
        self.sessions_by_connection[connection_id] = session
        for held in hello.partitions:
            session.acknowledged_versions[held.partition] = held.version
        self._apply_assignment(now, session, hello.assignment_version)
        for held in hello.partitions:
            self._compare_digest(session, held.partition, held.version, held.digest)
        self._queue_status(now, session)

    def _find_refusal_reason(self, hello: Hello) -> str:
        """Return why a hello is refused, empty if it is accepted; the text is sent to the relay."""
        if not self.loaded:
            return "it is loading"
        if (
            not 0 < len(hello.relay) <= MAX_RELAY_NAME_LENGTH
            or len(hello.partitions) > self.rules.max_partitions_per_relay
        ):
            return "the hello is out of bounds"
        if hello.relay not in self.sessions and len(self.sessions) >= self.rules.max_relays:
            return "it serves as many relays as it may"
        return ""

    def _compare_digest(self, session: Session, partition_id: int, version: int, digest: int) -> None:
        """Notify a relay whose digest of a partition differs from the one here at the same version."""
        partition = self.partitions.get(partition_id)
        if (
            partition is None
            or partition_id not in session.acknowledged_versions
            or partition_id in self._mismatched_partitions
        ):
            return
        own_digest = partition.get_digest_at(version)
        if own_digest is not None and own_digest != digest:
            session.control_messages.append(Disagreement(partition_id, version, own_digest))

    def _apply_assignment(self, now: int, session: Session, held_assignment: int = -1) -> None:
        """Bring a session's partitions in line with the relay's assignment."""
        version, partitions = self.assignments.get(session.relay, UNASSIGNED)
        for partition_id in session.acknowledged_versions.keys() - partitions:
            self._drop_partition(session, partition_id)
        session.assignment_version = version
        for partition_id in sorted(partitions):
            self.sessions_by_partition.setdefault(partition_id, {})[session.relay] = session
            latest = self._get_or_create_partition(partition_id).version
            if (
                session.acknowledged_versions.setdefault(partition_id, 0) < latest
                or partition_id in self._mismatched_partitions
            ):
                session.outdated_partitions.add(partition_id)
                self._queue_partition(now, session, partition_id)
        if held_assignment < version:
            session.control_messages.append(Assign(version, tuple(sorted(partitions))))
            self._queue_session(session)
        self._changed_relays[session.relay] = None

    def _drop_partition(self, session: Session, partition_id: int) -> None:
        """Remove a partition from a session, with everything queued or in flight for it."""
        del session.acknowledged_versions[partition_id]
        session.in_flight.pop(partition_id, None)
        session.outdated_partitions.discard(partition_id)
        session.pending_deltas.pop(partition_id, None)
        session.pending_snapshots.pop(partition_id, None)
        if session.pending_chunks and session.pending_chunks[0].partition == partition_id:
            session.pending_chunks.clear()
        sessions = self.sessions_by_partition.get(partition_id)
        if sessions is not None and sessions.get(session.relay) is session:
            del sessions[session.relay]
            if not sessions:
                del self.sessions_by_partition[partition_id]

    def _detach_session(self, session: Session) -> None:
        """End a session and keep its last row for the next report."""
        acknowledged_version = self._get_acknowledged_version(session)
        for partition_id in list(session.acknowledged_versions):
            self._drop_partition(session, partition_id)
        self.sessions_by_connection.pop(session.connection_id, None)
        if self.sessions.get(session.relay) is session:
            del self.sessions[session.relay]
        session.control_messages.clear()
        self._detached_rows[session.relay] = RelayProgress(
            session.relay,
            session.session_number,
            session.assignment_version,
            False,
            self.version if acknowledged_version == CAUGHT_UP else acknowledged_version,
        )
        self._changed_relays[session.relay] = None
        assignment = self.assignments.get(session.relay)
        if assignment is not None and not assignment.partitions:
            del self.assignments[session.relay]

    def _handle_acknowledgement(self, now: int, session: Session, partition_id: int, version: int) -> None:
        acknowledged_version = session.acknowledged_versions.get(partition_id)
        partition = self.partitions.get(partition_id)
        if (
            acknowledged_version is None
            or partition is None
            or version <= acknowledged_version
            or version > partition.version
        ):
            return
        session.acknowledged_versions[partition_id] = version
        in_flight = session.in_flight.get(partition_id)
        if in_flight is not None and version >= in_flight.version:
            del session.in_flight[partition_id]
        if version == partition.version and partition_id not in self._mismatched_partitions:
            session.outdated_partitions.discard(partition_id)
            session.pending_deltas.pop(partition_id, None)
            session.pending_snapshots.pop(partition_id, None)
        self._changed_relays[session.relay] = None

    def _handle_request(self, now: int, session: Session, request: PartitionRequest) -> None:
        """Queue the changes after the requested version, or a snapshot."""
        partition_id = request.partition
        if partition_id not in session.acknowledged_versions:
            return
        session.in_flight.pop(partition_id, None)
        session.pending_deltas.pop(partition_id, None)
        session.acknowledged_versions[partition_id] = (
            0 if request.full else min(session.acknowledged_versions[partition_id], request.version)
        )
        session.outdated_partitions.add(partition_id)
        self._changed_relays[session.relay] = None
        if partition_id in self._mismatched_partitions:
            return
        if request.full:
            if not session.pending_chunks or session.pending_chunks[0].partition != partition_id:
                session.pending_snapshots[partition_id] = None
            self._queue_session(session)
        else:
            self._queue_partition(now, session, partition_id)

    # --- sending

    def _queue_partition(self, now: int, session: Session, partition_id: int) -> None:
        """Queue the changes of a partition after the last version sent, as a delta or a snapshot."""
        sending_snapshot = (
            bool(session.pending_chunks) and session.pending_chunks[0].partition == partition_id
        )
        if (
            sending_snapshot
            or partition_id in session.pending_snapshots
            or partition_id in self._mismatched_partitions
        ):
            return
        base_version = session.get_next_base_version(partition_id)
        if base_version < self.partitions[partition_id].log_start_version:
            session.pending_snapshots[partition_id] = None
            self._emit_event(SnapshotStarted(session.relay, partition_id, base_version))
        else:
            session.pending_deltas[partition_id] = None
        self._queue_session(session)

    def _queue_status(self, now: int, session: Session) -> None:
        session.control_messages.append(Status(self.version, session.assignment_version, self.is_behind(now)))
        self._add_timer(now + self.rules.status_interval_ns, "status", session)
        self._queue_session(session)

    def _queue_session(self, session: Session) -> None:
        if not session.is_queued:
            session.is_queued = True
            self._ready_sessions.append(session)

    def _send_frames(self, now: int) -> None:
        """Send one message per ready session, round-robin, until the byte or message budget is used up."""
        for _ in range(self.rules.max_messages_per_turn):
            if not self._ready_sessions or self._total_bucket.compute_delay(
                now, self.rules.max_message_bytes
            ):
                return
            session = self._ready_sessions.popleft()
            session.is_queued = False
            if self.sessions.get(session.relay) is not session or not session.has_pending_messages():
                continue
            delay = session.bucket.compute_delay(now, self.rules.max_message_bytes)
            session.is_queued = True
            if delay:
                self._add_timer(now + delay, "ready", session)
                continue
            frame = self._take_next_frame(now, session)
            if frame is not None:
                session.bucket.consume(now, len(frame))
                self._total_bucket.consume(now, len(frame))
                self._output.frames.append(OutgoingFrame(session.connection_id, frame))
            self._ready_sessions.append(session)

    def _take_next_frame(self, now: int, session: Session) -> bytes | None:
        """Encode a session's most urgent message; return None if it is no longer needed."""
        if session.control_messages:
            return encode_frame(session.control_messages.popleft())
        if session.pending_deltas:
            partition_id = next(iter(session.pending_deltas))
            del session.pending_deltas[partition_id]
            return self._build_delta_frame(now, session, partition_id)
        if not session.pending_chunks:
            partition_id = next(iter(session.pending_snapshots))
            del session.pending_snapshots[partition_id]
            session.pending_chunks = self.partitions[partition_id].build_snapshot(
                partition_id, self.rules.max_message_bytes
            )
        chunk = session.pending_chunks.popleft()
        if not session.pending_chunks:
            self._mark_sent(now, session, chunk.partition, chunk.version)
            if self.partitions[chunk.partition].version > chunk.version:
                self._queue_partition(now, session, chunk.partition)
        return encode_frame(chunk)

    def _build_delta_frame(self, now: int, session: Session, partition_id: int) -> bytes | None:
        """Encode the next delta of a partition, or reuse the frame built for another relay."""
        partition = self.partitions[partition_id]
        base_version = session.get_next_base_version(partition_id)
        if base_version >= partition.version:
            return None
        key = (partition_id, base_version, partition.version)
        cached = self._delta_cache.get(key)
        if cached is None:
            delta = partition.build_delta(partition_id, base_version, self.rules.max_message_bytes)
            if delta is None:
                self._queue_partition(now, session, partition_id)
                return None
            cached = self._delta_cache[key] = CachedDelta(encode_frame(delta), delta.version)
            if len(self._delta_cache) > self.rules.max_cached_frames:
                self._delta_cache.popitem(last=False)
        self._mark_sent(now, session, partition_id, cached.version)
        if cached.version < partition.version:
            session.pending_deltas[partition_id] = None
        return cached.frame

    def _mark_sent(self, now: int, session: Session, partition_id: int, version: int) -> None:
        session.in_flight[partition_id] = InFlight(version, now)
        if not session.has_retry_timer:
            session.has_retry_timer = True
            self._add_timer(now + self.rules.acknowledgement_timeout_ns, "retry", session)

    def _add_timer(self, at: int, timer_kind: str, session: Session) -> None:
        self._last_timer_id += 1
        heapq.heappush(self._timers, (at, self._last_timer_id, timer_kind, session))

    def _run_timers(self, now: int) -> None:
        while self._timers and self._timers[0][0] <= now:
            _, _, timer_kind, session = heapq.heappop(self._timers)
            if self.sessions.get(session.relay) is not session:
                continue
            if timer_kind == "ready":
                self._ready_sessions.append(session)
            elif timer_kind == "status":
                self._queue_status(now, session)
            else:
                self._retry_unacknowledged(now, session)

    def _retry_unacknowledged(self, now: int, session: Session) -> None:
        """Queue partitions whose acknowledgement timed out again, from the acknowledged version."""
        session.has_retry_timer = False
        expired_before = now - self.rules.acknowledgement_timeout_ns
        expired = [
            partition_id
            for partition_id, in_flight in session.in_flight.items()
            if in_flight.sent_at <= expired_before
        ]
        for partition_id in expired:
            del session.in_flight[partition_id]
            self._queue_partition(now, session, partition_id)
        if session.in_flight:
            session.has_retry_timer = True
            oldest = min(in_flight.sent_at for in_flight in session.in_flight.values())
            self._add_timer(oldest + self.rules.acknowledgement_timeout_ns, "retry", session)

    # --- reports

    def _get_next_report_time(self) -> int:
        changed = (
            self._full_report_requested or self._changed_relays or self._reported_version != self.version
        )
        return self._next_report_at + (
            0 if changed else self.rules.idle_report_interval_ns - self.rules.min_report_interval_ns
        )

    def _send_report(self, now: int) -> None:
        """Send a report to the coordinator if one is due."""
        if not self.loaded or now < self._get_next_report_time():
            return
        self._next_report_at = now + self.rules.min_report_interval_ns
        self._report_sequence += 1
        relays: Iterable[str] = [*self.sessions] if self._full_report_requested else [*self._changed_relays]
        if self._full_report_requested:
            self._reported_rows.clear()
        rows = []
        for relay in relays:
            row = self._build_changed_row(relay)
            if row is not None:
                rows.append(row)
        report = Report(
            self.name,
            self.incarnation,
            self._report_sequence,
            self._full_report_requested,
            self.version,
            tuple(rows),
        )
        self._full_report_requested = False
        self._changed_relays.clear()
        self._detached_rows.clear()
        self._reported_version = self.version
        self._output.reports.append(encode_frame(report))

    def _get_acknowledged_version(self, session: Session) -> int:
        """Return the version up to which all changes are acknowledged; CAUGHT_UP if all applied here."""
        oldest = min(
            (session.acknowledged_versions[partition_id] for partition_id in session.outdated_partitions),
            default=None,
        )
        return CAUGHT_UP if oldest is None else min(oldest, self.version)

    def _build_changed_row(self, relay: str) -> RelayProgress | None:
        """Return a relay's row, or None if it equals the one last reported."""
        session = self.sessions.get(relay)
        if session is None:
            self._reported_rows.pop(relay, None)
            return self._detached_rows.get(relay)
        row = RelayProgress(
            relay,
            session.session_number,
            session.assignment_version,
            True,
            self._get_acknowledged_version(session),
        )
        if self._reported_rows.get(relay) == row:
            return None
        self._reported_rows[relay] = row
        return row

    def _emit_event(self, event: Event) -> None:
        self.event_counts[type(event).__name__] += 1
        self._output.events.append(event)
