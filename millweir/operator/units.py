"""Durations, sizes and addresses as they are written in the operator's file."""

from __future__ import annotations

import re
from typing import Any

DURATION_UNITS_NS = {
    "us": 1_000,
    "ms": 1_000_000,
    "s": 1_000_000_000,
    "m": 60_000_000_000,
    "h": 3_600_000_000_000,
}
SIZE_UNITS_BYTES = {"B": 1, "KiB": 1 << 10, "MiB": 1 << 20}
QUANTITY_PATTERN = re.compile(r"(\d{1,9}(?:\.\d{1,6})?) ?([a-zA-Z]+)")


class Duration(int):
    """Nanoseconds, written as "250ms"."""


class ByteSize(int):
    """Bytes, written as "64KiB"."""


class SocketAddress(str):
    """`host:port`."""


def _parse_quantity(text: Any, units: dict[str, int], example: str) -> int:
    match = QUANTITY_PATTERN.fullmatch(text) if isinstance(text, str) else None
    if not match or match[2] not in units:
        raise ValueError(f"want a number and one of {', '.join(units)}, as in {example!r}, not {text!r}")
    return round(float(match[1]) * units[match[2]])


def address(text: str) -> tuple[str, int]:
    """Split `host:port`; ValueError where it is none."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"want host:port, not {text!r}")
    return host, int(port)


def decode_unit(target_type: type, given: Any) -> Any:
    """Decode the types above, as a hook for msgspec; ValueError says what is wrong."""
    if target_type is Duration:
        return Duration(_parse_quantity(given, DURATION_UNITS_NS, "250ms"))
    if target_type is ByteSize:
        return ByteSize(_parse_quantity(given, SIZE_UNITS_BYTES, "64KiB"))
    if target_type is SocketAddress:
        if not isinstance(given, str):
            raise ValueError(f"want host:port, not {given!r}")
        address(given)
        return SocketAddress(given)
    raise NotImplementedError(target_type)
