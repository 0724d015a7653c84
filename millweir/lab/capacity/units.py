"""Figures as text: three significant digits and a unit that a reader can compare."""

from __future__ import annotations

from dataclasses import dataclass

DIGITS = 3
UNITS_SCALED = ("B", "B/s", "s", "cores")


@dataclass(frozen=True, slots=True)
class Scale:
    """A unit that is used from a value on."""

    least: float
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


def rounded(value: float, digits: int = DIGITS) -> str:
    """Without an exponent: 1,234 -> "1,230", 0.01234 -> "0.0123"."""
    if value == 0:
        return "0"
    number = float(f"{value:.{digits}g}")
    if abs(number) >= 100:
        return f"{number:,.0f}"
    decimals = max(0, digits - 1 - _exponent(number))
    text = f"{number:.{decimals}f}"
    return text.rstrip("0").rstrip(".") if "." in text else text


def _exponent(number: float) -> int:
    return int(f"{number:e}".partition("e")[2])


def _scaled(value: float, scales: tuple[Scale, ...]) -> str:
    scale = next((scale for scale in scales if abs(value) >= scale.least), scales[-1])
    return f"{rounded(value / scale.divisor)} {scale.name}".rstrip()


def stated_with_unit(value: float, unit: str) -> str:
    """A figure that is given, not worked out: whole numbers below a billion stand as they are."""
    if unit in UNITS_SCALED or unit.startswith("of ") or abs(value) >= 1e9 or value != int(value):
        return with_unit(value, unit)
    return f"{int(value):,} {unit}"


def with_unit(value: float, unit: str) -> str:
    """A figure with its unit: bytes, seconds, cores and counts are scaled."""
    if unit == "B":
        return _scaled(value, BYTE_SCALES)
    if unit == "B/s":
        return f"{_scaled(value, BYTE_SCALES)}/s"
    if unit == "s":
        return _scaled(value, TIME_SCALES) if value else "0 s"
    if unit == "cores":
        return f"{rounded(100 * value)}% of a core"
    if unit.startswith("of "):
        return f"{rounded(100 * value)}% {unit}"
    return f"{_scaled(value, COUNT_SCALES)} {unit}"
