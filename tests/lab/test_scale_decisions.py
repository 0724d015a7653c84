"""Steps of the decisions do not grow with destinations, nor with messages held: instructions are counted."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator, Sequence

import pytest

from millweir.lab.scale import decisions, held, journal, timing
from millweir.lab.scale.guard import Guard, LimitExceeded
from millweir.lab.scale.measurement import Figure
from millweir.lab.scale.steps import WalkedDict, count_instructions, walk_in_python
from millweir.lab.scale.timing import Subject

SIZES = (100, 1_000, 10_000)
SEED = 3
TOLERANCE = 1.05  # between sizes: destinations and times are drawn at random
ROOM = 64 << 20  # bytes


def grown(
    figures: Callable[[int], Iterable[Figure]],
    sizes: Sequence[int] = SIZES,
    tolerance: float = TOLERANCE,
) -> dict[str, list[float]]:
    """By trouble and quantity, the values that have grown with the size, all of them where one has."""
    values = defaultdict(list)
    for size in sizes:
        for figure in figures(size):
            values[f"{figure.trouble} {figure.quantity}"].append(figure.value)
    assert all(len(each) == len(sizes) and min(each) > 0 for each in values.values())
    return {name: each for name, each in values.items() if max(each) > tolerance * min(each)}


def test_steps_of_core_and_engine_take_as_many_instructions_whatever_is_listed():
    def figures(size: int) -> Iterator[Figure]:
        yield from decisions.count_core(Subject("decisions", size), SEED)
        yield from decisions.count_engine(Subject("decisions", size), SEED)

    assert not grown(figures)


@pytest.mark.parametrize("trouble, waiting", [("calm", 0.0), ("waits", 0.1)])
def test_a_change_takes_the_network_code_as_many_instructions_whatever_is_listed(trouble, waiting):
    def figures(size: int) -> list[Figure]:
        subject = Subject("decisions", size, trouble)
        return asyncio.run(decisions.count_relay(subject, SEED, int(size * waiting)))

    assert not grown(figures)


def test_steps_take_as_many_instructions_whatever_is_held():
    def figures(size: int) -> Iterator[Figure]:
        core = held.waiting_core(size, SEED)
        yield from held.count_steps(Subject("held", size), core, held.calm_steps)

    assert not grown(figures)


def test_a_slot_that_comes_free_takes_as_many_instructions_whatever_waits_for_it():
    # From 64 destinations on: as many are weighed again at once.
    sizes = [destinations * held.EACH for destinations in (100, 400, 2_000)]

    def figures(size: int) -> Iterator[Figure]:
        core = held.saturated_core(size, SEED)
        yield from held.count_steps(Subject("held", size, "saturated"), core, held.saturated_steps)

    assert not grown(figures, sizes, tolerance=1.3)  # what is weighed again at the front differs by chance


def test_the_instructions_of_a_walk_are_counted_even_where_it_is_made_by_the_interpreter():
    class Owner:
        def __init__(self, size: int) -> None:
            self.table = dict.fromkeys(range(size), 1)

    def walks(size: int) -> list[int]:
        owner = Owner(size)
        walk_in_python(owner)
        assert type(owner.table) is WalkedDict
        return [
            count_instructions(call)
            for call in (
                lambda: list(owner.table),
                lambda: max(owner.table.values()),
                lambda: owner.table.keys() - {1},
                lambda: dict(owner.table.items()),
            )
        ]

    assert all(many > 5 * few for few, many in zip(walks(10), walks(100), strict=True))
    assert walks(10) == walks(10)


def test_every_quantity_comes_with_its_unit_and_spread(monkeypatch):
    monkeypatch.setattr(timing, "BATCH_MOST", 1)
    guard = Guard(memory_most=1 << 40)
    for part in (decisions, held, journal):
        monkeypatch.setattr(part, "MEMORY_TOTAL", 100, raising=False)
        figures = list(part.measure(100, SEED, guard))
        names = [(figure.trouble, figure.quantity) for figure in figures]
        assert len(set(names)) == len(names)
        assert all(figure.low <= figure.value <= figure.high for figure in figures)
        assert all(figure.unit and figure.size == 100 for figure in figures)


@pytest.mark.parametrize("part", [decisions, held, journal])
def test_a_size_that_would_take_too_much_is_not_begun(part):
    with pytest.raises(LimitExceeded):
        next(part.measure(1_000_000, SEED, Guard(memory_most=ROOM)))
