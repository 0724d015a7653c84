"""The hard cases hold; a failing one names its seed: `CASES[name](seed, Cores())` replays it."""

import pytest
from configuration.cases import CASES
from configuration.world import Cores

SEEDS = (1, 2)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("name", CASES)
def test_case(name, seed):
    CASES[name](seed, Cores())
