"""Calls to hosts: links kept for each host, one job on a link at a time, and what its answer means."""

from __future__ import annotations

import asyncio
import base64
import json
from collections.abc import Callable, Container, Iterable

from millweir.facade import Job, Part
from millweir.interface import MILLISECOND, Bounds, Outcome
from millweir.net import clock
from millweir.net.counters import Counters
from millweir.net.journal import Journal, OwedMessage
from millweir.net.links import Link
from millweir.net.log import Log

STATUSES = {
    200: Outcome.FULFILLED,
    429: Outcome.FULL,
    503: Outcome.FULL,
    504: Outcome.MOOT,
    410: Outcome.MOOT,
    404: Outcome.MOOT,
    400: Outcome.UNREADABLE,
    413: Outcome.UNREADABLE,
}
# An answer with any other status may have run.
NOWHERE = ("127.0.0.1", 0)  # of a host that the list has forgotten: no connection comes up
STATES = {
    "accepted": Outcome.FULFILLED,
    "fault": Outcome.FAULT,
    "deferred": Outcome.FULL,
    "expired": Outcome.MOOT,
    "no_more": Outcome.MOOT,
}

Still = Callable[[int, Part[OwedMessage]], bool]
Report = Callable[[Part[OwedMessage], Outcome, bool, int, bytes], None]


class HostPool:
    """Where one host is, and this relay's links to it."""

    __slots__ = ("address", "idle", "name")

    def __init__(self, name: str, address: tuple[str, int]) -> None:
        self.name = name
        self.address = address
        self.idle: list[Link] = []


