"""One process with many hollow members: the real deciding core on real loopback sockets, and nothing else.

Each member has the relay's own links (a UDP socket and a TCP listener on an address of its own), its own
table, timers and counts.  What is shared: the event loop, and the claims that all know at the start, which
are immutable.  The members know each other when they start, as in a fleet that has been up for long.

Started by `membership_fleet.py` with a `Plan` on its standard input; ends when that is closed.
"""

from __future__ import annotations

import asyncio
import contextlib
import gc
import os
import random
import sys
import time
from collections import Counter

import msgspec
import uvloop

from millweir.lab.scale.guard import resident_memory
from millweir.lab.scale.membership_messages import (
    CUT_REGION,
    SEEDS,
    Begin,
    Built,
    Command,
    Cut,
    End,
    Heal,
    Kill,
    Plan,
    Report,
    Restart,
    Samples,
    View,
    address_of,
    hole_address,
    name_of,
    region_of,
)
from millweir.members.core import Address, Change, Core, MemberStatus, Rules
from millweir.members.links import MemberTransport
from millweir.members.messages import (
    PROTOCOL_VERSIONS,
    Datagram,
    FullState,
    MemberRecord,
    ReceivedDatagram,
    ReportedState,
    mark,
)
from millweir.members.seal import Authenticator

CLUSTER = "scale"
KEY = b"a key as a fleet would have one"
BYTES_MOST = 256 << 10  # as in `[members]` by default
UDP_HEADERS = 28  # bytes of IP and UDP
VIEW_EVERY = 0.25  # seconds
SAMPLE_EVERY = 1.0
LEAVE_TIME = 0.4  # seconds in which a leave is told, as in the relay
DOWN_TIME = 2.0  # seconds from a member's end to its next start
DIGESTS_TOLD = 4

now = time.monotonic_ns
spent = time.thread_time_ns


class MeteredLinks(MemberTransport):
    """The relay's links; the processor time that each call takes goes to its member's meter."""

    def __init__(
        self, member: HollowMember, seal: Authenticator, via: dict[Address, Address], members_most: int
    ):
        super().__init__(
            seal,
            via,
            members_most,
            BYTES_MOST,
            member.heard,
            member.whole_told,
            member.whole,
            member.refused,
        )
        self._member = member

    def datagram_received(self, data: bytes, addr: Address) -> None:
        began = spent()
        super().datagram_received(data, addr)
        self._member.processor += spent() - began

    def _encode_full_state(self, high: int) -> bytes:
        began = spent()
        raw = super()._encode_full_state(high)
        self._member.processor += spent() - began
        return raw

    def _decode_full_state(self, raw: bytes) -> FullState:
        began = spent()
        whole = super()._decode_full_state(raw)
        self._member.processor += spent() - began
        return whole


class HollowMember:
    """One member: the core's port, its links and what it has cost."""

    def __init__(self, process: HollowProcess, number: int, kept: int) -> None:
        self.process, self.number, self.kept = process, number, kept
        self.name = name_of(number)
        self.core: Core | None = None
        self.links: MeteredLinks | None = None
        self.claim = process.claim_of(number, kept)
        self.processor = 0  # nanoseconds
        self._timer: asyncio.TimerHandle | None = None

    async def open(self) -> None:
        """Bind the sockets; OSError where the address is taken."""
        seal = Authenticator(CLUSTER, (KEY,), self.claim.run_id, PROTOCOL_VERSIONS)
        via = self.process.way_of(self.number)
        self.links = MeteredLinks(self, seal, via, self.process.rules.max_members)
        await self.links.open(self.claim.address)

    def start(self, at: int, contacts: list[Address]) -> None:
        """Begin at a time, now or to come."""
        chance = random.Random(f"{self.process.plan.seed} {self.number} {self.claim.run_id}")
        self.core = Core(self, self.process.rules, chance, at, self.claim, contacts)

    def end(self) -> None:
        """Like a killed process: no word, and its sockets are closed."""
        if self._timer:
            self._timer.cancel()
        self.links.close()
        self.core = None

    @property
    def sent_bytes(self) -> int:
        counts = self.links.counts
        return counts["sent_bytes"] + UDP_HEADERS * counts["sent"] + counts["whole_bytes_sent"]

    # The core's port.

    def send(self, to: Address, version: int, datagram: Datagram) -> None:
        self.links.send(to, version, datagram)

    def request_full_state(self, to: Address) -> None:
        self.links.request_full_state(to)

    def set_timer(self, at: int) -> None:
        if self._timer:
            self._timer.cancel()
        loop = self.process.loop
        self._timer = loop.call_later(max(at - now(), 0) / 1e9, self._woken)

    def notify_status_change(self, change: Change) -> None:
        self.process.notify_status_change(self, change)

    def save_incarnation(self, incarnation: int) -> None:
        self.kept = incarnation

    def log_event(self, event: str, **fields: object) -> None:
        self.process.counts[event] += 1

    # What the timer and the links tell.

    def _woken(self) -> None:
        self._timer = None
        began = spent()
        self.core.time_passed(now())
        self.processor += spent() - began

    def heard(self, told: ReceivedDatagram) -> None:
        if self.core:
            self.core.receive_datagram(now(), told)

    def whole_told(self, whole: FullState) -> None:
        if self.core:
            began = spent()
            self.core.receive_full_state(now(), whole)
            self.processor += spent() - began

    def whole(self, high: int) -> FullState:
        if not self.core:
            raise OSError("this member has ended")
        return self.core.build_full_state(high)

    def refused(self, reason: str, peer: str) -> None:
        self.process.counts[f"refused-{reason}"] += 1


