"""One attempt to run a request at a target."""

import secrets

import anyio

from ..errors import UpstreamCut
from ..headers import get_header
from ..routing import Cancelled, Completed, Failed, Shed
from .connection import Connection
from .dispatcher import SlotRelease
from .headers import ATTEMPT_HEADER
from .response import NoResponse, NotSent, Response
from .step import MayHaveRun, NotRun, RanWithoutResponse
from .upstream_request import get_timeouts, get_upstream_headers

__all__ = ["TargetAttempt"]

ATTEMPT_ID_BYTES = 8
STATUS_TIMEOUT = 0.5  # seconds to wait for the status of an operation key


class TargetAttempt:
    """Holds a granted slot and a connection until :meth:`aclose`.

    An attempt counts as cancelled unless :meth:`run` finds that it failed, or
    the reader of the response calls :meth:`mark_complete` or
    :meth:`mark_truncated`.

    :ivar grant: the granted slot.
    :ivar response: the :class:`Response`, ``None`` if there is none.
    :ivar failure: without a response, what is known about whether the request
        ran: :class:`NotRun`, :class:`MayHaveRun` or :class:`RanWithoutResponse`.
    :ivar latency: seconds from the start until the head of the response arrived
        or the attempt failed, ``None`` before.
    :ivar started_at: monotonic time of the start in seconds.
    """

    __slots__ = (
        "_attempt_id",
        "_connection",
        "_connection_pool",
        "_dispatcher",
        "_is_overdue",
        "_request",
        "_slot_result",
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
        self._attempt_id = secrets.token_hex(ATTEMPT_ID_BYTES).encode()
        self._request = request
        self._dispatcher = dispatcher
        self._connection_pool = connection_pool
        self._slot_result = Cancelled()
        self._connection = None
        self._is_overdue = False

    @property
    def target(self):
        """The target at which the request is attempted."""
        return self.grant.state.target

    async def run(self, prefetch_bytes):
        """Send the request and read the head and the start of the body.

        Sets ``response`` or ``failure``.

        :param prefetch_bytes: bytes of the body to read. If the response is
            truncated within them, the attempt fails and can still be retried.
        """
        request = self._request
        must_be_fresh = not request.request_class.is_idempotent
        self._connection = await self._connection_pool.acquire(
            self.target, must_be_fresh
        )
        send_result = await self._connection.send_request(
            request.method,
            request.path,
            [*get_upstream_headers(request), (ATTEMPT_HEADER, self._attempt_id)],
            request.body.iter_chunks(),
            *get_timeouts(request),
        )
        self.latency = anyio.current_time() - self.started_at
        await self._classify(send_result, prefetch_bytes)
        if isinstance(self.failure, MayHaveRun) and self.response is None:
            # The other connections to the target may be broken as well.
            await self._connection_pool.close_idle(self.target.name)
            await self._check_status()

    def record_overdue(self):
        """Record that the attempt takes longer than most requests of its class."""
        self._is_overdue = True
        self.grant.state.record_overdue(anyio.current_time() - self.started_at)

    def mark_complete(self):
        """Record that the response was read to its end."""
        self._slot_result = Completed(self.latency)

    def mark_truncated(self):
        """Record that the response was truncated."""
        self._slot_result = Failed()

    async def aclose(self):
        """Release the slot, and keep or close the connection."""
        try:
            with anyio.CancelScope(shield=True):
                await self._release_connection()
        finally:
            if self._is_overdue:
                self.grant.state.clear_overdue()
            self._dispatcher.send(SlotRelease(self.grant, self._slot_result))

    async def _classify(self, send_result, prefetch_bytes):
        match send_result:
            case NotSent(reason):
                self.failure, self._slot_result = NotRun(reason), Failed()
            case NoResponse(reason):
                self.failure, self._slot_result = MayHaveRun(reason), Failed()
            case Response(headers=headers) if self._is_crossed(headers):
                await send_result.aclose()
                self.failure, self._slot_result = MayHaveRun("crossed"), Failed()
            case Response(status=status):
                service = self.grant.state.service
                if status in (service.shed_status, service.drain_status):
                    await send_result.aclose()
                    self.failure = NotRun("shed", is_shed=True)
                    self._slot_result = Shed(status == service.drain_status)
                else:
                    send_result.expect_no_other(ATTEMPT_HEADER)
                    await self._prefetch_body(send_result, prefetch_bytes)

    def _is_crossed(self, headers):
        """Return whether a response says that it belongs to another attempt."""
        returned_id = get_header(headers, ATTEMPT_HEADER)
        return returned_id is not None and returned_id != self._attempt_id

    async def _prefetch_body(self, response, prefetch_bytes):
        try:
            if prefetch_bytes:
                await response.prefetch(prefetch_bytes)
        except UpstreamCut:
            await response.aclose()
            self.failure, self._slot_result = MayHaveRun("cut"), Failed()
            return
        self.response = response

    async def _check_status(self):
        """Ask the target whether it ran an operation whose response is missing.

        Only a positive response counts. After a negative one, the request may
        still reach the target.
        """
        path = self.grant.state.service.status_path.encode()
        if not path or not self._request.request_class.is_at_most_once:
            return
        connection = Connection(self.target.address)
        try:
            send_result = await connection.send_request(
                "GET",
                path + self._request.key.encode(),
                [],
                None,
                STATUS_TIMEOUT,
                STATUS_TIMEOUT,
            )
            if isinstance(send_result, Response) and send_result.status == 200:
                self.failure = RanWithoutResponse(self.failure.reason)
        finally:
            await connection.aclose()

    async def _release_connection(self):
        if self._connection is None:
            return
        if isinstance(self._slot_result, Completed):
            await self._connection_pool.release(self.target, self._connection)
        else:
            await self._connection.aclose()
