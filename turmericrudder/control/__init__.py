"""Messages between instances and the channel that carries them."""

from .channel import Channel
from .codec import decode_frame, encode_frame
from .envelope import Envelope
from .messages import (
    Answer,
    Ask,
    EpochOpen,
    Handover,
    Heartbeat,
    KeyAnswer,
    KeyMark,
    KeyOutcome,
    KeyVoid,
    News,
    Outcome,
    Reconcile,
    TargetsLeaving,
    Vouch,
)

__all__ = [
    "Answer",
    "Ask",
    "Channel",
    "Envelope",
    "EpochOpen",
    "Handover",
    "Heartbeat",
    "KeyAnswer",
    "KeyMark",
    "KeyOutcome",
    "KeyVoid",
    "News",
    "Outcome",
    "Reconcile",
    "TargetsLeaving",
    "Vouch",
    "decode_frame",
    "encode_frame",
]
