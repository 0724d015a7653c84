"""The hard cases of configuration told by partition, simulated; each takes a seed and the cores."""

from __future__ import annotations

from collections import Counter

from configuration.world import Cores, Folder, Network, World

from millweir.configuration.core import DistributorRules
from millweir.configuration.messages import CAUGHT_UP, Delta, Edit, RefusalReason, encode_frame
from millweir.configuration.partition import digest_of
from millweir.configuration.progress import LagReason

ROUGH = Network(loss=0.1, repeat=0.1)
GARBLING = Network(garble=0.1)


def started(seed: int, cores: Cores, network: Network | None = None, **sizes: object) -> World:
    """All relays up and on the register's versions."""
    world = World(seed, cores, network=network, **sizes)
    world.start_relays()
    world.settle()
    return world


def events_of(world: World, kind: str) -> list:
    owners = [*world.relays.values(), *world.machines.values()]
    return [event for owner in owners for event in owner.events if type(event).__name__ == kind]


def rough_network(seed: int, cores: Cores) -> None:
    """Messages lost, repeated and overtaking each other, with changes throughout."""
    world = started(seed, cores, ROUGH)
    world.changes(40, 1)
    world.changes(40, 30, edits=2)
    world.settle()
    assert not events_of(world, "DistributorsDisagree")


def distributor_dies(seed: int, cores: Cores) -> None:
    """Its relays go to others, and changes of that time come to them there."""
    world = started(seed, cores, ROUGH)
    victim = world.relays["relay-0"].holder.distributor
    world.changes(10, 5)
    world.kill_machine(victim)
    world.changes(20, 20)
    world.settle()
    assert all(relay.holder.distributor != victim for relay in world.relays.values())


def distributor_silent(seed: int, cores: Cores) -> None:
    """It hangs with its connections open: no end of a connection tells the relays."""
    world = started(seed, cores)
    victim = world.relays["relay-0"].holder.distributor
    world.machines[victim].core = None
    world.changes(10, 20)
    world.settle()
    assert any(event.reason == "it is silent" for event in events_of(world, "DistributorLeft"))


def distributor_behind(seed: int, cores: Cores) -> None:
    """It is cut off from the register: relays leave it, nobody goes back a version."""
    world = started(seed, cores)
    victim = world.relays["relay-0"].holder.distributor
    world.machines[victim].register_cut = True
    world.changes(20, 20)
    world.settle()
    assert all(relay.holder.distributor != victim for relay in world.relays.values())
    assert any(event.reason == "it lies behind" for event in events_of(world, "DistributorLeft"))
    world.machines[victim].register_cut = False
    for name in world.machines:
        if name != victim:
            world.kill_machine(name)
    world.run(5)
    world.change()
    world.settle()
    assert all(relay.holder.distributor == victim for relay in world.relays.values())


def distributor_restarts_empty(seed: int, cores: Cores) -> None:
    """It sends relays away until it has loaded; then it serves them again, alone."""
    world = started(seed, cores)
    for name in list(world.machines)[1:]:
        world.kill_machine(name)
    world.settle()
    only = list(world.machines)[0]
    world.changes(10, 3)
    world.machines[only].register_cut = True
    world.kill_machine(only)
    world.start_machine(only)
    world.run(5)
    assert any(event.reason == "it is loading" for event in events_of(world, "RelayUnavailable"))
    world.machines[only].register_cut = False
    world.changes(10, 10)
    world.settle()


def relay_sleeps(seed: int, cores: Cores) -> None:
    """An hour without a turn; further behind than the log in one partition, within it in the others."""
    world = started(seed, cores, rules=DistributorRules(log_most=8), machines=2, relays=4)
    name = "relay-0"
    mine = sorted(world.moves[name].partitions)
    world.cut_relay(name)
    world.run(1)
    for _ in range(20):
        world.change(mine[0])
    for number in mine[1:]:
        world.change(number)
    world.run(3_600)
    lagging = {one.relay: one for one in world.progress.lagging()}
    assert name in lagging and lagging[name].reason is LagReason.DETACHED
    before = Counter(events_of(world, "SnapshotStarted"))
    world.heal()
    world.settle()
    started_now = Counter(events_of(world, "SnapshotStarted")) - before
    assert {(event.relay, event.partition) for event in started_now} == {(name, mine[0])}


