"""Scale test of membership: the cost of one member by fleet size, without faults and under several faults.

The members are hollow: the real membership core on real loopback sockets, many in one process
(`membership_hollow.py`), in real time.  Figures marked `simulated` are of the same core in the simulated
fleet, where steps can be counted.  Size is the number of members.

Troubles:

- `calm`: no fault;
- `restart`: one member leaves gracefully, is down for two seconds and returns, in a window of 31 seconds,
  which is twice the rate of 1,400 restarts per day;
- `rack`: twenty members of one zone crash (the whole zone if it has fewer);
- `zone`: all members of one of 11 zones crash;
- `region-cut`: a network partition between one of four regions (three of the zones) and the others, for two
  minutes;
- `region-healed`: the 40 seconds after that.

Quantities, with the expected growth of each:

- `bytes-per-member-second`: sent, with IP and UDP headers and full states; the mean of all members, low and
  high are the member with the fewest and the one with the most.  `-p99` and `-worst` are over samples of
  one member in one second each.  Calm: constant.  A rack: log n.  A zone, a region: n, since each loss is
  disseminated to all members; bounded by the size of a datagram and the rate of gossip.
- `processor-per-member-second`, in microseconds, likewise: the member's own calls, from the datagram or
  timer to the last byte passed to the kernel.  Calm: constant.
- `process-time-per-member-second`: processor time of the whole process, with its event loop and system
  calls, divided by its members.
- `time-until-agreed`: from the fault (or its end) until the alive set of every living member is exactly the
  living members, checked four times a second.  log n.  Omitted if they did not agree; `agreed` is 0 then.
- `false-deaths`, `false-suspicions`: how often a living and reachable member was declared gone or
  suspected, by all members together.
- `unsent-datagrams`: held back by the transport's own byte rate limit.
- `late-wakings`: turns that ran late by more than half a timeout; if there are many, the machine was too
  busy for that size and the other figures of the trouble are unreliable.  The measurement file omits a
  trouble's figures on real sockets if there is more than one late turn per two members.
- `memory-per-member`: resident, with member records shared among the members of a process; n.
- `memory-table-unshared`: of one member's table with records of its own, as in a relay; n.
- `full-state-bytes`: one full state as sent over TCP; n.
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
    list_rack_members,
    list_zone_members,
)
from millweir.lab.scale.membership_simulated import (
    REGION_CUT,
    SimulationResult,
    simulate_losses,
    simulate_region_cut,
)
from millweir.lab.scale.membership_steps import SilentPort, build_record, build_settled_fleet, measure_cost
from millweir.members.core import Core, Rules
from millweir.members.messages import encode

PART = "membership"
SETTLING_SECONDS = 6.0  # after the start
CALM_SECONDS = 20.0
RESTART_SECONDS = 31.0
AWAY_SECONDS = 2.4  # from the restart command until the member's next start
LOSS_SECONDS = 40.0
CUT_SECONDS = 120.0
AGREEMENT_TIMEOUT_SECONDS = 90.0
MAX_SIMULATED_MEMBERS = 1_600  # simulating a rack and a zone takes too long beyond this size
MAX_COUNTED_MEMBERS = 500  # steps are counted and a region is simulated up to this size
SIMULATED_SECONDS = 5
MAX_REGION_MEMBERS = 1_600  # eight cores cannot run the region faults in real time beyond this size


def measure(size: int, seed: int, guard: Guard) -> Iterator[Figure]:
    """Yields all figures of one size; raises LimitExceeded if the run would exceed its resource limits."""
    yield from _measure_one_member(size)
    if size <= MAX_SIMULATED_MEMBERS:
        yield from _measure_simulated(size, seed)
    with asyncio.Runner() as runner:
        yield from _iterate_figures(runner, _measure_losses(size, seed, guard))
        if size <= MAX_REGION_MEMBERS:
            yield from _iterate_figures(runner, _measure_region_cut(size, seed, guard))


def _iterate_figures(runner: asyncio.Runner, figures: AsyncIterator[Figure]) -> Iterator[Figure]:
    """Iterates synchronously over an asynchronous iterator's figures."""

    async def next_figure() -> Figure | None:
        return await anext(figures, None)

    try:
        while (figure := runner.run(next_figure())) is not None:
            yield figure
    finally:
        runner.run(figures.aclose())


