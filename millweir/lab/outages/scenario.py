"""What is played: an outage, what crosses it, and the fleet that meets it; all drawn from one seed."""

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
    UNREACHABLE = "unreachable"  # connections never come up
    SILENT = "silent"  # calls are taken and never answered
    HUNG = "hung"  # calls are taken, and answered once the outage is over
    SHUT = "shut"  # calls are refused; a part of the refusals tells the moment of the return
    FAILING = "failing"  # most calls fail
    RESET = "reset"  # connections break under the calls


class Crossing(Enum):
    """What else happens to the fleet during the outage."""

    NOTHING = "nothing"
    RESTART = "restart"  # all relays are killed and started again, within a second
    RESTART_TWICE = "restart-twice"
    ROLLING_RESTART = "rolling-restart"
    REPLACEMENT = "replacement"  # a process beside each one takes over, as in an upgrade
    LIST_AWAY = "list-away"  # restarted without a list of hosts, which comes with the return
    RELISTED = "relisted"  # the hosts leave the list, and are in it again with the return
    RELISTED_LATE = "relisted-late"  # the same, after the relays have forgotten the hosts
    DRAIN_UNDONE = "drain-undone"  # the hosts drain until the return
    CORDON_LIFTED = "cordon-lifted"  # the hosts are out by hand until the return
    SECOND_OUTAGE = "second-outage"  # back for a moment, and out again


FORGETTING = 65 * SECOND  # longer than a relay keeps a host that the list names no more


@dataclass(frozen=True, slots=True)
class OutageScenario:
    """One outage of one destination; rates are calls a second over all relays."""

    relays: int
    rate: float  # listed, and the capacity of the destination (of each host, where they are apart)
    load: float  # asked for, as a part of that rate
    hosts: int
    hosts_apart: bool  # each host is a destination of its own, with its own limit and outage
    skew: float  # 0: even traffic; 1: the n-th relay gets 1/n of the first one's
    configured: float  # relays in the settings, as a part of those alive
    kind: OutageKind
    told_share: float  # of the refusals of a shut destination that tell its return
    failing_share: float  # of the calls to a failing one
    limit_wait_share: float  # of the refusals above the rate that tell a wait
    warm_up: int  # before the outage
    span: int
    crossing: Crossing
    crossing_lead: int  # how long before the return it happens
    give_up: int  # the time of each message
    cold_from: float
    cold_time: int
    fall_time: int
    fall_multiple: float

    def settings(self) -> Settings:
        """Those of one relay."""
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
    """The same seed gives the same scenario."""
    chance = random.Random(f"outage {seed}")
    relays = chance.choice((2, 5, 5, 12, 30, 30, 46, 51, 51, 100))
    large = relays >= 30 and chance.random() < 0.1  # beyond thirty calls in the fall time
    kind = chance.choice((*OutageKind, OutageKind.SHUT, OutageKind.SHUT))
    crossing = chance.choice((*Crossing, Crossing.RESTART, Crossing.ROLLING_RESTART))
    span = round(chance.uniform(4, 14) * SECOND)
    if crossing is Crossing.RELISTED_LATE:
        span += FORGETTING
    hosts = chance.choice((1, 1, 1, 2, 3))
    return OutageScenario(
        relays=relays,
        rate=chance.uniform(30, 45) if large else chance.uniform(2.5, 8),
        load=chance.choice((0.5, 0.8, 0.8, 1.0, 1.5)),
        hosts=hosts,
        hosts_apart=hosts > 1 and chance.random() < 0.5,
        skew=chance.choice((0.0, 0.0, 0.0, 0.5, 1.0)),
        configured=chance.choice((1.0, 1.0, 1.0, 1.5, 2 / 3)),
        kind=kind,
        told_share=chance.choice((0.0, 0.0, 0.1, 0.5, 1.0)),
        failing_share=chance.uniform(0.7, 0.95),
        limit_wait_share=chance.choice((0.0, 0.1, 0.8)),
        warm_up=round(chance.uniform(4, 14) * SECOND),
        span=span,
        crossing=crossing,
        crossing_lead=round(chance.choice((0.0, 0.5, 1.0, 2.0, 5.0)) * SECOND),
        give_up=chance.choice((8, 16, 30)) * SECOND,
        cold_from=chance.uniform(0.13, 0.25),
        cold_time=round(chance.uniform(7, 10.5) * SECOND),
        fall_time=chance.choice((1500, 2000, 3000)) * MILLISECOND,
        fall_multiple=chance.choice((2.0, 2.5)),
    )
