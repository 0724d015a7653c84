"""What the members saw, held against what was so: kills found, false accusations, agreement."""

from __future__ import annotations

import time
from collections import defaultdict
from dataclasses import dataclass, field

from millweir.lab.scenario import HOST, Fault

THERE = ("alive", "late", "cut", "suspected")
AFTER = 15.0  # seconds for which a fault that is over still explains what is seen


@dataclass(slots=True)
class Truth:
    """What the rig did, at monotonic seconds."""

    names: tuple[str, ...]
    began: float = 0.0
    over: float = 0.0
    faults: list[list] = field(default_factory=list)  # [from, to or None, fault]
    deaths: list[list] = field(default_factory=list)  # [name, died, back or None, kind]
    wall: float = field(default_factory=lambda: time.time() - time.monotonic())

    def struck(self, at: float, fault: Fault, over: bool) -> None:
        if not over:
            self.faults.append([at, None, fault])
            return
        for row in self.faults:
            if row[2] is fault:
                row[1] = at

    def died(self, at: float, name: str, kind: str) -> None:
        self.deaths.append([name, at, None, kind])

    def returned(self, at: float, name: str) -> None:
        for row in self.deaths:
            if row[0] == name and row[2] is None:
                row[2] = at

    @property
    def down(self) -> set[str]:
        return {row[0] for row in self.deaths if row[2] is None}

    def was_down(self, name: str, at: float) -> bool:
        return any(row[0] == name and row[1] <= at <= (row[2] or 1e18) + 3.0 for row in self.deaths)

    def active(self, at: float) -> str:
        """Kinds of the faults that are on, or were until a moment ago; "calm" for none."""
        kinds = {
            fault.kind
            for start, end, fault in self.faults
            if fault.kind not in HOST and start <= at <= (end or 1e18) + AFTER
        }
        return "+".join(sorted(kinds)) or "calm"


@dataclass(slots=True)
class Watched:
    """Views as polled."""

    rows: list[tuple[float, dict[str, dict[str, str]]]] = field(default_factory=list)
    last: dict[str, dict[str, str]] = field(default_factory=dict)

    def add(self, at: float, views: dict[str, dict[str, str]]) -> None:
        self.rows.append((at, views))


@dataclass(slots=True)
class Finding:
    """Figures of a scenario, and what was wrong at its end."""

    wrong: list[str] = field(default_factory=list)
    detected: list[float] = field(default_factory=list)  # seconds from a kill to each view that found it
    missed: list[str] = field(default_factory=list)  # kills that nobody had found when the relay came back
    accused: dict[str, int] = field(default_factory=lambda: defaultdict(int))  # falsely, by kind of fault
    buried: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    hours: float = 0.0  # member-hours
    agreed_after: list[float] = field(default_factory=list)  # seconds from a fault's end to agreement

    @property
    def fine(self) -> bool:
        return not self.wrong and not self.missed


def findings(truth: Truth, watched: Watched, events: dict[str, list[dict]]) -> Finding:
    found = Finding(hours=len(truth.names) * (truth.over - truth.began) / 3600)
    _at_the_end(truth, watched, found)
    gone: dict[str, list[tuple[float, str]]] = defaultdict(list)
    for viewer, rows in events.items():
        for row in rows:
            if row["event"] != "members.changed":
                continue
            at = row["at"] - truth.wall
            if row["after"] in ("gone", "left"):
                gone[row["name"]].append((at, viewer))
            if (
                row["after"] in ("suspected", "gone")
                and row["by"] == viewer
                and at > truth.began
                and not truth.was_down(row["name"], at)
            ):
                (found.accused if row["after"] == "suspected" else found.buried)[truth.active(at)] += 1
    for name, died, back, kind in truth.deaths:
        if kind == "term":
            continue
        seen: dict[str, float] = {}
        for at, viewer in gone[name]:
            if died <= at <= (back or truth.over) + 1.0:
                seen.setdefault(viewer, at - died)
        found.detected += seen.values()
        if not seen and (back or truth.over) - died > 14.0:
            found.missed.append(
                f"{name}, killed for {(back or truth.over) - died:.0f} s, " f"during {truth.active(died)}"
            )
    _agreement(truth, watched, found)
    return found


def _at_the_end(truth: Truth, watched: Watched, found: Finding) -> None:
    """No living member is held gone, no dead one for there."""
    for name in truth.names:
        if name not in truth.down and name not in watched.last:
            found.wrong.append(f"{name} does not answer at the end")
    for viewer, view in watched.last.items():
        for name in truth.names:
            if name == viewer:
                continue
            degree = view.get(name, "unknown")
            if name in truth.down and degree in ("alive", "late", "cut"):
                found.wrong.append(f"{viewer} holds {name} for {degree}, but it is dead")
            elif name not in truth.down and degree not in THERE:
                found.wrong.append(f"{viewer} holds {name} for {degree}, but it lives")


def _agreement(truth: Truth, watched: Watched, found: Finding) -> None:
    """From the end of a fault, with no other one on, until all that live hold each other for there."""
    for _, end, _ in truth.faults:
        if end is None or any(start <= end < (other or 1e18) for start, other, _ in truth.faults):
            continue
        later = min((start for start, _, _ in truth.faults if start > end), default=truth.over)
        for at, views in watched.rows:
            if end <= at < later:
                dead = {row[0] for row in truth.deaths if row[1] <= at <= (row[2] or 1e18)}
                names = set(truth.names) - dead
                if names <= set(views) and all(
                    views[a].get(b) in ("alive", "late") for a in names for b in names - {a}
                ):
                    found.agreed_after.append(at - end)
                    break
