"""Whose an address is: the one rule that says where a call may be written.

The host list may give an address to another host at any moment: the host that had it has left or moved, or
the new one is listed before the old one is taken out.  A call that was decided before keeps the address it
was given, so `AddressOwners.may_receive` is asked again before its first byte and before its last.

    the list                                                    may a call to the old endpoint be written?
    the host is listed with this destination and address        yes
    the host has left, and nobody has its address               yes; its drain grace is the engine's matter
    another host is listed at the address                       no, whether or not the old one is still listed
    the host is listed at another address                       no
    the host is listed with another destination                 no
    the host has left and is listed again                       no: the call was decided for a host that left

Of several hosts listed at one address, the one that was listed there last has it; in one update, a host that
is not draining before one that is, then the later entry.  The others count as gone until it leaves: then the
address falls back to the one before, as a new endpoint.

No I/O and no clock; an update takes time in proportion to its entries.
"""

from __future__ import annotations

from collections.abc import Container, Iterable, Mapping
from dataclasses import dataclass, replace

from millweir.interface import Entry, Phase

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class ListedHost:
    """An entry of the list: what the engine is told of a host, and its address."""

    entry: Entry
    address: Address


@dataclass(frozen=True, slots=True, eq=False)
class Endpoint:
    """A host at an address for as long as it has that address to itself; each time is another endpoint."""

    name: str
    address: Address
    destination: int


class AddressOwners:
    """The listed hosts and which of them has which address."""

    __slots__ = ("_claims", "_endpoints", "_listed")

    def __init__(self) -> None:
        self._listed: dict[str, ListedHost] = {}
        self._claims: dict[Address, list[str]] = {}  # hosts listed at an address, the latest one last
        self._endpoints: dict[str, Endpoint] = {}  # of the hosts that have their address

    def get_endpoint(self, name: str) -> Endpoint | None:
        """Return a host's endpoint; None for a host that is not listed or whose address another one has."""
        return self._endpoints.get(name)

    def may_receive(self, endpoint: Endpoint, destination: int) -> bool:
        """Whether bytes of a message for that destination may be written to the endpoint now."""
        if endpoint.destination != destination:
            return False
        if endpoint.name in self._listed:
            return self._endpoints.get(endpoint.name) is endpoint
        return endpoint.address not in self._claims

    def is_name_of(self, endpoint: Endpoint) -> bool:
        """Whether the endpoint's name stands for a host of the same destination still, or has left."""
        host = self._listed.get(endpoint.name)
        return host is None or host.entry.destination == endpoint.destination

    def list_names_except(self, names: Container[str]) -> list[str]:
        """Return the names of the listed hosts that are not among these."""
        return [name for name in self._listed if name not in names]

    def list_rivals(self, endpoint: Endpoint) -> list[str]:
        """Return the other hosts that are listed at the endpoint's address."""
        return [name for name in self._claims[endpoint.address] if name != endpoint.name]

    def update(self, listed: Mapping[str, ListedHost], removed: Iterable[str]) -> list[Entry]:
        """Apply an update of the list; return the entries of the hosts that it concerns.

        These are the hosts that it lists, and those listed at an address where it has changed something.  A
        host whose address another one has is given as gone.
        """
        changed: dict[Address, None] = {}
        affected = dict.fromkeys(listed)
        for name in removed:
            self._withdraw_claim(name, changed)
        for name, host in sorted(listed.items(), key=_has_stronger_claim):
            old = self._listed.get(name)
            if old is None or _is_elsewhere(old, host):
                self._withdraw_claim(name, changed)
                self._claims.setdefault(host.address, []).append(name)
                changed[host.address] = None
            self._listed[name] = host
        for address in changed:
            self._assign(address)
            affected.update(dict.fromkeys(self._claims.get(address, ())))
        return list(map(self._find_usable_entry, affected))

    def _find_usable_entry(self, name: str) -> Entry:
        entry = self._listed[name].entry
        return entry if name in self._endpoints else replace(entry, phase=Phase.GONE)

    def _withdraw_claim(self, name: str, changed: dict[Address, None]) -> None:
        host = self._listed.pop(name, None)
        if host is None:
            return
        self._endpoints.pop(name, None)
        claims = self._claims[host.address]
        claims.remove(name)
        if not claims:
            del self._claims[host.address]
        changed[host.address] = None

    def _assign(self, address: Address) -> None:
        """Give the address to the host that was listed there last."""
        claims = self._claims.get(address, [])
        for name in claims[:-1]:
            self._endpoints.pop(name, None)
        if claims and claims[-1] not in self._endpoints:
            name = claims[-1]
            self._endpoints[name] = Endpoint(name, address, self._listed[name].entry.destination)


def _is_elsewhere(old: ListedHost, new: ListedHost) -> bool:
    return old.address != new.address or old.entry.destination != new.entry.destination


def _has_stronger_claim(row: tuple[str, ListedHost]) -> bool:
    return row[1].entry.phase is not Phase.DRAINING