class Call:
    """One job under way."""

    __slots__ = ("_hosts", "_trips", "_written", "_written_at", "job", "link", "pool", "timer", "waiting")

    def __init__(self, hosts: Hosts, job: Job[OwedMessage], pool: HostPool) -> None:
        self._hosts = hosts
        self.job = job
        self.pool = pool
        self.waiting: dict[Part[OwedMessage], None] = dict.fromkeys(job.parts)
        self.link: Link | None = None
        self.timer: asyncio.TimerHandle | None = None
        self._written: list[Part[OwedMessage]] = []
        self._written_at = 0
        self._trips: dict[Part[OwedMessage], int] = {}  # in the journal, and on their way since

    def write(self, link: Link) -> None:
        """Write the call but for its last byte."""
        hosts, now = self._hosts, clock.steady()
        for part in list(self.waiting):
            if not hosts.still(now, part):  # ended, or its host told to wait or left, while the link came up
                self.over(part, Outcome.MOOT)
        parts = list(self.waiting)
        if not parts:
            hosts.keep(self.pool, link)
            return
        self.link = link
        self._written = parts
        self._written_at = now
        until = min(self.job.answer_deadline, max(part.until for part in parts))
        left = max(1, -(-(until - now) // MILLISECOND))
        if len(parts) == 1:
            message = parts[0].item
            path, body, ident = b"/hook", message.body, b"X-Correlation-Id: %b\r\n" % message.id
            if message.mark:
                ident += b"Idempotency-Key: %b\r\n" % message.mark
        else:
            rows = []
            for part in parts:
                row = {"id": part.item.id.decode()}
                if part.item.mark:
                    row["key"] = part.item.mark.decode()
                row["body"] = base64.b64encode(part.item.body).decode()
                rows.append(row)
            path, body, ident = b"/hook/batch", json.dumps(rows, separators=(",", ":")).encode(), b""
        head = b"POST %b HTTP/1.1\r\nHost: %b\r\n%bX-Time-Left: %dm\r\nContent-Length: %d\r\n\r\n" % (
            path,
            self.pool.name.encode(),
            ident,
            left,
            len(body),
        )
        link.ask(self, [head, body], hosts.bounds.last_byte_hold_ns)

    def released(self, link: Link) -> bool:
        """Journal the trips, then let the call go, if all that was written is still to go."""
        hosts, parts = self._hosts, list(self.waiting)
        try:
            self._check_still(parts)
            # Guards rule 2 over a restart: repeats are known for a time that begins with the first byte.
            hosts.journal.trip([part.item for part in parts], clock.to_wall(self._written_at))
            self._trips = {part: len(part.item.trips) - 1 for part in parts}
            self._check_still(parts)  # writing may take long: a slow disk, or the whole file written anew
        except OSError as fault:
            hosts.log.say(f"call-withheld {fault}")
            link.close("withheld", abort=True)
            self.all_over(Outcome.MOOT)
            return False
        hosts.counters.add("calls_sent")
        hosts.counters.add("trips_sent", len(parts))
        return True

    def _check_still(self, parts: list[Part[OwedMessage]]) -> None:
        """OSError unless all that was written may still go."""
        now = clock.steady()
        still = all(self._hosts.still(now, part) for part in parts)
        if not still or parts != self._written or self.link.reader.begun:
            raise OSError("given up in part, answered already, or its host told to wait or left")

    def over(
        self,
        part: Part[OwedMessage],
        outcome: Outcome,
        finished: bool = False,
        wait: int = 0,
        load: bytes = b"",
    ) -> None:
        """One part has its outcome."""
        if part not in self.waiting:
            return
        del self.waiting[part]
        if not self.waiting:
            self._hosts.done(self)
        if outcome.never_ran and part in self._trips:
            self._hosts.journal.void(part.item, self._trips[part])
        self._hosts.report(part, outcome, finished, wait, load)

    def all_over(self, outcome: Outcome, finished: bool = False, wait: int = 0, load: bytes = b"") -> None:
        for part in list(self.waiting):
            self.over(part, outcome, finished, wait, load)

    def give_up(self, part: Part[OwedMessage], outcome: Outcome) -> None:
        """Stop waiting for a part; the last one takes the connection with it."""
        if part not in self.waiting:
            return
        if self.link is None:
            outcome = Outcome.UNCONNECTED  # nothing was written yet
        elif len(self.waiting) == 1:
            self.link.close("given-up", abort=True)
        if self.link and not self._trips:
            outcome = Outcome.MOOT
        if self.delivered:
            outcome = Outcome.FULFILLED
        self.over(part, outcome, finished=self.delivered)

    def time_out(self) -> None:
        """Give up what has waited long enough."""
        now = clock.steady()
        for part in [part for part in self.waiting if part.until <= now]:
            self.give_up(part, Outcome.TIMED_OUT)
        self.arm()

    def arm(self) -> None:
        """Set the timer to the next part that runs out of patience."""
        if self.timer:
            self.timer.cancel()
            self.timer = None
        if self.waiting:
            left = min([part.until for part in self.waiting]) - clock.steady()
            self.timer = self._hosts.loop.call_later(
                max(left, 0) / 1e9 + 0.0005, clock.once_read, self._hosts.loop, self.time_out
            )

    def answered(self, link: Link) -> None:
        reader = link.reader
        self._hosts.keep(self.pool, link)
        if reader.status == 200 and not self._trips:
            self.all_over(Outcome.CUT_OFF)  # said before the last byte went out: of another call, or of none
        elif reader.status == 200 and not self.alone and clock.steady() >= self.job.answer_deadline:
            self.all_over(Outcome.CANCELLED)  # after the time of one of them it counts for none (rule 1)
        elif reader.status == 200 and not self.alone:
            self._read_states(reader.body, reader.wait, reader.load)
        elif reader.over_slots:
            self.all_over(Outcome.MOOT, load=reader.load)
        else:
            outcome = STATUSES.get(reader.status, Outcome.FAULT)
            if reader.status == 503 and not reader.keep and link.asked == 1:
                outcome = Outcome.CROWDED  # a new link that is closed with the refusal: too many of them
            finished = outcome is Outcome.FULFILLED or reader.status == 410
            if reader.status not in (200, 410, 429, 500, 503, 504):
                self._hosts.log.say(f"odd-answer host={self.pool.name} status={reader.status}")
            self.all_over(outcome, finished, reader.wait, reader.load)

    def _read_states(self, body: bytes, wait: int, load: bytes) -> None:
        try:
            states = {row["id"]: row["state"] for row in json.loads(body)}
        except (ValueError, KeyError, TypeError, RecursionError):
            states = {}  # it may all have run
            self._hosts.log.say(f"garbled-answer host={self.pool.name}")
        for part in list(self.waiting):
            state = states.get(part.item.id.decode())
            outcome = STATES.get(state, Outcome.SPOILT) if isinstance(state, str) else Outcome.SPOILT
            self.over(part, outcome, state in ("accepted", "expired"), wait, load)

    @property
    def alone(self) -> bool:
        """One packet is in what was written; others of its job may have ended before."""
        return len(self._written) == 1

    @property
    def delivered(self) -> bool:
        """A first line that says 200 is true for the one packet of a call, whatever becomes of the rest."""
        return bool(self._trips) and self.link.reader.says == 200 and self.alone

    def lost(self, link: Link) -> None:
        if self.delivered:
            self.all_over(Outcome.FULFILLED, True, link.reader.wait, link.reader.load)
        else:
            lost = Outcome.SPOILT if link.spoilt else Outcome.RESET
            self.all_over(lost if self._trips else Outcome.CUT_OFF)


class Hosts:
    """The links to all hosts, and the calls under way."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        bounds: Bounds,
        connect_timeout: int,
        journal: Journal,
        still: Still,
        report: Report,
        log: Log,
        counters: Counters,
    ) -> None:
        self.loop = loop
        self.journal = journal
        self.still = still
        self.report = report
        self.log = log
        self.counters = counters
        self.bounds = bounds
        self._connect_timeout = connect_timeout / 1e9
        self._pools: dict[str, HostPool] = {}
        self._idle: dict[Link, HostPool] = {}  # the one idle longest first
        self._calls: dict[Job[OwedMessage], Call] = {}
        self._dialling: set[asyncio.Task[None]] = set()

    def listed(self, addresses: dict[str, tuple[str, int]], gone: Iterable[str]) -> None:
        """Where hosts are, by the list; links to one that left, or is elsewhere now, are not kept."""
        for name in gone:
            self.free(name)
            self._pools.pop(name, None)
        for name, address in addresses.items():
            if name not in self._pools or self._pools[name].address != address:
                self.free(name)
                self._pools[name] = HostPool(name, address)

    def all_but(self, names: Container[str]) -> list[str]:
        """The hosts known that are not among these."""
        return [name for name in self._pools if name not in names]

    def free(self, name: str) -> None:
        """Close the idle links to a host."""
        pool = self._pools.get(name)
        while pool and pool.idle:
            self._drop(pool.idle[-1], "freed")

    def start(self, job: Job[OwedMessage]) -> None:
        """Carry out a job on the link that was used last, or on a new one."""
        pool = self._pools.get(job.host) or HostPool(job.host, NOWHERE)
        call = self._calls[job] = Call(self, job, pool)
        call.arm()
        limit = clock.steady() - self.bounds.connection_idle_timeout_ns
        while pool.idle:
            link = pool.idle.pop()
            del self._idle[link]
            if link.open and link.idle_since > limit:
                call.write(link)
                return
            link.close("idle")
        self._make_way()
        task = self.loop.create_task(self._dial(call))
        self._dialling.add(task)
        task.add_done_callback(self._dialling.discard)

    async def _dial(self, call: Call) -> None:
        pool = call.pool
        link = Link(
            self.loop,
            f"{pool.name}/{pool.address[0]}:{pool.address[1]}",
            self.bounds.max_answer_bytes,
            self.bounds.answer_timeout_ns,
            self.log,
            self.counters,
        )
        try:
            async with asyncio.timeout(self._connect_timeout):
                await self.loop.create_connection(lambda: link, *pool.address)
        except (OSError, TimeoutError) as fault:
            self.counters.add("connects_failed")
            self.log.say(f"link-end peer={pool.name} reason=unconnected {type(fault).__name__}")
            call.all_over(Outcome.UNCONNECTED)
            return
        link.when_closed = self._closed
        if not link.open:
            call.all_over(Outcome.UNCONNECTED)
        elif call.waiting:
            call.write(link)
        else:
            self.keep(pool, link)

    def done(self, call: Call) -> None:
        """No part of the call is waited for any more."""
        self._calls.pop(call.job, None)
        call.job.parts.clear()  # no circle for the collector to find
        if call.timer:
            call.timer.cancel()
        self._make_way()

    def drop(self, part: Part[OwedMessage]) -> None:
        """A trip is no longer to be waited for."""
        call = self._calls.get(part.job)
        if call:
            call.give_up(part, Outcome.CANCELLED)

    def keep(self, pool: HostPool, link: Link) -> None:
        """A link that is free again."""
        if self._pools.get(pool.name) is not pool:
            link.close("host-left")
        if link.open:
            pool.idle.append(link)
            self._idle[link] = pool
            self._trim(self.bounds.max_host_connections)

    def _make_way(self) -> None:
        """Guards descriptors: idle links, the one idle longest first, make way for calls, but for half."""
        most = self.bounds.max_host_connections
        self._trim(max(most - len(self._calls), most // 2))

    def _trim(self, most: int) -> None:
        while len(self._idle) > most:
            self._drop(next(iter(self._idle)), "many")

    def sweep(self) -> None:
        """Close links idle for so long that the other end may be about to."""
        limit = clock.steady() - self.bounds.connection_idle_timeout_ns
        while self._idle and (oldest := next(iter(self._idle))).idle_since <= limit:
            self._drop(oldest, "idle")

    def _drop(self, link: Link, reason: str) -> None:
        self._closed(link)
        link.close(reason)

    def _closed(self, link: Link) -> None:
        pool = self._idle.pop(link, None)
        if pool:
            pool.idle.remove(link)

    def close(self) -> None:
        """At exit: calls still out end here; the journal knows of them."""
        for task in self._dialling:
            task.cancel()  # lest a link that comes up now be written to
        for call in list(self._calls.values()):
            if call.timer:
                call.timer.cancel()
            if call.link:
                call.link.close("exit")
        for link in list(self._idle):
            self._drop(link, "exit")
