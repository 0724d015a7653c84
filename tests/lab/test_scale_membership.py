"""A member's cost by fleet size: counts on simulated fleets, the same in every run of a seed."""

from __future__ import annotations

from itertools import pairwise

import msgspec
import pytest

from millweir.lab.baselines import PlainSwim
from millweir.lab.fleet import OVERHEAD, Fleet
from millweir.lab.scale.membership_steps import (
    SilentPort,
    build_lone_core,
    build_record,
    build_settled_fleet,
    count_steps,
    measure_cost,
)
from millweir.members.core import MILLISECOND, SECOND, MemberStatus
from millweir.members.messages import Kind, MemberRecord, ReceivedDatagram, ReportedState, encode

FLEET_SIZES = (10, 20, 40, 80)
TABLE_SIZES = (10, 100, 1000)
SEED = 1
MAX_FLAT_RATIO = 1.08  # maximum over minimum of a figure that does not grow with the size


def is_flat(values):
    return max(values) <= MAX_FLAT_RATIO * min(values)


def test_the_cost_of_a_member_without_faults_does_not_depend_on_fleet_size():
    costs = [measure_cost(build_settled_fleet(size, SEED), 5) for size in FLEET_SIZES]
    assert is_flat([cost.steps for cost in costs]), costs
    assert is_flat([cost.bytes for cost in costs]), costs
    assert {cost.datagrams for cost in costs} == {2.0}, costs


def test_the_same_seed_gives_the_same_counts():
    first, second = (measure_cost(build_settled_fleet(16, SEED), 3) for _ in range(2))
    assert first == second


def receive_ping(core):
    core.receive_datagram(MILLISECOND, ReceivedDatagram(Kind.PING, 1, build_record(1), core.me.name))


def start_probe(core):
    core.time_passed(2 * SECOND)


def run_early_turn(core):
    core.time_passed(MILLISECOND)


def receive_suspicion(core):
    record = build_record(2).with_state(ReportedState.SUSPECTED, "m1")
    core.receive_datagram(MILLISECOND, ReceivedDatagram(Kind.GOSSIP, 0, build_record(1), records=(record,)))


def receive_leave(core):
    core.receive_datagram(
        MILLISECOND, ReceivedDatagram(Kind.GOSSIP, 0, build_record(3).with_state(ReportedState.LEFT, "m3"))
    )


def receive_join(core):
    core.receive_datagram(
        MILLISECOND, ReceivedDatagram(Kind.GOSSIP, 0, build_record(1), records=(build_record(99_999),))
    )


def receive_restart(core):
    """A member has restarted: the next incarnation with another run id."""
    restarted_record = msgspec.structs.replace(build_record(4), incarnation=2, run_id=77)
    core.receive_datagram(
        MILLISECOND, ReceivedDatagram(Kind.GOSSIP, 0, build_record(1), records=(restarted_record,))
    )


def list_contacts_to_store(core):
    """Lists the contacts, as the relay does every ten seconds to store them."""
    assert len(core.list_contacts(8)) == 8


EVENTS = (
    list_contacts_to_store,
    receive_ping,
    run_early_turn,
    receive_suspicion,
    receive_leave,
    receive_join,
    receive_restart,
)


@pytest.mark.parametrize("event", EVENTS)
def test_the_cost_of_an_event_does_not_depend_on_table_size(event):
    steps = [count_steps(event, build_lone_core(size, SEED)) for size in TABLE_SIZES]
    assert is_flat(steps), steps


def test_the_cost_of_a_record_beyond_a_full_table_does_not_depend_on_its_size():
    steps = []
    for size in TABLE_SIZES:
        core = build_lone_core(size, SEED)
        core._table.max_members = len(core.members)
        steps.append(count_steps(receive_join, core))
        assert core.table_full
    assert is_flat(steps), steps


def test_the_cost_of_a_death_per_member_grows_at_most_logarithmically():
    """Retransmissions of the gossip and the suspicion timeout grow with the logarithm of the fleet size."""
    costs = []
    for size in FLEET_SIZES:
        fleet = build_settled_fleet(size, SEED)
        fleet.nodes[5].kill()
        costs.append(measure_cost(fleet, 20, steps=False))
    assert all(after.bytes <= 1.35 * before.bytes for before, after in pairwise(costs)), costs
    assert costs[-1].bytes <= 1.8 * costs[0].bytes, costs


def build_core_with_suspects(count):
    """Builds a core with a large table that suspects `count` members."""
    core = build_lone_core(TABLE_SIZES[-1], SEED)
    for number in range(100, 100 + count):
        record = build_record(number).with_state(ReportedState.SUSPECTED, "m1")
        core.receive_datagram(
            MILLISECOND, ReceivedDatagram(Kind.GOSSIP, 0, build_record(1), records=(record,))
        )
    return core


