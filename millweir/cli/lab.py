"""`millweir lab`: runs fault scenarios on real processes and simulations of fleets."""

from __future__ import annotations

import asyncio
import json
import signal
from pathlib import Path

import click


@click.group()
def lab() -> None:
    """Fault scenarios, simulations and measurements of the project."""


@lab.command()
@click.argument("scenario", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--keep", type=click.Path(path_type=Path), help="folder for logs, history and views")
@click.option("--json", "as_json", is_flag=True)
def cluster(scenario: Path, seed: int, keep: Path | None, as_json: bool) -> None:
    """Run SCENARIO on real relays with injected faults; exit 1 for a violated rule or a wrong view."""
    from millweir.lab.cluster import Rig
    from millweir.lab.scenario import read_scenario

    try:
        parsed_scenario = read_scenario(scenario)
    except ValueError as error:
        raise click.UsageError(f"{scenario}: {error}") from None

    async def run() -> object:
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        async with Rig(parsed_scenario, seed, keep) as rig:
            return await rig.play(lambda line: click.echo(line, err=True))

    played = asyncio.run(run())
    verdict, finding = played.verdict, played.finding
    summary = {
        "seed": seed,
        "fine": played.passed,
        "rules": {rule: breaches[:5] for rule, breaches in verdict.broken.items()},
        "packets": dict(verdict.counts),
        "wrong": finding.wrong,
        "missed": finding.missed,
        "failures": played.failures,
        "connections": played.connections,
        "detected": sorted(round(seconds, 2) for seconds in finding.detected),
        "accused": dict(finding.accused),
        "buried": dict(finding.buried),
        "member_hours": round(finding.hours, 4),
        "agreed_after": sorted(round(seconds, 2) for seconds in finding.agreed_after),
    }
    if as_json:
        click.echo(json.dumps(summary))
    else:
        for key, value in summary.items():
            click.echo(f"{key:<13} {value}")
        click.echo(f"replay        millweir lab cluster {scenario} --seed {seed}")
    raise SystemExit(0 if played.passed else 1)


@lab.command()
@click.option("--ways", default="millweir,plain-swim", show_default=True)
@click.option("--sizes", default="5,50,500", show_default=True)
@click.option("--troubles", default="calm,pauses,loss", show_default=True)
@click.option("--suspicions", default="5", show_default=True, help="intervals from suspicion to gone")
@click.option("--seeds", type=int, default=3, show_default=True)
@click.option("--seconds", type=int, default=120, show_default=True, help="simulated, of each run")
@click.option("--workers", type=int, default=4, show_default=True)
@click.option(
    "--out", type=click.Path(path_type=Path), required=True, help="JSON lines; a run is continued there"
)
def fleet(
    ways: str, sizes: str, troubles: str, suspicions: str, seeds: int, seconds: int, workers: int, out: Path
) -> None:
    """Simulate fleets: detection time, false deaths, messages and bytes, by size, trouble and way."""
    from millweir.lab.detect import sweep

    for line in sweep(
        ways.split(","),
        [int(size) for size in sizes.split(",")],
        troubles.split(","),
        [float(interval) for interval in suspicions.split(",")],
        seeds,
        seconds,
        workers,
        out,
    ):
        click.echo(line)


@lab.command()
@click.argument("rows", type=click.Path(exists=True, path_type=Path))
@click.argument("picture", type=click.Path(path_type=Path))
def plot(rows: Path, picture: Path) -> None:
    """Plot the output of `fleet`, as PNG or SVG by the file's suffix (needs matplotlib)."""
    from millweir.lab.plots import plot_detection

    plot_detection(rows, picture)


@lab.command()
@click.argument("part", metavar="PART")
@click.option("--size", type=click.IntRange(1), required=True, help="the quantity that the part scales with")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--out", type=click.Path(dir_okay=False, path_type=Path), help="JSON lines; appended to the file"
)
def scale(part: str, size: int, seed: int, out: Path | None) -> None:
    """Measure PART at one size; exit 1 where the run stopped at its resource limits."""
    from millweir.lab.scale import parts
    from millweir.lab.scale.guard import Guard, LimitExceeded
    from millweir.lab.scale.measurement import (
        Measurement,
        append_measurements,
        current_commit,
        current_machine,
    )

    if part not in parts.PARTS:
        raise click.UsageError(f"no part {part!r}; there are {', '.join(parts.PARTS)}")
    command = f"millweir lab scale {part} --size {size} --seed {seed}"
    commit, machine = current_commit(), current_machine()
    try:
        for figure in parts.load_part(part)(size, seed, Guard.for_this_machine()):
            click.echo(
                f"{figure.part:<14} {figure.trouble:<22} {figure.quantity:<40} "
                f"{figure.value:.6g} {figure.unit} ({figure.low:.6g} to {figure.high:.6g})"
            )
            if out:
                measurement = Measurement(
                    figure=figure, command=command, seed=seed, commit=commit, machine=machine
                )
                append_measurements(out, [measurement])
    except LimitExceeded as error:
        raise click.ClickException(f"stopped: {error}") from None


