"""Tests of the capacity model: fitted slopes, rows and their budgets, the ranking and the rendered page."""

from __future__ import annotations

import math
import random
from dataclasses import replace

import pytest
from click.testing import CliRunner

from millweir.cli.lab import lab
from millweir.lab.capacity import keys, mechanisms, page
from millweir.lab.capacity.assumptions import (
    ASSUMPTIONS_PATH,
    UnreadableAssumptions,
    iterate_inputs,
    read_inputs,
)
from millweir.lab.capacity.fits import (
    GrowthForm,
    Point,
    TooFewSizes,
    UnfittedSlope,
    fit_slope,
    fit_slope_if_possible,
    list_distinct_sizes,
)
from millweir.lab.capacity.model import (
    Budget,
    Calculation,
    Fleet,
    Mechanism,
    NotMeasured,
    Resource,
    Role,
    Row,
    SlopeKey,
    Stage,
    evaluate_row,
    fit_measurements,
)
from millweir.lab.capacity.ranking import (
    MAX_TARGET_RATIO,
    Crossing,
    Growth,
    collect_needed_remedies,
    find_crossing,
    rank_rows,
)
from millweir.lab.capacity.rows import ROWS
from millweir.lab.capacity.rows_control import CONTROL_TOTAL_ROWS
from millweir.lab.capacity.units import format_figure, format_number
from millweir.lab.scale.measurement import ROOT, Figure, Measurement

SIZES = (100, 1_000, 10_000, 100_000)
RELATIVE_NOISE = 0.02
NOISE_SEEDS = range(20)
TRUE_VALUES = {
    GrowthForm.CONSTANT: lambda size: 700.0,
    GrowthForm.LOGARITHMIC: lambda size: 100.0 + 60.0 * math.log2(size),
    GrowthForm.LINEAR: lambda size: 2_000.0 + 0.5 * size,
    GrowthForm.QUADRATIC: lambda size: 5_000.0 + 0.002 * size**2,
}
KEY = SlopeKey("part", "quantity")
IMPLEMENTED_MECHANISM = Mechanism("present", ("millweir/control.py",))


def make_noisy_points(form, seed, noise=RELATIVE_NOISE):
    random_source = random.Random(seed)
    return [Point(size, TRUE_VALUES[form](size) * random_source.gauss(1, noise)) for size in SIZES]


def make_measurement(size, value, key=KEY, unit="B"):
    """Return the record of one figure without spread."""
    figure = Figure(
        part=key.part,
        quantity=key.quantity,
        trouble=key.fault,
        unit=unit,
        size=size,
        value=value,
        low=value,
        high=value,
        simulated=key.is_simulated,
    )
    return Measurement(figure=figure, command="c", seed=1, commit="abc", machine="m")


def fit_values(values, key=KEY):
    """Fit a slope to values given by size."""
    return fit_measurements(make_measurement(size, value, key) for size, value in values.items())


@pytest.fixture(scope="module")
def inputs():
    return read_inputs()


@pytest.fixture(scope="module")
def committed_model():
    return page.read_model()


def make_row(compute_figure, budget=mechanisms.CONTROL_MEMORY, **fields):
    return Row(
        Role.CONTROL,
        "a row",
        Resource.MEMORY,
        "B",
        compute_figure,
        IMPLEMENTED_MECHANISM,
        budget=budget,
        **fields,
    )


# Slopes.


@pytest.mark.parametrize("form", GrowthForm)
def test_known_form_is_recovered_from_noisy_points(form):
    slopes = [fit_slope(make_noisy_points(form, seed)) for seed in NOISE_SEEDS]
    assert sum(slope.form is form for slope in slopes) >= 0.9 * len(slopes)
    correct_slopes = [slope for slope in slopes if slope.form is form]
    for slope in correct_slopes:
        assert slope.value_at(10 * SIZES[-1]) == pytest.approx(TRUE_VALUES[form](10 * SIZES[-1]), rel=0.1)
        assert slope.residual < 3 * RELATIVE_NOISE
        assert slope.largest_size == SIZES[-1]


