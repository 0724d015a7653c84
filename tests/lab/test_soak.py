"""A short soak test: relay processes under random faults with fixed seeds; fifty and more are run by hand.

    millweir lab cluster examples/scenarios/soak.toml --seed N

Seed 1 detects a relay that waits for batch calls past the deadline of their first message, and one that takes
half a first line for a delivery (shown with both guards removed).  Seed 2 of soak-replace detects each of the
four faults of issue 90 (docs/incidents/review-*, shown with one fix removed at a time).
"""

from pathlib import Path

import pytest
from side_by_side import playing

from millweir.lab.scenario import read_scenario

SCENARIOS = Path(__file__).parent.parent.parent / "examples" / "scenarios"
PLAYS = [("soak", 1), ("soak-crowd", 2), ("soak-replace", 2)]
MAX_SECONDS = 150


@pytest.fixture(scope="module")
def plays(tmp_path_factory):
    scenarios = {(name, seed): (read_scenario(SCENARIOS / f"{name}.toml"), seed) for name, seed in PLAYS}
    with playing(scenarios, tmp_path_factory.mktemp("rigs"), MAX_SECONDS, len(PLAYS)) as started:
        yield started


@pytest.mark.parametrize("name, seed", PLAYS)
def test_rules_hold_under_composed_faults(name, seed, plays):
    played = plays[name, seed].result().result
    assert played.passed, (played, f"millweir lab cluster examples/scenarios/{name}.toml --seed {seed}")
    assert played.verdict.counts["delivered"] > 800, played.verdict
