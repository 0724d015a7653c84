"""Defines a cluster scenario: size, load and timed faults, read from a TOML file or drawn from a seed."""

from __future__ import annotations

import random
import tomllib
from pathlib import Path

import msgspec

from millweir.lab.hostile_clients import PATTERNS
from millweir.operator.units import Duration, decode_unit

SECOND = 1_000_000_000
# Faults of relay processes. "roll" is a planned restart: SIGTERM, then SIGKILL at the earliest time at which
# the platform sends it; "kill-twice" also kills the next process while it starts; "reload" sends SIGHUP
# several times in a row, each time with a good file that differs. "replace": a second process is started
# beside the first one, which then gets SIGTERM; "cordon": a host is taken out by command and put back.
PROCESS = ("stop", "kill", "lose", "term", "starve", "full", "slow", "skew", "roll", "kill-twice", "reload")
PROCESS += ("replace", "cordon")
# Faults of hosts. "drain": listed as draining; "hang": accepts calls and answers none; "refuse": resets its
# connections and refuses new ones; "mute": runs calls and writes no response; "short": truncates its
# responses; "shut": refuses every call, a share of them with a retry-after until the end of the outage.
# After "hang", "refuse" and "shut" the host is recovering.
HOST = ("drain", "hang", "refuse", "mute", "short", "shut")
# Answers that are written again, unasked, some time later: as they were; an older one of the connection; a
# first part; several times; the same for the host lists and the acknowledged notifications of the platform.
HOST_COPIES = ("copy", "copy-older", "copy-part", "copy-several")
PLATFORM_COPIES = ("copy-list", "copy-notice")
# A share of the answers is followed by the end of the connection, whatever it carries then.
HOST_CLOSES = ("close-links", "reset-links")
CLOSE_DELAYS_S = (0.005, 0.4)  # bounds of a drawn delay
COPY_DELAYS_S = (0.001, 0.004, 0.012, 0.02, 0.12, 0.4, 1.0)  # bounds of a drawn delay
# Clients that flood a relay or hold its connections, by pattern, in a process of their own for each relay.
CLIENTS = tuple(f"clients-{pattern}" for pattern in PATTERNS)
LINK = ("cut", "cut-one-way", "loss", "delay", "reorder", "duplicate", "bandwidth", "flap", "split")


