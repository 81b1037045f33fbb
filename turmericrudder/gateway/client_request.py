"""A client's request and the head that is sent to targets for it."""

import hashlib
from collections.abc import Callable
from dataclasses import dataclass

from ..headers import get_header, get_hop_by_hop_headers
from ..platform import protocol
from ..steering import Route
from ..units import MS_PER_SECOND
from .body_reader import MAX_BUFFERED_BODY_BYTES
from .request_log import RequestLogBuffer

__all__ = ["ClientRequest"]

# Set by make_head, whatever the client sent.
_REPLACED_HEADERS = frozenset(
    (b"content-length", protocol.DEADLINE_HEADER, protocol.EXPECTED_INSTANCE_HEADER)
)

FINGERPRINT_BYTES = 16
# Headers that name the caller. Others may differ each time a request is sent.
_CALLER_HEADERS = frozenset((b"authorization", b"cookie", b"host", b"user-agent"))


def _is_never_disconnected():
    return False


@dataclass(slots=True)
class ClientRequest:
    """A client's request.

    :param request_target: path and query as the client sent them.
    :param headers: with names in lower case.
    :param attempt_id: the client's id for this transmission of the request; targets
        return it.
    :param affinity_key: see :class:`~turmericrudder.steering.SelectionRequest`.
    :param service: the service chosen from the route's backends.
    :param arrived_at: monotonic time at which the head was received.
    :param expires: monotonic time by which the final response must be sent.
    :param deadline: monotonic time until which the client waits; the end of the route's
        timeout if the client does not send it.
    :param log_buffer: the request's log lines.
    :param body: the complete body, or ``None`` if it is streamed.
    :param body_stream: async iterator of the body's bytes as sent on the connection:
        in HTTP's chunked encoding if ``body_length`` is ``None``.
    :param body_length: the body's length in bytes, or ``None`` if it is chunked.
    :param body_start: what was buffered of a body that is streamed.
    :param is_disconnected: function that returns whether the client has disconnected;
        nothing more is sent to targets then.
    """

    method: str
    request_target: bytes
    headers: list[tuple[bytes, bytes]]
    attempt_id: bytes
    affinity_key: str | None
    route: Route
    service: str
    arrived_at: float
    expires: float
    deadline: float
    log_buffer: RequestLogBuffer
    body: bytes | None = b""
    body_stream: object = None
    body_length: int | None = 0
    body_start: bytes = b""
    is_disconnected: Callable[[], bool] = _is_never_disconnected
    _fingerprint: str | None = None

    def get_fingerprint(self):
        """Return a digest that is equal if the same caller sends the request again.

        It covers the method, the path and query, the caller and the body, of one that
        is too long to buffer the start and the length in the request's head. It does
        not depend on how the body arrived.
        """
        if self._fingerprint is None:
            digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
            body = self.body_start if self.body is None else self.body
            length = b"%d" % len(body)
            if len(body) > MAX_BUFFERED_BODY_BYTES:
                length = get_header(self.headers, b"content-length") or b""
            parts = [self.method.encode(), self.request_target, length]
            for name, value in sorted(self.headers):
                if name in _CALLER_HEADERS:
                    parts += (name, value)
            parts.append(body[:MAX_BUFFERED_BODY_BYTES])
            for part in parts:
                digest.update(b"%d:" % len(part))
                digest.update(part)
            self._fingerprint = digest.hexdigest()
        return self._fingerprint

    def make_head(self, target_id, now):
        """Return the head of the request to a target as bytes.

        :param now: monotonic time from which the remaining time is sent.
        """
        excluded = get_hop_by_hop_headers(self.headers) | _REPLACED_HEADERS
        lines = [self.method.encode(), b" ", self.request_target, b" HTTP/1.1\r\n"]
        for name, value in self.headers:
            if name not in excluded:
                lines += (name, b": ", value, b"\r\n")
        remaining_ms = max(
            1, int((min(self.expires, self.deadline) - now) * MS_PER_SECOND)
        )
        lines.append(b"%s: %d\r\n" % (protocol.DEADLINE_HEADER, remaining_ms))
        lines.append(
            b"%s: %s\r\n" % (protocol.EXPECTED_INSTANCE_HEADER, target_id.encode())
        )
        if self.body is None and self.body_length is None:
            lines.append(b"transfer-encoding: chunked\r\n")
        elif self.body_length or self.method not in ("GET", "HEAD", "DELETE"):
            lines.append(b"content-length: %d\r\n" % (self.body_length or 0))
        lines.append(b"\r\n")
        return b"".join(lines)
