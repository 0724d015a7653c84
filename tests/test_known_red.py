"""KNOWN-RED.txt is short, names tests that exist, and has well-formed lines only."""

from pathlib import Path

import pytest
from conftest import KnownFailure, load_known_failures, parse_known_failures

ROOT = Path(__file__).parent.parent


def test_each_known_failure_names_an_existing_test():
    for failure in load_known_failures():
        path, _, name = failure.test.partition("::")
        assert f"def {name}(" in (ROOT / path).read_text(), failure.test


def test_a_line_names_a_test_a_cause_and_an_issue():
    assert parse_known_failures("tests/a.py::test_b: too many calls (issue 43)\n\n") == [
        KnownFailure("tests/a.py::test_b", "too many calls (issue 43)")
    ]


@pytest.mark.parametrize(
    "text",
    [
        "tests/a.py::test_b: no issue named",
        "test_b: too many calls (issue 43)",
        "tests/a.py::test_b (issue 43)",
        "tests/a.py::test_b: x (issue 1)\n" * 4,
    ],
)
def test_a_malformed_line_or_too_many_lines_are_rejected(text):
    with pytest.raises(ValueError, match="known failures|not 'test"):
        parse_known_failures(text)
