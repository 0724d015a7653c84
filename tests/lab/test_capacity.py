"""The capacity model: slopes from measurements, rows against budgets, the ranking and the page."""

from __future__ import annotations

import math
import random
from dataclasses import replace

import pytest
from click.testing import CliRunner

from millweir.cli.lab import lab
from millweir.lab.capacity import keys, mechanisms, page
from millweir.lab.capacity.assumptions import PATH, UnreadableAssumptions, read_inputs, stated_by_name
from millweir.lab.capacity.fits import (
    Form,
    LargestMeasured,
    Point,
    TooFewSizes,
    distinct_sizes,
    fit_slope,
    slope_or_largest,
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
    fit_measurements,
    work_out,
)
from millweir.lab.capacity.ranking import LARGEST_TIMES, Crossing, Growth, find_crossing, needs, rank
from millweir.lab.capacity.rows import ROWS
from millweir.lab.capacity.rows_control import CONTROL_PARTS
from millweir.lab.capacity.units import rounded, with_unit
from millweir.lab.scale.measurement import ROOT, Figure, Measurement

SIZES = (100, 1_000, 10_000, 100_000)
NOISE = 0.02
SEEDS = range(20)
TRUTHS = {
    Form.CONSTANT: lambda size: 700.0,
    Form.LOGARITHMIC: lambda size: 100.0 + 60.0 * math.log2(size),
    Form.LINEAR: lambda size: 2_000.0 + 0.5 * size,
    Form.QUADRATIC: lambda size: 5_000.0 + 0.002 * size**2,
}
KEY = SlopeKey("part", "quantity")
PRESENT = Mechanism("present", ("millweir/control.py",))


def noisy_points(form, seed, noise=NOISE):
    chance = random.Random(seed)
    return [Point(size, TRUTHS[form](size) * chance.gauss(1, noise)) for size in SIZES]


def measurement(size, value, key=KEY, unit="B"):
    """A record of one figure."""
    figure = Figure(
        part=key.part,
        quantity=key.quantity,
        trouble=key.trouble,
        unit=unit,
        size=size,
        value=value,
        low=value,
        high=value,
        simulated=key.is_simulated,
    )
    return Measurement(figure=figure, command="c", seed=1, commit="abc", machine="m")


def slopes_of(values, key=KEY):
    """A slope through values by size."""
    return fit_measurements(measurement(size, value, key) for size, value in values.items())


@pytest.fixture(scope="module")
def inputs():
    return read_inputs()


@pytest.fixture(scope="module")
def committed():
    return page.read_model()


def a_row(figure, budget=mechanisms.CONTROL_MEMORY, **fields):
    return Row(Role.CONTROL, "a row", Resource.MEMORY, "B", figure, PRESENT, budget=budget, **fields)


# Slopes.


@pytest.mark.parametrize("form", Form)
def test_a_known_form_is_found_again_in_noise(form):
    found = [fit_slope(noisy_points(form, seed)) for seed in SEEDS]
    assert sum(slope.form is form for slope in found) >= 0.9 * len(found)
    right = [slope for slope in found if slope.form is form]
    for slope in right:
        assert slope.at(10 * SIZES[-1]) == pytest.approx(TRUTHS[form](10 * SIZES[-1]), rel=0.1)
        assert slope.residual < 3 * NOISE
        assert slope.largest == SIZES[-1]


def test_noise_alone_is_seldom_taken_for_growth():
    forms = [fit_slope(noisy_points(Form.CONSTANT, seed, noise=0.1)).form for seed in range(200)]
    assert forms.count(Form.CONSTANT) >= 150


def test_small_sizes_count_as_much_as_large_ones():
    slope = fit_slope([Point(size, 1_000.0 + size) for size in SIZES])
    assert slope.at(SIZES[0]) == pytest.approx(1_000 + SIZES[0], rel=0.01)


