"""A module's core with one line changed, for tests that a guard taken out is found."""

from __future__ import annotations

from pathlib import Path
from types import ModuleType


def broken_core(real: ModuleType, name: str, old: str, new: str, shared: tuple[str, ...]) -> type:
    """The class `Core` of the changed text; `shared` names what it must have in common with the real one."""
    source = Path(real.__file__).read_text()
    assert source.count(old) == 1, f"{name}: stands {source.count(old)} times in {real.__name__}"
    space = {"__name__": real.__name__}
    exec(compile(source.replace(old, new), name, "exec", dont_inherit=True), space)
    space |= {one: getattr(real, one) for one in shared}
    return space["Core"]
