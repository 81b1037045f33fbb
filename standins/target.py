"""A target as the platform's pages describe it, for tests of the gateway."""

import anyio
import msgspec

from turmericrudder.platform import protocol

from .serving import answer, cancel_when_gone, cut, read_body

__all__ = ["TargetApplication"]


class TargetFault(msgspec.Struct):
    """What goes wrong now.

    :param shed: turns every request away.
    :param lose_answers: that many requests run and their connection is cut.
    :param status: of the answers.
    :param unsigned: answers carry no signature.
    """

    shed: bool = False
    lose_answers: int = 0
    status: int = 200
    unsigned: bool = False


class TargetApplication:
    """One target; ``runs`` lists the attempt ids that it ran.

    :param work: seconds a request takes.
    """

    def __init__(self, target_id, slots=4, work=0.01):
        self.target_id = target_id
        self.slots = slots
        self.work = work
        self.fault = TargetFault()
        self.runs = []
        self.cancelled = 0
        self.deadlines = []
        self.running = 0
        self.most_running = 0

    async def __call__(self, scope, receive, send):
        """Handle one HTTP request."""
        headers = dict(scope["headers"])
        attempt_id = headers.get(protocol.ATTEMPT_ID_HEADER, b"")
        body = await read_body(receive)
        if headers.get(protocol.EXPECTED_INSTANCE_HEADER) != self.target_id.encode():
            await answer(send, 421, b"", self._get_headers(attempt_id))
            return
        if self.fault.shed:
            shed = [
                (protocol.NOT_EXECUTED_HEADER, b"1"),
                *self._get_headers(attempt_id),
            ]
            await answer(send, 503, b"", shed)
            return
        self.runs.append(attempt_id.decode())
        self.deadlines.append(int(headers[protocol.DEADLINE_HEADER]))
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        try:
            finished = await self._work(receive)
        finally:
            self.running -= 1
        if not finished:
            self.cancelled += 1
            return
        if self.fault.lose_answers:
            self.fault.lose_answers -= 1
            cut(send)
            return
        content = b"%s %s %d" % (scope["raw_path"], attempt_id, len(body))
        own = self._get_headers(attempt_id)
        if not self.fault.unsigned:
            own.append((protocol.RESPONSE_SIGNATURE_HEADER, b"signed"))
        await answer(send, self.fault.status, content, own)

    async def _work(self, receive):
        """Return whether the request ended before its client left."""
        finished = False
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(cancel_when_gone, receive, tasks.cancel_scope)
            await anyio.sleep(self.work)
            finished = True
            tasks.cancel_scope.cancel()
        return finished

    def _get_headers(self, attempt_id):
        load = b"%d,0,%d" % (self.running, self.slots)
        return [
            (protocol.ATTEMPT_ID_HEADER, attempt_id),
            (protocol.INSTANCE_ID_HEADER, self.target_id.encode()),
            (protocol.SERVER_LOAD_HEADER, load),
        ]
