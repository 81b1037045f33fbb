"""Coordination of instances so that each operation key runs at most once.

An operation key is an idempotency key whose prefix names two instances. The home
issued the prefix and is the only one that may run the key; it has the key marked
at the witness before it does. Requests with the key that reach other instances
are forwarded to the home. If the home cannot be reached, the witness reports
how the key ended, or voids it if it is not marked.
"""

import uuid

import anyio

from ..cancellation import RequestCancelled, run_cancellable
from ..control import OperationOutcome
from ..errors import OperationRejected
from ..events import catalogue
from ..membership import Status
from ..operation import (
    NOT_RUN,
    AlreadyFinished,
    AlreadyRunning,
    HomeTable,
    KeyInvalid,
    NewKey,
    OperationKey,
    OutcomeUnknown,
)
from ..verdict import Verdict
from .epoch_manager import EpochManager
from .response_recorder import ResponseRecorder
from .step import MayHaveRun, NotRun, RanWithoutResponse, ResponseSent
from .witness_service import WitnessService

__all__ = ["OperationCoordinator"]

RESPONSE_LOST = OperationOutcome(ran=True, is_complete=False)
RETRY_AFTER = 1  # seconds, sent to callers


class OperationCoordinator:
    """Handles requests with operation keys, whatever the role of this instance.

    It may be the home of a key, the witness, or neither.
    """

    __slots__ = (
        "_epoch_manager",
        "_finished_events",
        "_home_table",
        "_limits",
        "_log",
        "_own_member",
        "_poll_interval",
        "_router",
        "_view",
        "_witness_service",
    )

    def __init__(self, own_member, settings, view, channel, router, tasks, log):
        """Prepare; no keys are issued before :meth:`run_epochs` runs.

        :param own_member: this instance's member record.
        :param view: the :class:`~turmericrudder.membership.MembershipView`.
        :param channel: the :class:`~turmericrudder.control.Channel`.
        :param router: the :class:`Router` that runs or forwards requests.
        :param tasks: task group in which outcomes are sent in the background.
        """
        self._own_member = own_member
        self._limits = settings.limits
        self._poll_interval = settings.timing.heartbeat
        self._view = view
        self._router = router
        self._log = log
        self._finished_events = {}
        self._home_table = HomeTable(settings.limits)
        self._witness_service = WitnessService(
            own_member, settings, view, channel, tasks
        )
        self._epoch_manager = EpochManager(
            own_member, settings, view, self._home_table, self._witness_service, log
        )

    @property
    def prefix(self):
        """Prefix of the keys issued now, as text; empty before the first epoch."""
        return self._epoch_manager.prefix

    def get_key_counts(self):
        """Return (number of keys kept as home, number of keys kept as witness)."""
        return (
            self._home_table.get_key_count(),
            self._witness_service.get_key_count(),
        )

    def has_pending_outcomes(self):
        """Return whether outcomes are still being sent to witnesses."""
        return self._witness_service.has_pending_outcomes()

    def handle_witness_message(self, message):
        """Handle a message of a home to its witness.

        :returns: the :class:`~turmericrudder.control.WitnessReply`, ``None`` if
            it is another kind of message.
        """
        return self._witness_service.handle_witness_message(message)

    async def run_epochs(self, on_change):
        """Open a new epoch, a set of keys with one prefix, whenever one is due.

        Runs until cancelled.

        :param on_change: function called after each new prefix.
        """
        self._epoch_manager.on_change = on_change
        await self._epoch_manager.run()

    async def run_request(self, request, responder, key_text):
        """Handle a caller's request with an operation key and write its response.

        :param key_text: the key, or empty to make a new one.
        :raises OperationRejected: if there is no response to write; its verdict
            says whether the key may have run.
        :raises UpstreamCut: if the response is truncated.
        """
        if not key_text and not self.prefix:
            raise OperationRejected(503, "no_epoch", retry_after=RETRY_AFTER)
        text = key_text or f"{self.prefix}.{uuid.uuid4().hex}"
        try:
            key = OperationKey.parse(text)
        except KeyInvalid:
            raise OperationRejected(428, "key_invalid") from None
        responder.extra_headers.append((b"idempotency-key", str(key).encode()))
        if self._is_home(key):
            await self.run_as_home(request, responder, key)
        else:
            await self._run_at_other_home(request, responder, key)

    async def run_as_home(self, request, responder, key):
        """Run the key as its home, or write its outcome if it has run before.

        A new key runs to its end even if the calling task is cancelled.

        :raises OperationRejected: as by :meth:`run_request`, also if this incarnation
            of this instance is not the home.
        :raises UpstreamCut: if the response is truncated.
        """
        if not self._is_home(key):
            raise OperationRejected(503, "not_home", Verdict.MAY_HAVE_RUN)
        epoch = str(key.prefix)
        match self._home_table.start(epoch, key.suffix):
            case NewKey():
                with anyio.CancelScope(shield=True):
                    await self._run_new_key(request, responder, key, epoch)
            case AlreadyRunning():
                await self._wait_finished(request, responder, key, epoch)
            case AlreadyFinished(outcome):
                await self._replay(outcome, responder, key)
            case OutcomeUnknown():
                self._reject_unknown(key, "undecided")

    async def _run_new_key(self, request, responder, key, epoch):
        """Run a key if its witness marks it; otherwise void it."""
        finished_event = self._finished_events[str(key)] = anyio.Event()
        try:
            if not await self._witness_service.mark(key):
                self._epoch_manager.record_failed_mark()
                self._void(key, epoch)
                raise OperationRejected(503, "witness", retry_after=RETRY_AFTER)
            await self._run_marked_key(request, responder, key, epoch)
        finally:
            finished_event.set()
            del self._finished_events[str(key)]

    async def _run_marked_key(self, request, responder, key, epoch):
        """Run a key and record how it ended, in the home table and at the witness.

        The witness keeps the key as marked if it is unknown whether it ran.
        """
        recorder = ResponseRecorder(self._limits.outcome_bytes)
        result = MayHaveRun("cut")
        try:
            result = await self._router.route(request, responder, recorder)
        finally:
            match result:
                case ResponseSent():
                    outcome = recorder.get_outcome()
                    outcome = self._home_table.finish(epoch, key.suffix, outcome)
                    self._witness_service.report_outcome(key, outcome)
                case RanWithoutResponse():
                    self._home_table.finish(epoch, key.suffix, RESPONSE_LOST)
                    self._witness_service.report_outcome(key, RESPONSE_LOST)
                case NotRun():
                    self._void(key, epoch)
                case MayHaveRun():
                    self._home_table.set_unknown(epoch, key.suffix)
        match result:
            case RanWithoutResponse():
                await responder.replay(RESPONSE_LOST)
            case NotRun(reason):
                raise OperationRejected(503, reason, retry_after=RETRY_AFTER)
            case MayHaveRun(reason):
                self._reject_unknown(key, reason)

    async def _wait_finished(self, request, responder, key, epoch):
        """Write the outcome of a running key once it has ended.

        If it is not known by the request's deadline, reject the request.
        """
        finished_event = self._finished_events.get(str(key))
        if finished_event is not None:
            with anyio.move_on_at(request.expires):
                await finished_event.wait()
        match self._home_table.start(epoch, key.suffix):
            case AlreadyFinished(outcome):
                await self._replay(outcome, responder, key)
            case _:
                self._reject_unknown(key, "running")

    async def _run_at_other_home(self, request, responder, key):
        """Forward the request to the home; if that fails, query the witness."""
        member = self._get_live_home(key)
        if member is not None:
            self._log.write(catalogue.OPERATION_HOME, key=key, home=member.name)
            result = await self._forward_to_home(member, request, responder, key)
            if isinstance(result, ResponseSent):
                return
            if isinstance(result, RanWithoutResponse):
                await responder.replay(RESPONSE_LOST)
                return
            if isinstance(result, NotRun) and result.reason == "peer":
                raise OperationRejected(503, "home_refused", retry_after=RETRY_AFTER)
        await self._query_witness(responder, key)

    async def _forward_to_home(self, member, request, responder, key):
        """Return the result of forwarding a request to its home.

        If the home fails before the response has started, the request is cancelled.
        """

        async def wait_home_failed():
            while self._get_live_home(key) is not None or responder.has_started:
                await anyio.sleep(self._poll_interval)

        forward = self._router.forward_to_home(member, request, responder)
        try:
            return await run_cancellable(wait_home_failed, forward)
        except RequestCancelled:
            return MayHaveRun("home_failed")

    def _get_live_home(self, key):
        """Return the member record of a key's home, ``None`` if it is not running."""
        member = self._view.get(key.prefix.home)
        if member is None or member.nonce != key.prefix.home_nonce:
            return None
        return None if member.status in (Status.FAILED, Status.LEFT) else member

    async def _query_witness(self, responder, key):
        outcome = await self._witness_service.resolve(key)
        if outcome is None:
            self._reject_unknown(key, "home_unreachable")
        await self._replay(outcome, responder, key)

    async def _replay(self, outcome, responder, key):
        if not outcome.ran:
            self._log.write(catalogue.OPERATION_VOIDED, key=key)
            raise OperationRejected(503, "key_void", retry_after=RETRY_AFTER)
        self._log.write(catalogue.OPERATION_REPLAYED, key=key, status=outcome.status)
        await responder.replay(outcome)

    def _reject_unknown(self, key, reason):
        self._log.write(catalogue.OPERATION_UNKNOWN, key=key, reason=reason)
        raise OperationRejected(504, reason, Verdict.MAY_HAVE_RUN)

    def _void(self, key, epoch):
        self._home_table.void(epoch, key.suffix)
        self._witness_service.report_outcome(key, NOT_RUN)

    def _is_home(self, key):
        prefix = key.prefix
        return (prefix.home, prefix.home_nonce) == (
            self._own_member.name,
            self._own_member.nonce,
        )
