"""The replicated store's consensus core (Raft): one member's state machine, without I/O.

The caller passes in the time, in whole nanoseconds, and the source of randomness.

Theory of operation (Raft, by Ongaro's thesis, 2014; numbers in brackets are its sections).  Members agree on
one log.  Each term has at most one leader, elected by a majority of votes; a member votes once a term, and
only for a candidate whose log is at least as up to date as its own (3.4, 3.6).  The leader appends entries
and replicates them to the followers; an entry of the leader's *own* term that a majority has written is
committed, and with it all entries before it (3.5, 3.6.2).

Beyond the basic algorithm:

- pre-vote: a member that would not win an election finds out without disturbing the others (9.6);
- a leader that a majority does not answer steps down, and members that hear from a leader ignore vote
  requests (6.2, 9.6); leases rely on both;
- reads are confirmed by a round of answers from a majority (6.4);
- voters change one at a time, and only after the leader has committed an entry of its own term (4.1, with
  Ongaro's correction of 2015); learners follow without a vote (4.2.1);
- leadership transfer (3.10);
- snapshots replace the start of the log (5).

A member is a name and a *generation* of its data directory.  A member that returns with an empty directory
has a new generation, which is in no list of voters, so its answers never count as votes of the member that
was lost.

The order of the caller's work is essential for safety: after each call it takes `take_work()`, *first
writes* term, vote, snapshot and entries, and *then sends* the messages and applies the committed entries.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from millweir.store.entries import (
    Entry,
    EntryKind,
    MemberId,
    Membership,
    Message,
    MessageType,
    PersistentState,
    Snapshot,
    encode,
)
from millweir.store.voter_changes import MembershipChanges

SECOND = 1_000_000_000
NEVER = 1 << 62  # a time that is never reached


class Role(Enum):
    """A member's role in its present term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "asking"  # asks whether it would win an election
    CANDIDATE = "candidate"
    LEADER = "leader"


class RequestRejected(Exception):
    """This member can't serve the request now; the text is one word for the reason."""


@dataclass(frozen=True, slots=True)
class Rules:
    """Timeouts and limits of the consensus core."""

    election_timeout_ns: int = SECOND  # minimum; the timeout is drawn between this and twice this
    heartbeat_interval_ns: int = SECOND // 8
    max_entries_per_message: int = 64
    max_uncommitted_entries: int = 1024  # a leader rejects proposals beyond this


@dataclass(slots=True)
class Work:
    """What the caller has to do, in this order: write to disk, send, apply."""

    term: int | None = None  # write it together with `vote`
    vote: MemberId | None = None
    snapshot: Snapshot | None = None  # write in place of the log, and restore the state machine from it
    truncate_from: int | None = None  # delete the written entries from this index on
    entries: list[Entry] = field(default_factory=list)  # append to the written log
    messages: list[Message] = field(default_factory=list)  # send
    committed: list[Entry] = field(default_factory=list)  # apply
    reads: list[tuple[object, int]] = field(default_factory=list)  # token, index: answer once it is applied


class PeerProgress:
    """A leader's view of the replication to another member."""

    __slots__ = ("last_answered_round", "last_received_at", "match_index", "next_index", "sent_at")

    def __init__(self, next_index: int, now: int) -> None:
        self.match_index = 0
        self.next_index = next_index
        self.last_answered_round = 0
        self.last_received_at = now
        self.sent_at = -NEVER


