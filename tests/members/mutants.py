"""Broken cores: each is one line of the real one changed, with the case that finds it."""

from __future__ import annotations

from pathlib import Path

from broken import broken_core

import millweir.members.core as real
import millweir.members.gossip as gossip

SHARED = ("Degree", "Standing", "Rules", "Change", "Member", "Probe")
CORE_LINE = "class Core:\n"  # stands once in the core; left as it is

# ruff: noqa: E501
# name: (text of the core, what stands there instead, the case that finds it)
MUTANTS = {
    "a pause is not noticed": (
        "        if late > self.rules.timeout // 2:",
        "        if late > 1 << 60:",
        "paused-while-suspecting",
    ),
    "whose probes all fail accuses all the same": (
        "if self._vain >= max(2, min(3, len(self._ring))) and",
        "if False and",
        "mute",
    ),
    "who hears nobody accuses all the same": (
        "if self._vain >= max(2, min(3, len(self._ring))) and",
        "if False and",
        "pause-all-but-one-60",
    ),
    "a doubt never ends": (" and now - self._vain_since < self.rules.doubt_most:", ":", "lone-survivor"),
    "gone is believed at once": (
        "elif claim.rank is Rank.GONE and member.degree is Degree.SUSPECTED:",
        "elif claim.rank is Rank.GONE:",
        "gone-told-of-the-well",
    ),
    "who is thought gone is not told so": (
        "if held and (held.claim.key > to.key or held.claim.rank is not Rank.ALIVE):",
        "if False:",
        "back-amid-news",
    ),
    "no helpers": (
        "for helper in self._ring.some(self.rules.helpers, probe.target):",
        "for helper in ():",
        "by-a-third",
    ),
    "those held gone are never looked for": (
        "        if gone and (not ways or",
        "        if False and (not ways or",
        "split-without-seeds",
    ),
    "a refutation without a higher number": (
        "self._rise(now, claim.incarnation + 1, claim)",
        "self._rise(now, claim.incarnation, claim)",
        "pause-alone-60",
    ),
    "old news are taken": ("        if claim.key < member.claim.key:", "        if False:", "replayed"),
    "a name is taken from a living member": (
        "not any(self._is_anothers(claim) for claim in claims)",
        "True",
        "two-of-one-name",
    ),
    "a suspicion never runs out": (
        "self._verdicts.due(now)",
        "[]",
        "kill-is-found",
    ),
    "others' findings don't shorten a suspicion": (
        "        member.accusers.add(claim.by)\n",
        "",
        "kill-is-found",
    ),
    "a path is down when one probe fails": (
        "        if member.ask_in_vain >= 3:",
        "        if member.ask_in_vain >= 1:",
        "path-not-by-one-loss",
    ),
    "a cut path is never up again": ("self._path(now, member, out=False, into=False)", "pass", "one-way"),
    "both ways are taken for cut": ("into=member.heard_at < member.vain_since)", "into=True)", "one-way"),
    "a datagram takes all the news": (
        "        if len(raw) > load.room:\n            break\n",
        "",
        "much-news",
    ),
    "cuts are told to all": (
        "            if to.high >= CUTS_SINCE:",
        "            if True:",
        "two-versions",
    ),
    "the table has no bound": (
        "        if not self._table.has_room():",
        "        if False:",
        "bounded",
    ),
    "helpers keep quiet": (
        "            self._send(now, asker, Kind.NACK, theirs, target=target)\n",
        "            pass\n",
        "helpers-well",
    ),
    "a folder's number is used again": (
        "incarnation=me.incarnation + 1)\n            port.keep",
        "incarnation=me.incarnation)\n            port.keep",
        "restart-with-folders",
    ),
    "a timer that fired early is not asked for again": (
        "        self._due = 0  # ask again",
        "        pass  # ask again",
        "early-timers",
    ),
    "a leave is not told": ("        self.me = self.me.ranked(Rank.LEFT, self.me.name)\n", "", "leave"),
}


def broken(name):
    """The core's class with one line changed, of its own module or of the gossip's."""
    old, new, _ = MUTANTS[name]
    if old in Path(gossip.__file__).read_text():
        return core_with_broken_gossip(name, old, new)
    return broken_core(real, name, old, new, SHARED)


def core_with_broken_gossip(name, old, new):
    """The real core's text, with the class `Gossip` of the changed one."""
    source = Path(gossip.__file__).read_text()
    assert source.count(old) == 1, f"{name}: stands {source.count(old)} times in {gossip.__name__}"
    changed = {"__name__": gossip.__name__}
    exec(compile(source.replace(old, new), name, "exec", dont_inherit=True), changed)
    core = broken_core(real, name, CORE_LINE, CORE_LINE, SHARED)
    core.__init__.__globals__["Gossip"] = changed["Gossip"]
    return core
