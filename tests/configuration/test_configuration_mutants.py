"""Checks that each mutant fails its scenario: one that passes without the guarded code proves nothing."""

import pytest
from configuration.cases import CASES
from configuration.mutants import MUTANTS, load_mutant

SEEDS = (1, 2, 3, 4)


@pytest.mark.parametrize("name", MUTANTS)
def test_a_mutant_fails_its_case(name):
    cores = load_mutant(name)
    with pytest.raises(AssertionError):
        for seed in SEEDS:
            CASES[MUTANTS[name][3]](seed, cores)
