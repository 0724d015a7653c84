"""Child processes of the configuration scale test: distributors and hollow relays, with real cores."""

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
    DigestRequest,
    DigestResponse,
    FrameConnection,
    FullReport,
    Join,
    ReportFrame,
    StoreChange,
    StoreHeartbeat,
    Timer,
    decode_store_message,
    encode_store_message,
)
from millweir.lab.scale.guard import get_resident_memory


def get_processor_time() -> float:
    """Returns the processor seconds used by this process."""
    used = resource.getrusage(resource.RUSAGE_SELF)
    return used.ru_utime + used.ru_stime


@dataclass(frozen=True, slots=True)
class Usage:
    """Processor seconds and resident memory of a process."""

    processor: float
    memory: int
    memory_before: int  # before its cores were created


@dataclass(slots=True)
class RelaySample:
    """Measurements of one hollow relay since the last sample."""

    bytes_in: int = 0
    bytes_out: int = 0
    bytes_worst_second: int = 0
    in_force: list[tuple[int, int, int]] = field(default_factory=list)  # partition, version, time
    filled_after: int | None = None  # ns from its start to its last partition


@dataclass(frozen=True, slots=True)
class Sample:
    """A hollow process's response to a command."""

    usage: Usage
    relays: dict[str, RelaySample]


@dataclass(frozen=True, slots=True)
class Command:
    """A command from the parent to a child over the pipe."""

    name: str  # start, sample, restart, lose, stop
    relays: tuple[str, ...] = ()
    distributor: str = ""  # to lose
    ports: dict[str, int] = field(default_factory=dict)


class DistributorServer:
    """One distributor's core with its listening socket."""

    def __init__(self, name: str, plan: FleetPlan) -> None:
        self.core = Distributor(name, 1, DistributorRules(), time.monotonic_ns())
        self.plan = plan
        self.connections: dict[int, FrameConnection] = {}
        self.connection_ids: dict[FrameConnection, int] = {}
        self.last_connection_id = 0
        self.store_connection: FrameConnection | None = None
        self.timer: Timer | None = None
        self.turn_scheduled = False
        self.server: asyncio.Server | None = None

    async def start(self, store_port: int) -> int:
        loop = asyncio.get_running_loop()
        self.timer = Timer(self.schedule_turn)
        self.server = await loop.create_server(
            lambda: FrameConnection(self.receive_relay_frame, self.handle_relay_disconnect),
            LOOPBACK,
            0,
            backlog=4_096,
        )
        _, self.store_connection = await loop.create_connection(
            lambda: FrameConnection(self.receive_store_frame, lambda connection: None),
            LOOPBACK,
            store_port,
        )
        self.store_connection.send(encode_store_message(Join(self.core.name)))
        self.schedule_turn()
        return self.server.sockets[0].getsockname()[1]

    def crash(self) -> None:
        """Simulates a crash: closes the listener and all connections, and sends no more reports."""
        self.server.close()
        self.timer.cancel()
        self.turn_scheduled = True
        for connection in self.connections.values():
            connection.close()
        self.store_connection.close()

    def receive_relay_frame(self, connection: FrameConnection, frame: bytes) -> None:
        number = self.connection_ids.get(connection)
        if number is None:
            self.last_connection_id += 1
            number = self.connection_ids[connection] = self.last_connection_id
            self.connections[number] = connection
        self.core.receive_frame(time.monotonic_ns(), number, frame)
        self.schedule_turn()

    def handle_relay_disconnect(self, connection: FrameConnection) -> None:
        number = self.connection_ids.pop(connection, None)
        if number is not None and self.server.is_serving():
            del self.connections[number]
            self.core.handle_disconnect(time.monotonic_ns(), number)
            self.schedule_turn()

    def receive_store_frame(self, connection: FrameConnection, frame: bytes) -> None:
        message = decode_store_message(frame)
        now = time.monotonic_ns()
        if isinstance(message, StoreChange):
            self.core.receive_change(now, message.change)
        elif isinstance(message, StoreHeartbeat):
            self.core.receive_store_heartbeat(now, message.version)
        elif isinstance(message, FullReport):
            self.core.request_full_report()
        self.schedule_turn()

    def schedule_turn(self) -> None:
        """Schedules one turn for all events of one event loop iteration."""
        if not self.turn_scheduled:
            self.turn_scheduled = True
            asyncio.get_running_loop().call_soon(self.run_turn)

    def run_turn(self) -> None:
        self.turn_scheduled = False
        now = time.monotonic_ns()
        output = self.core.run_turn(now)
        for outgoing in output.frames:
            connection = self.connections.get(outgoing.connection_id)
            if connection is not None:
                connection.send(outgoing.frame)
        for number in output.connections_to_close:
            if number in self.connections:
                self.connections[number].close()
        for frame in output.reports:
            self.store_connection.send(encode_store_message(ReportFrame(frame)))
        self.timer.set(self.core.get_next_wake_time(now))


