"""A change counts as told 6 s after discovery had it and could be reached, whatever failed before."""

import asyncio
import random
from types import SimpleNamespace

import pytest
from rig import Rig, settings

from millweir.control import MAX_DISCOVERY_BACK_OFF_NS, bounds
from millweir.interface import MILLISECOND, SECOND, Limits
from millweir.net.counters import Counters
from millweir.net.discovery import Watch, patience_after, told_within
from net.agent import listed, row
from net.virtual import Discovery, Fault, VirtualLoop, cycle_faults

COUNTS_AS_TOLD = 6 * SECOND
LATENCY = 0.02  # seconds for a dial, and for an answer
FLEETS = (1, 5, 30, 200, 500)
AT = ("127.0.0.1", 1)
MOVED = ("127.0.0.1", 2)
LEAVES = 1.5  # seconds


def longest_rest(relays):
    """The module's rest after a call that was turned away, whenever it draws the longest."""
    relay = Rig(relays=relays).relay
    relay._random = lambda: 1.0
    return relay.draw_discovery_back_off


def given(relays):
    return bounds(settings(relays=relays), Limits(256, 1 << 20, 64 << 20))


def told_after(relays, out, draw, silent_links=0, moves=None, leaves=LEAVES, closing=False):
    """Seconds from the return of a discovery that was out for so long until its change was told."""
    loop, told = VirtualLoop(), []
    returns = leaves + out

    async def scene():
        for address in (AT, MOVED):
            Discovery(
                loop,
                address,
                lambda index: listed(index, row()),
                leaves,
                returns,
                draw,
                LATENCY,
                silent_links,
                closing,
            )
        watch = Watch(
            loop,
            AT,
            settings(relays=relays, kinds=("small",), zones=("a",)),
            given(relays),
            7,
            lambda _, news: told.append(loop.time()) if news.index == 9 else None,
            longest_rest(relays),
            SimpleNamespace(info=lambda line: None),
            Counters(),
        )
        if moves is not None:
            loop.call_at(leaves + moves, watch.move, MOVED)
        await asyncio.sleep(returns + 60 - loop.time())
        watch.close()
        await asyncio.sleep(0.1)

    try:
        loop.run_until_complete(scene())
    finally:
        loop.close()
    assert told, "never told"
    return told[0] - returns


def bound(relays, silent_links=0):
    answers = (1 + silent_links) * 2 * LATENCY  # a dial and an answer each
    return (
        told_within(given(relays), MAX_DISCOVERY_BACK_OFF_NS, silent_links) / SECOND + answers + 2 * LATENCY
    )


@pytest.mark.parametrize("relays", FLEETS)
def test_the_bound_leaves_time_for_a_dial_and_an_answer_also_after_one_more_silent_connection(relays):
    assert (
        told_within(given(relays), MAX_DISCOVERY_BACK_OFF_NS, silent_links=1)
        <= COUNTS_AS_TOLD - 400 * MILLISECOND
    )
    assert longest_rest(relays)(9) <= MAX_DISCOVERY_BACK_OFF_NS


@pytest.mark.parametrize("relays", FLEETS)
def test_only_a_list_is_followed_by_a_long_watch(relays):
    limits = given(relays)
    assert patience_after(limits, True, 0, False).silence == limits.watch_timeout_ns
    for failures, unread in ((1, False), (9, False), (0, True), (9, True)):
        short = patience_after(limits, True, failures, unread)
        assert MILLISECOND < short.wait < short.silence <= max(limits.probe_timeouts_ns)
        assert patience_after(limits, False, failures, unread).wait == MILLISECOND


@pytest.mark.parametrize("fault", Fault)
@pytest.mark.parametrize("relays", (1, 200))
def test_a_change_is_told_within_the_bound_wherever_the_return_falls_in_what_the_fault_left(relays, fault):
    draw = cycle_faults((fault,))
    worst = max(told_after(relays, out / 20, draw) for out in range(1, 360, 7))
    assert worst <= bound(relays) < 6


@pytest.mark.parametrize("seed", range(40))
def test_a_change_is_told_within_the_bound_after_any_mixture_of_failures_and_moves(seed):
    chance = random.Random(seed)
    for _ in range(8):
        relays, out, silent = chance.choice(FLEETS), chance.uniform(0, 20), chance.randrange(2)
        moves = chance.uniform(0, out) if chance.random() < 0.4 else None
        faults = tuple(chance.choices(list(Fault), k=40))
        took = told_after(relays, out, cycle_faults(faults), silent, moves)
        assert took <= bound(relays, silent) <= 6, (seed, relays, out, silent, moves, faults)


@pytest.mark.parametrize("out", (2.0, 4.0, 8.0, 16.0))
def test_a_dial_whose_syn_was_lost_is_given_up_and_dialled_anew_before_the_kernel_repeats_it(out):
    """Out for 8 s, the kernel's repeat at 15 s would come up 7 s after the return."""
    lost, at_most = (
        cycle_faults((Fault.LOST,)),
        given(200).probe_timeouts_ns[-1] / SECOND + 0.05 + 4 * LATENCY,
    )
    assert told_after(200, out, lost) < at_most  # the watch failed
    # An answer that ended its connection was the last to come: the dial is that of a long watch.
    assert told_after(200, out, lost, leaves=1.5 * LATENCY, closing=True) < at_most
