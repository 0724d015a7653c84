"""The bench's byte protocol: each batch of records on the input becomes calls to relays and gets one reply.

A record begins with its code.  Codes in a batch:

    1000  starts a relay, with its settings        1060  time of an alarm (nothing to do)
    1010  names a host list for the relay          1070  result of a probe (ignored: none are sent)
    1020  a packet to deliver                      1080  a datagram (ignored)
    1030  a connection came up (ignored)           1090  removes the relay
    1040  a trip ended                             1100  contents of a host list
    1050  a packet is withdrawn                    1110  selects the relay for the records that follow

Codes in a reply:

    1000  the decisions failed                     1090  request the host list
    1050  the relay that the records are from      1100  set the alarm
    1060  end a packet as failed                   1110  end a packet as dismissed
    1070  send a trip                              1120  close idle connections
    1080  cancel a trip
"""

from __future__ import annotations

import json
import struct
from collections.abc import Callable
from typing import BinaryIO

from millweir.control import Relay
from millweir.interface import Change, Entry, Outcome, Phase, Settings
from millweir.records import Host, Packet
from millweir.settings import parse_settings

BATCH_HEADER = struct.Struct("<IQ")
REPLY_LENGTH = struct.Struct("<I")
RECORD_CODE = struct.Struct("<H")
SELECT_RELAY = struct.Struct("<I")
START_RELAY = struct.Struct("<QI")
HOST_LIST_HEADER = struct.Struct("<HI")
HOST_LIST_ENTRY = struct.Struct("<6sBHHBfQ")
HOST_LIST_UPDATE = struct.Struct("<QHB")
PACKET = struct.Struct("<IBIQQIfB")
ALARM_RANG = struct.Struct("<Q")
PROBE_RESULT = struct.Struct("<H6sIB")
DATAGRAM = struct.Struct("<IH")
TRIP_ENDED = struct.Struct("<IIHIBB6sB")
PACKET_WITHDRAWN = struct.Struct("<I")
CONNECTION_UP = struct.Struct("<I6sBI")
FLOATS_BY_COUNT = tuple(struct.Struct(f"<{n}f") for n in range(256))

SEND = struct.Struct("<HI6si")
CANCEL = struct.Struct("<HIB")
DISMISS = struct.Struct("<HII")
FAIL = struct.Struct("<HI")
CLOSE_IDLE_CONNECTIONS = struct.Struct("<H6s")
SET_ALARM = struct.Struct("<HQI")
REQUEST_HOST_LIST = struct.Struct("<HB")
FAULT_TEXT = struct.Struct("<HH")
REPLY_RELAY = struct.Struct("<HI")

OUTCOME_BY_CODE = {
    200: Outcome.FULFILLED,
    500: Outcome.FAULT,
    503: Outcome.FULL,
    504: Outcome.TIMED_OUT,
    502: Outcome.UNCONNECTED,
    598: Outcome.RESET,
    499: Outcome.CANCELLED,
    410: Outcome.MOOT,
}
CHANGE_BY_CODE = (Change.DELTA, Change.FULL, Change.CACHED, Change.FAILED)
PHASE_BY_CODE = (Phase.GONE, Phase.READY, Phase.DRAINING)
MAX_DURATION_US = 0xFFFFFFFF


class ProtocolError(Exception):
    """The input does not follow the protocol."""


