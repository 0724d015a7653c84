"""Stand-ins and process control for the cases 6 to 10 of the second review.

One process holds the stand-ins: the platform's agent (host list and notices), the hosts and the clients.
Each relay is a process of its own, started by `run` of deploy/balancer.toml.  All addresses are loopback
addresses.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
LOOPBACK = "127.0.0.1"
SLACK = 0.050  # every time limit is longer by 50 ms on sockets (PROTOCOL)
HELD, BROKEN, NOT_RUN = 0, 1, 2
MAX_LAG = 0.25  # of the stand-ins' own loop; a run in which they were later tells nothing


class CannotRun(Exception):
    """The case could not be run; the text says why."""


def free_port() -> int:
    """Return a free port below those that the system gives to outgoing connections."""
    for port in random.sample(range(15_000, 32_000), 200):
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((LOOPBACK, port))
            return port
    raise CannotRun("no free port")


def build_settings(grades: list[dict], **family) -> dict:
    """Return settings like those of a small deployment; `family`: keys of `family-info` to replace."""
    return {
        "balancers": 1,
        "period-us": 5000,
        "membership-mode": "push",
        "weight-source": "nominal",
        "localities": ["here"],
        "locality": 0,
        "skus": ["large"],
        "grades": grades,
        "family-info": {
            "slots": 8,
            "bundle-max": [1],
            "kind-apart": [False],
            "late": "by_half",
        }
        | family,
        "ceilings": {
            "max-attempts": 8,
            "max-open": 200,
            "cancel": True,
            "second-copies": True,
            "retry-after": True,
            "max-retry-after-us": 3_000_000,
            "idle-close-us": 10_000_000,
            "connect-timeout-us": 1_000_000,
        },
        "obligations": {
            "answer-slack-us": 20_000,
            "drain-grace-us": 500_000,
            "cold-from": 0.2,
            "cold-us": 9_000_000,
            "fall-multiple": 2,
            "fall-us": 2_000_000,
        },
    }


def build_grade(name: str, semantics: str, **more) -> dict:
    grade = {
        "name": name,
        "credit": 1.0,
        "objective-us": 2_500_000,
        "give-up-us": 16_000_000,
        "late-share": 0.4,
        "semantics": semantics,
    }
    return grade | more


async def read_message(reader: asyncio.StreamReader) -> tuple[float, str, str, dict[str, str], bytes] | None:
    """Read one HTTP request: when its first byte came, method, path, head and body; None at the end."""
    first = await reader.read(1)
    if not first:
        return None
    began = time.monotonic()
    head = (first + await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    method, path, _ = head[0].split(" ", 2)
    fields = {}
    for line in head[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(fields.get("content-length", 0)))
    return began, method, path, fields, body


def encode_answer(status: str, body: bytes = b"", fields: str = "") -> bytes:
    return f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n{fields}\r\n".encode() + body


class Server:
    """A stand-in that listens on a free loopback port and serves each connection by `serve`."""

    def __init__(self) -> None:
        self.port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        return f"{LOOPBACK}:{self.port}"

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._handle, LOOPBACK, self.port or None, backlog=512)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (OSError, ValueError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError

    def stop_listening(self) -> None:
        if self._server:
            self._server.close()

    def close_connections(self) -> None:
        for writer in list(self._writers):
            writer.close()


class Host(Server):
    """A sound host: one answer for each call, 200 unless `decide` says otherwise."""

    def __init__(self, case: Case, name: str, group: int, rate: float = 100.0, work: float = 0.15) -> None:
        super().__init__()
        self.case, self.name, self.group, self.rate, self.work = case, name, group, rate, work
        self.status = "SERVING"
        self.calls: list[dict] = []
        self.decide = self.accept

    def accept(self, call: dict) -> tuple[str, float, str]:
        """Return status, time until the answer, and further header fields."""
        return "200 OK", self.work, ""

    @property
    def row(self) -> dict:
        return {
            "name": self.name,
            "address": self.address,
            "zone": "here",
            "type": "large",
            "group": self.group,
            "status": self.status,
            "weight": self.rate,
            "since_ms": 0,
        }

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        while message := await read_message(reader):
            began, _, path, fields, _ = message
            call = {
                "host": self.name,
                "id": fields.get("x-correlation-id", path),
                "first": began,
                "whole": time.monotonic(),
                "answered": None,
                "status": None,
            }
            self.calls.append(call)
            status, delay, more = self.decide(call)
            self.case.record(f"call {self.name} {call['id']} -> {status} in {delay:.3f} s {more.strip()}")
            await asyncio.sleep(delay)
            call["answered"], call["status"] = time.monotonic(), int(status[:3])
            writer.write(encode_answer(status, b"", more))


class Agent(Server):
    """The agent of the platform: the list, watches on it, and the notices."""

    def __init__(self, case: Case, hosts: list[Host], log: Agent | None = None) -> None:
        super().__init__()
        self.case, self.hosts = case, hosts
        self.index = log.index if log else 41
        self._changes: list[tuple[int, dict]] = []
        self._news = asyncio.Event()
        self.notices: dict[str, tuple[float, str]] = log.notices if log else {}  # first notice of each id

    def document(self, since: int = -1) -> bytes:
        rows = [host.row for host in self.hosts] if since < 0 else [r for i, r in self._changes if i > since]
        return json.dumps({"index": self.index, "snapshot": since < 0, "endpoints": rows}).encode()

    def tell(self, host: Host, status: str) -> float:
        """Change a host's status in the list; return when watches were answered."""
        host.status = status
        self.index += 1
        self._changes.append((self.index, host.row))
        self._news.set()
        self._news = asyncio.Event()
        self.case.record(f"list {host.name} {status}")
        return time.monotonic()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while message := await read_message(reader):
            _, method, path, _, body = message
            if method == "POST":
                self._take_notices(body)
                writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
                continue
            since = re.search(r"since=(-?\d+)", path)
            wait = re.search(r"timeout_ms=(\d+)", path)
            known = int(since[1]) if since else -1
            if since and known >= self.index:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._news.wait(), min(60.0, int(wait[1]) / 1000 if wait else 0))
            writer.write(encode_answer("200 OK", self.document(known)))

    def _take_notices(self, body: bytes) -> None:
        for line in body.splitlines():
            notice = json.loads(line)
            self.notices.setdefault(notice["ref"], (time.monotonic(), notice["result"]))
            self.case.record(f"notice {notice['ref']} {notice['result']}")