def old_folder(seed: int, cores: Cores) -> None:
    """A relay comes back with last week's folder: deltas from there, no snapshot."""
    world = started(seed, cores, keep_frames=True)
    name = "relay-0"
    old = world.relays[name].folder.copy()
    world.changes(30, 20)
    world.settle()
    world.kill_relay(name)
    snapshots = len(events_of(world, "SnapshotStarted"))
    in_force = world.progress.in_force
    world.start_relay(name, old)
    world.settle()
    assert len(events_of(world, "SnapshotStarted")) == snapshots
    assert world.progress.in_force >= in_force


def empty_folder(seed: int, cores: Cores) -> None:
    """A relay comes back without its folder: snapshots within the byte budget, then deltas."""
    world = started(seed, cores, ROUGH, entries=60)
    world.kill_relay("relay-0")
    world.changes(10, 5)
    world.start_relay("relay-0", Folder())
    world.run(0.2)
    world.changes(20, 5)
    world.settle()


def garbled_folder(seed: int, cores: Cores) -> None:
    """One stored partition does not have its digest: it is refused, named and fetched whole."""
    world = started(seed, cores)
    name = "relay-0"
    world.kill_relay(name)
    number = min(world.moves[name].partitions)
    entries = world.relays[name].folder.replicas[number].entries
    entries[next(iter(entries))] = b"garbled"
    world.relays[name].floors = {}
    world.start_relay(name)
    world.settle()
    refused = events_of(world, "StoredPartitionRefused")
    assert [event.partition for event in refused] == [number]


def garbled_messages(seed: int, cores: Cores) -> None:
    """One bit of each tenth frame is wrong: refused whole, counted, and sent again."""
    world = started(seed, cores, GARBLING)
    world.changes(40, 20)
    world.settle()
    assert events_of(world, "ChangeRefused") and events_of(world, "FrameRefused")


def version_gap(seed: int, cores: Cores) -> None:
    """A delta in the middle is lost: the next one is refused and the gap asked for, before any time-out."""
    world = started(seed, cores)
    name = "relay-0"
    number = min(world.moves[name].partitions)
    world.network.loss = 1.0
    world.change(number)
    for machine in world.machines.values():
        machine.core.change(world.now, world.register.log[-1])
        world.after_machine(machine)
    world.network.loss = 0.0
    world.change(number)
    asked_at = world.now
    world.run_until(
        lambda: world.relays[name].holder.replicas[number].version == world.register.version, 2, "filled"
    )
    assert world.now - asked_at < world.rules.retry_after
    assert any(event.partition == number for event in events_of(world, "GapFound"))
    world.settle()


def lost_hello(seed: int, cores: Cores) -> None:
    """The first hello after a start is lost, with the connection standing."""
    world = started(seed, cores)
    world.kill_relay("relay-0")
    world.network.loss = 1.0
    world.start_relay("relay-0")
    world.run(1)
    world.network.loss = 0.0
    world.run_until(lambda: world.relays["relay-0"].holder._answered, 5, "answered")
    world.settle()


def wrong_delta(seed: int, cores: Cores) -> None:
    """A delta reads well but leads to other entries than its digest says: refused whole, then fetched."""
    world = started(seed, cores)
    name = "relay-0"
    relay = world.relays[name]
    number = min(world.moves[name].partitions)
    replica = relay.holder.replicas[number]
    edits = (Edit(b"destination", b"garbled"),)
    world.network.loss = 1.0
    change = world.change(number)
    world.network.loss = 0.0
    delta = Delta(number, replica.version, change.version, edits, change.digest)
    relay.holder.receive(world.now, relay.holder.distributor, encode_frame(delta))
    world.after_relay(relay)
    refused = events_of(world, "ChangeRefused")
    assert [(one.partition, one.version, one.reason) for one in refused] == [
        (number, change.version, RefusalReason.DIGEST)
    ]
    world.settle()


