"""Names that the platform uses on the wire, each written once."""

__all__ = [
    "AFFINITY",
    "ATTEMPT_ID",
    "CALL_KEY",
    "CALL_LEASE",
    "CALL_LEASE_END",
    "CALL_LEASE_RENEW",
    "CALL_RANGE",
    "CALL_READY",
    "CALL_RESOLVE",
    "CALL_TRANSACTION",
    "CALL_WATCH",
    "CONFIGURATION_KEY",
    "DEADLINE",
    "EVACUATION_PREFIX",
    "EXPECTED_INSTANCE",
    "INSTANCE_ID",
    "LOAD",
    "INSTANCE_PREFIX",
    "MEMBER_PREFIX",
    "NOT_EXECUTED",
    "SIGNATURE",
    "TARGET_PREFIX",
]

# Headers, in lower case as parsers of both sides give them.
ATTEMPT_ID = b"x-attempt-id"  # one send of a client; echoed by targets
DEADLINE = b"x-deadline-ms"  # milliseconds that are left, not a point in time
AFFINITY = b"x-affinity-key"  # equal for requests that concern the same object
SIGNATURE = b"x-response-signature"
EXPECTED_INSTANCE = b"x-expect-instance"
LOAD = b"x-server-load"
NOT_EXECUTED = b"x-not-executed"
INSTANCE_ID = b"x-instance-id"

# Calls that arrive here.
CALL_READY = "/turmericrudder/ready"
CALL_RESOLVE = "/turmericrudder/resolve"

# Calls of the metadata store.
CALL_KEY = "/turmericrudder/kv-key"
CALL_RANGE = "/turmericrudder/kv-range"
CALL_WATCH = "/turmericrudder/kv-watch"
CALL_TRANSACTION = "/turmericrudder/kv-txn"
CALL_LEASE = "/turmericrudder/kv-lease"
CALL_LEASE_RENEW = "/turmericrudder/kv-keep"
CALL_LEASE_END = "/turmericrudder/kv-lease-end"

# Keys of the metadata store. The first three are the operator's and the
# targets'; the others are ours.
CONFIGURATION_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
TARGET_PREFIX = "servers/"
MEMBER_PREFIX = "members/"
INSTANCE_PREFIX = "instances/"
