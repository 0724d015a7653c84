"""What a member holds of the others: one row each, with a degree."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from millweir.members.messages import Claim
from millweir.members.rules import NEVER


class Degree(Enum):
    """How a member stands in this view."""

    ALIVE = "alive"
    LATE = "late"  # it answers late, or says so itself
    CUT = "cut"  # it lives, but a path between it and us is down
    SUSPECTED = "suspected"
    GONE = "gone"
    LEFT = "left"


class Standing(Enum):
    """How this member stands itself."""

    OUT = "out"  # not yet in, or its name is another's
    IN = "in"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Change:
    """A member's degree in this view is another one now."""

    at: int
    name: str
    before: Degree | None
    after: Degree
    by: str
    incarnation: int


class Member:
    """One other member, as held here."""

    __slots__ = (
        "accusers",
        "ask_in_vain",
        "claim",
        "cut_in",
        "cut_out",
        "degree",
        "heard_at",
        "late",
        "since",
        "suspected_at",
        "vain_since",
        "verdict_at",
        "word",
    )

    def __init__(self, claim: Claim, now: int) -> None:
        self.claim = claim
        self.degree = Degree.ALIVE  # never CUT or LATE: those show on top of it
        self.since = now
        self.word = claim.by
        self.heard_at = -NEVER  # by its own datagram
        self.late = 0  # ms, by its own word
        self.accusers: set[str] | None = None
        self.suspected_at = 0
        self.verdict_at = NEVER
        self.ask_in_vain = 0  # probes in a row answered through helpers only
        self.vain_since = 0
        self.cut_out = self.cut_in = 0  # since when from us to it, from it to us; 0 for not

    @property
    def active(self) -> bool:
        return self.degree is Degree.ALIVE or self.degree is Degree.SUSPECTED
