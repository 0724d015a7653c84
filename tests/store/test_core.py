"""The register's core: scripted histories, seeded ones, all within small bounds, and broken cores found."""

import pytest
from store.checks import CHECKS, histories
from store.mutants import MUTANTS, broken

from millweir.lab.register import Bounds, explore
from millweir.store.core import Core


@pytest.mark.parametrize("name", CHECKS)
def test_check(name):
    CHECKS[name](Core)


def test_histories_get_work_done():
    done, answered = histories(Core, 100, 20)
    assert done > 200 and answered > 20


def test_every_history_within_small_bounds():
    states, whole = explore(bounds=Bounds(terms=1, proposals=1, words=3))
    assert whole and states > 1000


@pytest.mark.parametrize("name", MUTANTS)
def test_a_broken_core_is_found(name):
    with pytest.raises((AssertionError, IndexError, pytest.fail.Exception)):
        CHECKS[MUTANTS[name][2]](broken(name))
