"""Stand-in of a target that speaks the platform's protocol."""

import random

import anyio
import msgspec

from turmericrudder.platform import protocol

from .asgi import (
    abort_connection,
    cancel_on_disconnect,
    parse_query,
    read_body,
    send_response,
)
from .body import BodyFault, Framing, make_body, send_body

__all__ = ["TargetApplication"]

HEALTH_PATH = "/health"


class TargetFault(msgspec.Struct):
    """Faults of a target.

    :param shed: every request is rejected with 503 and the not-executed header.
    :param lose_answers: number of next requests that are executed and whose
        connection is then closed without a response.
    :param status: status of the responses.
    :param unsigned: responses have no signature header.
    :param limit: requests per second that the responses name as the most that the
        target takes from all instances together, ``None`` for no limit.
    :param leaving: responses say that the target leaves.
    :param pause: what responses of ``shed`` name as the time until the next request,
        or ``None``.
    :param load: load report in the responses in place of the true one, or ``None``.
    """

    shed: bool = False
    lose_answers: int = 0
    status: int = 200
    unsigned: bool = False
    limit: float | None = None
    load: str | None = None
    leaving: bool = False
    pause: str | None = None


class TargetApplication:
    """One target, as an ASGI application.

    The query of a request may ask for a body of ``size`` bytes and for its
    ``framing``.

    :param service_time: seconds that a request takes.
    :param seed: seed of the random part of its faults.
    :ivar fault: the :class:`TargetFault` in force.
    :ivar body_fault: the :class:`~.body.BodyFault` in force.
    :ivar runs: attempt ids of the requests that it began to execute, in order.
    :ivar cancelled: number of requests whose client disconnected before their end.
    :ivar deadlines: deadline header of each request in ``runs``, in milliseconds.
    """

    def __init__(self, target_id, slots=4, service_time=0.01, seed=0):
        self.target_id = target_id
        self.slots = slots
        self.service_time = service_time
        self.fault = TargetFault()
        self.body_fault = BodyFault()
        self.runs = []
        self.cancelled = 0
        self.deadlines = []
        self.in_flight = 0
        self.max_in_flight = 0
        self._random = random.Random(f"{seed} {target_id}")

    async def __call__(self, scope, receive, send):
        """Handle one HTTP request."""
        headers = dict(scope["headers"])
        attempt_id = headers.get(protocol.ATTEMPT_ID_HEADER, b"")
        body = await read_body(receive)
        if scope["path"] == HEALTH_PATH:
            await send_response(send, 200, b"", self._make_headers(attempt_id))
            return
        if headers.get(protocol.EXPECTED_INSTANCE_HEADER) != self.target_id.encode():
            await send_response(send, 421, b"", self._make_headers(attempt_id))
            return
        if self.fault.shed:
            response_headers = [
                (protocol.NOT_EXECUTED_HEADER, b"1"),
                *self._make_headers(attempt_id),
            ]
            if self.fault.pause is not None:
                pause = self.fault.pause.encode()
                response_headers.append((protocol.RETRY_AFTER_HEADER, pause))
            await send_response(send, 503, b"", response_headers)
            return
        self.runs.append(attempt_id.decode())
        self.deadlines.append(int(headers[protocol.DEADLINE_HEADER]))
        self.in_flight += 1
        self.max_in_flight = max(self.max_in_flight, self.in_flight)
        try:
            is_complete = await self._process(receive)
        finally:
            self.in_flight -= 1
        if not is_complete:
            self.cancelled += 1
            return
        if self.fault.lose_answers:
            self.fault.lose_answers -= 1
            abort_connection(send)
            return
        query = parse_query(scope)
        size = int(query.get("size", self.body_fault.size))
        framing = Framing(query.get("framing", self.body_fault.framing))
        content = make_body(scope["raw_path"], attempt_id, len(body), size)
        response_headers = self._make_headers(attempt_id)
        if not self.fault.unsigned:
            response_headers.append((protocol.RESPONSE_SIGNATURE_HEADER, b"signed"))
        head = (self.fault.status, response_headers)
        await send_body(
            receive, send, head, content, framing, self.body_fault, self._random
        )

    async def _process(self, receive):
        """Return whether the request was processed before its client disconnected."""
        is_complete = False
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(cancel_on_disconnect, receive, tasks.cancel_scope)
            await anyio.sleep(self.service_time)
            is_complete = True
            tasks.cancel_scope.cancel()
        return is_complete

    def _make_headers(self, attempt_id):
        load = self.fault.load or f"{self.in_flight},0,{self.slots}"
        headers = [
            (protocol.ATTEMPT_ID_HEADER, attempt_id),
            (protocol.INSTANCE_ID_HEADER, self.target_id.encode()),
            (protocol.SERVER_LOAD_HEADER, load.encode()),
        ]
        if self.fault.limit is not None:
            headers.append((protocol.SERVER_LIMIT_HEADER, b"%g" % self.fault.limit))
        if self.fault.leaving:
            headers.append((protocol.SERVER_LEAVING_HEADER, b"1"))
        return headers