def late_snapshot(seed: int, cores: Cores) -> None:
    """A whole snapshot of an older version comes after newer changes: it changes nothing."""
    world = started(seed, cores)
    relay = world.relays["relay-0"]
    number = min(world.moves[relay.name].partitions)
    machine = world.machines[relay.holder.distributor]
    late = machine.core.partitions[number].snapshot(number, 2_000)
    world.change(number)
    world.settle()
    for chunk in late:
        relay.holder.receive(world.now, machine.name, encode_frame(chunk))
        world.after_relay(relay)
    world.settle()


def relay_and_distributor_die(seed: int, cores: Cores) -> None:
    """Nobody tells that the relay is gone but the distributor's next life, which does not have it."""
    world = started(seed, cores)
    relay = world.relays["relay-0"]
    machine = relay.holder.distributor
    world.kill_machine(machine)
    world.kill_relay(relay.name)
    world.start_machine(machine)
    world.run(10)
    change = world.change(min(world.moves[relay.name].partitions))
    world.run(20)
    assert world.progress.in_force < change.version
    named = [one for one in world.progress.lagging_on(change.partition) if one.relay == relay.name]
    assert [one.reason for one in named] == [LagReason.DETACHED]
    world.start_relay(relay.name)
    world.settle()


def register_gap(seed: int, cores: Cores) -> None:
    """A distributor misses changes of the register, then more than the register's log."""
    world = started(seed, cores)
    machine = world.machines[world.relays["relay-0"].holder.distributor]
    for missed in (5, 60):
        machine.register_cut = True
        for _ in range(missed):
            world.change()
        world.run(2)
        machine.register_cut = False
        world.change()
        world.settle()
    assert events_of(world, "RegisterGap")


def tamper(world: World, machine: str, number: int) -> None:
    """A distributor's entries differ from the register's, with a digest of their own."""
    partition = world.machines[machine].core.partitions[number]
    partition.entries[b"tampered"] = b""
    partition.digest = digest_of(partition.entries)
    for name, relay in world.relays.items():
        if relay.holder.distributor == machine:
            world.tampered.add((name, number))


def distributors_disagree(seed: int, cores: Cores) -> None:
    """Same partition and version, other entries: found on a move, settled by the register."""
    world = started(seed, cores)
    names = list(world.machines)
    number = min(world.moves["relay-0"].partitions)
    wrong = next(name for name in names if name != world.relays["relay-0"].holder.distributor)
    tamper(world, wrong, number)
    others = [name for name in names if name != wrong]
    for name in others:
        world.kill_machine(name)
    world.run(5)
    for name in others:
        world.start_machine(name)
    world.run(5)
    assert any(event.distributor == wrong for event in events_of(world, "DistributorDistrusted"))
    assert events_of(world, "DistributorsDisagree")
    world.settle()
    finders = [relay for relay in world.relays.values() if "DistributorDistrusted" in relay.holder.counts]
    assert finders and all(relay.holder.distributor != wrong for relay in finders)


def disagreeing_snapshot(seed: int, cores: Cores) -> None:
    """A relay without a folder gets the wrong entries: the register's word has them replaced."""
    world = started(seed, cores)
    name = "relay-0"
    wrong = world.relays[name].holder._order[0]
    number = min(world.moves[name].partitions)
    tamper(world, wrong, number)
    world.kill_relay(name)
    world.start_relay(name, Folder())
    world.tampered.add((name, number))
    world.settle()
    assert world.relays[name].holder.distributor != wrong
    assert any(event.partition == number for event in events_of(world, "ReplicaReplaced"))


def distributor_repairs_itself(seed: int, cores: Cores) -> None:
    """The next change does not lead to the register's digest: it is fetched whole first."""
    world = started(seed, cores)
    wrong = world.relays["relay-0"].holder.distributor
    number = min(world.moves["relay-0"].partitions)
    tamper(world, wrong, number)
    world.change(number)
    world.tampered.clear()
    world.settle()
    assert events_of(world, "RegisterMismatch")
    assert world.machines[wrong].core.partitions[number].entries == world.register.entries[number]


