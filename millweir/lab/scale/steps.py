"""Counts the steps of a call: executed bytecode instructions, the same in every run on one Python version.

Loops inside the interpreter (`list(table)`, `max(table.values())`) execute no instructions of their own.
`walk_in_python` therefore replaces the tables of an object by such as are iterated in Python code, so that
each entry that is visited counts as well.
"""

from __future__ import annotations

import sys
from collections import defaultdict
from collections.abc import Callable, ItemsView, Iterator, KeysView, ValuesView
from types import FrameType
from typing import Any


class WalkedDict(dict):
    """A dict whose iterators, also those of its views, are Python code."""

    def __iter__(self) -> Iterator[Any]:
        yield from super().__iter__()

    def keys(self) -> KeysView[Any]:
        return KeysView(self)

    def values(self) -> ValuesView[Any]:
        return ValuesView(self)

    def items(self) -> ItemsView[Any, Any]:
        return ItemsView(self)


class WalkedDefaultDict(WalkedDict):
    """The same for a defaultdict."""

    def __init__(self, given: defaultdict[Any, Any]) -> None:
        super().__init__(given)
        self._default_factory = given.default_factory

    def __missing__(self, key: Any) -> Any:
        value = self[key] = self._default_factory()
        return value


WALKED = {dict: WalkedDict, defaultdict: WalkedDefaultDict}


def walk_in_python(owner: object) -> None:
    """Replace the dicts that are attributes of an object by their walked counterparts."""
    slots = [name for kind in type(owner).__mro__ for name in getattr(kind, "__slots__", ())]
    for name in (*getattr(owner, "__dict__", ()), *slots):
        value = getattr(owner, name, None)
        if type(value) in WALKED:
            setattr(owner, name, WALKED[type(value)](value))


class InstructionMeter:
    """Counts the instructions of all functions that are entered within its `with` blocks."""

    __slots__ = ("_before", "counted")

    def __init__(self) -> None:
        self.counted = 0
        self._before: Any = None

    def __enter__(self) -> InstructionMeter:
        self._before = sys.gettrace()
        sys.settrace(self._trace)
        return self

    def __exit__(self, *_: object) -> None:
        sys.settrace(self._before)

    def _trace(self, frame: FrameType, event: str, _: object) -> Any:
        if frame.f_code is InstructionMeter.__exit__.__code__:
            return None
        if event == "call":
            frame.f_trace_opcodes, frame.f_trace_lines = True, False
        elif event == "opcode":
            self.counted += 1
        return self._trace


def count_instructions(call: Callable[[], object]) -> int:
    """How many instructions a call executes."""
    meter = InstructionMeter()
    with meter:
        call()
    return meter.counted
