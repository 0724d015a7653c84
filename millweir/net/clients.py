"""Client connections: read requests, queue them for the relay's next turn, write the responses."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

from millweir.interface import Bounds
from millweir.net import clock
from millweir.net.counters import Counters
from millweir.net.heads import Request, RequestReader, encode_response
from millweir.net.log import Log

# Requests of one connection that may wait for their response, in turns of the relay's work loop
# (`max_requests_per_turn` requests each); a connection with more is aborted as a flood, which bounds the
# request queue.
MAX_PENDING_TURNS = 4


class ClientConnection(asyncio.Protocol):
    """One client's connection: open, then closing, then closed.

    While it is closing, nothing more is written and received bytes are discarded until the client closes its
    end, or until a time limit.  Closing a socket that holds unread bytes would reset the connection, and a
    response that is still in transit would be lost.
    """

    __slots__ = (
        "_listener",
        "_reader",
        "_transport",
        "_discarded_bytes",
        "request_count",
        "waiting_since",
        "open",
        "peer",
        "pending_requests",
        "reason",
    )

    def __init__(self, listener: ClientListener) -> None:
        self._listener = listener
        self._reader = RequestReader(listener.bounds.max_head_bytes, listener.bounds.max_body_bytes)
        self._discarded_bytes = 0  # received since the connection began to close
        self._transport: asyncio.Transport | None = None
        self.pending_requests = 0  # read and not yet answered
        self.request_count = 0
        # Start of the wait for the first request, the rest of a partly read one, or the client's close
        self.waiting_since = clock.monotonic_ns()
        self.reason = ""  # why it is closing; empty while it is in use
        self.open = False
        self.peer = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport
        self.open = True
        peer = transport.get_extra_info("peername")
        self.peer = f"{peer[0]}:{peer[1]}" if peer else "?"
        self._listener.add_connection(self)

    def data_received(self, data: bytes) -> None:
        if self.reason:
            self._discarded_bytes += len(data)
            if self._discarded_bytes > self._listener.bounds.max_body_bytes:
                self.abort()
            return
        was_mid_request = self._reader.mid_request
        if not self._reader.feed(data):
            self._transport.pause_reading()
        if self.request_count and (self._reader.requests or not was_mid_request):
            self.waiting_since = clock.monotonic_ns()
        for request in self._reader.requests:
            request.received_at = clock.monotonic_ns()
            self.pending_requests += 1
            self.request_count += 1
            self._listener.queue_request(self, request)
        self._reader.requests.clear()
        if self.pending_requests > MAX_PENDING_TURNS * self._listener.bounds.max_requests_per_turn:
            self.close_gracefully("flood")  # none of its requests is accepted
            self.abort()

    def eof_received(self) -> bool:
        self.reason = self.reason or "client-closed"
        return False

    def pause_writing(self) -> None:
        self.close_gracefully("client-stuck")
        self.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.open = False
        self._reader.close()
        self._listener.remove_connection(self, self.reason or ("reset" if exc else "client-closed"))

    @property
    def idle(self) -> bool:
        return not self.pending_requests and not self._reader.mid_request

    def awaits_first_request(self, since: int) -> bool:
        """Whether it was opened after `since` and has sent no request: the first one may be in transit."""
        return not self.request_count and self.waiting_since > since

    def is_stalled(self, since: int) -> bool:
        """Whether it waits since then for a first request, the rest of one, or the client's close."""
        expects_bytes = not self.request_count or self._reader.mid_request or bool(self.reason)
        return expects_bytes and not self.pending_requests and self.waiting_since <= since

    def handle_timeout(self) -> None:
        """Handle a request that was not complete in time, or a client that does not close its end."""
        if self.reason:
            self.abort()
        elif self._reader.mid_request:
            self._transport.writelines(encode_response(408, False))
            self.close_gracefully("slow-request")
        else:
            self.close_gracefully("silent")

    def respond(
        self, request: Request, status: int, body: bytes = b"", retry_after: int = 0, keep_alive: bool = True
    ) -> None:
        """Answer the oldest unanswered request; `retry_after`: nanoseconds, 0 for no such header."""
        self.pending_requests -= 1
        if not self.open:
            return
        is_draining = self._listener.draining
        keep_alive = keep_alive and request.keep_alive and not is_draining
        self._transport.writelines(encode_response(status, keep_alive, body, retry_after))
        if not keep_alive:
            self.close_gracefully("bad-request" if request.error_status else "told-close")
        elif self.idle:
            self._listener.mark_idle(self)

    def close_gracefully(self, reason: str) -> None:
        """Send EOF and wait for the client's; `handle_timeout` aborts if that does not come."""
        if not self.open or self.reason:
            return
        self.reason = reason
        self.waiting_since = clock.monotonic_ns()
        self._transport.write_eof()
        self._transport.resume_reading()

    def abort(self) -> None:
        """Close it at once and drop unsent data; `connection_lost` follows one loop iteration later."""
        if self.open:
            self.open = False
            self._transport.abort()


