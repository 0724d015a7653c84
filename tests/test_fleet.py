"""Behaviour that is harmless in one relay and harmful in a whole fleet: many instances driven together."""

import importlib.util
import sys
from heapq import heappop, heappush
from pathlib import Path

from rig import STEP, Rig, entry

from millweir.interface import MILLISECOND, SECOND, Outcome


def simulate_list_requests(back_offs, service_time=SECOND // 8, timeout=2 * SECOND):
    """Return when each relay received its list, by relay, and the number of requests that took.

    Discovery serves one request at a time, also those whose relay has already given up waiting.
    """
    requests = sorted((back_off(0), number, 0) for number, back_off in enumerate(back_offs))
    free_at, request_count, received_at = 0, 0, {}
    while requests and requests[0][0] < 60 * SECOND:
        now, number, failures = heappop(requests)
        request_count, free_at = request_count + 1, max(free_at, now) + service_time
        if free_at - now <= timeout:
            received_at[number] = free_at
        else:
            heappush(requests, (now + timeout + back_offs[number](failures + 1), number, failures + 1))
    return received_at, request_count


def test_a_whole_fleet_that_starts_at_once_receives_its_lists():
    for seed in range(5):
        fleet = [Rig(seed * 100 + n, relays=40).relay.draw_discovery_back_off for n in range(40)]
        received_at, request_count = simulate_list_requests(fleet)
        assert len(received_at) == 40 and max(received_at.values()) < 20 * SECOND and request_count < 80
    # With the constant back-off of an earlier version discovery stays overloaded.
    received_at, request_count = simulate_list_requests([lambda failures: SECOND // 20] * 40)
    assert len(received_at) < 20 and request_count > 300
    single_relay = Rig(relays=1).relay.draw_discovery_back_off
    # A single relay competes with no other and backs off only briefly.
    assert max(single_relay(failures) for failures in range(200)) <= SECOND // 2


def test_a_batch_does_not_hide_an_unreachable_host():
    rig = Rig(entries=[entry(0, 0, rate=100.0)], relays=40)
    for _ in range(5):
        rig.add_packet(0)
    rig.pass_time(2 * SECOND, lambda s: Outcome.UNCONNECTED if rig.now - s.at >= STEP else None)
    assert len({s.at for s in rig.sent}) <= 4 and not rig.answers
    rig.pass_time(8 * SECOND, lambda s: Outcome.FULFILLED if rig.now - s.at >= 50 * MILLISECOND else None)
    assert len(rig.answers) == 5


def test_a_host_that_reports_a_full_table_is_not_ejected():
    rig = Rig(entries=[entry(0, 0, kind=1, rate=100.0)], relays=40)
    rig.add_packet(0)
    rig.pass_time(12 * SECOND, lambda s: Outcome.CROWDED if rig.now - s.at >= STEP else None)
    # It is still tried, at a limited rate.
    assert not rig.relay._hosts[rig.entries[0].host].slow_start_rate and 6 <= len(rig.sent) <= 16


def test_a_fleet_finds_a_recovered_host_in_time_and_without_overloading_it():
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
    # Rule 4 (a recovering host is not overloaded): at most twice what it can serve, for two seconds; that is
    # a fifth of its 40 calls a second, nearly doubled by then.
    assert sum(0 <= at < 2 * SECOND for at in tries) <= 2 * 2 * (0.2 * 40) * 2
    assert served >= 0.9 * 40 * 12


def test_the_log_summary_of_a_fleet_counts_by_second_relay_and_host():
    path = Path(__file__).parent.parent / "benchmarks/fleet.py"
    spec = importlib.util.spec_from_file_location("fleet", path)
    fleet = sys.modules["fleet"] = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(fleet)
    end = "link-end peer=s-1/10.1.0.1:7070 reason="
    account = fleet.count_lines(
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
