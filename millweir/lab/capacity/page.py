"""The page docs/CAPACITY.md, as text: every figure on it is worked out here."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

from millweir.lab.capacity.assumptions import PATH as ASSUMPTIONS
from millweir.lab.capacity.assumptions import Assumptions, Inputs, Targets, read_inputs, stated_by_name
from millweir.lab.capacity.fits import NOISE_FLOOR, SIZES_LEAST, SPAN_LEAST, Form, LargestMeasured, Slope
from millweir.lab.capacity.model import (
    Fleet,
    Measured,
    Mechanism,
    Result,
    Role,
    Row,
    SlopeKey,
    Slopes,
    Source,
    Stage,
    Trouble,
    fit_measurements,
    sources_of,
    work_out,
)
from millweir.lab.capacity.ranking import LARGEST_TIMES, Growth, Ranked, needs, rank, smallest_share
from millweir.lab.capacity.rows import ROWS
from millweir.lab.capacity.units import rounded, stated_with_unit, with_unit
from millweir.lab.scale.measurement import ROOT, read_measurements

PAGE = ROOT / "docs" / "CAPACITY.md"
MEASUREMENTS = ROOT / "docs" / "capacity" / "measurements"

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
NOTHING = 1e-9  # of a value: what rounding in the fit leaves

BUDGET_NOTE = """\
**OVER** marks a figure beyond its budget. Budgets in *italics* are ours (see the assumptions), the others
are the operators'. "Before placement": every relay is told of every destination, as today. "With
placement": a relay is told of the partitions that it may send to. A slope `part/quantity` is measured in
`docs/capacity/measurements/part.jsonl`; its form and residual follow, and how far past the largest measured
size it is used ("within": not at all)."""

RANKING_NOTE = f"""\
All figures of the target grow together: destinations, events, backlog and changes with the relays. The
smallest fleet stands first; rows that are not over up to {LARGEST_TIMES:g} times the target come last, by
their share of the budget at the target. A row that is over in small fleets alone counts as not over. A row
that is over in a fleet of any size because of the events that each relay holds is ranked by the share of the
target's backlog at which it goes over, the fleet being as large as the target's."""

SLOPES_NOTE = f"""\
Fitted by least squares of relative errors over at least {SIZES_LEAST} sizes that span {SPAN_LEAST:g} times,
in the forms {", ".join(form.value for form in Form)}. The form is chosen by the Bayesian information
criterion, where faster growth costs more and residuals below {100 * NOISE_FLOOR:g}% count as equal. The
residual is the root mean square of the relative errors; from {100 * POOR_RESIDUAL:g}% on no form describes
the growth well. Between measured sizes the measured values are interpolated; past the largest size the form
goes on from the value measured there. A quantity with too few sizes is not fitted: its value at the largest
size measured is used as it stands, which is too low where it grows. The spread is that of the repeats, or
of the members, at the largest size, over the value there. What was measured both on sockets and simulated
is used as measured on sockets, unless only the simulated figures have sizes enough. What falls with size is
fitted as constant, mostly poorly: past the largest size it is not taken to fall further."""


@dataclass(frozen=True, slots=True)
class Model:
    """All that the page is worked out from."""

    inputs: Inputs
    slopes: Slopes
    rows: tuple[Row, ...] = ROWS
    sources: tuple[Source, ...] = ()

    def results(self) -> list[Result]:
        """Every row at the target."""
        return [work_out(row, Fleet(self.inputs), self.slopes) for row in self.rows]


def read_model(assumptions: Path = ASSUMPTIONS, measurements: Path = MEASUREMENTS) -> Model:
    """The model of the files; UnreadableAssumptions, UnreadableMeasurements."""
    found = list(read_measurements(measurements))
    return Model(read_inputs(assumptions), fit_measurements(found), sources=tuple(sources_of(found)))


def render(model: Model) -> str:
    """The whole page."""
    results = model.results()
    ranked = rank(model.rows, model.inputs, model.slopes)
    sections = [
        INTRODUCTION,
        _first_missing(ranked, results, model.inputs),
        _targets(model.inputs.targets),
        _assumptions(model.inputs.assumptions),
        _over_budget(ranked),
        _ranking(ranked, model.inputs),
        _roles(results, model),
        _missing_mechanisms(results),
        _slopes(model.slopes, results),
        _not_measured(results),
        _sources(model.sources),
    ]
    return "\n\n".join(sections) + "\n"


# Tables.


def _table(headings: tuple[str, ...], lines: Iterable[tuple[str, ...]]) -> str:
    rows = [headings, tuple("---" for _ in headings), *lines]
    return "\n".join("| " + " | ".join(cells) + " |" for cells in rows)


def _targets(targets: Targets) -> str:
    lines = (
        (stated.note, stated_with_unit(stated.value, stated.unit)) for _, stated in stated_by_name(targets)
    )
    return "## Target: the operators' figures\n\n" + _table(("what", "figure"), lines)


def _assumptions(assumptions: Assumptions) -> str:
    lines = (
        (f"`{name}`", stated_with_unit(stated.value, stated.unit), stated.note)
        for name, stated in stated_by_name(assumptions)
    )
    return (
        "## Assumptions of ours, where the operators are silent\n\n"
        "To change one, change it in `docs/capacity/assumptions.toml`.\n\n"
        + _table(("name", "value", "meaning"), lines)
    )


def _roles(results: list[Result], model: Model) -> str:
    parts = ["## Roles\n\n" + BUDGET_NOTE]
    for role in Role:
        mine = [result for result in results if result.row.role is role]
        mine.sort(key=lambda result: TROUBLE_ORDER[result.row.trouble])
        lines = [_role_line(result, model) for result in mine]
        parts.append(f"### {role.value}\n\n" + _table(ROLE_HEADINGS, lines))
    return "\n\n".join(parts)


TROUBLE_ORDER = {trouble: place for place, trouble in enumerate(Trouble)}
ROLE_HEADINGS = ("trouble", "what", "kind", "design", "figure", "budget", "rests on", "mechanism")


def _role_line(result: Result, model: Model) -> tuple[str, ...]:
    row = result.row
    return (
        row.trouble.value,
        row.name,
        row.resource.value,
        row.stage.value,
        _figure(result),
        _budget(result, model.inputs),
        _rests_on(result, model.slopes),
        _mechanism(row.mechanism),
    )


def _figure(result: Result) -> str:
    if result.figure is None:
        return "not measured"
    text = with_unit(result.figure, result.row.unit)
    if result.lacking:
        text += " and what is not measured"
    if result.not_carried:
        text += " (at the largest size measured)"
    if result.is_over:
        text = f"{text} **OVER** {rounded(result.share_of_budget)} times"
    return text


def _budget(result: Result, inputs: Inputs) -> str:
    budget = result.row.budget
    if budget is None:
        return ""
    text = with_unit(result.budget, budget.stated(inputs).unit)
    return text if budget.is_operators else f"*{text}*"


def _rests_on(result: Result, slopes: Slopes) -> str:
    """Each slope with its form, residual and how far it is carried on."""
    parts = []
    for key, size in result.used.items():
        form, _, residual = _fitted(slopes[key].slope)
        _, past = _reach(slopes[key].slope.largest, size)
        parts.append(f"`{key}`: " + ", ".join(filter(None, (form, residual, past))))
    parts += [f"`{key}` (not measured)" for key in result.lacking]
    return "<br>".join(parts) or "targets and assumptions"


def _mechanism(mechanism: Mechanism) -> str:
    if mechanism.missing_issue is not None:
        return f"{mechanism.name}: **missing**, issue {mechanism.missing_issue}"
    files = ", ".join(f"`{name}`" for name in mechanism.files)
    return f"{mechanism.name} ({files})" if files else mechanism.name


# Over budget, and what is missing first.


def _over_budget(ranked: list[Ranked]) -> str:
    over = [one for one in ranked if one.result.is_over]
    over.sort(key=lambda one: -one.result.share_of_budget)
    title = "## Over budget at the target, the furthest first\n\n"
    if not over:
        return title + "No row that was measured."
    lines = (
        (
            f"{rounded(one.result.share_of_budget)} times",
            _named(one.row),
            with_unit(one.result.figure, one.row.unit),
            _remedy(one.row),
        )
        for one in over
    )
    return title + _table(("over by", "row", "figure", "what takes it below"), lines)


def _named(row: Row) -> str:
    design = "" if row.stage is Stage.BOTH else f", {row.stage.value}"
    return f"{row.role.value}, {row.trouble.value}: {row.name} ({row.resource.value}{design})"


def _remedy(row: Row) -> str:
    if row.stage is Stage.ALTERNATIVE:
        return "not taken"
    return _mechanism(row.remedy) if row.remedy else "none is planned"


def _ranking(ranked: list[Ranked], inputs: Inputs) -> str:
    title = f"## Ranking: from which size each row is over its budget\n\n{RANKING_NOTE}\n\n"
    lines = (_ranking_line(place, one, inputs) for place, one in enumerate(ranked, 1))
    return title + _table(RANKING_HEADINGS, lines)


RANKING_HEADINGS = (
    "",
    "over from relays",
    "destinations, or events held",
    "share of budget at the target",
    "budget",
    "row",
)


def _ranking_line(place: int, ranked: Ranked, inputs: Inputs) -> tuple[str, ...]:
    return (
        str(place),
        *_size(ranked, inputs),
        f"{rounded(100 * ranked.result.share_of_budget)}%",
        _budget(ranked.result, inputs),
        _named(ranked.row),
    )


def _size(ranked: Ranked, inputs: Inputs) -> tuple[str, str]:
    """Relays from which a row is over, and destinations; or the events held by each relay."""
    crossing = ranked.crossing
    if crossing is None:
        return ("not known: too few sizes" if ranked.result.not_carried else "not over"), ""
    if crossing.growth is Growth.BACKLOG:
        held = Fleet(inputs, backlog_share=crossing.share).held_relay
        return "any", f"{with_unit(held, 'events')} held by each relay"
    if crossing.share == smallest_share(inputs):
        return "any", "any"
    fleet = Fleet(inputs, crossing.share)
    return rounded(fleet.relays), rounded(fleet.destinations)


def _first_missing(ranked: list[Ranked], results: list[Result], inputs: Inputs) -> str:
    """What is over first, by mechanism, in words that hold for any figures."""
    budgeted = [result for result in results if result.row.budget]
    over = sum(result.is_over for result in budgeted)
    unknown = sum(result.figure is None for result in budgeted)
    text = (
        "## What is missing first\n\n"
        f"Rows with a budget: {len(budgeted)}. Over it at the target: {over}. Not measured: {unknown}, so\n"
        "the order may change with them. The mechanism whose first row goes over its budget at the smallest\n"
        "share of the target is missing first.\n\n"
    )
    found = needs(ranked)
    if not found:
        return text + "No measured row that waits for a mechanism is over its budget."
    lines = (
        (
            str(place),
            _mechanism(need.remedy),
            _size(need.first, inputs)[0],
            _size(need.first, inputs)[1],
            str(need.rows),
            _named(need.first.row),
        )
        for place, need in enumerate(found, 1)
    )
    headings = (
        "",
        "mechanism",
        "first over from relays",
        "destinations, or events held",
        "rows over",
        "its first row",
    )
    return text + _table(headings, lines)


def _missing_mechanisms(results: list[Result]) -> str:
    roles: dict[Mechanism, dict[str, None]] = {}
    for result in results:
        for mechanism in (result.row.mechanism, result.row.remedy):
            if mechanism and mechanism.missing_issue is not None:
                roles.setdefault(mechanism, {})[result.row.role.value] = None
    lines = ((one.name, str(one.missing_issue), "; ".join(names)) for one, names in roles.items())
    return "## Mechanisms that are missing\n\n" + _table(("mechanism", "issue", "roles"), lines)


# Slopes.


def _slopes(slopes: Slopes, results: list[Result]) -> str:
    used: dict[SlopeKey, float] = {}
    for result in results:
        for key, size in result.used.items():
            used[key] = max(size, used.get(key, 0.0))
    title = f"## Slopes\n\n{SLOPES_NOTE}\n\n"
    lines = (_slope_line(measured, used.get(key)) for key, measured in sorted(slopes.items(), key=_by_name))
    return title + _table(SLOPE_HEADINGS, lines)


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


def _by_name(item: tuple[SlopeKey, Measured]) -> str:
    return str(item[0])


def _slope_line(measured: Measured, used_at: float | None) -> tuple[str, ...]:
    slope = measured.slope
    sizes = f"{len(slope.sizes)}: {slope.sizes[0]:,.0f} to {slope.largest:,.0f}"
    spread = f"{rounded(100 * measured.spread, 2)}%"
    return (
        f"`{measured.key}`",
        measured.unit,
        sizes,
        *_fitted(slope),
        spread,
        *_reach(slope.largest, used_at),
    )


def _fitted(slope: Slope | LargestMeasured) -> tuple[str, str, str]:
    """Form, formula and residual."""
    if isinstance(slope, LargestMeasured):
        value = f"{_number(slope.value)}, as measured at {slope.largest:,.0f}"
        return f"too few sizes, not fitted: {slope.reason}", value, ""
    residual = f"{rounded(100 * slope.residual)}%" if slope.residual > NOTHING else "0%"
    if slope.residual >= POOR_RESIDUAL:
        residual += " (poor)"
    return slope.form.value, _formula(slope), residual


def _reach(largest: float, used_at: float | None) -> tuple[str, str]:
    """Where a slope is used, and how far past its largest size."""
    if used_at is None:
        return "not used", ""
    past = used_at / largest
    return rounded(used_at), f"{rounded(past)} times past" if past > 1 else "within"


def _formula(slope: Slope) -> str:
    if slope.form is Form.CONSTANT:
        return _number(slope.intercept)
    grown = f"{_number(slope.coefficient)} {slope.form.value}"
    if abs(slope.intercept) <= NOTHING * slope.by_form(slope.largest):
        return grown
    sign = "+" if slope.intercept >= 0 else "-"
    return f"{grown} {sign} {_number(abs(slope.intercept))}"


def _number(value: float) -> str:
    return f"{value or 0.0:.3g}"


def _not_measured(results: list[Result]) -> str:
    rows: dict[SlopeKey, list[str]] = {}
    for result in results:
        for key in result.lacking:
            rows.setdefault(key, []).append(_named(result.row))
    title = "## Not measured\n\n"
    if not rows:
        return title + "Nothing: every row has its measurements."
    text = "Rows that lack measurements; no figure stands in for these.\n\n"
    lines = ((f"`{key}`", "<br>".join(dict.fromkeys(names))) for key, names in rows.items())
    return title + text + _table(("slope", "rows"), lines)


def _sources(sources: tuple[Source, ...]) -> str:
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
    return "## Measurements\n\n" + text + _table(headings, lines)