class Client:
    """One client connection to the relay's address; one request at a time, kept open."""

    def __init__(self, case: Case, port: int) -> None:
        self.case, self.port = case, port
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def connect(self) -> Client:
        self.reader, self.writer = await asyncio.open_connection(LOOPBACK, self.port)
        self.writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return self

    async def ask(self, head: str, body: bytes = b"", timeout: float = 0.4) -> int:
        """Send one request and return the status of its answer; 0 where there is none in time."""
        try:
            if self.writer is None:
                await self.connect()
            self.writer.write(head.encode() + b"\r\n" + body)
            async with asyncio.timeout(timeout):
                answer = await self.reader.readuntil(b"\r\n\r\n")
                length = re.search(rb"content-length: *(\d+)", answer, re.IGNORECASE)
                await self.reader.readexactly(int(length[1]) if length else 0)
            status = int(answer.split(b" ", 2)[1])
            if b"connection: close" in answer.lower():
                self.close()
            return status
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            self.close()
            return 0

    async def hand_in(self, message: dict) -> dict:
        """Hand one message in; it notes what was sent and how that was answered."""
        body = message.get("body", b"hello")
        head = (
            "POST /api HTTP/1.1\r\nHost: service.internal\r\n"
            f"X-Correlation-Id: {message['id']}\r\nX-Service-Class: {message['class']}\r\n"
            f"X-Time-Left: {message['left_ms']}m\r\nContent-Length: {len(body)}\r\n"
            f"X-Addressing: dest={message['dest']}\r\n"
        )
        if "key" in message:
            head += f"Cookie: about={message['key']}\r\n"
        message["sent"] = time.monotonic()
        message["deadline"] = message["sent"] + message["left_ms"] / 1000
        message["status"] = await self.ask(head, body)
        message["answered"] = time.monotonic()
        self.case.record(
            f"message {message['id']} dest={message['dest']} left={message['left_ms']} ms "
            f"key={message.get('key', '-')} answered {message['status']}"
        )
        return message

    def close(self) -> None:
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None


class Relay:
    """One process started by `run` of the deploy file."""

    def __init__(self, case: Case, label: str, state: Path, config: dict) -> None:
        self.case, self.label, self.config = case, label, config
        self.path = case.folder / f"{label}.json"
        self.write_config(config)
        with open(ROOT / "deploy" / "balancer.toml", "rb") as file:
            run = tomllib.load(file)["run"]
        environ = {name: value for name, value in os.environ.items() if not name.startswith("RELAY_")}
        environ |= {
            "RELAY_CONFIG": str(self.path),
            "RELAY_STATE": str(state),
            "RELAY_NAME": config["name"],
            "RELAY_LISTEN": config["listen"],
            "RELAY_DISCOVERY": config["discovery"],
            "TMPDIR": str(case.folder / "tmp"),
        }
        if "control" in config:
            environ["RELAY_CONTROL"] = config["control"]
        self.log = open(case.folder / f"{label}.log", "wb")  # noqa: SIM115
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", run],
            cwd=ROOT,
            env=environ,
            stdin=subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
        )
        case.relays.append(self)
        case.record(f"start {label} pid={self.process.pid}")

    def write_config(self, config: dict) -> None:
        """Write the file whole: it is never seen in part."""
        new = self.path.with_suffix(".part")
        new.write_text(json.dumps(config))
        new.rename(self.path)

    def send(self, number: signal.Signals) -> None:
        self.case.record(f"signal {number.name} to {self.label}")
        self.process.send_signal(number)

    async def wait_ended(self, timeout: float) -> bool:
        until = time.monotonic() + timeout
        while self.process.poll() is None and time.monotonic() < until:
            await asyncio.sleep(0.01)
        if self.process.poll() is not None:
            self.case.record(f"end {self.label} code={self.process.returncode}")
        return self.process.poll() is not None

    def end(self) -> None:
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.log.close()


