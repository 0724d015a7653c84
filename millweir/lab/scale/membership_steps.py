"""Counts the steps of the membership core on a simulated fleet; a seed gives the same count in every run.

A step is one bytecode instruction executed in `millweir/members` or in the standard library's `random`,
which the core uses for shuffling.  Work inside one instruction (an insertion into a list) is not counted.
Counts are the same on one interpreter version; on others they differ, but grow in the same way.
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

COUNTED_PATHS = (str(Path(millweir.members.__file__).parent), random.__file__)
MEMBER_PORT = 7946
SETTLING_SECONDS = 10  # until the gossip caused by the start has ended


@dataclass(frozen=True, slots=True)
class MemberCost:
    """Cost of a period of simulated time, per member and second."""

    steps: float
    datagrams: float
    bytes: float


class StepCounter:
    """Counts the steps within its `with` block."""

    def __init__(self) -> None:
        self.steps = 0
        self._previous_trace: object = None

    def __enter__(self) -> StepCounter:
        self._previous_trace = sys.gettrace()
        sys.settrace(self._trace_call)
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        sys.settrace(self._previous_trace)

    def _trace_call(self, frame: FrameType, event: str, argument: object) -> Callable | None:
        if not frame.f_code.co_filename.startswith(COUNTED_PATHS):
            return None
        frame.f_trace_lines = False
        frame.f_trace_opcodes = True
        return self._trace_instruction

    def _trace_instruction(self, frame: FrameType, event: str, argument: object) -> Callable:
        if event == "opcode":
            self.steps += 1
        return self._trace_instruction


def build_settled_fleet(size: int, seed: int, make: Callable[..., Core] = Core) -> Fleet:
    """Builds a simulated fleet whose members all know each other, and runs it until it has settled."""
    fleet = Fleet(size, seed, Rules(max_members=max(size, 64)), make=make)
    fleet.run(SETTLING_SECONDS * SECOND)
    return fleet


class SilentPort:
    """A core's port that does nothing."""

    def send(self, *arguments: object) -> None: ...
    def request_full_state(self, *arguments: object) -> None: ...
    def set_timer(self, *arguments: object) -> None: ...
    def notify_status_change(self, *arguments: object) -> None: ...
    def save_incarnation(self, *arguments: object) -> None: ...
    def log_event(self, *arguments: object, **fields: object) -> None: ...


def build_record(number: int) -> MemberRecord:
    """Builds the record that the member of that number publishes about itself."""
    host, name = f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}", f"m{number}"
    return MemberRecord(name, number + 1, 1, ReportedState.ALIVE, host, MEMBER_PORT, name, *PROTOCOL_VERSIONS)


def build_lone_core(size: int, seed: int, port: Port | None = None) -> Core:
    """Builds the core of member 0 of a fleet, at time 0, which knows all other members."""
    rules = Rules(max_members=max(4096, 2 * size))
    core = Core(port or SilentPort(), rules, random.Random(seed), 0, build_record(0))
    for number in range(1, size):
        core.add_known_member(0, build_record(number))
    core.finish_bootstrap(0, [build_record(number).address for number in range(2)])
    return core


def count_steps(call: Callable[..., object], *arguments: object) -> int:
    """Counts the steps of one call."""
    with StepCounter() as counter:
        call(*arguments)
    return counter.steps


def measure_cost(fleet: Fleet, seconds: int, steps: bool = True) -> MemberCost:
    """Runs a fleet for some simulated seconds and measures its cost; much faster without `steps`."""
    datagrams, sent_bytes = _count_sent(fleet)
    counter = StepCounter()
    with counter if steps else contextlib.nullcontext():
        fleet.run(fleet.now + seconds * SECOND)
    datagrams_after, sent_bytes_after = _count_sent(fleet)
    member_seconds = len(fleet.live_nodes) * seconds
    return MemberCost(
        counter.steps / member_seconds,
        (datagrams_after - datagrams) / member_seconds,
        (sent_bytes_after - sent_bytes) / member_seconds,
    )


def _count_sent(fleet: Fleet) -> tuple[int, int]:
    living = fleet.live_nodes
    return (
        sum(node.counts["datagrams"] for node in living),
        sum(node.counts["bytes"] for node in living),
    )
