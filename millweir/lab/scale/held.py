"""Decisions by the number of messages held, ten for each destination of one host.

Quantities, with the form of growth that is expected of them.  Those of steps also come with the suffix
"-instructions": a count that is the same in every run.

Calm: the destinations have told this relay to wait.
* memory, memory-each: resident bytes that the held messages add to a core (n), by message (constant); without
  their bodies, their records in the journal, and what the network code keeps of them
* first-list: the whole list told to a core that holds them already, as after a restart, and the turn (n)
* one-change: a change of one entry is told, and the turn after it (constant)
* turn: a message for a destination without any is handed in, and the turn that sends it (constant)
* turn-after-answer: its call has ended, and the turn after that (constant)
* held-turn: a message for a destination that waits is handed in, and the turn (constant; log n)
* idle-tick: a turn in which nothing is due (constant)

Trouble "saturated": each destination would take calls, all slots of this relay are out.
* held-turn, idle-tick: as above (constant)
* turn-after-answer: a call has ended, the turn chooses the next (constant from 64 destinations on, which is
  how many of those that might be sent to are weighed again at once)

Trouble "full": as calm, with as many open messages as are allowed.
* held-turn: a message is handed in, the one that is worth least gives way (to be constant; found: n, as the
  destination that takes longest is looked for among all)
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager

from millweir.interface import MILLISECOND, SECOND, Change
from millweir.lab.scale.cores import Core, chunks, entry, host_name, settings
from millweir.lab.scale.decisions import CHANGES, LISTS
from millweir.lab.scale.guard import Guard
from millweir.lab.scale.measurement import Figure
from millweir.lab.scale.steps import walk_in_python
from millweir.lab.scale.timing import Spread, Step, Stopwatch, Subject, memory_of

PART = "held"
EACH = 10  # messages held for a destination
MEMORY_EACH = (
    2 << 10
)  # bytes that a held message may take at the most with its part of a destination, for the plan
MEMORY_TOTAL = 20_000  # messages at least for a figure of memory: a small core is built several times
LIFE = 100_000 * SECOND  # of a held message
WAIT = 50_000 * SECOND  # that the destinations have told
FREE = 1  # destinations besides, for which nothing is held
SLOTS = 16  # where they are all out: each is answered well within the target latency
SATURATED_STEP = 40 * MILLISECOND  # by which a destination that might be sent to is weighed again

Steps = Callable[[Core, int], dict[str, Step]]


def measure(size: int, seed: int, guard: Guard) -> Iterator[Figure]:
    """All quantities with so many messages held."""
    guard.check_plan(memory=size * MEMORY_EACH, processes=1)
    calm, saturated, full = (Subject(PART, size, trouble) for trouble in ("calm", "saturated", "full"))
    yield from measure_memory(calm, seed)
    guard.check()
    yield from measure_first_list(calm, seed)
    for subject, build, steps in (
        (calm, waiting_core, calm_steps),
        (saturated, saturated_core, saturated_steps),
        (full, full_core, full_steps),
    ):
        guard.check()
        core = build(size, seed)
        for quantity, step in steps(core, size).items():
            yield subject.timed(quantity, step)
        del core
        yield from count_steps(subject, build(size, seed), steps)


def count_steps(subject: Subject, core: Core, steps: Steps) -> Iterator[Figure]:
    """The instructions of a fresh core's steps: the same in each run."""
    walk_in_python(core.relay)
    for quantity, step in steps(core, subject.size).items():
        yield subject.counted(quantity, step)


