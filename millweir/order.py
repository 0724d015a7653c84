"""The order of held packets: which of them lose most by waiting, and which is worth least.

How a packet's worth falls with its lateness depends on its profile alone; so packets of one profile and
weight lie in one line, by when they were wanted.  A curve is cut into pieces in which the loss only rises or
only falls: the best of a piece stands at one of its ends, so each line is asked at a few places.
"""

from collections import defaultdict
from functools import partial
from itertools import pairwise
from operator import itemgetter

from sortedcontainers import SortedList

from millweir.interface import Effect, Profile
from millweir.records import NEVER, Packet


class Curve:
    """What waiting costs a packet of a profile, as a part of its gain, by how late it is (nanoseconds)."""

    def __init__(self, profile: Profile, span: int, halves: bool) -> None:
        """`span`: the wait that is weighed; `halves`: worth halves with each quoted time."""
        self.kinds, self.bears_trials = profile.kinds, profile.effect is not Effect.SINGLE_USE
        self.worth, self._span = partial(profile.worth, halves), span
        starts = sorted({-NEVER, NEVER, *(turn - at for turn in profile.turns(halves) for at in (0, span))})
        # Each piece: its first and last lateness, and whether the latest packet in it loses most.
        self._pieces = [
            (first, after - 1, self.loss(after - 1) >= self.loss(first)) for first, after in pairwise(starts)
        ]

    def loss(self, late: int) -> float:
        """A little more than nothing at least, so that the greater gain goes first."""
        return self.worth(late) - self.worth(late + self._span) + 0.001

    def best(self, line: SortedList, at: int, most: int) -> list[Packet]:
        """All in the line that may be among those that lose most by waiting past that time."""
        found, latest, least = [], at - line[0][0], at - line[-1][0]  # the latest stands in front
        for first, last, rising in self._pieces:
            if first <= latest and last >= least:
                low = line.bisect_left((at - last,)) if last < latest else 0
                high = line.bisect_left((at - first + 1,)) if first > least else len(line)
                places = range(low, high) if rising else range(high - 1, low - 1, -1)
                found += [line[place][2] for place in places[:most]]
        return found


class Order:
    """Lines of packets side by side: one for each curve, weight and zone, and for what can only go alone."""

    __slots__ = ("_lines",)

    def __init__(self) -> None:
        self._lines: defaultdict[tuple, SortedList] = defaultdict(SortedList)

    def _line(self, packet: Packet, weight: float) -> SortedList:
        return self._lines[packet.curve, weight, packet.travels_alone, packet.bound_zone, packet.on_last_trip]

    def add(self, packet: Packet, weight: float) -> None:
        self._line(packet, weight).add((packet.target_at, packet.sequence_number, packet))

    def remove(self, packet: Packet, weight: float) -> None:
        self._line(packet, weight).remove((packet.target_at, packet.sequence_number, packet))

    def best(self, at: int, most: int, trial: bool, zones: set[int], kind: int) -> list[tuple[float, Packet]]:
        """Those that may go there and lose most by waiting past that time; what bears no trial goes last."""
        found = []
        for (curve, weight, _, bound, last), line in self._lines.items():
            if bound is not None and bound not in zones or curve.kinds and kind not in curve.kinds:
                continue
            bears = curve.bears_trials and not last or not trial
            for packet in curve.best(line, at, most) if line else ():
                loss = weight * curve.loss(at - packet.target_at) if bears else 0.0001 / (1 + weight)
                found.append((loss, packet))
        found.sort(key=itemgetter(0), reverse=True)
        alike = [p for p in found if not p[1].travels_alone and p[1].bound_zone == found[0][1].bound_zone]
        return found[:1] if found and found[0][1].travels_alone else alike[:most]

    def least(self, at: int) -> Packet | None:
        """The packet that is worth least when fulfilled at that time: in each line the latest."""
        heads = (
            (weight * curve.worth(at - line[0][0]), line[0][2])
            for (curve, weight, *_), line in self._lines.items()
            if line
        )
        return min(heads, key=itemgetter(0), default=(0, None))[1]
