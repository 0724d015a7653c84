"""The bench's byte protocol: batches in, one reply each; records become calls on the module at once."""

from __future__ import annotations

import json
import struct
from collections.abc import Callable
from typing import BinaryIO

from millweir.control import Relay
from millweir.interface import Change, Entry, Outcome, Phase, Settings
from millweir.records import Host, Packet
from millweir.settings import read_settings

HEADER = struct.Struct("<IQ")
LENGTH = struct.Struct("<I")
CODE = struct.Struct("<H")
SELECT = struct.Struct("<I")
POWER_ON = struct.Struct("<QI")
ROSTER = struct.Struct("<HI")
ENTRY = struct.Struct("<6sBHHBfQ")
TARGETS = struct.Struct("<QHB")
ORDER = struct.Struct("<IBIQQIfB")
REMINDER = struct.Struct("<Q")
PROBED = struct.Struct("<H6sIB")
DATAGRAM = struct.Struct("<IH")
SETTLED = struct.Struct("<IIHIBB6sB")
WITHDRAWN = struct.Struct("<I")
ESTABLISHED = struct.Struct("<I6sBI")
FLOATS = tuple(struct.Struct(f"<{n}f") for n in range(256))

SEND = struct.Struct("<HI6si")
CANCEL = struct.Struct("<HIB")
DISMISS = struct.Struct("<HII")
ERROR = struct.Struct("<HI")
FREE_LINKS = struct.Struct("<H6s")
ALARM = struct.Struct("<HQI")
WATCH = struct.Struct("<HB")
TEXT = struct.Struct("<HH")
SELECTED = struct.Struct("<HI")

OUTCOMES = {
    200: Outcome.FULFILLED,
    500: Outcome.FAULT,
    503: Outcome.FULL,
    504: Outcome.TIMED_OUT,
    502: Outcome.UNCONNECTED,
    598: Outcome.RESET,
    499: Outcome.CANCELLED,
    410: Outcome.MOOT,
}
CHANGES = (Change.DELTA, Change.FULL, Change.CACHED, Change.FAILED)
PHASES = (Phase.GONE, Phase.READY, Phase.DRAINING)
MOST_US = 0xFFFFFFFF


class Malformed(Exception):
    """What was read is not the wire."""


