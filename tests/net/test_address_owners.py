"""Whose an address is: the table of `address_owners.py`, and a model that walks all hosts."""

from __future__ import annotations

import random
from dataclasses import dataclass

import pytest

from millweir.interface import Entry, Phase
from millweir.net.address_owners import AddressOwners, Endpoint, ListedHost

A, B = ("10.0.0.1", 80), ("10.0.0.2", 80)


def listed(name, address=A, destination=0, phase=Phase.READY, started=0):
    return {name: ListedHost(Entry(name.encode(), 0, 0, destination, phase, 1.0), address, started)}


def gone(name):
    return name


def apply(owners, *steps):
    for step in steps:
        entries = owners.update({}, [step]) if isinstance(step, str) else owners.update(step, [])
    return {entry.host.decode(): entry.phase for entry in entries}


@pytest.mark.parametrize(
    "steps, may_receive, owner",
    [
        ([], True, "old"),
        ([listed("old", phase=Phase.DRAINING)], True, "old"),
        ([gone("old")], True, None),
        ([gone("old"), listed("new", B)], True, None),
        ([gone("old"), listed("new", destination=1)], False, "new"),
        ([gone("old"), listed("new")], False, "new"),  # the same destination, but another host
        ([listed("old", phase=Phase.DRAINING), gone("old"), listed("new")], False, "new"),
        ([listed("new")], False, "new"),
        ([listed("new"), listed("old", phase=Phase.DRAINING)], False, "new"),
        ([listed("new"), gone("old")], False, "new"),
        ([listed("old") | listed("new")], False, "new"),
        ([listed("new") | listed("old")], False, "new"),
        ([listed("old", destination=1) | listed("new")], False, "old new"),  # listed there together
        ([listed("old", B)], False, None),
        ([listed("old", B) | listed("new")], False, "new"),
        ([listed("old", B), listed("old")], False, "old"),  # its connections may lead to another host
        ([listed("old", destination=1)], False, "old"),
        ([gone("old"), listed("old", destination=1)], False, "old"),
        ([gone("old"), listed("old")], False, "old"),
        ([listed("new"), gone("new")], False, "old"),
        ([listed("old", started=5)], False, "old"),  # a new process at its address
        ([listed("old", started=5), listed("old", phase=Phase.DRAINING, started=5)], False, "old"),
        ([listed("new"), listed("old", started=5)], False, "old"),
        ([listed("old", destination=1) | listed("new", started=5)], False, "new"),
        ([listed("old", started=5) | listed("new")], False, "old"),
    ],
)
def test_bytes_went_to_an_address_that_had_become_another_hosts(steps, may_receive, owner):
    """Guards the table: what each way of changing hands makes of a call to the endpoint before it."""
    owners = AddressOwners()
    apply(owners, listed("old"))
    endpoint = owners.get_endpoint("old")
    for step in steps:
        apply(owners, step)
    assert owners.may_receive(endpoint, 0) is may_receive
    assert not owners.may_receive(endpoint, 1)
    owning = [name for name in ("old", "new") if (found := owners.get_endpoint(name)) and found.address == A]
    assert owning == (owner or "").split()


@pytest.mark.parametrize("names", [("one", "two"), ("two", "one")])
def test_hosts_that_were_listed_together_at_an_address_lost_it(names):
    """Guards hosts behind one address, none of which took it from the other; one that drains did lose it."""
    owners = AddressOwners()
    both = listed("one") | listed("two", destination=1)
    together = {name: both[name] for name in names}
    assert apply(owners, together) == dict.fromkeys(names, Phase.READY)
    endpoints = [owners.get_endpoint(name) for name in names]
    apply(owners, together, listed("one", phase=Phase.DRAINING))
    assert [owners.get_endpoint(name) for name in names] == endpoints
    assert apply(owners, listed("later")) == {"later": Phase.READY, "one": Phase.GONE, "two": Phase.GONE}
    owners = AddressOwners()
    phases = apply(owners, listed("one") | listed("drains", phase=Phase.DRAINING))
    assert phases == {"one": Phase.READY, "drains": Phase.GONE}


def test_a_host_stayed_gone_when_the_one_that_had_taken_its_address_left():
    """Guards against a host without calls after its address has fallen back to it."""
    owners = AddressOwners()
    assert apply(owners, listed("old"), listed("new")) == {"new": Phase.READY, "old": Phase.GONE}
    assert apply(owners, listed("old", phase=Phase.DRAINING)) == {"old": Phase.GONE}
    assert apply(owners, gone("new")) == {"old": Phase.DRAINING}


@dataclass
class ModelClaim:
    """A listing of a host at an address."""

    address: tuple[str, int]
    destination: int
    since: int


@pytest.mark.parametrize("seed", range(8))
def test_no_two_endpoints_may_receive_at_one_address(seed):
    """Guards the rule over random updates: what is allowed is what a walk over all listings gives."""
    chance, owners = random.Random(seed), AddressOwners()
    claims: dict[str, ModelClaim] = {}
    endpoints: list[Endpoint] = []
    for turn in range(400):
        name, address, destination = (
            chance.choice("abcd"),
            (chance.choice(("x", "y", "z")), 1),
            chance.randrange(2),
        )
        if chance.random() < 0.35:
            apply(owners, name)
            claims.pop(name, None)
        else:
            apply(owners, listed(name, address, destination))
            old = claims.get(name)
            if old is None or (old.address, old.destination) != (address, destination):
                claims[name] = ModelClaim(address, destination, turn)
        latest = {}
        for claimant, claim in sorted(claims.items(), key=lambda row: row[1].since):
            latest[claim.address] = claimant
        for claimant in "abcd":
            endpoint, owns = owners.get_endpoint(claimant), claimant in latest.values()
            assert bool(endpoint) is owns
            if endpoint and endpoint not in endpoints:
                endpoints.append(endpoint)
        allowed = [endpoint for endpoint in endpoints if owners.may_receive(endpoint, endpoint.destination)]
        current = [owners.get_endpoint(claimant) for claimant in latest.values()]
        assert {endpoint for endpoint in allowed if endpoint.name in claims} == set(current)
        # The others have left, and nobody is listed at their addresses.
        assert not {endpoint.address for endpoint in allowed if endpoint.name not in claims} & set(latest)
