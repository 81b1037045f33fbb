"""When a request that takes long is sent a second time, and where to."""

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from turmericrudder.steering import (
    Chosen,
    NoTarget,
    Obstacle,
    get_second_delay,
    has_room,
)

from .steering_makers import make_balancer, make_endpoint, make_query

SECONDS = st.floats(0.001, 20.0)


@given(SECONDS, st.floats(-20.0, 20.0))
def test_first_send_gets_the_time_that_it_usually_takes(expected, left):
    assert expected < get_second_delay(expected, left) <= max(0.02, 2.5 * expected)


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
    assert get_second_delay(expected, left) == pytest.approx(delay)


def choose(running, may_spread, ids="tu"):
    catalog, balancer = make_balancer(*map(make_endpoint, ids))
    query = make_query(tried=(running,))
    query = replace(query, running=running, may_spread=may_spread)
    return balancer.choose(query, 0.0)


def test_second_send_may_go_to_the_same_target():
    choice = choose("t", may_spread=False)
    assert isinstance(choice, Chosen)
    assert choice.record.endpoint.id == "t"


def test_second_send_avoids_a_target_that_left():
    assert choose("gone", may_spread=False) == NoTarget(Obstacle.NONE_ALLOWED, 0.5)


def test_second_send_is_no_load_on_busy_targets():
    catalog, balancer = make_balancer(*map(make_endpoint, "tu"))
    choice = balancer.choose(make_query(), 0.0)
    assert has_room(choice, 0.0)
    for record in catalog.get_records("s"):
        for ticket in range(3):
            record.start(ticket, 0.0)
    assert not has_room(balancer.choose(make_query(), 0.0), 0.0)


def test_second_send_needs_a_free_slot():
    catalog, balancer = make_balancer(*map(make_endpoint, "tuvwx"))
    choice = balancer.choose(make_query(), 0.0)
    for ticket in range(4):
        choice.record.start(ticket, 0.0)
    assert not has_room(choice, 0.0)
