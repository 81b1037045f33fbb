"""All messages between instances, as tagged MessagePack arrays."""

from enum import IntEnum

import msgspec

from ..membership.member import Member

__all__ = [
    "Answer",
    "Ask",
    "EpochOpen",
    "Handover",
    "Heartbeat",
    "KeyAnswer",
    "KeyMark",
    "KeyOutcome",
    "KeyVoid",
    "Message",
    "News",
    "Outcome",
    "Reconcile",
    "TargetsLeaving",
    "Vouch",
]


class _Message(msgspec.Struct, frozen=True, array_like=True):
    """Base of the messages; the tag is the first element of the array."""


class Heartbeat(_Message, tag=1):
    """Sent to watchers: the sender is alive.

    :param revision: configuration revision in force at the sender.
    :param manifest: hash of that revision's manifest.
    :param prefix: operation-key prefix that the sender issues now.
    :param free: free slots by service at targets the sender owns.
    """

    name: str
    incarnation: int
    sequence: int
    revision: int
    manifest: str
    prefix: str
    free: dict[str, int]


class News(_Message, tag=2):
    """Changed records of the view.

    :param domain: failure domain of the sender.
    """

    domain: str
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


class Ask(_Message, tag=4):
    """Asks another watcher whether it hears the named instances."""

    names: tuple[str, ...]


class Vouch(_Message, tag=5):
    """Tells which of the asked instances the sender hears."""

    names: tuple[str, ...]


class EpochOpen(_Message, tag=8):
    """A home asks its witness to keep marks of an epoch."""

    epoch: str


class KeyMark(_Message, tag=9):
    """A home is about to run a key."""

    epoch: str
    key: str


class Outcome(_Message, tag=10):
    """How an operation ended; ``whole`` is false if the body was too long.

    A ``ran`` of false means that the key did not run and never will.
    """

    ran: bool
    status: int = 0
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes = b""
    whole: bool = True


class KeyOutcome(_Message, tag=11):
    """A home tells its witness how a key ended."""

    epoch: str
    key: str
    outcome: Outcome


class KeyVoid(_Message, tag=12):
    """Asks the witness how a key ended, and to void it if it is not marked."""

    epoch: str
    key: str


class Answer(IntEnum):
    """What a witness says of a key or an epoch."""

    DONE = 1
    REFUSED = 2
    MARKED = 3
    OUTCOME = 4


class KeyAnswer(_Message, tag=13):
    """Answers the epoch and key messages."""

    answer: Answer
    outcome: Outcome | None = None


class Handover(_Message, tag=14):
    """Tells a new owner how many requests still run, by target."""

    in_flight: dict[str, int]


class TargetsLeaving(_Message, tag=15):
    """Tells owners which upstreams the platform lists as leaving."""

    names: tuple[str, ...]


Message = (
    Heartbeat
    | News
    | Reconcile
    | Ask
    | Vouch
    | EpochOpen
    | KeyMark
    | KeyOutcome
    | KeyVoid
    | KeyAnswer
    | Handover
    | TargetsLeaving
)
