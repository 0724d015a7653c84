"""The second address: one line a connection, one answer line beginning SUCCESS or FAILURE, then the close.

Calls: `health`, `counters` (the figures as one JSON line, no SUCCESS before it, then `EOT`), `cordon ID`,
`uncordon ID`, `quiesce`, `resume`.  Each connection holds one bounded buffer and one timer; a caller that
sends nothing, or half a line, is answered FAILURE and closed when the wait runs out, and no more
connections than the bound are open at once, so that no caller can make another wait
(docs/design/control.md).
"""

from __future__ import annotations

import asyncio
import json
from typing import Any, Protocol

LINE_MOST = 512  # bytes of one call: an id of a host is far shorter
WAIT = 0.9  # seconds for the whole line: its answer is due within one
LINKS_MOST = 32  # open at once; one more is answered at once and closed
ARGUMENTS = {"health": 0, "counters": 0, "quiesce": 0, "resume": 0, "cordon": 1, "uncordon": 1}  # each call's


class Desk(Protocol):
    """What the control calls ask of the relay."""

    def healthy(self) -> bool: ...
    def figures(self) -> dict[str, Any]: ...
    def cordon(self, host: bytes, out: bool) -> str: ...
    def quiesce(self) -> None: ...
    def resume(self) -> None: ...


class ControlListener:
    """The connections of the second address and what their calls do at the desk."""

    __slots__ = ("_desk", "_loop", "links")

    def __init__(self, loop: asyncio.AbstractEventLoop, desk: Desk) -> None:
        self._loop, self._desk = loop, desk
        self.links = 0

    def link(self) -> ControlLink:
        return ControlLink(self)

    def call(self, line: bytes) -> bytes:
        """The answer to one line, with its newline; never raises for what a caller sends."""
        try:
            words = line.decode("ascii").strip().split()
        except UnicodeDecodeError:
            return b"FAILURE the call is not ASCII text\n"
        if not words or any(not word.isprintable() for word in words):
            return b"FAILURE no call\n"
        name, args = words[0], words[1:]
        if name not in ARGUMENTS:
            return f"FAILURE unknown call {name[:40]!r}\n".encode()
        if len(args) != ARGUMENTS[name]:
            return f"FAILURE {name} takes {ARGUMENTS[name]} argument(s), not {len(args)}\n".encode()
        desk = self._desk
        if name == "health":
            return b"SUCCESS ready\n" if desk.healthy() else b"FAILURE not ready\n"
        if name == "counters":
            figures = json.dumps(desk.figures(), separators=(",", ":")).encode()
            return figures + b"\nEOT\n"
        if name == "quiesce":
            desk.quiesce()
            return b"SUCCESS quiescing\n"
        if name == "resume":
            desk.resume()
            return b"SUCCESS resumed\n"
        fault = desk.cordon(args[0].encode(), name == "cordon")
        return f"FAILURE {fault}\n".encode() if fault else f"SUCCESS {name}ed {args[0]}\n".encode()


class ControlLink(asyncio.Protocol):
    """One caller: its line, at most LINE_MOST bytes, within WAIT seconds."""

    __slots__ = ("_buffer", "_listener", "_done", "_timer", "_transport")

    def __init__(self, listener: ControlListener) -> None:
        self._listener = listener
        self._buffer = b""
        self._done = False
        self._timer: asyncio.TimerHandle | None = None
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport  # type: ignore[assignment]
        self._listener.links += 1
        if self._listener.links > LINKS_MOST:
            self._finish(b"FAILURE busy: too many control connections\n")
            return
        self._timer = self._listener._loop.call_later(WAIT, self._late)

    def data_received(self, data: bytes) -> None:
        if self._done:
            return
        self._buffer += data
        line, newline, _ = self._buffer.partition(b"\n")
        if newline:
            self._answer(line)
        elif len(self._buffer) > LINE_MOST:
            self._finish(b"FAILURE the line is longer than %d bytes\n" % LINE_MOST)

    def eof_received(self) -> bool:
        if not self._done:  # a last line without its newline is still a call
            self._answer(self._buffer) if self._buffer else self._finish(b"FAILURE no call\n")
        return False

    def _answer(self, line: bytes) -> None:
        if len(line) > LINE_MOST:
            self._finish(b"FAILURE the line is longer than %d bytes\n" % LINE_MOST)
        else:
            answer = self._listener.call(line.rstrip(b"\r"))
            self._finish(answer)

    def _late(self) -> None:
        self._timer = None
        self._finish(b"FAILURE no whole line in time\n")

    def _finish(self, answer: bytes) -> None:
        if self._done:
            return
        answer = answer.replace(b"\n", b"\r\n")  # lines end as the protocol's text lines do
        self._done = True
        if self._timer:
            self._timer.cancel()
            self._timer = None
        self._transport.write(answer)
        self._transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self._listener.links -= 1
        self._done = True
        if self._timer:
            self._timer.cancel()
            self._timer = None
