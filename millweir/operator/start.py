"""What `--operator FILE` switches on: each part is loaded only if its section stands in the file."""

from __future__ import annotations

import argparse
import asyncio
import importlib
from pathlib import Path
from typing import Any, Protocol

from millweir.operator.file import Section, Unusable, read_operator

PARTS = {"members": ("millweir.members.section:Members", "millweir.members.part:Part")}  # section: type, part


class Running(Protocol):
    """A part at work."""

    async def start(self) -> None: ...
    def leave(self) -> None: ...
    async def stop(self) -> None: ...


def load(where: str) -> Any:
    module, _, name = where.partition(":")
    return getattr(importlib.import_module(module), name)


class Kinds(dict[str, type[Section]]):
    """Section types by name, loaded when they are asked for."""

    def __init__(self) -> None:
        super().__init__(dict.fromkeys(PARTS, Section))

    def __getitem__(self, name: str) -> type[Section]:
        return load(PARTS[name][0])


class Operator:
    """The operator's file, read and checked; then the parts that it switches on."""

    def __init__(self, arguments: list[str]) -> None:
        """SystemExit for a wrong argument; Unusable for a file with faults."""
        parser = argparse.ArgumentParser("millweir", description="One relay, told the rest by its variables.")
        parser.add_argument("--operator", metavar="FILE", required=True, help="the operator's file (TOML)")
        self._sections = read_operator(parser.parse_args(arguments).operator, Kinds())
        self._running: list[Running] = []

    async def start(self, name: str, folder: Path) -> None:
        """Start all parts; OSError or ValueError where one can't, with none left running."""
        try:
            for section, given in self._sections.items():
                part = load(PARTS[section][1])(given, name, folder)
                self._running.append(part)
                await part.start()
        except (OSError, ValueError):
            await self.stop()
            raise

    def leave(self) -> None:
        for part in self._running:
            part.leave()

    async def stop(self) -> None:
        await asyncio.gather(*(part.stop() for part in self._running))


__all__ = ["Operator", "Unusable"]
