"""A distributor: the deciding core.  No I/O, no clock, no chance of its own; whole nanoseconds.

Theory of operation.  The register gives every distributor all changes, in order.  A relay is attached to
one distributor at a time and says at its hello what its folder holds.  From then on the session keeps, for
each of the relay's partitions, the version acknowledged and the version sent; a partition whose acknowledged
version is not the latest is *lacking*.  What is lacking is sent as a delta where the log reaches back to what
the relay holds, else as a snapshot in chunks.  Deltas go before snapshots, sessions take turns, and two token
buckets hold the bytes back: one for each relay, one for the distributor.

Acknowledgements are joined here: `Report` tells the coordinator only rows that differ from the last report.

Steps: a change costs one step for each attached holder of its partition; an acknowledgement costs the lacking
partitions of its relay; a turn costs what it sends and the timers that are due.  Nothing walks the sessions
or the destinations but a full report and `install`.
"""

from __future__ import annotations

import heapq
from collections import Counter, OrderedDict, deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from millweir.configuration.events import (
    Event,
    FrameRefused,
    RegisterGap,
    RegisterMismatch,
    RelayUnavailable,
    SnapshotStarted,
)
from millweir.configuration.messages import (
    CAUGHT_UP,
    NAME_MOST,
    Acknowledge,
    Assign,
    Change,
    Chunk,
    Disagreement,
    Hello,
    Message,
    Report,
    Request,
    Row,
    Status,
    Unavailable,
    UnreadableFrame,
    decode_frame,
    encode_frame,
)
from millweir.configuration.pacing import SECOND, ByteBucket
from millweir.configuration.partition import Partition, digest_of


class Assignment(NamedTuple):
    """A relay's partitions, with the version of the whole assignment at which they were last changed."""

    version: int
    partitions: frozenset[int]


UNASSIGNED = Assignment(0, frozenset())


class CachedDelta(NamedTuple):
    """A delta as it is sent to all relays that lack the same, and the version that it leads to."""

    frame: bytes
    version: int


class InFlight(NamedTuple):
    """What was sent of a partition and not acknowledged yet."""

    version: int
    at: int


@dataclass(frozen=True, slots=True)
class DistributorRules:
    """Times in nanoseconds, sizes in bytes."""

    relay_rate: int = 8_000  # a second, to one relay; rate and burst together stay under 11 KB in any second
    relay_burst: int = 2_700
    total_rate: int = 8_000_000  # a second, to all relays
    total_burst: int = 1_000_000
    message_bytes: int = 2_000  # edits in one delta or chunk
    log_most: int = 64  # changes kept of a partition
    log_bytes_most: int = 16_384
    relays_most: int = 1_000
    partitions_most: int = 4_096  # of one relay
    retry_after: int = 3 * SECOND  # from a delta or the last chunk to its acknowledgement
    status_every: int = 5 * SECOND
    report_pause: int = SECOND // 10  # between reports
    report_every: int = 2 * SECOND  # when nothing has changed
    register_silence: int = 5 * SECOND  # after which the distributor holds itself behind
    fetch_pause: int = SECOND  # between requests to the register
    frames_cached: int = 1_024
    outbox_most: int = 256  # messages of one turn


@dataclass(frozen=True, slots=True)
class Outgoing:
    """A frame for a relay's connection."""

    link: int
    frame: bytes


@dataclass(slots=True)
class Output:
    """What the caller has to do now."""

    frames: list[Outgoing] = field(default_factory=list)
    closed: list[int] = field(default_factory=list)  # links to close after their frames
    reports: list[bytes] = field(default_factory=list)  # frames for the coordinator
    fetch_after: int | None = None  # ask the register for all after this version
    fetch_partitions: list[int] = field(default_factory=list)  # ask the register for these whole
    events: list[Event] = field(default_factory=list)


class Session:
    """One relay's connection."""

    __slots__ = (
        "acked",
        "assigned",
        "bucket",
        "chunks",
        "deltas",
        "lacking",
        "link",
        "number",
        "queued",
        "relay",
        "retry_armed",
        "sent",
        "snapshots",
        "urgent",
    )

    def __init__(self, relay: str, number: int, link: int, bucket: ByteBucket) -> None:
        self.relay = relay
        self.number = number
        self.link = link
        self.bucket = bucket
        self.assigned = 0
        self.acked: dict[int, int] = {}  # of each of its partitions
        self.sent: dict[int, InFlight] = {}
        self.lacking: set[int] = set()
        self.urgent: deque[Message] = deque()  # short answers
        self.deltas: dict[int, None] = {}  # partitions, in turn
        self.snapshots: dict[int, None] = {}
        self.chunks: deque[Chunk] = deque()  # of the snapshot under way
        self.queued = False  # it is in the distributor's ready queue or waits for its bucket
        self.retry_armed = False

    def next_base(self, number: int) -> int:
        """The version of a partition that the next delta starts from."""
        in_flight = self.sent.get(number)
        return self.acked[number] if in_flight is None else in_flight.version

    def has_work(self) -> bool:
        return bool(self.urgent or self.deltas or self.chunks or self.snapshots)