class Samplings:
    """Samples of one window."""

    def __init__(self) -> None:
        self.sent_bytes: list[int] = []
        self.processor: list[int] = []
        self.began_at = now()
        self.process_time = time.process_time_ns()
        self.at_begin: dict[int, tuple[int, int]] = {}
        self.last: dict[int, tuple[int, int]] = {}


class HollowProcess:
    """The members of one process, and the far end of the lines that tell it what to do."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.loop = asyncio.get_running_loop()
        self.rules = Rules(max_members=max(4096, 2 * plan.size))
        self.members: dict[int, HollowMember] = {}
        self.counts: Counter[str] = Counter()
        self.dead: set[str] = set()
        self.is_cut = False
        # Where a member's datagrams go instead, for members inside the region that is cut off and outside.
        self._inside: dict[Address, Address] = {}
        self._outside: dict[Address, Address] = {}
        self._window = Samplings()
        self._tasks: set[asyncio.Task[None]] = set()
        self._births = random.Random(f"{plan.seed} {plan.index}")

    # Making the members.

    def claim_of(self, number: int, kept: int) -> MemberRecord:
        """What a new process of a member says of itself; its first birth is known to all processes."""
        host, port = address_of(number, self.plan.port)
        birth = number + 1 if not kept else self._births.getrandbits(62) | 1 << 61
        return MemberRecord(
            name_of(number), birth, kept, ReportedState.ALIVE, host, port, name_of(number), *PROTOCOL_VERSIONS
        )

    def way_of(self, number: int) -> dict[Address, Address]:
        return self._inside if region_of(number) == CUT_REGION else self._outside

    def seeds(self) -> list[Address]:
        return [address_of(number, self.plan.port) for number in range(SEEDS)]

    async def build(self) -> Built:
        """Make all members, knowing each other; their time begins at the planned one."""
        before, at = resident_memory(os.getpid()), self.plan.start_at
        claims = [
            msgspec.structs.replace(self.claim_of(number, 0), incarnation=1)
            for number in range(self.plan.size)
        ]
        for number in self.plan.own():
            member = self.members[number] = HollowMember(self, number, 0)
            await member.open()
            member.start(at, [])
            for claim in claims:
                if claim.name != member.name:
                    member.core.add_known_member(at, claim)
            member.core.finish_bootstrap(at, self.seeds())
        gc.collect()
        gc.freeze()
        resident = resident_memory(os.getpid())
        late = (now() - at) / 1e9
        if late < 0:
            await asyncio.sleep(-late)
        return Built(late, before, resident)

    # What is told from outside.

    def obey(self, command: Command) -> None:
        if isinstance(command, Kill):
            self._kill(command.members)
        elif isinstance(command, Restart):
            self._keep_task(self._restart(command.member))
        elif isinstance(command, Cut):
            self._cut()
        elif isinstance(command, Heal):
            self.is_cut = False
            self._inside.clear()
            self._outside.clear()
        elif isinstance(command, Begin):
            self._begin_window()
        elif isinstance(command, End):
            tell(self._samples())

    def _kill(self, numbers: tuple[int, ...]) -> None:
        self.dead.update(name_of(number) for number in numbers)
        for number in numbers:
            member = self.members.pop(number, None)
            if member:
                member.end()

    def _cut(self) -> None:
        hole = hole_address(self.plan.port)
        self.is_cut = True
        for number in range(self.plan.size):
            way = self._outside if region_of(number) == CUT_REGION else self._inside
            way[address_of(number, self.plan.port)] = hole

    async def _restart(self, number: int) -> None:
        name = name_of(number)
        self.dead.add(name)
        member = self.members.get(number)
        if member:
            member.core.leave(now())
            await asyncio.sleep(LEAVE_TIME)
            del self.members[number]
            member.end()
            await asyncio.sleep(DOWN_TIME)
            again = HollowMember(self, number, member.kept)
            await again.open()
            again.start(now(), self.seeds())
            self.members[number] = again
            again.core.time_passed(now())
        else:
            await asyncio.sleep(LEAVE_TIME + DOWN_TIME)
        self.dead.discard(name)

    def _keep_task(self, work: object) -> None:
        task = self.loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # What is counted.

    def notify_status_change(self, member: HollowMember, change: Change) -> None:
        """A death is false where the member lives and nothing cuts it off from the one that says so."""
        if change.after not in (MemberStatus.GONE, MemberStatus.SUSPECTED) or change.name in self.dead:
            return
        other = int(change.name[1:])
        apart = (region_of(other) == CUT_REGION) != (region_of(member.number) == CUT_REGION)
        if self.is_cut and apart:
            return
        self.counts["false-deaths" if change.after is MemberStatus.GONE else "false-suspicions"] += 1

    def _meters(self) -> dict[int, tuple[int, int]]:
        return {
            number: (member.sent_bytes, member.processor)
            for number, member in self.members.items()
            if member.core
        }

    def _begin_window(self) -> None:
        self._window = Samplings()
        self._window.at_begin = self._window.last = self._meters()
        self.counts.clear()
        for member in self.members.values():
            member.links.counts["unsent"] = 0

    def _sample(self) -> None:
        window, meters = self._window, self._meters()
        for number, (sent, processor) in meters.items():
            sent_before, processor_before = window.last.get(number, (0, 0))
            if sent >= sent_before:  # else it is a new process of that member
                window.sent_bytes.append(sent - sent_before)
                window.processor.append(processor - processor_before)
        window.last = meters

    def _samples(self) -> Samples:
        window = self._window
        counts = self.counts.copy()
        counts["unsent"] = sum(member.links.counts["unsent"] for member in self.members.values())
        members = [
            (sent - window.at_begin[number][0], processor - window.at_begin[number][1])
            for number, (sent, processor) in self._meters().items()
            if number in window.at_begin and sent >= window.at_begin[number][0]
        ]
        return Samples(
            window.sent_bytes,
            window.processor,
            members,
            time.process_time_ns() - window.process_time,
            (now() - window.began_at) / 1e9,
            dict(counts),
        )

    def _view(self) -> View:
        digests, truth = set(), 0
        for member in self.members.values():
            me = member.core.me
            digests.add(member.core.digest)
            truth ^= mark(me.name, me.incarnation, me.run_id)
        return View(now(), tuple(sorted(digests)[:DIGESTS_TOLD]), truth)

    async def tell_views(self) -> None:
        while True:
            await asyncio.sleep(VIEW_EVERY)
            tell(self._view())

    async def take_samples(self) -> None:
        due = now() / 1e9
        while True:
            due += SAMPLE_EVERY
            await asyncio.sleep(max(due - now() / 1e9, 0))
            self._sample()


def tell(report: Report) -> None:
    sys.stdout.buffer.write(msgspec.json.encode(report) + b"\n")
    sys.stdout.buffer.flush()


async def run() -> None:
    """Until the standard input ends."""
    reader = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    decoder = msgspec.json.Decoder(Command)
    process = HollowProcess(decoder.decode(await reader.readline()))
    tell(await process.build())
    process._keep_task(process.tell_views())
    process._keep_task(process.take_samples())
    with contextlib.suppress(asyncio.IncompleteReadError):
        while True:
            process.obey(decoder.decode(await reader.readuntil()))


if __name__ == "__main__":
    uvloop.run(run())
