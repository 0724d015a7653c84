"""Measures what senders learn about one small destination, with the real decision module in simulated time.

One destination accepts a few calls per second; its messages are distributed at random over the relays that
may send to it: all of the fleet (`unplaced`), or the replicas of its partition (`placed`).  Every relay is
a `millweir.control.Relay` with `relays` set to their number; only the destination and the clock are
simulated. Quantities, by trouble; each name ends in `-placed` or `-unplaced`:

- limit (the partner accepts half of the listed rate, and more is offered): `calls-refused`, the fraction of
  all calls in the second half of the run, small if the limit has been learned; `limit-used`, the fraction
  of the true limit that was delivered; `limits-held`, the sum of the relays' limits at the end over the
  true limit.
- outage (the destination is down for a time): `calls-into-outage`, calls until its end;
  `return-noticed-after`, the mean time from the recovery to the next successful call of a relay that had
  found the destination down, over those relays that made one within the run; `never-noticed`, the fraction
  of the relays that did not; and `delivered-after-return`, messages delivered over messages offered after
  the recovery.
- `cold-start-calls`: calls per second that one relay may send to a recovering destination before the first
  one succeeds, calculated from the rules (slow start, so that a recovering host is not overloaded).
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

LISTED_CALLS_PER_SECOND = 2.0
ANSWER_DELAY_NS = SECOND // 10
HOST = bytes((10, 0, 0, 1, 0, 80))
DESTINATION = 7
SLOW_START_FRACTION = 0.4  # fall-multiple x cold-from
SERVICE_CLASS = Profile("class", 1.0, 2 * SECOND, 60 * SECOND, 0.4, Effect.IDEMPOTENT, 0, False, False)


def build_settings(relays: int) -> Settings:
    """Builds the settings of each of `relays` relays."""
    return Settings(
        relays=relays,
        profiles=(SERVICE_CLASS,),
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
        value_halves=True,
        allow_second_copies=True,
        max_batch_packets=(1,),
        has_own_limit=(False,),
        over_quota_value=0.1,
        polls_host_list=False,
        host_list_poll_interval=0,
        rates_listed=True,
        rates_approximate=True,
        report_fields=(),
        drain_grace=SECOND,
        answer_slack=SECOND // 50,
        recovery_multiple=2.0,
        recovery_window=2 * SECOND,
        initial_capacity=SLOW_START_FRACTION / 2.0,
        recovery_time=10 * SECOND,
        key_quiet_period=SECOND // 2,
        zone_fees=(),
    )


@dataclass(slots=True)
class ReceivedCall:
    """A call as received by the destination."""

    relay: int
    sent_at: int
    outcome: Outcome


class Destination:
    """Accepts a number of calls in any time window, and is down between two times."""

    def __init__(self, rate: float, down_from: int, down_until: int) -> None:
        self._max_calls, self._window_ns = max(1, round(rate)), int(SECOND * max(1, round(rate)) / rate)
        self._down_from, self._down_until = down_from, down_until
        self._accepted_at: deque[int] = deque()

    def answer(self, now: int) -> Outcome:
        """Returns the outcome of a call that arrives now."""
        if self._down_from <= now < self._down_until:
            return Outcome.FAULT
        while self._accepted_at and self._accepted_at[0] <= now - self._window_ns:
            self._accepted_at.popleft()
        if len(self._accepted_at) >= self._max_calls:
            return Outcome.FULL
        self._accepted_at.append(now)
        return Outcome.FULFILLED


class SenderPort:
    """One relay's port: calls go to the simulated destination, alarms to the event queue."""

    def __init__(self, number: int, simulation: SendersSimulation) -> None:
        self._number, self._simulation = number, simulation
        settings = build_settings(simulation.relays)
        self.relay = Relay(self, settings, simulation.seed * 100_003 + number, simulation.now)
        entry = Entry(HOST, 0, 0, DESTINATION, Phase.READY, simulation.listed_rate)
        self.relay.update_hosts(simulation.now, Change.FULL, (entry,))

    def send(self, packet: Packet, host: Host, time_out: int) -> None:
        self._simulation.handle_call(self._number, packet.id, len(packet.trips) - 1)

    def dismiss(self, packet: Packet, wait: int) -> None:
        self._simulation.given_up_messages += 1

    def fail(self, packet: Packet) -> None:
        self._simulation.given_up_messages += 1

    def set_alarm(self, delay: int) -> None:
        self._simulation.schedule(self._simulation.now + delay, self._end_round)

    def cancel(self, packet: Packet, number: int) -> None:
        """Does nothing: every call is answered in time."""

    def close_idle_connections(self, host: Host) -> None:
        """Does nothing: there are no connections."""

    def request_host_list(self) -> None:
        """Does nothing: the list never changes."""

    def _end_round(self) -> None:
        self.relay.end_round(self._simulation.now)