class Case:
    """One run: its folder, its record, its processes."""

    def __init__(self, folder: Path) -> None:
        self.record_path = folder / "record.txt"
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = Path(tempfile.mkdtemp(prefix="millweir-review-"))
        (self.folder / "tmp").mkdir()
        self.relays: list[Relay] = []
        self.servers: list[Server] = []
        self.began = time.monotonic()
        self.max_lag = 0.0
        self._lines: list[str] = []

    def record(self, line: str) -> None:
        self._lines.append(f"{time.monotonic() - self.began:8.3f} {line}")

    def at(self, moment: float) -> str:
        return f"{moment - self.began:.3f}"

    async def serve(self, *servers: Server) -> None:
        for server in servers:
            await server.start()
            self.servers.append(server)

    def make_state(self, name: str = "state") -> Path:
        state = self.folder / name
        state.mkdir()
        return state

    async def is_ready(self, port: int) -> bool:
        client = Client(self, port)
        status = await client.ask("GET /ready HTTP/1.1\r\nHost: service.internal\r\n")
        client.close()
        return status == 200

    async def wait_ready(self, port: int, timeout: float = 30.0) -> None:
        until = time.monotonic() + timeout
        while not await self.is_ready(port):
            if time.monotonic() > until or any(relay.process.poll() is not None for relay in self.relays):
                raise CannotRun("a relay did not become ready")
            await asyncio.sleep(0.1)

    async def command(self, address: str, line: str) -> str:
        """Say one line to a second address and return the answer."""
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(line.encode() + b"\n")
                answer = (await reader.read()).decode().strip()
                writer.close()
        except (OSError, TimeoutError) as error:
            answer = f"no answer: {error!r}"
        self.record(f"command {address} {line} -> {answer}")
        return answer

    async def wait_control(self, address: str, timeout: float = 6.0) -> None:
        """Wait for the yes of the process with that second address."""
        until = time.monotonic() + timeout
        while not (await self.command(address, "health")).startswith("SUCCESS"):
            if time.monotonic() > until:
                raise CannotRun("the new process said no yes within 6 s")
            await asyncio.sleep(0.1)

    async def _watch_lag(self) -> None:
        while True:
            began = time.monotonic()
            await asyncio.sleep(0.01)
            self.max_lag = max(self.max_lag, time.monotonic() - began - 0.01)

    def save(self, verdict: str) -> None:
        text = "\n".join([*self._lines, f"trouble: {'yes' if self.trouble else 'no'}", verdict, ""])
        self.record_path.write_text(text)

    def clean_up(self) -> None:
        for relay in self.relays:
            relay.end()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def find_ends(messages: list[dict], hosts: list[Host], agent: Agent) -> None:
    """Note of each message that was taken on when it ended, and how; None where it did not."""
    delivered: dict[str, float] = {}
    for host in hosts:
        for call in host.calls:
            if call["status"] == 200:
                delivered[call["id"]] = min(delivered.get(call["id"], call["answered"]), call["answered"])
    for message in messages:
        notice = agent.notices.get(message["id"])
        ends = [(at, "delivered") for at in [delivered.get(message["id"])] if at]
        ends += [notice] if notice else []
        message["end"] = min(ends, default=None)


def run_case(folder: Path, play) -> None:
    """Play the case, write its record, end all processes, and exit with its result.

    `play(case)` returns the lines that say how the rule was broken, none if it held.
    """
    case = Case(folder)

    async def bounded() -> list[str]:
        watch = asyncio.create_task(case._watch_lag())
        try:
            async with asyncio.timeout(110):
                return await play(case)
        finally:
            watch.cancel()

    code, lines = NOT_RUN, []
    try:
        lines = asyncio.run(bounded())
        code = BROKEN if lines else HELD
        if case.max_lag > MAX_LAG:
            code, lines = NOT_RUN, [*lines, f"the stand-ins were late by {case.max_lag:.3f} s"]
    except Exception as error:  # a fault of the case itself is no broken rule
        code, lines = NOT_RUN, [f"could not run: {error!r}"]
    finally:
        case.clean_up()
    verdict = "\n".join([*lines, f"result: {('held', 'BROKEN', 'could not run')[code]}"])
    case.save(verdict)
    print(verdict)
    sys.exit(code)
