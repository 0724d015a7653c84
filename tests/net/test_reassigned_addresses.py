"""Calls that keep an address which the host list gives to another host before they are written."""

import asyncio
import json
import os
import socket
from dataclasses import replace

import pytest
from rig import Platform, reply

from millweir.interface import MILLISECOND, Change, Outcome
from millweir.net import clock, connection_pool
from millweir.net.discovery import decode_host_list
from net.inside import request, run_with_relay
from net.test_calls import HOLD_TIME_NS, accept_all, submit_messages, wait_for_held_call
from net.test_restored import GatedDiscovery

OLD, NEW = 0, 1  # destinations of the host that had the address and of the one that has it now
CONNECT_TIMEOUT_SECONDS = 5.0
AT_ONCE_SECONDS = 1.0


class AddressGate:
    """The event loop, except that connections to one address do not come up before `open` is set."""

    def __init__(self, loop, address):
        self._loop, self._address = loop, address
        self.open = asyncio.Event()
        self.waiting = 0
        self.transport = self.on_connected = None

    def __getattr__(self, name):
        return getattr(self._loop, name)

    async def create_connection(self, factory, host, port):
        if f"{host}:{port}" == self._address:
            self.waiting += 1
            await self.open.wait()
        self.transport, protocol = await self._loop.create_connection(factory, host, port)
        if self.on_connected:
            self.on_connected()
            await asyncio.sleep(0)  # where a withdrawal takes effect
        return self.transport, protocol


class NarrowLoop:
    """The event loop, except that the system keeps little of what is written to its connections."""

    def __init__(self, loop):
        self._loop = loop

    def __getattr__(self, name):
        return getattr(self._loop, name)

    async def create_connection(self, *given):
        transport, protocol = await self._loop.create_connection(*given)
        with socket.socket(fileno=os.dup(transport.get_extra_info("socket").fileno())) as same_socket:
            same_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        return transport, protocol


def change_together(platform, *rows):
    """Change several entries of the list at once."""
    with platform.changed:
        for row in rows:
            platform.add(**row)


async def reassign_in_one_change(platform, relay, address):
    change_together(
        platform, {"name": "h0", "status": "DELETED"}, {"name": "new", "group": NEW, "address": address}
    )


async def reassign_in_two_changes(platform, relay, address):
    platform.add("h0", status="DELETED")
    await relay.until(lambda: relay.is_listed("own") and not relay.is_listed("h0"))
    platform.add("new", group=NEW, address=address)


async def reassign_after_a_drain(platform, relay, address):
    platform.add("h0", status="DRAINING")
    await relay.until(lambda: relay.server._engine._relay._hosts[b"h0"].drain_started_at)
    await reassign_in_two_changes(platform, relay, address)


async def list_new_owner_beside_old_one(platform, relay, address):
    platform.add("new", group=NEW, address=address)


async def list_new_owner_before_a_drain_of_the_old_one(platform, relay, address):
    platform.add("new", group=NEW, address=address)
    await relay.until(lambda: relay.is_listed("new"))
    platform.add("h0", status="DRAINING")


async def list_both_in_a_whole_list(platform, relay, address):
    with platform.changed:
        platform.add("new", group=NEW, address=address)
        platform.raw_list = json.dumps(platform.list()).encode()


async def move_host(platform, relay, address):
    change_together(
        platform,
        {"name": "h0", "address": platform.serve("h0-moved", platform.host)},
        {"name": "new", "group": NEW, "address": address},
    )


async def return_name_with_another_destination(platform, relay, address):
    platform.add("h0", status="DELETED")
    await relay.until(lambda: relay.is_listed("own") and not relay.is_listed("h0"))
    platform.add("h0", group=NEW)


async def change_destination(platform, relay, address):
    platform.add("h0", group=NEW)


HANDOVERS = [
    reassign_in_one_change,
    reassign_in_two_changes,
    reassign_after_a_drain,
    list_new_owner_beside_old_one,
    list_new_owner_before_a_drain_of_the_old_one,
    list_both_in_a_whole_list,
    move_host,
    return_name_with_another_destination,
    change_destination,
]


async def begin_connecting(relay, platform, idents, profile):
    gate = AddressGate(relay.server._hosts.loop, platform.rows["h0"]["address"])
    relay.server._hosts.loop = gate
    await submit_messages(relay, *idents, profile=profile)
    await relay.until(lambda: gate.waiting)
    return gate


async def begin_writing(relay, platform, idents, profile):
    """Write a call except for its last byte."""
    await submit_messages(relay, *idents, profile=profile)
    await wait_for_held_call(relay)


async def begin_resting(relay, platform, idents, profile):
    """Let a call wait for the rest of the connection that it is to be written to."""
    await submit_messages(relay, "before")
    await relay.until(lambda: relay.server._hosts._idle)
    relay.patch.setattr(connection_pool.ConnectionPool, "remaining_rest", lambda *_: HOLD_TIME_NS)
    await submit_messages(relay, *idents, profile=profile)
    await relay.until(lambda: relay.server._hosts._resting)