class SendersSimulation:
    """Simulation of all relays that send to the destination, with its event queue."""

    def __init__(self, relays: int, listed_rate: float, destination: Destination, seed: int) -> None:
        self.relays, self.listed_rate, self.seed = relays, listed_rate, seed
        self.now, self.given_up_messages = SECOND, 0
        self.end_time = 0
        self.calls: list[ReceivedCall] = []
        self.offered_at: list[int] = []
        self._destination, self._rng = destination, random.Random(seed)
        self._events: list[tuple[int, int, object]] = []
        self._order = count().__next__
        self.senders = [SenderPort(number, self) for number in range(relays)]

    def schedule(self, at: int, action: object) -> None:
        heappush(self._events, (at, self._order(), action))

    def offer(self, rate: float, until: int) -> None:
        """Schedules messages at random times, each submitted to a random relay."""
        at = self.now
        while at < until:
            at += int(self._rng.expovariate(rate) * SECOND)
            self.offered_at.append(at)
            self.schedule(at, self._submit_message)

    def run(self, until: int) -> None:
        """Processes events up to a time."""
        self.end_time = until
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heappop(self._events)
            action()

    def handle_call(self, number: int, message: int, trip: int) -> None:
        outcome, sent_at = self._destination.answer(self.now), self.now
        self.calls.append(ReceivedCall(number, sent_at, outcome))

        def end_call() -> None:
            relay, succeeded = self.senders[number].relay, outcome is Outcome.FULFILLED
            relay.end_trip(self.now, message, trip, outcome, succeeded, self.now - sent_at, 0, ())
            relay.end_round(self.now)

        self.schedule(sent_at + ANSWER_DELAY_NS, end_call)

    def _submit_message(self) -> None:
        relay = self.senders[self._rng.randrange(self.relays)].relay
        relay.add_packet(self.now, self._order(), 0, 0, 0, self.now + SERVICE_CLASS.lifetime, DESTINATION)
        relay.end_round(self.now)


@dataclass(frozen=True, slots=True)
class Outage:
    """Seconds at which the outage starts and ends, and at which the run ends."""

    start_seconds: int = 600
    end_seconds: int = 1200
    run_seconds: int = 2400


LIMIT_RUN_SECONDS = 1200
DEFAULT_OUTAGE = Outage()


def run_limit_scenario(relays: int, seed: int, seconds: int = LIMIT_RUN_SECONDS) -> SendersSimulation:
    """Runs with a true limit of half the listed rate, offering three quarters of the listed rate."""
    simulation = SendersSimulation(
        relays, 2 * LISTED_CALLS_PER_SECOND, Destination(LISTED_CALLS_PER_SECOND, 0, 0), seed
    )
    simulation.offer(1.5 * LISTED_CALLS_PER_SECOND, seconds * SECOND)
    simulation.run(seconds * SECOND)
    return simulation


def run_outage_scenario(relays: int, seed: int, outage: Outage = DEFAULT_OUTAGE) -> SendersSimulation:
    """Runs an outage, offering half of the limit throughout."""
    destination = Destination(
        LISTED_CALLS_PER_SECOND, outage.start_seconds * SECOND, outage.end_seconds * SECOND
    )
    simulation = SendersSimulation(relays, LISTED_CALLS_PER_SECOND, destination, seed)
    simulation.offer(LISTED_CALLS_PER_SECOND / 2, outage.run_seconds * SECOND)
    simulation.run(outage.run_seconds * SECOND)
    return simulation


