"""Spans, sizes and addresses as an operator writes them."""

from __future__ import annotations

import re
from typing import Any

SPANS = {"us": 1_000, "ms": 1_000_000, "s": 1_000_000_000, "m": 60_000_000_000, "h": 3_600_000_000_000}
SIZES = {"B": 1, "KiB": 1 << 10, "MiB": 1 << 20}
NUMBER = re.compile(r"(\d{1,9}(?:\.\d{1,6})?) ?([a-zA-Z]+)")


class Span(int):
    """Nanoseconds, written as "250ms"."""


class Size(int):
    """Bytes, written as "64KiB"."""


class Place(str):
    """`host:port`."""


def _measured(text: Any, units: dict[str, int], example: str) -> int:
    match = NUMBER.fullmatch(text) if isinstance(text, str) else None
    if not match or match[2] not in units:
        raise ValueError(f"want a number and one of {', '.join(units)}, as in {example!r}, not {text!r}")
    return round(float(match[1]) * units[match[2]])


def address(text: str) -> tuple[str, int]:
    """Split `host:port`; ValueError where it is none."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"want host:port, not {text!r}")
    return host, int(port)


def decode(kind: type, given: Any) -> Any:
    """The hook by which msgspec reads the types above; ValueError says what is wrong."""
    if kind is Span:
        return Span(_measured(given, SPANS, "250ms"))
    if kind is Size:
        return Size(_measured(given, SIZES, "64KiB"))
    if kind is Place:
        if not isinstance(given, str):
            raise ValueError(f"want host:port, not {given!r}")
        address(given)
        return Place(given)
    raise NotImplementedError(kind)
