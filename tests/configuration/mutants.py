"""Broken cores: each is one line of the real one changed, with the case that finds it."""

from __future__ import annotations

from pathlib import Path

from configuration.world import Cores

import millweir.configuration.core as distributor_module
import millweir.configuration.holder as holder_module
import millweir.configuration.progress as progress_module

MODULES = {"Distributor": distributor_module, "Holder": holder_module, "Progress": progress_module}
SHARED = {
    "Distributor": ("Assignment", "DistributorRules"),
    "Holder": (
        "HolderRules",
        "RemoveReplica",
        "StoredReplica",
        "WordRequest",
        "WriteAssignment",
        "WriteDelta",
        "WriteReplica",
    ),
    "Progress": ("LagReason", "Lagging"),
}

# ruff: noqa: E501
# name: (class, text of its module, what stands there instead, the case that finds it)
MUTANTS = {
    "a holder takes older versions": (
        "Holder",
        "        if delta.version < replica.version:\n            self._acknowledge(delta.partition, replica)",
        "        if False:\n            pass",
        "rough-network",
    ),
    "a holder takes older snapshots": (
        "Holder",
        "        if chunk.version < replica.version or (chunk.version == replica.version and replica.required is None):",
        "        if False:",
        "late-snapshot",
    ),
    "a delta with a gap is applied": (
        "Holder",
        "        elif delta.previous > replica.version:",
        "        elif False:",
        "version-gap",
    ),
    "a gap is not asked for": (
        "Holder",
        "            self._request(now, delta.partition, replica, whole=False)",
        "            pass",
        "version-gap",
    ),
    "what a delta leads to is not checked": (
        "Holder",
        "        if digest_after(replica.entries, replica.digest, delta.edits) != delta.digest:",
        "        if False:",
        "wrong-delta",
    ),
    "a stored partition is believed": (
        "Holder",
        "            if digest_of(replica.entries) != replica.digest:",
        "            if False:",
        "garbled-folder",
    ),
    "a snapshot is not asked about": (
        "Holder",
        "        self._ask_register(now, number, replica, Dispute(assembly.version, assembly.digest, self.distributor))",
        "        pass",
        "disagreeing-snapshot",
    ),
    "who disagrees is believed": (
        "Holder",
        "        if dispute.digest != digest:\n            self._distrust(now, dispute.distributor, number, dispute.version)",
        "        if False:\n            pass",
        "distributors-disagree",
    ),
    "a distributor that lies behind is kept": (
        "Holder",
        "        elif now - self._behind_since >= self.rules.behind_most:",
        "        elif False:",
        "distributor-behind",
    ),
    "a silent distributor is kept": (
        "Holder",
        "        if now - self._heard_at >= self.rules.silence:",
        "        if False:",
        "distributor-silent",
    ),
    "a lost hello is not repeated": (
        "Holder",
        "        elif not self._answered and now >= self._hello_at:\n            self._say_hello(now)",
        "        elif False:\n            pass",
        "lost-hello",
    ),
    "a partition that went and came back is not told": (
        "Holder",
        "            self._say_hello(now)  # the distributor may have missed that a partition went and came back",
        "            pass",
        "partition-comes-back",
    ),
    "a partition of another relay is kept": (
        "Holder",
        "            del self.replicas[number]\n",
        "",
        "partitions-move",
    ),
    "nothing is sent again": (
        "Distributor",
        "            del session.sent[number]\n            self._queue_partition(now, session, number)\n        if",
        "            del session.sent[number]\n        if",
        "rough-network",
    ),
    "a distributor serves before it has loaded": (
        "Distributor",
        '        if not self.loaded:\n            return "it is loading"',
        "        if False:\n            pass",
        "distributor-restarts-empty",
    ),
    "a gap in the register's changes is passed over": (
        "Distributor",
        "        if change.version != self.version + 1:",
        "        if False:",
        "register-gap",
    ),
    "the register's digest is not looked at": (
        "Distributor",
        "not partition.fits(change)",
        "False",
        "distributor-repairs-itself",
    ),
    "digests are not compared at a hello": (
        "Distributor",
        "        if ours is not None and ours != digest:",
        "        if False:",
        "distributors-disagree",
    ),
    "a relay's bytes have no bound": (
        "Distributor",
        "            pause = session.bucket.wait(now, self.rules.message_bytes)",
        "            pause = 0",
        "empty-folder",
    ),
    "sessions don't take turns": (
        "Distributor",
        "                self._output.frames.append(Outgoing(session.link, frame))\n            self._ready.append(session)",
        "                self._output.frames.append(Outgoing(session.link, frame))\n            self._ready.appendleft(session)",
        "fair-shares",
    ),
    "a distributor's bytes have no bound": (
        "Distributor",
        "            if not self._ready or self._bucket.wait(now, self.rules.message_bytes):",
        "            if not self._ready:",
        "fair-shares",
    ),
    "snapshots go first": (
        "Distributor",
        "        if session.deltas:\n            number",
        "        if session.deltas and not session.snapshots and not session.chunks:\n            number",
        "delta-overtakes-snapshots",
    ),
    "a repeated hello brings new bytes": (
        "Distributor",
        "            bucket = before.bucket",
        "            pass",
        "rough-network",
    ),
    "a distributor takes any number of relays": (
        "Distributor",
        "len(self.sessions) >= self.rules.relays_most",
        "False",
        "full-distributors",
    ),
    "snapshots instead of deltas": (
        "Distributor",
        "        if held < self.partitions[number].oldest:",
        "        if held < self.partitions[number].version:",
        "old-folder",
    ),
    "a distributor reports what it has sent": (
        "Distributor",
        "        oldest = min((session.acked[number] for number in session.lacking), default=None)",
        "        oldest = None",
        "rough-network",
    ),
    "a row for other partitions counts": (
        "Progress",
        "        if record.row_assigned != record.assigned:\n            return 0",
        "        if False:\n            return 0",
        "moved-while-reported",
    ),
    "a lost report is passed over": (
        "Progress",
        "        if not (report.full or follows):",
        "        if False:",
        "lost-reports",
    ),
    "who is not attached holds nothing back": (
        "Progress",
        "        record.distributor = name\n        if name is not None:",
        "        record.distributor = name\n        if name is None and record.last:\n            self._waiting.discard((record.first, relay))\n            record.first = record.last = 0\n        if name is not None:",
        "region-cut",
    ),
    "the first acknowledgement stands for all": (
        "Progress",
        "        for relay in self._holders.get(partition, {}):",
        "        for relay in list(self._holders.get(partition, {}))[:1]:",
        "rough-network",
    ),
    "who was not heard of again is thought attached": (
        "Progress",
        "        if report.full:\n            self._detach_missing(record, report)",
        "",
        "relay-and-distributor-die",
    ),
}


def broken(name: str) -> Cores:
    """The cores with one line of one of them changed."""
    kind, old, new, _ = MUTANTS[name]
    real = MODULES[kind]
    source = Path(real.__file__).read_text()
    assert source.count(old) == 1, f"{name}: stands {source.count(old)} times in {real.__name__}"
    space = {"__name__": real.__name__}
    exec(compile(source.replace(old, new), name, "exec", dont_inherit=True), space)
    space |= {one: getattr(real, one) for one in SHARED[kind]}
    return Cores(**{kind: space[kind]})