def test_noise_alone_is_rarely_fitted_as_growth():
    forms = [fit_slope(make_noisy_points(GrowthForm.CONSTANT, seed, noise=0.1)).form for seed in range(200)]
    assert forms.count(GrowthForm.CONSTANT) >= 150


def test_small_sizes_weigh_as_much_as_large_ones():
    slope = fit_slope([Point(size, 1_000.0 + size) for size in SIZES])
    assert slope.value_at(SIZES[0]) == pytest.approx(1_000 + SIZES[0], rel=0.01)


def test_values_between_measured_sizes_are_interpolated():
    values = {100: 3.0, 1_000: 9.0, 10_000: 11.0, 100_000: 40.0}  # no form fits these
    slope = fit_slope([Point(size, value) for size, value in values.items()])
    for size, value in values.items():
        assert slope.value_at(size) == pytest.approx(value)
    assert 9.0 < slope.value_at(3_000) < 11.0
    linear = fit_slope([Point(size, 2.0 * size) for size in SIZES])
    assert linear.value_at(3_000) == pytest.approx(6_000)
    assert fit_slope([Point(size, size**2) for size in SIZES]).value_at(3_000) == pytest.approx(9e6)
    assert fit_slope([Point(size, size - 100.0) for size in SIZES]).value_at(550) == pytest.approx(450)
    assert slope.value_at(1e6) / 40.0 == pytest.approx(slope.evaluate_form(1e6) / slope.evaluate_form(1e5))
    assert slope.value_at(100_001) == pytest.approx(40.0, rel=1e-3)


def test_falling_values_are_fitted_as_constant():
    slope = fit_slope([Point(size, 100.0 / size) for size in SIZES])
    assert slope.form is GrowthForm.CONSTANT
    assert slope.coefficient == 0


def test_zeros_are_fitted_as_constant():
    slope = fit_slope([Point(size, 0.0) for size in SIZES])
    assert (slope.form, slope.value_at(1e6), slope.residual) == (GrowthForm.CONSTANT, 0.0, 0.0)


@pytest.mark.parametrize(
    ("sizes", "reason"),
    [
        ((1, 10, 100), "3 of 4 sizes"),
        ((1, 1, 10, 100), "3 of 4 sizes"),
        ((10, 100, 200, 900), "sizes span 90 times"),
    ],
)
def test_too_few_sizes_are_not_fitted(sizes, reason):
    points = [Point(size, float(size)) for size in sizes]
    assert list_distinct_sizes(points) == tuple(sorted(set(sizes)))
    with pytest.raises(TooFewSizes, match=reason):
        fit_slope(points)
    unfitted = fit_slope_if_possible(points)
    assert isinstance(unfitted, UnfittedSlope)
    assert reason in unfitted.reason
    assert unfitted.value_at(1e9) == max(sizes)  # not extrapolated
    assert unfitted.value_at(0.1) == min(sizes)
    assert unfitted.value_at(50) == pytest.approx(50)


# Rows and budgets.


def test_row_without_measurements_lists_its_missing_key(inputs):
    result = evaluate_row(make_row(lambda c: c.evaluate_slope(KEY, 1.0)), Fleet(inputs), {})
    assert result.figure is None
    assert result.budget_fraction is None
    assert not result.is_over_budget
    assert result.missing_keys == (KEY,)


def test_largest_size_used_of_a_slope_is_recorded(inputs):
    calculation = Calculation(Fleet(inputs), fit_values(dict.fromkeys(SIZES, 5.0)))
    for size in (10.0, 1e7, 3.0):
        calculation.evaluate_slope(KEY, size)
    assert calculation.used_sizes == {KEY: 1e7}


