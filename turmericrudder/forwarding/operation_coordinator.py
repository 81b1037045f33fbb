"""Run each operation key at most once: home and witness with their I/O."""

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

ANSWER_LOST = OperationOutcome(ran=True, is_complete=False)
RETRY_AFTER = 1  # seconds


class OperationCoordinator:
    """The part of an instance as home, as witness and as the one asked."""

    __slots__ = (
        "_epochs",
        "_here",
        "_home",
        "_limits",
        "_log",
        "_patience",
        "_router",
        "_view",
        "_waiters",
        "_witnesses",
    )

    def __init__(self, own_member, settings, view, channel, router, tasks, log):
        """Prepare without an epoch.

        :param tasks: task group for telling outcomes in the background.
        """
        self._here = own_member
        self._limits = settings.limits
        self._patience = settings.timing.heartbeat
        self._view = view
        self._router = router
        self._log = log
        self._waiters = {}
        self._home = HomeTable(settings.limits)
        self._witnesses = WitnessService(own_member, settings, view, channel, tasks)
        self._epochs = EpochManager(
            own_member, settings, view, self._home, self._witnesses, log
        )

    @property
    def prefix(self):
        """The prefix of keys issued now, as text; empty if there is none."""
        return self._epochs.prefix

    def get_entry_counts(self):
        """Return (keys kept as home, keys kept as witness)."""
        return self._home.get_entry_count(), self._witnesses.get_entry_count()

    def has_pending_outcomes(self):
        """Return whether a witness still has to be told of an outcome."""
        return self._witnesses.has_pending_outcomes()

    def handle_witness_message(self, message):
        """Return the witness's answer, ``None`` to another kind of message."""
        return self._witnesses.handle_witness_message(message)

    async def run_epochs(self, on_change):
        """Keep a prefix to issue until cancelled; tell of each new one."""
        self._epochs.on_change = on_change
        await self._epochs.run()

    async def handle(self, request, responder, key_text):
        """Run a caller's request under its key, here or at the key's home.

        :raises OperationRejected: with the verdict, if no answer can be given.
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
            await self.run_home(request, responder, key)
        else:
            await self._ask_home(request, responder, key)

    async def run_home(self, request, responder, key):
        """Run a key of this incarnation, or tell how it ended."""
        if not self._is_home(key):
            raise OperationRejected(503, "not_home", Verdict.MAY_HAVE_RUN)
        epoch = str(key.prefix)
        match self._home.start(epoch, key.suffix):
            case NewKey():
                with anyio.CancelScope(shield=True):
                    await self._run_started(request, responder, key, epoch)
            case AlreadyRunning():
                await self._wait_running(request, responder, key, epoch)
            case AlreadyFinished(outcome):
                await self._replay(outcome, responder, key)
            case OutcomeUnknown():
                self._refuse_unknown(key, "undecided")

    async def _run_started(self, request, responder, key, epoch):
        waiter = self._waiters[str(key)] = anyio.Event()
        try:
            if not await self._witnesses.mark(key):
                self._epochs.note_failed_mark()
                self._void(key, epoch)
                raise OperationRejected(503, "witness", retry_after=RETRY_AFTER)
            await self._run_marked(request, responder, key, epoch)
        finally:
            waiter.set()
            del self._waiters[str(key)]

    async def _run_marked(self, request, responder, key, epoch):
        recorder = ResponseRecorder(self._limits.outcome_bytes)
        ended = MayHaveRun("cut")
        try:
            ended = await self._router.route(request, responder, recorder)
        finally:
            match ended:
                case ResponseSent():
                    outcome = recorder.get_outcome()
                    outcome = self._home.finish(epoch, key.suffix, outcome)
                    self._witnesses.report_outcome(key, outcome)
                case RanWithoutResponse():
                    self._home.finish(epoch, key.suffix, ANSWER_LOST)
                    self._witnesses.report_outcome(key, ANSWER_LOST)
                case NotRun():
                    self._void(key, epoch)
                case MayHaveRun():
                    self._home.set_unknown(epoch, key.suffix)
        match ended:
            case RanWithoutResponse():
                await responder.replay(ANSWER_LOST)
            case NotRun(reason):
                raise OperationRejected(503, reason, retry_after=RETRY_AFTER)
            case MayHaveRun(reason):
                self._refuse_unknown(key, reason)

    async def _wait_running(self, request, responder, key, epoch):
        waiter = self._waiters.get(str(key))
        if waiter is not None:
            with anyio.move_on_at(request.expires):
                await waiter.wait()
        match self._home.start(epoch, key.suffix):
            case AlreadyFinished(outcome):
                await self._replay(outcome, responder, key)
            case _:
                self._refuse_unknown(key, "running")

    async def _ask_home(self, request, responder, key):
        member = self._get_home(key)
        if member is not None:
            self._log.write(catalogue.OPERATION_HOME, key=key, home=member.name)
            ended = await self._forward_home(member, request, responder, key)
            if isinstance(ended, ResponseSent):
                return
            if isinstance(ended, RanWithoutResponse):
                await responder.replay(ANSWER_LOST)
                return
            if isinstance(ended, NotRun) and ended.reason == "peer":
                raise OperationRejected(503, "home_refused", retry_after=RETRY_AFTER)
        await self._ask_witness(responder, key)

    async def _forward_home(self, member, request, responder, key):
        """Return how it ended at the home, or that the home went out of reach."""

        async def wait_failed():
            while self._get_home(key) is not None or responder.has_started:
                await anyio.sleep(self._patience)

        work = self._router.forward_to_home(member, request, responder)
        try:
            return await run_cancellable(wait_failed, work)
        except RequestCancelled:
            return MayHaveRun("home_failed")

    def _get_home(self, key):
        """Return the record of a key's home if it is believed to be alive."""
        member = self._view.get(key.prefix.home)
        if member is None or member.nonce != key.prefix.home_nonce:
            return None
        return None if member.status in (Status.FAILED, Status.LEFT) else member

    async def _ask_witness(self, responder, key):
        outcome = await self._witnesses.resolve(key)
        if outcome is None:
            self._refuse_unknown(key, "home_unreachable")
        await self._replay(outcome, responder, key)

    async def _replay(self, outcome, responder, key):
        if not outcome.ran:
            self._log.write(catalogue.OPERATION_VOIDED, key=key)
            raise OperationRejected(503, "key_void", retry_after=RETRY_AFTER)
        self._log.write(catalogue.OPERATION_REPLAYED, key=key, status=outcome.status)
        await responder.replay(outcome)

    def _refuse_unknown(self, key, reason):
        self._log.write(catalogue.OPERATION_UNKNOWN, key=key, reason=reason)
        raise OperationRejected(504, reason, Verdict.MAY_HAVE_RUN)

    def _void(self, key, epoch):
        self._home.void(epoch, key.suffix)
        self._witnesses.report_outcome(key, NOT_RUN)

    def _is_home(self, key):
        prefix = key.prefix
        return (prefix.home, prefix.home_nonce) == (self._here.name, self._here.nonce)
