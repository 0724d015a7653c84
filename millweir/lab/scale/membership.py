"""Membership: what one member spends, by the size of its fleet, calm and in each of the operators' troubles.

The members are hollow: the real deciding core on real loopback sockets, many in one process
(`membership_hollow.py`), in real time.  Figures marked `simulated` are of the same core on the simulated
fleet, where steps can be counted.  Size is the number of members.

Troubles:

- `calm`: nothing happens;
- `restart`: one member leaves in order, is away for two seconds and comes back, in 31 seconds: twice the
  pace of 1,400 restarts a day;
- `rack`: twenty members of one zone end without a word (the whole zone where it has fewer);
- `zone`: one of 11 zones ends without a word;
- `region-cut`: nothing passes between one of four regions (three of the zones) and the rest, for two minutes;
- `region-healed`: the 40 seconds after that.

Quantities, and the form of growth that is expected of each:

- `bytes-per-member-second`: sent, with IP and UDP headers and full states; the mean of all members, low and
  high are the member with the least and the one with the most.  `-p99` and `-worst` are over samples of one
  member in one second each.  Calm: constant.  A rack: log n.  A zone, a region: n, since each loss is told
  to everybody; bounded by what a datagram and the pace of gossip can carry.
- `processor-per-member-second`, in microseconds, likewise: the member's own calls, from the datagram or
  timer to the last byte handed to the kernel.  Calm: constant.
- `process-time-per-member-second`: the whole process with its event loop and the kernel's work, shared out.
- `time-until-agreed`: from the trouble (or its end) until every living member holds exactly the living for
  there, looked at four times a second.  log n.  It is left out where they did not agree; `agreed` is 0 then.
- `false-deaths`, `false-suspicions`: how often a member that lives and can be reached was held for gone or
  suspected, by all members together.
- `unsent-datagrams`: held back by the links' own limit of bytes.
- `late-wakings`: turns that ran late by more than half a time-out; where they are many, the machine was
  too busy for that size and the other figures of the trouble are of little worth.  The file of measurements
  leaves a trouble's figures on real sockets out where there is more than one late waking to two members.
- `memory-per-member`: resident, claims shared among the members of a process; n.
- `memory-table-unshared`: of one member's table with claims of its own, as a relay holds it; n.
- `full-state-bytes`: one full state as it goes over TCP; n.
- `steps-per-member-second`: bytecode instructions of the core (simulated); constant when calm.
"""

from __future__ import annotations

import asyncio
import random
import statistics
import time
import tracemalloc
from collections.abc import AsyncIterator, Iterable, Iterator

import msgspec

from millweir.lab.scale.guard import Guard
from millweir.lab.scale.measurement import Figure
from millweir.lab.scale.membership_fleet import HollowFleet, Window
from millweir.lab.scale.membership_messages import (
    LOST_ZONE,
    Cut,
    Heal,
    Kill,
    Restart,
    rack_members,
    zone_members,
)
from millweir.lab.scale.membership_simulated import REGION_CUT, Course, losses, region
from millweir.lab.scale.membership_steps import SilentPort, claim_of, cost_of, settled_fleet
from millweir.members.core import Core, Rules
from millweir.members.messages import encode

PART = "membership"
SETTLING = 6.0  # seconds after the start
CALM = 20.0
RESTART = 31.0
AWAY = 2.4  # seconds from the order to restart until the member's next start
LOSS = 40.0
CUT = 120.0
AGREE_MOST = 90.0
SIMULATED_MOST = 1_600  # members: beyond, a simulated rack and zone take too long
STEPS_MOST = 500  # members: steps are counted and a region is simulated up to here
SIMULATED_SECONDS = 5
REGION_MOST = 1_600  # members: beyond, eight cores don't carry the troubles with a region in real time


