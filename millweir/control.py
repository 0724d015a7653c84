"""The decision core of a relay: which packet goes to which host and when, and how each packet ends.

Create one `Relay` with a port, settings, a seed and the time.  Report each event through its method, then
call `end_round`; the relay acts through the port.  It does no I/O and has no clock: every call is given the
time.  Types and the port are in interface.py, records in records.py, the queues of held packets in order.py;
the design is in docs/design.md.

What the decisions keep to:
  every accepted packet gets exactly one final outcome, in time (rule 1);
  no packet takes effect twice (rule 2);
  nothing new is sent to a draining or removed host after the grace period (rule 3);
  a recovering host is not overloaded: slow start (rule 4);
  packets with the same key keep their order (rule 5);
  a retry-after wait is binding for all packets to that destination (rule 6).
"""

import random
from collections import defaultdict
from functools import partial
from heapq import heappop, heappush
from itertools import count, filterfalse, islice, takewhile

from millweir.answers.policy import MAX_CONFIRMATION_DELAY_NS, waits_for_proof
from millweir.events import EndReason, HostTransition, HostView, RecoveringHost, RefusalReason
from millweir.interface import SECOND, Bounds, Change, Effect, Entry, Limits, Outcome, Phase, Port, Settings
from millweir.memory_policy import (
    KNOWN_ID_BYTES,
    derive_memory_shares,
    limit_client_connections,
    limit_list_bytes,
)
from millweir.order import PacketQueues, ValueCurve
from millweir.records import (
    NEVER,
    Call,
    CandidateCall,
    Destination,
    Host,
    OrderingKey,
    Packet,
    RateLimitScope,
    RelayState,
    TimerSubject,
    Trip,
)
from millweir.recovery_schedule import is_on_trial
from millweir.slow_start import (
    EJECTION_LOG_ODDS,
    FAILURE_LOG_ODDS,
    LONG_RETRY_AFTER_NS,
    REFUSAL_LOG_ODDS,
    Evidence,
    SlowStart,
)

# Sent calls are counted against the limit over this window; over a longer one where the limit allows less
# than one call in it.
SEND_WINDOW_NS = 3 * SECOND // 10
MILLISECOND = SECOND // 1000
AIMD_INTERVAL_NS = SECOND  # without a refusal, before the limit is increased

# Factors of the additive-increase, multiplicative-decrease (AIMD) limit.
BACK_OFF_FACTOR = 0.5  # of the rate in use, after a first refusal
REPEATED_BACK_OFF_FACTOR = 0.125  # of the rate in use, after a refusal that follows another one
INCREASE_FACTOR = 0.25  # of limit or fair share (the larger), added after an interval without a refusal
MIN_LIMIT_FACTOR = 0.5  # of the fair share: the limit never backs off below it
# Raises that minimum after a first refusal where listed rates are exact; a rough one is up to half too high.
EXACT_RATE_FACTOR = 1.5

SCOPE_SLOTS_DIVISOR = 3  # a rate limit scope may fill one in so many slots

# Idle connections that a device on the path has dropped (stale connections).
STALE_MEMORY_NS = 30 * SECOND  # for how long an observation counts
MIN_STALE_IDLE_NS = SECOND // 2  # a connection that was idle for less is not stale
STALE_EVIDENCE_WINDOW_NS = 5 * SECOND  # losses at several hosts within it count for all hosts
STALE_EVIDENCE_HOSTS = 3

TENANT_BURST_SECONDS = 2  # of its quota that a tenant may send at once
FORGET_HOST_AFTER_NS = 60 * SECOND  # since it left the list
REMOTE_ZONE_COST_FACTOR = 2
EVICTION_BACKLOG_TARGETS = 4  # target latencies of backlog beyond which a destination's packets go first
UNUSED_LIMIT_FRACTION = 0.75  # a refusal with more of the limit unused than that has another cause
LEARNING_OUTCOMES = 4  # outcomes that the learned share of repeated refusals averages over

# The divisors give a time as a part of the target latency.
LAG_DIVISOR = 16  # loop lag beyond it: packets are refused at random
REEVALUATION_DIVISOR = 32  # age at which a candidate call is evaluated again
MAX_REEVALUATIONS = 64  # of unchanged destinations at a time
BATCH_WAIT_DIVISOR = 8  # for how long a batch that is not full waits for more packets
BATCH_WAIT_AFTER_BACK_OFF_NS = 10 * SECOND  # batches wait only so long after the limit backed off

OVERDUE_DEVIATIONS = 6  # a call is overdue past the mean latency and so many mean deviations

# The load on discovery, which all relays share.
DISCOVERY_BACK_OFF_PER_RELAY_NS = SECOND // 10  # of discovery's time, for each relay
MAX_DISCOVERY_BACK_OFF_NS = 4 * SECOND
MAX_BACK_OFF_DOUBLINGS = 2
WATCH_BACK_OFFS = 5  # a watch lasts so many back-offs, so that watches take a fifth of discovery's time

# A relay may be held up for so long between reading its clock and writing; the grace may be shorter, or none.
MIN_RELEASE_DELAY_NS = 3 * SECOND // 20


def bounds(settings: Settings, limits: Limits) -> Bounds:
    """Derive the limits of the network code: connections, journal, discovery, shutdown and log."""
    half_second = SECOND // 2
    memory = derive_memory_shares(limits)
    head_bytes = 16 << 10
    body_bytes = 64 << 10
    watch = min(
        20 * SECOND, max(2 * SECOND, settings.relays * DISCOVERY_BACK_OFF_PER_RELAY_NS * WATCH_BACK_OFFS)
    )
    return Bounds(
        memory=memory,
        # An idle connection is closed before the host closes it.
        connection_idle_timeout_ns=settings.idle_close * 9 // 10,
        shutdown_linger_ns=half_second,
        max_discovery_back_off_ns=MAX_DISCOVERY_BACK_OFF_NS,
        max_host_connections=limits.descriptors // 4,
        max_known_ids=memory.known_ids // KNOWN_ID_BYTES,
        known_id_time_ns=max((profile.lifetime for profile in settings.profiles), default=watch),
        max_head_bytes=head_bytes,
        max_body_bytes=body_bytes,
        max_client_connections=limit_client_connections(limits, memory),
        request_timeout_ns=4 * half_second,
        client_grace_ns=half_second,
        concurrent_poll_ns=SECOND // 200,
        concurrent_search_ns=SECOND // 20,
        folder_lock_wait_ns=SECOND // 20,
        # A trip that is out as its message ends may last until the deadline.
        concurrent_key_margin_ns=2 * settings.period + SECOND // 20,
        # Two files fit on the disk, as compaction writes a second one.
        max_journal_file_bytes=limits.disk_bytes // 2,
        max_journal_live_bytes=limits.disk_bytes * 3 // 8,
        retry_interval_ns=SECOND,
        # Two of them and a pause fit into the 0.3 s after a deadline, when a notification is overdue.
        moved_notification_timeout_ns=SECOND // 10,
        reconnect_delay_ns=SECOND // 20,
        watch_wait_ns=watch,
        watch_timeout_ns=watch + half_second,
        lag_window_ns=half_second // 2,
        probe_timeouts_ns=(SECOND, SECOND, 3 * half_second),
        startup_list_wait_ns=5 * SECOND // 4,
        shutdown_timeout_ns=33 * SECOND // 10,
        client_close_timeout_ns=SECOND // 5,
        max_log_lines_per_second=200,
        max_notifications_per_request=500,
        max_answer_bytes=body_bytes,
        answer_timeout_ns=half_second,
        last_byte_hold_ns=SECOND // 500,
        # A drain that was received meanwhile, and not read yet, is still within its grace period.
        max_release_delay_ns=max(MIN_RELEASE_DELAY_NS, settings.drain_grace - 2 * settings.period),
        max_list_bytes=limit_list_bytes(memory),
        max_requests_per_turn=64,
        max_calls_per_turn=16,
    )


