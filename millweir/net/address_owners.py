"""Whose an address is: the one rule that says where a call may be written.

The host list may give an address to another host at any moment: the host that had it has left or moved, or
the new one is listed before the old one is taken out.  A call that was decided before keeps the address it
was given, so `AddressOwners.may_receive` is asked again before its first byte and before its last.

    the list                                                    may a call to the old endpoint be written?
    the host is listed with this destination and address        yes
    the host has left, and nobody has its address               on a connection that was open before; one
                                                                opened now may reach the address's next host
    a process of the host has started there since               no: the call goes to that one, on a connection
                                                                of its own
    another host was listed at the address later                no, whether or not the old one is still listed
    the host is listed at another address                       no
    the host is listed with another destination                 no
    the host has left and is listed again                       no: the call was decided for a host that left

Of several hosts listed at one address, the one that was listed there last has it; in one update, one that
does not drain comes after one that does, and of those alike the one that started last.  The others count as
gone until it leaves: then the address falls back to the one before, as a new endpoint.  Hosts alike in all
of this share the address: none took it from the other.

No I/O and no clock; an update takes time in proportion to its entries and the hosts at their addresses.
"""

from __future__ import annotations

from collections.abc import Container, Iterable, Mapping
from dataclasses import dataclass, replace

from millweir.interface import Entry, Phase

Address = tuple[str, int]
Claim = tuple[int, int]  # when a host was listed at an address, by updates, and when its process started


@dataclass(frozen=True, slots=True)
class ListedHost:
    """An entry of the list: what the engine is told of a host, and its address."""

    entry: Entry
    address: Address
    started_at_ms: int = 0  # Unix time of the last start of its process; 0: long ago


@dataclass(frozen=True, slots=True, eq=False)
class Endpoint:
    """A host at an address for as long as it has that address; each time is another endpoint."""

    name: str
    address: Address
    destination: int


class AddressOwners:
    """The listed hosts and which of them has which address."""

    __slots__ = ("_claims", "_endpoints", "_latest_claim", "_listed")

    def __init__(self) -> None:
        self._listed: dict[str, ListedHost] = {}
        # By address: the hosts listed there, each with when it was; a greater number is later.
        self._claims: dict[Address, dict[str, Claim]] = {}
        self._latest_claim = 0
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

    def has_left(self, endpoint: Endpoint) -> bool:
        """Whether the endpoint's host is not listed any more."""
        return endpoint.name not in self._listed

    def is_name_of(self, endpoint: Endpoint) -> bool:
        """Whether the endpoint's name stands for a host of the same destination still, or has left."""
        host = self._listed.get(endpoint.name)
        return host is None or host.entry.destination == endpoint.destination

    def list_names_except(self, names: Container[str]) -> list[str]:
        """Return the names of the listed hosts that are not among these."""
        return [name for name in self._listed if name not in names]

    def list_owners(self, name: str) -> list[str]:
        """Return the hosts that have the address at which this one is listed."""
        return [other for other in self._claims[self._listed[name].address] if other in self._endpoints]

    def update(self, listed: Mapping[str, ListedHost], removed: Iterable[str]) -> list[Entry]:
        """Apply an update of the list; return the entries of the hosts that it concerns.

        These are the hosts that it lists, and those listed at an address where it has changed something.  A
        host whose address another one has is given as gone.
        """
        changed: dict[Address, None] = {}
        affected = dict.fromkeys(listed)
        draining_claim, self._latest_claim = self._latest_claim + 1, self._latest_claim + 2
        for name in removed:
            self._withdraw_claim(name, changed)
        for name, host in listed.items():
            old = self._listed.get(name)
            if old is None or _is_another_process(old, host):
                self._withdraw_claim(name, changed)
                is_draining = host.entry.phase is Phase.DRAINING
                claim = draining_claim if is_draining else self._latest_claim, host.started_at_ms
                self._claims.setdefault(host.address, {})[name] = claim
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
        del claims[name]
        if not claims:
            del self._claims[host.address]
        changed[host.address] = None

    def _assign(self, address: Address) -> None:
        """Give the address to the hosts that were listed there last."""
        claims = self._claims.get(address, {})
        latest = max(claims.values(), default=(0, 0))
        for name, claim in claims.items():
            if claim != latest:
                self._endpoints.pop(name, None)
            elif name not in self._endpoints:
                self._endpoints[name] = Endpoint(name, address, self._listed[name].entry.destination)


def _is_another_process(old: ListedHost, new: ListedHost) -> bool:
    is_elsewhere = old.address != new.address or old.entry.destination != new.entry.destination
    return is_elsewhere or new.started_at_ms > old.started_at_ms
