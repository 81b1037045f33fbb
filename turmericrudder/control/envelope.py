"""What goes around each message between instances."""

import msgspec

from .messages import Message

__all__ = ["PROTOCOL_VERSION", "Envelope"]

PROTOCOL_VERSION = 1


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message with its sender.

    :param sender: control address of the sender.
    :param call_id: number of a call that wants an answer, else 0.
    :param is_reply: whether this answers the call of that number.
    """

    version: int
    sender: str
    call_id: int
    is_reply: bool
    message: Message
