"""Checks the six delivery rules on the history of the stand-ins alone, without knowledge of the relays' code.

1: every accepted message gets exactly one final outcome, in time, and is not sent again after that.
2: no message takes effect twice.
3: no new calls to a draining or removed host after the grace period.
4: a recovering host is not overloaded.
5: messages with the same key keep their order.
6: a retry-after wait is binding.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field

from millweir.lab.history import (
    Answered,
    Called,
    Copied,
    Cordoned,
    Ended,
    Fallen,
    History,
    LinkEnded,
    Listed,
    Noticed,
    Offered,
    Ready,
    Replaced,
    Returned,
    Started,
    Struck,
)
from millweir.lab.hostile_clients import HOSTILE_PREFIX, read_relay

MILLISECOND = 1_000_000
TOLERANCE_NS = 50 * MILLISECOND  # added to every time limit
PROCESS_ENDING_FAULTS = ("kill", "lose", "term", "roll", "kill-twice")
NEVER_RAN_STATUSES = (429, 503, 504, 410)
OVER_STATUS = 410  # nothing more is owed for the message
FINAL_STATUSES = (200, OVER_STATUS)
NEVER = 1 << 62
READ_MARGIN_NS = 20 * MILLISECOND  # after which a whole answer has been read, if its connection stands
LATE_RECORD_NS = 600 * MILLISECOND  # in which a folder that takes writes again holds what it had refused


@dataclass(frozen=True, slots=True)
class Terms:
    """The limits of the rules (nanoseconds) and the profiles they apply to, from the relays' settings."""

    non_idempotent: frozenset[str]
    idempotent_by_key: frozenset[str]
    in_order: frozenset[str]
    dedup_window: int
    drain_grace: int
    wait_grace: int = 100 * MILLISECOND
    overdue: int = 300 * MILLISECOND
    after_ready: int = 1_500 * MILLISECOND


@dataclass(slots=True)
class Verdict:
    """Violations by rule number, and the number of messages by outcome."""

    broken: dict[int, list[str]] = field(default_factory=lambda: defaultdict(list))
    counts: dict[str, int] = field(default_factory=lambda: defaultdict(int))

    @property
    def passed(self) -> bool:
        return not self.broken


def check_rules(history: History, terms: Terms, checked_at: int) -> Verdict:
    """Check all rules; `checked_at` is when the scenario had ended and every outcome was due."""
    verdict = Verdict()
    offered = {row.id: row for row in history.select(Offered)}
    calls: dict[str, list[Called]] = defaultdict(list)
    for call in history.select(Called):
        calls[call.id].append(call)
    returns: dict[int, Returned] = {row.call: row for row in history.select(Returned)}
    _check_outcomes(history, terms, offered, calls, returns, checked_at, verdict)
    _check_calls_after_end(history, offered, calls, returns, verdict)
    _check_effects(terms, offered, calls, returns, verdict)
    _check_draining(history, terms, verdict)
    _check_cordons(history, terms, verdict)
    for row in history.select(Fallen):
        verdict.broken[4].append(f"{row.host} fell at {row.calls} calls")
    _check_key_order(history, terms, offered, calls, returns, verdict)
    _check_retry_after(history, terms, verdict)
    return verdict


def _find_downtime(history: History) -> dict[str, list[tuple[int, int, bool]]]:
    """Return by relay the spans in which it could not end any message, and whether its folder was lost.

    A span lasts from a kill until the relay is ready again, or while its process is stopped or starved.
    """
    ready: dict[str, list[int]] = defaultdict(list)
    for row in history.select(Ready):
        ready[row.relay].append(row.at)
    spans: dict[str, list[tuple[int, int, bool]]] = defaultdict(list)
    stops: dict[str, int] = {}
    for row in history.select(Struck):
        if row.kind in PROCESS_ENDING_FAULTS and not row.over:
            back = min((at for at in ready[row.who] if at > row.at), default=1 << 62)
            spans[row.who].append((row.at, back, row.kind == "lose"))
        elif row.kind in ("stop", "starve") and not row.over:
            stops.setdefault(row.who, row.at)
        elif row.kind in ("stop", "starve"):
            spans[row.who].append((stops.pop(row.who, row.at), row.at, False))
    for who, at in stops.items():
        spans[who].append((at, 1 << 62, False))
    return spans


