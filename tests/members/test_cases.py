"""The hard cases hold, on simulated fleets of the very core that the relay runs."""

import pytest
from members.cases import CASES

from millweir.members.core import Core


@pytest.mark.parametrize("name", CASES)
def test_case(name):
    CASES[name](Core)