# Fault scenarios.


async def _measure_losses(size: int, seed: int, guard: Guard) -> AsyncIterator[Figure]:
    """Measures calm, a restart and the loss of a rack and of a zone, one after another on one fleet."""
    async with HollowFleet(size, seed, guard) as fleet:
        yield _build_memory_figure(fleet)
        await fleet.wait(SETTLING_SECONDS)
        fleet.begin_window()
        await fleet.wait(CALM_SECONDS)
        for figure in _build_cost_figures(size, "calm", await fleet.end_window()):
            yield figure
        async for figure in _measure_restart(fleet):
            yield figure
        async for figure in _measure_loss(fleet, "rack", list_rack_members(size)):
            yield figure
        async for figure in _measure_loss(fleet, "zone", list_zone_members(size, LOST_ZONE)):
            yield figure


async def _measure_restart(fleet: HollowFleet) -> AsyncIterator[Figure]:
    fleet.begin_window()
    sent_at = fleet.broadcast(Restart(fleet.size - 1))
    restarted_at = sent_at + round(AWAY_SECONDS * 1e9)
    await fleet.wait(AWAY_SECONDS + 0.5)
    seconds = await fleet.wait_until_agreed(restarted_at, AGREEMENT_TIMEOUT_SECONDS)
    await fleet.wait(RESTART_SECONDS - (time.monotonic_ns() - sent_at) / 1e9)
    window = await fleet.end_window()
    for figure in _build_outcome_figures(fleet.size, "restart", window, seconds):
        yield figure


async def _measure_loss(fleet: HollowFleet, trouble: str, lost: tuple[int, ...]) -> AsyncIterator[Figure]:
    fleet.begin_window()
    sent_at = fleet.broadcast(Kill(lost))
    await fleet.wait(1.0)
    agreement_task = asyncio.create_task(fleet.wait_until_agreed(sent_at + 10**9, AGREEMENT_TIMEOUT_SECONDS))
    await fleet.wait(LOSS_SECONDS - 1.0)
    window = await fleet.end_window()
    agreed_seconds = await agreement_task
    for figure in _build_outcome_figures(
        fleet.size, trouble, window, agreed_seconds and agreed_seconds + 1.0
    ):
        yield figure


async def _measure_region_cut(size: int, seed: int, guard: Guard) -> AsyncIterator[Figure]:
    """Measures a partition of a region and its end, on a new fleet."""
    async with HollowFleet(size, seed, guard) as fleet:
        await fleet.wait(SETTLING_SECONDS)
        fleet.begin_window()
        fleet.broadcast(Cut())
        await fleet.wait(CUT_SECONDS)
        for figure in _build_cost_figures(size, "region-cut", await fleet.end_window()):
            yield figure
        fleet.begin_window()
        healed_at = fleet.broadcast(Heal())
        await fleet.wait(0.5)
        agreement_task = asyncio.create_task(fleet.wait_until_agreed(healed_at, AGREEMENT_TIMEOUT_SECONDS))
        await fleet.wait(LOSS_SECONDS - 0.5)
        window = await fleet.end_window()
        for figure in _build_outcome_figures(size, "region-healed", window, await agreement_task):
            yield figure


# Figures.


def _build_outcome_figures(
    size: int, trouble: str, window: Window, seconds: float | None
) -> Iterator[Figure]:
    yield from _build_cost_figures(size, trouble, window)
    yield _build_single_figure(size, trouble, "agreed", "yes=1", float(seconds is not None))
    if seconds is not None:
        yield _build_single_figure(size, trouble, "time-until-agreed", "s", seconds)


