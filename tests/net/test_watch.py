"""The watch on the host list: silence, closes and address changes during a request, on real sockets."""

import asyncio
import os
import time

import pytest
import uvloop
from rig import settings

from millweir.control import bounds
from millweir.interface import MILLISECOND, SECOND, Change, Limits
from net.agent import Agent, Watched, encode_list, make_row
from net.inside import GatedLoop

EMPTY = b'{"index": 7, "endpoints": []}       '


def run_with_agent(steps):
    """Run one scenario on the event loop that the relay uses."""

    async def run_scenario():
        agent = await Agent().open()
        try:
            await asyncio.wait_for(steps(agent), 20)
        finally:
            agent.close()

    uvloop.run(run_scenario())


@pytest.mark.parametrize("relays", [1, 5, 40, 200, 500])
def test_a_silent_watch_is_detected_in_time_for_a_second_silent_connection_within_the_bound(relays):
    given = bounds(settings(relays=relays), Limits(256, 1 << 20, 64 << 20))
    assert (
        given.watch_wait_ns < given.watch_timeout_ns
        and given.watch_timeout_ns + given.probe_timeouts_ns[1] < given.watch_wait_ns + 2 * SECOND
    )
    assert (
        given.startup_list_wait_ns > given.probe_timeouts_ns[0]
    )  # one silent connection is replaced before calls are sent
    # Half a second a relay, up to 20 s: at 0.1 s a request the fleet uses a fifth of the time of discovery.
    assert given.watch_wait_ns >= min(20, relays / 2) * SECOND


def test_a_watch_that_fell_silent_is_reopened_also_when_the_next_connection_is_silent():
    async def steps(agent):
        watched = Watched(agent)
        first = await agent.next_request()
        assert first.wait_ms == 1  # "no update" and silence look alike: an immediate answer is requested
        first.answer(encode_list(7))
        silent = await agent.next_request()
        assert silent.wait_ms == 200 and silent.connection is first.connection
        requested_at = time.monotonic()
        again = await agent.next_request()  # the watch is not answered
        assert again.connection is not silent.connection and again.wait_ms == 1
        third = await agent.next_request()  # nor is the connection that replaced it
        assert third.connection is not again.connection and third.wait_ms == 1
        assert 0.3 <= time.monotonic() - requested_at < 1.2
        third.answer(encode_list(9, make_row(status="DRAINING")))
        assert (await agent.next_request()).wait_ms == 200
        # No back-off was drawn from the engine.
        assert watched.names == [(9, ["h0"])] and not watched.failures
        watched.watch.close()

    run_with_agent(steps)


def test_a_close_that_crosses_the_next_request_leaves_no_gap_and_is_no_failure():
    async def steps(agent):
        watched = Watched(agent, reconnect_delay_ns=SECOND * 60)
        (await agent.next_request()).answer(encode_list(7))
        crossed = await agent.next_request()
        crossed.end()  # as if it had closed just before the request arrived
        again = await agent.next_request()
        assert again.wait_ms == 200 and again.connection is not crossed.connection
        again.answer(encode_list(8, make_row("h1")))
        await agent.next_request()
        assert watched.names == [(8, ["h1"])] and not watched.counters.counts["list_failures"]
        watched.watch.close()

    run_with_agent(steps)


def test_a_connection_that_is_never_established_inherits_no_extended_timeout():
    async def steps(agent):
        watched = Watched(agent, retry_interval_ns=60 * SECOND, reconnect_delay_ns=1_000_000)
        # An answer has begun.
        (await agent.next_request()).write(b"HTTP/1.1 200 X\r\nContent-Length: 900\r\n\r\n{")
        exchange = watched.watch._pollers[0]._exchange
        gate = exchange._loop = GatedLoop(exchange._loop)
        agent.connections[0].close()
        for _ in range(500):
            if gate.waiting > 1:
                break
            await asyncio.sleep(0.01)
        assert gate.waiting > 1  # connected again after the timeout of one request
        watched.watch.close()

    run_with_agent(steps)


def test_an_answer_that_is_in_the_socket_at_the_timeout_is_read():
    async def steps(agent):
        watched = Watched(agent, proofs=(100, 100, 100))
        request = await agent.next_request()
        body = encode_list(8, make_row("h1"))
        # The process is blocked from before the answer reaches its socket until the timeout is over.
        os.write(
            request.connection.get_extra_info("socket").fileno(),
            b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body),
        )
        time.sleep(0.15)
        following = await agent.next_request()
        assert watched.names == [(8, ["h1"])] and following.connection is request.connection
        assert not watched.counters.counts["list_failures"]
        watched.watch.close()

    run_with_agent(steps)


