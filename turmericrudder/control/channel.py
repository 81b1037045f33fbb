"""One pynng socket in, one per peer out; calls are matched to answers."""

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

MAX_OPEN_LINKS = 64
SEND_BUFFER_MESSAGES = 64
RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 1000
MAX_MESSAGE_BYTES = 4 * 1024**2


class Channel:
    """Sends messages to control addresses and receives those of others.

    Sending never waits: what a silent peer cannot take is dropped, as the
    network would drop it.
    """

    __slots__ = (
        "_address",
        "_answers",
        "_calls",
        "_handler",
        "_key",
        "_links",
        "_log",
        "received_bytes",
        "received_count",
        "sent_bytes",
        "sent_count",
    )

    def __init__(self, address, key, handler, log):
        """Prepare the channel.

        :param handler: called with each envelope that is not an answer.
        """
        self._address = str(address)
        self._key = key
        self._handler = handler
        self._log = log
        self._links = OrderedDict()
        self._calls = itertools.count(1)
        self._answers = {}
        self.sent_bytes = self.sent_count = 0
        self.received_bytes = self.received_count = 0

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED):
        """Receive until cancelled."""
        try:
            with pynng.Pull0(listen=f"tcp://{self._address}") as socket:
                socket.recv_max_size = MAX_MESSAGE_BYTES
                task_status.started()
                while True:
                    self._receive(await socket.arecv())
        finally:
            for link in self._links.values():
                link.close()
            self._links.clear()

    def send(self, address, message):
        """Send a message that wants no answer."""
        self._send(address, message, 0, False)

    def reply(self, envelope, message):
        """Answer a call."""
        self._send(envelope.sender, message, envelope.call_id, True)

    async def call(self, address, message, timeout):
        """Send a message and return its answer.

        :raises PeerUnreachable: if none came within ``timeout`` seconds.
        """
        number = next(self._calls)
        sender, receiver = anyio.create_memory_object_stream(1)
        self._answers[number] = sender
        try:
            self._send(address, message, number, False)
            with anyio.fail_after(timeout):
                return await receiver.receive()
        except TimeoutError:
            raise PeerUnreachable(f"{address} did not answer") from None
        finally:
            del self._answers[number]
            sender.close()
            receiver.close()

    def _receive(self, frame):
        self.received_bytes += len(frame)
        self.received_count += 1
        try:
            envelope = decode_frame(frame, self._key)
        except FrameInvalid as exc:
            self._log.write(catalogue.MESSAGE_REFUSED, reason=exc)
            return
        if not envelope.is_reply:
            self._handler(envelope)
        elif envelope.call_id in self._answers:
            # A duplicate answer finds the buffer full or the caller gone.
            with contextlib.suppress(anyio.WouldBlock, anyio.BrokenResourceError):
                self._answers[envelope.call_id].send_nowait(envelope.message)

    def _send(self, address, message, call_id, is_reply):
        envelope = Envelope(PROTOCOL_VERSION, self._address, call_id, is_reply, message)
        frame = encode_frame(envelope, self._key)
        try:
            self._get_link(str(address)).send(frame, block=False)
        except pynng.TryAgain:
            return
        self.sent_bytes += len(frame)
        self.sent_count += 1

    def _get_link(self, address):
        link = self._links.get(address)
        if link is None:
            link = pynng.Push0(
                send_buffer_size=SEND_BUFFER_MESSAGES,
                reconnect_time_min=RECONNECT_MIN_MS,
                reconnect_time_max=RECONNECT_MAX_MS,
            )
            link.dial(f"tcp://{address}", block=False)
            self._links[address] = link
            if len(self._links) > MAX_OPEN_LINKS:
                _, oldest = self._links.popitem(last=False)
                oldest.close()
        self._links.move_to_end(address)
        return link
