"""Notifications to the platform of accepted packets that ended undelivered, resent until it returns 204."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable

from millweir.interface import MILLISECOND, Bounds
from millweir.net import clock
from millweir.net.counters import Counters
from millweir.net.exchange import Exchange
from millweir.net.heads import ResponseReader
from millweir.net.log import Log
from millweir.net.owed_message import OwedMessage

Address = tuple[str, int]


class NotificationSender:
    """Queues notifications and sends them in batches, one request at a time.

    They go to the configured address of the platform.  After a reload named a new one, discovery may still be
    reached at the earlier one alone, as the new one does not answer (yet).  Until it does, requests that fail
    there are repeated at the earlier one: each message gets its final outcome in time (rule 1).  A
    notification that arrives twice does no harm.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Address,
        get_answering_address: Callable[[], Address],
        bounds: Bounds,
        on_acknowledged: Callable[[OwedMessage], None],
        log: Log,
        counters: Counters,
    ) -> None:
        """`get_answering_address`: the address at which discovery has answered last."""
        self._loop = loop
        self._address = address
        self._get_answering_address = get_answering_address
        self._bounds = bounds
        self._on_acknowledged = on_acknowledged
        self._log = log
        self._counters = counters
        self._exchange: Exchange | None = None
        self._exchange_address: Address | None = None
        self._failed_address: Address | None = None  # of the last request that failed
        self._failed_at = 0
        self._waiting: dict[OwedMessage, None] = {}
        self._in_flight: list[OwedMessage] = []
        self._max_batch = bounds.max_notifications_per_request
        self._backing_off = False

    def set_address(self, address: Address) -> None:
        """Send to that address from now on; a batch in flight at the earlier one is sent again there."""
        self._address = address
        self._failed_address = None
        if self._in_flight:
            self._exchange.close("moved")
            self._exchange = None
            self._waiting = dict.fromkeys(self._in_flight) | self._waiting
            self._in_flight = []
        self.send_pending()

    def _choose_address(self) -> Address:
        """The configured address; for a while after a failure there, the one where discovery answers."""
        avoid_until = self._failed_at + self._bounds.retry_interval_ns
        if self._failed_address == self._address and clock.monotonic_ns() < avoid_until:
            return self._get_answering_address()
        return self._address

    def _choose_timeout(self) -> int:
        """Where another address may answer instead, a request is given up in time to be repeated there."""
        if self._get_answering_address() == self._address:
            return self._bounds.retry_interval_ns
        return self._bounds.moved_notification_timeout_ns

    def _prepare_exchange(self) -> Exchange:
        """Return the exchange with the address that is to be used next."""
        address = self._choose_address()
        if self._exchange is None or self._exchange_address != address:
            if self._exchange:
                self._exchange.close("moved")
            self._exchange = self._create_exchange(address)
            self._exchange_address = address
        return self._exchange

    def _create_exchange(self, address: Address) -> Exchange:
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
        exchange = self._prepare_exchange()
        head = b"POST /v1/notices HTTP/1.1\r\nHost: %b\r\n%b" % (exchange.host, length)
        exchange.send_request([head, body], self._choose_timeout())

    def _handle_response(self, reader: ResponseReader | None) -> None:
        batch = self._in_flight
        self._in_flight = []
        if reader is not None and reader.status == 204:
            self._counters.add("notices_sent", len(batch))
            self._max_batch = self._bounds.max_notifications_per_request
            for message in batch:
                self._on_acknowledged(message)
        else:
            self._counters.add("notices_failed", len(batch))
            self._log.info(
                f"notices-failed {len(batch)} status={reader.status if reader else 'none'} "
                f"address={':'.join(map(str, self._exchange_address))}"
            )
            self._failed_address = self._exchange_address
            self._failed_at = clock.monotonic_ns()
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
        if self._exchange:
            self._exchange.close()
