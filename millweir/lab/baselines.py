"""Other ways to know who is there, to compare with; none of them runs in a relay."""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Iterable

from millweir.members.core import MILLISECOND, Change, Core, Degree, Member, Port, Probe, Rules
from millweir.members.messages import Claim, Datagram, Kind, Rank, Told, Whole


class PlainSwim(Core):
    """SWIM with suspicion alone: one fixed time, no word of one's own lateness, gone is believed at once."""

    def in_doubt(self, now: int) -> str:
        return ""

    def _wake(self, now: int) -> None:
        self._due = max(self._due, now)

    def _failed(self, now: int, probe: Probe) -> None:
        if probe.target.active:
            claim = probe.target.claim
            self._claimed(now, claim.ranked(max(Rank.SUSPECTED, claim.rank), self.me.name))

    def _rise(self, now: int, incarnation: int, because: Claim | None = None) -> None:
        super()._rise(now, incarnation, because)
        self._slow = 0

    def _found_too(self, now: int, member: Member, claim: Claim) -> None:
        pass

    def _set_verdict(self, member: Member) -> None:
        member.verdict_at = member.suspected_at + self.rules.least(len(self._ring) + 1)

    def _suspect(self, now: int, member: Member, claim: Claim, newer: bool) -> None:
        if claim.rank is Rank.GONE:
            self._hold(now, member, claim, Degree.GONE)
        else:
            super()._suspect(now, member, claim, newer)


class Heartbeats:
    """Everybody tells everybody each interval; silence for a fixed time is gone."""

    def __init__(
        self,
        port: Port,
        rules: Rules,
        chance: random.Random,
        now: int,
        me: Claim,
        contacts: Iterable[tuple[str, int]] = (),
    ) -> None:
        self._port, self.rules, self._chance = port, rules, chance
        self.me = me
        self.members: dict[str, Member] = {}
        self._next = now + round(chance.uniform(0.5, 1.5) * rules.interval)
        self.silence = rules.least(10)

    def introduce(self, now: int, claim: Claim) -> None:
        member = self.members[claim.name] = Member(claim, now)
        member.heard_at = now

    def settle(self, now: int, contacts: Iterable[tuple[str, int]]) -> None:
        self._port.wake(self._next)

    def heard(self, now: int, told: Told) -> None:
        member = self.members.get(told.me.name)
        if member is None:
            return
        self._beat(now, member)
        if member.degree is Degree.GONE:
            member.degree = Degree.ALIVE
            self._port.changed(Change(now, told.me.name, Degree.GONE, Degree.ALIVE, told.me.name, 1))

    def _beat(self, now: int, member: Member) -> None:
        member.heard_at = now

    def _silent(self, now: int, member: Member) -> bool:
        return now - member.heard_at > self.silence

    def time_passed(self, now: int) -> None:
        if now >= self._next:
            self._next = now + self.rules.interval
            datagram = Datagram(Kind.NEWS, 0, self.me)
            for name, member in self.members.items():
                self._port.send(member.claim.address, 1, datagram)
                if member.degree is Degree.ALIVE and self._silent(now, member):
                    member.degree = Degree.GONE
                    self._port.changed(Change(now, name, Degree.ALIVE, Degree.GONE, self.me.name, 1))
        self._port.wake(self._next)

    def whole(self, high: int = 1) -> Whole:
        return Whole(self.me, ())

    def whole_told(self, now: int, whole: Whole) -> None:
        pass


class PhiAccrual(Heartbeats):
    """The same heartbeats, judged by how unlikely the silence is (Hayashibara et al. 2004)."""

    THRESHOLD = 8.0
    LEAST_DEVIATION = 100 * MILLISECOND

    def __init__(self, *given: object) -> None:
        super().__init__(*given)
        self._past: dict[str, deque[int]] = {}

    def _beat(self, now: int, member: Member) -> None:
        past = self._past.setdefault(member.claim.name, deque(maxlen=100))
        past.append(now - member.heard_at)
        member.heard_at = now

    def _silent(self, now: int, member: Member) -> bool:
        past = self._past.get(member.claim.name)
        if not past or len(past) < 3:
            return now - member.heard_at > self.silence
        mean = sum(past) / len(past)
        deviation = max(math.sqrt(sum((one - mean) ** 2 for one in past) / len(past)), self.LEAST_DEVIATION)
        tail = 0.5 * math.erfc((now - member.heard_at - mean) / deviation / math.sqrt(2))
        return tail < 10**-self.THRESHOLD


WAYS = {"millweir": Core, "plain-swim": PlainSwim, "heartbeats": Heartbeats, "phi-accrual": PhiAccrual}
