"""Management of the epochs in which this instance issues operation keys.

The keys of an epoch share a prefix, which names their home (this instance) and
the witness: another instance that records which of the keys were run.
"""

import anyio

from ..events import catalogue
from ..membership import Status
from ..operation import KeyPrefix
from ..rendezvous import rank_names

__all__ = ["EpochManager"]

MIN_EPOCH_AGE = 1.0  # seconds before a failed mark can end an epoch
MAX_WITNESSES_TRIED = 3  # per epoch


class EpochManager:
    """Opens epochs at witnesses and keeps the prefix of the current one.

    If no witness can be reached, keys are issued without one. They still run at
    most once, but while this instance cannot be reached, no other one can report
    how they ended.

    :ivar on_change: function called after each new prefix, or ``None``.
    """

    __slots__ = (
        "_epoch_number",
        "_has_failed_mark",
        "_home_table",
        "_log",
        "_own_member",
        "_prefix",
        "_timing",
        "_view",
        "_witness_service",
        "on_change",
    )

    def __init__(self, own_member, settings, view, home_table, witness_service, log):
        """Prepare without an epoch.

        :param own_member: this instance's member record.
        :param view: the :class:`~turmericrudder.membership.MembershipView`.
        :param home_table: the :class:`~turmericrudder.operation.HomeTable`.
        :param witness_service: the :class:`WitnessService`.
        """
        self._own_member = own_member
        self._timing = settings.timing
        self._view = view
        self._home_table = home_table
        self._witness_service = witness_service
        self._log = log
        self._epoch_number = 0
        self._prefix = None
        self._has_failed_mark = False
        self.on_change = None

    @property
    def prefix(self):
        """Prefix of the current epoch as text, empty before the first one."""
        return "" if self._prefix is None else str(self._prefix)

    def record_failed_mark(self):
        """Record that the witness did not mark a key, so that a new epoch is due."""
        self._has_failed_mark = True

    async def run(self):
        """Open a new epoch whenever one is due, until cancelled."""
        opened_at = None
        while True:
            now = anyio.current_time()
            if opened_at is None or self._is_epoch_due(now - opened_at):
                await self._open_epoch()
                opened_at = anyio.current_time()
            await anyio.sleep(self._timing.heartbeat)

    def _is_epoch_due(self, age):
        if age >= self._timing.epoch or self._home_table.is_exhausted(self.prefix):
            return True
        if self._has_failed_mark and age >= MIN_EPOCH_AGE:
            return True
        return not self._is_witness_usable()

    def _is_witness_usable(self):
        """Return whether the current witness is live.

        An epoch without one is kept only as long as no other instance is live.
        """
        if not self._prefix.witness:
            return len(self._view.get_live()) <= 1
        member = self._view.get(self._prefix.witness)
        is_same_incarnation = (
            member is not None and member.nonce == self._prefix.witness_nonce
        )
        return is_same_incarnation and member.status is Status.LIVE

    async def _open_epoch(self):
        for member in self._rank_witnesses()[:MAX_WITNESSES_TRIED]:
            prefix = self._make_prefix(member.name, member.nonce)
            if await self._witness_service.open_epoch(member, prefix):
                self._set_prefix(prefix)
                return
        self._log.write(catalogue.EPOCH_FAILED)
        self._set_prefix(self._make_prefix("", ""))

    def _make_prefix(self, witness, nonce):
        self._epoch_number += 1
        return KeyPrefix(
            self._own_member.name,
            self._own_member.nonce,
            self._epoch_number,
            witness,
            nonce,
        )

    def _set_prefix(self, prefix):
        self._home_table.open(str(prefix))
        self._has_failed_mark = False
        self._prefix = prefix
        self._log.write(
            catalogue.EPOCH_OPENED, epoch=prefix.epoch, witness=prefix.witness
        )
        if self.on_change is not None:
            self.on_change()

    def _rank_witnesses(self):
        """Return the member records of the candidates in order of preference.

        Those in other failure domains of this region come first, then those in
        this failure domain, then those in other regions.
        """
        others = [m for m in self._view.get_live() if m.name != self._own_member.name]
        names = rank_names(f"witness {self._own_member.name}", [m.name for m in others])
        ranked = [self._view.get(name) for name in names]
        ranked.sort(key=self._get_distance)
        return ranked

    def _get_distance(self, member):
        if member.region != self._own_member.region:
            return 2
        return int(member.failure_domain == self._own_member.failure_domain)
