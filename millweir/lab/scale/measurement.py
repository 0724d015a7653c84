"""The record of one measured figure, as stored in the files under `docs/capacity/measurements`."""

from __future__ import annotations

import os
import platform
import subprocess
from collections.abc import Iterable, Iterator
from pathlib import Path

import msgspec

ROOT = Path(__file__).parents[3]


class Figure(msgspec.Struct, frozen=True, kw_only=True):
    """The result of a scale test for one quantity at one size."""

    part: str  # the part measured: "decisions", "membership", ...
    quantity: str  # "memory-per-destination", "bytes-per-member-second", ...
    unit: str  # "B", "s", "B/s", "messages", "steps", ...
    trouble: str = "calm"  # the fault or load under which it was measured; "calm" for none
    size: int  # number of destinations, members, owners or owed messages, which the figure may grow with
    value: float
    low: float  # least of the repeats, or of the members
    high: float  # greatest of them
    repeats: int = 1
    simulated: bool = False  # measured in simulated time, not on sockets


class Measurement(msgspec.Struct, frozen=True, kw_only=True):
    """A figure with the command, seed, commit and machine that reproduce it."""

    figure: Figure
    command: str
    seed: int
    commit: str
    machine: str


class UnreadableMeasurements(ValueError):
    """A file of measurements cannot be decoded; the message names the file and line."""


def current_commit() -> str:
    """Returns the checked-out commit, with "+" if the work tree is dirty; "unknown" outside a checkout."""
    try:
        description = subprocess.run(
            ["git", "describe", "--always", "--abbrev=7", "--dirty=+", "--exclude=*"],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=True,
        )
    except (OSError, subprocess.CalledProcessError):
        return "unknown"
    return description.stdout.strip()


def current_machine() -> str:
    """Returns the processor architecture, number of cores and Python version in one line."""
    return f"{platform.machine()} {os.cpu_count()} cores, Python {platform.python_version()}"


def append_measurements(path: Path, measurements: Iterable[Measurement]) -> None:
    """Appends JSON lines to a file; raises OSError if it cannot be written."""
    with path.open("ab") as lines:
        for measurement in measurements:
            lines.write(msgspec.json.encode(measurement) + b"\n")


def read_measurements(folder: Path) -> Iterator[Measurement]:
    """Yields all measurements of a directory's `*.jsonl` files, in the order of file names and lines.

    Raises UnreadableMeasurements.
    """
    for path in sorted(folder.glob("*.jsonl")):
        for number, line in enumerate(path.read_bytes().splitlines(), 1):
            try:
                yield msgspec.json.decode(line, type=Measurement)
            except msgspec.DecodeError as error:
                raise UnreadableMeasurements(f"{path.name}, line {number}: {error}") from error
