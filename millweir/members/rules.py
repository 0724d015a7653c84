"""The rules of membership: times in whole nanoseconds, counts and bounds."""

from __future__ import annotations

import math
from dataclasses import dataclass

SECOND = 1_000_000_000
MILLISECOND = 1_000_000
NEVER = 1 << 62
BYTES_SECOND = 8000  # at an interval of one second
Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Rules:
    """Times in nanoseconds; counts as named."""

    interval: int = SECOND  # between probes
    timeout: int = SECOND // 2  # until helpers are asked; less than the interval
    helpers: int = 3
    suspicion: float = 5.0  # intervals from suspicion to gone at ten members or fewer, at the least
    patience: float = 6.0  # times as long when nobody else finds the same
    late_most: int = 8  # how many times slower a member that is late probes
    news_every: int = SECOND // 5
    news_to: int = 3
    retell: int = 4  # times the logarithm of the fleet that a claim is told by each member
    contact_every: int = 5 * SECOND  # a word to a seed, or to one held gone: heals cuts
    settle: int = 3 * SECOND  # an unchanged view that differs from another's for so long asks for it whole
    whole_rest: int = 10 * SECOND  # between whole states asked for
    doubt_most: int = 120 * SECOND  # how long a member whom nobody answers holds its verdicts back
    forget: int = 24 * 3600 * SECOND  # records of gone members
    members_most: int = 4096
    cuts_most: int = 256
    relays_most: int = 64  # probes for others under way
    datagram_most: int = 1200  # bytes
    bytes_second: int = BYTES_SECOND  # sent; gossip waits for it, probes and their answers never do

    def least(self, members: int) -> int:
        """The shortest time from a suspicion to gone."""
        return round(self.suspicion * max(1.0, math.log10(max(members, 1))) * self.interval)

    def told(self, members: int) -> int:
        """How often one claim is told by each member."""
        return self.retell * math.ceil(math.log10(members + 1) or 1)
