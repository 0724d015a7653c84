"""The one end of each owed message: by an answer of a host, or by a notification to the platform."""

from __future__ import annotations

from collections.abc import Callable

from millweir.answers.final import FinalAnswer, Settlement
from millweir.events import EndReason
from millweir.facade import DecisionEngine
from millweir.interface import MILLISECOND
from millweir.net import clock
from millweir.net.counters import Counters
from millweir.net.host_call import UnprovenAnswer
from millweir.net.journal import Journal
from millweir.net.log import Log
from millweir.net.owed_message import NO_TRIP, OwedMessage
from millweir.net.replies import Reply, ReplyCounts


class MessageEnds:
    """Ends owed messages, each once, and keeps those that a host has ended from being sent again."""

    def __init__(
        self,
        owed: dict[bytes, OwedMessage],
        journal: Journal,
        engine: DecisionEngine[OwedMessage],
        notify: Callable[[OwedMessage], None],
        log: Log,
        counters: Counters,
    ) -> None:
        """`owed`: the messages by their ids; `notify`: queues the notification of a message's end."""
        self._owed, self._journal, self._engine = owed, journal, engine
        self._notify = notify
        self._log, self._counters = log, counters
        self.replies = ReplyCounts()

    def _is_open(self, message: OwedMessage) -> bool:
        return message.given_up is None and self._owed.get(message.id) is message

    def record_final_answer(self, message: OwedMessage, final_answer: FinalAnswer, proven: bool) -> None:
        """Record that a whole answer has ended a message, which is not sent again.

        One that is not proven is settled later.
        """
        if not self._is_open(message):
            return
        if proven:
            self._end_silently(message, final_answer)
        else:
            self._journal.record_final_answer(message, final_answer)

    def settle(self, answer: UnprovenAnswer, settlement: Settlement) -> None:
        """End a message as its unproven final answer is settled."""
        part, message = answer.part, answer.part.item
        if settlement is Settlement.RETRACTED and message.ended_by_trip == answer.trip:
            self._owe_again(message, answer.outcome.final_answer)
        if self._is_open(message):
            if settlement is Settlement.CONFIRMED:
                message.ended_by_trip = answer.trip
                self._end_silently(message, answer.outcome.final_answer)
            else:
                self.end_unconfirmed(message)
        self._engine.end_key_quiet(clock.monotonic_ns(), part)

    def _end_silently(self, message: OwedMessage, final_answer: FinalAnswer) -> None:
        is_delivered = final_answer is FinalAnswer.DELIVERED
        self._counters.add("packets_fulfilled" if is_delivered else "packets_over")
        self.replies.add(message.profile, Reply.SUCCESS if is_delivered else Reply.ERROR)
        self.finish(message)

    def end_unconfirmed(self, message: OwedMessage) -> None:
        """End a message by a notification whose final answer nothing can confirm any more."""
        self._counters.add("packets_unconfirmed")
        self.give_up(message, EndReason.ANSWER_UNCONFIRMED, len(message.trips))

    def _owe_again(self, message: OwedMessage, final_answer: FinalAnswer) -> None:
        """Owe a message again that had ended silently, by the answer that is retracted."""
        message.ended_by_trip, message.final_answer = NO_TRIP, final_answer
        if message.id in self._owed:
            return
        try:
            self._journal.record_accepted(message)
        except OSError as error:  # its end is owed all the same
            self._log.info(f"journal-failed taken {error}")
        self._owed[message.id] = message

    def give_up(
        self,
        message: OwedMessage,
        reason: EndReason,
        attempts: int,
        retryable: bool = False,
        wait: int = 0,
    ) -> None:
        """End a message by a notification; `retryable`: it may be handed in again after the wait."""
        remaining_ms = (message.deadline - clock.to_wall(clock.monotonic_ns())) // MILLISECOND
        answer = message.final_answer.name.lower() if message.final_answer else "none"
        self._log.info(
            f"message-ended id={message.id.decode()} end={'bounced' if retryable else 'dead'} "
            f"reason={reason.value} attempts={attempts} left_ms={remaining_ms} answer={answer}"
        )
        self._counters.add("packets_dismissed" if retryable else "packets_errored")
        self.replies.add(message.profile, Reply.OVERLOAD if retryable else Reply.ERROR)
        self._journal.record_given_up(message, retryable, wait)
        self._notify(message)

    def finish(self, message: OwedMessage) -> None:
        """Record that nothing more is owed for a message."""
        if self._owed.pop(message.id, None):
            self._journal.record_ended(message)
