"""Membership core: SWIM failure detection and gossip, with Lifeguard's local health checks.

The core does no I/O and reads neither clock nor entropy: the caller passes the time, in nanoseconds, and a
random generator.  The caller reports each kind of event by its own method; the core acts through `Port`.

Theory of operation.  Each member probes one other member per interval, in an order that is reshuffled each
round, so that every member is probed within a bounded time.  A probe is a ping.  If no ack arrives in time,
the member sends a second ping and asks a few others to ping the target for it (ping-req).  If all of these
fail the target is *suspected*, and the suspicion is gossiped.  A suspicion that nobody refutes turns into
*gone* after a timeout that shrinks as more members confirm the suspicion (SWIM; Lifeguard).  The suspect
refutes it with a higher *incarnation*, a number that only the member itself raises.  Gossip carries *member
records*.  Records of one name are ordered by (incarnation, state, process run), and the greatest wins in
whatever order they arrive (`MemberRecord.precedence`).

Three rules keep the views correct through process pauses and network partitions:

- A member whose timer fires late has been paused: a probe of that time does not count, and no suspicion
  expires before the datagrams received meanwhile are read and others have had time to send more.
- A member whose last probes of several members all failed suspects its own connection rather than the
  others: it accuses nobody and withholds its failure verdicts, up to a time limit.
- A report that a member which was alive a moment ago is gone starts only a suspicion, so that the two sides
  of a healed partition do not remove each other's members.

The view is a hint with several degrees of certainty; it never grants a right (docs/design/members.md).
"""

from __future__ import annotations

import math
import random
from collections import OrderedDict
from collections.abc import Iterable
from itertools import islice

import msgspec

from millweir.members.gossip import ByteBudget, GossipPayload, GossipQueue
from millweir.members.messages import (
    PATH_REPORTS_MIN_VERSION,
    Datagram,
    FullState,
    Kind,
    MemberRecord,
    PathReport,
    ReceivedDatagram,
    ReportedState,
    encode,
    mark,
)
from millweir.members.paths import PathTable, path_key
from millweir.members.port import Port
from millweir.members.probing import IndirectProbe, Probe
from millweir.members.rules import MILLISECOND, NEVER, SECOND, Address, Rules
from millweir.members.suspicion import SuspicionTimers
from millweir.members.table import MemberTable
from millweir.members.view import Change, LocalState, Member, MemberStatus

__all__ = [
    "MILLISECOND",
    "NEVER",
    "SECOND",
    "Address",
    "Change",
    "Core",
    "LocalState",
    "Member",
    "MemberStatus",
    "Port",
    "Probe",
    "Rules",
]

DATAGRAM_OVERHEAD_BYTES = 230  # approximate size without gossip, including the lower-layer headers
INITIAL_STATUS = {  # status of a newly added member, by the state that its record reports
    ReportedState.ALIVE: MemberStatus.ALIVE,
    ReportedState.SUSPECTED: MemberStatus.SUSPECTED,
    ReportedState.GONE: MemberStatus.GONE,
    ReportedState.LEFT: MemberStatus.LEFT,
}
MIN_GOSSIP_BYTES = 240  # room for gossip in a probe or an answer even when the byte budget is spent


