"""A discovery agent that the test controls: each request waits until the test answers it."""

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
from millweir.net.discovery import DiscoveryWatch

SETTINGS = settings(kinds=("small",), zones=("a",))
LIMITS = Limits(256, 1 << 20, 64 << 20)
SOON = 5.0  # seconds to wait for an expected event


def make_row(name="h0", status="SERVING", port=9):
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


def encode_list(index, *rows, full=False, indent=None):
    return json.dumps({"index": index, "snapshot": full, "endpoints": rows}, indent=indent).encode()


class DiscoveryRequest:
    """One request, with its connection."""

    def __init__(self, connection, head):
        self.connection, self.head = connection, head
        self.path = head.split()[1].decode()

    @property
    def wait_ms(self):
        """For how many milliseconds it lets discovery wait; None for a request of the full list."""
        _, found, rest = self.path.partition("timeout_ms=")
        return int(rest) if found else None

    def write(self, raw):
        with contextlib.suppress(RuntimeError):  # closed by the relay already
            self.connection.write(raw)

    def answer(self, body, status=200):
        self.write(b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%b" % (status, len(body), body))

    def end(self):
        self.connection.close()

    async def wait_closed(self, within=SOON):
        """Wait until the relay has closed the connection."""
        for _ in range(int(within / 0.01)):
            if self.connection.is_closing():
                return
            await asyncio.sleep(0.01)
        raise AssertionError(f"the connection is still open after {within} s")


class Agent:
    """Listens; `next_request` returns the next request of any connection."""

    def __init__(self):
        self.requests, self.connections = asyncio.Queue(), []
        self.address, self._server = None, None

    async def open(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = self._server.sockets[0].getsockname()
        return self

    async def _serve(self, source, connection):
        self.connections.append(connection)
        try:
            while True:
                self.requests.put_nowait(DiscoveryRequest(connection, await source.readuntil(b"\r\n\r\n")))
        except (asyncio.IncompleteReadError, OSError):
            connection.close()

    async def next_request(self, within=SOON):
        try:
            return await asyncio.wait_for(self.requests.get(), within)
        except TimeoutError:
            raise AssertionError(
                f"no request within {within} s, {len(self.connections)} connections so far"
            ) from None

    def close(self):
        self._server.close()
        for connection in self.connections:
            connection.close()


class Watched:
    """A DiscoveryWatch on agents, and all updates that it delivered."""

    def __init__(self, agent, watch=200, silence=300, proofs=(100, 100, 400), back_offs_ms=(), **given):
        base = bounds(SETTINGS, LIMITS)
        self.bounds = replace(
            base,
            watch_wait_ns=watch * MILLISECOND,
            watch_timeout_ns=silence * MILLISECOND,
            probe_timeouts_ns=tuple(proof * MILLISECOND for proof in proofs),
            **given,
        )
        self.updates, self.lines, self.back_offs_ms = [], [], list(back_offs_ms)
        self.failures = []
        self.counters = Counters()
        self.watch = DiscoveryWatch(
            asyncio.get_running_loop(),
            agent.address,
            SETTINGS,
            self.bounds,
            7,
            lambda change, update: self.updates.append((change, update)),
            self.draw_back_off,
            SimpleNamespace(info=self.lines.append),
            self.counters,
        )

    def draw_back_off(self, failures):
        self.failures.append(failures)
        return self.back_offs_ms.pop(0) * MILLISECOND

    @property
    def names(self):
        """The updates, as versions with host names; answers without any change are left out."""
        return [
            (update.version, [entry.host.decode() for entry in update.entries])
            for _, update in self.updates
            if update.entries
        ]
