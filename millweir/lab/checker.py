"""The six rules, read off the history of the stand-ins alone; nothing here knows the program."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field

from millweir.lab.history import (
    Answered,
    Called,
    Fallen,
    History,
    Listed,
    Noticed,
    Offered,
    Ready,
    Returned,
    Struck,
)

MILLISECOND = 1_000_000
SLACK = 50 * MILLISECOND  # every limit is longer by this
ENDS_PROCESS = ("kill", "lose", "term", "roll", "kill-twice")
NEVER_RAN = (429, 503, 504, 410)


@dataclass(frozen=True, slots=True)
class Terms:
    """What the rules' figures are, from the settings that the relays were given (nanoseconds)."""

    single_use: frozenset[str]
    referenced: frozenset[str]
    in_order: frozenset[str]
    dedup_window: int
    drain_grace: int
    wait_grace: int = 100 * MILLISECOND
    overdue: int = 300 * MILLISECOND
    after_ready: int = 1_500 * MILLISECOND


@dataclass(slots=True)
class Verdict:
    """Rules broken, each with its packets or hosts; counts of what became of all."""

    broken: dict[int, list[str]] = field(default_factory=lambda: defaultdict(list))
    counts: dict[str, int] = field(default_factory=lambda: defaultdict(int))

    @property
    def fine(self) -> bool:
        return not self.broken


def check_rules(history: History, terms: Terms, over: int) -> Verdict:
    """`over`: when the scenario had ended and every end was due."""
    verdict = Verdict()
    offered = {row.id: row for row in history.of(Offered)}
    calls: dict[str, list[Called]] = defaultdict(list)
    for call in history.of(Called):
        calls[call.id].append(call)
    returns: dict[int, Returned] = {row.call: row for row in history.of(Returned)}
    _ends(history, terms, offered, calls, returns, over, verdict)
    _effects(terms, offered, calls, returns, verdict)
    _drains(history, terms, verdict)
    for row in history.of(Fallen):
        verdict.broken[4].append(f"{row.host} fell at {row.calls} calls")
    _order(terms, offered, calls, returns, verdict)
    _waits(history, terms, verdict)
    return verdict


def _excused(history: History) -> dict[str, list[tuple[int, int, bool]]]:
    """Spans in which each relay could not end anything: from a kill until it is ready again; machine lost?"""
    ready: dict[str, list[int]] = defaultdict(list)
    for row in history.of(Ready):
        ready[row.relay].append(row.at)
    spans: dict[str, list[tuple[int, int, bool]]] = defaultdict(list)
    stops: dict[str, int] = {}
    for row in history.of(Struck):
        if row.kind in ENDS_PROCESS and not row.over:
            back = min((at for at in ready[row.who] if at > row.at), default=1 << 62)
            spans[row.who].append((row.at, back, row.kind == "lose"))
        elif row.kind in ("stop", "starve") and not row.over:
            stops.setdefault(row.who, row.at)
        elif row.kind in ("stop", "starve"):
            spans[row.who].append((stops.pop(row.who, row.at), row.at, False))
    for who, at in stops.items():
        spans[who].append((at, 1 << 62, False))
    return spans


def _answer_by(offered: dict[str, Offered], calls: dict[str, list[Called]]) -> dict[int, int]:
    """Of each shared call, when the time of its first message is up: a later answer counts for none."""
    answer_by: dict[int, int] = {}
    for ident, made in calls.items():
        for call in made:
            if call.shared and ident in offered:
                due = offered[ident].at + offered[ident].left + SLACK
                answer_by[call.shared] = min(due, answer_by.get(call.shared, due))
    return answer_by


def _ends(
    history: History,
    terms: Terms,
    offered: dict[str, Offered],
    calls: dict[str, list[Called]],
    returns: dict[int, Returned],
    over: int,
    verdict: Verdict,
) -> None:
    """Rule 1: what was taken on gets one end, in time."""
    statuses = {row.id: row for row in history.of(Answered)}
    answer_by = _answer_by(offered, calls)
    notices: dict[str, list[Noticed]] = defaultdict(list)
    for row in history.of(Noticed):
        notices[row.id].append(row)
    excused = _excused(history)
    for ident, packet in offered.items():
        answer = statuses.get(ident)
        delivered = [
            returns[call.call].at
            for call in calls[ident]
            if call.call in returns
            and returns[call.call].status == 200
            and returns[call.call].at <= answer_by.get(call.shared, 1 << 62)
        ]
        if answer is None or answer.status not in (200, 202):
            verdict.counts["refused" if answer and answer.status else "unanswered"] += 1
            continue
        verdict.counts["taken"] += 1
        told = notices[ident]
        ends = [row.at for row in told] + delivered[:1]
        due = packet.at + packet.left + terms.overdue
        spans = excused[packet.relay]
        if any(lost and packet.at < start < min(ends, default=1 << 62) for start, _, lost in spans):
            verdict.counts["lost-with-machine"] += 1
            continue
        if (
            not ends
            and due < over
            and not any(start < due and back + terms.after_ready > over for start, back, _ in spans)
        ):
            verdict.broken[1].append(f"{ident} ({packet.profile}, {packet.relay}) has no end")
        elif len(told) > 1 and not any(start < told[-1].at for start, _, _ in spans):
            verdict.broken[1].append(f"{ident} was ended {len(told)} times")
        elif ends and min(ends) > due:
            late = min(ends)
            if not any(start < late and back + terms.after_ready > due for start, back, _ in spans):
                verdict.broken[1].append(f"{ident} ended {(late - due) / 1e6:.0f} ms late")
        verdict.counts["delivered" if delivered else told[0].result if told else "open"] += 1


