"""Drivers for the scale tests: a decision core with a simulated clock and port, and a decision engine."""

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

START_TIME_NS = 1000 * SECOND
CALLS_PER_SECOND = 1000.0  # that each destination accepts
LIMITS = Limits(descriptors=1024, disk_bytes=1 << 30, memory_bytes=1 << 30)
ENTRIES_PER_CHUNK = 10_000  # where the number of updates does not affect the result
KIND_INDEX = 0
ZONE_INDEX = 0
TENANT_INDEX = 0
SERVICE_CLASS_INDEX = 0  # idempotent, unordered


def build_settings(slots: int = 64, max_open_messages: int = 0) -> Settings:
    """Builds the settings of the lab's real relays, for one relay; `max_open_messages` 0 means no limit."""
    return replace(parse_settings(SETTINGS), relays=1, slots=slots, max_open=max_open_messages)


def format_host_name(number: int) -> bytes:
    return b"host-%07d" % number


def build_entry(number: int, phase: Phase = Phase.READY, rate: float = CALLS_PER_SECOND) -> Entry:
    """Builds the host list entry of a destination's only host."""
    return Entry(format_host_name(number), ZONE_INDEX, KIND_INDEX, number, phase, rate)


def iterate_entry_chunks(size: int) -> Iterator[tuple[Entry, ...]]:
    """Yields the entries of `size` destinations, at most `ENTRIES_PER_CHUNK` at a time."""
    for first in range(0, size, ENTRIES_PER_CHUNK):
        yield tuple(build_entry(number) for number in range(first, min(first + ENTRIES_PER_CHUNK, size)))


class CoreDriver:
    """A decision core and the calls that it has sent; the other methods of the port do nothing."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.now = START_TIME_NS
        self.rng = random.Random(seed)
        self.sent: deque[tuple[Packet, int]] = deque()
        self.ended_packets = 0
        self.relay = Relay(self, settings, seed, self.now)
        self._last_packet_id = 0

    # The core's port.

    def send(self, packet: Packet, host: Host, time_out: int) -> None:
        self.sent.append((packet, len(packet.trips) - 1))

    def cancel(self, packet: Packet, number: int) -> None:
        """Does nothing: `complete_oldest_call` decides when a call ends."""

    def dismiss(self, packet: Packet, wait: int) -> None:
        self.ended_packets += 1

    def fail(self, packet: Packet) -> None:
        self.ended_packets += 1

    def close_idle_connections(self, host: Host) -> None:
        """Does nothing: there are no connections."""

    def set_alarm(self, delay: int) -> None:
        """Does nothing: the caller advances the clock."""

    def request_host_list(self) -> None:
        """Does nothing: the caller passes in the list."""

    # Events.

    def add_destinations(self, size: int) -> None:
        """Adds `size` destinations of one host each to the host list."""
        for chunk in iterate_entry_chunks(size):
            self.relay.update_hosts(self.now, Change.DELTA, chunk)
        self.relay.end_round(self.now)

    def submit_message(self, destination: int, lifetime_ns: int = 6 * SECOND) -> None:
        """Submits a message for a destination."""
        self._last_packet_id += 1
        deadline = self.now + lifetime_ns
        self.relay.add_packet(
            self.now, self._last_packet_id, SERVICE_CLASS_INDEX, TENANT_INDEX, 0, deadline, destination
        )

    def complete_oldest_call(self, outcome: Outcome = Outcome.FULFILLED, wait: int = 0) -> None:
        """Ends the oldest call in flight."""
        packet, number = self.sent.popleft()
        delivered = outcome is Outcome.FULFILLED
        latency = 10 * MILLISECOND
        self.relay.end_trip(self.now, packet.id, number, outcome, delivered, latency, wait, ())

    def end_round(self) -> None:
        self.relay.end_round(self.now)


class EngineDriver:
    """A decision engine round a core, as the network code uses it; its items are plain objects."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.now = START_TIME_NS
        self.rng = random.Random(seed)
        self.decision_engine: DecisionEngine[object] = DecisionEngine(settings, LIMITS, seed, self.now)

    def add_destinations(self, size: int) -> None:
        """Adds `size` destinations of one host each to the host list."""
        for chunk in iterate_entry_chunks(size):
            self.decision_engine.update_hosts(self.now, Change.DELTA, chunk)
        self.decision_engine.tick(self.now)

    def submit_message(self, destination: int, lifetime_ns: int = 6 * SECOND) -> None:
        """Submits a message for a destination."""
        self.decision_engine.add_packet(
            self.now, object(), SERVICE_CLASS_INDEX, TENANT_INDEX, 0, self.now + lifetime_ns, destination
        )

    def tick(self) -> Job[object] | None:
        """Runs a turn and returns the job that it produced, if any."""
        self.decision_engine.tick(self.now)
        return self.decision_engine.pop_job()

    def report_delivery(self, part: Part[object]) -> None:
        """Reports that a call delivered its message."""
        self.decision_engine.report_outcome(self.now, part, Outcome.FULFILLED, finished=True)
