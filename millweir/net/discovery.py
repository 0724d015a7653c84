"""Watches discovery for the list of hosts: one request follows the other, so that the watch never lapses."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from millweir.answers.policy import Belief, judge_host_list
from millweir.interface import MILLISECOND, Bounds, Change, Entry, Phase, Settings
from millweir.net.address_owners import ListedHost
from millweir.net.config import Misconfigured, read_address
from millweir.net.counters import Counters
from millweir.net.exchange import Exchange
from millweir.net.heads import ResponseReader, parse_number
from millweir.net.log import Log

MAX_HASTY_ANSWERS = 2  # such as a short first request to an address, and a copy of an answer
PHASE_BY_STATUS = {"SERVING": Phase.READY, "DRAINING": Phase.DRAINING, "DELETED": Phase.GONE}


class InvalidHostList(Exception):
    """A document that is no valid host list; the text says why."""


@dataclass(frozen=True, slots=True)
class HostListUpdate:
    """A decoded host list: its version, whether it is the full list, its hosts, and the removed ones."""

    version: int
    is_full: bool
    hosts: dict[str, ListedHost]
    removed: dict[str, Entry]

    @property
    def entries(self) -> tuple[Entry, ...]:
        """All entries, those of removed hosts last."""
        return (*(host.entry for host in self.hosts.values()), *self.removed.values())


def _read_start_time(row: dict[str, Any]) -> int:
    """The time at which a host last started, Unix time in milliseconds; 0 where it is not given."""
    started_at = row.get("since_ms")
    return started_at if isinstance(started_at, int) and started_at > 0 else 0


def decode_host_list(document: Any, settings: Settings) -> HostListUpdate:
    """Decode a list in discovery's format; InvalidHostList where any part of it is invalid."""
    try:
        hosts: dict[str, ListedHost] = {}
        removed: dict[str, Entry] = {}
        for row in document["endpoints"]:
            name, phase = row["name"], PHASE_BY_STATUS[row["status"]]
            if not isinstance(name, str) or not name:
                raise InvalidHostList(f"an entry with the name {name!r}")
            zone, kind = row.get("zone", ""), row.get("type", "")
            entry = Entry(
                host=name.encode(),
                zone=settings.zones.index(zone) if zone in settings.zones else len(settings.zones),
                kind=settings.kinds.index(kind) if kind in settings.kinds else len(settings.kinds),
                destination=int(row.get("group", -1)),
                phase=phase,
                rate=parse_number(row.get("weight", 0.0)),
            )
            hosts.pop(name, None)  # of several entries for a host, the last one counts
            removed.pop(name, None)
            if phase is Phase.GONE:
                removed[name] = entry
            else:
                address = read_address(row["address"], f"address of {name}")
                hosts[name] = ListedHost(entry, address, _read_start_time(row))
        return HostListUpdate(
            int(document["index"]),
            bool(document.get("snapshot", False)),
            hosts,
            removed,
        )
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError, Misconfigured) as error:
        raise InvalidHostList(repr(error)) from error


@dataclass(frozen=True, slots=True)
class PollTimeouts:
    """Times of one request, in nanoseconds.

    `server_wait`: how long discovery may wait for an update; `response`: how long the relay waits for it.
    """

    server_wait: int
    response: int


def choose_poll_timeouts(
    bounds: Bounds, proven: bool, failures: int, unread: bool, back_off: int | None = None
) -> PollTimeouts:
    """Choose the timeouts of the next request to an address: only a request after a list is a long watch.

    `back_off`: how long the relay backed off after it was turned away, None where it was not turned away.
    What remains of the longest back-off is spent waiting for updates, so that an overloaded discovery is
    asked as seldom as the bound allows.  The whole duration of such a request (timeout, half a response,
    retry pause) is no longer than the longest back-off.
    """
    if not proven:
        return PollTimeouts(
            MILLISECOND, bounds.probe_timeouts_ns[min(failures, len(bounds.probe_timeouts_ns) - 1)]
        )
    if not failures and not unread:
        return PollTimeouts(bounds.watch_wait_ns, bounds.watch_timeout_ns)
    transfer_time = bounds.watch_timeout_ns - bounds.watch_wait_ns
    request_duration = bounds.probe_timeouts_ns[-1] + bounds.retry_interval_ns + bounds.reconnect_delay_ns
    unused_back_off = (
        0 if back_off is None else max(0, bounds.max_discovery_back_off_ns - max(back_off, request_duration))
    )
    server_wait = min(bounds.watch_wait_ns, bounds.probe_timeouts_ns[-1] - transfer_time + unused_back_off)
    return PollTimeouts(server_wait, server_wait + transfer_time)


