"""The register's consensus, as a value machine: no I/O, no clock, no chance of its own; whole nanoseconds.

Theory of operation (Raft, by Ongaro's thesis, 2014).  Members agree on one log.  Each term has one leader at
most, chosen by a majority of votes, each member voting once a term and only for a log that is as new as its
own (3.4, 3.6).  The leader appends, the others follow; an entry of the leader's *own* term that a majority
has written is committed, and with it all before it (3.5, 3.6.2).

Beside that: who would not win asks first and disturbs nobody (9.6); a leader that a majority does not answer
steps down, and members that hear a leader heed no election (6.2, 9.6), on which leases rest; reads are
confirmed by a round of answers (6.4); voters change one at a time, only after the leader has committed an
entry of its own term (4.1, and Ongaro's correction of 2015); learners follow without a vote (4.2.1); a leader
can hand over (3.10); snapshots stand in for the log's beginning (5).

A member is a name and a *life*: who comes back with an empty folder has another life and is in nobody's list
of voters, so what it says never counts as the vote of the one that was lost.

The order that safety rests on: after each call the caller takes `work()` and *first writes* its term, vote,
snapshot and entries, *then sends* its words and applies what is committed.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from millweir.store.entries import Ask, Entry, Id, Kept, Kind, Snapshot, Voters, Word, encode
from millweir.store.voter_changes import VoterChanges

SECOND = 1_000_000_000
NEVER = 1 << 62


class Role(Enum):
    """What a member is at present."""

    FOLLOWER = "follower"
    ASKING = "asking"  # whether an election would be won
    CANDIDATE = "candidate"
    LEADER = "leader"


class Refused(Exception):
    """It can't be done here and now; the text is one word for why."""


@dataclass(frozen=True, slots=True)
class Rules:
    """Times in nanoseconds."""

    election: int = SECOND  # the least silence of a leader before an election; at most twice that
    beat: int = SECOND // 8  # between a leader's words
    entries_most: int = 64  # in one word
    pending_most: int = 1024  # entries not committed yet that a leader takes on


@dataclass(slots=True)
class Work:
    """What the caller has to do, in this order: write, send, apply."""

    term: int | None = None  # write term and vote
    vote: Id | None = None
    snapshot: Snapshot | None = None  # write in place of the log, and restore from it
    cut_from: int | None = None  # drop the written entries from this index on
    entries: list[Entry] = field(default_factory=list)  # write
    words: list[Word] = field(default_factory=list)  # send
    committed: list[Entry] = field(default_factory=list)  # apply
    reads: list[tuple[object, int]] = field(default_factory=list)  # answer once applied up to the index


class Peer:
    """What a leader knows of another member."""

    __slots__ = ("answered", "heard_at", "match", "next", "sent_at")

    def __init__(self, next_: int, now: int) -> None:
        self.match = 0
        self.next = next_
        self.answered = 0  # the last round that it answered
        self.heard_at = now
        self.sent_at = -NEVER


