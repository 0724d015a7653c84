"""Runs a fleet of relays' decision modules on a simulated clock against one destination that has an outage.

`StateFolder` models what a relay's process keeps on disk; the next process of that relay restores it.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count

from millweir.control import Relay
from millweir.events import RecoveringHost
from millweir.interface import MILLISECOND, SECOND, Change, Entry, Outcome, Phase
from millweir.lab.outages.budget import Arrival, compute_capacity, compute_worst_window_ratio
from millweir.lab.outages.scenario import (
    RESTART_DELAY_NS,
    TERMINATION_TIME_NS,
    Crossing,
    OutageKind,
    OutageScenario,
    Signal,
    SignalWave,
)
from millweir.records import Host, Packet

WRITE_DELAY_NS = 50 * MILLISECOND  # from a change of a host's state to its record in the state folder
TRANSIT_TIME_NS = 20 * MILLISECOND  # one way
SERVICE_TIME_NS = 100 * MILLISECOND
CONNECT_TIMEOUT_NS = SECOND
LIST_SPREAD_NS = 100 * MILLISECOND  # host list updates reach all relays within this time
RESTART_SPREAD_NS = SECOND
SECOND_OUTAGE_DELAY_NS = 3 * SECOND  # how long the destination is available between two outages
SECOND_OUTAGE_SPAN_NS = 4 * SECOND


@dataclass(slots=True)
class OwedMessage:
    """An accepted message without a final outcome, as the journal holds it."""

    profile: int
    deadline: int
    attempts: list[list[int]] = field(default_factory=list)  # [sent at, 1 if it never ran] of each attempt


@dataclass(slots=True)
class StateFolder:
    """The state of a relay that survives its process."""

    owed: dict[int, OwedMessage] = field(default_factory=dict)
    retry_after_until: dict[bytes, int] = field(default_factory=dict)  # by host: end of its retry-after wait
    recovering_hosts: list[RecoveringHost] = field(default_factory=list)


class Process:
    """One process of a relay; implements the port of the decision module."""

    def __init__(self, fleet: Fleet, number: int, listed: bool = True) -> None:
        self._fleet, self.number, self.folder = fleet, number, fleet.folders[number]
        self.ended = self.stopping = self._writing = False
        self._alarm_at = self._written_changes = 0
        self._in_flight: set[tuple[int, int]] = set()  # (message id, attempt number) awaiting an outcome
        self.relay = Relay(self, fleet.settings, fleet.rng.getrandbits(32), fleet.now)
        self._owned_ids = set(self.folder.owed)
        if listed:
            self.relay.update_hosts(fleet.now, Change.CACHED, fleet.entries())
        self._read_folder()
        for ident in list(self._owned_ids):
            self._add_packet(ident, restored=True)

    def _read_folder(self) -> None:
        for recovering in self.folder.recovering_hosts:
            self.relay.restore_host(self._fleet.now, recovering)
        for host, until in self.folder.retry_after_until.items():
            if until > self._fleet.now:
                self.relay.apply_retry_after(self._fleet.now, host, until)

    @property
    def accepts_messages(self) -> bool:
        return not self.ended and not self.stopping

    def begin_shutdown(self) -> None:
        """Accept no more messages, and make no call that outlasts the process."""
        self.stopping = True
        self.relay.begin_shutdown(self._fleet.now + TERMINATION_TIME_NS)

    def accept_message(self, ident: int, message: OwedMessage) -> None:
        """Accept a message from a client."""
        self.folder.owed[ident] = message
        self._owned_ids.add(ident)
        self._add_packet(ident)
        self.end_round()

    def take_over_messages(self, other: Process) -> None:
        """Take over the owed messages of a replaced process when it ends."""
        for ident in other._owned_ids & self.folder.owed.keys():
            self._owned_ids.add(ident)
            self._add_packet(ident, restored=True)
        self.end_round()

    def _add_packet(self, ident: int, restored: bool = False) -> None:
        message = self.folder.owed[ident]
        earlier = tuple((at, bool(never_ran)) for at, never_ran in message.attempts)
        self.relay.add_packet(
            self._fleet.now, ident, message.profile, 0, 0, message.deadline, 0, earlier, restored
        )

    def apply_host_list(self, change: Change, entries: tuple[Entry, ...]) -> None:
        """Apply an update of the host list."""
        if not self.ended:
            self.relay.update_hosts(self._fleet.now, change, entries)
            self._read_folder()
            self.end_round()

    def set_cordon(self, cordoned: bool) -> None:
        """Cordon all hosts as the operator does, or lift the cordon."""
        for entry in self._fleet.entries() if not self.ended else ():
            self.relay.set_cordon(self._fleet.now, entry.host, cordoned, self._fleet.now)
        self.end_round()

    def end_attempt(
        self, ident: int, number: int, outcome: Outcome, sent_at: int, wait: int, host: Host
    ) -> None:
        """Record the outcome of an attempt; later outcomes of the same attempt are ignored."""
        if self.ended or (ident, number) not in self._in_flight:
            return
        self._in_flight.remove((ident, number))
        now = self._fleet.now
        if wait:
            self.folder.retry_after_until[host.id] = max(
                self.folder.retry_after_until.get(host.id, 0), now + wait
            )
        message = self.folder.owed.get(ident)
        if message and outcome.never_ran:
            message.attempts[number][1] = 1
        fulfilled = outcome is Outcome.FULFILLED
        if fulfilled:
            self.folder.owed.pop(ident, None)
        self.relay.end_trip(now, ident, number, outcome, fulfilled or not message, now - sent_at, wait, ())
        self.end_round()

    def end_round(self) -> None:
        """End a round of decisions, and schedule a write of changed host states."""
        if self.ended:
            return
        self.relay.end_round(self._fleet.now)
        if self.relay.recovering_changes != self._written_changes and not self._writing:
            self._writing = True
            self._fleet.schedule(WRITE_DELAY_NS, self._write)

    def _write(self) -> None:
        self._writing = False
        self._written_changes = self.relay.recovering_changes
        if not self.ended:
            self.folder.recovering_hosts = self.relay.list_recovering_hosts()

    # Port of the decision module.

    def send(self, packet: Packet, host: Host, timeout: int) -> None:
        """Send one call."""
        self._in_flight.add((packet.id, len(packet.trips) - 1))
        self.folder.owed[packet.id].attempts.append([self._fleet.now, 0])
        self._fleet.deliver_call(self, packet, host, timeout)

    def cancel(self, packet: Packet, number: int) -> None:
        """Cancel one attempt."""
        call = packet.trips[number].call
        self._fleet.schedule(
            0, lambda: self.end_attempt(packet.id, number, Outcome.CANCELLED, call.sent_at, 0, call.host)
        )

    def dismiss(self, packet: Packet, wait: int) -> None:
        """Drop a packet that got its final outcome."""
        self.folder.owed.pop(packet.id, None)

    def fail(self, packet: Packet) -> None:
        """Drop a packet that failed for good."""
        self.folder.owed.pop(packet.id, None)

    def close_idle_connections(self, host: Host) -> None:
        """Do nothing: connections are not modelled."""

    def request_host_list(self) -> None:
        """Do nothing: the fleet sends host list updates by itself."""

    def set_alarm(self, delay: int) -> None:
        """End a round after the delay, unless a later alarm has replaced this one."""
        due = self._alarm_at = self._fleet.now + delay
        self._fleet.schedule(delay, lambda: self._alarm_at == due and self.end_round())


class Fleet:
    """All relays, the destination and the simulated clock."""

    def __init__(self, scenario: OutageScenario, seed: int) -> None:
        self.scenario, self.settings = scenario, scenario.build_settings()
        self.rng, self.now = random.Random(f"fleet {seed}"), SECOND
        self.outage_start = self.now + scenario.warm_up
        self.outage_end = self.outage_start + scenario.span
        self._outages = [(self.outage_start, self.outage_end)]
        if scenario.crossing is Crossing.SECOND_OUTAGE:
            second_start = self.outage_end + SECOND_OUTAGE_DELAY_NS
            self._outages.append((second_start, second_start + SECOND_OUTAGE_SPAN_NS))
        # (relay, outage, limit scope) of the relays that saw a failure
        self._aware_relays: set[tuple[int, int, bytes]] = set()
        self._arrivals: dict[tuple[int, bytes], list[Arrival]] = {}  # by outage and limit scope
        self._tokens: dict[bytes, tuple[float, int]] = {}
        self._timers: list[tuple[int, int, Callable[[], object]]] = []
        self._next_order = count().__next__
        self._next_id = count(1).__next__
        self._weights = [1 / (1 + number) ** scenario.skew for number in range(scenario.relays)]
        self.folders = [StateFolder() for _ in range(scenario.relays)]
        self.processes = [Process(self, number) for number in range(scenario.relays)]

    def entries(self, phase: Phase = Phase.READY) -> tuple[Entry, ...]:
        """Return all hosts as host list entries."""
        hosts = range(self.scenario.hosts)
        return tuple(Entry(b"h%d" % host, 0, 0, 0, phase, self.scenario.rate) for host in hosts)

    def schedule(self, delay: int, action: Callable[[], object]) -> None:
        """Run an action after the delay."""
        heappush(self._timers, (self.now + delay, self._next_order(), action))

    def run(self) -> float:
        """Run the simulation; return the largest ratio of calls to bound in any window after an outage."""
        self._accept_next_message()
        self._schedule_crossing()
        for wave in self.scenario.waves:
            self._schedule_wave(wave)
        end = self._outages[-1][1] + self.scenario.cold_time
        while self._timers[0][0] < end:
            self.now, _, action = heappop(self._timers)
            action()
        ends = [outage_end for _, outage_end in self._outages]
        return max(
            (
                compute_worst_window_ratio(self.scenario, calls, ends[outage])
                for (outage, _), calls in self._arrivals.items()
            ),
            default=0.0,
        )

    def _accept_next_message(self) -> None:
        (process,) = self.rng.choices(self.processes, self._weights)
        message = OwedMessage(self.rng.randrange(3), self.now + self.scenario.give_up)
        if process.accepts_messages:
            process.accept_message(self._next_id(), message)
        destinations = self.scenario.hosts if self.scenario.hosts_apart else 1
        requested_rate = self.scenario.rate * self.scenario.load * destinations
        self.schedule(int(self.rng.expovariate(requested_rate) * SECOND), self._accept_next_message)

    # Calls.

    def deliver_call(self, process: Process, packet: Packet, host: Host, timeout: int) -> None:
        """Deliver a call to the destination and schedule its outcome."""
        number, sent_at = len(packet.trips) - 1, self.now
        ident = packet.id

        def schedule_outcome(delay: int, outcome: Outcome, wait: int = 0) -> None:
            self.schedule(delay, lambda: process.end_attempt(ident, number, outcome, sent_at, wait, host))

        schedule_outcome(min(timeout or packet.deadline, packet.deadline - self.now), Outcome.TIMED_OUT)
        arrives_at = self.now + TRANSIT_TIME_NS
        for outage, (outage_start, outage_end) in enumerate(self._outages):
            if outage_start <= arrives_at < outage_end:
                self._answer_during_outage(outage, process, host, arrives_at, schedule_outcome)
                return
        ended = [outage for outage, (_, end) in enumerate(self._outages) if arrives_at >= end]
        if ended:
            scope = self._limit_scope(host)
            arrival = Arrival(arrives_at, (process.number, ended[-1], scope) in self._aware_relays)
            self._arrivals.setdefault((ended[-1], scope), []).append(arrival)
        if self._refuses_call(host, self._outages[ended[-1]][1] if ended else 0, arrives_at):
            wait = self.rng.uniform(0.2, 0.9) * (self.rng.random() < self.scenario.limit_wait_share)
            schedule_outcome(2 * TRANSIT_TIME_NS, Outcome.FULL, int(wait * SECOND))
            return
        schedule_outcome(2 * TRANSIT_TIME_NS + SERVICE_TIME_NS, Outcome.FULFILLED)

    def _limit_scope(self, host: Host) -> bytes:
        """Return the key of the rate limit and slow start of the call: the host, or the whole destination."""
        return host.id if self.scenario.hosts_apart else b""

    def _refuses_call(self, host: Host, recovering_since: int, now: int) -> bool:
        """Whether the call is above the rate limit; `recovering_since`: 0 before the first outage."""
        if not recovering_since:
            return not self._take_token(host, self.scenario.rate)
        if not self.scenario.refuses_when_recovering:
            return False
        return not self._take_token(host, compute_capacity(self.scenario, now - recovering_since))

    def _take_token(self, host: Host, rate: float) -> bool:
        scope = self._limit_scope(host)
        tokens, at = self._tokens.get(scope, (rate, self.now))
        tokens = min(rate, tokens + (self.now - at) * rate / SECOND)
        self._tokens[scope] = tokens - (tokens >= 1), self.now
        return tokens >= 1

    def _answer_during_outage(
        self,
        outage: int,
        process: Process,
        host: Host,
        arrives_at: int,
        schedule_outcome: Callable[..., None],
    ) -> None:
        """Schedule the outcome of a call that arrives during the outage."""
        outage_end = self._outages[outage][1]
        kind, scenario = self.scenario.kind, self.scenario
        noticed_at = arrives_at + TRANSIT_TIME_NS
        if kind is OutageKind.HUNG:
            schedule_outcome(outage_end + SERVICE_TIME_NS + TRANSIT_TIME_NS - self.now, Outcome.FULFILLED)
        elif kind is OutageKind.SHUT:
            wait = (outage_end - noticed_at) * (self.rng.random() < scenario.told_share)
            schedule_outcome(2 * TRANSIT_TIME_NS, Outcome.FULL, max(0, wait))
        elif kind is OutageKind.FAILING and self.rng.random() >= scenario.failing_share:
            schedule_outcome(2 * TRANSIT_TIME_NS + SERVICE_TIME_NS, Outcome.FULFILLED)
            return
        elif kind is OutageKind.FAILING:
            schedule_outcome(2 * TRANSIT_TIME_NS, Outcome.FAULT)
        elif kind is OutageKind.DOWN:
            schedule_outcome(2 * TRANSIT_TIME_NS, Outcome.UNCONNECTED)
        elif kind is OutageKind.UNREACHABLE:
            noticed_at = self.now + CONNECT_TIMEOUT_NS
            schedule_outcome(CONNECT_TIMEOUT_NS, Outcome.UNCONNECTED)
        elif kind is OutageKind.RESET:
            schedule_outcome(2 * TRANSIT_TIME_NS, Outcome.RESET)
        if kind in (OutageKind.HUNG, OutageKind.SILENT):
            noticed_at = self.now + SECOND  # by then the relay has waited longer than a call takes
        aware = process.number, outage, self._limit_scope(host)
        self.schedule(noticed_at - self.now, lambda: process.ended or self._aware_relays.add(aware))

    # Operations that overlap the outage.

    def _schedule_crossing(self) -> None:
        crossing, lead_time = self.scenario.crossing, self.scenario.crossing_lead
        until_outage_end = self.outage_end - lead_time - self.now
        everyone = range(self.scenario.relays)
        if crossing is Crossing.RESTART:
            self._schedule_for_each_relay(until_outage_end, RESTART_SPREAD_NS, self._restart_relay)
        elif crossing is Crossing.RESTART_TWICE:
            self._schedule_for_each_relay(until_outage_end - SECOND, RESTART_SPREAD_NS, self._restart_relay)
            self._schedule_for_each_relay(
                until_outage_end + SECOND // 2, RESTART_SPREAD_NS, self._restart_relay
            )
        elif crossing is Crossing.ROLLING_RESTART:
            step = self.scenario.span // len(everyone)
            for number in everyone:
                self.schedule(
                    self.outage_start - self.now + step * number,
                    lambda number=number: self._restart_relay(number),
                )
        elif crossing is Crossing.REPLACEMENT:
            self._schedule_for_each_relay(
                until_outage_end - TERMINATION_TIME_NS, RESTART_SPREAD_NS, self._replace_process
            )
        elif crossing is Crossing.LIST_AWAY:
            self._schedule_for_each_relay(
                until_outage_end - SECOND,
                RESTART_SPREAD_NS,
                lambda number: self._restart_relay(number, False),
            )
            self._schedule_for_each_relay(
                self.outage_end - self.now, LIST_SPREAD_NS, self._announce_full_list
            )
        elif crossing in (Crossing.RELISTED, Crossing.RELISTED_LATE):
            removal_delay = SECOND if crossing is Crossing.RELISTED else 2 * SECOND
            self._schedule_for_each_relay(
                self.outage_start + removal_delay - self.now,
                LIST_SPREAD_NS,
                lambda number: self._announce_phase(number, Phase.GONE),
            )
            self._schedule_for_each_relay(
                self.outage_end - self.now, LIST_SPREAD_NS, self._announce_full_list
            )
        elif crossing is Crossing.DRAIN_UNDONE:
            drain_delay = self.outage_start + SECOND - self.now
            self._schedule_for_each_relay(
                drain_delay, LIST_SPREAD_NS, lambda number: self._announce_phase(number, Phase.DRAINING)
            )
            self._schedule_for_each_relay(
                self.outage_end - self.now,
                LIST_SPREAD_NS,
                lambda number: self._announce_phase(number, Phase.READY),
            )
        elif crossing is Crossing.CORDON_LIFTED:
            cordon_delay = self.outage_start + SECOND - self.now
            self._schedule_for_each_relay(
                cordon_delay, LIST_SPREAD_NS, lambda number: self.processes[number].set_cordon(True)
            )
            self._schedule_for_each_relay(
                self.outage_end - self.now,
                LIST_SPREAD_NS,
                lambda number: self.processes[number].set_cordon(False),
            )

    def _schedule_for_each_relay(self, delay: int, spread: int, action: Callable[[int], object]) -> None:
        for number in range(self.scenario.relays):
            relay_delay = max(0, delay + self.rng.randrange(spread))
            self.schedule(relay_delay, lambda number=number: action(number))

    def _schedule_wave(self, wave: SignalWave) -> None:
        relays = self.scenario.relays
        numbers = self.rng.sample(range(relays), round(relays * wave.share))
        end_process = self._kill_relay if wave.signal is Signal.KILL else self._terminate_relay
        for number in numbers:
            at = self.outage_start + wave.at + self.rng.randrange(wave.spread)
            self.schedule(max(0, at - self.now), lambda number=number: end_process(number))

    def _kill_relay(self, number: int) -> None:
        self._end_process(self.processes[number])

    def _terminate_relay(self, number: int) -> None:
        process = self.processes[number]
        if process.accepts_messages:
            process.begin_shutdown()
            self.schedule(TERMINATION_TIME_NS, lambda: self._end_process(process))

    def _end_process(self, process: Process) -> None:
        """End a process unless that has happened already, and start its successor a moment later."""
        if not process.ended:
            process.ended = True
            self.schedule(RESTART_DELAY_NS, lambda: self._restart_relay(process.number))

    def _restart_relay(self, number: int, listed: bool = True) -> None:
        self.processes[number].ended = True
        process = self.processes[number] = Process(self, number, listed)
        process.end_round()

    def _replace_process(self, number: int) -> None:
        old = self.processes[number]
        owed = old.folder.owed
        old.folder.owed = {}
        new = self.processes[number] = Process(self, number)
        owed.update(new.folder.owed)
        old.folder.owed = owed
        old.relay.begin_shutdown(self.now + TERMINATION_TIME_NS, replaced=True)
        new.end_round()

        def end_old_process() -> None:
            old.ended = True
            new.take_over_messages(old)

        self.schedule(TERMINATION_TIME_NS + self.rng.randrange(SECOND // 2), end_old_process)

    def _announce_phase(self, number: int, phase: Phase) -> None:
        self.processes[number].apply_host_list(Change.DELTA, self.entries(phase))

    def _announce_full_list(self, number: int) -> None:
        self.processes[number].apply_host_list(Change.FULL, self.entries())


def find_worst_bound_ratio(scenario: OutageScenario, seed: int) -> float:
    """Run one scenario; a result above 1 means that the destination was overloaded."""
    return Fleet(scenario, seed).run()
