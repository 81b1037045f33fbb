"""All events. Numbers go by hundreds: process, configuration, membership,
routing, operations, upstreams, look-ups. ``docs/events.md`` lists them for
operators."""

from logging import DEBUG, INFO, WARNING

from .event import Event

INSTANCE_STARTED = Event(101, "instance_started", INFO, "listening")
INSTANCE_LEAVING = Event(102, "instance_leaving", INFO, "planned stop begins")
INSTANCE_STOPPED = Event(103, "instance_stopped", INFO, "nothing left in flight")
INSTANCE_ABORTED = Event(104, "instance_aborted", WARNING, "second stop signal")
TASK_FAILED = Event(105, "task_failed", WARNING, "a task met an unexpected error")
SETTINGS_RELOADED = Event(106, "settings_reloaded", INFO, "the settings were read")
SETTINGS_REFUSED = Event(108, "settings_refused", WARNING, "going on with the old")
LOG_DROPPED = Event(107, "log_dropped", WARNING, "lines that found no room")

REVISION_IN_FORCE = Event(201, "revision_in_force", INFO, "configuration changed")
REVISION_REFUSED = Event(202, "revision_refused", WARNING, "content does not compile")
STORE_UNREACHABLE = Event(203, "store_unreachable", WARNING, "going on without it")
STORE_REACHABLE = Event(204, "store_reachable", INFO, "the store answers again")
ENTRY_REFUSED = Event(205, "entry_refused", WARNING, "a key's value is malformed")

MEMBER_JOINED = Event(301, "member_joined", INFO, "an instance came into the view")
MEMBER_SUSPECTED = Event(302, "member_suspected", INFO, "heartbeats are missing")
MEMBER_FAILED = Event(303, "member_failed", WARNING, "out of look-up answers")
MEMBER_LEAVING = Event(304, "member_leaving", INFO, "planned stop elsewhere")
MEMBER_REFUTED = Event(305, "member_refuted", INFO, "alive although called failed")
ENTRY_UNKEPT = Event(307, "entry_unkept", WARNING, "own entry cannot be renewed")
ENTRY_KEPT = Event(308, "entry_kept", INFO, "own entry is renewed again")
MESSAGE_REFUSED = Event(306, "message_refused", WARNING, "a control message is bad")

ROUTE_TARGET = Event(401, "route_target", INFO, "sent to a target owned here")
ROUTE_PEER = Event(402, "route_peer", INFO, "forwarded to another owner")
ROUTE_REFUSED = Event(403, "route_refused", INFO, "refused with a verdict")
ROUTE_RETRIED = Event(404, "route_retried", INFO, "sent again")
ROUTE_CUT = Event(405, "route_cut", WARNING, "answer broke off and was passed on cut")
ROUTE_CANCELLED = Event(406, "route_cancelled", INFO, "the caller went away")
ROUTE_HEDGED = Event(407, "route_hedged", INFO, "a second target was asked as well")
ROUTE_ANSWERED = Event(408, "route_answered", INFO, "a target's answer was passed on")
ROUTE_SENT = Event(409, "route_sent", INFO, "a target was chosen and sent to")
ROUTE_ENDED = Event(410, "route_ended", INFO, "a send ended in whatever way")
ROUTE_SAMPLED = Event(411, "route_sampled", INFO, "requests without lines of their own")

OPERATION_HOME = Event(501, "operation_home", INFO, "passed to the home of its key")
OPERATION_REPLAYED = Event(502, "operation_replayed", INFO, "kept outcome answered")
OPERATION_VOIDED = Event(503, "operation_voided", INFO, "the key can never run")
OPERATION_UNKNOWN = Event(504, "operation_unknown", WARNING, "may have run")
EPOCH_OPENED = Event(505, "epoch_opened", INFO, "keys of a new epoch are issued")
EPOCH_FAILED = Event(506, "epoch_failed", WARNING, "no witness took the epoch")

TARGET_OWNED = Event(601, "target_owned", INFO, "its slots are counted here")
TARGET_RELEASED = Event(602, "target_released", INFO, "another instance owns it")
TARGET_DRAINING = Event(603, "target_draining", INFO, "gets no new work")
TARGET_RETURNED = Event(604, "target_returned", INFO, "gets work again")
TARGET_EJECTED = Event(605, "target_ejected", WARNING, "left out for a while")
TARGET_REGISTERED = Event(606, "target_registered", INFO, "its entry is new")
TARGET_WITHDRAWN = Event(607, "target_withdrawn", INFO, "its entry is gone")
DOMAIN_EVACUATED = Event(608, "domain_evacuated", INFO, "gets no new work")
DOMAIN_RESTORED = Event(609, "domain_restored", INFO, "gets work again")

LOOKUP_ANSWERED = Event(701, "lookup_answered", DEBUG, "entry instances named")
LOOKUP_REFUSED = Event(702, "lookup_refused", INFO, "bad or unanswerable look-up")
PLACEMENT_CHANGED = Event(703, "placement_changed", INFO, "a place got a new order")


def iter_events():
    """Yield every event of the catalogue in the order of numbers."""
    events = [value for value in globals().values() if isinstance(value, Event)]
    yield from sorted(events, key=lambda event: event.number)
