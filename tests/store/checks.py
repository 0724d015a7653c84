"""Checks of the consensus core, as functions of its class: scripted scenarios and random histories.

Each has to pass with the real core; a mutant of the core (`mutants.py`) has to fail the check named for it.
"""

from __future__ import annotations

import pickle
import random
from collections import defaultdict

import pytest

from millweir.lab.register import Invariants, RandomFaultCluster
from millweir.store.core import SECOND, RequestRejected, Role, Rules
from millweir.store.entries import (
    Entry,
    EntryKind,
    MemberId,
    Membership,
    Message,
    MessageType,
    PersistentState,
    Snapshot,
)


class SimulatedCluster:
    """Members whose messages are delivered only where the scenario says."""

    def __init__(self, core_class, size=3, max_entries_per_message=64):
        self.core_class, self.rules, self.now = (
            core_class,
            Rules(max_entries_per_message=max_entries_per_message),
            10 * SECOND,
        )
        self.ids = [MemberId(f"v{n}", n + 1) for n in range(size)]
        self.persistent_states = [
            PersistentState(member_id, snapshot=Snapshot(0, 0, Membership(tuple(self.ids))))
            for member_id in self.ids
        ]
        self.cores = [None] * size
        self.in_transit = defaultdict(list)
        self.promises, self.reads = Invariants(), []
        for member in range(size):
            self.restart(member)

    def restart(self, member):
        state = pickle.loads(pickle.dumps(self.persistent_states[member]))
        self.cores[member] = self.core_class(state, self.rules, random.Random(member), self.now)
        for pair in [pair for pair in self.in_transit if member in pair]:
            del self.in_transit[pair]

    def process_work(self, member):
        work, state = self.cores[member].take_work(), self.persistent_states[member]
        if work.term is not None:
            state.term, state.vote = work.term, work.vote
        if work.truncate_from is not None:
            state.entries = [entry for entry in state.entries if entry.index < work.truncate_from]
        state.entries += work.entries
        for message in work.messages:
            self.in_transit[member, self.ids.index(message.receiver)].append(message)
        for entry in work.committed:
            self.promises.record_applied(entry)
        self.reads += work.reads
        self.promises.record_leader(self.cores[member])

    def deliver(self, sender, receiver):
        """Deliver the messages in transit from one member to another, and no others."""
        in_transit, self.in_transit[sender, receiver] = self.in_transit[sender, receiver], []
        for message in in_transit:
            self.cores[receiver].receive(self.now, message)
            self.process_work(receiver)

    def exchange_messages(self, *members, rounds=6):
        for _ in range(rounds):
            for sender in members:
                for receiver in members:
                    self.deliver(sender, receiver)

    def hold_election(self, member, *voters):
        """Let a member start elections until its term is newer than all, then collect these voters' votes."""
        self.now += 10 * SECOND
        newest = max(core.term for core in self.cores)
        while self.cores[member].term <= newest:
            self.cores[member]._start_election(self.now)
            for receiver in range(len(self.ids)):
                self.in_transit[member, receiver].clear()
            self.process_work(member)
        for voter in voters:
            self.deliver(member, voter)
            self.deliver(voter, member)

    def elect_leader(self, member, *others):
        self.hold_election(member, *others)
        assert self.cores[member].role is Role.LEADER
        self.exchange_messages(member, *others)

    def propose(self, member, data):
        self.cores[member].propose(self.now, data)
        self.process_work(member)


def check_leader_commits(core_class):
    cluster = SimulatedCluster(core_class)
    cluster.elect_leader(0, 1, 2)
    cluster.propose(0, b"x")
    cluster.exchange_messages(0, 1, 2)
    assert [core.commit_index for core in cluster.cores] == [2, 2, 2] or cluster.cores[0].commit_index == 2
    assert cluster.promises.applied[2] == (1, b"x")


def check_one_vote_per_term(core_class):
    """Two candidates in one term: the third member votes once, also after a restart."""
    for restart in (False, True):
        cluster = SimulatedCluster(core_class)
        for member in (0, 1):
            cluster.cores[member]._start_election(cluster.now)
            cluster.process_work(member)
        cluster.deliver(0, 2)
        if restart:
            vote = list(cluster.in_transit[2, 0])
            cluster.restart(2)
            cluster.in_transit[2, 0] = vote
            cluster.cores[1]._send_vote_requests(MessageType.VOTE_REQUEST, 1)
            cluster.process_work(1)
        cluster.deliver(1, 2)
        cluster.deliver(2, 0)
        cluster.deliver(2, 1)
        assert [core.role for core in cluster.cores[:2]] == [Role.LEADER, Role.CANDIDATE]