class WirePort:
    """The port of one relay: encodes its actions."""

    __slots__ = ("_output",)

    def __init__(self) -> None:
        self._output = bytearray()

    def take_output(self) -> bytearray:
        """Return what was encoded since the last call."""
        written, self._output = self._output, bytearray()
        return written

    def send(self, packet: Packet, host: Host, time_out: int) -> None:
        self._output += SEND.pack(1070, packet.id, host.id, -(-time_out // 1000))

    def cancel(self, packet: Packet, number: int) -> None:
        self._output += CANCEL.pack(1080, packet.id, number)

    def dismiss(self, packet: Packet, wait: int) -> None:
        self._output += DISMISS.pack(1110, packet.id, min(wait // 1000, MAX_DURATION_US))

    def fail(self, packet: Packet) -> None:
        self._output += FAIL.pack(1060, packet.id)

    def close_idle_connections(self, host: Host) -> None:
        self._output += CLOSE_IDLE_CONNECTIONS.pack(1120, host.id)

    def set_alarm(self, delay: int) -> None:
        self._output += SET_ALARM.pack(1100, 0, min(-(-delay // 1000), MAX_DURATION_US))

    def request_host_list(self) -> None:
        self._output += REQUEST_HOST_LIST.pack(1090, 1)

    def report_fault(self, text: str) -> None:
        """Report that the decisions raised an exception."""
        raw = text.encode()[:4096]
        self._output += FAULT_TEXT.pack(1000, len(raw)) + raw


class BatchServer:
    """The relays of one process, by the number that the bench gives them."""

    def __init__(self) -> None:
        self._relays: dict[int, Relay | None] = {}
        self._ports: dict[int, WirePort] = {}
        self._host_lists: dict[int, tuple[Entry, ...]] = {}

    def handle_batch(self, now: int, body: bytes) -> bytes:
        """Handle one batch and return the body of its reply."""
        at, end = 0, len(body)
        touched: dict[int, None] = {}
        number: int | None = None
        code = 0
        try:
            while at < end:
                start = at
                (code,) = RECORD_CODE.unpack_from(body, at)
                at += 2
                if code == 1110:  # select the relay
                    (number,) = SELECT_RELAY.unpack_from(body, at)
                    at += SELECT_RELAY.size
                    touched[number] = None
                    continue
                if code == 1100:  # the contents of a host list
                    at = self._read_host_list(body, at)
                    continue
                if number is None:
                    raise ProtocolError(f"record {code} at byte {start} comes before any select")
                at = self._handle_record(now, body, at, code, number)
        except struct.error as fault:
            raise ProtocolError(f"record {code} at byte {start} of {end} is cut short ({fault})") from fault
        if at != end:
            raise ProtocolError(f"record {code} at byte {start} runs past the end of the batch")
        reply = bytearray()
        for number in touched:
            relay = self._relays.get(number)
            if relay is not None:
                self._call_relay(number, relay.end_round, now)
            port = self._ports.get(number)
            written = port.take_output() if port else b""
            if written:
                reply += REPLY_RELAY.pack(1050, number) + written
        return bytes(reply)

    def _read_host_list(self, body: bytes, at: int) -> int:
        number, count = HOST_LIST_HEADER.unpack_from(body, at)
        at += HOST_LIST_HEADER.size
        end = at + count * HOST_LIST_ENTRY.size
        if end > len(body):
            raise ProtocolError(f"snapshot_rows at byte {at} names {count} entries past the end of the batch")
        rows = []
        for host, zone, kind, destination, phase, rate, _ in HOST_LIST_ENTRY.iter_unpack(body[at:end]):
            if phase >= len(PHASE_BY_CODE):
                raise ProtocolError(f"snapshot_rows at byte {at} has unknown phase {phase}")
            rows.append(Entry(host, zone, kind, destination, PHASE_BY_CODE[phase], rate))
        self._host_lists[number] = tuple(rows)
        return end

    def _handle_record(self, now: int, body: bytes, at: int, code: int, number: int) -> int:
        relay = self._relays.get(number)
        if code == 1040:  # a trip ended
            packet_id, wait, reason, latency, finished, trip_number, _, float_count = TRIP_ENDED.unpack_from(
                body, at
            )
            at += TRIP_ENDED.size
            report = FLOATS_BY_COUNT[float_count].unpack_from(body, at)
            if reason not in OUTCOME_BY_CODE:
                raise ProtocolError(f"settled before byte {at} has unknown reason {reason}")
            if relay is not None:
                retry_after = wait * 1_000_000 if reason == 503 else 0
                self._call_relay(
                    number,
                    relay.end_trip,
                    now,
                    packet_id,
                    trip_number,
                    OUTCOME_BY_CODE[reason],
                    bool(finished),
                    latency * 1000,
                    retry_after,
                    report,
                )
            return at + 4 * float_count
        if code == 1020:  # a packet to deliver
            packet_id, profile, tenant, key, deadline_us, _, destination, _ = PACKET.unpack_from(body, at)
            if relay is not None:
                self._call_relay(
                    number,
                    relay.add_packet,
                    now,
                    packet_id,
                    profile,
                    tenant,
                    key,
                    deadline_us * 1000,
                    int(destination),
                )
            return at + PACKET.size
        if code == 1060:  # an alarm rang: the batch itself leads to a round
            ALARM_RANG.unpack_from(body, at)
            return at + ALARM_RANG.size
        if code == 1050:  # a packet is withdrawn
            (packet_id,) = PACKET_WITHDRAWN.unpack_from(body, at)
            if relay is not None:
                self._call_relay(number, relay.withdraw_packet, now, packet_id)
            return at + PACKET_WITHDRAWN.size
        if code == 1010:  # a host list for the relay
            _, list_number, kind = HOST_LIST_UPDATE.unpack_from(body, at)
            if kind >= len(CHANGE_BY_CODE):
                raise ProtocolError(f"targets at byte {at} has unknown kind {kind}")
            change = CHANGE_BY_CODE[kind]
            rows = () if change is Change.FAILED else self._host_lists.get(list_number)
            if rows is None:
                raise ProtocolError(f"targets at byte {at} names list {list_number}, which was never given")
            if relay is not None:
                self._call_relay(number, relay.update_hosts, now, change, rows)
            return at + HOST_LIST_UPDATE.size
        if code == 1070:  # the result of a probe
            *_, float_count = PROBE_RESULT.unpack_from(body, at)  # none are sent
            return at + PROBE_RESULT.size + 4 * float_count
        if code == 1000:  # start a relay
            seed, size = START_RELAY.unpack_from(body, at)
            at += START_RELAY.size
            if at + size > len(body):
                raise ProtocolError(f"power_on before byte {at} has settings past the end of the batch")
            try:
                settings = parse_settings(json.loads(body[at : at + size]))
            except (ValueError, KeyError, TypeError, AttributeError) as fault:
                raise ProtocolError(f"settings of power_on at byte {at} can't be read: {fault!r}") from fault
            self._ports[number] = WirePort()
            self._relays[number] = None
            self._call_relay(number, self._start_relay, number, settings, seed, now)
            return at + size
        if code == 1090:  # remove the relay
            self._relays.pop(number, None)
            self._ports.pop(number, None)
            return at
        if code == 1030:  # a connection came up
            CONNECTION_UP.unpack_from(body, at)
            return at + CONNECTION_UP.size
        if code == 1080:  # a datagram
            _, size = DATAGRAM.unpack_from(body, at)
            return at + DATAGRAM.size + size
        raise ProtocolError(f"unknown record code {code} before byte {at}")

    def _start_relay(self, number: int, settings: Settings, seed: int, now: int) -> None:
        self._relays[number] = Relay(self._ports[number], settings, seed, now)

    def _call_relay(self, number: int, method: Callable[..., None], *given: object) -> None:
        try:
            method(*given)
        except Exception as fault:  # the protocol has a record for it
            self._ports[number].report_fault(f"{type(fault).__name__}: {fault}")
            self._relays[number] = None


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Handle batches until the end of the input."""
    server = BatchServer()
    while head := source.read(BATCH_HEADER.size):
        if len(head) < BATCH_HEADER.size:
            raise ProtocolError(f"batch header cut short: {len(head)} of {BATCH_HEADER.size} bytes")
        size, now = BATCH_HEADER.unpack(head)
        body = source.read(size)
        if len(body) < size:
            raise ProtocolError(f"batch cut short: {len(body)} of {size} bytes")
        reply = server.handle_batch(now * 1000, body)
        sink.write(REPLY_LENGTH.pack(len(reply)) + reply)
        sink.flush()
