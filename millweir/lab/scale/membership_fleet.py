"""Starts and controls a fleet of hollow members in child processes, for the membership scale test."""

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
    get_address,
    get_black_hole_address,
)

MAX_PROCESSES = 6
MEMBERS_PER_PROCESS = 40  # before another process is started, up to the limit
MAX_RECORD_BYTES = 220  # upper bound for one member in another's table, with shared records
MEMBER_BYTES = 40_000  # without its table
PROCESS_BYTES = 40 << 20
BUILD_BASE_SECONDS = 3.0
BUILD_RECORD_SECONDS = 60e-6  # on a machine with other load
MAX_LINE_BYTES = 1 << 26  # of a report
FIRST_PORT = 20_000
LAST_PORT = 30_000  # below the ephemeral ports of the kernel
STOP_TIMEOUT_SECONDS = 5.0  # until a process whose input was closed is killed


class HollowProcessLost(Exception):
    """A hollow process ended unexpectedly; the message holds its process id and exit code."""


@dataclass(slots=True)
class Window:
    """The samples of all processes in one period of time."""

    sent_bytes: list[int] = field(default_factory=list)  # per member and second
    processor: list[int] = field(default_factory=list)  # nanoseconds per member and second
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
    """Starts the processes, sends them commands and collects their reports; an async context manager."""

    def __init__(self, size: int, seed: int, guard: Guard) -> None:
        self.size, self._seed, self._guard = size, seed, guard
        self.count = min(MAX_PROCESSES, -(-size // MEMBERS_PER_PROCESS))
        self.built: list[Built] = []
        self._processes: list[asyncio.subprocess.Process] = []
        self._reader_tasks: list[asyncio.Task[None]] = []
        self._views: dict[int, View] = {}
        self._samples: asyncio.Queue[Samples] = asyncio.Queue()
        self._built: asyncio.Queue[Built] = asyncio.Queue()
        self._black_hole_sockets: list[socket.socket] = []

    async def __aenter__(self) -> HollowFleet:
        expected_bytes = (
            self.size * (self.size * MAX_RECORD_BYTES + MEMBER_BYTES) + self.count * PROCESS_BYTES
        )
        self._guard.check_plan(expected_bytes, self.count + 1)
        try:
            await self._start()
        except BaseException:
            await self._stop()
            raise
        return self

    async def __aexit__(self, *exception_info: object) -> None:
        await self._stop()

    async def _start(self) -> None:
        port = self._open_black_hole()
        build_time = BUILD_BASE_SECONDS + self.size * self.size * BUILD_RECORD_SECONDS / self.count
        start_at = time.monotonic_ns() + round(build_time * 1e9)
        for index in range(self.count):
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "millweir.lab.scale.membership_hollow",
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                cwd=ROOT,
                limit=MAX_LINE_BYTES,
            )
            self._processes.append(process)
            self._reader_tasks.append(asyncio.create_task(self._read_reports(index, process)))
            self._send_command(process, Plan(self.size, self.count, index, self._seed, port, start_at))
        while len(self.built) < self.count:
            self.built.append(await self._receive_report(self._built))
        max_late_seconds = max(built.late for built in self.built)
        if max_late_seconds > 0:
            raise LimitExceeded(
                f"the members were created {max_late_seconds:.1f} s too late: the machine is too busy"
            )

    def _open_black_hole(self) -> int:
        """Opens sockets that receive the traffic across a partition and never answer.

        Returns their port, which all members use too.
        """
        for port in range(FIRST_PORT + self._seed % 100, LAST_PORT, 100):
            datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            streams = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            self._black_hole_sockets = [datagrams, streams]
            try:
                for black_hole_socket in self._black_hole_sockets:
                    black_hole_socket.bind(get_black_hole_address(port))
                streams.listen(1)
                with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe_socket:
                    probe_socket.bind(get_address(0, port))
            except OSError:
                datagrams.close()
                streams.close()
                continue
            return port
        raise OSError("no free port")

    async def _stop(self) -> None:
        for process in self._processes:
            process.stdin.close()
        for process in self._processes:
            try:
                async with asyncio.timeout(STOP_TIMEOUT_SECONDS):
                    await process.wait()
            except TimeoutError:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
                await process.wait()
        for reader_task in self._reader_tasks:
            reader_task.cancel()
        for black_hole_socket in self._black_hole_sockets:
            black_hole_socket.close()

    # Commands and reports.

    def _send_command(self, process: asyncio.subprocess.Process, command: Command) -> None:
        process.stdin.write(msgspec.json.encode(command) + b"\n")

    def broadcast(self, command: Command) -> int:
        """Sends a command to all processes; returns the monotonic time after that."""
        for process in self._processes:
            self._send_command(process, command)
        return time.monotonic_ns()

    async def _read_reports(self, index: int, process: asyncio.subprocess.Process) -> None:
        decoder = msgspec.json.Decoder(Report)
        while line := await process.stdout.readline():
            report = decoder.decode(line)
            if isinstance(report, View):
                self._views[index] = report
            elif isinstance(report, Samples):
                self._samples.put_nowait(report)
            else:
                self._built.put_nowait(report)

    async def _receive_report(self, queue: asyncio.Queue) -> Built | Samples:
        """Waits for the next report in a queue; raises if a process ends or the limits are exceeded."""
        while True:
            self.check()
            try:
                async with asyncio.timeout(1.0):
                    return await queue.get()
            except TimeoutError:
                continue

    def check(self) -> int:
        """Returns the resident bytes of all processes; raises HollowProcessLost or LimitExceeded."""
        ended_processes = [process for process in self._processes if process.returncode is not None]
        if ended_processes:
            raise HollowProcessLost(
                f"process {ended_processes[0].pid} ended with {ended_processes[0].returncode}"
            )
        return self._guard.check(tuple(process.pid for process in self._processes))

    # Time.

    async def wait(self, seconds: float) -> None:
        """Waits for some seconds while checking the processes and limits."""
        deadline = time.monotonic() + seconds
        while (remaining := deadline - time.monotonic()) > 0:
            self.check()
            await asyncio.sleep(min(remaining, 1.0))

    def begin_window(self) -> None:
        self.broadcast(Begin())

    async def end_window(self) -> Window:
        self.broadcast(End())
        window = Window()
        for _ in range(self.count):
            window.add(await self._receive_report(self._samples))
        return window

    def _is_agreed(self, since: int) -> bool:
        """Returns whether all alive sets are exactly the living members, by views later than `since`."""
        views = list(self._views.values())
        if len(views) < self.count or any(view.at <= since for view in views):
            return False
        expected_digest = reduce(xor, (view.truth for view in views))
        return all(view.digests == (expected_digest,) for view in views)

    async def wait_until_agreed(self, since: int, timeout_seconds: float) -> float | None:
        """Returns the seconds from `since` until all members agree, or None if they do not in time.

        The processes report their views four times a second.
        """
        while time.monotonic_ns() - since < timeout_seconds * 1e9:
            if self._is_agreed(since):
                return (max(view.at for view in self._views.values()) - since) / 1e9
            self.check()
            await asyncio.sleep(0.1)
        return None
