"""All log events, grouped by hundreds of their numbers.

The groups are process, configuration, membership, routing, operations,
upstreams and look-ups. ``docs/events.md`` lists the events for operators.
"""

from logging import DEBUG, INFO, WARNING

from .event import Event

INSTANCE_STARTED = Event(
    101, "instance_started", INFO, "instance listens and accepts requests"
)
INSTANCE_LEAVING = Event(
    102,
    "instance_leaving",
    INFO,
    "graceful shutdown began; in-flight requests get a limited time to end",
)
INSTANCE_STOPPED = Event(
    103, "instance_stopped", INFO, "graceful shutdown ended; the process exits"
)
INSTANCE_ABORTED = Event(
    104, "instance_aborted", WARNING, "second stop signal; the process exits at once"
)
TASK_FAILED = Event(
    105,
    "task_failed",
    WARNING,
    "unexpected error; the task restarts or the request fails",
)
SETTINGS_RELOADED = Event(
    106,
    "settings_reloaded",
    INFO,
    "settings were read again; reloadable changes are in force",
)
SETTINGS_REFUSED = Event(
    108, "settings_refused", WARNING, "settings file is invalid; the old settings stay"
)
LOG_DROPPED = Event(
    107,
    "log_dropped",
    WARNING,
    "log buffer was full or a write failed; lines were dropped",
)

REVISION_IN_FORCE = Event(
    201, "revision_in_force", INFO, "new configuration is in force"
)
REVISION_REFUSED = Event(
    202, "revision_refused", WARNING, "configuration is invalid; the one in force stays"
)
STORE_UNREACHABLE = Event(
    203, "store_unreachable", WARNING, "store is unreachable; cached state stays in use"
)
STORE_REACHABLE = Event(
    204, "store_reachable", INFO, "store is reachable again; updates resume"
)
ENTRY_REFUSED = Event(
    205, "entry_refused", WARNING, "store entry is malformed; its value is not used"
)

STORE_RESTORED = Event(
    206,
    "store_restored",
    WARNING,
    "store came back from an older copy; its revisions begin anew",
)
HISTORY_LOST = Event(
    207,
    "history_lost",
    INFO,
    "store no longer keeps the changes after the known revision; all entries are read",
)
STORE_READ = Event(208, "store_read", INFO, "all entries of the store were read")

MEMBER_JOINED = Event(
    301, "member_joined", INFO, "an instance joined the members or became live"
)
MEMBER_SUSPECTED = Event(
    302,
    "member_suspected",
    INFO,
    "heartbeats of an instance are missing; peers are asked",
)
MEMBER_FAILED = Event(
    303,
    "member_failed",
    WARNING,
    "an instance failed or is no longer registered; look-ups omit it",
)
MEMBER_LEAVING = Event(
    304, "member_leaving", INFO, "an instance began or ended its graceful shutdown"
)
MEMBER_REFUTED = Event(
    305,
    "member_refuted",
    INFO,
    "this instance was reported failed; it sends a newer record of itself",
)
ENTRY_UNKEPT = Event(
    307,
    "entry_unkept",
    WARNING,
    "own registration could not be written, renewed or removed in the store",
)
CRASH_REPORT_UNKEPT = Event(
    309,
    "crash_report_unkept",
    WARNING,
    "reports of targets that ended could not be written to the store",
)
ENTRY_KEPT = Event(
    308, "entry_kept", INFO, "own registration is renewed in the store again"
)
MESSAGE_REFUSED = Event(
    306, "message_refused", WARNING, "control message is invalid and is ignored"
)

ROUTE_TARGET = Event(
    401, "route_target", INFO, "request is sent to a target owned by this instance"
)
ROUTE_PEER = Event(
    402, "route_peer", INFO, "request is forwarded to another entry instance"
)
ROUTE_REFUSED = Event(
    403, "route_refused", INFO, "request is rejected with the logged status and reason"
)
ROUTE_RETRIED = Event(
    404, "route_retried", INFO, "attempt failed or was shed; the request is retried"
)
ROUTE_CUT = Event(
    405,
    "route_cut",
    WARNING,
    "upstream's response was truncated; the client gets an error or part of it",
)
ROUTE_CANCELLED = Event(
    406, "route_cancelled", INFO, "client disconnected; its request is cancelled"
)
ROUTE_HEDGED = Event(
    407,
    "route_hedged",
    INFO,
    "response is late; a hedged attempt is sent to a second target",
)
ROUTE_ANSWERED = Event(
    408, "route_answered", INFO, "response of a target was passed on to the client"
)
ROUTE_SENT = Event(409, "route_sent", INFO, "attempt is sent to the chosen target")
ROUTE_ENDED = Event(410, "route_ended", INFO, "attempt ended with the logged outcome")
ROUTE_SAMPLED = Event(
    411,
    "route_sampled",
    INFO,
    "requests were omitted from the log; their number is logged",
)

