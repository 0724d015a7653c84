"""Datagrams and whole states on sockets; everything that comes is bounded before it is looked at."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections import Counter
from collections.abc import Callable

import msgspec

from millweir.members.messages import Datagram, Told, Whole, encode, read_datagram, read_whole
from millweir.members.rules import Address
from millweir.members.seal import Refused, Seal

SECOND = 1_000_000_000
STREAMS_MOST = 16  # whole states under way at once, each way
STREAM_TIME = 3.0  # seconds for one
WHOLE_EACH = 320  # bytes of a claim at the most
REFUSED_MOST = 256  # peers whose refusal was said once


class Bucket:
    """So many bytes a second, and at most a second's worth at once."""

    __slots__ = ("_at", "_left", "_rate")

    def __init__(self, rate: int) -> None:
        self._rate, self._left, self._at = rate, float(rate), time.monotonic()

    def take(self, size: int) -> bool:
        now = time.monotonic()
        self._left = min(self._rate, self._left + (now - self._at) * self._rate)
        self._at = now
        if self._left < size:
            return False
        self._left -= size
        return True


class Links(asyncio.DatagramProtocol):
    """One UDP socket and one listener on the same address."""

    def __init__(
        self,
        seal: Seal,
        via: dict[Address, Address],
        members_most: int,
        bytes_most: int,
        heard: Callable[[Told], None],
        whole_told: Callable[[Whole], None],
        whole: Callable[[int], Whole],
        refused: Callable[[str, str], None],
    ) -> None:
        self._seal, self._via = seal, via
        self._heard, self._whole_told, self._whole, self._refused = heard, whole_told, whole, refused
        self._most = members_most * WHOLE_EACH + 65536
        self._out, self._in = Bucket(bytes_most), Bucket(bytes_most)
        self._transport: asyncio.DatagramTransport | None = None
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._serving = 0
        self._said: set[tuple[str, str]] = set()
        self.counts: Counter[str] = Counter()

    async def open(self, address: Address) -> None:
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=address)
        self._server = await asyncio.start_server(self._serve, *address, backlog=64)

    def close(self) -> None:
        if self._transport:
            self._transport.close()
        if self._server:
            self._server.close()
        for task in self._tasks:
            task.cancel()

    # Datagrams.

    def send(self, to: Address, version: int, datagram: Datagram) -> None:
        raw = self._seal.sign(version, encode(datagram))
        if not self._out.take(len(raw)):
            self.counts["unsent"] += 1
            return
        self.counts["sent"] += 1
        self.counts["sent_bytes"] += len(raw)
        try:
            self._transport.sendto(raw, self._via.get(to, to))
        except (OSError, ValueError):  # no route, or an address that is none
            self.counts["unsendable"] += 1

    def datagram_received(self, data: bytes, addr: Address) -> None:
        self.counts["received"] += 1
        self.counts["received_bytes"] += len(data)
        if not self._in.take(len(data) + 64):
            self.counts["refused_flood"] += 1
            return
        try:
            _, birth, body = self._seal.open(data)
            told = self._read(read_datagram, birth, body)
        except Refused as refused:
            self._no(refused.reason, addr)
            return
        self._heard(told)

    def error_received(self, exc: Exception) -> None:
        self.counts["socket_errors"] += 1

    def _read(self, read: Callable[[bytes], Told | Whole], birth: int, body: bytes) -> Told | Whole:
        try:
            told = read(body)
        except (msgspec.DecodeError, UnicodeDecodeError, OverflowError, RecursionError) as fault:
            raise Refused("garbled") from fault
        if told.me.birth != birth or not told.me.usable():
            raise Refused("garbled")
        return told

    def _no(self, reason: str, addr: Address) -> None:
        """A count, and one line a peer and reason."""
        self.counts[f"refused_{reason}"] += 1
        key = reason, addr[0]
        if key not in self._said and len(self._said) < REFUSED_MOST and reason != "replay":
            self._said.add(key)
            self._refused(reason, addr[0])

    # Whole states.

    def ask_whole(self, to: Address) -> None:
        if len(self._tasks) < STREAMS_MOST:
            task = asyncio.get_running_loop().create_task(self._ask(self._via.get(to, to)))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _ask(self, to: Address) -> None:
        writer = None
        try:
            async with asyncio.timeout(STREAM_TIME):
                reader, writer = await asyncio.open_connection(*to)
                await self._write(writer, 1)
                self._whole_told(await self._take(reader))
            self.counts["wholes_asked"] += 1
        except (OSError, TimeoutError, EOFError, Refused) as fault:
            self.counts["wholes_failed"] += 1
            if isinstance(fault, Refused):
                self._no(fault.reason, to)
        finally:
            if writer:
                writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        peer = writer.get_extra_info("peername") or ("", 0)
        try:
            if self._serving >= STREAMS_MOST:
                self.counts["refused_streams"] += 1
                return
            self._serving += 1
            try:
                async with asyncio.timeout(STREAM_TIME):
                    whole = await self._take(reader)
                    await self._write(writer, whole.me.high)
                self._whole_told(whole)
                self.counts["wholes_answered"] += 1
            finally:
                self._serving -= 1
        except (OSError, TimeoutError, EOFError):
            self.counts["wholes_failed"] += 1
        except Refused as refused:
            self._no(refused.reason, peer)
        finally:
            with contextlib.suppress(RuntimeError):
                writer.close()

    async def _write(self, writer: asyncio.StreamWriter, high: int) -> None:
        writer.write(self._encode_whole(high))
        await writer.drain()

    async def _take(self, reader: asyncio.StreamReader) -> Whole:
        size = int.from_bytes(await reader.readexactly(4))
        if size > self._most:
            raise Refused("garbled")
        return self._decode_whole(await reader.readexactly(size))

    def _encode_whole(self, high: int) -> bytes:
        """This member's full state as it goes onto a stream: sealed, its length in front."""
        raw = self._seal.sign(1, encode(self._whole(high)))
        self.counts["whole_bytes_sent"] += 4 + len(raw)
        return len(raw).to_bytes(4) + raw

    def _decode_whole(self, raw: bytes) -> Whole:
        """Another member's full state; Refused where it is not for us."""
        self.counts["whole_bytes_received"] += 4 + len(raw)
        _, birth, body = self._seal.open(raw)
        return self._read(read_whole, birth, body)
