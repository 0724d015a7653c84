"""What senders learn of one small destination: the real deciding module, in simulated time.

One destination takes a few calls a second; its messages are dealt out at random over the relays that may send
to it: all of the fleet (`unplaced`), or the replicas of its partition (`placed`).  Every relay is a
`millweir.control.Relay` with `relays` set to their number; only the destination and the clock are stand-ins.
Quantities, by trouble; each has `-placed` or `-unplaced` at its end:

- limit (what the partner takes is half of what is listed, and more is offered): `calls-refused`, as a part of
  all calls in the second half of the run: small where the limit has been learned; `limit-used`, the part of
  the true limit that was delivered; `limits-held`, the sum of the relays' limits at the end over the true.
- outage (the destination is down for a while): `calls-into-outage`, until its end; `return-noticed-after`,
  the mean over relays that had found it down of the time from its return to their next call that goes well,
  as far as the run goes; `never-noticed`, the part of these relays that had none by the run's end; and
  `delivered-after-return`, over what was offered then.
- `cold-start-calls`: calls a second that one relay may send a destination that comes back, before any of them
  has gone well, worked out from the rules (the trickle of rule 4).
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from heapq import heappop, heappush
from itertools import count

from millweir.control import Relay
from millweir.interface import SECOND, Change, Effect, Entry, Host, Outcome, Packet, Phase, Profile, Settings
from millweir.lab.scale.measurement import Figure

LISTED_RATE = 2.0  # calls a second
ANSWER_TIME = SECOND // 10
HOST = bytes((10, 0, 0, 1, 0, 80))
DESTINATION = 7
COLD_SHARE = 0.4  # fall-multiple x cold-from
CLASS = Profile("class", 1.0, 2 * SECOND, 60 * SECOND, 0.4, Effect.IDEMPOTENT, 0, False, False)


def settings_for(relays: int) -> Settings:
    """The settings that a relay would be given."""
    return Settings(
        relays=relays,
        profiles=(CLASS,),
        tenants=(),
        zone=0,
        zones=("a",),
        kinds=("small",),
        period=SECOND // 200,
        slots=50,
        max_open=0,
        max_trips=50,
        cancel=True,
        retry_after=True,
        max_retry_after=60 * SECOND,
        idle_close=10 * SECOND,
        connect_timeout=SECOND,
        halves=True,
        second_copies=True,
        bundle_max=(1,),
        apart=(False,),
        over_share=0.1,
        must_ask=False,
        must_ask_in=0,
        rates_listed=True,
        rates_rough=True,
        reports=(),
        drain_grace=SECOND,
        answer_slack=SECOND // 50,
        fall_multiple=2.0,
        fall_time=2 * SECOND,
        cold_from=COLD_SHARE / 2.0,
        cold_time=10 * SECOND,
        key_quiet=SECOND // 2,
        fees=(),
    )


@dataclass(slots=True)
class Attempt:
    """A call as the destination saw it."""

    relay: int
    sent_at: int
    outcome: Outcome


class Destination:
    """Takes so many calls in any second, and is down between two times."""

    def __init__(self, rate: float, down_from: int, down_until: int) -> None:
        self._room, self._window = max(1, round(rate)), int(SECOND * max(1, round(rate)) / rate)
        self._down_from, self._down_until = down_from, down_until
        self._taken: deque[int] = deque()

    def answer(self, now: int) -> Outcome:
        """How a call that comes now ends."""
        if self._down_from <= now < self._down_until:
            return Outcome.FAULT
        while self._taken and self._taken[0] <= now - self._window:
            self._taken.popleft()
        if len(self._taken) >= self._room:
            return Outcome.FULL
        self._taken.append(now)
        return Outcome.FULFILLED


class Sender:
    """One relay's port: its calls go to the destination, its alarms into the queue of events."""

    def __init__(self, number: int, run: Senders) -> None:
        self._number, self._run = number, run
        settings = settings_for(run.relays)
        self.relay = Relay(self, settings, run.seed * 100_003 + number, run.now)
        entry = Entry(HOST, 0, 0, DESTINATION, Phase.READY, run.listed)
        self.relay.update_hosts(run.now, Change.FULL, (entry,))

    def send(self, packet: Packet, host: Host, time_out: int) -> None:
        self._run.called(self._number, packet.id, len(packet.trips) - 1)

    def dismiss(self, packet: Packet, wait: int) -> None:
        self._run.given_up += 1

    def fail(self, packet: Packet) -> None:
        self._run.given_up += 1

    def set_alarm(self, delay: int) -> None:
        self._run.schedule(self._run.now + delay, self._ring)

    def cancel(self, packet: Packet, number: int) -> None:
        """Answers come in time here."""

    def close_idle_connections(self, host: Host) -> None:
        """There are no links here."""

    def request_host_list(self) -> None:
        """The list never changes here."""

    def _ring(self) -> None:
        self.relay.end_round(self._run.now)


