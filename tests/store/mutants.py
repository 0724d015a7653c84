"""Mutants of the consensus core: one change of its source each, with the check that has to fail."""

from __future__ import annotations

from broken import broken_core

import millweir.store.core as real

SHARED = ("Role", "RequestRejected", "Rules", "Work", "PeerProgress")

# ruff: noqa: E501
# name: (text of the core, its replacement, the check that has to fail)
MUTANTS = {
    "votes twice in a term": (
        "            and self.vote in (None, message.sender)\n",
        "",
        "check_one_vote_per_term",
    ),
    "forgets its vote at a restart": (
        "self.term, self.vote = state.term, state.vote",
        "self.term, self.vote = state.term, None",
        "check_one_vote_per_term",
    ),
    "forgets its term at a restart": (
        "self.term, self.vote = state.term, state.vote",
        "self.term, self.vote = 0, None",
        "check_term_survives_restart",
    ),
    "votes for a shorter log": (
        "return (message.log_term, message.index) >= (self.term_of(self.last_index), self.last_index)",
        "return True",
        "check_no_vote_for_shorter_log",
    ),
    "commits without a majority": (
        "index = matches[membership.majority - 1]",
        "index = matches[0]",
        "check_random_histories",
    ),
    "commits an older term's entry by count": (
        "if index <= self.commit_index or self.term_of(index) != self.term:",
        "if index <= self.commit_index:",
        "check_older_term_not_committed_by_count",
    ),
    "leads without a majority": (
        "            if self._has_quorum(self.votes):\n                self._become_leader(now)",
        "            self._become_leader(now)",
        "check_election_needs_majority",
    ),
    "appends where the log does not match": (
        "if previous_index >= self.snapshot.index and self.term_of(previous_index) != message.log_term:",
        "if False:",
        "check_random_histories",
    ),
    "keeps entries that the leader does not hold": (
        "            if held_term is not None:\n                self._truncate(entry.index)",
        "            if held_term is not None:\n                continue",
        "check_random_histories",
    ),
    "commits entries beyond the last matching one": (
        "self.commit_index = max(self.commit_index, min(message.commit_index, index))",
        "self.commit_index = max(self.commit_index, min(message.commit_index, self.last_index))",
        "check_commit_only_matching_entries",
    ),
    "reads without a round of answers": (
        "            if not self._has_quorum(\n                member for member, peer in self.peers.items() if peer.last_answered_round >= required_round\n            ):",
        "            if False:",
        "check_read_needs_round",
    ),
    "reads before an entry of its own term": (
        '            raise RequestRejected("not-yet")  # what an earlier',
        "            pass  # what an earlier",
        "check_read_needs_entry_of_term",
    ),
    "votes of an earlier generation count": (
        "if self.role is Role.CANDIDATE and message.term == self.term and message.accepted:\n            self.votes.add(message.sender)",
        "if self.role is Role.CANDIDATE and message.term == self.term and message.accepted:\n            self.votes |= {member for member in "
        "self.membership.voters if member.name == message.sender.name}",
        "check_no_vote_after_lost_data",
    ),
    "leads on without answers": (
        "            if not self._has_quorum(\n                member\n                for member, peer in self.peers.items()\n                if now",
        "            if False and not self._has_quorum(\n                member\n                for member, peer in self.peers.items()\n                if now",
        "check_unanswered_leader_steps_down",
    ),
    "a vote request deposes a working leader": (
        "            and (self.role is Role.LEADER or now - self._leader_contact_at < self.rules.election_timeout_ns)\n",
        "            and False\n",
        "check_vote_requests_ignored_while_leader_known",
    ),
    "keeps the membership of truncated entries": (
        "        self._membership_changes.truncate(index)\n",
        "",
        "check_random_histories",
    ),
    "keeps the membership of another log after a snapshot from the leader": (
        "            self._membership_changes = MembershipChanges(self.log)\n",
        "",
        "check_random_histories",
    ),
    "changes two voters at a time": (
        '            raise RequestRejected("more-than-one")\n',
        "            pass\n",
        "check_one_voter_change_at_a_time",
    ),
    "changes voters before the last change is committed": (
        "if self._membership_index > self.commit_index or self.term_of(self.commit_index) != self.term:",
        "if False:",
        "check_one_voter_change_at_a_time",
    ),
}


def broken(name):
    """The core's class with one change of its source."""
    old, new, _ = MUTANTS[name]
    return broken_core(real, name, old, new, SHARED)
