"""The route table, compared with a scan of all routes."""

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


def find_by_scanning(routes, host, path):
    matches = [r for r in routes if r.host == host and path.startswith(r.prefix)]
    return max(matches, key=lambda route: len(route.prefix), default=None)


@given(st.lists(st.tuples(st.sampled_from(["h", "g"]), PREFIX), unique=True), PATH)
def test_route_has_the_longest_matching_prefix(pairs, path):
    routes = [make_route(f"r{n}", *pair) for n, pair in enumerate(pairs)]
    configuration = RoutingConfiguration(
        1, tuple(routes), {}, ClientLimits(1, 1, 1.0, 1.0)
    )
    route = RouteTable(configuration).get_route("H:80", path)
    assert route is find_by_scanning(routes, "h", path)
