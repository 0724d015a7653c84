"""A stand-in for discovery that the test drives by hand: each ask waits for what the test does with it."""

from __future__ import annotations

import asyncio
import contextlib
import json
from dataclasses import replace
from types import SimpleNamespace

from rig import settings

from millweir.control import bounds
from millweir.interface import MILLISECOND, Limits
from millweir.net.counters import Counters
from millweir.net.discovery import Watch

SETTINGS = settings(kinds=("small",), zones=("a",))
LIMITS = Limits(256, 1 << 20, 64 << 20)
SOON = 5.0  # seconds: a bound on what must come, printed when it does not


def row(name="h0", status="SERVING", port=9):
    return {
        "name": name,
        "address": f"127.0.0.1:{port}",
        "zone": "a",
        "type": "small",
        "group": 0,
        "status": status,
        "weight": 5.0,
        "since_ms": 0,
    }


def listed(index, *rows, whole=False, indent=None):
    return json.dumps({"index": index, "snapshot": whole, "endpoints": rows}, indent=indent).encode()


class Ask:
    """One request as it came, on its connection."""

    def __init__(self, link, head):
        self.link, self.head = link, head
        self.path = head.split()[1].decode()

    @property
    def waits(self):
        """For how many milliseconds it lets discovery wait; None for the whole list."""
        _, found, rest = self.path.partition("timeout_ms=")
        return int(rest) if found else None

    def say(self, raw):
        with contextlib.suppress(RuntimeError):  # closed by the relay already
            self.link.write(raw)

    def tell(self, body, status=200):
        self.say(b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%b" % (status, len(body), body))

    def end(self):
        self.link.close()

    async def ended(self, within=SOON):
        """Until the relay has closed its connection."""
        for _ in range(int(within / 0.01)):
            if self.link.is_closing():
                return
            await asyncio.sleep(0.01)
        raise AssertionError(f"the connection is still open after {within} s")


class Agent:
    """Listens; `asked` gives the next request of any connection."""

    def __init__(self):
        self.asks, self.links = asyncio.Queue(), []
        self.address, self._server = None, None

    async def open(self):
        self._server = await asyncio.start_server(self._talk, "127.0.0.1", 0)
        self.address = self._server.sockets[0].getsockname()
        return self

    async def _talk(self, source, link):
        self.links.append(link)
        try:
            while True:
                self.asks.put_nowait(Ask(link, await source.readuntil(b"\r\n\r\n")))
        except (asyncio.IncompleteReadError, OSError):
            link.close()

    async def asked(self, within=SOON):
        try:
            return await asyncio.wait_for(self.asks.get(), within)
        except TimeoutError:
            raise AssertionError(f"no ask within {within} s, {len(self.links)} connections so far") from None

    def close(self):
        self._server.close()
        for link in self.links:
            link.close()


class Watched:
    """A watch on agents, and all that it told."""

    def __init__(self, agent, watch=200, silence=300, proofs=(100, 100, 400), rests=(), **given):
        base = bounds(SETTINGS, LIMITS)
        self.bounds = replace(
            base,
            watch_wait_ns=watch * MILLISECOND,
            watch_timeout_ns=silence * MILLISECOND,
            probe_timeouts_ns=tuple(proof * MILLISECOND for proof in proofs),
            **given,
        )
        self.told, self.lines, self.rests = [], [], list(rests)
        self.failures = []
        self.counters = Counters()
        self.watch = Watch(
            asyncio.get_running_loop(),
            agent.address,
            SETTINGS,
            self.bounds,
            7,
            lambda change, news: self.told.append((change, news)),
            self.rest,
            SimpleNamespace(info=self.lines.append),
            self.counters,
        )

    def rest(self, failures):
        self.failures.append(failures)
        return self.rests.pop(0) * MILLISECOND

    @property
    def names(self):
        """What was told, as versions with hosts; the answers without news left out."""
        return [
            (news.index, [entry.host.decode() for entry in news.entries])
            for _, news in self.told
            if news.entries
        ]
