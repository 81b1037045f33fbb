"""Names of the headers that instances use, and removal of hop-by-hop headers."""

from ..headers import get_header, get_hop_by_hop_headers

__all__ = [
    "ATTEMPT_HEADER",
    "DEADLINE_HEADER",
    "HOME_REGION_HEADER",
    "IDEMPOTENCY_KEY_HEADER",
    "INSTANCE_HEADER",
    "KEY_PREFIX_HEADER",
    "ORIGIN_HEADER",
    "PEER_KEY_HEADER",
    "QUEUE_WAIT_HEADER",
    "ROLE_HEADER",
    "VERDICT_HEADER",
    "strip_headers",
]

_OWN_PREFIX = b"turmericrudder-"

VERDICT_HEADER = _OWN_PREFIX + b"verdict"  # whether a rejected request may have run
INSTANCE_HEADER = _OWN_PREFIX + b"instance"  # name of the responding instance
KEY_PREFIX_HEADER = _OWN_PREFIX + b"key-prefix"  # for the caller's next operation keys
DEADLINE_HEADER = _OWN_PREFIX + b"deadline-ms"  # milliseconds left until the deadline
# Identifies an attempt. A target that returns it protects callers from responses that
# belong to another request.
ATTEMPT_HEADER = _OWN_PREFIX + b"attempt"
# Sent between instances only.
PEER_KEY_HEADER = _OWN_PREFIX + b"peer-key"  # secret shared by all instances
ORIGIN_HEADER = _OWN_PREFIX + b"origin"  # name of the forwarding instance
HOME_REGION_HEADER = _OWN_PREFIX + b"home-region"  # home region of the request
ROLE_HEADER = _OWN_PREFIX + b"role"  # whether the request is for an owner or a home
QUEUE_WAIT_HEADER = _OWN_PREFIX + b"wait"  # milliseconds the request may be queued
# Sent by callers and forwarded to targets.
IDEMPOTENCY_KEY_HEADER = b"idempotency-key"

_HOST = b"host"
_CONTENT_LENGTH = b"content-length"
_TRANSFER_ENCODING = b"transfer-encoding"


def strip_headers(headers):
    """Return headers without hop-by-hop headers, host, and ``turmericrudder-`` ones.

    A length beside a transfer coding is not that of the body and is dropped, too.

    :param headers: (name, value) pairs of a request or a response.
    """
    dropped = get_hop_by_hop_headers(headers) | {_HOST}
    if get_header(headers, _TRANSFER_ENCODING) is not None:
        dropped |= {_CONTENT_LENGTH}
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in dropped and not name.lower().startswith(_OWN_PREFIX)
    ]