def test_a_list_that_has_begun_at_the_timeout_gets_more_but_bounded_time():
    async def steps(agent):
        watched = Watched(agent, retry_interval_ns=SECOND // 2, proofs=(100, 100, 100))
        request, body = await agent.next_request(), encode_list(8, make_row("h1"))
        request.write(b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body[:20]))
        await asyncio.sleep(0.25)
        assert agent.requests.empty()
        request.write(body[20:])
        endless = await agent.next_request()
        assert watched.names == [(8, ["h1"])] and endless.connection is request.connection
        endless.write(b"HTTP/1.1 200 X\r\nContent-Length: 1000\r\n\r\n{")
        again = await agent.next_request()
        assert again.connection is not endless.connection and again.wait_ms == 1
        watched.watch.close()

    run_with_agent(steps)


def test_discovery_that_turns_requests_away_is_asked_after_the_back_off_and_with_a_longer_wait():
    async def steps(agent):
        watched = Watched(agent, back_offs_ms=(0, 300))
        (await agent.next_request()).answer(b"", status=503)
        (await agent.next_request()).answer(b"", status=503)
        turned_away = time.monotonic()
        overloaded = await agent.next_request()
        assert time.monotonic() - turned_away >= 0.29 and watched.failures == [1, 2]
        assert overloaded.wait_ms == 200  # one request for the current and the coming updates
        await asyncio.sleep(0.2)  # longer than the timeout of an address that has never answered
        assert agent.requests.empty()
        overloaded.answer(encode_list(8, make_row("h1")))
        await agent.next_request()
        assert watched.names == [(8, ["h1"])]
        watched.watch.close()

    run_with_agent(steps)


def test_only_a_list_is_followed_by_a_long_watch_and_its_connect_is_given_up_soon():
    async def steps(agent):
        watched = Watched(agent, watch=60_000, silence=60_100, back_offs_ms=(0,))
        (await agent.next_request()).answer(encode_list(7))
        (await agent.next_request()).end()  # as if it had closed just before the request arrived
        crossed = await agent.next_request()
        assert crossed.wait_ms == 300 and not watched.counters.counts["list_failures"]
        crossed.answer(b"", status=503)
        turned_away = await agent.next_request()
        # The timeout of a failing address less the transfer time, plus what the back-off (0 was drawn)
        # leaves of the longest one, less a whole request: 400 ms, 1 s for half an answer, 50 ms of pause.
        assert turned_away.wait_ms == 300 + 4000 - 1450
        turned_away.answer(encode_list(7))
        long = await agent.next_request()
        assert long.wait_ms == 60_000
        exchange = watched.watch._pollers[0]._exchange
        gate = exchange._loop = GatedLoop(exchange._loop)
        long.write(b"HTTP/1.1 200 X\r\nConnection: close\r\nContent-Length: 36\r\n\r\n" + EMPTY)
        for _ in range(200):
            if gate.waiting > 1:
                break
            await asyncio.sleep(0.01)
        # The connect of the long watch did not complete: it was given up and repeated.
        assert gate.waiting > 1
        gate.open.set()
        assert (await agent.next_request()).wait_ms == 1
        watched.watch.close()

    run_with_agent(steps)


def test_an_invalid_list_is_requested_again_soon_and_without_limit():
    async def steps(agent):
        watched = Watched(agent, reconnect_delay_ns=1_000_000, retry_interval_ns=4_000_000)
        for _ in range(12):
            (await agent.next_request()).answer(b'{"index":1,"endpoints":[{}]}')
        assert watched.counters.counts["list_failures"] >= 11 and not watched.updates and not watched.failures
        (await agent.next_request()).answer(encode_list(8, make_row("h1")))
        await agent.next_request()
        assert watched.names == [(8, ["h1"])]
        watched.watch.close()

    run_with_agent(steps)


def test_a_silent_new_address_is_asked_again_while_the_old_one_keeps_answering():
    async def steps(old):
        watched, new = Watched(old), await Agent().open()
        (await old.next_request()).answer(encode_list(7))
        watching = await old.next_request()
        watched.watch.change_address(new.address)
        silent = await new.next_request()
        assert silent.wait_ms == 1
        watching.answer(encode_list(8, make_row("h1")))  # the old one keeps answering: no update is missed
        late = await old.next_request()
        again = await new.next_request()
        assert again.connection is not silent.connection and again.wait_ms == 1
        again.answer(encode_list(9, make_row("h2")))
        await new.next_request()
        late.answer(encode_list(10, make_row("h3")))  # an answer for a poller that is closed
        await asyncio.sleep(0.05)
        assert watched.names == [(8, ["h1"]), (9, ["h2"])]
        watched.watch.close()
        new.close()

    run_with_agent(steps)