def _find_batch_deadlines(offered: dict[str, Offered], calls: dict[str, list[Called]]) -> dict[int, int]:
    """Return by batch call the earliest deadline of its messages; a later response does not count."""
    answer_by: dict[int, int] = {}
    for ident, made in calls.items():
        for call in made:
            if call.shared and ident in offered:
                due = offered[ident].at + offered[ident].left + TOLERANCE_NS
                answer_by[call.shared] = min(due, answer_by.get(call.shared, due))
    return answer_by


def _check_outcomes(
    history: History,
    terms: Terms,
    offered: dict[str, Offered],
    calls: dict[str, list[Called]],
    returns: dict[int, Returned],
    checked_at: int,
    verdict: Verdict,
) -> None:
    """Rule 1: every accepted message gets exactly one final outcome, in time."""
    statuses = {row.id: row for row in history.select(Answered)}
    answer_by = _find_batch_deadlines(offered, calls)
    notices: dict[str, list[Noticed]] = defaultdict(list)
    for row in history.select(Noticed):
        notices[row.id].append(row)
    downtime = _find_downtime(history)
    for ident, packet in offered.items():
        answer = statuses.get(ident)
        delivered = [
            returns[call.call].at
            for call in calls[ident]
            if call.call in returns
            and returns[call.call].status == 200
            and returns[call.call].at <= answer_by.get(call.shared, 1 << 62)
        ]
        over = [
            returns[call.call].at
            for call in calls[ident]
            if call.call in returns and returns[call.call].status == OVER_STATUS
        ]
        if answer is None or answer.status not in (200, 202):
            verdict.counts["refused" if answer and answer.status else "unanswered"] += 1
            continue
        verdict.counts["taken"] += 1
        received = notices[ident]
        outcomes = [row.at for row in received] + delivered[:1] + over[:1]
        due = packet.at + packet.left + terms.overdue
        spans = downtime[packet.relay]
        if any(lost and packet.at < start < min(outcomes, default=1 << 62) for start, _, lost in spans):
            verdict.counts["lost-with-machine"] += 1
            continue
        if (
            not outcomes
            and due < checked_at
            and not any(start < due and back + terms.after_ready > checked_at for start, back, _ in spans)
        ):
            verdict.broken[1].append(f"{ident} ({packet.profile}, {packet.relay}) has no end")
        elif len(received) > 1 and not any(start < received[-1].at for start, _, _ in spans):
            verdict.broken[1].append(f"{ident} was ended {len(received)} times")
        elif outcomes and min(outcomes) > due:
            late = min(outcomes)
            if not any(start < late and back + terms.after_ready > due for start, back, _ in spans):
                verdict.broken[1].append(f"{ident} ended {(late - due) / 1e6:.0f} ms late")
        undelivered = received[0].result if received else "over" if over else "open"
        verdict.counts["delivered" if delivered else undelivered] += 1
        verdict.counts["noticed-after-end"] += bool(received and (delivered or over))


def _check_calls_after_end(
    history: History,
    offered: dict[str, Offered],
    calls: dict[str, list[Called]],
    returns: dict[int, Returned],
    verdict: Verdict,
) -> None:
    """Rule 1: no call for a message after a whole answer that ended it.

    A delivery may be repeated where a copy of an answer on its connection spoke against it.  Any call may
    where the process ended before its full folder could hold the answer: the next one can't know of it.
    """
    ended_links = {row.link: row.at for row in history.select(LinkEnded)}
    copied_links: dict[int, int] = {}
    for row in history.select(Copied):
        written_at = row.at + round(row.delay * 1e9)
        copied_links[row.link] = min(written_at, copied_links.get(row.link, NEVER))
    downtime, unrecorded = _find_downtime(history), _find_unrecorded_spans(history)
    for ident, packet in offered.items():
        relay = packet.relay
        for call in calls[ident]:
            answer = returns.get(call.call)
            if answer is None or not answer.whole or answer.status not in FINAL_STATUSES:
                continue
            read_by = _find_read_time(answer.at, downtime[relay])
            if ended_links.get(call.link, NEVER) < read_by:
                continue
            if any(start <= read_by and answer.at <= end for start, end in unrecorded[relay]):
                continue
            later = next((other.at for other in calls[ident] if other.at > read_by), NEVER)
            if later == NEVER:
                continue
            if answer.status == 200 and copied_links.get(call.link, NEVER) <= later:
                verdict.counts["repeated-after-copies"] += 1
                continue
            verdict.broken[1].append(
                f"{ident} was answered {answer.status} and went out again "
                f"{(later - answer.at) / 1e6:.0f} ms later"
            )
            break


