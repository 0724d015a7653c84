"""A link: one connection of this relay's own, on which one request at a time travels."""

from __future__ import annotations

import asyncio
from typing import Protocol

from millweir.net import clock
from millweir.net.counters import Counters
from millweir.net.heads import AnswerReader
from millweir.net.log import Log


class Asker(Protocol):
    """Who waits for the answer on a link."""

    def released(self, link: Link) -> bool:
        """Whether the byte held back may be written."""

    def answered(self, link: Link) -> None:
        """A whole answer came; the link is free for the next request if it is still open."""

    def lost(self, link: Link) -> None:
        """The connection ended, or carried no answer, while one was awaited."""


class Link(asyncio.Protocol):
    """Reads answers; whoever asked hears of each once."""

    __slots__ = (
        "_asker",
        "_counters",
        "_held",
        "_log",
        "_loop",
        "_peer",
        "_reason",
        "_time",
        "_timer",
        "_transport",
        "asked",
        "idle_since",
        "open",
        "reader",
        "spoilt",
        "when_closed",
    )

    def __init__(
        self, loop: asyncio.AbstractEventLoop, peer: str, most: int, time: int, log: Log, counters: Counters
    ) -> None:
        """`time`: how long an answer may take from its first bytes to its last, 0 for any time."""
        self._loop = loop
        self._time = time
        self._timer: asyncio.TimerHandle | None = None
        self._held = b""
        self._peer = peer
        self._log = log
        self._counters = counters
        self._asker: Asker | None = None
        self._transport: asyncio.Transport | None = None
        self._reason = ""
        self.reader = AnswerReader(most)
        self.asked = 0
        self.idle_since = clock.steady()
        self.open = False
        self.spoilt = False  # what came is no answer, or no end of one
        self.when_closed = None  # told when an idle link ends

    def ask(self, asker: Asker, pieces: list[bytes], hold: int = 0) -> None:
        """Write one request with a gathered write.

        `hold`: its last byte waits so long, until the asker says that it may go.  Guards single-use packets
        against links that the other end has just closed: without that byte a call is sure never to have run.
        """
        self._asker = asker
        self.asked += 1
        self.reader.reset()
        if hold:
            *pieces, last = (piece for piece in pieces if piece)
            self._transport.writelines([*pieces, last[:-1]])
            self._held = last[-1:]
            self._loop.call_later(hold / 1e9, clock.once_read, self._loop, self._release, asker)
        else:
            self._transport.writelines(pieces)

    def _release(self, asker: Asker) -> None:
        if self._asker is asker and self._held and asker.released(self):
            self._transport.write(self._held)
            self._held = b""

    def close(self, reason: str, abort: bool = False) -> None:
        """End the connection at once; nobody hears of it any more."""
        self._asker = None
        self._end(reason, abort)

    def _end(self, reason: str, abort: bool = False) -> None:
        self._stop_timer()
        if self.open:
            self.open = False
            self._reason = reason
            self._transport.abort() if abort else self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport
        self.open = True
        self._counters.add("links_opened")

    def data_received(self, data: bytes) -> None:
        if not self.open:
            return
        fine = self.reader.feed(data)
        if self._asker is None:
            self._end("unasked")  # an answer that nobody asked for: whatever comes next can't be trusted
            if self.when_closed:
                self.when_closed(self)
        elif self.reader.complete:
            self._finish()
        elif not fine:
            self._fail("garbled")
        elif not self.reader.begun:
            self._stop_timer()  # only words on the way so far
        elif self._time and not self._timer:
            self._timer = self._loop.call_later(self._time / 1e9, clock.once_read, self._loop, self._stall)

    def _stall(self) -> None:
        """Guards slots and memory against an answer that has begun and does not end."""
        if self._timer and self._asker:
            self._fail("endless")

    def _stop_timer(self) -> None:
        if self._timer:
            self._timer.cancel()
            self._timer = None

    def _finish(self) -> None:
        self._stop_timer()
        asker = self._asker
        self._asker = None
        self.idle_since = clock.steady()
        if not self.reader.keep or self._held:
            self._end("told-close")
        asker.answered(self)

    def _fail(self, reason: str) -> None:
        asker = self._asker
        self._asker = None
        self.spoilt = self.open
        self._end(reason)
        if asker:
            asker.lost(self)

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        reason = self._reason or ("reset" if exc else "peer-closed")
        was_open = self.open
        self.open = False
        self._log.say(f"link-end peer={self._peer} reason={reason} requests={self.asked}")
        if self._asker is not None:
            self.reader.end()
            if self.reader.complete:
                self._finish()
            else:
                self._fail(reason)
        elif was_open and self.when_closed:
            self.when_closed(self)
        self.reader.close()
