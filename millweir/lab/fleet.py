"""A fleet of members in one process, on a seeded network in simulated time (nanoseconds).

The core is the one that the relay runs.  The same seed gives the same course to the last datagram.
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

OVERHEAD = HEAD.size + 28  # bytes of the seal, and of the headers below it
PORT = 7946
Make = Callable[..., Core]


class Node:
    """One simulated member: the core's port, and what a process of it would do."""

    __slots__ = ("core", "counts", "dead", "due", "early", "fleet", "inbox", "kept", "name", "paused")

    def __init__(self, fleet: Fleet, name: str) -> None:
        self.fleet, self.name = fleet, name
        self.core: Core | None = None
        self.dead = self.paused = False
        self.due = 0
        self.early = 0  # nanoseconds by which its timers fire early
        self.kept = 0
        self.inbox: list[object] = []
        self.counts = {"datagrams": 0, "bytes": 0, "wholes": 0, "said": {}}

    # The core's port.

    def send(self, to: Address, version: int, datagram: Datagram) -> None:
        self.counts["datagrams"] += 1
        size = len(encode(datagram)) + OVERHEAD
        self.counts["bytes"] += size
        self.fleet.carry(self, to, datagram)

    def request_full_state(self, to: Address) -> None:
        other = self.fleet.at.get(to)
        if other and not (self.fleet.cut(self.name, other.name) or self.fleet.cut(other.name, self.name)):
            self.counts["wholes"] += 1
            mine = self.core.build_full_state(1)
            self.counts["bytes"] += len(encode(mine)) + 6 * 40
            self.fleet.later(self.fleet.delay() * 3, other.whole_asked, self, mine)

    def set_timer(self, at: int) -> None:
        self.due = at
        after = at - self.fleet.now
        self.fleet.later(after - self.early if after > self.early else after, self.woken, at)

    def notify_status_change(self, change: Change) -> None:
        self.fleet.watch(self, change)

    def save_incarnation(self, incarnation: int) -> None:
        self.kept = incarnation

    def log_event(self, event: str, **fields: object) -> None:
        said = self.counts["said"]
        said[event] = said.get(event, 0) + 1

    # What happens to it.

    def woken(self, at: int) -> None:
        if at == self.due and not self.dead and not self.paused:
            self.core.time_passed(self.fleet.now)

    def get(self, told: ReceivedDatagram) -> None:
        if self.dead:
            return
        if self.paused:
            if len(self.inbox) < 1000:  # a socket's buffer
                self.inbox.append(told)
            return
        self.core.receive_datagram(self.fleet.now, told)

    def whole_asked(self, asker: Node, whole: FullState) -> None:
        if self.dead or self.paused:
            return
        answer = self.core.build_full_state(whole.sender.max_version)
        self.counts["bytes"] += len(encode(answer))
        self.core.receive_full_state(self.fleet.now, whole)
        self.fleet.later(self.fleet.delay(), asker.whole_answered, answer)

    def whole_answered(self, whole: FullState) -> None:
        if not self.dead and not self.paused:
            self.core.receive_full_state(self.fleet.now, whole)

    def pause(self) -> None:
        self.paused = True

    def resume(self) -> None:
        """As a loop does it: timers that are due first, then what lies in the socket."""
        if self.dead or not self.paused:
            return
        self.paused = False
        now = self.fleet.now
        if self.due <= now:
            self.core.time_passed(now)
        inbox, self.inbox = self.inbox, []
        for told in inbox:
            self.core.receive_datagram(now, told)

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
        """`known`: all hold each other for alive at the start; else they find each other by two seeds."""
        self.now = 0
        self.loss, self._delay = loss, delay
        self.chance = random.Random(seed)
        self._heap: list[tuple] = []
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
        birth = self.chance.getrandbits(62)
        return MemberRecord(node.name, birth, incarnation, ReportedState.ALIVE, host, port, node.name, 1, 2)

    def start(self, node: Node, kept: int = 0, contacts: Iterable[Address] | None = None) -> None:
        """A new process of it; `kept`: the incarnation that its folder holds."""
        node.dead = node.paused = False
        node.inbox.clear()
        seeds = [self.address(other) for other in self.nodes[:2]] if contacts is None else contacts
        node.core = self.make(
            node,
            self.rules,
            random.Random(self.chance.getrandbits(63)),
            self.now,
            self.claim(node, kept),
            seeds,
        )
        node.core.time_passed(self.now)

    def delay(self) -> int:
        return self.chance.randint(*self._delay)

    def carry(self, node: Node, to: Address, datagram: Datagram) -> None:
        other = self.at.get(to)
        if other is None or self.cut(node.name, other.name):
            return
        if self.loss and self.chance.random() < self.loss:
            return
        self.later(self.delay(), self._deliver, other, datagram)

    def _deliver(self, other: Node, datagram: Datagram) -> None:
        other.get(decode_datagram(encode(datagram)))

    def later(self, after: int, what: Callable[..., None], *args: object) -> None:
        self._number += 1
        heapq.heappush(self._heap, (self.now + max(after, 0), self._number, what, args))

    def run(self, until: int) -> None:
        heap = self._heap
        while heap and heap[0][0] <= until:
            self.now, _, what, args = heapq.heappop(heap)
            what(*args)
        self.now = until

    # What it came to.

    @property
    def living(self) -> list[Node]:
        return [node for node in self.nodes if not node.dead]

    def agreed(self) -> bool:
        """Every living member holds exactly the living for there."""
        names = {node.name for node in self.living}
        return all(
            {m.record.name for m in node.core.members.values() if m.status is MemberStatus.ALIVE}
            == names - {node.name}
            for node in self.living
        )

    def until_agreed(self, most: int, step: int = SECOND // 4) -> int:
        """Nanoseconds until all agree; -1 where they don't within `most`."""
        began = self.now
        while self.now - began < most:
            if self.agreed():
                return self.now - began
            self.run(self.now + step)
        return -1
