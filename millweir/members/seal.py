"""The envelope: which cluster, whose, in which version, authentic, and not a repeat.

    bytes  0   2   3     4          12       20         28       44
          "mw" ver  0    cluster     birth    counter    MAC      body

The MAC is keyed BLAKE2b over all but itself; without a key it only finds what was damaged.  Several keys may
be known: the first one signs, each one opens, so that a key can be changed with members on both.  Repeats are
refused for each birth by a window over the counters; a birth that was pushed out of the table may be repeated
once, which changes nothing: claims only ever rise.
"""

from __future__ import annotations

import struct
from collections import OrderedDict
from hashlib import blake2b
from hmac import compare_digest

HEAD = struct.Struct(">2sBB8sQQ16s")
BARE = struct.Struct(">2sBB8sQQ")
MAGIC = b"mw"
WINDOW = 1024  # counters back that may still come, late or out of order
BIRTHS_MOST = 8192


class Refused(Exception):
    """What came is not for us; `reason` is one word."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class Seal:
    """Signs what goes out and opens what comes in."""

    __slots__ = ("_birth", "_counter", "_keys", "_seen", "_tag", "_versions")

    def __init__(self, cluster: str, keys: tuple[bytes, ...], birth: int, versions: tuple[int, int]) -> None:
        self._tag = blake2b(cluster.encode(), digest_size=8).digest()
        self._keys = tuple(blake2b(key, digest_size=32).digest() for key in keys) or (b"",)
        self._birth, self._versions = birth, versions
        self._counter = 0
        self._seen: OrderedDict[int, list[int]] = OrderedDict()  # birth: highest counter, bits of those below

    def sign(self, version: int, body: bytes) -> bytes:
        self._counter += 1
        bare = BARE.pack(MAGIC, version, 0, self._tag, self._birth, self._counter)
        return bare + self._mac(self._keys[0], bare, body) + body

    def open(self, raw: bytes) -> tuple[int, int, bytes]:
        """Version, birth and body; Refused where it is not for us."""
        if len(raw) < HEAD.size or raw[:2] != MAGIC:
            raise Refused("garbled")
        _, version, _, tag, birth, counter, mac = HEAD.unpack_from(raw)
        if tag != self._tag:
            raise Refused("cluster")
        if not self._versions[0] <= version <= self._versions[1]:
            raise Refused("version")
        bare, body = raw[: BARE.size], raw[HEAD.size :]
        if not any(compare_digest(self._mac(key, bare, body), mac) for key in self._keys):
            raise Refused("key" if self._keys[0] else "garbled")
        if not self._fresh(birth, counter):
            raise Refused("replay")
        return version, birth, body

    def _mac(self, key: bytes, bare: bytes, body: bytes) -> bytes:
        return blake2b(bare + body, digest_size=16, key=key).digest()

    def _fresh(self, birth: int, counter: int) -> bool:
        seen = self._seen.get(birth)
        if seen is None:
            self._seen[birth] = [counter, 1]
            if len(self._seen) > BIRTHS_MOST:
                self._seen.popitem(last=False)
            return True
        self._seen.move_to_end(birth)
        ahead = counter - seen[0]
        if ahead > 0:
            seen[0] = counter
            seen[1] = (seen[1] << ahead | 1) & (1 << WINDOW) - 1 if ahead < WINDOW else 1
            return True
        if -ahead >= WINDOW or seen[1] >> -ahead & 1:
            return False
        seen[1] |= 1 << -ahead
        return True
