"""Table of the known members, with the indexes derived from it: active members, gone members, digest."""

from __future__ import annotations

import random
from collections.abc import Iterable

from millweir.members.messages import MemberRecord, mark
from millweir.members.probing import ActiveMembers
from millweir.members.rules import Address
from millweir.members.view import Member, MemberStatus


class MemberTable:
    """The known members by name, and indexes that are updated with each row.

    Adding or removing an active member moves n list entries.  Every other operation takes the same time
    for any number of members, except the search for the longest inactive member in a full table.
    """

    __slots__ = ("changed_at", "contacts", "digest", "gone", "max_members", "active_members", "members")

    def __init__(self, max_members: int, rng: random.Random, now: int, contacts: Iterable[Address]) -> None:
        self.max_members = max_members
        self.members: dict[str, Member] = {}
        self.active_members = ActiveMembers(rng)
        self.gone: list[Member] = []  # in the order in which they were found gone
        # Number of active members at each contact address.
        self.contacts: dict[Address, int] = dict.fromkeys(contacts, 0)
        self.digest = 0  # equal for two tables with the same active members
        self.changed_at = now  # when the digest last changed

    def add(self, now: int, record: MemberRecord, status: MemberStatus) -> Member:
        """Adds a member whose name is not in the table."""
        member = self.members[record.name] = Member(record, now)
        member.status = status
        if member.active:
            self.active_members.insert(member)
            self._count_active(now, record, 1)
        elif status is MemberStatus.GONE:
            self.gone.append(member)
        return member

    def update(self, now: int, member: Member, record: MemberRecord, status: MemberStatus) -> None:
        """Sets the current record and status of a member."""
        was_active, was_gone = member.active, member.status is MemberStatus.GONE
        if was_active:
            self._count_active(now, member.record, -1)
        member.record, member.status = record, status
        if member.active:
            self._count_active(now, record, 1)
        if member.active and not was_active:
            self.active_members.insert(member)
        elif was_active and not member.active:
            self.active_members.remove(member)
        if status is MemberStatus.GONE and not was_gone:
            self.gone.append(member)
        elif was_gone and status is not MemberStatus.GONE:
            self.gone.remove(member)

    def set_contacts(self, contacts: Iterable[Address]) -> None:
        """Replaces the contacts."""
        self.contacts = dict.fromkeys(contacts, 0)
        for member in self.active_members:
            self._count_contact(member.record, 1)

    def has_room(self) -> bool:
        """Whether one more name fits; removes the longest inactive member if that is needed."""
        return len(self.members) < self.max_members or self._remove_longest_inactive()

    def remove_gone_before(self, time: int) -> None:
        """Removes the members that have been gone since before `time`."""
        while self.gone and self.gone[0].status_since < time:
            del self.members[self.gone.pop(0).record.name]

    def _remove_longest_inactive(self) -> bool:
        if len(self.members) == len(self.active_members):
            return False  # all are active
        inactive = [(member.status_since, name) for name, member in self.members.items() if not member.active]
        if not inactive:
            return False
        member = self.members.pop(min(inactive)[1])
        if member.status is MemberStatus.GONE:
            self.gone.remove(member)
        return True

    def _count_active(self, now: int, record: MemberRecord, change: int) -> None:
        """Updates the digest and the contacts for one active member more or less."""
        self.digest ^= mark(record.name, record.incarnation, record.run_id)
        self.changed_at = now
        self._count_contact(record, change)

    def _count_contact(self, record: MemberRecord, change: int) -> None:
        if record.address in self.contacts:
            self.contacts[record.address] += change
