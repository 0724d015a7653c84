"""Hosts, discovery, platform and clients as stand-ins on loopback, in the rig's own loop.

They write down what they saw in the history and nothing of what the program means by it.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from millweir.lab.history import Answered, Called, Fallen, History, Listed, Noticed, Offered, Returned, steady

Address = tuple[str, int]
SECOND = 1_000_000_000
PATIENCE = 0.4  # seconds that a client waits for its answer

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


async def read_http(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    """First line, fields and body of one message; None at the end of the connection."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        rows = [line.partition(": ") for line in head[1:] if line]
        fields = {name.lower(): value for name, _, value in rows}
        return head[0], fields, await reader.readexactly(int(fields.get("content-length", 0)))
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError, ValueError):
        return None


def answer(status: int, body: bytes = b"", **fields: object) -> bytes:
    extra = "".join(f"{name.replace('_', '-')}: {value}\r\n" for name, value in fields.items())
    return f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{extra}\r\n".encode() + body


@dataclass(frozen=True, slots=True)
class Unfinished:
    """What is written of an answer before its connection falls silent."""

    raw: bytes
    ended: Callable[[], None]  # told when the other side has ended the connection


async def serve(
    address: Address, handle: Callable, open_writers: set[asyncio.StreamWriter] | None = None
) -> asyncio.Server:
    """Answer requests with `handle`; connections that are open stand in `open_writers`."""
    writers = open_writers if open_writers is not None else set()

    async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writers.add(writer)
        try:
            while (message := await read_http(reader)) is not None:
                work = asyncio.ensure_future(handle(*message))
                gone = asyncio.ensure_future(reader.read(1))  # nobody asks twice at once
                await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
                if not work.done():
                    work.cancel()
                    return
                gone.cancel()
                with contextlib.suppress(asyncio.CancelledError, OSError):
                    await gone
                raw = work.result()
                if raw is None:
                    return
                if isinstance(raw, Unfinished):
                    writer.write(raw.raw)
                    with contextlib.suppress(OSError):
                        await reader.read()  # to the end of the connection, which the other side has to make
                    raw.ended()
                    return
                writer.write(raw)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writers.discard(writer)
            writer.close()

    return await asyncio.start_server(talk, *address, backlog=256)


