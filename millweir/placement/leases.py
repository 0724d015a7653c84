"""How long a relay may act by a version without news, and how long another has to wait for it."""

from __future__ import annotations

from dataclasses import dataclass
from math import ceil

SECOND = 1_000_000_000


@dataclass(frozen=True, slots=True)
class LeaseRules:
    """The same for the whole fleet.  Times in nanoseconds."""

    lease: int = 600 * SECOND  # from when it was asked for; a cut of minutes stops nobody
    drift: float = 0.001  # by which a clock may run fast or slow
    pause: int = 5 * SECOND  # at most, between asking for a share and the write

    @property
    def handover_wait(self) -> int:
        """By anybody's clock: how long after a change its earlier replicas may still send."""
        return ceil((self.lease / (1 - self.drift) + self.pause) * (1 + self.drift))