class Core:
    """The consensus state machine of one member."""

    def __init__(self, state: PersistentState, rules: Rules, random_source: random.Random, now: int) -> None:
        self.member_id, self.rules, self._random = state.member_id, rules, random_source
        self.term, self.vote = state.term, state.vote
        self.snapshot = state.snapshot or Snapshot(0, 0, Membership(()))
        self.log: list[Entry] = [entry for entry in state.entries if entry.index > self.snapshot.index]
        assert all(entry.index == self.snapshot.index + at for at, entry in enumerate(self.log, 1))
        self._membership_changes = MembershipChanges(self.log)
        self.commit_index = self.applied_index = self.snapshot.index
        self.role, self.leader = Role.FOLLOWER, None
        self.peers: dict[MemberId, PeerProgress] = {}
        self.votes: set[MemberId] = set()
        self.round = 0
        self.transfer_target: MemberId | None = None
        self._transfer_deadline = NEVER
        self._pending_reads: list[tuple[object, int, int]] = []  # token, index, round to be answered
        self._work = Work()
        self._leader_contact_at = -NEVER
        self._quorum_confirmed_at = now
        self._next_heartbeat_at = NEVER
        self._election_timeout_at = now
        self._reset_election_timeout(now)

    # The log.

    @property
    def last_index(self) -> int:
        return self.snapshot.index + len(self.log)

    def term_of(self, index: int) -> int | None:
        """The term of the entry at an index; None where the log doesn't hold it."""
        if index == self.snapshot.index:
            return self.snapshot.term
        offset = index - self.snapshot.index - 1
        return self.log[offset].term if 0 <= offset < len(self.log) else None

    @property
    def membership(self) -> Membership:
        """Voters and learners, by the newest membership entry, committed or not."""
        change = self._membership_changes.newest()
        return change[1] if change else self.snapshot.membership

    @property
    def _membership_index(self) -> int:
        """The index of the entry that set `membership`."""
        change = self._membership_changes.newest()
        return change[0] if change else self.snapshot.index

    @property
    def is_voter(self) -> bool:
        return self.member_id in self.membership.voters

    def _append(self, kind: EntryKind, data: bytes = b"") -> Entry:
        entry = Entry(self.last_index + 1, self.term, kind, data)
        self._store_entry(entry)
        return entry

    def _store_entry(self, entry: Entry) -> None:
        """Append an entry to the log and to the entries to be written."""
        self.log.append(entry)
        self._membership_changes.add(entry)
        self._work.entries.append(entry)

    # Requests of the caller.

    def take_work(self) -> Work:
        """Return what has to be done since the last call; it must be written before the next call."""
        work, self._work = self._work, Work()
        while self.applied_index < self.commit_index:
            self.applied_index += 1
            work.committed.append(self.log[self.applied_index - self.snapshot.index - 1])
        return work

    @property
    def next_timeout_at(self) -> int:
        """When `advance_time` has to be called next."""
        return (
            min(self._next_heartbeat_at, self._quorum_confirmed_at + self.rules.election_timeout_ns)
            if self.role is Role.LEADER
            else self._election_timeout_at
        )

    def propose(self, now: int, data: bytes) -> int:
        """Append a command; returns its index.  It has succeeded once it is committed under this term."""
        self._require_leadership()
        if self.last_index - self.commit_index >= self.rules.max_uncommitted_entries:
            raise RequestRejected("full")
        index = self._append(EntryKind.COMMAND, data).index
        self._broadcast_append(now)
        return index

    def change_membership(self, now: int, membership: Membership) -> int:
        """Append a change that adds or removes one voter at most; returns its index.

        The next change is accepted only after this one is committed.
        """
        self._require_leadership()
        before, after = set(self.membership.voters), set(membership.voters)
        if len(before ^ after) > 1:
            raise RequestRejected("more-than-one")
        if not after or len({member.name for member in membership.all_members()}) < len(
            membership.all_members()
        ):
            raise RequestRejected("no-such-voters")
        if self._membership_index > self.commit_index or self.term_of(self.commit_index) != self.term:
            raise RequestRejected("not-yet")
        index = self._append(EntryKind.MEMBERSHIP, encode(membership)).index
        for member in membership.all_members():
            if member != self.member_id:
                self.peers.setdefault(member, PeerProgress(self.last_index, now))
        self._broadcast_append(now)
        return index

    def transfer_leadership(self, now: int, target: MemberId) -> None:
        """Hand leadership to another voter.

        Requests are rejected until it leads, or until an election timeout is over.
        """
        self._require_leadership()
        if target == self.member_id or target not in self.membership.voters:
            raise RequestRejected("no-such-voters")
        self.transfer_target, self._transfer_deadline = target, now + self.rules.election_timeout_ns
        self._send_timeout_now_if_caught_up(target)
        self._send_append(now, target)

    def request_read(self, now: int, token: object) -> None:
        """Ask for an index at which a read is linearizable; it is returned in `Work.reads`."""
        self._require_leadership()
        if self.term_of(self.commit_index) != self.term:
            raise RequestRejected("not-yet")  # what an earlier leader committed is not known yet
        self.round += 1
        self._pending_reads.append((token, self.commit_index, self.round))
        self._broadcast_append(now)
        self._confirm_reads()

    def compact(self, index: int, data: bytes) -> Snapshot:
        """Drop the log up to an applied index, of which the caller has written a snapshot."""
        assert self.snapshot.index <= index <= self.applied_index
        if index == self.snapshot.index:
            return self.snapshot
        change = self._membership_changes.newest(index)
        snapshot = Snapshot(
            index, self.term_of(index), change[1] if change else self.snapshot.membership, data
        )
        self._membership_changes.compact(index)
        del self.log[: index - self.snapshot.index]
        self.snapshot = snapshot
        return snapshot

    def _require_leadership(self) -> None:
        if self.role is not Role.LEADER:
            raise RequestRejected("not-leader")
        if self.transfer_target:
            raise RequestRejected("handing-over")

    # Events.

    def advance_time(self, now: int) -> None:
        """Handle the timeouts that have expired by now."""
        if self.role is not Role.LEADER:
            if now >= self._election_timeout_at:
                self._reset_election_timeout(now)
                if self.is_voter:
                    self._start_pre_vote(now)
            return
        if now >= self._transfer_deadline:
            self.transfer_target, self._transfer_deadline = None, NEVER
        if now - self._quorum_confirmed_at >= self.rules.election_timeout_ns:
            # Leases rely on a single leader: without a majority's answers another one may be elected.
            if not self._has_quorum(
                member
                for member, peer in self.peers.items()
                if now - peer.last_received_at < self.rules.election_timeout_ns
            ):
                self._become_follower(now, self.term, None)
                return
            self._quorum_confirmed_at = now
        if now >= self._next_heartbeat_at:
            self._broadcast_append(now, is_heartbeat=True)

    def receive(self, now: int, message: Message) -> None:
        """Handle a message from another member."""
        if message.receiver != self.member_id:
            return  # for another member, or for an earlier generation of this one
        if (
            message.type in (MessageType.PRE_VOTE_REQUEST, MessageType.VOTE_REQUEST)
            and not message.is_leadership_transfer
            and (self.role is Role.LEADER or now - self._leader_contact_at < self.rules.election_timeout_ns)
        ):
            return  # a member that misses heartbeats must not depose a working leader, on which leases rely
        if message.term > self.term and message.type not in (
            MessageType.PRE_VOTE_REQUEST,
            MessageType.PRE_VOTE_REPLY,
        ):
            self._become_follower(
                now,
                message.term,
                message.sender
                if message.type in (MessageType.APPEND_REQUEST, MessageType.INSTALL_SNAPSHOT)
                else None,
            )
        handlers = {
            MessageType.PRE_VOTE_REQUEST: self._handle_pre_vote_request,
            MessageType.PRE_VOTE_REPLY: self._handle_pre_vote_reply,
            MessageType.VOTE_REQUEST: self._handle_vote_request,
            MessageType.VOTE_REPLY: self._handle_vote_reply,
            MessageType.APPEND_REQUEST: self._handle_append_request,
            MessageType.APPEND_REPLY: self._handle_append_reply,
            MessageType.INSTALL_SNAPSHOT: self._handle_install_snapshot,
            MessageType.TIMEOUT_NOW: self._handle_timeout_now,
        }
        handlers[message.type](now, message)

    # Elections.

    def _reset_election_timeout(self, now: int) -> None:
        self._election_timeout_at = (
            now
            + self.rules.election_timeout_ns
            + round(self._random.random() * self.rules.election_timeout_ns)
        )

    def _become_follower(self, now: int, term: int, leader: MemberId | None) -> None:
        if term > self.term:
            self.term, self.vote = term, None
            self._work.term, self._work.vote = term, None
        if self.role is not Role.FOLLOWER:
            self._reset_election_timeout(now)
        self.role, self.leader = Role.FOLLOWER, leader
        self.peers, self.votes = {}, set()
        self._pending_reads.clear()
        self.transfer_target, self._transfer_deadline, self._next_heartbeat_at = None, NEVER, NEVER

    def _start_pre_vote(self, now: int) -> None:
        """Ask whether an election would be won, without using up a term."""
        self.role, self.leader, self.votes = Role.PRE_CANDIDATE, None, {self.member_id}
        self._send_vote_requests(MessageType.PRE_VOTE_REQUEST, self.term + 1)
        if self._has_quorum(()):
            self._start_election(now)

    def _start_election(self, now: int, is_leadership_transfer: bool = False) -> None:
        self.role, self.leader = Role.CANDIDATE, None
        self.term, self.vote, self.votes = self.term + 1, self.member_id, {self.member_id}
        self._work.term, self._work.vote = self.term, self.member_id
        self._reset_election_timeout(now)
        self._send_vote_requests(MessageType.VOTE_REQUEST, self.term, is_leadership_transfer)
        if self._has_quorum(()):
            self._become_leader(now)

    def _send_vote_requests(
        self, message_type: MessageType, term: int, is_leadership_transfer: bool = False
    ) -> None:
        for member in self.membership.voters:
            if member != self.member_id:
                self._work.messages.append(
                    Message(
                        message_type,
                        self.member_id,
                        member,
                        term,
                        self.last_index,
                        self.term_of(self.last_index),
                        is_leadership_transfer=is_leadership_transfer,
                    )
                )

    def _has_quorum(self, others: Iterable[MemberId]) -> bool:
        """Whether these members, with this one if it is a voter, are a majority of the voters."""
        membership = self.membership
        return len({self.member_id, *others} & set(membership.voters)) >= membership.majority

    def _handle_pre_vote_request(self, now: int, message: Message) -> None:
        accepted = message.term > self.term and self._is_log_up_to_date(message)
        self._reply(
            message,
            MessageType.PRE_VOTE_REPLY,
            accepted=accepted,
            term=message.term if accepted else self.term,
        )

    def _handle_pre_vote_reply(self, now: int, message: Message) -> None:
        if not message.accepted:
            if message.term > self.term:
                self._become_follower(now, message.term, None)
        elif self.role is Role.PRE_CANDIDATE and message.term == self.term + 1:
            self.votes.add(message.sender)
            if self._has_quorum(self.votes):
                self._start_election(now)

    def _handle_vote_request(self, now: int, message: Message) -> None:
        accepted = (
            message.term == self.term
            and self.vote in (None, message.sender)
            and self._is_log_up_to_date(message)
            and self.role is not Role.LEADER
        )
        if accepted and self.vote is None:
            self.vote = message.sender
            self._work.term, self._work.vote = self.term, message.sender
        if accepted:
            self._reset_election_timeout(now)
        self._reply(message, MessageType.VOTE_REPLY, accepted=accepted)

    def _is_log_up_to_date(self, message: Message) -> bool:
        return (message.log_term, message.index) >= (self.term_of(self.last_index), self.last_index)

    def _handle_vote_reply(self, now: int, message: Message) -> None:
        if self.role is Role.CANDIDATE and message.term == self.term and message.accepted:
            self.votes.add(message.sender)
            if self._has_quorum(self.votes):
                self._become_leader(now)

    def _become_leader(self, now: int) -> None:
        self.role, self.leader = Role.LEADER, self.member_id
        self.peers = {
            member: PeerProgress(self.last_index + 1, now)
            for member in self.membership.all_members()
            if member != self.member_id
        }
        self._quorum_confirmed_at = now
        self._append(EntryKind.NO_OP)
        self._broadcast_append(now)
        self._advance_commit_index(now)

    def _handle_timeout_now(self, now: int, message: Message) -> None:
        if message.term == self.term and self.is_voter and self.role is Role.FOLLOWER:
            self._start_election(now, is_leadership_transfer=True)

    # Replication by the leader.

    def _broadcast_append(self, now: int, is_heartbeat: bool = False) -> None:
        if is_heartbeat:
            self.round += 1
        self._next_heartbeat_at = now + self.rules.heartbeat_interval_ns
        for member in list(self.peers):
            self._send_append(now, member)
        self._advance_commit_index(now)

    def _send_append(self, now: int, member: MemberId) -> None:
        peer = self.peers[member]
        previous_index = peer.next_index - 1
        peer.sent_at = now
        term = self.term_of(previous_index)
        if term is None:  # compacted: only the snapshot holds it
            self._work.messages.append(
                Message(
                    MessageType.INSTALL_SNAPSHOT,
                    self.member_id,
                    member,
                    self.term,
                    self.snapshot.index,
                    self.snapshot.term,
                    commit_index=self.commit_index,
                    round=self.round,
                    snapshot=self.snapshot,
                )
            )
            return
        offset = previous_index - self.snapshot.index
        entries = tuple(self.log[offset : offset + self.rules.max_entries_per_message])
        self._work.messages.append(
            Message(
                MessageType.APPEND_REQUEST,
                self.member_id,
                member,
                self.term,
                previous_index,
                term,
                entries=entries,
                commit_index=self.commit_index,
                round=self.round,
            )
        )

    def _handle_append_reply(self, now: int, message: Message) -> None:
        peer = (
            self.peers.get(message.sender) if self.role is Role.LEADER and message.term == self.term else None
        )
        if peer is None:
            return
        peer.last_received_at = now
        peer.last_answered_round = max(peer.last_answered_round, message.round)
        if message.accepted:
            peer.match_index = max(peer.match_index, message.index)
            previous_next_index, peer.next_index = peer.next_index, max(peer.next_index, peer.match_index + 1)
            if self._advance_commit_index(now):
                self._broadcast_append(now)
            if message.sender not in self.peers:
                return  # the commit removed it, or this member, from the membership
            if peer.next_index <= self.last_index and peer.next_index > previous_next_index:
                self._send_append(now, message.sender)
            self._send_timeout_now_if_caught_up(message.sender)
        elif message.index < peer.next_index - 1 or message.index < peer.match_index:
            peer.next_index = max(min(message.index, peer.next_index - 1), peer.match_index) + 1
            self._send_append(now, message.sender)
        self._confirm_reads()

    def _advance_commit_index(self, now: int) -> bool:
        """Commit what a majority has written, if it is of this term; True where anything was committed."""
        if self.role is not Role.LEADER:
            return False
        membership = self.membership
        matches = sorted(
            (
                self.last_index if member == self.member_id else self.peers[member].match_index
                for member in membership.voters
            ),
            reverse=True,
        )
        index = matches[membership.majority - 1]
        if index <= self.commit_index or self.term_of(index) != self.term:
            return False
        self.commit_index = index
        if not self.is_voter and self._membership_index <= index:
            self._become_follower(now, self.term, None)  # its own removal is committed
            return False
        if self._membership_index <= index:
            remaining = set(membership.all_members())
            for member in [member for member in self.peers if member not in remaining]:
                del self.peers[member]
        return True

    def _confirm_reads(self) -> None:
        while self._pending_reads:
            token, index, required_round = self._pending_reads[0]
            if not self._has_quorum(
                member for member, peer in self.peers.items() if peer.last_answered_round >= required_round
            ):
                return
            self._pending_reads.pop(0)
            self._work.reads.append((token, index))

    def _send_timeout_now_if_caught_up(self, member: MemberId) -> None:
        if member == self.transfer_target and self.peers[member].match_index == self.last_index:
            self._work.messages.append(Message(MessageType.TIMEOUT_NOW, self.member_id, member, self.term))

    # Replication at a follower.

    def _accept_leader(self, now: int, message: Message) -> bool:
        """Follow the sender if it leads the present term; False for a leader of an earlier term."""
        if message.term < self.term:
            self._reply(message, MessageType.APPEND_REPLY, index=0)
            return False
        assert self.role is not Role.LEADER, "two leaders in one term"
        if self.role is not Role.FOLLOWER or self.leader != message.sender:
            self._become_follower(now, message.term, message.sender)
        self._leader_contact_at = now
        self._reset_election_timeout(now)
        return True

    def _handle_append_request(self, now: int, message: Message) -> None:
        if not self._accept_leader(now, message):
            return
        previous_index = message.index  # up to the snapshot all is committed, so it matches
        if previous_index >= self.snapshot.index and self.term_of(previous_index) != message.log_term:
            self._reply(
                message,
                MessageType.APPEND_REPLY,
                index=self._find_conflict_hint(previous_index, message.log_term),
            )
            return
        for entry in message.entries:
            held_term = self.term_of(entry.index) if entry.index > self.snapshot.index else entry.term
            if held_term == entry.term:
                continue
            if held_term is not None:
                self._truncate(entry.index)
            self._store_entry(entry)
        index = previous_index + len(message.entries)
        self.commit_index = max(self.commit_index, min(message.commit_index, index))
        self._reply(message, MessageType.APPEND_REPLY, accepted=True, index=index)

    def _truncate(self, index: int) -> None:
        """Delete entries of an earlier leader that the present one doesn't hold, from an index on."""
        assert index > self.commit_index, "a committed entry would be lost"
        del self.log[index - self.snapshot.index - 1 :]
        self._membership_changes.truncate(index)
        self._work.entries = [entry for entry in self._work.entries if entry.index < index]
        self._work.truncate_from = min(index, self._work.truncate_from or index)

    def _find_conflict_hint(self, index: int, term: int) -> int:
        """The highest index at which the logs may match: below `index`, without entries of a later term."""
        index = min(index - 1, self.last_index)
        while index > self.commit_index and self.term_of(index) > term:
            index -= 1
        return index

    def _handle_install_snapshot(self, now: int, message: Message) -> None:
        if not self._accept_leader(now, message):
            return
        snapshot = message.snapshot
        if snapshot is not None and snapshot.index > self.commit_index:
            if self.term_of(snapshot.index) == snapshot.term:  # the log continues after the snapshot
                self.log = self.log[snapshot.index - self.snapshot.index :]
            else:
                self.log = []
            self._membership_changes = MembershipChanges(self.log)
            self._work.entries, self._work.truncate_from = list(self.log), 0
            self._work.snapshot = self.snapshot = snapshot
            self.commit_index = self.applied_index = snapshot.index
        self._reply(message, MessageType.APPEND_REPLY, accepted=True, index=snapshot.index if snapshot else 0)

    def _reply(
        self,
        message: Message,
        message_type: MessageType,
        accepted: bool = False,
        index: int = 0,
        term: int | None = None,
    ) -> None:
        self._work.messages.append(
            Message(
                message_type,
                self.member_id,
                message.sender,
                self.term if term is None else term,
                index,
                accepted=accepted,
                round=message.round,
            )
        )
