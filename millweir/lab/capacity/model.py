"""Defines the rows of the capacity model and evaluates them for a fleet of a given size.

The size of a fleet is a fraction of the operators' target: relays, destinations, events, backlog, changes and
restarts all grow in proportion.  A row belongs to a role and a fault.  A `Calculation` computes its figure
from slopes, targets and assumptions, and records which slopes were used and at which size.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from enum import Enum

from millweir.lab.capacity.assumptions import Assumptions, Inputs, InputValue, Targets
from millweir.lab.capacity.fits import Point, Slope, UnfittedSlope, fit_slope_if_possible
from millweir.lab.scale.measurement import Measurement

SECONDS_PER_DAY = 86_400.0
SECONDS_PER_MINUTE = 60.0


class Role(Enum):
    """The component that bears the load of a row."""

    DATA = "Relay: data path"
    CONTROL = "Relay: control"
    VOTER = "Voter of the register"
    DISTRIBUTOR = "Holder and distributor of configuration"
    TAKEOVER = "Taker after a loss"
    MACHINES = "The machines set aside for control"


class Fault(Enum):
    """The fault or disturbance under which a row is computed."""

    NONE = "calm"
    MACHINE_LOST = "a machine lost"
    RESTARTS = "restarts, spread over the day"
    RESTART_WAVE = "restarts as a wave"
    RACK_LOST = "a rack lost"
    ZONE_LOST = "a zone lost, or back"
    REGION_CUT = "a region cut off, or back"


class Resource(Enum):
    """The kind of resource that a figure measures."""

    STATE = "state"
    MESSAGES = "messages"
    BYTES = "bytes"
    PROCESSOR = "processor"
    MEMORY = "memory"
    DISK = "disk"
    TIME = "time"
    MACHINES = "machines"


class Stage(Enum):
    """The stage of the fleet's design that a row describes."""

    ANY = "any"
    BEFORE_PLACEMENT = "before placement"  # every relay receives every destination
    WITH_PLACEMENT = "with placement"
    REJECTED_ALTERNATIVE = "weighed, not taken"


@dataclass(frozen=True, slots=True)
class Budget:
    """An upper limit of a figure, by its name in the targets (set by the operators) or in our assumptions."""

    name: str
    is_set_by_operators: bool

    def get_input(self, inputs: Inputs) -> InputValue:
        """Look up the limit in the inputs."""
        group = inputs.targets if self.is_set_by_operators else inputs.assumptions
        return getattr(group, self.name)


@dataclass(frozen=True, slots=True)
class Mechanism:
    """What implements a row: files of this repository, or the issue that tracks a missing mechanism."""

    name: str
    files: tuple[str, ...] = ()
    missing_issue: int | None = None


@dataclass(frozen=True, slots=True)
class SlopeKey:
    """Identifies the measurements of a slope."""

    part: str  # of the scale tests
    quantity: str
    fault: str = "calm"
    is_simulated: bool = False  # measured in simulated time, not on sockets

    def __str__(self) -> str:
        fault = "" if self.fault == "calm" else f" ({self.fault})"
        simulated = " simulated" if self.is_simulated else ""
        return f"{self.part}/{self.quantity}{fault}{simulated}"


class NotMeasured(LookupError):
    """A slope has no measurements."""

    def __init__(self, key: SlopeKey) -> None:
        super().__init__(str(key))
        self.key = key


@dataclass(frozen=True, slots=True)
class MeasuredQuantity:
    """A quantity with the slope fitted to its measurements."""

    key: SlopeKey
    unit: str
    slope: Slope | UnfittedSlope
    spread: float  # at the largest size: (maximum - minimum) / value


Slopes = dict[SlopeKey, MeasuredQuantity]


@dataclass(frozen=True, slots=True)
class Source:
    """Origin of the measurements of one part of the scale tests."""

    part: str
    records: int
    seeds: tuple[int, ...]
    commits: tuple[str, ...]
    machines: tuple[str, ...]


