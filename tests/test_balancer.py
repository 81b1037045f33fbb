"""The rules by which the balancer selects a target."""

import dataclasses

import pytest

from turmericrudder.steering import (
    NoTarget,
    NoTargetReason,
    Selection,
    ServerLoad,
)

from .steering_makers import (
    make_balancer,
    make_endpoint,
    make_route,
    make_selection_request,
)


@pytest.mark.parametrize(
    "make_unusable",
    [
        lambda catalog: catalog.put(
            make_endpoint(is_draining=True, sequence=2), 9, 1.0
        ),
        lambda catalog: catalog.evacuate("a1"),
        lambda catalog: catalog.remove("t", 9, 1.0),
        lambda catalog: setattr(catalog.get_target("t"), "is_removed", True),
    ],
)
def test_unusable_target_is_not_selected(make_unusable):
    catalog, balancer = make_balancer(make_endpoint())
    assert isinstance(balancer.choose(make_selection_request(), 1.0), Selection)
    make_unusable(catalog)
    assert isinstance(balancer.choose(make_selection_request(), 1.0), NoTarget)


def test_targets_outside_home_regions_are_not_selected():
    _, balancer = make_balancer(make_endpoint("near"), make_endpoint("far", "b1"))
    route = make_route(home_regions=frozenset("b"))
    for _ in range(20):
        assert (
            balancer.choose(make_selection_request(route), 0.0).target.endpoint.id
            == "far"
        )
    route = make_route(home_regions=frozenset("c"))
    assert (
        balancer.choose(make_selection_request(route), 0.0).reason
        is NoTargetReason.NONE_ALLOWED
    )


def test_attempted_and_ejected_targets_are_not_selected():
    catalog, balancer = make_balancer(make_endpoint("x"), make_endpoint("y"))
    assert (
        balancer.choose(
            make_selection_request(attempted_ids=["x"]), 0.0
        ).target.endpoint.id
        == "y"
    )
    catalog.get_target("y").eject(0.0)
    assert balancer.choose(make_selection_request(), 0.1).target.endpoint.id == "x"
    # If all targets are ejected, the ejections are ignored.
    catalog.get_target("x").eject(0.0)
    assert isinstance(balancer.choose(make_selection_request(), 0.1), Selection)


def test_cold_target_gets_the_share_of_the_instance():
    cold = make_endpoint(cold_remaining=3.0)
    _, balancer = make_balancer(cold, cold_share=0)
    assert (
        balancer.choose(make_selection_request(), 0.0).reason is NoTargetReason.ALL_COLD
    )
    catalog, balancer = make_balancer(cold)
    target, sent_count = catalog.get_target("t"), 0
    while isinstance(
        selection := balancer.choose(make_selection_request(), 0.0), Selection
    ):
        balancer.record_attempt(selection, make_selection_request(), 0.0)
        assert balancer.admit(target, 0.0)
        sent_count += 1
    assert sent_count == 6 and not balancer.admit(target, 0.0)


def test_affinity_key_follows_the_rendezvous_order():
    endpoints = [make_endpoint(f"t{n}", slots=2) for n in range(6)]
    catalog, balancer = make_balancer(*endpoints)
    selection_request = make_selection_request(make_route(has_affinity=True), "key")
    selected_ids = {
        balancer.choose(selection_request, 0.0).target.endpoint.id for _ in range(30)
    }
    assert len(selected_ids) == 1
    (first_id,) = selected_ids
    for attempt_number in range(30):
        catalog.get_target(first_id).start_request(attempt_number, 0.0)
    next_ids = {
        balancer.choose(selection_request, 0.0).target.endpoint.id for _ in range(30)
    }
    assert len(next_ids) == 1 and first_id not in next_ids
    # Another instance computes the same order.
    _, other_balancer = make_balancer(*reversed(endpoints))
    assert other_balancer.choose(selection_request, 0.0).target.endpoint.id == first_id


