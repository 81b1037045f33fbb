"""Decoding of the platform's documents, and the store client."""

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
from turmericrudder.listener import Listener
from turmericrudder.platform import (
    Deletion,
    MetadataStoreClient,
    decode_directory_request,
    decode_endpoint,
    decode_member,
    decode_routing_configuration,
    encode_directory_response,
    encode_member,
    get_member_key,
)
from turmericrudder.steering import Backend, GatewayMember, RequestKind

from .platform_documents import make_configuration, make_registration, make_route

STORE = Address("127.0.20.2", 21990)


def test_configuration_tables_are_decoded():
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
    configuration = decode_routing_configuration(
        msgspec.json.encode(make_configuration(7, routes))
    )
    assert configuration.version == 7
    first, second = configuration.routes
    assert (first.timeout, first.objective) == (2.0, 0.5)
    assert first.home_regions == {"a"} and first.has_affinity and first.is_idempotent
    assert second.kind is RequestKind.UPLOAD and not second.is_idempotent
    assert second.backends == (Backend("s1", 90), Backend("s2", 10))
    assert configuration.services["s1"].cold_rate == 5.0
    assert configuration.limits.header_timeout == 0.5


@pytest.mark.parametrize(
    "changes",
    [
        {"version": 7},
        {"version": "seven"},
        {"routes": None},
        {"routes": {"columns": ["name"], "rows": [["x", "y"]]}},
        {"limits": {}},
    ],
)
def test_malformed_configuration_is_rejected(changes):
    document = {**make_configuration(1, [make_route()]), **changes}
    with pytest.raises(StoreEntryInvalid):
        decode_routing_configuration(msgspec.json.encode(document))


def test_route_without_service_is_rejected():
    document = make_configuration(1, [make_route(service=None)])
    with pytest.raises(StoreEntryInvalid, match="r1"):
        decode_routing_configuration(msgspec.json.encode(document))


def test_target_registration_is_decoded():
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
    "changes",
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
def test_malformed_target_registration_is_rejected(changes):
    value = msgspec.json.encode({**make_registration(80), **changes})
    with pytest.raises(StoreEntryInvalid, match="servers/i-1"):
        decode_endpoint("servers/i-1", value)
    with pytest.raises(StoreEntryInvalid):
        decode_endpoint("servers/i-1", b"\xff")


def test_member_registration_and_resolve_call_are_encoded_and_decoded():
    address = Address("10.0.0.1", 80)
    member = GatewayMember("m", address, address, "a1", "a", "n")
    assert decode_member(get_member_key("m"), encode_member(member)) == member
    with pytest.raises(StoreEntryInvalid):
        decode_member("members/m", b"{}")
    assert decode_directory_request(b"name=h&zone=a1&region=a") == ("a1", "a")
    assert decode_directory_request(b"") == ("", "")
    assert msgspec.json.decode(encode_directory_response([member], 2.0)) == {
        "addrs": ["10.0.0.1:80"],
        "ttl_s": 2.0,
    }


class _UnlimitedApplication:
    """ASGI application without limits of its own."""

    def __init__(self, application):
        self._application = application

    async def __call__(self, scope, receive, send):
        await self._application(scope, receive, send)


@pytest.fixture
async def store(anyio_backend):
    application = StoreApplication(0.0)
    listener = Listener(_UnlimitedApplication(application), STORE)
    await listener.open()
    client = MetadataStoreClient(STORE)
    yield client, application
    await client.aclose()
    listener.close()


@pytest.mark.anyio
async def test_store_get_and_conditional_write(store):
    client, _ = store
    assert await client.get("k") is None
    revision = await client.write("k", b"\x00v", expected_revision=0)
    entry = await client.get("k")
    assert (entry.value, entry.revision) == (b"\x00v", revision)
    with pytest.raises(CompareFailed):
        await client.write("k", b"w", expected_revision=0)
    assert await client.write("k", b"w", expected_revision=revision) > revision


@pytest.mark.anyio
async def test_store_pages_watch_and_compacted_history(store):
    client, application = store
    for number in range(510):
        application._put(f"p/{number:04d}", "")
    page = await client.get_range("p/")
    assert page.has_more and len(page.entries) == 500
    last_page = await client.get_range("p/", page.entries[-1].key)
    assert len(last_page.entries) == 10 and not last_page.has_more
    start = last_page.revision
    revision = await client.write("p/x", b"1")
    application._remove("p/x")
    response = await client.watch("p/", start, 1.0)
    assert [type(event) for event in response.events][-1] is Deletion
    assert response.events[0].revision == revision
    assert (await client.watch("p/", response.revision, 0.05)).events == ()
    application._fault.forget = True
    with pytest.raises(HistoryCompacted):
        await client.watch("p/", start, 0.05)
    application._fault.forget = False
    application._fault.outage = True
    with pytest.raises(StoreUnavailable):
        await client.get("k")


@pytest.mark.anyio
async def test_keys_are_removed_with_their_lease(store):
    """A revoked lease removes its keys and cannot be renewed or used again."""
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
