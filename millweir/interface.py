"""What the decision module is handed: settings as given, outcomes, and the port through which it acts.

Times are whole nanoseconds, rates are per second.  This file decides nothing.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from math import log2
from typing import Protocol

from millweir.records import Host, Packet

SECOND = 1_000_000_000
MILLISECOND = 1_000_000


class Effect(Enum):
    """What a repeat of a packet would do."""

    REPLAYABLE = "replayable"
    REFERENCED = "referenced"
    SINGLE_USE = "single-use"


class Outcome(Enum):
    """How a trip ended."""

    FULFILLED = "fulfilled"
    FAULT = "fault"
    FULL = "full"
    TIMED_OUT = "timed out"
    UNCONNECTED = "unconnected"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"
    SPOILT = "spoilt"
    CUT_OFF = "cut off"
    CROWDED = "crowded"
    UNREADABLE = "unreadable"

    @property
    def never_ran(self) -> bool:
        """All others may have."""
        return self in NEVER_RAN

    @property
    def given_up(self) -> bool:
        """It ended here alone: the host has said nothing, and the connection stood."""
        return self in (Outcome.TIMED_OUT, Outcome.CANCELLED)

    @property
    def may_run_on(self) -> bool:
        """Its call may be at work still."""
        return self in MAY_RUN_ON


NEVER_RAN = frozenset(
    (Outcome.FULL, Outcome.UNCONNECTED, Outcome.MOOT, Outcome.UNREADABLE, Outcome.CUT_OFF, Outcome.CROWDED)
)
MAY_RUN_ON = frozenset((Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELLED, Outcome.SPOILT))


class Change(Enum):
    """What a piece of list news is."""

    DELTA = "delta"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


class Phase(Enum):
    """What the list says of a host."""

    GONE = "gone"
    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class Profile:
    """A class of packets."""

    name: str
    value: float
    quoted: int
    give_up: int
    late_share: float
    effect: Effect
    repeat_known: int
    repeat_known_by_zone: bool
    in_order: bool
    kinds: frozenset[int] = frozenset()  # of destinations that it may go to; none named: all

    def worth(self, halves: bool, late: int) -> float:
        """What part of its gain is left so late: it halves with each quoted time, or falls evenly."""
        room = self.give_up - self.quoted
        if late <= 0 or late >= room:
            return float(late <= 0)
        if halves:
            return max(self.late_share, 0.5 ** (late / self.quoted))
        return 1 - (1 - self.late_share) * late / room

    def turns(self, halves: bool) -> list[int]:
        """Where that curve jumps or bends."""
        turns = [1, self.give_up - self.quoted]
        if halves and 0 < self.late_share < 1:
            turns.append(int(self.quoted * -log2(self.late_share)))
        return turns


@dataclass(frozen=True, slots=True)
class Tenant:
    """A customer and the packets a second, over all relays, that lie within its share."""

    name: str
    quota: float


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings as given at start."""

    relays: int
    profiles: tuple[Profile, ...]
    tenants: tuple[Tenant, ...]
    zone: int
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    period: int
    slots: int
    max_open: int
    max_trips: int
    cancel: bool
    retry_after: bool
    max_retry_after: int
    idle_close: int
    connect_timeout: int
    halves: bool
    second_copies: bool
    bundle_max: tuple[int, ...]
    apart: tuple[bool, ...]
    over_share: float
    must_ask: bool
    must_ask_in: int
    rates_listed: bool
    rates_rough: bool
    reports: tuple[str, ...]
    drain_grace: int
    answer_slack: int
    fall_multiple: float
    fall_time: int
    cold_from: float
    cold_time: int
    key_quiet: int
    fees: tuple[float, ...]  # by zone, for each trip that a route apart takes on; of a mean packet's gain

    @property
    def max_wait(self) -> int:
        """For how long a client may be asked to stay away."""
        return self.max_retry_after if self.retry_after else 0


@dataclass(frozen=True, slots=True)
class Entry:
    """One line of the list of hosts."""

    host: bytes
    zone: int
    kind: int
    destination: int
    phase: Phase
    rate: float


@dataclass(frozen=True, slots=True)
class Limits:
    """What one relay's machine gives it."""

    descriptors: int
    disk: int
    memory: int


@dataclass(frozen=True, slots=True)
class Bounds:
    """What the code round the module keeps to: derived figures, worked out in control.py."""

    link_life: int
    host_links: int
    client_links: int
    request: int
    doubtful: int
    ids_known: int
    journal_file: int
    journal_live: int
    resend: int
    redial: int
    watch: int
    silence: int
    proofs: tuple[int, ...]
    opening: int
    linger: int
    leave: int
    parting: int
    log_lines: int
    head_most: int
    body_most: int
    hold: int
    answer_most: int
    answer_time: int
    list_most: int
    notices: int
    lag_kept: int
    turn_reads: int
    rest: int  # nanoseconds, the longest after a call that discovery turned away
    turn_calls: int


class Port(Protocol):
    """How the decision module acts."""

    def send(self, packet: Packet, host: Host, time_out: int) -> None:
        """Start a trip; a time_out of 0 runs to the hard stop."""

    def cancel(self, packet: Packet, number: int) -> None:
        """Stop waiting for one trip."""

    def dismiss(self, packet: Packet, wait: int) -> None:
        """Final answer: not done, may come again after the wait (0: no advice)."""

    def error(self, packet: Packet) -> None:
        """Final answer: given up, nothing promised about its effect."""

    def free_links(self, host: Host) -> None:
        """Close this relay's idle connections to a host."""

    def alarm(self, delay: int) -> None:
        """Ring after the delay."""

    def watch(self) -> None:
        """Ask to be told of list changes."""
