"""Read the operator's file: typed sections, every fault at once, each with its line and key.

A part brings its own section type: a msgspec Struct whose `RANGES` names the least and the most of each
number.  Nothing here knows any part; nothing is started from a file with a fault.
"""

from __future__ import annotations

import difflib
import re
import tomllib
from pathlib import Path
from typing import Any, ClassVar, get_type_hints

import msgspec

from millweir.operator.units import decode

HEAD = re.compile(r"\s*\[\s*([A-Za-z0-9_.\-\" ]+?)\s*\]\s*(?:#.*)?$")
KEY = re.compile(r"\s*([A-Za-z0-9_\-]+)\s*(?:\.|=)")
FILE_MOST = 1 << 20


class Section(msgspec.Struct, frozen=True, kw_only=True, rename="kebab"):
    """What every part's section is built on."""

    RANGES: ClassVar[dict[str, tuple[int, int]]] = {}

    def faults(self) -> list[tuple[str, str]]:
        """Faults between keys, each as key and text."""
        return []


class Unusable(Exception):
    """The file can't be used; `faults` has one line for each reason."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__("\n".join(faults))
        self.faults = faults


def read_operator(path: str, kinds: dict[str, type[Section]]) -> dict[str, Section]:
    """The sections that stand in the file, by name; Unusable with all that is wrong."""
    try:
        raw = Path(path).read_bytes()
        if len(raw) > FILE_MOST:
            raise Unusable([f"{path}: larger than {FILE_MOST} bytes"])
        text = raw.decode()
        given = tomllib.loads(text)
    except OSError as fault:
        raise Unusable([f"{path}: can't be read: {fault.strerror}"]) from fault
    except UnicodeDecodeError as fault:
        raise Unusable([f"{path}: not UTF-8 text"]) from fault
    except tomllib.TOMLDecodeError as fault:
        raise Unusable([f"{path}: {fault}"]) from fault
    lines, faults, sections = _lines(text), [], {}

    def say(section: str, key: str, what: str) -> None:
        at = lines.get((section, key)) or lines.get((section, ""), 1)
        faults.append(f"{path}:{at}: {section}{'.' if key else ''}{key}: {what}")

    for name, table in given.items():
        if name not in kinds:
            say(name, "", f"no such section{_nearest(name, kinds)}")
        elif not isinstance(table, dict):
            say(name, "", "want a section, not a value")
        else:
            before = len(faults)
            values = _values(kinds[name], table, name, say)
            if len(faults) == before:
                sections[name] = kinds[name](**values)
                for key, what in sections[name].faults():
                    say(name, key, what)
    if faults:
        raise Unusable(faults)
    return sections


def _values(kind: type[Section], table: dict[str, Any], name: str, say: Any) -> dict[str, Any]:
    """Each key by itself, so that one fault doesn't hide the next."""
    fields = {field.encode_name: field for field in msgspec.structs.fields(kind)}
    hints, values = get_type_hints(kind), {}
    for key, given in table.items():
        field = fields.get(key)
        if field is None:
            say(name, key, f"no such key{_nearest(key, fields)}")
            continue
        try:
            value = msgspec.convert(given, hints[field.name], dec_hook=decode)
        except msgspec.ValidationError as fault:
            say(name, key, str(fault).replace(" - at `$`", ""))
            continue
        least, most = kind.RANGES.get(field.name, (None, None))
        if least is not None and not least <= value <= most:
            say(name, key, f"{given!r} is out of range")
        values[field.name] = value
    for key, field in fields.items():
        if key not in table and field.required:
            say(name, key, "is needed")
    return values


def _nearest(name: str, known: Any) -> str:
    near = difflib.get_close_matches(name, list(known), 1)
    return f"; did you mean {near[0]!r}?" if near else ""


def _lines(text: str) -> dict[tuple[str, str], int]:
    """Where each section and key stands; the section alone under the key ""."""
    found: dict[tuple[str, str], int] = {}
    section: tuple[str, str] = ("", "")
    for number, line in enumerate(text.splitlines(), 1):
        if head := HEAD.match(line):
            first, _, rest = head[1].replace('"', "").partition(".")
            section = first.strip(), rest.strip()
            found.setdefault((section[0], ""), number)
            if section[1]:
                found.setdefault(section, number)
        elif (key := KEY.match(line)) and not section[1]:
            found.setdefault((section[0], key[1]), number)
            if not section[0]:
                found.setdefault((key[1], ""), number)
    return found
