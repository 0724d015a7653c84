"""Plots the fraction of the budget by fleet size, for the rows that exceed it first (needs matplotlib)."""

from __future__ import annotations

from pathlib import Path

import matplotlib

matplotlib.use("Agg")
import matplotlib.pyplot as pyplot
import numpy

from millweir.lab.capacity.model import Fleet, evaluate_row
from millweir.lab.capacity.page import Model
from millweir.lab.capacity.ranking import MAX_TARGET_RATIO, MIN_RELAYS, rank_rows

MAX_ROWS = 10
SAMPLE_COUNT = 60


def draw_ranking(model: Model, path: Path) -> None:
    """Draw one line for each of the first rows; the file suffix selects PNG or SVG."""
    target = model.inputs.targets.relays.value
    relays = numpy.geomspace(MIN_RELAYS, target * MAX_TARGET_RATIO, SAMPLE_COUNT)
    figure, axes = pyplot.subplots(figsize=(11, 6))
    for ranked_row in rank_rows(model.rows, model.inputs, model.slopes)[:MAX_ROWS]:
        row = ranked_row.row
        results = [evaluate_row(row, Fleet(model.inputs, size / target), model.slopes) for size in relays]
        budget_fractions = [result.budget_fraction for result in results]
        axes.loglog(relays, budget_fractions, label=f"{row.role.value}: {row.name}, {row.stage.value}")
    axes.axhline(1.0, color="black", linewidth=0.8)
    axes.axvline(target, color="black", linewidth=0.8, linestyle="--")
    axes.set_xlabel("relays")
    axes.set_ylabel("share of the budget")
    axes.legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