def test_slope_measured_on_sockets_is_preferred_unless_it_is_unfitted(inputs):
    simulated = replace(KEY, is_simulated=True)
    by_simulation = fit_values(dict.fromkeys(SIZES, 7.0), simulated)
    on_sockets = fit_values(dict.fromkeys(SIZES, 5.0))
    on_few_sockets = fit_values(dict.fromkeys(SIZES[:2], 4.0))
    row = make_row(lambda c: c.evaluate_slope(KEY, 1_000.0))
    for slopes, figure, expected_key in (
        (on_sockets | by_simulation, 5.0, KEY),
        (on_few_sockets | by_simulation, 7.0, simulated),
        (by_simulation, 7.0, simulated),
        (on_few_sockets, 4.0, KEY),
    ):
        result = evaluate_row(row, Fleet(inputs), slopes)
        assert result.figure == pytest.approx(figure)
        assert list(result.used_sizes) == [expected_key]


def test_sum_skips_unmeasured_rows_and_lists_their_keys(inputs):
    known = make_row(lambda c: 5.0)
    unknown = make_row(lambda c: c.evaluate_slope(KEY, 1.0))
    result = evaluate_row(make_row(lambda c: c.sum_rows((known, unknown, known))), Fleet(inputs), {})
    assert result.figure == 10.0
    assert result.missing_keys == (KEY,)
    calculation = Calculation(Fleet(inputs), {})
    with pytest.raises(NotMeasured):
        calculation.sum_rows((unknown,))


def test_control_totals_sum_rows_of_the_design_with_placement():
    for resource in (Resource.MEMORY, Resource.PROCESSOR, Resource.BYTES):
        summed_rows = [row for row in CONTROL_TOTAL_ROWS if row.resource is resource]
        assert len(summed_rows) >= 2
        assert all(
            row.stage is not Stage.BEFORE_PLACEMENT and row.role is Role.CONTROL for row in summed_rows
        )


def test_destinations_per_relay_with_placement(inputs):
    fleet = Fleet(inputs)
    assumptions = inputs.assumptions
    expected = fleet.destinations * assumptions.replicas.value / fleet.relays * assumptions.imbalance.value
    assert fleet.max_destinations_per_relay == pytest.approx(expected)
    assert Fleet(inputs, 10 * fleet.target_fraction).max_destinations_per_relay == pytest.approx(expected)
    one_relay_fleet = Fleet(inputs, 1 / fleet.relays)
    assert one_relay_fleet.max_destinations_per_relay <= one_relay_fleet.destinations


def test_every_mechanism_has_existing_files_or_an_issue():
    for row in ROWS:
        for mechanism in filter(None, (row.mechanism, row.remedy)):
            assert mechanism.files or mechanism.missing_issue or mechanism is mechanisms.ALL_CONTROL
            for name in mechanism.files:
                assert (ROOT / name).exists(), name


def test_every_role_has_state_messages_and_bytes_rows():
    resources = {(row.role, row.resource) for row in ROWS}
    for role in (Role.DATA, Role.CONTROL, Role.VOTER, Role.DISTRIBUTOR, Role.TAKEOVER):
        for resource in (Resource.STATE, Resource.MESSAGES, Resource.BYTES):
            assert (role, resource) in resources, (role, resource)
    assert any(row.role is Role.MACHINES for row in ROWS)


@pytest.fixture(scope="module")
def slopes_for_all_rows(inputs):
    """Invented slopes for all keys that the rows use; a restart costs more than no fault."""
    slopes = {}
    for row in ROWS:
        while missing_keys := evaluate_row(row, Fleet(inputs), slopes).missing_keys:
            for key in missing_keys:
                value = 200.0 if key.fault == "restart" else 100.0
                slopes |= fit_values(dict.fromkeys(SIZES, value), key)
    return slopes


