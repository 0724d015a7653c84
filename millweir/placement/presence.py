"""Health of each relay and since when: which relays are candidates, and whose partitions are to be moved.

The reports of the membership are hints.  Absence counts from the time of the report here, so a report that is
wrong about the past can't shorten the removal delay.
"""

from __future__ import annotations

from collections.abc import Iterator
from heapq import heappop, heappush

from millweir.placement.assignment import Relay
from millweir.placement.interface import Liveness, Rules

NEVER = 1 << 62  # a time that is never reached


class RelayHealth:
    """Liveness of a relay, and since when by this core's reckoning."""

    __slots__ = ("acknowledged_version", "leaving", "relay", "seen", "since", "liveness", "timer_at")

    def __init__(self, relay: Relay, liveness: Liveness, since: int, seen: bool) -> None:
        self.relay = relay
        self.liveness = liveness
        self.since = since
        self.seen = seen  # the membership has reported it; until then only the assignment names it
        self.leaving = False
        self.timer_at = NEVER
        self.acknowledged_version = 0  # the highest one

    @property
    def is_gone(self) -> bool:
        return self.liveness is Liveness.GONE

    @property
    def is_departing(self) -> bool:
        """Whether it is leaving, or has been gone for the removal delay."""
        return self.leaving or self.is_gone and self.timer_at == NEVER


class HealthTracker:
    """The health of all relays, with a timer each for the end of its removal delay or join delay."""

    __slots__ = ("_forgotten_relays", "_health", "_leaving", "_rules", "_timers", "absent_weight", "steps")

    def __init__(self, rules: Rules) -> None:
        self._rules = rules
        self._health: dict[str, RelayHealth] = {}
        self._forgotten_relays: dict[str, Relay] = {}  # recent ones: another core may give them partitions
        self._leaving: set[str] = set()  # names, known or not: a relay that returns still has to leave
        self._timers: list[tuple[int, str]] = []
        self.absent_weight = 0.0
        self.steps = 0

    def __contains__(self, name: str) -> bool:
        return name in self._health

    def __getitem__(self, name: str) -> RelayHealth:
        return self._health[name]

    def __len__(self) -> int:
        return len(self._health)

    def get(self, name: str) -> RelayHealth | None:
        """A relay's health; None for an unknown relay."""
        return self._health.get(name)

    def add_seen_relay(self, now: int, relay: Relay, liveness: Liveness, since: int) -> None:
        """Add a relay that the membership reports for the first time, or again after it was forgotten.

        The reported `since` counts only for the first time.
        """
        was_known = self._forgotten_relays.pop(relay.name, None) is not None
        self._add(RelayHealth(relay, liveness, now if was_known else min(now, since), seen=True))

    def add_unseen_relay(self, now: int, name: str) -> Relay:
        """Add a replica that the membership has not reported, as gone from now on.

        Its zone is the last one reported, or one of its own.
        """
        relay = self._forgotten_relays.pop(name, None) or Relay(name, f"?{name}", f"?{name}")
        self._add(RelayHealth(relay, Liveness.GONE, now, seen=False))
        self.set_timer(name)
        return relay

    def _add(self, health: RelayHealth) -> None:
        health.leaving = health.relay.name in self._leaving
        self._health[health.relay.name] = health
        self.absent_weight += health.relay.weight * health.is_gone

    def set_relay(self, health: RelayHealth, relay: Relay) -> None:
        """Update a relay's region, zone and weight."""
        self.absent_weight += (relay.weight - health.relay.weight) * health.is_gone
        health.relay = relay

    def set_liveness(self, health: RelayHealth, liveness: Liveness, since: int) -> None:
        """Update a relay's liveness."""
        self.absent_weight -= health.relay.weight * health.is_gone
        health.liveness, health.since = liveness, since
        self.absent_weight += health.relay.weight * health.is_gone

    def set_leaving(self, name: str, leaving: bool) -> bool:
        """Mark a relay as leaving for good, or undo it, for an operator; False if the table is full."""
        if leaving and name not in self._leaving and len(self._leaving) >= self._rules.max_members:
            return False
        (self._leaving.add if leaving else self._leaving.discard)(name)
        if health := self._health.get(name):
            health.leaving = leaving
        return True

    def set_timer(self, name: str) -> None:
        """Start the timer for the end of its removal delay or join delay."""
        health = self._health[name]
        at = self._get_timer_end(health)
        if at < health.timer_at:
            health.timer_at = at
            heappush(self._timers, (at, name))

    def _get_timer_end(self, health: RelayHealth) -> int:
        if health.leaving or health.liveness is Liveness.SUSPECTED:
            return NEVER
        return health.since + (self._rules.removal_delay_ns if health.is_gone else self._rules.join_delay_ns)

    def pop_expired(self, now: int) -> Iterator[RelayHealth]:
        """Relays whose join delay or removal delay is over by now."""
        while self._timers and self._timers[0][0] <= now:
            at, name = heappop(self._timers)
            self.steps += 1
            health = self._health.get(name)
            if health is None or at != health.timer_at:
                continue
            health.timer_at = NEVER
            end = self._get_timer_end(health)
            if end <= now:
                yield health
            elif end < NEVER:
                self.set_timer(name)  # its liveness has changed since

    @property
    def next_timer_at(self) -> int:
        """When the next timer expires; NEVER if there is none."""
        return self._timers[0][0] if self._timers else NEVER

    def forget_relay(self, name: str) -> None:
        """Drop a relay that is gone and holds nothing; only its region, zone and weight are kept."""
        health = self._health.pop(name)
        self.absent_weight -= health.relay.weight * health.is_gone
        self._forgotten_relays[name] = health.relay
        if len(self._forgotten_relays) > self._rules.max_members:
            del self._forgotten_relays[next(iter(self._forgotten_relays))]