def check_term_survives_restart(core_class):
    cluster = SimulatedCluster(core_class)
    cluster.hold_election(0, 1, 2)
    cluster.hold_election(1, 2)
    term = cluster.cores[2].term
    cluster.restart(2)
    assert cluster.cores[2].term == term == 2
    cluster.cores[0]._send_vote_requests(MessageType.VOTE_REQUEST, 1)
    cluster.process_work(0)
    cluster.deliver(0, 2)
    assert not any(message.accepted for message in cluster.in_transit[2, 0])


def check_election_needs_majority(core_class):
    cluster = SimulatedCluster(core_class, 5)
    cluster.hold_election(0, 1)
    assert cluster.cores[0].role is Role.CANDIDATE
    cluster.hold_election(0, 1, 2)
    assert cluster.cores[0].role is Role.LEADER


def check_no_vote_for_shorter_log(core_class):
    cluster = SimulatedCluster(core_class)
    cluster.elect_leader(0, 1)
    cluster.hold_election(2, 1)
    assert cluster.cores[2].role is not Role.LEADER


def check_older_term_not_committed_by_count(core_class):
    """Figure 8 of the thesis: an entry of an earlier term is not committed by counting replicas."""
    cluster = SimulatedCluster(core_class, 5, max_entries_per_message=1)
    cluster.hold_election(0, 1, 2)
    cluster.deliver(0, 1)  # its first entry, to one other member only
    for pair in list(cluster.in_transit):
        cluster.in_transit[pair].clear()
    cluster.hold_election(4, 2, 3)  # leads, but its messages are lost
    for pair in list(cluster.in_transit):
        cluster.in_transit[pair].clear()
    cluster.hold_election(0, 1, 2)
    cluster.deliver(0, 2)  # does not match the log there
    cluster.deliver(2, 0)
    cluster.deliver(0, 2)  # the old entry
    cluster.deliver(2, 0)
    cluster.deliver(0, 1)
    cluster.deliver(1, 0)
    cluster.process_work(0)
    assert cluster.cores[0].commit_index == 0
    for pair in list(cluster.in_transit):
        cluster.in_transit[pair].clear()
    cluster.hold_election(4, 2, 3)
    cluster.exchange_messages(4, 2, 3)
    assert cluster.cores[4].commit_index >= 1


def check_commit_only_matching_entries(core_class):
    """The leader's commit index counts up to the last matching entry, not for entries beyond it."""
    cluster = SimulatedCluster(core_class)
    log = [Entry(index, 1, EntryKind.COMMAND, b"old") for index in (1, 2, 3)]
    cluster.persistent_states[0].term, cluster.persistent_states[0].entries = 1, log
    cluster.restart(0)
    cluster.cores[0].receive(
        cluster.now,
        Message(
            MessageType.APPEND_REQUEST,
            cluster.ids[1],
            cluster.ids[0],
            2,
            1,
            1,
            entries=(log[1],),
            commit_index=3,
        ),
    )
    assert cluster.cores[0].commit_index == 2


def check_read_needs_round(core_class):
    cluster = SimulatedCluster(core_class)
    cluster.elect_leader(0, 1, 2)
    cluster.cores[0].request_read(cluster.now, "r")
    cluster.process_work(0)
    assert not cluster.reads
    cluster.exchange_messages(0, 1)
    assert cluster.reads == [("r", 1)]


def check_read_needs_entry_of_term(core_class):
    cluster = SimulatedCluster(core_class)
    cluster.elect_leader(0, 1, 2)
    cluster.hold_election(1, 2)
    with pytest.raises(RequestRejected, match="not-yet"):
        cluster.cores[1].request_read(cluster.now, "r")


