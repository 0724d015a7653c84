"""What a row of the capacity model is, and how its figure is worked out for a fleet of some size.

A fleet is given by its share of the operators' target: relays, destinations, events, backlog, changes and
restarts all grow together.  A row belongs to a role and a trouble; its figure is worked out from slopes,
targets and assumptions by a `Calculation`, which keeps note of the slopes that were used and at which size.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from enum import Enum

from millweir.lab.capacity.assumptions import Assumptions, Inputs, Stated, Targets
from millweir.lab.capacity.fits import LargestMeasured, Point, Slope, slope_or_largest
from millweir.lab.scale.measurement import Measurement

DAY = 86_400.0
MINUTE = 60.0


class Role(Enum):
    """Who bears a row's load."""

    DATA = "Relay: data path"
    CONTROL = "Relay: control"
    VOTER = "Voter of the register"
    DISTRIBUTOR = "Holder and distributor of configuration"
    TAKER = "Taker after a loss"
    MACHINES = "The machines set aside for control"


class Trouble(Enum):
    """What goes on meanwhile."""

    CALM = "calm"
    MACHINE = "a machine lost"
    RESTARTS = "restarts, spread over the day"
    WAVE = "restarts as a wave"
    RACK = "a rack lost"
    ZONE = "a zone lost, or back"
    REGION = "a region cut off, or back"


class Resource(Enum):
    """What a figure is an amount of."""

    STATE = "state"
    MESSAGES = "messages"
    BYTES = "bytes"
    PROCESSOR = "processor"
    MEMORY = "memory"
    DISK = "disk"
    TIME = "time"
    MACHINES = "machines"


class Stage(Enum):
    """Which design a row stands for."""

    BOTH = "any"
    BEFORE = "before placement"  # every relay is told of every destination
    AFTER = "with placement"
    ALTERNATIVE = "weighed, not taken"


@dataclass(frozen=True, slots=True)
class Budget:
    """A limit on a figure: a name among the targets (the operators') or the assumptions (ours)."""

    name: str
    is_operators: bool

    def stated(self, inputs: Inputs) -> Stated:
        group = inputs.targets if self.is_operators else inputs.assumptions
        return getattr(group, self.name)


@dataclass(frozen=True, slots=True)
class Mechanism:
    """What carries a row: files of this repository, or the issue under which it is missing."""

    name: str
    files: tuple[str, ...] = ()
    missing_issue: int | None = None


@dataclass(frozen=True, slots=True)
class SlopeKey:
    """Where a slope's measurements are."""

    part: str
    quantity: str
    trouble: str = "calm"
    is_simulated: bool = False  # in simulated time, not on sockets

    def __str__(self) -> str:
        trouble = "" if self.trouble == "calm" else f" ({self.trouble})"
        simulated = " simulated" if self.is_simulated else ""
        return f"{self.part}/{self.quantity}{trouble}{simulated}"


class NotMeasured(LookupError):
    """No measurements for a slope."""

    def __init__(self, key: SlopeKey) -> None:
        super().__init__(str(key))
        self.key = key


@dataclass(frozen=True, slots=True)
class Measured:
    """All that was measured of one quantity, and its slope."""

    key: SlopeKey
    unit: str
    slope: Slope | LargestMeasured
    spread: float  # at the largest size: greatest less least, over the value


Slopes = dict[SlopeKey, Measured]


@dataclass(frozen=True, slots=True)
class Source:
    """Where the measurements of a part come from."""

    part: str
    records: int
    seeds: tuple[int, ...]
    commits: tuple[str, ...]
    machines: tuple[str, ...]


def sources_of(measurements: Iterable[Measurement]) -> list[Source]:
    """The sources of all parts, by name."""
    groups: dict[str, list[Measurement]] = {}
    for measurement in measurements:
        groups.setdefault(measurement.figure.part, []).append(measurement)
    return [
        Source(
            part=part,
            records=len(group),
            seeds=tuple(sorted({one.seed for one in group})),
            commits=tuple(sorted({one.commit for one in group})),
            machines=tuple(sorted({one.machine for one in group})),
        )
        for part, group in sorted(groups.items())
    ]


def fit_measurements(measurements: Iterable[Measurement]) -> Slopes:
    """A slope for each quantity and trouble."""
    groups: dict[SlopeKey, list[Measurement]] = {}
    for measurement in measurements:
        figure = measurement.figure
        key = SlopeKey(figure.part, figure.quantity, figure.trouble, figure.simulated)
        groups.setdefault(key, []).append(measurement)
    return {key: _fit_group(key, group) for key, group in groups.items()}


def choose_slope(key: SlopeKey, slopes: Slopes) -> Measured | None:
    """What was measured on sockets, if that is fitted; else what was simulated, if that is; else either."""
    either = [slopes.get(replace(key, is_simulated=simulated)) for simulated in (False, True)]
    there = [measured for measured in either if measured]
    fitted = [measured for measured in there if isinstance(measured.slope, Slope)]
    return next(iter(fitted or there), None)


def _fit_group(key: SlopeKey, group: list[Measurement]) -> Measured:
    points = [Point(measurement.figure.size, measurement.figure.value) for measurement in group]
    return Measured(
        key=key,
        unit=group[0].figure.unit,
        slope=slope_or_largest(points),
        spread=_spread(group),
    )


