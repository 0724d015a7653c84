"""Bare records of the decision module; every decision on them is in control.py."""

from __future__ import annotations

from collections import OrderedDict, deque
from heapq import heappop, heappush
from itertools import count
from typing import TYPE_CHECKING

from sortedcontainers import SortedList

if TYPE_CHECKING:
    from millweir.events import EndReason
    from millweir.interface import Entry, Profile
    from millweir.order import Curve, Order


NEVER = 1 << 62


class Route:
    """What one limit holds for: a destination, or one host of it where routes are apart."""

    __slots__ = (
        "cut_at",
        "last_ejected",
        "last_trial_at",
        "limit",
        "listed",
        "log",
        "out",
        "pressed",
        "raised_at",
        "resume_at",
        "share",
        "top",
        "turned",
        "turned_at",
        "wait_until",
    )

    def __init__(self, listed: float, share: float, top: float, now: int) -> None:
        self.listed = listed
        self.limit = share
        self.share = share
        self.top = top
        self.log: deque[int] = deque()
        self.out = 0
        self.wait_until = 0
        self.pressed = False
        self.raised_at = now
        self.cut_at = now - 1  # nothing is known of its limit yet
        self.turned = 0
        self.turned_at = -NEVER
        self.last_ejected: Host | None = None  # the host there that was set aside last
        self.last_trial_at = -NEVER  # of any ejected host there
        self.resume_at = 0  # nothing is sent before that, at random behind the end of a wait


class Host:
    """All that is known of one host."""

    __slots__ = (
        "clear_at",
        "confirm_by",
        "destination",
        "ejected_at",
        "failed_at",
        "failure_score",
        "fee",
        "freed_at",
        "id",
        "idle_lost",
        "kind",
        "last_call_at",
        "latency",
        "left_at",
        "lingering",
        "links",
        "lost",
        "out",
        "overdue",
        "pace",
        "ready",
        "recovered_at",
        "refused_at",
        "refused_in_row",
        "route",
        "spread",
        "stale_at",
        "suspected_at",
        "used_at",
        "well_at",
        "zone",
    )

    def __init__(self, entry: Entry, destination: Destination, route: Route, fee: float) -> None:
        self.id = entry.host
        self.fee = fee  # of gain, for each packet that it takes on
        self.kind = entry.kind
        self.zone = entry.zone
        self.destination = destination
        self.route = route
        self.left_at = 0
        self.ready = False  # as the list says
        self.out = 0
        self.overdue = 0
        self.latency = 0
        self.spread = 0
        self.links = 0
        self.clear_at = 0
        self.failed_at = 0  # when a call to it failed last
        self.refused_at = 0  # when a call to it was refused last
        self.refused_in_row = 0  # calls refused with none gone well between
        self.failure_score = 0.0
        self.pace = 0.0
        self.well_at = 0  # when a call to it went well last; 0: none in this life
        self.suspected_at = 0  # when its first call failed, while that is all that is known
        self.confirm_by = 0  # until when one more call may follow that at once
        self.ejected_at = 0
        self.recovered_at = 0
        self.last_call_at = 0
        self.used_at = 0
        self.lost = 0
        self.freed_at = 0
        self.stale_at = -NEVER
        self.idle_lost = 0
        self.lingering: list[Packet] = []  # whose trips here were given up and may run on

    def eject_like(self, other: Host) -> None:
        """It has that one's place in its way back."""
        self.failure_score = other.failure_score
        self.pace = other.pace
        self.ejected_at = other.ejected_at
        self.recovered_at = other.recovered_at
        self.last_call_at = other.last_call_at
        self.suspected_at = other.suspected_at

    def tight(self, now: int) -> bool:
        """Its connection table was full a moment ago, and it has as many calls as then."""
        return self.out >= self.links and self.clear_at > now


