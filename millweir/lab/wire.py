"""A fault proxy for one directed pair of relays: datagrams and connections, on a port of its own.

What goes from start to end passes here; what comes back on a connection goes by the other pair's faults.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections import Counter
from dataclasses import dataclass

Address = tuple[str, int]
QUEUE_MOST = 10_000  # datagrams under way


@dataclass(slots=True)
class Faults:
    """How this direction is now; times in seconds, shares from 0 to 1."""

    loss: float = 0.0
    delay: float = 0.0
    jitter: float = 0.0  # up to so much more, which reorders
    duplicate: float = 0.0
    cut: bool = False
    bytes_second: float = 0.0  # 0: no bound


class Wire(asyncio.DatagramProtocol):
    """One directed pair."""

    def __init__(self, start: str, end: str, to: Address, chance: random.Random) -> None:
        self.start, self.end, self._to, self._chance = start, end, to, chance
        self.faults = Faults()
        self.back: Wire | None = None  # the other direction, for what comes back on connections
        self.counts: Counter[str] = Counter()
        self.taps: list[bytes] | None = None  # where datagrams are recorded, for replays
        self._free_at = 0.0
        self._under_way = 0
        self._links: set[asyncio.StreamWriter] = set()
        self._transport: asyncio.DatagramTransport | None = None
        self._server: asyncio.Server | None = None

    async def open(self, address: Address) -> None:
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=address)
        self._server = await asyncio.start_server(self._serve, *address)

    def close(self) -> None:
        self._transport.close()
        self._server.close()
        self.sever()

    def sever(self) -> None:
        for writer in list(self._links):
            writer.transport.abort()

    # Datagrams.

    def datagram_received(self, data: bytes, addr: Address) -> None:
        self.counts["datagrams"] += 1
        if self.taps is not None and len(self.taps) < 1000:
            self.taps.append(data)
        faults = self.faults
        if faults.cut or faults.loss and self._chance.random() < faults.loss or self._under_way > QUEUE_MOST:
            self.counts["dropped"] += 1
            return
        self.forward(data)
        if faults.duplicate and self._chance.random() < faults.duplicate:
            self.counts["doubled"] += 1
            self.forward(data)

    def forward(self, data: bytes) -> None:
        wait = self._wait(len(data))
        if wait <= 0:
            self._pass(data)
        else:
            self._under_way += 1
            asyncio.get_running_loop().call_later(wait, self._arrived, data)

    def _arrived(self, data: bytes) -> None:
        self._under_way -= 1
        self._pass(data)

    def _pass(self, data: bytes) -> None:
        if self._transport and not self._transport.is_closing() and not self.faults.cut:
            self._transport.sendto(data, self._to)

    def _wait(self, size: int) -> float:
        faults = self.faults
        wait = faults.delay + (self._chance.random() * faults.jitter if faults.jitter else 0.0)
        if faults.bytes_second:
            now = asyncio.get_running_loop().time()
            self._free_at = max(self._free_at, now) + size / faults.bytes_second
            wait += self._free_at - now
        return wait

    # Connections.

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.counts["connections"] += 1
        self._links.add(writer)
        there = None
        try:
            while self.faults.cut or self.back and self.back.faults.cut:
                await asyncio.sleep(0.05)  # silence: it never comes up until the way is open
                if writer.is_closing():
                    return
            back, there = await asyncio.open_connection(*self._to)
            await asyncio.gather(self._pump(reader, there), (self.back or self)._pump(back, writer))
        except (OSError, asyncio.CancelledError):
            self.counts["connections_failed"] += 1
        finally:
            self._links.discard(writer)
            for link in (writer, there):
                if link:
                    link.close()

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                while self.faults.cut:
                    await asyncio.sleep(0.05)
                await asyncio.sleep(self._wait(len(data)))
                writer.write(data)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
