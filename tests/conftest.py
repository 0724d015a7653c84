"""Known failures: tests named in KNOWN-RED.txt may fail, and have to leave that file once they pass.

One line a test: `tests/file.py::test_name: cause (issue N)`.  The name stands without parameters; all of its
cases are meant.  They are run and reported; one that passes fails the run: no line outlives its fault.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from pathlib import Path

import pytest

KNOWN_RED_FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"
KNOWN_RED_MOST = 3
LINE = re.compile(r"(?P<test>tests/\S+\.py::\w+): (?P<cause>.+ \(issue \d+\))")


@dataclass(frozen=True, slots=True)
class KnownFailure:
    """A test that may fail, and why."""

    test: str
    cause: str


def read_known_failures(text: str) -> list[KnownFailure]:
    """Parse the file; ValueError for a line of another form or for too many lines."""
    lines = [line for line in text.splitlines() if line.strip()]
    if len(lines) > KNOWN_RED_MOST:
        raise ValueError(f"{len(lines)} known failures, {KNOWN_RED_MOST} at the most")
    matches = [LINE.fullmatch(line) for line in lines]
    if wrong := [line for line, match in zip(lines, matches, strict=True) if not match]:
        raise ValueError(f"not 'test: cause (issue N)': {wrong[0]}")
    return [KnownFailure(match["test"], match["cause"]) for match in matches if match]


def known_failures() -> list[KnownFailure]:
    """Those of the checkout."""
    return read_known_failures(KNOWN_RED_FILE.read_text()) if KNOWN_RED_FILE.exists() else []


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Expect the named tests to fail."""
    causes = {failure.test: failure.cause for failure in known_failures()}
    for item in items:
        if cause := causes.get(item.nodeid.partition("[")[0]):
            item.add_marker(pytest.mark.xfail(reason=cause, strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the known failures at the end of each run."""
    for failure in known_failures():
        terminalreporter.write_line(f"KNOWN RED {failure.test}: {failure.cause}")
