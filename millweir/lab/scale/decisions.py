"""Decisions by the number of destinations listed, each of one host.

Quantities, with the form of growth that is expected of them.  Those of steps also come with the suffix
"-instructions": a count that is the same in every run.

* memory, memory-each: resident bytes of a deciding core with its list (n), and by destination (constant)
* first-list, first-turn: the whole list told to an empty core, and the turn after it (n)
* whole-list: the whole list told once more, one rate changed (n)
* one-change: a change of one entry is told (constant)
* turn: a message is handed in, the turn that sends it (constant; timers log n)
* turn-after-answer: its call has ended, the turn after that (constant)
* idle-tick: a turn in which nothing is due (constant)
* lost-call: a call is lost on a link that was idle (constant)
* engine-change, engine-turn, engine-idle-tick: the same through the engine (constant)
* engine-targets: hosts listed and hosts avoided, as the operator asks for them (n)
* relay-change: a change of one entry from discovery's JSON to the end of all that the relay's network code
  does about it: address table, cordons, told waits (constant; also in the trouble "waits": 1.2% of the
  hosts have told this relay to wait)
* relay-told-wait: a wait is told to the relay and written for processes beside it (in the trouble "waits")
"""

from __future__ import annotations

import asyncio
import tempfile
from collections.abc import Iterator
from contextlib import AbstractContextManager
from itertools import cycle
from pathlib import Path

from millweir.interface import MILLISECOND, SECOND, Change, Outcome, Phase
from millweir.lab.scale.cores import Core, Engine, chunks, entry, settings
from millweir.lab.scale.guard import Guard
from millweir.lab.scale.measurement import Figure
from millweir.lab.scale.network import ListedRelay
from millweir.lab.scale.steps import walk_in_python
from millweir.lab.scale.timing import Spread, Step, Stopwatch, Subject, memory_of

PART = "decisions"
MEMORY_EACH = 4 << 10  # bytes that a destination and its entry may take at the most, for the plan
MEMORY_TOTAL = 20_000  # destinations at least for a figure of memory: a small core is built several times
LISTS = 3  # repeats of what tells a whole list
SMALL = 10_000  # up to which it is repeated more often
WAITING = 0.012  # of the destinations, in the trouble "waits"
CHANGES = (Phase.DRAINING, Phase.READY, Phase.GONE, Phase.READY)  # of one host, one after the other


def measure(size: int, seed: int, guard: Guard) -> Iterator[Figure]:
    """All quantities with so many destinations listed."""
    guard.check_plan(memory=size * MEMORY_EACH, processes=1)
    subject = Subject(PART, size)
    yield from measure_memory(subject, seed)
    guard.check()
    yield from measure_lists(subject, seed)
    guard.check()
    yield from measure_core(subject, seed)
    guard.check()
    yield from measure_engine(subject, seed)
    guard.check()
    yield from asyncio.run(measure_relay(size, seed))


