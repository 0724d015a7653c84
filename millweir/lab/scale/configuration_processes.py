"""The scale test's child processes: distributors and hollow relays; real cores, real TCP."""

from __future__ import annotations

import asyncio
import gc
import os
import resource
import time
from dataclasses import dataclass, field
from multiprocessing.connection import Connection

import uvloop

from millweir.configuration.core import Distributor, DistributorRules
from millweir.configuration.holder import Holder, HolderRules, StoredReplica, WriteAssignment, WriteDelta
from millweir.configuration.partition import compute_digest
from millweir.lab.scale.configuration_fleet import FleetPlan
from millweir.lab.scale.configuration_links import (
    LOOPBACK,
    AskWord,
    FrameLink,
    FullReport,
    Join,
    RegisterAt,
    RegisterChange,
    ReportFrame,
    Timer,
    Word,
    decode_register,
    encode_register,
)
from millweir.lab.scale.guard import resident_memory


def processor_time() -> float:
    """Seconds that this process has used."""
    used = resource.getrusage(resource.RUSAGE_SELF)
    return used.ru_utime + used.ru_stime


@dataclass(frozen=True, slots=True)
class Usage:
    """What a process has used until now."""

    processor: float
    memory: int
    memory_before: int  # before its cores were made


@dataclass(slots=True)
class RelaySample:
    """What one hollow relay has seen since the last sample."""

    bytes_in: int = 0
    bytes_out: int = 0
    bytes_worst_second: int = 0
    in_force: list[tuple[int, int, int]] = field(default_factory=list)  # partition, version, time
    filled_after: int | None = None  # ns from its start to its last partition


@dataclass(frozen=True, slots=True)
class Sample:
    """A hollow process's answer to `sample`."""

    usage: Usage
    relays: dict[str, RelaySample]


@dataclass(frozen=True, slots=True)
class Command:
    """Parent to child over the pipe."""

    name: str  # start, sample, restart, lose, stop
    relays: tuple[str, ...] = ()
    distributor: str = ""  # to lose
    ports: dict[str, int] = field(default_factory=dict)


class DistributorServer:
    """One distributor's core on its listening socket."""

    def __init__(self, name: str, plan: FleetPlan) -> None:
        self.core = Distributor(name, 1, DistributorRules(), time.monotonic_ns())
        self.plan = plan
        self.links: dict[int, FrameLink] = {}
        self.numbers: dict[FrameLink, int] = {}
        self.next_number = 0
        self.register: FrameLink | None = None
        self.timer: Timer | None = None
        self.due = False
        self.server: asyncio.Server | None = None

    async def start(self, register_port: int) -> int:
        loop = asyncio.get_running_loop()
        self.timer = Timer(self.soon)
        self.server = await loop.create_server(
            lambda: FrameLink(self.relay_frame, self.relay_lost), LOOPBACK, 0, backlog=4_096
        )
        _, self.register = await loop.create_connection(
            lambda: FrameLink(self.register_frame, lambda link: None), LOOPBACK, register_port
        )
        self.register.send(encode_register(Join(self.core.name)))
        self.soon()
        return self.server.sockets[0].getsockname()[1]

    def lose(self) -> None:
        """As if its process had ended: nothing listens, all connections are down, nothing is reported."""
        self.server.close()
        self.timer.cancel()
        self.due = True
        for link in self.links.values():
            link.close()
        self.register.close()

    def relay_frame(self, link: FrameLink, frame: bytes) -> None:
        number = self.numbers.get(link)
        if number is None:
            self.next_number += 1
            number = self.numbers[link] = self.next_number
            self.links[number] = link
        self.core.receive_frame(time.monotonic_ns(), number, frame)
        self.soon()

    def relay_lost(self, link: FrameLink) -> None:
        number = self.numbers.pop(link, None)
        if number is not None and self.server.is_serving():
            del self.links[number]
            self.core.handle_disconnect(time.monotonic_ns(), number)
            self.soon()

    def register_frame(self, link: FrameLink, frame: bytes) -> None:
        message = decode_register(frame)
        now = time.monotonic_ns()
        if isinstance(message, RegisterChange):
            self.core.receive_change(now, message.change)
        elif isinstance(message, RegisterAt):
            self.core.receive_store_heartbeat(now, message.version)
        elif isinstance(message, FullReport):
            self.core.request_full_report()
        self.soon()

    def soon(self) -> None:
        """One turn for all that comes in one round of the loop."""
        if not self.due:
            self.due = True
            asyncio.get_running_loop().call_soon(self.turn)

    def turn(self) -> None:
        self.due = False
        now = time.monotonic_ns()
        output = self.core.run_turn(now)
        for outgoing in output.frames:
            link = self.links.get(outgoing.connection_id)
            if link is not None:
                link.send(outgoing.frame)
        for number in output.connections_to_close:
            if number in self.links:
                self.links[number].close()
        for frame in output.reports:
            self.register.send(encode_register(ReportFrame(frame)))
        self.timer.set(self.core.get_next_wake_time(now))


