"""Settles the unproven answers of host connections: confirmed by silence or a proven one, or in doubt."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from millweir.answers.final import Settlement
from millweir.answers.policy import MAX_RETRACTABLE_BYTES
from millweir.net import clock
from millweir.net.counters import Counters
from millweir.net.host_call import UnprovenAnswer
from millweir.net.links import Connection
from millweir.net.log import Log

MIN_CHECK_INTERVAL_NS = 5_000_000  # while bytes of another answer are coming in
RETAINED_OVERHEAD_BYTES = 1 << 10  # of a message beside its body

Settle = Callable[[UnprovenAnswer, Settlement], None]


class AnswerChecks:
    """Reports for each unproven answer, once, whether it is confirmed (`settle`).

    What a silence alone has confirmed may still be disproved by bytes that come on the connection: such an
    answer is reported a second time, as retracted.  The latest ones are kept for that, within a bound.
    """

    __slots__ = ("_counters", "_log", "_loop", "_retractable", "_retractable_bytes", "_settle")

    def __init__(self, loop: asyncio.AbstractEventLoop, settle: Settle, log: Log, counters: Counters) -> None:
        self._loop, self._settle, self._log, self._counters = loop, settle, log, counters
        self._retractable: dict[Connection, list[UnprovenAnswer]] = {}
        self._retractable_bytes = 0

    def schedule(self, connection: Connection) -> None:
        """Check the connection when its answers may be confirmed; one timer serves all of them."""
        if connection.check_timer or not len(connection.unproven):
            return
        delay = max(connection.unproven.next_check_at - clock.monotonic_ns(), MIN_CHECK_INTERVAL_NS) / 1e9
        connection.check_timer = self._loop.call_later(
            delay, clock.call_after_poll, self._loop, self._check, connection
        )

    def _check(self, connection: Connection) -> None:
        """Runs after a poll: what had come while the process was stopped has been read."""
        connection.check_timer = None
        if not connection.open:
            return
        now = clock.monotonic_ns()
        if connection.silent:
            connection.unproven.record_silence(now)
        confirmed = connection.unproven.take_confirmed(now)
        self._keep_retractable(connection, confirmed)
        self._report(confirmed, Settlement.CONFIRMED)
        expired = connection.unproven.take_expired(now)
        self._report_not_confirmed(expired, Settlement.UNCONFIRMED, connection, "no silence in time")
        connection.close_if_settled()
        self.schedule(connection)

    def confirm_all(self, connection: Connection) -> None:
        """A later answer is proven, so all earlier ones are."""
        self._take_retractable(connection)
        self._report(connection.unproven.take_all(), Settlement.CONFIRMED)

    def doubt_all(self, connection: Connection, reason: str) -> None:
        """An answer is refuted: those before it may be as wrong."""
        self._report_not_confirmed(connection.unproven.take_all(), Settlement.DOUBTED, connection, reason)

    def retract_all(self, connection: Connection, reason: str) -> None:
        """An answer is refuted: what a silence confirmed before may be as wrong."""
        retracted = self._take_retractable(connection)
        self._report_not_confirmed(retracted, Settlement.RETRACTED, connection, reason)

    def end(self, connection: Connection) -> None:
        """Settle what is left when the connection has ended."""
        if connection.check_timer:
            connection.check_timer.cancel()
            connection.check_timer = None
        self._take_retractable(connection)
        if connection.ended_as_announced:
            self.confirm_all(connection)
        if not connection.is_distrusted:
            self._report(connection.unproven.take_after_silence(), Settlement.CONFIRMED)
        lost = connection.unproven.take_all()
        self._report_not_confirmed(lost, Settlement.UNCONFIRMED, connection, "connection lost")

    def _keep_retractable(self, connection: Connection, confirmed: list[UnprovenAnswer]) -> None:
        if confirmed:
            self._retractable.setdefault(connection, []).extend(confirmed)
            self._retractable_bytes += sum(map(_count_retained_bytes, confirmed))
        while self._retractable_bytes > MAX_RETRACTABLE_BYTES:
            self._take_retractable(next(iter(self._retractable)))

    def _take_retractable(self, connection: Connection) -> list[UnprovenAnswer]:
        answers = self._retractable.pop(connection, [])
        self._retractable_bytes -= sum(map(_count_retained_bytes, answers))
        return answers

    def _report_not_confirmed(
        self, answers: list[UnprovenAnswer], settlement: Settlement, connection: Connection, reason: str
    ) -> None:
        """Count, log and report answers that are not confirmed, or no longer."""
        for answer in answers:
            self._counters.add(f"answers_{settlement.value}")
            self._log_answer(f"answer-{settlement.value}", answer, connection, reason)
        self._report(answers, settlement)

    def _log_answer(self, event: str, answer: UnprovenAnswer, connection: Connection, reason: str) -> None:
        self._log.info(
            f"{event} id={answer.part.item.id.decode()} peer={connection.peer} "
            f"outcome={answer.outcome.outcome.name.lower()} finished={answer.outcome.finished} "
            f"call={answer.call_number} of={connection.request_count} reason={reason!r}"
        )

    def _report(self, answers: Iterable[UnprovenAnswer], settlement: Settlement) -> None:
        for answer in answers:
            self._settle(answer, settlement)


def _count_retained_bytes(answer: UnprovenAnswer) -> int:
    return len(answer.part.item.body) + RETAINED_OVERHEAD_BYTES
