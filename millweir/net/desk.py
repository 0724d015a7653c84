"""The relay's main object: feeds network input to the decision engine and carries out its decisions.

Work happens in turns of the event loop: each turn hands the engine what has arrived and then executes what it
decided.
"""

from __future__ import annotations

import asyncio
import json
import traceback
from collections import deque
from collections.abc import Iterable
from typing import Any

from millweir.answers.final import FinalAnswer, Settlement
from millweir.events import RefusalReason
from millweir.facade import DecisionEngine, Part, UndeliveredPacket
from millweir.interface import MILLISECOND, Outcome
from millweir.memory_policy import find_shortage
from millweir.net import clock
from millweir.net.answer_outcomes import choose_final_answer
from millweir.net.client_connection import ClientConnection
from millweir.net.clients import ClientListener
from millweir.net.cold_hosts import RecoveringHostStore
from millweir.net.concurrent.monitor import ConcurrentProcesses
from millweir.net.config import Config
from millweir.net.cordons import Cordons
from millweir.net.counters import Counters
from millweir.net.discovery import DiscoveryWatch
from millweir.net.heads import parse_number
from millweir.net.host_call import UnprovenAnswer
from millweir.net.host_list import HostList, decode_cached_list
from millweir.net.hosts import HostConnections
from millweir.net.journal import Journal
from millweir.net.lag import LoopLag, StallDetector
from millweir.net.log import Log
from millweir.net.memory_account import MemoryAccount
from millweir.net.message_ends import MessageEnds
from millweir.net.notices import NotificationSender
from millweir.net.owed_message import OwedMessage
from millweir.net.replies import Reply
from millweir.net.request_reader import Request
from millweir.net.retry_after import RetryAfterStore
from millweir.net.service_classes import ServiceClasses


