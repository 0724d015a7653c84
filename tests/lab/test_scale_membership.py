"""How a member's cost grows with its fleet: counts on simulated fleets, the same on each run of a seed."""

from __future__ import annotations

from itertools import pairwise

import msgspec
import pytest

from millweir.lab.baselines import PlainSwim
from millweir.lab.fleet import OVERHEAD, Fleet
from millweir.lab.scale.membership_steps import (
    SilentPort,
    claim_of,
    cost_of,
    lone_core,
    settled_fleet,
    steps_of,
)
from millweir.members.core import MILLISECOND, SECOND, MemberStatus
from millweir.members.messages import Kind, MemberRecord, ReceivedDatagram, ReportedState, encode

FLEETS = (10, 20, 40, 80)
TABLES = (10, 100, 1000)
SEED = 1
FLAT = 1.08  # the most that a flat figure may differ between the least and the greatest size


def is_flat(values):
    return max(values) <= FLAT * min(values)


def test_a_calm_member_costs_the_same_in_each_fleet():
    costs = [cost_of(settled_fleet(size, SEED), 5) for size in FLEETS]
    assert is_flat([cost.steps for cost in costs]), costs
    assert is_flat([cost.bytes for cost in costs]), costs
    assert {cost.datagrams for cost in costs} == {2.0}, costs


def test_the_same_seed_gives_the_same_counts():
    first, second = (cost_of(settled_fleet(16, SEED), 3) for _ in range(2))
    assert first == second


def ping(core):
    core.receive_datagram(MILLISECOND, ReceivedDatagram(Kind.PING, 1, claim_of(1), core.me.name))


def probe(core):
    core.time_passed(2 * SECOND)


def contact(core):
    core.time_passed(MILLISECOND)


def suspicion_told(core):
    told = claim_of(2).with_state(ReportedState.SUSPECTED, "m1")
    core.receive_datagram(MILLISECOND, ReceivedDatagram(Kind.GOSSIP, 0, claim_of(1), records=(told,)))


def leave_told(core):
    core.receive_datagram(
        MILLISECOND, ReceivedDatagram(Kind.GOSSIP, 0, claim_of(3).with_state(ReportedState.LEFT, "m3"))
    )


def join_told(core):
    core.receive_datagram(
        MILLISECOND, ReceivedDatagram(Kind.GOSSIP, 0, claim_of(1), records=(claim_of(99_999),))
    )


def life_told(core):
    """A new life of a member: the next incarnation."""
    again = msgspec.structs.replace(claim_of(4), incarnation=2, run_id=77)
    core.receive_datagram(MILLISECOND, ReceivedDatagram(Kind.GOSSIP, 0, claim_of(1), records=(again,)))


def contacts_kept(core):
    """As the relay does for its folder every ten seconds."""
    assert len(core.list_contacts(8)) == 8


EVENTS = (contacts_kept, ping, contact, suspicion_told, leave_told, join_told, life_told)


@pytest.mark.parametrize("event", EVENTS)
def test_one_event_costs_the_same_in_each_table(event):
    steps = [steps_of(event, lone_core(size, SEED)) for size in TABLES]
    assert is_flat(steps), steps


def test_a_name_too_many_costs_the_same_in_each_full_table():
    steps = []
    for size in TABLES:
        core = lone_core(size, SEED)
        core._table.max_members = len(core.members)
        steps.append(steps_of(join_told, core))
        assert core.table_full
    assert is_flat(steps), steps


def test_a_death_costs_each_member_the_same_in_each_fleet():
    """But for the logarithm: how often it is told, and how long it is suspected."""
    costs = []
    for size in FLEETS:
        fleet = settled_fleet(size, SEED)
        fleet.nodes[5].kill()
        costs.append(cost_of(fleet, 20, steps=False))
    assert all(after.bytes <= 1.35 * before.bytes for before, after in pairwise(costs)), costs
    assert costs[-1].bytes <= 1.8 * costs[0].bytes, costs


def with_suspects(count):
    """A core of a large table that suspects so many."""
    core = lone_core(TABLES[-1], SEED)
    for number in range(100, 100 + count):
        told = claim_of(number).with_state(ReportedState.SUSPECTED, "m1")
        core.receive_datagram(MILLISECOND, ReceivedDatagram(Kind.GOSSIP, 0, claim_of(1), records=(told,)))
    return core


@pytest.mark.parametrize("event", [event for event in EVENTS if event is not ping])
def test_one_event_costs_the_same_beside_any_number_of_suspects(event):
    steps = [steps_of(event, with_suspects(count)) for count in (1, 10, 100)]
    assert max(steps) <= 1.25 * min(steps), steps  # the logarithm of a heap


