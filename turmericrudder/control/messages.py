"""All messages between instances, encoded as tagged MessagePack arrays."""

from enum import IntEnum

import msgspec

from ..membership.member import Member
from ..ranges import NonNegativeCount, Revision

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
    """Sent at regular intervals to the instances that monitor the sender.

    :param name: name of the sender.
    :param incarnation: Unix time of the sender's start in milliseconds.
    :param sequence: sequence number of the sender's member record.
    :param revision: configuration revision in force at the sender, 0 if none.
    :param manifest: hash of that revision's manifest.
    :param key_prefix: prefix of the operation keys that the sender issues now.
    :param free_slots: {service: free slots} at the targets the sender owns.
    :param era: the era of the store in which that revision was accepted.
    """

    name: str
    incarnation: Revision
    sequence: Revision
    revision: Revision
    manifest: str
    key_prefix: str
    free_slots: dict[str, NonNegativeCount]
    era: Revision = 0


class MembershipUpdate(_Message, tag=2):
    """Member records that the receiver may not have yet, such as changed ones.

    :param sender_domain: failure domain of the sender.
    """

    sender_domain: str
    members: tuple[Member, ...]


class Reconcile(_Message, tag=3):
    """Asks a peer to compare membership views.

    A peer whose view has another digest sends back all its member records.

    :param member: the sender's own member record.
    :param digest: digest of the sender's view.
    :param revision: configuration revision in force at the sender, 0 if none.
    :param manifest: hash of that revision's manifest.
    :param members: all member records of the sender's view, or none if only the
        digest is to be compared.
    :param era: the era of the store in which that revision was accepted.
    """

    member: Member
    digest: bytes
    revision: Revision
    manifest: str
    members: tuple[Member, ...] = ()
    era: Revision = 0


class LivenessQuery(_Message, tag=4):
    """Asks a peer whether it receives heartbeats from the named instances."""

    names: tuple[str, ...]


class LivenessConfirmation(_Message, tag=5):
    """Names the instances of a query whose heartbeats the sender receives."""

    names: tuple[str, ...]


class OpenEpoch(_Message, tag=8):
    """Asks an instance to be the witness of an epoch.

    Sent by the home: the instance that issues the operation keys of the epoch
    and alone runs them. The witness records which keys the home has started
    and how they ended, for when the home cannot be reached.

    :param epoch: key prefix of the epoch as text.
    """

    epoch: str


class MarkKey(_Message, tag=9):
    """Asks the witness to record that the home is about to run a key.

    :param epoch: key prefix of the epoch as text.
    :param key: suffix of the key.
    """

    epoch: str
    key: str


class OperationOutcome(_Message, tag=10):
    """How the operation of a key ended, with the response to repeat.

    :param ran: whether the operation ran; if false, it never will.
    :param status: HTTP status of the response, 0 if there is none.
    :param is_complete: whether headers and body are the complete response; false
        if the response was lost or too long to keep.
    """

    ran: bool
    status: int = 0
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes = b""
    is_complete: bool = True


class RecordOutcome(_Message, tag=11):
    """Asks the witness to record how a key ended at its home.

    :param epoch: key prefix of the epoch as text.
    :param key: suffix of the key.
    """

    epoch: str
    key: str
    outcome: OperationOutcome


class ResolveKey(_Message, tag=12):
    """Asks the witness how a key ended, when its home cannot be reached.

    If the key is not marked as started, the witness voids it: the home can
    then no longer run it.

    :param epoch: key prefix of the epoch as text.
    :param key: suffix of the key.
    """

    epoch: str
    key: str


class WitnessStatus(IntEnum):
    """Result of a request to a witness.

    ``DONE``: the request took effect. ``REFUSED``: it did not, since the witness
    does not have the epoch, the key is void or has ended, or the table is full.
    ``MARKED``: the key was started and its outcome is not known. ``OUTCOME``: the
    reply has the outcome of the key.
    """

    DONE = 1
    REFUSED = 2
    MARKED = 3
    OUTCOME = 4


class WitnessReply(_Message, tag=13):
    """Reply of a witness to the messages about epochs and keys.

    :param outcome: only with status ``OUTCOME``.
    """

    status: WitnessStatus
    outcome: OperationOutcome | None = None


class Handover(_Message, tag=14):
    """Tells the new owner of targets about in-flight requests of the previous one.

    :param in_flight: {target name: in-flight requests of the sender}.
    """

    in_flight: dict[str, NonNegativeCount]


class TargetsLeaving(_Message, tag=15):
    """Tells the instances of a region which targets the platform lists as leaving.

    :param names: names of all targets that are listed as leaving.
    """

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
