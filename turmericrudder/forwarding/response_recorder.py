"""Copying of a response while it is streamed, to keep it as an operation's outcome."""

from ..control.messages import OperationOutcome

__all__ = ["ResponseRecorder"]


class ResponseRecorder:
    """Copies the head and the body of a response.

    :param limit: bytes of the longest body that is copied.
    """

    __slots__ = ("_body", "_headers", "_is_complete", "_limit", "_status")

    def __init__(self, limit):
        self._limit = limit
        self._status = 0
        self._headers = ()
        self._body = bytearray()
        self._is_complete = True

    def start(self, status, headers):
        """Copy the head of the response."""
        self._status = status
        self._headers = tuple(headers)

    def add(self, chunk):
        """Copy a chunk of the body; drop the copy if the body gets too long."""
        if len(self._body) + len(chunk) > self._limit:
            self._is_complete = False
            self._body.clear()
        if self._is_complete:
            self._body += chunk

    def get_outcome(self):
        """Return the :class:`OperationOutcome` of a request that ran.

        It is marked as incomplete if the body was too long to copy.
        """
        return OperationOutcome(
            True, self._status, self._headers, bytes(self._body), self._is_complete
        )
