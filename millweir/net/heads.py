"""HTTP messages: values of header fields, an incremental reader of responses, and encoded responses."""

from __future__ import annotations

from http import HTTPStatus
from typing import Any

import httptools

from millweir.interface import MILLISECOND

MAX_ID_BYTES = 128
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
