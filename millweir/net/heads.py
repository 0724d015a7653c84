"""HTTP heads: read in place through httptools, written as ready bytes for gathered writes."""

from __future__ import annotations

from http import HTTPStatus
from typing import Any

import httptools

from millweir.interface import MILLISECOND

ID_MOST = 128
ONCE = {
    b"x-correlation-id",
    b"x-service-class",
    b"x-time-left",
    b"x-addressing",
    b"content-length",
    b"transfer-encoding",
}  # what two of could be read in two ways
WAIT_MOST = 86_400 * 10**9  # nanoseconds for which anybody may be told to wait
UNITS = {b"m": MILLISECOND, b"u": MILLISECOND // 1000}


def read_span(text: bytes) -> int:
    """A span such as 480m or 1500u in nanoseconds; ValueError where it is none."""
    number = text[:-1]
    if text[-1:] not in UNITS or not number.isdigit() or len(number) > 12:
        raise ValueError(f"no span of time: {text!r}")
    return int(number) * UNITS[text[-1:]]


def read_token(text: bytes) -> bytes:
    """A name that goes on in heads and in JSON as it is; ValueError where it can't."""
    if len(text) > ID_MOST or not text.isascii() or not text.decode().isprintable():
        raise ValueError(f"no name: {text!r}")
    return text


def read_number(given: Any) -> float:
    """A rate or a share; ValueError where the module could not reckon with it."""
    number = float(given)
    if not 0 <= number < 1e12:
        raise ValueError(f"no sensible number: {given!r}")
    return number


def read_seconds(text: bytes) -> int:
    """Seconds, whole or decimal, in nanoseconds; 0 where that is no sensible wait."""
    try:
        seconds = float(text)
    except ValueError:
        return 0
    return int(seconds * 1e9) if 0 < seconds < WAIT_MOST / 1e9 else 0


def answer(status: int, keep: bool, body: bytes = b"", wait: int = 0) -> list[bytes]:
    """An answer to a client, head and body apart."""
    head = f"HTTP/1.1 {status} {HTTPStatus(status).phrase}\r\nContent-Length: {len(body)}\r\n"
    if wait:
        head += f"Retry-After: {wait / 1e9:.3f}\r\n"
    if not keep:
        head += "Connection: close\r\n"
    return [head.encode() + b"\r\n", body]


class Request:
    """One request of a client, as far as read; `fault` is the status that it can only be answered with."""

    __slots__ = (
        "account",
        "body",
        "destination",
        "fault",
        "id",
        "keep",
        "key",
        "left",
        "length",
        "mark",
        "method",
        "once",
        "profile",
        "read_at",
        "url",
    )

    def __init__(self) -> None:
        self.read_at = 0
        self.method = b""
        self.url = b""
        self.id = b""
        self.profile = b""
        self.account = b""
        self.key = b""
        self.mark = b""
        self.left = -1
        self.destination = -1
        self.length = 0
        self.once: set[bytes] = set()
        self.body = b""
        self.fault = 0
        self.keep = True


class RequestReader:
    """Turns the bytes of one connection into requests; httptools calls the on_ methods."""

    __slots__ = ("_bodies", "_body_most", "_head_most", "_parser", "_request", "_size", "requests")

    def __init__(self, head_most: int, body_most: int) -> None:
        self._head_most = head_most
        self._body_most = body_most
        self._parser = httptools.HttpRequestParser(self)
        self._request: Request | None = None
        self._bodies: list[bytes] = []
        self._size = 0
        self.requests: list[Request] = []  # complete ones, or the last one with its fault

    def close(self) -> None:
        """Nothing more comes: the parser and this no longer hold each other."""
        self._parser = None

    @property
    def busy(self) -> bool:
        """A request has begun and is not complete."""
        return self._request is not None

    def feed(self, data: bytes) -> bool:
        """False once the connection can't be read any further; the last request then holds the fault."""
        begun = self._request
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._fail(400)
            return False
        except httptools.HttpParserUpgrade:  # no other protocol is spoken here: answered, then closed
            self.requests[-1].keep = False
            return False
        request = self._request
        if request is not None:
            request.length += len(data) * (request is begun or not self.requests)  # the rest is others'
            if not self._size and request.length > self._head_most:
                request.fault = request.fault or 400
            if request.fault or request.length > 4 * self._body_most:
                self._fail(request.fault or 413)
                return False
        return True

    def _fail(self, status: int) -> None:
        request = self._request or Request()
        self._request = None
        request.fault = request.fault or status
        request.keep = False
        self.requests.append(request)

    def on_message_begin(self) -> None:
        self._request = Request()
        self._size = 0
        self._bodies = []

    def on_url(self, url: bytes) -> None:
        self._request.url += url
        if len(self._request.url) > self._head_most:
            self._request.fault = 400

    def on_header(self, name: bytes, value: bytes) -> None:
        request, name = self._request, name.lower()
        if request.method:
            return  # behind the body: it tells nothing of the packet
        if name in ONCE:
            if name in request.once:
                request.fault = request.fault or 400
            request.once.add(name)
        try:
            if name == b"x-correlation-id":
                request.id = read_token(value)
            elif name == b"x-service-class":
                request.profile = value
            elif name == b"x-time-left":
                request.left = read_span(value)
            elif name == b"x-addressing":
                for field in value.replace(b";", b",").split(b","):
                    what, _, number = field.strip().partition(b"=")
                    if what == b"dest":
                        request.destination = int(number) if number.isdigit() and len(number) < 10 else -1
            elif name == b"x-account":
                request.account = value
            elif name == b"idempotency-key":
                request.mark = read_token(value)
            elif name == b"cookie":
                for field in value.split(b";"):
                    what, _, key = field.strip().partition(b"=")
                    if what == b"about":
                        request.key = key
            elif name == b"content-length" and int(value) > self._body_most:
                request.fault = 413
        except ValueError:
            request.fault = request.fault or 400

    def on_headers_complete(self) -> None:
        if self._request.once >= {b"content-length", b"transfer-encoding"}:
            self._request.fault = 400  # its body may hide another request
        self._request.method = self._parser.get_method()
        self._request.keep = self._parser.should_keep_alive()

    def on_body(self, body: bytes) -> None:
        self._size += len(body)
        if self._size > self._body_most:
            self._request.fault = 413
            self._bodies.clear()
        else:
            self._bodies.append(body)

    def on_message_complete(self) -> None:
        request = self._request
        request.body = b"".join(self._bodies)
        if request.fault:
            request.keep = False
        self.requests.append(request)
        self._request = None


class AnswerReader:
    """Reads one answer after the other of a connection; httptools calls the on_ methods."""

    __slots__ = (
        "_bodies",
        "_head",
        "_interims",
        "_most",
        "_parser",
        "_seen",
        "_sized",
        "begun",
        "body",
        "complete",
        "keep",
        "load",
        "over_slots",
        "says",
        "status",
        "wait",
    )

    def __init__(self, most: int) -> None:
        self._most = most
        self.reset()

    def reset(self) -> None:
        """Ready for the next answer; a parser that is used again still has the status of the last one."""
        self._parser = httptools.HttpResponseParser(self)
        self._seen = 0
        self._head = b""  # as it came, until the first line of the answer is whole
        self._interims = 0  # words on the way that stand in front of it there
        self._start()

    def close(self) -> None:
        """Nothing more comes: the parser and this no longer hold each other."""
        self._parser = None

    def _start(self) -> None:
        self._bodies: list[bytes] = []
        self.status = 0
        self.says = 0  # what a first line says, whatever comes behind it
        self.wait = 0
        self.body = b""
        self.load = b""
        self._sized = False
        self.begun = False
        self.complete = False
        self.over_slots = False
        self.keep = True

    def feed(self, data: bytes) -> bool:
        """False where this is no answer, or one too long; a good one stays good whatever comes behind it."""
        self._seen += len(data)
        if self.says < 200:  # also behind a word on the way, which may come in pieces
            self._head += data
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as fault:  # a word on the way that names another protocol
            self._parser = httptools.HttpResponseParser(self)
            self._head = b""
            self._interims = 0
            return not data[fault.args[0] :] or self.feed(data[fault.args[0] :])
        except httptools.HttpParserError as fault:
            if not isinstance(fault, httptools.HttpParserInvalidStatusError):
                self._read_first_line()
            self.keep = False
            return self.complete
        self._read_first_line()
        return self.complete or self._seen <= self._most

    def _read_first_line(self) -> None:
        """Heed the status once its line is whole: the parser tells it from the first piece on."""
        if self.says:
            return
        *_, line = self._head.replace(b"\r\n", b"\n").split(b"\n\n", self._interims)
        if b"\n" in line.lstrip(b"\n"):
            self.says = self._parser.get_status_code()

    def end(self) -> None:
        """The connection ended: an answer without a length is complete now."""
        if self.status and not self.keep and not self._sized:
            self.body = b"".join(self._bodies)
            self.complete = True

    def on_message_begin(self) -> None:
        self.begun = True
        if self.complete:  # bytes behind an answer: what they belong to can't be told
            self.keep = False

    def on_header(self, name: bytes, value: bytes) -> None:
        name = name.lower()
        if self.complete:
            return
        self.says = self.says or self._parser.get_status_code()
        if name == b"retry-after":
            self.wait = read_seconds(value)
        elif name == b"x-backend-load":
            self.load = value
        elif name == b"x-over-slots":
            self.over_slots = value.strip() == b"1"
        elif name in (b"content-length", b"transfer-encoding"):
            self._sized = True

    def on_headers_complete(self) -> None:
        if not self.complete:
            self.status = self._parser.get_status_code()
            self.keep = self._parser.should_keep_alive()

    def on_body(self, body: bytes) -> None:
        if self._seen <= self._most and not self.complete:
            self._bodies.append(body)

    def on_message_complete(self) -> None:
        if 100 <= self.status < 200 and not self.complete:
            self._interims += 1
            self._start()  # only a word on the way
        elif not self.complete:
            self.body = b"".join(self._bodies)
            self.complete = True
