"""Store entries of other writers that no decoder can use."""

import base64
import signal

import msgspec
import pytest

from turmericrudder.errors import StoreEntryInvalid
from turmericrudder.platform import (
    decode_endpoint,
    decode_member,
    decode_routing_configuration,
    encode_member,
    protocol,
)
from turmericrudder.platform.store_client import _EntryDocument, _to_entry
from turmericrudder.steering import GatewayMember

from .platform_documents import (
    HOST,
    make_configuration,
    make_registration,
    make_route,
)
from .platform_rig import wait_for

BASE = 27600  # first port of this module's rig


APPLY_TIMEOUT = 2.5  # seconds until a change of the store is in force


DEPTH = 100_000  # of nested arrays


NESTED = b"[" * DEPTH + b"]" * DEPTH


HUGE_NUMBERS = [10**18 + 1, 2**64, 10**30, 10**400]


BAD_ADDRESSES = [
    "127.0.0.1:" + "9" * 5000,
    "127.0.0.1:70000",
    "127.0.0.1:\u0663",
    "127.0.0.1:\u00b2",
    "[fe80::1%a\x00b]:80",
    "[fe80::1%eth0]:80",
    "0.0.0.0:80",
    "[::]:80",
    "224.0.0.1:80",
    "255.255.255.255:80",
]


BAD_KEYS = ["", "a\n", "a\r\nx: y", "a b", "\u00e9", "\x00", "a" * 300]


def _add_field(value, field):
    """Return a JSON object with a further field, given as bytes."""
    return b"{" + field + b"," + msgspec.json.encode(value)[1:]


@pytest.mark.parametrize("field", ["slots", "seq", "born"])
@pytest.mark.parametrize("number", [*HUGE_NUMBERS, -1])
def test_target_with_a_number_out_of_range_is_refused(field, number):
    value = msgspec.json.encode(make_registration(80, born=1))
    name = b'"%s":' % field.encode()
    start = value.index(name) + len(name)
    end = min(value.find(mark, start) % len(value) for mark in (b",", b"}"))
    value = value[:start] + str(number).encode() + value[end:]
    with pytest.raises(StoreEntryInvalid, match="servers/i-1"):
        decode_endpoint("servers/i-1", value)


@pytest.mark.parametrize("seconds", [1e12, 1e300])
def test_target_that_is_cold_for_ages_is_refused(seconds):
    value = msgspec.json.encode(make_registration(80, cold_left_ms=seconds))
    with pytest.raises(StoreEntryInvalid, match="servers/i-1"):
        decode_endpoint("servers/i-1", value)


@pytest.mark.parametrize("address", BAD_ADDRESSES)
def test_target_with_an_unusable_address_is_refused(address):
    value = msgspec.json.encode(make_registration(80) | {"address": address})
    with pytest.raises(StoreEntryInvalid, match="servers/i-1"):
        decode_endpoint("servers/i-1", value)


@pytest.mark.parametrize("name", BAD_KEYS)
def test_target_whose_id_fits_in_no_header_is_refused(name):
    with pytest.raises(StoreEntryInvalid):
        decode_endpoint(f"servers/{name}", msgspec.json.encode(make_registration(80)))


def test_deeply_nested_entries_are_refused():
    with pytest.raises(StoreEntryInvalid):
        decode_endpoint(
            "servers/t", _add_field(make_registration(80), b'"x":' + NESTED)
        )
    configuration = make_configuration(1, [make_route()])
    with pytest.raises(StoreEntryInvalid):
        decode_routing_configuration(_add_field(configuration, b'"x":' + NESTED))
    with pytest.raises(StoreEntryInvalid):
        decode_member("members/m", b'{"x":' + NESTED + b"}")


def test_value_that_is_not_base64_spoils_no_page():
    document = msgspec.json.decode(
        '{"key":"servers/t","rev":3,"value":"\u00e9"}', type=_EntryDocument
    )
    assert _to_entry(document).value == b""


def _encode_member(**changes):
    member = GatewayMember("m", f"{HOST}:80", f"{HOST}:81", "a1", "a", "n", 1.0)
    document = msgspec.json.decode(encode_member(member)) | changes
    return msgspec.json.encode(document)


@pytest.mark.parametrize(
    "changes",
    [
        {"capacity": 0.0},
        {"capacity": -1.0},
        {"capacity": 1e300},
        {"peer_address": BAD_ADDRESSES[0]},
        {"address": "0.0.0.0:80"},
    ],
)
def test_unusable_member_is_refused(changes):
    assert decode_member("members/m", _encode_member()).name == "m"
    with pytest.raises(StoreEntryInvalid):
        decode_member("members/m", _encode_member(**changes))


def test_member_with_an_unusable_name_is_refused():
    with pytest.raises(StoreEntryInvalid):
        decode_member("members/a\r\nb", _encode_member())


@pytest.mark.anyio
async def test_gateway_serves_and_follows_beside_entries_that_it_cannot_use(rig):
    """The store holds them while the gateway follows it, and at its next start."""
    put = rig.store._put
    odd = {
        "servers/o1": _add_field(make_registration(80), b'"x":' + NESTED),
        "servers/o2": msgspec.json.encode(
            make_registration(80) | {"address": BAD_ADDRESSES[0]}
        ),
        "servers/o3": b'{"slots":' + b"9" * 400 + b"}",
        "servers/o4": msgspec.json.encode(make_registration(80)).replace(
            b'"slots":4', b'"slots":' + b"9" * 400
        ),
        "servers/o5\r\nx: y": msgspec.json.encode(make_registration(80)),
        "servers/\u00e9": msgspec.json.encode(make_registration(80)),
        "servers/o7": msgspec.json.encode(
            make_registration(80) | {"address": "[fe80::1%a\x00b]:80"}
        ),
        "members/o8": b'{"x":' + NESTED + b"}",
        "members/o9": _encode_member(capacity=1e300),
        "crashes/o10": b"{}",
        f"crashes/{'a' * 32}/{'b' * 16}": b'{"depth":' + b"9" * 400 + b"}",
        "op/evacuate/\u00e9\r\n": NESTED,
        "other/key": NESTED,
    }
    for key, value in odd.items():
        put(key, base64.b64encode(value).decode())
    routes = [make_route(), make_route("n", "/new/")]
    await rig.put({protocol.CONFIGURATION_KEY: make_configuration(20, routes)})

    async def is_in_force():
        return (await rig.send_request("/new/x")).status == 200

    await wait_for(is_in_force, APPLY_TIMEOUT)
    put(protocol.CONFIGURATION_KEY, base64.b64encode(b'{"x":' + NESTED).decode())
    for number in range(30):
        assert (await rig.send_request(f"/new/{number}")).status == 200
    assert rig.process.poll() is None
    rig.process.send_signal(signal.SIGKILL)
    rig.process.wait()
    await rig.put({protocol.CONFIGURATION_KEY: make_configuration(21, routes)})
    rig.start()
    await rig.wait_ready()
    for number in range(30):
        assert (await rig.send_request(f"/new/{number}")).status == 200
    assert rig.process.poll() is None
