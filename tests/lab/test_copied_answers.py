"""Relay processes behind stand-ins that write answers twice (issue 64).

millweir lab cluster examples/scenarios/copied-answers.toml --seed N
"""

from pathlib import Path

import msgspec
import pytest
from side_by_side import playing

from millweir.lab.scenario import SECOND, read_scenario
from millweir.operator.units import Duration

SCENARIOS = Path(__file__).parent.parent.parent / "examples" / "scenarios"
SCENARIO = SCENARIOS / "copied-answers.toml"
SPAN = Duration(10 * SECOND)
SEED = 1
MAX_SECONDS = 100
COPIES = [(0.004, 0.012), (0.02, 0.12)]  # earliest and latest, seconds behind their answers
BUNDLES = [1, 5]
SLOW_HOSTS = "slow hosts"
HUNG_HOSTS = "hung hosts"


def copied_answers(earliest, latest, bundle):
    scenario = read_scenario(SCENARIO)
    fault = msgspec.structs.replace(
        scenario.fault[0],
        span=SPAN,
        after=Duration(round(earliest * SECOND)),
        wait=Duration(round(latest * SECOND)),
    )
    return msgspec.structs.replace(scenario, span=SPAN, bundle=bundle, fault=(fault,))


def slow_hosts():
    scenario = read_scenario(SCENARIO)
    fault = msgspec.structs.replace(scenario.fault[0], span=SPAN)
    return msgspec.structs.replace(
        scenario, rate=100.0, span=SPAN, service_time=Duration(13 * SECOND // 10), fault=(fault,)
    )


@pytest.fixture(scope="module")
def plays(tmp_path_factory):
    scenarios = {SLOW_HOSTS: (slow_hosts(), SEED)} | {
        (earliest, latest, bundle): (copied_answers(earliest, latest, bundle), SEED)
        for earliest, latest in COPIES
        for bundle in BUNDLES
    }
    scenarios[HUNG_HOSTS] = (read_scenario(SCENARIOS / "copied-answers-hang.toml"), SEED)
    with playing(scenarios, tmp_path_factory.mktemp("rigs"), MAX_SECONDS) as started:
        yield started


def test_a_copied_refusal_of_a_slow_host_was_confirmed_before_its_true_answer(plays):
    """Messages that ran went again or came back (issue 71): hosts take 1.3 s, and refuse at once."""
    played = plays[SLOW_HOSTS].result()
    assert played.result.passed, dict(played.result.verdict.broken)
    assert played.result.verdict.counts["delivered"] > 50 and played.copies > 30


@pytest.mark.parametrize("bundle", BUNDLES)
@pytest.mark.parametrize("earliest, latest", COPIES)
def test_a_copied_answer_passed_for_the_next_calls_answer(bundle, earliest, latest, plays):
    """Messages ran twice (a copied refusal), or had no end (a copied delivery)."""
    played = plays[earliest, latest, bundle].result()
    assert played.result.passed, dict(played.result.verdict.broken)
    assert played.result.verdict.counts["delivered"] > 1000 and played.copies > 300


def test_a_copy_from_a_host_that_hung_at_that_moment_ended_a_message_silently(plays):
    """Messages had no end: no true answer came that could speak against the copy."""
    played = plays[HUNG_HOSTS].result()
    assert played.result.passed, dict(played.result.verdict.broken)
    assert played.copies > 10
