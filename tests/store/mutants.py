"""Broken consensus cores: one line of the real one changed, with the check that finds it."""

from __future__ import annotations

from broken import broken_core

import millweir.store.core as real

SHARED = ("Role", "Refused", "Rules", "Work", "Peer")

# ruff: noqa: E501
# name: (text of the core, what stands there instead, the check that finds it)
MUTANTS = {
    "votes twice a term": (
        "yes = (word.term == self.term and self.vote in (None, word.me) and self._as_new(word)",
        "yes = (word.term == self.term and self._as_new(word)",
        "one_vote_a_term",
    ),
    "forgets its vote at a restart": (
        "self.term, self.vote = kept.term, kept.vote",
        "self.term, self.vote = kept.term, None",
        "one_vote_a_term",
    ),
    "forgets its term at a restart": (
        "self.term, self.vote = kept.term, kept.vote",
        "self.term, self.vote = 0, None",
        "a_term_outlasts_a_restart",
    ),
    "votes for a shorter log": (
        "return (word.log_term, word.index) >= (self.term_of(self.last), self.last)",
        "return True",
        "a_shorter_log_gets_no_vote",
    ),
    "commits without a majority": ("index = matches[voters.majority - 1]", "index = matches[0]", "histories"),
    "commits an older term's entry by count": (
        "if index <= self.commit or self.term_of(index) != self.term:",
        "if index <= self.commit:",
        "an_older_terms_entry",
    ),
    "leads without a majority": (
        "            if self._quorum(self.votes):\n                self._lead(now)",
        "            self._lead(now)",
        "a_majority_leads",
    ),
    "appends where the log does not fit": (
        "if before >= self.snapshot.index and self.term_of(before) != word.log_term:",
        "if False:",
        "histories",
    ),
    "keeps entries that the leader does not hold": (
        "            if held is not None:\n                self._cut(entry.index)",
        "            if held is not None:\n                continue",
        "histories",
    ),
    "commits what it has not got": (
        "self.commit = max(self.commit, min(word.commit, index))",
        "self.commit = max(self.commit, min(word.commit, self.last))",
        "only_what_it_has",
    ),
    "reads without a round of answers": (
        "            if not self._quorum(one for one, peer in self.peers.items() if peer.answered >= round_):",
        "            if False:",
        "reads_need_a_round",
    ),
    "reads before an entry of its own term": (
        '            raise Refused("not-yet")  # what an earlier',
        "            pass  # what an earlier",
        "reads_need_an_entry_of_the_term",
    ),
    "a folder that was lost votes as before": (
        "if self.role is Role.CANDIDATE and word.term == self.term and word.yes:\n            self.votes.add(word.me)",
        "if self.role is Role.CANDIDATE and word.term == self.term and word.yes:\n            self.votes |= {one for one in "
        "self.voters.voters if one.name == word.me.name}",
        "a_lost_folder_has_no_vote",
    ),
    "leads on without answers": (
        "            if not self._quorum(one for one, peer in self.peers.items()\n                                if now",
        "            if False and not self._quorum(one for one, peer in self.peers.items()\n                                if now",
        "a_leader_nobody_answers_steps_down",
    ),
    "an election disturbs a leader that is well": (
        "self.role is Role.LEADER or now - self._leader_at < self.rules.election):",
        "False):",
        "who_hears_a_leader_heeds_no_election",
    ),
    "voters of entries that are cut off": (
        "        self._voter_changes.cut(index)\n",
        "",
        "histories",
    ),
    "voters of another log after a snapshot from the leader": (
        "            self._voter_changes = VoterChanges(self.log)\n",
        "",
        "histories",
    ),
    "two voters at a time": (
        '            raise Refused("more-than-one")\n',
        "            pass\n",
        "voters_one_at_a_time",
    ),
    "a change before the last one is committed": (
        "if self._voters_at > self.commit or self.term_of(self.commit) != self.term:",
        "if False:",
        "voters_one_at_a_time",
    ),
}


def broken(name):
    """The core's class with one line changed."""
    old, new, _ = MUTANTS[name]
    return broken_core(real, name, old, new, SHARED)