def test_every_assumption_changes_a_result(inputs, slopes_for_all_rows):
    before = evaluate_all_rows(inputs, slopes_for_all_rows)
    for name, input_value in iterate_inputs(inputs.assumptions):
        changed = type(input_value)(input_value.value * 3, input_value.unit, input_value.note)
        assumptions = type(inputs.assumptions)(
            **{
                other: changed if other == name else unchanged
                for other, unchanged in iterate_inputs(inputs.assumptions)
            }
        )
        assert (
            evaluate_all_rows(type(inputs)(inputs.targets, assumptions), slopes_for_all_rows) != before
        ), name


def test_page_states_that_all_rows_are_measured(inputs, slopes_for_all_rows):
    text = page.render(page.Model(inputs, slopes_for_all_rows))
    assert "Nothing: every row has its measurements." in text
    assert "| not measured |" not in text


def test_no_measurement_of_the_replicated_store_is_missing(committed_model):
    missing_keys = {key for result in committed_model.evaluate_rows() for key in result.missing_keys}
    assert not [key for key in missing_keys if key.part == "register"]


def evaluate_all_rows(inputs, slopes):
    results = (evaluate_row(row, Fleet(inputs), slopes) for row in ROWS)
    return [(result.figure, result.budget) for result in results]


# Ranking.


def test_row_over_budget_in_the_smallest_fleet_ranks_first(inputs):
    fractions = (0.5, 3.0, 0.02, 1.5)
    rows = tuple(
        replace(make_row(crossing_at(target_fraction)), name=str(target_fraction))
        for target_fraction in fractions
    )
    ranked_rows = rank_rows(rows, inputs, {})
    assert [ranked_row.row.name for ranked_row in ranked_rows] == ["0.02", "0.5", "1.5", "3.0"]
    for ranked_row in ranked_rows:
        assert ranked_row.target_fraction == pytest.approx(float(ranked_row.row.name), rel=1e-6)


def crossing_at(target_fraction):
    return lambda c: c.fleet.target_fraction / target_fraction * c.fleet.targets.control_memory.value


def test_rows_within_budget_rank_last_by_budget_fraction(inputs):
    budget = inputs.targets.control_memory.value
    rows = (
        replace(make_row(lambda c: 0.1 * budget), name="tenth"),
        replace(make_row(lambda c: 0.9 * budget), name="nearly"),
        replace(make_row(crossing_at(MAX_TARGET_RATIO / 2)), name="late"),
        replace(make_row(lambda c: 2 * budget), name="always"),
    )
    ranked_rows = rank_rows(rows, inputs, {})
    assert [ranked_row.row.name for ranked_row in ranked_rows] == ["always", "late", "nearly", "tenth"]
    assert ranked_rows[0].crossing.growth is Growth.FLEET
    assert [ranked_row.target_fraction is None for ranked_row in ranked_rows] == [False, False, True, True]


def test_row_over_budget_only_in_small_fleets_has_no_crossing(inputs):
    budget = inputs.targets.control_memory.value
    row = make_row(lambda c: budget * 0.1 / c.fleet.target_fraction)
    assert find_crossing(row, inputs, {}) is None


def test_row_over_budget_in_any_fleet_is_ranked_by_backlog(inputs):
    budget = inputs.targets.control_memory.value
    held = Fleet(inputs).events_held_per_relay
    row = make_row(lambda c: 50 * budget * c.fleet.events_held_per_relay / held)
    crossing = find_crossing(row, inputs, {})
    assert crossing.growth is Growth.BACKLOG
    assert crossing.target_fraction == pytest.approx(1 / 50, rel=1e-6)
    always = find_crossing(make_row(lambda c: 2 * budget), inputs, {})
    assert always == Crossing(Growth.FLEET, 10 / inputs.targets.relays.value)
    text = page.render(page.Model(inputs, {}, (row,)))
    assert f"| 1 | any | {format_figure(held / 50, 'events')} held by each relay |" in text


