"""Cost of decisions by the number of destinations listed, each with one host.

Quantities, with the expected growth in brackets.  Those of steps are also measured with the suffix
"-instructions": a count of bytecode instructions, which is the same in every run.

* memory, memory-each: resident bytes of a decision core with its list (n), and per destination (constant)
* first-list, first-turn: applying the full list to an empty core, and the turn after it (n)
* whole-list: applying the full list once more, with one rate changed (n)
* one-change: applying a change of one entry (constant)
* turn: a message is submitted, and the turn that sends it (constant; timers log n)
* turn-after-answer: its call ends, and the turn after that (constant)
* idle-tick: a turn in which nothing is due (constant)
* lost-call: a call is lost on a connection that was idle (constant)
* engine-change, engine-turn, engine-idle-tick: the same through the engine (constant)
* engine-targets: counting the hosts listed and the hosts avoided, as the operator asks for them (n)
* relay-change: applying a change of one entry, from discovery's JSON to the end of all that the relay's
  network code does about it: address table, cordons, retry-after waits (constant; also in the trouble
  "waits": 1.2% of the hosts have sent this relay a retry-after)
* relay-told-wait: a retry-after is recorded and written for the other processes on the same machine (in the
  trouble "waits")
"""

from __future__ import annotations

import asyncio
import tempfile
from collections.abc import Iterator
from contextlib import AbstractContextManager
from itertools import cycle
from pathlib import Path

from millweir.interface import MILLISECOND, SECOND, Change, Outcome, Phase
from millweir.lab.scale.cores import (
    CoreDriver,
    EngineDriver,
    build_entry,
    build_settings,
    iterate_entry_chunks,
)
from millweir.lab.scale.guard import Guard
from millweir.lab.scale.measurement import Figure
from millweir.lab.scale.network import RelayServerDriver
from millweir.lab.scale.steps import make_iteration_countable
from millweir.lab.scale.timing import Spread, Step, Stopwatch, Subject, measure_added_memory

PART = "decisions"
MAX_BYTES_PER_DESTINATION = 4 << 10  # upper bound for a destination and its entry, for the plan
MIN_MEMORY_OBJECTS = 20_000  # destinations: smaller cores are built several times, for a measurable figure
LIST_REPEATS = 3
SMALL_SIZE = 10_000  # destinations; up to this size, full lists are measured three times as often
WAITING_FRACTION = 0.012  # of the destinations have sent a retry-after, in the trouble "waits"
PHASE_CYCLE = (Phase.DRAINING, Phase.READY, Phase.GONE, Phase.READY)  # successive phases of one host


