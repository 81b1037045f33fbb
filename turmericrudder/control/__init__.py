"""Messages between instances and the channel that carries them."""

from .channel import Channel
from .codec import decode_frame, encode_frame
from .envelope import Envelope
from .messages import (
    Handover,
    Heartbeat,
    LivenessConfirmation,
    LivenessQuery,
    MarkKey,
    MembershipUpdate,
    OpenEpoch,
    OperationOutcome,
    Reconcile,
    RecordOutcome,
    ResolveKey,
    TargetsLeaving,
    WitnessReply,
    WitnessStatus,
)

__all__ = [
    "WitnessStatus",
    "LivenessQuery",
    "Channel",
    "Envelope",
    "OpenEpoch",
    "Handover",
    "Heartbeat",
    "WitnessReply",
    "MarkKey",
    "RecordOutcome",
    "ResolveKey",
    "MembershipUpdate",
    "OperationOutcome",
    "Reconcile",
    "TargetsLeaving",
    "LivenessConfirmation",
    "decode_frame",
    "encode_frame",
]
