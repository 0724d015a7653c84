"""Formats figures as text, with three significant digits and a scaled unit."""

from __future__ import annotations

from dataclasses import dataclass

SIGNIFICANT_DIGITS = 3
SCALED_UNITS = ("B", "B/s", "s", "cores")


@dataclass(frozen=True, slots=True)
class Scale:
    """A unit used for values from `min_value` up."""

    min_value: float
    divisor: float
    name: str


BYTE_SCALES = (
    Scale(1e12, 1e12, "TB"),
    Scale(1e9, 1e9, "GB"),
    Scale(1e6, 1e6, "MB"),
    Scale(1e3, 1e3, "KB"),
    Scale(0.0, 1.0, "B"),
)
TIME_SCALES = (
    Scale(2 * 86_400, 86_400, "days"),
    Scale(2 * 3_600, 3_600, "h"),
    Scale(180, 60, "min"),
    Scale(1.0, 1.0, "s"),
    Scale(1e-3, 1e-3, "ms"),
    Scale(1e-6, 1e-6, "us"),
    Scale(0.0, 1e-9, "ns"),
)
COUNT_SCALES = (
    Scale(1e9, 1e9, "billion"),
    Scale(1e6, 1e6, "million"),
    Scale(0.0, 1.0, ""),
)


def format_number(value: float, digits: int = SIGNIFICANT_DIGITS) -> str:
    """Round to significant digits without an exponent: 1,234 -> "1,230", 0.01234 -> "0.0123"."""
    if value == 0:
        return "0"
    number = float(f"{value:.{digits}g}")
    if abs(number) >= 100:
        return f"{number:,.0f}"
    decimals = max(0, digits - 1 - _find_exponent(number))
    text = f"{number:.{decimals}f}"
    return text.rstrip("0").rstrip(".") if "." in text else text


def _find_exponent(number: float) -> int:
    return int(f"{number:e}".partition("e")[2])


def _format_scaled(value: float, scales: tuple[Scale, ...]) -> str:
    scale = next((scale for scale in scales if abs(value) >= scale.min_value), scales[-1])
    return f"{format_number(value / scale.divisor)} {scale.name}".rstrip()


def format_input(value: float, unit: str) -> str:
    """Format an input of the model: whole numbers below a billion are not rounded."""
    if unit in SCALED_UNITS or unit.startswith("of ") or abs(value) >= 1e9 or value != int(value):
        return format_figure(value, unit)
    return f"{int(value):,} {unit}"


def format_figure(value: float, unit: str) -> str:
    """Format a computed figure with its unit: bytes, seconds, cores and counts are scaled."""
    if unit == "B":
        return _format_scaled(value, BYTE_SCALES)
    if unit == "B/s":
        return f"{_format_scaled(value, BYTE_SCALES)}/s"
    if unit == "s":
        return _format_scaled(value, TIME_SCALES) if value else "0 s"
    if unit == "cores":
        return f"{format_number(100 * value)}% of a core"
    if unit.startswith("of "):
        return f"{format_number(100 * value)}% {unit}"
    return f"{_format_scaled(value, COUNT_SCALES)} {unit}"
