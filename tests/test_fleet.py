"""What is harmless in one relay and harmful when a whole fleet does it: many instances driven together."""

import importlib.util
import sys
from heapq import heappop, heappush
from pathlib import Path

from rig import STEP, Rig, entry

from millweir.interface import MILLISECOND, SECOND, Outcome


def lists_told(rests, each=SECOND // 8, patience=2 * SECOND):
    """One discovery that takes one call at a time, also for those that have given it up: when each relay has
    its list, and how many calls that took."""
    agenda = sorted((rest(0), at, 0) for at, rest in enumerate(rests))
    free, calls, told = 0, 0, {}
    while agenda and agenda[0][0] < 60 * SECOND:
        now, who, failures = heappop(agenda)
        calls, free = calls + 1, max(free, now) + each
        if free - now <= patience:
            told[who] = free
        else:
            heappush(agenda, (now + patience + rests[who](failures + 1), who, failures + 1))
    return told, calls


def test_lists_reach_a_fleet_that_starts_at_once():
    for seed in range(5):
        fleet = [Rig(seed * 100 + n, relays=40).relay.draw_discovery_back_off for n in range(40)]
        told, calls = lists_told(fleet)
        assert len(told) == 40 and max(told.values()) < 20 * SECOND and calls < 80
    told, calls = lists_told([lambda failures: SECOND // 20] * 40)  # as it was: discovery never got free
    assert len(told) < 20 and calls > 300
    alone = Rig(relays=1).relay.draw_discovery_back_off
    assert max(alone(failures) for failures in range(200)) <= SECOND // 2  # one relay is in nobody's way


def test_a_bundle_does_not_hide_a_host_that_nothing_reaches():
    rig = Rig(entries=[entry(0, 0, rate=100.0)], relays=40)
    for _ in range(5):
        rig.add_packet(0)
    rig.pass_time(2 * SECOND, lambda s: Outcome.UNCONNECTED if rig.now - s.at >= STEP else None)
    assert len({s.at for s in rig.sent}) <= 4 and not rig.answers
    rig.pass_time(8 * SECOND, lambda s: Outcome.FULFILLED if rig.now - s.at >= 50 * MILLISECOND else None)
    assert len(rig.answers) == 5


def test_a_host_that_says_its_table_is_full_is_not_taken_for_a_sick_one():
    rig = Rig(entries=[entry(0, 0, kind=1, rate=100.0)], relays=40)
    rig.add_packet(0)
    rig.pass_time(12 * SECOND, lambda s: Outcome.CROWDED if rig.now - s.at >= STEP else None)
    assert (
        not rig.relay._hosts[rig.entries[0].host].slow_start_rate and 6 <= len(rig.sent) <= 16
    )  # tried on, in measure


def test_a_host_back_from_an_outage_is_found_again_by_a_whole_fleet_in_time_and_not_by_all_at_once():
    down, tries, served = 5 * SECOND, [], 0
    for n in range(40):
        rig = Rig(n, entries=[entry(0, 0, kind=1, rate=40.0)], relays=40)
        until = rig.now + down

        def decide(s, rig=rig, until=until):
            if rig.now - s.at < STEP:
                return None
            return Outcome.UNCONNECTED if rig.now < until else Outcome.FULFILLED

        for _ in range(12):
            rig.add_packet(0)
            rig.pass_time(SECOND, decide)
        rig.pass_time(5 * SECOND, decide)
        tries += [s.at - until for s in rig.sent]
        served += sum(how == "fulfilled" for how in rig.answers.values())
    # Rule 4: twice what the host can do, for two seconds; a fifth of 40 a second, nearly doubled by then.
    assert sum(0 <= at < 2 * SECOND for at in tries) <= 2 * 2 * (0.2 * 40) * 2
    assert served >= 0.9 * 40 * 12


def test_the_account_of_a_fleet_counts_by_second_relay_and_host():
    path = Path(__file__).parent.parent / "benchmarks/fleet.py"
    spec = importlib.util.spec_from_file_location("fleet", path)
    fleet = sys.modules["fleet"] = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(fleet)
    end = "link-end peer=s-1/10.1.0.1:7070 reason="
    account = fleet.read(
        [
            (
                "n0",
                [f"0.001 100.001 {end}told-close requests=1", "100.500 list-failed status 503", "Traceback"],
            ),
            (
                "n1",
                [
                    f"102.200 {end}told-close requests=7",
                    "102.300 log dropped=40",
                    "",
                    "102.400 link-end peer=s-2 reason=unconnected ConnectionRefusedError",
                ],
            ),
        ]
    )
    assert account.by_second[0] == {"link closed-at-once": 1, "list-failed": 1}
    assert account.by_second[2] == {"link told-close": 1, "log": 1, "link unconnected": 1}
    assert account.by_host["s-1"] == {"link closed-at-once": 1, "link told-close": 1}
    assert account.by_relay["n1"]["link unconnected"] == 1 and account.dropped == 40
