"""Moments for which all relays wait alike bring no burst: restarts, told waits, hosts back in use."""

from dataclasses import replace

import pytest
from rig import Rig, entry, succeed_after

from millweir.interface import SECOND, Change, Outcome, Phase

HOST = entry(0, 0, kind=1)
OTHER = entry(0, 1, kind=1)
SPREAD_LEAST = 5  # different quarters of a second among twenty relays


def down(rig):
    return lambda sent: Outcome.UNCONNECTED if rig.now > sent.at else None


def ejected(seed=1, **given):
    """A relay that has just found a host down, after a while of calls that went well."""
    rig = Rig(seed, entries=[HOST], relays=4, **given)
    for _ in range(10):
        rig.add_packet(0)
        rig.pass_time(SECOND // 2, succeed_after()(rig))
    rig.add_packet(0)
    rig.pass_time(SECOND, down(rig))
    assert rig.relay._hosts[HOST.host].slow_start_rate
    return rig


def first_calls(rigs, span=6 * SECOND):
    """When each of the relays, with a message in hand, called next."""
    found = []
    for rig in rigs:
        rig.add_packet(0)
        begun, now = len(rig.sent), rig.now
        rig.pass_time(span, succeed_after()(rig))
        found += [sent.at - now for sent in rig.sent[begun : begun + 1]]
    return found


def spread(calls):
    return len({at // (SECOND // 4) for at in calls})


def restarted(old, seed, waits=0):
    """The next life of a relay, which reads back what this one knew."""
    rig = Rig(seed, entries=[HOST], relays=4, start=old.now)
    for cold in old.relay.list_recovering_hosts():
        assert rig.relay.restore_host(rig.now, cold)
    if waits:
        rig.relay.apply_retry_after(rig.now, HOST.host, rig.now + waits)
    return rig


def test_a_restarted_relay_goes_on_with_its_spaced_trials():
    rigs = [restarted(ejected(seed), seed) for seed in range(20)]
    assert all(rig.relay._hosts[HOST.host].slow_start_rate for rig in rigs)
    assert spread(first_calls(rigs)) >= SPREAD_LEAST


def test_relays_restarted_before_a_told_return_do_not_go_at_it_at_once():
    rigs = [restarted(ejected(seed), seed, waits=2 * SECOND) for seed in range(20)]
    calls = first_calls(rigs, 8 * SECOND)
    assert min(calls) >= 2 * SECOND and spread(calls) >= SPREAD_LEAST


def test_a_refused_relay_keeps_its_learned_limit_over_a_restart():
    old = Rig(entries=[HOST], relays=300, slots=3)
    old.add_packet(0)
    old.pass_time(SECOND // 10, lambda sent: Outcome.FULL if old.now > sent.at else None)
    (cold,) = old.relay.list_recovering_hosts()
    assert not cold.slow_start_rate and cold.limit == old.relay._hosts[HOST.host].limit_scope.limit
    fresh = restarted(old, 2)
    assert fresh.relay._hosts[HOST.host].limit_scope.limit == cold.limit


def test_what_went_well_since_is_not_made_cold_by_an_older_record():
    rig = ejected()
    (cold,) = rig.relay.list_recovering_hosts()
    rig.pass_time(30 * SECOND, succeed_after()(rig))
    rig.add_packet(0)
    rig.pass_time(20 * SECOND, succeed_after()(rig))
    assert not rig.relay.list_recovering_hosts()
    rig.relay.restore_host(rig.now, cold)
    assert not rig.relay._hosts[HOST.host].slow_start_rate
    rig.relay.restore_host(rig.now, replace(cold, seen_at=rig.now))
    assert rig.relay._hosts[HOST.host].slow_start_rate


@pytest.mark.parametrize("phase", [Phase.GONE, Phase.DRAINING])
def test_hosts_back_in_use_are_not_all_tried_in_that_moment(phase):
    rigs = [ejected(seed) for seed in range(20)]
    for rig in rigs:
        rig.update_host_list(Change.DELTA, [replace(HOST, phase=phase)])
        rig.pass_time(8 * SECOND)  # each trial would be due
        rig.update_host_list(Change.DELTA, [HOST])
    assert spread(first_calls(rigs)) >= SPREAD_LEAST


def test_a_cold_host_that_was_forgotten_comes_back_cold():
    rig = ejected()
    rig.update_host_list(Change.DELTA, [replace(HOST, phase=Phase.GONE)])
    rig.pass_time(61 * SECOND)
    rig.update_host_list(Change.DELTA, [OTHER])
    assert HOST.host not in rig.relay._hosts and [cold.host for cold in rig.relay.list_recovering_hosts()]
    rig.update_host_list(Change.DELTA, [HOST])
    assert rig.relay._hosts[HOST.host].slow_start_rate


def test_a_run_of_refusals_ejects_unless_calls_go_well_between():
    def slow_start_rate(refused):
        rig = Rig(entries=[HOST], relays=4)

        def decide(sent):
            outcome = Outcome.FULL if refused(rig.sent.index(sent)) else Outcome.FULFILLED
            return outcome if rig.now > sent.at else None

        for _ in range(12):
            rig.add_packet(0)
            rig.pass_time(SECOND, decide)
        return rig.relay._hosts[HOST.host].slow_start_rate

    assert slow_start_rate(lambda number: number >= 6) > 0
    assert slow_start_rate(lambda number: number % 2) == 0


def test_a_process_that_is_replaced_leaves_cold_hosts_to_the_one_beside_it():
    for replaced in (False, True):
        rig = ejected()
        rig.relay.begin_shutdown(rig.now + 60 * SECOND, replaced)
        assert bool(first_calls([rig], 10 * SECOND)) is not replaced