def _effects(
    terms: Terms,
    offered: dict[str, Offered],
    calls: dict[str, list[Called]],
    returns: dict[int, Returned],
    verdict: Verdict,
) -> None:
    """Rule 2: no second effect."""
    for ident, made in calls.items():
        packet = offered.get(ident)
        if packet is None:
            verdict.broken[2].append(f"{ident} was never offered")
            continue
        risky = [
            call for call in made if call.call not in returns or returns[call.call].status not in NEVER_RAN
        ]
        later = [call for call in made if risky and call.at > risky[0].at]
        if not later:
            continue
        if packet.profile in terms.single_use:
            verdict.broken[2].append(f"{ident} (single-use) was called {len(made)} times")
        elif packet.profile in terms.referenced and later[-1].at > risky[0].at + terms.dedup_window + SLACK:
            verdict.broken[2].append(f"{ident} (referenced) was repeated too late")


def _drains(history: History, terms: Terms, verdict: Verdict) -> None:
    """Rule 3: nothing new to hosts that drain or are gone."""
    closed: dict[str, int] = {}
    for row in history.rows:
        if isinstance(row, Listed):
            if row.status == "SERVING":
                closed.pop(row.host, None)
            else:
                closed.setdefault(row.host, row.at)
        elif isinstance(row, Called) and row.at > closed.get(row.host, 1 << 62) + terms.drain_grace + SLACK:
            verdict.broken[3].append(
                f"{row.id} went to {row.host}, told to leave it "
                f"{(row.at - closed[row.host]) / 1e6:.0f} ms before"
            )


def _order(
    terms: Terms,
    offered: dict[str, Offered],
    calls: dict[str, list[Called]],
    returns: dict[int, Returned],
    verdict: Verdict,
) -> None:
    """Rule 5: of one key, as handed in at one relay, no packet is out before the earlier one is back."""
    lines: dict[tuple[str, str], list[Offered]] = defaultdict(list)
    for packet in offered.values():
        if packet.key and packet.profile in terms.in_order:
            lines[packet.relay, packet.key].append(packet)
    for line in lines.values():
        line.sort(key=lambda packet: packet.at)
        for earlier, later in zip(line, line[1:], strict=False):
            for call in calls[earlier.id]:
                back = returns[call.call].at if call.call in returns else 1 << 62
                for other in calls[later.id]:
                    if other.at < call.at or other.at < back - SLACK and other.at >= call.at:
                        verdict.broken[5].append(f"{later.id} went out before {earlier.id} was back")
                        break


def _waits(history: History, terms: Terms, verdict: Verdict) -> None:
    """Rule 6: no call to a host within a wait that it told this relay, but for those under way.

    A restart ends the waits of that relay.  Whose call it was is told by who the packet was handed to; once
    relays take work over, the history needs the caller itself.
    """
    hosts = {call.call: call.host for call in history.of(Called)}
    relays = {row.id: row.relay for row in history.of(Offered)}
    until: dict[tuple[str, str], tuple[int, int]] = {}
    for row in history.rows:
        if isinstance(row, Returned) and row.wait:
            key = hosts[row.call], relays.get(row.id, "")
            until[key] = max(until.get(key, (0, 0)), (row.at + row.wait, row.at + terms.wait_grace))
        elif isinstance(row, Struck) and row.kind in ENDS_PROCESS:
            until = {key: wait for key, wait in until.items() if key[1] != row.who}
        elif isinstance(row, Called):
            end, free = until.get((row.host, relays.get(row.id, "")), (0, 0))
            if free < row.at < end - MILLISECOND:
                verdict.broken[6].append(f"{row.id} went to {row.host} within its wait")
