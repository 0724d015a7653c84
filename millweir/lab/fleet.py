"""Simulates a fleet of members in one process, on a seeded network in simulated time (nanoseconds).

The core is the one that the relay runs.  The same seed gives the same run, down to each datagram.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Iterable

from millweir.members.core import SECOND, Address, Change, Core, MemberStatus, Rules
from millweir.members.messages import (
    Datagram,
    FullState,
    MemberRecord,
    ReceivedDatagram,
    ReportedState,
    decode_datagram,
    encode,
)
from millweir.members.seal import HEAD

OVERHEAD = HEAD.size + 28  # bytes of the seal and of the IP and UDP headers
PORT = 7946
Make = Callable[..., Core]


class Node:
    """One simulated member: implements the core's port and simulates its process."""

    __slots__ = (
        "core",
        "counts",
        "dead",
        "timer_at",
        "early",
        "fleet",
        "inbox",
        "saved_incarnation",
        "name",
        "paused",
    )

    def __init__(self, fleet: Fleet, name: str) -> None:
        self.fleet, self.name = fleet, name
        self.core: Core | None = None
        self.dead = self.paused = False
        self.timer_at = 0
        self.early = 0  # nanoseconds by which its timers fire early
        self.saved_incarnation = 0
        self.inbox: list[object] = []
        self.counts = {"datagrams": 0, "bytes": 0, "wholes": 0, "said": {}}

    # Port of the core.

    def send(self, to: Address, version: int, datagram: Datagram) -> None:
        self.counts["datagrams"] += 1
        size = len(encode(datagram)) + OVERHEAD
        self.counts["bytes"] += size
        self.fleet.transmit(self, to, datagram)

    def request_full_state(self, to: Address) -> None:
        other = self.fleet.at.get(to)
        if other and not (self.fleet.cut(self.name, other.name) or self.fleet.cut(other.name, self.name)):
            self.counts["wholes"] += 1
            own_state = self.core.build_full_state(1)
            self.counts["bytes"] += len(encode(own_state)) + 6 * 40
            self.fleet.schedule(self.fleet.delay() * 3, other.receive_state_request, self, own_state)

    def set_timer(self, at: int) -> None:
        self.timer_at = at
        delay = at - self.fleet.now
        self.fleet.schedule(delay - self.early if delay > self.early else delay, self.run_timers, at)

    def notify_status_change(self, change: Change) -> None:
        self.fleet.watch(self, change)

    def save_incarnation(self, incarnation: int) -> None:
        self.saved_incarnation = incarnation

    def log_event(self, event: str, **fields: object) -> None:
        counts_by_event = self.counts["said"]
        counts_by_event[event] = counts_by_event.get(event, 0) + 1

    # Events.

    def run_timers(self, at: int) -> None:
        if at == self.timer_at and not self.dead and not self.paused:
            self.core.time_passed(self.fleet.now)

    def receive_datagram(self, datagram: ReceivedDatagram) -> None:
        if self.dead:
            return
        if self.paused:
            if len(self.inbox) < 1000:  # a socket's buffer
                self.inbox.append(datagram)
            return
        self.core.receive_datagram(self.fleet.now, datagram)

    def receive_state_request(self, requester: Node, state: FullState) -> None:
        if self.dead or self.paused:
            return
        reply = self.core.build_full_state(state.sender.max_version)
        self.counts["bytes"] += len(encode(reply))
        self.core.receive_full_state(self.fleet.now, state)
        self.fleet.schedule(self.fleet.delay(), requester.receive_state_reply, reply)

    def receive_state_reply(self, state: FullState) -> None:
        if not self.dead and not self.paused:
            self.core.receive_full_state(self.fleet.now, state)

    def pause(self) -> None:
        self.paused = True

    def resume(self) -> None:
        """Resume as an event loop does: first the timers that are due, then the datagrams in the socket."""
        if self.dead or not self.paused:
            return
        self.paused = False
        now = self.fleet.now
        if self.timer_at <= now:
            self.core.time_passed(now)
        inbox, self.inbox = self.inbox, []
        for datagram in inbox:
            self.core.receive_datagram(now, datagram)

    def kill(self) -> None:
        self.dead = True
        self.inbox.clear()


