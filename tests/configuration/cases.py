"""Simulated failure scenarios of configuration distribution; each takes a seed and the cores under test."""

from __future__ import annotations

from collections import Counter

from configuration.world import Cores, Folder, Network, Simulation

from millweir.configuration.core import DistributorRules
from millweir.configuration.messages import CAUGHT_UP, Delta, Edit, RefusalReason, encode_frame
from millweir.configuration.partition import compute_digest
from millweir.configuration.progress import LagReason

LOSSY = Network(loss_rate=0.1, duplicate_rate=0.1)
CORRUPTING = Network(corruption_rate=0.1)


def start_simulation(seed: int, cores: Cores, network: Network | None = None, **sizes: object) -> Simulation:
    """Start a simulation and run it until all relays have the store's versions."""
    simulation = Simulation(seed, cores, network=network, **sizes)
    simulation.start_relays()
    simulation.run_until_converged()
    return simulation


def collect_events(simulation: Simulation, kind: str) -> list:
    owners = [*simulation.relays.values(), *simulation.distributors.values()]
    return [event for owner in owners for event in owner.events if type(event).__name__ == kind]


def lossy_network(seed: int, cores: Cores) -> None:
    """Messages are lost, duplicated and reordered while changes are made."""
    simulation = start_simulation(seed, cores, LOSSY)
    simulation.make_changes(40, 1)
    simulation.make_changes(40, 30, edits=2)
    simulation.run_until_converged()
    assert not collect_events(simulation, "DigestsDisagree")


def distributor_crashes(seed: int, cores: Cores) -> None:
    """A distributor crashes: its relays move to others and receive the changes made meanwhile."""
    simulation = start_simulation(seed, cores, LOSSY)
    victim = simulation.relays["relay-0"].holder.distributor
    simulation.make_changes(10, 5)
    simulation.stop_distributor(victim)
    simulation.make_changes(20, 20)
    simulation.run_until_converged()
    assert all(relay.holder.distributor != victim for relay in simulation.relays.values())


def distributor_silent(seed: int, cores: Cores) -> None:
    """A distributor hangs with its connections open, so that only a time-out shows it to the relays."""
    simulation = start_simulation(seed, cores)
    victim = simulation.relays["relay-0"].holder.distributor
    simulation.distributors[victim].core = None
    simulation.make_changes(10, 20)
    simulation.run_until_converged()
    assert any(
        event.reason == "distributor timed out" for event in collect_events(simulation, "DistributorLeft")
    )


def distributor_behind(seed: int, cores: Cores) -> None:
    """A distributor loses the store: relays leave it, and no replica returns to an older version."""
    simulation = start_simulation(seed, cores)
    victim = simulation.relays["relay-0"].holder.distributor
    simulation.distributors[victim].store_unreachable = True
    simulation.make_changes(20, 20)
    simulation.run_until_converged()
    assert all(relay.holder.distributor != victim for relay in simulation.relays.values())
    assert any(
        event.reason == "distributor is behind the store"
        for event in collect_events(simulation, "DistributorLeft")
    )
    simulation.distributors[victim].store_unreachable = False
    for name in simulation.distributors:
        if name != victim:
            simulation.stop_distributor(name)
    simulation.run_for(5)
    simulation.make_change()
    simulation.run_until_converged()
    assert all(relay.holder.distributor == victim for relay in simulation.relays.values())


def distributor_restarts_empty(seed: int, cores: Cores) -> None:
    """The only distributor restarts empty: it refuses relays until it has loaded, then serves them again."""
    simulation = start_simulation(seed, cores)
    for name in list(simulation.distributors)[1:]:
        simulation.stop_distributor(name)
    simulation.run_until_converged()
    only = list(simulation.distributors)[0]
    simulation.make_changes(10, 3)
    simulation.distributors[only].store_unreachable = True
    simulation.stop_distributor(only)
    simulation.start_distributor(only)
    simulation.run_for(5)
    assert any(event.reason == "it is loading" for event in collect_events(simulation, "RelayUnavailable"))
    simulation.distributors[only].store_unreachable = False
    simulation.make_changes(10, 10)
    simulation.run_until_converged()


