"""Fits slopes: how a measured quantity grows with size (relays, destinations, events, ...).

A slope is fitted by least squares of *relative* errors, so that small sizes count as much as large ones, in
four forms: constant, log n, n and n squared, each except the first with an intercept.  Of the forms whose
coefficient is not negative, the one with the lowest Bayesian information criterion is chosen.  Faster growth
is penalised as if the form had more parameters, and residuals below `NOISE_RESIDUAL` count as equal.

Between measured sizes the measured values are interpolated.  Beyond the largest size the fitted form is
scaled to pass through the value measured there; below the smallest size likewise.

Fewer than `MIN_SIZES` sizes, or sizes whose largest is less than `MIN_SIZE_RATIO` times the smallest, are not
fitted: `UnfittedSlope` takes the place of the slope and returns, beyond the largest size, the value measured
at that size, unscaled.
"""

from __future__ import annotations

import math
import statistics
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum

import numpy

MIN_SIZES = 4
MIN_SIZE_RATIO = 100.0  # two decades
NOISE_RESIDUAL = 0.03  # below this relative residual only the penalty distinguishes the forms


class GrowthForm(Enum):
    """How a quantity grows with size n."""

    CONSTANT = "constant"
    LOGARITHMIC = "log n"
    LINEAR = "n"
    QUADRATIC = "n squared"


@dataclass(frozen=True, slots=True)
class FormDefinition:
    """A form's growth function of the size, and its number of parameters in the information criterion."""

    growth: Callable[[float], float]
    parameter_count: float


FORM_DEFINITIONS = {
    GrowthForm.CONSTANT: FormDefinition(lambda size: 0.0, 1.0),
    GrowthForm.LOGARITHMIC: FormDefinition(math.log, 2.0),
    GrowthForm.LINEAR: FormDefinition(lambda size: size, 2.25),
    GrowthForm.QUADRATIC: FormDefinition(lambda size: size * size, 3.0),
}


@dataclass(frozen=True, slots=True)
class Point:
    """One measured value at one size."""

    size: float
    value: float


class TooFewSizes(ValueError):
    """Too few sizes were measured to fit a slope, or they span too small a range."""


@dataclass(frozen=True, slots=True)
class Slope:
    """A fitted form, intercept + coefficient * growth(size), and the values that it was fitted to."""

    form: GrowthForm
    intercept: float
    coefficient: float
    residual: float  # root mean square of the relative errors
    points: tuple[Point, ...]  # one for each size, in ascending order

    @property
    def sizes(self) -> tuple[float, ...]:
        return tuple(point.size for point in self.points)

    @property
    def largest_size(self) -> float:
        return self.points[-1].size

    def evaluate_form(self, size: float) -> float:
        """Evaluate the fitted form alone, without the measured values; never below 0."""
        return max(
            0.0, self.intercept + self.coefficient * FORM_DEFINITIONS[self.form].growth(max(size, 1.0))
        )

    def value_at(self, size: float) -> float:
        """Return the value at a size: measured, interpolated, or extrapolated by the form."""
        if size > self.largest_size:
            return self._extrapolate(self.points[-1], size)
        if size < self.points[0].size:
            return self._extrapolate(self.points[0], size)
        return interpolate(self.points, size)

    def _extrapolate(self, measured: Point, size: float) -> float:
        """Scale a measured value by the growth of the form from its size to `size`."""
        form_value = self.evaluate_form(measured.size)
        return measured.value * self.evaluate_form(size) / form_value if form_value else measured.value


@dataclass(frozen=True, slots=True)
class UnfittedSlope:
    """Replaces a slope that could not be fitted; does not extrapolate beyond the measured sizes."""

    points: tuple[Point, ...]  # one for each size, in ascending order
    reason: str

    @property
    def sizes(self) -> tuple[float, ...]:
        return tuple(point.size for point in self.points)

    @property
    def largest_size(self) -> float:
        return self.points[-1].size

    @property
    def value(self) -> float:
        """The value measured at the largest size."""
        return self.points[-1].value

    def value_at(self, size: float) -> float:
        """Return the value at a size: measured, interpolated, or the nearest measured one."""
        return interpolate(self.points, size)


