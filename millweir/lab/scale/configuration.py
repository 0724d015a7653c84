"""How the distribution of configuration grows with the fleet: 16 distributors, hollow relays, loopback TCP.

The size is the number of relays.  Each holds the same at every size (`configuration_fleet.py`), so the
destinations grow with the fleet.  All processes share one machine: times take its other load in.  The
register is a stand-in in the parent, beside the coordinator.  What is expected:

Constant: `in-force-p50`, `-p99`, `-max` (from the change at the register to the last holder of its partition)
and `known-p50`, `-p99`, `-max` (to the coordinator's word that it is in force everywhere; a report's pause
more) where three relays hold the partition; n on one machine in the troubles `common-change` and
`fifty-common`, where all relays hold it.

Constant: `bytes-per-relay-second` (in and out with the length prefix; the mean, high is the worst relay),
`bytes-worst-second` (the fullest second of any relay), `processor-per-relay` (share of a core: the use of a
hollow process with its sockets, by its relays), `memory-per-relay` (resident memory of a hollow process above
its start, by its relays).

n: `processor-per-distributor` (share of a core, the mean of the 16), `memory-per-distributor` (with the
destinations; keys and values are shared by the distributors of a process), `all-complete` from the start of
the relays to the word that all have everything.

The trouble `distributor-lost`: one of the 16 ends, and five changes to all relays come within a second.

Constant, by the byte rate: for relays that start without a folder `filled-p50`, `-max` (from the start to the
last partition) and `bytes-to-fill` (received until all is complete).
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
from millweir.lab.scale.configuration_fleet import DISTRIBUTORS, FleetPlan
from millweir.lab.scale.configuration_links import (
    LOOPBACK,
    AskWord,
    FrameLink,
    FullReport,
    Join,
    RegisterAt,
    RegisterChange,
    ReportFrame,
    Word,
    decode_register,
    encode_register,
)
from millweir.lab.scale.configuration_processes import Command, Sample, Usage, run_distributors, run_relays
from millweir.lab.scale.guard import Guard, LimitExceeded
from millweir.lab.scale.measurement import Figure

PART = "configuration"
CHANGES_A_DAY = 9_400
MEAN_PAUSE = 86_400 / CHANGES_A_DAY  # seconds between changes
MEAN_CHANGES = 6
BURST_CHANGES = 50
COMMON_CHANGES = 5
COMMON_PAUSE = 1.0
BURST_WITHIN = 1.0  # seconds
SETTLE = 3.0
EMPTY_SHARE = 50  # one relay in so many starts without a folder
WAIT_MOST = 120.0  # seconds for anything awaited
RELAYS_A_PROCESS = 420
DISTRIBUTORS_A_PROCESS = 8
SPARE_DESCRIPTORS = 100
PROCESS_BYTES = 45 << 20
RELAY_BYTES = 260 << 10
DESTINATION_BYTES = 260  # shared by a process's distributors
TABLE_BYTES = 70  # of each distributor, for each destination
NANOSECONDS = 1_000_000_000


@dataclass(slots=True)
class SentChange:
    """A change of this run."""

    version: int
    partition: int
    at: int
    known_at: int = 0


@dataclass(slots=True)
class Child:
    """One child process."""

    process: multiprocessing.process.BaseProcess
    pipe: Connection
    names: list[str]


@dataclass(slots=True)
class Window:
    """What was seen in one stretch of the run."""

    seconds: float
    changes: list[SentChange]
    samples: list[Sample]
    processor: dict[int, float]  # used in the window, by process
    distributors: list[Usage]
    distributor_processor: float = 0.0
    in_force_after: list[float] = field(default_factory=list)


class StandInRegister:
    """Gives changes to the distributors and has the coordinator's core beside it."""

    def __init__(self, plan: FleetPlan) -> None:
        self.plan = plan
        self.version = plan.base_version
        self.versions = {number: number + 1 for number in range(plan.partitions + 1)}
        self.entries: dict[int, dict[bytes, bytes]] = {}  # of partitions that were changed
        self.digests: dict[tuple[int, int], int] = {}
        self.progress = Progress(self.versions, self.version)
        self.progress.update_assignments(1, plan.assignment())
        self.distributors: dict[str, FrameLink] = {}
        self.unknown: list[SentChange] = []
        self.looked_at = 0
        self.chance = random.Random(plan.seed)

    async def start(self) -> int:
        server = await asyncio.get_running_loop().create_server(
            lambda: FrameLink(self.frame, lambda link: None), LOOPBACK, 0
        )
        return server.sockets[0].getsockname()[1]

    def frame(self, link: FrameLink, frame: bytes) -> None:
        message = decode_register(frame)
        if isinstance(message, Join):
            self.distributors[message.distributor] = link
        elif isinstance(message, ReportFrame):
            self.report(link, decode_frame(message.frame))
        elif isinstance(message, AskWord):
            digest = self.digest(message.partition, message.version)
            link.send(encode_register(Word(message.relay, message.partition, message.version, digest)))

    def report(self, link: FrameLink, report: Report) -> None:
        now = time.monotonic_ns()
        if not self.progress.record_report(now, report):
            link.send(encode_register(FullReport()))
        while self.unknown and self.unknown[0].version <= self.progress.in_force:
            self.unknown.pop(0).known_at = now

    def digest(self, number: int, version: int) -> int | None:
        if version == number + 1:
            return compute_digest(self.plan.entries(number))
        return self.digests.get((number, version))

    def heartbeat(self) -> None:
        for link in self.distributors.values():
            link.send(encode_register(RegisterAt(self.version)))

    def change(self, number: int) -> SentChange:
        """One destination's entry gets another value."""
        entries = self.entries.setdefault(number, self.plan.entries(number))
        key = self.chance.choice(list(entries))
        edits = (Edit(key, self.chance.randbytes(len(entries[key]))),)
        apply_edits(entries, edits)
        self.version += 1
        previous, self.versions[number] = self.versions[number], self.version
        digest = compute_digest(entries)
        self.digests[number, self.version] = digest
        frame = encode_register(RegisterChange(Change(self.version, number, previous, edits, digest)))
        sent = SentChange(self.version, number, time.monotonic_ns())
        self.unknown.append(sent)
        self.progress.record_change(self.version, number)
        for link in self.distributors.values():
            link.send(frame)
        return sent


