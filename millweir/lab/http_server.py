"""HTTP/1.1 over asyncio streams for the stand-ins: reading a message, and a server that answers in order."""

from __future__ import annotations

import asyncio
import contextlib
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Protocol

Address = tuple[str, int]
MAX_EARLIER_ANSWERS = 8  # of a connection, from which a copy of an older one is drawn


async def read_http(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    """Read the first line, headers and body of one HTTP message; None at the end of the connection."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        rows = [line.partition(": ") for line in head[1:] if line]
        fields = {name.lower(): value for name, _, value in rows}
        return head[0], fields, await reader.readexactly(int(fields.get("content-length", 0)))
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError, ValueError):
        return None


def build_response(status: int, body: bytes = b"", **fields: object) -> bytes:
    """Encode a response; underscores in the names of fields stand for hyphens."""
    extra = "".join(f"{name.replace('_', '-')}: {value}\r\n" for name, value in fields.items())
    return f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{extra}\r\n".encode() + body


@dataclass(frozen=True, slots=True)
class TruncatedResponse:
    """A truncated response: the part that is written before the connection falls silent."""

    raw: bytes
    on_closed: Callable[[], None]  # called when the peer has closed the connection


class Work(Awaitable["bytes | TruncatedResponse | None"], Protocol):
    """What a request asks for; it is awaited, or closed if its connection ends before its turn."""

    def close(self) -> None:
        """Give it up; a coroutine has this method."""


@dataclass(frozen=True, slots=True)
class Close:
    """A connection that the server ends by itself: how many seconds after an answer, and how."""

    delay: float
    reset: bool


class ConnectionHandler(Protocol):
    """What a stand-in does on one connection."""

    def receive(self, line: str, fields: dict[str, str], body: bytes) -> Work:
        """Take a request as it arrives; the result handles it."""

    def draw_copies(self, line: str, answers: list[bytes]) -> list[tuple[float, bytes]]:
        """Return what follows, unasked, the last of these answers to a request line, with its delays."""

    def draw_close(self) -> Close | None:
        """Return when the connection is ended after an answer, whatever it carries then; None: never."""

    def end(self) -> None:
        """Take note that the connection has ended."""


class ServedConnection:
    """One connection.  Requests are handed over as they arrive, and answered one after the other."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        handler: ConnectionHandler,
    ) -> None:
        self._reader, self._writer = reader, writer
        self._handler = handler
        self._requests: asyncio.Queue[tuple[str, Work]] = asyncio.Queue()
        self._answers: deque[bytes] = deque(maxlen=MAX_EARLIER_ANSWERS)

    async def run(self) -> None:
        """Serve until the connection ends; work in progress is cancelled then."""
        answering = asyncio.ensure_future(self._answer_requests())
        reading = asyncio.ensure_future(self._read_requests())
        try:
            await asyncio.wait({answering, reading}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in (answering, reading):
                task.cancel()
                with contextlib.suppress(asyncio.CancelledError, OSError):
                    await task
            while not self._requests.empty():
                self._requests.get_nowait()[1].close()
            self._handler.end()

    async def _read_requests(self) -> None:
        while (message := await read_http(self._reader)) is not None:
            self._requests.put_nowait((message[0], self._handler.receive(*message)))

    async def _answer_requests(self) -> None:
        while True:
            line, work = await self._requests.get()
            raw = await work
            if raw is None:
                return
            if isinstance(raw, TruncatedResponse):
                self._writer.write(raw.raw)
                try:
                    await asyncio.Event().wait()  # until the peer closes the connection
                finally:
                    raw.on_closed()
            self._writer.write(raw)
            self._answers.append(raw)
            loop = asyncio.get_running_loop()
            for delay, copy in self._handler.draw_copies(line, list(self._answers)):
                loop.call_later(delay, self._write_copy, copy)
            if close := self._handler.draw_close():
                end = self._writer.transport.abort if close.reset else self._writer.close
                loop.call_later(close.delay, end)
            await self._writer.drain()

    def _write_copy(self, copy: bytes) -> None:
        if not self._writer.is_closing():
            self._writer.write(copy)


async def serve(
    address: Address,
    open_handler: Callable[[], ConnectionHandler],
    open_writers: set[asyncio.StreamWriter] | None = None,
) -> asyncio.Server:
    """Serve each connection with a handler of its own; `open_writers` holds the writers of the open ones."""
    writers = open_writers if open_writers is not None else set()

    async def serve_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writers.add(writer)
        try:
            await ServedConnection(reader, writer, open_handler()).run()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writers.discard(writer)
            writer.close()

    return await asyncio.start_server(serve_connection, *address, backlog=256)
