"""One call to a host: writing it, reading its answer, and the outcome of each of its packets."""

from __future__ import annotations

import asyncio
import base64
import json
from dataclasses import dataclass
from typing import TYPE_CHECKING

from millweir.answers.final import FinalAnswer, Settlement
from millweir.answers.policy import (
    Belief,
    Naming,
    is_delivery_certain,
    is_next_answer_proven,
    judge_answer,
    judge_early_answer,
)
from millweir.answers.trust import HostTrust
from millweir.facade import Job, Part
from millweir.interface import MILLISECOND, Outcome
from millweir.net import clock
from millweir.net.answer_outcomes import (
    DELIVERED_STATUS,
    KNOWN_STATUSES,
    OVER_STATUS,
    PartOutcome,
    read_common_outcome,
    read_part_outcome,
    read_states,
)
from millweir.net.heads import ResponseReader
from millweir.net.links import Connection
from millweir.net.owed_message import OwedMessage

if TYPE_CHECKING:
    from millweir.net.hosts import ConnectionPool, HostConnections


@dataclass(frozen=True, slots=True)
class UnprovenAnswer:
    """What an answer says of one packet, as long as it may belong to another request."""

    part: Part[OwedMessage]
    trip: int  # index of the trip in the journal
    outcome: PartOutcome
    trust: HostTrust  # in the endpoint that gave it
    call_number: int  # of the call on its connection
    taken: int  # nanoseconds from the call to this answer


