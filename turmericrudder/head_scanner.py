"""Detection of another response within the body of a response.

A server whose response breaks off may send another one on the same connection. Its head
would be taken for a part of the first body. An id that servers return in their heads
tells such a head from a body that quotes one.
"""

import re

__all__ = ["HeadScanner"]

# Bounds on what is kept until the next read. A head that exceeds them is not found.
MAX_STATUS_LINE_BYTES = 256
MAX_HEADER_LINE_BYTES = 4096
# Bytes of a head before its id that are received in an earlier read than the id.
MAX_HEAD_START_BYTES = 2048

_START = b"HTTP/1."
# Without a bound on the reason phrase, a long line of starts takes quadratic time.
_STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5][0-9]{2}(?: [^\r\n]{0,240}+)?+\r\n")
_HEADER_LINES = re.compile(rb"(?:[!#$%&'*+.^_`|~0-9A-Za-z-]+:[^\r\n]*\r\n)*+")


class HeadScanner:
    """Finds response heads with one of several ids in a body that arrives in parts.

    :ivar is_pending: whether the body so far ends with what may begin such a head.
    """

    __slots__ = ("_id_line", "_ids", "_is_in_head", "_needle", "_rest", "is_pending")

    def __init__(self, id_header):
        """Search for heads with an id.

        :param id_header: name of the header that has the id.
        """
        self._id_line = re.compile(
            rb"^%s:([^\r\n]*+)\r\n" % re.escape(id_header),
            re.IGNORECASE | re.MULTILINE,
        )
        self.start((), b"")

    def start(self, ids, id_name):
        """Prepare for the next body.

        :param ids: collection of the ids that no quoted head has.
        :param id_name: name of the header as this server writes it, empty if unknown.
        """
        self._ids = ids
        self._needle = b"\r\n%s:" % id_name if id_name else b""
        self._is_in_head = self.is_pending = False
        self._rest = b""

    def feed(self, data):
        """Return whether a status line and a header with an id have been found.

        The end of the head may be missing.
        """
        position = 0
        if self.is_pending:
            data = self._rest + data
            self.is_pending = False
        elif len(data) > MAX_HEAD_START_BYTES and (
            data.find(b"\r") < 0 or data.find(self._needle) < 0
        ):
            # One byte, or the long name, is found faster than the start of a head.
            position = len(data) - MAX_HEAD_START_BYTES
        while True:
            if not self._is_in_head:
                position = self._find_status_line(data, position)
                if position < 0:
                    return False
                self._is_in_head = True
            end = _HEADER_LINES.match(data, position).end()
            for match in self._id_line.finditer(data, position, end):
                if match[1].strip(b" \t") in self._ids:
                    return True
            if len(data) - end <= MAX_HEADER_LINE_BYTES and data.find(b"\n", end) < 0:
                self._keep(data[end:])
                return False
            # The head is over, or was none; the same line may begin another.
            self._is_in_head = False
            position = end

    def feed_last(self, data):
        """Do as :meth:`feed` with the last bytes, which may end within a line."""
        if self.feed(data):
            return True
        self._rest = self._rest.removesuffix(b"\r")
        return self.is_pending and self.feed(b"\r\n")

    def _find_status_line(self, data, position):
        """Return the end of the next status line, or -1 without one.

        The start of one at the end of the data is kept for the next call.
        """
        start = data.find(_START, position)
        if start >= 0:
            match = _STATUS_LINE.search(data, start)
            if match is not None:
                return match.end()
            line = data.rfind(b"\n", start)
            start = data.find(
                _START, max(start, line, len(data) - MAX_STATUS_LINE_BYTES)
            )
        if start < 0:
            start = data.rfind(b"H", -len(_START))
            if start < position or not _START.startswith(data[start:]):
                return -1
        self._keep(data[start:])
        return -1

    def _keep(self, rest):
        self._rest = rest
        self.is_pending = True
