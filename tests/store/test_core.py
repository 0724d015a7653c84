"""The consensus core: scenarios, random histories, all histories within small bounds, and mutants."""

import pytest
from store.checks import CHECKS, check_random_histories
from store.mutants import MUTANTS, broken

from millweir.lab.register import Bounds, explore_states
from millweir.store.core import Core


@pytest.mark.parametrize("name", CHECKS)
def test_core_passes_check(name):
    CHECKS[name](Core)


def test_random_histories_commit_and_read():
    done, last_answered_round = check_random_histories(Core, 100, 20)
    assert done > 200 and last_answered_round > 20


def test_invariants_hold_in_every_history_within_small_bounds():
    states, complete = explore_states(bounds=Bounds(terms=1, proposals=1, messages=3))
    assert complete and states > 1000


@pytest.mark.parametrize("name", MUTANTS)
def test_mutant_fails_its_check(name):
    mutant = broken(name)  # outside of the block below: a mutant that no longer applies is an error
    with pytest.raises((AssertionError, IndexError, pytest.fail.Exception)):
        CHECKS[MUTANTS[name][2]](mutant)
