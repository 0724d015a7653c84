"""Notifications to the platform of accepted packets that ended undelivered, resent until it returns 204."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable

from millweir.interface import MILLISECOND, Bounds
from millweir.net.counters import Counters
from millweir.net.exchange import Exchange
from millweir.net.heads import ResponseReader
from millweir.net.journal import OwedMessage
from millweir.net.log import Log


class NotificationSender:
    """Queues notifications and sends them in batches, one request at a time."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: tuple[str, int],
        bounds: Bounds,
        on_acknowledged: Callable[[OwedMessage], None],
        log: Log,
        counters: Counters,
    ) -> None:
        self._loop = loop
        self._bounds = bounds
        self._on_acknowledged = on_acknowledged
        self._log = log
        self._counters = counters
        self._exchange = self._create_exchange(address)
        self._next_exchange: Exchange | None = None  # replaces it after the response in flight
        self._waiting: dict[OwedMessage, None] = {}
        self._in_flight: list[OwedMessage] = []
        self._max_batch = bounds.max_notifications_per_request
        self._backing_off = False

    def set_address(self, address: tuple[str, int]) -> None:
        """Send to that address from now on; a batch in flight is acknowledged at the old one or resent."""
        self._next_exchange = self._create_exchange(address)
        if not self._in_flight:
            self._switch_exchange()

    def _create_exchange(self, address: tuple[str, int]) -> Exchange:
        max_response_bytes, resend_time = self._bounds.max_answer_bytes, self._bounds.retry_interval_ns
        return Exchange(
            self._loop,
            address,
            "notices",
            max_response_bytes,
            resend_time,
            resend_time,
            self._handle_response,
            self._log,
            self._counters,
            single_use=True,  # a copied 204 would lose the notifications of the next request
        )

    def _switch_exchange(self) -> None:
        if self._next_exchange:
            self._exchange.close("moved")
            self._exchange = self._next_exchange
            self._next_exchange = None

    @property
    def busy(self) -> bool:
        return bool(self._waiting or self._in_flight)

    def add(self, message: OwedMessage) -> None:
        self._waiting[message] = None

    def send_pending(self) -> None:
        """Send the next batch, unless one is in flight or the last one failed a moment ago."""
        if self._in_flight or self._backing_off or not self._waiting:
            return
        self._in_flight = list(self._waiting)[: self._max_batch]
        lines = []
        for message in self._in_flight:
            del self._waiting[message]
            again, wait = message.given_up
            line = {"ref": message.id.decode(), "result": "bounced" if again else "dead"}
            if again and wait:
                line["wait_ms"] = -(-wait // MILLISECOND)
            lines.append(json.dumps(line, separators=(",", ":")) + "\n")
        body = "".join(lines).encode()
        length = b"Content-Length: %d\r\n\r\n" % len(body)
        head = b"POST /v1/notices HTTP/1.1\r\nHost: %b\r\n%b" % (self._exchange.host, length)
        self._exchange.send_request([head, body], self._bounds.retry_interval_ns)

    def _handle_response(self, reader: ResponseReader | None) -> None:
        batch = self._in_flight
        self._in_flight = []
        self._switch_exchange()
        if reader is not None and reader.status == 204:
            self._counters.add("notices_sent", len(batch))
            self._max_batch = self._bounds.max_notifications_per_request
            for message in batch:
                self._on_acknowledged(message)
        else:
            self._counters.add("notices_failed", len(batch))
            self._log.info(f"notices-failed {len(batch)} status={reader.status if reader else 'none'}")
            self._waiting.update(dict.fromkeys(batch))  # last, so that one invalid entry blocks no others
            self._max_batch = 1 if reader else self._bounds.max_notifications_per_request
            self._backing_off = True
            self._loop.call_later(self._bounds.reconnect_delay_ns / 1e9, self._end_back_off)
            return
        self.send_pending()

    def _end_back_off(self) -> None:
        self._backing_off = False
        self.send_pending()

    def close(self) -> None:
        self._exchange.close()
