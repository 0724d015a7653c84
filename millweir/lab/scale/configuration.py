"""Scale test of configuration distribution: 16 distributors and hollow relays over loopback TCP.

The size is the number of relays.  Each holds the same amount at every size (`configuration_fleet.py`), so
the destinations grow with the fleet.  All processes share one machine, so times include the effect of its
other load.  The store is simulated in the parent process, which also runs the coordinator.  Expected
growth:

Constant: `in-force-p50`, `-p99`, `-max` (from the change in the store until the last holder of its
partition applies it) and `known-p50`, `-p99`, `-max` (until the coordinator knows that it is in force
everywhere, which takes up to one report interval longer), if three relays hold the partition; n on one
machine in the troubles `common-change` and `fifty-common`, where all relays hold it.

Constant: `bytes-per-relay-second` (in and out with the length prefix; the mean, high is the worst relay),
`bytes-worst-second` (the maximum in one second of any relay), `processor-per-relay` (fraction of a core:
the processor time of a hollow process with its sockets, divided by its relays), `memory-per-relay`
(resident memory of a hollow process above that at its start, divided by its relays).

n: `processor-per-distributor` (fraction of a core, the mean of the 16), `memory-per-distributor` (with the
destinations; keys and values are shared by the distributors of a process), `all-complete` from the start of
the relays until the coordinator knows that all hold all their partitions.

The trouble `distributor-lost`: one of the 16 crashes, and five changes to all relays follow within a
second.

Constant, determined by the byte rate: for relays that start without stored data `filled-p50`, `-max` (from
the start to the last partition) and `bytes-to-fill` (received until all partitions are complete).
"""

from __future__ import annotations

import asyncio
import multiprocessing
import random
import resource
import time
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field
from multiprocessing.connection import Connection

import uvloop

from millweir.configuration.messages import Change, Edit, Report, decode_frame
from millweir.configuration.partition import apply_edits, compute_digest
from millweir.configuration.progress import Progress
from millweir.lab.scale.configuration_fleet import DISTRIBUTOR_COUNT, FleetPlan
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
    decode_store_message,
    encode_store_message,
)
from millweir.lab.scale.configuration_processes import Command, Sample, Usage, run_distributors, run_relays
from millweir.lab.scale.guard import Guard, LimitExceeded
from millweir.lab.scale.measurement import Figure

PART = "configuration"
CHANGES_PER_DAY = 9_400
MEAN_INTERVAL_SECONDS = 86_400 / CHANGES_PER_DAY
MEAN_RATE_CHANGES = 6
BURST_CHANGES = 50
COMMON_CHANGES = 5
COMMON_CHANGES_SECONDS = 1.0
BURST_SECONDS = 1.0
SETTLE_SECONDS = 3.0
RELAYS_PER_EMPTY_RELAY = 50  # one of these starts without stored data
WAIT_TIMEOUT_SECONDS = 120.0  # for each awaited condition
RELAYS_PER_PROCESS = 420
DISTRIBUTORS_PER_PROCESS = 8
RESERVED_DESCRIPTORS = 100
PROCESS_BYTES = 45 << 20
RELAY_BYTES = 260 << 10
DESTINATION_BYTES = 260  # shared by the distributors of a process
TABLE_BYTES = 70  # per distributor and destination
NANOSECONDS_PER_SECOND = 1_000_000_000


@dataclass(slots=True)
class SentChange:
    """A change made in this run."""

    version: int
    partition: int
    sent_at: int
    confirmed_at: int = 0


@dataclass(slots=True)
class ChildProcess:
    """One child process with its pipe and the names of its distributors or relays."""

    process: multiprocessing.process.BaseProcess
    pipe: Connection
    names: list[str]


@dataclass(slots=True)
class Window:
    """Measurements of one period of the run."""

    seconds: float
    changes: list[SentChange]
    samples: list[Sample]
    processor: dict[int, float]  # seconds used in the window, by process id
    distributors: list[Usage]
    distributor_processor: float = 0.0
    in_force_after: list[float] = field(default_factory=list)