STAGES = [begin_connecting, begin_writing, begin_resting]


@pytest.mark.parametrize("hand_over", HANDOVERS, ids=lambda step: step.__name__)
@pytest.mark.parametrize(
    "begin, profile, idents",
    [
        *((begin, "once", ["late"]) for begin in STAGES),
        (begin_connecting, "again", ["p0", "p1", "p2"]),
        (begin_writing, "marked", ["m0"]),
    ],
    ids=["connecting", "writing", "resting", "batch", "keyed"],
)
def test_a_message_went_to_another_destinations_host_that_took_the_address(
    tmp_path, monkeypatch, hand_over, begin, profile, idents
):
    """Guards against bytes on an address that the list has given to another destination's host."""
    kind = "big" if len(idents) > 1 else "small"
    platform = Platform(hosts=1, kind=kind)
    platform.decide = accept_all

    async def steps(relay):
        address = platform.rows["h0"]["address"]
        relay.is_listed = lambda name: name in relay.server._hosts._pools
        relay.server._hosts._connect_timeout = CONNECT_TIMEOUT_SECONDS
        gate = await begin(relay, platform, idents, profile)
        relay.server._hosts.bounds = replace(relay.server._hosts.bounds, last_byte_hold_ns=2 * MILLISECOND)
        platform.add("own", kind, group=OLD)
        await relay.until(lambda: relay.is_listed("own"))
        await hand_over(platform, relay, address)
        await relay.until(lambda: not relay.server._journal.owed, AT_ONCE_SECONDS)
        if gate:
            gate.open.set()
        await submit_messages(relay, "next", dest=NEW)
        await relay.until(lambda: not relay.server._journal.owed)
        await asyncio.sleep(0.05)
        received = {
            ident: {call.who for call in platform.calls if ident in call.body.decode() or call.id == ident}
            for ident in (*idents, "next")
        }
        assert received.pop("next") == {"h0"}  # the listener of the address
        assert all(who <= {"own", "h0-moved"} and len(who) == 1 for who in received.values()), received
        assert not platform.notifications

    run_with_relay(platform, tmp_path, monkeypatch, steps, last_byte_hold_ns=HOLD_TIME_NS)


def test_a_call_connected_to_an_address_whose_host_had_left_the_list(tmp_path, monkeypatch):
    """Guards the time until the list names the address's next host: a connection opened now may reach it."""
    platform = Platform(hosts=1)

    async def steps(relay):
        gate = await begin_connecting(relay, platform, ["late"], "once")
        change_together(platform, {"name": "h0", "status": "DELETED"}, {"name": "own", "group": OLD})
        await relay.until(lambda: platform.sent("late"), AT_ONCE_SECONDS)
        gate.open.set()
        await asyncio.sleep(0.05)
        assert [call.who for call in platform.calls] == ["own"] and not platform.notifications

    run_with_relay(platform, tmp_path, monkeypatch, steps)


@pytest.mark.parametrize("begin", STAGES)
def test_a_call_went_out_on_a_connection_to_the_process_before_a_hosts_restart(tmp_path, monkeypatch, begin):
    """Guards the list's time of start: what is open leads to a process that has gone, or to nobody."""
    platform = Platform(hosts=1)

    async def steps(relay):
        hosts = relay.server._hosts
        await begin(relay, platform, ["late"], "once")
        relay.patch.undo()
        hosts.loop = relay.server._loop
        hosts.bounds = replace(hosts.bounds, last_byte_hold_ns=2 * MILLISECOND)
        (call,) = hosts._calls.values()
        earlier = call.connection or next(iter(hosts._resting), None)
        request_count = earlier and earlier.request_count
        with platform.changed:
            platform.add("h0")
            platform.rows["h0"]["since_ms"] = 1
        await relay.until(lambda: platform.sent("late"), AT_ONCE_SECONDS)
        assert earlier is None or earlier.request_count == request_count
        assert earlier not in hosts._idle and hosts._idle
        assert len(platform.sent("late")) == 1 and not platform.notifications

    run_with_relay(platform, tmp_path, monkeypatch, steps, last_byte_hold_ns=HOLD_TIME_NS)


def test_a_call_by_the_cached_list_went_to_the_host_that_has_the_address_now(tmp_path, monkeypatch):
    """Guards the start: the first list from discovery contradicts the one of the last run."""
    platform = GatedDiscovery(hosts=1)
    address = platform.rows["h0"]["address"]
    known = platform.list() | {"index": 0}
    platform.gate.clear()

    async def steps(relay):
        gate = relay.server._hosts.loop = AddressGate(relay.server._hosts.loop, address)
        relay.server._hosts._connect_timeout = CONNECT_TIMEOUT_SECONDS
        await submit_messages(relay, "late")
        await relay.until(lambda: gate.waiting)
        change_together(
            platform,
            {"name": "own", "group": OLD},
            {"name": "h0", "status": "DELETED"},
            {"name": "new", "group": NEW, "address": address},
        )
        platform.gate.set()
        await relay.until(lambda: platform.sent("late"), AT_ONCE_SECONDS)
        gate.open.set()
        await submit_messages(relay, "next", dest=NEW)
        await relay.until(lambda: platform.sent("next"))
        assert [call.who for call in platform.calls] == ["own", "h0"] and not platform.notifications

    run_with_relay(platform, tmp_path, monkeypatch, steps, {"known": known}, startup_list_wait_ns=MILLISECOND)


