"""Forwarding of requests to owned targets, with hedging of slow ones."""

import anyio

from ..errors import UpstreamCut
from ..events import catalogue
from ..routing import Grant, HedgeDelay, Rejection, Unused
from .dispatcher import SlotRelease
from .step import NotRun, ResponseSent, combine_results
from .target_attempt import TargetAttempt

__all__ = ["TargetForwarder"]


class TargetForwarder:
    """Acquires a slot, runs one attempt or two, and writes the first response.

    A second attempt at another target, the hedge, is added if the first one
    takes longer than most requests of its class.
    """

    __slots__ = (
        "_connection_pool",
        "_dispatcher",
        "_hedge_delays",
        "_log",
        "_prefetch_bytes",
        "_retry_budget",
    )

    def __init__(self, settings, dispatcher, connection_pool, retry_budget, log):
        """Prepare without any latencies.

        :param dispatcher: the :class:`Dispatcher` that grants slots.
        :param connection_pool: the :class:`TargetConnectionPool`.
        :param retry_budget: bounds retries and hedges together.
        """
        self._prefetch_bytes = settings.limits.replay_bytes
        self._dispatcher = dispatcher
        self._connection_pool = connection_pool
        self._retry_budget = retry_budget
        self._log = log
        self._hedge_delays = {}

    async def forward(self, request, responder, may_queue, recorder):
        """Run a request at a target of this instance and write its response.

        :param may_queue: whether to wait in the queue if no slot is free.
        :param recorder: :class:`ResponseRecorder` that gets a copy, or ``None``.
        :returns: :class:`ResponseSent`, or if there is no response,
            :class:`RanWithoutResponse`, :class:`NotRun` or :class:`MayHaveRun`.
        :raises UpstreamCut: if the response is truncated after its head was written.
        """
        decision = await self._dispatcher.acquire_slot(
            request.admission_request, may_queue
        )
        if isinstance(decision, Rejection):
            return NotRun(decision.reason.value)
        self._retry_budget.record_request()
        attempts = [self._start_attempt(decision, request)]
        try:
            winner = await self._run_attempts(attempts, request)
            if winner.response is None:
                return _combine_failures(attempts)
            return await self._stream_response(winner, request, responder, recorder)
        finally:
            for attempt in attempts:
                await attempt.aclose()

    async def _run_attempts(self, attempts, request):
        """Run the first attempt, and if it is slow, append a hedge and run it too.

        :returns: the attempt that got a response first; the other one is then
            cancelled. If none got a response, the one that ended last.
        """
        delay = self._get_delay_seconds(request)
        if delay is None:
            await attempts[0].run(self._get_prefetch_limit(request))
            return attempts[0]
        sender, receiver = anyio.create_memory_object_stream(2)
        pending_count, finished = 1, None
        with sender, receiver:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._run_attempt, attempts[0], request, sender)
                finished = await _receive_within(receiver, delay)
                if finished is not None:
                    pending_count -= 1
                else:
                    attempts[0].record_overdue()
                    if await self._add_hedge(attempts, request):
                        tasks.start_soon(
                            self._run_attempt, attempts[1], request, sender
                        )
                        pending_count += 1
                while pending_count and (finished is None or finished.response is None):
                    finished = await receiver.receive()
                    pending_count -= 1
                tasks.cancel_scope.cancel()
        _record_hedge_losses(attempts, finished)
        return finished

    async def _run_attempt(self, attempt, request, sender):
        await attempt.run(self._get_prefetch_limit(request))
        sender.send_nowait(attempt)

    async def _add_hedge(self, attempts, request):
        """Append a hedge to ``attempts`` if slots and budget allow one.

        :returns: whether a hedge was appended.
        """
        first = attempts[0]
        decision = await self._dispatcher.acquire_slot(
            request.admission_request, False, first.grant.state
        )
        if not isinstance(decision, Grant):
            return False
        if not _is_faster(decision, first) or not self._retry_budget.try_spend_hedge():
            self._dispatcher.send(SlotRelease(decision, Unused()))
            return False
        self._log.write(
            catalogue.ROUTE_HEDGED,
            service=request.service.name,
            slow=first.target.name,
            second=decision.state.target.name,
        )
        attempts.append(self._start_attempt(decision, request))
        return True

    def _start_attempt(self, grant, request):
        self._log.write(
            catalogue.ROUTE_TARGET,
            service=request.service.name,
            request_class=request.request_class.name,
            target=grant.state.target.name,
            home_region=request.admission_request.home_region,
            in_flight=grant.state.in_flight,
        )
        return TargetAttempt(grant, request, self._dispatcher, self._connection_pool)

    async def _stream_response(self, attempt, request, responder, recorder):
        try:
            await responder.stream_response(attempt.response, recorder)
        except UpstreamCut:
            attempt.mark_truncated()
            raise
        finally:
            await attempt.response.aclose()
        attempt.mark_complete()
        if request.request_class.is_idempotent:
            now = anyio.current_time()
            self._get_hedge_delay(request).record_latency(attempt.latency, now)
        return ResponseSent()

    def _get_prefetch_limit(self, request):
        return 0 if request.request_class.is_long else self._prefetch_bytes

    def _get_delay_seconds(self, request):
        request_class = request.request_class
        can_hedge = (
            request_class.is_idempotent
            and not request_class.is_long
            and request.body.is_complete()
        )
        return self._get_hedge_delay(request).get_delay() if can_hedge else None

    def _get_hedge_delay(self, request):
        key = (request.service.name, request.request_class.name)
        return self._hedge_delays.setdefault(key, HedgeDelay())


def _is_faster(grant, first):
    """Return whether a hedge should take less time than the first attempt has taken.

    When all targets are slow, a hedge only adds load.

    :param grant: slot for the hedge.
    :param first: the first attempt.
    """
    now = anyio.current_time()
    return grant.state.get_latency(now) < now - first.started_at


def _record_hedge_losses(attempts, winner):
    """Record attempts that were cancelled because a hedge got a response first."""
    now = anyio.current_time()
    for attempt in attempts[:-1]:
        if attempt is not winner and attempt.latency is None:
            attempt.grant.state.record_hedge_loss(now - attempt.started_at, now)


def _combine_failures(attempts):
    combined = attempts[0].failure
    for attempt in attempts[1:]:
        combined = combine_results(combined, attempt.failure)
    return combined


async def _receive_within(receiver, seconds):
    with anyio.move_on_after(seconds):
        return await receiver.receive()
    return None