def compute_retry_pause(bounds: Bounds, failures: int, elapsed: int) -> int:
    """The pause before a request that got no list is repeated; the time it took is part of the pause."""
    return max(
        bounds.reconnect_delay_ns,
        min(bounds.reconnect_delay_ns << min(failures - 1, 8), bounds.retry_interval_ns) - elapsed,
    )


def compute_update_delay_bound(bounds: Bounds, longest_back_off: int, silent_connections: int = 0) -> int:
    """The longest time from a change that discovery, being reachable, holds to the request that receives it.

    It holds after any request that failed, was turned away or was given up.  In progress at first may be
    the back-off after a request that was turned away, the pause after one that failed, or a request that
    was sent just before and is never answered: its timeout, more time if half of its response had arrived,
    and the pause.  Each of `silent_connections` is a connection that falls silent although discovery can
    be reached; a back-off and the longer wait after it share the longest back-off, so that a silent
    connection costs no more there.
    """
    retry_timeout = choose_poll_timeouts(bounds, proven=True, failures=1, unread=False).response
    timeout = max(retry_timeout, *bounds.probe_timeouts_ns)
    longest_timeout = choose_poll_timeouts(bounds, proven=True, failures=1, unread=False, back_off=0).response
    in_progress = max(
        longest_back_off,
        bounds.retry_interval_ns,
        max(timeout, longest_timeout) + bounds.retry_interval_ns + bounds.reconnect_delay_ns,
    )
    return in_progress + silent_connections * (timeout + bounds.reconnect_delay_ns)


class DiscoveryPoller:
    """Polls one address of discovery, again as soon as it has answered.

    An address is proven from its first response on, even one that turns the relay away, until it fails to
    answer.  After a list, a proven address is asked to wait long for updates.  After anything else the
    wait is short: a silent connection can't be told from a list without updates, and what the relay misses
    counts as received 6 s after discovery could be reached (`compute_update_delay_bound`,
    docs/design/crossings.md).
    """

    __slots__ = (
        "_asked_at",
        "_asked_since",
        "_back_off",
        "_exchange",
        "_failures",
        "_hasty_answers",
        "_loop",
        "_server_wait",
        "_watch",
        "address",
        "closed",
        "proven",
    )

    def __init__(
        self,
        watch: DiscoveryWatch,
        loop: asyncio.AbstractEventLoop,
        address: tuple[str, int],
        max_list_bytes: int,
        log: Log,
        counters: Counters,
    ) -> None:
        self._watch, self._loop = watch, loop
        transfer_grace, dial_time = watch.bounds.retry_interval_ns, watch.bounds.probe_timeouts_ns[0]
        self._exchange = Exchange(
            loop,
            address,
            "discovery",
            max_list_bytes,
            transfer_grace,
            dial_time,
            self._on_response,
            log,
            counters,
            self._poll_unread,
        )
        self.address = address
        self.proven = self.closed = False
        self._failures, self._asked_at = 0, loop.time()
        self._hasty_answers = 0  # in a row, with nothing new
        self._asked_since, self._server_wait = -1, 0  # of the pending request
        self._back_off: int | None = None  # before the pending request, where the last one was turned away

    def poll(self, unread: bool = False) -> None:
        """Request the next update.  `unread`: repeated, as the last request found its connection closed."""
        if not self.closed:
            timeouts = choose_poll_timeouts(
                self._watch.bounds, self.proven, self._failures, unread, self._back_off
            )
            self._back_off = None
            query = self._watch.build_query(timeouts.server_wait)
            head = b"GET /v1/endpoints%b HTTP/1.1\r\nHost: %b\r\n\r\n" % (query, self._exchange.host)
            self._asked_at = self._loop.time()
            self._asked_since, self._server_wait = self._watch.version, timeouts.server_wait
            self._exchange.send_request([head], timeouts.response)

    def judge(self, update: HostListUpdate) -> Belief:
        """Judge whether a list answers the last request, or an earlier one on the connection."""
        return judge_host_list(
            self._exchange.call_number,
            self._asked_since,
            update.version,
            int((self._loop.time() - self._asked_at) * 1e9),
            self._server_wait,
        )

    def drop_connection(self, reason: str) -> None:
        """Make the next request on a new connection."""
        self._exchange.drop_connection(reason)

    def _poll_unread(self) -> None:
        self.poll(unread=True)

    def _on_response(self, reader: ResponseReader | None) -> None:
        if self._watch.handle_response(self, reader):
            self._failures = 0
            self._poll_after_answer()
        else:
            # Turned away, the poller backs off as the engine draws it and then asks with a longer wait, as
            # discovery is overloaded.  Else it retries soon: what discovery learns meanwhile binds at once.
            self._failures += 1
            self.proven = reader is not None and reader.status != 200
            elapsed = int((self._loop.time() - self._asked_at) * 1e9)
            retry_pause = compute_retry_pause(self._watch.bounds, self._failures, elapsed)
            pause = self._watch.draw_back_off(self._failures) if self.proven else retry_pause
            self._back_off = pause if self.proven else None
            self._loop.call_later(pause / 1e9, self.poll)

    def _poll_after_answer(self) -> None:
        """Ask again at once, unless discovery answers without news and without a wait, again and again."""
        reconnect_delay = self._watch.bounds.reconnect_delay_ns / 1e9
        is_new = self._watch.version != self._asked_since
        is_hasty = not is_new and self._loop.time() - self._asked_at < reconnect_delay
        self._hasty_answers = self._hasty_answers + 1 if is_hasty else 0
        if self._hasty_answers > MAX_HASTY_ANSWERS:
            self._loop.call_later(reconnect_delay, self.poll)
        else:
            self.poll()

    def close(self) -> None:
        self.closed = True
        self._exchange.close("moved")


