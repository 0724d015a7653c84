"""The list of known failures is short, names tests that exist, and lets nothing else pass."""

from pathlib import Path

import pytest
from conftest import KnownFailure, known_failures, read_known_failures

ROOT = Path(__file__).parent.parent


def test_each_known_failure_names_a_test_that_exists():
    for failure in known_failures():
        path, _, name = failure.test.partition("::")
        assert f"def {name}(" in (ROOT / path).read_text(), failure.test


def test_a_line_has_a_test_a_cause_and_an_issue():
    assert read_known_failures("tests/a.py::test_b: too many calls (issue 43)\n\n") == [
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
def test_a_line_of_another_form_or_one_too_many_is_refused(text):
    with pytest.raises(ValueError, match="known failures|not 'test"):
        read_known_failures(text)
