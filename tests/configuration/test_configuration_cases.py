"""Runs the failure scenarios with fixed seeds; `CASES[name](seed, Cores())` repeats a failing one."""

import pytest
from configuration.cases import CASES
from configuration.world import Cores

SEEDS = (1, 2)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("name", CASES)
def test_case(name, seed):
    CASES[name](seed, Cores())
