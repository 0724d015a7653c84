"""The operators' troubles on the simulated fleet: what real time on a busy machine can't show cleanly.

The same core, troubles and quantities as in `membership.py`, in simulated time on a network that loses
nothing.  The same seed gives the same figures.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from functools import reduce
from operator import xor

from millweir.lab.fleet import Fleet, Node
from millweir.lab.scale.membership_messages import (
    CUT_REGION,
    LOST_ZONE,
    rack_members,
    region_of,
    zone_members,
)
from millweir.lab.scale.membership_steps import settled_fleet
from millweir.members.core import SECOND, Change, MemberStatus
from millweir.members.messages import mark

LOOK_EVERY = SECOND // 4
RACK_SECONDS = ZONE_SECONDS = HEALED_SECONDS = 40
CUT_SECONDS = 120
RACK = "rack"
ZONE = "zone"
REGION_CUT = "region-cut"
REGION_HEALED = "region-healed"


@dataclass(slots=True)
class Course:
    """What a stretch of simulated time cost, and what became of the views."""

    trouble: str
    seconds: int
    members: list[float] = field(default_factory=list)  # bytes a second of each member that lived through it
    samples: list[float] = field(default_factory=list)  # bytes of each member in each second
    agreed_after: float | None = None  # seconds
    counts: Counter[str] = field(default_factory=Counter)


def losses(size: int, seed: int) -> Iterator[Course]:
    """A rack, then a zone, lost by the same fleet."""
    fleet = settled_fleet(size, seed)
    yield _lost(fleet, RACK, RACK_SECONDS, rack_members(size))
    yield _lost(fleet, ZONE, ZONE_SECONDS, zone_members(size, LOST_ZONE))


def region(size: int, seed: int) -> Iterator[Course]:
    """A region cut off and healed."""
    fleet = settled_fleet(size, seed)
    fleet.cut = _apart
    yield _course(fleet, REGION_CUT, CUT_SECONDS)
    fleet.cut = lambda start, end: False
    yield _course(fleet, REGION_HEALED, HEALED_SECONDS)


def _apart(start: str, end: str) -> bool:
    """Whether the cut lies between two members."""
    return (region_of(int(start[1:])) == CUT_REGION) != (region_of(int(end[1:])) == CUT_REGION)


def _lost(fleet: Fleet, trouble: str, seconds: int, lost: Iterable[int]) -> Course:
    for number in lost:
        fleet.nodes[number].kill()
    return _course(fleet, trouble, seconds)


def _course(fleet: Fleet, trouble: str, seconds: int) -> Course:
    course = Course(trouble, seconds)
    living = fleet.living
    began = fleet.now

    def watch(node: Node, change: Change) -> None:
        other = fleet.nodes[int(change.name[1:])]
        if other.dead or fleet.cut(node.name, other.name):
            return
        if change.after is MemberStatus.GONE:
            course.counts["false-deaths"] += 1
        elif change.after is MemberStatus.SUSPECTED:
            course.counts["false-suspicions"] += 1

    fleet.watch = watch
    at_begin = last = [node.counts["bytes"] for node in living]
    for _ in range(seconds):
        second_ends = fleet.now + SECOND
        while fleet.now < second_ends:
            fleet.run(fleet.now + LOOK_EVERY)
            if course.agreed_after is None and _agreed(living):
                course.agreed_after = (fleet.now - began) / SECOND
        sent = [node.counts["bytes"] for node in living]
        course.samples += [float(after - before) for before, after in zip(last, sent, strict=True)]
        last = sent
    course.members = [(after - before) / seconds for before, after in zip(at_begin, last, strict=True)]
    return course


def _agreed(living: list[Node]) -> bool:
    """Every living member holds exactly the living for there."""
    lives = (node.core.me for node in living)
    truth = reduce(xor, (mark(me.name, me.incarnation, me.run_id) for me in lives))
    return all(node.core.digest == truth for node in living)
