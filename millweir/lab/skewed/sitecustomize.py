"""Loaded by relays that the rig starts: their wall clock is off by the seconds in the file named."""

import os
import time

_PATH = os.environ.get("MILLWEIR_SKEW", "")
_time, _time_ns = time.time, time.time_ns


def _skew() -> float:
    try:
        with open(_PATH) as source:
            return float(source.read() or 0)
    except (OSError, ValueError):
        return 0.0


if _PATH:
    time.time = lambda: _time() + _skew()
    time.time_ns = lambda: _time_ns() + int(_skew() * 1e9)
