"""A fleet of the relay's own decisions on a simulated clock, and one destination that goes away.

What a process keeps on disk is modelled by `Folder`: the next process of that relay reads it back.
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
from millweir.lab.outages.budget import Arrival, worst_window
from millweir.lab.outages.scenario import Crossing, OutageKind, OutageScenario
from millweir.records import Host, Packet

WRITE_DELAY = 50 * MILLISECOND  # from a change of a host's state to its record in the folder
TRANSIT = 20 * MILLISECOND  # one way
SERVICE = 100 * MILLISECOND
CONNECT_TIMEOUT = SECOND
LIST_SPREAD = 100 * MILLISECOND  # news of the list reaches all relays within this time
RESTART_SPREAD = SECOND
LEAVE_TIME = 3300 * MILLISECOND  # of a process that is replaced by one beside it
SECOND_RETURN = 3 * SECOND  # for so long a destination is back between two outages
SECOND_SPAN = 4 * SECOND


@dataclass(slots=True)
class OwedMessage:
    """A message that was taken on: what the journal holds of it."""

    profile: int
    hard_stop: int
    attempts: list[list[int]] = field(default_factory=list)  # when each went out, and 1 if it never ran


@dataclass(slots=True)
class Folder:
    """What outlasts a process of a relay."""

    owed: dict[int, OwedMessage] = field(default_factory=dict)
    waits: dict[bytes, int] = field(default_factory=dict)  # host: until when it is to be left alone
    cold: list[RecoveringHost] = field(default_factory=list)


class Process:
    """One process of a relay, and the port of its decisions."""

    def __init__(self, fleet: Fleet, number: int, listed: bool = True) -> None:
        self._fleet, self.number, self.folder = fleet, number, fleet.folders[number]
        self.dead = self._writing = False
        self._alarm_at = self._written = 0
        self._out: set[tuple[int, int]] = set()  # attempts that it waits for
        self.relay = Relay(self, fleet.settings, fleet.chance.getrandbits(32), fleet.now)
        self._owns = set(self.folder.owed)
        if listed:
            self.relay.update_hosts(fleet.now, Change.CACHED, fleet.entries())
        self._read_folder()
        for ident in list(self._owns):
            self._hand_in(ident, restored=True)

    def _read_folder(self) -> None:
        for cold in self.folder.cold:
            self.relay.restore_host(self._fleet.now, cold)
        for host, until in self.folder.waits.items():
            if until > self._fleet.now:
                self.relay.apply_retry_after(self._fleet.now, host, until)

    def take(self, ident: int, message: OwedMessage) -> None:
        """A client hands in a message."""
        self.folder.owed[ident] = message
        self._owns.add(ident)
        self._hand_in(ident)
        self.turn()

    def adopt(self, other: Process) -> None:
        """Take over what a process beside this one owed as it ended."""
        for ident in other._owns & self.folder.owed.keys():
            self._owns.add(ident)
            self._hand_in(ident, restored=True)
        self.turn()

    def _hand_in(self, ident: int, restored: bool = False) -> None:
        message = self.folder.owed[ident]
        earlier = tuple((at, bool(void)) for at, void in message.attempts)
        self.relay.add_packet(
            self._fleet.now, ident, message.profile, 0, 0, message.hard_stop, 0, earlier, restored
        )

    def list_told(self, change: Change, entries: tuple[Entry, ...]) -> None:
        """News of the list of hosts."""
        if not self.dead:
            self.relay.update_hosts(self._fleet.now, change, entries)
            self._read_folder()
            self.turn()

    def cordon(self, out: bool) -> None:
        """All hosts out by hand, or back."""
        for entry in self._fleet.entries() if not self.dead else ():
            self.relay.set_cordon(self._fleet.now, entry.host, out, self._fleet.now)
        self.turn()

    def outcome(self, ident: int, number: int, outcome: Outcome, sent_at: int, wait: int, host: Host) -> None:
        """An attempt has its outcome; what comes later counts no more."""
        if self.dead or (ident, number) not in self._out:
            return
        self._out.remove((ident, number))
        now = self._fleet.now
        if wait:
            self.folder.waits[host.id] = max(self.folder.waits.get(host.id, 0), now + wait)
        message = self.folder.owed.get(ident)
        if message and outcome.never_ran:
            message.attempts[number][1] = 1
        fulfilled = outcome is Outcome.FULFILLED
        if fulfilled:
            self.folder.owed.pop(ident, None)
        self.relay.end_trip(now, ident, number, outcome, fulfilled or not message, now - sent_at, wait, ())
        self.turn()

    def turn(self) -> None:
        """The end of a round."""
        if self.dead:
            return
        self.relay.end_round(self._fleet.now)
        if self.relay.recovering_changes != self._written and not self._writing:
            self._writing = True
            self._fleet.at(WRITE_DELAY, self._write)

    def _write(self) -> None:
        self._writing = False
        self._written = self.relay.recovering_changes
        if not self.dead:
            self.folder.cold = self.relay.list_recovering_hosts()

    # The port of the decisions.

    def send(self, packet: Packet, host: Host, time_out: int) -> None:
        """One call leaves."""
        self._out.add((packet.id, len(packet.trips) - 1))
        self.folder.owed[packet.id].attempts.append([self._fleet.now, 0])
        self._fleet.call(self, packet, host, time_out)

    def cancel(self, packet: Packet, number: int) -> None:
        """Stop waiting for one attempt."""
        call = packet.trips[number].call
        self._fleet.at(
            0, lambda: self.outcome(packet.id, number, Outcome.CANCELLED, call.sent_at, 0, call.host)
        )

    def dismiss(self, packet: Packet, wait: int) -> None:
        """Final answer."""
        self.folder.owed.pop(packet.id, None)

    def fail(self, packet: Packet) -> None:
        """Final answer."""
        self.folder.owed.pop(packet.id, None)

    def close_idle_connections(self, host: Host) -> None:
        """No link is modelled."""

    def request_host_list(self) -> None:
        """News of the list comes by itself."""

    def set_alarm(self, delay: int) -> None:
        """Ring after the delay."""
        due = self._alarm_at = self._fleet.now + delay
        self._fleet.at(delay, lambda: self._alarm_at == due and self.turn())


class Fleet:
    """All relays, the destination and the clock."""

    def __init__(self, scenario: OutageScenario, seed: int) -> None:
        self.scenario, self.settings = scenario, scenario.settings()
        self.chance, self.now = random.Random(f"fleet {seed}"), SECOND
        self.out_at = self.now + scenario.warm_up
        self.back_at = self.out_at + scenario.span
        self._outages = [(self.out_at, self.back_at)]
        if scenario.crossing is Crossing.SECOND_OUTAGE:
            out_again = self.back_at + SECOND_RETURN
            self._outages.append((out_again, out_again + SECOND_SPAN))
        self._told: set[tuple[int, int, bytes]] = set()  # relay, outage and limit
        self._arrivals: dict[tuple[int, bytes], list[Arrival]] = {}  # by outage and limit
        self._tokens: dict[bytes, tuple[float, int]] = {}
        self._agenda: list[tuple[int, int, Callable[[], object]]] = []
        self._order = count().__next__
        self._ident = count(1).__next__
        self._weights = [1 / (1 + number) ** scenario.skew for number in range(scenario.relays)]
        self.folders = [Folder() for _ in range(scenario.relays)]
        self.processes = [Process(self, number) for number in range(scenario.relays)]

    def entries(self, phase: Phase = Phase.READY) -> tuple[Entry, ...]:
        """All hosts, as a list names them."""
        hosts = range(self.scenario.hosts)
        return tuple(Entry(b"h%d" % host, 0, 0, 0, phase, self.scenario.rate) for host in hosts)

    def at(self, delay: int, action: Callable[[], object]) -> None:
        """Run an action after the delay."""
        heappush(self._agenda, (self.now + delay, self._order(), action))

    def run(self) -> float:
        """Play it; returns the largest part of the bound that a window after a return got."""
        self._arrive()
        self._cross()
        end = self._outages[-1][1] + self.scenario.cold_time
        while self._agenda[0][0] < end:
            self.now, _, action = heappop(self._agenda)
            action()
        backs = [back for _, back in self._outages]
        return max(
            (worst_window(self.scenario, calls, backs[at]) for (at, _), calls in self._arrivals.items()),
            default=0.0,
        )

    def _arrive(self) -> None:
        (process,) = self.chance.choices(self.processes, self._weights)
        message = OwedMessage(self.chance.randrange(3), self.now + self.scenario.give_up)
        process.take(self._ident(), message)
        destinations = self.scenario.hosts if self.scenario.hosts_apart else 1
        asked = self.scenario.rate * self.scenario.load * destinations
        self.at(int(self.chance.expovariate(asked) * SECOND), self._arrive)

    # Calls.

    def call(self, process: Process, packet: Packet, host: Host, time_out: int) -> None:
        """A call leaves a relay."""
        number, sent_at = len(packet.trips) - 1, self.now
        ident = packet.id

        def later(delay: int, outcome: Outcome, wait: int = 0) -> None:
            self.at(delay, lambda: process.outcome(ident, number, outcome, sent_at, wait, host))

        later(min(time_out or packet.deadline, packet.deadline - self.now), Outcome.TIMED_OUT)
        arrives = self.now + TRANSIT
        for at, (out_at, back_at) in enumerate(self._outages):
            if out_at <= arrives < back_at:
                self._fail(at, process, host, arrives, later)
                return
        back = [at for at, (_, back_at) in enumerate(self._outages) if arrives >= back_at]
        if back:
            limit = self._limit(host)
            arrival = Arrival(arrives, (process.number, back[-1], limit) in self._told)
            self._arrivals.setdefault((back[-1], limit), []).append(arrival)
        elif not self._within_limit(host):
            wait = self.chance.uniform(0.2, 0.9) * (self.chance.random() < self.scenario.limit_wait_share)
            later(2 * TRANSIT, Outcome.FULL, int(wait * SECOND))
            return
        later(2 * TRANSIT + SERVICE, Outcome.FULFILLED)

    def _limit(self, host: Host) -> bytes:
        """Of what one limit and one budget hold: the host, or the destination."""
        return host.id if self.scenario.hosts_apart else b""

    def _within_limit(self, host: Host) -> bool:
        limit, rate = self._limit(host), self.scenario.rate
        tokens, at = self._tokens.get(limit, (rate, self.now))
        tokens = min(rate, tokens + (self.now - at) * rate / SECOND)
        self._tokens[limit] = tokens - (tokens >= 1), self.now
        return tokens >= 1

    def _fail(
        self, outage: int, process: Process, host: Host, arrives: int, later: Callable[..., None]
    ) -> None:
        """A call that arrives during the outage."""
        back_at = self._outages[outage][1]
        kind, scenario = self.scenario.kind, self.scenario
        told_at = arrives + TRANSIT
        if kind is OutageKind.HUNG:
            later(back_at + SERVICE + TRANSIT - self.now, Outcome.FULFILLED)
        elif kind is OutageKind.SHUT:
            wait = (back_at - told_at) * (self.chance.random() < scenario.told_share)
            later(2 * TRANSIT, Outcome.FULL, max(0, wait))
        elif kind is OutageKind.FAILING and self.chance.random() >= scenario.failing_share:
            later(2 * TRANSIT + SERVICE, Outcome.FULFILLED)
            return
        elif kind is OutageKind.FAILING:
            later(2 * TRANSIT, Outcome.FAULT)
        elif kind is OutageKind.DOWN:
            later(2 * TRANSIT, Outcome.UNCONNECTED)
        elif kind is OutageKind.UNREACHABLE:
            told_at = self.now + CONNECT_TIMEOUT
            later(CONNECT_TIMEOUT, Outcome.UNCONNECTED)
        elif kind is OutageKind.RESET:
            later(2 * TRANSIT, Outcome.RESET)
        if kind in (OutageKind.HUNG, OutageKind.SILENT):
            told_at = self.now + SECOND  # it has waited for longer than a call takes
        told = process.number, outage, self._limit(host)
        self.at(told_at - self.now, lambda: process.dead or self._told.add(told))

    # What crosses the outage.

    def _cross(self) -> None:
        crossing, lead = self.scenario.crossing, self.scenario.crossing_lead
        before_return = self.back_at - lead - self.now
        everyone = range(self.scenario.relays)
        if crossing is Crossing.RESTART:
            self._each(before_return, RESTART_SPREAD, self._restart)
        elif crossing is Crossing.RESTART_TWICE:
            self._each(before_return - SECOND, RESTART_SPREAD, self._restart)
            self._each(before_return + SECOND // 2, RESTART_SPREAD, self._restart)
        elif crossing is Crossing.ROLLING_RESTART:
            step = self.scenario.span // len(everyone)
            for number in everyone:
                self.at(self.out_at - self.now + step * number, lambda number=number: self._restart(number))
        elif crossing is Crossing.REPLACEMENT:
            self._each(before_return - LEAVE_TIME, RESTART_SPREAD, self._replace)
        elif crossing is Crossing.LIST_AWAY:
            self._each(before_return - SECOND, RESTART_SPREAD, lambda number: self._restart(number, False))
            self._each(self.back_at - self.now, LIST_SPREAD, self._relist)
        elif crossing in (Crossing.RELISTED, Crossing.RELISTED_LATE):
            out = SECOND if crossing is Crossing.RELISTED else 2 * SECOND
            self._each(
                self.out_at + out - self.now, LIST_SPREAD, lambda number: self._phase(number, Phase.GONE)
            )
            self._each(self.back_at - self.now, LIST_SPREAD, self._relist)
        elif crossing is Crossing.DRAIN_UNDONE:
            drain = self.out_at + SECOND - self.now
            self._each(drain, LIST_SPREAD, lambda number: self._phase(number, Phase.DRAINING))
            self._each(self.back_at - self.now, LIST_SPREAD, lambda number: self._phase(number, Phase.READY))
        elif crossing is Crossing.CORDON_LIFTED:
            cordon = self.out_at + SECOND - self.now
            self._each(cordon, LIST_SPREAD, lambda number: self.processes[number].cordon(True))
            self._each(
                self.back_at - self.now, LIST_SPREAD, lambda number: self.processes[number].cordon(False)
            )

    def _each(self, delay: int, spread: int, action: Callable[[int], object]) -> None:
        for number in range(self.scenario.relays):
            own = max(0, delay + self.chance.randrange(spread))
            self.at(own, lambda number=number: action(number))

    def _restart(self, number: int, listed: bool = True) -> None:
        self.processes[number].dead = True
        process = self.processes[number] = Process(self, number, listed)
        process.turn()

    def _replace(self, number: int) -> None:
        old = self.processes[number]
        owed = old.folder.owed
        old.folder.owed = {}
        new = self.processes[number] = Process(self, number)
        owed.update(new.folder.owed)
        old.folder.owed = owed
        old.relay.begin_shutdown(self.now + LEAVE_TIME, replaced=True)
        new.turn()

        def over() -> None:
            old.dead = True
            new.adopt(old)

        self.at(LEAVE_TIME + self.chance.randrange(SECOND // 2), over)

    def _phase(self, number: int, phase: Phase) -> None:
        self.processes[number].list_told(Change.DELTA, self.entries(phase))

    def _relist(self, number: int) -> None:
        self.processes[number].list_told(Change.FULL, self.entries())


def worst_part(scenario: OutageScenario, seed: int) -> float:
    """Play one scenario; over 1 the destination has fallen."""
    return Fleet(scenario, seed).run()