class Host:
    """One host of a partner: a service time, a rate that it takes, and whether it is well.

    Back from an outage it is cold: it bears a share of its rate that grows, and falls over (rule 4) when it
    gets more than N + 3 root N + 3 calls in the settings' time, N being what they allow it then.
    """

    def __init__(
        self,
        name: str,
        group: int,
        rate: float,
        address: Address,
        history: History,
        chance: random.Random,
        calls: list[int],
    ) -> None:
        self.name, self.group, self.rate, self.address = name, group, rate, address
        self._history, self._chance, self._calls = history, chance, calls
        self._tokens, self._at = rate, steady()
        self.hung = self.mute = self.short = False
        self.shut_until = 0  # refuses every call until then; 0 for open
        self.told_share = 1.0  # of these refusals that tell so
        self._cold_at = 0  # when it came back; 0 for warm
        self._recent: deque[int] = deque()  # calls within the settings' time
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._outages = 0

    async def open(self) -> None:
        self._server = await serve(self.address, self._asked, self._writers)

    def close(self) -> None:
        self._server.close()

    def shut(self) -> None:
        """Its process is gone: connections end by a reset, new ones are refused."""
        self._outages += 1
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def reopen(self) -> None:
        """Back, and cold, once the last of its outages is over."""
        self._outages -= 1
        if self._outages:
            return
        self._cold_at = steady()
        self._recent.clear()
        await self.open()

    def hang(self, on: bool) -> None:
        """Accept calls and answer none, or come back cold."""
        self.hung = on
        self._cold_at = 0 if on else steady()
        self._recent.clear()

    def shut_for(self, span: int, told_share: float) -> None:
        """Refuse calls for so long; a part of the refusals tells the moment of the return."""
        self.shut_until, self.told_share, self._cold_at = steady() + span, told_share, 0

    def open_again(self) -> None:
        """Take calls again, cold."""
        self.shut_until, self._cold_at = 0, steady()
        self._recent.clear()

    def _warmth(self, now: int) -> float:
        """The share of its rate that it bears."""
        if not self._cold_at:
            return 1.0
        rules = SETTINGS["obligations"]
        since = (now - self._cold_at) / (rules["cold-us"] * 1000)
        share = rules["cold-from"] + (1 - rules["cold-from"]) * since
        if share >= 1:
            self._cold_at = 0
        return min(share, 1.0)

    def _falls(self, now: int, warmth: float) -> None:
        rules = SETTINGS["obligations"]
        span = rules["fall-us"] * 1000
        self._recent.append(now)
        while self._recent[0] < now - span:
            self._recent.popleft()
        allowed = self.rate * warmth * rules["fall-multiple"] * span / 1e9
        if len(self._recent) > allowed + 3 * allowed**0.5 + 3:
            self._history.add(Fallen(now, self.name, len(self._recent)))
            self._recent.clear()

    async def _asked(self, line: str, fields: dict[str, str], body: bytes) -> bytes | None:
        shared = " /hook/batch " in line
        idents = [row["id"] for row in json.loads(body)] if shared else [fields.get("x-correlation-id", "")]
        calls = range(self._calls[0] + 1, self._calls[0] + 1 + len(idents))
        self._calls[0] += len(idents)
        now = steady()
        for ident, call in zip(idents, calls, strict=True):
            self._history.add(Called(now, ident, self.name, call, calls[0] if shared else 0))
        status, wait, ran = 200, 0.0, True
        warmth = self._warmth(now)
        if self._cold_at:
            self._falls(now, warmth)
        rate = self.rate * warmth
        self._tokens = min(rate, self._tokens + (now - self._at) / 1e9 * rate)
        self._at = now
        if self.shut_until:
            told = self._chance.random() < self.told_share
            status, wait, ran = 503, max(self.shut_until - now, 0) / SECOND * told, False
        elif self._tokens < 1:
            status, wait, ran = 429, round(self._chance.uniform(0.2, 0.8), 2), False
        else:
            self._tokens -= 1
            try:
                await asyncio.sleep(min(self._chance.lognormvariate(-3.5, 0.6), 2.0))
                while self.hung:
                    await asyncio.sleep(0.1)
            except asyncio.CancelledError:
                self._returned(idents, calls, 0, ran, 0.0)
                raise
        return self._answered(idents, calls, shared, status, ran, wait)

    def _answered(
        self, idents: list[str], calls: range, shared: bool, status: int, ran: bool, wait: float
    ) -> bytes | Unfinished | None:
        """Write the answer down as far as it counts: one message's from its whole first line on."""
        rows = json.dumps([{"id": ident, "state": "accepted"} for ident in idents]).encode()
        raw = answer(
            status, rows if shared and status == 200 else b"", **({"Retry-After": wait} if wait else {})
        )
        sent = len(raw)
        if self.mute and ran:
            sent = 0
        elif self.short and ran:
            sent = self._chance.randrange(1, len(raw))
        counts = sent == len(raw) or not shared and sent > raw.index(b"\n")
        if counts:
            self._returned(idents, calls, status, ran, wait)
        if sent == len(raw):
            return raw
        return Unfinished(raw[:sent], lambda: counts or self._returned(idents, calls, 0, ran, 0.0))

    def _returned(self, idents: list[str], calls: range, status: int, ran: bool, wait: float) -> None:
        for ident, call in zip(idents, calls, strict=True):
            self._history.add(Returned(steady(), ident, call, status, ran, int(wait * 1e9)))


