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
from millweir.net.heads import AnswerReader, read_number
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
                    rate=read_number(row.get("weight", 0.0)),
                )
            )
        return News(int(given["index"]), bool(given.get("snapshot", False)), tuple(entries), addresses, gone)
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError, Misconfigured) as fault:
        raise Garbled(repr(fault)) from fault


class Feed:
    """One address of discovery, asked again as soon as it has answered.

    It is proven from an answer on, if only one that turns the relay away, until it fails to answer.  A proven
    one is asked to wait for news; one that is not is asked for an answer at once, with little patience: a
    silent connection can't be told from a list without news, and what it misses counts as told two seconds
    after the wait (docs/design/crossings.md).
    """

    __slots__ = ("_exchange", "_failures", "_loop", "_watch", "closed", "proven")

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
        more = watch.bounds.resend
        self._exchange = Exchange(loop, address, "discovery", most, more, self._took, log, counters)
        self.proven = self.closed = False
        self._failures = 0

    def ask(self) -> None:
        if not self.closed:
            query, bounds = self._watch.query(self.proven), self._watch.bounds
            head = b"GET /v1/endpoints%b HTTP/1.1\r\nHost: %b\r\n\r\n" % (query, self._exchange.host)
            proof = bounds.proofs[min(self._failures, len(bounds.proofs) - 1)]
            self._exchange.ask([head], bounds.silence if self.proven else proof)

    def _took(self, reader: AnswerReader | None) -> None:
        if self._watch.heard(self, reader):
            self._failures = 0
            self.ask()
        else:
            # Turned away, it rests as the module says, then asks with patience: discovery has too much to do.
            # Else it goes on soon: what the agent learns meanwhile binds at once.
            bounds, self._failures = self._watch.bounds, self._failures + 1
            self.proven = reader is not None and reader.status != 200
            soon = min(bounds.redial << min(self._failures - 1, 8), bounds.resend)
            rest = self._watch.rest(self._failures) if self.proven else soon
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
        """`rest`: how long until discovery is asked again after so many failures in a row."""
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
        self._feeds.append(Feed(self, self._loop, address, self.bounds.list_most, self._log, self._counters))
        self._loop.call_soon(self._feeds[-1].ask)

    def query(self, proven: bool) -> bytes:
        """What to ask for; a version of none asks for the whole list, a first answer is wanted at once."""
        wait = self.bounds.watch // MILLISECOND if proven else 1
        return b"?since=%d&timeout_ms=%d" % (self._index, wait) if self._index >= 0 else b""

    def heard(self, feed: Feed, reader: AnswerReader | None) -> bool:
        """Take in an answer; False where it is none."""
        try:
            if reader is None or reader.status != 200:
                raise Garbled("no answer" if reader is None else f"status {reader.status}")
            news = read_list(json.loads(reader.body), self._settings)
        except (Garbled, ValueError, RecursionError) as fault:
            self._counters.add("list_failures")
            self._log.say(f"list-failed {str(fault)[:200]}")
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
