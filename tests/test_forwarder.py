"""Sends of one request, against targets and connections that follow a script."""

from types import SimpleNamespace

import anyio
import pytest

from turmericrudder.errors import ConnectFailed, ResponseFailed
from turmericrudder.gateway.client_request import ClientRequest
from turmericrudder.gateway.forwarder import Forwarder
from turmericrudder.gateway.outcome import CompleteResponse, LocalResponse
from turmericrudder.steering import RequestKind

from .steering_makers import SETTINGS, make_balancer, make_endpoint, make_route

SLOW = 5.0  # seconds, more than a request has
QUICK = 0.01  # seconds
OBJECTIVE = 0.1  # seconds
ROUTE = make_route(timeout=0.6, objective=OBJECTIVE, max_attempts=1)
SIGNED = [(b"x-response-signature", b"1")]


class ScriptedLink:
    """Answers after a while with a status; broken and late as the script says."""

    requests_sent = 0

    def __init__(self, step):
        self.seconds, self.status = step
        self.headers = SIGNED
        self.is_closed = False

    async def send_request(self, head, body, attempt_id, is_head):
        await anyio.sleep(self.seconds)
        if self.status is None:
            raise ResponseFailed("closed")
        if self.status == 503:
            self.headers = [(b"x-not-executed", b"1")]

    async def read_all(self, limit):
        return b"answer"

    def close(self):
        self.is_closed = True


class ScriptedPool:
    """Hands out connections that act by a script, one step each."""

    def __init__(self, *steps):
        self.steps = list(steps)
        self.links = []
        self.targets = []

    async def acquire(self, target, round_trip, must_be_fresh):
        step = self.steps.pop(0)
        self.targets.append(target.endpoint.id)
        if step == "refused":
            raise ConnectFailed("refused")
        if step == "dialling":
            await anyio.sleep(SLOW)
        self.links.append(ScriptedLink(step))
        return self.links[-1]

    def release(self, target, connection, most):
        pass

    def close_target(self, target_id):
        pass


class CountedBudget:
    """Counts requests and repeats, and allows as many as are left."""

    def __init__(self, left):
        self.requests = self.repeats = 0
        self._left = left

    def record_request(self, now):
        self.requests += 1

    def try_spend(self, now, instances, max_fraction=1.0):
        self.repeats += 1
        return self.repeats <= self._left


async def forward(pool, *, targets=("t",), route=ROUTE, budget=None):
    """Return the answer to a request."""
    catalog, balancer = make_balancer(*map(make_endpoint, targets))
    forwarder = Forwarder(SETTINGS, catalog, balancer, pool, ["here"])
    forwarder._retry_budgets["s"] = budget or CountedBudget(9)
    now = anyio.current_time()
    expires = now + route.timeout
    log_buffer = SimpleNamespace(append=lambda *_, **__: None)
    request = ClientRequest(
        "GET", b"/", [], b"id", None, route, "s", now, expires, expires, log_buffer
    )
    return await forwarder.forward(request)


@pytest.mark.anyio
async def test_second_send_answers_where_the_first_is_stuck():
    pool = ScriptedPool((SLOW, 200), (QUICK, 200))
    began = anyio.current_time()
    assert await forward(pool) == CompleteResponse(200, SIGNED, b"answer")
    assert anyio.current_time() - began < 0.3
    assert pool.targets == ["t", "t"]
    assert pool.links[0].is_closed


@pytest.mark.anyio
async def test_quick_answer_needs_no_second_send():
    pool = ScriptedPool((QUICK, 200))
    assert await forward(pool) == CompleteResponse(200, SIGNED, b"answer")


@pytest.mark.anyio
async def test_request_that_must_not_repeat_is_sent_once():
    pool = ScriptedPool((SLOW, 200), (QUICK, 200))
    route = make_route(
        timeout=0.4, objective=OBJECTIVE, kind=RequestKind.NON_IDEMPOTENT
    )
    answer = await forward(pool, route=route, targets=("t", "u"))
    assert answer == LocalResponse(504, "timeout")
    assert len(pool.targets) == 1


@pytest.mark.anyio
async def test_second_send_stays_at_the_target_if_only_one_is_allowed():
    pool = ScriptedPool((SLOW, 200), (QUICK, 200))
    await forward(pool, targets=("t", "u", "v"))
    assert len(pool.targets) == 2
    assert len(set(pool.targets)) == 1


@pytest.mark.anyio
async def test_turned_away_second_send_leaves_the_first():
    pool = ScriptedPool((0.2, 200), (QUICK, 503))
    assert await forward(pool) == CompleteResponse(200, SIGNED, b"answer")
    assert len(pool.targets) == 2


@pytest.mark.anyio
async def test_request_is_never_called_not_run_if_one_of_two_sends_may_have_run():
    pool = ScriptedPool((0.2, None), (QUICK, 503))
    answer = await forward(pool)
    assert isinstance(answer, LocalResponse)
    assert answer.status == 502


@pytest.mark.anyio
async def test_both_sends_turned_away_is_no_run():
    pool = ScriptedPool((0.2, 503), (QUICK, 503))
    answer = await forward(pool)
    assert isinstance(answer, LocalResponse)
    assert answer.status == 503
    assert len(pool.targets) == 2


@pytest.mark.anyio
async def test_no_second_send_without_allowance():
    pool = ScriptedPool((0.2, 200), (QUICK, 200))
    answer = await forward(pool, budget=CountedBudget(0))
    assert isinstance(answer, CompleteResponse)
    assert len(pool.targets) == 1


@pytest.mark.anyio
async def test_targets_dialled_in_vain_are_no_requests_and_no_repeats():
    pool = ScriptedPool("refused", "refused", (QUICK, 200))
    budget = CountedBudget(9)
    answer = await forward(pool, targets=("t", "u", "v"), budget=budget)
    assert isinstance(answer, CompleteResponse)
    assert (budget.requests, budget.repeats) == (1, 0)


@pytest.mark.anyio
async def test_second_send_stays_at_a_target_that_is_still_dialled():
    pool = ScriptedPool("dialling", (QUICK, 200))
    assert isinstance(
        await forward(pool, targets="abcdefghijklmnopqrst"), CompleteResponse
    )
    assert len(pool.targets) == 2
    assert len(set(pool.targets)) == 1
