"""The watch on the list of hosts: one call after the other, so that no gap lets it lapse."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from millweir.interface import MILLISECOND, Bounds, Change, Entry, Phase, Settings
from millweir.net.config import Misconfigured, read_address
from millweir.net.counters import Counters
from millweir.net.exchange import Exchange
from millweir.net.heads import ResponseReader, parse_number
from millweir.net.log import Log

PHASES = {"SERVING": Phase.READY, "DRAINING": Phase.DRAINING, "DELETED": Phase.GONE}


class Garbled(Exception):
    """What was read is no list."""


@dataclass(frozen=True, slots=True)
class News:
    """A list as told: the version, whether it is whole, and the hosts with where they are."""

    index: int
    whole: bool
    entries: tuple[Entry, ...]
    addresses: dict[str, tuple[str, int]]
    gone: list[str]


def read_list(given: Any, settings: Settings) -> News:
    """Read a list in discovery's form, all of it or nothing."""
    try:
        entries, addresses, gone = [], {}, []
        for row in given["endpoints"]:
            name, phase = row["name"], PHASES[row["status"]]
            if not isinstance(name, str) or not name:
                raise Garbled(f"an entry with the name {name!r}")
            if phase is not Phase.GONE:
                addresses[name] = read_address(row["address"], f"address of {name}")
            else:
                gone.append(name)
            zone, kind = row.get("zone", ""), row.get("type", "")
            entries.append(
                Entry(
                    host=name.encode(),
                    zone=settings.zones.index(zone) if zone in settings.zones else len(settings.zones),
                    kind=settings.kinds.index(kind) if kind in settings.kinds else len(settings.kinds),
                    destination=int(row.get("group", -1)),
                    phase=phase,
                    rate=parse_number(row.get("weight", 0.0)),
                )
            )
        return News(int(given["index"]), bool(given.get("snapshot", False)), tuple(entries), addresses, gone)
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError, Misconfigured) as fault:
        raise Garbled(repr(fault)) from fault


@dataclass(frozen=True, slots=True)
class Patience:
    """What one call asks for, in nanoseconds: how long discovery may wait for news, and the relay for it."""

    wait: int
    silence: int


def patience_after(
    bounds: Bounds, proven: bool, failures: int, unread: bool, rested: int | None = None
) -> Patience:
    """The patience of the next call to an address: only what follows a list is a long watch.

    `rested`: how long the relay has rested after it was turned away, None where it was not.  What is left of
    the longest rest is waited for news: an overbooked discovery is asked as seldom as the bound allows.  The
    whole course of such a call (patience, half an answer, the pause) lasts no longer than the longest rest.
    """
    if not proven:
        return Patience(
            MILLISECOND, bounds.probe_timeouts_ns[min(failures, len(bounds.probe_timeouts_ns) - 1)]
        )
    if not failures and not unread:
        return Patience(bounds.watch_wait_ns, bounds.watch_timeout_ns)
    on_the_way = bounds.watch_timeout_ns - bounds.watch_wait_ns
    course = bounds.probe_timeouts_ns[-1] + bounds.retry_interval_ns + bounds.reconnect_delay_ns
    unused_rest = 0 if rested is None else max(0, bounds.max_discovery_back_off_ns - max(rested, course))
    wait = min(bounds.watch_wait_ns, bounds.probe_timeouts_ns[-1] - on_the_way + unused_rest)
    return Patience(wait, wait + on_the_way)


def pause_after(bounds: Bounds, failures: int, spent: int) -> int:
    """Until a call that got no list is repeated; its own time counts as part of the pause."""
    return max(
        bounds.reconnect_delay_ns,
        min(bounds.reconnect_delay_ns << min(failures - 1, 8), bounds.retry_interval_ns) - spent,
    )


def told_within(bounds: Bounds, longest_rest: int, silent_links: int = 0) -> int:
    """The longest time from when discovery has a change and can be reached to the call that is told of it.

    It holds after any call that failed, was turned away or given up.  What is under way at first may be the
    rest after a call that was turned away, the pause after one that failed, or a call that began just before
    and that nothing answers any more: its patience, more time if half of its answer had come, and the pause.
    Each of `silent_links` is a connection that falls silent although discovery can be reached; a rest and the
    longer wait after it share the longest rest, so that such a one costs no more there.
    """
    retry = patience_after(bounds, proven=True, failures=1, unread=False).silence
    patience = max(retry, *bounds.probe_timeouts_ns)
    longest = patience_after(bounds, proven=True, failures=1, unread=False, rested=0).silence
    under_way = max(
        longest_rest,
        bounds.retry_interval_ns,
        max(patience, longest) + bounds.retry_interval_ns + bounds.reconnect_delay_ns,
    )
    return under_way + silent_links * (patience + bounds.reconnect_delay_ns)