def relay_offline_for_an_hour(seed: int, cores: Cores) -> None:
    """A relay is offline for an hour: only the partition that outran the log is sent as a snapshot."""
    simulation = start_simulation(
        seed, cores, rules=DistributorRules(max_log_changes=8), distributors=2, relays=4
    )
    name = "relay-0"
    own_partitions = sorted(simulation.assignments[name].partitions)
    simulation.disconnect_relay(name)
    simulation.run_for(1)
    for _ in range(20):
        simulation.make_change(own_partitions[0])
    for partition_id in own_partitions[1:]:
        simulation.make_change(partition_id)
    simulation.run_for(3_600)
    lagging = {one.relay: one for one in simulation.progress.find_lagging()}
    assert name in lagging and lagging[name].reason is LagReason.DETACHED
    before = Counter(collect_events(simulation, "SnapshotStarted"))
    simulation.reconnect_relays()
    simulation.run_until_converged()
    started_now = Counter(collect_events(simulation, "SnapshotStarted")) - before
    assert {(event.relay, event.partition) for event in started_now} == {(name, own_partitions[0])}


def stale_folder(seed: int, cores: Cores) -> None:
    """A relay restarts with an old folder: it gets deltas from there and no snapshot."""
    simulation = start_simulation(seed, cores, keep_frames=True)
    name = "relay-0"
    old = simulation.relays[name].folder.copy()
    simulation.make_changes(30, 20)
    simulation.run_until_converged()
    simulation.stop_relay(name)
    snapshots = len(collect_events(simulation, "SnapshotStarted"))
    in_force = simulation.progress.in_force
    simulation.start_relay(name, old)
    simulation.run_until_converged()
    assert len(collect_events(simulation, "SnapshotStarted")) == snapshots
    assert simulation.progress.in_force >= in_force


def empty_folder(seed: int, cores: Cores) -> None:
    """A relay restarts without its folder: it gets snapshots within the byte budget, then deltas."""
    simulation = start_simulation(seed, cores, LOSSY, entries=60)
    simulation.stop_relay("relay-0")
    simulation.make_changes(10, 5)
    simulation.start_relay("relay-0", Folder())
    simulation.run_for(0.2)
    simulation.make_changes(20, 5)
    simulation.run_until_converged()


def corrupted_folder(seed: int, cores: Cores) -> None:
    """One stored partition does not match its digest: it is refused, reported and fetched in full."""
    simulation = start_simulation(seed, cores)
    name = "relay-0"
    simulation.stop_relay(name)
    partition_id = min(simulation.assignments[name].partitions)
    entries = simulation.relays[name].folder.replicas[partition_id].entries
    entries[next(iter(entries))] = b"garbled"
    simulation.relays[name].min_versions = {}
    simulation.start_relay(name)
    simulation.run_until_converged()
    refused = collect_events(simulation, "StoredPartitionRefused")
    assert [event.partition for event in refused] == [partition_id]


def corrupted_frames(seed: int, cores: Cores) -> None:
    """One bit is flipped in a tenth of the frames: they are refused as a whole, counted and sent again."""
    simulation = start_simulation(seed, cores, CORRUPTING)
    simulation.make_changes(40, 20)
    simulation.run_until_converged()
    assert collect_events(simulation, "ChangeRefused") and collect_events(
        simulation, "UnreadableFrameDropped"
    )


def version_gap(seed: int, cores: Cores) -> None:
    """A delta is lost: the next one is refused and the gap requested before any time-out."""
    simulation = start_simulation(seed, cores)
    name = "relay-0"
    partition_id = min(simulation.assignments[name].partitions)
    simulation.network.loss_rate = 1.0
    simulation.make_change(partition_id)
    for distributor in simulation.distributors.values():
        distributor.core.receive_change(simulation.now, simulation.store.log[-1])
        simulation.process_distributor_output(distributor)
    simulation.network.loss_rate = 0.0
    simulation.make_change(partition_id)
    asked_at = simulation.now
    simulation.run_until(
        lambda: simulation.relays[name].holder.replicas[partition_id].version == simulation.store.version,
        2,
        "filled",
    )
    assert simulation.now - asked_at < simulation.rules.acknowledgement_timeout_ns
    assert any(event.partition == partition_id for event in collect_events(simulation, "GapFound"))
    simulation.run_until_converged()