def test_row_with_unfitted_slope_is_not_reported_within_budget(inputs):
    slopes = fit_values({10: 4.0, 100: 5.0})
    row = make_row(lambda c: c.evaluate_slope(KEY, c.fleet.relays))
    text = page.render(page.Model(inputs, slopes, (row,)))
    assert "5 B (at the largest size measured)" in text
    assert "| 1 | not known: too few sizes |" in text
    within = make_row(lambda c: c.evaluate_slope(KEY, 50.0))
    assert "not known" not in page.render(page.Model(inputs, slopes, (within,)))


def test_rows_without_budget_or_measurements_are_not_ranked(inputs):
    rows = (make_row(lambda c: 1e12, budget=None), make_row(lambda c: c.evaluate_slope(KEY, 1.0)))
    assert rank_rows(rows, inputs, {}) == []


def test_needed_remedies_are_in_order_of_their_first_row(inputs):
    first, second = Mechanism("first", missing_issue=1), Mechanism("second", missing_issue=2)
    rows = (
        make_row(crossing_at(0.5), remedy=second),
        make_row(crossing_at(0.1), remedy=first),
        make_row(crossing_at(0.7), remedy=first),
        make_row(crossing_at(2.0), remedy=Mechanism("beyond the target", missing_issue=3)),
    )
    found = collect_needed_remedies(rank_rows(rows, inputs, {}))
    assert [(need.remedy, need.row_count) for need in found] == [(first, 2), (second, 1)]
    assert found[0].first.target_fraction == pytest.approx(0.1, rel=1e-6)


# The page.


def test_committed_page_equals_the_command_output():
    result = CliRunner().invoke(lab, ["capacity"])
    assert result.exit_code == 0, result.output
    assert result.output == page.PAGE_PATH.read_text(), "run: millweir lab capacity --write"


def test_write_option_writes_the_page(monkeypatch, tmp_path):
    monkeypatch.setattr(page, "PAGE_PATH", tmp_path / "CAPACITY.md")
    result = CliRunner().invoke(lab, ["capacity", "--write"])
    assert (result.exit_code, result.output) == (0, "")
    assert (tmp_path / "CAPACITY.md").read_text() == CliRunner().invoke(lab, ["capacity"]).output


def test_changed_assumption_changes_the_page(committed_model, tmp_path):
    text = ASSUMPTIONS_PATH.read_text()
    old_entry = "[assumptions.replicas]\nvalue = 3\n"
    assert old_entry in text
    changed = tmp_path / "assumptions.toml"
    changed.write_text(text.replace(old_entry, old_entry.replace("3", "30")))
    before = page.render(committed_model).splitlines()
    after = page.render(page.read_model(assumptions=changed)).splitlines()
    row_name = "destinations known, at the fullest relay"
    (old_line,) = [line for line in before if row_name in line]
    (new_line,) = [line for line in after if row_name in line]
    assert old_line != new_line


def test_unknown_assumption_is_rejected(tmp_path):
    wrong_file = tmp_path / "assumptions.toml"
    wrong_file.write_text(
        ASSUMPTIONS_PATH.read_text() + '\n[assumptions.surprise]\nvalue = 1\nunit = "B"\nnote = "?"\n'
    )
    with pytest.raises(UnreadableAssumptions, match="surprise"):
        read_inputs(wrong_file)


def test_page_marks_rows_over_budget(inputs):
    budget = inputs.targets.control_memory.value
    rows = (
        replace(make_row(lambda c: 2.5 * budget), name="too much"),
        replace(make_row(lambda c: budget), name="just enough"),
    )
    text = page.render(page.Model(inputs, {}, rows))
    lines = {
        name: [line for line in text.splitlines() if name in line] for name in ("too much", "just enough")
    }
    assert any("160 MB **OVER** 2.5 times" in line for line in lines["too much"])
    assert not any("OVER" in line for line in lines["just enough"])
    assert "Over it at the target: 1." in text


