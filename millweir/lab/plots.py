"""Plots measurements of the lab (the only importer of matplotlib here)."""

from __future__ import annotations

from collections import defaultdict
from pathlib import Path

import matplotlib

from millweir.lab.detect import Row, read_rows, summarize
from millweir.members.core import Rules

matplotlib.use("Agg")
import matplotlib.pyplot as plt  # noqa: E402  (after the choice of a backend without a display)


def plot_detection(rows_file: Path, picture: Path) -> None:
    """Plot detection time, false deaths and bytes by fleet size, one line per detector and fault."""
    groups: dict[tuple[str, str], dict[int, list[Row]]] = defaultdict(lambda: defaultdict(list))
    for row in read_rows(rows_file):
        if row.suspicion == Rules().suspicion_multiplier:
            groups[row.way, row.trouble][row.size].append(row)
    figure, axes = plt.subplots(1, 3, figsize=(15, 4.5))
    fields = (
        ("all_p50", "seconds until all living hold it gone (p50)", "linear"),
        ("deaths", "false deaths an hour and member", "symlog"),
        ("bytes", "bytes a second sent by a member", "log"),
    )
    styles = {"calm": "-", "pauses": "--", "loss": ":"}
    colours = dict(zip(dict.fromkeys(way for way, _ in groups), plt.cm.tab10.colors, strict=False))
    for axis, (field, label, scale) in zip(axes, fields, strict=True):
        for (way, trouble), sizes in sorted(groups.items()):
            points = sorted((size, summarize(rows).get(field)) for size, rows in sizes.items())
            points = [point for point in points if point[1] is not None]
            axis.plot(
                [size for size, _ in points],
                [value for _, value in points],
                styles.get(trouble, "-."),
                color=colours[way],
                marker="o",
                markersize=3,
                label=f"{way}, {trouble}",
            )
        axis.set_xscale("log")
        axis.set_yscale(scale)
        if scale == "symlog":
            axis.set_ylim(bottom=0)
        axis.set_xlabel("members")
        axis.set_title(label, fontsize=9)
        axis.grid(alpha=0.3)
    axes[0].legend(fontsize=7)
    figure.suptitle("Simulated fleets: detection, false deaths, cost")
    figure.tight_layout()
    figure.savefig(picture, dpi=110)
    plt.close(figure)
