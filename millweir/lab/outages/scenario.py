"""Draws an outage scenario from a seed: the outage, the fleet and an operation that overlaps the outage."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

from millweir.interface import MILLISECOND, SECOND, Settings
from millweir.lab.standins import SETTINGS
from millweir.settings import parse_settings


class OutageKind(Enum):
    """What happens to calls that arrive during the outage."""

    DOWN = "down"  # connections are refused
    UNREACHABLE = "unreachable"  # connection attempts time out
    SILENT = "silent"  # calls are accepted and never answered
    HUNG = "hung"  # calls are accepted, and answered after the outage has ended
    SHUT = "shut"  # calls are refused; some refusals carry a retry-after up to the end of the outage
    FAILING = "failing"  # most calls fail
    RESET = "reset"  # connections break under the calls


class Signal(Enum):
    """How a relay's process is ended from outside."""

    KILL = "SIGKILL"
    TERMINATE = "SIGTERM"


@dataclass(frozen=True, slots=True)
class SignalWave:
    """The same signal to a share of the relays; each is started again after its process has ended."""

    signal: Signal
    at: int  # after the start of the outage
    spread: int  # each relay gets the signal within this time
    share: float  # of the relays, drawn anew for each wave


class Crossing(Enum):
    """An operation or a second fault that overlaps the outage."""

    NOTHING = "nothing"
    RESTART = "restart"  # all relays are killed and restarted within a second
    RESTART_TWICE = "restart-twice"
    ROLLING_RESTART = "rolling-restart"
    REPLACEMENT = (
        "replacement"  # a new process takes over from each relay while the old one drains, as in an upgrade
    )
    LIST_AWAY = "list-away"  # relays restart without a host list; it arrives when the outage ends
    RELISTED = "relisted"  # the hosts leave the host list and rejoin it when the outage ends
    RELISTED_LATE = "relisted-late"  # the same, after the relays have dropped the hosts' state
    DRAIN_UNDONE = "drain-undone"  # the hosts are draining until the outage ends
    CORDON_LIFTED = "cordon-lifted"  # the operator cordons the hosts until the outage ends
    SECOND_OUTAGE = "second-outage"  # the destination is available for a moment, then fails again


RESTART_DELAY_NS = 650 * MILLISECOND  # from the end of a process to its successor's start
TERMINATION_TIME_NS = 3300 * MILLISECOND  # from SIGTERM to the end of the process
LATE_RELIST_DELAY_NS = 65 * SECOND  # longer than a relay keeps the state of a host that left the host list


