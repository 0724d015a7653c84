"""One request after the other to the platform, on one link that is dialled anew when it is lost."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from millweir.net import clock
from millweir.net.counters import Counters
from millweir.net.heads import AnswerReader
from millweir.net.links import Link
from millweir.net.log import Log


class Exchange:
    """Asks, and tells what came: the reader of a whole answer, or None where there was none in time.

    At most one request is out.  It ends once: by its answer, by its patience, by a link that can't be had, or
    by `close`; after that whatever still happens on its link or its timer is nobody's.
    """

    __slots__ = (
        "_address",
        "_begun",
        "_counters",
        "_dial_time",
        "_link",
        "_log",
        "_loop",
        "_more",
        "_most",
        "_name",
        "_pieces",
        "_task",
        "_timer",
        "_took",
        "_unread",
        "_waits",
        "host",
    )

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: tuple[str, int],
        name: str,
        most: int,
        more: int,
        dial_time: int,
        took: Callable[[AnswerReader | None], None],
        log: Log,
        counters: Counters,
        unread: Callable[[], None] | None = None,
    ) -> None:
        """`more`: nanoseconds that an answer has to end in which had begun when its patience was over.

        `dial_time`: nanoseconds in which a connection has to come up, however long the patience: the kernel
        repeats a lost SYN after 1, 3, 7 and 15 s, a new dial sends one at once.
        `unread`: told in place of `took` where the peer closed a link at rest just as a request was written
        to it.  Without it the request goes once more on a new link, within the patience that it had.
        """
        self._loop = loop
        self._address = address
        self._name = name
        self._most = most
        self._more = more
        self._dial_time = dial_time / 1e9
        self._took = took
        self._unread = unread
        self._log = log
        self._counters = counters
        self.host = f"{address[0]}:{address[1]}".encode()  # for the heads of requests
        self._link: Link | None = None
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._waits = 0
        self._begun = False  # its patience is over, its answer had begun
        self._pieces: list[bytes] = []

    def ask(self, pieces: list[bytes], patience: int) -> None:
        """Write one request; the patience, in nanoseconds, covers the way there as well."""
        self._begun = False
        self._pieces = pieces
        self._wait(patience)
        if self._link and self._link.open:
            self._link.ask(self, pieces)
        else:
            self._link = None  # what was read on the last one is no part of this answer
            self._task = self._loop.create_task(self._dial())

    async def _dial(self) -> None:
        link = Link(self._loop, self._name, self._most, 0, self._log, self._counters)
        try:
            async with asyncio.timeout(self._dial_time):
                await self._loop.create_connection(lambda: link, *self._address)
        except (OSError, TimeoutError) as fault:
            self._log.say(f"link-end peer={self._name} reason=unconnected {type(fault).__name__}")
            self._tell(None)
            return
        self._link = link
        if link.open:
            link.ask(self, self._pieces)
        else:
            self._tell(None)

    def _wait(self, patience: int) -> None:
        self._waits += 1
        self._timer = self._loop.call_later(
            patience / 1e9, clock.once_read, self._loop, self._give_up, self._waits
        )

    def _give_up(self, wait: int) -> None:
        """What is in the socket by now was read: a process that stood still may find its answer there."""
        if self._timer is None or wait != self._waits:
            return
        if self._link and self._link.reader.begun and not self._begun:
            self._begun = True  # guards long lists that come at the end of a wait
            self._wait(self._more)
            return
        self._drop("silent")
        self._tell(None)

    def answered(self, link: Link) -> None:
        self._tell(link.reader)

    def lost(self, link: Link) -> None:
        if link.asked > 1 and not link.reader.begun:
            # Guards against gaps: the peer's close of a link at rest crossed this request, which goes anew.
            self._link = None
            if self._unread:
                self._stop_timer()
                self._unread()
            else:
                self._task = self._loop.create_task(self._dial())
        else:
            self._tell(None)

    def _tell(self, reader: AnswerReader | None) -> None:
        self._stop_timer()
        self._took(reader)

    def _stop_timer(self) -> None:
        if self._timer:
            self._timer.cancel()
            self._timer = None

    def _drop(self, reason: str) -> None:
        if self._task and not self._task.done():
            self._task.cancel()
        if self._link:
            self._link.close(reason)
            self._link = None

    def close(self, reason: str = "exit") -> None:
        """Forget what was asked."""
        self._stop_timer()
        self._drop(reason)
