"""Frames over TCP on loopback, and what the scale test's register tells its processes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from millweir.configuration.messages import MAX_FRAME_BYTES, Change

LOOPBACK = "127.0.0.1"
LENGTH_BYTES = 4


class Join(msgspec.Struct, array_like=True, tag=1):
    """Distributor to register: who speaks on this connection."""

    distributor: str


class RegisterChange(msgspec.Struct, array_like=True, tag=2):
    """Register to distributor."""

    change: Change


class RegisterAt(msgspec.Struct, array_like=True, tag=3):
    """Register to distributor: a heartbeat."""

    version: int


class ReportFrame(msgspec.Struct, array_like=True, tag=4):
    """Distributor to the coordinator beside the register."""

    frame: bytes


class FullReport(msgspec.Struct, array_like=True, tag=5):
    """Coordinator to distributor."""


class AskWord(msgspec.Struct, array_like=True, tag=6):
    """Relay to register."""

    relay: str
    partition: int
    version: int


class Word(msgspec.Struct, array_like=True, tag=7):
    """Register to relay."""

    relay: str
    partition: int
    version: int
    digest: int | None


RegisterMessage = Join | RegisterChange | RegisterAt | ReportFrame | FullReport | AskWord | Word
encode_register = msgspec.msgpack.Encoder().encode
decode_register = msgspec.msgpack.Decoder(RegisterMessage).decode


class FrameLink(asyncio.Protocol):
    """One connection of length-prefixed frames; counts its bytes."""

    def __init__(
        self, received: Callable[[FrameLink, bytes], None], lost: Callable[[FrameLink], None]
    ) -> None:
        self.bytes_in = 0
        self.bytes_out = 0
        self.transport: asyncio.Transport | None = None
        self._received = received
        self._lost = lost
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
            self._received(self, bytes(self._buffer[start + LENGTH_BYTES : end]))
            start = end
        del self._buffer[:start]

    def connection_lost(self, fault: Exception | None) -> None:
        self._lost(self)

    def send(self, frame: bytes) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        self.bytes_out += LENGTH_BYTES + len(frame)
        self.transport.write(len(frame).to_bytes(LENGTH_BYTES) + frame)

    def close(self) -> None:
        if self.transport is not None:
            self.transport.close()


class Timer:
    """Calls back at the earliest time asked for; a later one is seen when it fires."""

    def __init__(self, call: Callable[[], None]) -> None:
        self._call = call
        self._handle: asyncio.TimerHandle | None = None
        self._at = 0.0

    def set(self, at: int) -> None:
        """At a time of `time.monotonic_ns`."""
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
        self._call()