def partitions_move(seed: int, cores: Cores) -> None:
    """Partitions go to other relays while changes are under way, on a rough network."""
    world = started(seed, cores, ROUGH, relays=8)
    for _ in range(15):
        world.changes(2, 0.2)
        world.move(world.chance.randrange(10))
        world.change()
    world.settle()

    def told() -> bool:
        """Removals too, which no change waits for."""
        relays = world.relays.values()
        return all(set(relay.holder.replicas) == world.moves[relay.name].partitions for relay in relays)

    world.run_until(told, 20, "all are told what is theirs")


def partition_comes_back(seed: int, cores: Cores) -> None:
    """A relay is told by its caller that a partition went and came back; its distributor saw neither."""
    world = started(seed, cores)
    relay = world.relays["relay-0"]
    held = set(relay.holder.replicas)
    for wanted in (held - {min(held)}, held):
        relay.holder.assign(world.now, relay.holder.assignment + 1, wanted)
        world.after_relay(relay)
    world.run(0.5)
    world.assignment = max(world.assignment, relay.holder.assignment) - 1
    world.assign({relay.name: held})
    world.settle()


def restart_wave(seed: int, cores: Cores) -> None:
    """All relays within two seconds, some without a folder; distributors too; changes throughout."""
    world = started(seed, cores, ROUGH, relays=10, machines=4)
    for name in world.relays:
        world.kill_relay(name)
        if world.chance.random() < 0.3:
            world.kill_machine(world.chance.choice(list(world.machines)))
        world.changes(1, 0.2)
        world.start_relay(name, Folder() if world.chance.random() < 0.3 else None)
    for name, machine in world.machines.items():
        if machine.core is None:
            world.start_machine(name)
    world.changes(10, 5)
    world.settle()


def region_cut(seed: int, cores: Cores) -> None:
    """Half of the relays reach nobody for two minutes; the others go on, and who lacks what is named."""
    world = started(seed, cores)
    away = [f"relay-{one}" for one in range(3)]
    for name in away:
        world.cut_relay(name)
    changed = {world.change().partition for _ in range(30)}
    world.run(120)
    waiting = {name for name in away if changed & world.moves[name].partitions}
    lagging = {one.relay for one in world.progress.lagging()}
    assert lagging == set(away)
    assert world.progress.in_force < world.register.version or not waiting
    for number in changed:
        named = {one.relay for one in world.progress.lagging_on(number)}
        assert named == {name for name in away if number in world.moves[name].partitions}
    world.heal()
    world.settle()


def full_distributors(seed: int, cores: Cores) -> None:
    """A distributor serves no more relays than it may; the others take the rest."""
    world = started(seed, cores, rules=DistributorRules(relays_most=2), machines=4)
    served = [len(machine.core.sessions) for machine in world.machines.values()]
    assert max(served) <= 2 and sum(served) == 6


def burst(seed: int, cores: Cores) -> None:
    """Fifty changes in a second to partitions that every relay holds: within the budget."""
    world = started(seed, cores, replicas=6, partitions=2)
    before = world.register.version
    for _ in range(50):
        world.run(0.02)
        world.change()
    world.run_until(lambda: world.progress.in_force == before + 50, 11, "in force everywhere")


def fair_shares(seed: int, cores: Cores) -> None:
    """A distributor's bytes are fewer than its relays could take: all get the same."""
    rules = DistributorRules(total_rate=6_000, total_burst=4_000)
    world = World(seed, cores, machines=1, partitions=6, replicas=6, entries=60, rules=rules)
    world.start_relays()
    world.run(5)
    before = {number: link.bytes_to_relay for number, link in world.links.items()}
    world.run(20)
    assert world.links.keys() == before.keys(), "a relay was left without a word and went away"
    shares = [link.bytes_to_relay - before[number] for number, link in world.links.items()]
    assert len(shares) == 6 and sum(shares) <= 6_000 * 20 + 4_000
    assert max(shares) - min(shares) <= 2 * 2_300, shares
    world.settle()


