"""The client connections of a relay, limited in number and in bytes, and the queue of their requests."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

from millweir.interface import Bounds
from millweir.memory_policy import CONNECTION_BYTES
from millweir.net import clock
from millweir.net.client_connection import ClientConnection
from millweir.net.counters import Counters
from millweir.net.log import Log
from millweir.net.memory_account import MemoryAccount
from millweir.net.request_reader import Request

# Bytes read from one connection at a time, and from all of them in one iteration of the event loop.
MAX_READ_BYTES = 16 << 10
MIN_READ_BYTES = 1 << 9
MAX_READ_BYTES_PER_TURN = 64 << 10


class ClientListener:
    """All client connections, and the queue of their requests, at most one of each connection.

    That queue shares the relay's work fairly over the connections, however many requests one of them sends.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        bounds: Bounds,
        account: MemoryAccount,
        wake: Callable[[], None],
        log: Log,
        counters: Counters,
    ) -> None:
        """`account`: of the bytes that the connections hold."""
        self.bounds = bounds
        self._account = account
        # One buffer serves all connections: what is read into it is taken out before the next read.
        self.read_buffer = memoryview(bytearray(MAX_READ_BYTES))
        self.offered_bytes = 0  # of that buffer to the last read
        self._to_resume: list[ClientConnection] = []
        self._busy_connections = 0  # that filled what a read offered in the last iteration of the loop
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

    def offer_read_buffer(self) -> memoryview:
        """Return the buffer for one read: the more connections have more to read, the smaller a part."""
        share = MAX_READ_BYTES_PER_TURN // max(1, self._busy_connections)
        self.offered_bytes = max(MIN_READ_BYTES, min(MAX_READ_BYTES, share))
        return self.read_buffer[: self.offered_bytes]

    def call_after_poll(self, callback: Callable[[], None]) -> None:
        """Call back once each connection that has more to read has been read."""
        clock.call_after_poll(self._loop, callback)

    def record_withdrawn(self, count: int) -> None:
        """Count requests that were read and are dropped before their turn."""
        self._counters.add("requests_withdrawn", count)

    def resume_reading_later(self, connection: ClientConnection) -> None:
        """Read from the connection again after the next poll, in which the others are read."""
        if not self._to_resume:
            self._loop.call_soon(self._resume_reading)
        self._to_resume.append(connection)

    def _resume_reading(self) -> None:
        connections, self._to_resume = self._to_resume, []
        self._busy_connections = len(connections)
        for connection in connections:
            connection.update_reading()

    def charge(self, connection: ClientConnection, size: int) -> None:
        """Charge a connection with what it holds now; while that is too much, the largest one is closed."""
        growth = size - connection.charged_bytes
        self._account.change(growth)
        connection.charged_bytes = size
        while growth > 0 and self._account.is_over and (largest := self._find_largest()):
            largest.end_for("memory", 503)

    def _find_largest(self) -> ClientConnection | None:
        """Find the connection that holds most, beside what any connection takes."""
        candidates = (
            connection
            for connection in self._connections
            if connection.charged_bytes > CONNECTION_BYTES and connection.may_be_closed
        )
        return max(candidates, key=lambda connection: connection.charged_bytes, default=None)

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
        self.charge(connection, CONNECTION_BYTES)
        if len(self._connections) > self._max_connections:
            excess = self._choose_excess(connection)
            excess.abort() if excess.reason else excess.end_for("too-many")
        # Closing connections hold descriptors as well: beyond a quarter more than the limit, one is aborted.
        if len(self._connections) > self._max_connections + self._max_connections // 4:
            closing = next((other for other in self._connections if other.reason and other.open), connection)
            closing.abort()

    def _choose_excess(self, newest: ClientConnection) -> ClientConnection:
        """Pick the one to close: a stalled one, else the slowest partial request, else the longest idle."""
        stalled_since = clock.monotonic_ns() - self.bounds.client_grace_ns
        slowest: ClientConnection | None = None
        idle: ClientConnection | None = None
        for connection in self._connections:
            if connection.is_stalled(stalled_since):
                return connection
            if connection is newest or not connection.may_be_closed:
                continue
            if connection.idle:
                idle = idle or connection
            elif slowest is None or connection.waiting_since < slowest.waiting_since:
                slowest = connection
        return slowest or idle or newest

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
        self.charge(connection, 0)
        self._counters.add(f"clients_closed_{reason}")
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