class SimulatedStore:
    """Simulated store, which sends changes to the distributors, with the coordinator's progress tracking."""

    def __init__(self, plan: FleetPlan) -> None:
        self.plan = plan
        self.version = plan.base_version
        self.versions = {number: number + 1 for number in range(plan.partitions + 1)}
        self.entries: dict[int, dict[bytes, bytes]] = {}  # of changed partitions
        self.digests: dict[tuple[int, int], int] = {}
        self.progress = Progress(self.versions, self.version)
        self.progress.update_assignments(1, plan.assignment())
        self.distributors: dict[str, FrameConnection] = {}
        self.unconfirmed_changes: list[SentChange] = []
        self.looked_at = 0
        self.rng = random.Random(plan.seed)

    async def start(self) -> int:
        server = await asyncio.get_running_loop().create_server(
            lambda: FrameConnection(self.receive_frame, lambda connection: None), LOOPBACK, 0
        )
        return server.sockets[0].getsockname()[1]

    def receive_frame(self, connection: FrameConnection, frame: bytes) -> None:
        message = decode_store_message(frame)
        if isinstance(message, Join):
            self.distributors[message.distributor] = connection
        elif isinstance(message, ReportFrame):
            self.handle_report(connection, decode_frame(message.frame))
        elif isinstance(message, DigestRequest):
            digest = self.get_digest(message.partition, message.version)
            connection.send(
                encode_store_message(
                    DigestResponse(message.relay, message.partition, message.version, digest)
                )
            )

    def handle_report(self, connection: FrameConnection, report: Report) -> None:
        now = time.monotonic_ns()
        if not self.progress.record_report(now, report):
            connection.send(encode_store_message(FullReport()))
        while self.unconfirmed_changes and self.unconfirmed_changes[0].version <= self.progress.in_force:
            self.unconfirmed_changes.pop(0).confirmed_at = now

    def get_digest(self, number: int, version: int) -> int | None:
        if version == number + 1:
            return compute_digest(self.plan.entries(number))
        return self.digests.get((number, version))

    def send_heartbeat(self) -> None:
        for connection in self.distributors.values():
            connection.send(encode_store_message(StoreHeartbeat(self.version)))

    def change_entry(self, number: int) -> SentChange:
        """Changes the value of one random entry and sends the change to the distributors."""
        entries = self.entries.setdefault(number, self.plan.entries(number))
        key = self.rng.choice(list(entries))
        edits = (Edit(key, self.rng.randbytes(len(entries[key]))),)
        apply_edits(entries, edits)
        self.version += 1
        previous, self.versions[number] = self.versions[number], self.version
        digest = compute_digest(entries)
        self.digests[number, self.version] = digest
        frame = encode_store_message(StoreChange(Change(self.version, number, previous, edits, digest)))
        sent = SentChange(self.version, number, time.monotonic_ns())
        self.unconfirmed_changes.append(sent)
        self.progress.record_change(self.version, number)
        for connection in self.distributors.values():
            connection.send(frame)
        return sent