def destinations(size: int) -> int:
    """How many destinations have messages held."""
    return max(1, size // EACH)


def listed_core(size: int, seed: int, slots: int = 64, most_open: int = 0) -> Core:
    """A core that knows the destinations of so many messages, and a free one."""
    core = Core(settings(slots, most_open), seed)
    core.list_all(destinations(size) + FREE)
    return core


def hold(core: Core, size: int) -> None:
    """Hand in so many messages."""
    for number in range(size):
        core.take(number % destinations(size), LIFE)
    core.turn()


def told_to_wait(core: Core, size: int) -> Core:
    for number in range(destinations(size)):
        core.relay.apply_retry_after(core.now, host_name(number), core.now + WAIT)
    return core


def waiting_core(size: int, seed: int) -> Core:
    """It holds messages for destinations that have told it to wait."""
    core = told_to_wait(listed_core(size, seed), size)
    hold(core, size)
    return core


def full_core(size: int, seed: int) -> Core:
    """As many as may be open, but for one."""
    core = told_to_wait(listed_core(size, seed, most_open=size + 1), size)
    hold(core, size)
    return core


def saturated_core(size: int, seed: int) -> Core:
    """All its slots are out, and more is held for each destination."""
    core = listed_core(size, seed, slots=SLOTS)
    hold(core, size + SLOTS)
    return core


def measure_memory(subject: Subject, seed: int) -> Iterator[Figure]:
    copies = max(1, MEMORY_TOTAL // subject.size)
    cores = [told_to_wait(listed_core(subject.size, seed), subject.size) for _ in range(copies)]

    def build() -> None:
        for core in cores:
            hold(core, subject.size)

    taken, _ = memory_of(build)
    yield from subject.memory(taken // copies)


def measure_first_list(subject: Subject, seed: int) -> Iterator[Figure]:
    entries = tuple(row for some in chunks(destinations(subject.size) + FREE) for row in some)
    lists = []
    for _ in range(LISTS):
        core = Core(settings(), seed)
        hold(core, subject.size)
        with Stopwatch() as watch:
            core.relay.update_hosts(core.now, Change.CACHED, entries)
            core.turn()
        lists.append(watch.seconds)
    yield subject.figure("first-list", "s", Spread.of(lists))


def held_turn(core: Core, size: int) -> Step:
    """A message for a destination that has some already."""

    def step(meter: AbstractContextManager) -> None:
        core.now += MILLISECOND
        destination = core.chance.randrange(destinations(size))
        with meter:
            core.take(destination, LIFE)
            core.turn()

    return step


def idle_tick(core: Core) -> Step:
    def step(meter: AbstractContextManager) -> None:
        with meter:
            core.turn()

    return step


def calm_steps(core: Core, size: int) -> dict[str, Step]:
    """Steps of a core whose destinations wait, by quantity."""
    free = destinations(size)
    changed = 0

    def one_change(meter: AbstractContextManager) -> None:
        nonlocal changed
        rows = (entry(0, CHANGES[changed % len(CHANGES)]),)
        changed += 1
        core.now += SECOND
        with meter:
            core.relay.update_hosts(core.now, Change.DELTA, rows)
            core.turn()

    def turn(meter: AbstractContextManager) -> None:
        core.now += 10 * MILLISECOND
        with meter:
            core.take(free)
            core.turn()
        core.answer()
        core.turn()

    def turn_after_answer(meter: AbstractContextManager) -> None:
        core.now += 10 * MILLISECOND
        core.take(free)
        core.turn()
        with meter:
            core.answer()
            core.turn()

    return {
        "one-change": one_change,
        "turn": turn,
        "turn-after-answer": turn_after_answer,
        "held-turn": held_turn(core, size),
        "idle-tick": idle_tick(core),
    }


def saturated_steps(core: Core, size: int) -> dict[str, Step]:
    """Steps of a core that has no slot left, by quantity."""

    def turn_after_answer(meter: AbstractContextManager) -> None:
        core.now += SATURATED_STEP
        core.take(core.chance.randrange(destinations(size)), LIFE)  # as many are held as before
        with meter:
            core.answer()
            core.turn()

    return {
        "turn-after-answer": turn_after_answer,
        "held-turn": held_turn(core, size),
        "idle-tick": idle_tick(core),
    }


def full_steps(core: Core, size: int) -> dict[str, Step]:
    """Steps of a core that may hold no more, by quantity."""
    return {"held-turn": held_turn(core, size)}