def test_an_answer_costs_no_more_than_a_full_datagram_of_news():
    steps = [steps_of(ping, with_suspects(count)) for count in (100, 200, 400)]
    assert is_flat(steps), steps


class RecordingPort(SilentPort):
    """Keeps what the core sends."""

    def __init__(self):
        self.sent = []
        self.asked = []

    def request_full_state(self, to):
        self.asked.append(to)

    def send(self, to, version, datagram):
        self.sent.append(datagram)

    @property
    def bytes(self):
        return sum(len(encode(datagram)) + OVERHEAD for datagram in self.sent)


def full_of_news(port, ranks):
    """A core of a large table that was told of so many members each; the last told is the newest."""
    core = lone_core(TABLES[-1], SEED, port=port)
    number = 10
    for rank, count in ranks:
        for _ in range(count):
            told = claim_of(number).with_state(rank, "m1")
            core.receive_datagram(MILLISECOND, ReceivedDatagram(Kind.GOSSIP, 0, claim_of(1), records=(told,)))
            number += 1
    port.sent.clear()
    return core


def test_gossip_keeps_to_its_bytes_a_second_however_much_there_is_to_tell():
    port = RecordingPort()
    core = full_of_news(port, [(ReportedState.SUSPECTED, 400)])
    seconds = 4
    for step in range(1, 5 * seconds + 1):
        core.time_passed(step * SECOND // 5)
    most = core.rules.bytes_per_second * seconds + 2 * core.rules.max_datagram_bytes
    assert most // 2 < port.bytes <= most


def test_an_answer_tells_the_most_urgent_where_the_bytes_are_spent():
    port = RecordingPort()
    core = full_of_news(port, [(ReportedState.SUSPECTED, 400)])
    for number in range(100):
        core.receive_datagram(MILLISECOND, ReceivedDatagram(Kind.PING, number, claim_of(1), core.me.name))
    assert [datagram.kind for datagram in port.sent] == [Kind.ACK] * 100
    assert all(datagram.records for datagram in port.sent)
    assert len(encode(port.sent[-1])) < 500 < len(encode(port.sent[0]))


def test_a_refutation_and_suspicions_are_told_before_deaths():
    port = RecordingPort()
    core = full_of_news(port, [(ReportedState.SUSPECTED, 2)])
    for number in (500, 501, 502):
        left = claim_of(number).with_state(ReportedState.LEFT, f"m{number}")
        core.receive_datagram(MILLISECOND, ReceivedDatagram(Kind.GOSSIP, 0, left))
    accused = core.me.with_state(ReportedState.SUSPECTED, "m1")
    core.receive_datagram(2 * MILLISECOND, ReceivedDatagram(Kind.GOSSIP, 0, claim_of(1), records=(accused,)))
    for number in (503, 504):
        left = claim_of(number).with_state(ReportedState.LEFT, f"m{number}")
        core.receive_datagram(3 * MILLISECOND, ReceivedDatagram(Kind.GOSSIP, 0, left))
    port.sent.clear()
    core.receive_datagram(4 * MILLISECOND, ReceivedDatagram(Kind.PING, 1, claim_of(5), core.me.name))
    told = [msgspec.msgpack.decode(raw, type=MemberRecord) for raw in port.sent[0].records]
    assert told[0].name == core.me.name and told[0].incarnation > accused.incarnation
    assert [claim.state for claim in told[1:3]] == [ReportedState.SUSPECTED] * 2
    assert {claim.state for claim in told[3:]} == {ReportedState.LEFT}


def test_the_plain_swim_baseline_holds_the_dead_for_gone():
    """It sets its verdicts by a rule of its own; the core's timers go by them."""
    fleet = Fleet(10, SEED, make=PlainSwim)
    fleet.run(3 * SECOND)
    fleet.nodes[3].kill()
    fleet.run(30 * SECOND)
    assert {node.core.members["m3"].status for node in fleet.living} == {MemberStatus.GONE}


def test_a_view_with_updates_left_to_tell_asks_for_no_full_state():
    """They are on their way: a full state is for what gossip has lost."""
    port = RecordingPort()
    core = full_of_news(port, [(ReportedState.SUSPECTED, 1)])
    other = ReceivedDatagram(Kind.ACK, 1, claim_of(1), digest=1, unchanged_ms=60_000)
    core.receive_datagram(60 * SECOND, other)
    assert port.asked == []
    core._gossip.clear()
    core.receive_datagram(61 * SECOND, other)
    assert port.asked == [claim_of(1).address]