def measure(size: int, seed: int, guard: Guard) -> Iterator[Figure]:
    """All figures of one size; LimitExceeded where the run would take too much of the machine."""
    yield from _figures_of_one_member(size)
    if size <= SIMULATED_MOST:
        yield from _simulated(size, seed)
    with asyncio.Runner() as runner:
        yield from _drain(runner, _losses(size, seed, guard))
        if size <= REGION_MOST:
            yield from _drain(runner, _region(size, seed, guard))


def _drain(runner: asyncio.Runner, figures: AsyncIterator[Figure]) -> Iterator[Figure]:
    """An asynchronous iterator's figures, one at a time."""

    async def next_figure() -> Figure | None:
        return await anext(figures, None)

    try:
        while (figure := runner.run(next_figure())) is not None:
            yield figure
    finally:
        runner.run(figures.aclose())


# The troubles.


async def _losses(size: int, seed: int, guard: Guard) -> AsyncIterator[Figure]:
    """Calm, a restart, a rack, a zone: one after another on the same fleet."""
    async with HollowFleet(size, seed, guard) as fleet:
        yield _memory(fleet)
        await fleet.wait(SETTLING)
        fleet.begin_window()
        await fleet.wait(CALM)
        for figure in _costs(size, "calm", await fleet.end_window()):
            yield figure
        async for figure in _restart(fleet):
            yield figure
        async for figure in _loss(fleet, "rack", rack_members(size)):
            yield figure
        async for figure in _loss(fleet, "zone", zone_members(size, LOST_ZONE)):
            yield figure


async def _restart(fleet: HollowFleet) -> AsyncIterator[Figure]:
    fleet.begin_window()
    began = fleet.tell(Restart(fleet.size - 1))
    back = began + round(AWAY * 1e9)
    await fleet.wait(AWAY + 0.5)
    seconds = await fleet.until_agreed(back, AGREE_MOST)
    await fleet.wait(RESTART - (time.monotonic_ns() - began) / 1e9)
    window = await fleet.end_window()
    for figure in _outcome(fleet.size, "restart", window, seconds):
        yield figure


async def _loss(fleet: HollowFleet, trouble: str, lost: tuple[int, ...]) -> AsyncIterator[Figure]:
    fleet.begin_window()
    began = fleet.tell(Kill(lost))
    await fleet.wait(1.0)
    agreeing = asyncio.create_task(fleet.until_agreed(began + 10**9, AGREE_MOST))
    await fleet.wait(LOSS - 1.0)
    window = await fleet.end_window()
    after = await agreeing
    for figure in _outcome(fleet.size, trouble, window, after and after + 1.0):
        yield figure


async def _region(size: int, seed: int, guard: Guard) -> AsyncIterator[Figure]:
    """A region cut off and healed, on a fresh fleet."""
    async with HollowFleet(size, seed, guard) as fleet:
        await fleet.wait(SETTLING)
        fleet.begin_window()
        fleet.tell(Cut())
        await fleet.wait(CUT)
        for figure in _costs(size, "region-cut", await fleet.end_window()):
            yield figure
        fleet.begin_window()
        healed = fleet.tell(Heal())
        await fleet.wait(0.5)
        agreeing = asyncio.create_task(fleet.until_agreed(healed, AGREE_MOST))
        await fleet.wait(LOSS - 0.5)
        window = await fleet.end_window()
        for figure in _outcome(size, "region-healed", window, await agreeing):
            yield figure


# Figures.


def _outcome(size: int, trouble: str, window: Window, seconds: float | None) -> Iterator[Figure]:
    yield from _costs(size, trouble, window)
    yield _single(size, trouble, "agreed", "yes=1", float(seconds is not None))
    if seconds is not None:
        yield _single(size, trouble, "time-until-agreed", "s", seconds)


