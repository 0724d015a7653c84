"""Slopes: how a measured quantity grows with its size.

A slope is fitted by least squares of *relative* errors, so that small sizes count as much as large ones, in
four forms: constant, log n, n and n squared, each but the first with an intercept.  Of the forms whose slope
is not negative the one with the lowest Bayesian information criterion is taken; a form that grows faster
pays for it as if it had more parameters, and residuals below `NOISE_FLOOR` count as equally good.

Between measured sizes a slope gives the measured values, interpolated; past the largest size the form goes on
from the value that was measured there, and likewise below the smallest.

Fewer than `SIZES_LEAST` sizes, or sizes that span less than `SPAN_LEAST`, are not fitted: `LargestMeasured`
stands in, which past the largest size gives the value that was measured there, unscaled.
"""

from __future__ import annotations

import math
import statistics
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum

import numpy

SIZES_LEAST = 4
SPAN_LEAST = 100.0  # two decades
NOISE_FLOOR = 0.03  # relative residual below which forms are told apart by their penalty alone


class Form(Enum):
    """A form of growth."""

    CONSTANT = "constant"
    LOGARITHMIC = "log n"
    LINEAR = "n"
    QUADRATIC = "n squared"


@dataclass(frozen=True, slots=True)
class FormRule:
    """A form's function of the size, and the parameters that it is charged for."""

    growth: Callable[[float], float]
    parameters: float


FORM_RULES = {
    Form.CONSTANT: FormRule(lambda size: 0.0, 1.0),
    Form.LOGARITHMIC: FormRule(math.log, 2.0),
    Form.LINEAR: FormRule(lambda size: size, 2.25),
    Form.QUADRATIC: FormRule(lambda size: size * size, 3.0),
}


@dataclass(frozen=True, slots=True)
class Point:
    """One measured value at one size."""

    size: float
    value: float


class TooFewSizes(ValueError):
    """There are not enough sizes, or they lie too close together, for a slope."""


@dataclass(frozen=True, slots=True)
class Slope:
    """A fitted form, intercept + coefficient * growth(size), and the values that it was fitted to."""

    form: Form
    intercept: float
    coefficient: float
    residual: float  # root mean square of the relative errors
    points: tuple[Point, ...]  # one for each size, rising

    @property
    def sizes(self) -> tuple[float, ...]:
        return tuple(point.size for point in self.points)

    @property
    def largest(self) -> float:
        return self.points[-1].size

    def by_form(self, size: float) -> float:
        """What the form alone gives, never below 0."""
        return max(0.0, self.intercept + self.coefficient * FORM_RULES[self.form].growth(max(size, 1.0)))

    def at(self, size: float) -> float:
        """The value at a size: measured, interpolated or carried on by the form."""
        if size > self.largest:
            return self._carried_on(self.points[-1], size)
        if size < self.points[0].size:
            return self._carried_on(self.points[0], size)
        return interpolate(self.points, size)

    def _carried_on(self, measured: Point, size: float) -> float:
        """From a measured value on as the form grows from there."""
        there = self.by_form(measured.size)
        return measured.value * self.by_form(size) / there if there else measured.value


@dataclass(frozen=True, slots=True)
class LargestMeasured:
    """Stands in where no slope could be fitted: nothing is carried on past the sizes that were measured."""

    points: tuple[Point, ...]  # one for each size, rising
    reason: str

    @property
    def sizes(self) -> tuple[float, ...]:
        return tuple(point.size for point in self.points)

    @property
    def largest(self) -> float:
        return self.points[-1].size

    @property
    def value(self) -> float:
        """At the largest size."""
        return self.points[-1].value

    def at(self, size: float) -> float:
        return interpolate(self.points, size)


def interpolate(points: tuple[Point, ...], size: float) -> float:
    """A power law between two sizes, or a straight line where a value is 0; outside of them the nearest."""
    clamped = min(max(size, points[0].size), points[-1].size)
    for point in points:
        if point.size == clamped:
            return point.value
    sizes = [point.size for point in points]
    values = [point.value for point in points]
    if min(values) <= 0:
        return float(numpy.interp(size, sizes, values))
    return math.exp(numpy.interp(math.log(size), numpy.log(sizes), numpy.log(values)))


def distinct_sizes(points: Iterable[Point]) -> tuple[float, ...]:
    return tuple(sorted({point.size for point in points}))


def check_sizes(sizes: tuple[float, ...]) -> None:
    """TooFewSizes where a slope would rest on too little."""
    if len(sizes) < SIZES_LEAST:
        raise TooFewSizes(f"{len(sizes)} of {SIZES_LEAST} sizes")
    span = sizes[-1] / sizes[0]
    if span < SPAN_LEAST:
        raise TooFewSizes(f"sizes span {span:.3g} times, not {SPAN_LEAST:g}")


def fit_slope(points: list[Point]) -> Slope:
    """The form that explains the points best; TooFewSizes."""
    sizes = distinct_sizes(points)
    check_sizes(sizes)
    candidates = [_fit_form(form, points, sizes) for form in Form]
    rising = [slope for slope in candidates if slope.coefficient >= 0]
    return min(rising, key=lambda slope: _criterion(slope, len(points)))


def slope_or_largest(points: list[Point]) -> Slope | LargestMeasured:
    """A slope where there are sizes enough, else what stands in for it."""
    try:
        return fit_slope(points)
    except TooFewSizes as too_few:
        return LargestMeasured(_means(points, distinct_sizes(points)), str(too_few))


def _fit_form(form: Form, points: list[Point], sizes: tuple[float, ...]) -> Slope:
    weights = _relative_weights(points)
    values = numpy.array([point.value for point in points])
    columns = [numpy.ones(len(points))]
    if form is not Form.CONSTANT:
        growth = FORM_RULES[form].growth
        columns.append(numpy.array([growth(point.size) for point in points]))
    matrix = numpy.column_stack(columns)
    scale = numpy.abs(matrix).max(axis=0)  # n squared beside 1 would be badly conditioned
    solved = numpy.linalg.lstsq(matrix / scale * weights[:, None], values * weights, rcond=None)[0] / scale
    errors = (matrix @ solved - values) * weights
    return Slope(
        form=form,
        intercept=float(solved[0]),
        coefficient=float(solved[1]) if len(solved) > 1 else 0.0,
        residual=math.sqrt(float(numpy.mean(errors**2))),
        points=_means(points, sizes),
    )


def _means(points: list[Point], sizes: tuple[float, ...]) -> tuple[Point, ...]:
    """One point for each size."""
    return tuple(
        Point(size, statistics.fmean(point.value for point in points if point.size == size)) for size in sizes
    )


def _relative_weights(points: list[Point]) -> numpy.ndarray:
    """One over each value; values of 0 weigh as much as the smallest other one."""
    magnitudes = numpy.abs(numpy.array([point.value for point in points]))
    if not magnitudes.any():
        return numpy.ones(len(points))
    smallest = magnitudes[magnitudes > 0].min()
    return 1.0 / numpy.maximum(magnitudes, smallest)


def _criterion(slope: Slope, points: int) -> float:
    """Bayesian information criterion, lower is better."""
    variance = max(slope.residual, NOISE_FLOOR) ** 2
    return points * math.log(variance) + FORM_RULES[slope.form].parameters * math.log(points)
