"""Loaded by relays that the rig starts; adds the seconds in the `MILLWEIR_SKEW` file to their wall clock."""

import os
import time

_SKEW_FILE = os.environ.get("MILLWEIR_SKEW", "")
_real_time, _real_time_ns = time.time, time.time_ns


def _read_skew_seconds() -> float:
    try:
        with open(_SKEW_FILE) as source:
            return float(source.read() or 0)
    except (OSError, ValueError):
        return 0.0


if _SKEW_FILE:
    time.time = lambda: _real_time() + _read_skew_seconds()
    time.time_ns = lambda: _real_time_ns() + int(_read_skew_seconds() * 1e9)
