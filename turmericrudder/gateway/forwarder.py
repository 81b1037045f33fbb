"""Forwarding of a client's request to targets, with retries and hedged attempts."""

import itertools
import math
from functools import partial

import anyio

from ..cancellation import RequestCancelled
from ..errors import ConnectFailed, ResponseFailed
from ..platform import protocol
from ..steering import (
    NoTarget,
    NoTargetReason,
    Selection,
    SelectionRequest,
    WindowedRetryBudget,
    can_hedge,
    get_hedge_delay,
)
from .attempt_log import log_attempt_ended, log_attempt_started
from .hedging import run_hedged
from .outcome import (
    CompleteResponse,
    ConnectFailure,
    NotAdmitted,
    NotExecuted,
    ResponseFailure,
    StreamingResponse,
)
from .request_scopes import RequestScopes
from .response_observer import ResponseObserver
from .retry_state import MIN_RETRY_AFTER, RetryState
from .upstream_connection import HIGH_WATERMARK_BYTES

__all__ = ["Forwarder"]

# No hedge is sent if more than this fraction of the retry budget would be in use
# afterwards. The rest is left to retries.
HEDGE_BUDGET_FRACTION = 0.5
# Fraction of the objective for which a request waits for the first response of any
# target that could take it. The rest suffices for the request, or for a client's retry.
TRIAL_WAIT_FRACTION = 0.125
# Seconds after which a client may send a blocked request again. It is blocked for
# minutes after the last target has ended under it.
BLOCKED_RETRY_AFTER = 60.0
BLOCKED_REASON = "ends_targets"


