"""Run each operation key at most once: home and witness with their I/O."""

import uuid

import anyio

from ..control import (
    Answer,
    EpochOpen,
    KeyAnswer,
    KeyMark,
    KeyOutcome,
    KeyVoid,
    Outcome,
)
from ..errors import KeyRefused, PeerUnreachable
from ..events import catalogue
from ..membership import Status
from ..operation import (
    Finished,
    HomeTable,
    KeyInvalid,
    KeyPrefix,
    OperationKey,
    Running,
    Started,
    Undecided,
    WitnessTable,
)
from ..rendezvous import rank_names
from ..verdict import Verdict
from .interrupt import Interrupted, run_until
from .outcome import Collector
from .step import Passed, Ran, Turned, Unknown

__all__ = ["Operations"]

NOT_RUN = Outcome(ran=False)
ANSWER_LOST = Outcome(ran=True, whole=False)
OUTCOME_ATTEMPTS = 6
MIN_EPOCH = 1.0  # seconds
RETRY_AFTER = 1  # seconds


class Operations:
    """The part of an instance as home, as witness and as the one asked."""

    __slots__ = (
        "_channel",
        "_epoch",
        "_here",
        "_home",
        "_limits",
        "_log",
        "_mark_failed",
        "_prefix",
        "_router",
        "_tasks",
        "_telling",
        "_timing",
        "_view",
        "_waiters",
        "_witness",
        "on_epoch",
    )

    def __init__(self, here, settings, view, channel, router, tasks, log):
        """Prepare without an epoch.

        :param tasks: task group for telling outcomes in the background.
        """
        self._here = here
        self._limits = settings.limits
        self._timing = settings.timing
        self._view = view
        self._channel = channel
        self._router = router
        self._tasks = tasks
        self._log = log
        self._home = HomeTable(settings.limits)
        self._witness = WitnessTable(here.nonce, settings.limits)
        self._waiters = {}
        self._epoch = 0
        self._mark_failed = False
        self._telling = 0
        self._prefix = None
        self.on_epoch = None

    @property
    def prefix(self):
        """The prefix of keys issued now, as text; empty if there is none."""
        return "" if self._prefix is None else str(self._prefix)

    def get_entry_counts(self):
        """Return (keys kept as home, keys kept as witness)."""
        return self._home.get_entry_count(), self._witness.get_entry_count()

    def is_telling(self):
        """Return whether the witness still has to be told of an outcome."""
        return self._telling > 0

    def answer_peer(self, message):
        """Return the witness's answer, ``None`` to another kind of message."""
        match message:
            case EpochOpen(epoch):
                return self._witness.open(epoch)
            case KeyMark(epoch, key):
                return self._witness.mark(epoch, key)
            case KeyOutcome(epoch, key, outcome):
                return self._witness.record(epoch, key, outcome)
            case KeyVoid(epoch, key):
                return self._witness.void(epoch, key)
        return None

    async def run_epochs(self):
        """Open a new epoch every few minutes and when the witness is lost."""
        opened_at = None
        while True:
            now = anyio.current_time()
            if opened_at is None or self._is_epoch_due(now - opened_at):
                opened_at = await self._open_epoch()
            await anyio.sleep(self._timing.heartbeat)

    async def handle(self, request, responder, key_text):
        """Run a caller's request under its key, here or at the key's home.

        :raises KeyRefused: with the verdict, if no answer can be given.
        """
        if not key_text and not self.prefix:
            raise KeyRefused(503, "no_epoch", retry_after=RETRY_AFTER)
        text = key_text or f"{self.prefix}.{uuid.uuid4().hex}"
        try:
            key = OperationKey.parse(text)
        except KeyInvalid:
            raise KeyRefused(428, "key_invalid") from None
        responder.extra.append((b"idempotency-key", str(key).encode()))
        if self._is_home(key):
            await self.run_home(request, responder, key)
        else:
            await self._ask_home(request, responder, key)

    async def run_home(self, request, responder, key):
        """Run a key of this incarnation, or tell how it ended."""
        if not self._is_home(key):
            raise KeyRefused(503, "not_home", Verdict.MAY_HAVE_RUN)
        epoch = str(key.prefix)
        match self._home.start(epoch, key.part):
            case Started():
                with anyio.CancelScope(shield=True):
                    await self._run_started(request, responder, key, epoch)
            case Running():
                await self._wait_running(request, responder, key, epoch)
            case Finished(outcome):
                await self._replay(outcome, responder, key)
            case Undecided():
                self._refuse_unknown(key, "undecided")

    async def _run_started(self, request, responder, key, epoch):
        waiter = self._waiters[str(key)] = anyio.Event()
        try:
            if not await self._mark(key, epoch):
                self._mark_failed = True
                self._void(key, epoch)
                raise KeyRefused(503, "witness", retry_after=RETRY_AFTER)
            await self._run_marked(request, responder, key, epoch)
        finally:
            waiter.set()
            del self._waiters[str(key)]

    async def _run_marked(self, request, responder, key, epoch):
        collector = Collector(self._limits.outcome_bytes)
        ended = Unknown("cut")
        try:
            ended = await self._router.route(request, responder, collector)
        finally:
            match ended:
                case Passed():
                    outcome = collector.get_outcome()
                    outcome = self._home.finish(epoch, key.part, outcome)
                    self._tell_outcome(key, epoch, outcome)
                case Ran():
                    self._home.finish(epoch, key.part, ANSWER_LOST)
                    self._tell_outcome(key, epoch, ANSWER_LOST)
                case Turned():
                    self._void(key, epoch)
                case Unknown():
                    self._home.leave_unknown(epoch, key.part)
        match ended:
            case Ran():
                await responder.replay(ANSWER_LOST)
            case Turned(reason):
                raise KeyRefused(503, reason, retry_after=RETRY_AFTER)
            case Unknown(reason):
                self._refuse_unknown(key, reason)

    async def _wait_running(self, request, responder, key, epoch):
        waiter = self._waiters.get(str(key))
        if waiter is not None:
            with anyio.move_on_at(request.expires):
                await waiter.wait()
        match self._home.start(epoch, key.part):
            case Finished(outcome):
                await self._replay(outcome, responder, key)
            case _:
                self._refuse_unknown(key, "running")

    async def _ask_home(self, request, responder, key):
        member = self._get_home(key)
        if member is not None:
            self._log.write(catalogue.OPERATION_HOME, key=key, home=member.name)
            ended = await self._forward_home(member, request, responder, key)
            if isinstance(ended, Passed):
                return
            if isinstance(ended, Ran):
                await responder.replay(ANSWER_LOST)
                return
            if isinstance(ended, Turned) and ended.reason == "peer":
                raise KeyRefused(503, "home_refused", retry_after=RETRY_AFTER)
        await self._ask_witness(responder, key)

    async def _forward_home(self, member, request, responder, key):
        """Return how it ended at the home, or that the home went out of reach."""

        async def wait_failed():
            while self._get_home(key) is not None or responder.started:
                await anyio.sleep(self._timing.heartbeat)

        work = self._router.forward_home(member, request, responder)
        try:
            return await run_until(wait_failed, work)
        except Interrupted:
            return Unknown("home_failed")

    def _get_home(self, key):
        """Return the record of a key's home if it is believed to be alive."""
        member = self._view.get(key.prefix.home)
        if member is None or member.nonce != key.prefix.home_nonce:
            return None
        return None if member.status in (Status.FAILED, Status.LEFT) else member

    async def _ask_witness(self, responder, key):
        answer = await self._call_witness(key, KeyVoid(str(key.prefix), key.part))
        match answer:
            case KeyAnswer(Answer.OUTCOME, outcome):
                await self._replay(outcome, responder, key)
            case _:
                self._refuse_unknown(key, "home_unreachable")

    async def _replay(self, outcome, responder, key):
        if not outcome.ran:
            self._log.write(catalogue.OPERATION_VOIDED, key=key)
            raise KeyRefused(503, "key_void", retry_after=RETRY_AFTER)
        self._log.write(catalogue.OPERATION_REPLAYED, key=key, status=outcome.status)
        await responder.replay(outcome)

    def _refuse_unknown(self, key, reason):
        self._log.write(catalogue.OPERATION_UNKNOWN, key=key, reason=reason)
        raise KeyRefused(504, reason, Verdict.MAY_HAVE_RUN)

    async def _mark(self, key, epoch):
        if not key.prefix.witness:
            return True
        answer = await self._call_witness(key, KeyMark(epoch, key.part))
        return answer is not None and answer.answer is Answer.DONE

    def _void(self, key, epoch):
        self._home.void(epoch, key.part)
        self._tell_outcome(key, epoch, NOT_RUN)

    def _tell_outcome(self, key, epoch, outcome):
        if key.prefix.witness:
            message = KeyOutcome(epoch, key.part, outcome)
            self._telling += 1
            self._tasks.start_soon(self._repeat_outcome, key, message)

    async def _repeat_outcome(self, key, message):
        try:
            for _ in range(OUTCOME_ATTEMPTS):
                if await self._call_witness(key, message) is not None:
                    return
        finally:
            self._telling -= 1

    async def _call_witness(self, key, message):
        """Return the answer of a key's witness, ``None`` if there is none."""
        prefix = key.prefix
        if prefix.witness == self._here.name:
            if prefix.witness_nonce != self._here.nonce:
                return None
            return self.answer_peer(message)
        member = self._view.get(prefix.witness)
        if member is None or member.nonce != prefix.witness_nonce:
            return None
        try:
            return await self._channel.call(
                member.control, message, self._timing.mark_timeout
            )
        except PeerUnreachable:
            return None

    def _is_home(self, key):
        prefix = key.prefix
        return (prefix.home, prefix.home_nonce) == (self._here.name, self._here.nonce)

    def _rank_witnesses(self):
        """Return the candidates, those of other domains of the region first."""
        others = [m for m in self._view.get_live() if m.name != self._here.name]
        names = rank_names(f"witness {self._here.name}", [m.name for m in others])
        ranked = [self._view.get(name) for name in names]
        ranked.sort(key=self._get_witness_distance)
        return ranked

    def _get_witness_distance(self, member):
        if member.region != self._here.region:
            return 2
        return int(member.failure_domain == self._here.failure_domain)

    def _is_epoch_due(self, age):
        if age >= self._timing.epoch or self._home.is_spent(self.prefix):
            return True
        if self._mark_failed and age >= MIN_EPOCH:
            return True
        return not self._is_witness_usable()

    def _is_witness_usable(self):
        ranked = self._rank_witnesses()
        if not self._prefix.witness:
            return not ranked
        live = {member.name: member.nonce for member in ranked}
        return live.get(self._prefix.witness) == self._prefix.witness_nonce

    async def _open_epoch(self):
        for member in self._rank_witnesses()[:3]:
            prefix = self._get_next_prefix(member.name, member.nonce)
            try:
                answer = await self._channel.call(
                    member.control, EpochOpen(str(prefix)), self._timing.mark_timeout
                )
            except PeerUnreachable:
                continue
            if answer.answer is Answer.DONE:
                self._use(prefix)
                return anyio.current_time()
        self._log.write(catalogue.EPOCH_FAILED)
        self._use(self._get_next_prefix("", ""))
        return anyio.current_time()

    def _get_next_prefix(self, witness, nonce):
        self._epoch += 1
        return KeyPrefix(self._here.name, self._here.nonce, self._epoch, witness, nonce)

    def _use(self, prefix):
        self._home.open(str(prefix))
        self._mark_failed = False
        self._prefix = prefix
        self._log.write(
            catalogue.EPOCH_OPENED, epoch=prefix.epoch, witness=prefix.witness
        )
        if self.on_epoch is not None:
            self.on_epoch()