@lab.command()
@click.option("--write", is_flag=True, help="write docs/CAPACITY.md in place of printing it")
@click.option("--plot", type=click.Path(dir_okay=False, path_type=Path), help="draw the ranking (matplotlib)")
def capacity(write: bool, plot: Path | None) -> None:
    """Render the capacity page from the committed measurements and assumptions (needs numpy)."""
    from millweir.lab.capacity import page
    from millweir.lab.capacity.assumptions import UnreadableAssumptions
    from millweir.lab.scale.measurement import UnreadableMeasurements

    try:
        model = page.read_model()
    except (UnreadableAssumptions, UnreadableMeasurements) as error:
        raise click.ClickException(str(error)) from None
    text = page.render(model)
    if write:
        page.PAGE_PATH.write_text(text)
    else:
        click.echo(text, nl=False)
    if plot:
        try:
            from millweir.lab.capacity.plot import draw_ranking
        except ImportError as error:
            raise click.ClickException(f"a plot needs matplotlib: {error}") from None
        draw_ranking(model, plot)


@lab.command()
@click.option("--seeds", default="1:301", show_default=True, help="FROM:TO, without TO itself")
@click.option("--draw", type=click.Choice(["any", "restarted-fleet"]), default="any", show_default=True)
@click.option("--workers", type=click.IntRange(1), default=4, show_default=True)
def outages(seeds: str, draw: str, workers: int) -> None:
    """Simulate outages drawn from SEEDS on fleets; exit 1 where a destination is overloaded."""
    from concurrent.futures import ProcessPoolExecutor

    from millweir.lab.outages.fleet import find_worst_bound_ratio
    from millweir.lab.outages.scenario import draw_restarted_fleet, draw_scenario

    first, _, end = seeds.partition(":")
    try:
        seed_numbers = range(int(first), int(end))
    except ValueError:
        raise click.UsageError(f"no FROM:TO of whole numbers: {seeds!r}") from None
    draw_by_name = {"any": draw_scenario, "restarted-fleet": draw_restarted_fleet}[draw]
    scenarios = [draw_by_name(number) for number in seed_numbers]
    with ProcessPoolExecutor(workers) as pool:
        bound_shares = list(pool.map(find_worst_bound_ratio, scenarios, seed_numbers, chunksize=4))
    for number, scenario, bound_share in zip(seed_numbers, scenarios, bound_shares, strict=True):
        if bound_share > 1:
            click.echo(f"seed {number}: {bound_share:.2f} of the bound; {scenario}")
    over_bound = sum(bound_share > 1 for bound_share in bound_shares)
    click.echo(
        f"{over_bound} of {len(bound_shares)} over the bound; the worst {max(bound_shares, default=0.0):.2f}"
    )
    raise SystemExit(1 if over_bound else 0)