def _spread(group: list[Measurement]) -> float:
    """Between the repeats, or the members, at the largest size."""
    largest = max(measurement.figure.size for measurement in group)
    figures = [measurement.figure for measurement in group if measurement.figure.size == largest]
    low, high = min(figure.low for figure in figures), max(figure.high for figure in figures)
    value = abs(figures[-1].value)
    return (high - low) / value if value else 0.0


@dataclass(frozen=True, slots=True)
class Fleet:
    """A fleet of a share of the target's size."""

    inputs: Inputs
    share: float = 1.0
    backlog_share: float = 1.0  # of the events held by each relay

    @property
    def targets(self) -> Targets:
        return self.inputs.targets

    @property
    def assumptions(self) -> Assumptions:
        return self.inputs.assumptions

    @property
    def relays(self) -> float:
        return self.targets.relays.value * self.share

    @property
    def destinations(self) -> float:
        return self.targets.destinations.value * self.share

    @property
    def events_second(self) -> float:
        return self.targets.events_second.value * self.share

    @property
    def backlog(self) -> float:
        return self.targets.backlog.value * self.share * self.backlog_share

    @property
    def changes_day(self) -> float:
        return self.targets.changes_day.value * self.share

    @property
    def changes_busiest_second(self) -> float:
        return self.assumptions.changes_busiest_second.value * self.share

    @property
    def changes_busiest_minute(self) -> float:
        return self.assumptions.changes_busiest_minute.value * self.share

    @property
    def restarts_day(self) -> float:
        return self.targets.restarts_day.value * self.share

    @property
    def machines_lost_day(self) -> float:
        return self.targets.machines_lost_day.value * self.share

    @property
    def replicas(self) -> float:
        return min(self.assumptions.replicas.value, self.relays)

    @property
    def own_destinations(self) -> float:
        """Destinations of the fullest relay, with placement."""
        mean = self.destinations * self.replicas / self.relays
        return min(self.destinations, mean * self.assumptions.imbalance.value)

    @property
    def events_relay(self) -> float:
        """Events a second at a relay."""
        return self.events_second / self.relays

    @property
    def held_relay(self) -> float:
        """Events held by a relay."""
        return self.backlog / self.relays

    @property
    def rack(self) -> float:
        return min(self.assumptions.relays_rack.value, self.relays)

    @property
    def zone(self) -> float:
        return self.relays / self.targets.zones.value

    @property
    def region(self) -> float:
        return self.relays / self.targets.regions.value

    @property
    def distributors(self) -> float:
        """Control machines that are no voters."""
        return max(1.0, self.targets.control_machines.value - self.assumptions.voters.value)


@dataclass(slots=True)
class Calculation:
    """Works out figures for one fleet; keeps note of the slopes that were used, and of those that lack."""

    fleet: Fleet
    slopes: Slopes
    used: dict[SlopeKey, float] = field(default_factory=dict)  # the greatest size that it was used at
    lacking: list[SlopeKey] = field(default_factory=list)

    def measured(self, key: SlopeKey, size: float) -> float:
        """A slope's value at a size; NotMeasured."""
        found = choose_slope(key, self.slopes)
        if found is None:
            self.lacking.append(key)
            raise NotMeasured(key)
        self.used[found.key] = max(size, self.used.get(found.key, 0.0))
        return found.slope.at(size)

    def total(self, rows: Iterable[Row]) -> float:
        """The sum of rows; those that are not measured are left out, NotMeasured where all are."""
        found = []
        for row in rows:
            try:
                found.append(row.figure(self))
            except NotMeasured as lacking:
                last = lacking
        if not found:
            raise last
        return sum(found)


FigureOf = Callable[[Calculation], float]


def by_relays(key: SlopeKey) -> FigureOf:
    """The figure of a slope whose size is the relays."""
    return lambda calculation: calculation.measured(key, calculation.fleet.relays)


@dataclass(frozen=True, slots=True)
class Row:
    """One line of the model."""

    role: Role
    name: str
    resource: Resource
    unit: str
    figure: FigureOf
    mechanism: Mechanism
    trouble: Trouble = Trouble.CALM
    stage: Stage = Stage.BOTH
    budget: Budget | None = None
    remedy: Mechanism | None = None  # what takes it below its budget
    in_total: bool = False  # counts towards the sum of what a relay spends on control


@dataclass(frozen=True, slots=True)
class Result:
    """A row's figure for one fleet."""

    row: Row
    figure: float | None  # None: not measured
    budget: float | None
    used: dict[SlopeKey, float]
    lacking: tuple[SlopeKey, ...]
    not_carried: tuple[SlopeKey, ...]  # used past their largest size without a slope

    @property
    def share_of_budget(self) -> float | None:
        if self.figure is None or self.budget is None:
            return None
        return self.figure / self.budget

    @property
    def is_over(self) -> bool:
        return (self.share_of_budget or 0.0) > 1.0


def work_out(row: Row, fleet: Fleet, slopes: Slopes) -> Result:
    """A row's figure and budget for a fleet."""
    calculation = Calculation(fleet, slopes)
    try:
        figure = row.figure(calculation)
    except NotMeasured:
        figure = None
    budget = row.budget.stated(fleet.inputs).value if row.budget else None
    not_carried = (key for key, size in calculation.used.items() if _is_not_carried(slopes[key], size))
    return Result(row, figure, budget, calculation.used, tuple(calculation.lacking), tuple(not_carried))


def _is_not_carried(measured: Measured, size: float) -> bool:
    return isinstance(measured.slope, LargestMeasured) and size > measured.slope.largest
