"""Invariants of the core under any sequence of messages.

`MILLWEIR_SEQUENCES` sets how many sequences are tried; docs/results.md gives the figure for 10,000.
"""

import os
import random
from itertools import pairwise

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from millweir.members.core import NEVER, SECOND, Core, LocalState, MemberStatus, Rules
from millweir.members.messages import (
    FullState,
    Kind,
    MemberRecord,
    PathReport,
    ReceivedDatagram,
    ReportedState,
)

NAMES = ("a", "b", "c", "me")
PORTS = {name: 1000 + index for index, name in enumerate(NAMES)}


class RecordingPort:
    """A port that only records saved incarnations and the timer."""

    def __init__(self):
        self.incarnations, self.timer_at = [], None

    def set_timer(self, at):
        self.timer_at = at

    def save_incarnation(self, incarnation):
        self.incarnations.append(incarnation)

    def send(self, to, version, datagram):
        assert len(datagram.records) <= 64

    def request_full_state(self, to):
        pass

    def notify_status_change(self, change):
        pass

    def log_event(self, event, **fields):
        pass


def make_record(name, run_id, incarnation, state, reporter, moved):
    return MemberRecord(
        name, run_id, incarnation, state, "127.0.0.1", PORTS[name] + 100 * moved, reporter, 1, 2
    )


names, run_ids, incarnations = st.sampled_from(NAMES), st.integers(1, 3), st.integers(0, 4)
records = st.builds(
    make_record, names, run_ids, incarnations, st.sampled_from(ReportedState), names, st.booleans()
)
path_reports = st.builds(PathReport, names, names, names, st.integers(0, 5), st.booleans())
senders = st.builds(
    lambda name, run_id, incarnation: make_record(
        name, run_id, incarnation, ReportedState.ALIVE, name, False
    ),
    st.sampled_from(NAMES[:3]),
    run_ids,
    incarnations,
)
datagrams = st.builds(
    ReceivedDatagram,
    st.sampled_from(Kind),
    st.integers(0, 3),
    senders,
    st.sampled_from(NAMES),
    records=st.lists(records, max_size=4).map(tuple),
    path_reports=st.lists(path_reports, max_size=2).map(tuple),
    lateness_ms=st.sampled_from((0, 900)),
    digest=st.integers(0, 2),
    unchanged_ms=st.integers(0, 9000),
    requester=st.sampled_from(("", "a")),
    requester_last_seen_ms=st.integers(-1, 2000),
)


class Sequences(RuleBasedStateMachine):
    """Two cores that receive the same messages, the second in another order and at other times."""

    @initialize(saved=st.integers(0, 3), seeds=st.booleans())
    def begin(self, saved, seeds):
        self.now = SECOND
        me = MemberRecord("me", 9, saved, ReportedState.ALIVE, "127.0.0.1", PORTS["me"], "me", 1, 2)
        contacts = [("127.0.0.1", 1000)] if seeds else []
        self.port = RecordingPort()
        self.core = Core(self.port, Rules(max_members=8), random.Random(1), self.now, me, contacts)
        self.core.time_passed(self.now)
        self.received = []
        self.highest, self.last_inactive, self.own_incarnation = {}, {}, self.core.me.incarnation

    @rule(datagram=datagrams)
    def receive_datagram(self, datagram):
        self.received.append(datagram)
        self.core.receive_datagram(self.now, datagram)

    @rule(sender=senders, given=st.lists(records, max_size=6))
    def receive_full_state(self, sender, given):
        self.received.append(FullState(sender, tuple(given)))
        self.core.receive_full_state(self.now, self.received[-1])

    @rule(after=st.sampled_from((0.01, 0.3, 1.0, 7.0, 60.0)))
    def let_time_pass(self, after):
        self.now += round(after * SECOND)
        self.core.time_passed(self.now)

    @rule()
    def fire_timer(self):
        self.now = max(self.now, self.port.timer_at)
        self.core.time_passed(self.now)

    @rule()
    def leave(self):
        self.core.leave(self.now)

    @invariant()
    def check_that_incarnations_only_rise(self):
        if not hasattr(self, "core"):
            return
        for name, member in self.core.members.items():
            assert member.record.precedence >= self.highest.get(name, (0, 0, 0))
            self.highest[name] = member.record.precedence
        assert self.core.me.incarnation >= self.own_incarnation
        self.own_incarnation = self.core.me.incarnation
        assert all(before < after for before, after in pairwise(self.port.incarnations))
        assert self.core.local_state is not LocalState.JOINED or self.own_incarnation > 0

    @invariant()
    def check_that_no_member_returns_with_the_same_incarnation(self):
        if not hasattr(self, "core"):
            return
        for name, member in self.core.members.items():
            if member.active:
                assert member.record.incarnation > self.last_inactive.get(name, 0)
            else:
                self.last_inactive[name] = member.record.incarnation

    @invariant()
    def check_that_tables_are_consistent(self):
        if not hasattr(self, "core"):
            return
        core = self.core
        active = [member.record.name for member in core._active_members]
        assert sorted(active) == sorted(name for name, m in core.members.items() if m.active)
        table = core._table
        assert set(table.gone) == {m for m in core.members.values() if m.status is MemberStatus.GONE}
        assert len(set(table.gone)) == len(table.gone)
        addresses = [member.record.address for member in core._active_members]
        assert table.contacts == {address: addresses.count(address) for address in table.contacts}
        assert (
            "me" not in core.members
            and len(core.members) <= 8
            and len(core.path_reports) <= core.rules.max_path_reports
        )
        assert set(core._suspects) == {name for name, m in core.members.items() if m.suspected_by is not None}
        expiry_times = [member.suspicion_expires_at for member in core._suspects.values()]
        assert core._suspicion_timers.next_expiry() == min(expiry_times, default=NEVER)
        assert self.port.timer_at is None or core._timer_at == self.port.timer_at

    def teardown(self):
        """Two cores that received the same messages in any order hold the same records."""
        if not hasattr(self, "core") or self.core.local_state is LocalState.LEAVING:
            return
        me = MemberRecord("me", 8, 9, ReportedState.ALIVE, "127.0.0.1", PORTS["me"], "me", 1, 2)
        views = []
        for seed in range(2):
            core = Core(RecordingPort(), Rules(), random.Random(seed), SECOND, me)
            messages = list(self.received)
            random.Random(seed).shuffle(messages)
            for message in messages:
                (core.receive_datagram if isinstance(message, ReceivedDatagram) else core.receive_full_state)(
                    SECOND, message
                )
            views.append({name: m.record.precedence for name, m in core.members.items()})
        assert views[0] == views[1]


Sequences.TestCase.settings = settings(
    max_examples=int(os.environ.get("MILLWEIR_SEQUENCES", "150")),
    stateful_step_count=20,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
TestSequences = Sequences.TestCase