class Senders:
    """All relays that send to the destination, and the events to come."""

    def __init__(self, relays: int, listed: float, destination: Destination, seed: int) -> None:
        self.relays, self.listed, self.seed = relays, listed, seed
        self.now, self.given_up = SECOND, 0
        self.ends_at = 0
        self.attempts: list[Attempt] = []
        self.offered: list[int] = []
        self._destination, self._chance = destination, random.Random(seed)
        self._events: list[tuple[int, int, object]] = []
        self._order = count().__next__
        self.senders = [Sender(number, self) for number in range(relays)]

    def schedule(self, at: int, what: object) -> None:
        heappush(self._events, (at, self._order(), what))

    def offer(self, rate: float, until: int) -> None:
        """Messages at random times, each handed to one of the relays at random."""
        at = self.now
        while at < until:
            at += int(self._chance.expovariate(rate) * SECOND)
            self.offered.append(at)
            self.schedule(at, self._hand_in)

    def run(self, until: int) -> None:
        """Let time pass until then."""
        self.ends_at = until
        while self._events and self._events[0][0] <= until:
            self.now, _, what = heappop(self._events)
            what()

    def called(self, number: int, message: int, trip: int) -> None:
        outcome, sent_at = self._destination.answer(self.now), self.now
        self.attempts.append(Attempt(number, sent_at, outcome))

        def ended() -> None:
            relay, done = self.senders[number].relay, outcome is Outcome.FULFILLED
            relay.end_trip(self.now, message, trip, outcome, done, self.now - sent_at, 0, ())
            relay.end_round(self.now)

        self.schedule(sent_at + ANSWER_TIME, ended)

    def _hand_in(self) -> None:
        relay = self.senders[self._chance.randrange(self.relays)].relay
        relay.add_packet(self.now, self._order(), 0, 0, 0, self.now + CLASS.lifetime, DESTINATION)
        relay.end_round(self.now)


@dataclass(frozen=True, slots=True)
class Outage:
    """In seconds: when it begins and ends, and when the run does."""

    begins: int = 600
    ends: int = 1200
    run_ends: int = 2400


LIMIT_SECONDS = 1200
OUTAGE = Outage()


def limit_run(relays: int, seed: int, seconds: int = LIMIT_SECONDS) -> Senders:
    """Half of the listed rate is the truth; three quarters of the listed rate are offered."""
    run = Senders(relays, 2 * LISTED_RATE, Destination(LISTED_RATE, 0, 0), seed)
    run.offer(1.5 * LISTED_RATE, seconds * SECOND)
    run.run(seconds * SECOND)
    return run


def outage_run(relays: int, seed: int, outage: Outage = OUTAGE) -> Senders:
    """Half of the limit is offered throughout."""
    destination = Destination(LISTED_RATE, outage.begins * SECOND, outage.ends * SECOND)
    run = Senders(relays, LISTED_RATE, destination, seed)
    run.offer(LISTED_RATE / 2, outage.run_ends * SECOND)
    run.run(outage.run_ends * SECOND)
    return run


