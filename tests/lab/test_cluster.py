"""Relay processes under injected faults: a reduced set; longer campaigns run outside CI.

Probe intervals are a fifth of the default to shorten the tests; every wait is bounded and its failure names
what it waited for.
"""

import asyncio
import json
import time

import pytest

from millweir.lab.cluster import Rig
from millweir.lab.processes import wait_until
from millweir.lab.scenario import Fault, Scenario
from millweir.operator.units import Duration

S = 1_000_000_000
QUICK = Duration(S // 5)
WAIT_LIMIT_S = 60  # for what takes two or three seconds on an idle machine


def scenario(relays=3):
    return Scenario(relays=relays, hosts=2, rate=0.0, interval=QUICK)


def span(seconds):
    return Duration(round(seconds * S))


def run(play, relays=3):
    async def run_with_rig():
        async with asyncio.timeout(150):
            async with Rig(scenario(relays), 1) as rig:
                await rig.wait_until_agreed(WAIT_LIMIT_S)
                await play(rig)

    asyncio.run(run_with_rig())


def relays_reporting_gone(rig, name):
    """Return the relays that reported `name` as gone."""
    return {
        viewer
        for viewer, relay in rig.relays.items()
        for event in relay.read_events()
        if event["event"] == "members.changed" and event["name"] == name and event["after"] == "gone"
    }


def all_alive(*names):
    return lambda views: all(
        views.get(viewer, {}).get(name) in ("alive", "late")
        for viewer in names
        for name in names
        if name != viewer
    )


def test_a_relay_killed_with_or_without_its_folder_is_detected_and_rejoins():
    async def play(rig):
        for lost in (False, True):
            relay = rig.relays["r3"]
            before = (await relay.wait_for_view())["incarnation"]
            relay.kill(lost)
            for viewer in ("r1", "r2"):
                await rig.wait_until_seen_as(viewer, "r3", ("gone",), WAIT_LIMIT_S)
            relay.spawn()
            await relay.ready(WAIT_LIMIT_S)
            await rig.wait_until_agreed(WAIT_LIMIT_S)
            assert (await relay.wait_for_view())["incarnation"] > before

    run(play)


def test_a_relay_paused_for_long_rejoins_when_resumed():
    """It is held gone meanwhile, declares nobody gone when resumed, and rejoins with a higher incarnation."""

    async def play(rig):
        await rig.inject_fault(Fault(at=span(0), span=span(8), kind="stop", who=("r2",)))
        await rig.wait_until_agreed(WAIT_LIMIT_S)
        assert (
            relays_reporting_gone(rig, "r2") <= {"r1", "r3"}
            and not relays_reporting_gone(rig, "r1")
            and not relays_reporting_gone(rig, "r3")
        )

    run(play)


def test_the_only_running_relay_declares_nobody_gone():
    """The remaining one reports doubt about its own health, and declares nobody gone."""

    async def play(rig):
        fault = rig.start_task(
            rig.inject_fault(Fault(at=span(0), span=span(8), kind="stop", who=("r2", "r3")))
        )
        await wait_until(lambda: not rig.relays["r2"].up, WAIT_LIMIT_S, "r2 is stopped")
        while not fault.done():
            view = await rig.relays["r1"].wait_for_view()
            if view["doubt"]:
                break
            await asyncio.sleep(0.05)
        assert view["doubt"] == "unanswered"
        await fault
        await rig.wait_until_agreed(WAIT_LIMIT_S)
        assert not any(relays_reporting_gone(rig, name) for name in rig.relays)

    run(play)


def test_a_cut_both_ways_with_a_third_relay_reaching_both():
    async def play(rig):
        rig.set_links(("r1",), ("r2",), both=True, cut=True)
        await rig.wait_until_seen_as("r1", "r2", ("cut",), WAIT_LIMIT_S)
        await rig.wait_until_seen_as("r2", "r1", ("cut",), WAIT_LIMIT_S)
        view = await rig.relays["r3"].wait_for_view()
        assert {row["name"]: row["degree"] for row in view["members"]} == {"r1": "alive", "r2": "alive"}
        rig.set_links(("r1",), ("r2",), both=True, cut=False)
        await rig.wait_until_agreed(WAIT_LIMIT_S)
        assert not any(relays_reporting_gone(rig, name) for name in rig.relays)

    run(play)


def test_a_one_way_cut_names_its_direction():
    async def play(rig):
        rig.set_links(("r1",), ("r2",), cut=True)
        await rig.wait_until_seen_as("r1", "r2", ("cut",), WAIT_LIMIT_S)
        end = time.monotonic() + WAIT_LIMIT_S
        while True:
            view = await rig.relays["r3"].wait_for_view()
            paths = {path for row in view["members"] for path in row["paths"]}
            if "r1->r2 by r1" in paths:
                break
            assert time.monotonic() < end, view
            await asyncio.sleep(0.05)
        rig.set_links(("r1",), ("r2",), cut=False)
        await rig.wait_until_agreed(WAIT_LIMIT_S)
        assert not any(relays_reporting_gone(rig, name) for name in rig.relays)

    run(play)


def test_split_and_healed_and_datagrams_of_an_earlier_process_replayed():
    async def play(rig):
        wire = rig.wires["r3", "r1"]
        wire.recorded = []
        rig.set_links(("r1", "r2"), ("r3",), both=True, cut=True)
        await rig.wait_until_seen_as("r1", "r3", ("gone",), WAIT_LIMIT_S)
        rig.set_links(("r1", "r2"), ("r3",), both=True, cut=False)
        await rig.wait_until_agreed(WAIT_LIMIT_S)
        relay, recorded = rig.relays["r3"], list(wire.recorded)
        relay.kill()
        await rig.wait_until_seen_as("r1", "r3", ("gone",), WAIT_LIMIT_S)
        relay.spawn()
        await relay.ready(WAIT_LIMIT_S)
        await rig.wait_until_agreed(WAIT_LIMIT_S)
        before = await rig.relays["r1"].wait_for_view()
        for raw in recorded:
            wire.forward(raw)
        end = time.monotonic() + WAIT_LIMIT_S
        while (view := await rig.relays["r1"].wait_for_view())["counts"]["received"] < before["counts"][
            "received"
        ] + len(recorded) + 20 or not view["counts"].get("refused_replay"):
            assert time.monotonic() < end, (view["counts"], len(recorded))
            await asyncio.sleep(0.05)
        numbers = [
            [(row["name"], row["incarnation"], row["degree"]) for row in one["members"]]
            for one in (before, view)
        ]
        assert (
            numbers[0] == numbers[1] and len(recorded) > 3
        )  # datagrams lost before count as late, not as replayed

    run(play)


def test_a_clock_jump_of_an_hour_and_a_full_disk():
    async def play(rig):
        rig.relays["r2"].set_clock_skew(1)
        rig.relays["r3"].set_clock_skew(-1)
        rig.relays["r1"].set_disk_full(True)
        received_before = (await rig.relays["r1"].wait_for_view())["counts"]["received"]
        end = time.monotonic() + WAIT_LIMIT_S
        while (await rig.relays["r1"].wait_for_view())["counts"]["received"] < received_before + 40:
            assert time.monotonic() < end
            await asyncio.sleep(0.05)
        await rig.wait_until_agreed(WAIT_LIMIT_S)
        assert not any(relays_reporting_gone(rig, name) for name in rig.relays)

    run(play)


def test_a_name_used_twice_another_cluster_and_an_orderly_leave():
    async def play(rig):
        first = rig.relays["r2"]
        twin = rig.relays["r3"]
        assert await twin.terminate(WAIT_LIMIT_S) == 0
        for viewer in ("r1", "r2", "r4"):
            await rig.wait_until_seen_as(viewer, "r3", ("left",), WAIT_LIMIT_S)
        twin.operator.write_text(rig.build_operator_file("r3", name='"r2"'))
        (twin.folder / "state" / "members.json").unlink()
        twin.spawn()
        await twin.ready(WAIT_LIMIT_S)
        birth = (await rig.relays["r1"].wait_for_view())["members"]
        end = time.monotonic() + WAIT_LIMIT_S
        while (view := await twin.wait_for_view())["counts"].get("wholes_asked", 0) < 3:
            assert time.monotonic() < end, view
            await asyncio.sleep(0.05)
        assert view["standing"] == "out"
        held = {row["name"]: row["address"] for row in (await rig.relays["r1"].wait_for_view())["members"]}
        assert held["r2"] == {row["name"]: row["address"] for row in birth}["r2"]
        first.kill()
        while (view := await twin.wait_for_view())["standing"] != "in":
            assert time.monotonic() < end + WAIT_LIMIT_S, view
            await asyncio.sleep(0.05)
        assert relays_reporting_gone(rig, "r2") & {"r1", "r4"}  # not before the first one was held gone
        twin.kill()
        twin.operator.write_text(rig.build_operator_file("r3", cluster='"another"'))
        twin.spawn()
        await twin.ready(WAIT_LIMIT_S)

        def refused():
            return [event for event in rig.relays["r1"].read_events() if event["event"] == "members.refused"]

        await wait_until(refused, WAIT_LIMIT_S, "r1 refuses another cluster's member")
        received = (await rig.relays["r1"].wait_for_view())["counts"].get("refused_cluster", 0)
        while (await rig.relays["r1"].wait_for_view())["counts"].get("refused_cluster", 0) < received + 5:
            assert time.monotonic() < end + 2 * WAIT_LIMIT_S
            await asyncio.sleep(0.05)
        assert [event["reason"] for event in refused()] == ["cluster"]  # logged once

    run(play, relays=4)  # two remaining relays can tell a death from their own fault, one alone can't


def test_old_and_new_protocol_side_by_side_under_load_and_a_restart():
    """A scenario with load, a relay restart, a draining and a hanging host breaks no rule."""

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
                view = await rig.relays["r1"].wait_for_view()
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
            end = time.monotonic() + WAIT_LIMIT_S
            rig.relays["r2"].stop()
            await rig.wait_until_seen_as("r1", "r2", ("suspected", "gone"), WAIT_LIMIT_S)
            rig.relays["r2"].resume()
            assert '"members.changed"' in (await watching).output and time.monotonic() < end
        else:
            assert (await asyncio.to_thread(call, "leave")).output == "left\n"
            await rig.wait_until_seen_as("r2", "r1", ("left",), WAIT_LIMIT_S)

    run(play)


def test_a_missing_relay_is_reported_in_one_line(tmp_path):
    from click.testing import CliRunner

    from millweir.cli import main

    ended = CliRunner().invoke(main, ["members", "ls", "--socket", str(tmp_path / "none")])
    assert (
        ended.exit_code == 1
        and ended.output.startswith("Error: no relay answers")
        and ended.output.count("\n") == 1
    )
