"""Draws the share of the budget by fleet size, for the rows that go over it first (needs matplotlib)."""

from __future__ import annotations

from pathlib import Path

import matplotlib

matplotlib.use("Agg")
import matplotlib.pyplot as pyplot
import numpy

from millweir.lab.capacity.model import Fleet, work_out
from millweir.lab.capacity.page import Model
from millweir.lab.capacity.ranking import LARGEST_TIMES, SMALLEST_RELAYS, rank

ROWS_MOST = 10
SAMPLES = 60


def draw_ranking(model: Model, picture: Path) -> None:
    """One line for each of the first rows; PNG or SVG by the file's ending."""
    target = model.inputs.targets.relays.value
    relays = numpy.geomspace(SMALLEST_RELAYS, target * LARGEST_TIMES, SAMPLES)
    figure, axes = pyplot.subplots(figsize=(11, 6))
    for ranked in rank(model.rows, model.inputs, model.slopes)[:ROWS_MOST]:
        row = ranked.row
        results = [work_out(row, Fleet(model.inputs, size / target), model.slopes) for size in relays]
        shares = [result.share_of_budget for result in results]
        axes.loglog(relays, shares, label=f"{row.role.value}: {row.name}, {row.stage.value}")
    axes.axhline(1.0, color="black", linewidth=0.8)
    axes.axvline(target, color="black", linewidth=0.8, linestyle="--")
    axes.set_xlabel("relays")
    axes.set_ylabel("share of the budget")
    axes.legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(picture)
    pyplot.close(figure)
