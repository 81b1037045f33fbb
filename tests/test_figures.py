"""Figures of targets, peers, the store and clients that no instance can use.

Each is refused where it is decoded, and harms neither the process nor the requests of
others.
"""

import json

import anyio
import msgspec
import pytest

from turmericrudder.errors import (
    PeerUnreachable,
    RequestRejected,
    StoreEntryInvalid,
    StoreUnavailable,
)
from turmericrudder.gateway.client_application import _get_client_timeout
from turmericrudder.gateway.load_exchange import (
    LoadSummary,
    LoadUpdate,
    _decode_reports,
    _encode_reports,
)
from turmericrudder.gateway.peer_sync import PeerUpdate, decode_message
from turmericrudder.gateway.response_parser import _get_keepalive_timeout
from turmericrudder.platform import (
    MetadataStoreClient,
    decode_endpoint,
    decode_member,
    decode_routing_configuration,
    protocol,
)
from turmericrudder.steering import LoadCollector, ServerLoad, parse_rate_limit
from turmericrudder.steering.server_load import MAX_UTILIZATION
from turmericrudder.steering.tracked_target import TrackedTarget

from .platform_documents import make_configuration, make_registration, make_route
from .platform_rig import Rig
from .steering_makers import make_endpoint

BASE = 26500  # first port of this module's rig

WRAPPED = str(2**64 - 1)  # a 64-bit counter that went below zero
HUGE = "9" * 401  # no float
ODD_NUMBERS = [
    "",
    "-1",
    "1e9999",
    "nan",
    "inf",
    "1_0",
    "\u00b2",
    WRAPPED,
    HUGE,
    "9" * 5000,
]


@pytest.mark.parametrize("number", ODD_NUMBERS)
@pytest.mark.parametrize("field", range(4))
def test_load_report_with_an_odd_figure_is_ignored(number, field):
    fields = ["3", "1", "6", "100"]
    fields[field] = number
    assert ServerLoad.parse(",".join(fields)) is None


def test_load_beyond_any_queue_is_ignored():
    assert ServerLoad.parse("1,400,6") is None
    assert ServerLoad.parse("0,0,6,100000000") is None
    assert ServerLoad.parse(" 6, 300, 6, 250.5") == ServerLoad(6, 300, 6, 2.505)


def test_reports_of_any_load_can_be_sent_to_the_reader():
    """An OverflowError in the summary of the loads ended the entry instance."""
    collector = LoadCollector()
    for text in (f"{WRAPPED},1,6", f"{HUGE},1,6", "6,18,6", "1000000,0,1000000"):
        load = ServerLoad.parse(text)
        for _ in range(1000):
            if load is not None:
                collector.record(text, load, 1.0)
    packed = msgspec.msgpack.encode(
        LoadSummary("n", "", _encode_reports(collector.take(), 1.0))
    )
    reports = decode_message(packed, LoadSummary).reports
    assert [report.target_id for report in _decode_reports(reports, 1.0)] == [
        "6,18,6",
        "1000000,0,1000000",
    ]


def test_target_is_used_again_soon_after_the_largest_load_it_may_report():
    target = TrackedTarget(make_endpoint("t", slots=6))
    target.record_load_report(ServerLoad.parse(f"0,{6 * int(MAX_UTILIZATION)},6"), 0.0)
    assert target.get_load(6.0) < 6


@pytest.mark.parametrize("number", ODD_NUMBERS)
def test_odd_limit_keepalive_time_and_deadline(number):
    assert parse_rate_limit(number) is None
    header = number.encode("latin-1")
    headers = [(b"keep-alive", b"timeout=" + header)]
    assert _get_keepalive_timeout(headers, 7.0) == 7.0
    with pytest.raises(RequestRejected):
        _get_client_timeout({protocol.DEADLINE_HEADER: header})