def load(servers: list[DistributorServer], plan: FleetPlan) -> None:
    """All partitions into all distributors of this process; keys and values are shared."""
    for number in range(plan.partitions + 1):
        entries = plan.entries(number)
        digest = compute_digest(entries)
        for server in servers:
            server.core.install_partition(time.monotonic_ns(), number, number + 1, dict(entries), digest)
    assignment = plan.assignment()
    for server in servers:
        server.core.finish_loading(time.monotonic_ns(), plan.base_version)
        server.core.update_assignments(time.monotonic_ns(), 1, assignment)


def run_distributors(pipe: Connection, plan: FleetPlan, names: list[str], register_port: int) -> None:
    """A process of some distributors; ends with `stop` or with its parent."""
    before = resident_memory(os.getpid())

    async def run() -> None:
        servers = [DistributorServer(name, plan) for name in names]
        load(servers, plan)
        gc.freeze()
        ports = {server.core.name: await server.start(register_port) for server in servers}
        pipe.send(ports)

        def answer(command: Command) -> Usage:
            for server in servers:
                if command.name == "lose" and server.core.name == command.distributor:
                    server.lose()
            return Usage(processor_time(), resident_memory(os.getpid()), before)

        await obey(pipe, answer)

    uvloop.run(run())


async def obey(pipe: Connection, answer) -> None:
    """Answer the parent's commands until it says stop or is gone."""
    loop = asyncio.get_running_loop()
    while True:
        try:
            command = await loop.run_in_executor(None, pipe.recv)
        except EOFError:
            return
        if command.name == "stop":
            return
        pipe.send(answer(command))