def interpolate(points: tuple[Point, ...], size: float) -> float:
    """Interpolate by a power law, or linearly if a value is 0 or less; beyond the ends return the nearest."""
    clamped = min(max(size, points[0].size), points[-1].size)
    for point in points:
        if point.size == clamped:
            return point.value
    sizes = [point.size for point in points]
    values = [point.value for point in points]
    if min(values) <= 0:
        return float(numpy.interp(size, sizes, values))
    return math.exp(numpy.interp(math.log(size), numpy.log(sizes), numpy.log(values)))


def list_distinct_sizes(points: Iterable[Point]) -> tuple[float, ...]:
    """List the distinct sizes in ascending order."""
    return tuple(sorted({point.size for point in points}))


def check_sizes(sizes: tuple[float, ...]) -> None:
    """Raise TooFewSizes if the sizes do not suffice to fit a slope."""
    if len(sizes) < MIN_SIZES:
        raise TooFewSizes(f"{len(sizes)} of {MIN_SIZES} sizes")
    span = sizes[-1] / sizes[0]
    if span < MIN_SIZE_RATIO:
        raise TooFewSizes(f"sizes span {span:.3g} times, not {MIN_SIZE_RATIO:g}")


def fit_slope(points: list[Point]) -> Slope:
    """Fit all forms and return the best; raises TooFewSizes."""
    sizes = list_distinct_sizes(points)
    check_sizes(sizes)
    candidates = [_fit_form(form, points, sizes) for form in GrowthForm]
    non_decreasing = [slope for slope in candidates if slope.coefficient >= 0]
    return min(non_decreasing, key=lambda slope: _compute_information_criterion(slope, len(points)))


def fit_slope_if_possible(points: list[Point]) -> Slope | UnfittedSlope:
    """Fit a slope, or return an UnfittedSlope if there are too few sizes."""
    try:
        return fit_slope(points)
    except TooFewSizes as error:
        return UnfittedSlope(_average_by_size(points, list_distinct_sizes(points)), str(error))


def _fit_form(form: GrowthForm, points: list[Point], sizes: tuple[float, ...]) -> Slope:
    """Fit one form by least squares of the relative errors."""
    weights = _compute_relative_weights(points)
    values = numpy.array([point.value for point in points])
    columns = [numpy.ones(len(points))]
    if form is not GrowthForm.CONSTANT:
        growth = FORM_DEFINITIONS[form].growth
        columns.append(numpy.array([growth(point.size) for point in points]))
    matrix = numpy.column_stack(columns)
    scale = numpy.abs(matrix).max(axis=0)  # avoids an ill-conditioned matrix: n squared next to 1
    coefficients = (
        numpy.linalg.lstsq(matrix / scale * weights[:, None], values * weights, rcond=None)[0] / scale
    )
    errors = (matrix @ coefficients - values) * weights
    return Slope(
        form=form,
        intercept=float(coefficients[0]),
        coefficient=float(coefficients[1]) if len(coefficients) > 1 else 0.0,
        residual=math.sqrt(float(numpy.mean(errors**2))),
        points=_average_by_size(points, sizes),
    )


def _average_by_size(points: list[Point], sizes: tuple[float, ...]) -> tuple[Point, ...]:
    """Average repeated measurements: one point for each size."""
    return tuple(
        Point(size, statistics.fmean(point.value for point in points if point.size == size)) for size in sizes
    )


def _compute_relative_weights(points: list[Point]) -> numpy.ndarray:
    """Return the inverse of each magnitude; values of 0 get the weight of the smallest other value."""
    magnitudes = numpy.abs(numpy.array([point.value for point in points]))
    if not magnitudes.any():
        return numpy.ones(len(points))
    smallest = magnitudes[magnitudes > 0].min()
    return 1.0 / numpy.maximum(magnitudes, smallest)


def _compute_information_criterion(slope: Slope, point_count: int) -> float:
    """Compute the Bayesian information criterion; lower is better."""
    variance = max(slope.residual, NOISE_RESIDUAL) ** 2
    return point_count * math.log(variance) + FORM_DEFINITIONS[slope.form].parameter_count * math.log(
        point_count
    )