class Fleet:
    """Members, a network and a clock."""

    def __init__(
        self,
        size: int,
        seed: int,
        rules: Rules | None = None,
        make: Make = Core,
        loss: float = 0.0,
        delay: tuple[int, int] = (200_000, 2_000_000),
        known: bool = True,
    ) -> None:
        """`known`: all see each other as alive at the start; otherwise they join through two seeds."""
        self.now = 0
        self.loss, self._delay = loss, delay
        self.rng = random.Random(seed)
        self._events: list[tuple] = []
        self._number = 0
        self.rules = rules or Rules()
        self.cut: Callable[[str, str], bool] = lambda start, end: False
        self.watch: Callable[[Node, Change], None] = lambda node, change: None
        self.make = make
        self.nodes = [Node(self, f"m{n}") for n in range(size)]
        self.at = {self.address(node): node for node in self.nodes}
        for node in self.nodes:
            self.start(node, 0, [] if known else None)
        if known:
            seeds = [self.address(node) for node in self.nodes[:2]]
            for node in self.nodes:
                for other in self.nodes:
                    if other is not node:
                        node.core.add_known_member(0, other.core.me)
                node.core.finish_bootstrap(0, seeds)

    def address(self, node: Node) -> Address:
        number = int(node.name[1:])
        return f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}", PORT

    def claim(self, node: Node, incarnation: int) -> MemberRecord:
        host, port = self.address(node)
        birth = self.rng.getrandbits(62)
        return MemberRecord(node.name, birth, incarnation, ReportedState.ALIVE, host, port, node.name, 1, 2)

    def start(
        self, node: Node, saved_incarnation: int = 0, contacts: Iterable[Address] | None = None
    ) -> None:
        """Start a new process of a member; `saved_incarnation` is the incarnation saved in its folder."""
        node.dead = node.paused = False
        node.inbox.clear()
        seeds = [self.address(other) for other in self.nodes[:2]] if contacts is None else contacts
        node.core = self.make(
            node,
            self.rules,
            random.Random(self.rng.getrandbits(63)),
            self.now,
            self.claim(node, saved_incarnation),
            seeds,
        )
        node.core.time_passed(self.now)

    def delay(self) -> int:
        return self.rng.randint(*self._delay)

    def transmit(self, node: Node, to: Address, datagram: Datagram) -> None:
        other = self.at.get(to)
        if other is None or self.cut(node.name, other.name):
            return
        if self.loss and self.rng.random() < self.loss:
            return
        self.schedule(self.delay(), self._deliver, other, datagram)

    def _deliver(self, other: Node, datagram: Datagram) -> None:
        other.receive_datagram(decode_datagram(encode(datagram)))

    def schedule(self, delay: int, action: Callable[..., None], *args: object) -> None:
        self._number += 1
        heapq.heappush(self._events, (self.now + max(delay, 0), self._number, action, args))

    def run(self, until: int) -> None:
        events = self._events
        while events and events[0][0] <= until:
            self.now, _, action, args = heapq.heappop(events)
            action(*args)
        self.now = until

    # Results.

    @property
    def live_nodes(self) -> list[Node]:
        return [node for node in self.nodes if not node.dead]

    def agreed(self) -> bool:
        """Tell whether every live member sees exactly the live members as alive."""
        names = {node.name for node in self.live_nodes}
        return all(
            {m.record.name for m in node.core.members.values() if m.status is MemberStatus.ALIVE}
            == names - {node.name}
            for node in self.live_nodes
        )

    def until_agreed(self, most: int, step: int = SECOND // 4) -> int:
        """Run until all agree; return the nanoseconds it took, or -1 if they do not within `most`."""
        began = self.now
        while self.now - began < most:
            if self.agreed():
                return self.now - began
            self.run(self.now + step)
        return -1
