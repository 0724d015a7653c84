"""Settles the unproven answers of host connections: confirmed by silence or a proven one, or in doubt."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from millweir.net import clock
from millweir.net.counters import Counters
from millweir.net.host_call import UnprovenAnswer
from millweir.net.links import Connection
from millweir.net.log import Log

MIN_CHECK_INTERVAL_NS = 5_000_000  # while bytes of another answer are coming in
Settle = Callable[[UnprovenAnswer, bool], None]


class AnswerChecks:
    """Reports for each unproven answer, once, whether it is confirmed (`settle`)."""

    __slots__ = ("_counters", "_log", "_loop", "_settle")

    def __init__(self, loop: asyncio.AbstractEventLoop, settle: Settle, log: Log, counters: Counters) -> None:
        self._loop, self._settle, self._log, self._counters = loop, settle, log, counters

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
        self._report(connection.unproven.take_confirmed(now), True)
        self._doubt(connection.unproven.take_expired(now), connection, "no silence in time")
        connection.close_if_settled()
        self.schedule(connection)

    def confirm_all(self, connection: Connection) -> None:
        """A later answer is proven, so all earlier ones are."""
        self._report(connection.unproven.take_all(), True)

    def doubt_all(self, connection: Connection, reason: str) -> None:
        """An answer is refuted, or no silence can confirm the answers any more."""
        self._doubt(connection.unproven.take_all(), connection, reason)

    def end(self, connection: Connection) -> None:
        """Settle what is left when the connection has ended."""
        if connection.check_timer:
            connection.check_timer.cancel()
            connection.check_timer = None
        if connection.ended_as_announced:
            self.confirm_all(connection)
        self._report(connection.unproven.take_after_silence(), True)
        self.doubt_all(connection, "connection lost")

    def _doubt(self, answers: Iterable[UnprovenAnswer], connection: Connection, reason: str) -> None:
        answers = list(answers)
        for answer in answers:
            self._counters.add("answers_doubted")
            self._log.info(
                f"answer-doubted id={answer.part.item.id.decode()} peer={connection.peer} "
                f"outcome={answer.outcome.outcome.name.lower()} finished={answer.outcome.finished} "
                f"call={answer.call_number} of={connection.request_count} reason={reason!r}"
            )
        self._report(answers, False)

    def _report(self, answers: Iterable[UnprovenAnswer], confirmed: bool) -> None:
        for answer in answers:
            self._settle(answer, confirmed)
