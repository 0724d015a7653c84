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


class ClientLink(asyncio.Protocol):
    """One client's connection."""

    __slots__ = ("_door", "_reader", "_transport", "_unread", "asked", "begun", "open", "peer", "pending",
                 "reason")

    def __init__(self, door: ClientDoor) -> None:
        self._door = door
        self._reader = RequestReader(door.bounds.head_most, door.bounds.body_most)
        self._unread = 0  # bytes thrown away since the last answer
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
        self._door.opened(self)

    def data_received(self, data: bytes) -> None:
        if self.reason:
            self._unread += len(data)
            if self._unread > self._door.bounds.body_most:
                self._transport.abort()
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
            self._door.read(self, request)
        self._reader.requests.clear()

    def eof_received(self) -> bool:
        self.reason = self.reason or "client-closed"
        return False

    def pause_writing(self) -> None:
        self.end("client-stuck", abort=True)

    def connection_lost(self, exc: Exception | None) -> None:
        self.open = False
        self._reader.close()
        self._door.closed(self, self.reason or ("reset" if exc else "client-closed"))

    @property
    def idle(self) -> bool:
        return not self.pending and not self._reader.busy

    def stalls(self, since: int) -> bool:
        """Since then nothing was ever asked, or a request is there in part, or its end has begun."""
        awaited = not self.asked or self._reader.busy or bool(self.reason)
        return awaited and not self.pending and self.begun <= since

    def time_out(self) -> None:
        """No whole request came in time, or the other end does not close."""
        if self.reason:
            self._transport.abort()
        elif self._reader.busy:
            self._transport.writelines(answer(408, False))
            self.end("slow-request")
        else:
            self.end("silent")

    def answer(self, request: Request, status: int, body: bytes = b"", wait: int = 0,
               keep: bool = True) -> None:
        """Answer the oldest request read."""
        self.pending -= 1
        if not self.open:
            return
        keep = keep and request.keep and not self._door.closing  # a drain: each link ends after its answer
        self._transport.writelines(answer(status, keep, body, wait))
        if not keep:
            self.end("bad-request" if request.fault else "told-close", linger=bool(request.fault))
        elif self.idle:
            self._door.rested(self)

    def end(self, reason: str, abort: bool = False, linger: bool = False) -> None:
        """`linger`: what is still coming is thrown away for a moment, lest it take the answer with it."""
        if not self.open or self.reason:
            return
        self.reason, self.begun = reason, clock.steady()
        if abort:
            self._transport.abort()
        elif linger:
            self._transport.write_eof()
            self._transport.resume_reading()
        else:
            self._transport.close()


class ClientDoor:
    """All client connections, bounded in number, and the requests that wait for their turn."""

    def __init__(self, loop: asyncio.AbstractEventLoop, bounds: Bounds, wake: Callable[[], None], log: Log,
                 counters: Counters) -> None:
        self.bounds = bounds
        self._most, self._wake, self._log, self._counters = bounds.client_links, wake, log, counters
        self._links: dict[ClientLink, None] = {}  # the one idle longest first
        self._fresh: deque[tuple[ClientLink, Request]] = deque()
        self._loop = loop
        self.closing = False  # drained: links are closed once idle
        self.arrived: deque[tuple[ClientLink, Request]] = deque()
        self._sweep()

    def _sweep(self) -> None:
        """Guards the door against those who connect and never ask, or never finish asking, or never close."""
        now = clock.steady()
        for link in list(self._links):
            fresh = not link.asked and link.begun > now - 2 * self.bounds.doubtful  # its request may come
            if self.closing and link.idle and not link.reason and not fresh:
                link.end("quiesced")
            elif link.stalls(now - (self.bounds.doubtful if link.reason else self.bounds.request)):
                link.time_out()
        self._loop.call_later(self.bounds.doubtful / 2e9, self._sweep)

    def opened(self, link: ClientLink) -> None:
        self._links[link] = None
        self._counters.add("clients_opened")
        if len(self._links) > self._most:
            spare = self._spare(link)
            spare.time_out() if spare.reason else spare.end("too-many")

    def _spare(self, newest: ClientLink) -> ClientLink:
        """Whom to close: who keeps the door busy with nothing, else who is idle longest, else who is slow."""
        doubtful, idle, slow = clock.steady() - self.bounds.doubtful, None, None
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
        self._log.say(f"client-end peer={link.peer} reason={reason} requests={link.asked}")

    def close_idle(self, reason: str) -> None:
        for link in list(self._links):
            if link.idle:
                link.end(reason)
