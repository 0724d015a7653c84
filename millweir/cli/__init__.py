"""The command `millweir`; its groups are imported on use.  Exit status: 0 success, 1 failure, 2 bad usage."""

from __future__ import annotations

import importlib

import click

GROUPS = {
    "members": "millweir.cli.members:members",
    "lab": "millweir.cli.lab:lab",
    "check": "millweir.cli.check:check",
}


class LazyGroup(click.Group):
    """A group that imports the modules of its commands on use."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return sorted(GROUPS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        if cmd_name not in GROUPS:
            return None
        module, _, name = GROUPS[cmd_name].partition(":")
        return getattr(importlib.import_module(module), name)


@click.group(cls=LazyGroup)
def main() -> None:
    """An outbound gateway that calls many partners' systems within their limits."""
