"""Cost of decisions by the number of messages held, ten for each destination, which has one host.

Quantities, with the expected growth in brackets.  Those of steps are also measured with the suffix
"-instructions": a count of bytecode instructions, which is the same in every run.

Trouble "calm": the destinations have sent this relay a retry-after.
* memory, memory-each: resident bytes that the held messages add to a core (n), per message (constant);
  without their bodies, their records in the journal, and what the network code keeps of them
* first-list: applying the full list to a core that already holds the messages, as after a restart, and the
  turn after it (n)
* one-change: applying a change of one entry, and the turn after it (constant)
* turn: a message for a destination without held messages is submitted, and the turn that sends it (constant)
* turn-after-answer: its call ends, and the turn after that (constant)
* held-turn: a message for a destination under retry-after is submitted, and the turn (constant; log n)
* idle-tick: a turn in which nothing is due (constant)

Trouble "saturated": every destination would accept calls, but all slots of this relay are in use.
* held-turn, idle-tick: as above (constant)
* turn-after-answer: a call ends, the turn chooses the next (constant from 64 destinations on: at most 64 of
  the candidate destinations are re-evaluated at once)

Trouble "full": as calm, with as many open messages as are allowed.
* held-turn: a message is submitted, the one of the least value is dropped (should be constant; measured: n,
  as all destinations are searched for the one that takes longest)
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager

from millweir.interface import MILLISECOND, SECOND, Change
from millweir.lab.scale.cores import (
    CoreDriver,
    build_entry,
    build_settings,
    format_host_name,
    iterate_entry_chunks,
)
from millweir.lab.scale.decisions import LIST_REPEATS, PHASE_CYCLE
from millweir.lab.scale.guard import Guard
from millweir.lab.scale.measurement import Figure
from millweir.lab.scale.steps import make_iteration_countable
from millweir.lab.scale.timing import Spread, Step, Stopwatch, Subject, measure_added_memory

PART = "held"
MESSAGES_PER_DESTINATION = 10
# Upper bound for a held message and its part of a destination, for the plan.
MAX_BYTES_PER_MESSAGE = 2 << 10
MIN_MEMORY_OBJECTS = 20_000  # messages: smaller cores are built several times, for a measurable figure
LIFETIME_NS = 100_000 * SECOND
RETRY_AFTER_NS = 50_000 * SECOND
FREE_DESTINATIONS = 1  # destinations for which no message is held
SLOTS = 16  # few enough that each call is answered well within the target latency
SATURATED_STEP_NS = 40 * MILLISECOND  # enough for a candidate destination to be re-evaluated

StepsBuilder = Callable[[CoreDriver, int], dict[str, Step]]


def measure(size: int, seed: int, guard: Guard) -> Iterator[Figure]:
    """Yields all quantities with `size` messages held."""
    guard.check_plan(memory=size * MAX_BYTES_PER_MESSAGE, processes=1)
    calm, saturated, full = (Subject(PART, size, trouble) for trouble in ("calm", "saturated", "full"))
    yield from measure_memory(calm, seed)
    guard.check()
    yield from measure_first_list(calm, seed)
    for subject, build, steps in (
        (calm, build_waiting_core, build_calm_steps),
        (saturated, build_saturated_core, build_saturated_steps),
        (full, build_full_core, build_full_steps),
    ):
        guard.check()
        core = build(size, seed)
        for quantity, step in steps(core, size).items():
            yield subject.measure_time(quantity, step)
        del core
        yield from count_step_instructions(subject, build(size, seed), steps)


def count_step_instructions(subject: Subject, core: CoreDriver, steps: StepsBuilder) -> Iterator[Figure]:
    """Counts the instructions of each step on a new core, so that every run gives the same counts."""
    make_iteration_countable(core.relay)
    for quantity, step in steps(core, subject.size).items():
        yield subject.measure_instructions(quantity, step)


def count_destinations(size: int) -> int:
    """Returns how many destinations have held messages."""
    return max(1, size // MESSAGES_PER_DESTINATION)


def build_listed_core(size: int, seed: int, slots: int = 64, max_open_messages: int = 0) -> CoreDriver:
    """Builds a core that lists the destinations of `size` messages and one without messages."""
    core = CoreDriver(build_settings(slots, max_open_messages), seed)
    core.add_destinations(count_destinations(size) + FREE_DESTINATIONS)
    return core


def submit_messages(core: CoreDriver, size: int) -> None:
    """Submits `size` messages, evenly over the destinations."""
    for number in range(size):
        core.submit_message(number % count_destinations(size), LIFETIME_NS)
    core.end_round()


def apply_retry_after_waits(core: CoreDriver, size: int) -> CoreDriver:
    for number in range(count_destinations(size)):
        core.relay.apply_retry_after(core.now, format_host_name(number), core.now + RETRY_AFTER_NS)
    return core


def build_waiting_core(size: int, seed: int) -> CoreDriver:
    """Builds a core that holds messages for destinations that have sent a retry-after."""
    core = apply_retry_after_waits(build_listed_core(size, seed), size)
    submit_messages(core, size)
    return core


def build_full_core(size: int, seed: int) -> CoreDriver:
    """Builds a core that may take one more message before its limit of open messages."""
    core = apply_retry_after_waits(build_listed_core(size, seed, max_open_messages=size + 1), size)
    submit_messages(core, size)
    return core


def build_saturated_core(size: int, seed: int) -> CoreDriver:
    """Builds a core whose slots are all in use, with more messages held for each destination."""
    core = build_listed_core(size, seed, slots=SLOTS)
    submit_messages(core, size + SLOTS)
    return core


def measure_memory(subject: Subject, seed: int) -> Iterator[Figure]:
    copies = max(1, MIN_MEMORY_OBJECTS // subject.size)
    cores = [
        apply_retry_after_waits(build_listed_core(subject.size, seed), subject.size) for _ in range(copies)
    ]

    def build() -> None:
        for core in cores:
            submit_messages(core, subject.size)

    added_bytes, _ = measure_added_memory(build)
    yield from subject.build_memory_figures(added_bytes // copies)


def measure_first_list(subject: Subject, seed: int) -> Iterator[Figure]:
    entries = tuple(
        entry
        for chunk in iterate_entry_chunks(count_destinations(subject.size) + FREE_DESTINATIONS)
        for entry in chunk
    )
    list_seconds = []
    for _ in range(LIST_REPEATS):
        core = CoreDriver(build_settings(), seed)
        submit_messages(core, subject.size)
        with Stopwatch() as watch:
            core.relay.update_hosts(core.now, Change.CACHED, entries)
            core.end_round()
        list_seconds.append(watch.seconds)
    yield subject.build_figure("first-list", "s", Spread.of(list_seconds))


def build_held_turn(core: CoreDriver, size: int) -> Step:
    """Returns a step that submits a message for a destination that already has held messages."""

    def step(meter: AbstractContextManager) -> None:
        core.now += MILLISECOND
        destination = core.rng.randrange(count_destinations(size))
        with meter:
            core.submit_message(destination, LIFETIME_NS)
            core.end_round()

    return step


def build_idle_turn(core: CoreDriver) -> Step:
    def step(meter: AbstractContextManager) -> None:
        with meter:
            core.end_round()

    return step


def build_calm_steps(core: CoreDriver, size: int) -> dict[str, Step]:
    """Returns the steps of a core whose destinations are under retry-after, by quantity."""
    free_destination = count_destinations(size)
    change_count = 0

    def change_one_entry(meter: AbstractContextManager) -> None:
        nonlocal change_count
        entries = (build_entry(0, PHASE_CYCLE[change_count % len(PHASE_CYCLE)]),)
        change_count += 1
        core.now += SECOND
        with meter:
            core.relay.update_hosts(core.now, Change.DELTA, entries)
            core.end_round()

    def submit_and_send(meter: AbstractContextManager) -> None:
        core.now += 10 * MILLISECOND
        with meter:
            core.submit_message(free_destination)
            core.end_round()
        core.complete_oldest_call()
        core.end_round()

    def complete_call(meter: AbstractContextManager) -> None:
        core.now += 10 * MILLISECOND
        core.submit_message(free_destination)
        core.end_round()
        with meter:
            core.complete_oldest_call()
            core.end_round()

    return {
        "one-change": change_one_entry,
        "turn": submit_and_send,
        "turn-after-answer": complete_call,
        "held-turn": build_held_turn(core, size),
        "idle-tick": build_idle_turn(core),
    }


def build_saturated_steps(core: CoreDriver, size: int) -> dict[str, Step]:
    """Returns the steps of a core that has no free slot, by quantity."""

    def complete_call(meter: AbstractContextManager) -> None:
        core.now += SATURATED_STEP_NS
        # Keeps the number of held messages constant.
        core.submit_message(core.rng.randrange(count_destinations(size)), LIFETIME_NS)
        with meter:
            core.complete_oldest_call()
            core.end_round()

    return {
        "turn-after-answer": complete_call,
        "held-turn": build_held_turn(core, size),
        "idle-tick": build_idle_turn(core),
    }


def build_full_steps(core: CoreDriver, size: int) -> dict[str, Step]:
    """Returns the steps of a core at its limit of open messages, by quantity."""
    return {"held-turn": build_held_turn(core, size)}