def _costs(size: int, trouble: str, window: Window) -> Iterator[Figure]:
    seconds = window.seconds
    sent = [each[0] / seconds for each in window.members]
    processor = [each[1] / seconds / 1e3 for each in window.members]
    yield from _spread(size, trouble, "bytes-per-member-second", "B/s", sent, window.sent_bytes)
    in_microseconds = [sample / 1e3 for sample in window.processor]
    yield from _spread(size, trouble, "processor-per-member-second", "us/s", processor, in_microseconds)
    shared_out = window.process_time / 1e3 / seconds / len(window.members)
    yield _single(size, trouble, "process-time-per-member-second", "us/s", shared_out)
    counts = window.counts
    for quantity, key in (
        ("false-deaths", "false-deaths"),
        ("false-suspicions", "false-suspicions"),
        ("unsent-datagrams", "unsent"),
        ("late-wakings", "members.woke-late"),
    ):
        yield _single(size, trouble, quantity, "count", float(counts[key]))


def _spread(
    size: int, trouble: str, quantity: str, unit: str, members: list[float], samples: Iterable[float]
) -> Iterator[Figure]:
    """Mean, 99th percentile and worst."""
    ordered = sorted(samples)
    low, high = ordered[0], ordered[-1]
    p99 = ordered[min(len(ordered) * 99 // 100, len(ordered) - 1)]
    mean = statistics.fmean(members)
    for name, value, least, most in (
        (quantity, mean, min(members), max(members)),
        (f"{quantity}-p99", p99, low, high),
        (f"{quantity}-worst", high, low, high),
    ):
        yield Figure(
            part=PART,
            quantity=name,
            unit=unit,
            trouble=trouble,
            size=size,
            value=value,
            low=least,
            high=most,
        )


def _single(
    size: int, trouble: str, quantity: str, unit: str, value: float, simulated: bool = False
) -> Figure:
    return Figure(
        part=PART,
        quantity=quantity,
        unit=unit,
        trouble=trouble,
        size=size,
        value=value,
        low=value,
        high=value,
        simulated=simulated,
    )


def _memory(fleet: HollowFleet) -> Figure:
    taken = sum(built.resident - built.resident_before for built in fleet.built)
    return _single(fleet.size, "calm", "memory-per-member", "B", taken / fleet.size)


def _figures_of_one_member(size: int) -> Iterator[Figure]:
    """What one member holds and tells whole, in a fleet of that size."""
    tracemalloc.start()
    core = Core(SilentPort(), Rules(max_members=max(4096, 2 * size)), random.Random(1), 0, claim_of(0))
    before, _ = tracemalloc.get_traced_memory()
    for number in range(1, size):
        core.add_known_member(0, claim_of(number))
    core.finish_bootstrap(0, ())
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    yield _single(size, "calm", "memory-table-unshared", "B", float(after - before))
    yield _single(size, "calm", "full-state-bytes", "B", float(len(encode(core.build_full_state()))))


def _simulated(size: int, seed: int) -> Iterator[Figure]:
    for course in losses(size, seed):
        yield from _simulated_course(size, course)
    if size <= STEPS_MOST:
        yield from _simulated_calm(size, seed)
        for course in region(size, seed):
            yield from _simulated_course(size, course)


def _simulated_course(size: int, course: Course) -> Iterator[Figure]:
    trouble = course.trouble
    for figure in _spread(size, trouble, "bytes-per-member-second", "B/s", course.members, course.samples):
        yield msgspec.structs.replace(figure, simulated=True)
    for quantity in ("false-deaths", "false-suspicions"):
        yield _single(size, trouble, quantity, "count", float(course.counts[quantity]), simulated=True)
    if trouble != REGION_CUT:
        agreed = course.agreed_after is not None
        yield _single(size, trouble, "agreed", "yes=1", float(agreed), simulated=True)
        if agreed:
            yield _single(size, trouble, "time-until-agreed", "s", course.agreed_after, simulated=True)


def _simulated_calm(size: int, seed: int) -> Iterator[Figure]:
    fleet = settled_fleet(size, seed)
    calm = cost_of(fleet, SIMULATED_SECONDS)
    yield _single(size, "calm", "steps-per-member-second", "steps/s", calm.steps, simulated=True)
    yield _single(size, "calm", "bytes-per-member-second", "B/s", calm.bytes, simulated=True)
