"""A case that never failed with its guard taken out proves nothing."""

import pytest
from members.cases import CASES
from members.mutants import MUTANTS, broken


@pytest.mark.parametrize("name", MUTANTS)
def test_a_broken_core_is_found(name):
    with pytest.raises(AssertionError):
        CASES[MUTANTS[name][2]](broken(name))
