"""The delay and the target of hedged attempts."""

import time
from dataclasses import replace
from functools import partial

import anyio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from turmericrudder.gateway.hedging import run_hedged
from turmericrudder.gateway.outcome import StreamingResponse
from turmericrudder.steering import (
    NoTarget,
    NoTargetReason,
    Selection,
    can_hedge,
    get_hedge_delay,
)

from .steering_makers import make_balancer, make_endpoint, make_selection_request

SECONDS = st.floats(0.001, 20.0)


@given(SECONDS, st.floats(-20.0, 20.0))
def test_hedge_delay_exceeds_the_expected_latency(expected_latency, remaining):
    assert (
        expected_latency
        < get_hedge_delay(expected_latency, remaining)
        <= max(0.02, 2.5 * expected_latency)
    )


@pytest.mark.parametrize(
    ("expected_latency", "remaining", "delay"),
    [
        (0.2, 0.65, 0.41),  # the last moment at which the hedge meets 0.65 s
        (0.2, 9.0, 0.5),  # long before the objective
        (0.2, 0.3, 0.28),  # the objective is missed; a hedge can still be sooner
        (0.001, 1.0, 0.02),
    ],
)
def test_hedge_delay_is_the_latest_that_meets_the_objective(
    expected_latency, remaining, delay
):
    assert get_hedge_delay(expected_latency, remaining) == pytest.approx(delay)


def select(in_flight_target_id, may_use_untried_target, ids="tu"):
    catalog, balancer = make_balancer(*map(make_endpoint, ids))
    selection_request = make_selection_request(attempted_ids=(in_flight_target_id,))
    selection_request = replace(
        selection_request,
        in_flight_target_id=in_flight_target_id,
        may_use_untried_target=may_use_untried_target,
    )
    return balancer.choose(selection_request, 0.0)


def test_hedge_may_go_to_the_same_target():
    selection = select("t", may_use_untried_target=False)
    assert isinstance(selection, Selection)
    assert selection.target.endpoint.id == "t"


def test_hedge_does_not_go_to_a_removed_target():
    assert select("gone", may_use_untried_target=False) == NoTarget(
        NoTargetReason.NONE_ALLOWED, 0.5
    )


def test_no_hedge_above_the_utilization_limit():
    catalog, balancer = make_balancer(*map(make_endpoint, "tu"))
    selection = balancer.choose(make_selection_request(), 0.0)
    assert can_hedge(selection, 0.0)
    for target in catalog.get_targets("s"):
        for attempt_number in range(3):
            target.start_request(attempt_number, 0.0)
    assert not can_hedge(balancer.choose(make_selection_request(), 0.0), 0.0)


def test_no_hedge_without_a_free_slot():
    catalog, balancer = make_balancer(*map(make_endpoint, "tuvwx"))
    selection = balancer.choose(make_selection_request(), 0.0)
    for attempt_number in range(4):
        selection.target.start_request(attempt_number, 0.0)
    assert not can_hedge(selection, 0.0)


class FakeConnection:
    def __init__(self):
        self.is_closed = False

    def close(self):
        self.is_closed = True


@pytest.mark.anyio
@pytest.mark.parametrize("delay", [0.0, 5.0])
async def test_streamed_response_that_arrives_with_the_timeout_is_closed(delay):
    connections = [FakeConnection(), FakeConnection()]

    async def respond(connection, scope):
        await anyio.sleep(0.01)
        scope.cancel()
        return StreamingResponse(200, [], connection)

    with anyio.CancelScope() as scope:
        first, hedge = (partial(respond, item, scope) for item in connections)
        await run_hedged(first, delay, lambda: hedge)
    assert scope.cancelled_caught
    assert connections[0].is_closed


@pytest.mark.anyio
async def test_response_due_before_the_hedge_needs_none_in_a_busy_process():
    response = StreamingResponse(200, [], None)

    async def respond():
        await anyio.sleep(0.01)
        return response

    def get_hedge():
        raise AssertionError("a hedge was asked for")

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_hold_loop, 0.005, 0.04)
        assert await run_hedged(respond, 0.02, get_hedge) is response


async def _hold_loop(start, seconds):
    await anyio.sleep(start)
    time.sleep(seconds)
