"""A loop on a clock of its own, and a discovery in memory on it: hours pass without a wait, always alike."""

from __future__ import annotations

import asyncio
import enum
import itertools
import selectors
from collections.abc import Callable

SYN_REPEATS = (
    1.0,
    3.0,
    7.0,
    15.0,
    31.0,
)  # seconds after the first at which the kernel sends a lost SYN again


class Jumping(selectors.DefaultSelector):
    """Nothing is waited for: the clock goes on to when the loop would have woken."""

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
    """The standard loop, but that its time is the selector's and its connections are the given network's."""

    def __init__(self) -> None:
        self._jumping = Jumping()
        super().__init__(self._jumping)
        self.network: dict[tuple[str, int], Discovery] = {}

    def time(self) -> float:
        return self._jumping.now

    async def create_connection(self, protocol_factory, host, port):
        return await self.network[host, port].connect(protocol_factory)


class Fault(enum.Enum):
    """What becomes of one dial or call while discovery can't be reached."""

    LOST = "the SYN is lost, and so are its repeats until discovery can be reached"
    REFUSED = "the dial is refused"
    SILENT = "the connection comes up, the call is never answered"
    HALF = "half an answer comes, and no more"
    CUT = "half an answer comes, then the connection ends"
    CLOSED = "the connection ends with no answer"
    GARBLED = "the answer is no list"
    TURNED_AWAY = "503, and the connection stays"
    TURNED_AWAY_CLOSED = "503, and the connection ends"


class Transport(asyncio.Transport):
    """One connection to the discovery in memory; what was asked on it is answered or not."""

    def __init__(self, discovery: Discovery, protocol: asyncio.Protocol) -> None:
        super().__init__()
        self._discovery = discovery
        self._protocol = protocol
        self._closed = False
        self.dead = False  # nothing comes through any more, either way

    def writelines(self, pieces) -> None:
        if not self.dead and not self._closed:
            self._discovery.asked(self, b"".join(pieces))

    def say(self, raw: bytes) -> None:
        if not self.dead and not self._closed:
            self._protocol.data_received(raw)

    def close(self) -> None:
        if not self._closed:
            self._closed = True
            self._discovery.loop.call_soon(self._protocol.connection_lost, None)

    def abort(self) -> None:
        self.close()


class Discovery:
    """Has news from `returns` on; from `leaves` until then each dial or call meets a fault."""

    def __init__(
        self,
        loop: VirtualLoop,
        address: tuple[str, int],
        listed: Callable[[int], bytes],
        leaves: float,
        returns: float,
        draw: Callable[[], Fault],
        latency: float,
        silent_links: int = 0,
        closing: bool = False,
    ) -> None:
        """`silent_links`: how many connections still fall silent after its return.

        `closing`: each answer ends its connection, and what is on its way when it leaves still comes.
        """
        self.loop = loop
        self._listed = listed
        self._draw = draw
        self._latency = latency
        self._leaves = leaves
        self._returns = returns
        self._silent_links = silent_links
        self._closing = closing
        self._links: list[Transport] = []
        loop.network[address] = self
        loop.call_at(leaves, self._leave)

    def _leave(self) -> None:
        """Every open connection ends: each watch on it has failed."""
        for link in () if self._closing else self._links:
            link.close()

    @property
    def _out(self) -> bool:
        return self._leaves <= self.loop.time() < self._returns

    async def connect(self, protocol_factory):
        begun, fault = self.loop.time(), self._draw() if self._out else None
        if fault is Fault.REFUSED:
            raise ConnectionRefusedError
        if fault is Fault.LOST:
            repeats = iter(SYN_REPEATS)
            while self._out:
                await asyncio.sleep(begun + next(repeats) - self.loop.time())
        await asyncio.sleep(self._latency)
        protocol = protocol_factory()
        link = Transport(self, protocol)
        self._links.append(link)
        protocol.connection_made(link)
        return link, protocol

    def asked(self, link: Transport, head: bytes) -> None:
        since, wait = (
            int(part.partition(b"=")[2]) for part in head.split()[1].partition(b"?")[2].split(b"&")
        )
        if self._out:
            self._fail(link, self._draw())
        elif self.loop.time() >= self._returns and self._silent_links:
            self._silent_links -= 1
            link.dead = True
        elif self.loop.time() >= self._returns and since < 9:
            self.loop.call_later(self._latency, self._tell, link, 9)
        else:
            self.loop.call_later(max(wait / 1e3, self._latency), self._tell, link, since)

    def _tell(self, link: Transport, index: int) -> None:
        body, ends = self._listed(index), b"Connection: close\r\n" * self._closing
        link.say(b"HTTP/1.1 200 X\r\n%bContent-Length: %d\r\n\r\n%b" % (ends, len(body), body))

    def _fail(self, link: Transport, fault: Fault) -> None:
        later = self.loop.call_later
        body = self._listed(9)
        half = b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body[: len(body) // 2])
        if fault in (Fault.HALF, Fault.CUT):
            later(self._latency, link.say, half)
        if fault in (Fault.CUT, Fault.CLOSED):
            later(2 * self._latency, link.close)
        elif fault is Fault.GARBLED:
            later(self._latency, link.say, b"HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\n[]")
        elif fault in (Fault.TURNED_AWAY, Fault.TURNED_AWAY_CLOSED):
            ends = b"Connection: close\r\n" * (fault is Fault.TURNED_AWAY_CLOSED)
            later(self._latency, link.say, b"HTTP/1.1 503 X\r\n%bContent-Length: 0\r\n\r\n" % ends)
        else:  # nothing more comes on it, also once discovery is back
            later(2 * self._latency, setattr, link, "dead", True)


def cycled(faults: tuple[Fault, ...]) -> Callable[[], Fault]:
    """Draw them in turn, over and over."""
    return itertools.cycle(faults).__next__
