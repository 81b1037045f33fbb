"""The task that owns the target pool; others talk to it by messages."""

import math
from dataclasses import dataclass, field

import anyio

from ..events import catalogue
from ..routing import (
    AdmissionRequest,
    Cancelled,
    Failed,
    Grant,
    QueuedRequest,
    Rejection,
)

__all__ = [
    "Dispatcher",
    "OwnedTargetsUpdate",
    "PredecessorInFlight",
    "SlotRelease",
    "SlotRequest",
    "TargetLoadUpdate",
]

MAX_QUEUED_MESSAGES = 100_000


class _Reply:
    """The answer to a claim; may be abandoned by a cancelled claimant."""

    __slots__ = ("abandoned", "event", "value")

    def __init__(self):
        self.event = anyio.Event()
        self.value = None
        self.abandoned = False


@dataclass(frozen=True, slots=True)
class SlotRequest:
    """Asks for a slot; ``wait`` allows to queue for it.

    :param excluded: state of a target whose slots are of no use, or ``None``.
    """

    admission_request: AdmissionRequest
    wait: bool
    excluded: object = None
    reply: _Reply = field(default_factory=_Reply)


@dataclass(frozen=True, slots=True)
class SlotRelease:
    """Returns a slot with how the request ended."""

    grant: Grant
    result: object


@dataclass(frozen=True, slots=True)
class OwnedTargetsUpdate:
    """Tells which targets are owned from now on."""

    configuration: object
    owned: dict
    predecessors: frozenset


@dataclass(frozen=True, slots=True)
class PredecessorInFlight:
    """A predecessor's word: {target name: requests it still runs}."""

    in_flight: dict


@dataclass(frozen=True, slots=True)
class TargetLoadUpdate:
    """A load report of a target."""

    target: str
    in_flight: int
    draining: bool


class Dispatcher:
    """Grants slots one message at a time."""

    __slots__ = ("_log", "_receiver", "_sender", "allocator", "on_release")

    def __init__(self, allocator, log):
        self.allocator = allocator
        self._log = log
        self._sender, self._receiver = anyio.create_memory_object_stream(
            MAX_QUEUED_MESSAGES
        )
        self.on_release = None

    def send(self, message):
        """Send a message that wants no answer; never waits."""
        self._sender.send_nowait(message)

    async def acquire_slot(self, request, wait, excluded=None):
        """Return a :class:`Grant` or a :class:`Rejection`."""
        slot_request = SlotRequest(request, wait, excluded)
        self._sender.send_nowait(slot_request)
        try:
            await slot_request.reply.event.wait()
        except BaseException:
            slot_request.reply.abandoned = True
            if isinstance(slot_request.reply.value, Grant):
                self.send(SlotRelease(slot_request.reply.value, Cancelled()))
            raise
        return slot_request.reply.value

    async def run(self):
        """Serve messages until cancelled."""
        while True:
            message = await self._receive()
            now = anyio.current_time()
            if message is not None:
                self._handle(message, now)
            for reply, answer in self.allocator.serve_queue(now):
                self._answer(reply, answer)

    async def _receive(self):
        expiry = self.allocator.get_next_queue_deadline()
        wait = math.inf if expiry is None else max(0, expiry - anyio.current_time())
        try:
            return self._receiver.receive_nowait()
        except anyio.WouldBlock:
            pass
        with anyio.move_on_after(wait):
            return await self._receiver.receive()
        return None

    def _handle(self, message, now):
        match message:
            case SlotRequest():
                self._claim(message, now)
            case SlotRelease(grant, result):
                self._give_back(grant, result, now)
                self._tell_released(grant.state.target.name)
            case OwnedTargetsUpdate(configuration, owned, predecessors):
                self._set_owned(configuration, owned, predecessors, now)
            case PredecessorInFlight(in_flight):
                self._take_over(in_flight, now)
            case TargetLoadUpdate(target, in_flight, draining):
                self._report(target, in_flight, draining, now)

    def _give_back(self, grant, result, now):
        was_ejected = grant.state.is_ejected(now)
        self.allocator.release(grant, result, now)
        if isinstance(result, Failed) and grant.state.is_ejected(now) > was_ejected:
            target = grant.state.target.name
            self._log.write(catalogue.TARGET_EJECTED, target=target)

    def _claim(self, slot_request, now):
        request, reply = slot_request.admission_request, slot_request.reply
        if reply.abandoned:
            return
        answer = self.allocator.acquire(request, now, slot_request.excluded)
        can_wait = slot_request.wait and self.allocator.get_states(request.service)
        if isinstance(answer, Rejection) and can_wait:
            answer = self.allocator.enqueue(request, reply, now)
        if not isinstance(answer, QueuedRequest):
            self._answer(reply, answer)

    def _answer(self, reply, answer):
        if not reply.abandoned:
            reply.value = answer
            reply.event.set()
        elif isinstance(answer, Grant):
            self.send(SlotRelease(answer, Cancelled()))

    def _set_owned(self, configuration, owned, predecessors, now):
        taken, released = self.allocator.set_owned_targets(
            configuration, owned, predecessors, now
        )
        for name in taken:
            self._log.write(catalogue.TARGET_OWNED, target=name, adopted=owned[name])
        for name in released:
            self._log.write(catalogue.TARGET_RELEASED, target=name)
            self._tell_released(name)

    def _take_over(self, in_flight, now):
        for name, count in in_flight.items():
            state = self.allocator.get_state(name)
            if state is not None:
                state.takeover.record_predecessor_load(count, now)

    def _report(self, target, in_flight, draining, now):
        state = self.allocator.get_state(target)
        if state is None:
            return
        if draining != state.is_reported_draining:
            event = catalogue.TARGET_DRAINING if draining else catalogue.TARGET_RETURNED
            self._log.write(event, target=target)
        state.record_load_report(in_flight, draining, now)

    def _tell_released(self, target_name):
        if self.on_release is not None:
            self.on_release(target_name)
