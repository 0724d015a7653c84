"""Stand-ins on loopback for hosts, discovery, the platform and clients, run in the rig's event loop.

They record in the history what they observe, without interpreting it.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
from collections import deque
from collections.abc import Callable, Coroutine, Generator
from itertools import count

from millweir.lab.closed_connections import ClosedConnections
from millweir.lab.copied_answers import CopiedAnswers
from millweir.lab.destination import Destination
from millweir.lab.history import (
    Answered,
    Called,
    Copied,
    Fallen,
    History,
    LinkEnded,
    Listed,
    Noticed,
    Offered,
    Returned,
    monotonic_ns,
)
from millweir.lab.http_server import Address, Close, TruncatedResponse, build_response, read_http, serve

SECOND = 1_000_000_000
CLIENT_TIMEOUT_S = 0.4
MAX_IDLE_CONNECTIONS = 32  # of the usual clients to one relay
OVER_STATUS = 410  # the message is over: nothing more is owed for it

SETTINGS = {
    "balancers": 5,
    "period-us": 5000,
    "weight-source": "nominal",
    "membership-mode": "push",
    "localities": ["a"],
    "skus": ["plain"],
    "grades": [
        {"name": "status", "objective-us": 1_000_000, "give-up-us": 6_000_000, "semantics": "pure"},
        {
            "name": "order",
            "objective-us": 1_000_000,
            "give-up-us": 8_000_000,
            "semantics": "token",
            "key-scope": "all",
            "dedup-window-us": 5_000_000,
            "one-at-a-time": True,
        },
        {"name": "charge", "objective-us": 1_000_000, "give-up-us": 8_000_000, "semantics": "side_effect"},
    ],
    "family-info": {"slots": 8, "bundle-max": [1], "kind-apart": [False], "late": "by_half"},
    "ceilings": {
        "max-attempts": 6,
        "max-open": 500,
        "cancel": True,
        "second-copies": True,
        "retry-after": True,
        "max-retry-after-us": 3_000_000,
        "idle-close-us": 10_000_000,
        "connect-timeout-us": 1_000_000,
    },
    "obligations": {
        "drain-grace-us": 500_000,
        "cold-from": 0.2,
        "cold-us": 9_000_000,
        "fall-multiple": 2,
        "fall-us": 2_000_000,
        "answer-slack-us": 20_000,
        "key-quiet-us": 300_000,
    },
}


NEW_CLASS = {"name": "later", "objective-us": 1_000_000, "give-up-us": 6_000_000, "semantics": "pure"}
OPTIONAL_VALUES = {
    "one-at-a-time": False,
    "aim-stretch": 1.0,
    "key-scope": "all",
    "dedup-window-us": 5_000_000,
}


def draw_setting_changes(rng: random.Random) -> dict:
    """Draw settings of a good file: a class may appear, and keys that the pages call optional may lack."""
    rules = dict(SETTINGS["obligations"])
    if rng.random() < 0.5:
        del rules["key-quiet-us"]
    grades = list(SETTINGS["grades"])
    if rng.random() < 0.5:
        optional = {key: value for key, value in OPTIONAL_VALUES.items() if rng.random() < 0.5}
        grades.append(NEW_CLASS | optional)
    return {"grades": grades, "obligations": rules}


_link_numbers = count(1)


class PendingCall:
    """A call that has arrived: it is handled in its turn, or its connection ends before."""

    def __init__(
        self, work: Coroutine[None, None, bytes | TruncatedResponse], on_dropped: Callable[[], None]
    ) -> None:
        self._work, self._on_dropped = work, on_dropped

    def __await__(self) -> Generator[None, None, bytes | TruncatedResponse]:
        return self._work.__await__()

    def close(self) -> None:
        """Record that the connection has ended."""
        self._work.close()
        self._on_dropped()


class Host:
    """One host of a destination, with a service time and injected faults.

    Its rate limit and its recovery after an outage are those of its `destination`, which it may share.
    """

    def __init__(
        self,
        name: str,
        group: int,
        destination: Destination,
        address: Address,
        history: History,
        rng: random.Random,
        calls: list[int],
    ) -> None:
        self.name, self.group, self.destination, self.address = name, group, destination, address
        self._history, self._rng, self._calls = history, rng, calls
        destination.add_host(name)
        self.hung = self.mute = self.short = False
        self.shut_until = 0  # refuses every call until then; 0 when not shut
        self.retry_after_share = 1.0  # share of these refusals that carry a retry-after
        self.refused_share = 0.0  # share of the other calls that is refused after the service time
        self.service_time = 0  # nanoseconds for a call that is run, where refusals come at once; 0: drawn
        self.is_over: Callable[[str], bool] = lambda ident: False  # whether it says that a message is over
        seed = rng.getrandbits(60)
        self.copies = CopiedAnswers(random.Random(seed))
        self.closes = ClosedConnections(random.Random(seed ^ 1))
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._outages = 0

    async def open(self) -> None:
        self._server = await serve(self.address, self._open_connection, self._writers)

    def _open_connection(self) -> HostConnection:
        return HostConnection(self, self._history)

    def close(self) -> None:
        self._server.close()

    def go_down(self) -> None:
        """Simulate the end of the host's process: reset connections and refuse new ones."""
        self._outages += 1
        self.destination.begin_outage(self.name)
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def come_back(self) -> None:
        """Accept connections again, as a recovering host, once the last overlapping outage has ended."""
        self._outages -= 1
        if self._outages:
            return
        self.destination.end_outage(self.name, monotonic_ns())
        await self.open()

    def set_hung(self, on: bool) -> None:
        """Accept calls and answer none, or become a recovering host."""
        self.hung = on
        if on:
            self.destination.begin_outage(self.name)
        else:
            self.destination.end_outage(self.name, monotonic_ns())

    def refuse_calls_for(self, span: int, retry_after_share: float) -> None:
        """Refuse calls for `span`; a share of the refusals carries the remaining time as a retry-after."""
        self.shut_until, self.retry_after_share = monotonic_ns() + span, retry_after_share
        self.destination.begin_outage(self.name)

    def accept_calls_again(self) -> None:
        """Accept calls again, as a recovering host."""
        self.shut_until = 0
        self.destination.end_outage(self.name, monotonic_ns())

    def receive_call(self, line: str, fields: dict[str, str], body: bytes, link: int = 0) -> PendingCall:
        """Record a call as it arrives; the result handles it."""
        in_batch = " /hook/batch " in line
        idents = [row["id"] for row in json.loads(body)] if in_batch else [fields.get("x-correlation-id", "")]
        calls = range(self._calls[0] + 1, self._calls[0] + 1 + len(idents))
        self._calls[0] += len(idents)
        now = monotonic_ns()
        for ident, call in zip(idents, calls, strict=True):
            self._history.add(Called(now, ident, self.name, call, calls[0] if in_batch else 0, link))
        if overload := self.destination.record_call(now):
            self._history.add(Fallen(now, self.name, overload))
        return PendingCall(
            self._handle_call(idents, calls, in_batch),
            lambda: self._record_return(idents, calls, 0, False, 0.0),
        )

    async def _handle_call(
        self, idents: list[str], calls: range, in_batch: bool
    ) -> bytes | TruncatedResponse:
        now = monotonic_ns()
        status, wait, ran = 200, 0.0, True
        if not in_batch and self.is_over(idents[0]):
            status, ran = OVER_STATUS, False
        elif self.shut_until:
            has_retry_after = self._rng.random() < self.retry_after_share
            status, wait, ran = 503, max(self.shut_until - now, 0) / SECOND * has_retry_after, False
        elif not self.destination.take_token(now):
            status, wait, ran = 429, round(self._rng.uniform(0.2, 0.8), 2), False
        else:
            refused = self.refused_share and self._rng.random() < self.refused_share
            status, ran = (503, False) if refused else (200, True)
            try:
                await asyncio.sleep(self._draw_service_seconds(ran))
                while self.hung:
                    await asyncio.sleep(0.1)
            except asyncio.CancelledError:
                self._record_return(idents, calls, 0, ran, 0.0)
                raise
        return self._respond(idents, calls, in_batch, status, ran, wait)

    def _draw_service_seconds(self, ran: bool) -> float:
        if self.service_time:
            return self.service_time / SECOND * ran
        return min(self._rng.lognormvariate(-3.5, 0.6), 2.0)

    def _respond(
        self, idents: list[str], calls: range, in_batch: bool, status: int, ran: bool, wait: float
    ) -> bytes | TruncatedResponse | None:
        """Record and return the response; a single message counts as answered from its first line on."""
        states = ["expired" if self.is_over(ident) else "accepted" for ident in idents]
        rows = json.dumps(
            [{"id": ident, "state": state} for ident, state in zip(idents, states, strict=True)]
        ).encode()
        raw = build_response(
            status, rows if in_batch and status == 200 else b"", **({"Retry-After": wait} if wait else {})
        )
        sent = len(raw)
        if self.mute and ran:
            sent = 0
        elif self.short and ran:
            sent = self._rng.randrange(1, len(raw))
        counts = sent == len(raw) or not in_batch and sent > raw.index(b"\n")
        if counts:
            self._record_return(idents, calls, status, ran, wait, whole=sent == len(raw))
        if sent == len(raw):
            return raw
        return TruncatedResponse(
            raw[:sent], lambda: counts or self._record_return(idents, calls, 0, ran, 0.0)
        )

    def _record_return(
        self, idents: list[str], calls: range, status: int, ran: bool, wait: float, whole: bool = True
    ) -> None:
        now = monotonic_ns()
        for ident, call in zip(idents, calls, strict=True):
            over = status == 200 and self.is_over(ident)
            own_status, own_ran = (OVER_STATUS, False) if over else (status, ran)
            self._history.add(Returned(now, ident, call, own_status, own_ran, int(wait * 1e9), whole))


