"""Messages between instances, and the channel that sends and receives them."""

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
    "Channel",
    "Envelope",
    "Handover",
    "Heartbeat",
    "LivenessConfirmation",
    "LivenessQuery",
    "MarkKey",
    "MembershipUpdate",
    "OpenEpoch",
    "OperationOutcome",
    "Reconcile",
    "RecordOutcome",
    "ResolveKey",
    "TargetsLeaving",
    "WitnessReply",
    "WitnessStatus",
    "decode_frame",
    "encode_frame",
]
