"""Send a client's request to targets until it has a final answer."""

import itertools
from functools import partial

import anyio

from ..errors import ConnectFailed, ResponseFailed
from ..events import catalogue
from ..platform import protocol
from ..steering import (
    Chosen,
    NoTarget,
    Query,
    RetryAllowance,
    ServerLoad,
    get_second_delay,
    has_room,
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
        allowance = self._get_allowance(request.service)
        while True:
            now = anyio.current_time()
            query = self._make_query(course)
            choice = self._balancer.choose(query, now)
            match choice:
                case NoTarget(obstacle, retry_after):
                    return course.give_up(obstacle.value, retry_after)
            if not course.tried:
                allowance.note_request(now)
            elif course.sends and not allowance.spend(now, len(self._members)):
                return course.give_up("retry_budget", choice.expected)
            self._balancer.note_sent(choice, query, now)
            outcome = await self._send_once_or_twice(course, choice, now)
            if not course.may_go_on(outcome):
                return course.finish(outcome, choice.expected)

    async def _send_once_or_twice(self, course, choice, now):
        """Send and return the outcome, of two sends if the first takes long."""
        request = course.request
        if not request.route.is_idempotent or request.body is None:
            return await self._send(course, choice)
        left = request.arrived + request.route.objective - now
        return await run_race(
            partial(self._send, course, choice),
            get_second_delay(choice.expected, left),
            partial(self._get_second, course, choice),
        )

    def _get_second(self, course, first):
        """Return what sends a request again that takes long, or ``None``."""
        now = anyio.current_time()
        query = self._make_query(course, first.record.endpoint.id)
        choice = self._balancer.choose(query, now)
        if not isinstance(choice, Chosen) or not has_room(choice, now):
            return None
        allowance = self._get_allowance(course.request.service)
        if not allowance.spend(now, len(self._members), SECOND_PART):
            return None
        self._balancer.note_sent(choice, query, now)
        return partial(self._send, course, choice, is_second=True)

    def _make_query(self, course, running=None):
        """Return what is asked of the balancer.

        :param running: id of the target that a second send may go to again.
        """
        request = course.request
        return Query(
            service=request.service,
            route=request.route,
            object_key=request.object_key,
            arrived=request.arrived,
            expires=request.expires,
            tried=frozenset(course.tried),
            running=running,
            may_spread=running is None or course.may_spread(),
        )

    async def _send(self, course, choice, is_second=False):
        """Send once and return the outcome.

        :param is_second: whether an earlier send is still without an answer.
        """
        request, record = course.request, choice.record
        course.tried.add(record.endpoint.id)
        ticket = next(self._tickets)
        record.start(ticket, anyio.current_time())
        link, outcome = None, None
        try:
            must_be_sound = not request.route.is_idempotent
            link = await self._pool.take(record, choice.round_trip, must_be_sound)
            now = anyio.current_time()
            course.note_sent()
            _note_sent(request, choice, now, link.exchanges == 0, is_second)
            outcome = await self._exchange(request, record, link, now, choice)
            if isinstance(outcome, TurnedAway):
                course.note_turned_away()
        except ConnectFailed as exc:
            record.block(anyio.current_time())
            self._pool.forget(record.endpoint.id)
            outcome = Refused(str(exc))
        except ResponseFailed as exc:
            record.note_failure(anyio.current_time())
            outcome = Broken(str(exc))
        finally:
            record.end(ticket)
            if link is not None:
                self._settle(record, link, outcome)
            _note_ended(request, record, outcome)
        return outcome

    async def _exchange(self, request, record, link, began, choice):
        head = request.make_head(record.endpoint.id, began)
        body = request.body if request.body is not None else request.stream
        is_head = request.method == "HEAD"
        await link.exchange(head, body, request.attempt_id, is_head)
        headers = dict(link.headers)
        self._note_load(record, headers)
        turned_away = _get_turned_away(link.status, headers)
        if turned_away:
            await link.read_all(HIGH_WATER)
            now = anyio.current_time()
            if link.status == 421:
                record.is_gone = True
            record.note_turned_away(now)
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
        self._learn(request, record, link, now - began, choice, now)
        return Whole(link.status, link.headers, body)

    def _note_load(self, record, headers):
        text = headers.get(protocol.SERVER_LOAD_HEADER)
        if text is None:
            return
        load = ServerLoad.parse(text.decode("latin-1"))
        if load is not None:
            record.note_load(load, anyio.current_time())

    def _learn(self, request, record, link, seconds, choice, now):
        if link.status >= 500:
            record.note_failure(now)
            return
        wait = max(0.0, choice.expected - choice.work - choice.round_trip)
        work = max(0.0, seconds - choice.round_trip - wait) / choice.slowdown
        record.note_answer(work, now)
        self._balancer.get_estimate(request.route).note(choice.work_key, work)

    def _settle(self, record, link, outcome):
        match outcome:
            case Whole() | TurnedAway():
                self._pool.release(record, link, self._get_idle_limit(record))
            case Streaming():
                pass  # whoever reads the rest closes it
            case _:
                link.close()

    def _get_idle_limit(self, record):
        """Return this instance's part of the connections that a target accepts.

        Half of them are left to connections that are in use.
        """
        profile = self._catalog.get_profile(record.endpoint.service)
        if profile is None:
            return 1
        return max(1, profile.max_connections // (2 * max(1, len(self._members))))

    def _get_allowance(self, service):
        allowance = self._allowances.get(service)
        if allowance is None:
            bounds = self._settings.bounds
            allowance = self._allowances[service] = RetryAllowance(
                bounds.retry_ratio,
                bounds.retry_extra,
                bounds.retry_window,
                self._started,
            )
        return allowance


def _note_sent(request, choice, now, is_new, is_second):
    record = choice.record
    request.trail.note(
        catalogue.ROUTE_SENT,
        target=record.endpoint.id,
        service=request.service,
        failure_domain=record.endpoint.failure_domain,
        entry_revision=record.revision,
        expected_ms=round(choice.expected * MS_PER_SECOND, 1),
        work_ms=round(choice.work * MS_PER_SECOND, 1),
        cost_ms=round(choice.cost * MS_PER_SECOND, 1),
        object_age=choice.work_key,
        occupancy=round(record.get_occupancy(now), 1),
        load_age_ms=record.get_load_age_ms(now),
        left_ms=round((request.expires - now) * MS_PER_SECOND),
        new_connection=is_new,
        beside_first=is_second,
    )


def _note_ended(request, record, outcome):
    request.trail.note(
        catalogue.ROUTE_ENDED,
        target=record.endpoint.id,
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
