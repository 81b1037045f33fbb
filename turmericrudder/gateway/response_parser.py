"""A parser of targets' responses that checks which request they belong to.

A target may truncate a response, send excess bytes after it, send a late response to
an earlier request, or another response within a body that it did not complete. The
parser is httptools; nothing here does I/O.
"""

import re
from collections import deque

import httptools

from ..head_scanner import HeadScanner
from ..headers import get_header
from ..platform import protocol
from ..ranges import MAX_SECONDS, parse_integer

__all__ = ["ResponseParser"]

# Bounds on what a target may send besides the body of its response. Without them,
# memory and processor time would be in the hands of a faulty target.
MAX_HEADERS = 256  # header and trailer lines of one response
MAX_STATUS = 599  # RFC 9110, 15; no client has a meaning for others
MAX_INTERIM_RESPONSES = 16  # responses with a 1xx status before the final one
MAX_SKIPPED_BYTES = 256 * 1024  # body bytes of late responses to earlier requests
# Bytes of heads, trailers and chunk headers of one response, to which
# FRAMING_BYTES_PER_BODY_BYTE is added for chunks of a few bytes each.
MAX_FRAMING_BYTES = 64 * 1024
FRAMING_BYTES_PER_BODY_BYTE = 8
# Requests on the connection whose late response is recognised within a body.
MAX_KNOWN_IDS = 32
MAX_KNOWN_ID_BYTES = 256
MAX_REASON_BYTES = 1024  # of a reason phrase that are looked at
# Where a head broke off and another one goes on in the same line. A value that quotes a
# status line has a space or a bracket before it.
_JOINED_LINE = re.compile(
    rb"(?:^|[^\s\"'(\[<])HTTP/1\.[01] [1-5][0-9]{2}(?: |$)", re.MULTILINE
)
_EMPTY_LINE = b"\r\n\r\n"
_BODYLESS_STATUSES = (204, 304)
_FRAMING_HEADERS = (b"content-length", b"transfer-encoding")


