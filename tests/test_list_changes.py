"""Updates of the host list: their effect, checked against a model that walks all hosts, and their cost."""

from __future__ import annotations

import random
from dataclasses import dataclass, replace

import pytest
from rig import Rig, entry

from millweir.control import FORGET_HOST_AFTER_NS
from millweir.interface import SECOND, Change, Entry, Outcome, Phase
from millweir.lab.scale.steps import count_instructions, make_iteration_countable

DESTINATIONS = 4
HOSTS_EACH = 4


@dataclass(slots=True)
class ModelHost:
    """What the model knows of one host."""

    destination: int
    rate: float
    registration: int  # number of the record, as a host may be registered again under its name
    listed: bool = True
    ready: bool = True
    drain_started_at: int = 0
    departed_at: int = 0  # `drain_started_at` as it was when the host left the list


class Model:
    """The meaning of list updates, written as a walk over all hosts for each of them."""

    def __init__(self, relay) -> None:
        self.relay = relay  # used only to see calls in flight
        self.hosts: dict[bytes, ModelHost] = {}
        self.cordoned: dict[bytes, int] = {}
        self.registrations = 0

    def update(self, now: int, change: Change, entries: list[Entry], grace: int) -> set[int]:
        """Apply an update; return the destinations at which something has changed."""
        named = {row.host for row in entries}
        dirty = set()
        for name, host in list(self.hosts.items()):
            gone = name not in named
            if change is Change.DELTA:
                gone = any(row.host == name and row.phase is Phase.GONE for row in entries)
            if host.listed and gone:
                host.listed = False
                host.drain_started_at = host.departed_at = host.drain_started_at or now
                dirty.add(host.destination)
            elif not host.listed and now - host.departed_at > FORGET_HOST_AFTER_NS:
                if not self.relay._hosts[name].in_flight:
                    del self.hosts[name]
        for row in entries:
            if row.phase is Phase.GONE:
                continue
            host = self.hosts.get(row.host)
            if host and host.destination != row.destination:  # the name stands for another host now
                if host.listed:
                    dirty.add(host.destination)
                del self.hosts[row.host]
                host = None
            if host is None:
                self.registrations += 1
                host = self.hosts[row.host] = ModelHost(row.destination, row.rate, self.registrations)
            host.listed, host.rate = True, row.rate
            host.ready = row.phase is Phase.READY
            since = self.cordoned.get(row.host, 0)
            notified_at = max(1, now - grace) if change is Change.CACHED else now
            host.drain_started_at = (
                0 if host.ready and not since else host.drain_started_at or since or notified_at
            )
            dirty.add(host.destination)
        return dirty

    def set_cordon(self, name: bytes, cordoned: bool, since: int) -> bool:
        host = self.hosts.get(name)
        if host is None and name not in self.cordoned:
            return False
        if cordoned:
            self.cordoned.setdefault(name, since)
        elif self.cordoned.pop(name, 0) and host and host.ready:
            host.drain_started_at = 0
        if host:
            host.drain_started_at = host.drain_started_at or self.cordoned.get(name, 0)
        return True


def random_entry(chance: random.Random, phases: tuple[Phase, ...]) -> Entry:
    number = chance.randrange(HOSTS_EACH)
    rate = chance.choice((2.0, 4.0))  # of a host with a limit of its own
    row = entry(chance.randrange(DESTINATIONS), number, kind=1, phase=chance.choice(phases), rate=rate)
    moves = chance.random() < 0.1
    return replace(row, destination=chance.randrange(DESTINATIONS)) if moves else row


def compare(rig: Rig, model: Model, records: dict[int, object]) -> None:
    """Check that the relay has the model's hosts in the same states, and kept the record of each."""
    relay = rig.relay
    assert list(relay._hosts) == list(model.hosts)
    for name, expected in model.hosts.items():
        host = relay._hosts[name]
        assert (host in host.destination.hosts) == expected.listed
        assert (host.drain_started_at, host.ready) == (expected.drain_started_at, expected.ready)
        assert host.limit_scope.listed_rate == expected.rate
        assert records.setdefault(expected.registration, host) is host  # keeps its wait, score and limit


