"""The frame of the scale tests: records that are read back, limits that stop a run."""

from __future__ import annotations

import os

import pytest
from click.testing import CliRunner

from millweir.cli.lab import lab
from millweir.lab.scale import parts
from millweir.lab.scale.guard import Guard, LimitExceeded
from millweir.lab.scale.measurement import (
    Figure,
    Measurement,
    UnreadableMeasurements,
    append_measurements,
    read_measurements,
)

FIGURE = Figure(part="decisions", quantity="memory", unit="B", size=10, value=2.0, low=1.0, high=3.0)


def measured(size, seed, guard):
    """Stands in for a part."""
    guard.check_plan(memory=size, processes=1)
    yield FIGURE


@pytest.fixture
def a_part(monkeypatch):
    monkeypatch.setattr(parts, "load_part", lambda name: measured)


def test_measurements_are_read_back_in_the_order_of_files_and_lines(tmp_path):
    given = [
        Measurement(figure=FIGURE, command="c", seed=seed, commit="abc", machine="m") for seed in range(3)
    ]
    append_measurements(tmp_path / "b.jsonl", given[1:])
    append_measurements(tmp_path / "a.jsonl", given[:1])
    assert list(read_measurements(tmp_path)) == given


def test_a_line_that_is_no_measurement_is_named(tmp_path):
    (tmp_path / "a.jsonl").write_text('{"figure": 3}\n')
    with pytest.raises(UnreadableMeasurements, match=r"a\.jsonl, line 1"):
        list(read_measurements(tmp_path))


def test_a_plan_beyond_the_limits_is_refused():
    guard = Guard(memory_most=1 << 20, processes_most=3)
    guard.check_plan(memory=1 << 20, processes=3)
    with pytest.raises(LimitExceeded, match="2 MiB"):
        guard.check_plan(memory=2 << 20, processes=3)
    with pytest.raises(LimitExceeded, match="4 processes"):
        guard.check_plan(memory=0, processes=4)


def test_a_run_that_holds_too_much_is_stopped():
    taken = Guard.for_this_machine().check()
    assert taken > 0
    with pytest.raises(LimitExceeded):
        Guard(memory_most=taken // 2).check()
    with pytest.raises(LimitExceeded):
        Guard(memory_most=taken * 3 // 2).check(children=(os.getpid(),))


def test_the_command_writes_what_it_measured(tmp_path, a_part):
    out = tmp_path / "figures.jsonl"
    done = CliRunner().invoke(lab, ["scale", "decisions", "--size", "10", "--seed", "7", "--out", str(out)])
    assert done.exit_code == 0, done.output
    (found,) = read_measurements(tmp_path)
    assert found.figure == FIGURE
    assert found.command == "millweir lab scale decisions --size 10 --seed 7"
    assert found.seed == 7


def test_the_command_says_where_it_stopped_itself(a_part):
    done = CliRunner().invoke(lab, ["scale", "decisions", "--size", str(1 << 60)])
    assert done.exit_code == 1
    assert "stopped: expected to take" in done.output


def test_an_unknown_part_is_wrong_use():
    assert CliRunner().invoke(lab, ["scale", "nonsense", "--size", "1"]).exit_code == 2