def refused_share(run: Senders) -> float:
    """Of all calls in the second half of the run."""
    late = [attempt for attempt in run.attempts if attempt.sent_at > run.ends_at // 2]
    return sum(attempt.outcome is Outcome.FULL for attempt in late) / len(late)


def limit_used(run: Senders) -> float:
    """Delivered over what the true limit lets through, in the second half of the run."""
    delivered = sum(
        attempt.outcome is Outcome.FULFILLED and attempt.sent_at > run.ends_at // 2
        for attempt in run.attempts
    )
    return delivered / (LISTED_RATE * run.ends_at / SECOND / 2)


def limits_held(run: Senders) -> float:
    """The sum of the relays' limits, as learned by the end, over the true one."""
    return sum(sender.relay._hosts[HOST].limit_scope.limit for sender in run.senders) / LISTED_RATE


def notice_times(run: Senders, outage: Outage = OUTAGE) -> tuple[list[float], int]:
    """Seconds from the return to each relay's first call that goes well, and how many had none."""
    found_down = {attempt.relay for attempt in run.attempts if attempt.outcome is Outcome.FAULT}
    noticed: dict[int, float] = {}
    for attempt in run.attempts:
        if attempt.sent_at >= outage.ends * SECOND and attempt.outcome is Outcome.FULFILLED:
            noticed.setdefault(attempt.relay, attempt.sent_at / SECOND - outage.ends)
    times = [noticed[number] for number in sorted(found_down) if number in noticed]
    return times, len(found_down) - len(times)


def delivered_after_return(run: Senders, outage: Outage = OUTAGE) -> float:
    """Delivered over offered, from the return on."""
    since = outage.ends * SECOND
    delivered = sum(a.sent_at >= since and a.outcome is Outcome.FULFILLED for a in run.attempts)
    return delivered / sum(at >= since for at in run.offered)


def cold_start_calls(relays: int) -> float:
    """Calls a second of one relay's trickle to a destination with one host that it has found down."""
    return COLD_SHARE * LISTED_RATE / relays


def measure(size: int, seed: int, replicas: int) -> Iterator[Figure]:
    """Both troubles, with all relays as senders and with the replicas alone."""
    for way, senders in (("unplaced", size), ("placed", replicas)):
        yield from limit_figures(way, senders, size, seed)
        yield from outage_figures(way, senders, size, seed)
        yield _figure(f"cold-start-calls-{way}", "calls/s", cold_start_calls(senders), size, "calm")


def limit_figures(way: str, senders: int, size: int, seed: int) -> Iterator[Figure]:
    run = limit_run(senders, seed)
    yield _figure(f"calls-refused-{way}", "of calls", refused_share(run), size, "limit")
    yield _figure(f"limit-used-{way}", "of the limit", limit_used(run), size, "limit")
    yield _figure(f"limits-held-{way}", "times the true limit", limits_held(run), size, "limit")


def outage_figures(way: str, senders: int, size: int, seed: int) -> Iterator[Figure]:
    run = outage_run(senders, seed)
    into = sum(attempt.outcome is Outcome.FAULT for attempt in run.attempts)
    times, never = notice_times(run)
    yield _figure(f"calls-into-outage-{way}", "calls", into, size, "outage")
    if times:
        mean = sum(times) / len(times)
        yield _figure(
            f"return-noticed-after-{way}", "s", mean, size, "outage", min(times), max(times), len(times)
        )
    found_down = max(1, len(times) + never)
    yield _figure(f"never-noticed-{way}", "of relays", never / found_down, size, "outage")
    yield _figure(f"delivered-after-return-{way}", "of messages", delivered_after_return(run), size, "outage")


def _figure(
    quantity: str,
    unit: str,
    value: float,
    size: int,
    trouble: str,
    low: float | None = None,
    high: float | None = None,
    repeats: int = 1,
) -> Figure:
    return Figure(
        part="placement",
        quantity=quantity,
        unit=unit,
        trouble=trouble,
        size=size,
        value=value,
        low=value if low is None else low,
        high=value if high is None else high,
        repeats=repeats,
        simulated=True,
    )
