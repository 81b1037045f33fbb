"""When a request that takes long is sent a second time, and where to."""

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from turmericrudder.steering import (
    NoTarget,
    NoTargetReason,
    Selection,
    can_hedge,
    get_hedge_delay,
)

from .steering_makers import make_balancer, make_endpoint, make_query

SECONDS = st.floats(0.001, 20.0)


@given(SECONDS, st.floats(-20.0, 20.0))
def test_first_send_gets_the_time_that_it_usually_takes(expected, left):
    assert expected < get_hedge_delay(expected, left) <= max(0.02, 2.5 * expected)


@pytest.mark.parametrize(
    ("expected", "left", "delay"),
    [
        (0.2, 0.65, 0.41),  # the last moment at which the second keeps 0.65 s
        (0.2, 9.0, 0.5),  # long before the objective
        (0.2, 0.3, 0.28),  # the objective is lost; the answer can still be sooner
        (0.001, 1.0, 0.02),
    ],
)
def test_second_send_waits_as_long_as_it_can(expected, left, delay):
    assert get_hedge_delay(expected, left) == pytest.approx(delay)


def choose(in_flight_target_id, may_use_untried_target, ids="tu"):
    catalog, balancer = make_balancer(*map(make_endpoint, ids))
    selection_request = make_query(attempted_ids=(in_flight_target_id,))
    selection_request = replace(
        selection_request,
        in_flight_target_id=in_flight_target_id,
        may_use_untried_target=may_use_untried_target,
    )
    return balancer.choose(selection_request, 0.0)


def test_second_send_may_go_to_the_same_target():
    selection = choose("t", may_use_untried_target=False)
    assert isinstance(selection, Selection)
    assert selection.target.endpoint.id == "t"


def test_second_send_avoids_a_target_that_left():
    assert choose("gone", may_use_untried_target=False) == NoTarget(
        NoTargetReason.NONE_ALLOWED, 0.5
    )


def test_second_send_is_no_load_on_busy_targets():
    catalog, balancer = make_balancer(*map(make_endpoint, "tu"))
    selection = balancer.choose(make_query(), 0.0)
    assert can_hedge(selection, 0.0)
    for target in catalog.get_targets("s"):
        for ticket in range(3):
            target.start_request(ticket, 0.0)
    assert not can_hedge(balancer.choose(make_query(), 0.0), 0.0)


def test_second_send_needs_a_free_slot():
    catalog, balancer = make_balancer(*map(make_endpoint, "tuvwx"))
    selection = balancer.choose(make_query(), 0.0)
    for ticket in range(4):
        selection.target.start_request(ticket, 0.0)
    assert not can_hedge(selection, 0.0)
