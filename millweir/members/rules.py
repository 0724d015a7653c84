"""Protocol parameters of membership, and its units of time (whole nanoseconds)."""

from __future__ import annotations

import math
from dataclasses import dataclass

SECOND = 1_000_000_000
MILLISECOND = 1_000_000
NEVER = 1 << 62  # later than any time
BASE_BYTES_PER_SECOND = 8000  # send budget at a probe interval of one second
Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Rules:
    """Protocol parameters; times are in nanoseconds."""

    interval: int = SECOND  # between probes
    timeout: int = SECOND // 2  # from the ping until indirect probes are requested; less than the interval
    indirect_probe_count: int = 3  # helpers asked per probe
    # Minimum time from suspected to gone with up to ten members, in probe intervals.
    suspicion_multiplier: float = 5.0
    # Factor on the minimum suspicion time while no other member confirms the suspicion.
    max_suspicion_factor: float = 6.0
    max_awareness: int = 8  # upper limit of the awareness score, which slows down probing
    gossip_interval: int = SECOND // 5
    gossip_fanout: int = 3  # recipients per round
    # Each member sends an update this many times the logarithm of the fleet size.
    retransmit_multiplier: int = 4
    contact_interval: int = 5 * SECOND  # between pings to a seed or a gone member, which heal partitions
    # A full state is requested when two different views have been unchanged for this long.
    sync_delay: int = 3 * SECOND
    min_full_state_interval: int = 10 * SECOND  # between requests for a full state
    # For this long, a member that gets no answer from anybody withholds its failure verdicts.
    max_isolation: int = 120 * SECOND
    gone_retention: int = 24 * 3600 * SECOND  # how long records of gone members are kept
    max_members: int = 4096
    max_path_reports: int = 256
    max_indirect_probes: int = 64  # running probes on behalf of others
    max_datagram_bytes: int = 1200
    # Send budget: gossip waits for it; probes and their answers never do.
    bytes_per_second: int = BASE_BYTES_PER_SECOND

    def min_suspicion_time(self, members: int) -> int:
        """Minimum time from suspected to gone, which grows with the logarithm of the fleet size."""
        return round(self.suspicion_multiplier * max(1.0, math.log10(max(members, 1))) * self.interval)

    def max_transmissions(self, members: int) -> int:
        """How often each member sends one update."""
        return self.retransmit_multiplier * math.ceil(math.log10(members + 1) or 1)
