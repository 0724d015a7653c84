"""The members that are known: rows by name, those to probe, those held gone, and the digest of the active."""

from __future__ import annotations

import random
from collections.abc import Iterable

from millweir.members.messages import Claim, mark
from millweir.members.probing import Ring
from millweir.members.rules import Address
from millweir.members.view import Degree, Member


class Table:
    """One row a member; what is derived from the rows changes with them, and is never walked for.

    Taking a row in or out of the ring moves n list entries; all else takes the same time in each fleet, but
    for looking who is out longest in a full table.
    """

    __slots__ = ("changed_at", "contacts", "digest", "gone", "most", "ring", "rows")

    def __init__(self, most: int, chance: random.Random, now: int, contacts: Iterable[Address]) -> None:
        self.most = most
        self.rows: dict[str, Member] = {}
        self.ring = Ring(chance)  # the active members
        self.gone: list[Member] = []  # those held gone, the one gone longest first
        self.contacts: dict[Address, int] = dict.fromkeys(contacts, 0)  # how many active members are there
        self.digest = 0  # covers the active members: two tables that agree on them have the same one
        self.changed_at = now  # the digest

    def add(self, now: int, claim: Claim, degree: Degree) -> Member:
        """A row for a name not known before."""
        member = self.rows[claim.name] = Member(claim, now)
        member.degree = degree
        if member.active:
            self.ring.insert(member)
            self._count(now, claim, 1)
        elif degree is Degree.GONE:
            self.gone.append(member)
        return member

    def hold(self, now: int, member: Member, claim: Claim, degree: Degree) -> None:
        """The claim that holds of a member from now on."""
        was_active, was_gone = member.active, member.degree is Degree.GONE
        if was_active:
            self._count(now, member.claim, -1)
        member.claim, member.degree = claim, degree
        if member.active:
            self._count(now, claim, 1)
        if member.active and not was_active:
            self.ring.insert(member)
        elif was_active and not member.active:
            self.ring.remove(member)
        if degree is Degree.GONE and not was_gone:
            self.gone.append(member)
        elif was_gone and degree is not Degree.GONE:
            self.gone.remove(member)

    def set_contacts(self, contacts: Iterable[Address]) -> None:
        """Other contacts than before."""
        self.contacts = dict.fromkeys(contacts, 0)
        for member in self.ring:
            self._count_contact(member.claim, 1)

    def has_room(self) -> bool:
        """For one more name, where need be by forgetting the one that is out longest."""
        return len(self.rows) < self.most or self._forget_one()

    def forget_before(self, at: int) -> None:
        """The rows of those gone since an earlier time go."""
        while self.gone and self.gone[0].since < at:
            del self.rows[self.gone.pop(0).claim.name]

    def _forget_one(self) -> bool:
        if len(self.rows) == len(self.ring):
            return False  # all are active; no need to look
        out = [(member.since, name) for name, member in self.rows.items() if not member.active]
        if not out:
            return False
        member = self.rows.pop(min(out)[1])
        if member.degree is Degree.GONE:
            self.gone.remove(member)
        return True

    def _count(self, now: int, claim: Claim, by: int) -> None:
        """An active member more or less."""
        self.digest ^= mark(claim.name, claim.incarnation, claim.birth)
        self.changed_at = now
        self._count_contact(claim, by)

    def _count_contact(self, claim: Claim, by: int) -> None:
        if claim.address in self.contacts:
            self.contacts[claim.address] += by
