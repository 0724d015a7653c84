"""How long a relay may act by a version without renewal, and how long another relay has to wait for it."""

from __future__ import annotations

from dataclasses import dataclass
from math import ceil

SECOND = 1_000_000_000


@dataclass(frozen=True, slots=True)
class LeaseRules:
    """Lease settings, the same for the whole fleet."""

    # From the renewal request on; long enough that a network partition of minutes stops no relay.
    duration_ns: int = 600 * SECOND
    max_clock_drift: float = 0.001  # the fraction by which a clock may run fast or slow
    max_send_delay_ns: int = 5 * SECOND  # from the question for a share to the write that follows it

    @property
    def handover_wait_ns(self) -> int:
        """How long after a change, by any relay's clock, the previous replicas may still send."""
        return ceil(
            (self.duration_ns / (1 - self.max_clock_drift) + self.max_send_delay_ns)
            * (1 + self.max_clock_drift)
        )