class WirePort:
    """Writes one instance's actions."""

    __slots__ = ("_out",)

    def __init__(self) -> None:
        self._out = bytearray()

    def take(self) -> bytearray:
        """Hand over what was written since the last call."""
        written, self._out = self._out, bytearray()
        return written

    def send(self, packet: Packet, host: Host, time_out: int) -> None:
        self._out += SEND.pack(1070, packet.id, host.id, -(-time_out // 1000))

    def cancel(self, packet: Packet, number: int) -> None:
        self._out += CANCEL.pack(1080, packet.id, number)

    def dismiss(self, packet: Packet, wait: int) -> None:
        self._out += DISMISS.pack(1110, packet.id, min(wait // 1000, MOST_US))

    def error(self, packet: Packet) -> None:
        self._out += ERROR.pack(1060, packet.id)

    def free_links(self, host: Host) -> None:
        self._out += FREE_LINKS.pack(1120, host.id)

    def alarm(self, delay: int) -> None:
        self._out += ALARM.pack(1100, 0, min(-(-delay // 1000), MOST_US))

    def watch(self) -> None:
        self._out += WATCH.pack(1090, 1)

    def fault(self, text: str) -> None:
        """Declare that the decision module failed."""
        raw = text.encode()[:4096]
        self._out += TEXT.pack(1000, len(raw)) + raw


class Server:
    """All instances of one process."""

    def __init__(self) -> None:
        self._relays: dict[int, Relay | None] = {}
        self._ports: dict[int, WirePort] = {}
        self._rosters: dict[int, tuple[Entry, ...]] = {}

    def answer(self, now: int, body: bytes) -> bytes:
        """Play one batch and return the body of its reply."""
        at, end = 0, len(body)
        touched: dict[int, None] = {}
        number: int | None = None
        code = 0
        try:
            while at < end:
                start = at
                (code,) = CODE.unpack_from(body, at)
                at += 2
                if code == 1110:
                    (number,) = SELECT.unpack_from(body, at)
                    at += SELECT.size
                    touched[number] = None
                    continue
                if code == 1100:
                    at = self._roster(body, at)
                    continue
                if number is None:
                    raise Malformed(f"record {code} at byte {start} comes before any select")
                at = self._event(now, body, at, code, number)
        except struct.error as fault:
            raise Malformed(f"record {code} at byte {start} of {end} is cut short ({fault})") from fault
        if at != end:
            raise Malformed(f"record {code} at byte {start} runs past the end of the batch")
        reply = bytearray()
        for number in touched:
            relay = self._relays.get(number)
            if relay is not None:
                self._guard(number, relay.end_round, now)
            port = self._ports.get(number)
            written = port.take() if port else b""
            if written:
                reply += SELECTED.pack(1050, number) + written
        return bytes(reply)

    def _roster(self, body: bytes, at: int) -> int:
        number, count = ROSTER.unpack_from(body, at)
        at += ROSTER.size
        end = at + count * ENTRY.size
        if end > len(body):
            raise Malformed(f"snapshot_rows at byte {at} names {count} entries past the end of the batch")
        rows = []
        for host, zone, kind, destination, phase, rate, _ in ENTRY.iter_unpack(body[at:end]):
            if phase >= len(PHASES):
                raise Malformed(f"snapshot_rows at byte {at} has unknown phase {phase}")
            rows.append(Entry(host, zone, kind, destination, PHASES[phase], rate))
        self._rosters[number] = tuple(rows)
        return end

    def _event(self, now: int, body: bytes, at: int, code: int, number: int) -> int:
        relay = self._relays.get(number)
        if code == 1040:
            ident, wait, reason, latency, finished, copy, _, n = SETTLED.unpack_from(body, at)
            at += SETTLED.size
            report = FLOATS[n].unpack_from(body, at)
            if reason not in OUTCOMES:
                raise Malformed(f"settled before byte {at} has unknown reason {reason}")
            if relay is not None:
                told = wait * 1_000_000 if reason == 503 else 0
                self._guard(
                    number,
                    relay.end_trip,
                    now,
                    ident,
                    copy,
                    OUTCOMES[reason],
                    bool(finished),
                    latency * 1000,
                    told,
                    report,
                )
            return at + 4 * n
        if code == 1020:
            ident, profile, tenant, key, not_after, _, bound, _ = ORDER.unpack_from(body, at)
            if relay is not None:
                self._guard(
                    number, relay.add_packet, now, ident, profile, tenant, key, not_after * 1000, int(bound)
                )
            return at + ORDER.size
        if code == 1060:
            REMINDER.unpack_from(body, at)
            return at + REMINDER.size
        if code == 1050:
            (ident,) = WITHDRAWN.unpack_from(body, at)
            if relay is not None:
                self._guard(number, relay.withdraw_packet, now, ident)
            return at + WITHDRAWN.size
        if code == 1010:
            _, roster, kind = TARGETS.unpack_from(body, at)
            if kind >= len(CHANGES):
                raise Malformed(f"targets at byte {at} has unknown kind {kind}")
            change = CHANGES[kind]
            rows = () if change is Change.FAILED else self._rosters.get(roster)
            if rows is None:
                raise Malformed(f"targets at byte {at} names list {roster}, which was never given")
            if relay is not None:
                self._guard(number, relay.update_hosts, now, change, rows)
            return at + TARGETS.size
        if code == 1070:
            *_, n = PROBED.unpack_from(body, at)  # the module sends no probes
            return at + PROBED.size + 4 * n
        if code == 1000:
            salt, size = POWER_ON.unpack_from(body, at)
            at += POWER_ON.size
            if at + size > len(body):
                raise Malformed(f"power_on before byte {at} has settings past the end of the batch")
            try:
                settings = read_settings(json.loads(body[at : at + size]))
            except (ValueError, KeyError, TypeError, AttributeError) as fault:
                raise Malformed(f"settings of power_on at byte {at} can't be read: {fault!r}") from fault
            self._ports[number] = WirePort()
            self._relays[number] = None
            self._guard(number, self._start, number, settings, salt, now)
            return at + size
        if code == 1090:
            self._relays.pop(number, None)
            self._ports.pop(number, None)
            return at
        if code == 1030:
            ESTABLISHED.unpack_from(body, at)
            return at + ESTABLISHED.size
        if code == 1080:
            _, size = DATAGRAM.unpack_from(body, at)
            return at + DATAGRAM.size + size
        raise Malformed(f"unknown record code {code} before byte {at}")

    def _start(self, number: int, settings: Settings, salt: int, now: int) -> None:
        self._relays[number] = Relay(self._ports[number], settings, salt, now)

    def _guard(self, number: int, method: Callable[..., None], *given: object) -> None:
        try:
            method(*given)
        except Exception as fault:  # the wire has a record for exactly this
            self._ports[number].fault(f"{type(fault).__name__}: {fault}")
            self._relays[number] = None


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the end of input."""
    server = Server()
    while head := source.read(HEADER.size):
        if len(head) < HEADER.size:
            raise Malformed(f"batch header cut short: {len(head)} of {HEADER.size} bytes")
        size, now = HEADER.unpack(head)
        body = source.read(size)
        if len(body) < size:
            raise Malformed(f"batch cut short: {len(body)} of {size} bytes")
        reply = server.answer(now * 1000, body)
        sink.write(LENGTH.pack(len(reply)) + reply)
        sink.flush()