class Platform:
    """Discovery with its watch, and the address that takes notices."""

    def __init__(self, address: Address, history: History) -> None:
        self.address, self._history = address, history
        self._index = 1
        self._rows: dict[str, dict] = {}
        self._news = asyncio.Condition()
        self._server: asyncio.Server | None = None
        self.silent = False
        self.watches = 0

    async def open(self) -> None:
        self._server = await serve(self.address, self._asked)

    def close(self) -> None:
        self._server.close()

    async def put(self, host: Host, status: str = "SERVING") -> None:
        self._index += 1
        self._rows[host.name] = {
            "name": host.name,
            "address": f"{host.address[0]}:{host.address[1]}",
            "zone": "a",
            "type": "plain",
            "group": host.group,
            "status": status,
            "weight": host.rate,
            "since_ms": 0,
            "index": self._index,
        }
        self._history.add(Listed(steady(), host.name, status))
        async with self._news:
            self._news.notify_all()

    def list(self, since: int = -1) -> dict:
        rows = [row for row in self._rows.values() if row["index"] > since]
        return {"index": self._index, "snapshot": since < 0, "endpoints": rows}

    async def _asked(self, line: str, fields: dict[str, str], body: bytes) -> bytes | None:
        method, path, _ = line.split(" ")
        if method == "POST":
            for row in body.splitlines():
                notice = json.loads(row)
                self._history.add(Noticed(steady(), notice["ref"], notice["result"]))
            return answer(204)
        while self.silent:
            await asyncio.sleep(0.1)
        query = dict(part.split("=") for part in path.partition("?")[2].split("&") if part)
        since, most = int(query.get("since", -1)), int(query.get("timeout_ms", 0)) / 1000
        self.watches += 1
        async with self._news:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(max(most, 0.001)):
                    await self._news.wait_for(lambda: self._index > since)
        return answer(200, json.dumps(self.list(since)).encode())


class Clients:
    """Open loop: packets at random moments, to relays that are up; nobody waits for an answer to go on."""

    def __init__(
        self,
        relays: Callable[[], list[tuple[str, Address]]],
        groups: int,
        rate: float,
        history: History,
        chance: random.Random,
    ) -> None:
        self._relays, self._groups, self._rate = relays, groups, rate
        self._history, self._chance = history, chance
        self._tasks: set[asyncio.Task[None]] = set()
        self._links: dict[Address, deque] = {}
        self._resting: list[asyncio.StreamWriter] = []
        self._number = 0

    async def run(self, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        end, due = loop.time() + seconds, loop.time()
        while True:
            due += self._chance.expovariate(self._rate)
            if due > end:
                break
            await asyncio.sleep(max(due - loop.time(), 0))
            if relays := self._relays():
                name, address = self._chance.choice(relays)
                task = loop.create_task(self._hand_in(name, address))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
        if self._tasks:
            await asyncio.wait(self._tasks)

    async def rest(self, name: str, address: Address, count: int) -> None:
        """Connections that ask nothing until the relay ends them."""
        for _ in range(count):
            with contextlib.suppress(OSError):
                _, writer = await asyncio.open_connection(*address)
                self._resting.append(writer)

    async def _hand_in(self, name: str, address: Address) -> None:
        self._number += 1
        ident = f"{self._chance.getrandbits(48):012x}{self._number:04x}"
        grade = self._chance.choice(SETTINGS["grades"])
        key = f"k{self._chance.randrange(20)}" if grade.get("one-at-a-time") else ""
        fields = {
            "X-Correlation-Id": ident,
            "X-Service-Class": grade["name"],
            "X-Time-Left": f"{grade['give-up-us'] // 1000}m",
            "X-Addressing": f"dest={self._chance.randrange(self._groups)}",
        }
        if key:
            fields |= {"Cookie": f"about={key}", "Idempotency-Key": ident}
        body = b"x" * self._chance.randrange(20, 400)
        head = "".join(f"{field}: {value}\r\n" for field, value in fields.items())
        raw = f"POST /api HTTP/1.1\r\nHost: x\r\n{head}Content-Length: {len(body)}\r\n\r\n".encode() + body
        status, writer = 0, None
        idle = self._links.setdefault(address, deque())
        self._history.add(Offered(steady(), ident, name, grade["name"], key, grade["give-up-us"] * 1000))
        try:
            async with asyncio.timeout(PATIENCE):
                reader, writer = idle.pop() if idle else await asyncio.open_connection(*address)
                writer.write(raw)
                message = await read_http(reader)
            status = int(message[0].split(" ")[1]) if message else 0
            if message and message[1].get("connection") != "close" and len(idle) < 32:
                idle.append((reader, writer))
                writer = None
        except (OSError, TimeoutError):
            pass
        finally:
            if writer:
                writer.close()
        self._history.add(Answered(steady(), ident, status))

    def close(self) -> None:
        for idle in self._links.values():
            for _, writer in idle:
                writer.close()
        for writer in self._resting:
            writer.close()