def lost_hello(seed: int, cores: Cores) -> None:
    """The first hello after a start is lost while the connection stays open: it is sent again."""
    simulation = start_simulation(seed, cores)
    simulation.stop_relay("relay-0")
    simulation.network.loss_rate = 1.0
    simulation.start_relay("relay-0")
    simulation.run_for(1)
    simulation.network.loss_rate = 0.0
    simulation.run_until(lambda: simulation.relays["relay-0"].holder._hello_answered, 5, "answered")
    simulation.run_until_converged()


def delta_with_wrong_digest(seed: int, cores: Cores) -> None:
    """A well-formed delta leads to entries that do not match its digest: it is refused, then fetched."""
    simulation = start_simulation(seed, cores)
    name = "relay-0"
    relay = simulation.relays[name]
    partition_id = min(simulation.assignments[name].partitions)
    replica = relay.holder.replicas[partition_id]
    edits = (Edit(b"destination", b"garbled"),)
    simulation.network.loss_rate = 1.0
    change = simulation.make_change(partition_id)
    simulation.network.loss_rate = 0.0
    delta = Delta(partition_id, replica.version, change.version, edits, change.digest)
    relay.holder.receive_frame(simulation.now, relay.holder.distributor, encode_frame(delta))
    simulation.process_relay_actions(relay)
    refused = collect_events(simulation, "ChangeRefused")
    assert [(one.partition, one.version, one.reason) for one in refused] == [
        (partition_id, change.version, RefusalReason.DIGEST)
    ]
    simulation.run_until_converged()


def late_snapshot(seed: int, cores: Cores) -> None:
    """A complete snapshot of an older version arrives after newer changes: it changes nothing."""
    simulation = start_simulation(seed, cores)
    relay = simulation.relays["relay-0"]
    partition_id = min(simulation.assignments[relay.name].partitions)
    distributor = simulation.distributors[relay.holder.distributor]
    late = distributor.core.partitions[partition_id].build_snapshot(partition_id, 2_000)
    simulation.make_change(partition_id)
    simulation.run_until_converged()
    for chunk in late:
        relay.holder.receive_frame(simulation.now, distributor.name, encode_frame(chunk))
        simulation.process_relay_actions(relay)
    simulation.run_until_converged()


def relay_and_distributor_crash(seed: int, cores: Cores) -> None:
    """A relay and its distributor crash: only the distributor's first full report shows the relay gone."""
    simulation = start_simulation(seed, cores)
    relay = simulation.relays["relay-0"]
    distributor = relay.holder.distributor
    simulation.stop_distributor(distributor)
    simulation.stop_relay(relay.name)
    simulation.start_distributor(distributor)
    simulation.run_for(10)
    change = simulation.make_change(min(simulation.assignments[relay.name].partitions))
    simulation.run_for(20)
    assert simulation.progress.in_force < change.version
    named = [
        one for one in simulation.progress.find_lagging_holders(change.partition) if one.relay == relay.name
    ]
    assert [one.reason for one in named] == [LagReason.DETACHED]
    simulation.start_relay(relay.name)
    simulation.run_until_converged()


def store_gap(seed: int, cores: Cores) -> None:
    """A distributor misses some changes of the store, then more than the store's log holds."""
    simulation = start_simulation(seed, cores)
    distributor = simulation.distributors[simulation.relays["relay-0"].holder.distributor]
    for missed in (5, 60):
        distributor.store_unreachable = True
        for _ in range(missed):
            simulation.make_change()
        simulation.run_for(2)
        distributor.store_unreachable = False
        simulation.make_change()
        simulation.run_until_converged()
    assert collect_events(simulation, "StoreGapFound")


def tamper_with_partition(simulation: Simulation, distributor: str, partition_id: int) -> None:
    """Make a distributor's entries differ from the store's, with a digest that matches them."""
    partition = simulation.distributors[distributor].core.partitions[partition_id]
    partition.entries[b"tampered"] = b""
    partition.digest = compute_digest(partition.entries)
    for name, relay in simulation.relays.items():
        if relay.holder.distributor == distributor:
            simulation.tampered_replicas.add((name, partition_id))


