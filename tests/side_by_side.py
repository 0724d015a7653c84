"""Plays of the rig, two or three at a time: they wait for time far more than for the processor."""

from __future__ import annotations

import asyncio
import multiprocessing
from collections.abc import Iterator
from concurrent.futures import Future, ProcessPoolExecutor
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

from millweir.lab.cluster import Rig, RunResult
from millweir.lab.history import Copied
from millweir.lab.scenario import Scenario

PLAYS_AT_ONCE = 2


@dataclass(frozen=True)
class Played:
    """The result of a play, and how many copies of answers its stand-ins wrote."""

    result: RunResult
    copies: int


def play(scenario: Scenario, seed: int, folder: Path, seconds: float) -> Played:
    """Play a scenario; TimeoutError if it takes longer than so many seconds."""

    async def run() -> Played:
        async with asyncio.timeout(seconds), Rig(scenario, seed, folder) as rig:
            result = await rig.play()
            return Played(result, sum(1 for _ in rig.history.select(Copied)))

    return asyncio.run(run())


@contextmanager
def playing(
    plays: dict[object, tuple[Scenario, int]], folder: Path, seconds: float, at_once: int = PLAYS_AT_ONCE
) -> Iterator[dict[object, Future[Played]]]:
    """Start all plays (scenario and seed by name), each in a process of its own; yields their results."""
    context = multiprocessing.get_context("spawn")  # a fork would copy the threads of other tests
    with ProcessPoolExecutor(at_once, context) as pool:
        yield {
            name: pool.submit(play, scenario, seed, folder / str(number), seconds)
            for number, (name, (scenario, seed)) in enumerate(plays.items())
        }
