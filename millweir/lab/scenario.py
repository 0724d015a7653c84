"""A scenario of a cluster: size, load and a timeline of faults, as a TOML file; or composed from a seed."""

from __future__ import annotations

import random
import tomllib
from pathlib import Path

import msgspec

from millweir.operator.units import Duration, decode_unit

SECOND = 1_000_000_000
# "roll" is a planned restart: SIGTERM, then SIGKILL when the platform sends it at the earliest; "kill-twice"
# kills the next process while it starts; "reload" sends SIGHUP in a row.
PROCESS = ("stop", "kill", "lose", "term", "starve", "full", "slow", "skew", "roll", "kill-twice", "reload")
# Listed as draining; accepts calls and answers none, then is back cold; ends its connections and refuses new
# ones, then is back cold; runs calls and writes no answer; writes answers that stop short;
# refuses every call, a share of them with the time until it is back, then is back cold.
HOST = ("drain", "hang", "refuse", "mute", "short", "shut")
LINK = ("cut", "cut-one-way", "loss", "delay", "reorder", "duplicate", "bandwidth", "flap", "split")


class Fault(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One fault: `who` for processes; `start` and `end` for links (all pairs between the two sets)."""

    at: Duration
    span: Duration = Duration(0)  # how long; a kill's is until the relay starts again, 0 for never
    kind: str
    who: tuple[str, ...] = ()  # relays, or hosts (h0, h1, ...)
    start: tuple[str, ...] = ()
    end: tuple[str, ...] = ()
    share: float = (
        0.3  # of loss and duplicates; of the processor that a starved one keeps; told by a shut host
    )
    wait: Duration = Duration(0)  # delay, reordering, half a period of flapping, slowness of a start
    bytes_second: float = 20_000.0
    hours: float = 1.0  # skew

    def __post_init__(self) -> None:
        if self.kind not in PROCESS + HOST + LINK:
            raise ValueError(f"no such fault: {self.kind!r}")

    def line(self) -> str:
        where = ",".join(self.who) or f"{','.join(self.start)}->{','.join(self.end)}"
        return f"{self.at / 1e9:.1f} s {self.kind} {where} for {self.span / 1e9:.1f} s"


class Scenario(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True, rename="kebab"):
    """What is played."""

    relays: int = 5
    span: Duration = Duration(60 * SECOND)
    calm: Duration = Duration(20 * SECOND)  # at the end, without faults
    hosts: int = 4
    rate: float = 20.0  # packets a second, all relays together
    interval: Duration = Duration(SECOND)  # of the members' probes
    suspicion: float = 5.0
    doubt_most: Duration = Duration(120 * SECOND)
    key: bool = True
    bundle: int = 1  # messages in a call
    crowd: int = 0  # idle connections of clients at each relay
    members: bool = True  # relays know of each other; without it they are as the platform runs them
    groups: int = 2  # destinations; the hosts are dealt out over them
    host_rate: float = 40.0  # calls a second that a warm host takes
    protocols: dict[str, int] = {}  # relay: highest version of the members' protocol
    fault: tuple[Fault, ...] = ()
    compose: tuple[str, ...] = ()  # kinds drawn by the seed, besides those above
    every: Duration = Duration(15 * SECOND)  # mean between drawn faults

    @property
    def names(self) -> tuple[str, ...]:
        return tuple(f"r{n}" for n in range(1, self.relays + 1))


def read_scenario(path: Path) -> Scenario:
    """ValueError says what is wrong."""
    return msgspec.convert(tomllib.loads(path.read_text()), Scenario, dec_hook=decode_unit)


def timeline(scenario: Scenario, seed: int) -> list[Fault]:
    """The faults of a scenario; the same seed gives the same ones."""
    chance, faults, at = random.Random(seed), list(scenario.fault), 0
    while scenario.compose:
        at += round(chance.uniform(0.4, 1.6) * scenario.every)
        if at >= scenario.span - scenario.calm:
            break
        faults.append(_drawn(scenario, chance, at))
    return sorted(faults, key=lambda fault: fault.at)


def _drawn(scenario: Scenario, chance: random.Random, at: int) -> Fault:
    kind = chance.choice(scenario.compose)
    most = (scenario.span - scenario.calm - at) / SECOND
    span = Duration(round(min(chance.choice((2.0, 5.0, 10.0, 20.0)), most) * SECOND))
    names = list(scenario.names)
    chance.shuffle(names)
    if kind in PROCESS:
        # Killed ones stay away long enough to be found, half of the fleet at the most.
        count = 1 if kind in ("term", "full", "slow", "skew") else chance.randint(1, max(1, len(names) // 2))
        if kind in ("kill", "lose", "term"):
            span = Duration(round(min(chance.uniform(15, 30), max(most, 1)) * SECOND))
        elif kind in ("roll", "kill-twice"):
            span = Duration(round(0.6 * SECOND))  # from the kill to the next start
        return Fault(
            at=Duration(at),
            span=span,
            kind=kind,
            who=tuple(names[:count]),
            share=chance.choice((0.1, 0.3)),
            wait=Duration(2 * SECOND),
            hours=chance.choice((-1.0, 1.0)),
        )
    if kind in HOST:
        hosts = chance.sample(range(scenario.hosts), chance.randint(1, max(1, scenario.hosts // 2)))
        return Fault(at=Duration(at), span=span, kind=kind, who=tuple(f"h{host}" for host in hosts))
    side = chance.randint(1, len(names) - 1)
    start, end = tuple(names[:side]), tuple(names[side:])
    if kind in ("cut", "cut-one-way", "flap"):
        start, end = start[:1], end[: chance.randint(1, len(end))]
    elif kind != "split":
        start = end = tuple(scenario.names)
    wait = {"flap": SECOND, "delay": round(chance.choice((0.05, 0.3)) * SECOND), "reorder": SECOND // 5}
    return Fault(
        at=Duration(at),
        span=span,
        kind=kind,
        start=start,
        end=end,
        share=0.3,
        wait=Duration(wait.get(kind, 0)),
    )