def test_between_measured_sizes_the_measured_values_are_used():
    values = {100: 3.0, 1_000: 9.0, 10_000: 11.0, 100_000: 40.0}  # of no form
    slope = fit_slope([Point(size, value) for size, value in values.items()])
    for size, value in values.items():
        assert slope.at(size) == pytest.approx(value)
    assert 9.0 < slope.at(3_000) < 11.0
    straight = fit_slope([Point(size, 2.0 * size) for size in SIZES])
    assert straight.at(3_000) == pytest.approx(6_000)
    assert fit_slope([Point(size, size**2) for size in SIZES]).at(3_000) == pytest.approx(9e6)
    assert fit_slope([Point(size, size - 100.0) for size in SIZES]).at(550) == pytest.approx(450)
    assert slope.at(1e6) / 40.0 == pytest.approx(slope.by_form(1e6) / slope.by_form(1e5))
    assert slope.at(100_001) == pytest.approx(40.0, rel=1e-3)


def test_what_falls_with_size_is_taken_as_constant():
    slope = fit_slope([Point(size, 100.0 / size) for size in SIZES])
    assert slope.form is Form.CONSTANT
    assert slope.coefficient == 0


def test_zeros_are_a_constant():
    slope = fit_slope([Point(size, 0.0) for size in SIZES])
    assert (slope.form, slope.at(1e6), slope.residual) == (Form.CONSTANT, 0.0, 0.0)


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
    assert distinct_sizes(points) == tuple(sorted(set(sizes)))
    with pytest.raises(TooFewSizes, match=reason):
        fit_slope(points)
    stand_in = slope_or_largest(points)
    assert isinstance(stand_in, LargestMeasured)
    assert reason in stand_in.reason
    assert stand_in.at(1e9) == max(sizes)  # unscaled
    assert stand_in.at(0.1) == min(sizes)
    assert stand_in.at(50) == pytest.approx(50)


# Rows and budgets.


def test_a_slope_that_is_not_measured_is_said_so(inputs):
    result = work_out(a_row(lambda c: c.measured(KEY, 1.0)), Fleet(inputs), {})
    assert result.figure is None
    assert result.share_of_budget is None
    assert not result.is_over
    assert result.lacking == (KEY,)


def test_the_greatest_size_of_a_slope_is_kept(inputs):
    calculation = Calculation(Fleet(inputs), slopes_of(dict.fromkeys(SIZES, 5.0)))
    for size in (10.0, 1e7, 3.0):
        calculation.measured(KEY, size)
    assert calculation.used == {KEY: 1e7}


def test_sockets_go_before_simulation_unless_they_have_too_few_sizes(inputs):
    simulated = replace(KEY, is_simulated=True)
    by_simulation = slopes_of(dict.fromkeys(SIZES, 7.0), simulated)
    on_sockets = slopes_of(dict.fromkeys(SIZES, 5.0))
    on_few_sockets = slopes_of(dict.fromkeys(SIZES[:2], 4.0))
    row = a_row(lambda c: c.measured(KEY, 1_000.0))
    for slopes, figure, used in (
        (on_sockets | by_simulation, 5.0, KEY),
        (on_few_sockets | by_simulation, 7.0, simulated),
        (by_simulation, 7.0, simulated),
        (on_few_sockets, 4.0, KEY),
    ):
        result = work_out(row, Fleet(inputs), slopes)
        assert result.figure == pytest.approx(figure)
        assert list(result.used) == [used]


def test_a_sum_leaves_out_what_is_not_measured_and_says_so(inputs):
    known = a_row(lambda c: 5.0)
    unknown = a_row(lambda c: c.measured(KEY, 1.0))
    result = work_out(a_row(lambda c: c.total((known, unknown, known))), Fleet(inputs), {})
    assert result.figure == 10.0
    assert result.lacking == (KEY,)
    calculation = Calculation(Fleet(inputs), {})
    with pytest.raises(NotMeasured):
        calculation.total((unknown,))


def test_the_totals_add_up_what_a_relay_spends_on_control():
    for resource in (Resource.MEMORY, Resource.PROCESSOR, Resource.BYTES):
        parts = [row for row in CONTROL_PARTS if row.resource is resource]
        assert len(parts) >= 2
        assert all(row.stage is not Stage.BEFORE and row.role is Role.CONTROL for row in parts)