def load_partitions(servers: list[DistributorServer], plan: FleetPlan) -> None:
    """Loads all partitions into all distributors of this process, which share keys and values."""
    for number in range(plan.partitions + 1):
        entries = plan.entries(number)
        digest = compute_digest(entries)
        for server in servers:
            server.core.install_partition(time.monotonic_ns(), number, number + 1, dict(entries), digest)
    assignment = plan.assignment()
    for server in servers:
        server.core.finish_loading(time.monotonic_ns(), plan.base_version)
        server.core.update_assignments(time.monotonic_ns(), 1, assignment)


def run_distributors(pipe: Connection, plan: FleetPlan, names: list[str], store_port: int) -> None:
    """Runs a process with some distributors until the command `stop` or the end of its parent."""
    memory_before = get_resident_memory(os.getpid())

    async def run() -> None:
        servers = [DistributorServer(name, plan) for name in names]
        load_partitions(servers, plan)
        gc.freeze()
        ports = {server.core.name: await server.start(store_port) for server in servers}
        pipe.send(ports)

        def execute_command(command: Command) -> Usage:
            for server in servers:
                if command.name == "lose" and server.core.name == command.distributor:
                    server.crash()
            return Usage(get_processor_time(), get_resident_memory(os.getpid()), memory_before)

        await serve_commands(pipe, execute_command)

    uvloop.run(run())


async def serve_commands(pipe: Connection, execute_command) -> None:
    """Executes the parent's commands until it sends `stop` or ends."""
    loop = asyncio.get_running_loop()
    while True:
        try:
            command = await loop.run_in_executor(None, pipe.recv)
        except EOFError:
            return
        if command.name == "stop":
            return
        pipe.send(execute_command(command))


