"""Cordoned hosts: excluded whatever the host list says, and recovering once the cordon is lifted."""

from rig import Rig, entry, succeed_after

from millweir.interface import MILLISECOND, SECOND, Change


def send_load(rig, span, decide, every=50 * MILLISECOND):
    until = rig.now + span
    while rig.now < until:
        rig.add_packet(0)
        rig.pass_time(every, decide)


def test_a_cordoned_host_gets_no_calls_after_the_grace_whatever_the_list_says():
    rig = Rig(entries=[entry(0, 0), entry(0, 1)], relays=1, slots=20)
    out = rig.entries[0].host
    assert rig.relay.set_cordon(rig.now, out, True, rig.now)
    at = rig.now
    send_load(rig, 2 * SECOND, succeed_after()(rig))
    rig.update_host_list(Change.FULL, rig.entries)  # the list still says it is ready
    send_load(rig, 2 * SECOND, succeed_after()(rig))
    late = [s for s in rig.sent if s.host.id == out and s.at > at + rig.settings.drain_grace]
    assert not late
    assert sum(s.host.id != out for s in rig.sent) >= 20


def test_a_second_cordon_changes_nothing_and_an_unknown_host_is_refused():
    rig = Rig(entries=[entry(0, 0), entry(0, 1)], relays=1)
    out = rig.entries[0].host
    assert rig.relay.set_cordon(rig.now, out, True, rig.now)
    first = rig.relay._cordoned[out]
    rig.pass_time(3 * SECOND)
    assert rig.relay.set_cordon(rig.now, out, True, rig.now)
    assert rig.relay._cordoned[out] == first  # the grace period runs from the first cordon
    assert not rig.relay.set_cordon(rig.now, b"never-listed", True, rig.now)
    assert not rig.relay.set_cordon(rig.now, b"never-listed", False, rig.now)


def test_a_host_cordoned_before_it_is_listed_gets_no_calls():
    # Guards rule 3 (no calls to a removed host after the grace period) in an upgrade: the cordons are read
    # from the state folder before any host list comes.
    rig = Rig(entries=[entry(0, 1)], relays=1, slots=20)
    later = entry(0, 0)
    rig.relay._cordoned[later.host] = rig.now - 10 * SECOND  # as read back after a restart
    rig.update_host_list(Change.DELTA, [later])
    send_load(rig, 2 * SECOND, succeed_after()(rig))
    assert not [s for s in rig.sent if s.host.id == later.host]


def test_a_host_recovers_by_slow_start_after_its_cordon_is_lifted():
    rig = Rig(entries=[entry(0, 0, rate=20.0)], relays=1, slots=30)
    host = rig.entries[0].host
    send_load(rig, 2 * SECOND, succeed_after()(rig))
    rig.relay.set_cordon(rig.now, host, True, rig.now)
    send_load(rig, 3 * SECOND, succeed_after()(rig))
    assert rig.relay.set_cordon(rig.now, host, False, rig.now)
    assert rig.relay._hosts[host].slow_start_rate > 0  # ejected: its load grows from a low rate
    lifted_at = rig.now
    send_load(rig, 8 * SECOND, succeed_after()(rig), every=20 * MILLISECOND)
    first = len({s.at for s in rig.sent if lifted_at <= s.at < lifted_at + SECOND})  # calls, not packets
    last = len({s.at for s in rig.sent if s.at >= rig.now - SECOND})
    assert first < last / 2  # rule 4: a recovering host is not overloaded


def test_lifting_a_cordon_does_not_eject_the_siblings():
    rig = Rig(entries=[entry(0, 0, rate=20.0), entry(0, 1, rate=20.0)], relays=1, slots=30)
    out, sibling = (listed.host for listed in rig.entries)
    send_load(rig, 2 * SECOND, succeed_after()(rig))
    rig.relay.set_cordon(rig.now, out, True, rig.now)
    send_load(rig, SECOND, succeed_after()(rig))
    rig.relay.set_cordon(rig.now, out, False, rig.now)
    assert rig.relay._hosts[out].slow_start_rate and not rig.relay._hosts[sibling].slow_start_rate


def test_a_retry_after_received_by_another_process_of_the_relay_is_binding():
    # Guards rule 6 (a retry-after is binding for all messages to the destination) in an upgrade: both
    # processes are one relay.
    rig = Rig(entries=[entry(0, 0)], relays=1, slots=20)
    host = rig.entries[0].host
    until = rig.now + 2 * SECOND
    rig.relay.apply_retry_after(rig.now, host, until)
    rig.relay.apply_retry_after(rig.now, b"never-listed", until)  # an unknown host is ignored
    send_load(rig, 3 * SECOND, succeed_after()(rig))
    assert rig.sent and all(s.at >= until for s in rig.sent)
