"""Cluster scenarios: the same seed gives the same faults, and an invalid file is rejected."""

import pytest

from millweir.lab.scenario import HOST, LINK, PROCESS, Scenario, list_faults, read_scenario
from millweir.operator.units import Duration

S = 1_000_000_000


def test_the_same_seed_gives_the_same_faults():
    scenario = Scenario(span=Duration(600 * S), calm=Duration(60 * S), compose=PROCESS + HOST + LINK)
    assert list_faults(scenario, 7) == list_faults(scenario, 7) != list_faults(scenario, 8)
    kinds = set()
    for seed in range(30):
        for fault in list_faults(scenario, seed):
            assert fault.at + fault.span <= scenario.span - scenario.calm + 30 * S
            assert len(fault.who) <= scenario.relays // 2 and (fault.who or fault.start)
            kinds.add(fault.kind)
    assert kinds == set(PROCESS + HOST + LINK)


def test_an_invalid_scenario_file_is_rejected(tmp_path):
    path = tmp_path / "scenario.toml"
    for text in ("relay = 5", "span = 9", '[[fault]]\nat = "1s"\nkind = "flood"', "span = '1s"):
        path.write_text(text)
        with pytest.raises(ValueError):
            read_scenario(path)
