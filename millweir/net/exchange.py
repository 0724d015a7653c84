"""HTTP client for the platform: one request at a time, on one connection that is replaced when it is lost."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from millweir.net import clock
from millweir.net.counters import Counters
from millweir.net.heads import ResponseReader
from millweir.net.links import Connection
from millweir.net.log import Log


class Exchange:
    """Sends requests and passes on the reader of each complete response, or None if there was none in time.

    At most one request is in flight.  It ends once: by its response, its timeout, a failure to connect, or
    `close`; later events of its connection and its timer are ignored.
    """

    __slots__ = (
        "_address",
        "_extended",
        "_counters",
        "_connect_timeout",
        "_connection",
        "_log",
        "_loop",
        "_response_grace",
        "_max_response_bytes",
        "_name",
        "_request_chunks",
        "_connect_task",
        "_timeout_timer",
        "_on_response",
        "_on_unread",
        "_single_use",
        "_timer_number",
        "host",
    )

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: tuple[str, int],
        name: str,
        max_response_bytes: int,
        response_grace: int,
        connect_timeout: int,
        on_response: Callable[[ResponseReader | None], None],
        log: Log,
        counters: Counters,
        on_unread: Callable[[], None] | None = None,
        single_use: bool = False,
    ) -> None:
        """Store the parameters; the first request opens the connection.  Times are in nanoseconds.

        `response_grace`: the extra time for a response that had begun when the request timed out.
        `connect_timeout`: the limit for connecting, however long the request's own timeout is: the kernel
        repeats a lost SYN after 1, 3, 7 and 15 s, a new connection attempt sends one at once.
        `on_unread`: called instead of `on_response` if the peer closed the idle connection just as a request
        was written to it.  Without it the request is sent once more on a new connection, within its timeout.
        `single_use`: a connection carries one request, so that no answer can belong to an earlier one.
        """
        self._loop = loop
        self._address = address
        self._name = name
        self._max_response_bytes = max_response_bytes
        self._response_grace = response_grace
        self._connect_timeout = connect_timeout / 1e9
        self._on_response = on_response
        self._on_unread = on_unread
        self._single_use = single_use
        self._log = log
        self._counters = counters
        self.host = f"{address[0]}:{address[1]}".encode()  # value of the Host header field
        self._connection: Connection | None = None
        self._connect_task: asyncio.Task[None] | None = None
        self._timeout_timer: asyncio.TimerHandle | None = None
        self._timer_number = 0
        self._extended = False  # the grace time of a response that had begun is running
        self._request_chunks: list[bytes] = []

    def send_request(self, request_chunks: list[bytes], timeout_ns: int) -> None:
        """Send one request; the timeout includes the time to connect."""
        self._extended = False
        self._request_chunks = request_chunks
        self._start_timer(timeout_ns)
        if self._connection and self._connection.usable:
            self._connection.send_request(self, request_chunks)
        else:
            self._connection = None  # bytes read from the last one are not part of this response
            self._connect_task = self._loop.create_task(self._connect())

    async def _connect(self) -> None:
        connection = Connection(
            self._loop, self._name, self._max_response_bytes, 0, self._log, self._counters
        )
        try:
            async with asyncio.timeout(self._connect_timeout):
                await self._loop.create_connection(lambda: connection, *self._address)
        except (OSError, TimeoutError) as error:
            self._log.info(f"link-end peer={self._name} reason=unconnected {type(error).__name__}")
            self._deliver(None)
            return
        self._connection = connection
        if connection.open:
            connection.send_request(self, self._request_chunks)
        else:
            self._deliver(None)

    def _start_timer(self, timeout_ns: int) -> None:
        self._timer_number += 1
        self._timeout_timer = self._loop.call_later(
            timeout_ns / 1e9, clock.call_after_poll, self._loop, self._handle_timeout, self._timer_number
        )

    def _handle_timeout(self, timer_number: int) -> None:
        """Runs after a poll, as a process that was stopped may find the response in its socket."""
        if self._timeout_timer is None or timer_number != self._timer_number:
            return
        if self._connection and self._connection.reader.started and not self._extended:
            self._extended = True  # a long list that begins at the end of a long poll takes time to transfer
            self._start_timer(self._response_grace)
            return
        self._disconnect("silent")
        self._deliver(None)

    def handle_response(self, connection: Connection) -> None:
        if self._single_use:
            connection.retire("single-use")
        self._deliver(connection.reader)

    @property
    def call_number(self) -> int:
        """The number of the last request on its connection, from 1."""
        return self._connection.request_count if self._connection else 1

    def drop_connection(self, reason: str) -> None:
        """Close the connection, on which no request is in flight; the next one opens another."""
        if self._connection:
            self._connection.close(reason)

    def handle_loss(self, connection: Connection) -> None:
        if connection.request_count > 1 and not connection.reader.started:
            # The peer closed the idle connection as this request was sent: it is repeated, to leave no gap.
            self._connection = None
            if self._on_unread:
                self._stop_timer()
                self._on_unread()
            else:
                self._connect_task = self._loop.create_task(self._connect())
        else:
            self._deliver(None)

    def _deliver(self, reader: ResponseReader | None) -> None:
        self._stop_timer()
        self._on_response(reader)

    def _stop_timer(self) -> None:
        if self._timeout_timer:
            self._timeout_timer.cancel()
            self._timeout_timer = None

    def _disconnect(self, reason: str) -> None:
        if self._connect_task and not self._connect_task.done():
            self._connect_task.cancel()
        if self._connection:
            self._connection.close(reason)
            self._connection = None

    def close(self, reason: str = "exit") -> None:
        """Drop the request in flight, without a notification, and close the connection."""
        self._stop_timer()
        self._disconnect(reason)
