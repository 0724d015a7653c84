"""Slow start: when a host is ejected, how often it is tried then, and how its load grows once it is back.

The operators' term: a destination that is back from an outage is cold; all relays together may send it N
calls in the fall time, N growing with its capacity, and only so many more as chance explains.  Relays share
nothing, so each keeps to a part of N, and the parts of all add up to N.

Whether a host is down needs evidence from several calls; whether what is sent there may push it over has to
be answered from the first failed call on.  So a host has four states:

    healthy     nothing holds it back.
    suspected   one call failed.  One more may follow at once; if that goes well, the failure stood alone and
                the host is healthy.  Of all relays only those whose first failure fell into the last moment
                of an outage can take its end for that.
    ejected     a second call failed, or none could follow at once: one spaced trial at a time.
    slow start  a trial went well: the pace grows with time, until the cold time is over.

A process that has just started knows nothing: it has one call out to a host until one there has gone well.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable, Iterable
from dataclasses import replace
from enum import Enum

from millweir.events import ColdHost, HostState, HostTransition
from millweir.interface import SECOND, Settings
from millweir.records import NEVER, Call, Host

FULFILLED_WEIGHT = -1.4  # log odds of a sequential test: 4 in 5 calls fail against 1 in 5
FAILED_WEIGHT = 1.4
REFUSED_WEIGHT = 0.9
REFUSED_RUN = 3  # refusals in a row that count as a failed call
EJECT_AT = 4.6  # log odds of a hundred to one
YOUNG = 5 * SECOND  # the first seconds of a life tell little of its use
CONFIRM_PART = 4  # a suspicion is confirmed or dropped within this part of the fall time
TRANSITIONS_KEPT = 1024  # changes of state that the log has not picked up yet
FORGOTTEN_KEPT = 4096  # cold hosts that left the list long ago; the one forgotten first makes room


def cold_host(host: Host) -> ColdHost:
    """What is to be known of it once its record is gone."""
    refused = host.last_refusal_at > max(host.last_success_at, host.last_failure_at)
    return ColdHost(
        host=host.id,
        seen_at=max(host.last_failure_at, host.last_refusal_at),
        slow_start_rate=host.slow_start_rate,
        recovered_at=host.recovered_at,
        limit=host.limit_scope.limit if refused else 0.0,
    )


class Evidence(Enum):
    """What a failure says of the host."""

    OUTAGE = "outage"  # it may be down, and its siblings with it
    UNCLEAR = "unclear"  # it may be down, or one connection was lost; an outage if a sibling fails too
    OWN_CAUSE = "own cause"  # there is a cause that is no outage: it counts for the sequential test only


class SlowStart:
    """The state of each host, kept in its record; no clock and no chance of its own."""

    def __init__(self, given: Settings, chance: Callable[[], float], born: int) -> None:
        self._chance = chance
        self._born = born
        self._fall_time = given.fall_time or SECOND
        self._confirm_time = self._fall_time // CONFIRM_PART
        self._cold_time = given.cold_time
        self.cold_share = min(1.0, given.fall_multiple * given.cold_from) or 1.0  # no such rule: all of it
        self._warming = (1 - given.cold_from) / (given.cold_from or 1.0) / max(1, given.cold_time)
        self.transitions: deque[HostTransition] = deque(maxlen=TRANSITIONS_KEPT)  # newest last
        self.changes = 0  # of what `list_recovering_hosts` tells
        self.replaced = False  # a process beside this one has the part of the budget
        self._forgotten: OrderedDict[bytes, ColdHost] = OrderedDict()

    def sent(self, host: Host, now: int) -> None:
        """A call leaves."""
        host.last_call_at, host.confirm_by = now, 0
        if self.on_trial(host):
            host.limit_scope.last_trial_at = now

    def succeeded(self, host: Host, call: Call, now: int) -> None:
        """A call went well."""
        self.changes += self._last_went_wrong(host)
        host.last_success_at, host.consecutive_refusals = now, 0
        host.failure_score = max(0.0, host.failure_score + FULFILLED_WEIGHT)
        if not host.slow_start_rate:
            return
        if host.suspected_at and self._stood_alone(host, call, now):
            self._recover(host, "the failure stood alone")
        elif call.sent_at >= host.ejected_at:
            if not host.recovered_at:
                host.recovered_at, host.suspected_at = now, 0
                self._enter(host, HostState.SLOW_START, "fulfilled")
            if now - host.recovered_at >= self._cold_time:
                self._recover(host, "warm")

    def failed(
        self,
        host: Host,
        weight: float,
        cause: str,
        now: int,
        call: Call | None = None,
        evidence: Evidence = Evidence.OUTAGE,
    ) -> None:
        """A call failed; no `call` for what is known without one, such as by hand."""
        if evidence is not Evidence.OWN_CAUSE:
            host.last_failure_at = now
            self.changes += 1
        if evidence is Evidence.UNCLEAR and self._sibling_fails(host):
            evidence = Evidence.OUTAGE
        host.failure_score = min(EJECT_AT, host.failure_score + weight)
        sent_at = call.sent_at if call else now
        if host.failure_score >= EJECT_AT or host.slow_start_rate and not host.suspected_at:
            self._eject(host, cause, now, sent_at if evidence is Evidence.OUTAGE else NEVER)
        elif weight < FAILED_WEIGHT or evidence is not Evidence.OUTAGE:
            return
        elif host.suspected_at:
            if sent_at >= host.suspected_at:
                self._eject(host, cause, now, host.suspected_at)
        elif self._may_stand_alone(host, weight, now):
            self._suspect(host, cause, now)
        else:
            self._eject(host, cause, now, sent_at)

    def refused(self, host: Host, now: int, call: Call) -> None:
        """A call was refused; whether by a limit or by an outage, the learned limit keeps it to its part.

        Guards rule 4 where that limit is above the part: what a told wait holds back goes at random behind
        its end, as all that were refused may have been told the same one.
        """
        host.last_refusal_at = now
        host.consecutive_refusals += 1
        self.changes += 1
        if host.limit_scope.retry_after_until > now:
            self._spread_behind_wait(host, now)
        if host.consecutive_refusals >= REFUSED_RUN and now - host.last_success_at > self._fall_time:
            self.failed(host, FAILED_WEIGHT, "refused again and again", now, call)

    def siblings_failed(
        self,
        host: Host,
        weight: float,
        cause: str,
        now: int,
        call: Call,
        evidence: Evidence = Evidence.OUTAGE,
    ) -> None:
        """An outage mostly takes all hosts of a destination."""
        siblings = self._siblings(host)
        for other in siblings if siblings else [host]:
            self.failed(other, weight, cause, now, call, evidence)

    def restore(self, host: Host, cold: ColdHost, now: int) -> None:
        """What an earlier life, or a process beside this one, knows of the host.

        Guards rule 4: who was told of an outage is so in its next life too, and all relays may have been
        restarted at once.
        """
        if host.slow_start_rate or host.last_success_at > cold.seen_at:
            return
        if cold.recovered_at and now - cold.recovered_at >= self._cold_time:
            return
        if cold.limit and not cold.slow_start_rate:
            host.limit_scope.limit, host.limit_scope.increased_at = (
                min(host.limit_scope.limit, cold.limit),
                NEVER,
            )
            host.last_refusal_at = cold.seen_at
            self.changes += 1
            self._spread_behind_wait(host, now)
            return
        host.last_failure_at = cold.seen_at
        self._hold(host, now, cold.slow_start_rate)
        host.recovered_at = cold.recovered_at
        self._spread_trials(host, now)
        self._enter(host, HostState.SLOW_START if cold.recovered_at else HostState.EJECTED, "known before")
        for sibling in () if cold.recovered_at else self._siblings(host):
            self.restore(sibling, replace(cold, host=sibling.id), now)  # an outage mostly takes all of them

    def cold_hosts(self, hosts: Iterable[Host]) -> list[ColdHost]:
        """Of these hosts and those that were forgotten what has to outlast the process."""
        known = [cold_host(host) for host in hosts if host.slow_start_rate or self._last_went_wrong(host)]
        return known + list(self._forgotten.values())

    def forget(self, host: Host) -> None:
        """It left the list long ago and its record goes; it may be listed again as its outage ends."""
        if host.slow_start_rate or self._last_went_wrong(host):
            self._forgotten[host.id] = cold_host(host)
            if len(self._forgotten) > FORGOTTEN_KEPT:
                self._forgotten.popitem(last=False)

    def recall(self, host: Host, now: int) -> None:
        """A host is listed for the first time, or again after its record went."""
        if cold := self._forgotten.pop(host.id, None):
            self.restore(host, cold, now)

    def usable_again(self, host: Host, now: int) -> None:
        """A host that could get no calls for a while can now, and all relays have waited for this moment."""
        if not host.slow_start_rate and any(map(self._last_went_wrong, self._siblings(host) or [host])):
            self._hold(host, now)
            self._enter(host, HostState.EJECTED, "failed before it left")
        if self.on_trial(host):
            self._spread_trials(host, now)

    def opens_at(self, host: Host, now: int) -> int:
        """When the host may be sent its next call; 0 where nothing holds it back."""
        if not host.slow_start_rate or now <= host.confirm_by:
            return 0
        warm = now - host.recovered_at if host.recovered_at else 0
        if warm >= self._cold_time:
            return 0
        growth = min(2 ** (warm / self._fall_time), 1 + self._warming * (warm + self._fall_time // 4))
        own = host.last_call_at + int(SECOND / (host.slow_start_rate * growth))
        return own if host.recovered_at else max(own, self._siblings_open_at(host))

    def _siblings_open_at(self, host: Host) -> int:
        """Trials of one destination are spaced evenly over its hosts, lest they fall together."""
        siblings = max(1, len(self._siblings(host)))
        return host.limit_scope.last_trial_at + int(SECOND / (host.slow_start_rate * siblings))

    def on_trial(self, host: Host) -> bool:
        """Suspected or ejected, with no call gone well since."""
        return bool(host.slow_start_rate) and not host.recovered_at

    def state(self, host: Host) -> HostState:
        """How it is treated."""
        if not host.slow_start_rate:
            return HostState.HEALTHY
        if host.recovered_at:
            return HostState.SLOW_START
        return HostState.SUSPECTED if host.suspected_at else HostState.EJECTED

    def holds_back(self, host: Host) -> bool:
        """The one call that may be out there is out; one that is overdue counts no more."""
        if self.replaced and host.slow_start_rate:
            return True
        return (self.on_trial(host) or not host.last_success_at) and host.in_flight > host.overdue

    def rank(self, host: Host, bears_trials: bool) -> int:
        """Which of several hosts with room goes first: the lowest.

        One whose trial is due gets it, by a message that may go again; otherwise its siblings would take all
        calls and nobody would ever know that it is back.
        """
        if self.on_trial(host):
            return 0 if bears_trials else 2
        return 2 if host.slow_start_rate else 1

    def may_open_sooner(self, host: Host, now: int) -> int:
        """When to look again at a host held back: its pace grows meanwhile."""
        return now + self._fall_time // 32 if host.slow_start_rate else 1 << 62

    @staticmethod
    def _last_went_wrong(host: Host) -> bool:
        """Its last call failed or was refused."""
        return max(host.last_failure_at, host.last_refusal_at) > host.last_success_at

    @staticmethod
    def _siblings(host: Host) -> list[Host]:
        """All listed hosts that share its limit, itself among them."""
        return [other for other in host.destination.hosts if other.limit_scope is host.limit_scope]

    def _sibling_fails(self, host: Host) -> bool:
        """The last call to another host that shares its limit failed: two lost links are an outage."""
        return any(
            other.last_failure_at > other.last_success_at
            for other in self._siblings(host)
            if other is not host
        )

    def _may_stand_alone(self, host: Host, weight: float, now: int) -> bool:
        """A first failure of which one more call may tell at once whether it stood alone.

        Not at a host where none went well in this life if that life has just begun, as a whole fleet may have
        been restarted, or if nobody answered at all; nor where a sibling is on trial already.
        """
        if host.limit_scope.retry_after_until > now + self._confirm_time:
            return False  # all that were told that wait would follow at its end
        young = now - self._born < self._cold_time
        answered = weight <= FAILED_WEIGHT  # more stands for silence, or nobody there
        return (host.last_success_at or answered and not young) and not any(
            map(self.on_trial, self._siblings(host))
        )

    def _stood_alone(self, host: Host, call: Call, now: int) -> bool:
        """The host answered as soon after its first failure as an outage would hardly end."""
        soon = host.suspected_at + self._confirm_time
        if now <= soon:
            return now - call.sent_at <= self._fall_time  # else it has hung for so long
        return host.suspected_at <= call.sent_at <= soon and not call.is_overdue

    def _recover(self, host: Host, cause: str) -> None:
        host.slow_start_rate = 0.0
        if not host.suspected_at:
            host.failure_score = 0.0
        host.suspected_at = host.confirm_by = host.recovered_at = 0
        self._enter(host, HostState.HEALTHY, cause)

    def _suspect(self, host: Host, cause: str, now: int) -> None:
        self._hold(host, now)
        host.suspected_at = now
        host.confirm_by = max(now, host.table_full_until) + self._confirm_time
        self._enter(host, HostState.SUSPECTED, cause)

    def _eject(self, host: Host, cause: str, now: int, began: int) -> None:
        """`began`: since when it is known to fail; siblings that answered after that are well."""
        ejected = self.on_trial(host) and not host.suspected_at
        for sibling in self._siblings(host) if began < NEVER else ():  # an outage mostly takes all of them
            if sibling is not host and not sibling.slow_start_rate and sibling.last_answer_at < began:
                self._suspect(sibling, "sibling ejected", now)
        self._hold(host, now)
        host.suspected_at = host.confirm_by = 0
        if not ejected:
            self._enter(host, HostState.EJECTED, cause)

    def _hold(self, host: Host, now: int, slow_start_rate: float = 0.0) -> None:
        """From now on spaced trials; the first one at random, as all relays may have seen it fail at once.

        `slow_start_rate`: the relay's part of the budget, where it is known already.
        """
        host.slow_start_rate = slow_start_rate or self._part_of_budget(host, now)
        host.limit_scope.last_ejected = host
        host.ejected_at, host.recovered_at = now, 0
        spread = self._chance() / 2
        host.last_call_at = max(now, host.limit_scope.retry_after_until) - int(
            spread * SECOND / host.slow_start_rate
        )

    def _spread_trials(self, host: Host, now: int) -> None:
        """All relays may begin anew with its spacing in this moment: each at another point of it."""
        host.last_call_at = max(now, host.limit_scope.retry_after_until) - int(
            self._chance() * SECOND / host.slow_start_rate
        )

    def _spread_behind_wait(self, host: Host, now: int) -> None:
        """The next call goes at a random point of what the limit leaves between two."""
        limit_scope = host.limit_scope
        limit_scope.resume_at = max(now, limit_scope.retry_after_until) + int(
            self._chance() * SECOND / limit_scope.limit
        )

    def _part_of_budget(self, host: Host, now: int) -> float:
        """Calls a second while cold: the cold share of own use.

        Use is weighed with an even part of the listed rate, as if that had been seen for the time in which it
        is one call.  So the parts of all relays add up to no more than that rate or all that is asked for,
        also where few messages have come yet, or more relays are alive than the settings name.
        """
        share = host.limit_scope.fair_share
        weight = max(SECOND / share, YOUNG)
        seen = host.destination.accepted_count * SECOND + share * weight
        used = seen / (now - self._born + weight)
        passes = max(share, host.limit_scope.limit)  # of what is asked for, where that is more than the rate
        return (
            self.cold_share
            * min(used, passes, host.limit_scope.listed_rate)
            / max(1, len(host.destination.hosts))
        )

    def _enter(self, host: Host, state: HostState, cause: str) -> None:
        self.changes += 1
        self.transitions.append(HostTransition(host.id, state, cause, host.slow_start_rate))
