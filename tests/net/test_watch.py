"""The watch on the list: silence, closes and moves that cross an ask, on real sockets."""

import asyncio
import os
import time

import pytest
import uvloop
from rig import settings

from millweir.control import bounds
from millweir.interface import SECOND, Change, Limits
from net.agent import Agent, Watched, listed, row
from net.inside import GatedLoop

EMPTY = b'{"index": 7, "endpoints": []}       '


def played(steps):
    """Run one scene on the loop that the program runs on."""

    async def scene():
        agent = await Agent().open()
        try:
            await asyncio.wait_for(steps(agent), 20)
        finally:
            agent.close()

    uvloop.run(scene())


@pytest.mark.parametrize("relays", [1, 5, 40, 200, 500])
def test_a_silent_watch_is_found_out_with_time_for_a_second_silent_connection_before_its_news_counts(relays):
    given = bounds(settings(relays=relays), Limits(256, 1 << 20, 64 << 20))
    assert (
        given.watch_wait_ns < given.watch_timeout_ns
        and given.watch_timeout_ns + given.probe_timeouts_ns[1] < given.watch_wait_ns + 2 * SECOND
    )
    assert (
        given.startup_list_wait_ns > given.probe_timeouts_ns[0]
    )  # one silent connection is replaced before calls go out
    assert (
        given.watch_wait_ns >= min(20, relays / 2) * SECOND
    )  # no more than a fifth of a tenth of a second a relay


def test_a_watch_that_fell_silent_is_opened_anew_also_when_the_next_connection_is_silent_as_well():
    async def steps(agent):
        watched = Watched(agent)
        first = await agent.asked()
        assert first.waits == 1  # no news and silence can't be told apart: an answer at once is wanted
        first.tell(listed(7))
        silent = await agent.asked()
        assert silent.waits == 200 and silent.link is first.link
        asked_at = time.monotonic()
        again = await agent.asked()  # the watch says nothing
        assert again.link is not silent.link and again.waits == 1
        third = await agent.asked()  # nor does the connection that took its place
        assert third.link is not again.link and third.waits == 1
        assert 0.3 <= time.monotonic() - asked_at < 1.2
        third.tell(listed(9, row(status="DRAINING")))
        assert (await agent.asked()).waits == 200
        assert watched.names == [(9, ["h0"])] and not watched.failures  # no rest that the module gives
        watched.watch.close()

    played(steps)


def test_a_close_that_crosses_the_next_ask_leaves_no_gap_and_is_no_failure():
    async def steps(agent):
        watched = Watched(agent, reconnect_delay_ns=SECOND * 60)
        (await agent.asked()).tell(listed(7))
        crossed = await agent.asked()
        crossed.end()  # as if it had closed just before the ask came
        again = await agent.asked()
        assert again.waits == 200 and again.link is not crossed.link
        again.tell(listed(8, row("h1")))
        await agent.asked()
        assert watched.names == [(8, ["h1"])] and not watched.counters.counts["list_failures"]
        watched.watch.close()

    played(steps)


def test_a_connection_that_never_comes_up_has_no_patience_left_over_from_the_last_one():
    async def steps(agent):
        watched = Watched(agent, retry_interval_ns=60 * SECOND, reconnect_delay_ns=1_000_000)
        (await agent.asked()).say(b"HTTP/1.1 200 X\r\nContent-Length: 900\r\n\r\n{")  # an answer had begun
        exchange = watched.watch._feeds[0]._exchange
        gate = exchange._loop = GatedLoop(exchange._loop)
        agent.links[0].close()
        for _ in range(500):
            if gate.waiting > 1:
                break
            await asyncio.sleep(0.01)
        assert gate.waiting > 1  # dialled anew after the patience of one ask
        watched.watch.close()

    played(steps)