def collect_sources(measurements: Iterable[Measurement]) -> list[Source]:
    """Return the sources of all parts, sorted by name."""
    groups: dict[str, list[Measurement]] = {}
    for measurement in measurements:
        groups.setdefault(measurement.figure.part, []).append(measurement)
    return [
        Source(
            part=part,
            records=len(group),
            seeds=tuple(sorted({measurement.seed for measurement in group})),
            commits=tuple(sorted({measurement.commit for measurement in group})),
            machines=tuple(sorted({measurement.machine for measurement in group})),
        )
        for part, group in sorted(groups.items())
    ]


def fit_measurements(measurements: Iterable[Measurement]) -> Slopes:
    """Fit a slope for each quantity and fault."""
    groups: dict[SlopeKey, list[Measurement]] = {}
    for measurement in measurements:
        figure = measurement.figure
        key = SlopeKey(figure.part, figure.quantity, figure.trouble, figure.simulated)
        groups.setdefault(key, []).append(measurement)
    return {key: _fit_group(key, group) for key, group in groups.items()}


def choose_slope(key: SlopeKey, slopes: Slopes) -> MeasuredQuantity | None:
    """Prefer a fitted slope over an unfitted one, then one measured on sockets over a simulated one."""
    candidates = [slopes.get(replace(key, is_simulated=simulated)) for simulated in (False, True)]
    available = [measured for measured in candidates if measured]
    fitted = [measured for measured in available if isinstance(measured.slope, Slope)]
    return next(iter(fitted or available), None)


def _fit_group(key: SlopeKey, group: list[Measurement]) -> MeasuredQuantity:
    points = [Point(measurement.figure.size, measurement.figure.value) for measurement in group]
    return MeasuredQuantity(
        key=key,
        unit=group[0].figure.unit,
        slope=fit_slope_if_possible(points),
        spread=_compute_spread(group),
    )


def _compute_spread(group: list[Measurement]) -> float:
    """Compute the relative spread of the repeats, or of the members, at the largest size."""
    largest_size = max(measurement.figure.size for measurement in group)
    figures = [measurement.figure for measurement in group if measurement.figure.size == largest_size]
    low, high = min(figure.low for figure in figures), max(figure.high for figure in figures)
    value = abs(figures[-1].value)
    return (high - low) / value if value else 0.0


@dataclass(frozen=True, slots=True)
class Fleet:
    """A fleet whose size is a fraction of the target's."""

    inputs: Inputs
    target_fraction: float = 1.0
    backlog_fraction: float = 1.0  # of the target's events held by each relay

    @property
    def targets(self) -> Targets:
        return self.inputs.targets

    @property
    def assumptions(self) -> Assumptions:
        return self.inputs.assumptions

    @property
    def relays(self) -> float:
        return self.targets.relays.value * self.target_fraction

    @property
    def destinations(self) -> float:
        return self.targets.destinations.value * self.target_fraction

    @property
    def events_per_second(self) -> float:
        return self.targets.events_second.value * self.target_fraction

    @property
    def backlog(self) -> float:
        return self.targets.backlog.value * self.target_fraction * self.backlog_fraction

    @property
    def changes_per_day(self) -> float:
        return self.targets.changes_day.value * self.target_fraction

    @property
    def changes_in_busiest_second(self) -> float:
        return self.assumptions.changes_busiest_second.value * self.target_fraction

    @property
    def changes_in_busiest_minute(self) -> float:
        return self.assumptions.changes_busiest_minute.value * self.target_fraction

    @property
    def restarts_per_day(self) -> float:
        return self.targets.restarts_day.value * self.target_fraction

    @property
    def machines_lost_per_day(self) -> float:
        return self.targets.machines_lost_day.value * self.target_fraction

    @property
    def replicas(self) -> float:
        return min(self.assumptions.replicas.value, self.relays)

    @property
    def max_destinations_per_relay(self) -> float:
        """Destinations of the relay that holds the most, with placement."""
        mean = self.destinations * self.replicas / self.relays
        return min(self.destinations, mean * self.assumptions.imbalance.value)

    @property
    def relay_events_per_second(self) -> float:
        """Events taken in per second by one relay."""
        return self.events_per_second / self.relays

    @property
    def events_held_per_relay(self) -> float:
        return self.backlog / self.relays

    @property
    def relays_per_rack(self) -> float:
        return min(self.assumptions.relays_rack.value, self.relays)

    @property
    def relays_per_zone(self) -> float:
        return self.relays / self.targets.zones.value

    @property
    def relays_per_region(self) -> float:
        return self.relays / self.targets.regions.value

    @property
    def distributors(self) -> float:
        """Control machines that are not voters."""
        return max(1.0, self.targets.control_machines.value - self.assumptions.voters.value)


