"""Runs relays as processes: starts, stops, starves and kills them, and queries their view of the members."""

from __future__ import annotations

import asyncio
import json
import os
import resource
import shutil
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent.parent
RUN = "trap '' HUP; exec \"$@\""  # the same command as in the deploy file
STARVED_SLICE_S = 0.2  # time that a starved process runs at a stretch
Address = tuple[str, int]


class WaitTimeout(Exception):
    """A bounded wait timed out; the message names what was waited for."""


async def wait_until(
    condition: Callable[[], Any], seconds: float, waited_for: str, step: float = 0.02
) -> Any:
    """Poll until the state is observed, and return the result; raise WaitTimeout after `seconds`."""
    end = time.monotonic() + seconds
    while not (result := condition()):
        if time.monotonic() > end:
            raise WaitTimeout(f"{waited_for}: not within {seconds} s")
        await asyncio.sleep(step)
    return result


class Relay:
    """One relay: its folder, log and configuration, which outlast its successive processes."""

    def __init__(
        self,
        name: str,
        folder: Path,
        listen: Address,
        config: Callable[[], dict],
        operator: str = "",
        controls: tuple[Address, ...] = (),
    ) -> None:
        """`controls`: the control addresses, which its processes take in turn."""
        self.name, self.folder, self.listen = name, folder, listen
        self._config, self._controls = config, controls
        self.process: subprocess.Popen | None = None
        self._predecessor: subprocess.Popen | None = None  # while it is being replaced
        self.stopped = self.killed = False
        self._log_offset = 0
        self.events: list[dict] = []
        folder.mkdir(parents=True)
        (folder / "state").mkdir()
        self.operator = folder / "operator.toml"
        if operator:
            self.operator.write_text(operator)

    @property
    def alive(self) -> bool:
        return self.process is not None and self.process.poll() is None

    @property
    def up(self) -> bool:
        """Running and not stopped."""
        return self.alive and not self.stopped

    @property
    def has_predecessor(self) -> bool:
        """Whether the process that is being replaced still runs."""
        return self._predecessor is not None and self._predecessor.poll() is None

    def signal_predecessor(self, number: int) -> None:
        if self.has_predecessor:
            self._predecessor.send_signal(number)

    def replace(self) -> None:
        """Start a new process beside the running one."""
        self._predecessor = self.process
        self.spawn()

    def write_config(self, changes: dict | None = None) -> None:
        """Replace the configuration file; `changes`: of the settings."""
        document = self._config()
        if self._controls:
            host, port = self._controls[0]
            document["control"] = f"{host}:{port}"
        document["settings"] = document["settings"] | (changes or {})
        new = self.folder / "config.new"
        new.write_text(json.dumps(document))
        new.rename(self.folder / "config.json")

    def spawn(self, held: bool = False) -> None:
        """Start a process; `held`: stop it at once, to delay its start."""
        self._controls = (*self._controls[1:], *self._controls[:1])
        config = self.folder / "config.json"
        self.write_config()
        env = os.environ | {
            "RELAY_NAME": self.name,
            "RELAY_LISTEN": f"{self.listen[0]}:{self.listen[1]}",
            "RELAY_STATE": str(self.folder / "state"),
            "RELAY_CONFIG": str(config),
            "MILLWEIR_SKEW": str(self.folder / "skew"),
            "PYTHONPATH": os.pathsep.join((str(ROOT / "millweir" / "lab" / "skewed"), str(ROOT))),
        }
        operator = ["--operator", str(self.operator)] if self.operator.exists() else []
        with open(self.folder / "log", "ab") as log:
            self.process = subprocess.Popen(
                ["sh", "-c", RUN, "sh", sys.executable, "-m", "millweir", *operator],
                env=env,
                stderr=log,
                stdout=log,
                stdin=subprocess.DEVNULL,
                cwd=ROOT,
            )
        self.stopped = self.killed = False
        if held:
            self.stop()

    async def ready(self, seconds: float = 15.0) -> None:
        end, process = time.monotonic() + seconds, self.process
        while not await self.is_ready():
            if self.killed or self.process is not process:
                return  # by the next fault, which restarts it itself
            if self.process.poll() is not None or time.monotonic() > end:
                raise WaitTimeout(f"{self.name} is not ready: {self.tail()}")
            await asyncio.sleep(0.03)

    async def is_ready(self) -> bool:
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(*self.listen)
                writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
                writer.close()
            return b" 200 " in line
        except (OSError, TimeoutError):
            return False

    async def request_counters(self) -> dict[str, int]:
        """Return its process's counters; empty if it does not answer."""
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(*self.listen)
                writer.write(b"GET /counters/all HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                _, _, body = (await reader.read()).partition(b"\r\n\r\n")
                writer.close()
            return {name: int(number) for name, number in map(str.split, body.decode().splitlines())}
        except (OSError, TimeoutError, ValueError):
            return {}

    async def count_rejected_files(self) -> int:
        """Return how many configuration files its process has turned down; 0 if it does not answer."""
        lines = (await self.command("counters")).splitlines()
        return json.loads(lines[0])["reload_failure"] if len(lines) > 1 else 0

    async def command(self, line: str, at_predecessor: bool = False) -> str:
        """Give a command at a process's control address and return its answer; empty without one."""
        address = self._controls[-1 if at_predecessor and self.has_predecessor else 0]
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(*address)
                writer.write(line.encode() + b"\n")
                answer = await reader.read()
                writer.close()
            return answer.decode().strip()
        except (OSError, TimeoutError):
            return ""

    def measure_usage(self) -> tuple[float, int]:
        """Return the most memory its process has held so far, in MB, and its open descriptors now."""
        if not self.alive:
            return 0.0, 0
        folder = Path("/proc") / str(self.process.pid)
        try:
            lines = (folder / "status").read_text().splitlines()
            peak_kb = next((int(line.split()[1]) for line in lines if line.startswith("VmHWM:")), 0)
            return peak_kb / 1024, len(os.listdir(folder / "fd"))
        except OSError:  # it has just ended
            return 0.0, 0

    def signal(self, number: int) -> None:
        if self.alive:
            self.process.send_signal(number)

    def stop(self) -> None:
        self.stopped = True
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        self.stopped = False
        self.signal(signal.SIGCONT)

    async def starve(self, share: float, seconds: float) -> None:
        """Limit the process to a share of the processor by stopping it periodically, so that it runs late."""
        end = time.monotonic() + seconds
        period = STARVED_SLICE_S / share
        try:
            while time.monotonic() < end and self.alive:
                self.signal(signal.SIGSTOP)
                await asyncio.sleep(period - STARVED_SLICE_S)
                self.signal(signal.SIGCONT)
                await asyncio.sleep(STARVED_SLICE_S)
        finally:
            self.signal(signal.SIGCONT)

    def set_disk_full(self, full: bool) -> None:
        """Simulate a full disk: no file may grow while `full`."""
        if self.alive:
            limit = 0 if full else resource.RLIM_INFINITY
            resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE, (limit, resource.RLIM_INFINITY))

    def set_clock_skew(self, hours: float) -> None:
        (self.folder / "skew").write_text(str(hours * 3600))

    def kill(self, lose_folder: bool = False) -> None:
        self.killed = True
        self.signal(signal.SIGKILL)
        self.signal_predecessor(signal.SIGKILL)
        for process in filter(None, (self.process, self._predecessor)):
            process.wait(5)
        if lose_folder:
            shutil.rmtree(self.folder / "state", ignore_errors=True)
            (self.folder / "state").mkdir()

    async def terminate(self, seconds: float = 4.0) -> int:
        """Send SIGTERM and return the exit code; raise WaitTimeout if the process does not end."""
        self.signal(signal.SIGTERM)
        await wait_until(lambda: self.process.poll() is not None, seconds, f"{self.name} ends after SIGTERM")
        self.killed = True
        return self.process.returncode

    def read_events(self) -> list[dict]:
        """Return the structured events in its log so far, in order; other lines are skipped."""
        path = self.folder / "log"
        if path.exists():
            with open(path, "rb") as log:
                log.seek(self._log_offset)
                raw = log.read()
            complete = raw.rfind(b"\n") + 1
            self._log_offset += complete
            for line in raw[:complete].splitlines():
                if line.startswith(b"{"):
                    self.events.append(json.loads(line))
        return self.events

    def tail(self, size: int = 600) -> str:
        path = self.folder / "log"
        return path.read_text()[-size:] if path.exists() else ""

    async def request_view(self) -> dict | None:
        """Return its view of the other members; None if it does not answer."""
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_unix_connection(
                    str(self.folder / "state" / "members.sock"), limit=1 << 22
                )
                writer.write(b'{"do":"view"}\n')
                line = await reader.readline()
                writer.close()
            return json.loads(line)
        except (OSError, TimeoutError, ValueError):
            return None

    async def wait_for_view(self, seconds: float = 30.0) -> dict:
        """Return its view, waiting until it answers."""
        end = time.monotonic() + seconds
        while (view := await self.request_view()) is None:
            if time.monotonic() > end:
                raise WaitTimeout(f"{self.name} does not answer a request for its view: {self.tail()}")
            await asyncio.sleep(0.05)
        return view
