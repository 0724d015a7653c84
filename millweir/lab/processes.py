"""Real relays as processes: started, stopped, starved, killed, and asked what they see."""

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
RUN = "trap '' HUP; exec \"$@\""  # as the deploy file has it
SLICE = 0.2  # seconds of a starved process's turns
Address = tuple[str, int]


class TookTooLong(Exception):
    """A bounded wait ran out; the text says what was waited for."""


async def until(what: Callable[[], Any], seconds: float, waited_for: str, step: float = 0.02) -> Any:
    """Wait on an observed state, never on a guess; returns what was found."""
    end = time.monotonic() + seconds
    while not (found := what()):
        if time.monotonic() > end:
            raise TookTooLong(f"{waited_for}: not within {seconds} s")
        await asyncio.sleep(step)
    return found


class Relay:
    """One relay's process, folder and log; what it is told is fixed, its processes come and go."""

    def __init__(
        self,
        name: str,
        folder: Path,
        listen: Address,
        config: Callable[[], dict],
        operator: str = "",
    ) -> None:
        self.name, self.folder, self.listen = name, folder, listen
        self._config = config
        self.process: subprocess.Popen | None = None
        self.stopped = self.killed = False
        self._read_to = 0
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
        """There and able to answer."""
        return self.alive and not self.stopped

    def spawn(self, held: bool = False) -> None:
        """Start a process; `held`: stopped at once, for a slow start."""
        config = self.folder / "config.json"
        config.write_text(json.dumps(self._config()))
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
        while not await self._asked_ready():
            if self.killed or self.process is not process:
                return  # by the next fault, which brings it back itself
            if self.process.poll() is not None or time.monotonic() > end:
                raise TookTooLong(f"{self.name} is not ready: {self.tail()}")
            await asyncio.sleep(0.03)

    async def _asked_ready(self) -> bool:
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(*self.listen)
                writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
                writer.close()
            return b" 200 " in line
        except (OSError, TimeoutError):
            return False

    def signal(self, number: int) -> None:
        if self.alive:
            self.process.send_signal(number)

    def stop(self) -> None:
        self.stopped = True
        self.signal(signal.SIGSTOP)

    def go_on(self) -> None:
        self.stopped = False
        self.signal(signal.SIGCONT)

    async def starve(self, share: float, seconds: float) -> None:
        """So small a share of the processor that its turns run late."""
        end = time.monotonic() + seconds
        slices = SLICE / share
        try:
            while time.monotonic() < end and self.alive:
                self.signal(signal.SIGSTOP)
                await asyncio.sleep(slices - SLICE)
                self.signal(signal.SIGCONT)
                await asyncio.sleep(SLICE)
        finally:
            self.signal(signal.SIGCONT)

    def fill(self, full: bool) -> None:
        """No file of its folder may grow any more, or may again."""
        if self.alive:
            most = 0 if full else resource.RLIM_INFINITY
            resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE, (most, resource.RLIM_INFINITY))

    def skew(self, hours: float) -> None:
        (self.folder / "skew").write_text(str(hours * 3600))

    def kill(self, lose_folder: bool = False) -> None:
        self.killed = True
        self.signal(signal.SIGKILL)
        if self.process:
            self.process.wait(5)
        if lose_folder:
            shutil.rmtree(self.folder / "state", ignore_errors=True)
            (self.folder / "state").mkdir()

    async def end(self, seconds: float = 4.0) -> int:
        """SIGTERM, and its exit code; a process that outlasts it is killed and said."""
        self.signal(signal.SIGTERM)
        await until(lambda: self.process.poll() is not None, seconds, f"{self.name} ends after SIGTERM")
        self.killed = True
        return self.process.returncode

    def read_events(self) -> list[dict]:
        """The structured events of its log so far, in order; other lines are passed over."""
        path = self.folder / "log"
        if path.exists():
            with open(path, "rb") as log:
                log.seek(self._read_to)
                raw = log.read()
            whole = raw.rfind(b"\n") + 1
            self._read_to += whole
            for line in raw[:whole].splitlines():
                if line.startswith(b"{"):
                    self.events.append(json.loads(line))
        return self.events

    def tail(self, size: int = 600) -> str:
        path = self.folder / "log"
        return path.read_text()[-size:] if path.exists() else ""

    async def view(self) -> dict | None:
        """What it holds of the others; None where it does not answer."""
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

    async def seen(self, seconds: float = 30.0) -> dict:
        """The same, waiting for an answer."""
        end = time.monotonic() + seconds
        while (view := await self.view()) is None:
            if time.monotonic() > end:
                raise TookTooLong(f"{self.name} answers no look at its view: {self.tail()}")
            await asyncio.sleep(0.05)
        return view
