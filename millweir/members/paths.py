"""Table of the reports that a path between two members is down."""

from __future__ import annotations

from millweir.members.messages import PathReport
from millweir.members.rules import MILLISECOND

PathKey = tuple[str, str, str]  # start, end, and which of them reports it


class PathTable:
    """The newest report about each path, in a table of bounded size."""

    __slots__ = ("_max_reports", "_sequence", "reports")

    def __init__(self, max_reports: int) -> None:
        self._max_reports = max_reports
        self._sequence = 0  # of this member's own reports
        self.reports: dict[PathKey, PathReport] = {}

    def create_report(self, now: int, start: str, end: str, reporter: str, down: bool) -> PathReport:
        """Returns a report of this member, newer than all before it, even those of an earlier process run."""
        self._sequence = max(self._sequence + 1, now // MILLISECOND)
        return PathReport(start, end, reporter, self._sequence, down)

    def is_newer(self, report: PathReport) -> bool:
        """Whether a report is newer than the stored one; if none is stored, only "down" is new."""
        known = self.reports.get(path_key(report))
        if known:
            return report.sequence > known.sequence
        return report.sequence > -1 and report.down

    def store(self, report: PathReport) -> None:
        """Stores a report; a full table drops a report that a path is up again, or else the oldest one."""
        key = path_key(report)
        self.reports.pop(key, None)
        self.reports[key] = report
        if len(self.reports) > self._max_reports:
            up_again = (old_key for old_key, old in self.reports.items() if not old.down)
            self.reports.pop(next(up_again, next(iter(self.reports))))

    def remove_reports_by(self, name: str) -> None:
        """Removes all reports of one member."""
        for key in [key for key, report in self.reports.items() if report.reporter == name]:
            del self.reports[key]


def path_key(report: PathReport) -> PathKey:
    return report.start, report.end, report.reporter