def test_placement_gives_a_relay_its_part_of_the_destinations(inputs):
    fleet = Fleet(inputs)
    assumed = inputs.assumptions
    part = fleet.destinations * assumed.replicas.value / fleet.relays * assumed.imbalance.value
    assert fleet.own_destinations == pytest.approx(part)
    assert Fleet(inputs, 10 * fleet.share).own_destinations == pytest.approx(part)
    tiny = Fleet(inputs, 1 / fleet.relays)
    assert tiny.own_destinations <= tiny.destinations


def test_every_row_has_a_mechanism_that_is_there_or_an_issue():
    for row in ROWS:
        for mechanism in filter(None, (row.mechanism, row.remedy)):
            assert mechanism.files or mechanism.missing_issue or mechanism is mechanisms.ALL_CONTROL
            for name in mechanism.files:
                assert (ROOT / name).exists(), name


def test_every_role_has_rows_calm_or_in_trouble_and_each_resource_that_the_letter_names():
    resources = {(row.role, row.resource) for row in ROWS}
    for role in (Role.DATA, Role.CONTROL, Role.VOTER, Role.DISTRIBUTOR, Role.TAKER):
        for resource in (Resource.STATE, Resource.MESSAGES, Resource.BYTES):
            assert (role, resource) in resources, (role, resource)
    assert any(row.role is Role.MACHINES for row in ROWS)


@pytest.fixture(scope="module")
def all_measured(inputs):
    """Made-up slopes for all that the rows rest on; a restart costs more than calm."""
    slopes = {}
    for row in ROWS:
        while lacking := work_out(row, Fleet(inputs), slopes).lacking:
            for key in lacking:
                value = 200.0 if key.trouble == "restart" else 100.0
                slopes |= slopes_of(dict.fromkeys(SIZES, value), key)
    return slopes


def test_every_assumption_bears_on_a_row(inputs, all_measured):
    before = results_of(inputs, all_measured)
    for name, stated in stated_by_name(inputs.assumptions):
        changed = type(stated)(stated.value * 3, stated.unit, stated.note)
        assumptions = type(inputs.assumptions)(
            **{other: changed if other == name else one for other, one in stated_by_name(inputs.assumptions)}
        )
        assert results_of(type(inputs)(inputs.targets, assumptions), all_measured) != before, name


def test_a_page_with_all_measured_says_so(inputs, all_measured):
    text = page.render(page.Model(inputs, all_measured))
    assert "Nothing: every row has its measurements." in text
    assert "| not measured |" not in text


def test_the_register_is_measured_under_the_names_that_the_rows_use(committed):
    lacking = {key for result in committed.results() for key in result.lacking}
    assert not [key for key in lacking if key.part == "register"]


def results_of(inputs, slopes):
    results = (work_out(row, Fleet(inputs), slopes) for row in ROWS)
    return [(result.figure, result.budget) for result in results]


# Ranking.


def test_the_row_that_is_over_in_the_smallest_fleet_is_first(inputs):
    shares = (0.5, 3.0, 0.02, 1.5)
    rows = tuple(replace(a_row(by_share(share)), name=str(share)) for share in shares)
    ranked = rank(rows, inputs, {})
    assert [one.row.name for one in ranked] == ["0.02", "0.5", "1.5", "3.0"]
    for one in ranked:
        assert one.share == pytest.approx(float(one.row.name), rel=1e-6)


def by_share(share):
    return lambda c: c.fleet.share / share * c.fleet.targets.control_memory.value


def test_what_is_never_over_comes_last_by_its_share(inputs):
    budget = inputs.targets.control_memory.value
    rows = (
        replace(a_row(lambda c: 0.1 * budget), name="tenth"),
        replace(a_row(lambda c: 0.9 * budget), name="nearly"),
        replace(a_row(by_share(LARGEST_TIMES / 2)), name="late"),
        replace(a_row(lambda c: 2 * budget), name="always"),
    )
    ranked = rank(rows, inputs, {})
    assert [one.row.name for one in ranked] == ["always", "late", "nearly", "tenth"]
    assert ranked[0].crossing.growth is Growth.FLEET
    assert [one.share is None for one in ranked] == [False, False, True, True]