class Fault(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One fault: of `who` (relays or hosts), or of the connections from every `start` to every `end`."""

    at: Duration
    span: Duration = Duration(0)  # duration; of a kill: until the relay is restarted, 0 for never
    kind: str
    who: tuple[str, ...] = ()  # relays, or hosts (h0, h1, ...)
    start: tuple[str, ...] = ()
    end: tuple[str, ...] = ()
    # Of lost or duplicated datagrams; of the processor left to a starved relay; of a shut host's refusals
    # that carry a retry-after; of the answers that are copied, or followed by the end of their connection.
    share: float = 0.3
    # Delay, reordering jitter, half a flapping period, start delay, or the longest delay behind an answer.
    wait: Duration = Duration(0)
    after: Duration = Duration(0)  # shortest delay of a copy, or of the end of a connection, behind an answer
    bytes_second: float = 20_000.0
    hours: float = 1.0  # clock skew
    connections: int = 0  # of hostile clients at each relay; 0: as many as their pattern says

    def __post_init__(self) -> None:
        if self.kind not in PROCESS + HOST + HOST_COPIES + PLATFORM_COPIES + HOST_CLOSES + CLIENTS + LINK:
            raise ValueError(f"unknown fault kind: {self.kind!r}")

    def describe(self) -> str:
        where = ",".join(self.who) or f"{','.join(self.start)}->{','.join(self.end)}"
        return f"{self.at / 1e9:.1f} s {self.kind} {where} for {self.span / 1e9:.1f} s"


class Scenario(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True, rename="kebab"):
    """The parameters of one run."""

    relays: int = 5
    span: Duration = Duration(60 * SECOND)
    calm: Duration = Duration(20 * SECOND)  # time without faults at the end
    hosts: int = 4
    rate: float = 20.0  # messages per second over all relays
    interval: Duration = Duration(SECOND)  # between the members' probes
    suspicion: float = 5.0
    doubt_most: Duration = Duration(120 * SECOND)
    key: bool = True
    bundle: int = 1  # maximum messages in a batch call
    crowd: int = 0  # idle client connections at each relay
    members: bool = True  # relays run the members component; without it they run as the platform starts them
    groups: int = 2  # destinations, over which the hosts are distributed
    host_rate: float = 40.0  # calls per second that a host accepts when not recovering
    refused_share: float = 0.0  # of the calls that are refused with a plain 503 after the service time
    over_share: float = 0.0  # of the messages that are over, as every host says without running them
    # Of each call that a host runs, where it refuses calls at once; 0: drawn, with a median of 30 ms.
    service_time: Duration = Duration(0)
    shared_limit: bool = False  # the hosts of a destination share that rate, and recover as one
    memory_mb: int = 192  # limits of each relay, as its settings name them
    descriptors: int = 512
    disk_mb: int = 16
    max_unanswered: float = 1.0  # share of the usual clients' requests with no answer in time
    protocols: dict[str, int] = {}  # by relay: highest version of the members' protocol
    fault: tuple[Fault, ...] = ()
    compose: tuple[str, ...] = ()  # fault kinds drawn from the seed, in addition to `fault`
    every: Duration = Duration(15 * SECOND)  # mean time between drawn faults

    @property
    def replaces_processes(self) -> bool:
        return "replace" in self.compose or any(fault.kind == "replace" for fault in self.fault)

    @property
    def names(self) -> tuple[str, ...]:
        return tuple(f"r{n}" for n in range(1, self.relays + 1))


def read_scenario(path: Path) -> Scenario:
    """Read and validate a scenario file; raise ValueError for an invalid one."""
    return msgspec.convert(tomllib.loads(path.read_text()), Scenario, dec_hook=decode_unit)


def list_faults(scenario: Scenario, seed: int) -> list[Fault]:
    """Return the faults of a scenario by start time; the same seed gives the same faults."""
    rng, faults, at = random.Random(seed), list(scenario.fault), 0
    while scenario.compose:
        at += round(rng.uniform(0.4, 1.6) * scenario.every)
        if at >= scenario.span - scenario.calm:
            break
        faults.append(_draw_fault(scenario, rng, at))
    return sorted(faults, key=lambda fault: fault.at)


def _draw_fault(scenario: Scenario, rng: random.Random, at: int) -> Fault:
    kind = rng.choice(scenario.compose)
    max_seconds = (scenario.span - scenario.calm - at) / SECOND
    span = Duration(round(min(rng.choice((2.0, 5.0, 10.0, 20.0)), max_seconds) * SECOND))
    names = list(scenario.names)
    rng.shuffle(names)
    if kind in PROCESS:
        # Killed relays stay down long enough to be detected; at most half of the fleet fails at once.
        count = 1 if kind in ("term", "full", "slow", "skew") else rng.randint(1, max(1, len(names) // 2))
        if kind in ("kill", "lose", "term"):
            span = Duration(round(min(rng.uniform(15, 30), max(max_seconds, 1)) * SECOND))
        elif kind in ("roll", "kill-twice"):
            span = Duration(round(0.6 * SECOND))  # from the kill to the next start
        return Fault(
            at=Duration(at),
            span=span,
            kind=kind,
            who=tuple(names[:count]),
            share=rng.choice((0.1, 0.3)),
            wait=Duration(2 * SECOND),
            hours=rng.choice((-1.0, 1.0)),
        )
    if kind in CLIENTS:
        return Fault(at=Duration(at), span=span, kind=kind, who=tuple(names[: rng.randint(1, len(names))]))
    if kind in HOST_COPIES + PLATFORM_COPIES:
        return _draw_copy_fault(scenario, rng, at, kind, span)
    if kind in HOST_CLOSES:
        return _draw_close_fault(scenario, rng, at, kind, span)
    if kind in HOST:
        hosts = rng.sample(range(scenario.hosts), rng.randint(1, max(1, scenario.hosts // 2)))
        return Fault(at=Duration(at), span=span, kind=kind, who=tuple(f"h{host}" for host in hosts))
    side = rng.randint(1, len(names) - 1)
    start, end = tuple(names[:side]), tuple(names[side:])
    if kind in ("cut", "cut-one-way", "flap"):
        start, end = start[:1], end[: rng.randint(1, len(end))]
    elif kind != "split":
        start = end = tuple(scenario.names)
    wait = {"flap": SECOND, "delay": round(rng.choice((0.05, 0.3)) * SECOND), "reorder": SECOND // 5}
    return Fault(
        at=Duration(at),
        span=span,
        kind=kind,
        start=start,
        end=end,
        share=0.3,
        wait=Duration(wait.get(kind, 0)),
    )


def _draw_copy_fault(scenario: Scenario, rng: random.Random, at: int, kind: str, span: Duration) -> Fault:
    who = ("platform",)
    if kind in HOST_COPIES:
        hosts = rng.sample(range(scenario.hosts), rng.randint(1, scenario.hosts))
        who = tuple(f"h{host}" for host in hosts)
    earliest, latest = sorted(rng.sample(COPY_DELAYS_S, 2))
    return Fault(
        at=Duration(at),
        span=span,
        kind=kind,
        who=who,
        share=rng.choice((0.01, 0.1, 0.3)),
        after=Duration(round(earliest * SECOND)),
        wait=Duration(round(latest * SECOND)),
    )


def _draw_close_fault(scenario: Scenario, rng: random.Random, at: int, kind: str, span: Duration) -> Fault:
    hosts = rng.sample(range(scenario.hosts), rng.randint(1, scenario.hosts))
    earliest, latest = CLOSE_DELAYS_S
    return Fault(
        at=Duration(at),
        span=span,
        kind=kind,
        who=tuple(f"h{host}" for host in hosts),
        share=rng.choice((0.05, 0.2)),
        after=Duration(round(earliest * SECOND)),
        wait=Duration(round(latest * SECOND)),
    )