class HostConnection:
    """One connection to a host."""

    def __init__(self, host: Host, history: History) -> None:
        self._host, self._history = host, history
        self._number = next(_link_numbers)

    def receive(self, line: str, fields: dict[str, str], body: bytes) -> PendingCall:
        return self._host.receive_call(line, fields, body, self._number)

    def draw_copies(self, line: str, answers: list[bytes]) -> list[tuple[float, bytes]]:
        copies = self._host.copies.draw_copies(answers)
        for delay, _ in copies:
            self._history.add(Copied(monotonic_ns(), self._host.name, delay, self._number))
        return copies

    def draw_close(self) -> Close | None:
        return self._host.closes.draw()

    def end(self) -> None:
        self._history.add(LinkEnded(monotonic_ns(), self._number))


class Platform:
    """Discovery with its watch requests, and the receiver of notifications."""

    def __init__(self, address: Address, history: History, rng: random.Random) -> None:
        self.address, self._history = address, history
        self.list_copies = CopiedAnswers(random.Random(rng.getrandbits(60)))
        self.notice_copies = CopiedAnswers(random.Random(rng.getrandbits(60)))
        self._index = 1
        self._rows: dict[str, dict] = {}
        self._list_changed = asyncio.Condition()
        self._server: asyncio.Server | None = None
        self.silent = False
        self.watches = 0

    async def open(self) -> None:
        self._server = await serve(self.address, lambda: self)

    def close(self) -> None:
        self._server.close()

    async def update_host(self, host: Host, status: str = "SERVING") -> None:
        self._index += 1
        self._rows[host.name] = {
            "name": host.name,
            "address": f"{host.address[0]}:{host.address[1]}",
            "zone": "a",
            "type": "plain",
            "group": host.group,
            "status": status,
            "weight": host.destination.rate,
            "since_ms": 0,
            "index": self._index,
        }
        self._history.add(Listed(monotonic_ns(), host.name, status))
        async with self._list_changed:
            self._list_changed.notify_all()

    def build_host_list(self, since: int = -1) -> dict:
        rows = [row for row in self._rows.values() if row["index"] > since]
        return {"index": self._index, "snapshot": since < 0, "endpoints": rows}

    def draw_copies(self, line: str, answers: list[bytes]) -> list[tuple[float, bytes]]:
        """Return the copies of a host list, or of the answer to a notification."""
        is_notice = line.startswith("POST ")
        copies = (self.notice_copies if is_notice else self.list_copies).draw_copies(answers)
        for delay, _ in copies:
            self._history.add(Copied(monotonic_ns(), "notices" if is_notice else "lists", delay))
        return copies

    def draw_close(self) -> Close | None:
        """Leave connections open."""

    def end(self) -> None:
        """Nothing is recorded of the platform's connections."""

    async def receive(self, line: str, fields: dict[str, str], body: bytes) -> bytes | None:
        """Answer a request for the host list, a watch, or a notification."""
        method, path, _ = line.split(" ")
        if method == "POST":
            for row in body.splitlines():
                notice = json.loads(row)
                self._history.add(Noticed(monotonic_ns(), notice["ref"], notice["result"]))
            return build_response(204)
        while self.silent:
            await asyncio.sleep(0.1)
        query = dict(part.split("=") for part in path.partition("?")[2].split("&") if part)
        since, timeout = int(query.get("since", -1)), int(query.get("timeout_ms", 0)) / 1000
        self.watches += 1
        async with self._list_changed:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(max(timeout, 0.001)):
                    await self._list_changed.wait_for(lambda: self._index > since)
        return build_response(200, json.dumps(self.build_host_list(since)).encode())


