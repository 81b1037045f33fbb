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
from .course import Course
from .outcome import Broken, Refused, Streaming, TurnedAway, Whole
from .race import run_race
from .upstream_link import HIGH_WATER

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

    def __init__(self, settings, catalog, balancer, pool, members):
        self._settings = settings
        self._catalog = catalog
        self._balancer = balancer
        self._pool = pool
        self._members = members
        self._allowances = {}
        self._started = anyio.current_time()
        self._tickets = itertools.count(1)

    async def forward(self, request):
        """Return :class:`Whole`, :class:`Streaming` or :class:`Refusal`."""
        course = Course(request)
        with anyio.move_on_at(request.expires):
            return await self._send_until_final(course)
        return course.time_out()

    async def _send_until_final(self, course):
        request = course.request
        budget = self._get_allowance(request.service)
        while True:
            now = anyio.current_time()
            selection_request = self._make_query(course)
            selection = self._balancer.choose(selection_request, now)
            match selection:
                case NoTarget(reason, retry_after):
                    return course.give_up(reason.value, retry_after)
            if not course.tried:
                budget.record_request(now)
            elif course.sends and not budget.try_spend(now, len(self._members)):
                return course.give_up("retry_budget", selection.expected_latency)
            self._balancer.record_attempt(selection, selection_request, now)
            outcome = await self._send_once_or_twice(course, selection, now)
            if not course.may_go_on(outcome):
                return course.finish(outcome, selection.expected_latency)

    async def _send_once_or_twice(self, course, selection, now):
        """Send and return the outcome, of two sends if the first takes long."""
        request = course.request
        if not request.route.is_idempotent or request.body is None:
            return await self._send(course, selection)
        left = request.arrived_at + request.route.objective - now
        return await run_race(
            partial(self._send, course, selection),
            get_hedge_delay(selection.expected_latency, left),
            partial(self._get_second, course, selection),
        )

    def _get_second(self, course, first):
        """Return what sends a request again that takes long, or ``None``."""
        now = anyio.current_time()
        selection_request = self._make_query(course, first.target.endpoint.id)
        selection = self._balancer.choose(selection_request, now)
        if not isinstance(selection, Selection) or not can_hedge(selection, now):
            return None
        budget = self._get_allowance(course.request.service)
        if not budget.try_spend(now, len(self._members), SECOND_PART):
            return None
        self._balancer.record_attempt(selection, selection_request, now)
        return partial(self._send, course, selection, is_second=True)

    def _make_query(self, course, in_flight_target_id=None):
        """Return what is asked of the balancer.

        :param in_flight_target_id: id of the target that a second send may go to again.
        """
        request = course.request
        return SelectionRequest(
            service=request.service,
            route=request.route,
            affinity_key=request.affinity_key,
            arrived_at=request.arrived_at,
            expires=request.expires,
            attempted_ids=frozenset(course.tried),
            in_flight_target_id=in_flight_target_id,
            may_use_untried_target=in_flight_target_id is None
            or course.may_use_untried_target(),
        )

    async def _send(self, course, selection, is_second=False):
        """Send once and return the outcome.

        :param is_second: whether an earlier send is still without an answer.
        """
        request, target = course.request, selection.target
        course.tried.add(target.endpoint.id)
        ticket = next(self._tickets)
        target.start_request(ticket, anyio.current_time())
        link, outcome = None, None
        try:
            must_be_sound = not request.route.is_idempotent
            link = await self._pool.take(target, selection.round_trip, must_be_sound)
            now = anyio.current_time()
            course.record_attempt()
            _note_sent(request, selection, now, link.exchanges == 0, is_second)
            outcome = await self._exchange(request, target, link, now, selection)
            if isinstance(outcome, TurnedAway):
                course.record_not_executed()
        except ConnectFailed as exc:
            target.eject(anyio.current_time())
            self._pool.forget(target.endpoint.id)
            outcome = Refused(str(exc))
        except ResponseFailed as exc:
            target.record_failure(anyio.current_time())
            outcome = Broken(str(exc))
        finally:
            target.end_request(ticket)
            if link is not None:
                self._settle(target, link, outcome)
            _note_ended(request, target, outcome)
        return outcome

    async def _exchange(self, request, target, link, began, selection):
        head = request.make_head(target.endpoint.id, began)
        body = request.body if request.body is not None else request.stream
        is_head = request.method == "HEAD"
        await link.exchange(head, body, request.attempt_id, is_head)
        headers = dict(link.headers)
        self._note_load(target, headers)
        turned_away = _get_turned_away(link.status, headers)
        if turned_away:
            await link.read_all(HIGH_WATER)
            now = anyio.current_time()
            if link.status == 421:
                target.is_removed = True
            target.record_not_executed(now)
            return TurnedAway(turned_away)
        if b"content-encoding" in headers:
            raise ResponseFailed("encoded answer")
        if (
            200 <= link.status < 300
            and protocol.RESPONSE_SIGNATURE_HEADER not in headers
        ):
            raise ResponseFailed("unsigned answer")
        body = await link.read_all(HIGH_WATER)
        now = anyio.current_time()
        if body is None:
            return Streaming(link.status, link.headers, link)
        self._learn(request, target, link, now - began, selection, now)
        return Whole(link.status, link.headers, body)

    def _note_load(self, target, headers):
        text = headers.get(protocol.SERVER_LOAD_HEADER)
        if text is None:
            return
        load = ServerLoad.parse(text.decode("latin-1"))
        if load is not None:
            target.record_load_report(load, anyio.current_time())

    def _learn(self, request, target, link, seconds, selection, now):
        if link.status >= 500:
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

    def _settle(self, target, link, outcome):
        match outcome:
            case Whole() | TurnedAway():
                self._pool.release(target, link, self._get_idle_limit(target))
            case Streaming():
                pass  # whoever reads the rest closes it
            case _:
                link.close()

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
    request.trail.note(
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
    request.trail.note(
        catalogue.ROUTE_ENDED,
        target=target.endpoint.id,
        outcome="Cancelled" if outcome is None else type(outcome).__name__,
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
