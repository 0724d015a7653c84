"""`millweir check FILE`: the operator's file, all faults at once, nothing started."""

from __future__ import annotations

import click


@click.command()
@click.argument("file", type=click.Path(dir_okay=False))
def check(file: str) -> None:
    """Read the operator's FILE and say what is wrong with it."""
    from millweir.operator.file import Unusable, read_operator
    from millweir.operator.start import Kinds

    try:
        sections = read_operator(file, Kinds())
    except Unusable as fault:
        click.echo(str(fault), err=True)
        raise SystemExit(1) from None
    click.echo(f"fine: {', '.join(sections) or 'nothing is switched on'}")
