"""Types shared by the decisions and their callers: settings, hosts, outcomes, and the port for actions.

Times and spans are whole nanoseconds, rates are per second.  This module makes no decisions.
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
    """What sending a packet again does."""

    IDEMPOTENT = "replayable"  # a repeat has no further effect
    IDEMPOTENT_BY_KEY = "referenced"  # nor has it while the host remembers the idempotency key
    NON_IDEMPOTENT = "single-use"  # a repeat takes effect again


class Outcome(Enum):
    """How a trip ended."""

    FULFILLED = "fulfilled"
    FAULT = "fault"  # the host answered with an error
    FULL = "full"  # refused: the host's rate limit is reached, or it is overloaded
    TIMED_OUT = "timed out"
    UNCONNECTED = "unconnected"  # no connection could be made
    RESET = "reset"  # the connection was lost after the call was sent
    CANCELLED = "cancelled"  # given up by the decisions
    MOOT = "moot"  # not run: withheld before it was sent, or the host answered that it has expired or is gone
    SPOILT = "spoilt"  # the answer could not be parsed
    CUT_OFF = "cut off"  # the connection was lost before the call was sent whole
    CROWDED = "crowded"  # refused on a new connection, which the host closed: it has too many of them
    UNREADABLE = "unreadable"  # the host can't parse the packet

    @property
    def never_ran(self) -> bool:
        """The call certainly had no effect; after all other outcomes it may have had one."""
        return self in NEVER_RAN

    @property
    def given_up(self) -> bool:
        """The trip was ended by this relay alone: the host had not answered and the connection stood."""
        return self in (Outcome.TIMED_OUT, Outcome.CANCELLED)

    @property
    def may_run_on(self) -> bool:
        """The host may still be working on the call."""
        return self in MAY_RUN_ON


NEVER_RAN = frozenset(
    (Outcome.FULL, Outcome.UNCONNECTED, Outcome.MOOT, Outcome.UNREADABLE, Outcome.CUT_OFF, Outcome.CROWDED)
)
MAY_RUN_ON = frozenset((Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELLED, Outcome.SPOILT))


class Change(Enum):
    """The kind of an update of the host list."""

    DELTA = "delta"  # only the entries that changed
    FULL = "full"  # the whole list: hosts that it lacks are removed
    CACHED = "cached"  # the whole list as an earlier process run knew it
    FAILED = "failed"  # the list could not be fetched


class Phase(Enum):
    """The state of a host in the host list."""

    GONE = "gone"
    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class Profile:
    """A class of packets: how fast they are wanted, what they are worth, and whether they may be repeated."""

    name: str
    value: float  # of a packet delivered in time
    target_latency: int  # time from acceptance within which a packet keeps its whole value
    lifetime: int  # time from acceptance to the deadline
    value_floor: float  # the fraction of the value that a late packet keeps up to its deadline
    effect: Effect
    dedup_window: int  # for how long a host remembers an idempotency key
    dedup_per_zone: bool  # the key is known only in the zone where it was first used
    in_order: bool  # packets with the same key are sent one at a time, in order
    kinds: frozenset[int] = frozenset()  # kinds of hosts that may be used; empty: all

    def value_fraction(self, value_halves: bool, late: int) -> float:
        """The fraction of its value that a packet has left when it is delivered so late.

        `value_halves`: the value halves with each target latency that passes; else it falls linearly.
        """
        room = self.lifetime - self.target_latency
        if late <= 0 or late >= room:
            return float(late <= 0)
        if value_halves:
            return max(self.value_floor, 0.5 ** (late / self.target_latency))
        return 1 - (1 - self.value_floor) * late / room

    def breakpoints(self, value_halves: bool) -> list[int]:
        """The latenesses at which the value curve jumps or bends."""
        breakpoints = [1, self.lifetime - self.target_latency]
        if value_halves and 0 < self.value_floor < 1:
            breakpoints.append(int(self.target_latency * -log2(self.value_floor)))
        return breakpoints


@dataclass(frozen=True, slots=True)
class Tenant:
    """A customer and its quota: packets per second over all relays that are within its fair share."""

    name: str
    quota: float


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of a relay; times in nanoseconds."""

    relays: int  # number of relays that share the rates
    profiles: tuple[Profile, ...]
    tenants: tuple[Tenant, ...]
    zone: int  # this relay's zone, an index into zones
    zones: tuple[str, ...]
    kinds: tuple[str, ...]  # of hosts
    period: int  # between two rounds of decisions
    slots: int  # calls that may be in flight at once
    max_open: int  # packets accepted and not ended yet; 0: no bound
    max_trips: int  # trips of one packet
    cancel: bool  # trips may be cancelled
    retry_after: bool  # clients may be given a retry-after
    max_retry_after: int
    idle_close: int  # after which hosts close an idle connection
    connect_timeout: int
    value_halves: bool  # a late packet's value halves with each target latency; else it falls linearly
    allow_second_copies: bool  # a packet may be sent again while an earlier trip may still be running
    max_batch_packets: tuple[int, ...]  # packets in one batch, by kind of host
    has_own_limit: tuple[bool, ...]  # by kind of host: each host has a rate limit of its own
    over_quota_value: float  # the fraction of its value that a packet beyond its tenant's quota has
    polls_host_list: bool  # the host list is sent on request only
    host_list_poll_interval: int  # the longest time between two such requests
    rates_listed: bool  # the host list names the hosts' rate limits
    rates_approximate: bool  # those limits are approximate
    report_fields: tuple[str, ...]  # names of the fields of a host's load report
    drain_grace: int  # for which a draining or removed host may still be sent calls
    answer_slack: int  # by which a final outcome may come after the deadline
    recovery_multiple: float  # calls to a recovering host within the window, as a multiple of its capacity
    recovery_window: int  # the window in which the calls to a recovering host are counted
    initial_capacity: float  # capacity of a host at the start of its recovery, as a fraction
    recovery_time: int  # until a recovering host has its full capacity
    key_quiet_period: int  # quiet period of a key after a trip that may still be running
    # By zone: the fee of a trip to a host with its own rate limit, in mean packet values.
    zone_fees: tuple[float, ...]

    @property
    def max_wait(self) -> int:
        """The longest retry-after that a client may be given."""
        return self.max_retry_after if self.retry_after else 0


