"""Every decision of a relay: which packet goes to which host, when, and what it is told in the end.

Make one Relay with a port, settings, seed and clock; tell it each thing that happens by one method, then call
round_over.  Types and port: interface.py; records: records.py; held packets: order.py; see docs/design.md."""

import random
from collections import defaultdict
from functools import partial
from heapq import heappop, heappush
from itertools import count, filterfalse, islice, takewhile

from millweir.events import ColdHost, EndReason, HostTransition, HostView, RefusalReason
from millweir.interface import SECOND, Bounds, Change, Effect, Entry, Limits, Outcome, Phase, Port, Settings
from millweir.order import Curve, Order
from millweir.records import NEVER, Books, Call, Destination, Due, Host, Key, Load, Packet, Route, Trip
from millweir.slow_start import EJECT_AT, FAILED_WEIGHT, REFUSED_WEIGHT, Evidence, SlowStart

WINDOW = 3 * SECOND // 10  # of the send log; longer where the limit lets less than one call through in it
MILLISECOND = SECOND // 1000
ROUND = SECOND  # ROUND: without a refusal, before the limit is raised
CUT = 0.5  # a refusal cuts to this part of own use; a round without one adds
CUT_AGAIN = 0.125
RAISE = 0.25
LEAST = 0.5  # of the even share; a rough rate is up to half too high, an exact one bears more
ROUGH = 1.5
ROUTE_SHARE = 3  # a route fills one in so many slots
STALE_KEPT = 30 * SECOND  # idle links go stale: so long kept; idle less: not stale
STALE_LEAST = SECOND // 2
STALE_PROOF = 5 * SECOND  # what is told of all hosts: within that time, by so many of them
STALE_HOSTS = 3
SHARE_DEPTH = 2  # seconds of a tenant's share sent at once; a host that left
FORGOTTEN_AFTER = 60 * SECOND
FAR = 2  # zones; quoted times; unused: not refused for it; outcomes
FAR_OFF = 4
MUCH_LEFT = 0.75
LEARNED = 4
LATE = 16  # parts of the quoted time: late turns, loads weighed again; so many
WEIGHED = 32
AT_ONCE = 64
GATHER = 8  # part of the quoted time for which short calls wait, so long after a cut
SCARCE = 10 * SECOND
SPREADS = 6  # overdue past mean latency and so many deviations
APIECE = SECOND // 10  # of discovery for each; most; doublings
APIECE_MOST = 4 * SECOND
RESTS = 2
ASKS = 5


