"""Mutation of a module's `Core`, for tests that check that a missing guard is noticed."""

from __future__ import annotations

from pathlib import Path
from types import ModuleType


def broken_core(real: ModuleType, name: str, old: str, new: str, shared: tuple[str, ...]) -> type:
    """Return the class `Core` of the module with `old` replaced by `new`.

    `shared`: names that the mutant takes from the real module, so that both use the same objects.
    """
    source = Path(real.__file__).read_text()
    assert source.count(old) == 1, f"{name}: found {source.count(old)} times in {real.__name__}"
    namespace = {"__name__": real.__name__}
    exec(compile(source.replace(old, new), name, "exec", dont_inherit=True), namespace)
    namespace |= {one: getattr(real, one) for one in shared}
    return namespace["Core"]