@pytest.mark.parametrize("seed", range(12))
def test_list_updates_do_the_same_as_a_walk_over_all_hosts(seed):
    chance = random.Random(seed)
    rig = Rig(seed, entries=[entry(d, n, kind=1) for d in range(DESTINATIONS) for n in range(HOSTS_EACH)])
    relay, model, records = rig.relay, Model(rig.relay), {}
    grace = relay._drain_grace
    model.update(rig.now, Change.CACHED, rig.entries, grace)
    for _ in range(600):
        rig.now += chance.choice((0, 1, SECOND, 7 * SECOND, FORGET_HOST_AFTER_NS, FORGET_HOST_AFTER_NS + 1))
        relay.end_round(rig.now)
        assert not relay._dirty
        event = chance.random()
        if event < 0.1:
            host, cordoned = chance.choice(list(relay._hosts) or [b"none"]), chance.random() < 0.5
            assert relay.set_cordon(rig.now, host, cordoned, rig.now) == model.set_cordon(
                host, cordoned, rig.now
            )
        elif event < 0.2 and relay._hosts:
            host = relay._hosts[chance.choice(list(relay._hosts))]
            host.in_flight = 0 if host.in_flight else 1  # a call that stays in flight for any time
        elif event < 0.3:
            change = chance.choice((Change.FULL, Change.CACHED))
            rows = {
                row.host: row
                for row in (random_entry(chance, (Phase.READY, Phase.DRAINING)) for _ in range(12))
            }
            dirty = model.update(rig.now, change, list(rows.values()), grace)
            relay.update_hosts(rig.now, change, tuple(rows.values()))
            assert {relay._destinations[d] for d in dirty} == set(relay._dirty)
        else:
            rows = [random_entry(chance, (Phase.GONE, *Phase)) for _ in range(chance.choice((0, 1, 1, 1, 3)))]
            dirty = model.update(rig.now, Change.DELTA, rows, grace)
            relay.update_hosts(rig.now, Change.DELTA, tuple(rows))
            assert {relay._destinations[d] for d in dirty} == set(relay._dirty)
        compare(rig, model, records)
        assert len(relay._departed_hosts) == sum(not host.listed for host in model.hosts.values())


def count_steps_of_updates(size: int) -> list[int]:
    """Count the instructions of one update of each kind, with so many destinations in the list."""
    rig = Rig(entries=[Entry(b"host-%d" % n, 0, 0, n, Phase.READY, 4.0) for n in range(size)])
    rig.relay.end_round(rig.now)
    make_iteration_countable(rig.relay)
    steps = []
    for phase in (Phase.GONE, Phase.READY, Phase.DRAINING, Phase.GONE, None):
        rows = (Entry(b"host-7", 0, 0, 7, phase, 4.0),) if phase else ()
        rig.now += 2 * FORGET_HOST_AFTER_NS if phase is None else SECOND
        steps.append(count_instructions(lambda: rig.relay.update_hosts(rig.now, Change.DELTA, rows)))  # noqa: B023
        rig.relay.end_round(rig.now)
    assert b"host-7" not in rig.relay._hosts and len(rig.relay._hosts) == size - 1
    return steps


def test_an_update_takes_as_many_steps_whatever_the_number_of_destinations():
    assert count_steps_of_updates(100) == count_steps_of_updates(1_000) == count_steps_of_updates(10_000)


def count_steps_of_a_lost_call(size: int) -> int:
    """Count the instructions of the end of a call lost on an idle connection, among so many destinations."""
    rig = Rig(entries=[Entry(b"host-%d" % n, 0, 1, n, Phase.READY, 4.0) for n in range(size)])
    rig.relay.end_round(rig.now)
    make_iteration_countable(rig.relay)
    for outcome in (Outcome.FULFILLED, Outcome.CUT_OFF):
        rig.add_packet(0, 7)
        rig.relay.end_round(rig.now)
        rig.now += SECOND
        steps = count_instructions(lambda: rig.end_call(rig.trips_in_flight()[-1], outcome))  # noqa: B023
        rig.now += SECOND
    assert rig.relay._hosts[b"host-7"].idle_losses
    return steps


def test_a_lost_call_takes_as_many_steps_whatever_the_number_of_destinations():
    assert (
        count_steps_of_a_lost_call(100)
        == count_steps_of_a_lost_call(1_000)
        == count_steps_of_a_lost_call(10_000)
    )


def test_a_host_that_moved_to_another_destination_kept_the_first_one():
    """Guards against calls for its old destination, and against the old one's limit, wait and health."""
    rig = Rig(entries=[entry(0, 0, kind=1), entry(1, 0, kind=1)])
    moving = rig.entries[0]
    old = rig.relay._hosts[moving.host]
    rig.add_packet(0, 0)
    rig.relay.end_round(rig.now)
    (trip,) = rig.trips_in_flight()
    old.slow_start_rate = 1.0
    rig.relay.apply_retry_after(rig.now, moving.host, rig.now + 5 * SECOND)
    moved = replace(moving, destination=1)
    assert rig.relay.update_hosts(rig.now, Change.DELTA, (moved,)) == [moving.host]
    new = rig.relay._hosts[moving.host]
    assert new in rig.relay._destinations[1].hosts and old not in rig.relay._destinations[0].hosts
    assert not new.slow_start_rate and new.limit_scope.retry_after_until < rig.now
    rig.end_call(trip, Outcome.FULFILLED)
    assert new.last_success_at == 0 and not new.in_flight
    rig.relay.update_hosts(rig.now, Change.DELTA, (replace(moved, phase=Phase.GONE),))
    rig.now += FORGET_HOST_AFTER_NS + 1
    assert rig.relay.update_hosts(rig.now, Change.DELTA, (moving,)) == []
    assert rig.relay._hosts[moving.host] in rig.relay._destinations[0].hosts