def test_over_budget_rows_are_sorted_by_budget_fraction(inputs):
    budget = inputs.targets.control_memory.value
    rows = (
        replace(make_row(lambda c: 2 * budget), name="by two, in any fleet"),
        replace(make_row(crossing_at(1 / 7)), name="by seven"),
        replace(make_row(crossing_at(1 / 3)), name="by three"),
    )
    text = page.render(page.Model(inputs, {}, rows)).partition("## Over budget")[2].partition("\n## ")[0]
    assert text.index("by seven") < text.index("by three") < text.index("by two")


def test_page_states_how_far_a_slope_is_extrapolated(inputs):
    slopes = fit_values(dict.fromkeys(SIZES, 5.0))
    row = make_row(lambda c: c.evaluate_slope(KEY, 20 * SIZES[-1]))
    text = page.render(page.Model(inputs, slopes, (row,)))
    (line,) = [text_line for text_line in text.splitlines() if text_line.startswith("| `part/quantity`")]
    assert "constant" in line and "20 times past" in line
    assert "| `part/quantity`: constant, 0%, 20 times past |" in text


def test_page_states_which_slopes_are_unfitted(inputs):
    slopes = fit_values({10: 4.0, 100: 5.0})
    text = page.render(page.Model(inputs, slopes, (make_row(lambda c: c.evaluate_slope(KEY, 50.0)),)))
    (line,) = [text_line for text_line in text.splitlines() if text_line.startswith("| `part/quantity`")]
    assert "too few sizes, not fitted: 2 of 4 sizes" in line
    assert "5, as measured at 100" in line


def test_page_lists_unmeasured_slopes(inputs):
    text = page.render(page.Model(inputs, {}, (make_row(lambda c: c.evaluate_slope(KEY, 1.0)),)))
    assert "| `part/quantity` | Relay: control, calm: a row" in text.partition("## Not measured")[2]
    assert "Not measured: 1," in text
    (line,) = [text_line for text_line in text.splitlines() if text_line.startswith("| calm | a row |")]
    assert "| not measured | 64 MB |" in line


def test_page_marks_sums_with_unmeasured_rows(inputs):
    summed_rows = (make_row(lambda c: 5.0), make_row(lambda c: c.evaluate_slope(KEY, 1.0)))
    text = page.render(page.Model(inputs, {}, (make_row(lambda c: c.sum_rows(summed_rows)),)))
    assert "| 5 B and what is not measured |" in text


def test_our_budgets_are_in_italics(inputs):
    ours = Budget("machine_memory", is_set_by_operators=False)
    rows = (make_row(lambda c: 1.0, budget=ours), make_row(lambda c: 1.0))
    text = page.render(page.Model(inputs, {}, rows)).partition("## Roles")[2]
    assert "| *32 GB* |" in text
    assert "| 64 MB |" in text


@pytest.mark.parametrize(
    ("value", "unit", "text"),
    [
        (0.0, "B", "0 B"),
        (2_600_000_000.0, "B", "2.6 GB"),
        (11e3, "B/s", "11 KB/s"),
        (0.0422, "cores", "4.22% of a core"),
        (2_450.0, "s", "40.8 min"),
        (11_818.0, "s", "3.28 h"),
        (0.000226, "s", "226 us"),
        (21e9, "events", "21 billion events"),
        (796.4, "destinations", "796 destinations"),
    ],
)
def test_figures_are_formatted_with_scaled_units(value, unit, text):
    assert format_figure(value, unit) == text


def test_numbers_are_rounded_to_three_significant_digits():
    assert [format_number(value) for value in (1_234.5, 0.012345, 9.996, 99.96, math.pi)] == [
        "1,230",
        "0.0123",
        "10",
        "100",
        "3.14",
    ]


def test_every_key_names_an_existing_part_of_the_scale_tests():
    from millweir.lab.scale.parts import PARTS

    found = [value for value in vars(keys).values() if isinstance(value, SlopeKey)]
    assert found
    assert all(key.part in PARTS for key in found)