def bounds(settings: Settings, limits: Limits) -> Bounds:
    """What the network code keeps to: links, journal, waits for discovery, the stop and the log."""
    half = SECOND // 2
    memory = limits.memory // 8
    head = 16 << 10
    body = 64 << 10
    watch = min(20 * SECOND, max(2 * SECOND, settings.relays * APIECE * ASKS))  # a fifth of discovery's time
    return Bounds(
        link_life=settings.idle_close * 9 // 10,
        linger=half,
        rest=APIECE_MOST,  # idle: closed
        host_links=limits.descriptors // 4,
        ids_known=memory >> 10,
        head_most=head,
        body_most=body,
        client_links=min(limits.descriptors // 3, memory // (head + body)),
        request=4 * half,
        doubtful=half,
        journal_file=limits.disk // 2,
        journal_live=limits.disk * 3 // 8,  # two fit
        resend=SECOND,
        redial=SECOND // 20,
        watch=watch,
        silence=watch + half,
        lag_kept=half // 2,
        proofs=(SECOND, SECOND, 3 * half),
        opening=5 * SECOND // 4,
        leave=33 * SECOND // 10,
        parting=SECOND // 5,
        log_lines=200,
        notices=500,
        answer_most=body,
        answer_time=half,
        hold=SECOND // 500,
        list_most=min(16 << 20, memory),
        turn_reads=64,
        turn_calls=16,
    )


class Relay(Books):
    """One relay: it sees only its own traffic and shares nothing."""

    def __init__(self, port: Port, given: Settings, seed: int, now: int) -> None:
        super().__init__()
        self._port = port
        self._relays = max(1, given.relays)
        chance = random.Random(seed)
        self._sample = chance.sample
        self._random = chance.random
        self._born = now
        self._now = now
        self._slots = given.slots
        self._route_slots = max(2, given.slots // ROUTE_SHARE)
        self._max_open = given.max_open
        self._max_trips = given.max_trips
        self._margin = 2 * given.period
        self._bundle = given.bundle_max
        self._apart = {kind for kind, own in enumerate(given.apart) if own}
        self._quotas = [tenant.quota / self._relays for tenant in given.tenants]
        self._shares = [(quota, now) for quota in self._quotas]
        self._left_field, self._limit_field = (  # where a report has them
            given.reports.index(name) if name in given.reports else None for name in ("x0", "x1")
        )
        self._grace = given.drain_grace - self._margin
        self._slow = given.connect_timeout // 2
        self._quiet = given.key_quiet
        self._fall_time = given.fall_time
        self._least = LEAST if given.rates_rough else LEAST * ROUGH
        self._zone = given.zone
        self._known_rates = given.rates_listed
        self._max_wait = given.max_wait
        self._aim = min((p.quoted for p in given.profiles), default=SECOND)
        self._profiles = [(p, Curve(p, self._aim, given.halves)) for p in given.profiles]
        self._slow_start = SlowStart(given, chance.random, now)
        self._ask_every = given.must_ask_in // 4 if given.must_ask else 0
        gain = sum(p.gain for p in given.profiles) / max(1, len(given.profiles))  # fees: parts of a mean one
        self._fees = {zone: fee * gain for zone, fee in enumerate(given.fees) if any(given.fees)}
        self._cancels = given.cancel
        self._copies = given.second_copies
        self._over_share = given.over_share
        self._span = NEVER  # nothing learned of idle links,
        self._span_at = -NEVER
        self._stale_at = -NEVER
        self._swallowed_at = -NEVER  # nor lost to them, nor of full connection tables
        self._tables_at = -NEVER
        self._destinations: defaultdict[int, Destination] = defaultdict(lambda: Destination(Order()))
        self._drained: defaultdict[int, float] = defaultdict(float)
        self._spare = Order()  # held, may be dismissed
        self._spare_restored = Order()
        self._spare_idle = 2 * given.idle_close // self._relays
        self._order = count().__next__
        self._alarm_at = 0
        self._leave_at = NEVER
        self._failed_asks = 0
        self.refused_for = RefusalReason.NONE  # what the last refusal was for
        if given.must_ask:
            port.watch()

    def transition(self) -> HostTransition | None:
        """The next change of a host's state that was not picked up yet."""
        return self._slow_start.transitions.popleft() if self._slow_start.transitions else None

    def host_view(self, ident: bytes) -> HostView | None:
        """What is believed of a host; None for one that no list names or is remembered from."""
        host = self._hosts.get(ident)
        return host and HostView(self._slow_start.state(host), host.well_at, host.route.limit)

    def list_told(self, now: int, change: Change, entries: tuple[Entry, ...], came_at: int = 0) -> None:
        """News of the list: changes, or the whole of it, in which case what is not in it is gone.

        `came_at`: when it may have come, where that is earlier: graces begin then (rule 3).
        """
        self._now = now
        came_at = came_at or now
        if change is Change.FAILED:
            self._failed_asks += 1  # guards against drains deemed told, never heard of: the watch is renewed
            self._enter(now + min(self._ask_every, SECOND << min(self._failed_asks, 8) >> 2), None)
            return
        self._failed_asks *= change is Change.CACHED
        for host in self._departed.take_idle(now - FORGOTTEN_AFTER):
            self._slow_start.forget(self._hosts.pop(host.id))
        gone = (
            [entry.host for entry in entries if entry.phase is Phase.GONE]
            if change is Change.DELTA
            else filterfalse({entry.host for entry in entries}.__contains__, self._hosts)
        )
        for host in filter(None, map(self._hosts.get, gone)):
            if host in host.destination.hosts:  # kept, lest a list that flaps lose its wait or its doubt
                host.left_at = host.left_at or came_at
                self._stirred[host.destination] = None
                del host.destination.hosts[host]
                self._departed.add(host)
        for entry in entries:
            if entry.phase is not Phase.GONE:
                host = self._hosts.get(entry.host) or self._meet(entry)
                told = max(1, now - self._grace) if change is Change.CACHED else came_at  # in an earlier life
                host.kind = entry.kind
                host.ready = entry.phase is Phase.READY
                out = self._cordoned.get(entry.host, 0)
                if host.ready and not out:
                    self._back_in_use(host)
                else:
                    host.left_at = host.left_at or out or told
                self._stirred[host.destination] = host.destination.hosts[host] = None
                self._departed.discard(host)
                if self._known_rates and entry.rate > 0 and entry.rate != host.route.listed:
                    host.route.listed = host.route.top = entry.rate  # a listed rate may change in the day
                    host.route.share = entry.rate / self._relays

    def _meet(self, entry: Entry) -> Host:
        home = self._destinations[entry.destination]
        route = None if entry.kind in self._apart else home.route
        if route is None:
            top = entry.rate if self._known_rates and entry.rate > 0 else float(NEVER)
            route = home.route = Route(top if top < NEVER else 1.0, top / self._relays, top, self._now)
            route.limit = min(top, max((route.share * top) ** 0.5, SECOND / ROUND))
        fee = self._fees.get(entry.zone, 0.0) * (entry.kind in self._apart)
        host = self._hosts[entry.host] = Host(entry, home, route, fee)
        if route.last_ejected and route.last_ejected.pace and all(other.pace for other in home.hosts):
            host.eject_like(route.last_ejected)  # guards rule 4: all that is held would go there at once
            self._slow_start.usable_again(host, self._now)
        self._slow_start.recall(host, self._now)
        return host

    def _back_in_use(self, host: Host) -> None:
        """It leaves no more: a drain undone, in the list again, a cordon lifted."""
        if host.left_at:
            host.left_at = 0
            self._slow_start.usable_again(host, self._now)

    def host_cordoned(self, now: int, ident: bytes, out: bool, since: int) -> bool:
        """By hand: out since then, nothing new after the grace, whatever the list says (rule 3); or back."""
        host = self._hosts.get(ident)
        self._now = now
        if host is None and ident not in self._cordoned:
            return False  # no list named it
        if out:
            self._cordoned.setdefault(ident, since)
        elif self._cordoned.pop(ident, 0) and host and host.ready:
            self._slow_start.failed(host, EJECT_AT, "uncordoned", now, evidence=Evidence.OWN_CAUSE)  # rule 4
            self._back_in_use(host)
        if host:
            host.left_at = host.left_at or self._cordoned.get(ident, 0)
            self._stirred[host.destination] = None
        return True

    def settings_told(self, settings: Settings) -> None:
        """SIGHUP: its profiles come after the known ones, packets under way keep theirs; fewer trips bind."""
        self._profiles += [(p, Curve(p, self._aim, settings.halves)) for p in settings.profiles]
        self._max_trips = settings.max_trips

    def wait_told(self, now: int, ident: bytes, until: int) -> None:
        """A wait told to a process beside this one binds here too: both are one relay (rule 6)."""
        if (host := self._hosts.get(ident)) and until > host.route.wait_until:
            host.route.wait_until = until
            self._stirred[host.destination] = None
            self._slow_start.usable_again(host, now)

    def cold_hosts(self) -> list[ColdHost]:
        """The hosts that slow start holds back, for the process after this one and the one beside it."""
        return self._slow_start.cold_hosts(self._hosts.values())

    @property
    def cold_changes(self) -> int:
        """Grows with each change of what `cold_hosts` tells."""
        return self._slow_start.changes

    def cold_told(self, now: int, cold: ColdHost) -> bool:
        """What an earlier life, or a process beside this one, knows of a host (rule 4); False: not listed."""
        if (host := self._hosts.get(cold.host)) is None:
            return False
        self._now = now
        self._slow_start.restore(host, cold, now)
        self._stirred[host.destination] = None
        return True

    def earlier_failure(self, now: int, destination: int, failed_at: int) -> None:
        """An attempt of an earlier life never ran there, and no more is known: unknown is cold (rule 4)."""
        for host in self._destinations[destination].hosts:
            self.cold_told(now, ColdHost(host.id, failed_at, pace=0.0, recovered_at=0, limit=0.0))

    def rest(self, failures: int) -> int:
        """Until discovery is asked: at random, as all fail as one; its news counts as told 6 s after that."""
        spread = self._random() if failures < 2 else 1 - self._random() / 2  # more evenly after the first
        return int(spread * min(self._relays * APIECE << min(failures, RESTS), APIECE_MOST))

    def refusal(self, destination: int, size: int, room: int, left: int, lag: int) -> int:
        """0 where a packet may be handed in and stored, else how long its client ought to wait."""
        full = self._max_open and self._open >= self._max_open
        home = self._destinations.get(destination)
        listed = home and home.route  # what no list has named yet may be a destination later, or never
        # Guards rule 1 on a short processor: refused is what could end late, of the rest more as turns lag.
        late = left <= 2 * lag + self._margin or self._random() * lag > self._aim // LATE
        reasons = {
            RefusalReason.STOPPING: self._leave_at < NEVER,
            RefusalReason.NOT_LISTED: not listed,
            RefusalReason.TABLE_FULL: full,
            RefusalReason.NO_ROOM: size > room,
            RefusalReason.LATE: late,
        }
        self.refused_for = next((reason for reason, holds in reasons.items() if holds), RefusalReason.NONE)
        return 0 if self.refused_for is RefusalReason.NONE else ROUND

    def leave(self, leave_at: int, replaced: bool = False) -> None:
        """Told to stop then: nothing more is taken, and no call goes out that may outlast the process.

        `replaced`: a process beside this one is at work, and has this relay's part of the budgets (rule 4).
        """
        self._leave_at = leave_at
        self._slow_start.replaced = replaced

    def may_write(self, now: int, host: Host, packet: Packet) -> bool:
        """A link came up late: told waits, drains, the end of a known repeat since (rules 6, 3 and 2)."""
        first = next((trip.call.sent_at for trip in packet.trips[:-1] if not trip.void), NEVER) - self._margin
        known = packet.profile.effect is not Effect.REFERENCED or now < first + packet.profile.repeat_known
        return known and now >= host.route.wait_until and not 0 < host.left_at <= now - self._grace

    def packet_taken(
        self,
        now: int,
        ident: int,
        profile: int,
        tenant: int,
        key: int,
        hard_stop: int,
        destination: int,
        earlier: tuple[tuple[int, bool], ...] = (),
        restored: bool = False,
    ) -> None:
        """A packet was handed in, or is owed from an earlier life; round_over finds room for it."""
        self._now = now
        home = self._destinations[destination]
        packet = Packet(ident, self._order(), *self._profiles[profile], home, hard_stop)
        packet.gain = packet.profile.gain * self._worth_of_share(tenant)
        packet.restored = restored
        if packet.profile.in_order and key:
            packet.key = self._keys.get(key) or self._keys.setdefault(key, Key(key))
            packet.key.line.append(packet)
            self._place(packet.key.line[0])
        packet.trips = [Trip(Call(None, sent_at, False), over=True, void=void) for sent_at, void in earlier]
        if packet.key and self._first_risk(packet):
            packet.key.rest_until = now + self._quiet
        self._packets[ident] = packet
        self._open += 1
        home.taken += not restored and hard_stop - packet.profile.give_up >= self._born  # of this life alone
        self._enter(hard_stop - self._margin, packet)
        self._hold(packet)
        if earlier and not self._may_go_again(packet):
            self._finish(packet, self._why_over(packet))  # single-use may have run in that life
        elif self._max_open and self._open >= self._max_open and (worst := self._worst()):
            self._finish(worst, EndReason.TABLE_FULL)  # it comes again later

    def _worth_of_share(self, tenant: int) -> float:
        """Guards against one tenant's flood: what lies beyond its share goes last."""
        if tenant >= len(self._quotas) or self._quotas[tenant] <= 0:
            return 1.0
        quota, (left, at) = self._quotas[tenant], self._shares[tenant]
        left = min(SHARE_DEPTH * quota, left + quota * (self._now - at) / SECOND)
        self._shares[tenant] = (left - (left >= 1), self._now)
        return 1.0 if left >= 1 else self._over_share

    def _hold(self, packet: Packet, held: bool = True) -> None:
        """It waits for room, or no longer; what it may do meanwhile changes only where entered here."""
        packet.last = len(packet.trips) + 1 == self._max_trips if held else packet.last
        packet.held = held
        packet.destination.held += 1 if held else -1
        if not (first := self._first_risk(packet)):
            spare = self._spare_restored if packet.restored else self._spare
            (spare.add if held else spare.remove)(packet, packet.gain)
        elif held and packet.profile.effect is Effect.REFERENCED:
            self._enter(first + packet.profile.repeat_known - self._margin, packet)
        self._place(packet)

    def _place(self, packet: Packet) -> None:
        """In the order of those that may go now, or out of it."""
        weight = packet.gain * packet.held * (not packet.lingers)
        key = packet.key
        if key and weight:
            resting = not packet.trips and key.rest_until > self._now  # rule 5
            if resting and key.line[0] is packet:
                self._enter(key.rest_until, key)
            # Those behind it wait as well; by powers of two, so that a long line is seldom weighed anew.
            weight *= 0 if resting or key.line[0] is not packet else 1 << len(key.line).bit_length() - 1
        if weight != packet.weight:
            if packet.weight:
                packet.destination.order.remove(packet, packet.weight)
            if weight:
                packet.destination.order.add(packet, weight)
            packet.weight = weight
        self._stirred[packet.destination] = None

    def _why_over(self, packet: Packet) -> EndReason:
        """Why a message that may not go again ends now."""
        if packet.hard_stop - self._margin <= self._now:
            return EndReason.DEADLINE
        if self._first_risk(packet):
            return EndReason.MAY_HAVE_RUN
        return EndReason.ATTEMPTS_USED if len(packet.trips) >= self._max_trips else EndReason.UNREADABLE

    def _finish(self, packet: Packet, reason: EndReason) -> None:
        """Rule 1: the one place that gives an answer; dismissed where no trip may have run, else errored."""
        packet.end_reason = reason
        (
            self._port.error(packet)
            if self._first_risk(packet)
            else self._port.dismiss(packet, self._advice(packet))
        )
        self._end(packet)

    def _advice(self, packet: Packet) -> int:
        return min(self._max_wait, max(MILLISECOND, self._delay(packet.destination)))

    def _delay(self, home: Destination) -> int:
        """Until all that is held there may have gone, as far as is known."""
        if (route := home.route) is None:
            return NEVER
        return max(route.wait_until - self._now, int(home.held * SECOND / min(route.limit, route.listed)))

    def _worst(self) -> Packet | None:
        """Guards the packet table: what its destination can't take for long gives way before the others."""
        home = max((home for home in self._destinations.values() if home.held), key=self._delay)
        worst = home.order.least(self._now + ROUND) if self._delay(home) > FAR_OFF * self._aim else None
        if worst and not self._first_risk(worst) and not worst.restored:
            return worst
        # What an earlier life took on goes last: whoever comes now can be refused at the door.
        worst = self._spare.least(self._now + ROUND)
        if worst is None and self._open > self._max_open:
            return self._spare_restored.least(self._now + ROUND)
        return worst

    def _end(self, packet: Packet) -> None:
        packet.ended = True
        self._open -= 1
        self._linger(packet, False)
        if packet.held:
            self._hold(packet, False)
        self._forget(packet)

    def _forget(self, packet: Packet) -> None:
        if packet.out or not self._packets.pop(packet.id, None):
            return
        packet.trips = []  # its hard stop may keep it in the agenda for long
        if packet.key:
            packet.key.line.remove(packet)
            if packet.key.line:
                self._place(packet.key.line[0])
            self._enter(packet.key.rest_until, packet.key)

    def packet_withdrawn(self, now: int, ident: int) -> None:
        """Nobody wants the packet any more."""
        self._now = now
        packet = self._packets.get(ident)
        if packet and not packet.ended:
            self._end(packet)

    def trip_ended(
        self,
        now: int,
        ident: int,
        number: int,
        outcome: Outcome,
        finished: bool,
        latency: int,
        wait: int,
        report: tuple[float, ...],
    ) -> None:
        """A trip has its outcome; unless that finished the packet, its answer is still owed."""
        self._now = now
        packet = self._packets.get(ident)
        if packet is None or number >= len(packet.trips) or packet.trips[number].over:
            return
        trip = packet.trips[number]
        trip.over = True
        trip.void = outcome.never_ran
        packet.out -= 1
        self._judge_call(trip.call, outcome, latency, wait, report)
        if packet.key and outcome.may_run_on:
            packet.key.rest_until = now + self._quiet
        if packet.ended:
            self._forget(packet)
        elif finished:
            self._end(packet)
        elif self._may_go_again(packet) and (outcome is not Outcome.UNREADABLE or trip.call.shared):
            packet.alone |= outcome is Outcome.UNREADABLE  # guards those that travel with what none can read
            self._linger(packet, outcome.given_up and not self._copies)
            self._hold(packet)
        else:
            self._finish(packet, self._why_over(packet))

    def _first_risk(self, packet: Packet) -> int:
        """When the first trip went out that may have run, 0 where none did."""
        return next((trip.call.sent_at or 1 for trip in packet.trips if not trip.void), 0)

    def _may_go_again(self, packet: Packet) -> bool:
        """Rule 2: the one guard on further trips."""
        if len(packet.trips) >= self._max_trips or packet.hard_stop - self._margin <= self._now:
            return False
        if not (first := self._first_risk(packet)):
            return True
        host = next(trip.call.host for trip in packet.trips if not trip.void)  # none: in an earlier life
        if packet.profile.effect is Effect.REPLAYABLE:
            return self._copies or host is not None  # nobody will hear of the end of such a trip
        known = packet.profile.effect is Effect.REFERENCED and (host is not None or self._copies)
        if packet.profile.repeat_known_by_zone:  # only in the zone where it went first, or not at all
            known = known and host is not None
            packet.bound = host and host.zone
        return known and self._now < first + packet.profile.repeat_known - self._margin

    def _judge_call(
        self, call: Call, outcome: Outcome, latency: int, wait: int, report: tuple[float, ...]
    ) -> None:
        """One call has one fate, though each packet in it tells of it."""
        host = call.host
        route = call.host.route
        self._stirred[host.destination] = None
        call.left -= 1
        if outcome in (Outcome.FULFILLED, Outcome.FULL, Outcome.FAULT):
            self._tables_at = self._now if self._now - route.turned_at < 2 * ROUND else self._tables_at
            host.used_at = self._now
            route.turned *= outcome is Outcome.FULL
        if not call.left:
            call.trips = []  # no circles, so that nothing waits for the collector
            route.out -= 1
            host.out -= 1
            self._out -= 1
            if not host.out and outcome.may_run_on:
                host.freed_at = self._now  # that link is gone
            host.overdue -= call.late
            self._overdue.pop(call, None)
            if not host.out and host.kind in self._tight_kinds:
                self._enter(self._now + self._spare_idle, host)
        if wait > 0:  # also beside packets of the call that were taken
            route.wait_until = max(route.wait_until, self._now + wait)  # rule 6
        if call.judged:
            return
        call.judged = True
        if (field := self._limit_field) is not None and len(report) > field and report[field] > 0:
            route.top = report[field]
            route.share = report[field] / self._relays
            route.limit = min(route.limit, route.top)  # guards against limits that change in the day
        # A later call is done there: what was given up here before is over as well; a hung host does none.
        done = host.lingering if outcome in (Outcome.FULFILLED, Outcome.FAULT) else ()
        for packet in [packet for packet in done if packet.trips[-1].call.sent_at < call.sent_at]:
            self._linger(packet, False)
            self._place(packet)
        if outcome is Outcome.FULFILLED:
            host.spread += (abs(latency - host.latency) - host.spread) // 4 if host.latency else latency // 2
            host.latency += (latency - host.latency) // 8 if host.latency else latency
            self._slow_start.succeeded(host, call, self._now)
            self._drained[host.kind] *= 1 if route.raised_at < NEVER else 1 - 1 / LEARNED
            route.raised_at = min(route.raised_at, self._now)
            if call.idle >= STALE_LEAST:
                host.lost = 0
                self._idle_answered.add(self._now, call.idle)
        elif outcome is Outcome.FULL:
            left = report[self._left_field] if report and self._left_field is not None else 0.0
            if call.sent_at > route.cut_at:  # refusals of calls sent before the cut say nothing new
                if route.limit <= route.share * LEAST:  # hardly anything was sent: sick, not full
                    self._slow_start.failed(host, REFUSED_WEIGHT, "refused at the least limit", self._now)
                sent = sum(at > self._now - ROUND for at in route.log)  # a limit far above use says nothing
                # Guards sparse senders against starving: what is left tells, in a run of refusals, buckets
                # full for moments from those that it uses up; firsts are cut so as far as they became runs.
                again = route.raised_at == NEVER
                drained = self._drained[host.kind]
                self._drained[host.kind] += (1 - drained) / LEARNED * again
                cut = CUT + (max(CUT_AGAIN, CUT * min(1.0, left)) - CUT) * (1 if again else drained)
                cut *= (0.5 + self._random()) * min(route.limit, route.top, max(1, sent))
                route.limit = max(route.share * (LEAST if again else self._least), cut)
                route.cut_at = self._now
            route.raised_at = NEVER  # no window is free of refusals before a call went well
            # A long wait tells of a shut destination, much of its limit left twice in a row of a hung one.
            seldom = host.destination.taken * self._fall_time < self._now - self._born
            if wait > 2 * ROUND or left > MUCH_LEFT and seldom:
                weight = EJECT_AT if wait > 2 * ROUND else EJECT_AT / 2
                cause = "long wait or limit left"
                evidence = Evidence.OWN_CAUSE
                self._slow_start.siblings_failed(host, weight, cause, self._now, call, evidence)
            self._slow_start.refused(host, self._now, call)
        elif outcome in (Outcome.UNCONNECTED, Outcome.CROWDED):
            host.links = host.out - (call.left > 0)  # without this call, lest a bundle hide a dead host
            slow = outcome is Outcome.UNCONNECTED and latency >= self._slow
            if not slow:
                # Guards against tables filled by idle links: new ones pause, idle ones to that kind are kept
                # for less.  Turned away again and again, it may be down (rule 4), but not if it answered.
                pause = int(ROUND * (0.5 + self._random()))
                host.clear_at = self._now + pause
                route.turned += 1
                route.turned_at = self._now
                fresh = host.kind not in self._tight_kinds
                self._tight_kinds.add(host.kind)
                for other in self._hosts.values() if fresh else ():
                    if other.kind == host.kind and other.used_at > other.freed_at and not other.out:
                        self._enter(max(self._now, other.used_at + self._spare_idle), other)
            # Guards rule 4: all hosts of what is down are judged, but where full tables came free.
            tables = not slow and self._tables_at > self._now - STALE_KEPT
            if outcome is Outcome.UNCONNECTED and not host.links and not tables:
                self._slow_start.siblings_failed(host, EJECT_AT / 2, outcome.value, self._now, call)
            elif outcome is Outcome.UNCONNECTED and not host.links and route.turned > 1:
                evidence = Evidence.OWN_CAUSE
                self._slow_start.failed(host, EJECT_AT / 2, outcome.value, self._now, call, evidence)
        elif outcome is Outcome.CUT_OFF or outcome is Outcome.RESET and latency < host.latency:
            self._link_lost(call, FAILED_WEIGHT, reset=True)
        elif outcome in (Outcome.FAULT, Outcome.TIMED_OUT, Outcome.RESET, Outcome.SPOILT) and not call.late:
            spoilt = outcome is Outcome.SPOILT  # it answered
            weight = REFUSED_WEIGHT if spoilt else FAILED_WEIGHT
            evidence = Evidence.OWN_CAUSE if spoilt else Evidence.OUTAGE
            self._slow_start.failed(host, weight, outcome.value, self._now, call, evidence)

    def _linger(self, packet: Packet, lingers: bool) -> None:
        """Guards against two trips at once: one given up here runs on there till a later one is done."""
        if lingers is not packet.lingers:
            packet.lingers = lingers
            others = packet.trips[-1].call.host.lingering
            (others.append if lingers else others.remove)(packet)

    def _link_lost(
        self, call: Call, weight: float, reset: bool, evidence: Evidence = Evidence.OUTAGE
    ) -> None:
        """Guards against idle links cut on the way: links idle as long are closed before use, to a host after
        a reset or two losses, to all once three lost calls on links idle longer than any answered of late."""
        host = call.host
        weight = REFUSED_WEIGHT if reset and call.idle >= STALE_LEAST else weight
        cause = "link reset" if reset else "overdue"
        self._slow_start.failed(host, weight, cause, self._now, call, evidence)
        if call.idle < STALE_LEAST:
            host.lost = 0
            host.stale_at = -NEVER if call.fresh else host.stale_at
            return
        host.idle_lost = min(host.idle_lost, call.idle) if host.lost else call.idle
        self._swallowed_at = self._swallowed_at if self._copies else self._now
        host.lost += 2 if reset else 1
        self._idle_losses.add(host, self._now, host.idle_lost)
        recent = self._now - STALE_PROOF
        lost = self._idle_losses.count_above(self._idle_answered.greatest(recent), recent)
        self._stale_at = self._now if lost >= STALE_HOSTS else self._stale_at
        if host.lost > 1 or lost >= STALE_HOSTS:
            known = self._span if self._now - self._span_at <= STALE_KEPT else NEVER
            self._span = min(known, host.idle_lost)
            self._span_at = self._now
            host.stale_at = self._now

    def _refresh_links(self, host: Host, call: Call, packets: list[Packet]) -> None:
        call.idle = self._now - host.used_at if host.used_at > host.freed_at else 0
        longest = self._idle_answered.greatest(self._now - STALE_PROOF)
        # Guards what can't go again: once a link swallowed one, those idle longer than was answered may too.
        careful = self._swallowed_at > self._now - STALE_KEPT and call.idle > max(STALE_LEAST, 2 * longest)
        careful |= call.idle >= STALE_LEAST and any(packet.last for packet in packets)
        known = max(host.stale_at, self._stale_at) > self._now - STALE_KEPT
        if careful or known and self._now - host.freed_at >= self._span * 0.8:
            self._port.free_links(host)
            host.freed_at = self._now
            call.idle = 0
            call.fresh = True

    def round_over(self, now: int) -> None:
        """All that came in together has been told: send what has room, then sleep until something is due."""
        self._now = now
        self._settle_due()
        while self._out < self._slots and (load := self._next_load()):
            drawn = load.hosts if self._fees else self._sample(load.hosts, min(2, len(load.hosts)))
            self._call(min(drawn, key=partial(self._burden, load)), load.packets)
        if self._cancels and self._overdue:
            self._free_room()
        if self._agenda and not now < self._alarm_at <= self._agenda[0][0]:
            self._alarm_at = max(self._agenda[0][0], now + MILLISECOND)
            self._port.alarm(self._alarm_at - now)

    def _next_load(self) -> Load | None:
        """The call that saves most; those not weighed for long are weighed again, lest they rise unseen."""
        old = takewhile(lambda home: home.weighed_at <= self._now - self._aim // WEIGHED, self._ready)
        self._stirred.update(dict.fromkeys(islice(old, AT_ONCE)))
        self._weigh()
        while self._loads:
            load = heappop(self._loads)[2]
            if load is load.home.load:
                self._stirred[load.home] = None
                if load.home.weighed_at == self._now:
                    return load
                self._weigh()
        return None

    def _weigh(self) -> None:
        """Find the next call of each destination where something has changed."""
        for home in self._stirred:
            self._ready.pop(home, None)
            home.load = self._load(home) if home.held else None
            home.weighed_at = self._now
            if home.load:
                self._ready[home] = None
                heappush(self._loads, (-home.load.saved, self._order(), home.load))
        self._stirred.clear()

    def _free_room(self) -> None:
        """Guards slots and links: where these are short, calls out far too long give way to held packets."""
        if calls := [call for call in self._overdue if call.given_up or call.yields_at <= self._now]:
            self._weigh()
        for at, call in enumerate(calls):
            if at < len(self._ready) or call.host.destination.held and call.host.tight(self._now):
                self._give_up(call)

    def _give_up(self, call: Call) -> None:
        for packet, number in () if call.given_up else call.trips:
            self._port.cancel(packet, number)
        call.given_up = True

    def _look_again(self, home: Destination, at: int) -> None:
        """Nothing may change there before that time, but by what stirs it."""
        if not self._now < home.due_at <= at:
            home.due_at = at
            self._enter(at, home)

    def _enter(self, at: int, what: Due) -> None:
        heappush(self._agenda, (at, self._order(), what))

    def _settle_due(self) -> None:
        """Packets near their hard stop get their answer; calls out too long count against their host."""
        while self._agenda and self._agenda[0][0] <= self._now:
            what = heappop(self._agenda)[2]
            if what is None:
                self._port.watch()
            elif isinstance(what, Packet):  # its time is up, or held, and its repeat is no longer known
                timed_out = self._now >= what.hard_stop - self._margin
                if not what.ended and (what.held or timed_out):
                    self._finish(what, EndReason.DEADLINE if timed_out else EndReason.REPEAT_WINDOW)
            elif isinstance(what, Destination):
                self._stirred[what] = None
            elif isinstance(what, Key):
                if what.line:
                    self._place(what.line[0])
                elif what.rest_until <= self._now:
                    self._keys.pop(what.id, None)
            elif isinstance(what, Host):
                if not what.out and self._now - max(what.used_at, what.freed_at) >= self._spare_idle:
                    what.freed_at = self._now
                    self._port.free_links(what)
            elif what.left:
                self._settle_call(what)

    def _settle_call(self, call: Call) -> None:
        """A call that is out is overdue, or has outlasted one of its packets.

        Guards rule 1: an answer to a shared call that comes after the time of one of its packets counts for
        none of them, so nobody waits for it.
        """
        if call.shared and self._cancels and self._now >= call.stop - self._margin:
            self._give_up(call)
        elif not call.late and self._now >= call.overdue_at:
            call.late = True
            call.host.overdue += 1
            self._overdue[call] = self._stirred[call.host.destination] = None
            self._enter(call.yields_at, call)
            silent = call.host.used_at < call.sent_at  # it answered nothing in all that time
            evidence = Evidence.OUTAGE if silent else Evidence.OWN_CAUSE  # it is up
            if silent and call.idle >= STALE_LEAST:
                evidence = Evidence.UNCLEAR  # that link may have been cut on the way
            self._link_lost(call, EJECT_AT / 2 if silent else FAILED_WEIGHT, reset=False, evidence=evidence)

    def _hosts_with_room(self, home: Destination) -> list[Host]:
        """Hosts of the destination that may be sent a call now; notes when the next one may."""
        hosts = [host for host in home.hosts if not host.left_at]  # rule 3; none yet: the grace allows others
        hosts = hosts or [host for host in home.hosts if self._now < host.left_at + self._grace]
        return [host for host in hosts if self._has_room(host)]

    def _log_opens(self, route: Route) -> int:
        """When the send log next has room; its window is such that a whole count gives the exact limit."""
        most = max(1, round(route.limit * WINDOW / SECOND))
        window = int(SECOND * most / route.limit)
        while route.log and route.log[0] <= self._now - max(window, ROUND):
            route.log.popleft()
        return route.log[-most] + window if len(route.log) >= most else 0

    def _has_room(self, host: Host) -> bool:
        """Told waits, the windowed count against the limit, as designed; then what guards slots."""
        route = host.route
        now = self._now
        opens = max(
            route.wait_until,
            route.resume_at,
            self._slow_start.opens_at(host, now),
            host.clear_at if host.tight(now) else 0,
        )
        if opens <= now:
            if route.pressed and route.limit < route.top and now - route.raised_at >= ROUND:
                route.limit = min(route.top, route.limit + RAISE * max(route.share, route.limit))
                route.raised_at = now
                route.pressed = False
            opens = self._log_opens(route)
            if opens > now:
                route.pressed = True
                if route.limit < route.top:
                    opens = min(opens, route.raised_at + ROUND)
        if opens > now:
            self._look_again(host.destination, min(opens, self._slow_start.may_open_sooner(host, now)))
            return False
        held_back = self._slow_start.holds_back(host)
        return (
            not held_back and route.out < self._route_slots and now + self._patience(host) <= self._leave_at
        )

    def _load(self, home: Destination) -> Load | None:
        """The next call there: packets that lose most by waiting, weighed by gain a second of a slot."""
        if not (hosts := self._hosts_with_room(home)):
            return None
        took = min(host.latency for host in hosts) or self._aim // 8
        kind = hosts[0].kind
        route = hosts[0].route
        hosts = [host for host in hosts if host.kind == kind]  # a list may be behind on some
        trial = all(self._slow_start.on_trial(host) for host in hosts)
        most = 1 if trial or kind >= len(self._bundle) else self._bundle[kind]
        ranked = home.order.best(self._now + took, most, trial, {host.zone for host in hosts}, kind)
        until = self._now + max(map(self._patience, hosts))  # what may not last as long as a call goes alone
        ranked = [p for p in ranked if p is ranked[0] or min(p[1].hard_stop, ranked[0][1].hard_stop) > until]
        if 0 < len(ranked) < most and not ranked[0][1].alone and self._now < route.cut_at + SCARCE:
            since = min(packet.aim_at - packet.profile.quoted for _, packet in ranked)
            if since + self._aim // GATHER > self._now:  # calls are short there
                self._look_again(home, since + self._aim // GATHER)
                return None
        loss = sum(loss for loss, _ in ranked)  # in a quoted time
        if ranked and (bound := ranked[0][1].bound) is not None:  # rule 2
            hosts = [host for host in hosts if host.zone == bound]
        return ranked and Load(loss * SECOND / took, loss, home, hosts, [p for _, p in ranked]) or None

    def _burden(self, load: Load, host: Host) -> tuple[int, float]:
        """What a call there costs: its fee, and the gain that its packets lose in the time it takes."""
        busy = (
            2 - (host.used_at > host.freed_at) + host.out + 2 * host.failure_score
        )  # a new link: round trips
        time = (1 if host.zone == self._zone else FAR) * busy * (MILLISECOND + host.latency)
        bears_trials = all(packet.curve.bears_trials and not packet.last for packet in load.packets)
        rank = self._slow_start.rank(host, bears_trials)
        return rank, host.fee * len(load.packets) + load.loss * time / self._aim

    def _call(self, host: Host, packets: list[Packet]) -> None:
        """One call with all that travels in it; it is logged once."""
        now = self._now
        route = host.route
        call = Call(host, now, len(packets) > 1)
        patience = self._patience(host)
        self._refresh_links(host, call, packets)
        for packet in packets:
            self._hold(packet, False)
            call.carry(packet)
            self._port.send(packet, host, self._time_out(packet, patience))
        route.log.append(now)
        route.out += 1
        host.out += 1
        self._out += 1
        self._slow_start.sent(host, now)
        # Giving up loses what can't go again; where no copies may run, all that no idle link has swallowed.
        lost = any(p.profile.effect is Effect.SINGLE_USE for p in packets)
        lost |= not self._copies and call.idle < STALE_LEAST
        call.yields_at = now + patience * (1 + lost)
        call.overdue_at = now + patience
        self._enter(call.overdue_at, call)
        if call.shared:
            self._enter(call.stop - self._margin, call)

    def _patience(self, host: Host) -> int:
        return max(self._aim // 4, host.latency + SPREADS * host.spread) if host.latency else self._aim

    def _time_out(self, packet: Packet, patience: int) -> int:
        """Only what may run again at any time comes back, and only if copies may run: it may run on there."""
        wait = max(self._aim, 2 * patience) * len(packet.trips)
        again = packet.profile.effect is Effect.REPLAYABLE and self._copies
        return wait if again and self._now + wait < packet.hard_stop else 0
