"""Measures failure detectors in simulated fleets: detection time, false deaths, bytes, by size and fault."""

from __future__ import annotations

import random
import statistics
import time
from collections import defaultdict
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from pathlib import Path

import msgspec

from millweir.lab.baselines import DETECTORS
from millweir.lab.fleet import Fleet, Node
from millweir.members.core import SECOND, Change, MemberStatus, Rules

TROUBLES = ("calm", "pauses", "loss")
WARM_UP_S = 5  # before the measurement begins


class Row(msgspec.Struct, frozen=True):
    """Figures of one run; times in seconds, rates per member."""

    way: str
    size: int
    trouble: str
    seed: int
    suspicion: float
    seconds: float
    messages: float  # sent per second
    bytes: float  # sent per second
    kills: int
    first: tuple[float, ...]  # from each kill until the first live member saw it as gone
    half: tuple[float, ...]  # until half of the live members did
    all: tuple[float, ...]  # until all live members did; -1 for never within the run
    accusations: float  # false, per hour: suspicions of a live member
    verdicts: float  # false, per hour: members that themselves declared a live member gone
    deaths: float  # false, per hour: views in which a live member became gone
    wall: float


class Pauses:
    """Pauses and resumes each member at random, so that on average `share` of the fleet is paused."""

    def __init__(self, fleet: Fleet, share: float, span: float, until: int) -> None:
        self._fleet, self._span, self._until = fleet, span, until
        self._mean_run_s = span * (1 - share) / share
        self._rng = random.Random(fleet.rng.getrandbits(60))
        for node in fleet.nodes:
            fleet.schedule(self._draw_run_time(), self._pause, node)

    def _draw_run_time(self) -> int:
        return round(self._rng.expovariate(1 / self._mean_run_s) * SECOND)

    def _pause(self, node: Node) -> None:
        if self._fleet.now < self._until and not node.dead:
            node.pause()
            self._fleet.schedule(round(self._span * SECOND), self._resume, node)

    def _resume(self, node: Node) -> None:
        node.resume()
        self._fleet.schedule(self._draw_run_time(), self._pause, node)


