"""Which route a request takes, against a naive version."""

from hypothesis import given
from hypothesis import strategies as st

from turmericrudder.steering import (
    ClientLimits,
    RouteTable,
    RoutingConfiguration,
)

from .steering_makers import make_route

SEGMENT = st.sampled_from(["a", "b", "c", "ab"])


PREFIX = st.lists(SEGMENT, max_size=3).map(
    lambda parts: "/" + "".join(f"{p}/" for p in parts)
)


PATH = st.builds(
    lambda prefix, rest: prefix + rest, PREFIX, st.sampled_from(["", "a", "x"])
)


def find_naively(routes, host, path):
    found = [r for r in routes if r.host == host and path.startswith(r.prefix)]
    return max(found, key=lambda route: len(route.prefix), default=None)


@given(st.lists(st.tuples(st.sampled_from(["h", "g"]), PREFIX), unique=True), PATH)
def test_route_is_the_longest_prefix(pairs, path):
    routes = [make_route(f"r{n}", *pair) for n, pair in enumerate(pairs)]
    configuration = RoutingConfiguration(
        1, tuple(routes), {}, ClientLimits(1, 1, 1.0, 1.0)
    )
    found = RouteTable(configuration).get_route("H:80", path)
    assert found is find_naively(routes, "h", path)