class Clients:
    """Sends messages at random times to live relays as an open loop, without waiting for responses."""

    def __init__(
        self,
        relays: Callable[[], list[tuple[str, Address]]],
        groups: int,
        rate: float,
        history: History,
        rng: random.Random,
    ) -> None:
        self._relays, self._groups, self._rate = relays, groups, rate
        self._history, self._rng = history, rng
        self._tasks: set[asyncio.Task[None]] = set()
        self._idle_connections: dict[Address, deque] = {}
        self._idle_writers: list[asyncio.StreamWriter] = []
        self._number = 0

    async def run(self, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        end, due = loop.time() + seconds, loop.time()
        while True:
            due += self._rng.expovariate(self._rate)
            if due > end:
                break
            await asyncio.sleep(max(due - loop.time(), 0))
            if relays := self._relays():
                name, address = self._rng.choice(relays)
                task = loop.create_task(self._send_message(name, address))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
        if self._tasks:
            await asyncio.wait(self._tasks)

    async def open_idle_connections(self, name: str, address: Address, count: int) -> None:
        """Open connections that send nothing until the relay closes them."""
        for _ in range(count):
            with contextlib.suppress(OSError):
                _, writer = await asyncio.open_connection(*address)
                self._idle_writers.append(writer)

    Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]

    async def connect(self, address: Address) -> Connection:
        """Open a connection of its own for `send_ordered`."""
        reader, writer = await asyncio.open_connection(*address)
        self._idle_writers.append(writer)
        return reader, writer

    async def send_ordered(
        self, name: str, address: Address, key: str, connection: Connection | None
    ) -> None:
        """Send a message with a key on that connection, or on a new one."""
        ident = self._draw_id()
        grade = next(grade for grade in SETTINGS["grades"] if grade.get("one-at-a-time"))
        group = int(key, 36) % self._groups
        await self._offer(ident, name, address, grade, key, grade["give-up-us"] // 1000, group, [connection])

    async def send_due(self, name: str, address: Address, group: int, seconds: float) -> None:
        """Send a message for that destination whose time is up in so many seconds."""
        ident, grade = self._draw_id(), SETTINGS["grades"][0]
        await self._offer(ident, name, address, grade, "", round(seconds * 1000), group, [None])

    def _draw_id(self) -> str:
        self._number += 1
        return f"{self._rng.getrandbits(48):012x}{self._number:04x}"

    async def _send_message(self, name: str, address: Address) -> None:
        ident = self._draw_id()  # first, so that a seed goes on drawing the same messages
        grade = self._rng.choice(SETTINGS["grades"])
        key = f"k{self._rng.randrange(20)}" if grade.get("one-at-a-time") else ""
        group = self._rng.randrange(self._groups)
        await self._offer(ident, name, address, grade, key, grade["give-up-us"] // 1000, group)

    async def _offer(
        self,
        ident: str,
        name: str,
        address: Address,
        grade: dict,
        key: str,
        left_ms: int,
        group: int,
        connections: list[Connection | None] | None = None,
    ) -> None:
        """Send a message; `connections`: those to try, None for a new one, instead of one kept before."""
        fields = {
            "X-Correlation-Id": ident,
            "X-Service-Class": grade["name"],
            "X-Time-Left": f"{left_ms}m",
            "X-Addressing": f"dest={group}",
        }
        if key:
            fields |= {"Cookie": f"about={key}", "Idempotency-Key": ident}
        body = b"x" * self._rng.randrange(20, 400)
        head = "".join(f"{field}: {value}\r\n" for field, value in fields.items())
        raw = f"POST /api HTTP/1.1\r\nHost: x\r\n{head}Content-Length: {len(body)}\r\n\r\n".encode() + body
        self._history.add(Offered(monotonic_ns(), ident, name, grade["name"], key, left_ms * 1_000_000))
        status = 0
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(CLIENT_TIMEOUT_S):
                status = await self._request_status(address, raw, connections)
        self._history.add(Answered(monotonic_ns(), ident, status))

    async def _request_status(
        self, address: Address, raw: bytes, connections: list[Connection | None] | None
    ) -> int:
        """Send a request and return the status of its answer; 0 without one.

        One that a closed connection did not take is sent once more, on a new connection.
        """
        idle = self._idle_connections.setdefault(address, deque())
        kept = (idle.pop() if idle else None) if connections is None else connections[0]
        if kept:
            reader, writer = kept
            if message := await self._exchange(address, reader, writer, raw):
                return int(message[0].split(" ")[1])
        reader, writer = await asyncio.open_connection(*address)
        message = await self._exchange(address, reader, writer, raw)
        return int(message[0].split(" ")[1]) if message else 0

    async def _exchange(
        self, address: Address, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, raw: bytes
    ) -> tuple[str, dict[str, str], bytes] | None:
        """Send a request on a connection and read its answer; keep the connection if it stays open."""
        idle, is_kept = self._idle_connections[address], False
        try:
            writer.write(raw)
            message = await read_http(reader)
            is_kept = bool(message) and message[1].get("connection") != "close"
            is_kept = is_kept and len(idle) < MAX_IDLE_CONNECTIONS
        finally:
            if is_kept:
                idle.append((reader, writer))
            else:
                writer.close()
        return message

    def close(self) -> None:
        for idle in self._idle_connections.values():
            for _, writer in idle:
                writer.close()
        for writer in self._idle_writers:
            writer.close()
