"""One slot of a target, used for one request."""

import anyio

from ..errors import UpstreamCut
from ..routing import Cancelled, Completed, Failed, Shed
from .connection import Connection
from .dispatcher import GiveBack
from .exchange import Answered, NoAnswer, NotSent
from .head import get_limits, get_upstream_headers
from .step import Ran, Turned, Unknown

__all__ = ["TargetAttempt"]

STATUS_TIMEOUT = 0.5  # seconds


class TargetAttempt:
    """Holds a granted slot and a connection until :meth:`aclose`.

    :meth:`run` ends with either ``answered`` or ``ended`` set. Whatever is not
    read to its end by then counts as cancelled.
    """

    __slots__ = (
        "_dispatcher",
        "_is_overdue",
        "_link",
        "_request",
        "_result",
        "_upstreams",
        "answered",
        "began",
        "ended",
        "grant",
        "latency",
    )

    def __init__(self, grant, request, dispatcher, upstreams):
        self.grant = grant
        self.answered = None
        self.ended = Unknown("cancelled")
        self.latency = None
        self.began = anyio.current_time()
        self._request = request
        self._dispatcher = dispatcher
        self._upstreams = upstreams
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
        self._link = await self._upstreams.take(self.target, must_be_fresh)
        exchanged = await self._link.exchange(
            request.method,
            request.path,
            get_upstream_headers(request),
            request.body.iter_chunks(),
            *get_limits(request),
        )
        self.latency = anyio.current_time() - self.began
        await self._classify(exchanged, prefetch_bytes)
        if isinstance(self.ended, Unknown) and self.answered is None:
            # Whatever silenced this connection may have silenced the others.
            await self._upstreams.forget(self.target.name)
            await self._resolve()

    def record_overdue(self):
        """Note that the answer takes longer than most."""
        self._is_overdue = True
        self.grant.state.record_overdue(anyio.current_time() - self.began)

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
            self._dispatcher.tell(GiveBack(self.grant, self._result))

    async def _classify(self, exchanged, prefetch_bytes):
        match exchanged:
            case NotSent(reason):
                self.ended, self._result = Turned(reason), Failed()
            case NoAnswer(reason):
                self.ended, self._result = Unknown(reason), Failed()
            case Answered(status=status):
                service = self.grant.state.service
                if status in (service.shed_status, service.drain_status):
                    await exchanged.aclose()
                    self.ended = Turned("shed", worked=True)
                    self._result = Shed(status == service.drain_status)
                else:
                    await self._prefetch(exchanged, prefetch_bytes)

    async def _prefetch(self, answered, prefetch_bytes):
        try:
            if prefetch_bytes:
                await answered.prefetch(prefetch_bytes)
        except UpstreamCut:
            await answered.aclose()
            self.ended, self._result = Unknown("cut"), Failed()
            return
        self.answered = answered

    async def _resolve(self):
        """Ask the target whether a key ran whose answer did not come.

        Only a yes counts: after a no, the request may still arrive.
        """
        path = self.grant.state.service.status_path.encode()
        if not path or not self._request.request_class.is_at_most_once:
            return
        link = Connection(self.target.address)
        try:
            exchanged = await link.exchange(
                "GET",
                path + self._request.key.encode(),
                [],
                None,
                STATUS_TIMEOUT,
                STATUS_TIMEOUT,
            )
            if isinstance(exchanged, Answered) and exchanged.status == 200:
                self.ended = Ran(self.ended.reason)
        finally:
            await link.aclose()

    async def _release_link(self):
        if self._link is None:
            return
        if isinstance(self._result, Completed):
            await self._upstreams.release(self.target, self._link)
        else:
            await self._link.aclose()