@dataclass(frozen=True, slots=True)
class OutageScenario:
    """One outage of one destination; rates are calls per second summed over all relays."""

    relays: int
    rate: float  # listed rate, and capacity of the destination (of each host if `hosts_apart`)
    load: float  # requested, as a fraction of `rate`
    hosts: int
    hosts_apart: bool  # each host is its own destination, with its own rate limit and outage
    skew: float  # 0: even traffic; 1: the n-th relay gets 1/n of the first relay's traffic
    configured: float  # number of relays in the settings, as a fraction of the live relays
    kind: OutageKind
    told_share: float  # fraction of a shut destination's refusals that carry a retry-after
    failing_share: float  # fraction of calls to a failing destination that fail
    limit_wait_share: float  # fraction of rate-limit refusals that carry a retry-after
    warm_up: int  # duration before the outage
    span: int
    crossing: Crossing
    crossing_lead: int  # how long before the end of the outage the operation happens
    give_up: int  # time allowed for each message
    cold_from: float
    cold_time: int
    fall_time: int
    fall_multiple: float
    waves: tuple[SignalWave, ...] = ()
    refuses_when_recovering: bool = False  # calls above its present capacity

    def build_settings(self) -> Settings:
        """Build the settings of one relay."""
        grades = [
            grade | {"give-up-us": self.give_up // 1000, "dedup-window-us": self.give_up // 2000}
            for grade in SETTINGS["grades"]
        ]
        obligations = SETTINGS["obligations"] | {
            "cold-from": self.cold_from,
            "cold-us": self.cold_time // 1000,
            "fall-us": self.fall_time // 1000,
            "fall-multiple": self.fall_multiple,
        }
        return parse_settings(
            SETTINGS
            | {
                "balancers": max(1, round(self.relays * self.configured)),
                "grades": grades,
                "obligations": obligations,
                "family-info": SETTINGS["family-info"] | {"kind-apart": [self.hosts_apart]},
            }
        )


def draw_scenario(seed: int) -> OutageScenario:
    """Draw a scenario; the same seed gives the same scenario."""
    rng = random.Random(f"outage {seed}")
    relays = rng.choice((2, 5, 5, 12, 30, 30, 46, 51, 51, 100))
    large = relays >= 30 and rng.random() < 0.1  # more than thirty calls allowed within `fall_time`
    kind = rng.choice((*OutageKind, OutageKind.SHUT, OutageKind.SHUT))
    crossing = rng.choice((*Crossing, Crossing.RESTART, Crossing.ROLLING_RESTART))
    span = round(rng.uniform(4, 14) * SECOND)
    if crossing is Crossing.RELISTED_LATE:
        span += LATE_RELIST_DELAY_NS
    hosts = rng.choice((1, 1, 1, 2, 3))
    return OutageScenario(
        relays=relays,
        rate=rng.uniform(30, 45) if large else rng.uniform(2.5, 8),
        load=rng.choice((0.5, 0.8, 0.8, 1.0, 1.5)),
        hosts=hosts,
        hosts_apart=hosts > 1 and rng.random() < 0.5,
        skew=rng.choice((0.0, 0.0, 0.0, 0.5, 1.0)),
        configured=rng.choice((1.0, 1.0, 1.0, 1.5, 2 / 3)),
        kind=kind,
        told_share=rng.choice((0.0, 0.0, 0.1, 0.5, 1.0)),
        failing_share=rng.uniform(0.7, 0.95),
        limit_wait_share=rng.choice((0.0, 0.1, 0.8)),
        warm_up=round(rng.uniform(4, 14) * SECOND),
        span=span,
        crossing=crossing,
        crossing_lead=round(rng.choice((0.0, 0.5, 1.0, 2.0, 5.0)) * SECOND),
        give_up=rng.choice((8, 16, 30)) * SECOND,
        cold_from=rng.uniform(0.13, 0.25),
        cold_time=round(rng.uniform(7, 10.5) * SECOND),
        fall_time=rng.choice((1500, 2000, 3000)) * MILLISECOND,
        fall_multiple=rng.choice((2.0, 2.5)),
    )


def draw_restarted_fleet(seed: int) -> OutageScenario:
    """Draw a large fleet, just started, whose destination refuses all calls and tells all relays its return.

    Its relays get signals in series, and more is requested than the destination's rate (issue 61).
    """
    rng = random.Random(f"restarted fleet {seed}")
    span = round(rng.uniform(8, 10) * SECOND)
    hosts = rng.choice((1, 2, 3, 4, 6))
    return OutageScenario(
        relays=rng.choice((37, 48, 48, 100)),
        rate=rng.uniform(3, 10),
        load=rng.choice((1.0, 1.5, 1.5, 2.0)),
        hosts=hosts,
        hosts_apart=False,
        skew=rng.choice((0.0, 0.0, 0.5, 1.0)),
        configured=1.0,
        kind=OutageKind.SHUT,
        told_share=rng.choice((1.0, 1.0, 0.5)),
        failing_share=1.0,
        limit_wait_share=rng.choice((0.0, 0.1, 0.8)),
        warm_up=round(rng.uniform(2.5, 5) * SECOND),
        span=span,
        crossing=Crossing.NOTHING,
        crossing_lead=0,
        give_up=rng.choice((8, 16, 30)) * SECOND,
        cold_from=rng.uniform(0.13, 0.25),
        cold_time=round(rng.uniform(7, 10.5) * SECOND),
        fall_time=rng.choice((1500, 2000, 3000)) * MILLISECOND,
        fall_multiple=rng.choice((2.0, 2.5)),
        waves=tuple(_draw_wave(rng, span) for _ in range(rng.choice((0, 1, 1, 2, 3)))),
        refuses_when_recovering=rng.random() < 0.5,
    )


def _draw_wave(rng: random.Random, span: int) -> SignalWave:
    signal = rng.choice((Signal.KILL, Signal.KILL, Signal.TERMINATE))
    # A terminated process takes calls for some seconds yet: its successor starts that much later.
    lead = TERMINATION_TIME_NS if signal is Signal.TERMINATE else 0
    return SignalWave(
        signal,
        at=round(rng.uniform(0, span - RESTART_DELAY_NS) - lead),
        spread=round(rng.choice((0.1, 0.5, 1.0, 4.0)) * SECOND),
        share=rng.choice((1.0, 1.0, 0.7, 0.3)),
    )