class HostCall:
    """One call in progress: its packets, the connection that it is written to, and its timer."""

    __slots__ = (
        "_hosts",
        "_journaled_trips",
        "_expects_proven",
        "_written_parts",
        "_written_at",
        "job",
        "connect_task",
        "connection",
        "is_resting",
        "pool",
        "timer",
        "pending_parts",
    )

    def __init__(self, hosts: HostConnections, job: Job[OwedMessage], pool: ConnectionPool) -> None:
        self._hosts = hosts
        self.job = job
        self.pool = pool
        self.pending_parts: dict[Part[OwedMessage], None] = dict.fromkeys(job.parts)
        self.connection: Connection | None = None
        self.connect_task: asyncio.Task[None] | None = None  # opens a connection for it
        self.is_resting = False  # waits until its connection has rested
        self.timer: asyncio.TimerHandle | None = None
        self._written_parts: list[Part[OwedMessage]] = []
        self._written_at = 0
        self._expects_proven = False  # the answer is proven, whatever comes
        self._journaled_trips: dict[Part[OwedMessage], int] = {}  # index of each in the journal; sent since

    def write_request(self, connection: Connection) -> None:
        """Write the call except for its last byte, which is held back until `may_release`."""
        hosts, now = self._hosts, clock.monotonic_ns()
        for part in list(self.pending_parts):
            # While connecting, the packet may have ended, its host sent a retry-after or left, or its address
            # become another host's.
            if not hosts.may_write(self.pool, part):
                self.finish_part(part, Outcome.MOOT)
        parts = list(self.pending_parts)
        if not parts:
            hosts.return_to_pool(self.pool, connection)
            return
        self.connection = connection
        self._written_parts = parts
        self._written_at = now
        self._expects_proven = is_next_answer_proven(
            connection.request_count + 1, connection.in_step, now - connection.idle_since
        )
        remaining_ms = max(1, -(-(self.given_up_at - now) // MILLISECOND))
        if len(parts) == 1:
            message = parts[0].item
            path, body, id_headers = b"/hook", message.body, b"X-Correlation-Id: %b\r\n" % message.id
            if message.idempotency_key:
                id_headers += b"Idempotency-Key: %b\r\n" % message.idempotency_key
        else:
            rows = []
            for part in parts:
                row = {"id": part.item.id.decode()}
                if part.item.idempotency_key:
                    row["key"] = part.item.idempotency_key.decode()
                row["body"] = base64.b64encode(part.item.body).decode()
                rows.append(row)
            path, body, id_headers = b"/hook/batch", json.dumps(rows, separators=(",", ":")).encode(), b""
        head = b"POST %b HTTP/1.1\r\nHost: %b\r\n%bX-Time-Left: %dm\r\nContent-Length: %d\r\n\r\n" % (
            path,
            self.pool.name.encode(),
            id_headers,
            remaining_ms,
            len(body),
        )
        connection.send_request(self, [head, body], hosts.bounds.last_byte_hold_ns)

    def may_release(self, connection: Connection) -> bool:
        """Journal the trips and return True, if every packet that was written may still be sent."""
        hosts, parts = self._hosts, list(self.pending_parts)
        try:
            self._check_may_send(parts)
            # So that a packet does not take effect twice after a restart (rule 2): hosts recognise a repeat
            # for a time that begins with the first byte of the call, which is the time to journal.
            hosts.journal.record_trips([part.item for part in parts], clock.to_wall(self._written_at))
            self._journaled_trips = {part: len(part.item.trips) - 1 for part in parts}
            self._check_may_send(parts)  # again: the journal write may have taken long
        except OSError as error:
            hosts.log.info(f"call-withheld {error}")
            connection.close("withheld", abort=True)
            self.finish_all(Outcome.MOOT)
            return False
        hosts.counters.add("calls_sent")
        hosts.counters.add("trips_sent", len(parts))
        return True

    def _check_may_send(self, parts: list[Part[OwedMessage]]) -> None:
        """Raise OSError unless every packet that was written may still be sent."""
        bounds = self._hosts.bounds
        release_due_at = self._written_at + bounds.last_byte_hold_ns
        if clock.monotonic_ns() > release_due_at + bounds.max_release_delay_ns:
            raise OSError("the process was held up: what came meanwhile has not been read")
        may_write = all(self._hosts.may_write(self.pool, part) for part in parts)
        if not may_write or parts != self._written_parts or self.connection.reader.started:
            raise OSError(
                "a packet was given up, the response came early, or the host sent a retry-after, left, "
                "or lost its address"
            )

    def finish_part(
        self,
        part: Part[OwedMessage],
        outcome: Outcome,
        finished: bool = False,
        retry_after: int = 0,
        backend_load: bytes = b"",
        proven: bool = True,
    ) -> None:
        """Report the outcome of one packet; `finished`: the packet needs no further trip.

        `proven`: it can't be the outcome of an earlier call on the same connection.
        """
        if part not in self.pending_parts:
            return
        del self.pending_parts[part]
        if not self.pending_parts:
            self._hosts.finish_call(self)
        if proven and outcome.never_ran and part in self._journaled_trips:
            self._hosts.journal.record_never_ran(part.item, self._journaled_trips[part])
        self._hosts.report(part, outcome, finished, retry_after, backend_load, proven)

    def finish_all(
        self, outcome: Outcome, finished: bool = False, retry_after: int = 0, backend_load: bytes = b""
    ) -> None:
        for part in list(self.pending_parts):
            self.finish_part(part, outcome, finished, retry_after, backend_load)

    def withdraw(self) -> None:
        """Take the call back, unless it may run: its endpoint may not receive its messages any more."""
        if self.connection is None:
            stage = "resting" if self.is_resting else "connecting"
            if self.connect_task:
                self.connect_task.cancel()
        elif not self._journaled_trips or self.connection.has_unsent_bytes:
            stage = "writing"
            self.connection.close("withdrawn", abort=True)
        else:
            return
        self._hosts.log.info(
            f"call-withdrawn peer={self.pool.name} stage={stage} messages={len(self.pending_parts)}"
        )
        self._hosts.counters.add("calls_withdrawn")
        self.finish_all(Outcome.MOOT)

    def give_up(self, part: Part[OwedMessage], outcome: Outcome) -> None:
        """Stop waiting for one packet; with the last one the connection is closed."""
        if part not in self.pending_parts:
            return
        if self.connection is None:
            outcome = Outcome.MOOT if self.is_resting else Outcome.UNCONNECTED  # nothing was written yet
        elif len(self.pending_parts) == 1:
            self.connection.close("given-up", abort=True)
        if self.connection and not self._journaled_trips:
            outcome = Outcome.MOOT
        if self.is_delivered:
            self.finish_part(part, Outcome.FULFILLED, finished=True)
        elif self.is_over:
            self._finish_over(part)
        else:
            self.finish_part(part, outcome)

    def give_up_expired(self) -> None:
        """Give up the packets whose waiting time has passed, and set the timer for the others."""
        now = clock.monotonic_ns()
        for part in [part for part in self.pending_parts if part.until <= now]:
            self.give_up(part, Outcome.TIMED_OUT)
        self.set_timer()

    def set_timer(self) -> None:
        """Set the timer to the first time at which a packet is to be given up."""
        if self.timer:
            self.timer.cancel()
            self.timer = None
        if self.pending_parts:
            remaining = min([part.until for part in self.pending_parts]) - clock.monotonic_ns()
            # Half a millisecond later, so that the packet's time has passed when the timer fires
            self.timer = self._hosts.loop.call_later(
                max(remaining, 0) / 1e9 + 0.0005,
                clock.call_after_poll,
                self._hosts.loop,
                self.give_up_expired,
            )

    def handle_response(self, connection: Connection) -> None:
        """Take a complete answer, as far as it may be believed (see `millweir/answers/policy.py`)."""
        if not self._journaled_trips:
            self._handle_early_answer(connection)
            return
        reader, too_late = connection.reader, self._is_past_deadline
        naming, outcomes = self._read_outcomes(connection, too_late)
        belief = judge_answer(self._expects_proven, reader.followed, naming)
        if belief is Belief.REFUTED:
            outcomes = {
                part: how if how.finished else PartOutcome(Outcome.SPOILT) for part, how in outcomes.items()
            }
        unproven = [
            self._build_unproven(part, how)
            for part, how in outcomes.items()
            if belief is Belief.UNPROVEN and self._has_to_be_proven(part, how)
        ]
        self._hosts.record_answer(self, belief, unproven)
        for part, how in outcomes.items():
            settlement = _settle_at_once(how, belief, too_late)
            proven = settlement is None and (belief is not Belief.UNPROVEN or how.by_name)
            if part in self.pending_parts:
                self.finish_part(
                    part, how.outcome, how.finished, reader.retry_after, reader.backend_load, proven
                )
            elif how.final_answer:
                self._hosts.report_late(part, how.final_answer, proven)
            if settlement:
                self._hosts.settle_answer(self._build_unproven(part, how), settlement)

    def _has_to_be_proven(self, part: Part[OwedMessage], how: PartOutcome) -> bool:
        """Whether what an unproven answer says of a message is settled later."""
        if how.finished:
            return not how.by_name
        return part in self.pending_parts and (how.outcome.never_ran or part.forbids_second_copy)

    def _build_unproven(self, part: Part[OwedMessage], how: PartOutcome) -> UnprovenAnswer:
        trip, taken = self._journaled_trips[part], clock.monotonic_ns() - self._written_at
        return UnprovenAnswer(part, trip, how, self.pool.trust, self.connection.request_count, taken)

    def _finish_unconfirmed(self, part: Part[OwedMessage], how: PartOutcome, settlement: Settlement) -> None:
        """End a message by a final answer that is not proven, and that nothing can confirm any more."""
        self.finish_part(part, how.outcome, finished=True, proven=False)
        self._hosts.settle_answer(self._build_unproven(part, how), settlement)

    def _handle_early_answer(self, connection: Connection) -> None:
        """Take an answer that came before the last byte of the call was sent: the call never ran.

        On a connection's first call it can't be meant for another one: that the messages are over ends them.
        A delivery is none, as the host has not got the call.
        """
        reader = connection.reader
        how = read_common_outcome(reader, connection.request_count)
        belief = judge_early_answer(connection.request_count, how.outcome.never_ran)
        self._hosts.record_early_answer(self, belief)
        if belief is Belief.REFUTED:
            self.finish_all(Outcome.CUT_OFF, False, reader.retry_after, reader.backend_load)
        else:
            self.finish_all(how.outcome, how.finished, reader.retry_after, reader.backend_load)

    def _read_outcomes(
        self, connection: Connection, too_late: bool
    ) -> tuple[Naming, dict[Part[OwedMessage], PartOutcome]]:
        """Return whether the answer names the messages of this call, and how each of them fared by it.

        Those that the call was given up for are among them.  `too_late`: a message has reached its deadline,
        so that the answer is a delivery for none of them (rule 1: each has its end in time).
        """
        reader = connection.reader
        if reader.status == DELIVERED_STATUS and not self.is_single:
            return self._read_states(reader, too_late)
        if reader.status not in KNOWN_STATUSES:
            self._hosts.log.info(f"odd-answer host={self.pool.name} status={reader.status}")
        how = read_common_outcome(reader, connection.request_count)
        return Naming.NONE, dict.fromkeys(self._written_parts, how)

    def _read_states(
        self, reader: ResponseReader, too_late: bool
    ) -> tuple[Naming, dict[Part[OwedMessage], PartOutcome]]:
        states = read_states(reader.body)
        if states is None:
            states = {}  # every message may have run
            self._hosts.log.info(f"garbled-answer host={self.pool.name}")
        outcomes = {}
        for part in self._written_parts:
            how = read_part_outcome(states.get(part.item.id.decode()))
            if too_late and not how.finished:
                how = PartOutcome(Outcome.CANCELLED)
            outcomes[part] = how
        return self._compare_names(states), outcomes

    @property
    def _is_past_deadline(self) -> bool:
        """Whether a message of the batch has reached its deadline."""
        return not self.is_single and clock.monotonic_ns() >= self.job.answer_deadline

    def _compare_names(self, states: dict[str, object]) -> Naming:
        """Compare the names in an answer with the packets that were written."""
        if {part.item.id.decode() for part in self._written_parts} != states.keys():
            return Naming.OTHER
        first_trip = any(not self._journaled_trips.get(part, 1) for part in self._written_parts)
        return Naming.EXACT if first_trip else Naming.REPEATED

    @property
    def is_single(self) -> bool:
        """Whether one packet was written; others of the job may have ended before that."""
        return len(self._written_parts) == 1

    @property
    def _was_sent_alone(self) -> bool:
        """Whether the call was sent whole, with one message: a status line says all of its answer."""
        return bool(self._journaled_trips) and self.is_single

    @property
    def is_delivered(self) -> bool:
        """Whether a single packet is delivered: a status line with 200 suffices, whatever follows it."""
        connection = self.connection
        return self._was_sent_alone and is_delivery_certain(
            connection.request_count, connection.reader.status_line_code
        )

    @property
    def is_over(self) -> bool:
        """Whether a status line has said that a single message is over, whatever follows it."""
        connection = self.connection
        return (
            self._was_sent_alone
            and not connection.invalid_response
            and connection.reader.status_line_code == OVER_STATUS
        )

    def _finish_over(self, part: Part[OwedMessage]) -> None:
        """End a message by a status line alone, which on a used connection may be that of an earlier call."""
        if self.connection.request_count == 1:
            self.finish_part(part, Outcome.MOOT, finished=True)
        else:
            self._finish_unconfirmed(part, PartOutcome(Outcome.MOOT, True), Settlement.UNCONFIRMED)

    @property
    def is_connecting(self) -> bool:
        """Whether it waits for a connection of its own."""
        return self.connection is None and not self.is_resting

    @property
    def needs_proof(self) -> bool:
        """Whether a message of the call would have to wait until an unproven answer is confirmed."""
        return any(part.waits_for_proof or part.in_order for part in self.pending_parts)

    @property
    def given_up_at(self) -> int:
        """When the call is given up without an answer, if it was written."""
        return min(self.job.answer_deadline, max(part.until for part in self._written_parts))

    @property
    def written_at(self) -> int:
        """When the call was written."""
        return self._written_at

    def handle_loss(self, connection: Connection) -> None:
        """Take the loss of the connection, or an answer that can't be parsed."""
        if self.is_delivered:
            self.finish_all(
                Outcome.FULFILLED, True, connection.reader.retry_after, connection.reader.backend_load
            )
        elif self.is_over:
            for part in list(self.pending_parts):
                self._finish_over(part)
        else:
            outcome = Outcome.SPOILT if connection.invalid_response else Outcome.RESET
            self.finish_all(outcome if self._journaled_trips else Outcome.CUT_OFF)


def _settle_at_once(how: PartOutcome, belief: Belief, too_late: bool) -> Settlement | None:
    """Return how a final answer is settled as it comes; None if it is proven, or settled later.

    `too_late`: a message of the batch has reached its deadline, so that the answer is no delivery.
    """
    if too_late and how.final_answer is FinalAnswer.DELIVERED:
        return Settlement.UNCONFIRMED
    if belief is Belief.REFUTED and how.finished and not how.by_name:
        return Settlement.DOUBTED
    return None
