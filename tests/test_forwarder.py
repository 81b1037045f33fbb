"""Attempts and hedges of one request, with a scripted connection pool."""

import math
from types import SimpleNamespace

import anyio
import pytest

from turmericrudder.cancellation import RequestCancelled
from turmericrudder.errors import ConnectFailed, ResponseFailed
from turmericrudder.gateway.client_request import ClientRequest
from turmericrudder.gateway.crash_monitor import CrashMonitor
from turmericrudder.gateway.forwarder import Forwarder
from turmericrudder.gateway.health_monitor import HealthMonitor
from turmericrudder.gateway.outcome import CompleteResponse, LocalResponse
from turmericrudder.gateway.retry_state import MIN_RETRY_AFTER
from turmericrudder.steering import CrashLedger, LoadCollector, RequestKind

from .steering_makers import SETTINGS, make_balancer, make_endpoint, make_route

SLOW = 5.0  # seconds, longer than the route timeout
FAST = 0.01  # seconds
OBJECTIVE = 0.1  # seconds
ROUTE = make_route(timeout=0.6, objective=OBJECTIVE, max_attempts=1)
WRITE_ROUTE = make_route(
    timeout=0.6, objective=OBJECTIVE, max_attempts=2, kind=RequestKind.NON_IDEMPOTENT
)
SIGNED = [(b"x-response-signature", b"1")]


class ScriptedConnection:
    """A connection to a target with a scripted response.

    A step of the script is a pair: delay in seconds and status. With status ``None``,
    the request fails as if the target had closed the connection. With 503, the
    response has the header for requests that were not executed.
    """

    requests_sent = 0
    opened_at = 0.0
    is_lost = False

    def __init__(self, step, limit=None):
        self.delay, self.status = step
        self.headers = SIGNED
        if limit is not None:
            self.headers = [*SIGNED, (b"server-limit", limit)]
        self.is_closed = self.is_sent = False

    async def send_request(self, head, body, attempt_id, is_head):
        self.is_sent = True
        await anyio.sleep(self.delay)
        if self.status is None:
            raise ResponseFailed("closed")
        if self.status == 503:
            self.headers = [(b"x-not-executed", b"1")]

    async def read_all(self, max_bytes):
        return b"answer"

    def close(self):
        self.is_closed = True


class ScriptedPool:
    """A connection pool that returns one connection for each step of a script.

    A step is a pair as for :class:`ScriptedConnection`, or ``"refused"`` or
    ``"connecting"`` for a connection that is refused or not established in time.

    :param limits: what the responses name as the target's limit, in order.
    """

    def __init__(self, *steps, limits=()):
        self.steps = list(steps)
        self._limits = list(limits)
        self.connections = []
        self.targets = []

    async def acquire(self, target, round_trip, must_be_fresh):
        step = self.steps.pop(0)
        self.targets.append(target.endpoint.id)
        if step == "refused":
            raise ConnectFailed("refused")
        if step == "connecting":
            await anyio.sleep(SLOW)
        limit = self._limits.pop(0) if self._limits else None
        self.connections.append(ScriptedConnection(step, limit))
        return self.connections[-1]

    def release(self, target, connection, max_idle):
        pass

    def close_idle(self, target_id):
        pass


class CountingBudget:
    """Counts requests and retries, and allows a number of retries and hedges."""

    def __init__(self, remaining):
        self.requests = self.retries = 0
        self._remaining = remaining

    def record_request(self, now):
        self.requests += 1

    def try_spend(self, now, instances, max_fraction=1.0):
        self.retries += 1
        return self.retries <= self._remaining


def make_forwarder(pool, targets=("t",), budget=None):
    """Return a catalog of targets and a :class:`Forwarder` that uses them."""
    catalog, balancer = make_balancer(*map(make_endpoint, targets))
    log = SimpleNamespace(write=lambda *_, **__: None)
    forwarder = Forwarder(
        SETTINGS,
        catalog,
        balancer,
        pool,
        ["here"],
        LoadCollector(),
        CrashMonitor(SimpleNamespace(crash_ledger=CrashLedger()), None, log),
        HealthMonitor(catalog, log),
        log,
    )
    forwarder._retry_budgets["s"] = budget or CountingBudget(9)
    return catalog, forwarder


async def forward(pool, *, targets=("t",), route=ROUTE, budget=None, left_after=None):
    """Return the final response to a request.

    :param left_after: seconds after which its client disconnects.
    """
    _, forwarder = make_forwarder(pool, targets, budget)
    return await send_request(forwarder, route, left_after)


async def send_request(forwarder, route=ROUTE, left_after=None):
    """Return the final response of a forwarder to a request."""
    now = anyio.current_time()
    expires = now + route.timeout
    log_buffer = SimpleNamespace(append=lambda *_, **__: None)
    request = ClientRequest(
        "GET", b"/", [], b"id", None, route, "s", now, expires, expires, log_buffer
    )
    if left_after is not None:
        request.is_disconnected = lambda: anyio.current_time() >= now + left_after
    return await forwarder.forward(request)


@pytest.mark.anyio
async def test_hedge_responds_while_the_first_attempt_is_stuck():
    pool = ScriptedPool((SLOW, 200), (FAST, 200))
    began = anyio.current_time()
    assert await forward(pool) == CompleteResponse(200, SIGNED, b"answer")
    assert anyio.current_time() - began < 0.3
    assert pool.targets == ["t", "t"]
    assert pool.connections[0].is_closed


@pytest.mark.anyio
async def test_no_hedge_after_a_fast_response():
    pool = ScriptedPool((FAST, 200))
    assert await forward(pool) == CompleteResponse(200, SIGNED, b"answer")


