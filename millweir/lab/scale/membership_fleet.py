"""A fleet of hollow members over some processes, seen from the scale test that drives it."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import sys
import time
from collections import Counter
from dataclasses import dataclass, field
from functools import reduce
from operator import xor

import msgspec

from millweir.lab.scale.guard import Guard, LimitExceeded
from millweir.lab.scale.measurement import ROOT
from millweir.lab.scale.membership_messages import (
    Begin,
    Built,
    Command,
    End,
    Plan,
    Report,
    Samples,
    View,
    address_of,
    hole_address,
)

PROCESSES_MOST = 6
MEMBERS_EACH = 40  # of a process, before another one is started
ROW_BYTES = 220  # of one member in another's table, with shared claims: more than was measured
MEMBER_BYTES = 40_000  # of a member without its table
PROCESS_BYTES = 40 << 20
BUILD_BASE = 3.0  # seconds
BUILD_ROW = 60e-6  # seconds to make one row, on a machine that is busy with other things as well
LINE_MOST = 1 << 26  # bytes of a report
PORT_FIRST = 20_000
PORT_LAST = 30_000  # below those that the kernel gives to clients
END_TIME = 5.0  # seconds until a process that was told to end is killed


class HollowProcessLost(Exception):
    """A hollow process has ended by itself; the text holds the end of what it wrote."""


@dataclass(slots=True)
class Window:
    """The samples of all processes in one stretch of time."""

    sent_bytes: list[int] = field(default_factory=list)  # a member and second
    processor: list[int] = field(default_factory=list)  # nanoseconds a member and second
    members: list[tuple[int, int]] = field(default_factory=list)  # bytes and nanoseconds of each member
    process_time: int = 0
    seconds: float = 0.0
    counts: Counter[str] = field(default_factory=Counter)

    def add(self, samples: Samples) -> None:
        self.sent_bytes += samples.sent_bytes
        self.processor += samples.processor
        self.members += samples.members
        self.process_time += samples.process_time
        self.seconds = max(self.seconds, samples.seconds)
        self.counts.update(samples.counts)


class HollowFleet:
    """Starts the processes, passes commands on, collects what they report; an async context."""

    def __init__(self, size: int, seed: int, guard: Guard) -> None:
        self.size, self._seed, self._guard = size, seed, guard
        self.count = min(PROCESSES_MOST, -(-size // MEMBERS_EACH))
        self.built: list[Built] = []
        self._processes: list[asyncio.subprocess.Process] = []
        self._readers: list[asyncio.Task[None]] = []
        self._views: dict[int, View] = {}
        self._samples: asyncio.Queue[Samples] = asyncio.Queue()
        self._built: asyncio.Queue[Built] = asyncio.Queue()
        self._hole: list[socket.socket] = []

    async def __aenter__(self) -> HollowFleet:
        expected = self.size * (self.size * ROW_BYTES + MEMBER_BYTES) + self.count * PROCESS_BYTES
        self._guard.check_plan(expected, self.count + 1)
        try:
            await self._start()
        except BaseException:
            await self._end()
            raise
        return self

    async def __aexit__(self, *fault: object) -> None:
        await self._end()

    async def _start(self) -> None:
        port = self._open_hole()
        build_time = BUILD_BASE + self.size * self.size * BUILD_ROW / self.count
        start_at = time.monotonic_ns() + round(build_time * 1e9)
        for index in range(self.count):
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "millweir.lab.scale.membership_hollow",
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                cwd=ROOT,
                limit=LINE_MOST,
            )
            self._processes.append(process)
            self._readers.append(asyncio.create_task(self._read(index, process)))
            self._tell(process, Plan(self.size, self.count, index, self._seed, port, start_at))
        while len(self.built) < self.count:
            self.built.append(await self._next(self._built))
        late = max(built.late for built in self.built)
        if late > 0:
            raise LimitExceeded(f"the members were made {late:.1f} s too late: the machine is too busy")

    def _open_hole(self) -> int:
        """Sockets that take what crosses a cut and never answer; the port that all members use too."""
        for port in range(PORT_FIRST + self._seed % 100, PORT_LAST, 100):
            datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            streams = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            self._hole = [datagrams, streams]
            try:
                for one in self._hole:
                    one.bind(hole_address(port))
                streams.listen(1)
                with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as first:
                    first.bind(address_of(0, port))
            except OSError:
                datagrams.close()
                streams.close()
                continue
            return port
        raise OSError("no free port")

    async def _end(self) -> None:
        for process in self._processes:
            process.stdin.close()
        for process in self._processes:
            try:
                async with asyncio.timeout(END_TIME):
                    await process.wait()
            except TimeoutError:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
                await process.wait()
        for reader in self._readers:
            reader.cancel()
        for one in self._hole:
            one.close()

    # Lines.

    def _tell(self, process: asyncio.subprocess.Process, command: Command) -> None:
        process.stdin.write(msgspec.json.encode(command) + b"\n")

    def tell(self, command: Command) -> int:
        """Tell all processes; the time at which that was done."""
        for process in self._processes:
            self._tell(process, command)
        return time.monotonic_ns()

    async def _read(self, index: int, process: asyncio.subprocess.Process) -> None:
        decoder = msgspec.json.Decoder(Report)
        while line := await process.stdout.readline():
            report = decoder.decode(line)
            if isinstance(report, View):
                self._views[index] = report
            elif isinstance(report, Samples):
                self._samples.put_nowait(report)
            else:
                self._built.put_nowait(report)

    async def _next(self, queue: asyncio.Queue) -> Built | Samples:
        """The next report of its kind, while all processes live and hold no more than they may."""
        while True:
            self.check()
            try:
                async with asyncio.timeout(1.0):
                    return await queue.get()
            except TimeoutError:
                continue

    def check(self) -> int:
        """Bytes held by all; HollowProcessLost, LimitExceeded."""
        ended = [process for process in self._processes if process.returncode is not None]
        if ended:
            raise HollowProcessLost(f"process {ended[0].pid} ended with {ended[0].returncode}")
        return self._guard.check(tuple(process.pid for process in self._processes))

    # Time.

    async def wait(self, seconds: float) -> None:
        """Let time pass under the guard's eye."""
        until = time.monotonic() + seconds
        while (left := until - time.monotonic()) > 0:
            self.check()
            await asyncio.sleep(min(left, 1.0))

    def begin_window(self) -> None:
        self.tell(Begin())

    async def end_window(self) -> Window:
        self.tell(End())
        window = Window()
        for _ in range(self.count):
            window.add(await self._next(self._samples))
        return window

    def _agreed(self, since: int) -> bool:
        """Every living member holds exactly the living for there, by views later than a time."""
        views = list(self._views.values())
        if len(views) < self.count or any(view.at <= since for view in views):
            return False
        truth = reduce(xor, (view.truth for view in views))
        return all(view.digests == (truth,) for view in views)

    async def until_agreed(self, since: int, most: float) -> float | None:
        """Seconds from a time until all members agreed, by a look four times a second; None for not."""
        while time.monotonic_ns() - since < most * 1e9:
            if self._agreed(since):
                return (max(view.at for view in self._views.values()) - since) / 1e9
            self.check()
            await asyncio.sleep(0.1)
        return None
