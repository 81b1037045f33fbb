"""Names of the headers that instances use, and removal of hop-by-hop headers."""

from ..headers import get_hop_by_hop_headers

__all__ = [
    "DEADLINE",
    "HOME_REGION",
    "IDEMPOTENCY_KEY",
    "INSTANCE",
    "KEY_PREFIX",
    "ORIGIN",
    "PEER_KEY",
    "QUEUE_WAIT",
    "ROLE",
    "VERDICT",
    "strip_headers",
]

_OWN = b"turmericrudder-"

VERDICT = _OWN + b"verdict"
INSTANCE = _OWN + b"instance"
KEY_PREFIX = _OWN + b"key-prefix"
DEADLINE = _OWN + b"deadline-ms"
# Sent between instances only.
PEER_KEY = _OWN + b"peer-key"
ORIGIN = _OWN + b"origin"
HOME_REGION = _OWN + b"home-region"
ROLE = _OWN + b"role"
QUEUE_WAIT = _OWN + b"wait"
# Sent by callers and forwarded to targets.
IDEMPOTENCY_KEY = b"idempotency-key"

_HOST = b"host"


def strip_headers(headers):
    """Return headers without hop-by-hop headers, host, and all of our own.

    :param headers: (name, value) pairs of a request or a response.
    """
    dropped = get_hop_by_hop_headers(headers) | {_HOST}
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in dropped and not name.lower().startswith(_OWN)
    ]
