"""One measured figure, as it is kept in the files under `docs/capacity/measurements`."""

from __future__ import annotations

import os
import platform
import subprocess
from collections.abc import Iterable, Iterator
from pathlib import Path

import msgspec

ROOT = Path(__file__).parents[3]


class Figure(msgspec.Struct, frozen=True, kw_only=True):
    """What a scale test found for one quantity at one size."""

    part: str  # the part measured: "decisions", "membership", ...
    quantity: str  # "memory-per-destination", "bytes-per-member-second", ...
    unit: str  # "B", "s", "B/s", "messages", "steps", ...
    trouble: str = "calm"
    size: int  # what the figure may grow with: destinations, members, owners, messages owed
    value: float
    low: float  # the spread: least and greatest of the repeats, or of the members
    high: float
    repeats: int = 1
    simulated: bool = False  # in simulated time, not on sockets


class Measurement(msgspec.Struct, frozen=True, kw_only=True):
    """A figure with what it takes to repeat it."""

    figure: Figure
    command: str
    seed: int
    commit: str
    machine: str


class UnreadableMeasurements(ValueError):
    """A file of measurements can't be read; the text names the file and line."""


def current_commit() -> str:
    """The commit at hand, with "+" where the work tree differs from it; "unknown" outside a checkout."""
    try:
        described = subprocess.run(
            ["git", "describe", "--always", "--abbrev=7", "--dirty=+", "--exclude=*"],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=True,
        )
    except (OSError, subprocess.CalledProcessError):
        return "unknown"
    return described.stdout.strip()


def current_machine() -> str:
    """Processor architecture, cores and interpreter, in one line."""
    return f"{platform.machine()} {os.cpu_count()} cores, Python {platform.python_version()}"


def append_measurements(path: Path, measurements: Iterable[Measurement]) -> None:
    """Add JSON lines to a file; OSError where it can't be written."""
    with path.open("ab") as lines:
        for measurement in measurements:
            lines.write(msgspec.json.encode(measurement) + b"\n")


def read_measurements(folder: Path) -> Iterator[Measurement]:
    """All measurements of a folder's `*.jsonl` files, by file name and line; UnreadableMeasurements."""
    for path in sorted(folder.glob("*.jsonl")):
        for number, line in enumerate(path.read_bytes().splitlines(), 1):
            try:
                yield msgspec.json.decode(line, type=Measurement)
            except msgspec.DecodeError as fault:
                raise UnreadableMeasurements(f"{path.name}, line {number}: {fault}") from fault
