"""The infrastructure of the scale tests: stored records, resource limits and the command."""

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

EXAMPLE_FIGURE = Figure(part="decisions", quantity="memory", unit="B", size=10, value=2.0, low=1.0, high=3.0)


def fake_measure(size, seed, guard):
    """Fake `measure` function of a part."""
    guard.check_plan(memory=size, processes=1)
    yield EXAMPLE_FIGURE


@pytest.fixture
def fake_part(monkeypatch):
    monkeypatch.setattr(parts, "load_part", lambda name: fake_measure)


def test_measurements_are_read_back_in_the_order_of_files_and_lines(tmp_path):
    measurements = [
        Measurement(figure=EXAMPLE_FIGURE, command="c", seed=seed, commit="abc", machine="m")
        for seed in range(3)
    ]
    append_measurements(tmp_path / "b.jsonl", measurements[1:])
    append_measurements(tmp_path / "a.jsonl", measurements[:1])
    assert list(read_measurements(tmp_path)) == measurements


def test_an_undecodable_line_is_reported_with_file_and_line(tmp_path):
    (tmp_path / "a.jsonl").write_text('{"figure": 3}\n')
    with pytest.raises(UnreadableMeasurements, match=r"a\.jsonl, line 1"):
        list(read_measurements(tmp_path))


def test_a_plan_over_the_limits_is_rejected():
    guard = Guard(max_memory_bytes=1 << 20, max_processes=3)
    guard.check_plan(memory=1 << 20, processes=3)
    with pytest.raises(LimitExceeded, match="2 MiB"):
        guard.check_plan(memory=2 << 20, processes=3)
    with pytest.raises(LimitExceeded, match="4 processes"):
        guard.check_plan(memory=0, processes=4)


def test_a_run_over_the_memory_limit_is_stopped():
    resident_bytes = Guard.for_this_machine().check()
    assert resident_bytes > 0
    with pytest.raises(LimitExceeded):
        Guard(max_memory_bytes=resident_bytes // 2).check()
    with pytest.raises(LimitExceeded):
        Guard(max_memory_bytes=resident_bytes * 3 // 2).check(children=(os.getpid(),))


def test_the_command_writes_its_measurements(tmp_path, fake_part):
    out = tmp_path / "figures.jsonl"
    result = CliRunner().invoke(lab, ["scale", "decisions", "--size", "10", "--seed", "7", "--out", str(out)])
    assert result.exit_code == 0, result.output
    (measurement,) = read_measurements(tmp_path)
    assert measurement.figure == EXAMPLE_FIGURE
    assert measurement.command == "millweir lab scale decisions --size 10 --seed 7"
    assert measurement.seed == 7


def test_the_command_reports_an_exceeded_limit(fake_part):
    result = CliRunner().invoke(lab, ["scale", "decisions", "--size", str(1 << 60)])
    assert result.exit_code == 1
    assert "stopped: expected to take" in result.output


def test_an_unknown_part_is_a_usage_error():
    assert CliRunner().invoke(lab, ["scale", "nonsense", "--size", "1"]).exit_code == 2
