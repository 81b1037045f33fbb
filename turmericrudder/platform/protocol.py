"""HTTP headers, paths and store keys that the platform prescribes."""

__all__ = [
    "AFFINITY_KEY_HEADER",
    "ATTEMPT_ID_HEADER",
    "COLD_HEADER",
    "CONFIGURATION_KEY",
    "CRASH_PREFIX",
    "DEADLINE_HEADER",
    "EVACUATION_PREFIX",
    "EXPECTED_INSTANCE_HEADER",
    "INSTANCE_ID_HEADER",
    "INSTANCE_PREFIX",
    "MEMBER_PREFIX",
    "NOT_EXECUTED_HEADER",
    "READINESS_PATH",
    "RESOLVE_PATH",
    "RESPONSE_SIGNATURE_HEADER",
    "RETRY_AFTER_HEADER",
    "SERVER_LEAVING_HEADER",
    "SERVER_LIMIT_HEADER",
    "SERVER_LOAD_HEADER",
    "STORE_ERA_HEADER",
    "STORE_KEY_PATH",
    "STORE_LEASE_PATH",
    "STORE_LEASE_RENEW_PATH",
    "STORE_LEASE_REVOKE_PATH",
    "STORE_RANGE_PATH",
    "STORE_TRANSACTION_PATH",
    "STORE_WATCH_PATH",
    "TARGET_PREFIX",
]

# Headers, in lower case as the HTTP parsers return them.
# Identifies one attempt of a client; targets echo it in the response.
ATTEMPT_ID_HEADER = b"x-attempt-id"
# Milliseconds that remain for the request, not a point in time.
DEADLINE_HEADER = b"x-deadline-ms"
# Equal for requests about the same object.
AFFINITY_KEY_HEADER = b"x-affinity-key"
# Required in successful responses of targets.
RESPONSE_SIGNATURE_HEADER = b"x-response-signature"
# Id of the target a request is meant for; another one responds with status 421.
EXPECTED_INSTANCE_HEADER = b"x-expect-instance"
# Load report in the response of a target.
SERVER_LOAD_HEADER = b"x-server-load"
# Requests per second that a target in need takes from all instances together.
SERVER_LIMIT_HEADER = b"server-limit"
# Set to 1 by a target that leaves.
SERVER_LEAVING_HEADER = b"server-leaving"
# Seconds, or the date, until which a target that rejects requests wants none.
RETRY_AFTER_HEADER = b"retry-after"
# Set by a target that did not run the request.
NOT_EXECUTED_HEADER = b"x-not-executed"
# Id of the target that responds.
INSTANCE_ID_HEADER = b"x-instance-id"
# Milliseconds for which a target stays cold, in the response to a health check.
COLD_HEADER = b"x-cold-ms"
# Number of the store's history. It rises each time the store is restored from a copy;
# revisions of different histories cannot be compared.
STORE_ERA_HEADER = b"store-era"

# Paths that this system serves.
READINESS_PATH = "/turmericrudder/ready"
RESOLVE_PATH = "/turmericrudder/resolve"

# Paths of the metadata store.
STORE_KEY_PATH = "/turmericrudder/kv-key"
STORE_RANGE_PATH = "/turmericrudder/kv-range"
STORE_WATCH_PATH = "/turmericrudder/kv-watch"
STORE_TRANSACTION_PATH = "/turmericrudder/kv-txn"
STORE_LEASE_PATH = "/turmericrudder/kv-lease"
STORE_LEASE_RENEW_PATH = "/turmericrudder/kv-keep"
STORE_LEASE_REVOKE_PATH = "/turmericrudder/kv-lease-end"

# Keys and key prefixes of the metadata store. Operators write the first two, targets
# the third, entry instances the fourth and the fifth. The last one is the prefix of the
# platform's list of instances.
CONFIGURATION_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
TARGET_PREFIX = "servers/"
MEMBER_PREFIX = "members/"
CRASH_PREFIX = "crashes/"
INSTANCE_PREFIX = "instances/"