class ClientListener:
    """All client connections, limited in number, and the queue of their requests."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        bounds: Bounds,
        wake: Callable[[], None],
        log: Log,
        counters: Counters,
    ) -> None:
        self.bounds = bounds
        self._max_connections = bounds.max_client_connections
        self._wake = wake
        self._log = log
        self._counters = counters
        self._connections: dict[ClientConnection, None] = {}  # least recently active first
        self._just_read: deque[tuple[ClientConnection, Request]] = deque()  # until the next poll
        self._loop = loop
        self.draining = False  # connections are closed once idle
        self._all_closed: asyncio.Future[None] | None = None  # done once shut_down finds the last one closed
        self.received_requests: deque[tuple[ClientConnection, Request]] = deque()  # for the next turn
        self._close_stalled()

    def _close_stalled(self) -> None:
        """Time out clients that send no request, part of one, or never close; close idle ones to drain."""
        now = clock.monotonic_ns()
        for connection in list(self._connections):
            if (
                self.draining
                and connection.idle
                and not connection.reason
                and not connection.awaits_first_request(self._first_request_cutoff(now))
            ):
                connection.close_gracefully("quiesced")
            elif connection.is_stalled(
                now - (self.bounds.client_grace_ns if connection.reason else self.bounds.request_timeout_ns)
            ):
                connection.handle_timeout()
        self._loop.call_later(self.bounds.client_grace_ns / 2e9, self._close_stalled)

    def _first_request_cutoff(self, now: int) -> int:
        """Return the time after which a connection must be opened to be spared for its first request."""
        return now - 2 * self.bounds.client_grace_ns

    def add_connection(self, connection: ClientConnection) -> None:
        self._connections[connection] = None
        self._counters.add("clients_opened")
        if len(self._connections) > self._max_connections:
            excess = self._choose_excess(connection)
            excess.handle_timeout() if excess.reason else excess.close_gracefully("too-many")
        # Closing connections hold descriptors as well: beyond a quarter more than the limit, one is aborted.
        if len(self._connections) > self._max_connections + self._max_connections // 4:
            closing = next((other for other in self._connections if other.reason and other.open), connection)
            closing.abort()

    def _choose_excess(self, newest: ClientConnection) -> ClientConnection:
        """Pick the one to close: a stalled one, else the longest idle, else one with a partial request."""
        stalled_since, idle, slow = clock.monotonic_ns() - self.bounds.client_grace_ns, None, None
        for connection in self._connections:
            if connection.is_stalled(stalled_since):
                return connection
            if connection is not newest and not connection.reason:
                idle = idle or (connection if connection.idle else None)
                slow = slow or (connection if not connection.pending_requests else None)
        return idle or slow or newest

    def mark_idle(self, connection: ClientConnection) -> None:
        del self._connections[connection]
        self._connections[connection] = None

    def queue_request(self, connection: ClientConnection, request: Request) -> None:
        if not self._just_read:  # after a poll, as a close that the socket holds already withdraws it
            clock.call_after_poll(self._loop, self._release_read_requests)
        self._just_read.append((connection, request))

    def _release_read_requests(self) -> None:
        self.received_requests.extend(self._just_read)
        self._just_read.clear()
        self._wake()

    def remove_connection(self, connection: ClientConnection, reason: str) -> None:
        self._connections.pop(connection, None)
        if self._all_closed and not self._connections and not self._all_closed.done():
            self._all_closed.set_result(None)
        self._log.info(
            f"client-end peer={connection.peer} reason={reason} requests={connection.request_count}"
        )

    def close_idle(self, reason: str) -> None:
        """Close idle connections after the next poll: requests that the sockets already hold are answered."""
        clock.call_after_poll(self._loop, self._close_idle, reason)

    def _close_idle(self, reason: str) -> None:
        """Spare connections just opened: to the client, a close without a response is a refused request."""
        cutoff = self._first_request_cutoff(clock.monotonic_ns())
        for connection in list(self._connections):
            if connection.idle and not connection.awaits_first_request(cutoff):
                connection.close_gracefully(reason)

    async def shut_down(self, timeout_ns: int) -> None:
        """Answer what was read, close every connection and wait until the clients have closed theirs, at most
        `timeout_ns`.
        """
        self.draining = True
        self._all_closed = self._loop.create_future()
        self.close_idle("exit")
        if self._connections:
            await asyncio.wait([self._all_closed], timeout=timeout_ns / 1e9)
