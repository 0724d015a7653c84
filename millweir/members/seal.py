"""Authenticated envelope of datagrams and full states, with replay protection.

    bytes  0   2   3     4          12       20         28       44
          "mw" ver  0    cluster    run id   counter    MAC      body

The MAC is keyed BLAKE2b over everything but itself; without a key it only detects corruption.  Several keys
may be configured: the first one signs and every one verifies, so that a key can be changed while members use
both.  Replays are rejected per process run, by a sliding window over its counters.  After a run has been
evicted from the table, each of its datagrams may be replayed once, which changes nothing: a member record
never replaces one of higher precedence.
"""

from __future__ import annotations

import struct
from collections import OrderedDict
from hashlib import blake2b
from hmac import compare_digest

HEAD = struct.Struct(">2sBB8sQQ16s")
SIGNED_PREFIX = struct.Struct(">2sBB8sQQ")
MAGIC = b"mw"
REPLAY_WINDOW = 1024  # how far below the highest counter a late or reordered datagram is still accepted
MAX_TRACKED_RUNS = 8192  # process runs with a replay window


class RejectedError(Exception):
    """A message is rejected; `reason` is one word."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class Authenticator:
    """Signs outgoing messages; verifies incoming ones and rejects replays."""

    __slots__ = ("_run_id", "_counter", "_keys", "_replay_windows", "_cluster_hash", "_versions")

    def __init__(self, cluster: str, keys: tuple[bytes, ...], run_id: int, versions: tuple[int, int]) -> None:
        self._cluster_hash = blake2b(cluster.encode(), digest_size=8).digest()
        self._keys = tuple(blake2b(key, digest_size=32).digest() for key in keys) or (b"",)
        self._run_id, self._versions = run_id, versions
        self._counter = 0
        # By process run: the highest counter, and a bit mask of the counters seen at and below it.
        self._replay_windows: OrderedDict[int, list[int]] = OrderedDict()

    def sign(self, version: int, body: bytes) -> bytes:
        """Returns the body with its envelope."""
        self._counter += 1
        prefix = SIGNED_PREFIX.pack(MAGIC, version, 0, self._cluster_hash, self._run_id, self._counter)
        return prefix + self._mac(self._keys[0], prefix, body) + body

    def verify(self, raw: bytes) -> tuple[int, int, bytes]:
        """Returns version, run id and body; raises RejectedError if this member must not accept them."""
        if len(raw) < HEAD.size or raw[:2] != MAGIC:
            raise RejectedError("garbled")
        _, version, _, cluster_hash, run_id, counter, mac = HEAD.unpack_from(raw)
        if cluster_hash != self._cluster_hash:
            raise RejectedError("cluster")
        if not self._versions[0] <= version <= self._versions[1]:
            raise RejectedError("version")
        prefix, body = raw[: SIGNED_PREFIX.size], raw[HEAD.size :]
        if not any(compare_digest(self._mac(key, prefix, body), mac) for key in self._keys):
            raise RejectedError("key" if self._keys[0] else "garbled")
        if not self._accept_counter(run_id, counter):
            raise RejectedError("replay")
        return version, run_id, body

    def _mac(self, key: bytes, prefix: bytes, body: bytes) -> bytes:
        return blake2b(prefix + body, digest_size=16, key=key).digest()

    def _accept_counter(self, run_id: int, counter: int) -> bool:
        """Returns whether a counter is new for its process run, and marks it as used."""
        window = self._replay_windows.get(run_id)
        if window is None:
            self._replay_windows[run_id] = [counter, 1]
            if len(self._replay_windows) > MAX_TRACKED_RUNS:
                self._replay_windows.popitem(last=False)
            return True
        self._replay_windows.move_to_end(run_id)
        ahead = counter - window[0]
        if ahead > 0:
            window[0] = counter
            window[1] = (window[1] << ahead | 1) & (1 << REPLAY_WINDOW) - 1 if ahead < REPLAY_WINDOW else 1
            return True
        if -ahead >= REPLAY_WINDOW or window[1] >> -ahead & 1:
            return False
        window[1] |= 1 << -ahead
        return True