class Feed:
    """One address of discovery, asked again as soon as it has answered.

    It is proven from an answer on, if only one that turns the relay away, until it fails to answer.  After a
    list, a proven one is asked to wait long for news.  After anything else it is asked for little: a silent
    connection can't be told from a list without news, and what it misses counts as told 6 s after discovery
    could be reached (`told_within`, docs/design/crossings.md).
    """

    __slots__ = ("_asked_at", "_exchange", "_failures", "_loop", "_rested", "_watch", "closed", "proven")

    def __init__(
        self,
        watch: Watch,
        loop: asyncio.AbstractEventLoop,
        address: tuple[str, int],
        most: int,
        log: Log,
        counters: Counters,
    ) -> None:
        self._watch, self._loop = watch, loop
        more, dial_time = watch.bounds.retry_interval_ns, watch.bounds.probe_timeouts_ns[0]
        self._exchange = Exchange(
            loop, address, "discovery", most, more, dial_time, self._took, log, counters, self._unread
        )
        self.proven = self.closed = False
        self._failures, self._asked_at = 0, loop.time()
        self._rested: int | None = None  # before the call that is due, after one that was turned away

    def ask(self, unread: bool = False) -> None:
        """Call for what is newer.  `unread`: once more, as the last call found its connection closed."""
        if not self.closed:
            patience = patience_after(self._watch.bounds, self.proven, self._failures, unread, self._rested)
            self._rested = None
            query = self._watch.query(patience.wait)
            head = b"GET /v1/endpoints%b HTTP/1.1\r\nHost: %b\r\n\r\n" % (query, self._exchange.host)
            self._asked_at = self._loop.time()
            self._exchange.send_request([head], patience.silence)

    def _unread(self) -> None:
        self.ask(unread=True)

    def _took(self, reader: ResponseReader | None) -> None:
        if self._watch.heard(self, reader):
            self._failures = 0
            self.ask()
        else:
            # Turned away, it rests as the module says, then asks with patience: discovery has too much to do.
            # Else it goes on soon: what the agent learns meanwhile binds at once.
            self._failures += 1
            self.proven = reader is not None and reader.status != 200
            spent = int((self._loop.time() - self._asked_at) * 1e9)
            soon = pause_after(self._watch.bounds, self._failures, spent)
            rest = self._watch.rest(self._failures) if self.proven else soon
            self._rested = rest if self.proven else None
            self._loop.call_later(rest / 1e9, self.ask)

    def close(self) -> None:
        self.closed = True
        self._exchange.close("moved")


class Watch:
    """Keeps asking for what is newer than the version at hand; while discovery is silent, that one stays."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: tuple[str, int],
        settings: Settings,
        bounds: Bounds,
        index: int,
        told: Callable[[Change, News], None],
        rest: Callable[[int], int],
        log: Log,
        counters: Counters,
    ) -> None:
        """`draw_back_off`: how long until discovery is asked again after so many failures in a row."""
        self._loop, self._settings, self.bounds, self.rest = loop, settings, bounds, rest
        self._index, self._told, self._log, self._counters = index, told, log, counters
        self._feeds: list[Feed] = []  # the one in use first, then the one that is to take its place
        self.move(address)

    def move(self, address: tuple[str, int]) -> None:
        """Ask there from now on.

        Guards against a gap in what is told: the address in use is asked on until the new one answers.
        """
        for feed in self._feeds[1:]:
            feed.close()
        del self._feeds[1:]
        self._feeds.append(
            Feed(self, self._loop, address, self.bounds.max_list_bytes, self._log, self._counters)
        )
        self._loop.call_soon(self._feeds[-1].ask)

    def query(self, wait: int) -> bytes:
        """What to ask for; a version of none asks for the whole list, which never waits."""
        return b"?since=%d&timeout_ms=%d" % (self._index, wait // MILLISECOND) if self._index >= 0 else b""

    def heard(self, feed: Feed, reader: ResponseReader | None) -> bool:
        """Take in an answer; False where it is none."""
        try:
            if reader is None or reader.status != 200:
                raise Garbled("no answer" if reader is None else f"status {reader.status}")
            news = read_list(json.loads(reader.body), self._settings)
        except (Garbled, ValueError, RecursionError) as fault:
            self._counters.add("list_failures")
            self._log.info(f"list-failed {str(fault)[:200]}")
            return False
        feed.proven = True
        while self._feeds[0] is not feed and feed in self._feeds:
            self._feeds.pop(0).close()
        self._index = news.index
        self._counters.add("lists_told")
        self._told(Change.FULL if news.whole else Change.DELTA, news)  # also that there is no news
        return True

    def close(self) -> None:
        for feed in self._feeds:
            feed.close()
