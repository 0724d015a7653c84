"""The desk joins the parts: in one turn it tells the facade what came in and carries out its decisions."""

from __future__ import annotations

import asyncio
import json
import traceback
from collections import deque
from dataclasses import replace
from typing import Any

from millweir.facade import DecisionEngine, Part, UndeliveredPacket
from millweir.interface import MILLISECOND, Change, Outcome, Phase
from millweir.net import clock
from millweir.net.clients import ClientConnection, ClientListener
from millweir.net.cold_hosts import KnownColdHosts
from millweir.net.config import Config
from millweir.net.cordons import Cordons
from millweir.net.counters import Counters
from millweir.net.discovery import Garbled, News, Watch, read_list
from millweir.net.ended import EndedIds
from millweir.net.heads import Request, parse_number
from millweir.net.hosts import HostConnections
from millweir.net.journal import Journal, OwedMessage
from millweir.net.lag import LoopLag, StallDetector
from millweir.net.log import Log
from millweir.net.notices import NotificationSender
from millweir.net.replies import Reply, ReplyCounts
from millweir.net.retry_after import SharedWaits
from millweir.net.service_classes import ServiceClasses


class Desk:
    """One relay at work."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        config: Config,
        engine: DecisionEngine[OwedMessage],
        journal: Journal,
        log: Log,
        counters: Counters,
    ) -> None:
        settings, bounds = config.settings, engine.bounds
        self._loop, self._engine, self._journal = loop, engine, journal
        self._log, self._counters, self._bounds = log, counters, bounds
        self._classes = ServiceClasses(settings, engine)
        self._tenants = {tenant.name.encode(): at for at, tenant in enumerate(settings.tenants)}
        self._reports = settings.reports
        self._discovery = config.discovery
        self._owed: dict[bytes, OwedMessage] = {}
        self._backlog: deque[OwedMessage] = deque()  # owed, and not handed in yet; in the order taken
        self._ended = EndedIds(bounds.max_ended_ids)
        self._scheduled = self._listed = self._leaving = self._lingered = self._quiet = False
        self._replies = ReplyCounts()
        self._cordons = Cordons(config.state, engine, self.wake, log)
        self._cold_hosts = KnownColdHosts(loop, journal.folder, journal.slot, engine, self.wake, log)
        self._waits = SharedWaits(loop, journal.folder, journal.slot, engine, self.wake, log)
        self.reloads = [0, 0]  # taken, turned down
        self._alarm: asyncio.TimerHandle | None = None
        self._alarm_at = 0
        self._pulse = StallDetector(loop, bounds.client_grace_ns // 2)
        self._lag = LoopLag(bounds.lag_window_ns, clock.monotonic_ns())
        self.stopped = loop.create_future()
        self.clients = ClientListener(loop, bounds, self.wake, log, counters)
        self._hosts = HostConnections(
            loop, bounds, settings.connect_timeout, journal, engine.may_write, self._report, log, counters
        )
        self._notices = NotificationSender(loop, config.discovery, bounds, self._over, log, counters)
        self._known_list = self._read_known(config)  # None once calls may go out
        if self._known_list:
            leaving = [replace(entry, phase=Phase.DRAINING) for entry in self._known_list.entries]
            self._list(Change.CACHED, replace(self._known_list, entries=tuple(leaving)))
            loop.call_later(bounds.startup_list_wait_ns / 1e9, clock.call_after_poll, loop, self._open)
        self._cordons.read()
        self._cold_hosts.read()  # before the waits: what is restored says how calls spread behind these
        for message in list(journal.owed.values()):
            self._restore(message)
        self._adopt_later()
        self._waits.start()
        index = self._known_list.index if self._known_list else -1
        self._watch = Watch(
            loop, config.discovery, settings, bounds, index, self._told, engine.draw_back_off, log, counters
        )
        self.wake()

    def _read_known(self, config: Config) -> News | None:
        """The list of an earlier life, None where it can't be used and the whole list is needed."""
        try:
            return read_list(config.known, config.settings)
        except Garbled as fault:
            self._log.info(f"known-list-unusable {str(fault)[:200]}")
            return None

    def _open(self) -> None:
        """Discovery was silent for so long: calls go out by the list of an earlier life.

        Guards rule 3 at a start: what the agent has counts as told from the first moment of the process.
        Till now the hosts of that list were told as leaving: packets, restored ones too, are taken and wait.
        """
        known, self._known_list = self._known_list, None
        if known:
            self._list(Change.CACHED, known)

    def _adopt_later(self) -> None:
        self._loop.call_later(self._bounds.client_grace_ns / 1e9, self._adopt)

    def _adopt(self) -> None:
        """A process beside this one has ended: what it still owed is owed here (an upgrade, rule 1)."""
        try:
            orphans = self._journal.orphans()
        except OSError as fault:
            self._log.info(f"journal-failed adopt {fault}")
            orphans = []
        for message in orphans:
            self._restore(message)
        if orphans:
            self._log.always(f"adopted owed={len(orphans)}")
            clock.call_after_poll(self._loop, self.wake)
        self._cordons.read(again=True)
        self._cold_hosts.read()
        self._adopt_later()

    def healthy(self) -> bool:
        """Ready to serve: a list is known, and it is neither leaving nor drained."""
        return self._listed and not self._leaving and not self._quiet

    def figures(self) -> dict[str, Any]:
        """What the second address tells: counts since this process began, and what is so now."""
        targets, disabled = self._engine.count_hosts()
        counts = self._counters.counts
        return {
            "replies": self._replies.counts_by_class(),
            "dispatches": counts["trips_sent"],
            "concurrent": len(self._owed),
            "targets": targets,
            "targets_disabled": disabled,
            "reload_success": self.reloads[0],
            "reload_failure": self.reloads[1],
        }

    def cordon(self, host: bytes, out: bool) -> str:
        """By hand: the host out or back; '' or why it can't be done."""
        return self._cordons.change(host, out)

    def quiesce(self) -> None:
        """Send clients away: /ready says no, connections close after their answers; nothing is refused."""
        if not self._quiet:
            self._log.always("quiesce")
        self._quiet = True
        self.clients.draining = True
        self._loop.call_later(self._bounds.client_grace_ns / 1e9, self._close_idle)

    def _close_idle(self) -> None:
        if self._quiet:
            self.clients.close_idle("quiesced")

    def resume(self) -> None:
        """The end of a drain: ready again."""
        if self._quiet:
            self._log.always("resume")
        self._quiet = False
        self.clients.draining = self._leaving

    def _told(self, change: Change, news: News) -> None:
        """News from discovery; a drain that the first of it tells of began in an earlier life."""
        known, self._known_list = self._known_list, None
        if known and change is Change.DELTA:
            entries = {entry.host: entry for entry in (*known.entries, *news.entries)}
            addresses = known.addresses | news.addresses
            for name in news.gone:
                del entries[name.encode()]
                addresses.pop(name, None)
            news = replace(news, entries=tuple(entries.values()), addresses=addresses)
        if known or not self._listed:
            change = Change.CACHED
        self._list(change, news)

    def _list(self, change: Change, news: News) -> None:
        self._listed = True
        gone = news.gone if change is Change.DELTA else self._hosts.names_except(news.addresses)
        self._hosts.update_addresses(news.addresses, gone)
        now = clock.monotonic_ns()
        self._engine.update_hosts(now, change, news.entries, self._pulse.earliest_arrival(now))
        self._cordons.bind(news.addresses)
        self._cold_hosts.bind(news.addresses)
        self._waits.bind(news.addresses)
        self.wake()

    def _restore(self, message: OwedMessage) -> None:
        """What an earlier life took on is owed its end; known at once, handed in by the turns to come."""
        message.restored = True
        self._owed[message.id] = message
        self._counters.add("packets_restored")
        self._log.info(
            f"message-restored id={message.id.decode()} attempts={len(message.trips)} "
            f"ended={message.given_up is not None}"
        )
        if message.given_up:
            self._notices.add(message)
        else:
            self._backlog.append(message)

    def _work_off_backlog(self) -> None:
        """Hand in a part of the backlog.

        Guards a start on a short processor: with thousands of packets owed, clients and discovery are heard
        between the parts.
        """
        for _ in range(min(len(self._backlog), self._bounds.max_requests_per_turn)):
            self._hand_in(self._backlog.popleft())
        if self._backlog:
            self.wake()

    @property
    def _room(self) -> int:
        """How large a packet may be taken on; the module does not count the backlog as open yet."""
        full = self._backlog and 0 < self._classes.settings.max_open <= len(self._owed)
        return 0 if full else self._journal.room

    def _hand_in(self, message: OwedMessage) -> None:
        tenant, now = (
            self._tenants.get(message.account, len(self._tenants)),
            clock.to_wall(clock.monotonic_ns()),
        )
        # Guards rule 2 where the wall clock was set back: a trip out at a time to come may be of any age.
        trips = tuple((clock.from_wall(at if at <= now else 0), bool(void)) for at, void in message.trips)
        self._engine.add_packet(
            clock.monotonic_ns(),
            message,
            self._classes.number(message.profile),
            tenant,
            int.from_bytes(message.key),
            clock.from_wall(message.hard_stop),
            message.destination,
            trips,
            message.restored,
        )
        failed_at = max((at for at, void in trips if void), default=0) if message.restored else 0
        if failed_at and self._cold_hosts.missed(failed_at):
            self._engine.report_earlier_failure(clock.monotonic_ns(), message.destination, failed_at)

    def wake(self) -> None:
        """Have a turn once all that has come in by now is read."""
        if not self._scheduled:
            self._scheduled = True
            self._loop.call_soon(self._turn)

    def _turn(self) -> None:
        self._scheduled = False
        began = clock.monotonic_ns()
        try:
            self._work()
        except Exception:  # one bad packet must not end the service for the others
            self._counters.add("faults")
            self._log.always(f"fault {traceback.format_exc()!r}")
            self._loop.call_later(self._bounds.retry_interval_ns / 1e9, self.wake)
        now = clock.monotonic_ns()
        self._lag.record(now, now - began)  # what came meanwhile is not read yet

    def _ring(self) -> None:
        now = clock.monotonic_ns()
        self._lag.record(now, now - self._alarm_at)
        self._alarm_at = 0
        clock.call_after_poll(self._loop, self.wake)

    def _work(self) -> None:
        """What is due goes first; how much of what has come in and goes out it may wait for is bounded."""
        for _ in range(min(len(self.clients.received_requests), self._bounds.max_requests_per_turn)):
            link, request = self.clients.received_requests.popleft()
            try:
                self._answer(link, request)
            except Exception:
                link.close_gracefully("fault")
                raise
        self._work_off_backlog()
        due = self._engine.tick(clock.monotonic_ns())
        while ending := self._engine.pop_ended():
            self._give_up(ending)
        self._notices.send_pending()
        while part := self._engine.pop_cancelled():
            self._hosts.abandon(part)
        while change := self._engine.pop_transition():
            self._log.info(
                f"host-state peer={change.host.decode()} state={change.state.value} "
                f"cause={change.cause!r} pace={change.slow_start_rate:.4f}"
            )
        while name := self._engine.pop_idle_host():
            self._hosts.close_idle(name)
        for _ in range(self._bounds.max_calls_per_turn):
            if not (job := self._engine.pop_job()):
                break
            self._hosts.start_call(job)
        else:
            self.wake()
        if self.clients.received_requests:
            self.wake()
        self._hosts.close_expired()
        self._cold_hosts.note_changes()
        if due != self._alarm_at:
            if self._alarm:
                self._alarm.cancel()
            self._alarm_at, self._alarm = due, None
            if due:
                self._alarm = self._loop.call_later(max(0, due - clock.monotonic_ns()) / 1e9, self._ring)
        if self._lingered and not (self._journal.owed or self._notices.busy):
            self.stop()

    def _answer(self, link: ClientConnection, request: Request) -> None:
        if link.reason or not link.open:  # its client closed before it heard: not taken on
            link.pending_requests -= 1
            self._counters.add("requests_withdrawn")
            return
        path = request.url.partition(b"?")[0]
        if request.error_status:
            self._counters.add("requests_malformed")
            link.respond(request, request.error_status)
        elif path == b"/ready":
            link.respond(request, 200 if self.healthy() else 503)
        elif path == b"/counters":  # the figures as the second address tells them
            link.respond(request, 200, json.dumps(self.figures(), separators=(",", ":")).encode())
        elif path == b"/counters/all":  # every count, a line each
            link.respond(request, 200, self._counters.encode_lines())
        elif path != b"/api" or request.method != b"POST":
            link.respond(request, 404 if path != b"/api" else 405)
        elif (
            not request.id
            or request.remaining_time < 0
            or request.destination < 0
            or request.profile not in self._classes
        ):
            self._counters.add("requests_malformed")
            if request.profile:
                self._replies.add_unknown(request.profile)
            request.error_status = 400
            link.respond(request, 400, keep_alive=False)
        else:
            self._take(link, request)

    def _take(self, link: ClientConnection, request: Request) -> None:
        if request.id in self._owed or request.id in self._ended:
            # The same request once more, or a stranger's under its id: that id is taken on already.  Guards
            # rule 2 and the packets it would travel with: hosts can't use a second body under one id.
            link.respond(request, 202)
            return
        now, stop = clock.monotonic_ns(), request.received_at + request.remaining_time
        self._lag.record(now, now - request.received_at)
        message = OwedMessage(
            request.id,
            request.profile,
            request.account,
            request.key,
            request.idempotency_key,
            request.destination,
            clock.to_wall(stop),
            request.body,
        )
        wait = self._engine.check_admission(
            message.destination, message.size, self._room, stop - now, self._lag.current(now)
        )
        if not wait:
            try:
                self._journal.taken(message)
            except OSError as fault:
                self._log.info(f"journal-failed taken {fault}")
                wait = self._engine.check_admission(message.destination, 1, 0, stop - now, 0)
        if wait:
            self._counters.add("packets_refused")
            self._log.info(
                f"message-refused id={message.id.decode()} destination={message.destination} "
                f"reason={self._engine.refusal_reason.value}"
            )
            self._replies.add(message.profile, Reply.OVERLOAD)
            link.respond(request, 503, retry_after=wait, keep_alive=not self._leaving)
            return
        self._owed[message.id] = message
        self._counters.add("packets_taken")
        link.respond(request, 202)
        if self._backlog:
            self._backlog.append(message)  # behind those taken before it, so that keys keep their order
        else:
            self._hand_in(message)

    def _report(
        self, part: Part[OwedMessage], outcome: Outcome, finished: bool, wait: int, load: bytes
    ) -> None:
        if wait > 0:
            self._waits.told(part.job.host, wait)
        self._counters.add("trips_" + outcome.name.lower())
        if finished and part.item.given_up is None:
            self._counters.add("packets_fulfilled" if outcome is Outcome.FULFILLED else "packets_over")
            reply = Reply.SUCCESS if outcome is Outcome.FULFILLED else Reply.ERROR
            self._replies.add(part.item.profile, reply)
            self._over(part.item)
        self._engine.report_outcome(
            clock.monotonic_ns(), part, outcome, finished, wait, self._read_load(load)
        )
        if outcome is not Outcome.FULFILLED:
            self._log_failure(part, outcome, finished, wait)
        self.wake()

    def _log_failure(self, part: Part[OwedMessage], outcome: Outcome, finished: bool, wait: int) -> None:
        """One attempt that went wrong, and what is believed of its host with that."""
        view = self._engine.view_host(part.job.host.encode())
        believed = ""
        if view:
            well = (
                (clock.monotonic_ns() - view.last_success_at) // MILLISECOND if view.last_success_at else -1
            )
            believed = f" state={view.state.value} well_ms_ago={well} limit={view.limit:.3f}"
        self._log.info(
            f"attempt-failed id={part.item.id.decode()} peer={part.job.host} "
            f"outcome={outcome.name.lower()} finished={finished} wait_ms={wait // MILLISECOND}{believed}"
        )

    def _read_load(self, load: bytes) -> tuple[float, ...]:
        if not load or not self._reports:
            return ()
        try:
            fields = dict(field.strip().split(b"=", 1) for field in load.split(b","))
            return tuple(parse_number(fields[name.encode()]) for name in self._reports)
        except (ValueError, KeyError):
            return ()

    def _give_up(self, ending: UndeliveredPacket[OwedMessage]) -> None:
        message, again, wait = ending.item, ending.again, ending.retry_after
        left = (message.hard_stop - clock.to_wall(clock.monotonic_ns())) // MILLISECOND
        self._log.info(
            f"message-ended id={message.id.decode()} end={'bounced' if again else 'dead'} "
            f"reason={ending.reason.value} attempts={ending.attempts} left_ms={left}"
        )
        self._counters.add("packets_dismissed" if again else "packets_errored")
        self._replies.add(message.profile, Reply.OVERLOAD if again else Reply.ERROR)
        self._journal.given_up(message, again, wait)
        self._notices.add(message)

    def _over(self, message: OwedMessage) -> None:
        if self._owed.pop(message.id, None):
            self._journal.over(message)
            self._ended.add(message.id, clock.from_wall(message.hard_stop), clock.monotonic_ns())

    def reload(self, config: Config) -> None:
        """SIGHUP: discovery and notices move to the address given now; profiles new or changed are used from
        now on, those gone are refused, packets under way keep theirs; fewer trips bind at once."""
        fresh = self._classes.reload(config.settings)
        self._log.always(f"settings profiles={len(self._classes)} new-or-changed={fresh}")
        if config.discovery != self._discovery:
            self._discovery = config.discovery
            self._watch.move(config.discovery)
            self._notices.set_address(config.discovery)

    def leave(self) -> None:
        """SIGTERM: take nothing new, finish what can be finished; the journal keeps the rest."""
        if self._leaving:
            return
        self._leaving = True
        self._log.always(f"leaving owed={len(self._journal.owed)}")
        self._engine.begin_shutdown(
            clock.monotonic_ns() + self._bounds.shutdown_timeout_ns, self._journal.process_beside()
        )
        self.clients.close_idle("leaving")
        self._loop.call_later(self._bounds.shutdown_linger_ns / 1e9, self._linger_over)
        self._loop.call_later(self._bounds.shutdown_timeout_ns / 1e9, self.stop)
        self.wake()

    def _linger_over(self) -> None:
        """Whoever was still being sent here has come by now: the process may end once nothing is owed."""
        self._lingered = True
        self.wake()

    def stop(self) -> None:
        if not self.stopped.done():
            self.stopped.set_result(None)

    def close(self) -> None:
        """The end of this process; calls still out are in the journal."""
        self._cold_hosts.close()
        self._watch.close()
        self._notices.close()
        self._hosts.close()
