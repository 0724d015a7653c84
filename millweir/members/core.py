"""Who is there: the deciding core.  No I/O, no clock, no chance of its own; whole nanoseconds.

Theory of operation.  Each member probes one other an interval, in an order shuffled anew each round, so
that everybody is probed within a bound.  A probe is a ping; where no answer comes in time, a second one,
and a few helpers are asked to ping for us.  Where all that fails the member is *suspected*, which is told
on; a suspicion that nobody refutes becomes *gone* after a time that shrinks as more members find the same
(SWIM; Lifeguard).  The suspect refutes with a higher *incarnation*, a number which only the member itself
raises.  What is told is a *claim*; claims on one name are ordered by (incarnation, rank, birth) and the
greatest holds, whatever order they come in (`Claim.key`).

Three guards keep this right under pauses and cuts:

- who wakes late has been paused: no probe of that time counts, and no suspicion runs out before what came
  meanwhile is read and others have had time to say more;
- whose last probes of several members all failed is in doubt of itself, not of them: it accuses nobody and
  holds its verdicts back, up to a bound;
- that somebody is gone, told of one who was well a moment ago, is a suspicion first: sides of a healed cut
  don't bury each other.

The caller tells what happened by one method for each thing, with the time; the core acts through `Port`.
The view is a hint with degrees, never a right (docs/design/members.md).
"""

from __future__ import annotations

import math
import random
from collections import OrderedDict
from collections.abc import Iterable
from itertools import islice

import msgspec

from millweir.members.gossip import ByteBudget, Gossip, Load
from millweir.members.messages import (
    CUTS_SINCE,
    Claim,
    Cut,
    Datagram,
    Kind,
    Rank,
    Told,
    Whole,
    encode,
    mark,
)
from millweir.members.paths import Paths, key_of
from millweir.members.port import Port
from millweir.members.probing import Probe, Relay
from millweir.members.rules import MILLISECOND, NEVER, SECOND, Address, Rules
from millweir.members.suspicion import VerdictTimers
from millweir.members.table import Table
from millweir.members.view import Change, Degree, Member, Standing

__all__ = [
    "MILLISECOND",
    "NEVER",
    "SECOND",
    "Address",
    "Change",
    "Core",
    "Degree",
    "Member",
    "Port",
    "Probe",
    "Rules",
    "Standing",
]

ENVELOPE = 230  # bytes of a datagram without its news, the headers below it with it, about
DEGREES = {  # of a member not known before, by what is claimed of it
    Rank.ALIVE: Degree.ALIVE,
    Rank.SUSPECTED: Degree.SUSPECTED,
    Rank.GONE: Degree.GONE,
    Rank.LEFT: Degree.LEFT,
}
URGENT_ROOM = 240  # bytes of news that an answer or a probe carries also where the budget is spent


