"""Bare records of the decision module; every decision on them is in control.py."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from millweir.interface import Entry, Profile
    from millweir.order import Curve, Order


NEVER = 1 << 62


class Route:
    """What one limit holds for: a destination, or one host of it where routes are apart."""

    __slots__ = (
        "cut_at",
        "ill",
        "limit",
        "listed",
        "log",
        "out",
        "pressed",
        "raised_at",
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
        self.ill: Host | None = None  # the host there that was set aside last


class Host:
    """All that is known of one host."""

    __slots__ = (
        "back_at",
        "clear_at",
        "destination",
        "doubt",
        "fee",
        "freed_at",
        "id",
        "idle_lost",
        "idle_lost_at",
        "kind",
        "latency",
        "left_at",
        "lingering",
        "links",
        "lost",
        "out",
        "overdue",
        "pace",
        "ready",
        "route",
        "set_at",
        "spread",
        "stale_at",
        "tried_at",
        "used_at",
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
        self.doubt = 0.0
        self.pace = 0.0
        self.set_at = 0
        self.back_at = 0
        self.tried_at = 0
        self.used_at = 0
        self.lost = 0
        self.freed_at = 0
        self.stale_at = -NEVER
        self.idle_lost = 0
        self.idle_lost_at = 0
        self.lingering: list[Packet] = []  # whose trips here were given up and may run on

    def set_aside_as(self, other: Host) -> None:
        """It has that one's place in its way back."""
        self.doubt, self.pace, self.set_at = other.doubt, other.pace, other.set_at
        self.back_at, self.tried_at = other.back_at, other.tried_at

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
        self.yields_at = 0
        self.stop = NEVER  # when the first of its packets has to end
        self.trips: list[tuple[Packet, int]] = []

    def carry(self, packet: Packet) -> None:
        """One packet more travels in it."""
        self.stop = min(self.stop, packet.hard_stop)
        self.trips.append((packet, len(packet.trips)))
        packet.trips.append(Trip(self))
        packet.out, self.left = packet.out + 1, self.left + 1


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


Due = Packet | Call | Host | Key | Destination | None  # what an agenda holds; None asks for the list


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
        self._ready: dict[Destination, None] = {}  # the one weighed longest ago first
        self._tight_kinds: set[int] = set()  # of hosts whose connection tables were full
        self._idle_answered: list[tuple[int, int]] = []  # when, and on a link idle for how long
