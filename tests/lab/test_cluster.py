"""Real processes of the program with faults between them: the reduced set; whole campaigns run outside CI.

Times are a fifth of the defaults, so that what takes a fleet seconds takes tests less; every wait has a bound
and says what it waited for.
"""

import asyncio
import json
import time

import pytest

from millweir.lab.cluster import Rig
from millweir.lab.processes import until
from millweir.lab.scenario import Fault, Scenario
from millweir.operator.units import Duration

S = 1_000_000_000
QUICK = Duration(S // 5)
BOUND = 60  # seconds for what takes two or three on a quiet machine


def scenario(relays=3):
    return Scenario(relays=relays, hosts=2, rate=0.0, interval=QUICK)


def span(seconds):
    return Duration(round(seconds * S))


def run(play, relays=3):
    async def whole():
        async with asyncio.timeout(150):
            async with Rig(scenario(relays), 1) as rig:
                await rig.agreed(BOUND)
                await play(rig)

    asyncio.run(whole())


def gone(rig, name):
    """Who said of `name` that it is gone."""
    return {
        viewer
        for viewer, relay in rig.relays.items()
        for event in relay.read_events()
        if event["event"] == "members.changed" and event["name"] == name and event["after"] == "gone"
    }


def there(*names):
    return lambda views: all(
        views.get(viewer, {}).get(name) in ("alive", "late")
        for viewer in names
        for name in names
        if name != viewer
    )


def test_killed_with_its_folder_and_without_found_and_back():
    async def play(rig):
        for lost in (False, True):
            relay = rig.relays["r3"]
            before = (await relay.seen())["incarnation"]
            relay.kill(lost)
            for viewer in ("r1", "r2"):
                await rig.sees(viewer, "r3", ("gone",), BOUND)
            relay.spawn()
            await relay.ready(BOUND)
            await rig.agreed(BOUND)
            assert (await relay.seen())["incarnation"] > before

    run(play)


def test_paused_long_and_woken():
    """It is held gone meanwhile, buries nobody when it wakes, and is back with a higher number."""

    async def play(rig):
        await rig.strike(Fault(at=span(0), span=span(8), kind="stop", who=("r2",)))
        await rig.agreed(BOUND)
        assert gone(rig, "r2") <= {"r1", "r3"} and not gone(rig, "r1") and not gone(rig, "r3")

    run(play)


def test_all_but_one_paused():
    """The one left says that it is in doubt, and buries nobody."""

    async def play(rig):
        fault = rig.task(rig.strike(Fault(at=span(0), span=span(8), kind="stop", who=("r2", "r3"))))
        await until(lambda: not rig.relays["r2"].up, BOUND, "r2 is stopped")
        while not fault.done():
            view = await rig.relays["r1"].seen()
            if view["doubt"]:
                break
            await asyncio.sleep(0.05)
        assert view["doubt"] == "unanswered"
        await fault
        await rig.agreed(BOUND)
        assert not any(gone(rig, name) for name in rig.relays)

    run(play)


def test_cut_both_ways_but_a_third_reaches_both():
    async def play(rig):
        rig.set_links(("r1",), ("r2",), both=True, cut=True)
        await rig.sees("r1", "r2", ("cut",), BOUND)
        await rig.sees("r2", "r1", ("cut",), BOUND)
        view = await rig.relays["r3"].seen()
        assert {row["name"]: row["degree"] for row in view["members"]} == {"r1": "alive", "r2": "alive"}
        rig.set_links(("r1",), ("r2",), both=True, cut=False)
        await rig.agreed(BOUND)
        assert not any(gone(rig, name) for name in rig.relays)

    run(play)


def test_cut_one_way_says_from_whom_to_whom():
    async def play(rig):
        rig.set_links(("r1",), ("r2",), cut=True)
        await rig.sees("r1", "r2", ("cut",), BOUND)
        end = time.monotonic() + BOUND
        while True:
            view = await rig.relays["r3"].seen()
            paths = {path for row in view["members"] for path in row["paths"]}
            if "r1->r2 by r1" in paths:
                break
            assert time.monotonic() < end, view
            await asyncio.sleep(0.05)
        rig.set_links(("r1",), ("r2",), cut=False)
        await rig.agreed(BOUND)
        assert not any(gone(rig, name) for name in rig.relays)

    run(play)


def test_split_and_healed_and_an_old_life_replayed():
    async def play(rig):
        wire = rig.wires["r3", "r1"]
        wire.taps = []
        rig.set_links(("r1", "r2"), ("r3",), both=True, cut=True)
        await rig.sees("r1", "r3", ("gone",), BOUND)
        rig.set_links(("r1", "r2"), ("r3",), both=True, cut=False)
        await rig.agreed(BOUND)
        relay, taped = rig.relays["r3"], list(wire.taps)
        relay.kill()
        await rig.sees("r1", "r3", ("gone",), BOUND)
        relay.spawn()
        await relay.ready(BOUND)
        await rig.agreed(BOUND)
        before = await rig.relays["r1"].seen()
        for raw in taped:
            wire.forward(raw)
        end = time.monotonic() + BOUND
        while (view := await rig.relays["r1"].seen())["counts"]["received"] < before["counts"][
            "received"
        ] + len(taped) + 20 or not view["counts"].get("refused_replay"):
            assert time.monotonic() < end, (view["counts"], len(taped))
            await asyncio.sleep(0.05)
        numbers = [
            [(row["name"], row["incarnation"], row["degree"]) for row in one["members"]]
            for one in (before, view)
        ]
        assert numbers[0] == numbers[1] and len(taped) > 3  # those that had got lost are merely late

    run(play)


def test_a_clock_that_jumps_an_hour_and_a_full_folder():
    async def play(rig):
        rig.relays["r2"].skew(1)
        rig.relays["r3"].skew(-1)
        rig.relays["r1"].fill(True)
        heard = (await rig.relays["r1"].seen())["counts"]["received"]
        end = time.monotonic() + BOUND
        while (await rig.relays["r1"].seen())["counts"]["received"] < heard + 40:
            assert time.monotonic() < end
            await asyncio.sleep(0.05)
        await rig.agreed(BOUND)
        assert not any(gone(rig, name) for name in rig.relays)

    run(play)


def test_a_name_used_twice_another_cluster_and_an_orderly_leave():
    async def play(rig):
        first = rig.relays["r2"]
        twin = rig.relays["r3"]
        assert await twin.end(BOUND) == 0
        for viewer in ("r1", "r2", "r4"):
            await rig.sees(viewer, "r3", ("left",), BOUND)
        twin.operator.write_text(rig.operator("r3", name='"r2"'))
        (twin.folder / "state" / "members.json").unlink()
        twin.spawn()
        await twin.ready(BOUND)
        birth = (await rig.relays["r1"].seen())["members"]
        end = time.monotonic() + BOUND
        while (view := await twin.seen())["counts"].get("wholes_asked", 0) < 3:
            assert time.monotonic() < end, view
            await asyncio.sleep(0.05)
        assert view["standing"] == "out"
        held = {row["name"]: row["address"] for row in (await rig.relays["r1"].seen())["members"]}
        assert held["r2"] == {row["name"]: row["address"] for row in birth}["r2"]
        first.kill()
        while (view := await twin.seen())["standing"] != "in":
            assert time.monotonic() < end + BOUND, view
            await asyncio.sleep(0.05)
        assert gone(rig, "r2") & {"r1", "r4"}  # not before the first was held gone
        twin.kill()
        twin.operator.write_text(rig.operator("r3", cluster='"another"'))
        twin.spawn()
        await twin.ready(BOUND)

        def refused():
            return [event for event in rig.relays["r1"].read_events() if event["event"] == "members.refused"]

        await until(refused, BOUND, "r1 refuses another cluster's member")
        received = (await rig.relays["r1"].seen())["counts"].get("refused_cluster", 0)
        while (await rig.relays["r1"].seen())["counts"].get("refused_cluster", 0) < received + 5:
            assert time.monotonic() < end + 2 * BOUND
            await asyncio.sleep(0.05)
        assert [event["reason"] for event in refused()] == ["cluster"]  # said once

    run(play, relays=4)  # two that are left can tell a death from their own trouble, one can't


def test_old_and_new_protocol_side_by_side_under_load_and_a_restart():
    """A whole scenario: messages flow, a relay restarts, a host drains, one hangs; no rule is broken."""

    async def play():
        given = Scenario(
            relays=3,
            hosts=3,
            rate=30.0,
            interval=QUICK,
            span=span(8),
            calm=span(3),
            protocols={"r3": 1},
            fault=(
                Fault(at=span(1), span=span(2), kind="term", who=("r2",)),
                Fault(at=span(1), span=span(2), kind="hang", who=("h1",)),
                Fault(at=span(2), span=span(2), kind="drain", who=("h0",)),
                Fault(
                    at=span(1),
                    span=span(3),
                    kind="loss",
                    start=("r1", "r2", "r3"),
                    end=("r1", "r2", "r3"),
                    share=0.3,
                ),
            ),
        )
        async with asyncio.timeout(150):
            async with Rig(given, 5) as rig:
                played = await rig.play()
                view = await rig.relays["r1"].seen()
        versions = {row["name"]: row["versions"] for row in view["members"]}
        assert versions == {"r2": [1, 2], "r3": [1, 1]}
        assert played.verdict.counts["taken"] > 100 and not played.verdict.broken, played.verdict
        assert not played.finding.wrong and not played.failures, played

    asyncio.run(play())


@pytest.mark.parametrize("what", ["ls", "show", "watch", "leave"])
def test_the_command_on_a_running_relay(what):
    from click.testing import CliRunner

    from millweir.cli import main

    async def play(rig):
        path = str(rig.relays["r1"].folder / "state" / "members.sock")

        def call(*words):
            return CliRunner().invoke(main, ["members", words[0], "--socket", path, *words[1:]])

        if what == "ls":
            ended = await asyncio.to_thread(call, "ls", "--json")
            assert {row["name"] for row in json.loads(ended.output)["members"]} == {"r2", "r3"}
            assert ended.exit_code == 0 and "alive" in (await asyncio.to_thread(call, "ls")).output
        elif what == "show":
            assert "incarnation" in (await asyncio.to_thread(call, "show", "r2")).output
            assert (await asyncio.to_thread(call, "show", "nobody")).exit_code == 1
        elif what == "watch":
            watching = asyncio.create_task(asyncio.to_thread(call, "watch", "--for", "6"))
            end = time.monotonic() + BOUND
            rig.relays["r2"].stop()
            await rig.sees("r1", "r2", ("suspected", "gone"), BOUND)
            rig.relays["r2"].go_on()
            assert '"members.changed"' in (await watching).output and time.monotonic() < end
        else:
            assert (await asyncio.to_thread(call, "leave")).output == "left\n"
            await rig.sees("r2", "r1", ("left",), BOUND)

    run(play)


def test_a_relay_that_is_not_there_is_said_in_one_line(tmp_path):
    from click.testing import CliRunner

    from millweir.cli import main

    ended = CliRunner().invoke(main, ["members", "ls", "--socket", str(tmp_path / "none")])
    assert (
        ended.exit_code == 1
        and ended.output.startswith("Error: no relay answers")
        and ended.output.count("\n") == 1
    )
