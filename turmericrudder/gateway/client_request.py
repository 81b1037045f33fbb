"""A client's request as it is sent on."""

from dataclasses import dataclass

from ..headers import get_hop_by_hop_headers
from ..platform import protocol
from ..steering import Route
from ..units import MS_PER_SECOND
from .request_log import RequestLogBuffer

__all__ = ["ClientRequest"]

# Set here, whatever the client sent.
_REPLACED = frozenset(
    (b"content-length", protocol.DEADLINE_HEADER, protocol.EXPECTED_INSTANCE_HEADER)
)


@dataclass(slots=True)
class ClientRequest:
    """One request and what is known of it.

    :param request_target: path and query as the client sent them.
    :param headers: with names in lower case.
    :param body: the whole body, or ``None`` if it is streamed from ``body_stream``.
    :param body_length: the body's length in bytes, or ``None`` if it is chunked.
    :param arrived_at: monotonic time of the head's arrival.
    :param expires: monotonic time by which a final answer must be given.
    :param deadline: monotonic time until which the client waits.
    :param log_buffer: collects the request's log lines.
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

    def make_head(self, target_id, now):
        """Return the head of the request to a target as bytes."""
        dropped = get_hop_by_hop_headers(self.headers) | _REPLACED
        lines = [self.method.encode(), b" ", self.request_target, b" HTTP/1.1\r\n"]
        for name, value in self.headers:
            if name not in dropped:
                lines += (name, b": ", value, b"\r\n")
        left = max(1, int((min(self.expires, self.deadline) - now) * MS_PER_SECOND))
        lines.append(b"%s: %d\r\n" % (protocol.DEADLINE_HEADER, left))
        lines.append(
            b"%s: %s\r\n" % (protocol.EXPECTED_INSTANCE_HEADER, target_id.encode())
        )
        if self.body is None and self.body_length is None:
            lines.append(b"transfer-encoding: chunked\r\n")
        elif self.body_length or self.method not in ("GET", "HEAD", "DELETE"):
            lines.append(b"content-length: %d\r\n" % (self.body_length or 0))
        lines.append(b"\r\n")
        return b"".join(lines)
