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
    for name, value in list(vars(owner).items()):
        if type(value) in WALKED:
            setattr(owner, name, WALKED[type(value)](value))


def count_instructions(call: Callable[[], object]) -> int:
    """How many bytecode instructions a call executes, in all functions that it enters."""
    counted = 0

    def trace(frame: FrameType, event: str, _: object) -> Any:
        nonlocal counted
        if event == "call":
            frame.f_trace_opcodes, frame.f_trace_lines = True, False
        elif event == "opcode":
            counted += 1
        return trace

    before = sys.gettrace()
    sys.settrace(trace)
    try:
        call()
    finally:
        sys.settrace(before)
    return counted
