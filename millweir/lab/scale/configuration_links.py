"""Frame connections over loopback TCP and the messages between the scale test's store and its processes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from millweir.configuration.messages import MAX_FRAME_BYTES, Change

LOOPBACK = "127.0.0.1"
LENGTH_BYTES = 4


class Join(msgspec.Struct, array_like=True, tag=1):
    """Distributor to store: identifies the sender on this connection."""

    distributor: str


class StoreChange(msgspec.Struct, array_like=True, tag=2):
    """Store to distributor: a committed change."""

    change: Change


class StoreHeartbeat(msgspec.Struct, array_like=True, tag=3):
    """Store to distributor: a heartbeat."""

    version: int


class ReportFrame(msgspec.Struct, array_like=True, tag=4):
    """Distributor to the coordinator, which runs in the store's process."""

    frame: bytes


class FullReport(msgspec.Struct, array_like=True, tag=5):
    """Coordinator to distributor: requests a full report."""


class DigestRequest(msgspec.Struct, array_like=True, tag=6):
    """Relay to store: requests the digest of a partition."""

    relay: str
    partition: int
    version: int


class DigestResponse(msgspec.Struct, array_like=True, tag=7):
    """Store to relay: the digest of a partition, if known."""

    relay: str
    partition: int
    version: int
    digest: int | None


StoreMessage = Join | StoreChange | StoreHeartbeat | ReportFrame | FullReport | DigestRequest | DigestResponse
encode_store_message = msgspec.msgpack.Encoder().encode
decode_store_message = msgspec.msgpack.Decoder(StoreMessage).decode


class FrameConnection(asyncio.Protocol):
    """One connection with length-prefixed frames; counts its bytes."""

    def __init__(
        self, on_frame: Callable[[FrameConnection, bytes], None], on_close: Callable[[FrameConnection], None]
    ) -> None:
        self.bytes_in = 0
        self.bytes_out = 0
        self.transport: asyncio.Transport | None = None
        self._on_frame = on_frame
        self._on_close = on_close
        self._buffer = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.bytes_in += len(data)
        self._buffer += data
        start = 0
        while len(self._buffer) - start >= LENGTH_BYTES:
            length = int.from_bytes(self._buffer[start : start + LENGTH_BYTES])
            if length > MAX_FRAME_BYTES:
                self.transport.abort()
                return
            end = start + LENGTH_BYTES + length
            if end > len(self._buffer):
                break
            self._on_frame(self, bytes(self._buffer[start + LENGTH_BYTES : end]))
            start = end
        del self._buffer[:start]

    def connection_lost(self, error: Exception | None) -> None:
        self._on_close(self)

    def send(self, frame: bytes) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        self.bytes_out += LENGTH_BYTES + len(frame)
        self.transport.write(len(frame).to_bytes(LENGTH_BYTES) + frame)

    def close(self) -> None:
        if self.transport is not None:
            self.transport.close()


class Timer:
    """Calls back at the earliest time that was set; a later time is ignored until the timer fires."""

    def __init__(self, callback: Callable[[], None]) -> None:
        self._callback = callback
        self._handle: asyncio.TimerHandle | None = None
        self._at = 0.0

    def set(self, at: int) -> None:
        """Sets the timer to a time of `time.monotonic_ns`."""
        seconds = at / 1e9
        if self._handle is not None and self._at <= seconds:
            return
        self.cancel()
        self._at = seconds
        loop = asyncio.get_running_loop()
        self._handle = loop.call_later(max(0.001, seconds - loop.time()), self._fire)

    def cancel(self) -> None:
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _fire(self) -> None:
        self._handle = None
        self._callback()
