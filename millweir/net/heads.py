"""HTTP messages: incremental readers of requests and responses (httptools), and encoded responses."""

from __future__ import annotations

from http import HTTPStatus
from typing import Any

import httptools

from millweir.interface import MILLISECOND

MAX_ID_BYTES = 128
# Header fields that a request may carry once: two of one could be interpreted in two ways.
SINGLE_VALUE_HEADERS = {
    b"x-correlation-id",
    b"x-service-class",
    b"x-time-left",
    b"x-addressing",
    b"content-length",
    b"transfer-encoding",
}
MAX_RETRY_AFTER_NS = 86_400 * 10**9  # a longer Retry-After is ignored
NANOSECONDS_PER_UNIT = {b"m": MILLISECOND, b"u": MILLISECOND // 1000}


def parse_duration(text: bytes) -> int:
    """Parse a duration such as 480m (ms) or 1500u (microseconds) to nanoseconds, or raise ValueError."""
    number = text[:-1]
    if text[-1:] not in NANOSECONDS_PER_UNIT or not number.isdigit() or len(number) > 12:
        raise ValueError(f"not a duration: {text!r}")
    return int(number) * NANOSECONDS_PER_UNIT[text[-1:]]


def parse_token(text: bytes) -> bytes:
    """Check a value that is forwarded unchanged in header fields and JSON, or raise ValueError."""
    if len(text) > MAX_ID_BYTES or not text.isascii() or not text.decode().isprintable():
        raise ValueError(f"not printable ASCII, or too long: {text!r}")
    return text


def parse_number(value: Any) -> float:
    """Parse a rate or a load figure; raise ValueError unless it is finite, non-negative and below 1e12."""
    number = float(value)
    if not 0 <= number < 1e12:
        raise ValueError(f"not a number from 0 to 1e12: {value!r}")
    return number


def parse_retry_after(text: bytes) -> int:
    """Parse whole or decimal seconds to nanoseconds; 0 if the value is not a usable wait."""
    try:
        seconds = float(text)
    except ValueError:
        return 0
    return int(seconds * 1e9) if 0 < seconds < MAX_RETRY_AFTER_NS / 1e9 else 0


def encode_response(status: int, keep_alive: bool, body: bytes = b"", retry_after: int = 0) -> list[bytes]:
    """Encode a response as head and body; `retry_after` in nanoseconds, 0 for no such field."""
    head = f"HTTP/1.1 {status} {HTTPStatus(status).phrase}\r\nContent-Length: {len(body)}\r\n"
    if retry_after:
        head += f"Retry-After: {retry_after / 1e9:.3f}\r\n"
    if not keep_alive:
        head += "Connection: close\r\n"
    return [head.encode() + b"\r\n", body]


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
        "_body_chunks",
        "_max_body_bytes",
        "_max_head_bytes",
        "_parser",
        "_request",
        "_body_size",
        "requests",
    )

    def __init__(self, max_head_bytes: int, max_body_bytes: int) -> None:
        self._max_head_bytes = max_head_bytes
        self._max_body_bytes = max_body_bytes
        self._parser = httptools.HttpRequestParser(self)
        self._request: Request | None = None
        self._body_chunks: list[bytes] = []
        self._body_size = 0
        self.requests: list[Request] = []  # complete ones; the last one may be an invalid one

    def close(self) -> None:
        """Drop the parser after the last byte: it and this object refer to each other."""
        self._parser = None

    @property
    def mid_request(self) -> bool:
        """Whether a request has begun and is not complete."""
        return self._request is not None

    def feed(self, data: bytes) -> bool:
        """Parse more bytes; False once nothing more can be read from the connection.

        The last request then has its `error_status` set, or asks for another protocol.
        """
        previous = self._request
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._reject_request(400)
            return False
        except httptools.HttpParserUpgrade:  # no upgrade is supported: respond, then close
            self.requests[-1].keep_alive = False
            return False
        request = self._request
        if request is not None:
            # Bytes that came together with the end of an earlier request are not counted.
            request.bytes_received += len(data) * (request is previous or not self.requests)
            if not self._body_size and request.bytes_received > self._max_head_bytes:
                request.error_status = request.error_status or 400
            if request.error_status or request.bytes_received > 4 * self._max_body_bytes:
                self._reject_request(request.error_status or 413)
                return False
        return True

    def _reject_request(self, status: int) -> None:
        request = self._request or Request()
        self._request = None
        request.error_status = request.error_status or status
        request.keep_alive = False
        self.requests.append(request)

    def on_message_begin(self) -> None:
        self._request = Request()
        self._body_size = 0
        self._body_chunks = []

    def on_url(self, url: bytes) -> None:
        self._request.url += url
        if len(self._request.url) > self._max_head_bytes:
            self._request.error_status = 400

    def on_header(self, name: bytes, value: bytes) -> None:
        request, name = self._request, name.lower()
        if request.method:
            return  # a trailer field: trailers are ignored
        if name in SINGLE_VALUE_HEADERS:
            if name in request.seen_headers:
                request.error_status = request.error_status or 400
            request.seen_headers.add(name)
        try:
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
            elif name == b"content-length" and int(value) > self._max_body_bytes:
                request.error_status = 413
        except ValueError:
            request.error_status = request.error_status or 400

    def on_headers_complete(self) -> None:
        if self._request.seen_headers >= {b"content-length", b"transfer-encoding"}:
            self._request.error_status = 400  # request smuggling: its body may hide another request
        self._request.method = self._parser.get_method()
        self._request.keep_alive = self._parser.should_keep_alive()

    def on_body(self, body: bytes) -> None:
        self._body_size += len(body)
        if self._body_size > self._max_body_bytes:
            self._request.error_status = 413
            self._body_chunks.clear()
        else:
            self._body_chunks.append(body)

    def on_message_complete(self) -> None:
        request = self._request
        request.body = b"".join(self._body_chunks)
        if request.error_status:
            request.keep_alive = False
        self.requests.append(request)
        self._request = None


