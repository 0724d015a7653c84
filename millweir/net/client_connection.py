"""One client's connection: reads one request at a time, and writes its response before the next one."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING

from millweir.memory_policy import CONNECTION_BYTES
from millweir.net import clock
from millweir.net.heads import encode_response
from millweir.net.peer_state import has_peer_ended
from millweir.net.request_reader import Request, RequestReader

if TYPE_CHECKING:
    from millweir.net.clients import ClientListener

MAX_WAITING_REQUESTS = 256  # behind the request in hand; with more, none of them is accepted


class ClientConnection(asyncio.BufferedProtocol):
    """One client's connection: open, then closing, then closed.

    Bytes behind the request in hand are not read, but for those that came with it: backpressure.

    While it is closing, nothing more is written and received bytes are discarded until the client closes its
    end, or until a time limit.  Closing a socket that holds unread bytes would reset the connection, and a
    response that is still in transit would be lost.
    """

    __slots__ = (
        "_listener",
        "_reader",
        "_transport",
        "_discarded_bytes",
        "_in_hand",
        "_is_queued",
        "_may_have_more",
        "_read_at",
        "_socket",
        "_write_blocked",
        "charged_bytes",
        "request_count",
        "waiting_since",
        "open",
        "peer",
        "reason",
    )

    def __init__(self, listener: ClientListener) -> None:
        self._listener = listener
        self._reader = RequestReader(listener.bounds.max_head_bytes, listener.bounds.max_body_bytes)
        self._discarded_bytes = 0  # received since the connection began to close
        self._transport: asyncio.Transport | None = None
        self._socket: socket.socket | None = None
        self._in_hand: Request | None = None  # read and not yet answered
        self._is_queued = False  # the request in hand waits for its turn
        self._may_have_more = False  # the last read did not empty the socket
        self._read_at = 0  # when bytes were read last: the time of a request counts from its last byte
        self._write_blocked = False  # the client does not read its responses
        self.charged_bytes = 0  # to the account of the client connections
        self.request_count = 0
        # Start of the wait for the first request, the rest of a partly read one, that the client reads a
        # response, or the client's close
        self.waiting_since = clock.monotonic_ns()
        self.reason = ""  # why it is closing; empty while it is in use
        self.open = False
        self.peer = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport
        self._socket = transport.get_extra_info("socket")
        self.open = True
        peer = transport.get_extra_info("peername")
        self.peer = f"{peer[0]}:{peer[1]}" if peer else "?"
        transport.set_write_buffer_limits(high=0)
        self._listener.add_connection(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        return self._listener.offer_read_buffer()

    def buffer_updated(self, nbytes: int) -> None:
        buffer = self._listener.read_buffer
        self._may_have_more = nbytes == self._listener.offered_bytes
        if self.reason:
            self._discard(nbytes)
        else:
            self._receive(bytes(buffer[:nbytes]))
        if self._may_have_more and self.open:
            # Other connections are read first.
            self._transport.pause_reading()
            self._listener.resume_reading_later(self)

    def _discard(self, size: int) -> None:
        self._discarded_bytes += size
        if self._discarded_bytes > self._listener.bounds.max_body_bytes:
            self.abort()

    def _receive(self, data: bytes) -> None:
        was_mid_request = self._reader.mid_request
        self._reader.feed(data)
        self._read_at = clock.monotonic_ns()
        if self.request_count and not was_mid_request:
            self.waiting_since = self._read_at
        self._read_next_request()

    def _read_next_request(self) -> None:
        """Take the next request in hand, unless there is one; read on only where its rest is to come."""
        if self._in_hand is None and not self._write_blocked:
            request = self._reader.read_request()
            if request:
                self._take_in_hand(request)
        self._update_charge()
        self.update_reading()

    def _take_in_hand(self, request: Request) -> None:
        request.received_at = self._read_at
        self.waiting_since = clock.monotonic_ns()
        self._in_hand = request
        self._is_queued = False
        self.request_count += 1
        self._queue_request()

    def _queue_request(self) -> None:
        """Queue the request in hand once it is known that no flood of requests came with it.

        A client that sends hundreds of requests at once is owed no more than the close (page LATER).
        """
        if self._in_hand is None or self._is_queued or not self.open or self.reason:
            return
        if self._may_have_more and self._reader.unparsed_bytes < self._listener.bounds.max_body_bytes:
            self._may_have_more = False  # unless the next read says so
            self._listener.call_after_poll(self._queue_request)
            return
        if self._reader.count_waiting_requests() > MAX_WAITING_REQUESTS:
            self.reason = "flood"
            self.abort()
            return
        self._is_queued = True
        self._listener.queue_request(self, self._in_hand)
        self.update_reading()

    def update_reading(self) -> None:
        """Read from the socket unless bytes that were read wait for their turn."""
        if not self.open:
            return
        is_ahead = self._reader.has_unparsed_bytes and (self._in_hand is None or self._is_queued)
        is_ahead = is_ahead or self._reader.unparsed_bytes >= self._listener.bounds.max_body_bytes
        if not self.reason and (is_ahead or self._write_blocked):
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _update_charge(self) -> None:
        held_bytes = CONNECTION_BYTES + self._reader.held_bytes
        if self._in_hand:
            held_bytes += self._in_hand.bytes_received
        if self._write_blocked:
            held_bytes += self._transport.get_write_buffer_size()
        self._listener.charge(self, held_bytes)

    @property
    def may_be_closed(self) -> bool:
        """Whether it is in use and no request of it waits for its turn."""
        return self.open and not self.reason and not (self._in_hand and self._is_queued)

    def eof_received(self) -> bool:
        self.reason = self.reason or "client-closed"
        return False

    def pause_writing(self) -> None:
        self._write_blocked = True
        self.waiting_since = clock.monotonic_ns()
        self._update_charge()
        self.update_reading()

    def resume_writing(self) -> None:
        self._write_blocked = False
        self._read_next_request()

    def connection_lost(self, exc: Exception | None) -> None:
        self.open = False
        if self._in_hand and not self._is_queued:
            self._listener.record_withdrawn(1 + self._reader.count_waiting_requests())
        self._in_hand = None
        self._reader.close()
        self._listener.remove_connection(self, self.reason or ("reset" if exc else "client-closed"))

    def has_client_ended(self) -> bool:
        """Whether it closes, or the client's end lies in the socket: nobody waits for an answer."""
        is_closing = bool(self.reason) or not self.open or self._transport.is_closing()
        return is_closing or has_peer_ended(self._socket)

    @property
    def idle(self) -> bool:
        return self._in_hand is None and not self._reader.mid_request and not self._reader.has_unparsed_bytes

    def awaits_first_request(self, since: int) -> bool:
        """Whether it was opened after `since` and has sent no request: the first one may be in transit."""
        return not self.request_count and self.waiting_since > since

    def is_stalled(self, since: int) -> bool:
        """Whether it waits since then for a first request, the rest of one, a read, or the client's close."""
        waits = not self.request_count or self._reader.mid_request or self._write_blocked or bool(self.reason)
        return waits and self._in_hand is None and self.waiting_since <= since

    def handle_timeout(self) -> None:
        """Handle a request that was not complete in time, or a client that does not read or close."""
        if self.reason:
            self.abort()
        elif self._reader.mid_request:
            self.end_for("slow-request")
        else:
            self.end_for("silent")

    def end_for(self, reason: str, status: int = 408) -> None:
        """Close it while no request is in hand; the status answers one of which the rest has not come."""
        if self._write_blocked:
            self.reason = "client-stuck"
            self.abort()
            return
        if self._reader.mid_request or self._in_hand:
            self._transport.writelines(encode_response(status, False))
        self._in_hand = None
        self.close_gracefully(reason)

    def respond(
        self, request: Request, status: int, body: bytes = b"", retry_after: int = 0, keep_alive: bool = True
    ) -> None:
        """Answer the request in hand; `retry_after`: nanoseconds, 0 for no such header."""
        self._in_hand = None
        if not self.open:
            return
        if not self._reader.has_unparsed_bytes or request.error_status:  # what was read is answered first
            keep_alive = keep_alive and not self._listener.draining
        else:
            keep_alive = True
        keep_alive = keep_alive and request.keep_alive
        self._transport.writelines(encode_response(status, keep_alive, body, retry_after))
        if not keep_alive:
            self.close_gracefully("bad-request" if request.error_status else "told-close")
            return
        self._read_next_request()
        if self.idle:
            self._listener.mark_idle(self)

    def withdraw(self) -> None:
        """Drop the request in hand, and what the client sent behind it, as nobody waits for an answer."""
        self._in_hand = None
        if not self.reason:
            self.reason = "client-closed"
            self.abort()

    def close_gracefully(self, reason: str) -> None:
        """Send EOF and wait for the client's; `handle_timeout` aborts if that does not come."""
        if not self.open or self.reason:
            return
        self.reason = reason
        self.waiting_since = clock.monotonic_ns()
        self._reader.close()
        self._listener.charge(self, CONNECTION_BYTES)
        self._transport.write_eof()
        self._transport.resume_reading()

    def abort(self) -> None:
        """Close it at once and drop unsent data; `connection_lost` follows one loop iteration later."""
        if self.open:
            self.open = False
            self._transport.abort()
