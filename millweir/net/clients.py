"""Client connections: what they hand in waits for the next turn of the desk and is answered there."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

from millweir.interface import Bounds
from millweir.net import clock
from millweir.net.counters import Counters
from millweir.net.heads import Request, RequestReader, answer
from millweir.net.log import Log

PENDING_TURNS = 4  # turns in which what one connection has sent can be answered, else it is a flood


class ClientLink(asyncio.Protocol):
    """One client's connection: open, then ending, then closed.

    However it ends, nothing more is written, what still comes is thrown away until the other end closes too,
    and only then, or after a bounded while, is it closed: a close over unread bytes would reset it and take
    an answer with it that is still on its way.
    """

    __slots__ = (
        "_listener",
        "_reader",
        "_transport",
        "_unread",
        "asked",
        "begun",
        "open",
        "peer",
        "pending",
        "reason",
    )

    def __init__(self, listener: ClientListener) -> None:
        self._listener = listener
        self._reader = RequestReader(listener.bounds.max_head_bytes, listener.bounds.max_body_bytes)
        self._unread = 0  # bytes thrown away since its end began
        self._transport: asyncio.Transport | None = None
        self.pending = 0  # requests read and not answered
        self.asked = 0
        self.begun = clock.steady()  # when its first request, the one read in part, or its end began
        self.reason = ""
        self.open = False
        self.peer = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport
        self.open = True
        peer = transport.get_extra_info("peername")
        self.peer = f"{peer[0]}:{peer[1]}" if peer else "?"
        self._listener.opened(self)

    def data_received(self, data: bytes) -> None:
        if self.reason:
            self._unread += len(data)
            if self._unread > self._listener.bounds.max_body_bytes:
                self.abort()
            return
        was_busy = self._reader.busy
        if not self._reader.feed(data):
            self._transport.pause_reading()
        if self.asked and (self._reader.requests or not was_busy):
            self.begun = clock.steady()
        for request in self._reader.requests:
            request.read_at = clock.steady()
            self.pending += 1
            self.asked += 1
            self._listener.read(self, request)
        self._reader.requests.clear()
        if self.pending > PENDING_TURNS * self._listener.bounds.max_requests_per_turn:
            self.end("flood")  # guards the table of what has arrived: none of it is taken on
            self.abort()

    def eof_received(self) -> bool:
        self.reason = self.reason or "client-closed"
        return False

    def pause_writing(self) -> None:
        self.end("client-stuck")
        self.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.open = False
        self._reader.close()
        self._listener.closed(self, self.reason or ("reset" if exc else "client-closed"))

    @property
    def idle(self) -> bool:
        return not self.pending and not self._reader.busy

    def fresh(self, since: int) -> bool:
        """It came up after that and has asked nothing yet: its request may be on its way."""
        return not self.asked and self.begun > since

    def stalls(self, since: int) -> bool:
        """Since then nothing was ever asked, or a request is there in part, or its end has begun."""
        awaited = not self.asked or self._reader.busy or bool(self.reason)
        return awaited and not self.pending and self.begun <= since

    def time_out(self) -> None:
        """No whole request came in time, or the other end does not close."""
        if self.reason:
            self.abort()
        elif self._reader.busy:
            self._transport.writelines(answer(408, False))
            self.end("slow-request")
        else:
            self.end("silent")

    def answer(
        self, request: Request, status: int, body: bytes = b"", wait: int = 0, keep: bool = True
    ) -> None:
        """Answer the oldest request read."""
        self.pending -= 1
        if not self.open:
            return
        drained = self._listener.closing  # each link ends after its answer
        keep = keep and request.keep and not drained
        self._transport.writelines(answer(status, keep, body, wait))
        if not keep:
            self.end("bad-request" if request.fault else "told-close")
        elif self.idle:
            self._listener.rested(self)

    def end(self, reason: str) -> None:
        """The one way to end it from here; `time_out` closes it where the other end does not."""
        if not self.open or self.reason:
            return
        self.reason = reason
        self.begun = clock.steady()
        self._transport.write_eof()
        self._transport.resume_reading()

    def abort(self) -> None:
        """End it at once, whatever is still on its way; its loss is told a turn later."""
        if self.open:
            self.open = False
            self._transport.abort()


class ClientListener:
    """All client connections, bounded in number, and the requests that wait for their turn."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        bounds: Bounds,
        wake: Callable[[], None],
        log: Log,
        counters: Counters,
    ) -> None:
        self.bounds = bounds
        self._most = bounds.max_client_connections
        self._wake = wake
        self._log = log
        self._counters = counters
        self._links: dict[ClientLink, None] = {}  # the one idle longest first
        self._fresh: deque[tuple[ClientLink, Request]] = deque()
        self._loop = loop
        self.closing = False  # drained: links are closed once idle
        self._finished: asyncio.Future[None] | None = None  # done when no link is left at the end
        self.arrived: deque[tuple[ClientLink, Request]] = deque()
        self._sweep()

    def _sweep(self) -> None:
        """Guards against those who connect and never ask, or never finish asking, or never close."""
        now = clock.steady()
        for link in list(self._links):
            if self.closing and link.idle and not link.reason and not link.fresh(self._awaited(now)):
                link.end("quiesced")
            elif link.stalls(
                now - (self.bounds.client_grace_ns if link.reason else self.bounds.request_timeout_ns)
            ):
                link.time_out()
        self._loop.call_later(self.bounds.client_grace_ns / 2e9, self._sweep)

    def _awaited(self, now: int) -> int:
        """Who came up after this may have a request on its way."""
        return now - 2 * self.bounds.client_grace_ns

    def opened(self, link: ClientLink) -> None:
        self._links[link] = None
        self._counters.add("clients_opened")
        if len(self._links) > self._most:
            spare = self._spare(link)
            spare.time_out() if spare.reason else spare.end("too-many")
        if len(self._links) > self._most + self._most // 4:  # guards descriptors against ends that wait
            ending = next((other for other in self._links if other.reason and other.open), link)
            ending.abort()

    def _spare(self, newest: ClientLink) -> ClientLink:
        """Whom to close: who sends nothing whole, else who is idle longest, else who is slow."""
        doubtful, idle, slow = clock.steady() - self.bounds.client_grace_ns, None, None
        for link in self._links:
            if link.stalls(doubtful):
                return link
            if link is not newest and not link.reason:
                idle = idle or (link if link.idle else None)
                slow = slow or (link if not link.pending else None)
        return idle or slow or newest

    def rested(self, link: ClientLink) -> None:
        del self._links[link]
        self._links[link] = None

    def read(self, link: ClientLink, request: Request) -> None:
        if not self._fresh:  # the end of its connection, if it is there already, withdraws a request
            clock.once_read(self._loop, self._ripen)
        self._fresh.append((link, request))

    def _ripen(self) -> None:
        self.arrived.extend(self._fresh)
        self._fresh.clear()
        self._wake()

    def closed(self, link: ClientLink, reason: str) -> None:
        self._links.pop(link, None)
        if self._finished and not self._links and not self._finished.done():
            self._finished.set_result(None)
        self._log.say(f"client-end peer={link.peer} reason={reason} requests={link.asked}")

    def close_idle(self, reason: str) -> None:
        """Once what is in the sockets by now has been read: who has asked already gets an answer."""
        clock.once_read(self._loop, self._close_idle, reason)

    def _close_idle(self, reason: str) -> None:
        """Guards who has just come: a new connection that is closed with no answer counts as refused."""
        awaited = self._awaited(clock.steady())
        for link in list(self._links):
            if link.idle and not link.fresh(awaited):
                link.end(reason)

    async def finish(self, span: int) -> None:
        """The process ends: what was read is answered, every link ended and closed by its client, or `span`
        nanoseconds are over."""
        self.closing = True
        self._finished = self._loop.create_future()
        self.close_idle("exit")
        if self._links:
            await asyncio.wait([self._finished], timeout=span / 1e9)
