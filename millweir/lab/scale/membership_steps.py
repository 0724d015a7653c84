"""Counts the deciding core's steps on a simulated fleet: the same figure on each run of a seed.

A step is one bytecode instruction executed in `millweir/members` or in the interpreter's `random`, which
shuffles for the core.  What the interpreter does inside one instruction (an insertion into a list) is not
counted.  The same interpreter gives the same count; another one gives another, of the same form of growth.
"""

from __future__ import annotations

import contextlib
import random
import sys
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from types import FrameType, TracebackType

import millweir.members
from millweir.lab.fleet import Fleet
from millweir.members.core import SECOND, Core, Port, Rules
from millweir.members.messages import PROTOCOL_VERSIONS, MemberRecord, ReportedState

COUNTED = (str(Path(millweir.members.__file__).parent), random.__file__)
PORT = 7946
SETTLING = 10  # simulated seconds until what the start stirs up is over


@dataclass(frozen=True, slots=True)
class Cost:
    """What a stretch of simulated time cost, for each member and second."""

    steps: float
    datagrams: float
    bytes: float


class StepCounter:
    """Counts steps while it is entered."""

    def __init__(self) -> None:
        self.steps = 0
        self._before: object = None

    def __enter__(self) -> StepCounter:
        self._before = sys.gettrace()
        sys.settrace(self._called)
        return self

    def __exit__(
        self, kind: type[BaseException] | None, fault: BaseException | None, trace: TracebackType | None
    ) -> None:
        sys.settrace(self._before)

    def _called(self, frame: FrameType, event: str, argument: object) -> Callable | None:
        if not frame.f_code.co_filename.startswith(COUNTED):
            return None
        frame.f_trace_lines = False
        frame.f_trace_opcodes = True
        return self._executed

    def _executed(self, frame: FrameType, event: str, argument: object) -> Callable:
        if event == "opcode":
            self.steps += 1
        return self._executed


def settled_fleet(size: int, seed: int, make: Callable[..., Core] = Core) -> Fleet:
    """A simulated fleet whose members all know each other, some seconds after its start."""
    fleet = Fleet(size, seed, Rules(max_members=max(size, 64)), make=make)
    fleet.run(SETTLING * SECOND)
    return fleet


class SilentPort:
    """A core's port to nowhere."""

    def send(self, *given: object) -> None: ...
    def request_full_state(self, *given: object) -> None: ...
    def set_timer(self, *given: object) -> None: ...
    def notify_status_change(self, *given: object) -> None: ...
    def save_incarnation(self, *given: object) -> None: ...
    def log_event(self, *given: object, **fields: object) -> None: ...


def claim_of(number: int) -> MemberRecord:
    """What the member of that number says of itself."""
    host, name = f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}", f"m{number}"
    return MemberRecord(name, number + 1, 1, ReportedState.ALIVE, host, PORT, name, *PROTOCOL_VERSIONS)


def lone_core(size: int, seed: int, port: Port | None = None) -> Core:
    """Member 0 of a fleet, at time 0, that knows all others."""
    rules = Rules(max_members=max(4096, 2 * size))
    core = Core(port or SilentPort(), rules, random.Random(seed), 0, claim_of(0))
    for number in range(1, size):
        core.add_known_member(0, claim_of(number))
    core.finish_bootstrap(0, [claim_of(number).address for number in range(2)])
    return core


def steps_of(call: Callable[..., object], *given: object) -> int:
    """Steps of one call."""
    with StepCounter() as counter:
        call(*given)
    return counter.steps


def cost_of(fleet: Fleet, seconds: int, steps: bool = True) -> Cost:
    """Runs a fleet on for so many simulated seconds and counts; without steps it is much quicker."""
    datagrams, sent = _sent(fleet)
    counter = StepCounter()
    with counter if steps else contextlib.nullcontext():
        fleet.run(fleet.now + seconds * SECOND)
    datagrams_after, sent_after = _sent(fleet)
    member_seconds = len(fleet.living) * seconds
    return Cost(
        counter.steps / member_seconds,
        (datagrams_after - datagrams) / member_seconds,
        (sent_after - sent) / member_seconds,
    )


def _sent(fleet: Fleet) -> tuple[int, int]:
    living = fleet.living
    return (
        sum(node.counts["datagrams"] for node in living),
        sum(node.counts["bytes"] for node in living),
    )