class ConfigurationRun:
    """One run at one size."""

    def __init__(self, plan: FleetPlan, guard: Guard) -> None:
        self.plan = plan
        self.guard = guard
        self.store = SimulatedStore(plan)
        self.distributors: list[ChildProcess] = []
        self.relays: list[ChildProcess] = []
        self.rng = random.Random(plan.seed + 1)
        self.holders: dict[int, list[str]] = defaultdict(list)
        for name, assignment in plan.assignment().items():
            for number in assignment.partitions:
                self.holders[number].append(name)

    async def run(self) -> list[Figure]:
        """Runs all scenarios one after another, and stops if a limit is exceeded."""
        monitor_task = asyncio.ensure_future(self.monitor())
        scenario_task = asyncio.ensure_future(self.run_scenarios())
        try:
            await asyncio.wait({monitor_task, scenario_task}, return_when=asyncio.FIRST_COMPLETED)
            if monitor_task.done():
                monitor_task.result()
            return await scenario_task
        finally:
            monitor_task.cancel()
            scenario_task.cancel()
            self.kill_processes()

    async def monitor(self) -> None:
        """Sends heartbeats and checks the run's limits once a second."""
        while True:
            await asyncio.sleep(1)
            self.store.send_heartbeat()
            children = (*self.distributors, *self.relays)
            self.guard.check(tuple(child.process.pid for child in children))
            for child in children:
                if not child.process.is_alive():
                    raise LimitExceeded(f"a child process ended with {child.process.exitcode}")

    async def run_scenarios(self) -> list[Figure]:
        await self.start_processes()
        figures = await self.measure_start_with_data()
        figures += await self.measure_changes("changes-at-mean", MEAN_RATE_CHANGES, MEAN_INTERVAL_SECONDS)
        figures += await self.measure_changes(
            "fifty-in-a-second", BURST_CHANGES, BURST_SECONDS / BURST_CHANGES
        )
        figures += await self.measure_changes(
            "common-change", COMMON_CHANGES, COMMON_CHANGES_SECONDS, common=True
        )
        figures += await self.measure_changes(
            "fifty-common", BURST_CHANGES, BURST_SECONDS / BURST_CHANGES, common=True
        )
        figures += await self.measure_start_without_data()
        figures += await self.measure_distributor_loss()
        return figures

    # Processes.

    async def start_processes(self) -> None:
        port = await self.store.start()
        names = self.plan.list_distributor_names()
        for start in range(0, len(names), DISTRIBUTORS_PER_PROCESS):
            chosen = names[start : start + DISTRIBUTORS_PER_PROCESS]
            self.distributors.append(self.start_process(run_distributors, chosen, port))
        relays = [f"relay-{index}" for index in range(self.plan.relays)]
        for start in range(0, len(relays), RELAYS_PER_PROCESS):
            chosen = relays[start : start + RELAYS_PER_PROCESS]
            self.relays.append(self.start_process(run_relays, chosen, port))
        self.ports: dict[str, int] = {}
        for child in self.distributors:
            self.ports.update(await self.receive_message(child))
        for child in self.relays:
            await self.receive_message(child)

    def start_process(self, target, names: list[str], port: int) -> ChildProcess:
        context = multiprocessing.get_context("spawn")
        parent_pipe, child_pipe = context.Pipe()
        process = context.Process(target=target, args=(child_pipe, self.plan, names, port), daemon=True)
        process.start()
        child_pipe.close()
        return ChildProcess(process, parent_pipe, names)

    def kill_processes(self) -> None:
        for child in (*self.distributors, *self.relays):
            child.process.kill()
            child.process.join()

    async def receive_message(self, child: ChildProcess) -> object:
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(None, child.pipe.recv)

    async def send_command(self, children: list[ChildProcess], command: Command) -> list:
        for child in children:
            child.pipe.send(command)
        return [await self.receive_message(child) for child in children]

    async def wait_until(self, condition, description: str) -> None:
        deadline = time.monotonic() + WAIT_TIMEOUT_SECONDS
        while not condition():
            if time.monotonic() > deadline:
                progress = self.store.progress
                raise TimeoutError(
                    f"timed out after {WAIT_TIMEOUT_SECONDS:.0f} s: {description}; "
                    f"in force {progress.in_force} of {self.store.version}, {progress.find_lagging(4)}"
                )
            await asyncio.sleep(0.02)

    # Scenarios.

    async def measure_start_with_data(self) -> list[Figure]:
        """Starts all relays at once, with their stored data."""
        trouble = "start-with-folder"
        started = time.monotonic()
        await self.send_command(self.relays, Command("start", ports=self.ports))
        await self.wait_until(self.store.progress.is_complete, trouble)
        seconds = time.monotonic() - started
        samples = await self.send_command(self.relays, Command("sample"))
        usages = await self.send_command(self.distributors, Command("sample"))
        figures = [self.build_figure("all-complete", "s", [seconds], trouble)]
        figures += self.build_byte_figures(samples, trouble, None)
        bytes_each = [
            (sample.usage.memory - sample.usage.memory_before) / len(sample.relays) for sample in samples
        ]
        figures.append(self.build_figure("memory-per-relay", "B", bytes_each, trouble))
        bytes_each = [
            (usage.memory - usage.memory_before) / len(child.names)
            for usage, child in zip(usages, self.distributors, strict=True)
        ]
        figures.append(self.build_figure("memory-per-distributor", "B", bytes_each, trouble))
        return figures

    async def measure_changes(
        self, trouble: str, count: int, interval_seconds: float, common: bool = False
    ) -> list[Figure]:
        """Makes changes at an interval and waits until all are known to be in force."""
        before = await self.send_command(self.relays, Command("sample"))
        distributors_before = await self.send_command(self.distributors, Command("sample"))
        started = time.monotonic()
        sent = []
        for index in range(count):
            await asyncio.sleep(max(0.0, started + index * interval_seconds - time.monotonic()))
            number = self.plan.common if common else self.rng.randrange(self.plan.partitions)
            sent.append(self.store.change_entry(number))
        await asyncio.sleep(max(0.0, started + count * interval_seconds - time.monotonic()))
        await self.wait_until(lambda: not self.store.unconfirmed_changes, trouble)
        seconds = time.monotonic() - started
        samples = await self.send_command(self.relays, Command("sample"))
        usages = await self.send_command(self.distributors, Command("sample"))
        figures = self.build_time_figures(sent, samples, trouble)
        figures += self.build_byte_figures(samples, trouble, seconds)
        core_fractions = [
            (after.usage.processor - first.usage.processor) / seconds / len(after.relays)
            for first, after in zip(before, samples, strict=True)
        ]
        figures.append(self.build_figure("processor-per-relay", "cores", core_fractions, trouble))
        core_fractions = [
            (after.processor - first.processor) / seconds / len(child.names)
            for first, after, child in zip(distributors_before, usages, self.distributors, strict=True)
        ]
        figures.append(self.build_figure("processor-per-distributor", "cores", core_fractions, trouble))
        await asyncio.sleep(SETTLE_SECONDS)
        return figures

    async def measure_start_without_data(self) -> list[Figure]:
        """Restarts some relays without stored data and waits until they have all partitions."""
        trouble = "start-without-folder"
        count = max(1, self.plan.relays // RELAYS_PER_EMPTY_RELAY)
        chosen = [f"relay-{index}" for index in self.rng.sample(range(self.plan.relays), count)]
        await self.send_command(self.relays, Command("sample"))
        started = time.monotonic()
        first = await self.send_command(self.relays, Command("restart", relays=tuple(chosen)))
        await asyncio.sleep(2)
        await self.wait_until(self.store.progress.is_complete, trouble)
        seconds = time.monotonic() - started
        second = await self.send_command(self.relays, Command("sample"))
        fill_seconds, received_bytes = [], []
        for before, after in zip(first, second, strict=True):
            for name in after.relays.keys() & set(chosen):
                fill_seconds.append((after.relays[name].filled_after or 0) / NANOSECONDS_PER_SECOND)
                received_bytes.append(before.relays[name].bytes_in + after.relays[name].bytes_in)
        return [
            self.build_figure("all-complete", "s", [seconds], trouble),
            self.build_figure("filled-p50", "s", fill_seconds, trouble, 0.5),
            self.build_figure("filled-max", "s", fill_seconds, trouble, 1.0),
            self.build_figure("bytes-to-fill", "B", received_bytes, trouble),
            *self.build_byte_figures(second, trouble, None),
        ]

    async def measure_distributor_loss(self) -> list[Figure]:
        """Stops one of the 16 during common changes; waits until all relays have these from other ones."""
        trouble = "distributor-lost"
        lost = self.rng.choice(self.plan.list_distributor_names())
        await self.send_command(self.relays, Command("sample"))
        await self.send_command(self.distributors, Command("lose", distributor=lost))
        del self.store.distributors[lost]
        sent = []
        for _ in range(COMMON_CHANGES):
            sent.append(self.store.change_entry(self.plan.common))
            await asyncio.sleep(COMMON_CHANGES_SECONDS / COMMON_CHANGES)
        await self.wait_until(lambda: not self.store.unconfirmed_changes, trouble)
        await self.wait_until(self.store.progress.is_complete, trouble)
        samples = await self.send_command(self.relays, Command("sample"))
        figures = self.build_time_figures(sent, samples, trouble)
        return [*figures, *self.build_byte_figures(samples, trouble, None)]

    # Figures.

    def build_time_figures(self, sent: list[SentChange], samples: list[Sample], trouble: str) -> list[Figure]:
        versions_in_force: dict[tuple[str, int], list[tuple[int, int]]] = defaultdict(list)
        for sample in samples:
            for name, relay in sample.relays.items():
                for number, version, at in relay.in_force:
                    versions_in_force[name, number].append((version, at))
        in_force, confirmation_seconds = [], []
        for change in sent:
            last = max(
                next(
                    at
                    for version, at in versions_in_force[name, change.partition]
                    if version >= change.version
                )
                for name in self.holders[change.partition]
            )
            in_force.append((last - change.sent_at) / NANOSECONDS_PER_SECOND)
            confirmation_seconds.append((change.confirmed_at - change.sent_at) / NANOSECONDS_PER_SECOND)
        return [
            self.build_figure(f"{name}-{label}", "s", values, trouble, quantile)
            for name, values in (("in-force", in_force), ("known", confirmation_seconds))
            for label, quantile in (("p50", 0.5), ("p99", 0.99), ("max", 1.0))
        ]

    def build_byte_figures(self, samples: list[Sample], trouble: str, seconds: float | None) -> list[Figure]:
        relays = [relay for sample in samples for relay in sample.relays.values()]
        worst = [relay.bytes_worst_second for relay in relays]
        figures = [self.build_figure("bytes-worst-second", "B", worst, trouble, 1.0)]
        if seconds is not None:
            rates = [(relay.bytes_in + relay.bytes_out) / seconds for relay in relays]
            figures.append(self.build_figure("bytes-per-relay-second", "B/s", rates, trouble))
        return figures

    def build_figure(
        self, quantity: str, unit: str, values: list[float], trouble: str, quantile: float | None = None
    ) -> Figure:
        """Builds a figure with the mean or a quantile of values, and their minimum and maximum."""
        ordered = sorted(values)
        if quantile is None:
            value = sum(ordered) / len(ordered)
        else:
            value = ordered[min(len(ordered) - 1, round(quantile * (len(ordered) - 1)))]
        return Figure(
            part=PART,
            quantity=quantity,
            unit=unit,
            trouble=trouble,
            size=self.plan.relays,
            value=value,
            low=ordered[0],
            high=ordered[-1],
            repeats=len(ordered),
        )


def compute_expected_memory(relays: int, destinations: int, processes: int) -> int:
    """Returns an upper estimate of the bytes of memory that a run takes."""
    distributor_processes = DISTRIBUTOR_COUNT // DISTRIBUTORS_PER_PROCESS
    distributor_bytes = destinations * (
        DESTINATION_BYTES * distributor_processes + TABLE_BYTES * DISTRIBUTOR_COUNT
    )
    return relays * RELAY_BYTES + distributor_bytes + processes * PROCESS_BYTES


def raise_descriptor_limit(required: int) -> None:
    """Raises the soft limit on open files; raises LimitExceeded if the hard limit is too low."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft >= required:
        return
    if hard != resource.RLIM_INFINITY and hard < required:
        raise LimitExceeded(f"expected to open {required} files in one process, {hard} are allowed")
    resource.setrlimit(resource.RLIMIT_NOFILE, (required, hard))


def measure(size: int, seed: int, guard: Guard) -> Iterator[Figure]:
    """Yields the figures of one run; see the module's description."""
    plan = FleetPlan(size, seed)
    processes = 1 + DISTRIBUTOR_COUNT // DISTRIBUTORS_PER_PROCESS + -(-size // RELAYS_PER_PROCESS)
    destinations = size * 800 // 3
    guard.check_plan(compute_expected_memory(size, destinations, processes), processes)
    raise_descriptor_limit(size + RESERVED_DESCRIPTORS)
    yield from uvloop.run(ConfigurationRun(plan, guard).run())