OPERATION_HOME = Event(
    501, "operation_home", INFO, "request is forwarded to the home of its operation key"
)
OPERATION_REPLAYED = Event(
    502,
    "operation_replayed",
    INFO,
    "operation ran before; its stored response is returned",
)
OPERATION_VOIDED = Event(
    503,
    "operation_voided",
    INFO,
    "operation key is void: the operation did not run and never will",
)
OPERATION_UNKNOWN = Event(
    504,
    "operation_unknown",
    WARNING,
    "outcome of an operation is unknown: it may have run",
)
EPOCH_OPENED = Event(
    505, "epoch_opened", INFO, "new epoch is open; operation keys are issued in it"
)
EPOCH_FAILED = Event(
    506,
    "epoch_failed",
    WARNING,
    "no witness accepted the new epoch; its keys have no witness",
)

TARGET_OWNED = Event(
    601,
    "target_owned",
    INFO,
    "target is owned by this instance, which counts its slots",
)
TARGET_RELEASED = Event(
    602,
    "target_released",
    INFO,
    "target is no longer owned by this instance, which stops granting its slots",
)
TARGET_DRAINING = Event(
    603,
    "target_draining",
    INFO,
    "target reports that it is draining; it gets no new requests",
)
TARGET_RETURNED = Event(
    604,
    "target_returned",
    INFO,
    "target no longer reports that it is draining; it may get requests again",
)
TARGET_EJECTED = Event(
    605,
    "target_ejected",
    WARNING,
    "target failed repeatedly and is ejected for some seconds",
)
TARGET_REGISTERED = Event(
    606,
    "target_registered",
    INFO,
    "registration of a target was added or changed and is in effect",
)
TARGET_WITHDRAWN = Event(
    607,
    "target_withdrawn",
    INFO,
    "registration of a target was removed; it gets no new requests",
)
DOMAIN_EVACUATED = Event(
    608,
    "domain_evacuated",
    INFO,
    "failure domain was evacuated; its targets get no new requests",
)
DOMAIN_RESTORED = Event(
    609,
    "domain_restored",
    INFO,
    "evacuation of a failure domain ended; its targets may get requests again",
)

WEIGHTS_PLANNED = Event(
    610,
    "weights_planned",
    INFO,
    "weights of overloaded targets were changed; whole affinity keys move",
)

TARGET_LIMITED = Event(
    611,
    "target_limited",
    INFO,
    "target names a limit on the requests a second that it takes from all instances",
)
TARGET_UNLIMITED = Event(
    612, "target_unlimited", INFO, "target no longer names a limit on its requests"
)

TARGET_ENDED = Event(
    613,
    "target_ended",
    WARNING,
    "target ended while the listed requests were in progress at it",
)

REQUEST_BLOCKED = Event(
    614,
    "request_blocked",
    WARNING,
    "targets ended under a request one after another; it is rejected for some minutes",
)

REQUEST_UNBLOCKED = Event(
    615,
    "request_unblocked",
    INFO,
    "request is accepted again: a target has run it, or the reports have expired",
)

TARGET_CHECKED = Event(
    616,
    "target_checked",
    INFO,
    "target that may have started again or become cold said how long it stays cold",
)

TARGET_LEAVING = Event(
    617, "target_leaving", INFO, "target says that it leaves; it gets no new requests"
)
TARGET_PAUSED = Event(
    618, "target_paused", INFO, "target wants no requests for the logged seconds"
)
TARGET_PAUSE_REFUSED = Event(
    619, "target_pause_refused", WARNING, "target asks for a pause that is no time"
)

LOOKUP_ANSWERED = Event(
    701, "lookup_answered", DEBUG, "look-up returned a list of entry instances"
)
LOOKUP_REFUSED = Event(
    702,
    "lookup_refused",
    INFO,
    "look-up names an unknown service or invalid client address; it is rejected",
)
PLACEMENT_CHANGED = Event(
    703,
    "placement_changed",
    INFO,
    "order of entry instances was computed for a service and a group of clients",
)


def iter_events():
    """Yield all events of the catalogue, sorted by number."""
    events = [value for value in globals().values() if isinstance(value, Event)]
    yield from sorted(events, key=lambda event: event.number)
