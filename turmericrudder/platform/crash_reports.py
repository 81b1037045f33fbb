"""Encode and decode the reports of targets that ended, in the store."""

import re
from typing import Annotated

import msgspec

from ..errors import StoreEntryInvalid
from ..steering import CrashReport
from .decoding import decode_document
from .protocol import CRASH_PREFIX

__all__ = ["decode_crash_report", "encode_crash_report", "get_crash_key"]

MAX_DEPTH = 1000
_KEY_PATTERN = re.compile(rf"{CRASH_PREFIX}([0-9a-f]{{8,64}})/([0-9a-f]{{8,64}})")


class _CrashDocument(msgspec.Struct):
    depth: Annotated[int, msgspec.Meta(ge=1, le=MAX_DEPTH)]


def get_crash_key(fingerprint, target):
    """Return the store key of a report."""
    return f"{CRASH_PREFIX}{fingerprint}/{target}"


def encode_crash_report(report):
    """Return the value of a :class:`CrashReport` as JSON bytes."""
    return msgspec.json.encode(_CrashDocument(report.depth))


def decode_crash_report(key, value=None):
    """Return the :class:`CrashReport` of an entry.

    :param value: ``None`` for a deleted entry, whose depth is 0.
    :raises StoreEntryInvalid: if the key or the value has another form.
    """
    match = _KEY_PATTERN.fullmatch(key)
    if match is None:
        raise StoreEntryInvalid(f"report {key!r}: the key names no two digests")
    if value is None:
        return CrashReport(match[1], match[2], 0)
    document = decode_document(f"report {key!r}", value, _CrashDocument)
    return CrashReport(match[1], match[2], document.depth)
