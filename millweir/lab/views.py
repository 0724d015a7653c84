"""Compares the members' views with the injected faults: detected kills, false suspicions, agreement."""

from __future__ import annotations

import time
from collections import defaultdict
from dataclasses import dataclass, field

from millweir.lab.scenario import HOST, Fault

LIVE_STATES = ("alive", "late", "cut", "suspected")
FAULT_EFFECT_S = 15.0  # for so long after its end a fault may still explain a view


@dataclass(slots=True)
class FaultRecord:
    """The faults that the rig injected and the deaths they caused, in monotonic seconds."""

    names: tuple[str, ...]
    started_at: float = 0.0
    ended_at: float = 0.0
    faults: list[list] = field(default_factory=list)  # [from, to or None, fault]
    deaths: list[list] = field(default_factory=list)  # [name, died at, restarted at or None, kind]
    wall: float = field(default_factory=lambda: time.time() - time.monotonic())

    def record_fault(self, at: float, fault: Fault, ended: bool) -> None:
        if not ended:
            self.faults.append([at, None, fault])
            return
        for row in self.faults:
            if row[2] is fault:
                row[1] = at

    def record_death(self, at: float, name: str, kind: str) -> None:
        self.deaths.append([name, at, None, kind])

    def record_restart(self, at: float, name: str) -> None:
        for row in self.deaths:
            if row[0] == name and row[2] is None:
                row[2] = at

    @property
    def down(self) -> set[str]:
        return {row[0] for row in self.deaths if row[2] is None}

    def was_down(self, name: str, at: float) -> bool:
        return any(row[0] == name and row[1] <= at <= (row[2] or 1e18) + 3.0 for row in self.deaths)

    def list_active_kinds(self, at: float) -> str:
        """Return the kinds of the active and recently ended faults; "calm" for none."""
        kinds = {
            fault.kind
            for start, end, fault in self.faults
            if fault.kind not in HOST and start <= at <= (end or 1e18) + FAULT_EFFECT_S
        }
        return "+".join(sorted(kinds)) or "calm"


@dataclass(slots=True)
class PolledViews:
    """The members' views, polled during a run."""

    rows: list[tuple[float, dict[str, dict[str, str]]]] = field(default_factory=list)
    last: dict[str, dict[str, str]] = field(default_factory=dict)

    def add(self, at: float, views: dict[str, dict[str, str]]) -> None:
        self.rows.append((at, views))


@dataclass(slots=True)
class MembershipFinding:
    """Membership figures of a run, and the errors in the final views."""

    wrong: list[str] = field(default_factory=list)
    detected: list[float] = field(default_factory=list)  # seconds from a kill until each member saw it
    # Kills that nobody had detected before the relay restarted.
    missed: list[str] = field(default_factory=list)
    # False suspicions and false deaths, by the kinds of the active faults.
    accused: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    buried: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    hours: float = 0.0  # member-hours
    agreed_after: list[float] = field(default_factory=list)  # seconds from a fault's end to agreement

    @property
    def passed(self) -> bool:
        return not self.wrong and not self.missed


def evaluate_views(
    faults: FaultRecord, polled: PolledViews, events: dict[str, list[dict]]
) -> MembershipFinding:
    """Compare polled views and membership events with the injected faults."""
    finding = MembershipFinding(hours=len(faults.names) * (faults.ended_at - faults.started_at) / 3600)
    _check_final_views(faults, polled, finding)
    gone: dict[str, list[tuple[float, str]]] = defaultdict(list)
    for viewer, rows in events.items():
        for row in rows:
            if row["event"] != "members.changed":
                continue
            at = row["at"] - faults.wall
            if row["after"] in ("gone", "left"):
                gone[row["name"]].append((at, viewer))
            if (
                row["after"] in ("suspected", "gone")
                and row["by"] == viewer
                and at > faults.started_at
                and not faults.was_down(row["name"], at)
            ):
                (finding.accused if row["after"] == "suspected" else finding.buried)[
                    faults.list_active_kinds(at)
                ] += 1
    for name, died_at, restarted_at, kind in faults.deaths:
        if kind == "term":
            continue
        seen: dict[str, float] = {}
        for at, viewer in gone[name]:
            if died_at <= at <= (restarted_at or faults.ended_at) + 1.0:
                seen.setdefault(viewer, at - died_at)
        finding.detected += seen.values()
        if not seen and (restarted_at or faults.ended_at) - died_at > 14.0:
            finding.missed.append(
                f"{name}, killed for {(restarted_at or faults.ended_at) - died_at:.0f} s, "
                f"during {faults.list_active_kinds(died_at)}"
            )
    _measure_agreement(faults, polled, finding)
    return finding


def _check_final_views(faults: FaultRecord, polled: PolledViews, finding: MembershipFinding) -> None:
    """Check the final views: no live member is seen as gone, no dead one as alive."""
    for name in faults.names:
        if name not in faults.down and name not in polled.last:
            finding.wrong.append(f"{name} does not answer at the end")
    for viewer, view in polled.last.items():
        for name in faults.names:
            if name == viewer:
                continue
            degree = view.get(name, "unknown")
            if name in faults.down and degree in ("alive", "late", "cut"):
                finding.wrong.append(f"{viewer} holds {name} for {degree}, but it is dead")
            elif name not in faults.down and degree not in LIVE_STATES:
                finding.wrong.append(f"{viewer} holds {name} for {degree}, but it lives")


def _measure_agreement(faults: FaultRecord, polled: PolledViews, finding: MembershipFinding) -> None:
    """Measure the time from the end of the last active fault until all live members agree."""
    for _, end, _ in faults.faults:
        if end is None or any(start <= end < (other or 1e18) for start, other, _ in faults.faults):
            continue
        next_fault_at = min((start for start, _, _ in faults.faults if start > end), default=faults.ended_at)
        for at, views in polled.rows:
            if end <= at < next_fault_at:
                down_names = {row[0] for row in faults.deaths if row[1] <= at <= (row[2] or 1e18)}
                names = set(faults.names) - down_names
                if names <= set(views) and all(
                    views[a].get(b) in ("alive", "late") for a in names for b in names - {a}
                ):
                    finding.agreed_after.append(at - end)
                    break
