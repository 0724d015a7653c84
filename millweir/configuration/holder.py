"""The configuration in a relay: the deciding core.  No I/O, no clock, no chance of its own; nanoseconds.

Theory of operation.  The holder has a replica of each partition that is assigned to it.  It connects to one
distributor, by rendezvous hashing over its own name, and goes to the next one where that one is silent, lies
behind, sends it away or is distrusted.  A message is taken in whole or refused whole: the entries that it
leads to must have the digest that it gives.  `step` returns what is to be written to the folder and what is
to be sent; the caller writes first, so that an acknowledged version outlasts this process.

Rules: a replica's version never falls.  Entries change at one version only after the register's word was
against what was held.  The assignment's version never falls.

Two sources that disagree (same partition and version, different digest) are never settled here: nothing is
taken, the register is asked for its digest, and who is wrong by that is replaced (our replica) or avoided
(the distributor).  A snapshot has nothing to be compared with: it is in force at once, and the register is
asked for its digest afterwards.

Steps: a message costs its edits; a hello and `tick` cost the relay's own partitions at the most.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from xxhash import xxh3_64_intdigest

from millweir.configuration.events import (
    ChangeRefused,
    DistributorDistrusted,
    DistributorLeft,
    DistributorsDisagree,
    Event,
    GapFound,
    ReplicaReplaced,
    StoredPartitionRefused,
)
from millweir.configuration.messages import (
    Acknowledge,
    Assign,
    Chunk,
    Delta,
    Disagreement,
    Edit,
    Held,
    Hello,
    Message,
    RefusalReason,
    Request,
    Status,
    Unavailable,
    UnreadableFrame,
    decode_frame,
    encode_frame,
)
from millweir.configuration.pacing import SECOND
from millweir.configuration.partition import apply_edits, digest_after, digest_of, distinct_keys

NEVER = 1 << 62
DOUBLINGS_MOST = 8  # of the pause between connections


@dataclass(frozen=True, slots=True)
class HolderRules:
    """Times in nanoseconds."""

    silence: int = 12 * SECOND  # without a frame from the distributor
    hello_after: int = 3 * SECOND  # a hello without an answer is sent again
    behind_most: int = 10 * SECOND  # how long a distributor may lie behind
    request_after: int = 3 * SECOND  # a request without an answer is sent again
    connect_pause: int = (
        SECOND // 2
    )  # before the next connection; twice as long after each that served nothing
    connect_pause_most: int = 5 * SECOND
    distrust: int = 600 * SECOND
    partitions_most: int = 4_096
    partition_bytes_most: int = 4 << 20  # of a snapshot


@dataclass(frozen=True, slots=True)
class StoredReplica:
    """A partition as it is in the folder."""

    version: int
    digest: int
    entries: dict[bytes, bytes]


@dataclass(frozen=True, slots=True)
class WriteDelta:
    """Add these edits to the partition in the folder, with its new version and digest."""

    partition: int
    version: int
    digest: int
    edits: tuple[Edit, ...]


@dataclass(frozen=True, slots=True)
class WriteReplica:
    """Replace the partition in the folder."""

    partition: int
    replica: StoredReplica


@dataclass(frozen=True, slots=True)
class RemoveReplica:
    """The partition is another relay's now."""

    partition: int


@dataclass(frozen=True, slots=True)
class WriteAssignment:
    """Which partitions are this relay's."""

    version: int
    partitions: tuple[int, ...]


Write = WriteDelta | WriteReplica | RemoveReplica | WriteAssignment


@dataclass(frozen=True, slots=True)
class WordRequest:
    """Ask the register for its digest of a partition at a version; the answer goes to `Holder.word`."""

    partition: int
    version: int


@dataclass(slots=True)
class Step:
    """What the caller has to do now, in this order."""

    writes: list[Write] = field(default_factory=list)
    connect: str | None = None  # drop the connection at hand and connect to this distributor
    frames: list[bytes] = field(default_factory=list)  # to the distributor, after the writes
    words: list[WordRequest] = field(default_factory=list)
    events: list[Event] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Dispute:
    """A digest that a distributor gave and the register is asked about."""

    version: int
    digest: int
    distributor: str


