"""Relay processes and hosts that end messages, behind connections and processes that end (issue 79).

millweir lab cluster examples/scenarios/messages-over.toml --seed N
"""

import asyncio
from pathlib import Path

from millweir.lab.cluster import Rig
from millweir.lab.scenario import read_scenario

SCENARIO = Path(__file__).parent.parent.parent / "examples" / "scenarios" / "messages-over.toml"


def test_a_message_went_out_again_after_a_whole_answer_had_ended_it(tmp_path):
    """Guards against a call after a 410, `expired`, 200 or `accepted` that was read whole."""

    async def play():
        async with asyncio.timeout(60), Rig(read_scenario(SCENARIO), 1, tmp_path / "rig") as rig:
            return await rig.play()

    played = asyncio.run(play())
    assert played.passed, dict(played.verdict.broken)
    assert played.verdict.counts["delivered"] > 1000 and played.verdict.counts["over"] > 80
