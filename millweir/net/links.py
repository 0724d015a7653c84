"""An outgoing HTTP connection of the relay, with one request at a time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from millweir.answers.connection import UnprovenAnswers
from millweir.net import clock
from millweir.net.counters import Counters
from millweir.net.heads import ResponseReader
from millweir.net.log import Log

if TYPE_CHECKING:
    from millweir.net.host_call import UnprovenAnswer


DISTRUSTED = "distrusted"  # retired, as its peer writes answers that nobody asked for


class ResponseHandler(Protocol):
    """Receives the outcome of a request on a connection."""

    def may_release(self, connection: Connection) -> bool:
        """Return whether the held last byte of the request may be written."""

    def handle_response(self, connection: Connection) -> None:
        """Take a complete response; the connection, if still open, is free for the next request."""

    def handle_loss(self, connection: Connection) -> None:
        """Take the end of the connection, or an invalid response, while a response was awaited."""


class Connection(asyncio.Protocol):
    """Sends requests and reads responses; the handler of each request is called once."""

    __slots__ = (
        "_handler",
        "_counters",
        "_held_byte",
        "_log",
        "_loop",
        "_close_reason",
        "_response_time_limit",
        "_timer",
        "_transport",
        "request_count",
        "idle_since",
        "open",
        "peer",
        "reader",
        "invalid_response",
        "on_end",
        "on_unasked",
        "check_timer",
        "in_step",
        "retire_reason",
        "unproven",
    )

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        peer: str,
        max_response_bytes: int,
        response_time_limit: int,
        log: Log,
        counters: Counters,
    ) -> None:
        """Prepare a connection that is not open yet.

        `response_time_limit`: nanoseconds from the first byte of a response to its last, 0 for no limit.
        """
        self._loop = loop
        self._response_time_limit = response_time_limit
        self._timer: asyncio.TimerHandle | None = None
        self._held_byte = b""
        self.peer = peer
        self._log = log
        self._counters = counters
        self._handler: ResponseHandler | None = None
        self._transport: asyncio.Transport | None = None
        self._close_reason = ""
        self.reader = ResponseReader(max_response_bytes)
        self.request_count = 0
        self.idle_since = clock.monotonic_ns()
        self.open = False
        self.invalid_response = False  # no HTTP, too long or too slow
        self.on_end: Callable[[Connection], None] | None = None  # called when the connection has ended
        # Called when bytes came without a request, after the connection was closed; they are in the reader.
        self.on_unasked: Callable[[Connection], None] | None = None
        self.unproven: UnprovenAnswers[UnprovenAnswer] = UnprovenAnswers()
        self.check_timer: asyncio.TimerHandle | None = None  # of the unproven answers
        self.in_step = True  # no answer has come that may belong to another request
        self.retire_reason = ""  # takes no further request and is closed after a silence

    @property
    def usable(self) -> bool:
        """Whether a further request may go out on it."""
        return self.open and not self.retire_reason

    @property
    def has_unsent_bytes(self) -> bool:
        """Whether the last byte of the request is still in this process."""
        return bool(self._held_byte) or self._transport.get_write_buffer_size() > 0

    @property
    def silent(self) -> bool:
        """Whether nothing has come since the last complete response."""
        return self._handler is None or not self.reader.started

    @property
    def ended_as_announced(self) -> bool:
        """Whether the last response said that the peer closes the connection behind it."""
        reader = self.reader
        return reader.complete and not reader.keep_alive and not reader.followed

    def send_request(self, handler: ResponseHandler, chunks: list[bytes], hold_time: int = 0) -> None:
        """Write one request with a gathered write.

        `hold_time`: nanoseconds after which the handler is asked to release the last byte.  This protects
        non-idempotent packets from a connection that the peer has just closed: a call whose last byte was
        not sent has certainly not run.
        """
        self._handler = handler
        self.request_count += 1
        self.reader.reset()
        if hold_time:
            *chunks, last = (chunk for chunk in chunks if chunk)
            self._transport.writelines([*chunks, last[:-1]])
            self._held_byte = last[-1:]
            self._loop.call_later(
                hold_time / 1e9, clock.call_after_poll, self._loop, self._release_held_byte, handler
            )
        else:
            self._transport.writelines(chunks)

    def _release_held_byte(self, handler: ResponseHandler) -> None:
        if self._handler is handler and self._held_byte and handler.may_release(self):
            self._transport.write(self._held_byte)
            self._held_byte = b""

    def close(self, reason: str, abort: bool = False) -> None:
        """End the connection at once, without a call to the handler."""
        self._handler = None
        self._close_transport(reason, abort)

    def _close_transport(self, reason: str, abort: bool = False) -> None:
        self._stop_timer()
        if self.open:
            self.open = False
            self._close_reason = reason
            self._transport.abort() if abort else self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport
        self.open = True
        self._counters.add("links_opened")

    def data_received(self, data: bytes) -> None:
        if not self.open:
            return
        if self._handler is None:
            self._handle_unasked(data)
            return
        is_valid = self.reader.feed(data)
        if self.reader.complete:
            self._complete_response()
        elif not is_valid:
            self._report_loss("garbled")
        elif not self.reader.started:
            self._stop_timer()  # only interim responses so far
        elif self._response_time_limit and not self._timer:
            self._timer = self._loop.call_later(
                self._response_time_limit / 1e9, clock.call_after_poll, self._loop, self._handle_stall
            )

    def _handle_unasked(self, data: bytes) -> None:
        """Close the connection: no request was sent, so later responses can't be trusted either.

        Empty lines are skipped (RFC 9112, 2.2).
        """
        if not data.strip(b"\r\n"):
            return
        self.reader.reset()
        self.reader.feed(data)
        self._close_transport("unasked")
        if self.on_unasked:
            self.on_unasked(self)

    def _handle_stall(self) -> None:
        """Free the slot and the memory of a response that has begun and does not end."""
        if self._timer and self._handler:
            self._report_loss("endless")

    def _stop_timer(self) -> None:
        if self._timer:
            self._timer.cancel()
            self._timer = None

    def _complete_response(self) -> None:
        self._stop_timer()
        handler = self._handler
        self._handler = None
        self.idle_since = clock.monotonic_ns()
        if self.reader.followed or self._held_byte:
            self._close_transport("unasked" if self.reader.followed else "early")
        elif not self.reader.keep_alive:
            self.retire_reason = "told-close"
        handler.handle_response(self)
        self.close_if_settled()

    def retire(self, reason: str) -> None:
        """Take no further request, and close once the connection was silent after its last answers."""
        self.retire_reason = self.retire_reason or reason
        self.close_if_settled()

    @property
    def is_distrusted(self) -> bool:
        """Whether it was retired because of answers that nobody asked for."""
        return self.retire_reason == DISTRUSTED

    def close_if_settled(self) -> None:
        """Close a retired connection, unless a request is out or a silence awaited.

        A distrusted one stays until its answers are settled: the true ones may still come.
        """
        waits = len(self.unproven) if self.is_distrusted else self.unproven.await_silence
        if self.retire_reason and self._handler is None and not waits:
            self._close_transport(self.retire_reason)

    def _report_loss(self, reason: str) -> None:
        handler = self._handler
        self._handler = None
        self.invalid_response = self.open
        self._close_transport(reason)
        if handler:
            handler.handle_loss(self)

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        reason = self._close_reason or ("reset" if exc else "peer-closed")
        self.open = False
        self._log.info(f"link-end peer={self.peer} reason={reason} requests={self.request_count}")
        if self._handler is not None:
            self.reader.finish_at_eof()
            if self.reader.complete:
                self._complete_response()
            else:
                self._report_loss(reason)
        if self.on_end:
            self.on_end(self)
        self.reader.close()
