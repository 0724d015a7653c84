"""Counts the bytecode instructions that a call executes: the same in every run on one Python version.

Loops inside the interpreter (`list(table)`, `max(table.values())`) execute no bytecode instructions.
`make_iteration_countable` therefore replaces an object's dicts with subclasses whose iteration runs in Python
code, so that each visited entry counts as well.
"""

from __future__ import annotations

import sys
from collections import defaultdict
from collections.abc import Callable, ItemsView, Iterator, KeysView, ValuesView
from types import FrameType
from typing import Any


class PythonIteratedDict(dict):
    """A dict whose iterators, including those of its views, are Python code."""

    def __iter__(self) -> Iterator[Any]:
        yield from super().__iter__()

    def keys(self) -> KeysView[Any]:
        return KeysView(self)

    def values(self) -> ValuesView[Any]:
        return ValuesView(self)

    def items(self) -> ItemsView[Any, Any]:
        return ItemsView(self)


class PythonIteratedDefaultDict(PythonIteratedDict):
    """A defaultdict whose iterators, including those of its views, are Python code."""

    def __init__(self, source: defaultdict[Any, Any]) -> None:
        super().__init__(source)
        self._default_factory = source.default_factory

    def __missing__(self, key: Any) -> Any:
        value = self[key] = self._default_factory()
        return value


REPLACEMENT_TYPES = {dict: PythonIteratedDict, defaultdict: PythonIteratedDefaultDict}


def make_iteration_countable(owner: object) -> None:
    """Replaces the dicts among an object's attributes with counterparts that are iterated in Python code."""
    slots = [name for base in type(owner).__mro__ for name in getattr(base, "__slots__", ())]
    for name in (*getattr(owner, "__dict__", ()), *slots):
        value = getattr(owner, name, None)
        if type(value) in REPLACEMENT_TYPES:
            setattr(owner, name, REPLACEMENT_TYPES[type(value)](value))


class InstructionMeter:
    """Counts the instructions of all functions that are called within its `with` blocks."""

    __slots__ = ("_previous_trace", "count")

    def __init__(self) -> None:
        self.count = 0
        self._previous_trace: Any = None

    def __enter__(self) -> InstructionMeter:
        self._previous_trace = sys.gettrace()
        sys.settrace(self._trace)
        return self

    def __exit__(self, *_: object) -> None:
        sys.settrace(self._previous_trace)

    def _trace(self, frame: FrameType, event: str, _: object) -> Any:
        if frame.f_code is InstructionMeter.__exit__.__code__:
            return None
        if event == "call":
            frame.f_trace_opcodes, frame.f_trace_lines = True, False
        elif event == "opcode":
            self.count += 1
        return self._trace


def count_instructions(call: Callable[[], object]) -> int:
    """Returns the number of bytecode instructions that a call executes."""
    meter = InstructionMeter()
    with meter:
        call()
    return meter.count