def test_the_unsent_rest_of_a_call_followed_a_change_of_the_address(tmp_path, monkeypatch):
    """Guards the last byte where it waits in this process: the peer takes the call slowly."""
    platform, bodies = Platform(hosts=0, kind="big"), [b"x" * 60_000] * 5
    platform.decide = accept_all
    slow = socket.create_server(("127.0.0.1", 0))
    slow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    address = f"127.0.0.1:{slow.getsockname()[1]}"
    platform.add("slow", "big", address=address)

    async def steps(relay):
        relay.server._hosts.loop = NarrowLoop(relay.server._hosts.loop)
        relay.server._engine.apply_retry_after(
            clock.monotonic_ns(), b"slow", clock.monotonic_ns() + 50 * MILLISECOND
        )
        (client,) = await relay.connect_clients()
        for number, body in enumerate(bodies):
            client.send(request(f"p{number}", "once", body=body))
        calls = relay.server._hosts._calls
        await relay.until(lambda: any(call._journaled_trips for call in calls.values()))
        (call,) = calls.values()
        assert call.connection._transport.get_write_buffer_size()
        change_together(
            platform,
            {"name": "own", "kind": "big"},
            {"name": "slow", "status": "DELETED"},
            {"name": "new", "kind": "big", "group": NEW, "address": address},
        )
        await relay.until(lambda: not relay.server._journal.owed)
        rows = [row["id"] for call in platform.calls for row in call.rows]
        assert sorted(rows) == [f"p{number}" for number in range(len(bodies))] and not platform.notifications

    with slow:
        run_with_relay(platform, tmp_path, monkeypatch, steps)


def test_a_call_that_was_decided_before_its_host_left_counted_as_a_failed_connect(tmp_path, monkeypatch):
    """Guards the time from the decision to the start of a call, which may be another turn of the loop."""
    platform = Platform(hosts=1)

    async def steps(relay):
        hosts, outcomes = relay.server._hosts, []
        start_call, report = hosts.start_call, hosts.report

        def start_after_an_update(job):
            hosts.start_call = start_call
            change_together(platform, {"name": "h0", "status": "DELETED"}, {"name": "own"})
            update = decode_host_list(platform.list(platform.index - 2), relay.server._watch._settings)
            relay.server.host_list.receive(Change.DELTA, update)
            start_call(job)

        def record(part, outcome, *given):
            outcomes.append(outcome)
            report(part, outcome, *given)

        hosts.start_call, hosts.report = start_after_an_update, record
        await submit_messages(relay, "late")
        await relay.until(lambda: platform.sent("late"))
        assert outcomes[0] is Outcome.MOOT
        assert [call.who for call in platform.calls] == ["own"] and not platform.notifications

    run_with_relay(platform, tmp_path, monkeypatch, steps)


def test_a_connection_that_came_up_as_its_call_was_withdrawn_stayed_open(tmp_path, monkeypatch):
    """Guards against a connection that nobody owns: to an address of another host."""
    platform = Platform(hosts=1)

    async def steps(relay):
        hosts = relay.server._hosts
        gate = await begin_connecting(relay, platform, ["late"], "once")
        hosts.loop = relay.server._loop
        (call,) = hosts._calls.values()
        gate.on_connected = call.withdraw
        gate.open.set()
        await relay.until(lambda: platform.sent("late"))
        assert gate.transport.is_closing()

    run_with_relay(platform, tmp_path, monkeypatch, steps)


def test_the_wait_of_a_host_bound_the_one_of_another_destination_that_has_its_name_now(tmp_path, monkeypatch):
    """Guards against a retry-after that is remembered by the host's name alone."""
    platform = Platform(hosts=1)
    platform.decide = lambda call: reply(429, Retry_After=3)

    async def steps(relay):
        await submit_messages(relay, "refused", left="2000m")
        await relay.until(lambda: relay.server._retry_after_waits._wait_ends)
        platform.decide = lambda call: reply(200)
        platform.add("h0", group=NEW)
        await relay.until(lambda: relay.server._hosts._pools["h0"].endpoint.destination == NEW)
        platform.add("h0", group=NEW, rate=40.0)  # the waits of the hosts of an update are applied
        await submit_messages(relay, "next", dest=NEW)
        await relay.until(lambda: platform.sent("next"), AT_ONCE_SECONDS)
        assert not relay.server._retry_after_waits._wait_ends

    run_with_relay(platform, tmp_path, monkeypatch, steps)