def test_a_second_move_before_the_first_one_answered_replaces_it():
    async def steps(old):
        watched, first, second = Watched(old), await Agent().open(), await Agent().open()
        (await old.next_request()).answer(encode_list(7))
        watched.watch.change_address(first.address)
        never = await first.next_request()
        watched.watch.change_address(second.address)
        pending = await second.next_request()
        await never.wait_closed()  # no request is left there, before the second address has answered
        pending.answer(encode_list(9, make_row("h2")))
        never.answer(encode_list(10, make_row("h9")))
        assert (await second.next_request()).wait_ms == 200
        await asyncio.sleep(0.05)
        assert watched.names == [(9, ["h2"])] and first.requests.empty()
        watched.watch.close()
        first.close(), second.close()

    run_with_agent(steps)


def test_a_failure_of_the_old_address_while_the_new_one_is_probed_stops_neither():
    async def steps(old):
        watched, new = Watched(old, reconnect_delay_ns=1_000_000), await Agent().open()
        (await old.next_request()).answer(encode_list(7))
        watching = await old.next_request()
        watched.watch.change_address(new.address)
        proving = await new.next_request()
        watching.end()
        (await old.next_request()).end()
        proving.answer(encode_list(9, make_row("h2")))
        assert (await new.next_request()).wait_ms == 200 and watched.names == [(9, ["h2"])]
        watched.watch.close()
        new.close()

    run_with_agent(steps)


def test_a_full_list_with_a_lower_version_is_accepted_and_followed():
    async def steps(agent):
        watched = Watched(agent)  # it knows version 7
        # Discovery came back with an older version.
        (await agent.next_request()).answer(encode_list(3, make_row("h1"), full=True))
        assert (await agent.next_request()).path.endswith("?since=3&timeout_ms=200")
        assert watched.names == [(3, ["h1"])] and watched.updates[0][0] is Change.FULL
        watched.watch.close()

    run_with_agent(steps)


@pytest.mark.parametrize("form", ["indented", "chunked", "bytes", "close"])
def test_a_list_is_read_alike_in_every_transfer_form(form):
    async def steps(agent):
        watched, request = Watched(agent, proofs=(2000, 100, 100)), await agent.next_request()
        body = encode_list(
            8, make_row("h1"), make_row("h2", "DRAINING"), full=True, indent=2 * (form == "indented")
        )
        if form == "chunked":
            request.write(b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n")
            for at in range(0, len(body), 7):
                request.write(b"%x\r\n%b\r\n" % (len(body[at : at + 7]), body[at : at + 7]))
            request.write(b"0\r\n\r\n")
        elif form == "bytes":
            for byte in b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body):
                request.write(bytes((byte,)))
                await asyncio.sleep(0)
        elif form == "close":
            request.write(b"HTTP/1.1 200 X\r\nConnection: close\r\n\r\n" + body)
            request.end()
        else:
            request.answer(body)
        assert (await agent.next_request()).wait_ms == 200
        assert watched.names == [(8, ["h1", "h2"])]
        watched.watch.close()

    run_with_agent(steps)


def test_a_close_in_the_turn_in_which_its_connect_completes_leaves_no_connection():
    async def steps(agent):
        for turns in range(6):
            watched = Watched(agent)
            for _ in range(turns):
                await asyncio.sleep(0)
            watched.watch.close()
            await asyncio.sleep(0.02)
            assert all(
                connection.is_closing() or connection.transport.is_closing()
                for connection in agent.connections
            ), turns

    run_with_agent(steps)


def test_discovery_that_answers_at_once_was_asked_without_a_pause():
    """Guards against a loop of requests: lists without news, one on each connection, and never a wait."""

    async def steps(agent):
        watched = Watched(agent, watch=60_000, silence=60_100, reconnect_delay_ns=50 * MILLISECOND)
        began, answered = asyncio.get_running_loop().time(), 0
        while asyncio.get_running_loop().time() < began + 0.5:
            (await agent.next_request()).answer(encode_list(7))
            answered += 1
        assert answered <= 2 + 0.5 / 0.05 * 2
        (await agent.next_request()).answer(encode_list(8, make_row("h1")))
        (await agent.next_request()).answer(encode_list(9, make_row("h2")))
        assert (await agent.next_request()).wait_ms == 60_000
        assert watched.names == [(8, ["h1"]), (9, ["h2"])]
        watched.watch.close()

    run_with_agent(steps)


def test_changes_of_an_agent_that_counts_anew_were_applied_to_the_list_before():
    """Guards a restart of discovery's agent, whose versions begin again: the whole list is asked for."""

    async def steps(agent):
        watched = Watched(agent)
        (await agent.next_request()).answer(encode_list(8, make_row("h1")))
        agent.connections[0].close()
        (await agent.next_request()).end()
        while (request := await agent.next_request()).wait_ms is not None:
            request.answer(encode_list(2, make_row("h2")))
        request.answer(encode_list(2, make_row("h2"), make_row("h3"), full=True))
        await agent.next_request()
        assert watched.names == [(8, ["h1"]), (2, ["h2", "h3"])]
        assert watched.updates[-1][0] is Change.FULL
        watched.watch.close()

    run_with_agent(steps)
