"""Hosts out by hand: the decision module keeps them out whatever the list says, and lets them back cold."""

from rig import Rig, entry, succeed_after

from millweir.interface import MILLISECOND, SECOND, Change


def busy(rig, span, decide, every=50 * MILLISECOND):
    until = rig.now + span
    while rig.now < until:
        rig.add_packet(0)
        rig.pass_time(every, decide)


def test_a_host_out_by_hand_gets_nothing_after_the_grace_whatever_the_list_says():
    rig = Rig(entries=[entry(0, 0), entry(0, 1)], relays=1, slots=20)
    out = rig.entries[0].host
    assert rig.relay.set_cordon(rig.now, out, True, rig.now)
    at = rig.now
    busy(rig, 2 * SECOND, succeed_after()(rig))
    rig.update_host_list(Change.FULL, rig.entries)  # the list still says it is ready
    busy(rig, 2 * SECOND, succeed_after()(rig))
    late = [s for s in rig.sent if s.host.id == out and s.at > at + rig.settings.drain_grace]
    assert not late
    assert sum(s.host.id != out for s in rig.sent) >= 20


def test_a_repeat_changes_nothing_and_an_id_never_listed_is_refused():
    rig = Rig(entries=[entry(0, 0), entry(0, 1)], relays=1)
    out = rig.entries[0].host
    assert rig.relay.set_cordon(rig.now, out, True, rig.now)
    first = rig.relay._cordoned[out]
    rig.pass_time(3 * SECOND)
    assert rig.relay.set_cordon(rig.now, out, True, rig.now)
    assert rig.relay._cordoned[out] == first  # the grace ran from the first call
    assert not rig.relay.set_cordon(rig.now, b"never-listed", True, rig.now)
    assert not rig.relay.set_cordon(rig.now, b"never-listed", False, rig.now)


def test_a_host_out_before_the_list_names_it_is_out_when_it_comes():
    # Guards rule 3 over an upgrade: the cordons come from the folder before any list.
    rig = Rig(entries=[entry(0, 1)], relays=1, slots=20)
    later = entry(0, 0)
    rig.relay._cordoned[later.host] = rig.now - 10 * SECOND  # as read back from an earlier life
    rig.update_host_list(Change.DELTA, [later])
    busy(rig, 2 * SECOND, succeed_after()(rig))
    assert not [s for s in rig.sent if s.host.id == later.host]


def test_a_host_let_back_is_cold_and_warms_up():
    rig = Rig(entries=[entry(0, 0, rate=20.0)], relays=1, slots=30)
    host = rig.entries[0].host
    busy(rig, 2 * SECOND, succeed_after()(rig))
    rig.relay.set_cordon(rig.now, host, True, rig.now)
    busy(rig, 3 * SECOND, succeed_after()(rig))
    assert rig.relay.set_cordon(rig.now, host, False, rig.now)
    assert rig.relay._hosts[host].slow_start_rate > 0  # set aside: what it may get grows from a trickle
    back = rig.now
    busy(rig, 8 * SECOND, succeed_after()(rig), every=20 * MILLISECOND)
    first = len({s.at for s in rig.sent if back <= s.at < back + SECOND})  # calls, not packets
    last = len({s.at for s in rig.sent if s.at >= rig.now - SECOND})
    assert first < last / 2  # rule 4: a trickle first


def test_a_host_let_back_casts_no_doubt_on_its_siblings():
    rig = Rig(entries=[entry(0, 0, rate=20.0), entry(0, 1, rate=20.0)], relays=1, slots=30)
    out, sibling = (listed.host for listed in rig.entries)
    busy(rig, 2 * SECOND, succeed_after()(rig))
    rig.relay.set_cordon(rig.now, out, True, rig.now)
    busy(rig, SECOND, succeed_after()(rig))
    rig.relay.set_cordon(rig.now, out, False, rig.now)
    assert rig.relay._hosts[out].slow_start_rate and not rig.relay._hosts[sibling].slow_start_rate


def test_a_wait_told_to_the_process_beside_binds_here_too():
    # Guards rule 6 in an upgrade: both processes are one relay.
    rig = Rig(entries=[entry(0, 0)], relays=1, slots=20)
    host = rig.entries[0].host
    until = rig.now + 2 * SECOND
    rig.relay.apply_retry_after(rig.now, host, until)
    rig.relay.apply_retry_after(rig.now, b"never-listed", until)  # nothing to bind
    busy(rig, 3 * SECOND, succeed_after()(rig))
    assert rig.sent and all(s.at >= until for s in rig.sent)
