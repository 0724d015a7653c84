"""What the cases share: the relay as processes, and stand-ins of platform, hosts and clients on loopback.

The stand-ins follow the operators' pages.  A relay is started by the command `run` of the deploy file.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BEGAN_AT = time.monotonic()
CLIENT_PATIENCE_S = 0.4  # PROTOCOL: a client waits 400 ms for its answer
Address = tuple[str, int]


class CaseFailed(Exception):
    """The case could not be run; the text says why."""


def now() -> float:
    """Seconds since the case began."""
    return time.monotonic() - BEGAN_AT


def write_address(address: Address) -> str:
    return f"{address[0]}:{address[1]}"


class Record:
    """The case's record: one line for each thing that was sent, answered or run."""

    def __init__(self, path: Path) -> None:
        self._file = open(path, "w")  # noqa: SIM115

    def add(self, text: str) -> None:
        self._file.write(f"{now():9.3f} {text}\n")
        self._file.flush()


def find_free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    """Read one HTTP message with a length; None at the end of the connection."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        rows = [line.partition(":") for line in head[1:] if line]
        fields = {name.strip().lower(): value.strip() for name, _, value in rows}
        return head[0], fields, await reader.readexactly(int(fields.get("content-length", 0)))
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError, ValueError):
        return None


def encode_answer(status: int, body: bytes = b"", **fields: object) -> bytes:
    extra = "".join(f"{name.replace('_', '-')}: {value}\r\n" for name, value in fields.items())
    return f"HTTP/1.1 {status} X\r\n{extra}Content-Length: {len(body)}\r\n\r\n".encode() + body


class Platform:
    """Discovery with its watch, and the receiver of notices (PROTOCOL, Discovery and Notices)."""

    def __init__(self, record: Record) -> None:
        self.address = ("127.0.0.1", find_free_port())
        self.notices: dict[str, tuple[float, str]] = {}  # the first for each message
        self.told_at: dict[str, float] = {}  # when the relay was first told of a host
        self._record = record
        self._index = 1
        self._rows: dict[str, tuple[int, dict]] = {}
        self._changed = asyncio.Condition()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        self._server = await asyncio.start_server(self._serve, *self.address)

    async def move(self) -> None:
        """Go to another address; the old one takes no connection, and open ones end 1.5 s later (LATER)."""
        old, writers = self._server, list(self._writers)
        self.address = ("127.0.0.1", find_free_port())
        await self.open()
        old.close()
        self._record.add(f"discovery moved to {write_address(self.address)}")
        asyncio.get_running_loop().call_later(1.5, lambda: [writer.close() for writer in writers])

    async def list_hosts(self, *rows: dict) -> None:
        """Add or change entries; together they are one change of the list."""
        self._index += 1
        for row in rows:
            entry = {"zone": "a", "type": "plain", "status": "SERVING", "weight": 20.0, "since_ms": 0} | row
            self._rows[row["name"]] = self._index, entry
            self._record.add(
                f"list index={self._index} name={entry['name']} address={entry['address']} "
                f"group={entry['group']} status={entry['status']}"
            )
        async with self._changed:
            self._changed.notify_all()

    def build_list(self, since: int) -> dict:
        whole = since < 0
        rows = [
            entry
            for index, entry in self._rows.values()
            if index > since and not (whole and entry["status"] == "DELETED")
        ]
        return {"index": self._index, "snapshot": whole, "endpoints": rows}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        with contextlib.suppress(OSError, asyncio.CancelledError):
            while message := await read_message(reader):
                writer.write(await self._answer(*message))
                await writer.drain()
        self._writers.discard(writer)
        writer.close()

    async def _answer(self, line: str, fields: dict[str, str], body: bytes) -> bytes:
        method, target, _ = line.split(" ")
        if method == "POST" and target == "/v1/notices":
            for row in body.splitlines():
                notice = json.loads(row)
                self.notices.setdefault(notice["ref"], (now(), notice["result"]))
                self._record.add(f"notice id={notice['ref']} result={notice['result']}")
            return encode_answer(204)
        query = dict(part.split("=") for part in target.partition("?")[2].split("&") if part)
        since, wait_ms = int(query.get("since", -1)), int(query.get("timeout_ms", 0))
        async with self._changed:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(max(wait_ms, 1) / 1000):
                    await self._changed.wait_for(lambda: self._index > since)
        document = self.build_list(since)
        for row in document["endpoints"]:
            self.told_at.setdefault(row["name"], now())
        if since >= 0 and document["endpoints"]:
            self._record.add(f"told index={document['index']}")
        return encode_answer(200, json.dumps(document).encode())


class Relay:
    """One relay: its configuration and its folder, and the processes that run it."""

    def __init__(self, record: Record, platform: Platform, settings: dict, limits: dict) -> None:
        self.listen = ("127.0.0.1", find_free_port())
        self.folder = Path(tempfile.mkdtemp(prefix="relay-"))
        self.state = self.folder / "state"
        self.state.mkdir()
        self.processes: list[subprocess.Popen] = []
        self._record, self._platform = record, platform
        self._settings, self._limits = settings, limits
        self._run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]

    def start(self, known: dict) -> subprocess.Popen:
        """Start a process by the deploy file; `known` is the list as the relay last had it."""
        number = len(self.processes) + 1
        control = ("127.0.0.1", find_free_port())
        self.config = config = {
            "name": "n1",
            "listen": write_address(self.listen),
            "control": write_address(control),
            "discovery": write_address(self._platform.address),
            "seed": f"{number:016x}",
            "limits": self._limits,
            "known": known,
            "settings": self._settings,
        }
        path = self.folder / "config.json"
        self.write_config(config)
        env = os.environ | {
            "RELAY_NAME": "n1",
            "RELAY_LISTEN": config["listen"],
            "RELAY_CONTROL": config["control"],
            "RELAY_DISCOVERY": config["discovery"],
            "RELAY_STATE": str(self.state),
            "RELAY_CONFIG": str(path),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with open(self.folder / f"log-{number}", "wb") as log:
            process = subprocess.Popen(
                ["/bin/sh", "-c", self._run],
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.processes.append(process)
        process.control = control  # type: ignore[attr-defined]
        self._record.add(f"relay process={number} started pid={process.pid}")
        return process

    def write_config(self, config: dict) -> None:
        """Replace the configuration file."""
        new_path = self.folder / "config.new"
        new_path.write_text(json.dumps(config))
        new_path.rename(self.folder / "config.json")

    async def wait_ready(self, seconds: float = 15.0) -> None:
        """Wait until GET /ready is answered 200 at the clients' address; any process may answer."""
        end = now() + seconds
        while now() < end:
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(1):
                    reader, writer = await asyncio.open_connection(*self.listen)
                    writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                    answer = await read_message(reader)
                    writer.close()
                    if answer and " 200 " in answer[0]:
                        return
            await asyncio.sleep(0.05)
        raise CaseFailed(f"the relay is not ready: {self.read_logs()[-800:]}")

    async def wait_healthy(self, process: subprocess.Popen, seconds: float = 6.0) -> None:
        """Wait until that process says yes at its second address (DAYS)."""
        end = now() + seconds
        while now() < end:
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(1):
                    reader, writer = await asyncio.open_connection(*process.control)
                    writer.write(b"health\n")
                    line = await reader.readline()
                    writer.close()
                    if line.startswith(b"SUCCESS"):
                        return
            await asyncio.sleep(0.05)
        raise CaseFailed(f"the new process does not say yes: {self.read_logs()[-800:]}")

    def signal(self, process: subprocess.Popen, number: int) -> None:
        self._record.add(f"relay pid={process.pid} {signal.Signals(number).name}")
        if process.poll() is None:
            process.send_signal(number)

    async def wait_end(self, process: subprocess.Popen, seconds: float) -> bool:
        end = now() + seconds
        while process.poll() is None and now() < end:
            await asyncio.sleep(0.01)
        if process.poll() is not None:
            self._record.add(f"relay pid={process.pid} ended code={process.returncode}")
        return process.poll() is not None

    def read_logs(self) -> str:
        return "".join(path.read_text(errors="replace") for path in sorted(self.folder.glob("log-*")))

    def end_all(self) -> None:
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait(5)
        if "KEEP" in os.environ:
            print(f"kept {self.folder}", file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Clients:
    """Hands messages in: one request at a time on a connection, and connections are kept."""

    def __init__(self, record: Record, relay: Relay) -> None:
        self.taken: dict[str, tuple[float, float]] = {}  # when handed in, and when told that it was taken on
        self._record, self._relay = record, relay
        self._idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

    async def hand_in(
        self, ident: str, grade: str, dest: int, left_ms: int, body: bytes, extra: str = "", note: str = ""
    ) -> int:
        """Hand in one message; returns the status, 0 where no answer came."""
        head = (
            f"POST /api HTTP/1.1\r\nHost: service.internal\r\nX-Correlation-Id: {ident}\r\n"
            f"X-Service-Class: {grade}\r\nX-Time-Left: {left_ms}m\r\nX-Addressing: dest={dest}\r\n"
            f"{extra}Content-Length: {len(body)}\r\n\r\n"
        )
        sent_at, status = now(), 0
        connection = self._idle.pop() if self._idle else None
        try:
            async with asyncio.timeout(CLIENT_PATIENCE_S):
                for _ in range(2):
                    kept = connection is not None
                    if connection is None:
                        connection = await asyncio.open_connection(*self._relay.listen)
                    reader, writer = connection
                    answer = None
                    with contextlib.suppress(OSError):
                        writer.write(head.encode() + body)
                        await writer.drain()
                        answer = await read_message(reader)
                    if answer:
                        status = int(answer[0].split(" ")[1])
                        if answer[1].get("connection", "").lower() != "close":
                            self._idle.append(connection)
                            connection = None
                        break
                    writer.close()
                    connection = None
                    if not kept:  # a close between requests: once more on a new connection
                        break
        except (OSError, TimeoutError):
            pass
        finally:
            if connection:
                connection[1].close()
        if status in (200, 202):
            self.taken[ident] = sent_at, now()
        self._record.add(
            f"client id={ident} class={grade} dest={dest} {note} sent={sent_at:.3f} got={status}"
        )
        return status


def run_case(record_path: Path, case: Callable[[Record], Awaitable[list[str]]], seconds: float = 110) -> None:
    """Run a case and exit: 1 with breaches of the rule, 0 without, 2 where it could not run."""
    record = Record(record_path)
    record.add(f"trouble={int(TROUBLE)}")

    async def bounded() -> list[str]:
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):  # ends the relays too
            loop.add_signal_handler(number, task.cancel)
        async with asyncio.timeout(seconds):
            return await case(record)

    try:
        breaches = asyncio.run(bounded())
    except (CaseFailed, OSError, TimeoutError, asyncio.CancelledError) as error:
        record.add(f"could not run: {error!r}")
        print(f"could not run: {error!r}", file=sys.stderr)
        sys.exit(2)
    for breach in breaches:
        record.add(f"BROKEN {breach}")
        print(f"broken: {breach}")
    record.add("held" if not breaches else f"broken {len(breaches)}")
    print("held" if not breaches else f"broken {len(breaches)}")
    sys.exit(1 if breaches else 0)