def measure(
    way: str,
    size: int,
    trouble: str,
    seed: int,
    seconds: int = 120,
    kills: int = 3,
    rules: Rules | None = None,
) -> Row:
    """Run one fleet under a fault throughout, with kills spread over the middle of the run."""
    started_at = time.monotonic()
    fleet = Fleet(size, seed, rules, make=DETECTORS[way])
    fleet.run(WARM_UP_S * SECOND)
    before = [dict(node.counts) for node in fleet.nodes]
    died: dict[str, int] = {}
    seen: dict[str, dict[str, int]] = defaultdict(dict)
    counts = {"accusations": 0, "verdicts": 0, "deaths": 0}

    def watch(node: Node, change: Change) -> None:
        if change.name in died:
            if change.after is MemberStatus.GONE:
                seen[change.name].setdefault(node.name, fleet.now)
        elif change.after is MemberStatus.SUSPECTED and change.reporter == node.name:
            counts["accusations"] += 1
        elif change.after is MemberStatus.GONE:
            counts["deaths"] += 1
            counts["verdicts"] += change.reporter == node.name

    fleet.watch = watch
    end = fleet.now + seconds * SECOND
    if trouble == "pauses":
        Pauses(fleet, 0.25, 5.0, end)
    elif trouble == "loss":
        fleet.loss = 0.3
    victims = random.Random(seed).sample(fleet.nodes, min(kills, size - 2))
    for number, victim in enumerate(victims):

        def kill(victim: Node = victim) -> None:
            died[victim.name] = fleet.now
            victim.kill()

        fleet.schedule(round((0.2 + 0.4 * number / max(len(victims), 1)) * seconds * SECOND), kill)
    fleet.run(end)
    living = [node for node in fleet.nodes if not node.dead]
    hours = size * seconds / 3600
    spread: dict[str, list[float]] = {"first": [], "half": [], "all": []}
    for name, at in died.items():
        times = sorted((seen[name][node.name] - at) / 1e9 for node in living if node.name in seen[name])
        for which, need in (("first", 1), ("half", (len(living) + 1) // 2), ("all", len(living))):
            spread[which].append(round(times[need - 1], 3) if len(times) >= need else -1.0)
    sent = [
        sum(node.counts[what] - old[what] for node, old in zip(fleet.nodes, before, strict=True))
        / size
        / seconds
        for what in ("datagrams", "bytes")
    ]
    return Row(
        way,
        size,
        trouble,
        seed,
        fleet.rules.suspicion_multiplier,
        seconds,
        round(sent[0], 3),
        round(sent[1], 1),
        len(died),
        *(tuple(spread[which]) for which in ("first", "half", "all")),
        *(round(counts[what] / hours, 3) for what in ("accusations", "verdicts", "deaths")),
        round(time.monotonic() - started_at, 1),
    )


def summarize(rows: list[Row]) -> dict[str, float]:
    """Summarize runs of several seeds: means of rates, quantiles of times."""
    out: dict[str, float] = {}
    for which in ("first", "half", "all"):
        times = sorted(duration for row in rows for duration in getattr(row, which) if duration >= 0)
        missed = sum(duration < 0 for row in rows for duration in getattr(row, which))
        if times:
            out |= {
                f"{which}_p50": statistics.median(times),
                f"{which}_max": times[-1],
                f"{which}_p99": times[min(len(times) - 1, round(0.99 * len(times)))],
            }
        out[f"{which}_missed"] = missed
    for what in ("messages", "bytes", "accusations", "verdicts", "deaths"):
        out[what] = round(statistics.mean(getattr(row, what) for row in rows), 3)
    return out


def read_rows(path: Path) -> list[Row]:
    """Read the rows that `sweep` has written so far."""
    if not path.exists():
        return []
    return [msgspec.json.decode(line, type=Row) for line in path.read_bytes().splitlines()]


def sweep(
    ways: list[str],
    sizes: list[int],
    troubles: list[str],
    suspicions: list[float],
    seeds: int,
    seconds: int,
    workers: int,
    out: Path,
) -> Iterator[str]:
    """Measure every combination that is not in the file yet; then yield a summary line for each group."""
    done = {(row.way, row.size, row.trouble, row.seed, row.suspicion) for row in read_rows(out)}
    wanted = [
        (way, size, trouble, seed, suspicion)
        for size in sizes
        for way in ways
        for trouble in troubles
        for suspicion in suspicions
        for seed in range(1, seeds + 1)
    ]
    with ProcessPoolExecutor(workers) as pool, open(out, "ab") as target:
        jobs = [
            pool.submit(measure, way, size, trouble, seed, seconds, 3, Rules(suspicion_multiplier=suspicion))
            for way, size, trouble, seed, suspicion in wanted
            if (way, size, trouble, seed, suspicion) not in done
        ]
        for job in as_completed(jobs):
            target.write(msgspec.json.encode(job.result()) + b"\n")
            target.flush()
    groups: dict[tuple, list[Row]] = defaultdict(list)
    for row in read_rows(out):
        groups[row.size, row.trouble, row.way, row.suspicion].append(row)
    for (size, trouble, way, suspicion), rows in sorted(groups.items()):
        found = summarize(rows)
        times = " ".join(
            f"{which} {found.get(f'{which}_p50', -1):.1f}/{found.get(f'{which}_max', -1):.1f}"
            f" missed {found[f'{which}_missed']}"
            for which in ("first", "all")
        )
        yield (
            f"{size:>5} {trouble:<7} {way:<12} {suspicion:>4} {times}  messages {found['messages']:.1f} "
            f"bytes {found['bytes']:.0f}  an hour: accused {found['accusations']:.2f} verdicts "
            f"{found['verdicts']:.3f} deaths {found['deaths']:.3f}  ({len(rows)} runs)"
        )
