"""Changes of the list of hosts: what they do, against a plain model that walks all hosts, and their steps."""

from __future__ import annotations

import random
from dataclasses import dataclass

import pytest
from rig import Rig, entry

from millweir.control import FORGOTTEN_AFTER
from millweir.interface import SECOND, Change, Entry, Outcome, Phase
from millweir.lab.scale.steps import count_instructions, walk_in_python

DESTINATIONS = 4
HOSTS_EACH = 4


@dataclass(slots=True)
class ModelHost:
    """What the model knows of one host."""

    destination: int
    rate: float
    life: int  # which of the hosts met under that name
    listed: bool = True
    ready: bool = True
    left_at: int = 0
    departed_with: int = 0  # `left_at` as it was when the list named it no more


class Model:
    """The list's meaning, written as a walk of all hosts for each change."""

    def __init__(self, relay) -> None:
        self.relay = relay  # asked only for calls out
        self.hosts: dict[bytes, ModelHost] = {}
        self.cordoned: dict[bytes, int] = {}
        self.lives = 0

    def told(self, now: int, change: Change, entries: list[Entry], grace: int) -> set[int]:
        """Take in a list; returns the destinations at which something has changed."""
        named = {row.host for row in entries}
        dirty = set()
        for name, host in list(self.hosts.items()):
            gone = name not in named
            if change is Change.DELTA:
                gone = any(row.host == name and row.phase is Phase.GONE for row in entries)
            if host.listed and gone:
                host.listed = False
                host.left_at = host.departed_with = host.left_at or now
                dirty.add(host.destination)
            elif not host.listed and now - host.departed_with > FORGOTTEN_AFTER:
                if not self.relay._hosts[name].out:
                    del self.hosts[name]
        for row in entries:
            if row.phase is Phase.GONE:
                continue
            host = self.hosts.get(row.host)
            if host is None:
                self.lives += 1
                host = self.hosts[row.host] = ModelHost(row.destination, row.rate, self.lives)
            host.listed, host.rate = True, row.rate
            host.ready = row.phase is Phase.READY
            since = self.cordoned.get(row.host, 0)
            told = max(1, now - grace) if change is Change.CACHED else now
            host.left_at = 0 if host.ready and not since else host.left_at or since or told
            dirty.add(host.destination)
        return dirty

    def cordon(self, name: bytes, out: bool, since: int) -> bool:
        host = self.hosts.get(name)
        if host is None and name not in self.cordoned:
            return False
        if out:
            self.cordoned.setdefault(name, since)
        elif self.cordoned.pop(name, 0) and host and host.ready:
            host.left_at = 0
        if host:
            host.left_at = host.left_at or self.cordoned.get(name, 0)
        return True


def a_row(chance: random.Random, phases: tuple[Phase, ...]) -> Entry:
    number = chance.randrange(HOSTS_EACH)
    rate = chance.choice((2.0, 4.0))  # of a host whose limit is its own
    return entry(chance.randrange(DESTINATIONS), number, kind=1, phase=chance.choice(phases), rate=rate)


def compare(rig: Rig, model: Model, lives: dict[int, object]) -> None:
    """The same hosts, each in the same state, and each the very record that it was before."""
    relay = rig.relay
    assert list(relay._hosts) == list(model.hosts)
    for name, expected in model.hosts.items():
        host = relay._hosts[name]
        assert (host in host.destination.hosts) == expected.listed
        assert (host.left_at, host.ready) == (expected.left_at, expected.ready)
        assert host.route.listed == expected.rate
        assert lives.setdefault(expected.life, host) is host  # with its wait, doubt and route