class Destination:
    """Where packets are bound, with its hosts and the packets held for it."""

    __slots__ = ("due_at", "held", "hosts", "load", "order", "route", "taken", "weighed_at")

    def __init__(self, order: Order) -> None:
        self.hosts: dict[Host, None] = {}  # those that the list names
        self.order = order  # held packets that may go, but for their hosts
        self.held = 0  # all held packets
        self.load: Load | None = None  # the next call here, as weighed last
        self.weighed_at = -1
        self.due_at = 0  # when it is to be looked at again
        self.route: Route | None = None
        self.taken = 0


class Load:
    """A call that might be made next."""

    __slots__ = ("home", "hosts", "loss", "packets", "saved")

    def __init__(
        self, saved: float, loss: float, home: Destination, hosts: list[Host], packets: list[Packet]
    ) -> None:
        self.saved = saved  # gain for each second of a slot
        self.loss = loss  # of gain, if it were put off for a quoted time
        self.home = home
        self.hosts = hosts
        self.packets = packets


class Key:
    """Packets of one key in the order taken."""

    __slots__ = ("id", "line", "rest_until")

    def __init__(self, ident: int) -> None:
        self.id = ident
        self.line: deque[Packet] = deque()
        self.rest_until = 0


class Call:
    """One call out to a host; packets sent to it in one turn share it."""

    __slots__ = (
        "fresh",
        "given_up",
        "host",
        "idle",
        "judged",
        "late",
        "left",
        "overdue_at",
        "sent_at",
        "shared",
        "stop",
        "trips",
        "yields_at",
    )

    def __init__(self, host: Host | None, sent_at: int, shared: bool) -> None:
        self.host = host  # none for a call made before a restart
        self.sent_at = sent_at
        self.shared = shared  # by several packets
        self.left = 0
        self.late = False
        self.judged = False
        self.given_up = False
        self.idle = 0
        self.fresh = False
        self.overdue_at = 0
        self.yields_at = 0
        self.stop = NEVER  # when the first of its packets has to end
        self.trips: list[tuple[Packet, int]] = []

    def carry(self, packet: Packet) -> None:
        """One packet more travels in it."""
        self.stop = min(self.stop, packet.hard_stop)
        self.trips.append((packet, len(packet.trips)))
        packet.trips.append(Trip(self))
        packet.out += 1
        self.left += 1


class Trip:
    """One packet's part in a call."""

    __slots__ = ("call", "over", "void")

    def __init__(self, call: Call, over: bool = False, void: bool = False) -> None:
        self.call = call
        self.over = over
        self.void = void


class Packet:
    """A packet that this relay took."""

    __slots__ = (
        "aim_at",
        "alone",
        "bound",
        "curve",
        "destination",
        "end_reason",
        "ended",
        "gain",
        "hard_stop",
        "held",
        "id",
        "key",
        "last",
        "lingers",
        "nth",
        "out",
        "profile",
        "restored",
        "trips",
        "weight",
    )

    def __init__(
        self, ident: int, nth: int, profile: Profile, curve: Curve, destination: Destination, hard_stop: int
    ) -> None:
        self.id = ident
        self.nth = nth  # in the order taken
        self.profile = profile
        self.curve = curve
        self.destination = destination
        self.hard_stop = hard_stop
        self.aim_at = hard_stop - profile.give_up + profile.quoted  # by when it is wanted
        self.gain = 0.0
        self.restored = False  # an earlier life took it on
        self.key: Key | None = None
        self.trips: list[Trip] = []
        self.out = 0
        self.held = False
        self.weight = 0.0  # among those that may go, 0 while it is none of them
        self.alone = False
        self.bound: int | None = None  # to the zone in which its repeat is known
        self.last = False  # no more than one trip is left to it
        self.lingers = False  # its last trip may run on, and no two may run at once
        self.ended = False
        self.end_reason: EndReason | None = None  # where it ended undelivered


Due = Packet | Call | Host | Key | Destination | None  # what an agenda holds; None asks for the list


