"""Encode and decode control messages, authenticated with the peer key.

A frame is a message authentication code (keyed BLAKE2b) followed by the
:class:`Envelope` in MessagePack.
"""

import hashlib
import hmac

import msgspec

from .envelope import PROTOCOL_VERSION, Envelope

__all__ = ["FrameInvalid", "decode_frame", "encode_frame"]

MAC_BYTES = 16

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Envelope)


class FrameInvalid(ValueError):
    """A frame fails authentication, is malformed or has another version."""


def encode_frame(envelope, key):
    """Return the frame of an envelope as bytes.

    :param key: peer key as text.
    """
    payload = _encoder.encode(envelope)
    return _compute_mac(payload, key) + payload


def decode_frame(frame, key):
    """Return the envelope in a frame.

    :param key: peer key as text.
    :raises FrameInvalid: if the frame was made with another key, is malformed
        or has another protocol version.
    """
    mac, payload = frame[:MAC_BYTES], frame[MAC_BYTES:]
    if not hmac.compare_digest(mac, _compute_mac(payload, key)):
        raise FrameInvalid(
            "message authentication failed: wrong peer key or damaged frame"
        )
    try:
        envelope = _decoder.decode(payload)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise FrameInvalid(str(exc)) from None
    if envelope.version != PROTOCOL_VERSION:
        raise FrameInvalid(f"unsupported protocol version {envelope.version}")
    return envelope


def _compute_mac(payload, key):
    # BLAKE2b takes keys of at most 64 bytes.
    mac = hashlib.blake2b(payload, digest_size=MAC_BYTES, key=key.encode()[:64])
    return mac.digest()
