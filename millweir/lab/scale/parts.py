"""The parts that can be measured, by name; the module of each is imported only on request."""

from __future__ import annotations

import importlib
from collections.abc import Callable, Iterator

from millweir.lab.scale.guard import Guard
from millweir.lab.scale.measurement import Figure

MeasureFunction = Callable[[int, int, Guard], Iterator[Figure]]  # size, seed, limits of the run

PARTS = {
    "decisions": "millweir.lab.scale.decisions",
    "held": "millweir.lab.scale.held",
    "membership": "millweir.lab.scale.membership",
    "register": "millweir.lab.scale.register",
    "journal": "millweir.lab.scale.journal",
    "placement": "millweir.lab.scale.placement",
    "configuration": "millweir.lab.scale.configuration",
}


def load_part(name: str) -> MeasureFunction:
    """Returns the function `measure` of a part's module; raises KeyError for an unknown name."""
    return importlib.import_module(PARTS[name]).measure
