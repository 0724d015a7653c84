"""Mutants of the core: each makes one change to it, and the scenario named with it must fail."""

from __future__ import annotations

from pathlib import Path

from broken import broken_core

import millweir.members.core as real
import millweir.members.gossip as gossip

SHARED = ("MemberStatus", "LocalState", "Rules", "Change", "Member", "Probe")
CORE_LINE = "class Core:\n"  # occurs once in the core; replaced by itself

# ruff: noqa: E501
# name: (text of the core or of the gossip module, its replacement, the scenario that must fail)
MUTANTS = {
    "a pause is not noticed": (
        "        if delay > self.rules.timeout // 2:",
        "        if delay > 1 << 60:",
        "paused-while-suspecting",
    ),
    "a member whose probes all fail accuses others": (
        "self._unanswered_probes >= max(2, min(3, len(self._active_members)))\n            and",
        "False\n            and",
        "nothing-sent-arrives",
    ),
    "a member that receives nothing accuses others": (
        "self._unanswered_probes >= max(2, min(3, len(self._active_members)))\n            and",
        "False\n            and",
        "pause-all-but-one-60",
    ),
    "verdicts are withheld without a time limit": (
        "            and now - self._unanswered_since < self.rules.max_isolation\n",
        "",
        "last-survivor-declares-the-others-gone",
    ),
    "a report of gone is believed at once": (
        "elif record.state is ReportedState.GONE and member.status is MemberStatus.SUSPECTED:",
        "elif record.state is ReportedState.GONE:",
        "false-report-of-gone",
    ),
    "a member taken for gone is not told so": (
        "if known and (\n            known.record.precedence > recipient.precedence or known.record.state is not ReportedState.ALIVE\n        ):",
        "if False:",
        "return-during-constant-updates",
    ),
    "no indirect probes": (
        "for helper in self._active_members.sample(self.rules.indirect_probe_count, probe.target):",
        "for helper in ():",
        "path-down-both-ways-except-through-others",
    ),
    "gone members are never contacted": (
        "        if gone and (not addresses or",
        "        if False and (not addresses or",
        "partition-without-seeds",
    ),
    "a refutation without a higher incarnation": (
        "self._raise_incarnation(now, record.incarnation + 1, record)",
        "self._raise_incarnation(now, record.incarnation, record)",
        "pause-alone-60",
    ),
    "outdated records are applied": (
        "        if record.precedence < member.record.precedence:",
        "        if False:",
        "old-datagrams-replayed",
    ),
    "a name is taken from a live member": (
        "not any(\n            self._is_name_conflict(record) for record in records\n        )",
        "True",
        "name-used-twice",
    ),
    "a suspicion never expires": (
        "self._suspicion_timers.pop_expired(now)",
        "[]",
        "killed-member-is-declared-gone",
    ),
    "confirmations do not shorten a suspicion": (
        "        member.suspected_by.add(record.reporter)\n",
        "",
        "killed-member-is-declared-gone",
    ),
    "one failed probe marks a path as down": (
        "        if member.indirect_only_probes >= 3:",
        "        if member.indirect_only_probes >= 1:",
        "short-loss-is-no-path-fault",
    ),
    "a path that was down stays down": (
        "self._set_path_state(now, member, outbound_down=False, inbound_down=False)",
        "pass",
        "path-down-one-way",
    ),
    "both directions are taken for down": (
        "inbound_down=member.last_received_at < member.indirect_only_since,",
        "inbound_down=True,",
        "path-down-one-way",
    ),
    "a datagram takes all waiting updates": (
        "        if len(raw) > payload.free_bytes:\n            break\n",
        "",
        "more-gossip-than-one-datagram-holds",
    ),
    "path reports are sent to members of version 1": (
        "            if recipient.max_version >= PATH_REPORTS_MIN_VERSION:",
        "            if True:",
        "members-of-two-versions",
    ),
    "the member table has no limit": (
        "        if not self._table.has_room():",
        "        if False:",
        "tables-are-bounded",
    ),
    "helpers send no nack": (
        "            self._send(\n                now, indirect_probe.requester, Kind.NACK, indirect_probe.seq, target=indirect_probe.target\n            )\n",
        "            pass\n",
        "nacks-keep-the-awareness-score-low",
    ),
    "a saved incarnation is used again": (
        "incarnation=me.incarnation + 1)\n            port.save_incarnation",
        "incarnation=me.incarnation)\n            port.save_incarnation",
        "restart-with-state-files",
    ),
    "a timer that fired early is not set again": (
        "        self._timer_at = 0\n",
        "        pass\n",
        "timers-fire-early",
    ),
    "a leave is not announced": (
        "        self.me = self.me.with_state(ReportedState.LEFT, self.me.name)\n",
        "",
        "orderly-leave",
    ),
}


def broken(name):
    """Returns the class `Core` with one change, in its own module or in the gossip module."""
    old, new, _ = MUTANTS[name]
    if old in Path(gossip.__file__).read_text():
        return core_with_broken_gossip(name, old, new)
    return broken_core(real, name, old, new, SHARED)


def core_with_broken_gossip(name, old, new):
    """Returns the real core with the changed module's class `GossipQueue`."""
    source = Path(gossip.__file__).read_text()
    assert source.count(old) == 1, f"{name}: occurs {source.count(old)} times in {gossip.__name__}"
    changed = {"__name__": gossip.__name__}
    exec(compile(source.replace(old, new), name, "exec", dont_inherit=True), changed)
    core = broken_core(real, name, CORE_LINE, CORE_LINE, SHARED)
    core.__init__.__globals__["GossipQueue"] = changed["GossipQueue"]
    return core
