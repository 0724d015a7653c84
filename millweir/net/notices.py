"""Notices to the platform of packets taken on that ended undelivered, resent until it says 204."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable

from millweir.interface import MILLISECOND, Bounds
from millweir.net.counters import Counters
from millweir.net.exchange import Exchange
from millweir.net.heads import AnswerReader
from millweir.net.journal import OwedMessage
from millweir.net.log import Log


class Notices:
    """Holds what the platform has yet to be told."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: tuple[str, int],
        bounds: Bounds,
        done: Callable[[OwedMessage], None],
        log: Log,
        counters: Counters,
    ) -> None:
        self._loop = loop
        self._bounds = bounds
        self._done = done
        self._log = log
        self._counters = counters
        self._exchange = self._to(address)
        self._next: Exchange | None = None  # takes its place once what is out has its answer
        self._waiting: dict[OwedMessage, None] = {}
        self._sent: list[OwedMessage] = []
        self._most = bounds.max_notifications_per_request
        self._resting = False

    def move(self, address: tuple[str, int]) -> None:
        """Send to that address from now on; what is out at the old one is answered there or sent again."""
        self._next = self._to(address)
        if not self._sent:
            self._change_over()

    def _to(self, address: tuple[str, int]) -> Exchange:
        most, more = self._bounds.max_answer_bytes, self._bounds.retry_interval_ns
        return Exchange(
            self._loop, address, "notices", most, more, more, self._took, self._log, self._counters
        )

    def _change_over(self) -> None:
        if self._next:
            self._exchange.close("moved")
            self._exchange = self._next
            self._next = None

    @property
    def busy(self) -> bool:
        return bool(self._waiting or self._sent)

    def add(self, message: OwedMessage) -> None:
        self._waiting[message] = None

    def send(self) -> None:
        """Send what waits, unless a request is out or the last one failed a moment ago."""
        if self._sent or self._resting or not self._waiting:
            return
        self._sent = list(self._waiting)[: self._most]
        lines = []
        for message in self._sent:
            del self._waiting[message]
            again, wait = message.given_up
            line = {"ref": message.id.decode(), "result": "bounced" if again else "dead"}
            if again and wait:
                line["wait_ms"] = -(-wait // MILLISECOND)
            lines.append(json.dumps(line, separators=(",", ":")) + "\n")
        body = "".join(lines).encode()
        length = b"Content-Length: %d\r\n\r\n" % len(body)
        head = b"POST /v1/notices HTTP/1.1\r\nHost: %b\r\n%b" % (self._exchange.host, length)
        self._exchange.ask([head, body], self._bounds.retry_interval_ns)

    def _took(self, reader: AnswerReader | None) -> None:
        sent = self._sent
        self._sent = []
        self._change_over()
        if reader is not None and reader.status == 204:
            self._counters.add("notices_sent", len(sent))
            self._most = self._bounds.max_notifications_per_request
            for message in sent:
                self._done(message)
        else:
            self._counters.add("notices_failed", len(sent))
            self._log.say(f"notices-failed {len(sent)} status={reader.status if reader else 'none'}")
            self._waiting.update(dict.fromkeys(sent))  # behind the others, lest an unreadable one stop them
            self._most = 1 if reader else self._bounds.max_notifications_per_request
            self._resting = True
            self._loop.call_later(self._bounds.reconnect_delay_ns / 1e9, self._rested)
            return
        self.send()

    def _rested(self) -> None:
        self._resting = False
        self.send()

    def close(self) -> None:
        self._exchange.close()
