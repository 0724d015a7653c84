"""`millweir check FILE`: checks the operator's file and reports all its faults, without starting a relay."""

from __future__ import annotations

import click


@click.command()
@click.argument("file", type=click.Path(dir_okay=False))
def check(file: str) -> None:
    """Check the operator's FILE and report all its faults."""
    from millweir.operator.file import InvalidOperatorFile, read_operator
    from millweir.operator.start import SectionTypes

    try:
        sections = read_operator(file, SectionTypes())
    except InvalidOperatorFile as error:
        click.echo(str(error), err=True)
        raise SystemExit(1) from None
    click.echo(f"fine: {', '.join(sections) or 'nothing is switched on'}")