class Replica:
    """One partition that is held."""

    __slots__ = ("digest", "dispute", "entries", "request_at", "required", "source", "version", "whole")

    def __init__(self, stored: StoredReplica) -> None:
        self.version = stored.version
        self.digest = stored.digest
        self.entries = stored.entries
        self.source = "folder"  # who gave the version held
        self.request_at = NEVER  # when an open request is sent again
        self.whole = False  # the open request is for all entries
        self.dispute: Dispute | None = None  # the register is asked
        self.required: int | None = None  # the register's digest at the version held, where ours was wrong


@dataclass(slots=True)
class Assembly:
    """A snapshot of which some chunks have come."""

    version: int
    digest: int
    count: int
    chunks: dict[int, tuple[Edit, ...]] = field(default_factory=dict)
    size: int = 0


class Holder:
    """One relay's configuration."""

    def __init__(
        self,
        name: str,
        session: int,
        distributors: Iterable[str],
        rules: HolderRules,
        now: int,
        assignment: WriteAssignment | None = None,
        stored: Mapping[int, StoredReplica] | None = None,
    ) -> None:
        self.name = name
        self.session = session  # higher than in any earlier start
        self.rules = rules
        self.assignment = 0
        self.replicas: dict[int, Replica] = {}
        self.distributor = ""
        self.connected = self._connecting = False
        self.counts: Counter[str] = Counter()
        self._order = sorted(distributors, key=lambda one: xxh3_64_intdigest(f"{name}\0{one}".encode()))
        self._distrusted: dict[str, int] = {}
        self._assemblies: dict[int, Assembly] = {}
        self._pending: set[int] = set()  # partitions with an open request or dispute
        self._answered = False
        self._hello_at = NEVER
        self._heard_at = now
        self._behind_since = NEVER
        self._connect_at = now
        self._vain_connections = 0  # in a row
        self._known_version = 0
        self._output = Step()
        if assignment is not None:
            self._restore(assignment, stored or {})

    # --- calls

    def assign(self, now: int, version: int, partitions: Iterable[int]) -> None:
        """These are the partitions from this version of the assignment on; older versions change nothing."""
        if self._assign(version, partitions) and self.connected:
            self._say_hello(now)  # the distributor may have missed that a partition went and came back

    def connection_up(self, now: int, distributor: str) -> None:
        """A connection to a distributor stands."""
        if distributor != self.distributor:
            return
        self.connected = True
        self._connecting = False
        self._answered = False
        self._heard_at = now
        self._behind_since = NEVER
        self._say_hello(now)

    def connection_down(self, now: int, distributor: str) -> None:
        """A connection is down or could not be made."""
        if distributor == self.distributor and (self.connected or self._connecting):
            self._leave(now, "the connection is down")

    def receive(self, now: int, distributor: str, frame: bytes) -> None:
        """A frame from the distributor."""
        if distributor != self.distributor or not self.connected:
            return
        self._heard_at = now
        try:
            message = decode_frame(frame)
        except UnreadableFrame:
            self._refuse(-1, 0, RefusalReason.UNREADABLE)
            return
        self._take(now, message)

    def word(self, now: int, number: int, version: int, digest: int | None) -> None:
        """The register's digest of a partition at a version; None where it no longer knows."""
        replica = self.replicas.get(number)
        if replica is None or replica.dispute is None or replica.dispute.version != version:
            return
        dispute, replica.dispute = replica.dispute, None
        replica.request_at = NEVER
        self._pending.discard(number)
        if digest is not None:
            self._settle(now, number, replica, dispute, digest)

    def tick(self, now: int) -> None:
        """Time has passed; to be called at `wake_at`."""
        if not self.connected:
            if now >= self._connect_at:
                self._connect(now)
            return
        if now - self._heard_at >= self.rules.silence:
            self._leave(now, "it is silent")
        elif now - self._behind_since >= self.rules.behind_most:
            self._leave(now, "it lies behind")
        elif not self._answered and now >= self._hello_at:
            self._say_hello(now)
        else:
            self._repeat_requests(now)

    def step(self) -> Step:
        """What is to be done, once."""
        output, self._output = self._output, Step()
        return output

    def wake_at(self) -> int:
        """When `tick` has something to do."""
        if not self.connected:
            return self._connect_at
        times = [self._heard_at + self.rules.silence]
        if self._behind_since != NEVER:
            times.append(self._behind_since + self.rules.behind_most)
        if not self._answered:
            times.append(self._hello_at)
        times.extend(self.replicas[number].request_at for number in self._pending)
        return min(times)

    # --- inside: assignment and connections

    def _assign(self, version: int, partitions: Iterable[int]) -> bool:
        wanted = frozenset(partitions)
        if version <= self.assignment or len(wanted) > self.rules.partitions_most:
            return False
        self.assignment = version
        for number in sorted(self.replicas.keys() - wanted):
            del self.replicas[number]
            self._assemblies.pop(number, None)
            self._pending.discard(number)
            self._output.writes.append(RemoveReplica(number))
        for number in sorted(wanted - self.replicas.keys()):
            self.replicas[number] = Replica(StoredReplica(0, 0, {}))
        self._output.writes.append(WriteAssignment(version, tuple(sorted(wanted))))
        return True

    def _restore(self, assignment: WriteAssignment, stored: Mapping[int, StoredReplica]) -> None:
        """Take over what the folder holds; what does not have its digest is fetched again."""
        self.assignment = assignment.version
        for number in assignment.partitions:
            replica = stored.get(number, StoredReplica(0, 0, {}))
            if digest_of(replica.entries) != replica.digest:
                self._say(StoredPartitionRefused(number, replica.version))
                self._output.writes.append(RemoveReplica(number))
                replica = StoredReplica(0, 0, {})
            self.replicas[number] = Replica(replica)

    def _connect(self, now: int) -> None:
        """To the first distributor in this relay's order that is not avoided, after the one left."""
        start = self._order.index(self.distributor) + 1 if self.distributor else 0
        candidates = self._order[start:] + self._order[:start]
        trusted = [one for one in candidates if self._distrusted.get(one, 0) <= now]
        self.distributor = (trusted or candidates)[0]
        self._connect_at = now + self.rules.silence  # where no word of the connection comes
        self._connecting = True
        self._output.connect = self.distributor

    def _leave(self, now: int, reason: str) -> None:
        self._say(DistributorLeft(self.distributor, reason))
        self.connected = self._connecting = False
        self._assemblies.clear()
        self._connect_at = now + min(
            self.rules.connect_pause << self._vain_connections, self.rules.connect_pause_most
        )
        self._vain_connections = min(self._vain_connections + 1, DOUBLINGS_MOST)

    def _say_hello(self, now: int) -> None:
        self.session += 1
        self._hello_at = now + self.rules.hello_after
        held = tuple(
            Held(number, replica.version, replica.digest) for number, replica in self.replicas.items()
        )
        self._send(Hello(self.name, self.session, self.assignment, held))

    # --- inside: messages

    def _take(self, now: int, message: Message) -> None:
        if isinstance(message, Delta):
            self._take_delta(now, message)
        elif isinstance(message, Chunk):
            self._take_chunk(now, message)
        elif isinstance(message, Status):
            self._take_status(now, message)
        elif isinstance(message, Assign):
            self._assign(message.version, message.partitions)
        elif isinstance(message, Disagreement):
            self._take_disagreement(now, message)
        elif isinstance(message, Unavailable):
            self._leave(now, message.reason)

    def _take_status(self, now: int, status: Status) -> None:
        self._answered = True
        self._vain_connections = 0
        behind = status.behind or status.version < self._known_version or status.assignment < self.assignment
        self._known_version = max(self._known_version, status.version)
        if not behind:
            self._behind_since = NEVER
        elif self._behind_since == NEVER:
            self._behind_since = now
        if status.assignment > self.assignment:
            self._say_hello(now)  # the assignment was lost on its way

    def _take_delta(self, now: int, delta: Delta) -> None:
        replica = self.replicas.get(delta.partition)
        if replica is None:
            return
        if delta.version < replica.version:
            self._acknowledge(delta.partition, replica)
        elif delta.version == replica.version:
            self._take_same_version(now, delta.partition, replica, delta.version, delta.digest)
        elif delta.previous > replica.version:
            self._say(GapFound(self.distributor, delta.partition, replica.version, delta.previous))
            self._request(now, delta.partition, replica, whole=False)
        else:
            self._apply_delta(now, replica, delta)

    def _apply_delta(self, now: int, replica: Replica, delta: Delta) -> None:
        """Edits are absolute, so a delta fits any version from its first to its last."""
        number = delta.partition
        if replica.required is not None or not distinct_keys(delta.edits):
            self._refuse(number, delta.version, RefusalReason.DISPUTED)
            return
        if digest_after(replica.entries, replica.digest, delta.edits) != delta.digest:
            self._refuse(number, delta.version, RefusalReason.DIGEST)
            self._dispute(now, number, replica, delta.version, delta.digest)
            return
        apply_edits(replica.entries, delta.edits)
        self._output.writes.append(WriteDelta(number, delta.version, delta.digest, delta.edits))
        self._in_force(number, replica, delta.version, delta.digest)

    def _take_same_version(self, now: int, number: int, replica: Replica, version: int, digest: int) -> None:
        if digest == replica.digest:
            self._acknowledge(number, replica)
            return
        self._refuse(number, version, RefusalReason.DISPUTED)
        self._dispute(now, number, replica, version, digest)

    def _take_chunk(self, now: int, chunk: Chunk) -> None:
        number = chunk.partition
        replica = self.replicas.get(number)
        if replica is None:
            return
        if chunk.version < replica.version or (chunk.version == replica.version and replica.required is None):
            self._take_needless_chunk(now, number, replica, chunk)
            return
        assembly = self._assemblies.get(number)
        if assembly is None or assembly.version < chunk.version:
            assembly = self._assemblies[number] = Assembly(chunk.version, chunk.digest, chunk.count)
        if not self._fits(assembly, chunk):
            del self._assemblies[number]
            self._refuse(number, chunk.version, RefusalReason.DIGEST)
            self._request(now, number, replica, whole=True)
            return
        if chunk.version > assembly.version or chunk.index in assembly.chunks:
            return
        assembly.chunks[chunk.index] = chunk.entries
        assembly.size += sum(len(edit.key) + len(edit.value or b"") for edit in chunk.entries)
        replica.request_at = now + self.rules.request_after  # the answer is under way
        if len(assembly.chunks) == assembly.count:
            del self._assemblies[number]
            self._install(now, number, replica, assembly)

    def _take_needless_chunk(self, now: int, number: int, replica: Replica, chunk: Chunk) -> None:
        if chunk.version == replica.version:
            self._take_same_version(now, number, replica, chunk.version, chunk.digest)
        else:
            self._acknowledge(number, replica)

    def _fits(self, assembly: Assembly, chunk: Chunk) -> bool:
        """Whether a chunk can be of this snapshot; older snapshots' late chunks pass and are not used."""
        if chunk.version < assembly.version:
            return True
        return (
            (assembly.digest, assembly.count) == (chunk.digest, chunk.count)
            and 0 <= chunk.index < chunk.count
            and assembly.size <= self.rules.partition_bytes_most
        )

    def _install(self, now: int, number: int, replica: Replica, assembly: Assembly) -> None:
        entries = {
            edit.key: edit.value
            for index in range(assembly.count)
            for edit in assembly.chunks[index]
            if edit.value is not None
        }
        wrong_word = (
            assembly.version == replica.version
            and replica.required is not None
            and assembly.digest != replica.required
        )
        if wrong_word or digest_of(entries) != assembly.digest:
            reason = RefusalReason.DISPUTED if wrong_word else RefusalReason.DIGEST
            self._refuse(number, assembly.version, reason)
            self._distrust(now, self.distributor, number, assembly.version)
            return
        replica.entries = entries
        self._output.writes.append(
            WriteReplica(number, StoredReplica(assembly.version, assembly.digest, dict(entries)))
        )
        self._in_force(number, replica, assembly.version, assembly.digest)
        self._ask_register(now, number, replica, Dispute(assembly.version, assembly.digest, self.distributor))

    def _in_force(self, number: int, replica: Replica, version: int, digest: int) -> None:
        replica.version = version
        replica.digest = digest
        replica.source = self.distributor
        replica.required = None
        replica.dispute = None
        replica.request_at = NEVER
        self._pending.discard(number)
        self._known_version = max(self._known_version, version)
        self._acknowledge(number, replica)

    def _acknowledge(self, number: int, replica: Replica) -> None:
        if replica.required is None:
            self._send(Acknowledge(number, replica.version))

    # --- inside: requests and disputes

    def _request(self, now: int, number: int, replica: Replica, whole: bool) -> None:
        """Ask for what is missing; while an answer is awaited nothing is asked again."""
        if replica.request_at != NEVER and replica.request_at > now and whole <= replica.whole:
            return
        replica.request_at = now + self.rules.request_after
        replica.whole = whole
        self._pending.add(number)
        self._send(Request(number, replica.version, whole))

    def _repeat_requests(self, now: int) -> None:
        for number in sorted(self._pending):
            replica = self.replicas[number]
            if replica.request_at > now:
                continue
            if replica.dispute is not None:
                self._ask_register(now, number, replica, replica.dispute)
            else:
                self._request(now, number, replica, replica.whole or replica.required is not None)

    def _take_disagreement(self, now: int, message: Disagreement) -> None:
        replica = self.replicas.get(message.partition)
        if replica is not None and replica.version == message.version and replica.digest != message.digest:
            self._refuse(message.partition, message.version, RefusalReason.DISPUTED)
            self._dispute(now, message.partition, replica, message.version, message.digest)

    def _dispute(self, now: int, number: int, replica: Replica, version: int, digest: int) -> None:
        if replica.dispute is not None or replica.required is not None:
            return
        self._say(DistributorsDisagree(number, version, replica.source, self.distributor))
        self._ask_register(now, number, replica, Dispute(version, digest, self.distributor))

    def _ask_register(self, now: int, number: int, replica: Replica, dispute: Dispute) -> None:
        replica.dispute = dispute
        replica.request_at = now + self.rules.request_after
        self._pending.add(number)
        self._output.words.append(WordRequest(number, dispute.version))

    def _settle(self, now: int, number: int, replica: Replica, dispute: Dispute, digest: int) -> None:
        """The register's word decides who was wrong: the distributor, the replica held, or both."""
        if dispute.digest != digest:
            self._distrust(now, dispute.distributor, number, dispute.version)
        if dispute.version == replica.version and digest != replica.digest:
            replica.required = digest
            self._say(ReplicaReplaced(number, replica.version))
            self._request(now, number, replica, whole=True)
        elif dispute.version > replica.version and dispute.digest == digest:
            self._request(now, number, replica, whole=True)

    def _distrust(self, now: int, distributor: str, number: int, version: int) -> None:
        self._distrusted[distributor] = now + self.rules.distrust
        self._say(DistributorDistrusted(distributor, number, version))
        if distributor == self.distributor:
            self._leave(now, "it is distrusted")

    def _refuse(self, number: int, version: int, reason: RefusalReason) -> None:
        self._say(ChangeRefused(self.distributor, number, version, reason))

    def _send(self, message: Message) -> None:
        if self.connected:
            self._output.frames.append(encode_frame(message))

    def _say(self, event: Event) -> None:
        self.counts[type(event).__name__] += 1
        self._output.events.append(event)
