"""Scenarios: the same seed gives the same faults, and what can't be played is refused."""

import pytest

from millweir.lab.scenario import HOST, LINK, PROCESS, Scenario, read_scenario, timeline
from millweir.operator.units import Duration

S = 1_000_000_000


def test_the_same_seed_gives_the_same_timeline():
    scenario = Scenario(span=Duration(600 * S), calm=Duration(60 * S), compose=PROCESS + HOST + LINK)
    assert timeline(scenario, 7) == timeline(scenario, 7) != timeline(scenario, 8)
    kinds = set()
    for seed in range(30):
        for fault in timeline(scenario, seed):
            assert fault.at + fault.span <= scenario.span - scenario.calm + 30 * S
            assert len(fault.who) <= scenario.relays // 2 and (fault.who or fault.start)
            kinds.add(fault.kind)
    assert kinds == set(PROCESS + HOST + LINK)


def test_a_bad_day_is_refused(tmp_path):
    path = tmp_path / "scenario.toml"
    for text in ("relay = 5", "span = 9", '[[fault]]\nat = "1s"\nkind = "flood"', "span = '1s"):
        path.write_text(text)
        with pytest.raises(ValueError):
            read_scenario(path)
