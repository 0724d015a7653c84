"""Response desynchronisation: answers that a stand-in writes again, unasked, drawn from a seed."""

from __future__ import annotations

import random
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CopyTerms:
    """Which answers are followed by copies, how late these come (seconds), and what they hold."""

    share: float  # of the answers
    earliest: float
    latest: float
    most: int = 1  # copies of one answer
    older: bool = False  # of any of the last answers of the connection
    partial: bool = False  # only a first part of it


class CopiedAnswers:
    """Draws the copies of one stand-in's answers; no copies without `terms`."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.terms: CopyTerms | None = None

    def draw_copies(self, answers: list[bytes]) -> list[tuple[float, bytes]]:
        """Return the copies that follow the last of these answers, each with its delay in seconds."""
        terms = self.terms
        if terms is None or self._rng.random() >= terms.share:
            return []
        copies = []
        for _ in range(self._rng.randint(1, terms.most)):
            answer = self._rng.choice(answers) if terms.older else answers[-1]
            size = self._rng.randrange(1, len(answer)) if terms.partial else len(answer)
            copies.append((self._rng.uniform(terms.earliest, terms.latest), answer[:size]))
        return copies
