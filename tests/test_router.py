"""Tests of the router: results of several attempts, and the bound on retries."""

import random
from types import SimpleNamespace

import anyio
import pytest

from turmericrudder.configuration import RequestClass
from turmericrudder.events import EventLog
from turmericrudder.forwarding import (
    MayHaveRun,
    NotRun,
    RanWithoutResponse,
    ResponseSent,
    Router,
)
from turmericrudder.routing import AdmissionRequest, RetryBudget

READ = RequestClass("read", "GET", "*", False, True, False, 9.0, 9.0, 9.0)
WRITE = RequestClass("write", "PUT", "*", False, False, False, 9.0, 9.0, 9.0)


class ScriptedForwarder:
    """Stands in for the target forwarder; returns the given results in turn.

    After the last one, each further attempt is rejected as not run.
    """

    def __init__(self, *results):
        self.results = list(results)
        self.attempts = 0

    async def forward(self, request, responder, may_queue, recorder):
        self.attempts += 1
        return self.results.pop(0) if self.results else NotRun("full")


async def route(request_class, *results, deposits=5):
    """Route a request; return (result, number of attempts).

    :param results: results of the attempts.
    :param deposits: number of earlier requests counted by the retry budget.
    """
    budget = RetryBudget(2.0, 10)
    for _ in range(deposits):
        budget.record_request()
    forwarder = ScriptedForwarder(*results)
    allocator = SimpleNamespace(get_states=lambda service: [object()])
    router = Router(
        None, allocator, forwarder, None, None, budget, EventLog(), random.Random(1)
    )
    request = SimpleNamespace(
        service=SimpleNamespace(name="reads"),
        request_class=request_class,
        admission_request=AdmissionRequest(
            "reads", "gulf", False, anyio.current_time() + 9
        ),
        expires=anyio.current_time() + 9,
        body=SimpleNamespace(is_replayable=lambda: True),
    )
    return await router.route(request, None), forwarder.attempts


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("request_class", "results", "expected"),
    [
        (READ, [ResponseSent()], ResponseSent()),
        (READ, [NotRun("full"), ResponseSent()], ResponseSent()),
        (READ, [MayHaveRun("cut"), ResponseSent()], ResponseSent()),
        (READ, [MayHaveRun("cut"), NotRun("full"), NotRun("full")], MayHaveRun("cut")),
        (READ, [NotRun("shed", is_shed=True), ResponseSent()], ResponseSent()),
        (WRITE, [MayHaveRun("cut"), ResponseSent()], MayHaveRun("cut")),
        (WRITE, [RanWithoutResponse("cut"), ResponseSent()], RanWithoutResponse("cut")),
        (WRITE, [NotRun("full"), NotRun("waited")], NotRun("waited")),
    ],
)
async def test_results_of_attempts_combine(request_class, results, expected):
    """A request that may have run must not be reported as not run later on."""
    result, _ = await route(request_class, *results)
    assert result == expected


@pytest.mark.anyio
async def test_retries_stop_when_the_budget_is_spent():
    """Without the bound, failing targets would receive ever more attempts."""
    results = [MayHaveRun("cut")] * 9
    assert await route(READ, *results, deposits=0) == (MayHaveRun("cut"), 2)
    assert await route(READ, *results, deposits=5) == (MayHaveRun("cut"), 3)
