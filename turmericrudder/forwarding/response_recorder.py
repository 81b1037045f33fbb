"""Collect an answer while it is passed on, to keep it as an outcome."""

from ..control.messages import OperationOutcome

__all__ = ["ResponseRecorder"]


class ResponseRecorder:
    """Copies head and body of an answer up to a size."""

    __slots__ = ("_body", "_headers", "_limit", "_status", "_whole")

    def __init__(self, limit):
        self._limit = limit
        self._status = 0
        self._headers = ()
        self._body = bytearray()
        self._whole = True

    def start(self, status, headers):
        """Take the head."""
        self._status = status
        self._headers = tuple(headers)

    def add(self, chunk):
        """Take a part of the body."""
        if len(self._body) + len(chunk) > self._limit:
            self._whole = False
            self._body.clear()
        if self._whole:
            self._body += chunk

    def get_outcome(self):
        """Return the outcome of a request that ran."""
        return OperationOutcome(
            True, self._status, self._headers, bytes(self._body), self._whole
        )
