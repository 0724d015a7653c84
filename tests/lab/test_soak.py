"""A short soak test: relay processes under random faults with fixed seeds; fifty and more are run by hand.

    millweir lab cluster examples/scenarios/soak.toml --seed N

Seed 1 detects a relay that waits for batch calls past the deadline of their first message, and one that takes
half a first line for a delivery (shown with both guards removed).
"""

import asyncio
from pathlib import Path

import pytest

from millweir.lab.cluster import Rig
from millweir.lab.scenario import read_scenario

SCENARIOS = Path(__file__).parent.parent.parent / "examples" / "scenarios"


@pytest.mark.parametrize("name, seed", [("soak", 1), ("soak-crowd", 2)])
def test_rules_hold_under_composed_faults(name, seed, tmp_path):
    async def play():
        async with asyncio.timeout(150):
            async with Rig(read_scenario(SCENARIOS / f"{name}.toml"), seed, tmp_path / "rig") as rig:
                return await rig.play()

    played = asyncio.run(play())
    assert played.passed, (played, f"millweir lab cluster examples/scenarios/{name}.toml --seed {seed}")
    assert played.verdict.counts["delivered"] > 800, played.verdict
