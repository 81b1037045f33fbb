"""Epochs of operation keys: when a new one begins, and at which witness."""

import anyio

from ..events import catalogue
from ..membership import Status
from ..operation import KeyPrefix
from ..rendezvous import rank_names

__all__ = ["EpochManager"]

MIN_EPOCH = 1.0  # seconds
WITNESSES_TRIED = 3


class EpochManager:
    """The task that keeps a prefix to issue keys with.

    Without any witness in reach, keys are issued without one: they are as safe,
    but nobody else can resolve them while this instance is out of reach.
    """

    __slots__ = (
        "_here",
        "_home",
        "_log",
        "_mark_failed",
        "_number",
        "_prefix",
        "_timing",
        "_view",
        "_witnesses",
        "on_change",
    )

    def __init__(self, own_member, settings, view, home, witnesses, log):
        """Prepare without an epoch.

        :param home: the :class:`~turmericrudder.operation.HomeTable`.
        :param witnesses: the :class:`WitnessService`.
        """
        self._here = own_member
        self._timing = settings.timing
        self._view = view
        self._home = home
        self._witnesses = witnesses
        self._log = log
        self._number = 0
        self._prefix = None
        self._mark_failed = False
        self.on_change = None

    @property
    def prefix(self):
        """The prefix of keys issued now, as text; empty if there is none."""
        return "" if self._prefix is None else str(self._prefix)

    def note_failed_mark(self):
        """Note that the witness did not take a mark."""
        self._mark_failed = True

    async def run(self):
        """Open a new epoch whenever one is due, until cancelled."""
        opened_at = None
        while True:
            now = anyio.current_time()
            if opened_at is None or self._is_due(now - opened_at):
                await self._open()
                opened_at = anyio.current_time()
            await anyio.sleep(self._timing.heartbeat)

    def _is_due(self, age):
        if age >= self._timing.epoch or self._home.is_exhausted(self.prefix):
            return True
        if self._mark_failed and age >= MIN_EPOCH:
            return True
        return not self._is_witness_usable()

    def _is_witness_usable(self):
        if not self._prefix.witness:
            return len(self._view.get_live()) <= 1
        member = self._view.get(self._prefix.witness)
        is_same = member is not None and member.nonce == self._prefix.witness_nonce
        return is_same and member.status is Status.LIVE

    async def _open(self):
        for member in self._rank_witnesses()[:WITNESSES_TRIED]:
            prefix = self._make_prefix(member.name, member.nonce)
            if await self._witnesses.open_epoch(member, prefix):
                self._use(prefix)
                return
        self._log.write(catalogue.EPOCH_FAILED)
        self._use(self._make_prefix("", ""))

    def _make_prefix(self, witness, nonce):
        self._number += 1
        return KeyPrefix(
            self._here.name, self._here.nonce, self._number, witness, nonce
        )

    def _use(self, prefix):
        self._home.open(str(prefix))
        self._mark_failed = False
        self._prefix = prefix
        self._log.write(
            catalogue.EPOCH_OPENED, epoch=prefix.epoch, witness=prefix.witness
        )
        if self.on_change is not None:
            self.on_change()

    def _rank_witnesses(self):
        """Return the candidates, those of other domains of the region first."""
        others = [m for m in self._view.get_live() if m.name != self._here.name]
        names = rank_names(f"witness {self._here.name}", [m.name for m in others])
        ranked = [self._view.get(name) for name in names]
        ranked.sort(key=self._get_distance)
        return ranked

    def _get_distance(self, member):
        if member.region != self._here.region:
            return 2
        return int(member.failure_domain == self._here.failure_domain)
