"""Mutants of the cores: each changes one statement, and names the scenario that detects it."""

from __future__ import annotations

from pathlib import Path

from configuration.world import Cores

import millweir.configuration.core as distributor_module
import millweir.configuration.holder as holder_module
import millweir.configuration.progress as progress_module

MODULES = {"Distributor": distributor_module, "Holder": holder_module, "Progress": progress_module}
SHARED_CLASSES = {
    "Distributor": ("Assignment", "DistributorRules"),
    "Holder": (
        "HolderRules",
        "RemoveReplica",
        "StoredReplica",
        "DigestRequest",
        "WriteAssignment",
        "WriteDelta",
        "WriteReplica",
    ),
    "Progress": ("LagReason", "LaggingRelay"),
}

# ruff: noqa: E501
# name: (class, original text in its module, replacement, scenario that detects the mutant)
MUTANTS = {
    "a holder applies older deltas": (
        "Holder",
        "        if delta.version < replica.version:\n            self._send_acknowledgement(delta.partition, replica)",
        "        if False:\n            pass",
        "lossy-network",
    ),
    "a holder applies older snapshots": (
        "Holder",
        "        if chunk.version < replica.version or (\n            chunk.version == replica.version and replica.required_digest is None\n        ):",
        "        if False:",
        "late-snapshot",
    ),
    "a delta with a gap is applied": (
        "Holder",
        "        elif delta.previous_version > replica.version:",
        "        elif False:",
        "version-gap",
    ),
    "a gap is not requested": (
        "Holder",
        "            self._send_request(now, delta.partition, replica, full=False)",
        "            pass",
        "version-gap",
    ),
    "the digest after a delta is not checked": (
        "Holder",
        "        if compute_digest_after(replica.entries, replica.digest, delta.edits) != delta.digest:",
        "        if False:",
        "delta-with-wrong-digest",
    ),
    "the digest of a stored partition is not checked": (
        "Holder",
        "            if compute_digest(replica.entries) != replica.digest:",
        "            if False:",
        "corrupted-folder",
    ),
    "the store's digest of a snapshot is not requested": (
        "Holder",
        "        self._request_store_digest(\n            now, partition_id, replica, Dispute(assembly.version, assembly.digest, self.distributor)\n        )",
        "        pass",
        "disagreeing-snapshot",
    ),
    "a distributor with a wrong digest is not distrusted": (
        "Holder",
        "        if dispute.digest != digest:\n            self._distrust_distributor(now, dispute.distributor, partition_id, dispute.version)",
        "        if False:\n            pass",
        "distributors-disagree",
    ),
    "a distributor behind the store is kept": (
        "Holder",
        "        elif now - self._behind_since >= self.rules.max_behind_ns:",
        "        elif False:",
        "distributor-behind",
    ),
    "a silent distributor is kept": (
        "Holder",
        "        if now - self._last_received_at >= self.rules.distributor_timeout_ns:",
        "        if False:",
        "distributor-silent",
    ),
    "a lost hello is not repeated": (
        "Holder",
        "        elif not self._hello_answered and now >= self._hello_retry_at:\n            self._send_hello(now)",
        "        elif False:\n            pass",
        "lost-hello",
    ),
    "no hello after a partition was removed and reassigned": (
        "Holder",
        "            # The distributor may have missed that a partition was removed and reassigned.\n            self._send_hello(now)",
        "            pass",
        "partition-removed-and-reassigned",
    ),
    "an unassigned partition is kept": (
        "Holder",
        "            del self.replicas[partition_id]\n",
        "",
        "partitions-reassigned",
    ),
    "unacknowledged changes are not sent again": (
        "Distributor",
        "            del session.in_flight[partition_id]\n            self._queue_partition(now, session, partition_id)\n        if",
        "            del session.in_flight[partition_id]\n        if",
        "lossy-network",
    ),
    "a distributor serves before it has loaded": (
        "Distributor",
        '        if not self.loaded:\n            return "it is loading"',
        "        if False:\n            pass",
        "distributor-restarts-empty",
    ),
    "a gap in the store's changes is ignored": (
        "Distributor",
        "        if change.version != self.version + 1:",
        "        if False:",
        "store-gap",
    ),
    "the store's digest of a change is not checked": (
        "Distributor",
        "not partition.can_apply(change)",
        "False",
        "distributor-refetches-partition",
    ),
    "digests are not compared at a hello": (
        "Distributor",
        "        if own_digest is not None and own_digest != digest:",
        "        if False:",
        "distributors-disagree",
    ),
    "a relay's byte rate is not limited": (
        "Distributor",
        "            delay = session.bucket.compute_delay(now, self.rules.max_message_bytes)",
        "            delay = 0",
        "empty-folder",
    ),
    "sessions are not served in turn": (
        "Distributor",
        "                self._output.frames.append(OutgoingFrame(session.connection_id, frame))\n            self._ready_sessions.append(session)",
        "                self._output.frames.append(OutgoingFrame(session.connection_id, frame))\n            self._ready_sessions.appendleft(session)",
        "fair-bandwidth",
    ),
    "a distributor's byte rate is not limited": (
        "Distributor",
        "            if not self._ready_sessions or self._total_bucket.compute_delay(\n                now, self.rules.max_message_bytes\n            ):",
        "            if not self._ready_sessions:",
        "fair-bandwidth",
    ),
    "snapshots are sent before deltas": (
        "Distributor",
        "        if session.pending_deltas:\n            partition_id",
        "        if session.pending_deltas and not session.pending_snapshots and not session.pending_chunks:\n            partition_id",
        "delta-overtakes-snapshots",
    ),
    "a repeated hello refills the token bucket": (
        "Distributor",
        "            bucket = previous_session.bucket",
        "            pass",
        "lossy-network",
    ),
    "a distributor accepts any number of relays": (
        "Distributor",
        "len(self.sessions) >= self.rules.max_relays",
        "False",
        "full-distributors",
    ),
    "snapshots are sent instead of deltas": (
        "Distributor",
        "        if base_version < self.partitions[partition_id].log_start_version:",
        "        if base_version < self.partitions[partition_id].version:",
        "stale-folder",
    ),
    "a distributor reports sent changes as acknowledged": (
        "Distributor",
        "        oldest = min(\n            (session.acknowledged_versions[partition_id] for partition_id in session.outdated_partitions),\n            default=None,\n        )",
        "        oldest = None",
        "lossy-network",
    ),
    "a row for an older assignment is used": (
        "Progress",
        "        if record.reported_assignment_version != record.assignment_version:\n            return 0",
        "        if False:\n            return 0",
        "reassigned-before-report",
    ),
    "a lost report is ignored": (
        "Progress",
        "        if not (report.full or follows):",
        "        if False:",
        "lost-reports",
    ),
    "a detached relay no longer counts for in_force": (
        "Progress",
        "        record.distributor = name\n        if name is not None:",
        "        record.distributor = name\n        if name is None and record.last_unacknowledged:\n            self._waiting_relays.discard((record.first_unacknowledged, relay))\n            record.first_unacknowledged = record.last_unacknowledged = 0\n        if name is not None:",
        "region-cut",
    ),
    "one holder's acknowledgement counts for all": (
        "Progress",
        "        for relay in self._relays_by_partition.get(partition, {}):",
        "        for relay in list(self._relays_by_partition.get(partition, {}))[:1]:",
        "lossy-network",
    ),
    "a relay missing from a full report stays attached": (
        "Progress",
        "        if report.full:\n            self._detach_missing_relays(record, report)",
        "",
        "relay-and-distributor-crash",
    ),
}


def load_mutant(name: str) -> Cores:
    """Return the cores with one of them replaced by a mutant."""
    kind, old, new, _ = MUTANTS[name]
    real = MODULES[kind]
    source = Path(real.__file__).read_text()
    assert source.count(old) == 1, f"{name}: original text found {source.count(old)} times in {real.__name__}"
    space = {"__name__": real.__name__}
    exec(compile(source.replace(old, new), name, "exec", dont_inherit=True), space)
    space |= {one: getattr(real, one) for one in SHARED_CLASSES[kind]}
    return Cores(**{kind: space[kind]})
