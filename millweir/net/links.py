"""An outgoing HTTP connection of the relay, with one request at a time."""

from __future__ import annotations

import asyncio
from typing import Protocol

from millweir.net import clock
from millweir.net.counters import Counters
from millweir.net.heads import ResponseReader
from millweir.net.log import Log


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
        "_peer",
        "_close_reason",
        "_response_time_limit",
        "_timer",
        "_transport",
        "request_count",
        "idle_since",
        "open",
        "reader",
        "invalid_response",
        "on_idle_close",
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
        self._peer = peer
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
        self.on_idle_close = None  # called when the connection ends while idle

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
        is_valid = self.reader.feed(data)
        if self._handler is None:
            self._close_transport("unasked")  # no request was sent: later responses can't be trusted either
            if self.on_idle_close:
                self.on_idle_close(self)
        elif self.reader.complete:
            self._complete_response()
        elif not is_valid:
            self._report_loss("garbled")
        elif not self.reader.started:
            self._stop_timer()  # only interim responses so far
        elif self._response_time_limit and not self._timer:
            self._timer = self._loop.call_later(
                self._response_time_limit / 1e9, clock.call_after_poll, self._loop, self._handle_stall
            )

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
        if not self.reader.keep_alive or self._held_byte:
            self._close_transport("told-close")
        handler.handle_response(self)

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
        was_open = self.open
        self.open = False
        self._log.info(f"link-end peer={self._peer} reason={reason} requests={self.request_count}")
        if self._handler is not None:
            self.reader.finish_at_eof()
            if self.reader.complete:
                self._complete_response()
            else:
                self._report_loss(reason)
        elif was_open and self.on_idle_close:
            self.on_idle_close(self)
        self.reader.close()