def check_one_voter_change_at_a_time(core_class):
    cluster = SimulatedCluster(core_class, 5)
    cluster.elect_leader(0, 1, 2)
    core, ids = cluster.cores[0], tuple(cluster.ids)
    with pytest.raises(RequestRejected, match="more-than-one"):
        core.change_membership(cluster.now, Membership(ids[:3]))
    core.change_membership(cluster.now, Membership(ids[:4]))
    with pytest.raises(RequestRejected, match="not-yet"):
        core.change_membership(cluster.now, Membership(ids[:3]))
    cluster.process_work(0)
    cluster.exchange_messages(0, 1, 2)
    core.change_membership(cluster.now, Membership(ids[:3]))
    cluster.hold_election(1, 2, 3)
    with pytest.raises(RequestRejected, match="not-yet"):  # nothing of its own term is committed
        cluster.cores[1].change_membership(cluster.now, Membership(ids[:3]))


def check_no_vote_after_lost_data(core_class):
    """A member returns with an empty directory: its votes don't count as those of its old generation."""
    cluster = SimulatedCluster(core_class)
    cluster.elect_leader(0, 1)  # the third receives nothing
    cluster.propose(0, b"x")
    cluster.exchange_messages(0, 1)
    assert cluster.cores[0].commit_index == 2
    old = cluster.ids[1]
    cluster.ids[1] = MemberId(old.name, 99)
    cluster.persistent_states[1] = PersistentState(cluster.ids[1], snapshot=Snapshot(0, 0, Membership(())))
    cluster.restart(1)
    cluster.cores[2]._start_election(cluster.now + 30 * SECOND)
    for message in cluster.cores[2].take_work().messages:
        cluster.cores[1].receive(cluster.now + 30 * SECOND, message)
    assert not cluster.cores[1].take_work().messages  # the request was for its old generation
    term = cluster.cores[2].term
    cluster.cores[2].receive(
        cluster.now + 30 * SECOND,
        Message(MessageType.VOTE_REPLY, cluster.ids[1], cluster.ids[2], term, accepted=True),
    )
    assert cluster.cores[2].role is not Role.LEADER


def check_unanswered_leader_steps_down(core_class):
    cluster = SimulatedCluster(core_class)
    cluster.elect_leader(0, 1, 2)
    for _ in range(40):
        cluster.now += SECOND // 10
        cluster.cores[0].advance_time(cluster.now)
        cluster.process_work(0)
    assert cluster.cores[0].role is not Role.LEADER


def check_vote_requests_ignored_while_leader_known(core_class):
    cluster = SimulatedCluster(core_class)
    cluster.elect_leader(0, 1, 2)
    term = cluster.cores[1].term
    cluster.cores[2]._start_election(cluster.now)
    cluster.process_work(2)
    cluster.deliver(2, 1)
    assert cluster.cores[1].term == term and cluster.cores[0].role is Role.LEADER


def check_leadership_transfer(core_class):
    cluster = SimulatedCluster(core_class)
    cluster.elect_leader(0, 1, 2)
    cluster.cores[0].transfer_leadership(cluster.now, cluster.ids[1])
    with pytest.raises(RequestRejected, match="handing-over"):
        cluster.cores[0].propose(cluster.now, b"x")
    cluster.process_work(0)
    cluster.exchange_messages(0, 1, 2)
    assert cluster.cores[1].role is Role.LEADER and cluster.cores[0].role is Role.FOLLOWER


def check_random_histories(core_class, first=0, count=40, steps=500):
    """Random histories: crashes, partitions, lost data, membership changes, snapshots, duplicate messages."""
    done = answered = 0
    for seed in range(first, first + count):
        history = RandomFaultCluster(seed, 3 if seed % 2 else 5, core_class).run(steps)
        done, answered = done + history.done, answered + history.answered
    return done, answered


CHECKS = {
    check.__name__: check
    for check in (
        check_leader_commits,
        check_one_vote_per_term,
        check_term_survives_restart,
        check_election_needs_majority,
        check_no_vote_for_shorter_log,
        check_older_term_not_committed_by_count,
        check_commit_only_matching_entries,
        check_read_needs_round,
        check_read_needs_entry_of_term,
        check_one_voter_change_at_a_time,
        check_no_vote_after_lost_data,
        check_unanswered_leader_steps_down,
        check_vote_requests_ignored_while_leader_known,
        check_leadership_transfer,
        check_random_histories,
    )
}