def _find_unrecorded_spans(history: History) -> dict[str, list[tuple[int, int]]]:
    """Return by relay the spans of a full folder that its process did not outlive, until it ended."""
    spans: dict[str, list[tuple[int, int]]] = defaultdict(list)
    full_since: dict[str, int] = {}
    full_until: dict[str, int] = {}
    for row in history.rows:
        if isinstance(row, Struck) and row.kind == "full":
            (full_until if row.over else full_since)[row.who] = row.at
        elif isinstance(row, Ended) and (since := full_since.pop(row.relay, 0)):
            until = full_until.get(row.relay, 0)
            if until < since or row.at <= until + LATE_RECORD_NS:
                spans[row.relay].append((since, row.at))
    return spans


def _find_read_time(answered_at: int, downtime: list[tuple[int, int, bool]]) -> int:
    """Return by when a relay has read an answer, if the connection stands until then."""
    read_by = answered_at + READ_MARGIN_NS
    for start, back, _ in downtime:
        if start <= read_by <= back:
            return back + READ_MARGIN_NS
    return read_by


def _check_effects(
    terms: Terms,
    offered: dict[str, Offered],
    calls: dict[str, list[Called]],
    returns: dict[int, Returned],
    verdict: Verdict,
) -> None:
    """Rule 2: no message takes effect twice."""
    for ident, made in calls.items():
        packet = offered.get(ident)
        if packet is None and ident.startswith(HOSTILE_PREFIX):
            continue  # its terms are not recorded
        if packet is None:
            verdict.broken[2].append(f"{ident} was never offered")
            continue
        may_have_run = [
            call
            for call in made
            if call.call not in returns or returns[call.call].status not in NEVER_RAN_STATUSES
        ]
        later = [call for call in made if may_have_run and call.at > may_have_run[0].at]
        if not later:
            continue
        if packet.profile in terms.non_idempotent:
            verdict.broken[2].append(f"{ident} (single-use) was called {len(made)} times")
        elif (
            packet.profile in terms.idempotent_by_key
            and later[-1].at > may_have_run[0].at + terms.dedup_window + TOLERANCE_NS
        ):
            verdict.broken[2].append(f"{ident} (referenced) was repeated too late")


def _check_draining(history: History, terms: Terms, verdict: Verdict) -> None:
    """Rule 3: no new calls to a draining or removed host after the grace period."""
    closed: dict[str, int] = {}
    for row in history.rows:
        if isinstance(row, Listed):
            if row.status == "SERVING":
                closed.pop(row.host, None)
            else:
                closed.setdefault(row.host, row.at)
        elif (
            isinstance(row, Called)
            and row.at > closed.get(row.host, 1 << 62) + terms.drain_grace + TOLERANCE_NS
        ):
            verdict.broken[3].append(
                f"{row.id} went to {row.host}, told to leave it "
                f"{(row.at - closed[row.host]) / 1e6:.0f} ms before"
            )


