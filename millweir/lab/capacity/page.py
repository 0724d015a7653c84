"""Renders the page docs/CAPACITY.md from the capacity model."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

from millweir.lab.capacity.assumptions import (
    ASSUMPTIONS_PATH,
    Assumptions,
    Inputs,
    Targets,
    iterate_inputs,
    read_inputs,
)
from millweir.lab.capacity.fits import (
    MIN_SIZE_RATIO,
    MIN_SIZES,
    NOISE_RESIDUAL,
    GrowthForm,
    Slope,
    UnfittedSlope,
)
from millweir.lab.capacity.model import (
    Fault,
    Fleet,
    MeasuredQuantity,
    Mechanism,
    Result,
    Role,
    Row,
    SlopeKey,
    Slopes,
    Source,
    Stage,
    collect_sources,
    evaluate_row,
    fit_measurements,
)
from millweir.lab.capacity.ranking import (
    MAX_TARGET_RATIO,
    Growth,
    RankedRow,
    collect_needed_remedies,
    compute_min_target_fraction,
    rank_rows,
)
from millweir.lab.capacity.rows import ROWS
from millweir.lab.capacity.units import format_figure, format_input, format_number
from millweir.lab.scale.measurement import ROOT, read_measurements

PAGE_PATH = ROOT / "docs" / "CAPACITY.md"
MEASUREMENTS_DIR = ROOT / "docs" / "capacity" / "measurements"

INTRODUCTION = """\
# Capacity

What each role of a fleet holds, sends, spends and waits for at the size that the operators are heading
for, and which mechanism carries it. This page is written by `millweir lab capacity --write`; a test fails
where it differs from what the command prints. **Don't edit it**: change `docs/capacity/assumptions.toml`,
measure again with `millweir lab scale PART --size N --seed S --out docs/capacity/measurements/PART.jsonl`,
or change the rows in `millweir/lab/capacity/`.

