"""Formats of the platform, decoded; and the store's client."""

import msgspec
import pytest

from standins.store import StoreApplication
from turmericrudder.address import Address
from turmericrudder.errors import (
    CompareFailed,
    HistoryCompacted,
    LeaseExpired,
    StoreEntryInvalid,
    StoreUnavailable,
)
from turmericrudder.gateway.listener import Listener
from turmericrudder.platform import (
    Deletion,
    MetadataStoreClient,
    decode_endpoint,
    decode_member,
    decode_resolve_request,
    decode_routing_configuration,
    encode_member,
    encode_resolve_response,
    get_member_key,
)
from turmericrudder.steering import Backend, GatewayMember, RequestKind

from .platform_documents import make_configuration, make_registration, make_route

STORE = Address("127.0.20.2", 21990)


def test_configuration_in_columns():
    routes = [
        make_route("r1", "/a/", affinity=True, home_regions=["a"]),
        make_route(
            "r2",
            "/b/",
            "upload",
            service=None,
            backends=[
                {"service": "s1", "weight": 90},
                {"service": "s2", "weight": 10},
            ],
        ),
    ]
    found = decode_routing_configuration(
        msgspec.json.encode(make_configuration(7, routes))
    )
    assert found.version == 7
    first, second = found.routes
    assert (first.timeout, first.objective) == (2.0, 0.5)
    assert first.home_regions == {"a"} and first.has_affinity and first.is_idempotent
    assert second.kind is RequestKind.UPLOAD and not second.is_idempotent
    assert second.backends == (Backend("s1", 90), Backend("s2", 10))
    assert found.services["s1"].cold_rate == 5.0
    assert found.limits.header_timeout == 0.5


@pytest.mark.parametrize(
    "spoil",
    [
        {"version": 7},
        {"version": "seven"},
        {"routes": None},
        {"routes": {"columns": ["name"], "rows": [["x", "y"]]}},
        {"limits": {}},
    ],
)
def test_malformed_configuration_is_refused(spoil):
    document = {**make_configuration(1, [make_route()]), **spoil}
    with pytest.raises(StoreEntryInvalid):
        decode_routing_configuration(msgspec.json.encode(document))


def test_route_without_service_is_refused():
    document = make_configuration(1, [make_route(service=None)])
    with pytest.raises(StoreEntryInvalid, match="r1"):
        decode_routing_configuration(msgspec.json.encode(document))


def test_registration_of_a_target():
    value = msgspec.json.encode(
        make_registration(80, cold_left_ms=1500, born=17, version="v2", other=[1])
    )
    endpoint = decode_endpoint("servers/i-1", value)
    assert (endpoint.id, endpoint.cold_remaining, endpoint.started_at_ms) == (
        "i-1",
        1.5,
        17,
    )
    assert not endpoint.is_draining


@pytest.mark.parametrize(
    "spoil",
    [
        {"service": None},
        {"slots": 0},
        {"slots": "4"},
        {"slots": True},
        {"state": "gone"},
        {"seq": 1.5},
        {"born": 1.5},
        {"born": "1"},
        {"address": "nowhere"},
        {"cold_left_ms": -1},
    ],
)
def test_malformed_registration_is_refused(spoil):
    value = msgspec.json.encode({**make_registration(80), **spoil})
    with pytest.raises(StoreEntryInvalid, match="servers/i-1"):
        decode_endpoint("servers/i-1", value)
    with pytest.raises(StoreEntryInvalid):
        decode_endpoint("servers/i-1", b"\xff")


def test_member_and_directory_round_trip():
    address = Address("10.0.0.1", 80)
    member = GatewayMember("m", address, address, "a1", "a", "n")
    assert decode_member(get_member_key("m"), encode_member(member)) == member
    with pytest.raises(StoreEntryInvalid):
        decode_member("members/m", b"{}")
    assert decode_resolve_request(b"name=h&zone=a1&region=a") == ("a1", "a")
    assert decode_resolve_request(b"") == ("", "")
    assert msgspec.json.decode(encode_resolve_response([member], 2.0)) == {
        "addrs": ["10.0.0.1:80"],
        "ttl_s": 2.0,
    }


class _Limitless:
    limits = None

    def __init__(self, application):
        self._application = application

    async def __call__(self, scope, receive, send):
        await self._application(scope, receive, send)


@pytest.fixture
async def store(anyio_backend):
    application = StoreApplication(0.0)
    listener = Listener(_Limitless(application), STORE)
    await listener.open()
    client = MetadataStoreClient(STORE)
    yield client, application
    await client.aclose()
    listener.close()


@pytest.mark.anyio
async def test_store_reads_writes_and_conflicts(store):
    client, _ = store
    assert await client.get("k") is None
    revision = await client.write("k", b"\x00v", expected_revision=0)
    item = await client.get("k")
    assert (item.value, item.revision) == (b"\x00v", revision)
    with pytest.raises(CompareFailed):
        await client.write("k", b"w", expected_revision=0)
    assert await client.write("k", b"w", expected_revision=revision) > revision


@pytest.mark.anyio
async def test_store_pages_watches_and_lost_history(store):
    client, application = store
    for number in range(510):
        application._put(f"p/{number:04d}", "")
    page = await client.get_range("p/")
    assert page.has_more and len(page.items) == 500
    rest = await client.get_range("p/", page.items[-1].key)
    assert len(rest.items) == 10 and not rest.has_more
    start = rest.revision
    revision = await client.write("p/x", b"1")
    application._remove("p/x")
    changes = await client.watch("p/", start, 1.0)
    assert [type(event) for event in changes.events][-1] is Deletion
    assert changes.events[0].revision == revision
    assert (await client.watch("p/", changes.revision, 0.05)).events == ()
    application._fault.forget = True
    with pytest.raises(HistoryCompacted):
        await client.watch("p/", start, 0.05)
    application._fault.forget = False
    application._fault.outage = True
    with pytest.raises(StoreUnavailable):
        await client.get("k")


@pytest.mark.anyio
async def test_store_leases(store):
    client, _ = store
    lease = await client.grant_lease(5.0)
    await client.write("l", b"1", lease=lease)
    await client.renew_lease(lease)
    await client.revoke_lease(lease)
    assert await client.get("l") is None
    with pytest.raises(LeaseExpired):
        await client.renew_lease(lease)
    with pytest.raises(LeaseExpired):
        await client.write("l", b"1", lease=lease)
    await client.revoke_lease(lease)