class Relay(RelayState):
    """One relay's decisions; it sees only its own traffic and shares nothing with other relays."""

    def __init__(self, port: Port, settings: Settings, seed: int, now: int) -> None:
        super().__init__()
        self._port = port
        self._relay_count = max(1, settings.relays)
        rng = random.Random(seed)
        self._sample = rng.sample
        self._random = rng.random
        self._started_at = now
        self._now = now
        self._slots = settings.slots
        self._scope_slots = max(2, settings.slots // SCOPE_SLOTS_DIVISOR)
        self._max_open = settings.max_open
        self._max_trips = settings.max_trips
        self._margin = 2 * settings.period
        self._max_batch = settings.max_batch_packets
        self._per_host_kinds = {kind for kind, own in enumerate(settings.has_own_limit) if own}
        self._tenant_quotas = [tenant.quota / self._relay_count for tenant in settings.tenants]
        self._tenant_buckets = [(quota, now) for quota in self._tenant_quotas]
        # Positions of the remaining fraction and of the limit in a host's report.
        self._remaining_field, self._limit_field = (
            settings.report_fields.index(name) if name in settings.report_fields else None
            for name in ("x0", "x1")
        )
        self._drain_grace = settings.drain_grace - self._margin
        self._slow_connect_time = settings.connect_timeout // 2
        self._key_quiet_time = settings.key_quiet_period
        self._recovery_window = settings.recovery_window
        self._min_limit_factor = (
            MIN_LIMIT_FACTOR if settings.rates_approximate else MIN_LIMIT_FACTOR * EXACT_RATE_FACTOR
        )
        self._zone = settings.zone
        self._rates_listed = settings.rates_listed
        self._max_retry_after = settings.max_wait
        self._target_latency = min((p.target_latency for p in settings.profiles), default=SECOND)
        self._profiles = [
            (p, ValueCurve(p, self._target_latency, settings.value_halves)) for p in settings.profiles
        ]
        self._slow_start = SlowStart(settings, rng.random, now)
        self._watch_retry_limit = settings.host_list_poll_interval // 4 if settings.polls_host_list else 0
        # Fees are given as fractions of the mean value of a packet.
        mean_value = sum(p.value for p in settings.profiles) / max(1, len(settings.profiles))
        self._fees = {
            zone: fee * mean_value for zone, fee in enumerate(settings.zone_fees) if any(settings.zone_fees)
        }
        self._may_cancel = settings.cancel
        self._allows_second_copies = settings.allow_second_copies
        self._over_quota_factor = settings.over_quota_value
        # Nothing is known yet of stale connections, of packets lost on them, or of full connection tables.
        self._stale_idle_time = NEVER
        self._stale_idle_time_at = -NEVER
        self._all_stale_at = -NEVER
        self._idle_loss_at = -NEVER
        self._table_freed_at = -NEVER
        self._destinations: defaultdict[int, Destination] = defaultdict(lambda: Destination(PacketQueues()))
        # By kind: the learned fraction of refusals that are followed by another one.
        self._refusal_run_rate: defaultdict[int, float] = defaultdict(float)
        # Held packets that may be dismissed, as none of their trips may have run.
        self._dismissible = PacketQueues()
        self._dismissible_restored = PacketQueues()
        self._full_table_idle_time = 2 * settings.idle_close // self._relay_count
        self._next_number = count().__next__
        self._alarm_at = 0
        self._stop_at = NEVER
        self._failed_watches = 0
        self.refusal_reason = RefusalReason.NONE  # of the last call of check_admission
        if settings.polls_host_list:
            port.request_host_list()

    def pop_transition(self) -> HostTransition | None:
        """Return the next change of a host's state that was not fetched yet."""
        return self._slow_start.transitions.popleft() if self._slow_start.transitions else None

    def view_host(self, ident: bytes) -> HostView | None:
        """Return what is known of a host; None where it is neither listed nor remembered."""
        host = self._hosts.get(ident)
        return host and HostView(
            self._slow_start.state_of(host),
            host.last_success_at,
            host.limit_scope.limit,
            self._slow_start.schedule.next_call_at(host, self._now),
        )

    def update_hosts(
        self, now: int, change: Change, entries: tuple[Entry, ...], earliest_received_at: int = 0
    ) -> list[bytes]:
        """Apply an update of the host list; in a full list, hosts that are missing have been removed.

        Returns the names that stand for hosts of another destination now.
        `earliest_received_at`: when the update may have arrived, if before now; grace periods start then.
        """
        self._now = now
        earliest_received_at = earliest_received_at or now
        if change is Change.FAILED:
            # The platform counts a drain as received after a fixed time, so the watch is renewed soon.
            self._failed_watches += 1
            self._set_timer(
                now + min(self._watch_retry_limit, SECOND << min(self._failed_watches, 8) >> 2), None
            )
            return []
        self._failed_watches *= change is Change.CACHED
        for host in self._departed_hosts.take_idle(now - FORGET_HOST_AFTER_NS):
            self._slow_start.forget_host(self._hosts.pop(host.id))
        removed_ids = (
            [entry.host for entry in entries if entry.phase is Phase.GONE]
            if change is Change.DELTA
            else filterfalse({entry.host for entry in entries}.__contains__, self._hosts)
        )
        for host in filter(None, map(self._hosts.get, removed_ids)):
            if host in host.destination.hosts:
                # The record stays for a while: a flapping list must not clear its wait or its failure score.
                host.drain_started_at = host.drain_started_at or earliest_received_at
                self._dirty[host.destination] = None
                del host.destination.hosts[host]
                self._departed_hosts.add(host)
        reassigned = []
        for entry in entries:
            if entry.phase is not Phase.GONE:
                if self._drop_record_of_other_destination(entry):
                    reassigned.append(entry.host)
                host = self._hosts.get(entry.host) or self._register_host(entry)
                # A cached list was received before the restart: its grace periods have passed.
                notified_at = (
                    max(1, now - self._drain_grace) if change is Change.CACHED else earliest_received_at
                )
                host.kind = entry.kind
                host.ready = entry.phase is Phase.READY
                cordoned_at = self._cordoned.get(entry.host, 0)
                if host.ready and not cordoned_at:
                    self._resume_use(host)
                else:
                    host.drain_started_at = host.drain_started_at or cordoned_at or notified_at
                self._dirty[host.destination] = host.destination.hosts[host] = None
                self._departed_hosts.discard(host)
                if self._rates_listed and entry.rate > 0 and entry.rate != host.limit_scope.listed_rate:
                    # The listed rate may change while the relay runs.
                    host.limit_scope.listed_rate = host.limit_scope.max_limit = entry.rate
                    host.limit_scope.fair_share = entry.rate / self._relay_count
        return reassigned

    def _drop_record_of_other_destination(self, entry: Entry) -> bool:
        """Drop the record of a host whose name stands for one of another destination now.

        The calls in flight keep the old record, and with it the limit, the waits and the health that they
        concern; the new host starts with none of them.
        """
        host = self._hosts.get(entry.host)
        if host is None or host.destination is self._destinations[entry.destination]:
            return False
        if host in host.destination.hosts:
            del host.destination.hosts[host]
            self._dirty[host.destination] = None
        self._departed_hosts.discard(host)
        host.drain_started_at = host.drain_started_at or self._now
        del self._hosts[host.id]
        return True

    def is_current_record(self, host: Host) -> bool:
        """Whether the host's name still stands for this host."""
        return self._hosts.get(host.id) is host

    def _register_host(self, entry: Entry) -> Host:
        destination = self._destinations[entry.destination]
        scope = None if entry.kind in self._per_host_kinds else destination.limit_scope
        if scope is None:
            max_limit = entry.rate if self._rates_listed and entry.rate > 0 else float(NEVER)
            scope = destination.limit_scope = RateLimitScope(
                max_limit if max_limit < NEVER else 1.0, max_limit / self._relay_count, max_limit, self._now
            )
            scope.release_fraction = self._random()
            scope.limit = min(
                max_limit, max((scope.fair_share * max_limit) ** 0.5, SECOND / AIMD_INTERVAL_NS)
            )
        fee = self._fees.get(entry.zone, 0.0) * (entry.kind in self._per_host_kinds)
        host = self._hosts[entry.host] = Host(entry, destination, scope, fee)
        if (
            scope.last_ejected
            and scope.last_ejected.slow_start_rate
            and all(other.slow_start_rate for other in destination.hosts)
        ):
            # All others are recovering: without their state this host would be sent all held packets at once.
            host.copy_ejection(scope.last_ejected)
            self._slow_start.resume_host(host, self._now)
        self._slow_start.recall_host(host, self._now)
        return host

    def _resume_use(self, host: Host) -> None:
        """End a drain that was undone, a removal that was reversed, or a cordon that was lifted."""
        if host.drain_started_at:
            host.drain_started_at = 0
            self._slow_start.resume_host(host, self._now)

    def set_cordon(self, now: int, ident: bytes, cordoned: bool, since: int) -> bool:
        """Take a host out of use or put it back; return False for a host that no list has named.

        A cordoned host is sent nothing new after the grace period, whatever the list says.
        """
        host = self._hosts.get(ident)
        self._now = now
        if host is None and ident not in self._cordoned:
            return False
        if cordoned:
            self._cordoned.setdefault(ident, since)
        elif self._cordoned.pop(ident, 0) and host and host.ready:
            # It returns through slow start, so that it is not overloaded.
            self._slow_start.record_failure(
                host, EJECTION_LOG_ODDS, "uncordoned", now, evidence=Evidence.OTHER_CAUSE
            )
            self._resume_use(host)
        if host:
            host.drain_started_at = host.drain_started_at or self._cordoned.get(ident, 0)
            self._dirty[host.destination] = None
        return True

    def update_settings(self, settings: Settings) -> None:
        """Apply settings that were reloaded at SIGHUP.

        New profiles are appended, so packets in flight keep theirs; a lower limit of trips and a longer quiet
        time of keys hold at once.
        """
        self._profiles += [
            (p, ValueCurve(p, self._target_latency, settings.value_halves)) for p in settings.profiles
        ]
        self._max_trips = settings.max_trips
        self._key_quiet_time = max(self._key_quiet_time, settings.key_quiet_period)

    def apply_retry_after(self, now: int, ident: bytes, until: int) -> None:
        """Apply a retry-after that a process beside this one received: both are the same relay."""
        if (host := self._hosts.get(ident)) and until > host.limit_scope.retry_after_until:
            host.limit_scope.retry_after_until = until
            self._dirty[host.destination] = None
            self._slow_start.record_known_wait(host, now)

    def list_recovering_hosts(self) -> list[RecoveringHost]:
        """List the hosts in slow start, for the next process of this relay and for the one beside it."""
        return self._slow_start.list_recovering_hosts(self._hosts.values())

    @property
    def recovering_changes(self) -> int:
        """The number of changes so far of what `list_recovering_hosts` returns."""
        return self._slow_start.changes

    def restore_host(self, now: int, recovering: RecoveringHost) -> bool:
        """Restore a host's slow start from an earlier process or one beside this; False: not listed."""
        if (host := self._hosts.get(recovering.host)) is None:
            return False
        self._now = now
        self._slow_start.restore_host(host, recovering, now)
        self._dirty[host.destination] = None
        return True

    def report_earlier_failure(self, now: int, destination_id: int, failed_at: int) -> None:
        """Report that an attempt before the restart never ran there, and nothing more is known.

        A destination of unknown state is treated as recovering.
        """
        for host in self._destinations[destination_id].hosts:
            self.restore_host(
                now, RecoveringHost(host.id, failed_at, slow_start_rate=0.0, recovered_at=0, limit=0.0)
            )

    def draw_discovery_back_off(self, failures: int) -> int:
        """Draw the delay before discovery is asked again after so many failures.

        It is random, as all relays fail at the same moment, and bounded, as a change of the list counts as
        received 6 s after discovery could be reached.
        """
        # The first delay is anywhere in the range; later ones are in its upper half, which spaces them more
        # evenly.
        fraction = self._random() if failures < 2 else 1 - self._random() / 2
        return int(
            fraction
            * min(
                self._relay_count * DISCOVERY_BACK_OFF_PER_RELAY_NS << min(failures, MAX_BACK_OFF_DOUBLINGS),
                MAX_DISCOVERY_BACK_OFF_NS,
            )
        )

    def check_admission(self, destination_id: int, size: int, room: int, remaining: int, lag: int) -> int:
        """Return 0 where a packet may be accepted and stored, else after how long its client may retry.

        The remaining time is that until its deadline; the lag is how late requests were answered of late.
        """
        full = self._max_open and self._open_packets >= self._max_open
        destination = self._destinations.get(destination_id)
        # An id that no list has named may become a destination later, or never.
        listed = destination and destination.limit_scope
        # On a slow processor packets could miss their deadline: those that could are refused, and of the
        # others the more the longer the loop lags.
        late = (
            remaining <= 2 * lag + self._margin or self._random() * lag > self._target_latency // LAG_DIVISOR
        )
        reasons = {
            RefusalReason.STOPPING: self._stop_at < NEVER,
            RefusalReason.NOT_LISTED: not listed,
            RefusalReason.TABLE_FULL: full,
            RefusalReason.NO_ROOM: size > room,
            RefusalReason.LATE: late,
        }
        self.refusal_reason = next((reason for reason, holds in reasons.items() if holds), RefusalReason.NONE)
        return 0 if self.refusal_reason is RefusalReason.NONE else AIMD_INTERVAL_NS

    def begin_shutdown(self, stop_at: int, replaced: bool = False) -> None:
        """Accept no more packets and make no call that may outlast the process, which stops at `stop_at`."""
        self._stop_at = stop_at
        self.set_replaced(replaced)

    def set_replaced(self, replaced: bool) -> None:
        """Note whether a concurrent process has taken over this relay's part of the slow-start budgets."""
        self._slow_start.replaced = replaced

    def may_write(self, now: int, host: Host, packet: Packet) -> bool:
        """Whether a trip may still be written, now that its connection is established.

        A retry-after or a drain may have arrived meanwhile, or the packet's deduplication window have ended.
        """
        window_start = (
            next((trip.call.sent_at for trip in packet.trips[:-1] if not trip.never_ran), NEVER)
            - self._margin
        )
        deduplicated = (
            packet.profile.effect is not Effect.IDEMPOTENT_BY_KEY
            or now < window_start + packet.profile.dedup_window
        )
        return (
            deduplicated
            and now >= host.limit_scope.retry_after_until
            and not 0 < host.drain_started_at <= now - self._drain_grace
        )

    def add_packet(
        self,
        now: int,
        ident: int,
        profile: int,
        tenant: int,
        key: int,
        deadline: int,
        destination_id: int,
        earlier: tuple[tuple[int, bool], ...] = (),
        restored: bool = False,
        taken_at: int = 0,
    ) -> None:
        """Hold a packet that a client handed in or that was accepted before the restart.

        `end_round` sends it.  `earlier`: its trips before the restart, as (sent at, never ran).  `taken_at`:
        by which packets of one key are ordered; those of the same time in the order in which they are added.
        """
        self._now = now
        destination = self._destinations[destination_id]
        packet = Packet(ident, self._next_number(), *self._profiles[profile], destination, deadline)
        packet.value = packet.profile.value * self._charge_tenant(tenant)
        packet.restored = restored
        if packet.profile.in_order and key:
            packet.key = self._keys.get(key) or self._keys.setdefault(key, OrderingKey(key))
            packet.taken_at = taken_at
            packet.key.add(packet)
            self._update_order(packet.key.queue[0])
            if packet is packet.key.queue[0]:
                for displaced in islice(packet.key.queue, 1, 2):
                    self._update_order(displaced)
        packet.trips = [
            Trip(Call(None, sent_at, False), has_ended=True, never_ran=never_ran)
            for sent_at, never_ran in earlier
        ]
        if packet.key and self._first_uncertain_trip_at(packet):
            packet.key.quiet_until = now + self._key_quiet_time
        self._packets[ident] = packet
        self._open_packets += 1
        # Only what was handed in to this process tells of its traffic.
        destination.accepted_count += not restored and deadline - packet.profile.lifetime >= self._started_at
        self._set_timer(deadline - self._margin, packet)
        self._set_held(packet)
        if earlier and not self._may_retry(packet):
            # A non-idempotent packet may have run before the restart.
            self._answer_undelivered(packet, self._choose_end_reason(packet))
        elif self._max_open and self._open_packets >= self._max_open and (victim := self._choose_eviction()):
            self._answer_undelivered(victim, EndReason.TABLE_FULL)  # its client may hand it in again later

    def _charge_tenant(self, tenant: int) -> float:
        """Take a token from the tenant's bucket; return the factor on the packet's value.

        Packets beyond a tenant's quota are worth less, so that a flood of one tenant goes last.
        """
        if tenant >= len(self._tenant_quotas) or self._tenant_quotas[tenant] <= 0:
            return 1.0
        quota, (tokens, filled_at) = self._tenant_quotas[tenant], self._tenant_buckets[tenant]
        tokens = min(TENANT_BURST_SECONDS * quota, tokens + quota * (self._now - filled_at) / SECOND)
        self._tenant_buckets[tenant] = (tokens - (tokens >= 1), self._now)
        return 1.0 if tokens >= 1 else self._over_quota_factor

    def _set_held(self, packet: Packet, held: bool = True) -> None:
        """Add the packet to the held ones, or take it out.

        What a held packet may do depends only on what is recorded here.
        """
        packet.on_last_trip = len(packet.trips) + 1 == self._max_trips if held else packet.on_last_trip
        packet.held = held
        packet.destination.held += 1 if held else -1
        if not (first := self._first_uncertain_trip_at(packet)):
            dismissible = self._dismissible_restored if packet.restored else self._dismissible
            (dismissible.add if held else dismissible.remove)(packet, packet.value)
        elif held and packet.profile.effect is Effect.IDEMPOTENT_BY_KEY:
            self._set_timer(first + packet.profile.dedup_window - self._margin, packet)
        self._update_order(packet)

    def _update_order(self, packet: Packet) -> None:
        """Put the packet into its destination's order, by its current weight, or take it out."""
        weight = packet.value * packet.held * (not packet.last_trip_abandoned)
        key = packet.key
        if key and weight:
            # After a trip that may still run, the next packet of the key waits, so that the order is kept.
            quiet = not packet.trips and key.quiet_until > self._now
            if quiet and key.queue[0] is packet:
                self._set_timer(key.quiet_until, key)
            # The packets behind it wait too, which makes it worth more: in powers of two, so that a long
            # queue seldom changes the weight.
            has_turn = key.queue[0] is packet and packet.taken_at < key.taken_before
            weight *= 0 if quiet or not has_turn else 1 << len(key.queue).bit_length() - 1
        if weight != packet.weight:
            if packet.weight:
                packet.destination.order.remove(packet, packet.weight)
            if weight:
                packet.destination.order.add(packet, weight)
            packet.weight = weight
        self._dirty[packet.destination] = None

    def _choose_end_reason(self, packet: Packet) -> EndReason:
        """Return why a packet that must not be sent again ends now."""
        if packet.deadline - self._margin <= self._now:
            return EndReason.DEADLINE
        if self._first_uncertain_trip_at(packet):
            return EndReason.MAY_HAVE_RUN
        return EndReason.ATTEMPTS_USED if len(packet.trips) >= self._max_trips else EndReason.UNREADABLE

    def _answer_undelivered(self, packet: Packet, reason: EndReason) -> None:
        """End an undelivered packet: dismissed where no trip may have run, else with an error.

        This is the only place that gives such an answer, so that every packet gets exactly one.
        """
        packet.end_reason = reason
        (
            self._port.fail(packet)
            if self._first_uncertain_trip_at(packet)
            else self._port.dismiss(packet, self._compute_retry_after(packet))
        )
        self._close_packet(packet)

    def _compute_retry_after(self, packet: Packet) -> int:
        return min(self._max_retry_after, max(MILLISECOND, self._estimate_backlog_time(packet.destination)))

    def _estimate_backlog_time(self, destination: Destination) -> int:
        """Estimate how long the destination takes for all packets that are held for it."""
        if (scope := destination.limit_scope) is None:
            return NEVER
        return max(
            scope.retry_after_until - self._now,
            int(destination.held * SECOND / min(scope.limit, scope.listed_rate)),
        )

    def _choose_eviction(self) -> Packet | None:
        """Choose the packet that makes room in the full packet table, if any may be dismissed.

        Packets that their destination cannot take for a long time go before the others.
        """
        destination = max(
            (destination for destination in self._destinations.values() if destination.held),
            key=self._estimate_backlog_time,
        )
        victim = (
            destination.order.least_valuable(self._now + AIMD_INTERVAL_NS)
            if self._estimate_backlog_time(destination) > EVICTION_BACKLOG_TARGETS * self._target_latency
            else None
        )
        if victim and not self._first_uncertain_trip_at(victim) and not victim.restored:
            return victim
        # Packets accepted before the restart go last: new ones can be refused instead.
        victim = self._dismissible.least_valuable(self._now + AIMD_INTERVAL_NS)
        if victim is None and self._open_packets > self._max_open:
            return self._dismissible_restored.least_valuable(self._now + AIMD_INTERVAL_NS)
        return victim

    def _close_packet(self, packet: Packet) -> None:
        packet.ended = True
        self._open_packets -= 1
        self._set_abandoned(packet, False)
        if packet.held:
            self._set_held(packet, False)
        self._remove_packet(packet)

    def _remove_packet(self, packet: Packet) -> None:
        """Drop the record of an ended packet once none of its trips is in flight."""
        if packet.in_flight or not self._packets.pop(packet.id, None):
            return
        packet.trips = []  # the timer of its deadline may keep the packet for long
        if packet.key:
            packet.key.queue.remove(packet)
            if packet.key.queue:
                self._update_order(packet.key.queue[0])
            self._set_timer(packet.key.quiet_until, packet.key)

    def withdraw_packet(self, now: int, ident: int) -> None:
        """End a packet without an answer, as nobody waits for it any more."""
        self._now = now
        packet = self._packets.get(ident)
        if packet and not packet.ended:
            self._close_packet(packet)

    def end_trip(
        self,
        now: int,
        ident: int,
        number: int,
        outcome: Outcome,
        finished: bool,
        latency: int,
        wait: int,
        report: tuple[float, ...],
        proven: bool = True,
    ) -> None:
        """Record the outcome of a trip; unless that finished the packet, it is sent again or answered.

        The wait is the retry-after of the response, 0 for none; the report is the host's load report.
        `proven`: the response can't belong to another call.
        """
        self._now = now
        packet = self._packets.get(ident)
        if packet is None or number >= len(packet.trips) or packet.trips[number].has_ended:
            return
        trip = packet.trips[number]
        trip.has_ended = True
        trip.never_ran = outcome.never_ran and proven
        packet.in_flight -= 1
        self._record_call_outcome(trip.call, outcome, latency, wait, report)
        if packet.key and not proven and (finished or outcome.never_ran):
            packet.key.quiet_until = packet.deadline + MAX_CONFIRMATION_DELAY_NS  # ended by its settlement
        elif packet.key and (outcome.may_run_on or not proven):
            packet.key.quiet_until = now + self._key_quiet_time
        if packet.ended:
            self._remove_packet(packet)
        elif finished:
            self._close_packet(packet)
        elif not proven and self._waits_for_proof(packet, outcome):
            packet.unproven_outcome = outcome
        else:
            self._retry_or_answer(packet, outcome, trip.call)

    def _waits_for_proof(self, packet: Packet, outcome: Outcome) -> bool:
        """Whether a packet whose outcome is unproven waits, so that it is not sent or answered wrongly."""
        if packet.deadline - self._margin <= self._now:
            return False
        if not outcome.never_ran:  # its call may be out still
            return not self._allows_second_copies and self._may_retry(packet)
        return waits_for_proof(packet.profile.effect, self._allows_second_copies) or not self._may_retry(
            packet
        )

    def settle_outcome(self, now: int, ident: int, number: int, never_ran: bool) -> None:
        """Record whether an unproven outcome is a confirmed refusal; a packet that waited goes on.

        One that was confirmed before may be taken back: a packet that is still held is answered then, if the
        trip that may have run forbids another.
        """
        self._now = now
        packet = self._packets.get(ident)
        if packet is None or number >= len(packet.trips):
            return
        trip = packet.trips[number]
        if trip.never_ran is not never_ran:
            self._change_never_ran(packet, trip, never_ran)
        self.end_key_quiet(now, packet)
        if packet.unproven_outcome and not packet.ended:
            outcome, packet.unproven_outcome = packet.unproven_outcome, None
            self._retry_or_answer(packet, outcome, trip.call)

    def _change_never_ran(self, packet: Packet, trip: Trip, never_ran: bool) -> None:
        """Change what is known of a trip that has ended, and with it what the packet may do if it is held."""
        held = packet.held
        if held:
            self._set_held(packet, False)
        trip.never_ran = never_ran
        if not self._first_uncertain_trip_at(packet):
            packet.bound_zone = None
        if not held:
            return
        if never_ran or self._may_retry(packet):
            self._set_held(packet)
        else:
            self._answer_undelivered(packet, self._choose_end_reason(packet))

    def end_key_quiet(self, now: int, packet: Packet) -> None:
        """Let the next packet of this one's key go: the trip that might still have run has ended."""
        self._now = now
        if key := packet.key:
            key.quiet_until = min(key.quiet_until, now)
            if key.queue:
                self._update_order(key.queue[0])

    def hold_key(self, now: int, profile: int, key_id: int) -> None:
        """Let no packet of a key go for its quiet time: a call of an earlier, ended one may still run."""
        if not (self._profiles[profile][0].in_order and key_id):
            return
        key = self._keys.get(key_id) or self._keys.setdefault(key_id, OrderingKey(key_id))
        key.quiet_until = max(key.quiet_until, now + self._key_quiet_time)
        self._set_timer(key.quiet_until, key)
        if key.queue:
            self._update_order(key.queue[0])

    def limit_key(self, now: int, key_id: int, taken_before: int) -> None:
        """Let only packets of a key go that were taken before a time: another process holds an older one."""
        self._now = now
        if key := self._keys.get(key_id):
            key.taken_before = taken_before
            if key.queue:
                self._update_order(key.queue[0])

    def _retry_or_answer(self, packet: Packet, outcome: Outcome, call: Call) -> None:
        """Hold a packet whose trip has ended, to be sent again, or answer it."""
        if self._may_retry(packet) and (outcome is not Outcome.UNREADABLE or call.shared):
            # One unreadable packet spoils a batch: each of them is sent alone, which protects the others.
            packet.travels_alone |= outcome is Outcome.UNREADABLE
            self._set_abandoned(packet, outcome.given_up and not self._allows_second_copies)
            self._set_held(packet)
        else:
            self._answer_undelivered(packet, self._choose_end_reason(packet))

    def _first_uncertain_trip_at(self, packet: Packet) -> int:
        """Return when the first trip was sent that may have run, 0 if none may have."""
        return next((trip.call.sent_at or 1 for trip in packet.trips if not trip.never_ran), 0)

    def _may_retry(self, packet: Packet) -> bool:
        """Whether the packet may be sent again; the only guard against a packet that takes effect twice."""
        if len(packet.trips) >= self._max_trips or packet.deadline - self._margin <= self._now:
            return False
        if not (first := self._first_uncertain_trip_at(packet)):
            return True
        host = next(trip.call.host for trip in packet.trips if not trip.never_ran)  # None: before the restart
        if packet.profile.effect is Effect.IDEMPOTENT:
            # The end of a trip from before the restart is never reported: the second one would be a copy.
            return self._allows_second_copies or host is not None
        deduplicated = packet.profile.effect is Effect.IDEMPOTENT_BY_KEY and (
            host is not None or self._allows_second_copies
        )
        if packet.profile.dedup_per_zone:  # only the zone that saw the first trip detects a repeat
            deduplicated = deduplicated and host is not None
            packet.bound_zone = host and host.zone
        return deduplicated and self._now < first + packet.profile.dedup_window - self._margin

    def _record_call_outcome(
        self, call: Call, outcome: Outcome, latency: int, wait: int, report: tuple[float, ...]
    ) -> None:
        """Update the host and its limit; a call's outcome counts once, not once for each of its packets."""
        host = call.host
        scope = call.host.limit_scope
        self._dirty[host.destination] = None
        call.trips_remaining -= 1
        if outcome in (Outcome.FULFILLED, Outcome.FULL, Outcome.FAULT):
            self._table_freed_at = (
                self._now
                if self._now - scope.connect_rejected_at < 2 * AIMD_INTERVAL_NS
                else self._table_freed_at
            )
            host.last_answer_at = self._now
            scope.rejected_connects *= outcome is Outcome.FULL
        if not call.trips_remaining:
            call.trips = []  # breaks the reference cycle, so that no garbage collection is needed
            scope.in_flight -= 1
            host.in_flight -= 1
            self._in_flight -= 1
            if not host.in_flight and outcome.may_run_on:
                host.idle_closed_at = self._now  # the call's connection was closed
            host.overdue -= call.is_overdue
            self._overdue_calls.pop(call, None)
            if not host.in_flight and host.kind in self._full_table_kinds:
                self._set_timer(self._now + self._full_table_idle_time, host)
        if wait > 0:  # binding for all packets to it, also where other packets of the call were accepted
            scope.retry_after_until = max(scope.retry_after_until, self._now + wait)
        if call.outcome_recorded:
            return
        call.outcome_recorded = True
        if (field := self._limit_field) is not None and len(report) > field and report[field] > 0:
            scope.max_limit = report[field]
            scope.fair_share = report[field] / self._relay_count
            scope.limit = min(scope.limit, scope.max_limit)  # the real limit may fall while the relay runs
        # The host has completed a call that was sent later, so trips abandoned there before have ended too;
        # a hung host completes none.
        abandoned = host.abandoned_packets if outcome in (Outcome.FULFILLED, Outcome.FAULT) else ()
        for packet in [packet for packet in abandoned if packet.trips[-1].call.sent_at < call.sent_at]:
            self._set_abandoned(packet, False)
            self._update_order(packet)
        if outcome is Outcome.FULFILLED:
            host.latency_deviation += (
                (abs(latency - host.latency) - host.latency_deviation) // 4 if host.latency else latency // 2
            )
            host.latency += (latency - host.latency) // 8 if host.latency else latency
            self._slow_start.record_success(host, call, self._now)
            self._refusal_run_rate[host.kind] *= (
                1 if scope.increased_at < NEVER else 1 - 1 / LEARNING_OUTCOMES
            )
            scope.increased_at = min(scope.increased_at, self._now)
            if call.idle_time >= MIN_STALE_IDLE_NS:
                host.idle_losses = 0
                self._answered_idle_times.add(self._now, call.idle_time)
        elif outcome is Outcome.FULL:
            remaining = report[self._remaining_field] if report and self._remaining_field is not None else 0.0
            if call.sent_at > scope.backed_off_at:  # calls sent before the back-off tell nothing new
                if scope.limit <= scope.fair_share * MIN_LIMIT_FACTOR:
                    # Hardly anything was sent: the host is failing, not at its limit.
                    self._slow_start.record_failure(
                        host, REFUSAL_LOG_ODDS, "refused at the minimum limit", self._now
                    )
                # Backs off from the rate in use: a limit far above it tells nothing.
                sent_lately = sum(at > self._now - AIMD_INTERVAL_NS for at in scope.sent_times)
                # A sparse sender must not starve.  In a run of refusals, the remaining part that the host
                # reports tells a bucket that was full for a moment from one that this sender uses up.  A
                # first refusal backs off as far towards that as first refusals have become runs before.
                repeated = scope.increased_at == NEVER
                run_rate = self._refusal_run_rate[host.kind]
                self._refusal_run_rate[host.kind] += (1 - run_rate) / LEARNING_OUTCOMES * repeated
                reduced = BACK_OFF_FACTOR + (
                    max(REPEATED_BACK_OFF_FACTOR, BACK_OFF_FACTOR * min(1.0, remaining)) - BACK_OFF_FACTOR
                ) * (1 if repeated else run_rate)
                reduced *= (0.5 + self._random()) * min(scope.limit, scope.max_limit, max(1, sent_lately))
                scope.limit = max(
                    scope.fair_share * (MIN_LIMIT_FACTOR if repeated else self._min_limit_factor), reduced
                )
                scope.backed_off_at = self._now
            scope.increased_at = NEVER  # no increase until a call has succeeded
            # A long retry-after means that the destination is down; much of the limit unused, twice in a row,
            # that it hangs.
            sparse = host.destination.accepted_count * self._recovery_window < self._now - self._started_at
            if wait > LONG_RETRY_AFTER_NS or remaining > UNUSED_LIMIT_FRACTION and sparse:
                weight = EJECTION_LOG_ODDS if wait > LONG_RETRY_AFTER_NS else EJECTION_LOG_ODDS / 2
                cause = "long retry-after or unused limit"
                evidence = Evidence.OTHER_CAUSE
                self._slow_start.record_sibling_failures(host, weight, cause, self._now, call, evidence)
            self._slow_start.record_refusal(host, self._now, call)
        elif outcome in (Outcome.UNCONNECTED, Outcome.CROWDED):
            # Without this call itself: its other packets must not hide that the host is down.
            host.calls_when_full = host.in_flight - (call.trips_remaining > 0)
            slow = outcome is Outcome.UNCONNECTED and latency >= self._slow_connect_time
            if not slow:
                # Idle connections may fill the host's connection table: new ones pause, and idle ones to
                # hosts of that kind are kept for a shorter time.  A host that rejects connections again and
                # again may be down and needs slow start, but not if it answered in between.
                pause = int(AIMD_INTERVAL_NS * (0.5 + self._random()))
                host.table_full_until = self._now + pause
                scope.rejected_connects += 1
                scope.connect_rejected_at = self._now
                newly_full = host.kind not in self._full_table_kinds
                self._full_table_kinds.add(host.kind)
                for other in self._hosts.values() if newly_full else ():
                    if (
                        other.kind == host.kind
                        and other.last_answer_at > other.idle_closed_at
                        and not other.in_flight
                    ):
                        self._set_timer(
                            max(self._now, other.last_answer_at + self._full_table_idle_time), other
                        )
            # An outage takes all hosts of a destination, so all start slowly; full tables that were seen to
            # free up lately are no outage.
            tables_full = not slow and self._table_freed_at > self._now - STALE_MEMORY_NS
            if outcome is Outcome.UNCONNECTED and not host.calls_when_full and not tables_full:
                self._slow_start.record_sibling_failures(
                    host, EJECTION_LOG_ODDS / 2, outcome.value, self._now, call
                )
            elif outcome is Outcome.UNCONNECTED and not host.calls_when_full and scope.rejected_connects > 1:
                evidence = Evidence.OTHER_CAUSE
                self._slow_start.record_failure(
                    host, EJECTION_LOG_ODDS / 2, outcome.value, self._now, call, evidence
                )
        elif outcome is Outcome.CUT_OFF or outcome is Outcome.RESET and latency < host.latency:
            self._record_lost_connection(call, FAILURE_LOG_ODDS, reset=True)
        elif (
            outcome in (Outcome.FAULT, Outcome.TIMED_OUT, Outcome.RESET, Outcome.SPOILT)
            and not call.is_overdue
        ):
            spoilt = outcome is Outcome.SPOILT  # the host did answer
            weight = REFUSAL_LOG_ODDS if spoilt else FAILURE_LOG_ODDS
            evidence = Evidence.OTHER_CAUSE if spoilt else Evidence.OUTAGE
            self._slow_start.record_failure(host, weight, outcome.value, self._now, call, evidence)

    def _set_abandoned(self, packet: Packet, abandoned: bool) -> None:
        """Note that the packet's last trip was given up and may still run, or that it has ended.

        Where no second copy may run, the packet waits until the host has completed a later call.
        """
        if abandoned is not packet.last_trip_abandoned:
            packet.last_trip_abandoned = abandoned
            host_packets = packet.trips[-1].call.host.abandoned_packets
            (host_packets.append if abandoned else host_packets.remove)(packet)

    def _record_lost_connection(
        self, call: Call, weight: float, reset: bool, evidence: Evidence = Evidence.OUTAGE
    ) -> None:
        """Record a call that was lost with its connection, which may have gone stale while it was idle.

        Connections that have been idle as long are closed before use: those to this host after a reset or two
        losses, those to all hosts once three calls were lost on connections that had been idle for longer
        than any that was answered of late.
        """
        host = call.host
        weight = REFUSAL_LOG_ODDS if reset and call.idle_time >= MIN_STALE_IDLE_NS else weight
        cause = "connection reset" if reset else "overdue"
        self._slow_start.record_failure(host, weight, cause, self._now, call, evidence)
        if call.idle_time < MIN_STALE_IDLE_NS:
            host.idle_losses = 0
            host.connections_stale_at = -NEVER if call.on_new_connection else host.connections_stale_at
            return
        host.idle_before_loss = (
            min(host.idle_before_loss, call.idle_time) if host.idle_losses else call.idle_time
        )
        self._idle_loss_at = self._idle_loss_at if self._allows_second_copies else self._now
        host.idle_losses += 2 if reset else 1
        self._idle_connection_losses.add(host, self._now, host.idle_before_loss)
        since = self._now - STALE_EVIDENCE_WINDOW_NS
        hosts_lost = self._idle_connection_losses.count_above(
            self._answered_idle_times.maximum_since(since), since
        )
        self._all_stale_at = self._now if hosts_lost >= STALE_EVIDENCE_HOSTS else self._all_stale_at
        if host.idle_losses > 1 or hosts_lost >= STALE_EVIDENCE_HOSTS:
            known = (
                self._stale_idle_time if self._now - self._stale_idle_time_at <= STALE_MEMORY_NS else NEVER
            )
            self._stale_idle_time = min(known, host.idle_before_loss)
            self._stale_idle_time_at = self._now
            host.connections_stale_at = self._now

    def _close_stale_connections(self, host: Host, call: Call, packets: list[Packet]) -> None:
        """Close the host's idle connections before a call, if they may be stale."""
        call.idle_time = self._now - host.last_answer_at if host.last_answer_at > host.idle_closed_at else 0
        longest_answered = self._answered_idle_times.maximum_since(self._now - STALE_EVIDENCE_WINDOW_NS)
        # For packets that cannot be sent again: once an idle connection lost one, connections that have been
        # idle for longer than those that were answered may lose the next.
        cautious = self._idle_loss_at > self._now - STALE_MEMORY_NS and call.idle_time > max(
            MIN_STALE_IDLE_NS, 2 * longest_answered
        )
        cautious |= call.idle_time >= MIN_STALE_IDLE_NS and any(packet.on_last_trip for packet in packets)
        known_stale = max(host.connections_stale_at, self._all_stale_at) > self._now - STALE_MEMORY_NS
        if cautious or known_stale and self._now - host.idle_closed_at >= self._stale_idle_time * 0.8:
            self._port.close_idle_connections(host)
            host.idle_closed_at = self._now
            call.idle_time = 0
            call.on_new_connection = True

    def end_round(self, now: int) -> None:
        """Act on all events reported since the last round: send what may go and set the alarm."""
        self._now = now
        self._run_due_timers()
        while self._in_flight < self._slots and (candidate := self._pop_best_candidate()):
            # Two random choices spread the load; where trips have fees, all hosts are compared.
            sampled = (
                candidate.hosts if self._fees else self._sample(candidate.hosts, min(2, len(candidate.hosts)))
            )
            self._send_call(min(sampled, key=partial(self._estimate_cost, candidate)), candidate.packets)
        if self._may_cancel and self._overdue_calls:
            self._cancel_overdue_calls()
        next_at = self._timers.next_at
        if next_at and not now < self._alarm_at <= next_at:
            self._alarm_at = max(next_at, now + MILLISECOND)
            self._port.set_alarm(self._alarm_at - now)

    def _pop_best_candidate(self) -> CandidateCall | None:
        """Return the candidate call that saves most value per second.

        Candidates that were evaluated long ago are evaluated again, as their value may have risen since.
        """
        outdated = takewhile(
            lambda destination: destination.evaluated_at
            <= self._now - self._target_latency // REEVALUATION_DIVISOR,
            self._ready_destinations,
        )
        self._dirty.update(dict.fromkeys(islice(outdated, MAX_REEVALUATIONS)))
        self._update_candidates()
        while self._candidates:
            candidate = heappop(self._candidates)[2]
            if candidate is candidate.destination.candidate:
                self._dirty[candidate.destination] = None
                if candidate.destination.evaluated_at == self._now:
                    return candidate
                self._update_candidates()
        return None

    def _update_candidates(self) -> None:
        """Evaluate the next call of each destination where something has changed."""
        for destination in self._dirty:
            self._ready_destinations.pop(destination, None)
            destination.candidate = self._find_candidate(destination) if destination.held else None
            destination.evaluated_at = self._now
            if destination.candidate:
                self._ready_destinations[destination] = None
                heappush(
                    self._candidates,
                    (-destination.candidate.value_per_second, self._next_number(), destination.candidate),
                )
        self._dirty.clear()

    def _cancel_overdue_calls(self) -> None:
        """Cancel calls that are long overdue where held packets need their slots or connections."""
        if calls := [
            call for call in self._overdue_calls if call.cancelled or call.cancellable_at <= self._now
        ]:
            self._update_candidates()
        for at, call in enumerate(calls):
            if (
                at < len(self._ready_destinations)
                or call.host.destination.held
                and call.host.has_full_table(self._now)
            ):
                self._cancel_call(call)

    def _cancel_call(self, call: Call) -> None:
        for packet, number in () if call.cancelled else call.trips:
            self._port.cancel(packet, number)
        call.cancelled = True

    def _schedule_check(self, destination: Destination, at: int) -> None:
        """Set a timer for a destination at which nothing changes before then, unless it becomes dirty."""
        if not self._now < destination.next_check_at <= at:
            destination.next_check_at = at
            self._set_timer(at, destination)

    def _set_timer(self, at: int, subject: TimerSubject) -> None:
        self._timers.add(at, subject)
        if self._timers.may_be_outdated:
            self._timers.drop_outdated(self._is_timer_needed)

    def _is_timer_needed(self, subject: TimerSubject) -> bool:
        """Whether a timer may still find something to do."""
        if isinstance(subject, Packet):
            return not subject.ended
        if isinstance(subject, OrderingKey):
            return self._keys.get(subject.id) is subject
        return not isinstance(subject, Call) or subject.trips_remaining > 0

    def _run_due_timers(self) -> None:
        """Handle each timer that is due, by the type of its subject."""
        while self._timers.is_due(self._now):
            subject = self._timers.pop()
            if subject is None:
                self._port.request_host_list()
            elif isinstance(subject, Packet):  # its deadline, or the end of its deduplication window
                timed_out = self._now >= subject.deadline - self._margin
                if not subject.ended and (subject.held or timed_out):
                    self._answer_undelivered(
                        subject, EndReason.DEADLINE if timed_out else EndReason.REPEAT_WINDOW
                    )
            elif isinstance(subject, Destination):
                self._dirty[subject] = None
            elif isinstance(subject, OrderingKey):
                if subject.queue:
                    self._update_order(subject.queue[0])
                elif subject.quiet_until <= self._now and self._keys.get(subject.id) is subject:
                    del self._keys[subject.id]
            elif isinstance(subject, Host):
                if (
                    self.is_current_record(subject)
                    and not subject.in_flight
                    and self._now - max(subject.last_answer_at, subject.idle_closed_at)
                    >= self._full_table_idle_time
                ):
                    subject.idle_closed_at = self._now
                    self._port.close_idle_connections(subject)
            elif subject.trips_remaining:
                self._handle_call_timer(subject)

    def _handle_call_timer(self, call: Call) -> None:
        """Handle a call in flight that has become overdue or has reached the deadline of one of its packets.

        An answer to a shared call that comes after the deadline of one of its packets counts for none of
        them, so such a call is cancelled: each packet must get its outcome in time.
        """
        if call.shared and self._may_cancel and self._now >= call.deadline - self._margin:
            self._cancel_call(call)
        elif not call.is_overdue and self._now >= call.overdue_at:
            call.is_overdue = True
            call.host.overdue += 1
            self._overdue_calls[call] = self._dirty[call.host.destination] = None
            self._set_timer(call.cancellable_at, call)
            silent = call.host.last_answer_at < call.sent_at  # no answer to any call in all that time
            evidence = Evidence.OUTAGE if silent else Evidence.OTHER_CAUSE  # a host that answers is up
            if silent and call.idle_time >= MIN_STALE_IDLE_NS:
                evidence = Evidence.UNCLEAR  # the connection may have been stale
            self._record_lost_connection(
                call, EJECTION_LOG_ODDS / 2 if silent else FAILURE_LOG_ODDS, reset=False, evidence=evidence
            )

    def _find_hosts_with_room(self, destination: Destination) -> list[Host]:
        """Find the destination's hosts that may be sent a call now; set a timer for the others.

        Where all hosts are draining, those within their grace period still count.
        """
        hosts = [host for host in destination.hosts if not host.drain_started_at]
        hosts = hosts or [
            host for host in destination.hosts if self._now < host.drain_started_at + self._drain_grace
        ]
        return [host for host in hosts if self._has_room(host)]

    def _find_send_window_opening(self, scope: RateLimitScope) -> int:
        """Return when the limit next admits a call.

        The window is adjusted so that a whole number of calls in it gives exactly the limit.
        """
        max_calls = max(1, round(scope.limit * SEND_WINDOW_NS / SECOND))
        window = int(SECOND * max_calls / scope.limit)
        while scope.sent_times and scope.sent_times[0] <= self._now - max(window, AIMD_INTERVAL_NS):
            scope.sent_times.popleft()
        return scope.sent_times[-max_calls] + window if len(scope.sent_times) >= max_calls else 0

    def _has_room(self, host: Host) -> bool:
        """Whether the host may be sent a call: by its waits and its limit, then by slow start and slots."""
        scope = host.limit_scope
        now = self._now
        ready_at = max(
            self._slow_start.schedule.next_call_at(host, now),
            host.table_full_until if host.has_full_table(now) else 0,
        )
        if ready_at <= now:
            if (
                scope.limit_reached
                and scope.limit < scope.max_limit
                and now - scope.increased_at >= AIMD_INTERVAL_NS
            ):
                scope.limit = min(
                    scope.max_limit, scope.limit + INCREASE_FACTOR * max(scope.fair_share, scope.limit)
                )
                scope.increased_at = now
                scope.limit_reached = False
            ready_at = self._find_send_window_opening(scope)
            if ready_at > now:
                scope.limit_reached = True
                if scope.limit < scope.max_limit:
                    ready_at = min(ready_at, scope.increased_at + AIMD_INTERVAL_NS)
        if ready_at > now:
            self._schedule_check(
                host.destination, min(ready_at, self._slow_start.schedule.recheck_at(host, now))
            )
            return False
        held_back = self._slow_start.withholds_calls(host)
        return (
            not held_back
            and scope.in_flight < self._scope_slots
            and now + self._compute_overdue_time(host) <= self._stop_at
        )

    def _find_candidate(self, destination: Destination) -> CandidateCall | None:
        """Find the next call: the packets that lose most value by waiting, valued per second of a slot."""
        if not (hosts := self._find_hosts_with_room(destination)):
            return None
        call_time = min(host.latency for host in hosts) or self._target_latency // 8
        kind = hosts[0].kind
        scope = hosts[0].limit_scope
        hosts = [host for host in hosts if host.kind == kind]  # the list may be out of date for some
        trial = all(is_on_trial(host) for host in hosts)
        max_packets = 1 if trial or kind >= len(self._max_batch) else self._max_batch[kind]
        ranked = destination.order.select_most_urgent(
            self._now + call_time, max_packets, trial, {host.zone for host in hosts}, kind
        )
        # A packet whose deadline may come before the end of the call travels alone.
        until = self._now + max(map(self._compute_overdue_time, hosts))
        ranked = [p for p in ranked if p is ranked[0] or min(p[1].deadline, ranked[0][1].deadline) > until]
        if (
            0 < len(ranked) < max_packets
            and not ranked[0][1].travels_alone
            and self._now < scope.backed_off_at + BATCH_WAIT_AFTER_BACK_OFF_NS
        ):
            # Calls are scarce after a back-off: a batch that is not full waits a little for more packets.
            oldest_at = min(packet.target_at - packet.profile.target_latency for _, packet in ranked)
            if oldest_at + self._target_latency // BATCH_WAIT_DIVISOR > self._now:
                self._schedule_check(destination, oldest_at + self._target_latency // BATCH_WAIT_DIVISOR)
                return None
        loss = sum(loss for loss, _ in ranked)  # of value, by waiting for one target latency
        if ranked and (zone := ranked[0][1].bound_zone) is not None:  # only that zone detects a repeat
            hosts = [host for host in hosts if host.zone == zone]
        return (
            ranked
            and CandidateCall(loss * SECOND / call_time, loss, destination, hosts, [p for _, p in ranked])
            or None
        )

    def _estimate_cost(self, candidate: CandidateCall, host: Host) -> tuple[int, float]:
        """Estimate what the call costs at that host: its fee, and the value lost in the time it takes."""
        # A new connection takes round trips of its own.
        load_factor = (
            2 - (host.last_answer_at > host.idle_closed_at) + host.in_flight + 2 * host.failure_score
        )
        call_time = (
            (1 if host.zone == self._zone else REMOTE_ZONE_COST_FACTOR)
            * load_factor
            * (MILLISECOND + host.latency)
        )
        allows_trials = all(
            packet.curve.allows_trials and not packet.on_last_trip for packet in candidate.packets
        )
        rank = self._slow_start.selection_rank(host, allows_trials)
        return rank, host.fee * len(candidate.packets) + candidate.loss * call_time / self._target_latency

    def _send_call(self, host: Host, packets: list[Packet]) -> None:
        """Send one call with all its packets; against the limit it counts once."""
        now = self._now
        scope = host.limit_scope
        call = Call(host, now, len(packets) > 1)
        overdue_time = self._compute_overdue_time(host)
        self._close_stale_connections(host, call, packets)
        for packet in packets:
            self._set_held(packet, False)
            call.add_trip(packet)
            self._port.send(packet, host, self._compute_trip_timeout(packet, overdue_time))
        scope.sent_times.append(now)
        scope.in_flight += 1
        host.in_flight += 1
        self._in_flight += 1
        self._slow_start.record_call(host, now)
        # Cancelling loses packets that cannot be sent again: the non-idempotent ones, and where no second
        # copy may run, all but those that a stale connection may have lost.
        loses_packets = any(p.profile.effect is Effect.NON_IDEMPOTENT for p in packets)
        loses_packets |= not self._allows_second_copies and call.idle_time < MIN_STALE_IDLE_NS
        call.cancellable_at = now + overdue_time * (1 + loses_packets)
        call.overdue_at = now + overdue_time
        self._set_timer(call.overdue_at, call)
        if call.shared:
            self._set_timer(call.deadline - self._margin, call)

    def _compute_overdue_time(self, host: Host) -> int:
        """Return after how long without an answer a call to the host is overdue."""
        return (
            max(self._target_latency // 4, host.latency + OVERDUE_DEVIATIONS * host.latency_deviation)
            if host.latency
            else self._target_latency
        )

    def _compute_trip_timeout(self, packet: Packet, overdue_time: int) -> int:
        """Return the timeout of a trip, 0 for none but the deadline.

        After a timeout the trip may still run, so only idempotent packets have one, and only where second
        copies are allowed.
        """
        timeout = max(self._target_latency, 2 * overdue_time) * len(packet.trips)
        retryable = packet.profile.effect is Effect.IDEMPOTENT and self._allows_second_copies
        return timeout if retryable and self._now + timeout < packet.deadline else 0
