"""One slot of a target, used for one request."""

import anyio

from ..errors import UpstreamCut
from ..routing import Cancelled, Completed, Failed, Shed
from .connection import Connection
from .dispatcher import SlotRelease
from .response import NoResponse, NotSent, Response
from .step import MayHaveRun, NotRun, RanWithoutResponse
from .upstream_request import get_timeouts, get_upstream_headers

__all__ = ["TargetAttempt"]

STATUS_TIMEOUT = 0.5  # seconds


class TargetAttempt:
    """Holds a granted slot and a connection until :meth:`aclose`.

    :meth:`run` ends with either ``response`` or ``failure`` set. Whatever is not
    read to its end by then counts as cancelled.
    """

    __slots__ = (
        "_dispatcher",
        "_is_overdue",
        "_link",
        "_request",
        "_result",
        "_upstreams",
        "failure",
        "grant",
        "latency",
        "response",
        "started_at",
    )

    def __init__(self, grant, request, dispatcher, connection_pool):
        self.grant = grant
        self.response = None
        self.failure = MayHaveRun("cancelled")
        self.latency = None
        self.started_at = anyio.current_time()
        self._request = request
        self._dispatcher = dispatcher
        self._upstreams = connection_pool
        self._result = Cancelled()
        self._link = None
        self._is_overdue = False

    @property
    def target(self):
        """The target whose slot is held."""
        return self.grant.state.target

    async def run(self, prefetch_bytes):
        """Send the request and read the head and a short body.

        :param prefetch_bytes: how much of the body to read before the answer
            counts, since a cut can still be mended until then.
        """
        request = self._request
        must_be_fresh = not request.request_class.is_idempotent
        self._link = await self._upstreams.acquire(self.target, must_be_fresh)
        exchanged = await self._link.send_request(
            request.method,
            request.path,
            get_upstream_headers(request),
            request.body.iter_chunks(),
            *get_timeouts(request),
        )
        self.latency = anyio.current_time() - self.started_at
        await self._classify(exchanged, prefetch_bytes)
        if isinstance(self.failure, MayHaveRun) and self.response is None:
            # Whatever silenced this connection may have silenced the others.
            await self._upstreams.close_idle(self.target.name)
            await self._resolve()

    def record_overdue(self):
        """Note that the answer takes longer than most."""
        self._is_overdue = True
        self.grant.state.record_overdue(anyio.current_time() - self.started_at)

    def finish(self):
        """Note that the answer was read to its end."""
        self._result = Completed(self.latency)

    def fail(self):
        """Note that the answer broke off."""
        self._result = Failed()

    async def aclose(self):
        """Give back slot and connection."""
        try:
            with anyio.CancelScope(shield=True):
                await self._release_link()
        finally:
            if self._is_overdue:
                self.grant.state.clear_overdue()
            self._dispatcher.send(SlotRelease(self.grant, self._result))

    async def _classify(self, exchanged, prefetch_bytes):
        match exchanged:
            case NotSent(reason):
                self.failure, self._result = NotRun(reason), Failed()
            case NoResponse(reason):
                self.failure, self._result = MayHaveRun(reason), Failed()
            case Response(status=status):
                service = self.grant.state.service
                if status in (service.shed_status, service.drain_status):
                    await exchanged.aclose()
                    self.failure = NotRun("shed", is_shed=True)
                    self._result = Shed(status == service.drain_status)
                else:
                    await self._prefetch(exchanged, prefetch_bytes)

    async def _prefetch(self, response, prefetch_bytes):
        try:
            if prefetch_bytes:
                await response.prefetch(prefetch_bytes)
        except UpstreamCut:
            await response.aclose()
            self.failure, self._result = MayHaveRun("cut"), Failed()
            return
        self.response = response

    async def _resolve(self):
        """Ask the target whether a key ran whose answer did not come.

        Only a yes counts: after a no, the request may still arrive.
        """
        path = self.grant.state.service.status_path.encode()
        if not path or not self._request.request_class.is_at_most_once:
            return
        link = Connection(self.target.address)
        try:
            exchanged = await link.send_request(
                "GET",
                path + self._request.key.encode(),
                [],
                None,
                STATUS_TIMEOUT,
                STATUS_TIMEOUT,
            )
            if isinstance(exchanged, Response) and exchanged.status == 200:
                self.failure = RanWithoutResponse(self.failure.reason)
        finally:
            await link.aclose()

    async def _release_link(self):
        if self._link is None:
            return
        if isinstance(self._result, Completed):
            await self._upstreams.release(self.target, self._link)
        else:
            await self._link.aclose()
