"""Records of the decision core: hosts, destinations, packets, calls and timers.

They hold state and decide nothing; the decisions are in control.py and slow_start.py.  Times are in
nanoseconds, rates in calls per second.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from heapq import heappop, heappush
from itertools import count
from typing import TYPE_CHECKING

from sortedcontainers import SortedList

from millweir.timers import TimerQueue

if TYPE_CHECKING:
    from millweir.events import EndReason
    from millweir.interface import Entry, Outcome, Profile
    from millweir.order import PacketQueues, ValueCurve


NEVER = 1 << 62


class RateLimitScope:
    """What one rate limit holds for: a destination, or one of its hosts where each host has its own limit."""

    __slots__ = (
        "backed_off_at",
        "last_ejected",
        "last_trial_at",
        "limit",
        "listed_rate",
        "sent_times",
        "in_flight",
        "limit_reached",
        "increased_at",
        "last_call_at",
        "release_fraction",
        "released_at",
        "fair_share",
        "max_limit",
        "rejected_connects",
        "connect_rejected_at",
        "retry_after_until",
    )

    def __init__(self, listed_rate: float, fair_share: float, max_limit: float, now: int) -> None:
        self.listed_rate = listed_rate
        self.limit = fair_share
        self.fair_share = fair_share  # of the limit, with an equal part for each relay
        self.max_limit = max_limit
        self.sent_times: deque[int] = deque()  # of the last calls, oldest first
        self.in_flight = 0  # calls
        self.retry_after_until = -NEVER
        self.limit_reached = False  # since the last increase
        self.increased_at = now  # NEVER: from a refusal until a call succeeds
        self.backed_off_at = now - 1  # the limit is not known yet, as after a back-off
        self.rejected_connects = 0  # in a row
        self.connect_rejected_at = -NEVER
        self.last_ejected: Host | None = None  # the host that was ejected last
        self.last_trial_at = -NEVER  # trial call to any ejected host
        self.last_call_at = -NEVER
        self.released_at = -NEVER  # other relays may have waited for this moment too
        self.release_fraction = 0.0  # of the interval between two calls: when the first one after it goes


class Host:
    """What is known of one host."""

    __slots__ = (
        "table_full_until",
        "confirm_by",
        "destination",
        "ejected_at",
        "last_failure_at",
        "failure_score",
        "fee",
        "idle_closed_at",
        "id",
        "idle_before_loss",
        "kind",
        "last_call_at",
        "latency",
        "drain_started_at",
        "abandoned_packets",
        "calls_when_full",
        "idle_losses",
        "in_flight",
        "overdue",
        "slow_start_rate",
        "ready",
        "release_fraction",
        "released_at",
        "recovered_at",
        "last_refusal_at",
        "consecutive_refusals",
        "limit_scope",
        "latency_deviation",
        "connections_stale_at",
        "suspected_at",
        "last_answer_at",
        "last_success_at",
        "zone",
    )

    def __init__(
        self, entry: Entry, destination: Destination, limit_scope: RateLimitScope, fee: float
    ) -> None:
        self.id = entry.host
        self.fee = fee  # of value, for each packet sent to it
        self.kind = entry.kind
        self.zone = entry.zone
        self.destination = destination
        self.limit_scope = limit_scope
        self.drain_started_at = 0  # since when it is draining, removed or cordoned; 0: it is not
        self.ready = False  # by the list
        self.in_flight = 0  # calls
        self.overdue = 0  # calls in flight past their expected time
        self.latency = 0  # moving average of successful calls; 0: none yet
        self.latency_deviation = 0  # moving average of the absolute deviation
        self.calls_when_full = 0  # in flight when it last rejected a connection
        self.table_full_until = 0  # its connection table is taken for full until then
        self.last_failure_at = 0
        self.last_refusal_at = 0
        self.consecutive_refusals = 0  # since the last successful call
        self.failure_score = 0.0
        self.slow_start_rate = 0.0  # at the start of its slow start; 0: it is in none
        self.last_success_at = 0  # 0: none in this process run
        self.suspected_at = 0  # time of its first failed call, while there is no other evidence
        self.confirm_by = 0  # one more call may follow that at once until then
        self.ejected_at = 0
        self.recovered_at = 0  # time of the first successful call since the ejection; 0: none yet
        self.last_call_at = 0
        self.released_at = -NEVER  # as the limit scope's, where it concerns this host alone
        self.release_fraction = 0.0
        self.last_answer_at = 0
        self.idle_losses = 0  # calls lost on idle connections in a row; a reset counts twice
        self.idle_closed_at = 0  # when this relay last closed its idle connections to it
        self.connections_stale_at = -NEVER  # when its idle connections were last found stale
        self.idle_before_loss = 0  # shortest idle time of a connection that lost a call, of those in a row
        self.abandoned_packets: list[Packet] = []  # their trips here were given up and may still run

    def copy_ejection(self, other: Host) -> None:
        """Take over the slow-start state of another host."""
        self.failure_score = other.failure_score
        self.slow_start_rate = other.slow_start_rate
        self.ejected_at = other.ejected_at
        self.recovered_at = other.recovered_at
        self.last_call_at = other.last_call_at
        self.suspected_at = other.suspected_at

    def has_full_table(self, now: int) -> bool:
        """Whether its connection table was full a moment ago and it still has as many calls in flight."""
        return self.in_flight >= self.calls_when_full and self.table_full_until > now


class Destination:
    """A destination of packets, with its hosts and the packets held for it."""

    __slots__ = (
        "next_check_at",
        "held",
        "hosts",
        "candidate",
        "order",
        "limit_scope",
        "accepted_count",
        "evaluated_at",
    )

    def __init__(self, order: PacketQueues) -> None:
        self.hosts: dict[Host, None] = {}  # those in the list
        self.order = order  # held packets that may be sent once a host has room
        self.held = 0  # number of held packets
        self.candidate: CandidateCall | None = None  # its next call, as evaluated last
        self.evaluated_at = -1
        self.next_check_at = 0  # when its timer makes it dirty
        self.limit_scope: RateLimitScope | None = None
        self.accepted_count = 0  # packets handed in to this process


class CandidateCall:
    """A call that might be made next."""

    __slots__ = ("destination", "hosts", "loss", "packets", "value_per_second")

    def __init__(
        self,
        value_per_second: float,
        loss: float,
        destination: Destination,
        hosts: list[Host],
        packets: list[Packet],
    ) -> None:
        self.value_per_second = value_per_second  # saved, for each second of a slot
        self.loss = loss  # of value, if the call were put off for one target latency
        self.destination = destination
        self.hosts = hosts
        self.packets = packets


class OrderingKey:
    """The queue of the packets of one key, in the order accepted."""

    __slots__ = ("id", "queue", "quiet_until", "taken_before")

    def __init__(self, ident: int) -> None:
        self.id = ident
        self.queue: deque[Packet] = deque()
        self.quiet_until = 0  # after a trip that may still run, the next packet waits until then
        self.taken_before = NEVER  # only packets taken before it may go: another process holds an older one

    def add(self, packet: Packet) -> None:
        """Put a packet into its place by when it was taken; those that are out keep theirs."""
        place = len(self.queue)
        while (
            place and self.queue[place - 1].taken_at > packet.taken_at and not self.queue[place - 1].in_flight
        ):
            place -= 1
        self.queue.insert(place, packet)


class Call:
    """One call to a host; packets that are sent to it together share it as a batch."""

    __slots__ = (
        "on_new_connection",
        "cancelled",
        "host",
        "idle_time",
        "outcome_recorded",
        "is_overdue",
        "trips_remaining",
        "overdue_at",
        "sent_at",
        "shared",
        "deadline",
        "trips",
        "cancellable_at",
    )

    def __init__(self, host: Host | None, sent_at: int, shared: bool) -> None:
        self.host = host  # None for a call from before the restart
        self.sent_at = sent_at
        self.shared = shared  # by several packets
        self.trips_remaining = 0
        self.is_overdue = False
        self.outcome_recorded = False
        self.cancelled = False
        self.idle_time = 0  # for how long its connection may have been idle before
        self.on_new_connection = False  # idle connections were closed for it
        self.overdue_at = 0
        self.cancellable_at = 0  # when it may be cancelled to free its slot
        self.deadline = NEVER  # the earliest of its packets' deadlines
        self.trips: list[tuple[Packet, int]] = []

    def add_trip(self, packet: Packet) -> None:
        """Add a trip of the packet to this call."""
        self.deadline = min(self.deadline, packet.deadline)
        self.trips.append((packet, len(packet.trips)))
        packet.trips.append(Trip(self))
        packet.in_flight += 1
        self.trips_remaining += 1


class Trip:
    """One packet's part in one call."""

    __slots__ = ("call", "has_ended", "never_ran")

    def __init__(self, call: Call, has_ended: bool = False, never_ran: bool = False) -> None:
        self.call = call
        self.has_ended = has_ended
        self.never_ran = never_ran  # it certainly had no effect