class Forwarder:
    """Forwards requests to targets and retries or hedges them where that is safe.

    :param members: the live instances, which share the retry budget's fixed extra.
    :param load_collector: a :class:`~turmericrudder.steering.LoadCollector` for the
        targets' load reports.
    :param crash_monitor: a :class:`~.crash_monitor.CrashMonitor`.
    :param health_monitor: the :class:`~.health_monitor.HealthMonitor` that the balancer
        asks.
    :param log: for the events of targets; those of a request are in its buffer.
    :ivar scopes: :class:`RequestScopes` of the requests in flight.
    :ivar stops_at: monotonic time from which this instance may cancel them; no attempt
        starts whose response is expected later.
    """

    __slots__ = (
        "_attempt_numbers",
        "_balancer",
        "_catalog",
        "_connection_pool",
        "_crash_monitor",
        "_health_monitor",
        "_members",
        "_response_observer",
        "_retry_budgets",
        "_settings",
        "_started_at",
        "_trial_ended",
        "scopes",
        "stops_at",
    )

    def __init__(
        self,
        settings,
        catalog,
        balancer,
        connection_pool,
        members,
        load_collector,
        crash_monitor,
        health_monitor,
        log,
    ):
        self._settings = settings
        self._catalog = catalog
        self._balancer = balancer
        self._connection_pool = connection_pool
        self._members = members
        self._crash_monitor = crash_monitor
        self._health_monitor = health_monitor
        self._response_observer = ResponseObserver(
            catalog, balancer, load_collector, log
        )
        self._retry_budgets = {}
        self._started_at = anyio.current_time()
        self._attempt_numbers = itertools.count(1)
        self._trial_ended = anyio.Event()
        self.scopes = RequestScopes()
        self.stops_at = math.inf

    async def forward(self, request):
        """Return the final response to a request.

        Attempts still in flight at ``request.expires``, or when this instance stops,
        are cancelled.

        :returns: a :class:`CompleteResponse`, :class:`StreamingResponse` or
            :class:`LocalResponse`.
        """
        state = RetryState(request)
        if self._crash_monitor.is_blocked(request):
            return state.make_failure_response(BLOCKED_REASON, BLOCKED_RETRY_AFTER)
        with self.scopes.open(request.expires):
            return await self._run_attempts(state)
        return state.make_timeout_response()

    async def _run_attempts(self, state):
        request = state.request
        budget = self._get_retry_budget(request.service)
        while True:
            _raise_if_disconnected(request)
            now = anyio.current_time()
            selection_request = self._make_selection_request(state)
            selection = self._balancer.choose(selection_request, now)
            match selection:
                case NoTarget(NoTargetReason.TOO_LATE) if (
                    self.stops_at < request.expires
                ):
                    # Other instances still have time for it.
                    return state.make_failure_response("stopping", MIN_RETRY_AFTER)
                case NoTarget(NoTargetReason.ALL_COLD) if await state.wait_once(
                    self._health_monitor.wait_for_check
                ):
                    continue  # a target may have said that it is warm
                case NoTarget(NoTargetReason.ALL_UNTRIED) if (
                    not state.has_waited_for_trials
                ):
                    await self._wait_for_trial(state)
                    continue
                case NoTarget(reason, retry_after):
                    return state.make_failure_response(reason.value, retry_after)
            if not state.attempted_ids:
                budget.record_request(now)
            elif state.attempt_count and not budget.try_spend(now, len(self._members)):
                return state.make_failure_response(
                    "retry_budget", selection.expected_latency
                )
            run_attempt = self._begin_attempt(state, selection, selection_request, now)
            try:
                outcome = await self._run_with_hedge(state, selection, run_attempt, now)
            finally:
                state.end_begun_attempts()
            may_retry = state.may_retry(outcome)
            if not (may_retry and self._crash_monitor.may_retry(request)):
                return state.make_final_response(outcome, selection.expected_latency)

    async def _wait_for_trial(self, state):
        """Wait until an attempt at an untried target has ended, for a limited time."""
        request = state.request
        until = request.arrived_at + TRIAL_WAIT_FRACTION * request.route.objective
        with anyio.move_on_at(until) as scope:
            await self._trial_ended.wait()
        state.has_waited_for_trials = scope.cancelled_caught

    def _end_trial(self, target, outcome):
        """Record whether a target has responded for the first time.

        :param outcome: ``None`` if the attempt was cancelled.
        """
        if isinstance(outcome, CompleteResponse | StreamingResponse):
            target.record_valid_response(anyio.current_time())
        self._trial_ended.set()
        self._trial_ended = anyio.Event()

    def _begin_attempt(self, state, selection, selection_request, now, is_hedge=False):
        """Count an attempt and return a coroutine function that runs it.

        It counts as in flight at once: many requests may be selected for before the
        first of their tasks runs.
        """
        self._balancer.record_attempt(selection, selection_request, now)
        attempt_number = next(self._attempt_numbers)
        selection.target.start_request(attempt_number, now)
        state.begun_attempts.append((selection.target, attempt_number))
        return partial(self._run_attempt, state, selection, attempt_number, is_hedge)

    async def _run_with_hedge(self, state, selection, run_attempt, now):
        """Run an attempt, and a hedge if it is slow; return the better outcome."""
        request = state.request
        if not request.route.is_idempotent or request.body is None:
            return await run_attempt()
        until_objective = request.arrived_at + request.route.objective - now
        return await run_hedged(
            run_attempt,
            get_hedge_delay(selection.expected_latency, until_objective),
            partial(self._make_hedge, state, selection),
        )

    def _make_hedge(self, state, first):
        """Return a coroutine function that runs a hedged attempt, or ``None``.

        :param first: the :class:`~turmericrudder.steering.Selection` of the attempt
            in flight.
        """
        if self._crash_monitor.get_depth(state.request):
            return None
        now = anyio.current_time()
        selection_request = self._make_selection_request(
            state, first.target.endpoint.id
        )
        selection = self._balancer.choose(selection_request, now)
        if not isinstance(selection, Selection) or not can_hedge(selection, now):
            return None
        budget = self._get_retry_budget(state.request.service)
        if not budget.try_spend(now, len(self._members), HEDGE_BUDGET_FRACTION):
            return None
        return self._begin_attempt(
            state, selection, selection_request, now, is_hedge=True
        )

    def _make_selection_request(self, state, in_flight_target_id=None):
        """Return the :class:`~turmericrudder.steering.SelectionRequest` of an attempt.

        :param in_flight_target_id: for a hedge, id of the target that has the first
            attempt and may be chosen again; else ``None``.
        """
        request = state.request
        return SelectionRequest(
            service=request.service,
            route=request.route,
            affinity_key=request.affinity_key,
            arrived_at=request.arrived_at,
            expires=min(request.expires, self.stops_at),
            attempted_ids=frozenset(state.attempted_ids),
            in_flight_target_id=in_flight_target_id,
            may_use_untried_target=in_flight_target_id is None
            or state.may_use_untried_target(),
            has_waited_for_trials=state.has_waited_for_trials,
        )

    async def _run_attempt(self, state, selection, attempt_number, is_hedge):
        """Run one attempt and return its outcome.

        :param attempt_number: by which the target counts it as in flight.
        :param is_hedge: whether an earlier attempt is still in flight.
        """
        request, target = state.request, selection.target
        is_trial = not target.has_responded
        state.attempted_ids.add(target.endpoint.id)
        connection, outcome = None, None
        try:
            must_be_fresh = not request.route.is_idempotent
            connection = await self._connection_pool.acquire(
                target, selection.round_trip, must_be_fresh
            )
            _raise_if_disconnected(request)
            now = anyio.current_time()
            if not self._balancer.admit(target, now):
                outcome = NotAdmitted("the target takes no more requests now")
                return outcome
            # Attempts that were just lost may not have been examined yet.
            known_depth = max(
                self._crash_monitor.get_depth(request), state.lost_attempt_count
            )
            state.record_attempt()
            log_attempt_started(
                request, selection, now, connection.requests_sent == 0, is_hedge
            )
            outcome = await self._send_and_receive(
                request, target, connection, now, selection
            )
            if isinstance(outcome, NotExecuted):
                state.record_not_executed()
        except ConnectFailed as exc:
            now = anyio.current_time()
            target.eject(now)
            target.cold.doubt(now)
            self._connection_pool.close_idle(target.endpoint.id)
            outcome = ConnectFailure(str(exc))
        except ResponseFailed as exc:
            now = anyio.current_time()
            target.record_failure(now)
            outcome = ResponseFailure(str(exc))
            if not target.has_responded:
                target.record_failed_trial(now)
            if connection.is_lost:
                target.cold.doubt(now)
                state.lost_attempt_count += 1
                self._crash_monitor.record_lost_attempt(request, target, known_depth)
        finally:
            target.end_request(attempt_number)
            if is_trial:
                self._end_trial(target, outcome)
            if connection is not None:
                self._release_connection(target, connection, outcome)
            log_attempt_ended(request, target, outcome)
        return outcome

    async def _send_and_receive(self, request, target, connection, sent_at, selection):
        """Send a request and return the outcome of the attempt.

        :raises ResponseFailed: if the response is missing or invalid; the request may
            have been executed.
        """
        head = request.make_head(target.endpoint.id, sent_at)
        body = request.body if request.body is not None else request.body_stream
        is_head = request.method == "HEAD"
        await connection.send_request(head, body, request.attempt_id, is_head)
        headers = dict(connection.headers)
        self._response_observer.record_head(target, connection, headers)
        not_executed_reason = _get_not_executed_reason(connection.status, headers)
        if not_executed_reason:
            await connection.read_all(HIGH_WATERMARK_BYTES)
            now = anyio.current_time()
            if connection.status == 421:
                target.is_removed = True
            target.record_not_executed(now)
            return NotExecuted(not_executed_reason)
        if b"content-encoding" in headers:
            raise ResponseFailed("response has a content-encoding")
        if (
            200 <= connection.status < 300
            and protocol.RESPONSE_SIGNATURE_HEADER not in headers
        ):
            raise ResponseFailed("unsigned 2xx response")
        body = await connection.read_all(HIGH_WATERMARK_BYTES)
        now = anyio.current_time()
        self._crash_monitor.record_response(request)
        if body is None:
            return StreamingResponse(connection.status, connection.headers, connection)
        self._response_observer.record_complete(
            request.route, selection, connection.status, now - sent_at, now
        )
        return CompleteResponse(connection.status, connection.headers, body)

    def _release_connection(self, target, connection, outcome):
        match outcome:
            case CompleteResponse() | NotExecuted() | NotAdmitted():
                self._connection_pool.release(
                    target, connection, self._get_idle_limit(target)
                )
            case StreamingResponse():
                pass  # closed by the reader of the rest of the body
            case _:
                connection.close()

    def _get_idle_limit(self, target):
        """Return how many idle connections to a target this instance may keep.

        Instances share the target's ``max_connections`` equally, and half of each
        share is left to connections in use.
        """
        profile = self._catalog.get_profile(target.endpoint.service)
        if profile is None:
            return 1
        return max(1, profile.max_connections // (2 * max(1, len(self._members))))

    def _get_retry_budget(self, service):
        budget = self._retry_budgets.get(service)
        if budget is None:
            bounds = self._settings.bounds
            budget = self._retry_budgets[service] = WindowedRetryBudget(
                bounds.retry_ratio,
                bounds.retry_extra,
                bounds.retry_window,
                self._started_at,
            )
        return budget


def _raise_if_disconnected(request):
    if request.is_disconnected():
        raise RequestCancelled("client disconnected")


def _get_not_executed_reason(status, headers):
    """Return a reason if the response says that the request was not executed.

    Otherwise return ``None``.
    """
    if status == 421:
        return "status 421: the address belongs to another target"
    if protocol.NOT_EXECUTED_HEADER in headers:
        return f"not executed: status {status}"
    return None