@pytest.mark.anyio
async def test_non_idempotent_request_is_not_hedged():
    pool = ScriptedPool((SLOW, 200), (FAST, 200))
    route = make_route(
        timeout=0.4, objective=OBJECTIVE, kind=RequestKind.NON_IDEMPOTENT
    )
    response = await forward(pool, route=route, targets=("t", "u"))
    assert response == LocalResponse(504, "timeout")
    assert len(pool.targets) == 1


@pytest.mark.anyio
async def test_hedge_stays_at_the_target_if_max_attempts_is_one():
    pool = ScriptedPool((SLOW, 200), (FAST, 200))
    await forward(pool, targets=("t", "u", "v"))
    assert len(pool.targets) == 2
    assert len(set(pool.targets)) == 1


@pytest.mark.anyio
async def test_rejected_hedge_does_not_cancel_the_first_attempt():
    pool = ScriptedPool((0.2, 200), (FAST, 503))
    assert await forward(pool) == CompleteResponse(200, SIGNED, b"answer")
    assert len(pool.targets) == 2


@pytest.mark.anyio
async def test_status_is_not_503_if_one_of_two_attempts_may_have_executed():
    pool = ScriptedPool((0.2, None), (FAST, 503))
    response = await forward(pool)
    assert isinstance(response, LocalResponse)
    assert response.status == 502


@pytest.mark.anyio
async def test_status_is_503_if_both_attempts_were_not_executed():
    pool = ScriptedPool((0.2, 503), (FAST, 503))
    response = await forward(pool)
    assert isinstance(response, LocalResponse)
    assert response.status == 503
    assert len(pool.targets) == 2


@pytest.mark.anyio
async def test_no_hedge_without_retry_budget():
    pool = ScriptedPool((0.2, 200), (FAST, 200))
    response = await forward(pool, budget=CountingBudget(0))
    assert isinstance(response, CompleteResponse)
    assert len(pool.targets) == 1


@pytest.mark.anyio
async def test_failed_connections_do_not_count_in_the_retry_budget():
    pool = ScriptedPool("refused", "refused", (FAST, 200))
    budget = CountingBudget(9)
    response = await forward(pool, targets=("t", "u", "v"), budget=budget)
    assert isinstance(response, CompleteResponse)
    assert (budget.requests, budget.retries) == (1, 0)


@pytest.mark.anyio
async def test_hedge_stays_at_a_target_that_is_still_being_connected_to():
    pool = ScriptedPool("connecting", (FAST, 200))
    assert isinstance(
        await forward(pool, targets="abcdefghijklmnopqrst"), CompleteResponse
    )
    assert len(pool.targets) == 2
    assert len(set(pool.targets)) == 1


class SlowPool(ScriptedPool):
    """A connection pool whose connections take ``2 * FAST`` seconds to open."""

    async def acquire(self, target, round_trip, must_be_fresh):
        await anyio.sleep(2 * FAST)
        return await super().acquire(target, round_trip, must_be_fresh)


@pytest.mark.anyio
@pytest.mark.parametrize(
    "pool", [SlowPool((FAST, 200)), ScriptedPool((2 * FAST, 503), (FAST, 200))]
)
async def test_nothing_is_sent_after_the_client_has_left(pool):
    """The client leaves while a connection is opened, and before a retry."""
    with pytest.raises(RequestCancelled):
        await forward(pool, targets="tu", route=WRITE_ROUTE, left_after=FAST)
    assert [c for c in pool.connections if c.is_sent and c.status == 200] == []


@pytest.mark.anyio
async def test_request_that_is_not_idempotent_runs_on_after_the_client_has_left():
    pool = ScriptedPool((4 * FAST, 200))
    response = await forward(pool, route=WRITE_ROUTE, left_after=FAST)
    assert isinstance(response, CompleteResponse)


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("texts", "limit"),
    [
        ((b"100",), 100.0),
        ((b"100", None), None),
        ((b"100", b"many", b"-1", b"nan"), 100.0),
        ((b"many",), None),
    ],
)
async def test_malformed_limit_does_not_lift_the_one_in_force(texts, limit):
    pool = ScriptedPool(*[(FAST, 200) for _ in texts], limits=texts)
    catalog, forwarder = make_forwarder(pool)
    for _ in texts:
        await send_request(forwarder)
        await anyio.sleep(0.02)  # until the limit allows one more
    assert not pool.steps
    assert catalog.get_target("t").rate_limiter.limit == limit


@pytest.mark.anyio
async def test_no_attempt_starts_that_would_be_cut_at_the_end_of_a_shutdown():
    pool = ScriptedPool((FAST, 503), (FAST, 200))
    _, forwarder = make_forwarder(pool, targets=("t", "u"))
    forwarder.stops_at = anyio.current_time() + FAST
    response = await send_request(forwarder, WRITE_ROUTE)
    assert (response.status, pool.targets) == (503, [])
    forwarder.stops_at = math.inf
    assert (await send_request(forwarder, WRITE_ROUTE)).status == 200


@pytest.mark.anyio
async def test_request_rejected_for_a_shutdown_may_be_sent_to_others_at_once():
    _, forwarder = make_forwarder(ScriptedPool())
    forwarder.stops_at = anyio.current_time() + FAST
    response = await send_request(forwarder, make_route(timeout=9.0, objective=4.0))
    assert response == LocalResponse(503, "stopping", MIN_RETRY_AFTER)
    # Its own deadline would be missed by all.
    forwarder.stops_at = anyio.current_time() + 2 * FAST
    response = await send_request(forwarder, make_route(timeout=FAST, objective=4.0))
    assert (response.status, response.reason) == (503, "too_late")