class Packet:
    """A packet that this relay has accepted."""

    __slots__ = (
        "target_at",
        "travels_alone",
        "bound_zone",
        "curve",
        "destination",
        "end_reason",
        "ended",
        "value",
        "deadline",
        "held",
        "id",
        "key",
        "on_last_trip",
        "last_trip_abandoned",
        "sequence_number",
        "in_flight",
        "profile",
        "restored",
        "taken_at",
        "trips",
        "unproven_outcome",
        "weight",
    )

    def __init__(
        self,
        ident: int,
        sequence_number: int,
        profile: Profile,
        curve: ValueCurve,
        destination: Destination,
        deadline: int,
    ) -> None:
        self.id = ident
        self.sequence_number = sequence_number  # in the order accepted
        self.profile = profile
        self.curve = curve
        self.destination = destination
        self.deadline = deadline
        self.target_at = (
            deadline - profile.lifetime + profile.target_latency
        )  # the deadline for its full value
        self.value = 0.0
        self.restored = False  # accepted before the restart
        self.taken_at = 0  # by which the packets of a key are ordered, also over two processes
        self.key: OrderingKey | None = None
        self.trips: list[Trip] = []
        self.in_flight = 0  # trips
        self.held = False  # waits to be sent
        self.weight = 0.0  # in its destination's order; 0 while it is not in it
        self.travels_alone = False  # never in a batch
        self.bound_zone: int | None = None  # the zone that would detect a repeat
        self.on_last_trip = False  # one trip remains at most
        self.last_trip_abandoned = False  # that trip may still run, and no two may run at once
        self.unproven_outcome: Outcome | None = None  # waits for its proof, neither held nor in flight
        self.ended = False
        self.end_reason: EndReason | None = None  # where it ended undelivered


