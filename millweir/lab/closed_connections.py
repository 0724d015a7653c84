"""Connections that a stand-in ends by itself some time after an answer, drawn from a seed."""

from __future__ import annotations

import random
from dataclasses import dataclass

from millweir.lab.http_server import Close


@dataclass(frozen=True, slots=True)
class CloseTerms:
    """After which answers a connection is ended, how long after them (seconds), and how."""

    share: float  # of the answers
    earliest: float
    latest: float
    reset: bool  # by a reset; else an orderly close


class ClosedConnections:
    """Draws the ends of one stand-in's connections; none without `terms`."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.terms: CloseTerms | None = None

    def draw(self) -> Close | None:
        """Return when the connection is ended after an answer; None: it stays open."""
        terms = self.terms
        if terms is None or self._rng.random() >= terms.share:
            return None
        return Close(self._rng.uniform(terms.earliest, terms.latest), terms.reset)