class ResponseParser:
    """Parses the responses on one connection, one after the other.

    :ivar has_head: whether status and headers of the response have been received.
    :ivar is_complete: whether the response has been received to its end.
    :ivar must_close: whether no further request may be sent on the connection.
    :ivar error: why the response is missing or invalid, or ``None``.
    :ivar buffered_bytes: bytes of the body that :meth:`take_body` has not returned.
    :ivar keepalive_timeout: seconds in the target's ``Keep-Alive`` header, or ``None``
        without one.
    """

    def __init__(self):
        self.status = 0
        self.headers = []
        self.has_head = False
        self.is_complete = False
        self.must_close = False
        self.error = None
        self.buffered_bytes = 0
        self.keepalive_timeout = None
        self._parser = httptools.HttpResponseParser(self)
        self._chunks = []
        self._scanner = HeadScanner(protocol.ATTEMPT_ID_HEADER)
        self._known_ids = deque(maxlen=MAX_KNOWN_IDS)
        self._id_name = self._reason = b""
        self._expected_attempt_id = None
        self._is_head_request = False
        self._is_first_request = True
        self._is_skipping_message = False
        self._is_close_delimited = False
        self._header_count = 0
        self._interim_count = 0
        self._received_bytes = 0
        self._body_bytes = 0
        self._skipped_bytes = 0

    def start(self, attempt_id, is_head_request, is_first):
        """Prepare for the response to a request.

        :param attempt_id: the attempt id that the response must have, ``None`` for a
            request without one on a connection of its own.
        :param is_first: whether it is the first request on the connection.
        """
        self.headers = []
        self.has_head = self.is_complete = False
        self.error = None
        self.buffered_bytes = 0
        self._chunks = []
        if attempt_id is not None and len(attempt_id) <= MAX_KNOWN_ID_BYTES:
            self._known_ids.append(attempt_id)
        self._id_name = self._reason = b""
        self._expected_attempt_id = attempt_id
        self._is_head_request = is_head_request
        self._is_first_request = is_first
        self._is_skipping_message = self._is_close_delimited = False
        self._header_count = self._interim_count = 0
        self._received_bytes = self._body_bytes = self._skipped_bytes = 0

    def feed(self, data):
        """Parse bytes received on the connection, unless they exceed a bound."""
        if self.error is not None:
            return
        self._received_bytes += len(data)
        had_head, chunk_count = self.has_head, len(self._chunks)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fail("upgrade")
        except httptools.HttpParserError as exc:
            self._fail(f"malformed: {exc}")
        self._check_framing_bytes()
        if len(self._chunks) > chunk_count:
            body = self._chunks[-1]
            if len(self._chunks) > chunk_count + 1:
                # Chunks of a few bytes each are not scanned one by one.
                body = b"".join(self._chunks[chunk_count:])
                self._chunks[chunk_count:] = [body]
            if self._has_other_response(body, data, had_head):
                self._fail_body()

    def feed_eof(self, reason):
        """Handle the end of the connection.

        :param reason: why the connection was lost, or ``None`` if the target closed it
            normally.
        """
        is_normal_end = (
            self.has_head
            and self._is_close_delimited
            and reason is None
            and self.error is None
        )
        if is_normal_end and self._scanner.feed_last(b""):
            self._fail_body()
        elif is_normal_end and not self.is_complete:
            self.is_complete = self.must_close = True
        else:
            self._fail(reason or "closed")

    def take_body(self):
        """Return the part of the body received since the last call."""
        body = b"".join(self._chunks)
        self._chunks.clear()
        self.buffered_bytes = 0
        return body

    # httptools callbacks

    def on_message_begin(self):
        if self.is_complete:
            self.must_close = True
        else:
            self.headers = []
            self._id_name = self._reason = b""

    def on_status(self, part):
        self._reason = (self._reason + part)[:MAX_REASON_BYTES]

    def on_header(self, name, value):
        if self.is_complete or self.error is not None:
            return
        self._header_count += 1
        if self._header_count > MAX_HEADERS:
            self._fail(f"more than {MAX_HEADERS} header lines")
        elif not self.has_head:
            lower_name = name.lower()
            if lower_name == protocol.ATTEMPT_ID_HEADER:
                if self._id_name:
                    self._fail("more than one attempt id")
                self._id_name = name
            self.headers.append((lower_name, value))

    def on_headers_complete(self):
        if self.is_complete or self.error is not None:
            return
        if self._has_joined_line():
            self._fail("another response within the head")
            return
        self.status = self._parser.get_status_code()
        if self.status < 200:
            self._is_skipping_message = True
            self._interim_count += 1
            if self._interim_count > MAX_INTERIM_RESPONSES:
                self._fail(f"more than {MAX_INTERIM_RESPONSES} interim responses")
            return
        attempt_id = get_header(self.headers, protocol.ATTEMPT_ID_HEADER)
        expected_id = self._expected_attempt_id
        if expected_id is not None and attempt_id not in (None, expected_id):
            # A late response to an earlier request; the expected one may follow.
            self._is_skipping_message = self.must_close = True
        elif attempt_id is None and not self._is_first_request:
            self._fail("no attempt id on a used connection")
        else:
            self._accept_head()

    def on_body(self, body):
        if self.is_complete or self.error is not None:
            return
        if self._is_skipping_message:
            self._skipped_bytes += len(body)
            if self._skipped_bytes > MAX_SKIPPED_BYTES:
                self._fail(f"late response longer than {MAX_SKIPPED_BYTES} bytes")
            return
        self._chunks.append(body)
        self._body_bytes += len(body)
        self.buffered_bytes += len(body)

    def on_message_complete(self):
        if self.error is not None:
            return
        if self._is_skipping_message:
            self._is_skipping_message = False
        elif self.has_head and not self.is_complete:
            self.is_complete = True
            if not self._parser.should_keep_alive():
                self.must_close = True

    def _accept_head(self):
        if self.status > MAX_STATUS:
            self._fail(f"status {self.status}")
            return
        codings = [
            value.strip().lower()
            for name, value in self.headers
            if name == b"transfer-encoding"
        ]
        if codings not in ([], [b"chunked"]):
            # The other coding would be lost: the client gets a framing of its own.
            self._fail("transfer-encoding is not chunked alone")
            return
        self.has_head = True
        self._scanner.start(self._known_ids, self._id_name)
        self.keepalive_timeout = _get_keepalive_timeout(
            self.headers, self.keepalive_timeout
        )
        if self._is_head_request:
            self.is_complete = self.must_close = True
        elif self.status not in _BODYLESS_STATUSES:
            self._is_close_delimited = not any(
                name in _FRAMING_HEADERS for name, _ in self.headers
            )

    def _has_joined_line(self):
        text = b"\n".join([self._reason, *[value for _, value in self.headers]])
        return text.find(b"HTTP/1.") >= 0 and (
            b"HTTP/1." in self._reason or _JOINED_LINE.search(text) is not None
        )

    def _has_other_response(self, body, data, had_head):
        """Return whether another response began in the body.

        :param body: the body's bytes in ``data``, which were received last.
        :param had_head: whether ``data`` begins within the body.
        """
        scanner = self._scanner
        if scanner.feed(body):
            return True
        if not (self.is_complete and scanner.is_pending):
            return False
        if get_header(self.headers, b"content-length") is None:
            return False
        # The other head may go on after the length of the first body.
        start = 0 if had_head else self._find_body(data, body)
        return scanner.feed_last(data[start + len(body) :])

    def _find_body(self, data, body):
        """Return where a body begins in bytes with the end of its head."""
        # The head after an interim response may begin like the body.
        find = data.rfind if self._interim_count else data.find
        empty_line = find(_EMPTY_LINE + body)
        if empty_line < 0:
            return data.find(body)  # after the rest of the empty line
        return empty_line + len(_EMPTY_LINE)

    def _check_framing_bytes(self):
        framing_bytes = self._received_bytes - self._body_bytes - self._skipped_bytes
        bound = MAX_FRAMING_BYTES + FRAMING_BYTES_PER_BODY_BYTE * self._body_bytes
        if framing_bytes > bound:
            self._fail(f"more than {bound} bytes besides the body")

    def _fail_body(self):
        """Fail the response; what is left of the body must not complete it."""
        self.is_complete = False
        self.must_close = True
        self.error = "another response within the body"
        self.take_body()

    def _fail(self, reason):
        """Mark the connection as unusable and, unless it is complete, the response."""
        self.must_close = True
        if not self.is_complete and self.error is None:
            self.error = reason


def _get_keepalive_timeout(headers, default):
    """Return the seconds in a ``Keep-Alive`` header, or ``default`` without them."""
    value = get_header(headers, b"keep-alive")
    if value is None:
        return default
    for part in value.split(b","):
        key, _, number = part.strip().partition(b"=")
        if key.lower() == b"timeout":
            seconds = parse_integer(number, MAX_SECONDS)
            return default if seconds is None else float(seconds)
    return default