def _build_cost_figures(size: int, trouble: str, window: Window) -> Iterator[Figure]:
    seconds = window.seconds
    sent = [each[0] / seconds for each in window.members]
    processor = [each[1] / seconds / 1e3 for each in window.members]
    yield from _build_spread_figures(size, trouble, "bytes-per-member-second", "B/s", sent, window.sent_bytes)
    in_microseconds = [sample / 1e3 for sample in window.processor]
    yield from _build_spread_figures(
        size, trouble, "processor-per-member-second", "us/s", processor, in_microseconds
    )
    process_time_per_member = window.process_time / 1e3 / seconds / len(window.members)
    yield _build_single_figure(
        size, trouble, "process-time-per-member-second", "us/s", process_time_per_member
    )
    counts = window.counts
    for quantity, key in (
        ("false-deaths", "false-deaths"),
        ("false-suspicions", "false-suspicions"),
        ("unsent-datagrams", "unsent"),
        ("late-wakings", "members.woke-late"),
    ):
        yield _build_single_figure(size, trouble, quantity, "count", float(counts[key]))


def _build_spread_figures(
    size: int, trouble: str, quantity: str, unit: str, members: list[float], samples: Iterable[float]
) -> Iterator[Figure]:
    """Yields the figures of the mean, the 99th percentile and the maximum."""
    ordered = sorted(samples)
    low, high = ordered[0], ordered[-1]
    p99 = ordered[min(len(ordered) * 99 // 100, len(ordered) - 1)]
    mean = statistics.fmean(members)
    for name, value, lowest, highest in (
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
            low=lowest,
            high=highest,
        )


def _build_single_figure(
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


def _build_memory_figure(fleet: HollowFleet) -> Figure:
    resident_bytes = sum(built.resident - built.resident_before for built in fleet.built)
    return _build_single_figure(fleet.size, "calm", "memory-per-member", "B", resident_bytes / fleet.size)


def _measure_one_member(size: int) -> Iterator[Figure]:
    """Measures the memory of one member's table and the size of its full state."""
    tracemalloc.start()
    core = Core(SilentPort(), Rules(max_members=max(4096, 2 * size)), random.Random(1), 0, build_record(0))
    bytes_before, _ = tracemalloc.get_traced_memory()
    for number in range(1, size):
        core.add_known_member(0, build_record(number))
    core.finish_bootstrap(0, ())
    bytes_after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    yield _build_single_figure(size, "calm", "memory-table-unshared", "B", float(bytes_after - bytes_before))
    yield _build_single_figure(
        size, "calm", "full-state-bytes", "B", float(len(encode(core.build_full_state())))
    )


def _measure_simulated(size: int, seed: int) -> Iterator[Figure]:
    for result in simulate_losses(size, seed):
        yield from _build_simulation_figures(size, result)
    if size <= MAX_COUNTED_MEMBERS:
        yield from _measure_simulated_calm(size, seed)
        for result in simulate_region_cut(size, seed):
            yield from _build_simulation_figures(size, result)


def _build_simulation_figures(size: int, result: SimulationResult) -> Iterator[Figure]:
    trouble = result.trouble
    for figure in _build_spread_figures(
        size, trouble, "bytes-per-member-second", "B/s", result.members, result.samples
    ):
        yield msgspec.structs.replace(figure, simulated=True)
    for quantity in ("false-deaths", "false-suspicions"):
        yield _build_single_figure(
            size, trouble, quantity, "count", float(result.counts[quantity]), simulated=True
        )
    if trouble != REGION_CUT:
        agreed = result.agreed_after is not None
        yield _build_single_figure(size, trouble, "agreed", "yes=1", float(agreed), simulated=True)
        if agreed:
            yield _build_single_figure(
                size, trouble, "time-until-agreed", "s", result.agreed_after, simulated=True
            )


def _measure_simulated_calm(size: int, seed: int) -> Iterator[Figure]:
    fleet = build_settled_fleet(size, seed)
    calm = measure_cost(fleet, SIMULATED_SECONDS)
    yield _build_single_figure(size, "calm", "steps-per-member-second", "steps/s", calm.steps, simulated=True)
    yield _build_single_figure(size, "calm", "bytes-per-member-second", "B/s", calm.bytes, simulated=True)
