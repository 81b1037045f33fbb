"""All messages between instances, as tagged MessagePack arrays."""

from enum import IntEnum

import msgspec

from ..membership.member import Member

__all__ = [
    "Handover",
    "Heartbeat",
    "LivenessConfirmation",
    "LivenessQuery",
    "MarkKey",
    "MembershipUpdate",
    "Message",
    "OpenEpoch",
    "OperationOutcome",
    "Reconcile",
    "RecordOutcome",
    "ResolveKey",
    "TargetsLeaving",
    "WitnessReply",
    "WitnessStatus",
]


class _Message(msgspec.Struct, frozen=True, array_like=True):
    """Base of the messages; the tag is the first element of the array."""


class Heartbeat(_Message, tag=1):
    """Sent to watchers: the sender is alive.

    :param revision: configuration revision in force at the sender.
    :param manifest: hash of that revision's manifest.
    :param key_prefix: operation-key prefix that the sender issues now.
    :param free_slots: free slots by service at targets the sender owns.
    """

    name: str
    incarnation: int
    sequence: int
    revision: int
    manifest: str
    key_prefix: str
    free_slots: dict[str, int]


class MembershipUpdate(_Message, tag=2):
    """Changed records of the view.

    :param sender_domain: failure domain of the sender.
    """

    sender_domain: str
    members: tuple[Member, ...]


class Reconcile(_Message, tag=3):
    """Asks a peer to compare views; a peer with another digest sends its own.

    :param members: all records, or none if only the digest is told.
    """

    member: Member
    digest: bytes
    revision: int
    manifest: str
    members: tuple[Member, ...] = ()


class LivenessQuery(_Message, tag=4):
    """Asks another watcher whether it hears the named instances."""

    names: tuple[str, ...]


class LivenessConfirmation(_Message, tag=5):
    """Tells which of the asked instances the sender hears."""

    names: tuple[str, ...]


class OpenEpoch(_Message, tag=8):
    """A home asks its witness to keep marks of an epoch."""

    epoch: str


class MarkKey(_Message, tag=9):
    """A home is about to run a key."""

    epoch: str
    key: str


class OperationOutcome(_Message, tag=10):
    """How an operation ended; ``is_complete`` is false if the body was too long.

    A ``ran`` of false means that the key did not run and never will.
    """

    ran: bool
    status: int = 0
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes = b""
    is_complete: bool = True


class RecordOutcome(_Message, tag=11):
    """A home tells its witness how a key ended."""

    epoch: str
    key: str
    outcome: OperationOutcome


class ResolveKey(_Message, tag=12):
    """Asks the witness how a key ended, and to void it if it is not marked."""

    epoch: str
    key: str


class WitnessStatus(IntEnum):
    """What a witness says of a key or an epoch."""

    DONE = 1
    REFUSED = 2
    MARKED = 3
    OUTCOME = 4


class WitnessReply(_Message, tag=13):
    """Answers the epoch and key messages."""

    status: WitnessStatus
    outcome: OperationOutcome | None = None


class Handover(_Message, tag=14):
    """Tells a new owner how many requests still run, by target."""

    in_flight: dict[str, int]


class TargetsLeaving(_Message, tag=15):
    """Tells owners which upstreams the platform lists as leaving."""

    names: tuple[str, ...]


Message = (
    Heartbeat
    | MembershipUpdate
    | Reconcile
    | LivenessQuery
    | LivenessConfirmation
    | OpenEpoch
    | MarkKey
    | RecordOutcome
    | ResolveKey
    | WitnessReply
    | Handover
    | TargetsLeaving
)
