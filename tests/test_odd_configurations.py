"""Routing configurations with values that are out of range."""

import msgspec
import pytest

from turmericrudder.errors import StoreEntryInvalid
from turmericrudder.platform import decode_routing_configuration

from .platform_documents import make_configuration, make_route


@pytest.mark.parametrize(
    "configuration",
    [
        make_configuration(10**30, [make_route()]),
        make_configuration("1_0", [make_route()]),
        make_configuration("\u0663", [make_route()]),
        make_configuration(2, [make_route(timeout_ms=0)]),
        make_configuration(2, [make_route(timeout_ms=1e300)]),
        make_configuration(2, [make_route(timeout_ms=-5)]),
        make_configuration(2, [make_route(slo_ms=1e300)]),
        make_configuration(2, [make_route(priority=10**30)]),
        make_configuration(2, [make_route(max_attempts=10**30)]),
        make_configuration(
            2, [make_route(backends=[{"service": "s1", "weight": 0.0}])]
        ),
        make_configuration(
            2, [make_route(backends=[{"service": "s1", "weight": 1e300}])]
        ),
        make_configuration(
            2, [make_route(backends=[{"service": "s1", "weight": -1.0}])]
        ),
        make_configuration(2, [make_route()], {"header_timeout_ms": -1}),
        make_configuration(2, [make_route()], {"idle_timeout_ms": 1e300}),
        make_configuration(2, [make_route()], {"max_body_bytes": -1}),
        make_configuration(2, [make_route()], {"max_header_bytes": 10**30}),
    ],
)
def test_configuration_with_a_number_out_of_range_is_refused(configuration):
    with pytest.raises(StoreEntryInvalid):
        decode_routing_configuration(msgspec.json.encode(configuration, enc_hook=str))