def test_a_row_that_is_over_in_small_fleets_alone_is_not_over(inputs):
    budget = inputs.targets.control_memory.value
    row = a_row(lambda c: budget * 0.1 / c.fleet.share)
    assert find_crossing(row, inputs, {}) is None


def test_a_row_over_in_any_fleet_by_what_a_relay_holds_is_ranked_by_that(inputs):
    budget = inputs.targets.control_memory.value
    held = Fleet(inputs).held_relay
    row = a_row(lambda c: 50 * budget * c.fleet.held_relay / held)
    crossing = find_crossing(row, inputs, {})
    assert crossing.growth is Growth.BACKLOG
    assert crossing.share == pytest.approx(1 / 50, rel=1e-6)
    always = find_crossing(a_row(lambda c: 2 * budget), inputs, {})
    assert always == Crossing(Growth.FLEET, 10 / inputs.targets.relays.value)
    text = page.render(page.Model(inputs, {}, (row,)))
    assert f"| 1 | any | {with_unit(held / 50, 'events')} held by each relay |" in text


def test_a_row_that_rests_on_too_few_sizes_is_not_called_within_its_budget(inputs):
    slopes = slopes_of({10: 4.0, 100: 5.0})
    row = a_row(lambda c: c.measured(KEY, c.fleet.relays))
    text = page.render(page.Model(inputs, slopes, (row,)))
    assert "5 B (at the largest size measured)" in text
    assert "| 1 | not known: too few sizes |" in text
    within = a_row(lambda c: c.measured(KEY, 50.0))
    assert "not known" not in page.render(page.Model(inputs, slopes, (within,)))


def test_rows_without_budget_or_figure_are_not_ranked(inputs):
    rows = (a_row(lambda c: 1e12, budget=None), a_row(lambda c: c.measured(KEY, 1.0)))
    assert rank(rows, inputs, {}) == []


def test_the_mechanism_of_the_first_row_is_missing_first(inputs):
    first, second = Mechanism("first", missing_issue=1), Mechanism("second", missing_issue=2)
    rows = (
        a_row(by_share(0.5), remedy=second),
        a_row(by_share(0.1), remedy=first),
        a_row(by_share(0.7), remedy=first),
        a_row(by_share(2.0), remedy=Mechanism("beyond the target", missing_issue=3)),
    )
    found = needs(rank(rows, inputs, {}))
    assert [(need.remedy, need.rows) for need in found] == [(first, 2), (second, 1)]
    assert found[0].first.share == pytest.approx(0.1, rel=1e-6)


# The page.


def test_the_committed_page_is_what_the_command_prints():
    printed = CliRunner().invoke(lab, ["capacity"])
    assert printed.exit_code == 0, printed.output
    assert printed.output == page.PAGE.read_text(), "run: millweir lab capacity --write"


def test_the_command_writes_the_page(monkeypatch, tmp_path):
    monkeypatch.setattr(page, "PAGE", tmp_path / "CAPACITY.md")
    done = CliRunner().invoke(lab, ["capacity", "--write"])
    assert (done.exit_code, done.output) == (0, "")
    assert (tmp_path / "CAPACITY.md").read_text() == CliRunner().invoke(lab, ["capacity"]).output


def test_a_changed_assumption_changes_the_page(committed, tmp_path):
    text = PATH.read_text()
    was = "[assumptions.replicas]\nvalue = 3\n"
    assert was in text
    changed = tmp_path / "assumptions.toml"
    changed.write_text(text.replace(was, was.replace("3", "30")))
    before = page.render(committed).splitlines()
    after = page.render(page.read_model(assumptions=changed)).splitlines()
    line = "destinations known, at the fullest relay"
    (old,) = [one for one in before if line in one]
    (new,) = [one for one in after if line in one]
    assert old != new


