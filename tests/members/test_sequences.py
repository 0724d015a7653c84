"""Any sequence of messages: what holds of the core whatever comes.

`MILLWEIR_SEQUENCES` sets how many sequences are tried; the figure of 10,000 stands in docs/results.md.
"""

import os
import random
from itertools import pairwise

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from millweir.members.core import NEVER, SECOND, Core, Degree, Rules, Standing
from millweir.members.messages import Claim, Cut, Kind, Rank, Told, Whole

NAMES = ("a", "b", "c", "me")
PORTS = {name: 1000 + at for at, name in enumerate(NAMES)}


class Quiet:
    """A port that keeps what it must."""

    def __init__(self):
        self.kept, self.due = [], None

    def wake(self, at):
        self.due = at

    def keep(self, incarnation):
        self.kept.append(incarnation)

    def send(self, to, version, datagram):
        assert len(datagram.claims) <= 64

    def ask_whole(self, to):
        pass

    def changed(self, change):
        pass

    def say(self, event, **fields):
        pass


def claimed(name, birth, incarnation, rank, by, moved):
    return Claim(name, birth, incarnation, rank, "127.0.0.1", PORTS[name] + 100 * moved, by, 1, 2)


names, births, numbers = st.sampled_from(NAMES), st.integers(1, 3), st.integers(0, 4)
claims = st.builds(claimed, names, births, numbers, st.sampled_from(Rank), names, st.booleans())
cuts = st.builds(Cut, names, names, names, st.integers(0, 5), st.booleans())
senders = st.builds(
    lambda name, birth, number: claimed(name, birth, number, Rank.ALIVE, name, False),
    st.sampled_from(NAMES[:3]),
    births,
    numbers,
)
datagrams = st.builds(
    Told,
    st.sampled_from(Kind),
    st.integers(0, 3),
    senders,
    st.sampled_from(NAMES),
    claims=st.lists(claims, max_size=4).map(tuple),
    cuts=st.lists(cuts, max_size=2).map(tuple),
    late=st.sampled_from((0, 900)),
    digest=st.integers(0, 2),
    settled=st.integers(0, 9000),
    asker=st.sampled_from(("", "a")),
    heard=st.integers(-1, 2000),
)


class Sequences(RuleBasedStateMachine):
    """Two cores that hear the same, the second one in another order and at other times."""

    @initialize(kept=st.integers(0, 3), seeds=st.booleans())
    def begin(self, kept, seeds):
        self.now = SECOND
        me = Claim("me", 9, kept, Rank.ALIVE, "127.0.0.1", PORTS["me"], "me", 1, 2)
        contacts = [("127.0.0.1", 1000)] if seeds else []
        self.port = Quiet()
        self.core = Core(self.port, Rules(members_most=8), random.Random(1), self.now, me, contacts)
        self.core.time_passed(self.now)
        self.told = []
        self.best, self.out, self.mine = {}, {}, self.core.me.incarnation

    @rule(told=datagrams)
    def datagram(self, told):
        self.told.append(told)
        self.core.heard(self.now, told)

    @rule(me=senders, given=st.lists(claims, max_size=6))
    def whole(self, me, given):
        self.told.append(Whole(me, tuple(given)))
        self.core.whole_told(self.now, self.told[-1])

    @rule(after=st.sampled_from((0.01, 0.3, 1.0, 7.0, 60.0)))
    def time(self, after):
        self.now += round(after * SECOND)
        self.core.time_passed(self.now)

    @rule()
    def due(self):
        self.now = max(self.now, self.port.due)
        self.core.time_passed(self.now)

    @rule()
    def leave(self):
        self.core.leave(self.now)

    @invariant()
    def incarnations_only_rise(self):
        if not hasattr(self, "core"):
            return
        for name, member in self.core.members.items():
            assert member.claim.key >= self.best.get(name, (0, 0, 0))
            self.best[name] = member.claim.key
        assert self.core.me.incarnation >= self.mine
        self.mine = self.core.me.incarnation
        assert all(before < after for before, after in pairwise(self.port.kept))
        assert self.core.standing is not Standing.IN or self.mine > 0

    @invariant()
    def gone_is_never_alive_again_under_one_number(self):
        if not hasattr(self, "core"):
            return
        for name, member in self.core.members.items():
            if member.active:
                assert member.claim.incarnation > self.out.get(name, 0)
            else:
                self.out[name] = member.claim.incarnation

    @invariant()
    def what_is_kept_fits_together(self):
        if not hasattr(self, "core"):
            return
        core = self.core
        ring = [member.claim.name for member in core._ring]
        assert sorted(ring) == sorted(name for name, m in core.members.items() if m.active)
        table = core._table
        assert set(table.gone) == {m for m in core.members.values() if m.degree is Degree.GONE}
        assert len(set(table.gone)) == len(table.gone)
        there = [member.claim.address for member in core._ring]
        assert table.contacts == {address: there.count(address) for address in table.contacts}
        assert "me" not in core.members and len(core.members) <= 8 and len(core.cuts) <= core.rules.cuts_most
        assert set(core._suspects) == {name for name, m in core.members.items() if m.accusers is not None}
        verdicts = [member.verdict_at for member in core._suspects.values()]
        assert core._verdicts.next_at() == min(verdicts, default=NEVER)
        assert self.port.due is None or core._due == self.port.due

    def teardown(self):
        """Two cores that heard the same agree, whatever the order, once all suspicions have run out."""
        if not hasattr(self, "core") or self.core.standing is Standing.LEAVING:
            return
        me = Claim("me", 8, 9, Rank.ALIVE, "127.0.0.1", PORTS["me"], "me", 1, 2)
        views = []
        for seed in range(2):
            core = Core(Quiet(), Rules(), random.Random(seed), SECOND, me)
            told = list(self.told)
            random.Random(seed).shuffle(told)
            for one in told:
                (core.heard if isinstance(one, Told) else core.whole_told)(SECOND, one)
            views.append({name: m.claim.key for name, m in core.members.items()})
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