class Distributor:
    """One of the machines that hold the whole configuration and tell it to relays."""

    def __init__(self, name: str, life: int, rules: DistributorRules, now: int) -> None:
        self.name = name
        self.life = life
        self.rules = rules
        self.version = 0
        self.loaded = False  # until the first install is complete no relay is served
        self.partitions: dict[int, Partition] = {}
        self.assignment = 0
        self.assigned: dict[str, Assignment] = {}
        self.sessions: dict[str, Session] = {}
        self.links: dict[int, Session] = {}
        self.holders: dict[int, dict[str, Session]] = {}  # attached ones, by partition
        self.counts: Counter[str] = Counter()
        self._bucket = ByteBucket(rules.total_rate, rules.total_burst, now)
        self._ready: deque[Session] = deque()
        self._timers: list[tuple[int, int, str, Session]] = []
        self._timer_number = 0
        self._frames: OrderedDict[tuple[int, int, int], CachedDelta] = OrderedDict()
        self._register_version = 0
        self._register_heard_at = now
        self._fetch_at = now
        self._mismatched: set[int] = set()
        self._sequence = 0
        self._full = True
        self._reported: dict[str, Row] = {}
        self._changed_rows: dict[str, None] = {}
        self._detached: dict[str, Row] = {}  # since the last report
        self._reported_version = -1
        self._report_at = now
        self._output = Output()

    # --- the register's side

    def register_at(self, now: int, version: int) -> None:
        """The register is alive and its last change is this one."""
        self._register_heard_at = now
        self._register_version = max(self._register_version, version)
        if self._register_version > self.version or not self.loaded:
            self._fetch(now)

    def change(self, now: int, change: Change) -> None:
        """The register's next change; repeated ones are passed over, a gap is asked for."""
        self._register_heard_at = now
        self._register_version = max(self._register_version, change.version)
        if not self.loaded or change.version <= self.version:
            return
        if change.version != self.version + 1:
            self._say(RegisterGap(self.version, change.version))
            self._fetch(now)
            return
        self.version = change.version
        partition = self._partition(change.partition)
        if change.partition in self._mismatched or not partition.fits(change):
            self._mismatch(change)
            return
        partition.apply(change)
        self._partition_changed(now, change.partition)

    def install(self, now: int, number: int, version: int, entries: dict[bytes, bytes], digest: int) -> bool:
        """A partition whole from the register; False where its entries do not have its digest."""
        held = self.partitions.get(number)
        repaired = number in self._mismatched
        if held is not None and (version < held.version or (version == held.version and not repaired)):
            return True
        if digest_of(entries) != digest:
            self._say(RegisterMismatch(number, version))
            return False
        rules = self.rules
        self.partitions[number] = Partition(version, entries, digest, rules.log_most, rules.log_bytes_most)
        self._mismatched.discard(number)
        self._partition_changed(now, number)
        return True

    def installed(self, now: int, version: int) -> None:
        """All partitions were installed as they are at this version of the register."""
        self._register_heard_at = now
        self._register_version = max(self._register_version, version)
        self.version = max(self.version, version)
        self.loaded = True

    def assign(self, now: int, version: int, moves: Mapping[str, Assignment]) -> None:
        """From this version of the assignment on these relays hold these partitions; others stay."""
        if version <= self.assignment:
            return
        self.assignment = version
        for relay, assignment in moves.items():
            session = self.sessions.get(relay)
            if assignment.partitions or session is not None:
                self.assigned[relay] = assignment
            else:
                self.assigned.pop(relay, None)
            if session is not None:
                self._move(now, session)

    # --- the relays' side

    def receive(self, now: int, link: int, frame: bytes) -> None:
        """A frame from a relay's connection."""
        session = self.links.get(link)
        try:
            message = decode_frame(frame)
        except UnreadableFrame:
            self._say(FrameRefused(session.relay if session else ""))
            return
        if isinstance(message, Hello):
            self._hello(now, link, message)
        elif session is None:
            return
        elif isinstance(message, Acknowledge):
            self._acknowledge(now, session, message.partition, message.version)
        elif isinstance(message, Request):
            self._request(now, session, message)

    def disconnected(self, now: int, link: int) -> None:
        """A relay's connection is down."""
        session = self.links.get(link)
        if session is not None:
            self._detach(session)

    def report_requested(self) -> None:
        """The coordinator wants all rows."""
        self._full = True

    # --- turns

    def turn(self, now: int) -> Output:
        """All that has to be done now; the caller asks again at `wake_at`, and at once after any call."""
        self._run_timers(now)
        self._send(now)
        self._report(now)
        if self.loaded and self._mismatched and now >= self._fetch_at:
            self._fetch_at = now + self.rules.fetch_pause
            self._output.fetch_partitions.extend(sorted(self._mismatched))
        output, self._output = self._output, Output()
        return output

    def wake_at(self, now: int) -> int:
        """When `turn` has something to do without a call before."""
        times = [self._report_due()]
        if self._timers:
            times.append(self._timers[0][0])
        if self._ready:
            times.append(now + max(1, self._bucket.wait(now, self.rules.message_bytes)))
        if self._mismatched:
            times.append(self._fetch_at)
        return min(times)

    def behind(self, now: int) -> bool:
        """Whether the register is known to be further, or was not heard for long."""
        return (
            self.version < self._register_version
            or now - self._register_heard_at > self.rules.register_silence
        )

    # --- inside: changes

    def _partition(self, number: int) -> Partition:
        partition = self.partitions.get(number)
        if partition is None:
            rules = self.rules
            partition = Partition(0, {}, 0, rules.log_most, rules.log_bytes_most)
            self.partitions[number] = partition
        return partition

    def _partition_changed(self, now: int, number: int) -> None:
        latest = self.partitions[number].version
        for session in self.holders.get(number, {}).values():
            self._changed_rows[session.relay] = None
            if session.acked[number] >= latest:
                session.lacking.discard(number)
                continue
            session.lacking.add(number)
            self._queue_partition(now, session, number)

    def _mismatch(self, change: Change) -> None:
        """Nothing of this partition is sent until the register has given it whole."""
        self._say(RegisterMismatch(change.partition, change.version))
        self._mismatched.add(change.partition)
        for session in self.holders.get(change.partition, {}).values():
            session.lacking.add(change.partition)
            self._changed_rows[session.relay] = None

    def _fetch(self, now: int) -> None:
        if now < self._fetch_at:
            return
        self._fetch_at = now + self.rules.fetch_pause
        self._output.fetch_after = self.version if self.loaded else 0

    # --- inside: sessions

    def _hello(self, now: int, link: int, hello: Hello) -> None:
        reason = self._reason_to_refuse(hello)
        if reason:
            self._say(RelayUnavailable(hello.relay[:NAME_MOST], reason))
            self._output.frames.append(Outgoing(link, encode_frame(Unavailable(reason))))
            self._output.closed.append(link)
            return
        other = self.links.get(link)
        if other is not None and other.relay != hello.relay:
            self._detach(other)
        before = self.sessions.get(hello.relay)
        if before is not None:
            if before.number > hello.session:
                return
            self._detach(before)
        bucket = ByteBucket(self.rules.relay_rate, self.rules.relay_burst, now)
        if before is not None:
            bucket = before.bucket
        session = Session(hello.relay, hello.session, link, bucket)
        self.sessions[hello.relay] = session
        self.links[link] = session
        for held in hello.held:
            session.acked[held.partition] = held.version
        self._move(now, session, hello.assignment)
        for held in hello.held:
            self._compare(session, held.partition, held.version, held.digest)
        self._queue_status(now, session)

    def _reason_to_refuse(self, hello: Hello) -> str:
        if not self.loaded:
            return "it is loading"
        if not 0 < len(hello.relay) <= NAME_MOST or len(hello.held) > self.rules.partitions_most:
            return "the hello is out of bounds"
        if hello.relay not in self.sessions and len(self.sessions) >= self.rules.relays_most:
            return "it serves as many relays as it may"
        return ""

    def _compare(self, session: Session, number: int, version: int, digest: int) -> None:
        """Tell a relay of a partition that it holds otherwise than we do."""
        partition = self.partitions.get(number)
        if partition is None or number not in session.acked or number in self._mismatched:
            return
        ours = partition.digest_at(version)
        if ours is not None and ours != digest:
            session.urgent.append(Disagreement(number, version, ours))

    def _move(self, now: int, session: Session, held_assignment: int = -1) -> None:
        """Give a session the partitions that its relay has by the assignment."""
        version, partitions = self.assigned.get(session.relay, UNASSIGNED)
        for number in session.acked.keys() - partitions:
            self._drop(session, number)
        session.assigned = version
        for number in sorted(partitions):
            self.holders.setdefault(number, {})[session.relay] = session
            latest = self._partition(number).version
            if session.acked.setdefault(number, 0) < latest or number in self._mismatched:
                session.lacking.add(number)
                self._queue_partition(now, session, number)
        if held_assignment < version:
            session.urgent.append(Assign(version, tuple(sorted(partitions))))
            self._queue(session)
        self._changed_rows[session.relay] = None

    def _drop(self, session: Session, number: int) -> None:
        del session.acked[number]
        session.sent.pop(number, None)
        session.lacking.discard(number)
        session.deltas.pop(number, None)
        session.snapshots.pop(number, None)
        if session.chunks and session.chunks[0].partition == number:
            session.chunks.clear()
        holders = self.holders.get(number)
        if holders is not None and holders.get(session.relay) is session:
            del holders[session.relay]
            if not holders:
                del self.holders[number]

    def _detach(self, session: Session) -> None:
        floor = self._floor(session)
        for number in list(session.acked):
            self._drop(session, number)
        self.links.pop(session.link, None)
        if self.sessions.get(session.relay) is session:
            del self.sessions[session.relay]
        session.urgent.clear()
        self._detached[session.relay] = Row(
            session.relay,
            session.number,
            session.assigned,
            False,
            self.version if floor == CAUGHT_UP else floor,
        )
        self._changed_rows[session.relay] = None
        assignment = self.assigned.get(session.relay)
        if assignment is not None and not assignment.partitions:
            del self.assigned[session.relay]

    def _acknowledge(self, now: int, session: Session, number: int, version: int) -> None:
        acked = session.acked.get(number)
        partition = self.partitions.get(number)
        if acked is None or partition is None or version <= acked or version > partition.version:
            return
        session.acked[number] = version
        in_flight = session.sent.get(number)
        if in_flight is not None and version >= in_flight.version:
            del session.sent[number]
        if version == partition.version and number not in self._mismatched:
            session.lacking.discard(number)
            session.deltas.pop(number, None)
            session.snapshots.pop(number, None)
        self._changed_rows[session.relay] = None

    def _request(self, now: int, session: Session, request: Request) -> None:
        number = request.partition
        if number not in session.acked:
            return
        session.sent.pop(number, None)
        session.deltas.pop(number, None)
        session.acked[number] = 0 if request.whole else min(session.acked[number], request.version)
        session.lacking.add(number)
        self._changed_rows[session.relay] = None
        if number in self._mismatched:
            return
        if request.whole:
            if not session.chunks or session.chunks[0].partition != number:
                session.snapshots[number] = None
            self._queue(session)
        else:
            self._queue_partition(now, session, number)

    # --- inside: sending

    def _queue_partition(self, now: int, session: Session, number: int) -> None:
        """What this relay lacks of a partition is to be sent, from what was last sent on."""
        under_way = bool(session.chunks) and session.chunks[0].partition == number
        if under_way or number in session.snapshots or number in self._mismatched:
            return
        held = session.next_base(number)
        if held < self.partitions[number].oldest:
            session.snapshots[number] = None
            self._say(SnapshotStarted(session.relay, number, held))
        else:
            session.deltas[number] = None
        self._queue(session)

    def _queue_status(self, now: int, session: Session) -> None:
        session.urgent.append(Status(self.version, session.assigned, self.behind(now)))
        self._add_timer(now + self.rules.status_every, "status", session)
        self._queue(session)

    def _queue(self, session: Session) -> None:
        if not session.queued:
            session.queued = True
            self._ready.append(session)

    def _send(self, now: int) -> None:
        """One message of each ready session in turn, until the bytes or the turn's messages are used up."""
        for _ in range(self.rules.outbox_most):
            if not self._ready or self._bucket.wait(now, self.rules.message_bytes):
                return
            session = self._ready.popleft()
            session.queued = False
            if self.sessions.get(session.relay) is not session or not session.has_work():
                continue
            pause = session.bucket.wait(now, self.rules.message_bytes)
            session.queued = True
            if pause:
                self._add_timer(now + pause, "ready", session)
                continue
            frame = self._next_frame(now, session)
            if frame is not None:
                session.bucket.take(now, len(frame))
                self._bucket.take(now, len(frame))
                self._output.frames.append(Outgoing(session.link, frame))
            self._ready.append(session)

    def _next_frame(self, now: int, session: Session) -> bytes | None:
        """The most urgent message of a session; None where it has become needless."""
        if session.urgent:
            return encode_frame(session.urgent.popleft())
        if session.deltas:
            number = next(iter(session.deltas))
            del session.deltas[number]
            return self._delta_frame(now, session, number)
        if not session.chunks:
            number = next(iter(session.snapshots))
            del session.snapshots[number]
            session.chunks = self.partitions[number].snapshot(number, self.rules.message_bytes)
        chunk = session.chunks.popleft()
        if not session.chunks:
            self._mark_sent(now, session, chunk.partition, chunk.version)
            if self.partitions[chunk.partition].version > chunk.version:
                self._queue_partition(now, session, chunk.partition)
        return encode_frame(chunk)

    def _delta_frame(self, now: int, session: Session, number: int) -> bytes | None:
        partition = self.partitions[number]
        held = session.next_base(number)
        if held >= partition.version:
            return None
        key = (number, held, partition.version)
        cached = self._frames.get(key)
        if cached is None:
            delta = partition.delta(number, held, self.rules.message_bytes)
            if delta is None:
                self._queue_partition(now, session, number)
                return None
            cached = self._frames[key] = CachedDelta(encode_frame(delta), delta.version)
            if len(self._frames) > self.rules.frames_cached:
                self._frames.popitem(last=False)
        self._mark_sent(now, session, number, cached.version)
        if cached.version < partition.version:
            session.deltas[number] = None
        return cached.frame

    def _mark_sent(self, now: int, session: Session, number: int, version: int) -> None:
        session.sent[number] = InFlight(version, now)
        if not session.retry_armed:
            session.retry_armed = True
            self._add_timer(now + self.rules.retry_after, "retry", session)

    def _add_timer(self, at: int, kind: str, session: Session) -> None:
        self._timer_number += 1
        heapq.heappush(self._timers, (at, self._timer_number, kind, session))

    def _run_timers(self, now: int) -> None:
        while self._timers and self._timers[0][0] <= now:
            _, _, kind, session = heapq.heappop(self._timers)
            if self.sessions.get(session.relay) is not session:
                continue
            if kind == "ready":
                self._ready.append(session)
            elif kind == "status":
                self._queue_status(now, session)
            else:
                self._retry(now, session)

    def _retry(self, now: int, session: Session) -> None:
        """What was not acknowledged in time is sent again, from the version acknowledged on."""
        session.retry_armed = False
        expired_before = now - self.rules.retry_after
        expired = [number for number, in_flight in session.sent.items() if in_flight.at <= expired_before]
        for number in expired:
            del session.sent[number]
            self._queue_partition(now, session, number)
        if session.sent:
            session.retry_armed = True
            oldest = min(in_flight.at for in_flight in session.sent.values())
            self._add_timer(oldest + self.rules.retry_after, "retry", session)

    # --- inside: reports

    def _report_due(self) -> int:
        changed = self._full or self._changed_rows or self._reported_version != self.version
        return self._report_at + (0 if changed else self.rules.report_every - self.rules.report_pause)

    def _report(self, now: int) -> None:
        if not self.loaded or now < self._report_due():
            return
        self._report_at = now + self.rules.report_pause
        self._sequence += 1
        relays: Iterable[str] = [*self.sessions] if self._full else [*self._changed_rows]
        if self._full:
            self._reported.clear()
        rows = []
        for relay in relays:
            row = self._row(relay)
            if row is not None:
                rows.append(row)
        report = Report(self.name, self.life, self._sequence, self._full, self.version, tuple(rows))
        self._full = False
        self._changed_rows.clear()
        self._detached.clear()
        self._reported_version = self.version
        self._output.reports.append(encode_frame(report))

    def _floor(self, session: Session) -> int:
        """All changes up to this one are acknowledged; CAUGHT_UP for all that were applied here."""
        oldest = min((session.acked[number] for number in session.lacking), default=None)
        return CAUGHT_UP if oldest is None else min(oldest, self.version)

    def _row(self, relay: str) -> Row | None:
        """A relay's row where it differs from the one last reported."""
        session = self.sessions.get(relay)
        if session is None:
            self._reported.pop(relay, None)
            return self._detached.get(relay)
        row = Row(relay, session.number, session.assigned, True, self._floor(session))
        if self._reported.get(relay) == row:
            return None
        self._reported[relay] = row
        return row

    def _say(self, event: Event) -> None:
        self.counts[type(event).__name__] += 1
        self._output.events.append(event)
