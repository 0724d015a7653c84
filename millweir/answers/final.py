"""What it means for a message that a host's whole answer has ended it; no I/O and no clock.

Theory of operation.  Two questions are kept apart.

May the message still be sent?  The first whole answer that ends it answers this, at once and for good, in
this process and in the next one: it says that the message was delivered, or that nothing more is owed for it.
How far that answer is believed makes no difference here.

How does it end?  Silently, once the answer is proven or confirmed (see `policy.py`).  Else by a notification,
which does no harm where the answer was true and is the end that the message is owed where it was not: an
answer may belong to another request, and the message may never have reached its host.
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