@dataclass(slots=True)
class Calculation:
    """Computes figures for one fleet; records the slopes that were used and the keys without measurements."""

    fleet: Fleet
    slopes: Slopes
    used_sizes: dict[SlopeKey, float] = field(default_factory=dict)  # largest size used
    missing_keys: list[SlopeKey] = field(default_factory=list)

    def evaluate_slope(self, key: SlopeKey, size: float) -> float:
        """Return the value of a slope at a size; raises NotMeasured."""
        measured = choose_slope(key, self.slopes)
        if measured is None:
            self.missing_keys.append(key)
            raise NotMeasured(key)
        self.used_sizes[measured.key] = max(size, self.used_sizes.get(measured.key, 0.0))
        return measured.slope.value_at(size)

    def sum_rows(self, rows: Iterable[Row]) -> float:
        """Sum the rows that are measured; raises NotMeasured if none is."""
        figures = []
        for row in rows:
            try:
                figures.append(row.compute_figure(self))
            except NotMeasured as error:
                last_error = error
        if not figures:
            raise last_error
        return sum(figures)


FigureFunction = Callable[[Calculation], float]


def evaluate_at_relay_count(key: SlopeKey) -> FigureFunction:
    """Return a function that evaluates a slope at the fleet's number of relays."""
    return lambda calculation: calculation.evaluate_slope(key, calculation.fleet.relays)


@dataclass(frozen=True, slots=True)
class Row:
    """One figure of the model: what a role spends or holds under a fault."""

    role: Role
    name: str
    resource: Resource
    unit: str
    compute_figure: FigureFunction
    mechanism: Mechanism
    fault: Fault = Fault.NONE
    stage: Stage = Stage.ANY
    budget: Budget | None = None
    remedy: Mechanism | None = None  # what brings the figure below its budget
    in_total: bool = False  # part of the total that a relay spends on control


@dataclass(frozen=True, slots=True)
class Result:
    """The figure of a row for one fleet."""

    row: Row
    figure: float | None  # None: not measured
    budget: float | None
    used_sizes: dict[SlopeKey, float]
    missing_keys: tuple[SlopeKey, ...]
    unextrapolated_keys: tuple[SlopeKey, ...]  # unfitted, but used beyond their largest size

    @property
    def budget_fraction(self) -> float | None:
        """The fraction of the budget that the figure uses; None without a figure or a budget."""
        if self.figure is None or self.budget is None:
            return None
        return self.figure / self.budget

    @property
    def is_over_budget(self) -> bool:
        return (self.budget_fraction or 0.0) > 1.0


def evaluate_row(row: Row, fleet: Fleet, slopes: Slopes) -> Result:
    """Compute the figure and budget of a row for a fleet."""
    calculation = Calculation(fleet, slopes)
    try:
        figure = row.compute_figure(calculation)
    except NotMeasured:
        figure = None
    budget = row.budget.get_input(fleet.inputs).value if row.budget else None
    unextrapolated_keys = (
        key for key, size in calculation.used_sizes.items() if _is_unextrapolated(slopes[key], size)
    )
    return Result(
        row,
        figure,
        budget,
        calculation.used_sizes,
        tuple(calculation.missing_keys),
        tuple(unextrapolated_keys),
    )


def _is_unextrapolated(measured: MeasuredQuantity, size: float) -> bool:
    return isinstance(measured.slope, UnfittedSlope) and size > measured.slope.largest_size
