"""Parse a target's answers and check that they belong to what was asked.

A target may break off an answer, add bytes to it, or send an answer to an earlier
request where the next one is expected. httptools parses; nothing here does I/O.
"""

import httptools

from ..headers import get_header
from ..platform import protocol

__all__ = ["ResponseParser"]

_BODYLESS_STATUSES = (204, 304)
_FRAMING_HEADERS = (b"content-length", b"transfer-encoding")


class ResponseParser:
    """The answers on one connection, one after the other.

    :ivar has_head: whether status and headers of the answer are there.
    :ivar is_complete: whether all of it is there.
    :ivar must_close: whether no further request may be sent on the connection.
    :ivar error: why there is no proper answer, or ``None``.
    :ivar buffered_bytes: bytes of the body that :meth:`take_body` has not taken.
    :ivar keepalive_timeout: seconds the connection may stay idle by the target's word,
        or ``None``.
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
        self._expected_id = None
        self._is_head_request = False
        self._is_first = True
        self._is_skipping = False
        self._ends_with_connection = False

    def start(self, attempt_id, is_head_request, is_first):
        """Expect the answer to a request.

        :param attempt_id: the id that the answer has to repeat.
        :param is_first: whether it is the first request on the connection.
        """
        self.headers = []
        self.has_head = self.is_complete = False
        self.error = None
        self.buffered_bytes = 0
        self._chunks = []
        self._expected_id = attempt_id
        self._is_head_request = is_head_request
        self._is_first = is_first
        self._is_skipping = self._ends_with_connection = False

    def feed(self, data):
        """Take bytes of the connection."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fail("upgrade")
        except httptools.HttpParserError as exc:
            self._fail(f"malformed: {exc}")

    def feed_eof(self, reason):
        """Take the end of the connection.

        :param reason: how it ended, or ``None`` if the target closed it in order.
        """
        is_whole = self.has_head and self._ends_with_connection and reason is None
        if is_whole and not self.is_complete:
            self.is_complete = self.must_close = True
        else:
            self._fail(reason or "closed")

    def take_body(self):
        """Return the part of the body that has come since the last call."""
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

    def on_header(self, name, value):
        if not self.is_complete:
            self.headers.append((name.lower(), value))

    def on_headers_complete(self):
        if self.is_complete:
            return
        self.status = self._parser.get_status_code()
        if self.status < 200:
            self._is_skipping = True
            return
        found = get_header(self.headers, protocol.ATTEMPT_ID_HEADER)
        if found is not None and found != self._expected_id:
            # An answer to an earlier request; ours may follow.
            self._is_skipping = self.must_close = True
        elif found is None and not self._is_first:
            self._fail("no attempt id on a used connection")
        else:
            self._take_head()

    def on_body(self, body):
        if not self._is_skipping and not self.is_complete:
            self._chunks.append(body)
            self.buffered_bytes += len(body)

    def on_message_complete(self):
        if self._is_skipping:
            self._is_skipping = False
        elif self.has_head and not self.is_complete:
            self.is_complete = True
            if not self._parser.should_keep_alive():
                self.must_close = True

    def _take_head(self):
        self.has_head = True
        self.keepalive_timeout = _get_keepalive(self.headers, self.keepalive_timeout)
        if self._is_head_request:
            self.is_complete = self.must_close = True
        elif self.status not in _BODYLESS_STATUSES:
            self._ends_with_connection = not any(
                name in _FRAMING_HEADERS for name, _ in self.headers
            )

    def _fail(self, reason):
        """Note what is wrong; a whole answer stays one, the connection does not."""
        self.must_close = True
        if not self.is_complete and self.error is None:
            self.error = reason


def _get_keepalive(headers, known):
    """Return the idle seconds in a ``Keep-Alive`` header, or ``known``."""
    value = get_header(headers, b"keep-alive")
    if value is None:
        return known
    for part in value.split(b","):
        key, _, number = part.strip().partition(b"=")
        if key.lower() == b"timeout" and number.isdigit():
            return float(number)
    return known