def test_an_answer_that_is_there_when_patience_runs_out_is_read():
    async def steps(agent):
        watched = Watched(agent, proofs=(100, 100, 100))
        ask = await agent.asked()
        body = listed(8, row("h1"))
        # The process stands still from before the answer reaches its socket until its patience is over.
        os.write(
            ask.link.get_extra_info("socket").fileno(),
            b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body),
        )
        time.sleep(0.15)
        nxt = await agent.asked()
        assert watched.names == [(8, ["h1"])] and nxt.link is ask.link
        assert not watched.counters.counts["list_failures"]
        watched.watch.close()

    played(steps)


def test_a_list_that_has_begun_when_patience_runs_out_has_more_time_but_not_for_ever():
    async def steps(agent):
        watched = Watched(agent, retry_interval_ns=SECOND // 2, proofs=(100, 100, 100))
        ask, body = await agent.asked(), listed(8, row("h1"))
        ask.say(b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body[:20]))
        await asyncio.sleep(0.25)
        assert agent.asks.empty()
        ask.say(body[20:])
        endless = await agent.asked()
        assert watched.names == [(8, ["h1"])] and endless.link is ask.link
        endless.say(b"HTTP/1.1 200 X\r\nContent-Length: 1000\r\n\r\n{")
        again = await agent.asked()
        assert again.link is not endless.link and again.waits == 1
        watched.watch.close()

    played(steps)


def test_discovery_that_turns_asks_away_is_asked_after_the_rests_that_the_module_gives_and_with_patience():
    async def steps(agent):
        watched = Watched(agent, rests=(0, 300))
        (await agent.asked()).tell(b"", status=503)
        (await agent.asked()).tell(b"", status=503)
        turned_away = time.monotonic()
        overbooked = await agent.asked()
        assert time.monotonic() - turned_away >= 0.29 and watched.failures == [1, 2]
        assert overbooked.waits == 200  # one call for the news at hand and those to come
        await asyncio.sleep(0.2)  # longer than an address is given that has never answered
        assert agent.asks.empty()
        overbooked.tell(listed(8, row("h1")))
        await agent.asked()
        assert watched.names == [(8, ["h1"])]
        watched.watch.close()

    played(steps)


def test_only_a_list_is_followed_by_a_long_watch_and_a_dial_in_between_is_given_up_soon():
    async def steps(agent):
        watched = Watched(agent, watch=60_000, silence=60_100, rests=(0,))
        (await agent.asked()).tell(listed(7))
        (await agent.asked()).end()  # as if it had closed just before the ask came
        crossed = await agent.asked()
        assert crossed.waits == 300 and not watched.counters.counts["list_failures"]
        crossed.tell(b"", status=503)
        turned_away = await agent.asked()
        # The patience with an address that fails, less its way, and what the rest (none was drawn) has left
        # of the longest one, less the whole course of a call: 400 ms, 1 s for half an answer, 50 ms of pause.
        assert turned_away.waits == 300 + 4000 - 1450
        turned_away.tell(listed(7))
        long = await agent.asked()
        assert long.waits == 60_000
        exchange = watched.watch._feeds[0]._exchange
        gate = exchange._loop = GatedLoop(exchange._loop)
        long.say(b"HTTP/1.1 200 X\r\nConnection: close\r\nContent-Length: 36\r\n\r\n" + EMPTY)
        for _ in range(200):
            if gate.waiting > 1:
                break
            await asyncio.sleep(0.01)
        assert gate.waiting > 1  # the long watch's dial did not come up: it was given up, and dialled anew
        gate.open.set()
        assert (await agent.asked()).waits == 1
        watched.watch.close()

    played(steps)


def test_what_is_no_list_is_asked_for_again_soon_and_without_end():
    async def steps(agent):
        watched = Watched(agent, reconnect_delay_ns=1_000_000, retry_interval_ns=4_000_000)
        for _ in range(12):
            (await agent.asked()).tell(b'{"index":1,"endpoints":[{}]}')
        assert watched.counters.counts["list_failures"] >= 11 and not watched.told and not watched.failures
        (await agent.asked()).tell(listed(8, row("h1")))
        await agent.asked()
        assert watched.names == [(8, ["h1"])]
        watched.watch.close()

    played(steps)