def _check_cordons(history: History, terms: Terms, verdict: Verdict) -> None:
    """Rule 3: a relay that said yes to a cordon makes no new calls to the host after the grace period."""
    relays = {row.id: row.relay for row in history.select(Offered)}
    cordoned: dict[tuple[str, str], int] = {}
    for row in history.rows:
        if isinstance(row, Cordoned) and row.over:
            cordoned.pop((row.relay, row.host), None)
        elif isinstance(row, Cordoned):
            cordoned.setdefault((row.relay, row.host), row.at)
        elif isinstance(row, Called):
            since = cordoned.get((relays.get(row.id) or read_relay(row.id), row.host), NEVER)
            if row.at > since + terms.drain_grace + TOLERANCE_NS:
                verdict.broken[3].append(
                    f"{row.id} went to {row.host}, cordoned {(row.at - since) / 1e6:.0f} ms before"
                )


def _check_key_order(
    history: History,
    terms: Terms,
    offered: dict[str, Offered],
    calls: dict[str, list[Called]],
    returns: dict[int, Returned],
    verdict: Verdict,
) -> None:
    """Rule 5: messages of one key at one relay are sent in order, each after the earlier one returned.

    Requests that were out at the same time have no order: of these, no two calls overlap.
    """
    answered_at = {row.id: row.at for row in history.select(Answered)}
    queues: dict[tuple[str, str], list[Offered]] = defaultdict(list)
    for packet in offered.values():
        if packet.key and packet.profile in terms.in_order:
            queues[packet.relay, packet.key].append(packet)
    for queue in queues.values():
        queue.sort(key=lambda packet: packet.at)
        for earlier, later in zip(queue, queue[1:], strict=False):
            have_order = answered_at.get(earlier.id, 1 << 62) <= later.at
            for call in calls[earlier.id]:
                for other in calls[later.id]:
                    wrong_order = other.at < call.at and (have_order or _overlap(other, call, returns))
                    if wrong_order or _overlap(call, other, returns):
                        verdict.broken[5].append(f"{later.id} went out before {earlier.id} was back")
                        break


def _overlap(call: Called, other: Called, returns: dict[int, Returned]) -> bool:
    """Whether a call began while an earlier one had not returned."""
    back = returns[call.call].at if call.call in returns else 1 << 62
    return call.at <= other.at < back - TOLERANCE_NS


def _check_retry_after(history: History, terms: Terms, verdict: Verdict) -> None:
    """Rule 6: a relay sends no call to a host within its retry-after wait, except calls already in flight.

    A wait binds the process that made the call which it answers: a restart ends the waits of that relay, and
    a response to a process that has ended is read by nobody.  The caller is taken to be the relay that
    accepted the message; if relays take over messages of others, the history has to record the caller itself.
    """
    made: dict[int, Called] = {}
    relays = {row.id: row.relay for row in history.select(Offered)}
    started: dict[str, int] = {}
    down: set[str] = set()
    until: dict[tuple[str, str], tuple[int, int]] = {}
    for row in history.rows:
        if isinstance(row, Started):
            started[row.relay] = row.at
            down.discard(row.relay)
        elif isinstance(row, Struck) and row.kind in PROCESS_ENDING_FAULTS:
            until = {key: wait for key, wait in until.items() if key[1] != row.who}
        elif isinstance(row, Replaced):
            # A wait that came as the old process ended was read by nobody.
            unread_from = row.at - READ_MARGIN_NS + terms.wait_grace
            until = {key: wait for key, wait in until.items() if key[1] != row.relay or wait[1] < unread_from}
        elif isinstance(row, Ended):
            down.add(row.relay)
            until = {key: wait for key, wait in until.items() if key[1] != row.relay}
        elif isinstance(row, Returned) and row.wait:
            call, relay = made[row.call], relays.get(row.id) or read_relay(row.id)
            if relay not in down and call.at >= started.get(relay, 0):
                key = call.host, relay
                until[key] = max(until.get(key, (0, 0)), (row.at + row.wait, row.at + terms.wait_grace))
        elif isinstance(row, Called):
            made[row.call] = row
            relay = relays.get(row.id) or read_relay(row.id)
            wait_ends, binding_from = until.get((row.host, relay), (0, 0))
            if binding_from < row.at < wait_ends - MILLISECOND:
                verdict.broken[6].append(f"{row.id} went to {row.host} within its wait")