TimerSubject = Packet | Call | Host | OrderingKey | Destination | None  # None: ask for the host list again


class DepartedHosts:
    """Hosts that were removed from the list, by the start of their drain, until they are forgotten.

    Complexity: `add` and `discard` take at most O(log n) steps; `take_idle` looks only at hosts that left
    before the given time, of which those with calls in flight stay (no more than there are slots).
    """

    __slots__ = ("_heap", "_numbers", "_next_number")

    def __init__(self) -> None:
        # Holds outdated entries too, of hosts that were discarded or added again.
        self._heap: list[tuple[int, int, Host]] = []
        self._numbers: dict[Host, int] = {}  # of each host's current entry
        self._next_number = count().__next__

    def __len__(self) -> int:
        return len(self._numbers)

    def add(self, host: Host) -> None:
        """Add a host that left the list; nothing new is sent to it since `host.drain_started_at`."""
        number = self._numbers[host] = self._next_number()
        heappush(self._heap, (host.drain_started_at, number, host))

    def discard(self, host: Host) -> None:
        """Remove a host that is in the list again."""
        self._numbers.pop(host, None)

    def take_idle(self, before: int) -> list[Host]:
        """Remove and returns the hosts that left before that time and have no call in flight."""
        idle = []
        busy = []
        while self._heap and self._heap[0][0] < before:
            _, number, host = heappop(self._heap)
            if self._numbers.get(host) != number:
                continue
            del self._numbers[host]
            (busy if host.in_flight else idle).append(host)
        for host in busy:
            self.add(host)
        return idle


