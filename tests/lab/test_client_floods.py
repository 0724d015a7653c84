"""Clients that flood relays, or hold their connections, beside usual clients, on relay processes.

millweir lab cluster examples/scenarios/client-floods.toml --seed 1
"""

from pathlib import Path

import pytest
from side_by_side import playing

from millweir.lab.scenario import read_scenario

SCENARIOS = Path(__file__).parent.parent.parent / "examples" / "scenarios"
PLAYS = ["client-floods", "client-crowds"]
MAX_SECONDS = 60


@pytest.fixture(scope="module")
def plays(tmp_path_factory):
    scenarios = {name: (read_scenario(SCENARIOS / f"{name}.toml"), 1) for name in PLAYS}
    with playing(scenarios, tmp_path_factory.mktemp("rigs"), MAX_SECONDS) as started:
        yield started


@pytest.mark.parametrize("name", PLAYS)
def test_hostile_clients_drove_a_relay_over_its_memory_limit_and_kept_others_waiting(name, plays):
    played = plays[name].result().result
    assert played.passed, (played, f"millweir lab cluster examples/scenarios/{name}.toml --seed 1")
    assert played.verdict.counts["delivered"] > 300, played.verdict