def test_failing_stalled_and_slow_targets_are_avoided():
    catalog, balancer = make_balancer(make_endpoint("bad"), make_endpoint("good"))
    bad = catalog.get_target("bad")
    for _ in range(10):
        bad.record_failure(0.0)
    assert balancer.choose(make_selection_request(), 0.1).target.endpoint.id == "good"
    catalog, balancer = make_balancer(make_endpoint("bad"), make_endpoint("good"))
    catalog.get_target("bad").start_request(1, 0.0)
    assert (
        balancer.choose(make_selection_request(now=1.5), 1.5).target.endpoint.id
        == "good"
    )
    catalog, balancer = make_balancer(make_endpoint("bad"), make_endpoint("good"))
    catalog.get_target("bad").record_load_report(ServerLoad(0, 0, 4, 2.5), 0.0)
    assert balancer.choose(make_selection_request(), 0.0).target.endpoint.id == "good"


def test_request_that_would_miss_its_deadline_is_rejected():
    catalog, balancer = make_balancer(make_endpoint())
    target = catalog.get_target("t")
    target.mean_service_time = 0.5
    for attempt_number in range(40):
        target.start_request(attempt_number, 0.0)
    rejection = balancer.choose(make_selection_request(), 0.0)
    assert rejection.reason is NoTargetReason.TOO_LATE and rejection.retry_after > 0


def test_each_affinity_key_of_a_small_region_has_one_region():
    local = [make_endpoint("near", slots=2)]
    remote = [make_endpoint(f"far{n}", "b1", slots=8) for n in range(4)]
    _, balancer = make_balancer(*local, *remote, instance_counts=(1, 1, 2))
    is_local_by_key = {}
    for number in range(40):
        selection_request = make_selection_request(
            make_route(has_affinity=True), f"k{number}"
        )
        selected_ids = {
            balancer.choose(selection_request, 0.0).target.endpoint.id for _ in range(5)
        }
        assert len(selected_ids) == 1
        is_local_by_key[number] = selected_ids.pop() == "near"
    assert 0 < sum(is_local_by_key.values()) < 40


def test_untried_target_gets_few_requests_until_it_has_responded():
    """26 requests at once went to a target that answered none of them."""
    catalog, balancer = make_balancer(make_endpoint("tried", slots=40), has_synced=True)
    catalog.put(make_endpoint("new", slots=40), 2, 0.0)
    new, counts = catalog.get_target("new"), {"tried": 0, "new": 0}
    for attempt_number in range(60):
        target = balancer.choose(make_selection_request(now=9.0), 9.0).target
        target.start_request(attempt_number, 9.0)
        counts[target.endpoint.id] += 1
    assert 1 <= counts["new"] <= 2
    new.record_failed_trial(9.0)
    for attempt_number in range(2):
        new.end_request(attempt_number)
    target = balancer.choose(make_selection_request(now=9.1), 9.1).target
    assert target.endpoint.id == "tried"  # the other one is ejected
    new.record_response(0.1, 9.5)
    target = balancer.choose(make_selection_request(now=9.5), 9.5).target
    assert target.endpoint.id == "new"


def test_untried_targets_alone_get_few_more_requests_than_they_have_slots():
    catalog, balancer = make_balancer(
        make_endpoint("a", slots=3), make_endpoint("b", slots=4), has_responded=False
    )
    request = make_selection_request()
    for limit in (7, 14):
        sent = 0
        while isinstance(selection := balancer.choose(request, 0.0), Selection):
            selection.target.start_request((limit, sent), 0.0)
            sent += 1
        assert selection.reason is NoTargetReason.ALL_UNTRIED
        assert sent == 7
        request = dataclasses.replace(request, has_waited_for_trials=True)
    for target in catalog.get_targets("s"):
        target.record_failed_trial(0.0)
    assert balancer.choose(request, 9.0).reason is NoTargetReason.ALL_UNTRIED
