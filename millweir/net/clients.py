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

    __slots__ = ("_door", "_reader", "_transport", "asked", "open", "peer", "pending", "reason")

    def __init__(self, door: ClientDoor) -> None:
        self._door = door
        self._reader = RequestReader(door.head_most)
        self._transport: asyncio.Transport | None = None
        self.pending = 0  # requests read and not answered
        self.asked = 0
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
            return
        if not self._reader.feed(data):
            self._transport.pause_reading()
        for request in self._reader.requests:
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
        self._door.closed(self, self.reason or ("reset" if exc else "client-closed"))

    @property
    def idle(self) -> bool:
        return not self.pending and not self._reader.busy

    def answer(self, request: Request, status: int, body: bytes = b"", wait: int = 0,
               keep: bool = True) -> None:
        """Answer the oldest request read."""
        self.pending -= 1
        if not self.open:
            return
        keep = keep and request.keep
        self._transport.writelines(answer(status, keep, body, wait))
        if not keep:
            self.end("bad-request" if request.fault else "told-close")
        elif self.idle:
            self._door.rested(self)

    def end(self, reason: str, abort: bool = False) -> None:
        if self.open and not self.reason:
            self.reason = reason
            self._transport.abort() if abort else self._transport.close()


class ClientDoor:
    """All client connections, bounded in number, and the requests that wait for their turn."""

    def __init__(self, loop: asyncio.AbstractEventLoop, bounds: Bounds, wake: Callable[[], None], log: Log,
                 counters: Counters) -> None:
        self.head_most = bounds.head_most
        self._most, self._wake, self._log, self._counters = bounds.client_links, wake, log, counters
        self._links: dict[ClientLink, None] = {}  # the one idle longest first
        self._fresh: deque[tuple[ClientLink, Request]] = deque()
        self._loop = loop
        self.arrived: deque[tuple[ClientLink, Request]] = deque()

    def opened(self, link: ClientLink) -> None:
        self._links[link] = None
        self._counters.add("clients_opened")
        if len(self._links) > self._most:
            spare = next((other for other in self._links if other.idle and other is not link), link)
            spare.end("too-many")

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