def compute_refused_fraction(simulation: SendersSimulation) -> float:
    """Returns the fraction of the calls in the second half of the run that were rejected over the limit."""
    late_calls = [call for call in simulation.calls if call.sent_at > simulation.end_time // 2]
    return sum(call.outcome is Outcome.FULL for call in late_calls) / len(late_calls)


def compute_limit_used(simulation: SendersSimulation) -> float:
    """Returns delivered calls over those that the true limit allows, in the second half of the run."""
    delivered = sum(
        call.outcome is Outcome.FULFILLED and call.sent_at > simulation.end_time // 2
        for call in simulation.calls
    )
    return delivered / (LISTED_CALLS_PER_SECOND * simulation.end_time / SECOND / 2)


def compute_learned_limit_ratio(simulation: SendersSimulation) -> float:
    """Returns the sum of the limits that the relays have learned by the end, over the true limit."""
    return (
        sum(sender.relay._hosts[HOST].limit_scope.limit for sender in simulation.senders)
        / LISTED_CALLS_PER_SECOND
    )


def list_recovery_notice_times(
    simulation: SendersSimulation, outage: Outage = DEFAULT_OUTAGE
) -> tuple[list[float], int]:
    """Returns seconds from the recovery to each relay's first success, and the number of relays without one.

    Only relays that had found the destination down are included.
    """
    relays_that_found_it_down = {call.relay for call in simulation.calls if call.outcome is Outcome.FAULT}
    first_success_seconds: dict[int, float] = {}
    for call in simulation.calls:
        if call.sent_at >= outage.end_seconds * SECOND and call.outcome is Outcome.FULFILLED:
            first_success_seconds.setdefault(call.relay, call.sent_at / SECOND - outage.end_seconds)
    notice_seconds = [
        first_success_seconds[number]
        for number in sorted(relays_that_found_it_down)
        if number in first_success_seconds
    ]
    return notice_seconds, len(relays_that_found_it_down) - len(notice_seconds)


def compute_delivered_after_return(simulation: SendersSimulation, outage: Outage = DEFAULT_OUTAGE) -> float:
    """Returns messages delivered over messages offered after the recovery."""
    recovered_at = outage.end_seconds * SECOND
    delivered = sum(a.sent_at >= recovered_at and a.outcome is Outcome.FULFILLED for a in simulation.calls)
    return delivered / sum(at >= recovered_at for at in simulation.offered_at)


def compute_slow_start_rate(relays: int) -> float:
    """Returns the calls per second of one relay's slow start to a destination whose only host was down."""
    return SLOW_START_FRACTION * LISTED_CALLS_PER_SECOND / relays


def measure(size: int, seed: int, replicas: int) -> Iterator[Figure]:
    """Yields the figures of both troubles, with all relays as senders and with the replicas alone."""
    for label, senders in (("unplaced", size), ("placed", replicas)):
        yield from measure_limit(label, senders, size, seed)
        yield from measure_outage(label, senders, size, seed)
        yield _build_figure(
            f"cold-start-calls-{label}", "calls/s", compute_slow_start_rate(senders), size, "calm"
        )


def measure_limit(label: str, senders: int, size: int, seed: int) -> Iterator[Figure]:
    simulation = run_limit_scenario(senders, seed)
    yield _build_figure(
        f"calls-refused-{label}", "of calls", compute_refused_fraction(simulation), size, "limit"
    )
    yield _build_figure(f"limit-used-{label}", "of the limit", compute_limit_used(simulation), size, "limit")
    yield _build_figure(
        f"limits-held-{label}", "times the true limit", compute_learned_limit_ratio(simulation), size, "limit"
    )


def measure_outage(label: str, senders: int, size: int, seed: int) -> Iterator[Figure]:
    simulation = run_outage_scenario(senders, seed)
    calls_into_outage = sum(call.outcome is Outcome.FAULT for call in simulation.calls)
    notice_seconds, never_noticed = list_recovery_notice_times(simulation)
    yield _build_figure(f"calls-into-outage-{label}", "calls", calls_into_outage, size, "outage")
    if notice_seconds:
        mean = sum(notice_seconds) / len(notice_seconds)
        yield _build_figure(
            f"return-noticed-after-{label}",
            "s",
            mean,
            size,
            "outage",
            min(notice_seconds),
            max(notice_seconds),
            len(notice_seconds),
        )
    relays_that_found_it_down = max(1, len(notice_seconds) + never_noticed)
    yield _build_figure(
        f"never-noticed-{label}", "of relays", never_noticed / relays_that_found_it_down, size, "outage"
    )
    yield _build_figure(
        f"delivered-after-return-{label}",
        "of messages",
        compute_delivered_after_return(simulation),
        size,
        "outage",
    )


def _build_figure(
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
