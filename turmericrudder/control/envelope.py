"""What goes around each message between instances."""

import msgspec

from .messages import Message

__all__ = ["PROTOCOL_VERSION", "Envelope"]

PROTOCOL_VERSION = 1


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message with its sender.

    :param sender: control address of the sender.
    :param call: number of a call that wants an answer, else 0.
    :param is_answer: whether this answers the call of that number.
    """

    version: int
    sender: str
    call: int
    is_answer: bool
    message: Message
