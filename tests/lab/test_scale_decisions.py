"""The instruction counts of decision steps grow neither with the destinations nor with the messages held."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator, Sequence

import pytest

from millweir.lab.scale import decisions, held, journal, timing
from millweir.lab.scale.guard import Guard, LimitExceeded
from millweir.lab.scale.measurement import Figure
from millweir.lab.scale.steps import PythonIteratedDict, count_instructions, make_iteration_countable
from millweir.lab.scale.timing import Subject

SIZES = (100, 1_000, 10_000)
SEED = 3
TOLERANCE = 1.05  # ratio between sizes; destinations and times are drawn at random
MEMORY_LIMIT_BYTES = 64 << 20


def find_grown_quantities(
    figures: Callable[[int], Iterable[Figure]],
    sizes: Sequence[int] = SIZES,
    tolerance: float = TOLERANCE,
) -> dict[str, list[float]]:
    """Returns, by trouble and quantity, the values of those quantities that vary by more than `tolerance`."""
    values = defaultdict(list)
    for size in sizes:
        for figure in figures(size):
            values[f"{figure.trouble} {figure.quantity}"].append(figure.value)
    assert all(len(each) == len(sizes) and min(each) > 0 for each in values.values())
    return {name: each for name, each in values.items() if max(each) > tolerance * min(each)}


def test_core_and_engine_steps_do_not_grow_with_listed_destinations():
    def figures(size: int) -> Iterator[Figure]:
        yield from decisions.count_core_instructions(Subject("decisions", size), SEED)
        yield from decisions.count_engine_instructions(Subject("decisions", size), SEED)

    assert not find_grown_quantities(figures)


@pytest.mark.parametrize("trouble, waiting_fraction", [("calm", 0.0), ("waits", 0.1)])
def test_applying_a_change_in_network_code_does_not_grow_with_listed_destinations(trouble, waiting_fraction):
    def figures(size: int) -> list[Figure]:
        subject = Subject("decisions", size, trouble)
        return asyncio.run(decisions.count_relay_instructions(subject, SEED, int(size * waiting_fraction)))

    assert not find_grown_quantities(figures)


def test_steps_do_not_grow_with_held_messages():
    def figures(size: int) -> Iterator[Figure]:
        core = held.build_waiting_core(size, SEED)
        yield from held.count_step_instructions(Subject("held", size), core, held.build_calm_steps)

    assert not find_grown_quantities(figures)


def test_filling_a_freed_slot_does_not_grow_with_held_messages():
    # All sizes have over 64 destinations, the most that are re-evaluated at once.
    sizes = [destinations * held.MESSAGES_PER_DESTINATION for destinations in (100, 400, 2_000)]

    def figures(size: int) -> Iterator[Figure]:
        core = held.build_saturated_core(size, SEED)
        yield from held.count_step_instructions(
            Subject("held", size, "saturated"), core, held.build_saturated_steps
        )

    assert not find_grown_quantities(
        figures, sizes, tolerance=1.3
    )  # how many candidates are re-evaluated varies at random


def test_iteration_inside_the_interpreter_is_counted():
    class Owner:
        def __init__(self, size: int) -> None:
            self.table = dict.fromkeys(range(size), 1)

    def count_iteration_instructions(size: int) -> list[int]:
        owner = Owner(size)
        make_iteration_countable(owner)
        assert type(owner.table) is PythonIteratedDict
        return [
            count_instructions(call)
            for call in (
                lambda: list(owner.table),
                lambda: max(owner.table.values()),
                lambda: owner.table.keys() - {1},
                lambda: dict(owner.table.items()),
            )
        ]

    assert all(
        many > 5 * few
        for few, many in zip(count_iteration_instructions(10), count_iteration_instructions(100), strict=True)
    )
    assert count_iteration_instructions(10) == count_iteration_instructions(10)


def test_every_quantity_has_a_unit_and_a_spread(monkeypatch):
    monkeypatch.setattr(timing, "MAX_BATCH_REPEATS", 1)
    guard = Guard(max_memory_bytes=1 << 40)
    for part in (decisions, held, journal):
        monkeypatch.setattr(part, "MIN_MEMORY_OBJECTS", 100, raising=False)
        figures = list(part.measure(100, SEED, guard))
        names = [(figure.trouble, figure.quantity) for figure in figures]
        assert len(set(names)) == len(names)
        assert all(figure.low <= figure.value <= figure.high for figure in figures)
        assert all(figure.unit and figure.size == 100 for figure in figures)


@pytest.mark.parametrize("part", [decisions, held, journal])
def test_a_size_over_the_memory_limit_is_not_started(part):
    with pytest.raises(LimitExceeded):
        next(part.measure(1_000_000, SEED, Guard(max_memory_bytes=MEMORY_LIMIT_BYTES)))