class HollowRelay:
    """One relay's core without a folder of its own and without messages to deliver."""

    def __init__(self, process: HollowProcess, name: str) -> None:
        self.process = process
        self.name = name
        self.holder: Holder | None = None
        self.link: FrameLink | None = None
        self.timer = Timer(self.tick)
        self.sample = RelaySample()
        self.session = 0
        self.wanted = 0
        self.started_at = 0
        self.second = 0
        self.second_bytes = 0

    def start(self, with_folder: bool) -> None:
        plan = self.process.plan
        numbers = sorted(self.process.assignment[self.name].partitions)
        assignment, stored = None, {}
        if with_folder:
            assignment = WriteAssignment(1, tuple(numbers))
            for number in numbers:
                entries = plan.entries(number)
                stored[number] = StoredReplica(number + 1, compute_digest(entries), entries)
        self.wanted = len(numbers)
        self.session += 1_000_000
        self.started_at = time.monotonic_ns()
        distributors = self.process.ports
        self.holder = Holder(
            self.name, self.session, distributors, HolderRules(), self.started_at, assignment, stored
        )
        self.tick()

    def stop(self) -> None:
        self.timer.cancel()
        self.holder = None
        if self.link is not None:
            self.link.close()
            self.link = None

    def tick(self) -> None:
        if self.holder is not None:
            self.holder.advance_time(time.monotonic_ns())
            self.after()

    def frame(self, link: FrameLink, frame: bytes) -> None:
        if link is self.link and self.holder is not None:
            self.count_second(len(frame))
            self.holder.receive_frame(time.monotonic_ns(), self.holder.distributor, frame)
            self.after()

    def lost(self, link: FrameLink) -> None:
        self.add_bytes(link)
        if link is self.link and self.holder is not None:
            self.link = None
            self.holder.handle_connection_down(time.monotonic_ns(), self.holder.distributor)
            self.after()

    def after(self) -> None:
        step = self.holder.take_actions()
        now = time.monotonic_ns()
        for write in step.writes:
            if isinstance(write, WriteDelta):
                self.sample.in_force.append((write.partition, write.version, now))
        if step.writes and self.sample.filled_after is None:
            self.look_whether_filled(now)
        for frame in step.frames:
            if self.link is not None:
                self.count_second(len(frame))
                self.link.send(frame)
        for word in step.digest_requests:
            self.process.ask_word(AskWord(self.name, word.partition, word.version))
        if step.connect_to is not None:
            asyncio.ensure_future(self.connect(step.connect_to))
        self.timer.set(self.holder.get_next_wake_time())

    def look_whether_filled(self, now: int) -> None:
        replicas = self.holder.replicas.values()
        if len(replicas) == self.wanted and all(replica.version for replica in replicas):
            self.sample.filled_after = now - self.started_at

    async def connect(self, distributor: str) -> None:
        if self.link is not None:
            link, self.link = self.link, None
            link.close()
        holder = self.holder
        try:
            _, link = await asyncio.get_running_loop().create_connection(
                lambda: FrameLink(self.frame, self.lost), LOOPBACK, self.process.ports[distributor]
            )
        except OSError:
            if self.holder is holder is not None:
                holder.handle_connection_down(time.monotonic_ns(), distributor)
                self.after()
            return
        if self.holder is not holder or holder is None:
            link.close()
            return
        self.link = link
        holder.handle_connection_up(time.monotonic_ns(), distributor)
        self.after()

    def count_second(self, size: int) -> None:
        second = time.monotonic_ns() // 1_000_000_000
        if second != self.second:
            self.second, self.second_bytes = second, 0
        self.second_bytes += size
        self.sample.bytes_worst_second = max(self.sample.bytes_worst_second, self.second_bytes)

    def add_bytes(self, link: FrameLink) -> None:
        self.sample.bytes_in += link.bytes_in
        self.sample.bytes_out += link.bytes_out
        link.bytes_in = link.bytes_out = 0

    def take_sample(self) -> RelaySample:
        if self.link is not None:
            self.add_bytes(self.link)
        sample, self.sample = self.sample, RelaySample()
        return sample


class HollowProcess:
    """Many hollow relays in one process."""

    def __init__(self, plan: FleetPlan, names: list[str]) -> None:
        self.plan = plan
        everyone = plan.assignment()
        self.assignment = {name: everyone[name] for name in names}
        self.ports: dict[str, int] = {}
        self.register: FrameLink | None = None
        self.memory_before = resident_memory(os.getpid())
        self.relays = {name: HollowRelay(self, name) for name in names}

    async def start(self, register_port: int) -> None:
        _, self.register = await asyncio.get_running_loop().create_connection(
            lambda: FrameLink(self.word, lambda link: None), LOOPBACK, register_port
        )

    def ask_word(self, question: AskWord) -> None:
        self.register.send(encode_register(question))

    def word(self, link: FrameLink, frame: bytes) -> None:
        message = decode_register(frame)
        if isinstance(message, Word):
            relay = self.relays[message.relay]
            if relay.holder is not None:
                now = time.monotonic_ns()
                relay.holder.receive_store_digest(now, message.partition, message.version, message.digest)
                relay.after()

    def answer(self, command: Command) -> Sample:
        if command.name == "start":
            self.ports = command.ports
            for relay in self.relays.values():
                relay.start(with_folder=True)
        elif command.name == "restart":
            for name in command.relays:
                if name in self.relays:
                    self.relays[name].stop()
                    self.relays[name].start(with_folder=False)
        usage = Usage(processor_time(), resident_memory(os.getpid()), self.memory_before)
        return Sample(usage, {name: relay.take_sample() for name, relay in self.relays.items()})


def run_relays(pipe: Connection, plan: FleetPlan, names: list[str], register_port: int) -> None:
    """A process of some hollow relays; ends with `stop` or with its parent."""

    async def run() -> None:
        process = HollowProcess(plan, names)
        await process.start(register_port)
        pipe.send(os.getpid())
        await obey(pipe, process.answer)

    uvloop.run(run())
