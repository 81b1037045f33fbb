"""Dispatcher of the slots of owned targets, and the messages it handles.

Slots are granted and released by the dispatcher's task alone. Other tasks send
it messages, which it handles one at a time.
"""

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
    """The reply to a :class:`SlotRequest`.

    :ivar event: set once ``value`` is there.
    :ivar value: a :class:`Grant` or a :class:`Rejection`.
    :ivar is_abandoned: whether the requesting task was cancelled and no longer
        waits for the reply.
    """

    __slots__ = ("event", "is_abandoned", "value")

    def __init__(self):
        self.event = anyio.Event()
        self.value = None
        self.is_abandoned = False


@dataclass(frozen=True, slots=True)
class SlotRequest:
    """Requests a slot.

    :param may_queue: whether to wait in the queue if no slot is free.
    :param excluded: state of a target whose slots must not be granted, or
        ``None``.
    """

    admission_request: AdmissionRequest
    may_queue: bool
    excluded: object = None
    reply: _Reply = field(default_factory=_Reply)


@dataclass(frozen=True, slots=True)
class SlotRelease:
    """Releases a slot.

    :param result: how the request ended, one of the classes in
        :mod:`turmericrudder.routing.request_result`.
    """

    grant: Grant
    result: object


@dataclass(frozen=True, slots=True)
class OwnedTargetsUpdate:
    """Sets the targets that this instance owns from now on.

    :param configuration: the configuration in force.
    :param owned: {target name: whether it is adopted}. An adopted target may
        still have an owner in its own failure domain that this instance cannot
        reach.
    :param predecessors: names of all targets, whoever owns them now, whose previous
        owner is another instance that is still reachable.
    """

    configuration: object
    owned: dict
    predecessors: frozenset


@dataclass(frozen=True, slots=True)
class PredecessorInFlight:
    """Reports the requests that the previous owner of targets has in flight.

    :param in_flight: {target name: number of requests}.
    """

    in_flight: dict


@dataclass(frozen=True, slots=True)
class TargetLoadUpdate:
    """A load report that was read from a target.

    :param target: name of the target.
    :param in_flight: requests that the target reports as in flight.
    :param draining: whether the target reports that it takes no new requests.
    """

    target: str
    in_flight: int
    draining: bool


class Dispatcher:
    """Grants and releases slots, and logs changes of the owned targets.

    :ivar allocator: the :class:`~turmericrudder.routing.SlotAllocator`; other
        tasks may read from it.
    :ivar on_release: function called with a target's name whenever a slot of it
        or the target itself has been released, or ``None``.
    """

    __slots__ = ("_log", "_receiver", "_sender", "allocator", "on_release")

    def __init__(self, allocator, log):
        self.allocator = allocator
        self._log = log
        self._sender, self._receiver = anyio.create_memory_object_stream(
            MAX_QUEUED_MESSAGES
        )
        self.on_release = None

    def send(self, message):
        """Send a message that has no reply, without waiting.

        :raises anyio.WouldBlock: if :data:`MAX_QUEUED_MESSAGES` are not handled yet.
        """
        self._sender.send_nowait(message)

    async def acquire_slot(self, request, may_queue, excluded=None):
        """Request a slot and wait for the decision.

        :param request: the :class:`~turmericrudder.routing.AdmissionRequest`.
        :param may_queue: whether to wait in the queue if no slot is free.
        :param excluded: state of a target whose slots must not be granted.
        :returns: a :class:`Grant`, to be released by a :class:`SlotRelease`,
            or a :class:`Rejection`.
        """
        slot_request = SlotRequest(request, may_queue, excluded)
        self._sender.send_nowait(slot_request)
        try:
            await slot_request.reply.event.wait()
        except BaseException:
            slot_request.reply.is_abandoned = True
            if isinstance(slot_request.reply.value, Grant):
                self.send(SlotRelease(slot_request.reply.value, Cancelled()))
            raise
        return slot_request.reply.value

    async def run(self):
        """Handle messages and serve the queue until cancelled."""
        while True:
            message = await self._receive()
            now = anyio.current_time()
            if message is not None:
                self._handle(message, now)
            for reply, decision in self.allocator.serve_queue(now):
                self._send_reply(reply, decision)

    async def _receive(self):
        """Return the next message, or ``None`` once a queue deadline has passed."""
        deadline = self.allocator.get_next_queue_deadline()
        wait = math.inf if deadline is None else max(0, deadline - anyio.current_time())
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
                self._handle_slot_request(message, now)
            case SlotRelease(grant, result):
                self._release_slot(grant, result, now)
                self._notify_release(grant.state.target.name)
            case OwnedTargetsUpdate(configuration, owned, predecessors):
                self._set_owned_targets(configuration, owned, predecessors, now)
            case PredecessorInFlight(in_flight):
                self._record_predecessor_loads(in_flight, now)
            case TargetLoadUpdate(target, in_flight, draining):
                self._record_load_report(target, in_flight, draining, now)

    def _release_slot(self, grant, result, now):
        was_ejected = grant.state.is_ejected(now)
        self.allocator.release(grant, result, now)
        if isinstance(result, Failed) and grant.state.is_ejected(now) > was_ejected:
            target = grant.state.target.name
            self._log.write(catalogue.TARGET_EJECTED, target=target)

    def _handle_slot_request(self, slot_request, now):
        request, reply = slot_request.admission_request, slot_request.reply
        if reply.is_abandoned:
            return
        decision = self.allocator.acquire(request, now, slot_request.excluded)
        can_queue = slot_request.may_queue and self.allocator.get_states(
            request.service
        )
        if isinstance(decision, Rejection) and can_queue:
            decision = self.allocator.enqueue(request, reply, now)
        if not isinstance(decision, QueuedRequest):
            self._send_reply(reply, decision)

    def _send_reply(self, reply, decision):
        if not reply.is_abandoned:
            reply.value = decision
            reply.event.set()
        elif isinstance(decision, Grant):
            self.send(SlotRelease(decision, Cancelled()))

    def _set_owned_targets(self, configuration, owned, predecessors, now):
        acquired, released = self.allocator.set_owned_targets(
            configuration, owned, predecessors, now
        )
        for name in acquired:
            self._log.write(catalogue.TARGET_OWNED, target=name, adopted=owned[name])
        for name in released:
            self._log.write(catalogue.TARGET_RELEASED, target=name)
            self._notify_release(name)

    def _record_predecessor_loads(self, in_flight, now):
        for name, count in in_flight.items():
            state = self.allocator.get_state(name)
            if state is not None:
                state.takeover.record_predecessor_load(count, now)

    def _record_load_report(self, target, in_flight, draining, now):
        state = self.allocator.get_state(target)
        if state is None:
            return
        if draining != state.is_reported_draining:
            event = catalogue.TARGET_DRAINING if draining else catalogue.TARGET_RETURNED
            self._log.write(event, target=target)
        state.record_load_report(in_flight, draining, now)

    def _notify_release(self, target_name):
        if self.on_release is not None:
            self.on_release(target_name)
