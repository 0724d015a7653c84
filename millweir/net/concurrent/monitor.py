"""The one place that looks at the other live processes of the folder, and tells this one what has changed.

Without another process it looks for one now and then; while there is one, every few milliseconds, and at once
where a message is taken.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

from millweir.interface import Bounds, Settings
from millweir.net import clock
from millweir.net.concurrent.folder_lock import hold_folder_lock
from millweir.net.concurrent.journal_files import ConcurrentJournals
from millweir.net.concurrent.key_turns import KeyTurns
from millweir.net.journal import Journal
from millweir.net.log import Log
from millweir.net.owed_message import OwedMessage
from millweir.net.service_classes import ServiceClasses


class ConcurrencyHandler(Protocol):
    """What is told of the other processes."""

    def adopt_messages(self, messages: list[OwedMessage]) -> None:
        """Take over messages that an ended process still owed; they are in this process's journal."""

    def update_keys(self, keys: set[int]) -> None:
        """The messages of these keys may wait for other ones than before."""

    def read_shared_files(self) -> None:
        """Read the files that each process of the folder may have written."""


class ConcurrentProcesses:
    """Watches the folder's other processes, and takes over what they owe when they end."""

    __slots__ = (
        "_adopt_at",
        "_bounds",
        "_handler",
        "_is_closed",
        "_journal",
        "_journals",
        "_late_records_at",
        "_log",
        "_loop",
        "turns",
    )

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        journal: Journal,
        bounds: Bounds,
        service_classes: ServiceClasses,
        handler: ConcurrencyHandler,
        log: Log,
    ) -> None:
        self._loop, self._journal, self._bounds = loop, journal, bounds
        self._handler, self._log = handler, log
        self._journals = ConcurrentJournals(journal.folder, journal.list_other_file_names())
        self.turns = KeyTurns(journal.slot, service_classes.keeps_order)
        self.set_key_quiet_time(service_classes.settings)
        self._adopt_at = self._late_records_at = 0
        self._is_closed = False

    @property
    def are_present(self) -> bool:
        """Whether the last look found another process, or what an ended one has left."""
        return bool(self._journals.files)

    def start(self) -> None:
        self._read_journals()
        self._schedule_look()

    def close(self) -> None:
        self._is_closed = True

    def set_key_quiet_time(self, settings: Settings) -> None:
        """Use the quiet time of these settings; one that is in force already is not shortened."""
        quiet_time = settings.key_quiet_period + self._bounds.concurrent_key_margin_ns
        self.turns.quiet_time = max(self.turns.quiet_time, quiet_time)

    def knows_id(self, message_id: bytes) -> bool:
        """Whether another process has accepted an id, as of now."""
        try:
            is_known = message_id in self._journals
        except OSError as error:
            self._log.info(f"journal-failed concurrent {error}")
            return False
        if self._journals.has_changes:
            self._apply_journal_changes()
        return is_known

    def record_accepted(self, message: OwedMessage) -> None:
        """Record a message before its client is answered; OSError where that can't be done.

        Rule 5 (order per key): the other journals are read and the message is recorded under one lock, so
        that of two processes that each take a message of a key, one sees the other's.
        """
        if not (message.key and self.are_present):
            message.taken_at = clock.monotonic_ns()
            self._journal.record_accepted(message)
            return
        with hold_folder_lock(self._journal.folder, self._bounds.folder_lock_wait_ns / 1e9):
            self._journals.read()
            message.taken_at = clock.monotonic_ns()
            self._journal.record_accepted(message)
        self._apply_journal_changes()

    def _schedule_look(self) -> None:
        needs_poll = self.are_present or self.turns
        interval = self._bounds.concurrent_poll_ns if needs_poll else self._bounds.concurrent_search_ns
        self._loop.call_later(interval / 1e9, self._look)

    def _look(self) -> None:
        if self._is_closed:
            return
        try:
            self._take_stock(clock.monotonic_ns())
        finally:
            self._schedule_look()

    def _take_stock(self, now: int) -> None:
        self._read_journals()
        self._adopt_orphans(now)
        self._handler.read_shared_files()
        if freed_keys := self.turns.end_quiet_times(now):
            self._handler.update_keys(freed_keys)
        if now >= self._late_records_at:
            self._late_records_at = now + self._bounds.client_grace_ns
            self._journal.write_late_records()

    def _read_journals(self) -> None:
        try:
            self._journals.read()
        except OSError as error:
            self._log.info(f"journal-failed concurrent {error}")
        self._apply_journal_changes()

    def _apply_journal_changes(self) -> None:
        now = clock.monotonic_ns()
        changed_keys: set[int] = set()
        for file in self._journals.files.values():
            changed_keys |= self.turns.apply_changes(file.slot, file.view.take_changes(), now)
        for file in self._journals.take_removed():
            file.view.end_all()
            changed_keys |= self.turns.apply_changes(file.slot, file.view.take_changes(), now)
        if changed_keys:
            self._handler.update_keys(changed_keys)

    def _adopt_orphans(self, now: int) -> None:
        """Take over what ended processes of the folder still owed, as in an upgrade.

        Rule 1 (every accepted message gets a final outcome).
        """
        if not self.are_present or now < self._adopt_at:
            return
        try:
            adopted = self._journal.adopt_orphans()
        except OSError as error:
            self._log.info(f"journal-failed adopt {error}")
            return
        if self._journal.adoption_failed:
            self._adopt_at = now + self._bounds.client_grace_ns
        if adopted:
            self.turns.adopt(adopted, now)
            self._log.always(f"adopted owed={len(adopted)}")
            self._handler.adopt_messages(adopted)
        self._read_journals()  # the files that were taken over are gone