@pytest.mark.parametrize("number", [-1, 2**62 + 1, 2**64, 10**400, 1.5, "1", True])
@pytest.mark.parametrize(
    "document",
    [
        {"lease": ...},
        {"rev": ...},
        {"items": [], "store_revision": ...},
        {"items": [{"key": "a", "rev": ...}], "store_revision": 1},
        {"events": [], "store_revision": ...},
        {"events": [{"key": "a", "rev": ...}], "store_revision": 1},
    ],
    ids=str,
)
@pytest.mark.anyio
async def test_odd_number_of_the_store_is_an_unavailable_store(document, number):
    """A lease of more than 64 bits ended the entry instance with an OverflowError."""
    content = json.dumps(document, default=lambda _: number)

    async def answer(stream):
        async with stream:
            while True:
                try:
                    await stream.receive()
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    return
                await stream.send(
                    b"HTTP/1.1 200 OK\r\nStore-Era: %s\r\nContent-Length: %d\r\n\r\n%s"
                    % (HUGE.encode(), len(content), content.encode())
                )

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    client = MetadataStoreClient(f"127.0.0.1:{port}")
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, answer)
        with pytest.raises(StoreUnavailable):
            if "lease" in document:
                await client.grant_lease(4.0)
            elif "rev" in document:
                await client.write("a", b"")
            elif "items" in document:
                await client.get_range("")
            else:
                await client.watch("", 1, 0.0)
        assert client.era == 0
        await client.aclose()
        tasks.cancel_scope.cancel()
    await listener.aclose()


@pytest.mark.parametrize(
    ("message_type", "document"),
    [
        (PeerUpdate, {"revision": 1, "is_whole": False, "entries": [], **field})
        for field in (
            {"contact_age": -1.0},
            {"contact_age": float("nan")},
            {"era": 2**62},
        )
    ]
    + [
        (message_type, {**document, "weights": {"t": weight}})
        for message_type, document in (
            (LoadUpdate, {"weights_id": "w", "reports": []}),
            (LoadSummary, {"instance": "g", "weights_id": "w", "reports": []}),
        )
        for weight in (0.0, 1e-310, float("nan"), 1.1)
    ],
)
def test_odd_number_of_a_peer_is_refused(message_type, document):
    """A weight of 0 failed all requests for the service with a ZeroDivisionError."""
    with pytest.raises(PeerUnreachable):
        decode_message(msgspec.msgpack.encode(document), message_type)


@pytest.mark.parametrize("number", [-1, 2**64, 10**400, "1", None, [1]])
@pytest.mark.parametrize("field", ["slots", "seq", "cold_left_ms", "born"])
def test_odd_number_in_a_registration_is_refused(field, number):
    if (field, number) == ("born", None):
        return  # the start time may be missing
    document = make_registration(1000, **{field: number})
    with pytest.raises(StoreEntryInvalid):
        decode_endpoint("servers/t", json.dumps(document).encode())


@pytest.mark.parametrize("capacity", [0, -1, 5e-324, 10**400, "1"])
def test_odd_capacity_of_a_member_is_refused(capacity):
    document = {
        "address": "10.0.0.1:80",
        "peer_address": "10.0.0.1:81",
        "failure_domain": "a1",
        "region": "a",
        "nonce": "n",
        "capacity": capacity,
    }
    with pytest.raises(StoreEntryInvalid):
        decode_member("members/m", json.dumps(document).encode())


@pytest.mark.parametrize("number", [-1, 10**400, "1"])
@pytest.mark.parametrize("column", ["max_conns", "cold_start_s", "cold_per_s"])
def test_odd_number_in_a_service_profile_is_refused(column, number):
    document = make_configuration(1, [make_route()])
    index = document["services"]["columns"].index(column)
    document["services"]["rows"][0][index] = number
    with pytest.raises(StoreEntryInvalid):
        decode_routing_configuration(json.dumps(document).encode())


@pytest.mark.anyio
async def test_instances_outlive_targets_that_spoil_their_load(tmp_path):
    """Two instances forward and exchange loads while all targets name odd figures."""
    async with Rig(BASE, tmp_path) as rig:
        process = rig.start_instance(port_offset=60)
        try:
            with anyio.fail_after(10):
                while not await rig.is_ready(port_offset=60):
                    await anyio.sleep(0.05)
                while await rig.get_metric(0, "members") != 2:
                    await anyio.sleep(0.05)
            statuses = []
            for text in (f"{WRAPPED},1,4", f"{HUGE},1,4", f"1,1,4,{HUGE}", "1,1,0"):
                for target in rig.targets:
                    target.fault.load = text
                for _ in range(5):
                    for offset in (0, 60):
                        response = await rig.send_request(port_offset=offset)
                        statuses.append(response.status)
                    await anyio.sleep(0.06)
            await anyio.sleep(0.6)
            assert set(statuses) == {200}
            assert rig.process.poll() is None and process.poll() is None
            log = rig.log.read_text()
            assert "task_failed" not in log and "Traceback" not in log
        finally:
            process.kill()
            process.wait()
