"""Factories of routes, endpoints, requests and balancers for tests of steering."""

import random
from types import SimpleNamespace

from turmericrudder.address import Address
from turmericrudder.settings import BoundSettings
from turmericrudder.steering import (
    Backend,
    Balancer,
    Endpoint,
    EndpointCatalog,
    RequestKind,
    Route,
    SelectionRequest,
    ServiceProfile,
)

BOUNDS = BoundSettings(
    grace=6.0,
    lookup_ttl=5.0,
    retry_ratio=0.2,
    retry_extra=64,
    retry_window=10.0,
    cold_overage=1.5,
    cold_slack=5,
    max_shift=0.15,
)


SETTINGS = SimpleNamespace(
    bounds=BOUNDS, region="a", regions={"a1": "a", "a2": "a", "b1": "b"}
)


class SingleMember:
    """The members as one instance without others knows them."""

    revision = 1

    def __init__(self, instance_counts, cold_share):
        self.instance_counts = instance_counts
        self._cold_share = cold_share

    def __len__(self):
        return 1

    def get_cold_share(self, endpoint, bound):
        return self._cold_share

    def get_view_age(self):
        return 0.0

    def get_rate_share(self, endpoint, sender_count):
        return 1.0


PROFILE = ServiceProfile("s", "/health", 50, 3.0, 7.3)


def make_route(name="r", host="h", prefix="/", **overrides):
    values = {
        "kind": RequestKind.IDEMPOTENT,
        "timeout": 2.0,
        "objective": 0.5,
        "priority": 1,
        "max_attempts": 2,
        "backends": (Backend("s", 1.0),),
        **overrides,
    }
    return Route(name, host, prefix, **values)


def make_endpoint(target_id="t", domain="a1", **overrides):
    values = {
        "service": "s",
        "address": Address("10.0.0.1", 80),
        "failure_domain": domain,
        "slots": 4,
        "is_draining": False,
        "cold_remaining": 0.0,
        "started_at_ms": 1,
        "sequence": 1,
        **overrides,
    }
    return Endpoint(id=target_id, **values)


def make_balancer(
    *endpoints,
    cold_share=6,
    has_synced=False,
    instance_counts=(1, 1, 1),
    members=None,
    has_responded=True,
):
    catalog = EndpointCatalog()
    catalog.set_profiles({"s": PROFILE})
    catalog.has_synced = has_synced
    for number, endpoint in enumerate(endpoints):
        catalog.put(endpoint, number + 1, 0.0)
        catalog.get_target(endpoint.id).has_responded = has_responded
    members = members or SingleMember(instance_counts, cold_share)
    balancer = Balancer(SETTINGS, catalog, members, random.Random(1))
    return catalog, balancer


def make_selection_request(route=None, key=None, now=0.0, attempted_ids=()):
    route = route or make_route()
    return SelectionRequest(
        "s", route, key, now, now + route.timeout, frozenset(attempted_ids)
    )
