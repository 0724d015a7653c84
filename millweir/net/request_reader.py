"""Reads the requests of one client connection, one at a time.

The bytes behind a complete request are kept unparsed until the next request is asked for, so that what a
client sends ahead costs no more than its bytes.
"""

from __future__ import annotations

import httptools

from millweir.net.heads import parse_duration, parse_token

HEAD_END = b"\r\n\r\n"  # also ends a chunked body, with or without trailer fields
REQUEST_LINE_END = b" HTTP/1.1\r\n"
MAX_FIELDS = 100  # of one head
# A body in small chunks has so many bytes on the wire for each of its own.
MAX_CHUNKED_OVERHEAD = 4
# Header fields that a request may carry once: two of one could be interpreted in two ways.
SINGLE_VALUE_HEADERS = {
    b"x-correlation-id",
    b"x-service-class",
    b"x-time-left",
    b"x-addressing",
    b"content-length",
    b"transfer-encoding",
}


class Request:
    """One request of a client, as far as it has been read.

    A request with a non-zero `error_status` can only be answered with that status.
    """

    __slots__ = (
        "account",
        "body",
        "destination",
        "error_status",
        "id",
        "keep_alive",
        "key",
        "remaining_time",
        "bytes_received",
        "idempotency_key",
        "method",
        "seen_headers",
        "profile",
        "received_at",
        "url",
    )

    def __init__(self) -> None:
        self.received_at = 0
        self.method = b""
        self.url = b""
        self.id = b""
        self.profile = b""
        self.account = b""
        self.key = b""  # messages with the same key keep their order
        self.idempotency_key = b""
        self.remaining_time = -1  # nanoseconds until the deadline; -1 where it is missing
        self.destination = -1
        self.bytes_received = 0
        self.seen_headers: set[bytes] = set()
        self.body = b""
        self.error_status = 0
        self.keep_alive = True