class Core:
    """One member of the register."""

    def __init__(self, kept: Kept, rules: Rules, chance: random.Random, now: int) -> None:
        self.me, self.rules, self._chance = kept.me, rules, chance
        self.term, self.vote = kept.term, kept.vote
        self.snapshot = kept.snapshot or Snapshot(0, 0, Voters(()))
        self.log: list[Entry] = [entry for entry in kept.entries if entry.index > self.snapshot.index]
        assert all(entry.index == self.snapshot.index + at for at, entry in enumerate(self.log, 1))
        self._voter_changes = VoterChanges(self.log)
        self.commit = self.applied = self.snapshot.index
        self.role, self.leader = Role.FOLLOWER, None
        self.peers: dict[Id, Peer] = {}
        self.votes: set[Id] = set()
        self.round = 0
        self.handing_to: Id | None = None
        self._handing_until = NEVER
        self._reads: list[tuple[object, int, int]] = []  # token, index, the round that must be answered
        self._work = Work()
        self._leader_at = -NEVER
        self._quorum_at = now
        self._beat_at = NEVER
        self._election_at = now
        self._put_off(now)

    # The log.

    @property
    def last(self) -> int:
        return self.snapshot.index + len(self.log)

    def term_of(self, index: int) -> int | None:
        """The term of an entry; None where it is not held."""
        if index == self.snapshot.index:
            return self.snapshot.term
        at = index - self.snapshot.index - 1
        return self.log[at].term if 0 <= at < len(self.log) else None

    @property
    def voters(self) -> Voters:
        """Who has a vote: by the newest entry on it, committed or not."""
        change = self._voter_changes.newest()
        return change[1] if change else self.snapshot.voters

    @property
    def _voters_at(self) -> int:
        """Where that entry stands."""
        change = self._voter_changes.newest()
        return change[0] if change else self.snapshot.index

    @property
    def is_voter(self) -> bool:
        return self.me in self.voters.voters

    def _append(self, kind: Kind, data: bytes = b"") -> Entry:
        entry = Entry(self.last + 1, self.term, kind, data)
        self._hold(entry)
        return entry

    def _hold(self, entry: Entry) -> None:
        """The log's next entry, to be written."""
        self.log.append(entry)
        self._voter_changes.add(entry)
        self._work.entries.append(entry)

    # What the caller asks.

    def work(self) -> Work:
        """All that came up since the last call.  It must be written before the next one is asked for."""
        work, self._work = self._work, Work()
        while self.applied < self.commit:
            self.applied += 1
            work.committed.append(self.log[self.applied - self.snapshot.index - 1])
        return work

    @property
    def due(self) -> int:
        """When `time_passed` is wanted next."""
        return (
            min(self._beat_at, self._quorum_at + self.rules.election)
            if self.role is Role.LEADER
            else self._election_at
        )

    def propose(self, now: int, data: bytes) -> int:
        """Append a command; returns its index.  It counts once it comes back committed under this term."""
        self._must_lead()
        if self.last - self.commit >= self.rules.pending_most:
            raise Refused("full")
        index = self._append(Kind.COMMAND, data).index
        self._tell_all(now)
        return index

    def change(self, now: int, voters: Voters) -> int:
        """One voter more or less; the next change only after this one is committed."""
        self._must_lead()
        before, after = set(self.voters.voters), set(voters.voters)
        if len(before ^ after) > 1:
            raise Refused("more-than-one")
        if not after or len({one.name for one in voters.everybody()}) < len(voters.everybody()):
            raise Refused("no-such-voters")
        if self._voters_at > self.commit or self.term_of(self.commit) != self.term:
            raise Refused("not-yet")
        index = self._append(Kind.VOTERS, encode(voters)).index
        for one in voters.everybody():
            if one != self.me:
                self.peers.setdefault(one, Peer(self.last, now))
        self._tell_all(now)
        return index

    def hand_over(self, now: int, to: Id) -> None:
        """Let another voter lead; nothing is taken on until it does, or until an election's time is over."""
        self._must_lead()
        if to == self.me or to not in self.voters.voters:
            raise Refused("no-such-voters")
        self.handing_to, self._handing_until = to, now + self.rules.election
        self._hand_if_level(to)
        self._tell(now, to)

    def read(self, now: int, token: object) -> None:
        """Ask for a point that all reads after now may rest on; it comes back in `Work.reads`."""
        self._must_lead()
        if self.term_of(self.commit) != self.term:
            raise Refused("not-yet")  # what an earlier leader committed is not known for sure
        self.round += 1
        self._reads.append((token, self.commit, self.round))
        self._tell_all(now)
        self._settle_reads()

    def compact(self, index: int, data: bytes) -> Snapshot:
        """The caller has written a snapshot of its own state at an applied index."""
        assert self.snapshot.index <= index <= self.applied
        if index == self.snapshot.index:
            return self.snapshot
        change = self._voter_changes.newest(index)
        snapshot = Snapshot(index, self.term_of(index), change[1] if change else self.snapshot.voters, data)
        self._voter_changes.compact(index)
        del self.log[: index - self.snapshot.index]
        self.snapshot = snapshot
        return snapshot

    def _must_lead(self) -> None:
        if self.role is not Role.LEADER:
            raise Refused("not-leader")
        if self.handing_to:
            raise Refused("handing-over")

    # What happens.

    def time_passed(self, now: int) -> None:
        """The time `due` has come."""
        if self.role is not Role.LEADER:
            if now >= self._election_at:
                self._put_off(now)
                if self.is_voter:
                    self._ask(now)
            return
        if now >= self._handing_until:
            self.handing_to, self._handing_until = None, NEVER
        if now - self._quorum_at >= self.rules.election:
            # Guards what rests on being the only leader: without a majority's answers it may not be.
            if not self._quorum(
                one for one, peer in self.peers.items() if now - peer.heard_at < self.rules.election
            ):
                self._follow(now, self.term, None)
                return
            self._quorum_at = now
        if now >= self._beat_at:
            self._tell_all(now, beat=True)

    def told(self, now: int, word: Word) -> None:
        """A word came."""
        if word.to != self.me:
            return  # for another, or for an earlier life of this name
        if (
            word.ask in (Ask.MAY_I, Ask.VOTE)
            and not word.handed
            and (self.role is Role.LEADER or now - self._leader_at < self.rules.election)
        ):
            return  # guards a leader that is well, and what rests on it, against one that hears less
        if word.term > self.term and word.ask not in (Ask.MAY_I, Ask.MAY):
            self._follow(now, word.term, word.me if word.ask in (Ask.APPEND, Ask.SNAPSHOT) else None)
        handlers = {
            Ask.MAY_I: self._may_i,
            Ask.MAY: self._may,
            Ask.VOTE: self._asked_vote,
            Ask.VOTED: self._voted,
            Ask.APPEND: self._followed,
            Ask.APPENDED: self._appended,
            Ask.SNAPSHOT: self._restored,
            Ask.LEAD: self._handed,
        }
        handlers[word.ask](now, word)

    # Elections.

    def _put_off(self, now: int) -> None:
        self._election_at = now + self.rules.election + round(self._chance.random() * self.rules.election)

    def _follow(self, now: int, term: int, leader: Id | None) -> None:
        if term > self.term:
            self.term, self.vote = term, None
            self._work.term, self._work.vote = term, None
        if self.role is not Role.FOLLOWER:
            self._put_off(now)
        self.role, self.leader = Role.FOLLOWER, leader
        self.peers, self.votes = {}, set()
        self._reads.clear()
        self.handing_to, self._handing_until, self._beat_at = None, NEVER, NEVER

    def _ask(self, now: int) -> None:
        """Would an election be won?  A term is not used up to find out."""
        self.role, self.leader, self.votes = Role.ASKING, None, {self.me}
        self._to_voters(Ask.MAY_I, self.term + 1)
        if self._quorum(()):
            self._stand(now)

    def _stand(self, now: int, handed: bool = False) -> None:
        self.role, self.leader = Role.CANDIDATE, None
        self.term, self.vote, self.votes = self.term + 1, self.me, {self.me}
        self._work.term, self._work.vote = self.term, self.me
        self._put_off(now)
        self._to_voters(Ask.VOTE, self.term, handed)
        if self._quorum(()):
            self._lead(now)

    def _to_voters(self, ask: Ask, term: int, handed: bool = False) -> None:
        for one in self.voters.voters:
            if one != self.me:
                self._work.words.append(
                    Word(ask, self.me, one, term, self.last, self.term_of(self.last), handed=handed)
                )

    def _quorum(self, others: Iterable[Id]) -> bool:
        """Whether these, with this member if it has a vote, are a majority of the voters."""
        voters = self.voters
        return len({self.me, *others} & set(voters.voters)) >= voters.majority

    def _may_i(self, now: int, word: Word) -> None:
        yes = word.term > self.term and self._as_new(word)
        self._answer(word, Ask.MAY, yes=yes, term=word.term if yes else self.term)

    def _may(self, now: int, word: Word) -> None:
        if not word.yes:
            if word.term > self.term:
                self._follow(now, word.term, None)
        elif self.role is Role.ASKING and word.term == self.term + 1:
            self.votes.add(word.me)
            if self._quorum(self.votes):
                self._stand(now)

    def _asked_vote(self, now: int, word: Word) -> None:
        yes = (
            word.term == self.term
            and self.vote in (None, word.me)
            and self._as_new(word)
            and self.role is not Role.LEADER
        )
        if yes and self.vote is None:
            self.vote = word.me
            self._work.term, self._work.vote = self.term, word.me
        if yes:
            self._put_off(now)
        self._answer(word, Ask.VOTED, yes=yes)

    def _as_new(self, word: Word) -> bool:
        return (word.log_term, word.index) >= (self.term_of(self.last), self.last)

    def _voted(self, now: int, word: Word) -> None:
        if self.role is Role.CANDIDATE and word.term == self.term and word.yes:
            self.votes.add(word.me)
            if self._quorum(self.votes):
                self._lead(now)

    def _lead(self, now: int) -> None:
        self.role, self.leader = Role.LEADER, self.me
        self.peers = {one: Peer(self.last + 1, now) for one in self.voters.everybody() if one != self.me}
        self._quorum_at = now
        self._append(Kind.NOTHING)
        self._tell_all(now)
        self._advance(now)

    def _handed(self, now: int, word: Word) -> None:
        if word.term == self.term and self.is_voter and self.role is Role.FOLLOWER:
            self._stand(now, handed=True)

    # The leader's words.

    def _tell_all(self, now: int, beat: bool = False) -> None:
        if beat:
            self.round += 1
        self._beat_at = now + self.rules.beat
        for one in list(self.peers):
            self._tell(now, one)
        self._advance(now)

    def _tell(self, now: int, one: Id) -> None:
        peer = self.peers[one]
        before = peer.next - 1
        peer.sent_at = now
        term = self.term_of(before)
        if term is None:  # it stands in the snapshot
            self._work.words.append(
                Word(
                    Ask.SNAPSHOT,
                    self.me,
                    one,
                    self.term,
                    self.snapshot.index,
                    self.snapshot.term,
                    commit=self.commit,
                    round=self.round,
                    snapshot=self.snapshot,
                )
            )
            return
        at = before - self.snapshot.index
        entries = tuple(self.log[at : at + self.rules.entries_most])
        self._work.words.append(
            Word(
                Ask.APPEND,
                self.me,
                one,
                self.term,
                before,
                term,
                entries=entries,
                commit=self.commit,
                round=self.round,
            )
        )

    def _appended(self, now: int, word: Word) -> None:
        peer = self.peers.get(word.me) if self.role is Role.LEADER and word.term == self.term else None
        if peer is None:
            return
        peer.heard_at = now
        peer.answered = max(peer.answered, word.round)
        if word.yes:
            peer.match = max(peer.match, word.index)
            was, peer.next = peer.next, max(peer.next, peer.match + 1)
            if self._advance(now):
                self._tell_all(now)
            if word.me not in self.peers:
                return  # what was committed is that it, or this member, goes
            if peer.next <= self.last and peer.next > was:
                self._tell(now, word.me)
            self._hand_if_level(word.me)
        elif word.index < peer.next - 1 or word.index < peer.match:
            peer.next = max(min(word.index, peer.next - 1), peer.match) + 1
            self._tell(now, word.me)
        self._settle_reads()

    def _advance(self, now: int) -> bool:
        """Commit what a majority has written, if it is of this term."""
        if self.role is not Role.LEADER:
            return False
        voters = self.voters
        matches = sorted(
            (self.last if one == self.me else self.peers[one].match for one in voters.voters), reverse=True
        )
        index = matches[voters.majority - 1]
        if index <= self.commit or self.term_of(index) != self.term:
            return False
        self.commit = index
        if not self.is_voter and self._voters_at <= index:
            self._follow(now, self.term, None)  # its own removal is committed: the others go on
            return False
        if self._voters_at <= index:
            there = set(voters.everybody())
            for one in [one for one in self.peers if one not in there]:
                del self.peers[one]
        return True

    def _settle_reads(self) -> None:
        while self._reads:
            token, index, round_ = self._reads[0]
            if not self._quorum(one for one, peer in self.peers.items() if peer.answered >= round_):
                return
            self._reads.pop(0)
            self._work.reads.append((token, index))

    def _hand_if_level(self, one: Id) -> None:
        if one == self.handing_to and self.peers[one].match == self.last:
            self._work.words.append(Word(Ask.LEAD, self.me, one, self.term))

    # The followers' side.

    def _is_leaders(self, now: int, word: Word) -> bool:
        """Whether this is a word of the present leader."""
        if word.term < self.term:
            self._answer(word, Ask.APPENDED, index=0)
            return False
        assert self.role is not Role.LEADER, "two leaders in one term"
        if self.role is not Role.FOLLOWER or self.leader != word.me:
            self._follow(now, word.term, word.me)
        self._leader_at = now
        self._put_off(now)
        return True

    def _followed(self, now: int, word: Word) -> None:
        if not self._is_leaders(now, word):
            return
        before = word.index  # what stands in the snapshot is committed, so the same
        if before >= self.snapshot.index and self.term_of(before) != word.log_term:
            self._answer(word, Ask.APPENDED, index=self._hint(before, word.log_term))
            return
        for entry in word.entries:
            held = self.term_of(entry.index) if entry.index > self.snapshot.index else entry.term
            if held == entry.term:
                continue
            if held is not None:
                self._cut(entry.index)
            self._hold(entry)
        index = before + len(word.entries)
        self.commit = max(self.commit, min(word.commit, index))
        self._answer(word, Ask.APPENDED, yes=True, index=index)

    def _cut(self, index: int) -> None:
        """Entries of an earlier leader that the present one doesn't hold."""
        assert index > self.commit, "a committed entry would be lost"
        del self.log[index - self.snapshot.index - 1 :]
        self._voter_changes.cut(index)
        self._work.entries = [entry for entry in self._work.entries if entry.index < index]
        self._work.cut_from = min(index, self._work.cut_from or index)

    def _hint(self, index: int, term: int) -> int:
        """How far the logs may fit: before the leader's entry there, and no entry of ours newer than that."""
        index = min(index - 1, self.last)
        while index > self.commit and self.term_of(index) > term:
            index -= 1
        return index

    def _restored(self, now: int, word: Word) -> None:
        if not self._is_leaders(now, word):
            return
        given = word.snapshot
        if given is not None and given.index > self.commit:
            if self.term_of(given.index) == given.term:  # the log goes on from there
                self.log = self.log[given.index - self.snapshot.index :]
            else:
                self.log = []
            self._voter_changes = VoterChanges(self.log)
            self._work.entries, self._work.cut_from = list(self.log), 0
            self._work.snapshot = self.snapshot = given
            self.commit = self.applied = given.index
        self._answer(word, Ask.APPENDED, yes=True, index=given.index if given else 0)

    def _answer(
        self, word: Word, ask: Ask, yes: bool = False, index: int = 0, term: int | None = None
    ) -> None:
        self._work.words.append(
            Word(ask, self.me, word.me, self.term if term is None else term, index, yes=yes, round=word.round)
        )
