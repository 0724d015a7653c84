"""Other failure detectors as baselines for comparison; none of them runs in a relay."""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Iterable

from millweir.members.core import MILLISECOND, Change, Core, Member, MemberStatus, Port, Probe, Rules
from millweir.members.messages import Datagram, FullState, Kind, MemberRecord, ReceivedDatagram, ReportedState


class PlainSwim(Core):
    """SWIM with suspicion alone: a fixed timeout, no check of its own health, `gone` is accepted at once."""

    def diagnose_local_health(self, now: int) -> str:
        return ""

    def _check_lateness(self, now: int) -> None:
        self._timer_at = max(self._timer_at, now)

    def _handle_probe_failure(self, now: int, probe: Probe) -> None:
        if probe.target.active:
            claim = probe.target.record
            self._apply_record(now, claim.with_state(max(ReportedState.SUSPECTED, claim.state), self.me.name))

    def _raise_incarnation(self, now: int, incarnation: int, because: MemberRecord | None = None) -> None:
        super()._raise_incarnation(now, incarnation, because)
        self._awareness = 0

    def _confirm_suspicion(self, now: int, member: Member, claim: MemberRecord) -> None:
        pass

    def _set_suspicion_expiry(self, member: Member) -> None:
        member.suspicion_expires_at = member.suspected_at + self.rules.min_suspicion_time(
            len(self._active_members) + 1
        )

    def _suspect(self, now: int, member: Member, claim: MemberRecord, newer: bool) -> None:
        if claim.state is ReportedState.GONE:
            self._set_record(now, member, claim, MemberStatus.GONE)
        else:
            super()._suspect(now, member, claim, newer)


class Heartbeats:
    """All-to-all heartbeats each interval; a member silent for a fixed time is gone."""

    def __init__(
        self,
        port: Port,
        rules: Rules,
        rng: random.Random,
        now: int,
        me: MemberRecord,
        contacts: Iterable[tuple[str, int]] = (),
    ) -> None:
        self._port, self.rules, self._rng = port, rules, rng
        self.me = me
        self.members: dict[str, Member] = {}
        self._next_beat_at = now + round(rng.uniform(0.5, 1.5) * rules.interval)
        self.silence_timeout = rules.min_suspicion_time(10)

    def add_known_member(self, now: int, claim: MemberRecord) -> None:
        member = self.members[claim.name] = Member(claim, now)
        member.last_received_at = now

    def finish_bootstrap(self, now: int, contacts: Iterable[tuple[str, int]]) -> None:
        self._port.set_timer(self._next_beat_at)

    def receive_datagram(self, now: int, datagram: ReceivedDatagram) -> None:
        member = self.members.get(datagram.sender.name)
        if member is None:
            return
        self._record_heartbeat(now, member)
        if member.status is MemberStatus.GONE:
            member.status = MemberStatus.ALIVE
            self._port.notify_status_change(
                Change(
                    now, datagram.sender.name, MemberStatus.GONE, MemberStatus.ALIVE, datagram.sender.name, 1
                )
            )

    def _record_heartbeat(self, now: int, member: Member) -> None:
        member.last_received_at = now

    def _is_silent(self, now: int, member: Member) -> bool:
        return now - member.last_received_at > self.silence_timeout

    def time_passed(self, now: int) -> None:
        if now >= self._next_beat_at:
            self._next_beat_at = now + self.rules.interval
            heartbeat = Datagram(Kind.GOSSIP, 0, self.me)
            for name, member in self.members.items():
                self._port.send(member.record.address, 1, heartbeat)
                if member.status is MemberStatus.ALIVE and self._is_silent(now, member):
                    member.status = MemberStatus.GONE
                    self._port.notify_status_change(
                        Change(now, name, MemberStatus.ALIVE, MemberStatus.GONE, self.me.name, 1)
                    )
        self._port.set_timer(self._next_beat_at)

    def build_full_state(self, high: int = 1) -> FullState:
        return FullState(self.me, ())

    def receive_full_state(self, now: int, state: FullState) -> None:
        pass


class PhiAccrual(Heartbeats):
    """Phi accrual failure detector: judges how unlikely the silence is (Hayashibara et al. 2004)."""

    THRESHOLD = 8.0
    MIN_DEVIATION_NS = 100 * MILLISECOND

    def __init__(self, *arguments: object) -> None:
        super().__init__(*arguments)
        self._intervals: dict[str, deque[int]] = {}

    def _record_heartbeat(self, now: int, member: Member) -> None:
        intervals = self._intervals.setdefault(member.record.name, deque(maxlen=100))
        intervals.append(now - member.last_received_at)
        member.last_received_at = now

    def _is_silent(self, now: int, member: Member) -> bool:
        intervals = self._intervals.get(member.record.name)
        if not intervals or len(intervals) < 3:
            return now - member.last_received_at > self.silence_timeout
        mean = sum(intervals) / len(intervals)
        deviation = max(
            math.sqrt(sum((interval - mean) ** 2 for interval in intervals) / len(intervals)),
            self.MIN_DEVIATION_NS,
        )
        tail = 0.5 * math.erfc((now - member.last_received_at - mean) / deviation / math.sqrt(2))
        return tail < 10**-self.THRESHOLD


DETECTORS = {"millweir": Core, "plain-swim": PlainSwim, "heartbeats": Heartbeats, "phi-accrual": PhiAccrual}