def distributors_disagree(seed: int, cores: Cores) -> None:
    """Distributors differ at one version: found when relays move, resolved by the store's digest."""
    simulation = start_simulation(seed, cores)
    names = list(simulation.distributors)
    partition_id = min(simulation.assignments["relay-0"].partitions)
    wrong = next(name for name in names if name != simulation.relays["relay-0"].holder.distributor)
    tamper_with_partition(simulation, wrong, partition_id)
    others = [name for name in names if name != wrong]
    for name in others:
        simulation.stop_distributor(name)
    simulation.run_for(5)
    for name in others:
        simulation.start_distributor(name)
    simulation.run_for(5)
    assert any(event.distributor == wrong for event in collect_events(simulation, "DistributorDistrusted"))
    assert collect_events(simulation, "DigestsDisagree")
    simulation.run_until_converged()
    finders = [
        relay for relay in simulation.relays.values() if "DistributorDistrusted" in relay.holder.event_counts
    ]
    assert finders and all(relay.holder.distributor != wrong for relay in finders)


def disagreeing_snapshot(seed: int, cores: Cores) -> None:
    """A relay without a folder gets wrong entries: they are replaced after the store's digest arrives."""
    simulation = start_simulation(seed, cores)
    name = "relay-0"
    wrong = simulation.relays[name].holder._distributor_order[0]
    partition_id = min(simulation.assignments[name].partitions)
    tamper_with_partition(simulation, wrong, partition_id)
    simulation.stop_relay(name)
    simulation.start_relay(name, Folder())
    simulation.tampered_replicas.add((name, partition_id))
    simulation.run_until_converged()
    assert simulation.relays[name].holder.distributor != wrong
    assert any(event.partition == partition_id for event in collect_events(simulation, "ReplicaReplaced"))


def distributor_refetches_partition(seed: int, cores: Cores) -> None:
    """A change does not lead to the store's digest: the distributor fetches the partition in full first."""
    simulation = start_simulation(seed, cores)
    wrong = simulation.relays["relay-0"].holder.distributor
    partition_id = min(simulation.assignments["relay-0"].partitions)
    tamper_with_partition(simulation, wrong, partition_id)
    simulation.make_change(partition_id)
    simulation.tampered_replicas.clear()
    simulation.run_until_converged()
    assert collect_events(simulation, "StoreDigestMismatch")
    assert (
        simulation.distributors[wrong].core.partitions[partition_id].entries
        == simulation.store.entries[partition_id]
    )


def partitions_reassigned(seed: int, cores: Cores) -> None:
    """Partitions are reassigned while changes are in flight on a lossy network."""
    simulation = start_simulation(seed, cores, LOSSY, relays=8)
    for _ in range(15):
        simulation.make_changes(2, 0.2)
        simulation.move_partition(simulation.rng.randrange(10))
        simulation.make_change()
    simulation.run_until_converged()

    def all_received() -> bool:
        """Checks removals too, which `in_force` does not wait for."""
        relays = simulation.relays.values()
        return all(
            set(relay.holder.replicas) == simulation.assignments[relay.name].partitions for relay in relays
        )

    simulation.run_until(all_received, 20, "all relays have their assignments")


def partition_removed_and_reassigned(seed: int, cores: Cores) -> None:
    """A partition is removed from a relay and reassigned by its caller; its distributor sees neither."""
    simulation = start_simulation(seed, cores)
    relay = simulation.relays["relay-0"]
    held = set(relay.holder.replicas)
    for wanted in (held - {min(held)}, held):
        relay.holder.update_assignment(simulation.now, relay.holder.assignment_version + 1, wanted)
        simulation.process_relay_actions(relay)
    simulation.run_for(0.5)
    simulation.assignment_version = max(simulation.assignment_version, relay.holder.assignment_version) - 1
    simulation.update_assignments({relay.name: held})
    simulation.run_until_converged()