class Run:
    """One run at one size."""

    def __init__(self, plan: FleetPlan, guard: Guard) -> None:
        self.plan = plan
        self.guard = guard
        self.register = StandInRegister(plan)
        self.distributors: list[Child] = []
        self.relays: list[Child] = []
        self.chance = random.Random(plan.seed + 1)
        self.holders: dict[int, list[str]] = defaultdict(list)
        for name, assignment in plan.assignment().items():
            for number in assignment.partitions:
                self.holders[number].append(name)

    async def play(self) -> list[Figure]:
        """All stretches of the run, one after the other."""
        guarding = asyncio.ensure_future(self.watch())
        playing = asyncio.ensure_future(self.stretches())
        try:
            await asyncio.wait({guarding, playing}, return_when=asyncio.FIRST_COMPLETED)
            if guarding.done():
                guarding.result()
            return await playing
        finally:
            guarding.cancel()
            playing.cancel()
            self.end()

    async def watch(self) -> None:
        """Heartbeats and the limits of the run, each second."""
        while True:
            await asyncio.sleep(1)
            self.register.heartbeat()
            children = (*self.distributors, *self.relays)
            self.guard.check(tuple(child.process.pid for child in children))
            for child in children:
                if not child.process.is_alive():
                    raise LimitExceeded(f"a child process ended with {child.process.exitcode}")

    async def stretches(self) -> list[Figure]:
        await self.begin()
        figures = await self.start_with_folders()
        figures += await self.changes("changes-at-mean", MEAN_CHANGES, MEAN_PAUSE)
        figures += await self.changes("fifty-in-a-second", BURST_CHANGES, BURST_WITHIN / BURST_CHANGES)
        figures += await self.changes("common-change", COMMON_CHANGES, COMMON_PAUSE, common=True)
        figures += await self.changes(
            "fifty-common", BURST_CHANGES, BURST_WITHIN / BURST_CHANGES, common=True
        )
        figures += await self.start_without_folders()
        figures += await self.lose_distributor()
        return figures

    # --- processes

    async def begin(self) -> None:
        port = await self.register.start()
        names = self.plan.distributors()
        for start in range(0, len(names), DISTRIBUTORS_A_PROCESS):
            chosen = names[start : start + DISTRIBUTORS_A_PROCESS]
            self.distributors.append(self.spawn(run_distributors, chosen, port))
        relays = [f"relay-{one}" for one in range(self.plan.relays)]
        for start in range(0, len(relays), RELAYS_A_PROCESS):
            chosen = relays[start : start + RELAYS_A_PROCESS]
            self.relays.append(self.spawn(run_relays, chosen, port))
        self.ports: dict[str, int] = {}
        for child in self.distributors:
            self.ports.update(await self.receive(child))
        for child in self.relays:
            await self.receive(child)

    def spawn(self, main, names: list[str], port: int) -> Child:
        context = multiprocessing.get_context("spawn")
        here, there = context.Pipe()
        process = context.Process(target=main, args=(there, self.plan, names, port), daemon=True)
        process.start()
        there.close()
        return Child(process, here, names)

    def end(self) -> None:
        for child in (*self.distributors, *self.relays):
            child.process.kill()
            child.process.join()

    async def receive(self, child: Child) -> object:
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(None, child.pipe.recv)

    async def ask(self, children: list[Child], command: Command) -> list:
        for child in children:
            child.pipe.send(command)
        return [await self.receive(child) for child in children]

    async def until(self, reached, what: str) -> None:
        end = time.monotonic() + WAIT_MOST
        while not reached():
            if time.monotonic() > end:
                progress = self.register.progress
                raise TimeoutError(
                    f"not within {WAIT_MOST:.0f} s: {what}; in force {progress.in_force} of "
                    f"{self.register.version}, {progress.find_lagging(4)}"
                )
            await asyncio.sleep(0.02)

    # --- stretches

    async def start_with_folders(self) -> list[Figure]:
        """All relays at once, with what they had."""
        trouble = "start-with-folder"
        started = time.monotonic()
        await self.ask(self.relays, Command("start", ports=self.ports))
        await self.until(self.register.progress.is_complete, trouble)
        seconds = time.monotonic() - started
        samples = await self.ask(self.relays, Command("sample"))
        usages = await self.ask(self.distributors, Command("sample"))
        figures = [self.figure("all-complete", "s", [seconds], trouble)]
        figures += self.byte_figures(samples, trouble, None)
        memory = [
            (sample.usage.memory - sample.usage.memory_before) / len(sample.relays) for sample in samples
        ]
        figures.append(self.figure("memory-per-relay", "B", memory, trouble))
        memory = [
            (usage.memory - usage.memory_before) / len(child.names)
            for usage, child in zip(usages, self.distributors, strict=True)
        ]
        figures.append(self.figure("memory-per-distributor", "B", memory, trouble))
        return figures

    async def changes(self, trouble: str, count: int, pause: float, common: bool = False) -> list[Figure]:
        """So many changes, so far apart, until all are known to be in force."""
        before = await self.ask(self.relays, Command("sample"))
        distributors_before = await self.ask(self.distributors, Command("sample"))
        started = time.monotonic()
        sent = []
        for one in range(count):
            await asyncio.sleep(max(0.0, started + one * pause - time.monotonic()))
            number = self.plan.common if common else self.chance.randrange(self.plan.partitions)
            sent.append(self.register.change(number))
        await asyncio.sleep(max(0.0, started + count * pause - time.monotonic()))
        await self.until(lambda: not self.register.unknown, trouble)
        seconds = time.monotonic() - started
        samples = await self.ask(self.relays, Command("sample"))
        usages = await self.ask(self.distributors, Command("sample"))
        figures = self.time_figures(sent, samples, trouble)
        figures += self.byte_figures(samples, trouble, seconds)
        used = [
            (after.usage.processor - first.usage.processor) / seconds / len(after.relays)
            for first, after in zip(before, samples, strict=True)
        ]
        figures.append(self.figure("processor-per-relay", "cores", used, trouble))
        used = [
            (after.processor - first.processor) / seconds / len(child.names)
            for first, after, child in zip(distributors_before, usages, self.distributors, strict=True)
        ]
        figures.append(self.figure("processor-per-distributor", "cores", used, trouble))
        await asyncio.sleep(SETTLE)
        return figures

    async def start_without_folders(self) -> list[Figure]:
        """Some relays are restarted and hold nothing."""
        trouble = "start-without-folder"
        count = max(1, self.plan.relays // EMPTY_SHARE)
        chosen = [f"relay-{one}" for one in self.chance.sample(range(self.plan.relays), count)]
        await self.ask(self.relays, Command("sample"))
        started = time.monotonic()
        first = await self.ask(self.relays, Command("restart", relays=tuple(chosen)))
        await asyncio.sleep(2)
        await self.until(self.register.progress.is_complete, trouble)
        seconds = time.monotonic() - started
        second = await self.ask(self.relays, Command("sample"))
        filled, received = [], []
        for before, after in zip(first, second, strict=True):
            for name in after.relays.keys() & set(chosen):
                filled.append((after.relays[name].filled_after or 0) / NANOSECONDS)
                received.append(before.relays[name].bytes_in + after.relays[name].bytes_in)
        return [
            self.figure("all-complete", "s", [seconds], trouble),
            self.figure("filled-p50", "s", filled, trouble, 0.5),
            self.figure("filled-max", "s", filled, trouble, 1.0),
            self.figure("bytes-to-fill", "B", received, trouble),
            *self.byte_figures(second, trouble, None),
        ]

    async def lose_distributor(self) -> list[Figure]:
        """One of the 16 is gone while changes go on that all relays hold; until all have them elsewhere."""
        trouble = "distributor-lost"
        lost = self.chance.choice(self.plan.distributors())
        await self.ask(self.relays, Command("sample"))
        await self.ask(self.distributors, Command("lose", distributor=lost))
        del self.register.distributors[lost]
        sent = []
        for _ in range(COMMON_CHANGES):
            sent.append(self.register.change(self.plan.common))
            await asyncio.sleep(COMMON_PAUSE / COMMON_CHANGES)
        await self.until(lambda: not self.register.unknown, trouble)
        await self.until(self.register.progress.is_complete, trouble)
        samples = await self.ask(self.relays, Command("sample"))
        figures = self.time_figures(sent, samples, trouble)
        return [*figures, *self.byte_figures(samples, trouble, None)]

    # --- figures

    def time_figures(self, sent: list[SentChange], samples: list[Sample], trouble: str) -> list[Figure]:
        seen: dict[tuple[str, int], list[tuple[int, int]]] = defaultdict(list)
        for sample in samples:
            for name, relay in sample.relays.items():
                for number, version, at in relay.in_force:
                    seen[name, number].append((version, at))
        in_force, known = [], []
        for change in sent:
            last = max(
                next(at for version, at in seen[name, change.partition] if version >= change.version)
                for name in self.holders[change.partition]
            )
            in_force.append((last - change.at) / NANOSECONDS)
            known.append((change.known_at - change.at) / NANOSECONDS)
        return [
            self.figure(f"{name}-{label}", "s", values, trouble, share)
            for name, values in (("in-force", in_force), ("known", known))
            for label, share in (("p50", 0.5), ("p99", 0.99), ("max", 1.0))
        ]

    def byte_figures(self, samples: list[Sample], trouble: str, seconds: float | None) -> list[Figure]:
        relays = [relay for sample in samples for relay in sample.relays.values()]
        worst = [relay.bytes_worst_second for relay in relays]
        figures = [self.figure("bytes-worst-second", "B", worst, trouble, 1.0)]
        if seconds is not None:
            rates = [(relay.bytes_in + relay.bytes_out) / seconds for relay in relays]
            figures.append(self.figure("bytes-per-relay-second", "B/s", rates, trouble))
        return figures

    def figure(
        self, quantity: str, unit: str, values: list[float], trouble: str, share: float | None = None
    ) -> Figure:
        """The mean of some values, or the one below which a share of them lies, with their spread."""
        ordered = sorted(values)
        if share is None:
            value = sum(ordered) / len(ordered)
        else:
            value = ordered[min(len(ordered) - 1, round(share * (len(ordered) - 1)))]
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


def expected_memory(relays: int, destinations: int, processes: int) -> int:
    """Bytes that a run will take, a little more than was seen."""
    distributor_processes = DISTRIBUTORS // DISTRIBUTORS_A_PROCESS
    of_distributors = destinations * (DESTINATION_BYTES * distributor_processes + TABLE_BYTES * DISTRIBUTORS)
    return relays * RELAY_BYTES + of_distributors + processes * PROCESS_BYTES


def allow_descriptors(needed: int) -> None:
    """Raise the soft limit on open files within the hard one; LimitExceeded where that is too low."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft >= needed:
        return
    if hard != resource.RLIM_INFINITY and hard < needed:
        raise LimitExceeded(f"expected to open {needed} files in one process, {hard} are allowed")
    resource.setrlimit(resource.RLIMIT_NOFILE, (needed, hard))


def measure(size: int, seed: int, guard: Guard) -> Iterator[Figure]:
    """The figures of one run; see the module's table."""
    plan = FleetPlan(size, seed)
    processes = 1 + DISTRIBUTORS // DISTRIBUTORS_A_PROCESS + -(-size // RELAYS_A_PROCESS)
    destinations = size * 800 // 3
    guard.check_plan(expected_memory(size, destinations, processes), processes)
    allow_descriptors(size + SPARE_DESCRIPTORS)
    yield from uvloop.run(Run(plan, guard).play())