class RelayServer:
    """One running relay: its connections, its state on disk and its decision engine."""

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
        self._service_classes = ServiceClasses(settings, engine)
        self._tenant_numbers = {
            tenant.name.encode(): number for number, tenant in enumerate(settings.tenants)
        }
        self._load_metrics = settings.report_fields
        self._discovery_address = config.discovery
        self._owed: dict[bytes, OwedMessage] = {}
        self._concurrent = ConcurrentProcesses(loop, journal, bounds, self._service_classes, self, log)
        self._backlog: deque[OwedMessage] = deque()  # owed but not submitted to the engine yet, oldest first
        self._turn_scheduled = self._shutting_down = self._linger_elapsed = self._quiesced = False
        self._is_closed = False
        self._ends = MessageEnds(
            self._owed,
            journal,
            engine,
            lambda message: self._notifications.add(message),
            log,
            counters,
        )
        self._replies = self._ends.replies
        self._cordons = Cordons(config.state, engine, self.request_turn, log)
        self._recovering_hosts = RecoveringHostStore(
            loop, journal.folder, journal.slot, engine, self.request_turn, log
        )
        self._retry_after_waits = RetryAfterStore(
            loop, journal.folder, journal.slot, engine, self.request_turn, log
        )
        self.reload_counts = [0, 0]  # accepted, rejected
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = 0
        self._loop_pulse = StallDetector(loop, bounds.client_grace_ns // 2)
        self._loop_lag = LoopLag(bounds.lag_window_ns, clock.monotonic_ns())
        self.stopped = loop.create_future()
        self.clients = ClientListener(
            loop,
            bounds,
            MemoryAccount("client_connections", bounds.memory.client_connections),
            self.request_turn,
            log,
            counters,
        )
        self._hosts = HostConnections(
            loop,
            bounds,
            settings.connect_timeout,
            journal,
            self._may_send,
            self._record_outcome,
            self._record_late_answer,
            self._settle_answer,
            self._record_unasked_wait,
            log,
            counters,
        )
        self._notifications = NotificationSender(
            loop,
            config.discovery,
            lambda: self._watch.answering_address,
            bounds,
            self._ends.finish,
            log,
            counters,
        )
        self.host_list = HostList(
            decode_cached_list(config, log),
            self._hosts,
            engine,
            self._cordons,
            self._recovering_hosts,
            self._retry_after_waits,
            self._loop_pulse,
            self.request_turn,
        )
        self.host_list.schedule_use_of_cached(loop, bounds)
        self._cordons.read_file()
        # Before the retry-after waits: the restored state decides how calls spread once a wait has ended.
        self._recovering_hosts.read_file()
        self._concurrent.start()
        self._restore_messages(journal.owed.values())
        self._retry_after_waits.start()
        self._watch = DiscoveryWatch(
            loop,
            config.discovery,
            settings,
            bounds,
            self.host_list.version,
            self.host_list.receive,
            engine.draw_back_off,
            log,
            counters,
        )
        self.request_turn()

    def adopt_messages(self, messages: list[OwedMessage]) -> None:
        """Take over what an ended process of the same folder still owed, as in an upgrade."""
        self._restore_messages(messages)
        clock.call_after_poll(self._loop, self.request_turn)

    def update_keys(self, keys: set[int]) -> None:
        """Apply what other processes of the folder hold of these keys now."""
        for key in keys:
            self._limit_key(key)
        self.request_turn()

    def _limit_key(self, key: int) -> None:
        self._engine.limit_key(clock.monotonic_ns(), key, self._concurrent.turns.find_limit(key))

    def read_shared_files(self) -> None:
        """Read what concurrent processes have written of waits, cordons and recovering hosts."""
        self._retry_after_waits.read_others()
        self._cordons.read_file(only_if_changed=True)
        self._cordons.write_late_records()
        if self._shutting_down:
            self._engine.set_replaced(self._journal.has_concurrent_process())
        self._recovering_hosts.read_file()

    def is_ready(self) -> bool:
        """Whether a host list is present and the relay is neither shutting down nor quiesced."""
        return self.host_list.is_known and not self._shutting_down and not self._quiesced

    def collect_counters(self) -> dict[str, Any]:
        """The counters of the control address: totals since the process started, and current values."""
        targets, disabled = self._engine.count_hosts()
        counts = self._counters.counts
        return {
            "replies": self._replies.counts_by_class(),
            "dispatches": counts["trips_sent"],
            "concurrent": len(self._owed),
            "targets": targets,
            "targets_disabled": disabled,
            "reload_success": self.reload_counts[0],
            "reload_failure": self.reload_counts[1],
        }

    def set_cordon(self, host: bytes, cordoned: bool) -> str:
        """Cordon or uncordon a host by operator command; returns '' or why it is impossible."""
        return self._cordons.set_cordon(host, cordoned)

    def quiesce(self) -> None:
        """Send clients away: /ready fails, connections close after their answers, no request is refused."""
        if not self._quiesced:
            self._log.always("quiesce")
        self._quiesced = True
        self.clients.draining = True
        self._loop.call_later(self._bounds.client_grace_ns / 1e9, self._close_idle)

    def _close_idle(self) -> None:
        if self._quiesced:
            self.clients.close_idle("quiesced")

    def resume(self) -> None:
        """End a quiesce: the relay is ready again."""
        if self._quiesced:
            self._log.always("resume")
        self._quiesced = False
        self.clients.draining = self._shutting_down

    def _restore_messages(self, messages: Iterable[OwedMessage]) -> None:
        """Register messages of an earlier process: first those whose time is up, which end at once."""
        now = clock.to_wall(clock.monotonic_ns())
        for message in sorted(messages, key=lambda message: (message.deadline > now, message.taken_at)):
            self._restore_message(message)

    def _restore_message(self, message: OwedMessage) -> None:
        """Register a message accepted before the restart; later turns submit it to the engine."""
        message.restored = True
        self._owed[message.id] = message
        self._counters.add("packets_restored")
        self._log.info(
            f"message-restored id={message.id.decode()} attempts={len(message.trips)} "
            f"ended={message.given_up is not None}"
        )
        if not (message.given_up or message.final_answer):
            self._backlog.append(message)
            return
        if message.given_up:
            self._notifications.add(message)
        else:
            self._ends.end_unconfirmed(message)
        self._release_key(message)

    def _release_key(self, message: OwedMessage) -> None:
        """Let the messages behind one that has ended go, after the quiet time if a trip may still run."""
        key = int.from_bytes(message.key)
        if message.may_have_run:
            number = self._service_classes.get_number(message.profile)
            self._engine.hold_key(clock.monotonic_ns(), number, key)
        self._concurrent.turns.submit(key, message.id)
        self._limit_key(key)

    def _submit_backlog(self) -> None:
        """Submit a bounded number of messages of the backlog to the engine.

        With thousands of packets owed on a slow processor, clients and discovery are read between two
        batches.
        """
        for _ in range(min(len(self._backlog), self._bounds.max_requests_per_turn)):
            self._submit_message(self._backlog.popleft())
        if self._backlog:
            self.request_turn()

    @property
    def _free_bytes(self) -> int:
        """The largest packet that may be accepted; the engine does not count the backlog as open yet."""
        full = self._backlog and 0 < self._service_classes.settings.max_open <= len(self._owed)
        return 0 if full else self._journal.free_bytes

    def _submit_message(self, message: OwedMessage) -> None:
        tenant, now = (
            self._tenant_numbers.get(message.account, len(self._tenant_numbers)),
            clock.to_wall(clock.monotonic_ns()),
        )
        # Rule 2 (no message takes effect twice): a trip dated in the future shows that the wall clock was set
        # back, so its age is unknown and it counts as sent at time 0.
        trips = tuple(
            (clock.from_wall(sent_at if sent_at <= now else 0), bool(never_ran))
            for sent_at, never_ran in message.trips
        )
        key = int.from_bytes(message.key)
        limited = bool(self._concurrent.turns)
        self._concurrent.turns.submit(key, message.id)
        self._engine.add_packet(
            clock.monotonic_ns(),
            message,
            self._service_classes.get_number(message.profile),
            tenant,
            key,
            clock.from_wall(message.deadline),
            message.destination,
            trips,
            message.restored,
            message.taken_at,
        )
        if limited:
            self._limit_key(key)
        failed_at = (
            max((sent_at for sent_at, never_ran in trips if never_ran), default=0) if message.restored else 0
        )
        if failed_at and self._recovering_hosts.may_have_missed(failed_at):
            self._engine.report_earlier_failure(clock.monotonic_ns(), message.destination, failed_at)

    def _may_send(self, now: int, part: Part[OwedMessage]) -> bool:
        """Whether a message may go out now; asked before the first byte of a call and before the last."""
        return part.item.final_answer is None and self._engine.may_write(now, part)

    def request_turn(self) -> None:
        """Schedule a turn after all input that is already readable has been read."""
        if not self._turn_scheduled and not self._is_closed:
            self._turn_scheduled = True
            self._loop.call_soon(self._run_turn)

    def _run_turn(self) -> None:
        self._turn_scheduled = False
        if self._is_closed:
            return
        began_at = clock.monotonic_ns()
        try:
            self._run_turn_steps()
        except Exception:  # one bad packet must not end the service for the others
            self._counters.add("faults")
            self._log.always(f"fault {traceback.format_exc()!r}")
            self._loop.call_later(self._bounds.retry_interval_ns / 1e9, self.request_turn)
        now = clock.monotonic_ns()
        self._loop_lag.record(now, now - began_at)  # input that arrived during the turn has not been read yet

    def _on_timer(self) -> None:
        now = clock.monotonic_ns()
        self._loop_lag.record(now, now - self._timer_at)
        self._timer_at = 0
        clock.call_after_poll(self._loop, self.request_turn)

    def _run_turn_steps(self) -> None:
        """Process timers before other work; the input and the calls handled in one turn are bounded.

        The bounds limit how long a due timer can wait.
        """
        self._answer_requests()
        self._submit_backlog()
        due_at = self._engine.tick(clock.monotonic_ns())
        while ending := self._engine.pop_ended():
            self._end_undelivered(ending)
        self._notifications.send_pending()
        while part := self._engine.pop_cancelled():
            self._hosts.abandon(part)
        while change := self._engine.pop_transition():
            self._log.info(
                f"host-state peer={change.host.decode()} state={change.state.value} "
                f"cause={change.cause!r} pace={change.slow_start_rate:.4f}"
            )
        while host_name := self._engine.pop_idle_host():
            self._hosts.close_idle(host_name)
        for _ in range(self._bounds.max_calls_per_turn):
            if not (job := self._engine.pop_job()):
                break
            self._hosts.start_call(job)
        else:
            self.request_turn()
        if self.clients.received_requests:
            self.request_turn()
        self._hosts.close_expired()
        self._recovering_hosts.schedule_write_if_changed()
        if due_at != self._timer_at:
            if self._timer:
                self._timer.cancel()
            self._timer_at, self._timer = due_at, None
            if due_at:
                self._timer = self._loop.call_later(
                    max(0, due_at - clock.monotonic_ns()) / 1e9, self._on_timer
                )
        if self._linger_elapsed and not (self._journal.owed or self._notifications.busy):
            self.stop()

    def _answer_requests(self) -> None:
        """Answer a bounded number of requests, one of each connection, beside withdrawn ones."""
        remaining = self._bounds.max_requests_per_turn
        requests = self.clients.received_requests
        while requests and remaining:
            connection, request = requests.popleft()
            if connection.has_client_ended():
                self._withdraw_request(connection, request)
                continue
            remaining -= 1
            try:
                self._answer_request(connection, request)
            except Exception:
                connection.close_gracefully("fault")
                raise

    def _withdraw_request(self, connection: ClientConnection, request: Request) -> None:
        """Drop a request whose client has closed the connection before its answer: it is not accepted."""
        self._counters.add("requests_withdrawn")
        self._log.info(f"request-withdrawn id={request.id.decode()} peer={connection.peer}")
        connection.withdraw()

    def _answer_request(self, connection: ClientConnection, request: Request) -> None:
        path = request.url.partition(b"?")[0]
        if request.error_status:
            self._counters.add("requests_malformed")
            connection.respond(request, request.error_status)
        elif path == b"/ready":
            connection.respond(request, 200 if self.is_ready() else 503)
        elif path == b"/counters":  # the same counters as the control address
            connection.respond(
                request, 200, json.dumps(self.collect_counters(), separators=(",", ":")).encode()
            )
        elif path == b"/counters/all":  # every counter, one a line
            connection.respond(request, 200, self._counters.encode_lines())
        elif path != b"/api" or request.method != b"POST":
            connection.respond(request, 404 if path != b"/api" else 405)
        elif (
            not request.id
            or request.remaining_time < 0
            or request.destination < 0
            or request.profile not in self._service_classes
        ):
            self._counters.add("requests_malformed")
            if request.profile:
                self._replies.add_unknown(request.profile)
            request.error_status = 400
            connection.respond(request, 400, keep_alive=False)
        else:
            self._accept_message(connection, request)

    def _is_known(self, message_id: bytes) -> bool:
        """Whether this process or another one of its folder has accepted the id."""
        if message_id in self._owed or message_id in self._journal.ended_ids:
            return True
        return self._concurrent.knows_id(message_id)

    def _accept_message(self, connection: ClientConnection, request: Request) -> None:
        if self._is_known(request.id):
            # A repeated request, or another client's request under the same id: the id is accepted already.
            # Rule 2 (no message takes effect twice); hosts can't use a second body under one id, and it would
            # harm the packets that travel in the same batch.
            connection.respond(request, 202)
            return
        now, deadline = clock.monotonic_ns(), request.received_at + request.remaining_time
        self._journal.ended_ids.drop_expired(now)
        self._loop_lag.record(now, now - request.received_at)
        message = OwedMessage(
            request.id,
            request.profile,
            request.account,
            request.key,
            request.idempotency_key,
            request.destination,
            clock.to_wall(deadline),
            request.body,
        )
        shortage = find_shortage(
            self._bounds,
            len(self._owed),
            self._journal.live_bytes + message.size,
            len(self._journal.ended_ids),
        )
        free_bytes = self._free_bytes if shortage is RefusalReason.NONE else 0
        wait = self._engine.check_admission(
            message.destination, message.size, free_bytes, deadline - now, self._loop_lag.current(now)
        )
        if not wait:
            try:
                self._concurrent.record_accepted(message)
            except OSError as error:
                self._log.info(f"journal-failed taken {error}")
                wait = self._engine.check_admission(message.destination, 1, 0, deadline - now, 0)
        if wait:
            reason = self._engine.refusal_reason
            if reason is RefusalReason.NO_ROOM and shortage is not RefusalReason.NONE:
                reason = shortage
            self._counters.add("packets_refused")
            self._counters.add(f"packets_refused_{reason.value}")
            self._log.info(
                f"message-refused id={message.id.decode()} destination={message.destination} "
                f"reason={reason.value}"
            )
            self._replies.add(message.profile, Reply.OVERLOAD)
            connection.respond(request, 503, retry_after=wait, keep_alive=not self._shutting_down)
            return
        if connection.has_client_ended():
            self._journal.record_withdrawn(message)
            self._withdraw_request(connection, request)
            return
        self._owed[message.id] = message
        self._counters.add("packets_taken")
        connection.respond(request, 202)
        if self._backlog:
            # Behind the messages accepted before it, so that those of one key keep their order.
            self._backlog.append(message)
        else:
            self._submit_message(message)

    def _record_outcome(
        self,
        part: Part[OwedMessage],
        outcome: Outcome,
        finished: bool,
        wait: int,
        load: bytes,
        proven: bool,
    ) -> None:
        """Record the outcome of an attempt; one that is not proven is settled later."""
        if wait > 0 and self._engine.is_current_host(part.job):
            self._retry_after_waits.record_wait(part.job.host, wait)
        self._counters.add("trips_" + outcome.name.lower())
        if final_answer := choose_final_answer(outcome, finished):
            self._ends.record_final_answer(part.item, final_answer, proven)
        self._engine.report_outcome(
            clock.monotonic_ns(), part, outcome, finished, wait, self._parse_load(load), proven
        )
        if outcome is not Outcome.FULFILLED:
            self._log_failure(part, outcome, finished, wait)
        self.request_turn()

    def _record_late_answer(self, part: Part[OwedMessage], final_answer: FinalAnswer, proven: bool) -> None:
        """Record a final answer to a call that was given up for this message, which may wait to go again."""
        self._log.info(f"late-answer id={part.item.id.decode()} answer={final_answer.name.lower()}")
        self._ends.record_final_answer(part.item, final_answer, proven)
        self._engine.withdraw(clock.monotonic_ns(), part.item)
        self.request_turn()

    def _settle_answer(self, answer: UnprovenAnswer, settlement: Settlement) -> None:
        """Act on an answer that was unproven, now that it is settled."""
        if answer.outcome.finished:
            self._ends.settle(answer, settlement)
        else:
            self._settle_undelivered(answer, settlement)
        self.request_turn()

    def _settle_undelivered(self, answer: UnprovenAnswer, settlement: Settlement) -> None:
        message = answer.part.item
        is_refusal = answer.outcome.outcome.never_ran
        never_ran = is_refusal and settlement is Settlement.CONFIRMED
        if is_refusal and message.id in self._owed:
            if never_ran:
                self._journal.record_never_ran(message, answer.trip)
            elif settlement is Settlement.RETRACTED:
                self._journal.record_may_have_run(message, answer.trip)
        self._engine.settle_outcome(clock.monotonic_ns(), answer.part, never_ran)

    def _record_unasked_wait(self, host: str, wait: int) -> None:
        """Heed a retry-after that came without a request: the answer to a call that had another one."""
        self._retry_after_waits.record_wait(host, wait)
        now = clock.monotonic_ns()
        self._engine.apply_retry_after(now, host.encode(), now + wait)
        self.request_turn()

    def _log_failure(self, part: Part[OwedMessage], outcome: Outcome, finished: bool, wait: int) -> None:
        """Log a failed attempt with the current state of its host."""
        view = self._engine.view_host(part.job.host.encode())
        host_fields = ""
        if view:
            now = clock.monotonic_ns()
            succeeded_ms_ago = (now - view.last_success_at) // MILLISECOND if view.last_success_at else -1
            next_call_ms = max(0, view.next_call_at - now) // MILLISECOND
            host_fields = (
                f" state={view.state.value} well_ms_ago={succeeded_ms_ago} limit={view.limit:.3f}"
                f" next_ms={next_call_ms} destination={part.item.destination}"
            )
        self._log.info(
            f"attempt-failed id={part.item.id.decode()} peer={part.job.host} "
            f"outcome={outcome.name.lower()} finished={finished} wait_ms={wait // MILLISECOND}{host_fields}"
        )

    def _parse_load(self, load: bytes) -> tuple[float, ...]:
        if not load or not self._load_metrics:
            return ()
        try:
            fields = dict(field.strip().split(b"=", 1) for field in load.split(b","))
            return tuple(parse_number(fields[name.encode()]) for name in self._load_metrics)
        except (ValueError, KeyError):
            return ()

    def _end_undelivered(self, ending: UndeliveredPacket[OwedMessage]) -> None:
        self._ends.give_up(ending.item, ending.reason, ending.attempts, ending.again, ending.retry_after)

    def reload(self, config: Config) -> None:
        """Apply a configuration read at SIGHUP.

        Discovery and notifications move to the address given now.  New and changed profiles take effect from
        now on, removed ones are refused, and packets already accepted keep theirs.  A lower limit of trips
        binds at once.
        """
        changed_count = self._service_classes.reload(config.settings)
        self._concurrent.set_key_quiet_time(config.settings)
        self._log.always(f"settings profiles={len(self._service_classes)} new-or-changed={changed_count}")
        if config.discovery != self._discovery_address:
            self._discovery_address = config.discovery
            self._watch.change_address(config.discovery)
            self._notifications.set_address(config.discovery)

    def begin_shutdown(self) -> None:
        """Handle SIGTERM: accept nothing new and finish what can be finished; the journal keeps the rest."""
        if self._shutting_down:
            return
        self._shutting_down = True
        self._log.always(f"leaving owed={len(self._journal.owed)}")
        self._engine.begin_shutdown(
            clock.monotonic_ns() + self._bounds.shutdown_timeout_ns, self._journal.has_concurrent_process()
        )
        self.clients.close_idle("leaving")
        self._loop.call_later(self._bounds.shutdown_linger_ns / 1e9, self._end_linger)
        self._loop.call_later(self._bounds.shutdown_timeout_ns / 1e9, self.stop)
        self.request_turn()

    def _end_linger(self) -> None:
        """Allow the process to end once nothing is owed: late connections have arrived by now."""
        self._linger_elapsed = True
        self.request_turn()

    def stop(self) -> None:
        if not self.stopped.done():
            self.stopped.set_result(None)

    def close(self) -> None:
        """Close all connections at the end of the process; the journal holds the calls still in flight.

        The journal is released last: from then on another process may take over what it holds, and this one
        decides nothing more.
        """
        self._is_closed = True
        self._concurrent.close()
        self._journal.write_late_records()
        self._recovering_hosts.close()
        self._watch.close()
        self._notifications.close()
        self._hosts.close()
        self._journal.close()
