"""Marks the tests named in KNOWN-RED.txt as expected failures.

One line per test: `tests/file.py::test_name: cause (issue N)`.  The name has no parameters and stands for all
cases of the test.  These tests are run and reported; one that passes fails the run, so that its line is
removed.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from pathlib import Path

import pytest

KNOWN_RED_FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"
MAX_KNOWN_FAILURES = 3
LINE_PATTERN = re.compile(r"(?P<test>tests/\S+\.py::\w+): (?P<cause>.+ \(issue \d+\))")


@dataclass(frozen=True, slots=True)
class KnownFailure:
    """A test that is expected to fail, and why."""

    test: str
    cause: str


def parse_known_failures(text: str) -> list[KnownFailure]:
    """Parse the file; raises ValueError for a malformed line or too many lines."""
    lines = [line for line in text.splitlines() if line.strip()]
    if len(lines) > MAX_KNOWN_FAILURES:
        raise ValueError(f"{len(lines)} known failures, at most {MAX_KNOWN_FAILURES} are allowed")
    matches = [LINE_PATTERN.fullmatch(line) for line in lines]
    if malformed := [line for line, match in zip(lines, matches, strict=True) if not match]:
        raise ValueError(f"not 'test: cause (issue N)': {malformed[0]}")
    return [KnownFailure(match["test"], match["cause"]) for match in matches if match]


def load_known_failures() -> list[KnownFailure]:
    """The known failures of this checkout."""
    return parse_known_failures(KNOWN_RED_FILE.read_text()) if KNOWN_RED_FILE.exists() else []


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the listed tests as strict expected failures."""
    causes = {failure.test: failure.cause for failure in load_known_failures()}
    for item in items:
        if cause := causes.get(item.nodeid.partition("[")[0]):
            item.add_marker(pytest.mark.xfail(reason=cause, strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the known failures at the end of each run."""
    for failure in load_known_failures():
        terminalreporter.write_line(f"KNOWN RED {failure.test}: {failure.cause}")
