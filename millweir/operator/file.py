"""Reads the operator's file into typed sections; reports every fault at once, each with its line and key.

A component brings its own section type: a msgspec Struct whose `RANGES` names the least and the greatest
value of each number.  This module knows no component, and nothing is started from a file with a fault.
"""

from __future__ import annotations

import difflib
import re
import tomllib
from pathlib import Path
from typing import Any, ClassVar, get_type_hints

import msgspec

from millweir.operator.units import decode_unit

SECTION_PATTERN = re.compile(r"\s*\[\s*([A-Za-z0-9_.\-\" ]+?)\s*\]\s*(?:#.*)?$")
KEY_PATTERN = re.compile(r"\s*([A-Za-z0-9_\-]+)\s*(?:\.|=)")
MAX_FILE_BYTES = 1 << 20


class Section(msgspec.Struct, frozen=True, kw_only=True, rename="kebab"):
    """The base of each component's section."""

    RANGES: ClassVar[dict[str, tuple[int, int]]] = {}

    def faults(self) -> list[tuple[str, str]]:
        """Faults in the combination of several keys, each as key and text."""
        return []


class InvalidOperatorFile(Exception):
    """The file can't be used; `faults` has one line for each reason."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__("\n".join(faults))
        self.faults = faults


def read_operator(path: str, section_types: dict[str, type[Section]]) -> dict[str, Section]:
    """Read the sections of the file, by name; InvalidOperatorFile with all faults."""
    try:
        raw = Path(path).read_bytes()
        if len(raw) > MAX_FILE_BYTES:
            raise InvalidOperatorFile([f"{path}: larger than {MAX_FILE_BYTES} bytes"])
        text = raw.decode()
        document = tomllib.loads(text)
    except OSError as error:
        raise InvalidOperatorFile([f"{path}: can't be read: {error.strerror}"]) from error
    except UnicodeDecodeError as error:
        raise InvalidOperatorFile([f"{path}: not UTF-8 text"]) from error
    except tomllib.TOMLDecodeError as error:
        raise InvalidOperatorFile([f"{path}: {error}"]) from error
    line_numbers, faults, sections = _find_line_numbers(text), [], {}

    def add_fault(section: str, key: str, reason: str) -> None:
        line_number = line_numbers.get((section, key)) or line_numbers.get((section, ""), 1)
        faults.append(f"{path}:{line_number}: {section}{'.' if key else ''}{key}: {reason}")

    for name, table in document.items():
        if name not in section_types:
            add_fault(name, "", f"no such section{_suggest_name(name, section_types)}")
        elif not isinstance(table, dict):
            add_fault(name, "", "want a section, not a value")
        else:
            fault_count = len(faults)
            values = _convert_values(section_types[name], table, name, add_fault)
            if len(faults) == fault_count:
                sections[name] = section_types[name](**values)
                for key, reason in sections[name].faults():
                    add_fault(name, key, reason)
    if faults:
        raise InvalidOperatorFile(faults)
    return sections


def _convert_values(
    section_type: type[Section], table: dict[str, Any], name: str, add_fault: Any
) -> dict[str, Any]:
    """Convert each key by itself, so that one fault doesn't hide the next."""
    fields = {field.encode_name: field for field in msgspec.structs.fields(section_type)}
    hints, values = get_type_hints(section_type), {}
    for key, given in table.items():
        field = fields.get(key)
        if field is None:
            add_fault(name, key, f"no such key{_suggest_name(key, fields)}")
            continue
        try:
            value = msgspec.convert(given, hints[field.name], dec_hook=decode_unit)
        except msgspec.ValidationError as error:
            add_fault(name, key, str(error).replace(" - at `$`", ""))
            continue
        least, greatest = section_type.RANGES.get(field.name, (None, None))
        if least is not None and not least <= value <= greatest:
            add_fault(name, key, f"{given!r} is out of range")
        values[field.name] = value
    for key, field in fields.items():
        if key not in table and field.required:
            add_fault(name, key, "is needed")
    return values


def _suggest_name(name: str, known: Any) -> str:
    matches = difflib.get_close_matches(name, list(known), 1)
    return f"; did you mean {matches[0]!r}?" if matches else ""


def _find_line_numbers(text: str) -> dict[tuple[str, str], int]:
    """The line of each section and key; a section itself is under the key ""."""
    found: dict[tuple[str, str], int] = {}
    section: tuple[str, str] = ("", "")
    for number, line in enumerate(text.splitlines(), 1):
        if header := SECTION_PATTERN.match(line):
            first, _, rest = header[1].replace('"', "").partition(".")
            section = first.strip(), rest.strip()
            found.setdefault((section[0], ""), number)
            if section[1]:
                found.setdefault(section, number)
        elif (key := KEY_PATTERN.match(line)) and not section[1]:
            found.setdefault((section[0], key[1]), number)
            if not section[0]:
                found.setdefault((key[1], ""), number)
    return found
