"""Send a client's request to targets until it has a final answer."""

import itertools
from functools import partial

import anyio

from ..errors import ConnectFailed, ResponseFailed
from ..events import catalogue
from ..platform import protocol
from ..steering import (
    NoTarget,
    Selection,
    SelectionRequest,
    ServerLoad,
    WindowedRetryBudget,
    can_hedge,
    get_hedge_delay,
)
from ..units import MS_PER_SECOND
from .hedging import run_hedged
from .outcome import (
    CompleteResponse,
    ConnectFailure,
    NotExecuted,
    ResponseFailure,
    StreamingResponse,
)
from .retry_state import RetryState
from .upstream_connection import HIGH_WATERMARK_BYTES

__all__ = ["Forwarder"]

SECOND_PART = 0.5  # of the allowance; second sends leave the rest to repeats


class Forwarder:
    """Chooses targets, sends, repeats what may be repeated.

    :param members: the live instances, which share the extra repeats.
    """

    __slots__ = (
        "_allowances",
        "_balancer",
        "_catalog",
        "_members",
        "_pool",
        "_settings",
        "_started",
        "_tickets",
    )

    def __init__(self, settings, catalog, balancer, connection_pool, members):
        self._settings = settings
        self._catalog = catalog
        self._balancer = balancer
        self._pool = connection_pool
        self._members = members
        self._allowances = {}
        self._started = anyio.current_time()
        self._tickets = itertools.count(1)

    async def forward(self, request):
        """Return the final response.

        It is a :class:`CompleteResponse`, :class:`StreamingResponse` or
        :class:`LocalResponse`.
        """
        state = RetryState(request)
        with anyio.move_on_at(request.expires):
            return await self._send_until_final(state)
        return state.make_timeout_response()

    async def _send_until_final(self, state):
        request = state.request
        budget = self._get_allowance(request.service)
        while True:
            now = anyio.current_time()
            selection_request = self._make_query(state)
            selection = self._balancer.choose(selection_request, now)
            match selection:
                case NoTarget(reason, retry_after):
                    return state.make_failure_response(reason.value, retry_after)
            if not state.attempted_ids:
                budget.record_request(now)
            elif state.attempt_count and not budget.try_spend(now, len(self._members)):
                return state.make_failure_response(
                    "retry_budget", selection.expected_latency
                )
            self._balancer.record_attempt(selection, selection_request, now)
            outcome = await self._send_once_or_twice(state, selection, now)
            if not state.may_retry(outcome):
                return state.make_final_response(outcome, selection.expected_latency)

    async def _send_once_or_twice(self, state, selection, now):
        """Send and return the outcome, of two sends if the first takes long."""
        request = state.request
        if not request.route.is_idempotent or request.body is None:
            return await self._send(state, selection)
        left = request.arrived_at + request.route.objective - now
        return await run_hedged(
            partial(self._send, state, selection),
            get_hedge_delay(selection.expected_latency, left),
            partial(self._get_second, state, selection),
        )

    def _get_second(self, state, first):
        """Return what sends a request again that takes long, or ``None``."""
        now = anyio.current_time()
        selection_request = self._make_query(state, first.target.endpoint.id)
        selection = self._balancer.choose(selection_request, now)
        if not isinstance(selection, Selection) or not can_hedge(selection, now):
            return None
        budget = self._get_allowance(state.request.service)
        if not budget.try_spend(now, len(self._members), SECOND_PART):
            return None
        self._balancer.record_attempt(selection, selection_request, now)
        return partial(self._send, state, selection, is_second=True)

    def _make_query(self, state, in_flight_target_id=None):
        """Return what is asked of the balancer.

        :param in_flight_target_id: id of the target that a second send may go to again.
        """
        request = state.request
        return SelectionRequest(
            service=request.service,
            route=request.route,
            affinity_key=request.affinity_key,
            arrived_at=request.arrived_at,
            expires=request.expires,
            attempted_ids=frozenset(state.attempted_ids),
            in_flight_target_id=in_flight_target_id,
            may_use_untried_target=in_flight_target_id is None
            or state.may_use_untried_target(),
        )

    async def _send(self, state, selection, is_second=False):
        """Send once and return the outcome.

        :param is_second: whether an earlier send is still without an answer.
        """
        request, target = state.request, selection.target
        state.attempted_ids.add(target.endpoint.id)
        ticket = next(self._tickets)
        target.start_request(ticket, anyio.current_time())
        connection, outcome = None, None
        try:
            must_be_fresh = not request.route.is_idempotent
            connection = await self._pool.acquire(
                target, selection.round_trip, must_be_fresh
            )
            now = anyio.current_time()
            state.record_attempt()
            _note_sent(
                request, selection, now, connection.requests_sent == 0, is_second
            )
            outcome = await self._exchange(request, target, connection, now, selection)
            if isinstance(outcome, NotExecuted):
                state.record_not_executed()
        except ConnectFailed as exc:
            target.eject(anyio.current_time())
            self._pool.close_target(target.endpoint.id)
            outcome = ConnectFailure(str(exc))
        except ResponseFailed as exc:
            target.record_failure(anyio.current_time())
            outcome = ResponseFailure(str(exc))
        finally:
            target.end_request(ticket)
            if connection is not None:
                self._settle(target, connection, outcome)
            _note_ended(request, target, outcome)
        return outcome

    async def _exchange(self, request, target, connection, began, selection):
        head = request.make_head(target.endpoint.id, began)
        body = request.body if request.body is not None else request.body_stream
        is_head = request.method == "HEAD"
        await connection.send_request(head, body, request.attempt_id, is_head)
        headers = dict(connection.headers)
        self._note_load(target, headers)
        turned_away = _get_turned_away(connection.status, headers)
        if turned_away:
            await connection.read_all(HIGH_WATERMARK_BYTES)
            now = anyio.current_time()
            if connection.status == 421:
                target.is_removed = True
            target.record_not_executed(now)
            return NotExecuted(turned_away)
        if b"content-encoding" in headers:
            raise ResponseFailed("encoded answer")
        if (
            200 <= connection.status < 300
            and protocol.RESPONSE_SIGNATURE_HEADER not in headers
        ):
            raise ResponseFailed("unsigned answer")
        body = await connection.read_all(HIGH_WATERMARK_BYTES)
        now = anyio.current_time()
        if body is None:
            return StreamingResponse(connection.status, connection.headers, connection)
        self._learn(request, target, connection, now - began, selection, now)
        return CompleteResponse(connection.status, connection.headers, body)

    def _note_load(self, target, headers):
        text = headers.get(protocol.SERVER_LOAD_HEADER)
        if text is None:
            return
        load = ServerLoad.parse(text.decode("latin-1"))
        if load is not None:
            target.record_load_report(load, anyio.current_time())

    def _learn(self, request, target, connection, seconds, selection, now):
        if connection.status >= 500:
            target.record_failure(now)
            return
        wait = max(
            0.0,
            selection.expected_latency
            - selection.expected_service_time
            - selection.round_trip,
        )
        work = max(0.0, seconds - selection.round_trip - wait) / selection.slowdown
        target.record_response(work, now)
        self._balancer.get_estimator(request.route).record(
            selection.service_time_key, work
        )

    def _settle(self, target, connection, outcome):
        match outcome:
            case CompleteResponse() | NotExecuted():
                self._pool.release(target, connection, self._get_idle_limit(target))
            case StreamingResponse():
                pass  # whoever reads the rest closes it
            case _:
                connection.close()

    def _get_idle_limit(self, target):
        """Return this instance's part of the connections that a target accepts.

        Half of them are left to connections that are in use.
        """
        profile = self._catalog.get_profile(target.endpoint.service)
        if profile is None:
            return 1
        return max(1, profile.max_connections // (2 * max(1, len(self._members))))

    def _get_allowance(self, service):
        budget = self._allowances.get(service)
        if budget is None:
            bounds = self._settings.bounds
            budget = self._allowances[service] = WindowedRetryBudget(
                bounds.retry_ratio,
                bounds.retry_extra,
                bounds.retry_window,
                self._started,
            )
        return budget


def _note_sent(request, selection, now, is_new, is_second):
    target = selection.target
    request.log_buffer.append(
        catalogue.ROUTE_SENT,
        target=target.endpoint.id,
        service=request.service,
        failure_domain=target.endpoint.failure_domain,
        entry_revision=target.revision,
        expected_ms=round(selection.expected_latency * MS_PER_SECOND, 1),
        work_ms=round(selection.expected_service_time * MS_PER_SECOND, 1),
        cost_ms=round(selection.cost * MS_PER_SECOND, 1),
        object_age=selection.service_time_key,
        occupancy=round(target.get_load(now), 1),
        load_age_ms=target.get_load_age_ms(now),
        left_ms=round((request.expires - now) * MS_PER_SECOND),
        new_connection=is_new,
        beside_first=is_second,
    )


def _note_ended(request, target, outcome):
    request.log_buffer.append(
        catalogue.ROUTE_ENDED,
        target=target.endpoint.id,
        outcome="Cancelled" if outcome is None else outcome.log_name,
        status=getattr(outcome, "status", None),
        reason=getattr(outcome, "reason", None),
    )


def _get_turned_away(status, headers):
    """Return the reason if the target says that it did not run the request."""
    if status == 421:
        return "another target has the address"
    if protocol.NOT_EXECUTED_HEADER in headers:
        return f"status {status}"
    return None