def measure(size: int, seed: int, guard: Guard) -> Iterator[Figure]:
    """Yields all quantities with `size` destinations listed."""
    guard.check_plan(memory=size * MAX_BYTES_PER_DESTINATION, processes=1)
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
    copies = max(1, MIN_MEMORY_OBJECTS // subject.size)

    def build() -> list[CoreDriver]:
        cores = [CoreDriver(build_settings(), seed) for _ in range(copies)]
        for core in cores:
            core.add_destinations(subject.size)
        return cores

    added_bytes, _ = measure_added_memory(build)
    yield from subject.build_memory_figures(added_bytes // copies)


def measure_lists(subject: Subject, seed: int) -> Iterator[Figure]:
    entries = tuple(entry for chunk in iterate_entry_chunks(subject.size) for entry in chunk)
    list_seconds, turn_seconds, repeat_seconds = [], [], []
    for _ in range(LIST_REPEATS * (3 if subject.size <= SMALL_SIZE else 1)):
        core = CoreDriver(build_settings(), seed)
        with Stopwatch() as list_watch:
            core.relay.update_hosts(core.now, Change.FULL, entries)
        with Stopwatch() as turn_watch:
            core.end_round()
        with Stopwatch() as repeat_watch:
            core.relay.update_hosts(
                core.now, Change.FULL, (*entries[:-1], build_entry(subject.size - 1, rate=1.0))
            )
        list_seconds.append(list_watch.seconds)
        turn_seconds.append(turn_watch.seconds)
        repeat_seconds.append(repeat_watch.seconds)
    yield subject.build_figure("first-list", "s", Spread.of(list_seconds))
    yield subject.build_figure("first-turn", "s", Spread.of(turn_seconds))
    yield subject.build_figure("whole-list", "s", Spread.of(repeat_seconds))


def build_core_steps(core: CoreDriver, size: int) -> dict[str, Step]:
    """Returns the steps of a core with a full list, by quantity; each leaves the core ready for the next.

    Changes are to the last destination, messages are for the others.
    """
    change_count = 0

    def change_one_entry(meter: AbstractContextManager) -> None:
        nonlocal change_count
        entries = (build_entry(size - 1, PHASE_CYCLE[change_count % len(PHASE_CYCLE)]),)
        change_count += 1
        core.now += SECOND
        with meter:
            core.relay.update_hosts(core.now, Change.DELTA, entries)
        core.end_round()

    def submit_and_send(meter: AbstractContextManager) -> None:
        core.now += 10 * MILLISECOND
        destination = core.rng.randrange(size - 1)
        with meter:
            core.submit_message(destination)
            core.end_round()
        core.complete_oldest_call()
        core.end_round()

    def complete_call(meter: AbstractContextManager) -> None:
        core.now += 10 * MILLISECOND
        core.submit_message(core.rng.randrange(size - 1))
        core.end_round()
        with meter:
            core.complete_oldest_call()
            core.end_round()

    def run_idle_turn(meter: AbstractContextManager) -> None:
        with meter:
            core.end_round()

    destination_cycle = cycle(range(size - 1))

    def lose_call(meter: AbstractContextManager) -> None:
        core.now += 60 * SECOND  # the effects of the previous lost call have expired
        destination = next(destination_cycle)
        core.submit_message(destination)
        core.end_round()
        core.complete_oldest_call()
        core.now += SECOND
        core.submit_message(destination)
        core.end_round()
        with meter:
            core.complete_oldest_call(Outcome.CUT_OFF)
        core.end_round()  # retries the call
        core.complete_oldest_call()
        core.end_round()

    return {
        "one-change": change_one_entry,
        "turn": submit_and_send,
        "turn-after-answer": complete_call,
        "idle-tick": run_idle_turn,
        "lost-call": lose_call,
    }


def measure_core(subject: Subject, seed: int) -> Iterator[Figure]:
    core = CoreDriver(build_settings(), seed)
    core.add_destinations(subject.size)
    steps = build_core_steps(core, subject.size)
    for quantity, step in steps.items():
        yield subject.measure_time(quantity, step)
    yield from count_core_instructions(subject, seed)


def count_core_instructions(subject: Subject, seed: int) -> Iterator[Figure]:
    """Counts the instructions of each step on a new core, so that every run gives the same counts."""
    core = CoreDriver(build_settings(), seed)
    core.add_destinations(subject.size)
    make_iteration_countable(core.relay)
    for quantity, step in build_core_steps(core, subject.size).items():
        yield subject.measure_instructions(quantity, step)


def build_engine_steps(engine: EngineDriver, size: int) -> dict[str, Step]:
    """Returns the steps of an engine with a full list, by quantity."""
    change_count = 0

    def change_entry(meter: AbstractContextManager) -> None:
        nonlocal change_count
        entries = (build_entry(size - 1, PHASE_CYCLE[change_count % len(PHASE_CYCLE)]),)
        change_count += 1
        engine.now += SECOND
        with meter:
            engine.decision_engine.update_hosts(engine.now, Change.DELTA, entries)
        engine.tick()

    def submit_and_send(meter: AbstractContextManager) -> None:
        engine.now += 10 * MILLISECOND
        destination = engine.rng.randrange(size - 1)
        with meter:
            engine.submit_message(destination)
            job = engine.tick()
        engine.report_delivery(job.parts[0])
        engine.tick()

    def run_idle_turn(meter: AbstractContextManager) -> None:
        with meter:
            engine.tick()

    def count_targets(meter: AbstractContextManager) -> None:
        with meter:
            engine.decision_engine.count_hosts()

    return {
        "engine-change": change_entry,
        "engine-turn": submit_and_send,
        "engine-idle-tick": run_idle_turn,
        "engine-targets": count_targets,
    }


def measure_engine(subject: Subject, seed: int) -> Iterator[Figure]:
    engine = EngineDriver(build_settings(), seed)
    engine.add_destinations(subject.size)
    for quantity, step in build_engine_steps(engine, subject.size).items():
        yield subject.measure_time(quantity, step)
    yield from count_engine_instructions(subject, seed)


def count_engine_instructions(subject: Subject, seed: int) -> Iterator[Figure]:
    """Counts the instructions of each step on a new engine."""
    engine = EngineDriver(build_settings(), seed)
    engine.add_destinations(subject.size)
    make_iteration_countable(engine.decision_engine)
    make_iteration_countable(engine.decision_engine._relay)
    for quantity, step in build_engine_steps(engine, subject.size).items():
        if quantity != "engine-targets":
            yield subject.measure_instructions(quantity, step)


def build_relay_steps(relay: RelayServerDriver) -> dict[str, Step]:
    """Returns the steps of a relay's network code with a full list, by quantity."""
    change_count = 0

    def change_entry(meter: AbstractContextManager) -> None:
        nonlocal change_count
        update = relay.encode_change(relay.size - 1, PHASE_CYCLE[change_count % len(PHASE_CYCLE)])
        change_count += 1
        with meter:
            relay.apply_update(update)

    return {"relay-change": change_entry}


async def measure_relay(size: int, seed: int) -> list[Figure]:
    """Measures the network code on an event loop where nothing else runs; discovery sends nothing."""
    figures = []
    for trouble, waiting_hosts in (("calm", 0), ("waits", max(1, int(size * WAITING_FRACTION)))):
        subject = Subject(PART, size, trouble)
        with tempfile.TemporaryDirectory() as folder:
            async with RelayServerDriver(Path(folder), size, seed) as relay:
                relay.add_retry_after_waits(waiting_hosts)
                for quantity, step in build_relay_steps(relay).items():
                    figures.append(subject.measure_time(quantity, step))
                if waiting_hosts:
                    figures.append(subject.measure_time("relay-told-wait", relay.record_retry_after))
        figures += await count_relay_instructions(subject, seed, waiting_hosts)
    return figures


async def count_relay_instructions(subject: Subject, seed: int, waiting_hosts: int) -> list[Figure]:
    """Counts the instructions of each step on a new relay with `waiting_hosts` hosts under retry-after."""
    with tempfile.TemporaryDirectory() as folder:
        async with RelayServerDriver(Path(folder), subject.size, seed) as relay:
            relay.add_retry_after_waits(waiting_hosts)
            relay.make_iteration_countable()
            return [
                subject.measure_instructions(quantity, step)
                for quantity, step in build_relay_steps(relay).items()
            ]