def measure_memory(subject: Subject, seed: int) -> Iterator[Figure]:
    copies = max(1, MEMORY_TOTAL // subject.size)

    def build() -> list[Core]:
        cores = [Core(settings(), seed) for _ in range(copies)]
        for core in cores:
            core.list_all(subject.size)
        return cores

    taken, _ = memory_of(build)
    yield from subject.memory(taken // copies)


def measure_lists(subject: Subject, seed: int) -> Iterator[Figure]:
    entries = tuple(row for some in chunks(subject.size) for row in some)
    lists, turns, again = [], [], []
    for _ in range(LISTS * (3 if subject.size <= SMALL else 1)):
        core = Core(settings(), seed)
        with Stopwatch() as listing:
            core.relay.update_hosts(core.now, Change.FULL, entries)
        with Stopwatch() as turning:
            core.turn()
        with Stopwatch() as repeating:
            core.relay.update_hosts(core.now, Change.FULL, (*entries[:-1], entry(subject.size - 1, rate=1.0)))
        lists.append(listing.seconds)
        turns.append(turning.seconds)
        again.append(repeating.seconds)
    yield subject.figure("first-list", "s", Spread.of(lists))
    yield subject.figure("first-turn", "s", Spread.of(turns))
    yield subject.figure("whole-list", "s", Spread.of(again))


def core_steps(core: Core, size: int) -> dict[str, Step]:
    """The steps of a core with a whole list, by quantity; each leaves it ready for the next.

    Changes are of the last destination, messages are for the others.
    """
    changed = 0

    def one_change(meter: AbstractContextManager) -> None:
        nonlocal changed
        rows = (entry(size - 1, CHANGES[changed % len(CHANGES)]),)
        changed += 1
        core.now += SECOND
        with meter:
            core.relay.update_hosts(core.now, Change.DELTA, rows)
        core.turn()

    def turn(meter: AbstractContextManager) -> None:
        core.now += 10 * MILLISECOND
        destination = core.chance.randrange(size - 1)
        with meter:
            core.take(destination)
            core.turn()
        core.answer()
        core.turn()

    def turn_after_answer(meter: AbstractContextManager) -> None:
        core.now += 10 * MILLISECOND
        core.take(core.chance.randrange(size - 1))
        core.turn()
        with meter:
            core.answer()
            core.turn()

    def idle_tick(meter: AbstractContextManager) -> None:
        with meter:
            core.turn()

    lost = cycle(range(size - 1))

    def lost_call(meter: AbstractContextManager) -> None:
        core.now += 60 * SECOND  # nothing is left of what was learned from the one before
        destination = next(lost)
        core.take(destination)
        core.turn()
        core.answer()
        core.now += SECOND
        core.take(destination)
        core.turn()
        with meter:
            core.answer(Outcome.CUT_OFF)
        core.turn()  # it goes again
        core.answer()
        core.turn()

    return {
        "one-change": one_change,
        "turn": turn,
        "turn-after-answer": turn_after_answer,
        "idle-tick": idle_tick,
        "lost-call": lost_call,
    }


def measure_core(subject: Subject, seed: int) -> Iterator[Figure]:
    core = Core(settings(), seed)
    core.list_all(subject.size)
    steps = core_steps(core, subject.size)
    for quantity, step in steps.items():
        yield subject.timed(quantity, step)
    yield from count_core(subject, seed)


def count_core(subject: Subject, seed: int) -> Iterator[Figure]:
    """The instructions of a core's steps, from a fresh core: the same in each run."""
    core = Core(settings(), seed)
    core.list_all(subject.size)
    walk_in_python(core.relay)
    for quantity, step in core_steps(core, subject.size).items():
        yield subject.counted(quantity, step)


def engine_steps(engine: Engine, size: int) -> dict[str, Step]:
    """The same for an engine."""
    changed = 0

    def change(meter: AbstractContextManager) -> None:
        nonlocal changed
        rows = (entry(size - 1, CHANGES[changed % len(CHANGES)]),)
        changed += 1
        engine.now += SECOND
        with meter:
            engine.engine.update_hosts(engine.now, Change.DELTA, rows)
        engine.tick()

    def turn(meter: AbstractContextManager) -> None:
        engine.now += 10 * MILLISECOND
        destination = engine.chance.randrange(size - 1)
        with meter:
            engine.take(destination)
            job = engine.tick()
        engine.answer(job.parts[0])
        engine.tick()

    def idle_tick(meter: AbstractContextManager) -> None:
        with meter:
            engine.tick()

    def targets(meter: AbstractContextManager) -> None:
        with meter:
            engine.engine.count_hosts()

    return {
        "engine-change": change,
        "engine-turn": turn,
        "engine-idle-tick": idle_tick,
        "engine-targets": targets,
    }


def measure_engine(subject: Subject, seed: int) -> Iterator[Figure]:
    engine = Engine(settings(), seed)
    engine.list_all(subject.size)
    for quantity, step in engine_steps(engine, subject.size).items():
        yield subject.timed(quantity, step)
    yield from count_engine(subject, seed)


def count_engine(subject: Subject, seed: int) -> Iterator[Figure]:
    """The instructions of an engine's steps, from a fresh engine."""
    engine = Engine(settings(), seed)
    engine.list_all(subject.size)
    walk_in_python(engine.engine)
    walk_in_python(engine.engine._relay)
    for quantity, step in engine_steps(engine, subject.size).items():
        if quantity != "engine-targets":
            yield subject.counted(quantity, step)


def relay_steps(relay: ListedRelay) -> dict[str, Step]:
    """The steps of a relay's network code with a whole list."""
    changed = 0

    def change(meter: AbstractContextManager) -> None:
        nonlocal changed
        told = relay.change(relay.size - 1, CHANGES[changed % len(CHANGES)])
        changed += 1
        with meter:
            relay.hear(told)

    return {"relay-change": change}


async def measure_relay(size: int, seed: int) -> list[Figure]:
    """Network code on a loop of its own, where discovery is silent; nothing else runs meanwhile."""
    figures = []
    for trouble, waiting in (("calm", 0), ("waits", max(1, int(size * WAITING)))):
        subject = Subject(PART, size, trouble)
        with tempfile.TemporaryDirectory() as folder:
            async with ListedRelay(Path(folder), size, seed) as relay:
                relay.fill_waits(waiting)
                for quantity, step in relay_steps(relay).items():
                    figures.append(subject.timed(quantity, step))
                if waiting:
                    figures.append(subject.timed("relay-told-wait", relay.told_wait))
        figures += await count_relay(subject, seed, waiting)
    return figures


async def count_relay(subject: Subject, seed: int, waiting: int) -> list[Figure]:
    """The instructions of a fresh relay's steps, where so many hosts have told it to wait."""
    with tempfile.TemporaryDirectory() as folder:
        async with ListedRelay(Path(folder), subject.size, seed) as relay:
            relay.fill_waits(waiting)
            relay.walk_in_python()
            return [subject.counted(quantity, step) for quantity, step in relay_steps(relay).items()]
