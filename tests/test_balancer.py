"""Which target a request is sent to, rule by rule."""

import pytest

from turmericrudder.steering import (
    NoTarget,
    NoTargetReason,
    Selection,
    ServerLoad,
)

from .steering_makers import make_balancer, make_endpoint, make_query, make_route


@pytest.mark.parametrize(
    "spoil",
    [
        lambda catalog: catalog.put(
            make_endpoint(is_draining=True, sequence=2), 9, 1.0
        ),
        lambda catalog: catalog.evacuate("a1"),
        lambda catalog: catalog.remove("t", 9, 1.0),
        lambda catalog: setattr(catalog.get_target("t"), "is_removed", True),
    ],
)
def test_target_that_leaves_gets_nothing(spoil):
    catalog, balancer = make_balancer(make_endpoint())
    assert isinstance(balancer.choose(make_query(), 1.0), Selection)
    spoil(catalog)
    assert isinstance(balancer.choose(make_query(), 1.0), NoTarget)


def test_home_regions_bind():
    _, balancer = make_balancer(make_endpoint("near"), make_endpoint("far", "b1"))
    route = make_route(home_regions=frozenset("b"))
    for _ in range(20):
        assert balancer.choose(make_query(route), 0.0).target.endpoint.id == "far"
    route = make_route(home_regions=frozenset("c"))
    assert balancer.choose(make_query(route), 0.0).reason is NoTargetReason.NONE_ALLOWED


def test_tried_and_blocked_targets_are_left_out():
    catalog, balancer = make_balancer(make_endpoint("x"), make_endpoint("y"))
    assert (
        balancer.choose(make_query(attempted_ids=["x"]), 0.0).target.endpoint.id == "y"
    )
    catalog.get_target("y").eject(0.0)
    assert balancer.choose(make_query(), 0.1).target.endpoint.id == "x"
    # Where all are blocked, one is tried all the same.
    catalog.get_target("x").eject(0.0)
    assert isinstance(balancer.choose(make_query(), 0.1), Selection)


def test_cold_target_is_fed_by_one_instance_only():
    cold = make_endpoint(cold_remaining=3.0)
    _, balancer = make_balancer(cold, may_send_to_cold=False)
    assert balancer.choose(make_query(), 0.0).reason is NoTargetReason.ALL_COLD
    _, balancer = make_balancer(cold)
    sent = 0
    while isinstance(chosen := balancer.choose(make_query(), 0.0), Selection):
        balancer.record_attempt(chosen, make_query(), 0.0)
        sent += 1
    assert 1 <= sent <= (7.3 * 1.5 + 5) / 2


def test_object_stays_with_its_target_and_moves_on_in_order():
    endpoints = [make_endpoint(f"t{n}", slots=2) for n in range(6)]
    catalog, balancer = make_balancer(*endpoints)
    selection_request = make_query(make_route(has_affinity=True), "key")
    chosen = {
        balancer.choose(selection_request, 0.0).target.endpoint.id for _ in range(30)
    }
    assert len(chosen) == 1
    (first,) = chosen
    for ticket in range(30):
        catalog.get_target(first).start_request(ticket, 0.0)
    seconds = {
        balancer.choose(selection_request, 0.0).target.endpoint.id for _ in range(30)
    }
    assert len(seconds) == 1 and first not in seconds
    # Another instance finds the same order.
    _, other = make_balancer(*reversed(endpoints))
    assert other.choose(selection_request, 0.0).target.endpoint.id == first


def test_failing_stalled_and_slow_targets_are_avoided():
    catalog, balancer = make_balancer(make_endpoint("bad"), make_endpoint("good"))
    bad = catalog.get_target("bad")
    for _ in range(10):
        bad.record_failure(0.0)
    assert balancer.choose(make_query(), 0.1).target.endpoint.id == "good"
    catalog, balancer = make_balancer(make_endpoint("bad"), make_endpoint("good"))
    catalog.get_target("bad").start_request(1, 0.0)
    assert balancer.choose(make_query(now=1.5), 1.5).target.endpoint.id == "good"
    catalog, balancer = make_balancer(make_endpoint("bad"), make_endpoint("good"))
    catalog.get_target("bad").record_load_report(ServerLoad(0, 0, 4, 2.5), 0.0)
    assert balancer.choose(make_query(), 0.0).target.endpoint.id == "good"


def test_request_that_cannot_be_in_time_is_refused():
    catalog, balancer = make_balancer(make_endpoint())
    target = catalog.get_target("t")
    target.mean_service_time = 0.5
    for ticket in range(40):
        target.start_request(ticket, 0.0)
    refusal = balancer.choose(make_query(), 0.0)
    assert refusal.reason is NoTargetReason.TOO_LATE and refusal.retry_after > 0


def test_objects_of_a_small_region_live_on_one_side():
    near = [make_endpoint("near", slots=2)]
    far = [make_endpoint(f"far{n}", "b1", slots=8) for n in range(4)]
    _, balancer = make_balancer(*near, *far, instance_counts=(1, 1, 2))
    sides = {}
    for number in range(40):
        selection_request = make_query(make_route(has_affinity=True), f"k{number}")
        chosen = {
            balancer.choose(selection_request, 0.0).target.endpoint.id for _ in range(5)
        }
        assert len(chosen) == 1
        sides[number] = chosen.pop() == "near"
    assert 0 < sum(sides.values()) < 40