@dataclass(frozen=True, slots=True)
class Entry:
    """One entry of the host list."""

    host: bytes
    zone: int
    kind: int
    destination: int
    phase: Phase
    rate: float  # calls per second


@dataclass(frozen=True, slots=True)
class Limits:
    """What the machine provides for one relay."""

    descriptors: int
    disk_bytes: int
    memory_bytes: int


@dataclass(frozen=True, slots=True)
class MemoryShares:
    """The most that each kind of holder may take, in bytes."""

    client_connections: int  # with the bytes of requests that are not answered yet
    messages: int  # accepted and not ended yet
    known_ids: int  # of messages owed, and of ended ones that may come again
    host_lists: int  # one list while it is decoded


@dataclass(frozen=True, slots=True)
class Bounds:
    """Limits and time-outs for the network code, derived from the settings and the machine in control.py."""

    memory: MemoryShares
    connection_idle_timeout_ns: int  # of a connection to a host
    max_host_connections: int
    max_client_connections: int
    request_timeout_ns: int  # for a client to send a whole request
    client_grace_ns: int  # before a client connection with no whole request may be dropped
    concurrent_poll_ns: int  # between two looks at the other processes of the folder
    concurrent_search_ns: int  # between two looks whether there is one
    folder_lock_wait_ns: int  # for the lock of the folder, while a message is taken
    concurrent_key_margin_ns: int  # added to the quiet time of a key whose message ended at another process
    max_known_ids: int  # of messages owed and ended, by which repeats are recognised
    known_id_time_ns: int  # for which the id of an ended message is kept at most
    max_journal_file_bytes: int
    max_journal_live_bytes: int  # of messages not ended yet
    retry_interval_ns: int  # the longest pause before a failed request is repeated; time-out of notifications
    moved_notification_timeout_ns: int  # of notifications while the platform's new address has not answered
    reconnect_delay_ns: int  # the shortest such pause
    watch_wait_ns: int  # for which discovery may hold a request for list changes
    watch_timeout_ns: int  # after which such a request counts as unanswered
    probe_timeouts_ns: tuple[int, ...]  # of requests to a discovery address not proven yet, by failures
    startup_list_wait_ns: int  # for discovery at a start, before calls go out by the list of the last run
    shutdown_linger_ns: int  # for requests that are still on their way to a stopping process
    shutdown_timeout_ns: int
    client_close_timeout_ns: int  # for clients to close their connections at the end of a shutdown
    max_log_lines_per_second: int
    max_head_bytes: int  # of a client's request
    max_body_bytes: int
    last_byte_hold_ns: int  # for which the last byte of a call is held back
    max_release_delay_ns: int  # beyond that; later than that the call is withheld
    max_answer_bytes: int
    answer_timeout_ns: int  # from the first bytes of an answer to its last
    max_list_bytes: int
    max_notifications_per_request: int
    lag_window_ns: int  # over which the event loop's lag is observed
    max_requests_per_turn: int
    max_discovery_back_off_ns: int  # after a request that discovery turned away
    max_calls_per_turn: int


class Port(Protocol):
    """The actions that the decisions take."""

    def send(self, packet: Packet, host: Host, time_out: int) -> None:
        """Start a trip; with a time-out of 0 it runs to the deadline."""

    def cancel(self, packet: Packet, number: int) -> None:
        """Stop waiting for one trip."""

    def dismiss(self, packet: Packet, wait: int) -> None:
        """End the packet: not delivered, may be handed in again after the wait (0: no advice)."""

    def fail(self, packet: Packet) -> None:
        """End the packet: given up, it may or may not have taken effect."""

    def close_idle_connections(self, host: Host) -> None:
        """Close this relay's idle connections to a host."""

    def set_alarm(self, delay: int) -> None:
        """Ask for the next round of decisions after the delay."""

    def request_host_list(self) -> None:
        """Ask for changes of the host list."""
