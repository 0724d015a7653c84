"""Authentication and transport: input that is not authentic changes nothing, whatever its content."""

import asyncio
import random

import msgspec
import pytest

from millweir.members.core import Core, Rules
from millweir.members.links import MemberTransport, TokenBucket
from millweir.members.messages import Datagram, FullState, Kind, MemberRecord, ReportedState, encode
from millweir.members.seal import REPLAY_WINDOW, Authenticator, RejectedError

KEY = b"key"


def record(name, run_id, port=1000, incarnation=1):
    return MemberRecord(name, run_id, incarnation, ReportedState.ALIVE, "127.0.0.1", port, name, 1, 2)


def rejection_reason(authenticator, raw):
    with pytest.raises(RejectedError) as rejection:
        authenticator.verify(raw)
    return rejection.value.reason


def test_each_reason_for_a_rejection():
    receiver, sender = Authenticator("a", (KEY,), 1, (1, 2)), Authenticator("a", (KEY,), 2, (1, 2))
    raw = sender.sign(2, b"body")
    assert receiver.verify(raw) == (2, 2, b"body")
    assert rejection_reason(receiver, raw) == "replay"
    assert rejection_reason(receiver, Authenticator("b", (KEY,), 3, (1, 2)).sign(1, b"")) == "cluster"
    assert rejection_reason(receiver, Authenticator("a", (b"other",), 3, (1, 2)).sign(1, b"")) == "key"
    assert rejection_reason(receiver, sender.sign(3, b"")) == "version"
    assert rejection_reason(receiver, b"mw") == rejection_reason(receiver, b"x" * 80) == "garbled"
    assert rejection_reason(receiver, raw[:-1]) == rejection_reason(receiver, raw + b"x") == "key"


def test_key_change_while_members_use_both_keys():
    old, both, new = (
        Authenticator("a", keys, run_id, (1, 2))
        for run_id, keys in enumerate(((b"old",), (b"old", b"new"), (b"new", b"old")), 1)
    )
    assert (
        both.verify(new.sign(1, b"x")) and new.verify(both.sign(1, b"x")) and old.verify(both.sign(1, b"x"))
    )


def test_datagrams_may_arrive_late_but_not_twice():
    receiver, sender = Authenticator("a", (), 1, (1, 2)), Authenticator("a", (), 2, (1, 2))
    raws = [sender.sign(1, b"%d" % n) for n in range(REPLAY_WINDOW + 50)]
    order = list(range(50, REPLAY_WINDOW + 50))
    random.Random(1).shuffle(order)
    for index in order:
        receiver.verify(raws[index])
    assert all(rejection_reason(receiver, raws[index]) == "replay" for index in order)
    assert rejection_reason(receiver, raws[3]) == "replay"  # below the window


class TransportWithCore:
    """A transport connected to a core; what the core sends is kept in a list."""

    def __init__(self):
        self.sent, self.refused, self.changes = [], [], []
        self.core = Core(self, Rules(), random.Random(1), 0, record("r1", 1))
        self.transport = MemberTransport(
            Authenticator("a", (KEY,), 1, (1, 2)),
            {},
            100,
            1 << 30,
            self.receive_datagram,
            lambda full_state: None,
            self.core.build_full_state,
            lambda reason, peer: self.refused.append((reason, peer)),
        )
        self.now = 0

    def receive_datagram(self, datagram):
        self.now += 1000
        self.core.receive_datagram(self.now, datagram)

    def send(self, to, version, datagram):
        self.sent.append(datagram)

    def request_full_state(self, to):
        pass

    set_timer = save_incarnation = lambda self, value: None

    def log_event(self, event, **fields):
        pass

    def notify_status_change(self, change):
        self.changes.append(change)


def mutate(rng, raw):
    raw = bytearray(raw)
    for _ in range(rng.choice((1, 1, 2, 8))):
        kind = rng.randrange(4)
        at = rng.randrange(len(raw) or 1)
        if kind == 0 and raw:
            raw[at] ^= 1 << rng.randrange(8)
        elif kind == 1:
            raw[at:at] = rng.randbytes(rng.randrange(1, 9))
        elif kind == 2:
            del raw[at : at + rng.randrange(1, 9)]
        else:
            raw[at:] = rng.randbytes(rng.randrange(64))
    return bytes(raw)


def receive_mutated_datagrams(count, seed=1):
    """Delivers datagrams mutated as a whole, or with a mutated body and a wrong key, half of each."""
    rng, wired = random.Random(seed), TransportWithCore()
    other = Authenticator("a", (KEY,), 2, (1, 2))
    valid = Datagram(Kind.PING, 7, record("r2", 2), "r1", records=(record("r3", 3, incarnation=9),), digest=5)
    body = encode(valid)
    for _ in range(count):
        if rng.random() < 0.5:
            unchanged = other.sign(2, body)
            raw = mutate(rng, unchanged)
            if raw == unchanged:
                continue  # the mutations cancelled out
        else:
            raw = Authenticator("a", (b"wrong",), 2, (1, 2)).sign(2, mutate(rng, body))
        wired.transport.datagram_received(raw, ("127.0.0.1", rng.randrange(1, 65536)))
    return wired


def test_input_that_is_not_authentic_changes_nothing():
    wired = receive_mutated_datagrams(10_000)
    assert not wired.changes and not wired.core.members and not wired.sent
    assert sum(total for name, total in wired.transport.counts.items() if name.startswith("refused")) > 9_000
    assert len(wired.refused) <= 8  # logged once per peer and reason


def test_authentic_but_malformed_datagrams_raise_nothing():
    """A faulty member that has the right key sends mutated bodies."""
    rng, wired = random.Random(2), TransportWithCore()
    other = Authenticator("a", (KEY,), 2, (1, 2))
    body = encode(Datagram(Kind.PING, 7, record("r2", 2), "r1", records=(record("r3", 3),), digest=5))
    for _ in range(5_000):
        wired.transport.datagram_received(other.sign(1, mutate(rng, body)), ("127.0.0.1", 9))
        wired.core.time_passed(wired.now)
    assert wired.transport.counts["refused_garbled"] > 1_000
    assert len(wired.core.members) <= Rules().max_members


def test_token_bucket_refuses_bytes_over_its_rate():
    bucket = TokenBucket(1000)
    assert bucket.take(900) and not bucket.take(900)


def test_full_state_requests_are_validated():
    async def run():
        wired = TransportWithCore()
        await wired.transport.open(("127.0.0.1", 0))
        port = wired.transport._server.sockets[0].getsockname()[1]
        for raw in (b"\xff\xff\xff\xff", b"\0\0\0\4abcd", (80).to_bytes(4) + b"x" * 80, b""):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(raw)
            writer.write_eof()
            assert await reader.read() == b""
            writer.close()
        authenticator = Authenticator("a", (KEY,), 2, (1, 2))
        raw = authenticator.sign(1, encode(FullState(record("r2", 2), ())))
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(len(raw).to_bytes(4) + raw)
        size = int.from_bytes(await reader.readexactly(4))
        _, run_id, body = authenticator.verify(await reader.readexactly(size))
        assert msgspec.msgpack.decode(body, type=FullState).sender.name == "r1" and run_id == 1
        writer.close()
        wired.transport.close()
        assert wired.transport.counts["wholes_answered"] == 1

    asyncio.run(run())