def test_assumptions_that_nobody_knows_are_refused(tmp_path):
    wrong = tmp_path / "assumptions.toml"
    wrong.write_text(PATH.read_text() + '\n[assumptions.surprise]\nvalue = 1\nunit = "B"\nnote = "?"\n')
    with pytest.raises(UnreadableAssumptions, match="surprise"):
        read_inputs(wrong)


def test_a_row_over_its_budget_says_so(inputs):
    budget = inputs.targets.control_memory.value
    rows = (
        replace(a_row(lambda c: 2.5 * budget), name="too much"),
        replace(a_row(lambda c: budget), name="just enough"),
    )
    text = page.render(page.Model(inputs, {}, rows))
    lines = {name: [one for one in text.splitlines() if name in one] for name in ("too much", "just enough")}
    assert any("160 MB **OVER** 2.5 times" in line for line in lines["too much"])
    assert not any("OVER" in line for line in lines["just enough"])
    assert "Over it at the target: 1." in text


def test_over_budget_rows_stand_in_order_of_how_far(inputs):
    budget = inputs.targets.control_memory.value
    rows = (
        replace(a_row(lambda c: 2 * budget), name="by two, in any fleet"),
        replace(a_row(by_share(1 / 7)), name="by seven"),
        replace(a_row(by_share(1 / 3)), name="by three"),
    )
    text = page.render(page.Model(inputs, {}, rows)).partition("## Over budget")[2].partition("\n## ")[0]
    assert text.index("by seven") < text.index("by three") < text.index("by two")


def test_the_page_says_how_far_a_slope_is_used_past_what_was_measured(inputs):
    slopes = slopes_of(dict.fromkeys(SIZES, 5.0))
    row = a_row(lambda c: c.measured(KEY, 20 * SIZES[-1]))
    text = page.render(page.Model(inputs, slopes, (row,)))
    (line,) = [one for one in text.splitlines() if one.startswith("| `part/quantity`")]
    assert "constant" in line and "20 times past" in line
    assert "| `part/quantity`: constant, 0%, 20 times past |" in text


def test_the_page_says_what_was_not_fitted(inputs):
    slopes = slopes_of({10: 4.0, 100: 5.0})
    text = page.render(page.Model(inputs, slopes, (a_row(lambda c: c.measured(KEY, 50.0)),)))
    (line,) = [one for one in text.splitlines() if one.startswith("| `part/quantity`")]
    assert "too few sizes, not fitted: 2 of 4 sizes" in line
    assert "5, as measured at 100" in line


def test_the_page_names_what_is_not_measured(inputs):
    text = page.render(page.Model(inputs, {}, (a_row(lambda c: c.measured(KEY, 1.0)),)))
    assert "| `part/quantity` | Relay: control, calm: a row" in text.partition("## Not measured")[2]
    assert "Not measured: 1," in text
    (line,) = [one for one in text.splitlines() if one.startswith("| calm | a row |")]
    assert "| not measured | 64 MB |" in line


def test_the_page_says_that_a_sum_lacks_a_part(inputs):
    parts = (a_row(lambda c: 5.0), a_row(lambda c: c.measured(KEY, 1.0)))
    text = page.render(page.Model(inputs, {}, (a_row(lambda c: c.total(parts)),)))
    assert "| 5 B and what is not measured |" in text


def test_our_budgets_look_other_than_the_operators(inputs):
    ours = Budget("machine_memory", is_operators=False)
    rows = (a_row(lambda c: 1.0, budget=ours), a_row(lambda c: 1.0))
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
def test_figures_have_units_that_can_be_compared(value, unit, text):
    assert with_unit(value, unit) == text


def test_rounding_keeps_three_digits():
    assert [rounded(value) for value in (1_234.5, 0.012345, 9.996, 99.96, math.pi)] == [
        "1,230",
        "0.0123",
        "10",
        "100",
        "3.14",
    ]


def test_each_key_names_a_part_of_the_scale_tests():
    from millweir.lab.scale.parts import PARTS

    found = [value for value in vars(keys).values() if isinstance(value, SlopeKey)]
    assert found
    assert all(key.part in PARTS for key in found)
