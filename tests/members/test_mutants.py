"""Each scenario fails once the guard that it tests is taken out of the core."""

import pytest
from members.cases import CASES
from members.mutants import MUTANTS, broken


@pytest.mark.parametrize("name", MUTANTS)
def test_scenario_fails_on_the_mutant(name):
    core = broken(name)
    with pytest.raises(AssertionError):
        CASES[MUTANTS[name][2]](core)
