"""The failure scenarios hold on simulated fleets that run the relay's own core."""

import pytest
from members.cases import CASES

from millweir.members.core import Core


@pytest.mark.parametrize("name", CASES)
def test_scenario_holds(name):
    CASES[name](Core)
