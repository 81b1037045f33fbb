"""Encode and decode control messages, with a proof of the peer key."""

import hashlib
import hmac

import msgspec

from .envelope import PROTOCOL_VERSION, Envelope

__all__ = ["FrameInvalid", "decode_frame", "encode_frame"]

PROOF_BYTES = 16

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Envelope)


class FrameInvalid(ValueError):
    """A frame lacks the proof, is damaged, or is of another version."""


def encode_frame(envelope, key):
    """Return the bytes of an envelope: proof, then MessagePack."""
    payload = _encoder.encode(envelope)
    return _prove(payload, key) + payload


def decode_frame(frame, key):
    """Return the envelope in a frame.

    :raises FrameInvalid: if the frame cannot be trusted or read.
    """
    proof, payload = frame[:PROOF_BYTES], frame[PROOF_BYTES:]
    if not hmac.compare_digest(proof, _prove(payload, key)):
        raise FrameInvalid("the proof of the peer key is wrong")
    try:
        envelope = _decoder.decode(payload)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise FrameInvalid(str(exc)) from None
    if envelope.version != PROTOCOL_VERSION:
        raise FrameInvalid(f"protocol version {envelope.version}")
    return envelope


def _prove(payload, key):
    proof = hashlib.blake2b(payload, digest_size=PROOF_BYTES, key=key.encode()[:64])
    return proof.digest()
