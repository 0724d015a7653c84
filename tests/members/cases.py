"""Failure scenarios of membership on simulated fleets, as functions of the core's class.

The mutants of `mutants.py` must fail them.
"""

from __future__ import annotations

import random

from millweir.lab.fleet import Fleet
from millweir.members.core import MILLISECOND, SECOND, LocalState, MemberStatus, Rules
from millweir.members.messages import (
    Kind,
    MemberRecord,
    ReceivedDatagram,
    ReportedState,
    decode_datagram,
    encode,
)


def start_fleet(make, size=5, seed=1, **options):
    fleet = Fleet(size, seed, make=make, **options)
    fleet.run(3 * SECOND)
    fleet.changes = []
    fleet.watch = lambda node, change: fleet.changes.append((fleet.now, node, change))
    return fleet


def gone_reports(fleet):
    """Pairs of a viewer and a member that the viewer took for gone."""
    return [
        (node.name, change.name) for _, node, change in fleet.changes if change.after is MemberStatus.GONE
    ]


def status_in_view(fleet, viewer, name):
    core = fleet.nodes[viewer].core
    member = core.members.get(f"m{name}")
    return member and core.status_of(fleet.now, member)


def views(fleet):
    return {
        node.name: {name: member.status.value for name, member in node.core.members.items()}
        for node in fleet.nodes
    }


