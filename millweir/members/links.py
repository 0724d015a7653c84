"""UDP and TCP transport of datagrams and full states; rates and sizes are limited before any decoding."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections import Counter
from collections.abc import Callable

import msgspec

from millweir.members.messages import (
    Datagram,
    FullState,
    ReceivedDatagram,
    decode_datagram,
    decode_full_state,
    encode,
)
from millweir.members.rules import Address
from millweir.members.seal import Authenticator, RejectedError

SECOND = 1_000_000_000
MAX_STREAMS = 16  # concurrent full state exchanges, in each direction
STREAM_TIMEOUT_SECONDS = 3.0  # for one full state exchange
MAX_RECORD_BYTES = 320  # of one encoded member record
MAX_LOGGED_REJECTIONS = 256  # pairs of reason and peer, each logged once


class TokenBucket:
    """Limits bytes per second, with a burst of at most one second's worth."""

    __slots__ = ("_updated_at", "_tokens", "_rate")

    def __init__(self, bytes_per_second: int) -> None:
        self._rate, self._tokens, self._updated_at = (
            bytes_per_second,
            float(bytes_per_second),
            time.monotonic(),
        )

    def take(self, size: int) -> bool:
        """Takes `size` bytes if that many are available now; else takes nothing and returns False."""
        now = time.monotonic()
        self._tokens = min(self._rate, self._tokens + (now - self._updated_at) * self._rate)
        self._updated_at = now
        if self._tokens < size:
            return False
        self._tokens -= size
        return True


class MemberTransport(asyncio.DatagramProtocol):
    """A UDP socket for datagrams and a TCP listener for full states, on the same address."""

    def __init__(
        self,
        authenticator: Authenticator,
        via: dict[Address, Address],
        max_members: int,
        bytes_per_second: int,
        receive_datagram: Callable[[ReceivedDatagram], None],
        receive_full_state: Callable[[FullState], None],
        build_full_state: Callable[[int], FullState],
        log_rejection: Callable[[str, str], None],
    ) -> None:
        self._authenticator, self._via = authenticator, via
        self._receive_datagram, self._receive_full_state, self._build_full_state, self._log_rejection = (
            receive_datagram,
            receive_full_state,
            build_full_state,
            log_rejection,
        )
        self._max_full_state_bytes = max_members * MAX_RECORD_BYTES + 65536
        self._send_limit, self._receive_limit = TokenBucket(bytes_per_second), TokenBucket(bytes_per_second)
        self._transport: asyncio.DatagramTransport | None = None
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._serving = 0
        self._logged_rejections: set[tuple[str, str]] = set()
        self.counts: Counter[str] = Counter()

    async def open(self, address: Address) -> None:
        """Binds both sockets; raises OSError if the address is in use."""
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
        """Sends a datagram; drops and counts it if the byte rate is exceeded or the address is unusable."""
        raw = self._authenticator.sign(version, encode(datagram))
        if not self._send_limit.take(len(raw)):
            self.counts["unsent"] += 1
            return
        self.counts["sent"] += 1
        self.counts["sent_bytes"] += len(raw)
        try:
            self._transport.sendto(raw, self._via.get(to, to))
        except (OSError, ValueError):  # no route, or an invalid address
            self.counts["unsendable"] += 1

    def datagram_received(self, data: bytes, addr: Address) -> None:
        self.counts["received"] += 1
        self.counts["received_bytes"] += len(data)
        if not self._receive_limit.take(len(data) + 64):
            self.counts["refused_flood"] += 1
            return
        try:
            _, run_id, body = self._authenticator.verify(data)
            datagram = self._decode(decode_datagram, run_id, body)
        except RejectedError as rejection:
            self._count_rejection(rejection.reason, addr)
            return
        self._receive_datagram(datagram)

    def error_received(self, exc: Exception) -> None:
        self.counts["socket_errors"] += 1

    def _decode(
        self, decoder: Callable[[bytes], ReceivedDatagram | FullState], run_id: int, body: bytes
    ) -> ReceivedDatagram | FullState:
        try:
            message = decoder(body)
        except (msgspec.DecodeError, UnicodeDecodeError, OverflowError, RecursionError) as error:
            raise RejectedError("garbled") from error
        if message.sender.run_id != run_id or not message.sender.is_valid():
            raise RejectedError("garbled")
        return message

    def _count_rejection(self, reason: str, addr: Address) -> None:
        """Counts a rejected message and logs it once per reason and peer, except for replays."""
        self.counts[f"refused_{reason}"] += 1
        key = reason, addr[0]
        if (
            key not in self._logged_rejections
            and len(self._logged_rejections) < MAX_LOGGED_REJECTIONS
            and reason != "replay"
        ):
            self._logged_rejections.add(key)
            self._log_rejection(reason, addr[0])

    # Full states.

    def request_full_state(self, to: Address) -> None:
        """Starts an exchange of full states in the background; ignored while too many are running."""
        if len(self._tasks) < MAX_STREAMS:
            task = asyncio.get_running_loop().create_task(self._fetch_full_state(self._via.get(to, to)))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _fetch_full_state(self, to: Address) -> None:
        writer = None
        try:
            async with asyncio.timeout(STREAM_TIMEOUT_SECONDS):
                reader, writer = await asyncio.open_connection(*to)
                await self._write_full_state(writer, 1)
                self._receive_full_state(await self._read_full_state(reader))
            self.counts["wholes_asked"] += 1
        except (OSError, TimeoutError, EOFError, RejectedError) as error:
            self.counts["wholes_failed"] += 1
            if isinstance(error, RejectedError):
                self._count_rejection(error.reason, to)
        finally:
            if writer:
                writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answers a full state with this member's own."""
        peer = writer.get_extra_info("peername") or ("", 0)
        try:
            if self._serving >= MAX_STREAMS:
                self.counts["refused_streams"] += 1
                return
            self._serving += 1
            try:
                async with asyncio.timeout(STREAM_TIMEOUT_SECONDS):
                    full_state = await self._read_full_state(reader)
                    await self._write_full_state(writer, full_state.sender.max_version)
                self._receive_full_state(full_state)
                self.counts["wholes_answered"] += 1
            finally:
                self._serving -= 1
        except (OSError, TimeoutError, EOFError):
            self.counts["wholes_failed"] += 1
        except RejectedError as rejection:
            self._count_rejection(rejection.reason, peer)
        finally:
            with contextlib.suppress(RuntimeError):
                writer.close()

    async def _write_full_state(self, writer: asyncio.StreamWriter, max_version: int) -> None:
        writer.write(self._encode_full_state(max_version))
        await writer.drain()

    async def _read_full_state(self, reader: asyncio.StreamReader) -> FullState:
        size = int.from_bytes(await reader.readexactly(4))
        if size > self._max_full_state_bytes:
            raise RejectedError("garbled")
        return self._decode_full_state(await reader.readexactly(size))

    def _encode_full_state(self, max_version: int) -> bytes:
        """Returns this member's full state as it is sent on a stream: signed, and preceded by its length."""
        raw = self._authenticator.sign(1, encode(self._build_full_state(max_version)))
        self.counts["whole_bytes_sent"] += 4 + len(raw)
        return len(raw).to_bytes(4) + raw

    def _decode_full_state(self, raw: bytes) -> FullState:
        """Decodes another member's full state; raises RejectedError if this member must not accept it."""
        self.counts["whole_bytes_received"] += 4 + len(raw)
        _, run_id, body = self._authenticator.verify(raw)
        return self._decode(decode_full_state, run_id, body)
