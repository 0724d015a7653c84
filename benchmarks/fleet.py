"""Summarizes the log events of a whole fleet: by kind, second, relay and host.

    python benchmarks/fleet.py LOGS          a folder with one log file per relay
    python benchmarks/fleet.py LOGS --top 5  the relays and hosts with the most events of each kind

Reads the lines that the relays print (docs/on-call.md); a timestamp that a log collector put before their own
is skipped.  The counts are of lines; lines that a relay's log dropped ('log dropped=') are shown separately.
"""

from __future__ import annotations

import argparse
import re
from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path

LINK_END_LINE = re.compile(r"link-end peer=(\S+) reason=([\w-]+)(?:.* requests=(\d+))?")
DROPPED_LINE = re.compile(r"log dropped=(\d+)")
TIMESTAMP = re.compile(r"\d+\.\d+$")


@dataclass
class LineCounts:
    """Line counts by kind: per second since the first line, per relay and per host."""

    by_second: defaultdict[int, Counter[str]] = field(default_factory=lambda: defaultdict(Counter))
    by_relay: defaultdict[str, Counter[str]] = field(default_factory=lambda: defaultdict(Counter))
    by_host: defaultdict[str, Counter[str]] = field(default_factory=lambda: defaultdict(Counter))
    dropped: int = 0

    def total_by_kind(self) -> Counter[str]:
        return sum(self.by_relay.values(), Counter())


def classify_line(text: str) -> tuple[str, str]:
    """Return the kind of a line and the host it is about, or ''."""
    if found := LINK_END_LINE.match(text):
        peer, reason, requests = found[1].partition("/")[0], found[2], found[3]
        if peer in ("discovery", "notices"):
            return f"{peer} {reason}", ""
        if reason == "told-close" and requests == "1":
            reason = "closed-at-once"  # closed by the first response: mostly a full connection table
        return f"link {reason}", peer
    return text.split(" ", 1)[0], ""


def count_lines(logs: Iterable[tuple[str, Iterable[str]]]) -> LineCounts:
    """Count the lines of each (relay name, lines) pair of `logs`."""
    line_counts, rows = LineCounts(), []
    for relay, lines in logs:
        for line in lines:
            words = line.split()
            at = None
            while words and TIMESTAMP.match(words[0]):
                at = float(words.pop(0))  # the relay's own timestamp is the last one
            if at is None or not words:
                continue  # not a log event: a traceback or a truncated line
            text = " ".join(words)
            if found := DROPPED_LINE.match(text):
                line_counts.dropped += int(found[1])
            rows.append((at, relay, *classify_line(text)))
    first_at = min((row[0] for row in rows), default=0.0)
    for at, relay, kind, host in rows:
        line_counts.by_second[int(at - first_at)][kind] += 1
        line_counts.by_relay[relay][kind] += 1
        if host:
            line_counts.by_host[host][kind] += 1
    return line_counts


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("logs", type=Path)
    parser.add_argument("--top", type=int, default=3)
    arguments = parser.parse_args()
    files = sorted(arguments.logs.glob("*.log"))
    if not files:
        parser.error(f"no *.log in {arguments.logs}")
    line_counts = count_lines((path.stem, path.read_text(errors="replace").splitlines()) for path in files)
    print(f"{len(files)} relays; lines that the logs dropped: {line_counts.dropped}")
    for kind, count in line_counts.total_by_kind().most_common():
        for what, table in (("relays", line_counts.by_relay), ("hosts", line_counts.by_host)):
            shares = Counter({name: counts[kind] for name, counts in table.items() if counts[kind]})
            if shares:
                most = ", ".join(f"{name} {share}" for name, share in shares.most_common(arguments.top))
                print(f"{kind:28} {count:7}  most, {what}: {most}")
    for second in sorted(line_counts.by_second):
        counts = line_counts.by_second[second]
        print(f"{second:4} s  " + "  ".join(f"{kind}={counts[kind]}" for kind in sorted(counts)))


if __name__ == "__main__":
    main()
