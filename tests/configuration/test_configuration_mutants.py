"""A case that never failed with its guard taken out proves nothing."""

import pytest
from configuration.cases import CASES
from configuration.mutants import MUTANTS, broken

SEEDS = (1, 2, 3, 4)


@pytest.mark.parametrize("name", MUTANTS)
def test_a_broken_core_is_found(name):
    cores = broken(name)
    with pytest.raises(AssertionError):
        for seed in SEEDS:
            CASES[MUTANTS[name][3]](seed, cores)