class DiscoveryWatch:
    """Keeps polling for versions newer than the current one, which stays while discovery is silent."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: tuple[str, int],
        settings: Settings,
        bounds: Bounds,
        version: int,
        on_update: Callable[[Change, HostListUpdate], None],
        draw_back_off: Callable[[int], int],
        log: Log,
        counters: Counters,
    ) -> None:
        """`draw_back_off`: how long to wait before asking again after a number of consecutive failures."""
        self._loop, self._settings, self.bounds, self.draw_back_off = loop, settings, bounds, draw_back_off
        self.version, self._on_update, self._log, self._counters = version, on_update, log, counters
        self._pollers: list[DiscoveryPoller] = []  # the one in use first, then the one that is to replace it
        self.change_address(address)

    def change_address(self, address: tuple[str, int]) -> None:
        """Poll a new address from now on.

        The address in use is polled until the new one answers, so that no update is missed in between.
        """
        for poller in self._pollers[1:]:
            poller.close()
        del self._pollers[1:]
        self._pollers.append(
            DiscoveryPoller(self, self._loop, address, self.bounds.max_list_bytes, self._log, self._counters)
        )
        self._loop.call_soon(self._pollers[-1].poll)

    @property
    def answering_address(self) -> tuple[str, int]:
        """The address that was the last one to answer with a list; the first one until any has."""
        return self._pollers[0].address

    def build_query(self, server_wait: int) -> bytes:
        """The query string; without a known version it asks for the full list, which never waits."""
        return (
            b"?since=%d&timeout_ms=%d" % (self.version, server_wait // MILLISECOND)
            if self.version >= 0
            else b""
        )

    def handle_response(self, poller: DiscoveryPoller, reader: ResponseReader | None) -> bool:
        """Apply a response, unless it is one to an earlier request; False where it holds no valid list."""
        try:
            if reader is None or reader.status != 200:
                raise InvalidHostList("no answer" if reader is None else f"status {reader.status}")
            update = decode_host_list(json.loads(reader.body), self._settings)
        except (InvalidHostList, ValueError, RecursionError) as error:
            self._counters.add("list_failures")
            self._log.info(f"list-failed {str(error)[:200]}")
            if reader is not None and reader.status == 200:
                poller.drop_connection("unusable-answer")  # what follows on it may be out of step
            return False
        if poller.judge(update) is Belief.REFUTED:
            self._counters.add("answers_refuted")
            self._log.info(f"answer-refuted peer=discovery reason=version version={update.version}")
            poller.drop_connection("out-of-step")
            return True
        poller.proven = True
        if update.version < self.version and not update.is_full:
            # An agent that started again counts anew: its changes say nothing of the list known here.
            self._log.info(f"list-older version={update.version} known={self.version}")
            self.version = -1
            return True
        while self._pollers[0] is not poller and poller in self._pollers:
            self._pollers.pop(0).close()
        self.version = update.version
        self._counters.add("lists_told")
        self._on_update(Change.FULL if update.is_full else Change.DELTA, update)  # also without any change
        return True

    def close(self) -> None:
        for poller in self._pollers:
            poller.close()
