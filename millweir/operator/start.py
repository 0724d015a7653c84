"""Starts the components of `--operator FILE`; each is imported only if its section is in the file."""

from __future__ import annotations

import argparse
import asyncio
import importlib
from pathlib import Path
from typing import Any, Protocol

from millweir.operator.file import InvalidOperatorFile, Section, read_operator

COMPONENTS = {  # by section: the section's type and the component
    "members": ("millweir.members.section:Members", "millweir.members.part:Part")
}


class Component(Protocol):
    """A running component."""

    async def start(self) -> None: ...
    def leave(self) -> None: ...
    async def stop(self) -> None: ...


def load_object(location: str) -> Any:
    module, _, name = location.partition(":")
    return getattr(importlib.import_module(module), name)


class SectionTypes(dict[str, type[Section]]):
    """Section types by name, imported when they are looked up."""

    def __init__(self) -> None:
        super().__init__(dict.fromkeys(COMPONENTS, Section))

    def __getitem__(self, name: str) -> type[Section]:
        return load_object(COMPONENTS[name][0])


class Operator:
    """Reads and checks the operator's file, then runs the components that it configures."""

    def __init__(self, arguments: list[str]) -> None:
        """SystemExit for a wrong argument; Unusable for a file with faults."""
        parser = argparse.ArgumentParser(
            "millweir", description="Runs one relay; its other settings are environment variables."
        )
        parser.add_argument("--operator", metavar="FILE", required=True, help="the operator's file (TOML)")
        self._sections = read_operator(parser.parse_args(arguments).operator, SectionTypes())
        self._components: list[Component] = []

    async def start(self, name: str, folder: Path) -> None:
        """Start all components; OSError or ValueError where one can't start, with none left running."""
        try:
            for section_name, section in self._sections.items():
                component = load_object(COMPONENTS[section_name][1])(section, name, folder)
                self._components.append(component)
                await component.start()
        except (OSError, ValueError):
            await self.stop()
            raise

    def leave(self) -> None:
        for component in self._components:
            component.leave()

    async def stop(self) -> None:
        await asyncio.gather(*(component.stop() for component in self._components))


__all__ = ["InvalidOperatorFile", "Operator"]