def restart_wave(seed: int, cores: Cores) -> None:
    """All relays restart within two seconds, some without a folder, and distributors too, amid changes."""
    simulation = start_simulation(seed, cores, LOSSY, relays=10, distributors=4)
    for name in simulation.relays:
        simulation.stop_relay(name)
        if simulation.rng.random() < 0.3:
            simulation.stop_distributor(simulation.rng.choice(list(simulation.distributors)))
        simulation.make_changes(1, 0.2)
        simulation.start_relay(name, Folder() if simulation.rng.random() < 0.3 else None)
    for name, distributor in simulation.distributors.items():
        if distributor.core is None:
            simulation.start_distributor(name)
    simulation.make_changes(10, 5)
    simulation.run_until_converged()


def region_cut(seed: int, cores: Cores) -> None:
    """Half of the relays are unreachable for two minutes: the others continue, lagging ones are listed."""
    simulation = start_simulation(seed, cores)
    disconnected = [f"relay-{one}" for one in range(3)]
    for name in disconnected:
        simulation.disconnect_relay(name)
    changed = {simulation.make_change().partition for _ in range(30)}
    simulation.run_for(120)
    waiting = {name for name in disconnected if changed & simulation.assignments[name].partitions}
    lagging = {one.relay for one in simulation.progress.find_lagging()}
    assert lagging == set(disconnected)
    assert simulation.progress.in_force < simulation.store.version or not waiting
    for partition_id in changed:
        named = {one.relay for one in simulation.progress.find_lagging_holders(partition_id)}
        assert named == {
            name for name in disconnected if partition_id in simulation.assignments[name].partitions
        }
    simulation.reconnect_relays()
    simulation.run_until_converged()


def full_distributors(seed: int, cores: Cores) -> None:
    """A distributor serves no more relays than its limit; the others take the rest."""
    simulation = start_simulation(seed, cores, rules=DistributorRules(max_relays=2), distributors=4)
    served = [len(distributor.core.sessions) for distributor in simulation.distributors.values()]
    assert max(served) <= 2 and sum(served) == 6


def burst_of_changes(seed: int, cores: Cores) -> None:
    """Fifty changes in a second to partitions that every relay holds stay within the byte budget."""
    simulation = start_simulation(seed, cores, replicas=6, partitions=2)
    before = simulation.store.version
    for _ in range(50):
        simulation.run_for(0.02)
        simulation.make_change()
    simulation.run_until(lambda: simulation.progress.in_force == before + 50, 11, "in force everywhere")


def fair_bandwidth(seed: int, cores: Cores) -> None:
    """A distributor's byte rate is below what its relays could take: all get the same share."""
    rules = DistributorRules(total_bytes_per_second=6_000, total_burst_bytes=4_000)
    simulation = Simulation(seed, cores, distributors=1, partitions=6, replicas=6, entries=60, rules=rules)
    simulation.start_relays()
    simulation.run_for(5)
    before = {
        connection_id: connection.bytes_to_relay
        for connection_id, connection in simulation.connections.items()
    }
    simulation.run_for(20)
    assert simulation.connections.keys() == before.keys(), "a relay got no frame for so long that it left"
    shares = [
        connection.bytes_to_relay - before[connection_id]
        for connection_id, connection in simulation.connections.items()
    ]
    assert len(shares) == 6 and sum(shares) <= 6_000 * 20 + 4_000
    assert max(shares) - min(shares) <= 2 * 2_300, shares
    simulation.run_until_converged()


def delta_overtakes_snapshots(seed: int, cores: Cores) -> None:
    """A relay that is receiving snapshots gets a change of a complete partition within a second."""
    simulation = Simulation(seed, cores, partitions=6, replicas=6, entries=60)
    simulation.start_relays()
    replicas = simulation.relays["relay-0"].holder.replicas
    simulation.run_until(
        lambda: any(one.version for one in replicas.values()), 20, "one partition is complete"
    )
    partition_id = next(partition_id for partition_id, one in replicas.items() if one.version)
    change = simulation.make_change(partition_id)
    simulation.run_for(1)
    assert replicas[partition_id].version == change.version
    assert not all(one.version for one in replicas.values())
    simulation.run_until_converged()