class DepartedHosts:
    """Hosts that the list names no more, until they are forgotten; the one that left first is found first.

    Growth: `add` and `discard` take log n steps at most; `take_idle` looks at those that left before the
    given time alone, of which those with calls out stay (no more than there are slots).
    """

    __slots__ = ("_heap", "_numbers", "_next_number")

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, Host]] = []  # also entries of hosts discarded or added again since
        self._numbers: dict[Host, int] = {}  # of the entry that holds for each host
        self._next_number = count().__next__

    def __len__(self) -> int:
        return len(self._numbers)

    def add(self, host: Host) -> None:
        """It left the list; `host.left_at` says since when nothing new is for it."""
        number = self._numbers[host] = self._next_number()
        heappush(self._heap, (host.left_at, number, host))

    def discard(self, host: Host) -> None:
        """It is in the list again."""
        self._numbers.pop(host, None)

    def take_idle(self, before: int) -> list[Host]:
        """Those that left before that time and have no call out; they are kept here no longer."""
        idle = []
        busy = []
        while self._heap and self._heap[0][0] < before:
            _, number, host = heappop(self._heap)
            if self._numbers.get(host) != number:
                continue
            del self._numbers[host]
            (busy if host.out else idle).append(host)
        for host in busy:
            self.add(host)
        return idle


class SlidingMaximum:
    """The greatest of the values added within a window of time (a monotonic queue).

    Growth: constant, amortized, in the number of values within the window.
    """

    __slots__ = ("_queue",)

    def __init__(self) -> None:
        self._queue: deque[tuple[int, int]] = deque()  # times rise, values fall

    def __len__(self) -> int:
        return len(self._queue)

    def add(self, at: int, value: int) -> None:
        """A value at that time, which is no earlier than any before."""
        while self._queue and self._queue[-1][1] <= value:
            self._queue.pop()
        self._queue.append((at, value))

    def greatest(self, after: int) -> int:
        """The greatest value from after that time, 0 where there is none; what is older is dropped."""
        while self._queue and self._queue[0][0] <= after:
            self._queue.popleft()
        return self._queue[0][1] if self._queue else 0


class IdleLosses:
    """Hosts that lost calls on idle links of late, and for how long the link had been idle.

    Growth: each step takes log n steps, amortized, in the number of these hosts.
    """

    __slots__ = ("_idle_times", "_latest")

    def __init__(self) -> None:
        self._latest: OrderedDict[Host, tuple[int, int]] = OrderedDict()  # when and how long, earliest first
        self._idle_times: SortedList[int] = SortedList()

    def add(self, host: Host, at: int, idle: int) -> None:
        """Its latest loss, which takes the place of an earlier one."""
        if host in self._latest:
            self._idle_times.remove(self._latest.pop(host)[1])
        self._latest[host] = at, idle
        self._idle_times.add(idle)

    def count_above(self, idle: int, after: int) -> int:
        """How many lost a call after that time on links idle for longer; what is older is dropped."""
        while self._latest and next(iter(self._latest.values()))[0] <= after:
            _, (_, old) = self._latest.popitem(last=False)
            self._idle_times.remove(old)
        return len(self._idle_times) - self._idle_times.bisect_right(idle)


class Books:
    """All that a relay keeps, empty as yet."""

    def __init__(self) -> None:
        self._hosts: dict[bytes, Host] = {}
        self._cordoned: dict[bytes, int] = {}  # hosts out by hand, since when
        self._packets: dict[int, Packet] = {}
        self._keys: dict[int, Key] = {}
        self._open = 0  # packets without their end
        self._out = 0  # calls
        self._overdue: dict[Call, None] = {}
        self._agenda: list[tuple[int, int, Due]] = []  # by time, then as entered
        self._stirred: dict[Destination, None] = {}  # something there has changed
        self._loads: list[tuple[float, int, Load]] = []  # and outdated ones
        self._ready: OrderedDict[Destination, None] = OrderedDict()  # the one weighed longest ago first
        self._tight_kinds: set[int] = set()  # of hosts whose connection tables were full
        self._idle_answered = SlidingMaximum()  # on links idle for how long
        self._idle_losses = IdleLosses()
        self._departed = DepartedHosts()