class SlidingMaximum:
    """The maximum of the values added within a sliding window of time (a monotonic queue).

    Complexity: O(1) amortized, whatever the number of values within the window.
    """

    __slots__ = ("_queue",)

    def __init__(self) -> None:
        self._queue: deque[tuple[int, int]] = deque()  # times rise, values fall

    def __len__(self) -> int:
        return len(self._queue)

    def add(self, at: int, value: int) -> None:
        """Add a value; its time must not be before that of an earlier one."""
        while self._queue and self._queue[-1][1] <= value:
            self._queue.pop()
        self._queue.append((at, value))

    def maximum_since(self, after: int) -> int:
        """Return the maximum of the values after that time, 0 if there are none; drops older ones."""
        while self._queue and self._queue[0][0] <= after:
            self._queue.popleft()
        return self._queue[0][1] if self._queue else 0


class IdleConnectionLosses:
    """Hosts that lost calls on idle connections of late, each with the idle time of that connection.

    Complexity: O(log n) amortized for each method, in the number of these hosts.
    """

    __slots__ = ("_idle_times", "_latest")

    def __init__(self) -> None:
        self._latest: OrderedDict[Host, tuple[int, int]] = OrderedDict()  # time and idle time, earliest first
        self._idle_times: SortedList[int] = SortedList()

    def add(self, host: Host, at: int, idle: int) -> None:
        """Record a host's latest loss, which replaces an earlier one."""
        if host in self._latest:
            self._idle_times.remove(self._latest.pop(host)[1])
        self._latest[host] = at, idle
        self._idle_times.add(idle)

    def count_above(self, idle: int, after: int) -> int:
        """Count hosts with a loss after that time on a connection idle for longer; drops older ones."""
        while self._latest and next(iter(self._latest.values()))[0] <= after:
            _, (_, old) = self._latest.popitem(last=False)
            self._idle_times.remove(old)
        return len(self._idle_times) - self._idle_times.bisect_right(idle)


class RelayState:
    """The state of a relay, initially empty."""

    def __init__(self) -> None:
        self._hosts: dict[bytes, Host] = {}
        self._cordoned: dict[bytes, int] = {}  # cordoned hosts, and since when
        self._packets: dict[int, Packet] = {}
        self._keys: dict[int, OrderingKey] = {}
        self._open_packets = 0  # packets without a final outcome
        self._in_flight = 0  # calls
        self._overdue_calls: dict[Call, None] = {}
        self._timers: TimerQueue[TimerSubject] = TimerQueue()
        self._dirty: dict[Destination, None] = {}  # changed since they were evaluated
        self._candidates: list[tuple[float, int, CandidateCall]] = []  # a heap, with outdated ones
        # Destinations with a candidate call, the least recently evaluated one first.
        self._ready_destinations: OrderedDict[Destination, None] = OrderedDict()
        self._full_table_kinds: set[int] = set()  # of hosts whose connection tables were full
        self._answered_idle_times = SlidingMaximum()  # of connections on which calls were answered
        self._idle_connection_losses = IdleConnectionLosses()
        self._departed_hosts = DepartedHosts()
