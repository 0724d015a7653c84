"""One process with many hollow members: only the real membership core on real loopback sockets.

Each member has the relay's own transport (a UDP socket and a TCP listener on its own address), its own
table, timers and counts.  The event loop is shared, and so are the member records known at the start, which
are immutable.  The members know each other when they start, as in a long-running fleet.

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

from millweir.lab.scale.guard import get_resident_memory
from millweir.lab.scale.membership_messages import (
    CUT_REGION,
    SEED_COUNT,
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
    format_name,
    get_address,
    get_black_hole_address,
    get_region,
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

CLUSTER_NAME = "scale"
KEY = b"a key as a fleet would have one"
MAX_BYTES_PER_SECOND = 256 << 10  # the default of `[members]`
UDP_HEADER_BYTES = 28  # IP and UDP
VIEW_INTERVAL_SECONDS = 0.25
SAMPLE_INTERVAL_SECONDS = 1.0
LEAVE_SECONDS = 0.4  # for the dissemination of a leave, as in the relay
DOWN_SECONDS = 2.0  # from a member's end to its next start
MAX_REPORTED_DIGESTS = 4

now = time.monotonic_ns
thread_time_ns = time.thread_time_ns


class MeteredTransport(MemberTransport):
    """The relay's transport; adds the processor time of each call to its member's total."""

    def __init__(
        self,
        member: HollowMember,
        authenticator: Authenticator,
        address_overrides: dict[Address, Address],
        max_members: int,
    ):
        super().__init__(
            authenticator,
            address_overrides,
            max_members,
            MAX_BYTES_PER_SECOND,
            member.handle_datagram,
            member.handle_full_state,
            member.get_full_state,
            member.count_rejection,
        )
        self._member = member

    def datagram_received(self, data: bytes, addr: Address) -> None:
        started_at = thread_time_ns()
        super().datagram_received(data, addr)
        self._member.processor += thread_time_ns() - started_at

    def _encode_full_state(self, high: int) -> bytes:
        started_at = thread_time_ns()
        encoded = super()._encode_full_state(high)
        self._member.processor += thread_time_ns() - started_at
        return encoded

    def _decode_full_state(self, encoded: bytes) -> FullState:
        started_at = thread_time_ns()
        full_state = super()._decode_full_state(encoded)
        self._member.processor += thread_time_ns() - started_at
        return full_state


class HollowMember:
    """One member: the core's port, its transport and its cost."""

    def __init__(self, process: HollowProcess, number: int, saved_incarnation: int) -> None:
        self.process, self.number, self.saved_incarnation = process, number, saved_incarnation
        self.name = format_name(number)
        self.core: Core | None = None
        self.transport: MeteredTransport | None = None
        self.record = process.build_record(number, saved_incarnation)
        self.processor = 0  # nanoseconds
        self._timer: asyncio.TimerHandle | None = None

    async def open(self) -> None:
        """Binds the sockets; raises OSError if the address is in use."""
        authenticator = Authenticator(CLUSTER_NAME, (KEY,), self.record.run_id, PROTOCOL_VERSIONS)
        address_overrides = self.process.get_address_overrides(self.number)
        self.transport = MeteredTransport(
            self, authenticator, address_overrides, self.process.rules.max_members
        )
        await self.transport.open(self.record.address)

    def start(self, at: int, contacts: list[Address]) -> None:
        """Starts the core at a time, now or in the future."""
        rng = random.Random(f"{self.process.plan.seed} {self.number} {self.record.run_id}")
        self.core = Core(self, self.process.rules, rng, at, self.record, contacts)

    def stop(self) -> None:
        """Stops as a killed process would: without a leave message, with its sockets closed."""
        if self._timer:
            self._timer.cancel()
        self.transport.close()
        self.core = None

    @property
    def sent_bytes(self) -> int:
        counts = self.transport.counts
        return counts["sent_bytes"] + UDP_HEADER_BYTES * counts["sent"] + counts["whole_bytes_sent"]

    # The core's port.

    def send(self, to: Address, version: int, datagram: Datagram) -> None:
        self.transport.send(to, version, datagram)

    def request_full_state(self, to: Address) -> None:
        self.transport.request_full_state(to)

    def set_timer(self, at: int) -> None:
        if self._timer:
            self._timer.cancel()
        loop = self.process.loop
        self._timer = loop.call_later(max(at - now(), 0) / 1e9, self._handle_timer)

    def notify_status_change(self, change: Change) -> None:
        self.process.notify_status_change(self, change)

    def save_incarnation(self, incarnation: int) -> None:
        self.saved_incarnation = incarnation

    def log_event(self, event: str, **fields: object) -> None:
        self.process.counts[event] += 1

    # Events of the timer and the transport.

    def _handle_timer(self) -> None:
        self._timer = None
        started_at = thread_time_ns()
        self.core.time_passed(now())
        self.processor += thread_time_ns() - started_at

    def handle_datagram(self, datagram: ReceivedDatagram) -> None:
        if self.core:
            self.core.receive_datagram(now(), datagram)

    def handle_full_state(self, full_state: FullState) -> None:
        if self.core:
            started_at = thread_time_ns()
            self.core.receive_full_state(now(), full_state)
            self.processor += thread_time_ns() - started_at

    def get_full_state(self, high: int) -> FullState:
        if not self.core:
            raise OSError("this member has stopped")
        return self.core.build_full_state(high)

    def count_rejection(self, reason: str, peer: str) -> None:
        self.process.counts[f"refused-{reason}"] += 1