class Core:
    """One member."""

    def __init__(
        self,
        port: Port,
        rules: Rules,
        chance: random.Random,
        now: int,
        me: Claim,
        contacts: Iterable[Address] = (),
    ) -> None:
        """`me`: the incarnation is the last one kept by an earlier life, 0 for none."""
        self._port, self.rules, self._chance = port, rules, chance
        self.me = me.ranked(Rank.ALIVE, me.name)
        if me.incarnation:  # a new life of one that was there before
            self.me = msgspec.structs.replace(self.me, incarnation=me.incarnation + 1)
            port.keep(me.incarnation + 1)
        self.standing = Standing.OUT
        self._table = Table(rules.members_most, chance, now, contacts)
        self.members = self._table.rows
        self._ring = self._table.ring
        self._paths = Paths(rules.cuts_most)
        self.cuts = self._paths.held
        self.full = False  # more members than the table holds were heard of
        self._probe: Probe | None = None
        self._past: OrderedDict[int, tuple[Member, int]] = OrderedDict()  # probes over: answers may come late
        self._relays: OrderedDict[int, Relay] = OrderedDict()  # by our seq
        self._gossip = Gossip(me.name)
        self._budget = ByteBudget(rules.bytes_second, rules.datagram_most, now)
        self._suspects: dict[str, Member] = {}
        self._verdicts = VerdictTimers(self._suspects)
        self._spans = 0, 0  # least time and findings wanted, when all verdicts were set last
        self._slow = 0  # Lifeguard's awareness: how much slower than planned this member probes
        self._vain = 0  # probes in a row that failed altogether
        self._vain_since = now
        self._heard_at = now
        self._woke_late_at = -NEVER
        self._lateness = 0
        self._whole_at = -NEVER
        self._began = now
        self._due = NEVER
        self._probe_at = now + round(chance.uniform(0.5, 1.5) * rules.interval)  # not all in step
        self._news_at = NEVER
        self._contact_at = now
        if not self._table.contacts:
            self._enter(now)

    # What the caller tells.

    def heard(self, now: int, told: Told) -> None:
        """A datagram came that is authentic and not a repeat."""
        self._wake(now)
        sender = told.me
        if not sender.usable() or sender.name == self.me.name and sender.birth == self.me.birth:
            return
        self._heard_at = now
        if sender.rank in (Rank.ALIVE, Rank.LEFT) and sender.by == sender.name:
            self._claimed(now, sender)
        member = self.members.get(sender.name)
        if member and member.claim.birth == sender.birth:
            self._word_of(now, member, told)
        elif member:
            member = None
        for claim in told.claims:
            if claim.usable():
                self._claimed(now, claim)
        for cut in told.cuts:
            self._cut_told(now, cut)
        if told.kind is Kind.PING and told.target in ("", self.me.name):
            self._pinged(now, told)
        elif told.kind is Kind.ACK:
            self._acked(now, told, member)
        elif told.kind is Kind.NACK and self._probe and told.seq == self._probe.seq:
            self._probe.nacks += 1
        elif told.kind is Kind.ASK and self.standing is Standing.IN:
            self._asked(now, told)
        self._compare(now, told)
        self._arm(now)

    def whole_told(self, now: int, whole: Whole) -> None:
        """Another member's whole state came, asked for here or there."""
        self._wake(now)
        self._heard_at = now
        claims = [claim for claim in (whole.me, *whole.claims) if claim.usable()]
        for claim in claims:
            self._claimed(now, claim)
        for cut in whole.cuts:
            self._cut_told(now, cut)
        if self.standing is Standing.OUT and not any(self._is_anothers(claim) for claim in claims):
            self._enter(now)
        self._arm(now)

    def time_passed(self, now: int) -> None:
        """The time that was asked for by `wake` has come."""
        self._wake(now)
        self._due = 0  # ask again in any case: a loop's timers go by the time its turn began, so fire early
        if now >= self._contact_at:
            self._contact(now)
        if now >= self._probe_at:
            self._step(now)
        self._judge(now)
        for seq in [seq for seq, relay in self._relays.items() if relay.ends <= now]:
            relay = self._relays.pop(seq)
            self._send(now, relay.asker, Kind.NACK, relay.seq, target=relay.target)
        if now >= self._news_at:
            self._tell_news(now)
        self._arm(now)

    def leave(self, now: int) -> None:
        """An orderly end: told to as many as a claim is told to, then silence."""
        if self.standing is Standing.LEAVING:
            return
        was, self.standing = self.standing, Standing.LEAVING
        self.me = self.me.ranked(Rank.LEFT, self.me.name)
        self._probe = None
        if was is Standing.IN:
            for member in self._ring.some(max(self.rules.news_to, 2 * self.rules.helpers)):
                self._send(now, member.claim, Kind.NEWS, 0)
            self._gossip.tell(self.me.name, self.me)
            self._news_at = now
        self._arm(now)

    def whole(self, high: int = 1 << 30) -> Whole:
        """All that is held here, for a member that speaks versions up to `high`."""
        claims = tuple(member.claim for member in self.members.values())
        return Whole(self.me, claims, tuple(self.cuts.values()) if high >= CUTS_SINCE else ())

    def introduce(self, now: int, claim: Claim) -> None:
        """A member known from elsewhere, as if it had always been there."""
        self._claimed(now, claim)

    def settle(self, now: int, contacts: Iterable[Address]) -> None:
        """All are introduced: nothing of it is news."""
        self._table.set_contacts(contacts)
        self._gossip.clear()
        self._arm(now)

    # What may be asked.

    def in_doubt(self, now: int) -> str:
        """Why this member trusts its own verdicts not at all at present; empty where it does."""
        if now - self._woke_late_at < self.rules.interval:
            return "late"
        if self._vain >= max(2, min(3, len(self._ring))) and now - self._vain_since < self.rules.doubt_most:
            return "unanswered"
        return ""

    def degree(self, now: int, member: Member) -> Degree:
        """What the view shows of a member."""
        if member.degree is Degree.ALIVE:
            if member.cut_in or member.cut_out:
                return Degree.CUT
            if member.late * MILLISECOND > self.rules.timeout // 2:
                return Degree.LATE
        return member.degree

    @property
    def alive(self) -> int:
        """How many others are held for there."""
        return len(self._ring)

    @property
    def digest(self) -> int:
        """Of all who are held for there, this member with them; the same where two agree on them."""
        return self._table.digest ^ mark(self.me.name, self.me.incarnation, self.me.birth)

    @property
    def slow(self) -> int:
        return self._slow

    @property
    def lateness(self) -> int:
        """Milliseconds by which this member's turns ran late of late."""
        return self._lateness

    def some_contacts(self, most: int) -> list[Address]:
        """Where others can be found after a restart: so many at the most."""
        return [member.claim.address for member in islice(self._ring, most)]

    # Time.

    def _wake(self, now: int) -> None:
        """Guards against what a pause makes of others: nobody answers who was not listened to."""
        late = now - self._due
        if late > self.rules.timeout // 2:
            self._woke_late_at = now
            self._lateness = min(late // MILLISECOND, 1 << 30)
            self._slow = min(self._slow + 1, self.rules.late_most)
            if self._probe and not self._probe.answered:
                self._probe = None
            self._probe_at = max(self._probe_at, now + self.rules.timeout)
            for member in self._suspects.values():
                later = now + min(late, 3 * self.rules.interval)
                member.verdict_at = max(member.verdict_at, later)
                self._verdicts.add(member)
            self._vain = 0
            self._heard_at = max(self._heard_at, min(now, self._heard_at + late))
            self._port.say("members.woke-late", late_ms=late // MILLISECOND)
        elif self._lateness and now - self._woke_late_at > 3 * self.rules.interval:
            self._lateness = 0
        self._due = max(self._due, now)

    def _span(self, planned: int) -> int:
        return planned * (1 + self._slow)

    def _arm(self, now: int) -> None:
        due = min(self._probe_at, self._contact_at)
        if self._gossip:
            self._news_at = min(self._news_at, now + self.rules.news_every)
            due = min(due, self._news_at)
        else:
            self._news_at = NEVER
        due = min(due, self._verdicts.next_at())
        for relay in self._relays.values():
            due = min(due, relay.ends)
            break  # the oldest ends first
        due = max(due, now + MILLISECOND)
        if due != self._due:
            self._due = due
            self._port.wake(due)

    # Probes.

    def _step(self, now: int) -> None:
        """The probe under way goes on, or the next one begins."""
        probe = self._probe
        if probe and now < probe.ends:
            if not probe.answered and not probe.asked:
                self._ask_helpers(now, probe)
            self._probe_at = probe.ends
            return
        if probe and not probe.answered:
            self._failed(now, probe)
        self._probe = None
        target = self._next() if self.standing is Standing.IN else None
        if target is None:
            self._probe_at = now + self.rules.interval
            return
        seq = self._chance.getrandbits(48)
        probe = self._probe = Probe(
            target, seq, now, now + self._span(self.rules.timeout), now + self._span(self.rules.interval)
        )
        self._past[seq] = target, now
        while len(self._past) > 32:
            self._past.popitem(last=False)
        self._send(now, target.claim, Kind.PING, seq, target=target.claim.name)
        self._probe_at = probe.asks_at

    def _next(self) -> Member | None:
        last = self._ring.current
        if last and 0 < last.ask_in_vain < 3:
            return last  # is its path down, or was that chance? A large fleet would not be back here for long
        return self._ring.advance()

    def _ask_helpers(self, now: int, probe: Probe) -> None:
        probe.asked = True
        claim = probe.target.claim
        self._send(now, claim, Kind.PING, probe.seq, target=claim.name)  # the first one may just be lost
        for helper in self._ring.some(self.rules.helpers, probe.target):
            probe.wanted += 1
            self._send(
                now, helper.claim, Kind.ASK, probe.seq, target=claim.name, host=claim.host, port=claim.port
            )

    def _failed(self, now: int, probe: Probe) -> None:
        """No answer on any way."""
        member = probe.target
        missed = probe.wanted - probe.nacks if probe.wanted else 1
        self._slow = min(self._slow + max(missed, 0), self.rules.late_most)
        if not self._vain:
            self._vain_since = probe.began
        self._vain += 1
        if not member.active or self.in_doubt(now):
            return
        self._claimed(now, member.claim.ranked(max(Rank.SUSPECTED, member.claim.rank), self.me.name))

    def _pinged(self, now: int, told: Told) -> None:
        heard = -1
        if told.asker and (asker := self.members.get(told.asker)):
            if asker.heard_at >= 0:
                heard = (now - asker.heard_at) // MILLISECOND
            self._send(now, asker.claim, Kind.NEWS, 0)  # shows it whether the way from here is up
        self._send(now, told.me, Kind.ACK, told.seq, target=self.me.name, asker=told.asker, heard=heard)

    def _asked(self, now: int, told: Told) -> None:
        if len(self._relays) >= self.rules.relays_most or not told.host or not 0 < told.port < 65536:
            return
        target = self.members.get(told.target)
        seq = self._chance.getrandbits(48)
        # Before the asker's probe ends, so that it learns that its helpers are well.
        ends = now + self.rules.timeout * 4 // 5
        self._relays[seq] = Relay(told.me, told.seq, told.target, ends)
        if target:
            self._send(now, target.claim, Kind.PING, seq, target=told.target, asker=told.me.name)
        else:
            self._port.send(
                (told.host, told.port),
                self.me.low,
                Datagram(Kind.PING, seq, self.me, told.target, asker=told.me.name),
            )

    def _acked(self, now: int, told: Told, sender: Member | None) -> None:
        relay = self._relays.pop(told.seq, None)
        if relay:
            self._send(now, relay.asker, Kind.ACK, relay.seq, target=relay.target, heard=told.heard)
            return
        if self.standing is Standing.OUT and (told.digest or now - self._began >= self.rules.interval):
            self._want_whole(now, told.me)
        probe = self._probe
        if not probe or told.seq != probe.seq:
            past = self._past.pop(told.seq, None)
            if past and sender is past[0]:  # it answered, but late
                self._late_is(now, sender, (now - past[1]) // MILLISECOND, self.me.name)
            return
        member = probe.target
        direct = told.me.name == member.claim.name
        if not direct and told.target != member.claim.name:
            return
        if not probe.answered:
            probe.answered = True
            self._vain = 0
            self._slow //= 2  # one step at a time kept fleets under pauses slow for minutes
        if direct:
            if not probe.direct:
                probe.direct = True
                self._past.pop(told.seq, None)
                self._path(now, member, out=False, into=False)
                member.ask_in_vain = 0
        elif not probe.direct and probe.wanted:
            probe.wanted = 0  # once a probe
            self._in_vain(now, member, probe, 0 <= told.heard <= (now - probe.began) // MILLISECOND + 1)

    # Paths that are down one way.

    def _in_vain(self, now: int, member: Member, probe: Probe, hears_us: bool) -> None:
        """It lives, but this probe had no answer on the direct way; lost datagrams do that too."""
        if not member.ask_in_vain:
            member.vain_since = probe.began
        member.ask_in_vain += 1
        if member.ask_in_vain >= 3:
            self._path(now, member, out=not hears_us, into=member.heard_at < member.vain_since)

    def _path(self, now: int, member: Member, out: bool, into: bool) -> None:
        """The paths to and from a member, as found by our own probes."""
        before = self.degree(now, member)
        for field, down, start, end in (
            ("cut_out", out, self.me.name, member.claim.name),
            ("cut_in", into, member.claim.name, self.me.name),
        ):
            if bool(getattr(member, field)) != down:
                setattr(member, field, now if down else 0)
                self._hold_cut(self._paths.own(now, start, end, self.me.name, down))
        self._shown(now, member, before, self.me.name)

    def _cut_told(self, now: int, cut: Cut) -> None:
        teller = self.members.get(cut.by)
        told_by_its_end = cut.by in (cut.start, cut.end) and cut.by != self.me.name
        if teller and teller.active and told_by_its_end and self._paths.is_news(cut):
            self._hold_cut(cut)

    def _hold_cut(self, cut: Cut) -> None:
        self._paths.hold(cut)
        self._gossip.tell(key_of(cut), cut)

    # Claims.

    def _claimed(self, now: int, claim: Claim) -> None:
        """Somebody says how a member stands; old news change nothing."""
        if not claim.incarnation or claim.rank is Rank.LEFT and claim.by != claim.name:
            return  # not yet in; or only a member itself can say that it leaves
        if claim.name == self.me.name:
            self._about_me(now, claim)
            return
        member = self.members.get(claim.name)
        if member is None:
            self._met(now, claim)
            return
        if claim.key < member.claim.key:
            return
        if claim.key == member.claim.key:
            if member.accusers is not None and claim.rank in (Rank.SUSPECTED, Rank.GONE):
                self._found_too(now, member, claim)
            return
        newer, was = claim.incarnation > member.claim.incarnation, member.claim
        if claim.rank >= Rank.GONE and not member.active:
            self._hold(now, member, claim, Degree.LEFT if claim.rank is Rank.LEFT else Degree.GONE)
        elif claim.rank is Rank.LEFT:
            self._hold(now, member, claim, Degree.LEFT)
        elif claim.rank is Rank.ALIVE:
            if was.birth != claim.birth:
                member.heard_at, member.late, member.ask_in_vain = -NEVER, 0, 0
            self._hold(now, member, claim, Degree.ALIVE)
        elif claim.rank is Rank.GONE and member.degree is Degree.SUSPECTED:
            self._hold(now, member, claim, Degree.GONE)
        else:  # gone too: guards the living of one side of a cut against what the other made of them
            self._suspect(now, member, claim, newer)
        self._gossip.tell(claim.name, claim)

    def _met(self, now: int, claim: Claim) -> None:
        """A name not known before."""
        if not self._table.has_room():
            if not self.full:
                self.full = True
                self._port.say("members.table-full", most=self.rules.members_most)
            return
        member = self._table.add(now, claim, DEGREES[claim.rank])
        if claim.rank is Rank.SUSPECTED:
            self._begin_suspicion(now, member, claim.by)
        if member.active:
            self._gossip.tell(claim.name, claim)
        self._shown(now, member, None, claim.by)

    def _hold(self, now: int, member: Member, claim: Claim, degree: Degree) -> None:
        """The claim that holds from now on."""
        before, was_active = self.degree(now, member), member.active
        self._table.hold(now, member, claim, degree)
        if degree is not Degree.SUSPECTED:
            member.accusers, member.verdict_at = None, NEVER
            self._suspects.pop(claim.name, None)
        if was_active and not member.active:
            member.cut_in = member.cut_out = 0
            self._paths.forget(claim.name)
        self._shown(now, member, before, claim.by)

    # Suspicions.

    def _suspect(self, now: int, member: Member, claim: Claim, newer: bool) -> None:
        running = member.accusers is not None and not newer
        self._hold(now, member, claim, Degree.SUSPECTED)
        if running:
            self._found_too(now, member, claim)
        else:
            self._begin_suspicion(now, member, claim.by)

    def _begin_suspicion(self, now: int, member: Member, by: str) -> None:
        member.degree = Degree.SUSPECTED
        member.accusers, member.suspected_at = {by}, now
        self._suspects[member.claim.name] = member
        if self._spans_changed():
            for suspect in self._suspects.values():
                self._time_verdict(suspect)
        else:
            self._time_verdict(member)

    def _found_too(self, now: int, member: Member, claim: Claim) -> None:
        """One more member finds the same: sooner gone, and told on as often as the first time."""
        if claim.by in member.accusers or len(member.accusers) > self.rules.helpers:
            return
        member.accusers.add(claim.by)
        self._time_verdict(member)
        self._gossip.tell(claim.name, claim)

    def _spans_changed(self) -> bool:
        """Whether verdicts set earlier would be set otherwise now, by more than a hundredth."""
        least, wanted = self.rules.least(len(self._ring) + 1), self._findings_wanted()
        least_before, wanted_before = self._spans
        if wanted == wanted_before and abs(least - least_before) * 100 <= least_before:
            return False
        self._spans = least, wanted
        return True

    def _findings_wanted(self) -> int:
        """As many more as can find it: where several died at once, those say nothing of each other."""
        return min(self.rules.helpers, len(self._ring) - len(self._suspects))

    def _time_verdict(self, member: Member) -> None:
        self._set_verdict(member)
        self._verdicts.add(member)

    def _set_verdict(self, member: Member) -> None:
        least = self.rules.least(len(self._ring) + 1)
        if member.claim.rank is Rank.GONE:
            span = least  # somebody has waited already
        else:
            most = least * self.rules.patience
            wanted = self._findings_wanted()
            found = min(len(member.accusers) - 1, wanted)
            share = math.log(found + 1) / math.log(wanted + 1) if wanted else 1.0
            span = round(max(least, most - (most - least) * share))
        member.verdict_at = member.suspected_at + span

    def _judge(self, now: int) -> None:
        """Suspicions that have run out."""
        for member in self._verdicts.due(now):
            if self.in_doubt(now):
                member.verdict_at = now + self.rules.interval
                self._verdicts.add(member)
                continue
            claim = member.claim.ranked(Rank.GONE, self.me.name)
            self._hold(now, member, claim, Degree.GONE)
            self._gossip.tell(claim.name, claim)

    def _word_of(self, now: int, member: Member, told: Told) -> None:
        """The member itself was heard."""
        member.heard_at = now
        self._late_is(now, member, told.late, member.claim.name)

    def _late_is(self, now: int, member: Member, late: int, by: str) -> None:
        """By so many milliseconds, as it says or as its answer came."""
        before, member.late = self.degree(now, member), late
        self._shown(now, member, before, by)

    def _shown(self, now: int, member: Member, before: Degree | None, by: str) -> None:
        """Tell of a change of degree, if it was one."""
        after = self.degree(now, member)
        if after is not before:
            member.since, member.word = now, by
            self._port.changed(Change(now, member.claim.name, before, after, by, member.claim.incarnation))

    # This member itself.

    def _about_me(self, now: int, claim: Claim) -> None:
        if claim.key <= self.me.key and claim.rank is Rank.ALIVE or claim.incarnation < self.me.incarnation:
            return
        mine = claim.birth == self.me.birth
        if self.standing is Standing.LEAVING:
            return
        if self._is_anothers(claim):
            self._yield(now, claim)
        elif (
            claim.rank is not Rank.ALIVE
            and (mine or claim.rank >= Rank.GONE)
            or (not mine and claim.address == self.me.address)
        ):  # its port is ours: that life is over
            self._rise(now, claim.incarnation + 1, claim)

    def _is_anothers(self, claim: Claim) -> bool:
        """Our name, held by a living process elsewhere with the better claim."""
        me = self.me
        return (
            claim.name == me.name
            and claim.birth != me.birth
            and claim.rank < Rank.GONE
            and claim.address != me.address
            and claim.key > me.key
        )

    def _rise(self, now: int, incarnation: int, because: Claim | None = None) -> None:
        """Refute what is claimed, or begin a new life, with a number that nobody has used."""
        me = self.me
        self.me = msgspec.structs.replace(me, incarnation=incarnation, rank=Rank.ALIVE)
        self._port.keep(incarnation)
        if because and because.birth == me.birth:
            self._slow = min(self._slow + 1, self.rules.late_most)
            self._port.say(
                "members.refuted", claimed=because.rank.name.lower(), by=because.by, incarnation=incarnation
            )
        self._table.changed_at = now
        if self.standing is Standing.IN:
            self._gossip.tell(me.name, self.me)

    def _yield(self, now: int, other: Claim) -> None:
        """Guards a name used by two processes: the one with the lower claim stays out until it is free."""
        if self.standing is Standing.IN:
            self._port.say(
                "members.name-lost", other=f"{other.host}:{other.port}", incarnation=other.incarnation
            )
        self.standing = Standing.OUT
        self._probe = None
        self._gossip.forget(self.me.name)
        self._contact_at = min(self._contact_at, now + self.rules.contact_every)

    def _enter(self, now: int) -> None:
        self.standing = Standing.IN
        if self.me.incarnation == 0:
            self._rise(now, 1)
        else:
            self._gossip.tell(self.me.name, self.me)
        self._probe_at = min(self._probe_at, now + self.rules.interval)
        self._port.say("members.entered", incarnation=self.me.incarnation, members=len(self._ring) + 1)

    # Seeds, and those held gone.

    def _contact(self, now: int) -> None:
        """One word to one who is not among the active: how members join and cuts heal."""
        jitter = self._chance.uniform(0.75, 1.25)
        outside = self.standing is Standing.OUT
        every = (
            self.rules.interval
            if outside and now - self._began < 10 * self.rules.interval
            else self.rules.contact_every
        )
        self._contact_at = now + round(every * jitter)
        if self.standing is Standing.LEAVING:
            return
        self._table.forget_before(now - self.rules.forget)
        ways: list[Address] = [
            address
            for address, active in self._table.contacts.items()
            if (outside or not active) and address != self.me.address
        ]
        gone = self._table.gone
        if gone and (not ways or self._chance.random() < 0.5):
            member = self._chance.choice(gone)
            self._send(now, member.claim, Kind.PING, 0, target=member.claim.name)
        elif ways:
            for address in self._chance.sample(ways, len(ways) if outside and len(ways) <= 3 else 1):
                self._port.send(
                    address, self.me.low, Datagram(Kind.PING, 0, self.me, digest=self._table.digest)
                )
        if outside and now - self._began >= 3 * self.rules.interval and self._alone_at_start(now):
            self._enter(now)

    def _alone_at_start(self, now: int) -> bool:
        """Nobody answers: the first of a cluster goes in by itself; who lost its name does not."""
        quiet = now - self._heard_at
        return quiet >= (self.rules.doubt_most if self._ring else 3 * self.rules.interval)

    def _compare(self, now: int, told: Told) -> None:
        """Views that have stood still and differ: one whole state mends what gossip lost."""
        if not told.digest or self.standing is not Standing.IN or told.kind is Kind.NEWS:
            return
        settled = min(self._settled(now), told.settled * MILLISECOND) >= self.rules.settle
        if told.digest != self.digest and (settled or not self._ring):
            self._want_whole(now, told.me)

    def _settled(self, now: int) -> int:
        """For how long this view has stood still; not while there is something left to tell on."""
        return 0 if self._gossip else now - self._table.changed_at

    def _want_whole(self, now: int, other: Claim) -> None:
        rest = self.rules.whole_rest if self.standing is Standing.IN else self.rules.interval
        if now - self._whole_at >= rest:
            self._whole_at = now
            self._port.ask_whole(other.address)

    # Words to others.

    def _tell_news(self, now: int) -> None:
        self._news_at = now + self.rules.news_every
        if self.standing is Standing.OUT:
            self._gossip.clear()
            return
        for member in list(self._ring.some(self.rules.news_to)):
            if self._gossip and self._budget.left(now) >= self.rules.datagram_most:
                self._send(now, member.claim, Kind.NEWS, 0)

    def _send(self, now: int, to: Claim, kind: Kind, seq: int, **fields: object) -> None:
        """A datagram with as much of the news as it holds."""
        room = self.rules.datagram_most - 360  # what the rest takes at most
        if kind is not Kind.NEWS:
            room = max(min(room, self._budget.left(now) - ENVELOPE), URGENT_ROOM)
        load = Load(room)
        held = self.members.get(to.name)
        if held and (held.claim.key > to.key or held.claim.rank is not Rank.ALIVE):
            # Who is thought gone hears it first, and can refute it.
            load.add_claim(encode(held.claim))
        if self.standing is not Standing.OUT:
            self._gossip.pack(to, self.rules.told(len(self._ring) + 1), load)
        self._budget.spend(ENVELOPE + room - load.room)
        settled = min(self._settled(now) // MILLISECOND, 1 << 30)
        version = min(to.high, self.me.high)
        self._port.send(
            to.address,
            version,
            Datagram(
                kind,
                seq,
                self.me,
                late=self._lateness,
                digest=self.digest if self.standing is Standing.IN else 0,
                settled=settled,
                claims=tuple(load.claims),
                cuts=tuple(load.cuts),
                **fields,
            ),
        )
