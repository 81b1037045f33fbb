"""Run requests at targets owned here, with a second target for slow reads."""

import anyio

from ..errors import UpstreamCut
from ..events import catalogue
from ..routing import Grant, HedgeDelay, Rejection, Unused
from .dispatcher import SlotRelease
from .step import NotRun, ResponseSent, combine_results
from .target_attempt import TargetAttempt

__all__ = ["TargetForwarder"]


class TargetForwarder:
    """Claims slots, races attempts, and passes the first answer on."""

    __slots__ = (
        "_budget",
        "_delays",
        "_dispatcher",
        "_log",
        "_prefetch_bytes",
        "_upstreams",
    )

    def __init__(self, settings, dispatcher, connection_pool, budget, log):
        """Prepare.

        :param budget: bounds hedges, together with retries.
        """
        self._prefetch_bytes = settings.limits.replay_bytes
        self._dispatcher = dispatcher
        self._upstreams = connection_pool
        self._budget = budget
        self._log = log
        self._delays = {}

    async def forward(self, request, responder, wait, recorder):
        """Return how the request ended at targets owned here.

        :param wait: whether to queue for a slot.
        :raises UpstreamCut: if the answer broke off after its head.
        """
        answer = await self._dispatcher.acquire_slot(request.admission_request, wait)
        if isinstance(answer, Rejection):
            return NotRun(answer.reason.value)
        self._budget.deposit()
        attempts = [self._start(answer, request)]
        try:
            winner = await self._race(attempts, request)
            if winner.response is None:
                return _combine(attempts)
            return await self._pass_on(winner, request, responder, recorder)
        finally:
            for attempt in attempts:
                await attempt.aclose()

    async def _race(self, attempts, request):
        """Return the first attempt with an answer, or the last without."""
        delay = self._get_delay(request)
        if delay is None:
            await attempts[0].run(self._get_prefetch(request))
            return attempts[0]
        sender, receiver = anyio.create_memory_object_stream(2)
        running, ended = 1, None
        with sender, receiver:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._run_one, attempts[0], request, sender)
                ended = await _receive_within(receiver, delay)
                if ended is not None:
                    running -= 1
                else:
                    attempts[0].record_overdue()
                    if await self._add_hedge(attempts, request):
                        tasks.start_soon(self._run_one, attempts[1], request, sender)
                        running += 1
                while running and (ended is None or ended.response is None):
                    ended = await receiver.receive()
                    running -= 1
                tasks.cancel_scope.cancel()
        _note_overtaken(attempts, ended)
        return ended

    async def _run_one(self, attempt, request, sender):
        await attempt.run(self._get_prefetch(request))
        sender.send_nowait(attempt)

    async def _add_hedge(self, attempts, request):
        """Start a second attempt if a slot and the budget allow it."""
        first = attempts[0]
        answer = await self._dispatcher.acquire_slot(
            request.admission_request, False, first.grant.state
        )
        if not isinstance(answer, Grant):
            return False
        if not _is_faster(answer, first) or not self._budget.try_spend_hedge():
            self._dispatcher.send(SlotRelease(answer, Unused()))
            return False
        self._log.write(
            catalogue.ROUTE_HEDGED,
            service=request.service.name,
            slow=first.target.name,
            second=answer.state.target.name,
        )
        attempts.append(self._start(answer, request))
        return True

    def _start(self, grant, request):
        self._log.write(
            catalogue.ROUTE_TARGET,
            service=request.service.name,
            request_class=request.request_class.name,
            target=grant.state.target.name,
            home_region=request.admission_request.home_region,
            in_flight=grant.state.in_flight,
        )
        return TargetAttempt(grant, request, self._dispatcher, self._upstreams)

    async def _pass_on(self, attempt, request, responder, recorder):
        try:
            await responder.stream_response(attempt.response, recorder)
        except UpstreamCut:
            attempt.fail()
            raise
        finally:
            await attempt.response.aclose()
        attempt.finish()
        if request.request_class.is_idempotent:
            now = anyio.current_time()
            self._get_clock(request).record_latency(attempt.latency, now)
        return ResponseSent()

    def _get_prefetch(self, request):
        return 0 if request.request_class.is_long else self._prefetch_bytes

    def _get_delay(self, request):
        item = request.request_class
        can_repeat = (
            item.is_idempotent and not item.is_long and request.body.is_complete()
        )
        return self._get_clock(request).get() if can_repeat else None

    def _get_clock(self, request):
        key = (request.service.name, request.request_class.name)
        return self._delays.setdefault(key, HedgeDelay())


def _is_faster(grant, first):
    """Return whether a second target would answer sooner than one has waited.

    When all targets are slow, a second attempt is only more work.
    """
    now = anyio.current_time()
    return grant.state.get_latency(now) < now - first.started_at


def _note_overtaken(attempts, winner):
    """Note how slow the attempts were that a later one overtook."""
    now = anyio.current_time()
    for attempt in attempts[:-1]:
        if attempt is not winner and attempt.latency is None:
            attempt.grant.state.record_hedge_loss(now - attempt.started_at, now)


def _combine(attempts):
    ended = attempts[0].failure
    for attempt in attempts[1:]:
        ended = combine_results(ended, attempt.failure)
    return ended


async def _receive_within(receiver, seconds):
    with anyio.move_on_after(seconds):
        return await receiver.receive()
    return None