@pytest.mark.parametrize("seed", range(12))
def test_changes_do_the_same_as_a_walk_of_all_hosts(seed):
    chance = random.Random(seed)
    rig = Rig(seed, entries=[entry(d, n, kind=1) for d in range(DESTINATIONS) for n in range(HOSTS_EACH)])
    relay, model, lives = rig.relay, Model(rig.relay), {}
    grace = relay._grace
    model.told(rig.now, Change.CACHED, rig.entries, grace)
    for _ in range(600):
        rig.now += chance.choice((0, 1, SECOND, 7 * SECOND, FORGOTTEN_AFTER, FORGOTTEN_AFTER + 1))
        relay.round_over(rig.now)
        assert not relay._stirred
        what = chance.random()
        if what < 0.1:
            host, out = chance.choice(list(relay._hosts) or [b"none"]), chance.random() < 0.5
            assert relay.host_cordoned(rig.now, host, out, rig.now) == model.cordon(host, out, rig.now)
        elif what < 0.2 and relay._hosts:
            host = relay._hosts[chance.choice(list(relay._hosts))]
            host.out = 0 if host.out else 1  # a call that stays out for as long as it likes
        elif what < 0.3:
            change = chance.choice((Change.FULL, Change.CACHED))
            rows = {
                row.host: row for row in (a_row(chance, (Phase.READY, Phase.DRAINING)) for _ in range(12))
            }
            dirty = model.told(rig.now, change, list(rows.values()), grace)
            relay.list_told(rig.now, change, tuple(rows.values()))
            assert {relay._destinations[d] for d in dirty} == set(relay._stirred)
        else:
            rows = [a_row(chance, (Phase.GONE, *Phase)) for _ in range(chance.choice((0, 1, 1, 1, 3)))]
            dirty = model.told(rig.now, Change.DELTA, rows, grace)
            relay.list_told(rig.now, Change.DELTA, tuple(rows))
            assert {relay._destinations[d] for d in dirty} == set(relay._stirred)
        compare(rig, model, lives)
        assert len(relay._departed) == sum(not host.listed for host in model.hosts.values())


def steps_of_changes(size: int) -> list[int]:
    """Instructions of one change of each sort, where the list names so many destinations."""
    rig = Rig(entries=[Entry(b"host-%d" % n, 0, 0, n, Phase.READY, 4.0) for n in range(size)])
    rig.relay.round_over(rig.now)
    walk_in_python(rig.relay)
    steps = []
    for phase in (Phase.GONE, Phase.READY, Phase.DRAINING, Phase.GONE, None):
        rows = (Entry(b"host-7", 0, 0, 7, phase, 4.0),) if phase else ()
        rig.now += 2 * FORGOTTEN_AFTER if phase is None else SECOND
        steps.append(count_instructions(lambda: rig.relay.list_told(rig.now, Change.DELTA, rows)))  # noqa: B023
        rig.relay.round_over(rig.now)
    assert b"host-7" not in rig.relay._hosts and len(rig.relay._hosts) == size - 1
    return steps


def test_a_change_takes_as_many_steps_whatever_the_number_of_destinations():
    assert steps_of_changes(100) == steps_of_changes(1_000) == steps_of_changes(10_000)


def steps_of_a_lost_call(size: int) -> int:
    """Instructions of the end of a call that was lost on an idle link, among so many destinations."""
    rig = Rig(entries=[Entry(b"host-%d" % n, 0, 1, n, Phase.READY, 4.0) for n in range(size)])
    rig.relay.round_over(rig.now)
    walk_in_python(rig.relay)
    for outcome in (Outcome.FULFILLED, Outcome.CUT_OFF):
        rig.take(0, 7)
        rig.relay.round_over(rig.now)
        rig.now += SECOND
        steps = count_instructions(lambda: rig.end(rig.out()[-1], outcome))  # noqa: B023
        rig.now += SECOND
    assert rig.relay._hosts[b"host-7"].lost
    return steps


def test_a_lost_call_takes_as_many_steps_whatever_the_number_of_destinations():
    assert steps_of_a_lost_call(100) == steps_of_a_lost_call(1_000) == steps_of_a_lost_call(10_000)