def delta_overtakes_snapshots(seed: int, cores: Cores) -> None:
    """A relay that gets partitions whole has a change of one that it has already within a second."""
    world = World(seed, cores, partitions=6, replicas=6, entries=60)
    world.start_relays()
    replicas = world.relays["relay-0"].holder.replicas
    world.run_until(lambda: any(one.version for one in replicas.values()), 20, "one is filled")
    number = next(number for number, one in replicas.items() if one.version)
    change = world.change(number)
    world.run(1)
    assert replicas[number].version == change.version
    assert not all(one.version for one in replicas.values())
    world.settle()


def wide_delta(seed: int, cores: Cores) -> None:
    """What a relay lacks is longer than one message: deltas of bounded length, in order, no snapshot."""
    world = started(seed, cores, replicas=6, partitions=1, keep_frames=True)
    world.cut_relay("relay-0")
    for _ in range(30):
        world.change(edits=3)
    world.run(5)
    snapshots = len(events_of(world, "SnapshotStarted"))
    world.heal()
    world.settle()
    link = world.links[world.relays["relay-0"].link]
    deltas = [one for one in link.frames if isinstance(one, Delta)]
    assert len(deltas) > 1 and len(events_of(world, "SnapshotStarted")) == snapshots


def lost_reports(seed: int, cores: Cores) -> None:
    """Reports are lost and repeated: a gap in their numbers brings a full one."""
    world = started(seed, cores, Network(loss=0.4, repeat=0.4))
    world.changes(20, 20)
    world.settle(300)


def moved_while_reported(seed: int, cores: Cores) -> None:
    """A distributor that has not heard of a move yet reports a relay caught up that lacks it."""
    world = started(seed, cores, relays=12)
    name = "relay-0"
    machine = world.machines[world.relays[name].holder.distributor]
    number = next(one for one in range(10) if one not in world.moves[name].partitions)
    assign = machine.core.assign
    machine.core.assign = lambda now, version, moves: None
    world.assign({name: set(world.moves[name].partitions) | {number}})
    machine.core.assign = assign
    change = world.change(number)
    world.run(20)
    assert world.progress.in_force < change.version
    machine.core.assign(world.now, world.assignment, world.moves)
    world.after_machine(machine)
    world.settle()
    assert all(row.floor == CAUGHT_UP for row in machine.core._reported.values())


def everything(seed: int, cores: Cores) -> None:
    """All troubles at random, for a minute."""
    world = started(seed, cores, Network(loss=0.05, repeat=0.1, garble=0.02), machines=4, relays=8)
    world.steps_most = 200_000
    chance = world.chance
    folders = {name: relay.folder.copy() for name, relay in world.relays.items()}
    for _ in range(40):
        world.changes(2, 1.0)
        name = chance.choice(list(world.relays))
        machine = chance.choice(list(world.machines))
        trouble = chance.randrange(7)
        if trouble == 0:
            world.kill_relay(name)
            world.start_relay(name, chance.choice([None, Folder(), folders[name]]))
        elif trouble == 1 and world.machines[machine].core is not None:
            world.kill_machine(machine)
        elif trouble == 2 and world.machines[machine].core is None:
            world.start_machine(machine)
        elif trouble == 3:
            world.machines[machine].register_cut ^= True
        elif trouble == 4:
            world.move(chance.randrange(10))
        elif trouble == 5:
            world.cut_relay(name)
        else:
            world.heal()
    world.heal()
    for name, machine in world.machines.items():
        machine.register_cut = False
        if machine.core is None:
            world.start_machine(name)
    world.settle(300)


CASES = {
    function.__name__.replace("_", "-"): function
    for function in (
        rough_network,
        distributor_dies,
        distributor_silent,
        distributor_behind,
        distributor_restarts_empty,
        relay_sleeps,
        old_folder,
        empty_folder,
        garbled_folder,
        garbled_messages,
        version_gap,
        lost_hello,
        late_snapshot,
        relay_and_distributor_die,
        wrong_delta,
        register_gap,
        distributors_disagree,
        disagreeing_snapshot,
        distributor_repairs_itself,
        partitions_move,
        partition_comes_back,
        restart_wave,
        region_cut,
        full_distributors,
        burst,
        fair_shares,
        delta_overtakes_snapshots,
        wide_delta,
        lost_reports,
        moved_while_reported,
        everything,
    )
}
