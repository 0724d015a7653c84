"""Outlier ejection and slow start: when a host is ejected, how it is probed, how its load grows again.

Guards rule 4: a recovering host is not overloaded.  The settings call a recovering host cold.  The
operators allow all relays together N calls to it within the recovery window, N growing with its capacity,
plus what chance explains.  Relays share no state, so each keeps to its part of N, and the parts of all add up
to N.

This module says in which state a host is; recovery_schedule.py says when its next call may go.

Ejecting a host needs evidence from several calls, but from the first failed call on no relay may send it more
than its part.  So a host has four states:

    healthy     Nothing limits it here.
    suspected   One call failed.  One confirmation call may follow at once; if it succeeds, the failure was a
                single one and the host is healthy.  Only relays whose first failure fell into the last moment
                of an outage can take the end of the outage for a single failure.
    ejected     A second call failed, or no confirmation call was allowed: one spaced trial call at a time.
    slow start  A trial call succeeded: the rate grows with time until the slow start is over.

A process that has just started knows nothing of a host: it keeps one call in flight there until one succeeds.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable, Iterable
from dataclasses import replace
from enum import Enum

from millweir.events import HostState, HostTransition, RecoveringHost
from millweir.interface import SECOND, Settings
from millweir.records import NEVER, Call, Destination, Host
from millweir.recovery_schedule import RecoverySchedule, find_siblings, is_on_trial

# Log odds of a sequential probability ratio test: 4 in 5 calls fail during an outage, 1 in 5 without one.
SUCCESS_LOG_ODDS = -1.4
FAILURE_LOG_ODDS = 1.4
REFUSAL_LOG_ODDS = 0.9
REFUSALS_PER_FAILURE = 3  # refusals in a row that count as a failed call
EJECTION_LOG_ODDS = 4.6  # a hundred to one
CONFIRM_DIVISOR = 4  # a suspicion is confirmed or dropped within this fraction of the recovery window
LONG_RETRY_AFTER_NS = 2 * SECOND  # a longer one means that the destination is down, not at its limit
MAX_PENDING_TRANSITIONS = 1024  # state changes that the log has not picked up yet
MAX_FORGOTTEN_HOSTS = 4096  # recovering hosts that left the list long ago; the oldest is dropped first


def snapshot_host(host: Host) -> RecoveringHost:
    """What has to be kept of a host after its record is removed."""
    refused = host.last_refusal_at > max(host.last_success_at, host.last_failure_at)
    return RecoveringHost(
        host=host.id,
        last_failure_at=max(host.last_failure_at, host.last_refusal_at),
        slow_start_rate=host.slow_start_rate,
        recovered_at=host.recovered_at,
        limit=host.limit_scope.limit if refused else 0.0,
    )


class Evidence(Enum):
    """What a failure says about the host."""

    OUTAGE = "outage"  # it may be down, and its siblings with it
    UNCLEAR = "unclear"  # it may be down, or one connection was lost; an outage if a sibling fails too
    OTHER_CAUSE = "own cause"  # explained by something other than an outage: for the sequential test only


class SlowStart:
    """Changes the state that each host's record holds; it is given the time and the random numbers."""

    def __init__(self, settings: Settings, random_fraction: Callable[[], float], started_at: int) -> None:
        """`random_fraction` draws evenly from 0 to 1; `started_at`: when the process started."""
        self.schedule = RecoverySchedule(settings, random_fraction, started_at)
        self._started_at = started_at
        self._recovery_window = settings.recovery_window or SECOND
        self._confirm_time = self._recovery_window // CONFIRM_DIVISOR
        self._recovery_time = settings.recovery_time
        self.transitions: deque[HostTransition] = deque(maxlen=MAX_PENDING_TRANSITIONS)  # newest last
        self.changes = 0  # number of changes to the result of `list_recovering_hosts`
        self.replaced = False  # another process uses this relay's part of the budget
        self._forgotten: OrderedDict[tuple[bytes, Destination], RecoveringHost] = OrderedDict()

    def record_call(self, host: Host, now: int) -> None:
        """A call to the host is sent."""
        host.confirm_by = 0
        self.schedule.record_call(host, now)

    def record_success(self, host: Host, call: Call, now: int) -> None:
        """A call succeeded: ends a suspicion, begins the slow start or, once that has lasted, ends it."""
        self.changes += self._last_call_failed(host)
        host.last_success_at, host.consecutive_refusals = now, 0
        host.failure_score = max(0.0, host.failure_score + SUCCESS_LOG_ODDS)
        if not host.slow_start_rate:
            return
        if host.suspected_at and self._confirms_single_failure(host, call, now):
            self._mark_healthy(host, "the failure stood alone")
        elif call.sent_at >= host.ejected_at:
            if not host.recovered_at:
                host.recovered_at, host.suspected_at = now, 0
                self._record_transition(host, HostState.SLOW_START, "fulfilled")
            if now - host.recovered_at >= self._recovery_time:
                self._mark_healthy(host, "warm")

    def record_failure(
        self,
        host: Host,
        weight: float,
        cause: str,
        now: int,
        call: Call | None = None,
        evidence: Evidence = Evidence.OUTAGE,
    ) -> None:
        """A call failed; `call` is None where the failure is known otherwise, as from a lifted cordon."""
        if evidence is not Evidence.OTHER_CAUSE:
            host.last_failure_at = now
            self.changes += 1
        if evidence is Evidence.UNCLEAR and self._has_failing_sibling(host):
            evidence = Evidence.OUTAGE
        host.failure_score = min(EJECTION_LOG_ODDS, host.failure_score + weight)
        sent_at = call.sent_at if call else now
        if host.failure_score >= EJECTION_LOG_ODDS or host.slow_start_rate and not host.suspected_at:
            self._eject(host, cause, now, sent_at if evidence is Evidence.OUTAGE else NEVER)
        elif weight < FAILURE_LOG_ODDS or evidence is not Evidence.OUTAGE:
            return
        elif host.suspected_at:
            if sent_at >= host.suspected_at:
                self._eject(host, cause, now, host.suspected_at)
        elif self._may_confirm(host, weight, now):
            self._suspect(host, cause, now)
        else:
            self._eject(host, cause, now, sent_at)

    def record_refusal(self, host: Host, now: int, call: Call) -> None:
        """A call was refused, by a rate limit or in an outage: the learned limit bounds the relay either way.

        The schedule spaces what goes after a retry-after, as all refused relays may have received the same.
        """
        host.last_refusal_at = now
        host.consecutive_refusals += 1
        self.changes += 1
        self.schedule.record_refusal(host)
        if (
            host.consecutive_refusals >= REFUSALS_PER_FAILURE
            and now - host.last_success_at > self._recovery_window
        ):
            self.record_failure(host, FAILURE_LOG_ODDS, "refused again and again", now, call)

    def record_sibling_failures(
        self,
        host: Host,
        weight: float,
        cause: str,
        now: int,
        call: Call,
        evidence: Evidence = Evidence.OUTAGE,
    ) -> None:
        """Records the failure for all siblings too: an outage usually takes all hosts of a destination."""
        siblings = find_siblings(host)
        for other in siblings if siblings else [host]:
            self.record_failure(other, weight, cause, now, call, evidence)

    def restore_host(self, host: Host, snapshot: RecoveringHost, now: int) -> None:
        """Applies what an earlier process run, or another process of this relay, knows of the host.

        Guards rule 4: a relay that saw an outage goes on with it after a restart; all relays may have been
        restarted at once.
        """
        if host.slow_start_rate or host.last_success_at > snapshot.last_failure_at:
            return
        if snapshot.recovered_at and now - snapshot.recovered_at >= self._recovery_time:
            return
        if snapshot.limit and not snapshot.slow_start_rate:
            host.limit_scope.limit, host.limit_scope.increased_at = (
                min(host.limit_scope.limit, snapshot.limit),
                NEVER,
            )
            host.last_refusal_at = snapshot.last_failure_at
            self.changes += 1
            self.schedule.release_scope(host, now)
            return
        host.last_failure_at = snapshot.last_failure_at
        self._start_trials(host, now, snapshot.slow_start_rate)
        host.recovered_at = snapshot.recovered_at
        self.schedule.release_host(host, now)
        self._record_transition(
            host, HostState.SLOW_START if snapshot.recovered_at else HostState.EJECTED, "known before"
        )
        for sibling in () if snapshot.recovered_at else find_siblings(host):
            self.restore_host(sibling, replace(snapshot, host=sibling.id), now)  # an outage usually takes all

    def list_recovering_hosts(self, hosts: Iterable[Host]) -> list[RecoveringHost]:
        """What has to outlast the process, of these hosts and of those whose records were removed."""
        known = [
            snapshot_host(host) for host in hosts if host.slow_start_rate or self._last_call_failed(host)
        ]
        return known + list(self._forgotten.values())

    def forget_host(self, host: Host) -> None:
        """Keeps a snapshot of a host whose record is removed: it may be listed again as its outage ends."""
        if host.slow_start_rate or self._last_call_failed(host):
            self._forgotten[host.id, host.destination] = snapshot_host(host)
            if len(self._forgotten) > MAX_FORGOTTEN_HOSTS:
                self._forgotten.popitem(last=False)

    def recall_host(self, host: Host, now: int) -> None:
        """Restores the snapshot of a host that is listed again after its record was removed."""
        if snapshot := self._forgotten.pop((host.id, host.destination), None):
            self.restore_host(host, snapshot, now)

    def record_known_wait(self, host: Host, now: int) -> None:
        """Another process of this relay, or an earlier one, was told to wait until `retry_after_until`.

        It holds for all hosts that share the limit, whichever of them the retry-after named.
        """
        siblings = find_siblings(host) or [host]
        outage = host.limit_scope.retry_after_until - now > LONG_RETRY_AFTER_NS
        if outage or any(map(self._last_call_failed, siblings)):
            for sibling in siblings:
                if not sibling.slow_start_rate:
                    self._start_trials(sibling, now)
                    self._record_transition(sibling, HostState.EJECTED, "known retry-after")

    def resume_host(self, host: Host, now: int) -> None:
        """A host that could get no calls for a while can now; all relays may have waited for this moment."""
        if not host.slow_start_rate and any(map(self._last_call_failed, find_siblings(host) or [host])):
            self._start_trials(host, now)
            self._record_transition(host, HostState.EJECTED, "failed before it left")
        if is_on_trial(host):
            self.schedule.release_host(host, now)

    def state_of(self, host: Host) -> HostState:
        if not host.slow_start_rate:
            return HostState.HEALTHY
        if host.recovered_at:
            return HostState.SLOW_START
        return HostState.SUSPECTED if host.suspected_at else HostState.EJECTED

    def withholds_calls(self, host: Host) -> bool:
        """Whether the one call allowed at a time is in flight; an overdue call does not count."""
        if self.replaced and host.slow_start_rate:
            return True
        return (is_on_trial(host) or not host.last_success_at) and host.in_flight > host.overdue

    def selection_rank(self, host: Host, allows_trials: bool) -> int:
        """Which of several hosts with room is used first: the one with the lowest rank.

        A host whose trial call is due gets it, if the message may be sent again; otherwise its siblings would
        take all calls and its recovery would never be noticed.
        """
        if is_on_trial(host):
            return 0 if allows_trials else 2
        return 2 if host.slow_start_rate else 1

    @staticmethod
    def _last_call_failed(host: Host) -> bool:
        """Whether its last call failed or was refused."""
        return max(host.last_failure_at, host.last_refusal_at) > host.last_success_at

    def _has_failing_sibling(self, host: Host) -> bool:
        """The last call to another host that shares its limit failed: two lost connections are an outage."""
        return any(
            other.last_failure_at > other.last_success_at
            for other in find_siblings(host)
            if other is not host
        )

    def _may_confirm(self, host: Host, weight: float, now: int) -> bool:
        """Whether one more call may follow a first failure at once, to tell whether it was a single one.

        Not at a host where no call has succeeded since the process started, if it started recently (a whole
        fleet may have been restarted) or if nothing answered at all; nor while a sibling is on trial.
        """
        if host.limit_scope.retry_after_until > now + self._confirm_time:
            return False  # every relay that received this retry-after would send its call at the end of it
        recently_started = now - self._started_at < self._recovery_time
        answered = weight <= FAILURE_LOG_ODDS  # a greater weight stands for no answer or no connection
        return (host.last_success_at or answered and not recently_started) and not any(
            map(is_on_trial, find_siblings(host))
        )

    def _confirms_single_failure(self, host: Host, call: Call, now: int) -> bool:
        """Whether the host answered too soon after its first failure for an outage to have ended."""
        confirm_end = host.suspected_at + self._confirm_time
        if now <= confirm_end:
            return now - call.sent_at <= self._recovery_window  # a slower call has been hanging all that time
        return host.suspected_at <= call.sent_at <= confirm_end and not call.is_overdue

    def _mark_healthy(self, host: Host, cause: str) -> None:
        host.slow_start_rate = 0.0
        if not host.suspected_at:
            host.failure_score = 0.0
        host.suspected_at = host.confirm_by = host.recovered_at = 0
        self._record_transition(host, HostState.HEALTHY, cause)

    def _suspect(self, host: Host, cause: str, now: int) -> None:
        self._start_trials(host, now)
        host.suspected_at = now
        host.confirm_by = max(now, host.table_full_until) + self._confirm_time
        self._record_transition(host, HostState.SUSPECTED, cause)

    def _eject(self, host: Host, cause: str, now: int, failing_since: int) -> None:
        """Ejects the host and suspects its siblings, but for those that answered after `failing_since`.

        NEVER for `failing_since` leaves all siblings alone.
        """
        ejected = is_on_trial(host) and not host.suspected_at
        for sibling in find_siblings(host) if failing_since < NEVER else ():  # an outage usually takes all
            if sibling is not host and not sibling.slow_start_rate and sibling.last_answer_at < failing_since:
                self._suspect(sibling, "sibling ejected", now)
        self._start_trials(host, now)
        host.suspected_at = host.confirm_by = 0
        if not ejected:
            self._record_transition(host, HostState.EJECTED, cause)

    def _start_trials(self, host: Host, now: int, rate: float = 0.0) -> None:
        host.limit_scope.last_ejected = host
        host.ejected_at = now
        self.schedule.start_trials(host, now, rate)

    def _record_transition(self, host: Host, state: HostState, cause: str) -> None:
        self.changes += 1
        self.transitions.append(HostTransition(host.id, state, cause, host.slow_start_rate))