Figures are worked out from slopes that were measured on one machine, the operators' figures and our
assumptions; nothing here was run as a whole fleet. How far past the largest measured size a slope is used
stands with it. "Not measured" means that no committed measurement is there."""

POOR_RESIDUAL = 0.25
FIT_ROUNDING_ERROR = 1e-9  # relative to a value: rounding error of the fit

BUDGET_NOTE = """\
**OVER** marks a figure beyond its budget. Budgets in *italics* are ours (see the assumptions), the others
are the operators'. "Before placement": every relay is told of every destination, as today. "With
placement": a relay is told of the partitions that it may send to. A slope `part/quantity` is measured in
`docs/capacity/measurements/part.jsonl`; its form and residual follow, and how far past the largest measured
size it is used ("within": not at all)."""

RANKING_NOTE = f"""\
All figures of the target grow together: destinations, events, backlog and changes with the relays. The
smallest fleet stands first; rows that are not over up to {MAX_TARGET_RATIO:g} times the target come last, by
their share of the budget at the target. A row that is over in small fleets alone counts as not over. A row
that is over in a fleet of any size because of the events that each relay holds is ranked by the share of the
target's backlog at which it goes over, the fleet being as large as the target's."""

SLOPES_NOTE = f"""\
Fitted by least squares of relative errors over at least {MIN_SIZES} sizes that span {MIN_SIZE_RATIO:g} times,
in the forms {", ".join(form.value for form in GrowthForm)}. The form is chosen by the Bayesian information
criterion, where faster growth costs more and residuals below {100 * NOISE_RESIDUAL:g}% count as equal. The
residual is the root mean square of the relative errors; from {100 * POOR_RESIDUAL:g}% on no form describes
the growth well. Between measured sizes the measured values are interpolated; past the largest size the form
goes on from the value measured there. A quantity with too few sizes is not fitted: its value at the largest
size measured is used as it stands, which is too low where it grows. The spread is that of the repeats, or
of the members, at the largest size, over the value there. What was measured both on sockets and simulated
is used as measured on sockets, unless only the simulated figures have sizes enough. What falls with size is
fitted as constant, mostly poorly: past the largest size it is not taken to fall further."""


@dataclass(frozen=True, slots=True)
class Model:
    """The inputs, slopes and rows from which the page is rendered."""

    inputs: Inputs
    slopes: Slopes
    rows: tuple[Row, ...] = ROWS
    sources: tuple[Source, ...] = ()

    def evaluate_rows(self) -> list[Result]:
        """Evaluate every row at the target size."""
        return [evaluate_row(row, Fleet(self.inputs), self.slopes) for row in self.rows]


def read_model(assumptions: Path = ASSUMPTIONS_PATH, measurements: Path = MEASUREMENTS_DIR) -> Model:
    """Read the model from its files; raises UnreadableAssumptions and UnreadableMeasurements."""
    records = list(read_measurements(measurements))
    return Model(read_inputs(assumptions), fit_measurements(records), sources=tuple(collect_sources(records)))


def render(model: Model) -> str:
    """Render the whole page as Markdown."""
    results = model.evaluate_rows()
    ranked_rows = rank_rows(model.rows, model.inputs, model.slopes)
    sections = [
        INTRODUCTION,
        _render_first_missing(ranked_rows, results, model.inputs),
        _render_targets(model.inputs.targets),
        _render_assumptions(model.inputs.assumptions),
        _render_over_budget(ranked_rows),
        _render_ranking(ranked_rows, model.inputs),
        _render_roles(results, model),
        _render_missing_mechanisms(results),
        _render_slopes(model.slopes, results),
        _render_not_measured(results),
        _render_sources(model.sources),
    ]
    return "\n\n".join(sections) + "\n"


# Tables.


def _format_table(headings: tuple[str, ...], lines: Iterable[tuple[str, ...]]) -> str:
    rows = [headings, tuple("---" for _ in headings), *lines]
    return "\n".join("| " + " | ".join(cells) + " |" for cells in rows)


def _render_targets(targets: Targets) -> str:
    lines = (
        (input_value.note, format_input(input_value.value, input_value.unit))
        for _, input_value in iterate_inputs(targets)
    )
    return "## Target: the operators' figures\n\n" + _format_table(("what", "figure"), lines)


def _render_assumptions(assumptions: Assumptions) -> str:
    lines = (
        (f"`{name}`", format_input(input_value.value, input_value.unit), input_value.note)
        for name, input_value in iterate_inputs(assumptions)
    )
    return (
        "## Assumptions of ours, where the operators are silent\n\n"
        "To change one, change it in `docs/capacity/assumptions.toml`.\n\n"
        + _format_table(("name", "value", "meaning"), lines)
    )


def _render_roles(results: list[Result], model: Model) -> str:
    tables = ["## Roles\n\n" + BUDGET_NOTE]
    for role in Role:
        role_results = [result for result in results if result.row.role is role]
        role_results.sort(key=lambda result: FAULT_ORDER[result.row.fault])
        lines = [_format_role_line(result, model) for result in role_results]
        tables.append(f"### {role.value}\n\n" + _format_table(ROLE_HEADINGS, lines))
    return "\n\n".join(tables)


FAULT_ORDER = {fault: position for position, fault in enumerate(Fault)}
ROLE_HEADINGS = ("trouble", "what", "kind", "design", "figure", "budget", "rests on", "mechanism")


def _format_role_line(result: Result, model: Model) -> tuple[str, ...]:
    row = result.row
    return (
        row.fault.value,
        row.name,
        row.resource.value,
        row.stage.value,
        _format_result_figure(result),
        _format_budget(result, model.inputs),
        _format_used_slopes(result, model.slopes),
        _format_mechanism(row.mechanism),
    )


def _format_result_figure(result: Result) -> str:
    if result.figure is None:
        return "not measured"
    text = format_figure(result.figure, result.row.unit)
    if result.missing_keys:
        text += " and what is not measured"
    if result.unextrapolated_keys:
        text += " (at the largest size measured)"
    if result.is_over_budget:
        text = f"{text} **OVER** {format_number(result.budget_fraction)} times"
    return text


def _format_budget(result: Result, inputs: Inputs) -> str:
    budget = result.row.budget
    if budget is None:
        return ""
    text = format_figure(result.budget, budget.get_input(inputs).unit)
    return text if budget.is_set_by_operators else f"*{text}*"


def _format_used_slopes(result: Result, slopes: Slopes) -> str:
    """List each slope used with its form, residual and how far it is extrapolated."""
    slope_texts = []
    for key, size in result.used_sizes.items():
        form, _, residual = _format_fit(slopes[key].slope)
        _, extrapolation = _format_extrapolation(slopes[key].slope.largest_size, size)
        slope_texts.append(f"`{key}`: " + ", ".join(filter(None, (form, residual, extrapolation))))
    slope_texts += [f"`{key}` (not measured)" for key in result.missing_keys]
    return "<br>".join(slope_texts) or "targets and assumptions"


def _format_mechanism(mechanism: Mechanism) -> str:
    if mechanism.missing_issue is not None:
        return f"{mechanism.name}: **missing**, issue {mechanism.missing_issue}"
    files = ", ".join(f"`{name}`" for name in mechanism.files)
    return f"{mechanism.name} ({files})" if files else mechanism.name


# Rows over budget, ranking, and missing mechanisms.


def _render_over_budget(ranked_rows: list[RankedRow]) -> str:
    over_budget = [ranked_row for ranked_row in ranked_rows if ranked_row.result.is_over_budget]
    over_budget.sort(key=lambda ranked_row: -ranked_row.result.budget_fraction)
    title = "## Over budget at the target, the furthest first\n\n"
    if not over_budget:
        return title + "No row that was measured."
    lines = (
        (
            f"{format_number(ranked_row.result.budget_fraction)} times",
            _describe_row(ranked_row.row),
            format_figure(ranked_row.result.figure, ranked_row.row.unit),
            _format_remedy(ranked_row.row),
        )
        for ranked_row in over_budget
    )
    return title + _format_table(("over by", "row", "figure", "what takes it below"), lines)


def _describe_row(row: Row) -> str:
    design = "" if row.stage is Stage.ANY else f", {row.stage.value}"
    return f"{row.role.value}, {row.fault.value}: {row.name} ({row.resource.value}{design})"


def _format_remedy(row: Row) -> str:
    if row.stage is Stage.REJECTED_ALTERNATIVE:
        return "not taken"
    return _format_mechanism(row.remedy) if row.remedy else "none is planned"


def _render_ranking(ranked_rows: list[RankedRow], inputs: Inputs) -> str:
    title = f"## Ranking: from which size each row is over its budget\n\n{RANKING_NOTE}\n\n"
    lines = (
        _format_ranking_line(position, ranked_row, inputs)
        for position, ranked_row in enumerate(ranked_rows, 1)
    )
    return title + _format_table(RANKING_HEADINGS, lines)


RANKING_HEADINGS = (
    "",
    "over from relays",
    "destinations, or events held",
    "share of budget at the target",
    "budget",
    "row",
)


def _format_ranking_line(position: int, ranked_row: RankedRow, inputs: Inputs) -> tuple[str, ...]:
    return (
        str(position),
        *_format_crossing(ranked_row, inputs),
        f"{format_number(100 * ranked_row.result.budget_fraction)}%",
        _format_budget(ranked_row.result, inputs),
        _describe_row(ranked_row.row),
    )


def _format_crossing(ranked_row: RankedRow, inputs: Inputs) -> tuple[str, str]:
    """Format the relays and destinations, or the events held per relay, from which a row is over budget."""
    crossing = ranked_row.crossing
    if crossing is None:
        return ("not known: too few sizes" if ranked_row.result.unextrapolated_keys else "not over"), ""
    if crossing.growth is Growth.BACKLOG:
        events_held = Fleet(inputs, backlog_fraction=crossing.target_fraction).events_held_per_relay
        return "any", f"{format_figure(events_held, 'events')} held by each relay"
    if crossing.target_fraction == compute_min_target_fraction(inputs):
        return "any", "any"
    fleet = Fleet(inputs, crossing.target_fraction)
    return format_number(fleet.relays), format_number(fleet.destinations)


def _render_first_missing(ranked_rows: list[RankedRow], results: list[Result], inputs: Inputs) -> str:
    """Render the mechanisms needed first; the wording does not depend on the figures."""
    budgeted = [result for result in results if result.row.budget]
    over = sum(result.is_over_budget for result in budgeted)
    unknown = sum(result.figure is None for result in budgeted)
    text = (
        "## What is missing first\n\n"
        f"Rows with a budget: {len(budgeted)}. Over it at the target: {over}. Not measured: {unknown}, so\n"
        "the order may change with them. The mechanism whose first row goes over its budget at the smallest\n"
        "share of the target is missing first.\n\n"
    )
    needed_remedies = collect_needed_remedies(ranked_rows)
    if not needed_remedies:
        return text + "No measured row that waits for a mechanism is over its budget."
    lines = (
        (
            str(position),
            _format_mechanism(need.remedy),
            _format_crossing(need.first, inputs)[0],
            _format_crossing(need.first, inputs)[1],
            str(need.row_count),
            _describe_row(need.first.row),
        )
        for position, need in enumerate(needed_remedies, 1)
    )
    headings = (
        "",
        "mechanism",
        "first over from relays",
        "destinations, or events held",
        "rows over",
        "its first row",
    )
    return text + _format_table(headings, lines)


def _render_missing_mechanisms(results: list[Result]) -> str:
    roles: dict[Mechanism, dict[str, None]] = {}
    for result in results:
        for mechanism in (result.row.mechanism, result.row.remedy):
            if mechanism and mechanism.missing_issue is not None:
                roles.setdefault(mechanism, {})[result.row.role.value] = None
    lines = (
        (mechanism.name, str(mechanism.missing_issue), "; ".join(names)) for mechanism, names in roles.items()
    )
    return "## Mechanisms that are missing\n\n" + _format_table(("mechanism", "issue", "roles"), lines)


# Slopes.


def _render_slopes(slopes: Slopes, results: list[Result]) -> str:
    used_sizes: dict[SlopeKey, float] = {}
    for result in results:
        for key, size in result.used_sizes.items():
            used_sizes[key] = max(size, used_sizes.get(key, 0.0))
    title = f"## Slopes\n\n{SLOPES_NOTE}\n\n"
    lines = (
        _format_slope_line(measured, used_sizes.get(key))
        for key, measured in sorted(slopes.items(), key=_get_slope_name)
    )
    return title + _format_table(SLOPE_HEADINGS, lines)


SLOPE_HEADINGS = (
    "slope",
    "unit",
    "sizes",
    "form",
    "value by size n",
    "residual",
    "spread",
    "used at",
    "past the largest",
)


def _get_slope_name(item: tuple[SlopeKey, MeasuredQuantity]) -> str:
    return str(item[0])


def _format_slope_line(measured: MeasuredQuantity, used_size: float | None) -> tuple[str, ...]:
    slope = measured.slope
    sizes = f"{len(slope.sizes)}: {slope.sizes[0]:,.0f} to {slope.largest_size:,.0f}"
    spread = f"{format_number(100 * measured.spread, 2)}%"
    return (
        f"`{measured.key}`",
        measured.unit,
        sizes,
        *_format_fit(slope),
        spread,
        *_format_extrapolation(slope.largest_size, used_size),
    )


def _format_fit(slope: Slope | UnfittedSlope) -> tuple[str, str, str]:
    """Return form, formula and residual as text."""
    if isinstance(slope, UnfittedSlope):
        value = f"{_format_coefficient(slope.value)}, as measured at {slope.largest_size:,.0f}"
        return f"too few sizes, not fitted: {slope.reason}", value, ""
    residual = f"{format_number(100 * slope.residual)}%" if slope.residual > FIT_ROUNDING_ERROR else "0%"
    if slope.residual >= POOR_RESIDUAL:
        residual += " (poor)"
    return slope.form.value, _format_formula(slope), residual


def _format_extrapolation(largest_size: float, used_size: float | None) -> tuple[str, str]:
    """Return the size at which a slope is used, and how far beyond its largest size that is."""
    if used_size is None:
        return "not used", ""
    past_ratio = used_size / largest_size
    return format_number(used_size), f"{format_number(past_ratio)} times past" if past_ratio > 1 else "within"


def _format_formula(slope: Slope) -> str:
    if slope.form is GrowthForm.CONSTANT:
        return _format_coefficient(slope.intercept)
    growth_term = f"{_format_coefficient(slope.coefficient)} {slope.form.value}"
    if abs(slope.intercept) <= FIT_ROUNDING_ERROR * slope.evaluate_form(slope.largest_size):
        return growth_term
    sign = "+" if slope.intercept >= 0 else "-"
    return f"{growth_term} {sign} {_format_coefficient(abs(slope.intercept))}"


def _format_coefficient(value: float) -> str:
    return f"{value or 0.0:.3g}"


def _render_not_measured(results: list[Result]) -> str:
    rows: dict[SlopeKey, list[str]] = {}
    for result in results:
        for key in result.missing_keys:
            rows.setdefault(key, []).append(_describe_row(result.row))
    title = "## Not measured\n\n"
    if not rows:
        return title + "Nothing: every row has its measurements."
    text = "Rows that lack measurements; no figure stands in for these.\n\n"
    lines = ((f"`{key}`", "<br>".join(dict.fromkeys(names))) for key, names in rows.items())
    return title + text + _format_table(("slope", "rows"), lines)


def _render_sources(sources: tuple[Source, ...]) -> str:
    lines = (
        (
            f"`docs/capacity/measurements/{source.part}.jsonl`",
            str(source.records),
            ", ".join(str(seed) for seed in source.seeds),
            ", ".join(source.commits),
            "; ".join(source.machines),
        )
        for source in sources
    )
    text = (
        "Each record holds its command, which repeats it. A commit with + was measured on a changed tree.\n\n"
    )
    headings = ("file", "records", "seeds", "commits", "machine")
    return "## Measurements\n\n" + text + _format_table(headings, lines)
