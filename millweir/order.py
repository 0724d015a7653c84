"""Queues of held packets: finds those that lose most value by waiting, and the one that is worth least.

How a packet's value falls with its lateness depends on its profile alone, so packets of one profile and
weight share a queue, sorted by the time by which they are wanted.  The value curve is cut into pieces in
which the loss only rises or only falls: the packets that lose most within a piece stand at one of its ends,
so a search looks at a few places of each queue.
"""

from collections import defaultdict
from functools import partial
from itertools import pairwise
from operator import itemgetter

from sortedcontainers import SortedList

from millweir.interface import Effect, Profile
from millweir.records import NEVER, Packet


class ValueCurve:
    """What a delay costs a packet, as a fraction of its value, by its lateness in nanoseconds."""

    def __init__(self, profile: Profile, span: int, value_halves: bool) -> None:
        """Derive the curve of a profile.

        `span`: the delay that is weighed; `value_halves`: the value halves with each target latency that
        passes.
        """
        self.kinds, self.allows_trials = profile.kinds, profile.effect is not Effect.NON_IDEMPOTENT
        self.value_fraction, self._span = partial(profile.value_fraction, value_halves), span
        starts = sorted(
            {-NEVER, NEVER, *(point - at for point in profile.breakpoints(value_halves) for at in (0, span))}
        )
        # Each piece: its first and last lateness, and whether the latest packet in it loses most.
        self._pieces = [
            (first, after - 1, self.loss(after - 1) >= self.loss(first)) for first, after in pairwise(starts)
        ]

    def loss(self, late: int) -> float:
        """The fraction lost within the span; always above 0, so that the more valuable packet goes first."""
        return self.value_fraction(late) - self.value_fraction(late + self._span) + 0.001

    def find_candidates(self, queue: SortedList, at: int, most: int) -> list[Packet]:
        """All packets of the queue that may be among the `most` that lose most by waiting past that time."""
        found, latest, least = [], at - queue[0][0], at - queue[-1][0]  # the latest packet stands in front
        for first, last, rising in self._pieces:
            if first <= latest and last >= least:
                low = queue.bisect_left((at - last,)) if last < latest else 0
                high = queue.bisect_left((at - first + 1,)) if first > least else len(queue)
                places = range(low, high) if rising else range(high - 1, low - 1, -1)
                found += [queue[place][2] for place in places[:most]]
        return found


class PacketQueues:
    """Held packets in one queue per curve, weight and zone, with queues of their own for those sent alone."""

    __slots__ = ("_queues",)

    def __init__(self) -> None:
        self._queues: defaultdict[tuple, SortedList] = defaultdict(SortedList)

    def _queue(self, packet: Packet, weight: float) -> SortedList:
        return self._queues[
            packet.curve, weight, packet.travels_alone, packet.bound_zone, packet.on_last_trip
        ]

    def add(self, packet: Packet, weight: float) -> None:
        self._queue(packet, weight).add((packet.target_at, packet.sequence_number, packet))

    def remove(self, packet: Packet, weight: float) -> None:
        self._queue(packet, weight).remove((packet.target_at, packet.sequence_number, packet))

    def select_most_urgent(
        self, at: int, most: int, trial: bool, zones: set[int], kind: int
    ) -> list[tuple[float, Packet]]:
        """The packets for one call: those that may go there and lose most by waiting past that time.

        In a trial call, packets that allow no trials come last.
        """
        found = []
        for (curve, weight, _, bound, last), queue in self._queues.items():
            if bound is not None and bound not in zones or curve.kinds and kind not in curve.kinds:
                continue
            allowed = curve.allows_trials and not last or not trial
            for packet in curve.find_candidates(queue, at, most) if queue else ():
                loss = weight * curve.loss(at - packet.target_at) if allowed else 0.0001 / (1 + weight)
                found.append((loss, packet))
        found.sort(key=itemgetter(0), reverse=True)
        compatible = [
            p for p in found if not p[1].travels_alone and p[1].bound_zone == found[0][1].bound_zone
        ]
        return found[:1] if found and found[0][1].travels_alone else compatible[:most]

    def least_valuable(self, at: int) -> Packet | None:
        """The packet that is worth least when delivered at that time: in each queue the latest one."""
        heads = (
            (weight * curve.value_fraction(at - queue[0][0]), queue[0][2])
            for (curve, weight, *_), queue in self._queues.items()
            if queue
        )
        return min(heads, key=itemgetter(0), default=(0, None))[1]
