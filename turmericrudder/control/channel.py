"""Message channel between instances over pynng sockets.

An instance receives on one pull socket and sends on one push socket for each
peer. A reply to a call therefore arrives as a separate message, which is
matched to the call by its number.
"""

import contextlib
import itertools
from collections import OrderedDict

import anyio
import pynng

from ..errors import PeerUnreachable
from ..events import catalogue
from .codec import FrameInvalid, decode_frame, encode_frame
from .envelope import PROTOCOL_VERSION, Envelope

__all__ = ["Channel"]

MAX_PUSH_SOCKETS = 64  # the least recently used one is closed beyond this
SEND_BUFFER_MESSAGES = 64  # per peer
RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 1000
MAX_MESSAGE_BYTES = 4 * 1024**2


class Channel:
    """Sends messages to the control addresses of peers and receives theirs.

    Sending never blocks. A message is dropped without an error if the send
    buffer of its peer is full, so delivery is not guaranteed.

    :ivar sent_bytes: bytes of all messages given to a send buffer.
    :ivar sent_count: number of these messages.
    :ivar received_bytes: bytes of all messages received, also of invalid ones.
    :ivar received_count: number of these messages.
    """

    __slots__ = (
        "_address",
        "_call_ids",
        "_handler",
        "_log",
        "_peer_key",
        "_push_sockets",
        "_reply_senders",
        "received_bytes",
        "received_count",
        "sent_bytes",
        "sent_count",
    )

    def __init__(self, address, key, handler, log):
        """Prepare; :meth:`run` and the first message to a peer open the sockets.

        :param address: control address of this instance.
        :param key: peer key shared by all instances, to authenticate messages.
        :param handler: function called with each :class:`Envelope` that is not
            a reply.
        """
        self._address = str(address)
        self._peer_key = key
        self._handler = handler
        self._log = log
        self._push_sockets = OrderedDict()
        self._call_ids = itertools.count(1)
        self._reply_senders = {}
        self.sent_bytes = self.sent_count = 0
        self.received_bytes = self.received_count = 0

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED):
        """Receive messages until cancelled, then close all sockets.

        :param task_status: marked as started once the control address is bound.
        """
        try:
            with pynng.Pull0(listen=f"tcp://{self._address}") as socket:
                socket.recv_max_size = MAX_MESSAGE_BYTES
                task_status.started()
                while True:
                    self._receive(await socket.arecv())
        finally:
            for push_socket in self._push_sockets.values():
                push_socket.close()
            self._push_sockets.clear()

    def send(self, address, message):
        """Send a message that has no reply.

        :param address: control address of the receiver.
        """
        self._send(address, message, 0, False)

    def reply(self, envelope, message):
        """Send the reply to a call.

        :param envelope: the call's envelope, as given to the handler.
        """
        self._send(envelope.sender, message, envelope.call_id, True)

    async def call(self, address, message, timeout):
        """Send a message and return the reply.

        :param address: control address of the receiver.
        :param timeout: seconds to wait for the reply.
        :raises PeerUnreachable: if no reply arrived in time.
        """
        call_id = next(self._call_ids)
        sender, receiver = anyio.create_memory_object_stream(1)
        self._reply_senders[call_id] = sender
        try:
            self._send(address, message, call_id, False)
            with anyio.fail_after(timeout):
                return await receiver.receive()
        except TimeoutError:
            raise PeerUnreachable(f"{address} did not reply in time") from None
        finally:
            del self._reply_senders[call_id]
            sender.close()
            receiver.close()

    def _receive(self, frame):
        self.received_bytes += len(frame)
        self.received_count += 1
        try:
            envelope = decode_frame(frame, self._peer_key)
        except FrameInvalid as exc:
            self._log.write(catalogue.MESSAGE_REFUSED, reason=exc)
            return
        if not envelope.is_reply:
            self._handler(envelope)
        elif envelope.call_id in self._reply_senders:
            # On a duplicate reply, the buffer is full or already closed.
            with contextlib.suppress(anyio.WouldBlock, anyio.BrokenResourceError):
                self._reply_senders[envelope.call_id].send_nowait(envelope.message)

    def _send(self, address, message, call_id, is_reply):
        envelope = Envelope(PROTOCOL_VERSION, self._address, call_id, is_reply, message)
        frame = encode_frame(envelope, self._peer_key)
        try:
            self._get_push_socket(str(address)).send(frame, block=False)
        except pynng.TryAgain:
            return
        self.sent_bytes += len(frame)
        self.sent_count += 1

    def _get_push_socket(self, address):
        push_socket = self._push_sockets.get(address)
        if push_socket is None:
            push_socket = pynng.Push0(
                send_buffer_size=SEND_BUFFER_MESSAGES,
                reconnect_time_min=RECONNECT_MIN_MS,
                reconnect_time_max=RECONNECT_MAX_MS,
            )
            push_socket.dial(f"tcp://{address}", block=False)
            self._push_sockets[address] = push_socket
            if len(self._push_sockets) > MAX_PUSH_SOCKETS:
                _, oldest = self._push_sockets.popitem(last=False)
                oldest.close()
        self._push_sockets.move_to_end(address)
        return push_socket
