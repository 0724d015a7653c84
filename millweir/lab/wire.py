"""A fault proxy for the datagrams and connections of one directed pair of relays, on its own port.

It carries the traffic from start to end; replies on a connection are subject to the reverse pair's faults.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections import Counter
from dataclasses import dataclass

Address = tuple[str, int]
MAX_DELAYED_DATAGRAMS = 10_000


@dataclass(slots=True)
class Faults:
    """The current faults of this direction; times in seconds, probabilities from 0 to 1."""

    loss: float = 0.0
    delay: float = 0.0
    jitter: float = 0.0  # maximum additional delay, which reorders datagrams
    duplicate: float = 0.0
    cut: bool = False
    bytes_second: float = 0.0  # 0: unlimited


class Wire(asyncio.DatagramProtocol):
    """The proxy of one directed pair."""

    def __init__(self, start: str, end: str, to: Address, rng: random.Random) -> None:
        self.start, self.end, self._to, self._rng = start, end, to, rng
        self.faults = Faults()
        self.reverse: Wire | None = None  # the other direction, for replies on connections
        self.counts: Counter[str] = Counter()
        self.recorded: list[bytes] | None = None  # recorded datagrams, to be replayed; None: off
        self._free_at = 0.0
        self._delayed = 0
        self._writers: set[asyncio.StreamWriter] = set()
        self._transport: asyncio.DatagramTransport | None = None
        self._server: asyncio.Server | None = None

    async def open(self, address: Address) -> None:
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=address)
        self._server = await asyncio.start_server(self._serve, *address)

    def close(self) -> None:
        self._transport.close()
        self._server.close()
        self.abort_connections()

    def abort_connections(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()

    # Datagrams.

    def datagram_received(self, data: bytes, addr: Address) -> None:
        self.counts["datagrams"] += 1
        if self.recorded is not None and len(self.recorded) < 1000:
            self.recorded.append(data)
        faults = self.faults
        if (
            faults.cut
            or faults.loss
            and self._rng.random() < faults.loss
            or self._delayed > MAX_DELAYED_DATAGRAMS
        ):
            self.counts["dropped"] += 1
            return
        self.forward(data)
        if faults.duplicate and self._rng.random() < faults.duplicate:
            self.counts["doubled"] += 1
            self.forward(data)

    def forward(self, data: bytes) -> None:
        wait = self._compute_delay(len(data))
        if wait <= 0:
            self._send(data)
        else:
            self._delayed += 1
            asyncio.get_running_loop().call_later(wait, self._send_delayed, data)

    def _send_delayed(self, data: bytes) -> None:
        self._delayed -= 1
        self._send(data)

    def _send(self, data: bytes) -> None:
        if self._transport and not self._transport.is_closing() and not self.faults.cut:
            self._transport.sendto(data, self._to)

    def _compute_delay(self, size: int) -> float:
        faults = self.faults
        wait = faults.delay + (self._rng.random() * faults.jitter if faults.jitter else 0.0)
        if faults.bytes_second:
            now = asyncio.get_running_loop().time()
            self._free_at = max(self._free_at, now) + size / faults.bytes_second
            wait += self._free_at - now
        return wait

    # Connections.

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.counts["connections"] += 1
        self._writers.add(writer)
        upstream = None
        try:
            while self.faults.cut or self.reverse and self.reverse.faults.cut:
                await asyncio.sleep(0.05)  # the connection is not accepted upstream until the cut ends
                if writer.is_closing():
                    return
            back, upstream = await asyncio.open_connection(*self._to)
            await asyncio.gather(self._pump(reader, upstream), (self.reverse or self)._pump(back, writer))
        except (OSError, asyncio.CancelledError):
            self.counts["connections_failed"] += 1
        finally:
            self._writers.discard(writer)
            for writer_to_close in (writer, upstream):
                if writer_to_close:
                    writer_to_close.close()

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                while self.faults.cut:
                    await asyncio.sleep(0.05)
                await asyncio.sleep(self._compute_delay(len(data)))
                writer.write(data)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
