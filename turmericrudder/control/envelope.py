"""The envelope in which each message between instances is sent."""

import msgspec

from .messages import Message

__all__ = ["PROTOCOL_VERSION", "Envelope"]

PROTOCOL_VERSION = 1


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message with its sender and the call it belongs to.

    :param version: protocol version of the sender.
    :param sender: control address of the sender.
    :param call_id: number that the calling instance gave to the call, 0 for a
        message that has no reply.
    :param is_reply: whether the message is the reply to the call of that
        number, rather than the call.
    """

    version: int
    sender: str
    call_id: int
    is_reply: bool
    message: Message
