"""Events that all relays see at once cause no burst: restarts, ends of retry-afters, hosts back in use."""

from dataclasses import replace

import pytest
from rig import Rig, entry, succeed_after

from millweir.interface import SECOND, Change, Outcome, Phase

HOST = entry(0, 0, kind=1)
OTHER = entry(0, 1, kind=1)
MIN_DISTINCT_QUARTERS = 5  # quarters of a second in which twenty relays send their first calls


def fail_to_connect(rig):
    return lambda sent: Outcome.UNCONNECTED if rig.now > sent.at else None


def relay_with_ejected_host(seed=1, **given):
    """A relay that has just ejected its host, after some successful calls."""
    rig = Rig(seed, entries=[HOST], relays=4, **given)
    for _ in range(10):
        rig.add_packet(0)
        rig.pass_time(SECOND // 2, succeed_after()(rig))
    rig.add_packet(0)
    rig.pass_time(SECOND, fail_to_connect(rig))
    assert rig.relay._hosts[HOST.host].slow_start_rate
    return rig


def first_calls(rigs, span=6 * SECOND):
    """When each of the relays sends its next call, given a packet."""
    found = []
    for rig in rigs:
        rig.add_packet(0)
        sent_before, now = len(rig.sent), rig.now
        rig.pass_time(span, succeed_after()(rig))
        found += [sent.at - now for sent in rig.sent[sent_before : sent_before + 1]]
    return found


def count_quarters(calls):
    return len({at // (SECOND // 4) for at in calls})


def restart(old, seed, wait=0):
    """The relay after a restart, with what it knew of recovering hosts."""
    rig = Rig(seed, entries=[HOST], relays=4, start=old.now)
    for known in old.relay.list_recovering_hosts():
        assert rig.relay.restore_host(rig.now, known)
    if wait:
        rig.relay.apply_retry_after(rig.now, HOST.host, rig.now + wait)
    return rig


def test_restarted_relays_go_on_with_spaced_trial_calls():
    rigs = [restart(relay_with_ejected_host(seed), seed) for seed in range(20)]
    assert all(rig.relay._hosts[HOST.host].slow_start_rate for rig in rigs)
    assert count_quarters(first_calls(rigs)) >= MIN_DISTINCT_QUARTERS


def test_relays_restarted_during_a_retry_after_do_not_all_call_at_its_end():
    rigs = [restart(relay_with_ejected_host(seed), seed, wait=2 * SECOND) for seed in range(20)]
    calls = first_calls(rigs, 8 * SECOND)
    assert min(calls) >= 2 * SECOND and count_quarters(calls) >= MIN_DISTINCT_QUARTERS


def test_a_learned_limit_is_kept_over_a_restart():
    old = Rig(entries=[HOST], relays=300, slots=3)
    old.add_packet(0)
    old.pass_time(SECOND // 10, lambda sent: Outcome.FULL if old.now > sent.at else None)
    (known,) = old.relay.list_recovering_hosts()
    assert not known.slow_start_rate and known.limit == old.relay._hosts[HOST.host].limit_scope.limit
    fresh = restart(old, 2)
    assert fresh.relay._hosts[HOST.host].limit_scope.limit == known.limit


def test_a_record_older_than_the_last_success_is_ignored():
    rig = relay_with_ejected_host()
    (known,) = rig.relay.list_recovering_hosts()
    rig.pass_time(30 * SECOND, succeed_after()(rig))
    rig.add_packet(0)
    rig.pass_time(20 * SECOND, succeed_after()(rig))
    assert not rig.relay.list_recovering_hosts()
    rig.relay.restore_host(rig.now, known)
    assert not rig.relay._hosts[HOST.host].slow_start_rate
    rig.relay.restore_host(rig.now, replace(known, last_failure_at=rig.now))
    assert rig.relay._hosts[HOST.host].slow_start_rate


@pytest.mark.parametrize("phase", [Phase.GONE, Phase.DRAINING])
def test_relays_do_not_all_call_a_host_when_it_is_back_in_use(phase):
    rigs = [relay_with_ejected_host(seed) for seed in range(20)]
    for rig in rigs:
        rig.update_host_list(Change.DELTA, [replace(HOST, phase=phase)])
        rig.pass_time(8 * SECOND)  # longer than the spacing of the trial calls
        rig.update_host_list(Change.DELTA, [HOST])
    assert count_quarters(first_calls(rigs)) >= MIN_DISTINCT_QUARTERS


def test_a_recovering_host_is_still_recovering_when_listed_again():
    rig = relay_with_ejected_host()
    rig.update_host_list(Change.DELTA, [replace(HOST, phase=Phase.GONE)])
    rig.pass_time(61 * SECOND)
    rig.update_host_list(Change.DELTA, [OTHER])
    assert HOST.host not in rig.relay._hosts and [known.host for known in rig.relay.list_recovering_hosts()]
    rig.update_host_list(Change.DELTA, [HOST])
    assert rig.relay._hosts[HOST.host].slow_start_rate


def test_refusals_in_a_row_eject_a_host_unless_a_call_succeeds_between():
    def rate_after_refusals(refused):
        rig = Rig(entries=[HOST], relays=4)

        def decide(sent):
            outcome = Outcome.FULL if refused(rig.sent.index(sent)) else Outcome.FULFILLED
            return outcome if rig.now > sent.at else None

        for _ in range(12):
            rig.add_packet(0)
            rig.pass_time(SECOND, decide)
        return rig.relay._hosts[HOST.host].slow_start_rate

    assert rate_after_refusals(lambda number: number >= 6) > 0
    assert rate_after_refusals(lambda number: number % 2) == 0


def test_a_replaced_process_sends_no_calls_to_recovering_hosts():
    for replaced in (False, True):
        rig = relay_with_ejected_host()
        rig.relay.begin_shutdown(rig.now + 60 * SECOND, replaced)
        assert bool(first_calls([rig], 10 * SECOND)) is not replaced


def calls_allowed_after_an_outage(rate=4.0):
    """What a destination may get from all relays in its first recovery window, by the rig's settings."""
    allowed = 2 * 2.0 * 0.2 * rate
    return allowed + 3 * allowed**0.5 + 3


def test_hosts_that_share_a_retry_after_keep_no_trial_time_of_before_its_end():
    """Issue 61: only the host that the retry-after named got a new trial time; its siblings' were overdue."""
    siblings = [entry(0, number) for number in range(4)]
    calls = []
    for seed in range(20):
        old = Rig(seed, entries=siblings, relays=20)
        old.add_packet(0)
        old.pass_time(SECOND, fail_to_connect(old))
        known = old.relay.list_recovering_hosts()
        rig = Rig(seed, entries=siblings, relays=20, start=old.now)
        for host in known:
            rig.relay.restore_host(rig.now, host)
        wait = 60 * SECOND
        rig.relay.apply_retry_after(rig.now, known[0].host, rig.now + wait)
        rig.pass_time(wait)
        calls += first_calls([rig], rig.settings.recovery_window)
    assert len(calls) <= calls_allowed_after_an_outage()


def test_a_retry_after_of_an_earlier_process_ejects_all_hosts_that_share_it():
    siblings = [entry(0, number) for number in range(3)]
    rig = Rig(entries=siblings, relays=4)
    rig.relay.apply_retry_after(rig.now, siblings[0].host, rig.now + 5 * SECOND)
    assert all(rig.relay._hosts[sibling.host].slow_start_rate for sibling in siblings)


def test_relays_first_refused_before_the_return_do_not_call_at_their_learned_limit():
    """Issue 61: a short retry-after was taken for that of a rate limit, ten times this relay's part."""
    calls = []
    for seed in range(40):
        rig = Rig(seed, entries=[HOST], relays=40)
        rig.add_packet(0)
        rig.pass_time(
            SECOND // 10, lambda sent, rig=rig: (Outcome.FULL, SECOND) if rig.now > sent.at else None
        )
        rig.pass_time(SECOND)
        calls += first_calls([rig], rig.settings.recovery_window)
    assert len(calls) <= calls_allowed_after_an_outage()
