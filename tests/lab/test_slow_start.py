"""A fleet of relay processes does not overload destinations that recover from an outage (slow start).

Issue 47: 46 relays, each with a message or two for a destination whose hosts refuse connections.  Issue 53: a
destination that refuses calls with a retry-after up to the same moment for all relays, which are killed and
restarted before it.  The sum over the fleet counts, so each relay has to keep to its share of the budget from
its first failed or refused call on, before it can know that this is an outage.
"""

import asyncio

import pytest

from millweir.lab.cluster import Rig
from millweir.lab.scenario import Fault, Scenario
from millweir.operator.units import Duration

S = 1_000_000_000
DESTINATIONS = 12
OUTAGE = Scenario(
    relays=46,
    hosts=DESTINATIONS,
    groups=DESTINATIONS,
    host_rate=4.0,
    rate=0.8 * 4.0 * DESTINATIONS,
    members=False,
    span=Duration(20 * S),
    fault=(
        Fault(
            at=Duration(2 * S),
            span=Duration(10 * S),
            kind="refuse",
            who=tuple(f"h{number}" for number in range(DESTINATIONS)),
        ),
    ),
)

SHUT = Scenario(
    relays=30,
    hosts=DESTINATIONS,
    groups=DESTINATIONS,
    host_rate=4.0,
    rate=0.8 * 4.0 * DESTINATIONS,
    members=False,
    span=Duration(20 * S),
    fault=(
        Fault(
            at=Duration(2 * S),
            span=Duration(10 * S),
            kind="shut",
            share=1.0,
            who=tuple(f"h{number}" for number in range(DESTINATIONS)),
        ),
        Fault(
            at=Duration(int(9.5 * S)),
            span=Duration(int(0.4 * S)),
            kind="kill",
            who=tuple(f"r{number}" for number in range(1, 31)),
        ),
    ),
)

SHARED_WAIT = Scenario(
    relays=48,
    hosts=96,
    groups=16,
    host_rate=4.0,
    shared_limit=True,
    rate=2.0 * 4.0 * 16,
    members=False,
    span=Duration(int(21.5 * S)),
    fault=(
        Fault(
            at=Duration(int(3.5 * S)),
            span=Duration(9 * S),
            kind="shut",
            share=1.0,
            who=tuple(f"h{number}" for number in range(96)),
        ),
        Fault(
            at=Duration(7 * S),
            span=Duration(int(0.65 * S)),
            kind="kill",
            who=tuple(f"r{number}" for number in range(1, 49)),
        ),
    ),
)


def run_scenario(scenario, seed, folder):
    async def run():
        async with asyncio.timeout(150):
            async with Rig(scenario, seed, folder) as rig:
                return await rig.play()

    return asyncio.run(run())


@pytest.mark.parametrize("seed", [1, 2])
def test_a_fleet_of_processes_does_not_overload_recovering_destinations(seed, tmp_path):
    played = run_scenario(OUTAGE, seed, tmp_path / "rig")
    assert played.verdict.counts["taken"] > 400 and not played.failures, played
    assert not played.verdict.broken, played.verdict


def test_a_fleet_restarted_before_the_end_of_a_retry_after_does_not_overload_destinations(tmp_path):
    played = run_scenario(SHUT, 1, tmp_path / "rig")
    assert played.verdict.counts["taken"] > 300 and not played.failures, played
    assert not played.verdict.broken, played.verdict


def test_hosts_that_share_a_retry_after_get_no_burst_at_its_end_after_a_restart(tmp_path):
    """Issue 61: the trial calls of all hosts but the one named in the retry-after were overdue by its end."""
    played = run_scenario(SHARED_WAIT, 7, tmp_path / "rig")
    assert played.verdict.counts["taken"] > 1500 and not played.failures, played
    assert not played.verdict.broken, played.verdict
