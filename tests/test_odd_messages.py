"""Messages of other instances that no decoder can use."""

import msgspec
import pytest

from turmericrudder.errors import PeerUnreachable
from turmericrudder.gateway.load_exchange import (
    LoadSummary,
    LoadUpdate,
    _decode_reports,
)
from turmericrudder.gateway.peer_sync import PeerUpdate, decode_message

DEPTH = 100_000  # of nested arrays


def _pack_nested(document):
    """Return a packed map with a deeply nested further field."""
    packed = msgspec.msgpack.encode(document)
    nested = b"\x91" * DEPTH + b"\x90"
    return bytes([packed[0] + 1]) + packed[1:] + b"\xa1z" + nested


@pytest.mark.parametrize(
    ("message_type", "packed"),
    [
        (PeerUpdate, _pack_nested({"revision": 1, "is_whole": True, "entries": []})),
        (LoadSummary, _pack_nested({"instance": "", "weights_id": "", "reports": []})),
        (LoadUpdate, _pack_nested({"weights_id": "", "weights": None, "reports": []})),
        *(
            (PeerUpdate, msgspec.msgpack.encode(document))
            for document in (
                {"revision": 2**63, "is_whole": True, "entries": []},
                {"revision": -1, "is_whole": True, "entries": []},
                {"revision": 1, "is_whole": True, "entries": [], "era": 2**63},
                {"revision": 1, "is_whole": True, "entries": [["k", -4, b""]]},
                {"revision": 1, "is_whole": True, "entries": [["k", 2**63, b""]]},
            )
        ),
        (
            LoadUpdate,
            msgspec.msgpack.encode(
                {"weights_id": "", "weights": {"t": -1.0}, "reports": []}
            ),
        ),
        (
            LoadUpdate,
            msgspec.msgpack.encode(
                {"weights_id": "", "weights": {"t": float("nan")}, "reports": []}
            ),
        ),
    ],
)
def test_unusable_message_of_a_peer_is_refused(message_type, packed):
    with pytest.raises(PeerUnreachable):
        decode_message(packed, message_type)


@pytest.mark.parametrize(
    "report",
    [
        ["t", 1, float("inf"), 0],
        ["t", 1, float("nan"), 0],
        ["t", 2**63, 1.0, 0],
        ["t", 1, 1.0, 2**63],
        ["t", 1, 1.0, 0, float("inf")],
        ["t", 1, 1.0, 0, float("nan")],
        ["t", 1, 1.0, 0, 0.5, 2**63],
    ],
)
def test_report_of_a_peer_with_a_number_out_of_range_is_ignored(report):
    document = {"instance": "g", "weights_id": "", "reports": [report]}
    summary = decode_message(msgspec.msgpack.encode(document), LoadSummary)
    assert list(_decode_reports(summary.reports, 9.0)) == []