class ResponseReader:
    """Parses one response after the other of a connection; httptools calls the on_ methods."""

    __slots__ = (
        "_body_chunks",
        "_head_bytes",
        "_interim_responses",
        "_max_bytes",
        "_parser",
        "_bytes_received",
        "_has_length",
        "started",
        "body",
        "complete",
        "followed",
        "trailing_retry_after",
        "keep_alive",
        "backend_load",
        "over_slots",
        "status_line_code",
        "status",
        "retry_after",
    )

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self.reset()

    def reset(self) -> None:
        """Prepare for the next response, with a new parser: a reused one still reports the last status."""
        self._parser = httptools.HttpResponseParser(self)
        self._bytes_received = 0
        self._head_bytes = b""  # raw bytes, until the status line of the final response is complete
        self._interim_responses = 0  # 1xx responses in front of it in the raw bytes
        self._clear()

    def close(self) -> None:
        """Drop the parser after the last byte: it and this object refer to each other."""
        self._parser = None

    def _clear(self) -> None:
        self._body_chunks: list[bytes] = []
        self.status = 0
        self.status_line_code = 0  # from a complete status line, whatever follows it
        self.retry_after = 0  # nanoseconds
        self.body = b""
        self.backend_load = b""
        self._has_length = False
        self.started = False
        self.complete = False
        self.over_slots = False
        self.trailing_retry_after = 0  # of a response behind the complete one
        self.followed = False  # bytes that belong to no known request came after the complete response
        self.keep_alive = True

    def feed(self, data: bytes) -> bool:
        """Parse more bytes; False if they are no response, or too long a one.

        A complete response stays valid, whatever bytes follow it.
        """
        self._bytes_received += len(data)
        if self.status_line_code < 200:  # also after an interim response, which may arrive in parts
            self._head_bytes += data
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:  # an interim response that names another protocol
            self._parser = httptools.HttpResponseParser(self)
            self._head_bytes = b""
            self._interim_responses = 0
            return not data[error.args[0] :] or self.feed(data[error.args[0] :])
        except httptools.HttpParserError as error:
            if not isinstance(error, httptools.HttpParserInvalidStatusError):
                self._read_status_line()
            self.followed = self.complete
            self.keep_alive = False
            return self.complete
        self._read_status_line()
        return self.complete or self._bytes_received <= self._max_bytes

    def _read_status_line(self) -> None:
        """Take the status code once its line is complete: the parser reports it from the first digit on."""
        if self.status_line_code:
            return
        *_, line = self._head_bytes.replace(b"\r\n", b"\n").split(b"\n\n", self._interim_responses)
        if b"\n" in line.lstrip(b"\n"):
            self.status_line_code = self._parser.get_status_code()

    def finish_at_eof(self) -> None:
        """Complete a response without a length, which ends with its connection."""
        if self.status and not self.keep_alive and not self._has_length:
            self.body = b"".join(self._body_chunks)
            self.complete = True

    def on_status(self, reason: bytes) -> None:
        if b"HTTP/" in reason:
            raise ValueError("a status line in a status line: two responses, the first one cut")

    def on_message_begin(self) -> None:
        self.started = True
        if self.complete:
            self.followed = True
            self.keep_alive = False

    def on_header(self, name: bytes, value: bytes) -> None:
        name = name.lower()
        if self.complete:
            if name == b"retry-after":
                self.trailing_retry_after = parse_retry_after(value)
            return
        if b"HTTP/1." in value:
            raise ValueError("a status line in a header field: two responses, the first one cut")
        self.status_line_code = self.status_line_code or self._parser.get_status_code()
        if name == b"retry-after":
            self.retry_after = parse_retry_after(value)
        elif name == b"x-backend-load":
            self.backend_load = value
        elif name == b"x-over-slots":
            self.over_slots = value.strip() == b"1"
        elif name in (b"content-length", b"transfer-encoding"):
            self._has_length = True

    def on_headers_complete(self) -> None:
        if not self.complete:
            self.status = self._parser.get_status_code()
            self.keep_alive = self._parser.should_keep_alive()

    def on_body(self, body: bytes) -> None:
        if self._bytes_received <= self._max_bytes and not self.complete:
            self._body_chunks.append(body)

    def on_message_complete(self) -> None:
        if 100 <= self.status < 200 and not self.complete:
            self._interim_responses += 1
            self._clear()  # an interim response: the final one follows
        elif not self.complete:
            self.body = b"".join(self._body_chunks)
            self.complete = True
