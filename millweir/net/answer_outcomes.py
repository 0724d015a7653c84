"""What an answer of a host says of the messages of its call: the outcome of each, as read from its bytes."""

from __future__ import annotations

import json
from dataclasses import dataclass

from millweir.answers.final import FinalAnswer
from millweir.interface import Outcome
from millweir.net.heads import ResponseReader

DELIVERED_STATUS = 200
OVER_STATUS = 410
# A call that was answered with any other status may have run.
OUTCOME_BY_STATUS = {
    DELIVERED_STATUS: Outcome.FULFILLED,
    429: Outcome.FULL,
    503: Outcome.FULL,
    504: Outcome.MOOT,
    OVER_STATUS: Outcome.MOOT,
    404: Outcome.MOOT,
    400: Outcome.UNREADABLE,
    413: Outcome.UNREADABLE,
}
KNOWN_STATUSES = (DELIVERED_STATUS, OVER_STATUS, 429, 500, 503, 504)
OUTCOME_BY_STATE = {  # of one message in the answer to a batch
    "accepted": Outcome.FULFILLED,
    "fault": Outcome.FAULT,
    "deferred": Outcome.FULL,
    "expired": Outcome.MOOT,
    "no_more": Outcome.MOOT,
}
FINAL_STATES = ("accepted", "expired")  # the message needs no further attempt


@dataclass(frozen=True, slots=True)
class PartOutcome:
    """How one message fared.

    `finished`: it needs no further attempt.  `by_name`: the answer says so of this message by its name, which
    holds whichever call it answers.
    """

    outcome: Outcome
    finished: bool = False
    by_name: bool = False

    @property
    def final_answer(self) -> FinalAnswer | None:
        """What the answer said, if it ended the message."""
        return choose_final_answer(self.outcome, self.finished)


def choose_final_answer(outcome: Outcome, finished: bool) -> FinalAnswer | None:
    """What an answer said that led to this outcome, if it ended the message (`finished`)."""
    if not finished:
        return None
    return FinalAnswer.DELIVERED if outcome is Outcome.FULFILLED else FinalAnswer.OVER


def read_common_outcome(reader: ResponseReader, call_number: int) -> PartOutcome:
    """Read an answer that says the same of all messages of its call."""
    if reader.over_slots:
        return PartOutcome(Outcome.MOOT)
    outcome = OUTCOME_BY_STATUS.get(reader.status, Outcome.FAULT)
    if reader.status == 503 and not reader.keep_alive and call_number == 1:
        outcome = Outcome.CROWDED  # refused on a new connection: too many
    return PartOutcome(outcome, reader.status in (DELIVERED_STATUS, OVER_STATUS))


def read_states(body: bytes) -> dict[str, object] | None:
    """Read the state of each message from the answer to a batch; None where it can't be parsed."""
    try:
        return {row["id"]: row["state"] for row in json.loads(body)}
    except (ValueError, KeyError, TypeError, RecursionError):
        return None


def read_part_outcome(state: object) -> PartOutcome:
    """Return the outcome of one message by its state; one without a known state may have run."""
    if not isinstance(state, str) or state not in OUTCOME_BY_STATE:
        return PartOutcome(Outcome.SPOILT)
    finished = state in FINAL_STATES
    return PartOutcome(OUTCOME_BY_STATE[state], finished, by_name=finished)