class SamplingState:
    """State of the sampling of one window."""

    def __init__(self) -> None:
        self.sent_bytes: list[int] = []
        self.processor: list[int] = []
        self.started_at = now()
        self.process_time = time.process_time_ns()
        self.initial: dict[int, tuple[int, int]] = {}
        self.last: dict[int, tuple[int, int]] = {}


class HollowProcess:
    """The members of one process; executes the commands of the scale test."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.loop = asyncio.get_running_loop()
        self.rules = Rules(max_members=max(4096, 2 * plan.size))
        self.members: dict[int, HollowMember] = {}
        self.counts: Counter[str] = Counter()
        self.dead_names: set[str] = set()
        self.is_cut = False
        # Address overrides during a partition, for members inside and outside the separated region.
        self._inside: dict[Address, Address] = {}
        self._outside: dict[Address, Address] = {}
        self._window = SamplingState()
        self._tasks: set[asyncio.Task[None]] = set()
        self._run_id_rng = random.Random(f"{plan.seed} {plan.index}")

    # Creation of the members.

    def build_record(self, number: int, saved_incarnation: int) -> MemberRecord:
        """Builds the record of a new process run of a member.

        The run id of the first run follows from the number, so that all processes know it.
        """
        host, port = get_address(number, self.plan.port)
        run_id = number + 1 if not saved_incarnation else self._run_id_rng.getrandbits(62) | 1 << 61
        return MemberRecord(
            format_name(number),
            run_id,
            saved_incarnation,
            ReportedState.ALIVE,
            host,
            port,
            format_name(number),
            *PROTOCOL_VERSIONS,
        )

    def get_address_overrides(self, number: int) -> dict[Address, Address]:
        return self._inside if get_region(number) == CUT_REGION else self._outside

    def list_seed_addresses(self) -> list[Address]:
        return [get_address(number, self.plan.port) for number in range(SEED_COUNT)]

    async def build(self) -> Built:
        """Creates all members, which know each other; their clocks start at the planned time."""
        bytes_before, at = get_resident_memory(os.getpid()), self.plan.start_at
        records = [
            msgspec.structs.replace(self.build_record(number, 0), incarnation=1)
            for number in range(self.plan.size)
        ]
        for number in self.plan.list_own_members():
            member = self.members[number] = HollowMember(self, number, 0)
            await member.open()
            member.start(at, [])
            for record in records:
                if record.name != member.name:
                    member.core.add_known_member(at, record)
            member.core.finish_bootstrap(at, self.list_seed_addresses())
        gc.collect()
        gc.freeze()
        resident = get_resident_memory(os.getpid())
        late = (now() - at) / 1e9
        if late < 0:
            await asyncio.sleep(-late)
        return Built(late, bytes_before, resident)

    # Commands.

    def execute(self, command: Command) -> None:
        if isinstance(command, Kill):
            self._kill(command.members)
        elif isinstance(command, Restart):
            self._keep_task(self._restart(command.member))
        elif isinstance(command, Cut):
            self._cut_region()
        elif isinstance(command, Heal):
            self.is_cut = False
            self._inside.clear()
            self._outside.clear()
        elif isinstance(command, Begin):
            self._begin_window()
        elif isinstance(command, End):
            write_report(self._build_samples())

    def _kill(self, numbers: tuple[int, ...]) -> None:
        self.dead_names.update(format_name(number) for number in numbers)
        for number in numbers:
            member = self.members.pop(number, None)
            if member:
                member.stop()

    def _cut_region(self) -> None:
        black_hole = get_black_hole_address(self.plan.port)
        self.is_cut = True
        for number in range(self.plan.size):
            address_overrides = self._outside if get_region(number) == CUT_REGION else self._inside
            address_overrides[get_address(number, self.plan.port)] = black_hole

    async def _restart(self, number: int) -> None:
        name = format_name(number)
        self.dead_names.add(name)
        member = self.members.get(number)
        if member:
            member.core.leave(now())
            await asyncio.sleep(LEAVE_SECONDS)
            del self.members[number]
            member.stop()
            await asyncio.sleep(DOWN_SECONDS)
            restarted_member = HollowMember(self, number, member.saved_incarnation)
            await restarted_member.open()
            restarted_member.start(now(), self.list_seed_addresses())
            self.members[number] = restarted_member
            restarted_member.core.time_passed(now())
        else:
            await asyncio.sleep(LEAVE_SECONDS + DOWN_SECONDS)
        self.dead_names.discard(name)

    def _keep_task(self, coroutine: object) -> None:
        task = self.loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # Counts and samples.

    def notify_status_change(self, member: HollowMember, change: Change) -> None:
        """Counts a failure verdict as false if the member is alive and not separated from `member`."""
        if change.after not in (MemberStatus.GONE, MemberStatus.SUSPECTED) or change.name in self.dead_names:
            return
        other = int(change.name[1:])
        is_separated = (get_region(other) == CUT_REGION) != (get_region(member.number) == CUT_REGION)
        if self.is_cut and is_separated:
            return
        self.counts["false-deaths" if change.after is MemberStatus.GONE else "false-suspicions"] += 1

    def _read_meters(self) -> dict[int, tuple[int, int]]:
        return {
            number: (member.sent_bytes, member.processor)
            for number, member in self.members.items()
            if member.core
        }

    def _begin_window(self) -> None:
        self._window = SamplingState()
        self._window.initial = self._window.last = self._read_meters()
        self.counts.clear()
        for member in self.members.values():
            member.transport.counts["unsent"] = 0

    def _sample(self) -> None:
        window, meter_values = self._window, self._read_meters()
        for number, (sent, processor) in meter_values.items():
            sent_before, processor_before = window.last.get(number, (0, 0))
            if sent >= sent_before:  # otherwise the member has restarted
                window.sent_bytes.append(sent - sent_before)
                window.processor.append(processor - processor_before)
        window.last = meter_values

    def _build_samples(self) -> Samples:
        window = self._window
        counts = self.counts.copy()
        counts["unsent"] = sum(member.transport.counts["unsent"] for member in self.members.values())
        members = [
            (sent - window.initial[number][0], processor - window.initial[number][1])
            for number, (sent, processor) in self._read_meters().items()
            if number in window.initial and sent >= window.initial[number][0]
        ]
        return Samples(
            window.sent_bytes,
            window.processor,
            members,
            time.process_time_ns() - window.process_time,
            (now() - window.started_at) / 1e9,
            dict(counts),
        )

    def _build_view(self) -> View:
        digests, truth = set(), 0
        for member in self.members.values():
            record = member.core.me
            digests.add(member.core.digest)
            truth ^= mark(record.name, record.incarnation, record.run_id)
        return View(now(), tuple(sorted(digests)[:MAX_REPORTED_DIGESTS]), truth)

    async def report_views(self) -> None:
        while True:
            await asyncio.sleep(VIEW_INTERVAL_SECONDS)
            write_report(self._build_view())

    async def take_samples(self) -> None:
        next_sample_at = now() / 1e9
        while True:
            next_sample_at += SAMPLE_INTERVAL_SECONDS
            await asyncio.sleep(max(next_sample_at - now() / 1e9, 0))
            self._sample()


def write_report(report: Report) -> None:
    sys.stdout.buffer.write(msgspec.json.encode(report) + b"\n")
    sys.stdout.buffer.flush()


async def run() -> None:
    """Runs until the end of the standard input."""
    reader = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    decoder = msgspec.json.Decoder(Command)
    process = HollowProcess(decoder.decode(await reader.readline()))
    write_report(await process.build())
    process._keep_task(process.report_views())
    process._keep_task(process.take_samples())
    with contextlib.suppress(asyncio.IncompleteReadError):
        while True:
            process.execute(decoder.decode(await reader.readuntil()))


if __name__ == "__main__":
    uvloop.run(run())
