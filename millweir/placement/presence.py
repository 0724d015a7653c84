"""How each relay stands, and for how long: who may be given partitions, and whose are to be moved.

The members' view is a hint.  Being gone counts from when it was told here, so a view that is wrong about the
past shortens no hold.
"""

from __future__ import annotations

from collections.abc import Iterator
from heapq import heappop, heappush

from millweir.placement.assignment import Relay
from millweir.placement.interface import Rules, Standing

NEVER = 1 << 62


class Health:
    """How a relay stands, and since when by this core's reckoning."""

    __slots__ = ("acknowledged", "leaving", "relay", "seen", "since", "standing", "timer_at")

    def __init__(self, relay: Relay, standing: Standing, since: int, seen: bool) -> None:
        self.relay = relay
        self.standing = standing
        self.since = since
        self.seen = seen  # the view has told of it; till then only the assignment names it
        self.leaving = False
        self.timer_at = NEVER
        self.acknowledged = 0  # the greatest version

    @property
    def is_gone(self) -> bool:
        return self.standing is Standing.GONE

    @property
    def has_departed(self) -> bool:
        """It leaves, or has been gone for the hold."""
        return self.leaving or self.is_gone and self.timer_at == NEVER


class Presence:
    """The health of all relays, with a timer each for the end of its hold or of its settling."""

    __slots__ = ("_forgotten", "_health", "_leaving", "_rules", "_timers", "absent_weight", "steps")

    def __init__(self, rules: Rules) -> None:
        self._rules = rules
        self._health: dict[str, Health] = {}
        self._forgotten: dict[str, Relay] = {}  # the latest: another core may give them something yet
        self._leaving: set[str] = set()  # names, known or not: who comes back is still to leave
        self._timers: list[tuple[int, str]] = []
        self.absent_weight = 0.0
        self.steps = 0

    def __contains__(self, name: str) -> bool:
        return name in self._health

    def __getitem__(self, name: str) -> Health:
        return self._health[name]

    def __len__(self) -> int:
        return len(self._health)

    def get(self, name: str) -> Health | None:
        """None for a relay that is not known."""
        return self._health.get(name)

    def meet(self, now: int, relay: Relay, standing: Standing, since: int) -> None:
        """The view tells of a new relay, or of one that was gone for long: its `since` counts for the new."""
        was_here = self._forgotten.pop(relay.name, None) is not None
        self._add(Health(relay, standing, now if was_here else min(now, since), seen=True))

    def meet_unseen(self, now: int, name: str) -> Relay:
        """A replica of whom the view says nothing: gone from now on; its zone as told last, or its own."""
        relay = self._forgotten.pop(name, None) or Relay(name, f"?{name}", f"?{name}")
        self._add(Health(relay, Standing.GONE, now, seen=False))
        self.arm(name)
        return relay

    def _add(self, health: Health) -> None:
        health.leaving = health.relay.name in self._leaving
        self._health[health.relay.name] = health
        self.absent_weight += health.relay.weight * health.is_gone

    def set_relay(self, health: Health, relay: Relay) -> None:
        """Its region, zone or weight is another one."""
        self.absent_weight += (relay.weight - health.relay.weight) * health.is_gone
        health.relay = relay

    def set_standing(self, health: Health, standing: Standing, since: int) -> None:
        """The view sees it otherwise than before."""
        self.absent_weight -= health.relay.weight * health.is_gone
        health.standing, health.since = standing, since
        self.absent_weight += health.relay.weight * health.is_gone

    def set_leaving(self, name: str, leaving: bool) -> bool:
        """An operator takes a relay out for good, or takes that back; False where the table is full."""
        if leaving and name not in self._leaving and len(self._leaving) >= self._rules.members_most:
            return False
        (self._leaving.add if leaving else self._leaving.discard)(name)
        if health := self._health.get(name):
            health.leaving = leaving
        return True

    def arm(self, name: str) -> None:
        """See to it that the end of its hold, or of its settling, is looked at."""
        health = self._health[name]
        at = self._timer_end(health)
        if at < health.timer_at:
            health.timer_at = at
            heappush(self._timers, (at, name))

    def _timer_end(self, health: Health) -> int:
        if health.leaving or health.standing is Standing.SUSPECTED:
            return NEVER
        return health.since + (self._rules.hold if health.is_gone else self._rules.settle)

    def time_passed(self, now: int) -> Iterator[Health]:
        """Those that have settled, or been gone for the hold, by now."""
        while self._timers and self._timers[0][0] <= now:
            at, name = heappop(self._timers)
            self.steps += 1
            health = self._health.get(name)
            if health is None or at != health.timer_at:
                continue
            health.timer_at = NEVER
            end = self._timer_end(health)
            if end <= now:
                yield health
            elif end < NEVER:
                self.arm(name)  # it has gone or come since

    @property
    def due_at(self) -> int:
        """When the next timer ends; NEVER where there is none."""
        return self._timers[0][0] if self._timers else NEVER

    def forget(self, name: str) -> None:
        """It is gone and nothing of it is left, but where it stood."""
        health = self._health.pop(name)
        self.absent_weight -= health.relay.weight * health.is_gone
        self._forgotten[name] = health.relay
        if len(self._forgotten) > self._rules.members_most:
            del self._forgotten[next(iter(self._forgotten))]
