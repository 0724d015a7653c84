"""The control address: one command line a connection, one answer with SUCCESS or FAILURE, then the close.

Commands: `health`, `counters` (the counters as one JSON line, without SUCCESS before it, then `EOT`),
`cordon ID`, `uncordon ID`, `quiesce`, `resume`.  Each connection holds one bounded buffer and one timer.
A caller that sends nothing, or half a line, is answered FAILURE and closed when the timeout ends, and the
number of open connections is bounded, so that no caller can make another wait (docs/design/control.md).
"""

from __future__ import annotations

import asyncio
import json
from typing import Any, Protocol

MAX_LINE_BYTES = 512  # of one command: a host's id is far shorter
LINE_TIMEOUT_SECONDS = 0.9  # for the whole line: its answer is due within one second
MAX_CONTROL_CONNECTIONS = 32  # open at once; one more is answered at once and closed
ARGUMENT_COUNTS = {"health": 0, "counters": 0, "quiesce": 0, "resume": 0, "cordon": 1, "uncordon": 1}


class ControlledRelay(Protocol):
    """What the control commands need of the relay."""

    def is_ready(self) -> bool: ...
    def collect_counters(self) -> dict[str, Any]: ...
    def set_cordon(self, host: bytes, cordoned: bool) -> str: ...
    def quiesce(self) -> None: ...
    def resume(self) -> None: ...


class ControlListener:
    """The connections of the control address, and the execution of their commands."""

    __slots__ = ("_loop", "_relay", "open_connections")

    def __init__(self, loop: asyncio.AbstractEventLoop, relay: ControlledRelay) -> None:
        self._loop, self._relay = loop, relay
        self.open_connections = 0

    def create_connection(self) -> ControlConnection:
        return ControlConnection(self)

    def execute_command(self, line: bytes) -> bytes:
        """Execute one command line and return the answer line; never raises for a caller's input."""
        try:
            words = line.decode("ascii").strip().split()
        except UnicodeDecodeError:
            return b"FAILURE the call is not ASCII text\n"
        if not words or any(not word.isprintable() for word in words):
            return b"FAILURE no call\n"
        name, args = words[0], words[1:]
        if name not in ARGUMENT_COUNTS:
            return f"FAILURE unknown call {name[:40]!r}\n".encode()
        if len(args) != ARGUMENT_COUNTS[name]:
            return f"FAILURE {name} takes {ARGUMENT_COUNTS[name]} argument(s), not {len(args)}\n".encode()
        relay = self._relay
        if name == "health":
            return b"SUCCESS ready\n" if relay.is_ready() else b"FAILURE not ready\n"
        if name == "counters":
            counters = json.dumps(relay.collect_counters(), separators=(",", ":")).encode()
            return counters + b"\nEOT\n"
        if name == "quiesce":
            relay.quiesce()
            return b"SUCCESS quiescing\n"
        if name == "resume":
            relay.resume()
            return b"SUCCESS resumed\n"
        error = relay.set_cordon(args[0].encode(), name == "cordon")
        return f"FAILURE {error}\n".encode() if error else f"SUCCESS {name}ed {args[0]}\n".encode()


class ControlConnection(asyncio.Protocol):
    """One caller: reads its command line, which is bounded in length and time."""

    __slots__ = ("_buffer", "_finished", "_listener", "_timer", "_transport")

    def __init__(self, listener: ControlListener) -> None:
        self._listener = listener
        self._buffer = b""
        self._finished = False
        self._timer: asyncio.TimerHandle | None = None
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport  # type: ignore[assignment]
        self._listener.open_connections += 1
        if self._listener.open_connections > MAX_CONTROL_CONNECTIONS:
            self._finish(b"FAILURE busy: too many control connections\n")
            return
        self._timer = self._listener._loop.call_later(LINE_TIMEOUT_SECONDS, self._time_out)

    def data_received(self, data: bytes) -> None:
        if self._finished:
            return
        self._buffer += data
        line, newline, _ = self._buffer.partition(b"\n")
        if newline:
            self._answer_line(line)
        elif len(self._buffer) > MAX_LINE_BYTES:
            self._finish(b"FAILURE the line is longer than %d bytes\n" % MAX_LINE_BYTES)

    def eof_received(self) -> bool:
        if not self._finished:  # a last line without its newline is still a command
            self._answer_line(self._buffer) if self._buffer else self._finish(b"FAILURE no call\n")
        return False

    def _answer_line(self, line: bytes) -> None:
        if len(line) > MAX_LINE_BYTES:
            self._finish(b"FAILURE the line is longer than %d bytes\n" % MAX_LINE_BYTES)
        else:
            answer = self._listener.execute_command(line.rstrip(b"\r"))
            self._finish(answer)

    def _time_out(self) -> None:
        self._timer = None
        self._finish(b"FAILURE no whole line in time\n")

    def _finish(self, answer: bytes) -> None:
        if self._finished:
            return
        answer = answer.replace(b"\n", b"\r\n")  # the protocol's text lines end with CR LF
        self._finished = True
        self._buffer = b""
        if self._timer:
            self._timer.cancel()
            self._timer = None
        self._transport.write(answer)
        self._transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self._listener.open_connections -= 1
        self._finished = True
        if self._timer:
            self._timer.cancel()
            self._timer = None