class Core:
    """The membership protocol of one member: probes, suspicions, gossip and the member table."""

    def __init__(
        self,
        port: Port,
        rules: Rules,
        rng: random.Random,
        now: int,
        me: MemberRecord,
        contacts: Iterable[Address] = (),
    ) -> None:
        """The incarnation of `me` is the last one saved by an earlier process run, or 0 if there was none."""
        self._port, self.rules, self._rng = port, rules, rng
        self.me = me.with_state(ReportedState.ALIVE, me.name)
        if me.incarnation:  # an earlier process run used the saved incarnation
            self.me = msgspec.structs.replace(self.me, incarnation=me.incarnation + 1)
            port.save_incarnation(me.incarnation + 1)
        self.local_state = LocalState.NOT_JOINED
        self._table = MemberTable(rules.max_members, rng, now, contacts)
        self.members = self._table.members
        self._active_members = self._table.active_members
        self._path_table = PathTable(rules.max_path_reports)
        self.path_reports = self._path_table.reports
        self.table_full = False  # a record was dropped because the table had no room
        self._probe: Probe | None = None
        # Target and start time of the last probes by sequence number, to recognize late acks.
        self._recent_probes: OrderedDict[int, tuple[Member, int]] = OrderedDict()
        # Probes on behalf of others, by the sequence number of our ping.
        self._indirect_probes: OrderedDict[int, IndirectProbe] = OrderedDict()
        self._gossip = GossipQueue(me.name)
        self._budget = ByteBudget(rules.bytes_per_second, rules.max_datagram_bytes, now)
        self._suspects: dict[str, Member] = {}
        self._suspicion_timers = SuspicionTimers(self._suspects)
        self._timeout_inputs = 0, 0  # minimum time and expected confirmations of the last full rescheduling
        self._awareness = 0  # Lifeguard awareness score: probe timeouts are multiplied by one more than this
        self._unanswered_probes = 0  # consecutive probes without any ack, direct or indirect
        self._unanswered_since = now
        self._last_received_at = now
        self._woke_late_at = -NEVER
        self._lateness_ms = 0
        self._full_state_requested_at = -NEVER
        self._started_at = now
        self._timer_at = NEVER
        # Jitter, so that members do not probe in lockstep.
        self._next_probe_at = now + round(rng.uniform(0.5, 1.5) * rules.interval)
        self._next_gossip_at = NEVER
        self._next_contact_at = now
        if not self._table.contacts:
            self._join(now)

    # Events reported by the caller.

    def receive_datagram(self, now: int, datagram: ReceivedDatagram) -> None:
        """Processes a datagram that has been authenticated and is not a replay."""
        self._check_lateness(now)
        sender = datagram.sender
        if not sender.is_valid() or sender.name == self.me.name and sender.run_id == self.me.run_id:
            return
        self._last_received_at = now
        if sender.state in (ReportedState.ALIVE, ReportedState.LEFT) and sender.reporter == sender.name:
            self._apply_record(now, sender)
        member = self.members.get(sender.name)
        if member and member.record.run_id == sender.run_id:
            self._note_received_from(now, member, datagram)
        elif member:
            member = None
        for record in datagram.records:
            if record.is_valid():
                self._apply_record(now, record)
        for report in datagram.path_reports:
            self._handle_path_report(now, report)
        if datagram.kind is Kind.PING and datagram.target in ("", self.me.name):
            self._handle_ping(now, datagram)
        elif datagram.kind is Kind.ACK:
            self._handle_ack(now, datagram, member)
        elif datagram.kind is Kind.NACK and self._probe and datagram.seq == self._probe.seq:
            self._probe.nacks += 1
        elif datagram.kind is Kind.PING_REQ and self.local_state is LocalState.JOINED:
            self._handle_ping_req(now, datagram)
        self._compare_digests(now, datagram)
        self._update_timer(now)

    def receive_full_state(self, now: int, full_state: FullState) -> None:
        """Merges another member's full state, whichever side requested the exchange."""
        self._check_lateness(now)
        self._last_received_at = now
        records = [record for record in (full_state.sender, *full_state.records) if record.is_valid()]
        for record in records:
            self._apply_record(now, record)
        for report in full_state.path_reports:
            self._handle_path_report(now, report)
        if self.local_state is LocalState.NOT_JOINED and not any(
            self._is_name_conflict(record) for record in records
        ):
            self._join(now)
        self._update_timer(now)

    def time_passed(self, now: int) -> None:
        """Runs everything that is due; called when the time requested by `set_timer` is reached."""
        self._check_lateness(now)
        # Always rearm: an event loop compares timers with the start of its turn, so they may fire early.
        self._timer_at = 0
        if now >= self._next_contact_at:
            self._contact_inactive_members(now)
        if now >= self._next_probe_at:
            self._advance_probe(now)
        self._expire_suspicions(now)
        for seq in [
            seq for seq, indirect_probe in self._indirect_probes.items() if indirect_probe.ends_at <= now
        ]:
            indirect_probe = self._indirect_probes.pop(seq)
            self._send(
                now, indirect_probe.requester, Kind.NACK, indirect_probe.seq, target=indirect_probe.target
            )
        if now >= self._next_gossip_at:
            self._send_gossip(now)
        self._update_timer(now)

    def leave(self, now: int) -> None:
        """Announces an orderly leave to as many members as any other update; then the member goes silent."""
        if self.local_state is LocalState.LEAVING:
            return
        was, self.local_state = self.local_state, LocalState.LEAVING
        self.me = self.me.with_state(ReportedState.LEFT, self.me.name)
        self._probe = None
        if was is LocalState.JOINED:
            for member in self._active_members.sample(
                max(self.rules.gossip_fanout, 2 * self.rules.indirect_probe_count)
            ):
                self._send(now, member.record, Kind.GOSSIP, 0)
            self._gossip.enqueue(self.me.name, self.me)
            self._next_gossip_at = now
        self._update_timer(now)

    def build_full_state(self, max_version: int = 1 << 30) -> FullState:
        """Returns everything held here, in the form for a member that supports up to `max_version`."""
        records = tuple(member.record for member in self.members.values())
        return FullState(
            self.me,
            records,
            tuple(self.path_reports.values()) if max_version >= PATH_REPORTS_MIN_VERSION else (),
        )

    def add_known_member(self, now: int, record: MemberRecord) -> None:
        """Adds a member known from another source, as if it had always been present."""
        self._apply_record(now, record)

    def finish_bootstrap(self, now: int, contacts: Iterable[Address]) -> None:
        """Ends the adding of known members: sets the contacts and discards the gossip it has caused."""
        self._table.set_contacts(contacts)
        self._gossip.clear()
        self._update_timer(now)

    # Queries.

    def diagnose_local_health(self, now: int) -> str:
        """Returns why this member's own failure verdicts are unreliable at present, or "" if they are not."""
        if now - self._woke_late_at < self.rules.interval:
            return "late"
        if (
            self._unanswered_probes >= max(2, min(3, len(self._active_members)))
            and now - self._unanswered_since < self.rules.max_isolation
        ):
            return "unanswered"
        return ""

    def status_of(self, now: int, member: Member) -> MemberStatus:
        """Returns the status of a member as the view shows it: path faults and lateness override `ALIVE`."""
        if member.status is MemberStatus.ALIVE:
            if member.inbound_down_since or member.outbound_down_since:
                return MemberStatus.PATH_DOWN
            if member.lateness_ms * MILLISECOND > self.rules.timeout // 2:
                return MemberStatus.LATE
        return member.status

    @property
    def active_count(self) -> int:
        """Number of other members that are alive or suspected."""
        return len(self._active_members)

    @property
    def digest(self) -> int:
        """Digest of the active members including this one; equal for members that agree on them."""
        return self._table.digest ^ mark(self.me.name, self.me.incarnation, self.me.run_id)

    @property
    def awareness(self) -> int:
        """Lifeguard awareness score: 0 while this member keeps up, higher when it seems to run slowly."""
        return self._awareness

    @property
    def lateness_ms(self) -> int:
        """Milliseconds by which this member's timer recently fired late; 0 if it did not."""
        return self._lateness_ms

    def list_contacts(self, limit: int) -> list[Address]:
        """Returns the addresses of up to `limit` active members, to be contacted after a restart."""
        return [member.record.address for member in islice(self._active_members, limit)]

    # Timer.

    def _check_lateness(self, now: int) -> None:
        """Guards the others after a pause of this process: acks that it has not read are not missing."""
        delay = now - self._timer_at
        if delay > self.rules.timeout // 2:
            self._woke_late_at = now
            self._lateness_ms = min(delay // MILLISECOND, 1 << 30)
            self._awareness = min(self._awareness + 1, self.rules.max_awareness)
            if self._probe and not self._probe.answered:
                self._probe = None
            self._next_probe_at = max(self._next_probe_at, now + self.rules.timeout)
            for member in self._suspects.values():
                earliest = now + min(delay, 3 * self.rules.interval)
                member.suspicion_expires_at = max(member.suspicion_expires_at, earliest)
                self._suspicion_timers.add(member)
            self._unanswered_probes = 0
            self._last_received_at = max(self._last_received_at, min(now, self._last_received_at + delay))
            self._port.log_event("members.woke-late", late_ms=delay // MILLISECOND)
        elif self._lateness_ms and now - self._woke_late_at > 3 * self.rules.interval:
            self._lateness_ms = 0
        self._timer_at = max(self._timer_at, now)

    def _scale_by_awareness(self, duration: int) -> int:
        """Lengthens a probe time while this member seems to run slowly itself."""
        return duration * (1 + self._awareness)

    def _update_timer(self, now: int) -> None:
        """Requests a call of `time_passed` at the earliest time at which anything is due."""
        due = min(self._next_probe_at, self._next_contact_at)
        if self._gossip:
            self._next_gossip_at = min(self._next_gossip_at, now + self.rules.gossip_interval)
            due = min(due, self._next_gossip_at)
        else:
            self._next_gossip_at = NEVER
        due = min(due, self._suspicion_timers.next_expiry())
        for indirect_probe in self._indirect_probes.values():
            due = min(due, indirect_probe.ends_at)
            break  # in order of their end: all have the same duration
        due = max(due, now + MILLISECOND)
        if due != self._timer_at:
            self._timer_at = due
            self._port.set_timer(due)

    # Probes.

    def _advance_probe(self, now: int) -> None:
        """Requests indirect probes for the running probe, or ends it and starts the next one."""
        probe = self._probe
        if probe and now < probe.ends_at:
            if not probe.answered and not probe.indirect_requested:
                self._request_indirect_probes(now, probe)
            self._next_probe_at = probe.ends_at
            return
        if probe and not probe.answered:
            self._handle_probe_failure(now, probe)
        self._probe = None
        target = self._choose_target() if self.local_state is LocalState.JOINED else None
        if target is None:
            self._next_probe_at = now + self.rules.interval
            return
        seq = self._rng.getrandbits(48)
        probe = self._probe = Probe(
            target,
            seq,
            now,
            now + self._scale_by_awareness(self.rules.timeout),
            now + self._scale_by_awareness(self.rules.interval),
        )
        self._recent_probes[seq] = target, now
        while len(self._recent_probes) > 32:
            self._recent_probes.popitem(last=False)
        self._send(now, target.record, Kind.PING, seq, target=target.record.name)
        self._next_probe_at = probe.indirect_at

    def _choose_target(self) -> Member | None:
        """Returns the member to be probed next, or None if there is no other."""
        last = self._active_members.current
        if last and 0 < last.indirect_only_probes < 3:
            # Probe it again at once to tell a path that is down from lost datagrams: in a large fleet its
            # next turn would come much later.
            return last
        return self._active_members.advance()

    def _request_indirect_probes(self, now: int, probe: Probe) -> None:
        """Pings the target again, and asks a few other members to ping it."""
        probe.indirect_requested = True
        record = probe.target.record
        self._send(now, record, Kind.PING, probe.seq, target=record.name)  # the first ping may have been lost
        for helper in self._active_members.sample(self.rules.indirect_probe_count, probe.target):
            probe.expected_nacks += 1
            self._send(
                now,
                helper.record,
                Kind.PING_REQ,
                probe.seq,
                target=record.name,
                host=record.host,
                port=record.port,
            )

    def _handle_probe_failure(self, now: int, probe: Probe) -> None:
        """Raises the awareness score and suspects the target: neither it nor a helper has answered."""
        member = probe.target
        missed = probe.expected_nacks - probe.nacks if probe.expected_nacks else 1
        self._awareness = min(self._awareness + max(missed, 0), self.rules.max_awareness)
        if not self._unanswered_probes:
            self._unanswered_since = probe.started_at
        self._unanswered_probes += 1
        if not member.active or self.diagnose_local_health(now):
            return
        self._apply_record(
            now, member.record.with_state(max(ReportedState.SUSPECTED, member.record.state), self.me.name)
        )

    def _handle_ping(self, now: int, datagram: ReceivedDatagram) -> None:
        """Answers with an ack, which tells the requester of an indirect ping whether its datagrams arrive."""
        last_seen_ms = -1
        if datagram.requester and (requester := self.members.get(datagram.requester)):
            if requester.last_received_at >= 0:
                last_seen_ms = (now - requester.last_received_at) // MILLISECOND
            # Shows the requester whether the path from here is up.
            self._send(now, requester.record, Kind.GOSSIP, 0)
        self._send(
            now,
            datagram.sender,
            Kind.ACK,
            datagram.seq,
            target=self.me.name,
            requester=datagram.requester,
            requester_last_seen_ms=last_seen_ms,
        )

    def _handle_ping_req(self, now: int, datagram: ReceivedDatagram) -> None:
        """Pings the target on behalf of the sender, whether or not the target is known here."""
        if (
            len(self._indirect_probes) >= self.rules.max_indirect_probes
            or not datagram.host
            or not 0 < datagram.port < 65536
        ):
            return
        target = self.members.get(datagram.target)
        seq = self._rng.getrandbits(48)
        # Ends before the requester's probe does, so that the nack shows in time that this helper is healthy.
        ends_at = now + self.rules.timeout * 4 // 5
        self._indirect_probes[seq] = IndirectProbe(datagram.sender, datagram.seq, datagram.target, ends_at)
        if target:
            self._send(
                now, target.record, Kind.PING, seq, target=datagram.target, requester=datagram.sender.name
            )
        else:
            self._port.send(
                (datagram.host, datagram.port),
                self.me.min_version,
                Datagram(Kind.PING, seq, self.me, datagram.target, requester=datagram.sender.name),
            )

    def _handle_ack(self, now: int, datagram: ReceivedDatagram, sender: Member | None) -> None:
        """Passes on the ack of an indirect probe, or evaluates that of the own probe."""
        indirect_probe = self._indirect_probes.pop(datagram.seq, None)
        if indirect_probe:
            self._send(
                now,
                indirect_probe.requester,
                Kind.ACK,
                indirect_probe.seq,
                target=indirect_probe.target,
                requester_last_seen_ms=datagram.requester_last_seen_ms,
            )
            return
        if self.local_state is LocalState.NOT_JOINED and (
            datagram.digest or now - self._started_at >= self.rules.interval
        ):
            self._request_full_state(now, datagram.sender)
        probe = self._probe
        if not probe or datagram.seq != probe.seq:
            recent = self._recent_probes.pop(datagram.seq, None)
            if recent and sender is recent[0]:  # a late ack of an earlier probe
                self._set_lateness(now, sender, (now - recent[1]) // MILLISECOND, self.me.name)
            return
        member = probe.target
        is_direct = datagram.sender.name == member.record.name
        if not is_direct and datagram.target != member.record.name:
            return
        if not probe.answered:
            probe.answered = True
            self._unanswered_probes = 0
            self._awareness //= 2  # steps of one kept fleets with paused members slow for minutes
        if is_direct:
            if not probe.answered_directly:
                probe.answered_directly = True
                self._recent_probes.pop(datagram.seq, None)
                self._set_path_state(now, member, outbound_down=False, inbound_down=False)
                member.indirect_only_probes = 0
        elif not probe.answered_directly and probe.expected_nacks:
            probe.expected_nacks = 0  # count this probe only once
            self._count_indirect_only_probe(
                now,
                member,
                probe,
                0 <= datagram.requester_last_seen_ms <= (now - probe.started_at) // MILLISECOND + 1,
            )

    # Paths that are down in one direction.

    def _count_indirect_only_probe(
        self, now: int, member: Member, probe: Probe, reaches_target: bool
    ) -> None:
        """Counts a probe that was answered only through a helper; a lost datagram alone also causes that."""
        if not member.indirect_only_probes:
            member.indirect_only_since = probe.started_at
        member.indirect_only_probes += 1
        if member.indirect_only_probes >= 3:
            self._set_path_state(
                now,
                member,
                outbound_down=not reaches_target,
                inbound_down=member.last_received_at < member.indirect_only_since,
            )

    def _set_path_state(self, now: int, member: Member, outbound_down: bool, inbound_down: bool) -> None:
        """Records whether the paths to and from a member are down, as found by this member's own probes."""
        before = self.status_of(now, member)
        for field, down, start, end in (
            ("outbound_down_since", outbound_down, self.me.name, member.record.name),
            ("inbound_down_since", inbound_down, member.record.name, self.me.name),
        ):
            if bool(getattr(member, field)) != down:
                setattr(member, field, now if down else 0)
                self._store_path_report(self._path_table.create_report(now, start, end, self.me.name, down))
        self._notify_if_status_changed(now, member, before, self.me.name)

    def _handle_path_report(self, now: int, report: PathReport) -> None:
        """Accepts a report of an active member about a path of its own."""
        reporting_member = self.members.get(report.reporter)
        from_endpoint = report.reporter in (report.start, report.end) and report.reporter != self.me.name
        if (
            reporting_member
            and reporting_member.active
            and from_endpoint
            and self._path_table.is_newer(report)
        ):
            self._store_path_report(report)

    def _store_path_report(self, report: PathReport) -> None:
        self._path_table.store(report)
        self._gossip.enqueue(path_key(report), report)

    # Member records.

    def _apply_record(self, now: int, record: MemberRecord) -> None:
        """Applies a record, unless the current record of that member takes precedence."""
        if not record.incarnation or record.state is ReportedState.LEFT and record.reporter != record.name:
            return  # has not joined yet, or a leave that the member itself did not report
        if record.name == self.me.name:
            self._handle_own_record(now, record)
            return
        member = self.members.get(record.name)
        if member is None:
            self._add_member(now, record)
            return
        if record.precedence < member.record.precedence:
            return
        if record.precedence == member.record.precedence:
            if member.suspected_by is not None and record.state in (
                ReportedState.SUSPECTED,
                ReportedState.GONE,
            ):
                self._confirm_suspicion(now, member, record)
            return
        newer, previous = record.incarnation > member.record.incarnation, member.record
        if record.state >= ReportedState.GONE and not member.active:
            self._set_record(
                now,
                member,
                record,
                MemberStatus.LEFT if record.state is ReportedState.LEFT else MemberStatus.GONE,
            )
        elif record.state is ReportedState.LEFT:
            self._set_record(now, member, record, MemberStatus.LEFT)
        elif record.state is ReportedState.ALIVE:
            if previous.run_id != record.run_id:
                member.last_received_at, member.lateness_ms, member.indirect_only_probes = -NEVER, 0, 0
            self._set_record(now, member, record, MemberStatus.ALIVE)
        elif record.state is ReportedState.GONE and member.status is MemberStatus.SUSPECTED:
            self._set_record(now, member, record, MemberStatus.GONE)
        else:  # also for GONE: after a partition, one side must not remove live members of the other
            self._suspect(now, member, record, newer)
        self._gossip.enqueue(record.name, record)

    def _add_member(self, now: int, record: MemberRecord) -> None:
        """Adds a member whose name is not in the table yet."""
        if not self._table.has_room():
            if not self.table_full:
                self.table_full = True
                self._port.log_event("members.table-full", most=self.rules.max_members)
            return
        member = self._table.add(now, record, INITIAL_STATUS[record.state])
        if record.state is ReportedState.SUSPECTED:
            self._start_suspicion(now, member, record.reporter)
        if member.active:
            self._gossip.enqueue(record.name, record)
        self._notify_if_status_changed(now, member, None, record.reporter)

    def _set_record(self, now: int, member: Member, record: MemberRecord, status: MemberStatus) -> None:
        """Replaces the current record and status of a member."""
        before, was_active = self.status_of(now, member), member.active
        self._table.update(now, member, record, status)
        if status is not MemberStatus.SUSPECTED:
            member.suspected_by, member.suspicion_expires_at = None, NEVER
            self._suspects.pop(record.name, None)
        if was_active and not member.active:
            member.inbound_down_since = member.outbound_down_since = 0
            self._path_table.remove_reports_by(record.name)
        self._notify_if_status_changed(now, member, before, record.reporter)

    # Suspicions.

    def _suspect(self, now: int, member: Member, record: MemberRecord, newer: bool) -> None:
        """Starts a suspicion, or confirms the running one if the record is of the same incarnation."""
        running = member.suspected_by is not None and not newer
        self._set_record(now, member, record, MemberStatus.SUSPECTED)
        if running:
            self._confirm_suspicion(now, member, record)
        else:
            self._start_suspicion(now, member, record.reporter)

    def _start_suspicion(self, now: int, member: Member, reporter: str) -> None:
        member.status = MemberStatus.SUSPECTED
        member.suspected_by, member.suspected_at = {reporter}, now
        self._suspects[member.record.name] = member
        if self._timeout_inputs_changed():
            for suspect in self._suspects.values():
                self._schedule_suspicion_expiry(suspect)
        else:
            self._schedule_suspicion_expiry(member)

    def _confirm_suspicion(self, now: int, member: Member, record: MemberRecord) -> None:
        """Counts one more member's suspicion: it expires sooner, and is gossiped as often as a new one."""
        if (
            record.reporter in member.suspected_by
            or len(member.suspected_by) > self.rules.indirect_probe_count
        ):
            return
        member.suspected_by.add(record.reporter)
        self._schedule_suspicion_expiry(member)
        self._gossip.enqueue(record.name, record)

    def _timeout_inputs_changed(self) -> bool:
        """Returns whether expiry times set earlier would now differ by more than 1%."""
        min_time, expected = (
            self.rules.min_suspicion_time(len(self._active_members) + 1),
            self._expected_confirmations(),
        )
        min_time_before, expected_before = self._timeout_inputs
        if expected == expected_before and abs(min_time - min_time_before) * 100 <= min_time_before:
            return False
        self._timeout_inputs = min_time, expected
        return True

    def _expected_confirmations(self) -> int:
        """Members that can still confirm a suspicion: those suspected at the same time do not count."""
        return min(self.rules.indirect_probe_count, len(self._active_members) - len(self._suspects))

    def _schedule_suspicion_expiry(self, member: Member) -> None:
        self._set_suspicion_expiry(member)
        self._suspicion_timers.add(member)

    def _set_suspicion_expiry(self, member: Member) -> None:
        """Shortens the timeout from its maximum to its minimum with the logarithm of the confirmations."""
        min_time = self.rules.min_suspicion_time(len(self._active_members) + 1)
        if member.record.state is ReportedState.GONE:
            duration = min_time  # the member that reported it gone has waited already
        else:
            max_time = min_time * self.rules.max_suspicion_factor
            expected = self._expected_confirmations()
            confirmations = min(len(member.suspected_by) - 1, expected)
            progress = math.log(confirmations + 1) / math.log(expected + 1) if expected else 1.0
            duration = round(max(min_time, max_time - (max_time - min_time) * progress))
        member.suspicion_expires_at = member.suspected_at + duration

    def _expire_suspicions(self, now: int) -> None:
        """Declares members gone whose suspicion has expired; waits while local health is impaired."""
        for member in self._suspicion_timers.pop_expired(now):
            if self.diagnose_local_health(now):
                member.suspicion_expires_at = now + self.rules.interval
                self._suspicion_timers.add(member)
                continue
            record = member.record.with_state(ReportedState.GONE, self.me.name)
            self._set_record(now, member, record, MemberStatus.GONE)
            self._gossip.enqueue(record.name, record)

    def _note_received_from(self, now: int, member: Member, datagram: ReceivedDatagram) -> None:
        """Records that a datagram of the member itself has arrived."""
        member.last_received_at = now
        self._set_lateness(now, member, datagram.lateness_ms, member.record.name)

    def _set_lateness(self, now: int, member: Member, lateness_ms: int, reporter: str) -> None:
        """Sets the lateness that the member reports, or that its late ack shows."""
        before, member.lateness_ms = self.status_of(now, member), lateness_ms
        self._notify_if_status_changed(now, member, before, reporter)

    def _notify_if_status_changed(
        self, now: int, member: Member, before: MemberStatus | None, reporter: str
    ) -> None:
        """Reports a change of the visible status, if there is one."""
        after = self.status_of(now, member)
        if after is not before:
            member.status_since, member.status_reporter = now, reporter
            self._port.notify_status_change(
                Change(now, member.record.name, before, after, reporter, member.record.incarnation)
            )

    # Records of this member itself.

    def _handle_own_record(self, now: int, record: MemberRecord) -> None:
        """Reacts to a record of this member's name: refutes it, yields the name, or ignores it."""
        if (
            record.precedence <= self.me.precedence
            and record.state is ReportedState.ALIVE
            or record.incarnation < self.me.incarnation
        ):
            return
        same_run = record.run_id == self.me.run_id
        if self.local_state is LocalState.LEAVING:
            return
        if self._is_name_conflict(record):
            self._yield_name(now, record)
        elif (
            record.state is not ReportedState.ALIVE
            and (same_run or record.state >= ReportedState.GONE)
            or (not same_run and record.address == self.me.address)
        ):  # its address is ours: that process run has ended
            self._raise_incarnation(now, record.incarnation + 1, record)

    def _is_name_conflict(self, record: MemberRecord) -> bool:
        """Whether a live process at another address holds our name with the higher precedence."""
        me = self.me
        return (
            record.name == me.name
            and record.run_id != me.run_id
            and record.state < ReportedState.GONE
            and record.address != me.address
            and record.precedence > me.precedence
        )

    def _raise_incarnation(self, now: int, incarnation: int, refuted: MemberRecord | None = None) -> None:
        """Moves to an unused incarnation, to refute a record or to begin a process run."""
        me = self.me
        self.me = msgspec.structs.replace(me, incarnation=incarnation, state=ReportedState.ALIVE)
        self._port.save_incarnation(incarnation)
        if refuted and refuted.run_id == me.run_id:
            self._awareness = min(self._awareness + 1, self.rules.max_awareness)
            self._port.log_event(
                "members.refuted",
                claimed=refuted.state.name.lower(),
                by=refuted.reporter,
                incarnation=incarnation,
            )
        self._table.changed_at = now
        if self.local_state is LocalState.JOINED:
            self._gossip.enqueue(me.name, self.me)

    def _yield_name(self, now: int, other: MemberRecord) -> None:
        """Leaves the name to another process that uses it: the lower precedence waits until it is free."""
        if self.local_state is LocalState.JOINED:
            self._port.log_event(
                "members.name-lost", other=f"{other.host}:{other.port}", incarnation=other.incarnation
            )
        self.local_state = LocalState.NOT_JOINED
        self._probe = None
        self._gossip.remove(self.me.name)
        self._next_contact_at = min(self._next_contact_at, now + self.rules.contact_interval)

    def _join(self, now: int) -> None:
        """Becomes a member: begins to probe and to gossip its own record."""
        self.local_state = LocalState.JOINED
        if self.me.incarnation == 0:
            self._raise_incarnation(now, 1)
        else:
            self._gossip.enqueue(self.me.name, self.me)
        self._next_probe_at = min(self._next_probe_at, now + self.rules.interval)
        self._port.log_event(
            "members.entered", incarnation=self.me.incarnation, members=len(self._active_members) + 1
        )

    # Contacts and gone members.

    def _contact_inactive_members(self, now: int) -> None:
        """Pings a contact or gone member that is not active: how members join and partitions heal."""
        jitter = self._rng.uniform(0.75, 1.25)
        not_joined = self.local_state is LocalState.NOT_JOINED
        delay = (
            self.rules.interval
            if not_joined and now - self._started_at < 10 * self.rules.interval
            else self.rules.contact_interval
        )
        self._next_contact_at = now + round(delay * jitter)
        if self.local_state is LocalState.LEAVING:
            return
        self._table.remove_gone_before(now - self.rules.gone_retention)
        addresses: list[Address] = [
            address
            for address, active_count in self._table.contacts.items()
            if (not_joined or not active_count) and address != self.me.address
        ]
        gone = self._table.gone
        if gone and (not addresses or self._rng.random() < 0.5):
            member = self._rng.choice(gone)
            self._send(now, member.record, Kind.PING, 0, target=member.record.name)
        elif addresses:
            for address in self._rng.sample(
                addresses, len(addresses) if not_joined and len(addresses) <= 3 else 1
            ):
                self._port.send(
                    address, self.me.min_version, Datagram(Kind.PING, 0, self.me, digest=self._table.digest)
                )
        if not_joined and now - self._started_at >= 3 * self.rules.interval and self._should_join_alone(now):
            self._join(now)

    def _should_join_alone(self, now: int) -> bool:
        """Whether to join unanswered, as the first member of a cluster does; one that lost its name waits."""
        silence = now - self._last_received_at
        return silence >= (self.rules.max_isolation if self._active_members else 3 * self.rules.interval)

    def _compare_digests(self, now: int, datagram: ReceivedDatagram) -> None:
        """Requests a full state if two unchanged views differ: it repairs what gossip has lost."""
        if not datagram.digest or self.local_state is not LocalState.JOINED or datagram.kind is Kind.GOSSIP:
            return
        both_unchanged = (
            min(self._unchanged_time(now), datagram.unchanged_ms * MILLISECOND) >= self.rules.sync_delay
        )
        if datagram.digest != self.digest and (both_unchanged or not self._active_members):
            self._request_full_state(now, datagram.sender)

    def _unchanged_time(self, now: int) -> int:
        """Time since the active members last changed; 0 while updates are still to be gossiped."""
        return 0 if self._gossip else now - self._table.changed_at

    def _request_full_state(self, now: int, other: MemberRecord) -> None:
        """Requests a full state from another member, unless the last request was too recent."""
        min_interval = (
            self.rules.min_full_state_interval
            if self.local_state is LocalState.JOINED
            else self.rules.interval
        )
        if now - self._full_state_requested_at >= min_interval:
            self._full_state_requested_at = now
            self._port.request_full_state(other.address)

    # Sending.

    def _send_gossip(self, now: int) -> None:
        """Sends queued updates to a few random members, within the byte budget."""
        self._next_gossip_at = now + self.rules.gossip_interval
        if self.local_state is LocalState.NOT_JOINED:
            self._gossip.clear()
            return
        for member in list(self._active_members.sample(self.rules.gossip_fanout)):
            if self._gossip and self._budget.available_bytes(now) >= self.rules.max_datagram_bytes:
                self._send(now, member.record, Kind.GOSSIP, 0)

    def _send(self, now: int, recipient: MemberRecord, kind: Kind, seq: int, **fields: object) -> None:
        """Sends a datagram filled up with as much gossip as its size and the byte budget allow."""
        free_bytes = self.rules.max_datagram_bytes - 360  # the other fields take 360 bytes at most
        if kind is not Kind.GOSSIP:
            free_bytes = max(
                min(free_bytes, self._budget.available_bytes(now) - DATAGRAM_OVERHEAD_BYTES), MIN_GOSSIP_BYTES
            )
        payload = GossipPayload(free_bytes)
        known = self.members.get(recipient.name)
        if known and (
            known.record.precedence > recipient.precedence or known.record.state is not ReportedState.ALIVE
        ):
            # A member that is thought gone receives that record first, so that it can refute it.
            payload.add_record(encode(known.record))
        if self.local_state is not LocalState.NOT_JOINED:
            self._gossip.pack(recipient, self.rules.max_transmissions(len(self._active_members) + 1), payload)
        self._budget.spend(DATAGRAM_OVERHEAD_BYTES + free_bytes - payload.free_bytes)
        unchanged_ms = min(self._unchanged_time(now) // MILLISECOND, 1 << 30)
        version = min(recipient.max_version, self.me.max_version)
        self._port.send(
            recipient.address,
            version,
            Datagram(
                kind,
                seq,
                self.me,
                lateness_ms=self._lateness_ms,
                digest=self.digest if self.local_state is LocalState.JOINED else 0,
                unchanged_ms=unchanged_ms,
                records=tuple(payload.records),
                path_reports=tuple(payload.path_reports),
                **fields,
            ),
        )
