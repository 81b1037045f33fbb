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

_OWN_PREFIX = b"turmericrudder-"

VERDICT = _OWN_PREFIX + b"verdict"  # whether a rejected request may have run
INSTANCE = _OWN_PREFIX + b"instance"  # name of the responding instance
KEY_PREFIX = _OWN_PREFIX + b"key-prefix"  # for the caller's next operation keys
DEADLINE = _OWN_PREFIX + b"deadline-ms"  # milliseconds left until the deadline
# Sent between instances only.
PEER_KEY = _OWN_PREFIX + b"peer-key"  # secret shared by all instances
ORIGIN = _OWN_PREFIX + b"origin"  # name of the forwarding instance
HOME_REGION = _OWN_PREFIX + b"home-region"  # region of the caller's block of clients
ROLE = _OWN_PREFIX + b"role"  # whether it is sent to an owner or to a home
QUEUE_WAIT = _OWN_PREFIX + b"wait"  # milliseconds for which it may be queued
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
        if name.lower() not in dropped and not name.lower().startswith(_OWN_PREFIX)
    ]
