"""How the ends of several tries of one request combine."""

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


class Script:
    """Ends each try as the script says; stands for the target runner."""

    def __init__(self, *ends):
        self.ends = list(ends)
        self.tries = 0

    async def forward(self, request, responder, wait, recorder):
        self.tries += 1
        return self.ends.pop(0) if self.ends else NotRun("full")


async def route(request_class, *ends, saved=5):
    """Return (end, number of tries) of a request under a script."""
    budget = RetryBudget(2.0, 10)
    for _ in range(saved):
        budget.deposit()
    script = Script(*ends)
    allocator = SimpleNamespace(get_states=lambda service: [object()])
    router = Router(
        None, allocator, script, None, None, budget, EventLog(), random.Random(1)
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
    return await router.route(request, None), script.tries


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("request_class", "ends", "expected"),
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
async def test_ends_combine(request_class, ends, expected):
    ended, _ = await route(request_class, *ends)
    assert ended == expected


@pytest.mark.anyio
async def test_retries_stop_with_the_budget():
    ends = [MayHaveRun("cut")] * 9
    assert await route(READ, *ends, saved=0) == (MayHaveRun("cut"), 2)
    assert await route(READ, *ends, saved=5) == (MayHaveRun("cut"), 3)
