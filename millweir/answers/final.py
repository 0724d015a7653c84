"""Decides how a message ends whose host has said that it is over; no I/O and no clock.

Theory of operation.  Two questions are kept apart.

May the message still be sent?  The first whole answer that ends it answers this, at once and for good, in
this process and in the next one: it says that the message was delivered, or that nothing more is owed for it.
How far that answer is believed makes no difference here.

How does it end?  Silently, once the answer is proven or confirmed (see `policy.py`).  Else by a notification,
which does no harm where the answer was true and is the end that the message is owed where it was not.

There is one way back.  Where bytes came that no request had asked for, an answer of their connection belongs
to another request: a message that passed for delivered may never have reached its host, and is sent again
where its effect and its order allow that.  A connection that ends is no such evidence.  Nor is there a way
back from an answer that the message is over: no call can deliver such a message.
"""

from __future__ import annotations

from enum import Enum


class FinalAnswer(Enum):
    """What a whole answer said that ends a message; the values are those of the journal."""

    DELIVERED = 1
    OVER = 2  # it did not run, and nothing more is owed for it


class Settlement(Enum):
    """What became of an unproven answer."""

    CONFIRMED = "confirmed"
    UNCONFIRMED = "unconfirmed"  # nothing spoke against it, and no silence can confirm it any more
    DOUBTED = "doubted"  # bytes on its connection show that it may belong to another request
    RETRACTED = "retracted"  # the same, after a silence had confirmed it

    @property
    def is_contradicted(self) -> bool:
        """Whether bytes on the connection spoke against the answer."""
        return self in (Settlement.DOUBTED, Settlement.RETRACTED)


class Ending(Enum):
    """What is done with a message whose final answer is settled."""

    SILENT = "silent"
    NOTIFIED = "notified"
    SENT_AGAIN = "sent again"


def choose_ending(final_answer: FinalAnswer, settlement: Settlement, in_order: bool) -> Ending:
    """Choose how a message ends; `in_order`: the next message of its key may be out already."""
    if settlement is Settlement.CONFIRMED:
        return Ending.SILENT
    if final_answer is FinalAnswer.DELIVERED and settlement.is_contradicted and not in_order:
        return Ending.SENT_AGAIN
    return Ending.NOTIFIED