def large_delta(seed: int, cores: Cores) -> None:
    """Missing changes exceed one message: several bounded deltas are sent in order, no snapshot."""
    simulation = start_simulation(seed, cores, replicas=6, partitions=1, keep_frames=True)
    simulation.disconnect_relay("relay-0")
    for _ in range(30):
        simulation.make_change(edits=3)
    simulation.run_for(5)
    snapshots = len(collect_events(simulation, "SnapshotStarted"))
    simulation.reconnect_relays()
    simulation.run_until_converged()
    connection = simulation.connections[simulation.relays["relay-0"].connection_id]
    deltas = [one for one in connection.frames if isinstance(one, Delta)]
    assert len(deltas) > 1 and len(collect_events(simulation, "SnapshotStarted")) == snapshots


def lost_reports(seed: int, cores: Cores) -> None:
    """Reports are lost and duplicated: a gap in their sequence leads to a full report."""
    simulation = start_simulation(seed, cores, Network(loss_rate=0.4, duplicate_rate=0.4))
    simulation.make_changes(20, 20)
    simulation.run_until_converged(300)


def reassigned_before_report(seed: int, cores: Cores) -> None:
    """A distributor without the new assignment reports a relay as caught up that lacks a partition."""
    simulation = start_simulation(seed, cores, relays=12)
    name = "relay-0"
    distributor = simulation.distributors[simulation.relays[name].holder.distributor]
    partition_id = next(one for one in range(10) if one not in simulation.assignments[name].partitions)
    assign = distributor.core.update_assignments
    distributor.core.update_assignments = lambda now, version, assignments: None
    simulation.update_assignments({name: set(simulation.assignments[name].partitions) | {partition_id}})
    distributor.core.update_assignments = assign
    change = simulation.make_change(partition_id)
    simulation.run_for(20)
    assert simulation.progress.in_force < change.version
    distributor.core.update_assignments(simulation.now, simulation.assignment_version, simulation.assignments)
    simulation.process_distributor_output(distributor)
    simulation.run_until_converged()
    assert all(row.acknowledged_version == CAUGHT_UP for row in distributor.core._reported_rows.values())


def all_faults(seed: int, cores: Cores) -> None:
    """All faults at random, for a minute."""
    simulation = start_simulation(
        seed,
        cores,
        Network(loss_rate=0.05, duplicate_rate=0.1, corruption_rate=0.02),
        distributors=4,
        relays=8,
    )
    simulation.max_events = 200_000
    rng = simulation.rng
    folders = {name: relay.folder.copy() for name, relay in simulation.relays.items()}
    for _ in range(40):
        simulation.make_changes(2, 1.0)
        name = rng.choice(list(simulation.relays))
        distributor = rng.choice(list(simulation.distributors))
        fault = rng.randrange(7)
        if fault == 0:
            simulation.stop_relay(name)
            simulation.start_relay(name, rng.choice([None, Folder(), folders[name]]))
        elif fault == 1 and simulation.distributors[distributor].core is not None:
            simulation.stop_distributor(distributor)
        elif fault == 2 and simulation.distributors[distributor].core is None:
            simulation.start_distributor(distributor)
        elif fault == 3:
            simulation.distributors[distributor].store_unreachable ^= True
        elif fault == 4:
            simulation.move_partition(rng.randrange(10))
        elif fault == 5:
            simulation.disconnect_relay(name)
        else:
            simulation.reconnect_relays()
    simulation.reconnect_relays()
    for name, distributor in simulation.distributors.items():
        distributor.store_unreachable = False
        if distributor.core is None:
            simulation.start_distributor(name)
    simulation.run_until_converged(300)


CASES = {
    function.__name__.replace("_", "-"): function
    for function in (
        lossy_network,
        distributor_crashes,
        distributor_silent,
        distributor_behind,
        distributor_restarts_empty,
        relay_offline_for_an_hour,
        stale_folder,
        empty_folder,
        corrupted_folder,
        corrupted_frames,
        version_gap,
        lost_hello,
        late_snapshot,
        relay_and_distributor_crash,
        delta_with_wrong_digest,
        store_gap,
        distributors_disagree,
        disagreeing_snapshot,
        distributor_refetches_partition,
        partitions_reassigned,
        partition_removed_and_reassigned,
        restart_wave,
        region_cut,
        full_distributors,
        burst_of_changes,
        fair_bandwidth,
        delta_overtakes_snapshots,
        large_delta,
        lost_reports,
        reassigned_before_report,
        all_faults,
    )
}