@pytest.mark.parametrize("event", [event for event in EVENTS if event is not receive_ping])
def test_the_cost_of_an_event_does_not_depend_on_the_number_of_suspects(event):
    steps = [count_steps(event, build_core_with_suspects(count)) for count in (1, 10, 100)]
    assert max(steps) <= 1.25 * min(steps), steps  # the logarithm of a heap


def test_the_cost_of_an_answer_is_bounded_by_a_full_datagram_of_gossip():
    steps = [count_steps(receive_ping, build_core_with_suspects(count)) for count in (100, 200, 400)]
    assert is_flat(steps), steps


class RecordingPort(SilentPort):
    """Records the datagrams and full state requests that the core sends."""

    def __init__(self):
        self.sent = []
        self.requested = []

    def request_full_state(self, to):
        self.requested.append(to)

    def send(self, to, version, datagram):
        self.sent.append(datagram)

    @property
    def bytes(self):
        return sum(len(encode(datagram)) + OVERHEAD for datagram in self.sent)


def build_core_with_updates(port, ranks_and_counts):
    """Builds a core with a large table that has received updates of several ranks, the newest last."""
    core = build_lone_core(TABLE_SIZES[-1], SEED, port=port)
    number = 10
    for rank, count in ranks_and_counts:
        for _ in range(count):
            record = build_record(number).with_state(rank, "m1")
            core.receive_datagram(
                MILLISECOND, ReceivedDatagram(Kind.GOSSIP, 0, build_record(1), records=(record,))
            )
            number += 1
    port.sent.clear()
    return core


def test_gossip_stays_within_its_byte_rate_under_many_updates():
    port = RecordingPort()
    core = build_core_with_updates(port, [(ReportedState.SUSPECTED, 400)])
    seconds = 4
    for step in range(1, 5 * seconds + 1):
        core.time_passed(step * SECOND // 5)
    max_bytes = core.rules.bytes_per_second * seconds + 2 * core.rules.max_datagram_bytes
    assert max_bytes // 2 < port.bytes <= max_bytes


def test_an_answer_carries_the_most_urgent_updates_when_the_byte_rate_is_exhausted():
    port = RecordingPort()
    core = build_core_with_updates(port, [(ReportedState.SUSPECTED, 400)])
    for number in range(100):
        core.receive_datagram(MILLISECOND, ReceivedDatagram(Kind.PING, number, build_record(1), core.me.name))
    assert [datagram.kind for datagram in port.sent] == [Kind.ACK] * 100
    assert all(datagram.records for datagram in port.sent)
    assert len(encode(port.sent[-1])) < 500 < len(encode(port.sent[0]))


def test_a_refutation_and_suspicions_are_sent_before_deaths():
    port = RecordingPort()
    core = build_core_with_updates(port, [(ReportedState.SUSPECTED, 2)])
    for number in (500, 501, 502):
        left_record = build_record(number).with_state(ReportedState.LEFT, f"m{number}")
        core.receive_datagram(MILLISECOND, ReceivedDatagram(Kind.GOSSIP, 0, left_record))
    suspected_record = core.me.with_state(ReportedState.SUSPECTED, "m1")
    core.receive_datagram(
        2 * MILLISECOND, ReceivedDatagram(Kind.GOSSIP, 0, build_record(1), records=(suspected_record,))
    )
    for number in (503, 504):
        left_record = build_record(number).with_state(ReportedState.LEFT, f"m{number}")
        core.receive_datagram(3 * MILLISECOND, ReceivedDatagram(Kind.GOSSIP, 0, left_record))
    port.sent.clear()
    core.receive_datagram(4 * MILLISECOND, ReceivedDatagram(Kind.PING, 1, build_record(5), core.me.name))
    records = [msgspec.msgpack.decode(encoded, type=MemberRecord) for encoded in port.sent[0].records]
    assert records[0].name == core.me.name and records[0].incarnation > suspected_record.incarnation
    assert [record.state for record in records[1:3]] == [ReportedState.SUSPECTED] * 2
    assert {record.state for record in records[3:]} == {ReportedState.LEFT}


def test_the_plain_swim_baseline_declares_a_dead_member_gone():
    """The baseline decides failure verdicts by its own rule, and the core's timers use them."""
    fleet = Fleet(10, SEED, make=PlainSwim)
    fleet.run(3 * SECOND)
    fleet.nodes[3].kill()
    fleet.run(30 * SECOND)
    assert {node.core.members["m3"].status for node in fleet.live_nodes} == {MemberStatus.GONE}


def test_no_full_state_is_requested_while_updates_are_pending():
    """A full state repairs what gossip has lost; pending updates may still explain a different digest."""
    port = RecordingPort()
    core = build_core_with_updates(port, [(ReportedState.SUSPECTED, 1)])
    differing_ack = ReceivedDatagram(Kind.ACK, 1, build_record(1), digest=1, unchanged_ms=60_000)
    core.receive_datagram(60 * SECOND, differing_ack)
    assert port.requested == []
    core._gossip.clear()
    core.receive_datagram(61 * SECOND, differing_ack)
    assert port.requested == [build_record(1).address]
