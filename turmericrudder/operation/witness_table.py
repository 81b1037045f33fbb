"""The witness's table: marks and outcomes of other instances' keys."""

from ..control.messages import OperationOutcome, WitnessReply, WitnessStatus
from .epoch_table import EpochTable
from .home_table import NOT_RUN
from .key import KeyInvalid, KeyPrefix

__all__ = ["WitnessTable"]

KEPT_EPOCHS_PER_HOME = 8
_MARK = object()


class WitnessTable:
    """Decides the race between a home's mark and another's void.

    Whichever comes first holds. An epoch that was never opened at this
    incarnation, or was dropped, refuses both: a dropped epoch cannot be opened
    again, however late a copy of the message arrives.
    """

    __slots__ = ("_highest", "_nonce", "_table")

    def __init__(self, nonce, limits):
        """Prepare an empty table.

        :param nonce: of this start of the witness.
        """
        self._nonce = nonce
        self._table = EpochTable(limits.operation_keys, limits.operation_bytes)
        self._highest = {}

    def open(self, epoch):
        """Keep marks of an epoch from now on.

        :param epoch: the key prefix as text.
        """
        if epoch in self._table:
            return WitnessReply(WitnessStatus.DONE)
        try:
            prefix = KeyPrefix.parse(epoch)
        except KeyInvalid:
            return WitnessReply(WitnessStatus.REFUSED)
        home = (prefix.home, prefix.home_nonce)
        is_old = prefix.epoch <= self._highest.get(home, -1)
        if is_old or prefix.witness_nonce != self._nonce or self._table.is_full():
            return WitnessReply(WitnessStatus.REFUSED)
        self._highest[home] = prefix.epoch
        self._table.open(epoch)
        self._drop_old(home)
        return WitnessReply(WitnessStatus.DONE)

    def mark(self, epoch, key):
        """Note that the home starts the key, unless it is void."""
        if epoch not in self._table:
            return WitnessReply(WitnessStatus.REFUSED)
        state = self._table.get(epoch, key)
        if state is None and not self._table.is_full():
            self._table.set(epoch, key, _MARK)
            return WitnessReply(WitnessStatus.DONE)
        return WitnessReply(
            WitnessStatus.DONE if state is _MARK else WitnessStatus.REFUSED
        )

    def record_outcome(self, epoch, key, outcome):
        """Keep the outcome that the home tells."""
        if epoch not in self._table:
            return WitnessReply(WitnessStatus.REFUSED)
        state = self._table.get(epoch, key)
        if state is None or state is _MARK:
            size = len(outcome.body)
            if not self._table.has_room(size):
                outcome, size = (
                    OperationOutcome(outcome.ran, outcome.status, is_complete=False),
                    0,
                )
            self._table.set(epoch, key, outcome, size)
        return WitnessReply(WitnessStatus.DONE)

    def void(self, epoch, key):
        """Return how a key ended; a key without mark is void from now on."""
        if epoch not in self._table:
            return WitnessReply(WitnessStatus.REFUSED)
        state = self._table.get(epoch, key)
        if state is None:
            if self._table.is_full():
                return WitnessReply(WitnessStatus.REFUSED)
            self._table.set(epoch, key, NOT_RUN)
            return WitnessReply(WitnessStatus.OUTCOME, NOT_RUN)
        if state is _MARK:
            return WitnessReply(WitnessStatus.MARKED)
        return WitnessReply(WitnessStatus.OUTCOME, state)

    def get_entry_count(self):
        """Return the number of keys kept."""
        return self._table.entries

    def _drop_old(self, home):
        kept = []
        for epoch in self._table.get_epochs():
            prefix = KeyPrefix.parse(epoch)
            if (prefix.home, prefix.home_nonce) == home:
                kept.append(epoch)
        for epoch in kept[:-KEPT_EPOCHS_PER_HOME]:
            self._table.drop(epoch)
