"""A deciding core with a clock and a port of its own, and an engine round one, for the scale tests."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Iterator
from dataclasses import replace

from millweir.control import Relay
from millweir.facade import DecisionEngine, Job, Part
from millweir.interface import MILLISECOND, SECOND, Change, Entry, Limits, Outcome, Phase, Settings
from millweir.lab.standins import SETTINGS
from millweir.records import Host, Packet
from millweir.settings import parse_settings

START = 1000 * SECOND
RATE = 1000.0  # calls a second that each destination takes
LIMITS = Limits(descriptors=1024, disk_bytes=1 << 30, memory_bytes=1 << 30)
CHUNK = 10_000  # entries told at once where it does not matter how many
KIND = 0
ZONE = 0
TENANT = 0
SERVICE_CLASS = 0  # idempotent, without order


def settings(slots: int = 64, most_open: int = 0) -> Settings:
    """Those of the lab's real relays, for one relay; no limit of open messages unless one is given."""
    return replace(parse_settings(SETTINGS), relays=1, slots=slots, max_open=most_open)


def host_name(number: int) -> bytes:
    return b"host-%07d" % number


def entry(number: int, phase: Phase = Phase.READY, rate: float = RATE) -> Entry:
    """The list's line of a destination's one host."""
    return Entry(host_name(number), ZONE, KIND, number, phase, rate)


def chunks(size: int) -> Iterator[tuple[Entry, ...]]:
    """The lines of so many destinations, some at a time."""
    for first in range(0, size, CHUNK):
        yield tuple(entry(number) for number in range(first, min(first + CHUNK, size)))


class Core:
    """A deciding core and what it has sent; the port's other acts are taken as done."""

    def __init__(self, given: Settings, seed: int) -> None:
        self.now = START
        self.chance = random.Random(seed)
        self.sent: deque[tuple[Packet, int]] = deque()
        self.ended = 0
        self.relay = Relay(self, given, seed, self.now)
        self._idents = 0

    # The port.

    def send(self, packet: Packet, host: Host, time_out: int) -> None:
        self.sent.append((packet, len(packet.trips) - 1))

    def cancel(self, packet: Packet, number: int) -> None:
        """Nothing is waited for."""

    def dismiss(self, packet: Packet, wait: int) -> None:
        self.ended += 1

    def fail(self, packet: Packet) -> None:
        self.ended += 1

    def close_idle_connections(self, host: Host) -> None:
        """There are none."""

    def set_alarm(self, delay: int) -> None:
        """The clock is the caller's."""

    def request_host_list(self) -> None:
        """The list is told by the caller."""

    # What happens.

    def list_all(self, size: int) -> None:
        """So many destinations are listed."""
        for some in chunks(size):
            self.relay.update_hosts(self.now, Change.DELTA, some)
        self.relay.end_round(self.now)

    def take(self, destination: int, life: int = 6 * SECOND) -> None:
        """A message is handed in for that destination."""
        self._idents += 1
        stop = self.now + life
        self.relay.add_packet(self.now, self._idents, SERVICE_CLASS, TENANT, 0, stop, destination)

    def answer(self, outcome: Outcome = Outcome.FULFILLED, wait: int = 0) -> None:
        """The call that was sent first has ended."""
        packet, number = self.sent.popleft()
        delivered = outcome is Outcome.FULFILLED
        latency = 10 * MILLISECOND
        self.relay.end_trip(self.now, packet.id, number, outcome, delivered, latency, wait, ())

    def turn(self) -> None:
        self.relay.end_round(self.now)


class Engine:
    """A deciding core in its engine, as the network code uses it; items are plain objects."""

    def __init__(self, given: Settings, seed: int) -> None:
        self.now = START
        self.chance = random.Random(seed)
        self.engine: DecisionEngine[object] = DecisionEngine(given, LIMITS, seed, self.now)

    def list_all(self, size: int) -> None:
        """So many destinations are listed."""
        for some in chunks(size):
            self.engine.update_hosts(self.now, Change.DELTA, some)
        self.engine.tick(self.now)

    def take(self, destination: int, life: int = 6 * SECOND) -> None:
        """A message is handed in for that destination."""
        self.engine.add_packet(self.now, object(), SERVICE_CLASS, TENANT, 0, self.now + life, destination)

    def tick(self) -> Job[object] | None:
        """A turn, and the call that it makes."""
        self.engine.tick(self.now)
        return self.engine.pop_job()

    def answer(self, part: Part[object]) -> None:
        """That call delivered its message."""
        self.engine.report_outcome(self.now, part, Outcome.FULFILLED, finished=True)