def wait_until_gone(fleet, name, among=None, limit=90 * SECOND):
    """Runs until it is gone or left in the views of all living members; returns the seconds that took."""
    started_at = fleet.now
    viewers = [node for node in (among or fleet.live_nodes) if node.name != name]
    while any(node.core.members[name].active for node in viewers):
        fleet.run(fleet.now + SECOND // 4)
        assert fleet.now - started_at < limit, (name, views(fleet))
    return (fleet.now - started_at) / 1e9


def joins_by_seeds(make):
    fleet = Fleet(5, 3, make=make, known=False)
    assert fleet.until_agreed(10 * SECOND) >= 0
    assert all(node.core.local_state is LocalState.JOINED for node in fleet.nodes)


def pause_alone(make, seconds):
    """A paused member declares nobody gone, and is alive in all views soon after it resumes."""
    for seed in range(3):
        fleet = start_fleet(make, seed=seed)
        node = fleet.nodes[3]
        node.pause()
        fleet.run(fleet.now + seconds * SECOND)
        node.resume()
        resumed_at = fleet.now
        assert fleet.until_agreed(3 * SECOND) >= 0, views(fleet)
        false_reports = [row for row in gone_reports(fleet) if row[1] != "m3"]
        assert not false_reports
        fleet.run(resumed_at + 60 * SECOND)
        assert not [row for row in gone_reports(fleet) if row[0] == "m3"] and fleet.agreed()
        if seconds < 5:
            assert not gone_reports(fleet)


def pause_all_but_one(make, seconds):
    """A member that receives nothing from anybody distrusts its own verdicts and declares nobody gone."""
    for seed in range(3):
        fleet = start_fleet(make, seed=seed)
        for node in fleet.nodes[1:]:
            node.pause()
        fleet.run(fleet.now + seconds * SECOND)
        assert not gone_reports(fleet)
        if seconds >= 60:
            assert fleet.nodes[0].core.diagnose_local_health(fleet.now)
        for node in fleet.nodes[1:]:
            node.resume()
        assert fleet.until_agreed(10 * SECOND) >= 0, views(fleet)
        fleet.run(fleet.now + 60 * SECOND)
        assert not gone_reports(fleet) and fleet.agreed()


def last_survivor_declares_the_others_gone(make):
    """If all others were killed, the last member declares them gone once its isolation limit is over."""
    fleet = start_fleet(make)
    for node in fleet.nodes[1:]:
        node.kill()
    for node in fleet.nodes[1:]:
        wait_until_gone(fleet, node.name, limit=400 * SECOND)


def killed_member_is_declared_gone(make):
    times = []
    for seed in range(6):
        fleet = start_fleet(make, seed=seed)
        fleet.nodes[2].kill()
        times.append(wait_until_gone(fleet, "m2"))
        assert set(gone_reports(fleet)) == {(f"m{n}", "m2") for n in (0, 1, 3, 4)}
    assert max(times) < 20 and min(times) >= 5, times


def most_members_killed(make):
    for seed in range(3):
        fleet = start_fleet(make, seed=seed)
        for number in (1, 2, 4):
            fleet.nodes[number].kill()
        for number in (1, 2, 4):
            wait_until_gone(fleet, f"m{number}")
        assert {name for _, name in gone_reports(fleet)} == {"m1", "m2", "m4"}


def datagrams_lost(make):
    """No member is declared gone while 30% of all datagrams are lost for a minute."""
    for seed in range(3):
        fleet = start_fleet(make, seed=seed)
        fleet.loss = 0.3
        fleet.run(fleet.now + 60 * SECOND)
        assert not gone_reports(fleet)
        fleet.loss = 0.0
        assert fleet.until_agreed(20 * SECOND) >= 0, views(fleet)


def path_down_one_way(make):
    """The path from m0 to m1 is down, the way back is up: reported as such, and nobody is declared gone."""
    for seed in range(4):
        fleet = start_fleet(make, seed=seed)
        fleet.cut = lambda start, end: (start, end) == ("m0", "m1")
        fleet.run(fleet.now + 60 * SECOND)
        assert not gone_reports(fleet)
        assert status_in_view(fleet, 0, 1) is MemberStatus.PATH_DOWN
        down = {
            (report.start, report.end) for report in fleet.nodes[3].core.path_reports.values() if report.down
        }
        assert ("m0", "m1") in down and not any(path == ("m1", "m0") for path in down), down
        fleet.cut = lambda start, end: False
        fleet.run(fleet.now + 30 * SECOND)
        assert status_in_view(fleet, 0, 1) is MemberStatus.ALIVE and fleet.agreed()
        assert not any(report.down for node in fleet.nodes for report in node.core.path_reports.values())


def path_down_both_ways_except_through_others(make):
    for seed in range(4):
        fleet = start_fleet(make, seed=seed)
        fleet.cut = lambda start, end: {start, end} == {"m0", "m1"}
        fleet.run(fleet.now + 60 * SECOND)
        assert not gone_reports(fleet)
        assert status_in_view(fleet, 0, 1) is status_in_view(fleet, 1, 0) is MemberStatus.PATH_DOWN
        assert status_in_view(fleet, 2, 0) is status_in_view(fleet, 2, 1) is MemberStatus.ALIVE
        fleet.cut = lambda start, end: False
        assert fleet.until_agreed(30 * SECOND) >= 0


def nothing_sent_arrives(make):
    """No datagram from m0 arrives: nobody acks its pings, yet it declares nobody gone."""
    for seed in range(4):
        fleet = start_fleet(make, seed=seed, size=16)
        fleet.cut = lambda start, end: start == "m0"
        fleet.run(fleet.now + 100 * SECOND)
        assert not [row for row in gone_reports(fleet) if row[0] == "m0"]
        fleet.cut = lambda start, end: False
        assert fleet.until_agreed(30 * SECOND) >= 0, views(fleet)


def nothing_is_received(make):
    """m0 receives nothing but goes on sending: no other member is declared gone by anybody."""
    for seed in range(4):
        fleet = start_fleet(make, seed=seed)
        fleet.cut = lambda start, end: end == "m0"
        fleet.run(fleet.now + 100 * SECOND)
        assert {name for _, name in gone_reports(fleet)} <= {"m0"}
        fleet.cut = lambda start, end: False
        assert fleet.until_agreed(30 * SECOND) >= 0, views(fleet)
        fleet.cut = lambda start, end: False
        assert fleet.until_agreed(30 * SECOND) >= 0, views(fleet)


def path_flapping(make):
    for seed in range(3):
        fleet = start_fleet(make, seed=seed)
        fleet.cut = lambda start, end, fleet=fleet: (
            {start, end} == {"m0", "m1"} and fleet.now // SECOND % 2 == 1
        )
        fleet.run(fleet.now + 90 * SECOND)
        assert not gone_reports(fleet)
        fleet.cut = lambda start, end: False
        assert fleet.until_agreed(30 * SECOND) >= 0


def partition(make):
    """Partitions 2:3 in two ways: views agree soon after each heal, and the heal removes no live member."""
    for seed in range(3):
        fleet = start_fleet(make, seed=seed)
        for side in ({"m0", "m1"}, {"m1", "m3", "m4"}):
            fleet.cut = lambda start, end, side=side: (start in side) != (end in side)
            fleet.run(fleet.now + 80 * SECOND)
            for node in fleet.nodes:
                for name, member in node.core.members.items():
                    same = (node.name in side) == (name in side)
                    assert member.status is (MemberStatus.ALIVE if same else MemberStatus.GONE), views(fleet)
            fleet.changes.clear()
            fleet.cut = lambda start, end: False
            assert fleet.until_agreed(20 * SECOND) >= 0, views(fleet)
            assert not gone_reports(fleet)


def restart_with_state_files(make):
    """All members restart at once, with only the saved incarnation and the seeds."""
    fleet = start_fleet(make)
    before = {node.name: node.core.me.incarnation for node in fleet.nodes}
    incarnations = {node.name: max(node.saved_incarnation, before[node.name]) for node in fleet.nodes}
    for node in fleet.nodes:
        node.kill()
    fleet.run(fleet.now + SECOND)
    for node in fleet.nodes:
        fleet.start(node, incarnations[node.name])
    assert fleet.until_agreed(15 * SECOND) >= 0, views(fleet)
    assert all(node.core.me.incarnation > before[node.name] for node in fleet.nodes)


def return_without_state_file(make):
    """A member that lost its state file learns its incarnation from the others."""
    fleet = start_fleet(make)
    fleet.nodes[4].kill()
    fleet.run(fleet.now + 2 * SECOND)
    fleet.start(fleet.nodes[4], 0)
    assert fleet.until_agreed(10 * SECOND) >= 0, views(fleet)
    assert fleet.nodes[4].core.me.incarnation > 1
    fleet.nodes[4].kill()
    wait_until_gone(fleet, "m4")
    fleet.start(fleet.nodes[4], 0)
    assert fleet.until_agreed(10 * SECOND) >= 0, views(fleet)


def second_process(fleet, number, name):
    """Another process of that name at another address."""
    twin = fleet.nodes[number]
    host, port = fleet.address(twin)
    record = MemberRecord(name, fleet.rng.getrandbits(62), 0, ReportedState.ALIVE, host, port, name, 1, 2)
    return twin, record


def name_used_twice(make):
    """The second process of a name waits while the first lives, and joins once that is gone."""
    fleet = start_fleet(make, size=6)
    fleet.nodes[5].core.leave(fleet.now)
    fleet.run(fleet.now + 2 * SECOND)
    fleet.nodes[5].kill()
    fleet.run(fleet.now + SECOND)
    twin, record = second_process(fleet, 5, "m2")
    twin.dead = False
    twin.core = make(twin, fleet.rules, random.Random(9), fleet.now, record, [fleet.address(fleet.nodes[0])])
    twin.core.time_passed(fleet.now)
    fleet.run(fleet.now + 30 * SECOND)
    first = fleet.nodes[2].core
    assert twin.core.local_state is LocalState.NOT_JOINED and first.local_state is LocalState.JOINED
    assert {node.core.members["m2"].record.run_id for node in fleet.nodes[:2]} == {first.me.run_id}
    fleet.nodes[2].kill()
    fleet.run(fleet.now + 40 * SECOND)
    assert twin.core.local_state is LocalState.JOINED
    assert {node.core.members["m2"].record.address for node in fleet.nodes[:2]} == {record.address}


def name_used_twice_after_a_partition(make):
    """Each side of a partition has a process of the name: after the heal one of them gives the name up."""
    fleet = start_fleet(make, size=6)
    fleet.nodes[5].core.leave(fleet.now)
    fleet.run(fleet.now + 2 * SECOND)
    fleet.nodes[5].kill()
    side = {"m0", "m1", "m5"}
    fleet.cut = lambda start, end: (start in side) != (end in side)
    fleet.run(fleet.now + 80 * SECOND)
    twin, record = second_process(fleet, 5, "m2")
    twin.dead = False
    twin.core = make(twin, fleet.rules, random.Random(9), fleet.now, record, [fleet.address(fleet.nodes[0])])
    twin.core.time_passed(fleet.now)
    fleet.run(fleet.now + 10 * SECOND)
    assert twin.core.local_state is LocalState.JOINED
    fleet.cut = lambda start, end: False
    fleet.run(fleet.now + 30 * SECOND)
    local_states = [fleet.nodes[2].core.local_state, twin.core.local_state]
    assert sorted(one.value for one in local_states) == ["in", "out"], local_states
    run_ids = {node.core.members["m2"].record.run_id for node in (*fleet.nodes[:2], *fleet.nodes[3:5])}
    winner = fleet.nodes[2].core if local_states[0] is LocalState.JOINED else twin.core
    assert run_ids == {winner.me.run_id}


class Missing:
    record = None


def old_datagrams_replayed(make):
    """Datagrams of an earlier process run, delivered again after the restart, change nothing."""
    fleet = start_fleet(make)
    old, sent = fleet.nodes[3], []
    carry = fleet.transmit

    def record_and_carry(node, to, datagram):
        if node is old:
            sent.append((to, datagram))
        carry(node, to, datagram)

    fleet.transmit = record_and_carry
    fleet.run(fleet.now + 10 * SECOND)
    old.kill()
    wait_until_gone(fleet, "m3")
    fleet.start(old, old.saved_incarnation or 1)
    assert fleet.until_agreed(10 * SECOND) >= 0
    fleet.transmit = carry
    current = [node.core.members["m3"].record for node in fleet.nodes if node is not old]
    fleet.changes.clear()
    for to, datagram in sent:
        fleet.at[to].receive_datagram(decode_datagram(encode(datagram)))
        assert fleet.at[to].core.members.get("m3", Missing).record in (*current, None)
    fleet.run(fleet.now + 20 * SECOND)
    assert [node.core.members["m3"].record for node in fleet.nodes if node is not old] == current
    assert not [change for _, _, change in fleet.changes if change.name == "m3"]


def all_members_late(make):
    """CPU starvation makes every member run 2 s late: nobody is declared gone."""
    for seed in range(3):
        fleet = start_fleet(make, seed=seed)
        rng = random.Random(seed)
        until = fleet.now + 60 * SECOND

        def toggle_pause(node, fleet=fleet, rng=rng, until=until):
            if node.paused:
                node.resume()
            else:
                node.pause()
            if fleet.now < until or node.paused:
                duration = rng.uniform(1.5, 2.5) if node.paused else 0.15
                fleet.schedule(round(duration * SECOND), toggle_pause, node)

        for node in fleet.nodes:
            fleet.schedule(round(rng.random() * SECOND), toggle_pause, node)
        fleet.run(until + 5 * SECOND)
        assert not gone_reports(fleet), gone_reports(fleet)
        assert fleet.until_agreed(30 * SECOND) >= 0, views(fleet)


def more_gossip_than_one_datagram_holds(make):
    """Updates that do not fit into one datagram all arrive, in datagrams of limited size."""
    fleet = Fleet(60, 2, make=make, known=False)
    sizes = []
    carry = fleet.transmit
    fleet.transmit = lambda node, to, datagram: (
        sizes.append(len(encode(datagram))),
        carry(node, to, datagram),
    )
    assert fleet.until_agreed(60 * SECOND) >= 0
    assert 600 < max(sizes) <= fleet.rules.max_datagram_bytes, max(sizes)


def orderly_leave(make):
    fleet = start_fleet(make)
    fleet.nodes[1].core.leave(fleet.now)
    fleet.run(fleet.now + SECOND)
    fleet.nodes[1].kill()
    fleet.run(fleet.now + 30 * SECOND)
    assert not gone_reports(fleet)
    assert all(status_in_view(fleet, viewer, 1) is MemberStatus.LEFT for viewer in (0, 2, 3, 4))


def leave_with_all_datagrams_lost(make):
    """A member whose leave is lost altogether is declared gone like a killed one."""
    fleet = start_fleet(make)
    fleet.cut = lambda start, end: start == "m1"
    fleet.nodes[1].core.leave(fleet.now)
    fleet.run(fleet.now + SECOND)
    fleet.nodes[1].kill()
    fleet.cut = lambda start, end: False
    wait_until_gone(fleet, "m1")


def members_of_two_versions(make):
    """Members that support only version 1 get no path reports, and everything else."""
    fleet = start_fleet(make)
    for node in fleet.nodes[3:]:
        node.kill()
    fleet.run(fleet.now + SECOND)
    carried = []
    for node in fleet.nodes[3:]:
        record = fleet.claim(node, 1)
        old = MemberRecord(
            record.name, record.run_id, 1, record.state, record.host, record.port, record.name, 1, 1
        )
        node.dead, node.inbox = False, []
        node.core = make(node, fleet.rules, random.Random(5), fleet.now, old, [fleet.address(fleet.nodes[0])])
        node.core.time_passed(fleet.now)
    assert fleet.until_agreed(20 * SECOND) >= 0, views(fleet)
    carry = fleet.transmit
    fleet.transmit = lambda node, to, datagram: (
        carried.append((node, to, datagram)),
        carry(node, to, datagram),
    )
    fleet.cut = lambda start, end: (start, end) == ("m0", "m1")
    fleet.run(fleet.now + 60 * SECOND)
    old = {fleet.address(node) for node in fleet.nodes[3:]}
    assert any(datagram.path_reports for _, to, datagram in carried if to not in old)
    assert not any(datagram.path_reports for _, to, datagram in carried if to in old)
    assert not gone_reports(fleet)
    assert fleet.nodes[2].core.path_reports and not fleet.nodes[3].core.path_reports


def false_report_of_gone(make):
    """A single report that a live member is gone starts only a suspicion, which the member refutes."""
    fleet = start_fleet(make)
    victim = fleet.nodes[4].core.me
    false_record = victim.with_state(ReportedState.GONE, "m1")
    sender = fleet.nodes[1].core.me
    fleet.nodes[0].core.receive_datagram(
        fleet.now, ReceivedDatagram(Kind.GOSSIP, 0, sender, records=(false_record,))
    )
    fleet.run(fleet.now + 10 * SECOND)
    assert not gone_reports(fleet) and fleet.agreed()
    assert fleet.nodes[4].core.me.incarnation == victim.incarnation + 1


def tables_are_bounded(make):
    """A flood of invented names fills the table to its limit only, and evicts no live member."""
    fleet = start_fleet(make, rules=Rules(max_members=20, max_indirect_probes=8))
    core, sender = fleet.nodes[0].core, fleet.nodes[1].core.me
    for number in range(500):
        invented = MemberRecord(
            f"x{number}",
            number,
            1,
            ReportedState.GONE if number % 2 else ReportedState.ALIVE,
            "10.9.9.9",
            9,
            "m1",
        )
        core.receive_datagram(fleet.now, ReceivedDatagram(Kind.GOSSIP, 0, sender, records=(invented,)))
        core.receive_datagram(
            fleet.now,
            ReceivedDatagram(Kind.PING_REQ, number, sender, target=f"x{number}", host="10.9.9.9", port=9),
        )
    assert len(core.members) <= 20 and len(core._indirect_probes) <= 8
    assert {"m1", "m2", "m3", "m4"} <= set(core.members)
    assert core.table_full


def nacks_keep_the_awareness_score_low(make):
    """Nacks of helpers that cannot reach the target either show the requester that it is itself healthy."""
    fleet = start_fleet(make, size=8)
    fleet.nodes[7].kill()
    while fleet.nodes[0].core.members["m7"].active:
        fleet.run(fleet.now + SECOND // 4)
        assert max(node.core.awareness for node in fleet.live_nodes) <= 1


def timers_fire_early(make):
    """Timers that fire slightly early, as those of an event loop may, are set again."""
    fleet = start_fleet(make)
    for node in fleet.nodes:
        node.early = 5 * MILLISECOND
    fleet.run(fleet.now + 5 * SECOND)
    fleet.nodes[2].kill()
    wait_until_gone(fleet, "m2")


def return_during_constant_updates(make):
    """A live member that was declared gone returns even if views change too often to be compared."""
    fleet = start_fleet(make)

    def update_every_second():
        core = fleet.nodes[4].core
        core._raise_incarnation(fleet.now, core.me.incarnation + 1)
        fleet.schedule(SECOND, update_every_second)

    update_every_second()
    fleet.cut = lambda start, end: "m3" in (start, end)
    fleet.run(fleet.now + 60 * SECOND)
    fleet.cut = lambda start, end: False
    fleet.run(fleet.now + 12 * SECOND)
    assert all(status_in_view(fleet, viewer, 3) is MemberStatus.ALIVE for viewer in (0, 1, 2, 4)), views(
        fleet
    )


def short_loss_is_no_path_fault(make):
    """A path that loses datagrams for one second is not reported as down."""
    for seed in range(6):
        fleet = start_fleet(make, seed=seed)
        fleet.lost_from = 0
        carry = fleet.transmit

        def lose_for_a_second(node, to, datagram, fleet=fleet, carry=carry):
            if node.name != "m0" or fleet.at[to].name != "m1":
                carry(node, to, datagram)
                return
            if datagram.kind is Kind.PING and not fleet.lost_from:
                fleet.lost_from = fleet.now
            if not fleet.lost_from or fleet.now > fleet.lost_from + SECOND:
                carry(node, to, datagram)

        fleet.transmit = lose_for_a_second
        fleet.run(fleet.now + 30 * SECOND)
        assert fleet.lost_from
        assert not [change for _, _, change in fleet.changes if change.after is MemberStatus.PATH_DOWN]


def paused_while_suspecting(make):
    """A suspicion whose time ran out during a pause has not expired: the suspect may have refuted it."""
    for seed in range(4):
        fleet = start_fleet(make, seed=seed)
        fleet.cut = lambda start, end: "m4" in (start, end)
        while status_in_view(fleet, 0, 4) is not MemberStatus.SUSPECTED:
            fleet.run(fleet.now + SECOND // 10)
        fleet.nodes[0].pause()
        fleet.cut = lambda start, end: False
        fleet.run(fleet.now + 60 * SECOND)
        fleet.nodes[0].resume()
        fleet.run(fleet.now + 30 * SECOND)
        assert ("m0", "m4") not in gone_reports(fleet) and fleet.agreed()


def partition_without_seeds(make):
    """Partitions heal without seeds as well: members that are gone are still contacted."""
    fleet = start_fleet(make)
    for node in fleet.nodes:
        node.core.finish_bootstrap(fleet.now, [])
    fleet.cut = lambda start, end: (start in ("m0", "m1")) != (end in ("m0", "m1"))
    fleet.run(fleet.now + 80 * SECOND)
    fleet.cut = lambda start, end: False
    assert fleet.until_agreed(20 * SECOND) >= 0, views(fleet)


CASES = {
    "joins-by-seeds": joins_by_seeds,
    **{f"pause-alone-{n}": (lambda make, n=n: pause_alone(make, n)) for n in (2, 10, 60)},
    **{f"pause-all-but-one-{n}": (lambda make, n=n: pause_all_but_one(make, n)) for n in (2, 10, 60)},
    "last-survivor-declares-the-others-gone": last_survivor_declares_the_others_gone,
    "killed-member-is-declared-gone": killed_member_is_declared_gone,
    "most-members-killed": most_members_killed,
    "datagrams-lost": datagrams_lost,
    "path-down-one-way": path_down_one_way,
    "path-down-both-ways-except-through-others": path_down_both_ways_except_through_others,
    "nothing-is-received": nothing_is_received,
    "nothing-sent-arrives": nothing_sent_arrives,
    "paused-while-suspecting": paused_while_suspecting,
    "partition-without-seeds": partition_without_seeds,
    "return-during-constant-updates": return_during_constant_updates,
    "timers-fire-early": timers_fire_early,
    "path-flapping": path_flapping,
    "partition": partition,
    "restart-with-state-files": restart_with_state_files,
    "return-without-state-file": return_without_state_file,
    "name-used-twice": name_used_twice,
    "name-used-twice-after-a-partition": name_used_twice_after_a_partition,
    "old-datagrams-replayed": old_datagrams_replayed,
    "all-members-late": all_members_late,
    "more-gossip-than-one-datagram-holds": more_gossip_than_one_datagram_holds,
    "orderly-leave": orderly_leave,
    "leave-with-all-datagrams-lost": leave_with_all_datagrams_lost,
    "members-of-two-versions": members_of_two_versions,
    "false-report-of-gone": false_report_of_gone,
    "tables-are-bounded": tables_are_bounded,
    "nacks-keep-the-awareness-score-low": nacks_keep_the_awareness_score_low,
    "short-loss-is-no-path-fault": short_loss_is_no_path_fault,
}
