"""An event loop in virtual time, and a simulated discovery service on it: deterministic, without waits."""

from __future__ import annotations

import asyncio
import enum
import itertools
import selectors
from collections.abc import Callable

# Seconds after the first SYN at which the kernel sends a lost one again
SYN_REPEATS = (
    1.0,
    3.0,
    7.0,
    15.0,
    31.0,
)


class VirtualTimeSelector(selectors.DefaultSelector):
    """Advances its clock to the loop's next timer instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        events = super().select(0)
        if not events:
            assert timeout is not None, "the loop has nothing to do any more"
            self.now += max(0.0, timeout)
        return events


class VirtualLoop(asyncio.SelectorEventLoop):
    """The standard loop with the selector's time, and connections to the services in `network`."""

    def __init__(self) -> None:
        self._time_selector = VirtualTimeSelector()
        super().__init__(self._time_selector)
        self.network: dict[tuple[str, int], Discovery] = {}

    def time(self) -> float:
        return self._time_selector.now

    async def create_connection(self, protocol_factory, host, port):
        return await self.network[host, port].connect(protocol_factory)


class Fault(enum.Enum):
    """What happens to one connection attempt or request during the outage of discovery."""

    LOST = "the SYN is lost, and so are its repeats until the outage ends"
    REFUSED = "the connection is refused"
    SILENT = "the connection opens, the request is never answered"
    HALF = "half a response is sent, and no more"
    CUT = "half a response is sent, then the connection ends"
    CLOSED = "the connection ends without a response"
    GARBLED = "the response is not a list"
    TURNED_AWAY = "503, and the connection stays"
    TURNED_AWAY_CLOSED = "503, and the connection ends"


class Transport(asyncio.Transport):
    """One connection to the simulated discovery, which answers requests on it or not."""

    def __init__(self, discovery: Discovery, protocol: asyncio.Protocol) -> None:
        super().__init__()
        self._discovery = discovery
        self._protocol = protocol
        self._closed = False
        self.dead = False  # no bytes pass any more, in either direction

    def writelines(self, pieces) -> None:
        if not self.dead and not self._closed:
            self._discovery.handle_request(self, b"".join(pieces))

    def deliver(self, raw: bytes) -> None:
        if not self.dead and not self._closed:
            self._protocol.data_received(raw)

    def close(self) -> None:
        if not self._closed:
            self._closed = True
            self._discovery.loop.call_soon(self._protocol.connection_lost, None)

    def abort(self) -> None:
        self.close()


class Discovery:
    """Discovery with an outage from `fails_at` to `recovers_at`, and a newer list after it.

    During the outage each connection attempt or request meets a drawn fault.
    """

    def __init__(
        self,
        loop: VirtualLoop,
        address: tuple[str, int],
        encode_list: Callable[[int], bytes],
        fails_at: float,
        recovers_at: float,
        draw_fault: Callable[[], Fault],
        latency: float,
        silent_connections: int = 0,
        close_after_response: bool = False,
    ) -> None:
        """`silent_connections`: how many connections still fall silent after the outage.

        `close_after_response`: each response ends its connection; responses in transit when the outage begins
        still arrive.
        """
        self.loop = loop
        self._encode_list = encode_list
        self._draw_fault = draw_fault
        self._latency = latency
        self._fails_at = fails_at
        self._recovers_at = recovers_at
        self._silent_connections = silent_connections
        self._close_after_response = close_after_response
        self._connections: list[Transport] = []
        loop.network[address] = self
        loop.call_at(fails_at, self._close_connections)

    def _close_connections(self) -> None:
        """End every open connection, and so the watch on it."""
        for connection in () if self._close_after_response else self._connections:
            connection.close()

    @property
    def _is_down(self) -> bool:
        return self._fails_at <= self.loop.time() < self._recovers_at

    async def connect(self, protocol_factory):
        began_at, fault = self.loop.time(), self._draw_fault() if self._is_down else None
        if fault is Fault.REFUSED:
            raise ConnectionRefusedError
        if fault is Fault.LOST:
            repeats = iter(SYN_REPEATS)
            while self._is_down:
                await asyncio.sleep(began_at + next(repeats) - self.loop.time())
        await asyncio.sleep(self._latency)
        protocol = protocol_factory()
        connection = Transport(self, protocol)
        self._connections.append(connection)
        protocol.connection_made(connection)
        return connection, protocol

    def handle_request(self, connection: Transport, head: bytes) -> None:
        since, wait = (
            int(part.partition(b"=")[2]) for part in head.split()[1].partition(b"?")[2].split(b"&")
        )
        if self._is_down:
            self._inject_fault(connection, self._draw_fault())
        elif self.loop.time() >= self._recovers_at and self._silent_connections:
            self._silent_connections -= 1
            connection.dead = True
        elif self.loop.time() >= self._recovers_at and since < 9:
            self.loop.call_later(self._latency, self._send_list, connection, 9)
        else:
            self.loop.call_later(max(wait / 1e3, self._latency), self._send_list, connection, since)

    def _send_list(self, connection: Transport, index: int) -> None:
        body, ends = self._encode_list(index), b"Connection: close\r\n" * self._close_after_response
        connection.deliver(b"HTTP/1.1 200 X\r\n%bContent-Length: %d\r\n\r\n%b" % (ends, len(body), body))

    def _inject_fault(self, connection: Transport, fault: Fault) -> None:
        later = self.loop.call_later
        body = self._encode_list(9)
        half = b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body[: len(body) // 2])
        if fault in (Fault.HALF, Fault.CUT):
            later(self._latency, connection.deliver, half)
        if fault in (Fault.CUT, Fault.CLOSED):
            later(2 * self._latency, connection.close)
        elif fault is Fault.GARBLED:
            later(self._latency, connection.deliver, b"HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\n[]")
        elif fault in (Fault.TURNED_AWAY, Fault.TURNED_AWAY_CLOSED):
            ends = b"Connection: close\r\n" * (fault is Fault.TURNED_AWAY_CLOSED)
            later(self._latency, connection.deliver, b"HTTP/1.1 503 X\r\n%bContent-Length: 0\r\n\r\n" % ends)
        else:  # the connection stays silent, also after the outage
            later(2 * self._latency, setattr, connection, "dead", True)


def cycle_faults(faults: tuple[Fault, ...]) -> Callable[[], Fault]:
    """Return a function that returns the faults in turn, endlessly."""
    return itertools.cycle(faults).__next__
