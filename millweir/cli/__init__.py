"""The command `millweir`; groups are loaded on use.  Exit 0 fine, 1 something wrong, 2 wrong use."""

from __future__ import annotations

import importlib

import click

GROUPS = {
    "members": "millweir.cli.members:members",
    "lab": "millweir.cli.lab:lab",
    "check": "millweir.cli.check:check",
}


class Lazy(click.Group):
    """Knows its groups by name; their modules are imported on use."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return sorted(GROUPS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        if cmd_name not in GROUPS:
            return None
        module, _, name = GROUPS[cmd_name].partition(":")
        return getattr(importlib.import_module(module), name)


@click.group(cls=Lazy)
def main() -> None:
    """An outbound gateway that calls many partners' systems within their limits."""