def test_a_new_address_that_is_silent_is_asked_again_while_the_old_one_tells_on():
    async def steps(old):
        watched, new = Watched(old), await Agent().open()
        (await old.asked()).tell(listed(7))
        watching = await old.asked()
        watched.watch.move(new.address)
        silent = await new.asked()
        assert silent.waits == 1
        watching.tell(listed(8, row("h1")))  # the old one answers on: no gap in what is told
        late = await old.asked()
        again = await new.asked()
        assert again.link is not silent.link and again.waits == 1
        again.tell(listed(9, row("h2")))
        await new.asked()
        late.tell(listed(10, row("h3")))  # an answer for a feed that is closed
        await asyncio.sleep(0.05)
        assert watched.names == [(8, ["h1"]), (9, ["h2"])]
        watched.watch.close()
        new.close()

    played(steps)


def test_a_second_move_before_the_first_one_answered_takes_its_place():
    async def steps(old):
        watched, first, second = Watched(old), await Agent().open(), await Agent().open()
        (await old.asked()).tell(listed(7))
        watched.watch.move(first.address)
        never = await first.asked()
        watched.watch.move(second.address)
        asked = await second.asked()
        await never.ended()  # nobody asks there any more, before the second one has said a word
        asked.tell(listed(9, row("h2")))
        never.tell(listed(10, row("h9")))
        assert (await second.asked()).waits == 200
        await asyncio.sleep(0.05)
        assert watched.names == [(9, ["h2"])] and first.asks.empty()
        watched.watch.close()
        first.close(), second.close()

    played(steps)


def test_the_old_address_failing_while_its_successor_proves_itself_stops_neither():
    async def steps(old):
        watched, new = Watched(old, reconnect_delay_ns=1_000_000), await Agent().open()
        (await old.asked()).tell(listed(7))
        watching = await old.asked()
        watched.watch.move(new.address)
        proving = await new.asked()
        watching.end()
        (await old.asked()).end()
        proving.tell(listed(9, row("h2")))
        assert (await new.asked()).waits == 200 and watched.names == [(9, ["h2"])]
        watched.watch.close()
        new.close()

    played(steps)


def test_a_whole_list_with_a_lower_version_is_taken_and_followed():
    async def steps(agent):
        watched = Watched(agent)  # it knows version 7
        (await agent.asked()).tell(listed(3, row("h1"), whole=True))  # discovery came back with less
        assert (await agent.asked()).path.endswith("?since=3&timeout_ms=200")
        assert watched.names == [(3, ["h1"])] and watched.told[0][0] is Change.FULL
        watched.watch.close()

    played(steps)


@pytest.mark.parametrize("form", ["indented", "chunked", "bytes", "close"])
def test_a_list_is_read_alike_in_whatever_form_it_comes(form):
    async def steps(agent):
        watched, ask = Watched(agent, proofs=(2000, 100, 100)), await agent.asked()
        body = listed(8, row("h1"), row("h2", "DRAINING"), whole=True, indent=2 * (form == "indented"))
        if form == "chunked":
            ask.say(b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n")
            for at in range(0, len(body), 7):
                ask.say(b"%x\r\n%b\r\n" % (len(body[at : at + 7]), body[at : at + 7]))
            ask.say(b"0\r\n\r\n")
        elif form == "bytes":
            for byte in b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body):
                ask.say(bytes((byte,)))
                await asyncio.sleep(0)
        elif form == "close":
            ask.say(b"HTTP/1.1 200 X\r\nConnection: close\r\n\r\n" + body)
            ask.end()
        else:
            ask.tell(body)
        assert (await agent.asked()).waits == 200
        assert watched.names == [(8, ["h1", "h2"])]
        watched.watch.close()

    played(steps)


def test_a_close_in_the_turn_in_which_its_dial_is_done_leaves_no_connection_behind():
    async def steps(agent):
        for turns in range(6):
            watched = Watched(agent)
            for _ in range(turns):
                await asyncio.sleep(0)
            watched.watch.close()
            await asyncio.sleep(0.02)
            assert all(link.is_closing() or link.transport.is_closing() for link in agent.links), turns

    played(steps)