class RequestReader:
    """Parses the requests of one connection; httptools calls the on_ methods."""

    __slots__ = (
        "_blank_bytes",
        "_body",
        "_body_remaining",
        "_complete_request",
        "_ended",
        "_field_count",
        "_last_bytes",
        "_max_body_bytes",
        "_max_head_bytes",
        "_parser",
        "_request",
        "_unparsed",
    )

    def __init__(self, max_head_bytes: int, max_body_bytes: int) -> None:
        self._max_head_bytes = max_head_bytes
        self._max_body_bytes = max_body_bytes
        self._parser = httptools.HttpRequestParser(self)
        self._request: Request | None = None  # the one that is being read
        self._complete_request: Request | None = None
        self._unparsed = b""
        self._last_bytes = b""  # parsed last, where the end of a head may have begun
        self._blank_bytes = 0  # in front of a request
        self._body = bytearray()
        self._body_remaining = 0
        self._field_count = 0
        self._ended = False  # nothing more can be read from the connection

    def close(self) -> None:
        """Drop the parser after the last byte: it and this object refer to each other."""
        self._parser = None
        self._unparsed = b""

    @property
    def mid_request(self) -> bool:
        """Whether a request has begun and is not complete."""
        return self._request is not None

    @property
    def has_unparsed_bytes(self) -> bool:
        """Whether bytes of a further request wait to be parsed."""
        return bool(self._unparsed)

    @property
    def unparsed_bytes(self) -> int:
        """How many bytes wait to be parsed."""
        return len(self._unparsed)

    def count_waiting_requests(self) -> int:
        """Count the requests that have begun in the bytes that wait to be parsed."""
        return self._unparsed.count(REQUEST_LINE_END)

    @property
    def ended(self) -> bool:
        """Whether the last request was invalid or asks for another protocol, so that none can follow."""
        return self._ended

    @property
    def held_bytes(self) -> int:
        """The bytes received that are kept: unparsed, or of the request that is being read."""
        return len(self._unparsed) + (self._request.bytes_received if self._request else 0)

    def feed(self, data: bytes) -> None:
        """Add received bytes."""
        if not self._ended:
            self._unparsed += data

    def read_request(self) -> Request | None:
        """Parse until a request is complete, or invalid: then its `error_status` is set; None without one."""
        while self._unparsed and not self._complete_request:
            self._parse_piece()
        request, self._complete_request = self._complete_request, None
        return request

    def _parse_piece(self) -> None:
        """Parse bytes that belong to one request."""
        piece = self._take_piece()
        in_head = not (self._request and self._request.method)
        if self._body_remaining:
            self._body_remaining -= len(piece)
        try:
            self._parser.feed_data(piece)
        except httptools.HttpParserError:
            self._reject_request(self._request or Request(), 400)
            return
        except httptools.HttpParserUpgrade:  # no upgrade is supported: respond, then close
            if self._complete_request:
                self._complete_request.keep_alive = False
            self._end()
            return
        request = self._complete_request or self._request
        if request is None:
            self._count_blank_bytes(len(piece))
            return
        self._blank_bytes = 0
        request.bytes_received += len(piece)
        if in_head and request.bytes_received > self._max_head_bytes:
            request.error_status = request.error_status or 400
        is_too_long = request.bytes_received > MAX_CHUNKED_OVERHEAD * self._max_body_bytes
        if is_too_long or len(self._body) > self._max_body_bytes:
            request.error_status = request.error_status or 413
        if request.error_status:
            self._reject_request(request)

    def _count_blank_bytes(self, size: int) -> None:
        self._blank_bytes += size
        if self._blank_bytes > self._max_head_bytes:
            self._reject_request(Request(), 400)

    def _take_piece(self) -> bytes:
        """Take bytes up to the next place where a request may end."""
        data = self._unparsed
        if self._body_remaining:
            size = min(len(data), self._body_remaining)
        else:
            window = self._last_bytes + data if self._last_bytes else data
            at = window.find(HEAD_END)
            size = len(data) if at < 0 else at + len(HEAD_END) - len(self._last_bytes)
            self._last_bytes = window[1 - len(HEAD_END) :] if at < 0 else b""
        if size == len(data):
            self._unparsed = b""
            return data
        self._unparsed = data[size:]
        return data[:size]

    def _reject_request(self, request: Request, status: int = 0) -> None:
        """Complete an invalid request; none can follow it."""
        request.error_status = request.error_status or status
        request.keep_alive = False
        self._complete_request = request
        self._end()

    def _end(self) -> None:
        self._ended = True
        self._request = None
        self._unparsed = b""
        self._body = bytearray()

    def on_message_begin(self) -> None:
        self._request = Request()
        self._body_remaining = 0
        self._field_count = 0

    def on_url(self, url: bytes) -> None:
        self._request.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        request, name = self._request, name.lower()
        if request.method:
            return  # a trailer field: trailers are ignored
        self._field_count += 1
        if self._field_count > MAX_FIELDS:
            request.error_status = request.error_status or 431
            return
        if name in SINGLE_VALUE_HEADERS:
            if name in request.seen_headers:
                request.error_status = request.error_status or 400
            request.seen_headers.add(name)
        try:
            self._read_field(request, name, value)
        except ValueError:
            request.error_status = request.error_status or 400

    def _read_field(self, request: Request, name: bytes, value: bytes) -> None:
        if name == b"x-correlation-id":
            request.id = parse_token(value)
        elif name == b"x-service-class":
            request.profile = value
        elif name == b"x-time-left":
            request.remaining_time = parse_duration(value)
        elif name == b"x-addressing":
            for field in value.replace(b";", b",").split(b","):
                field_name, _, number = field.strip().partition(b"=")
                if field_name == b"dest":
                    request.destination = int(number) if number.isdigit() and len(number) < 10 else -1
        elif name == b"x-account":
            request.account = value
        elif name == b"idempotency-key":
            request.idempotency_key = parse_token(value)
        elif name == b"cookie":
            for field in value.split(b";"):
                field_name, _, key = field.strip().partition(b"=")
                if field_name == b"about":
                    request.key = key
        elif name == b"content-length":
            self._body_remaining = int(value)
            if self._body_remaining > self._max_body_bytes:
                request.error_status = 413

    def on_headers_complete(self) -> None:
        if self._request.seen_headers >= {b"content-length", b"transfer-encoding"}:
            self._request.error_status = 400  # request smuggling: its body may hide another request
        self._request.method = self._parser.get_method()
        self._request.keep_alive = self._parser.should_keep_alive()

    def on_body(self, body: bytes) -> None:
        self._body += body  # one call for each chunk

    def on_message_complete(self) -> None:
        request = self._request
        request.body = bytes(self._body)
        if len(request.body) > self._max_body_bytes:
            request.error_status = request.error_status or 413
        self._body = bytearray()
        self._complete_request = request
        self._request = None
