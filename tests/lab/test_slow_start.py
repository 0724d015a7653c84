"""A fleet of real relays and destinations that go away and come back cold: nobody may push them over.

The incident in staging (issue 47): 46 relays, each with a message or two for a destination whose hosts refuse
connections.  What counts is the sum over the fleet, so each relay has to keep to its part of the budget from
its first failed call on, before it can know that this is an outage.
"""

import asyncio

import pytest

from millweir.lab.cluster import Rig
from millweir.lab.scenario import Fault, Scenario
from millweir.operator.units import Span

S = 1_000_000_000
DESTINATIONS = 12
OUTAGE = Scenario(
    relays=46,
    hosts=DESTINATIONS,
    groups=DESTINATIONS,
    host_rate=4.0,
    rate=0.8 * 4.0 * DESTINATIONS,
    members=False,
    span=Span(20 * S),
    fault=(
        Fault(
            at=Span(2 * S),
            span=Span(10 * S),
            kind="refuse",
            who=tuple(f"h{number}" for number in range(DESTINATIONS)),
        ),
    ),
)


@pytest.mark.parametrize("seed", [1, 2])
def test_a_fleet_of_processes_does_not_push_over_what_comes_back_cold(seed, tmp_path):
    async def play():
        async with asyncio.timeout(150):
            async with Rig(OUTAGE, seed, tmp_path / "rig") as rig:
                return await rig.play()

    played = asyncio.run(play())
    assert played.verdict.counts["taken"] > 400 and not played.failures, played
    assert not played.verdict.broken, played.verdict