class HollowRelay:
    """One relay's configuration core, without stored files and without messages to deliver."""

    def __init__(self, process: HollowProcess, name: str) -> None:
        self.process = process
        self.name = name
        self.holder: Holder | None = None
        self.connection: FrameConnection | None = None
        self.timer = Timer(self.advance_time)
        self.sample = RelaySample()
        self.session = 0
        self.expected_replicas = 0
        self.started_at = 0
        self.current_second = 0
        self.current_second_bytes = 0

    def start(self, with_stored_data: bool) -> None:
        plan = self.process.plan
        partitions = sorted(self.process.assignment[self.name].partitions)
        assignment, stored = None, {}
        if with_stored_data:
            assignment = WriteAssignment(1, tuple(partitions))
            for number in partitions:
                entries = plan.entries(number)
                stored[number] = StoredReplica(number + 1, compute_digest(entries), entries)
        self.expected_replicas = len(partitions)
        self.session += 1_000_000
        self.started_at = time.monotonic_ns()
        distributors = self.process.ports
        self.holder = Holder(
            self.name, self.session, distributors, HolderRules(), self.started_at, assignment, stored
        )
        self.advance_time()

    def stop(self) -> None:
        self.timer.cancel()
        self.holder = None
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    def advance_time(self) -> None:
        if self.holder is not None:
            self.holder.advance_time(time.monotonic_ns())
            self.perform_actions()

    def receive_frame(self, connection: FrameConnection, frame: bytes) -> None:
        if connection is self.connection and self.holder is not None:
            self.add_to_current_second(len(frame))
            self.holder.receive_frame(time.monotonic_ns(), self.holder.distributor, frame)
            self.perform_actions()

    def handle_disconnect(self, connection: FrameConnection) -> None:
        self.add_bytes(connection)
        if connection is self.connection and self.holder is not None:
            self.connection = None
            self.holder.handle_connection_down(time.monotonic_ns(), self.holder.distributor)
            self.perform_actions()

    def perform_actions(self) -> None:
        actions = self.holder.take_actions()
        now = time.monotonic_ns()
        for write in actions.writes:
            if isinstance(write, WriteDelta):
                self.sample.in_force.append((write.partition, write.version, now))
        if actions.writes and self.sample.filled_after is None:
            self.check_filled(now)
        for frame in actions.frames:
            if self.connection is not None:
                self.add_to_current_second(len(frame))
                self.connection.send(frame)
        for request in actions.digest_requests:
            self.process.request_digest(DigestRequest(self.name, request.partition, request.version))
        if actions.connect_to is not None:
            asyncio.ensure_future(self.connect(actions.connect_to))
        self.timer.set(self.holder.get_next_wake_time())

    def check_filled(self, now: int) -> None:
        replicas = self.holder.replicas.values()
        if len(replicas) == self.expected_replicas and all(replica.version for replica in replicas):
            self.sample.filled_after = now - self.started_at

    async def connect(self, distributor: str) -> None:
        if self.connection is not None:
            connection, self.connection = self.connection, None
            connection.close()
        holder = self.holder
        try:
            _, connection = await asyncio.get_running_loop().create_connection(
                lambda: FrameConnection(self.receive_frame, self.handle_disconnect),
                LOOPBACK,
                self.process.ports[distributor],
            )
        except OSError:
            if self.holder is holder is not None:
                holder.handle_connection_down(time.monotonic_ns(), distributor)
                self.perform_actions()
            return
        if self.holder is not holder or holder is None:
            connection.close()
            return
        self.connection = connection
        holder.handle_connection_up(time.monotonic_ns(), distributor)
        self.perform_actions()

    def add_to_current_second(self, size: int) -> None:
        current_second = time.monotonic_ns() // 1_000_000_000
        if current_second != self.current_second:
            self.current_second, self.current_second_bytes = current_second, 0
        self.current_second_bytes += size
        self.sample.bytes_worst_second = max(self.sample.bytes_worst_second, self.current_second_bytes)

    def add_bytes(self, connection: FrameConnection) -> None:
        self.sample.bytes_in += connection.bytes_in
        self.sample.bytes_out += connection.bytes_out
        connection.bytes_in = connection.bytes_out = 0

    def take_sample(self) -> RelaySample:
        if self.connection is not None:
            self.add_bytes(self.connection)
        sample, self.sample = self.sample, RelaySample()
        return sample


class HollowProcess:
    """Many hollow relays in one process."""

    def __init__(self, plan: FleetPlan, names: list[str]) -> None:
        self.plan = plan
        assignments = plan.assignment()
        self.assignment = {name: assignments[name] for name in names}
        self.ports: dict[str, int] = {}
        self.store_connection: FrameConnection | None = None
        self.memory_before = get_resident_memory(os.getpid())
        self.relays = {name: HollowRelay(self, name) for name in names}

    async def start(self, store_port: int) -> None:
        _, self.store_connection = await asyncio.get_running_loop().create_connection(
            lambda: FrameConnection(self.receive_digest, lambda connection: None), LOOPBACK, store_port
        )

    def request_digest(self, request: DigestRequest) -> None:
        self.store_connection.send(encode_store_message(request))

    def receive_digest(self, connection: FrameConnection, frame: bytes) -> None:
        message = decode_store_message(frame)
        if isinstance(message, DigestResponse):
            relay = self.relays[message.relay]
            if relay.holder is not None:
                now = time.monotonic_ns()
                relay.holder.receive_store_digest(now, message.partition, message.version, message.digest)
                relay.perform_actions()

    def execute_command(self, command: Command) -> Sample:
        if command.name == "start":
            self.ports = command.ports
            for relay in self.relays.values():
                relay.start(with_stored_data=True)
        elif command.name == "restart":
            for name in command.relays:
                if name in self.relays:
                    self.relays[name].stop()
                    self.relays[name].start(with_stored_data=False)
        usage = Usage(get_processor_time(), get_resident_memory(os.getpid()), self.memory_before)
        return Sample(usage, {name: relay.take_sample() for name, relay in self.relays.items()})


def run_relays(pipe: Connection, plan: FleetPlan, names: list[str], store_port: int) -> None:
    """Runs a process with some hollow relays until the command `stop` or the end of its parent."""

    async def run() -> None:
        process = HollowProcess(plan, names)
        await process.start(store_port)
        pipe.send(os.getpid())
        await serve_commands(pipe, process.execute_command)

    uvloop.run(run())
