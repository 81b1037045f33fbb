"""The table in which a witness keeps marks and outcomes of other homes' keys."""

from ..control.messages import OperationOutcome, WitnessReply, WitnessStatus
from .epoch_table import EpochTable
from .home_table import NOT_RUN
from .key import KeyInvalid, KeyPrefix

__all__ = ["WitnessTable"]

KEPT_EPOCHS_PER_HOME = 8
_MARKED = object()  # state of a key that its home may have started


class WitnessTable:
    """Records for each key whether its home may start it or it is void.

    The home marks a key before it runs the request. An instance that cannot reach
    the home voids it. The first of the two takes effect, the other is rejected. Both
    are rejected if the epoch was never opened at this incarnation of the witness or
    has been removed. A removed epoch cannot be opened again, however late a copy of
    the message arrives.

    In all methods, ``epoch`` is a key prefix and ``key`` the suffix of a key, both as
    text. The methods that take them return a
    :class:`~turmericrudder.control.WitnessReply`.
    """

    __slots__ = ("_highest_epochs", "_nonce", "_table")

    def __init__(self, nonce, limits):
        """Initialize an empty table.

        :param nonce: nonce of this incarnation of the witness.
        :param limits: the :class:`~turmericrudder.settings.LimitSettings`.
        """
        self._nonce = nonce
        self._table = EpochTable(limits.operation_keys, limits.operation_bytes)
        self._highest_epochs = {}

    def open(self, epoch):
        """Open an epoch, so that its keys can be marked and voided.

        The oldest epochs of the same home beyond :data:`KEPT_EPOCHS_PER_HOME` are
        removed.
        """
        if epoch in self._table:
            return WitnessReply(WitnessStatus.DONE)
        try:
            prefix = KeyPrefix.parse(epoch)
        except KeyInvalid:
            return WitnessReply(WitnessStatus.REFUSED)
        home = (prefix.home, prefix.home_nonce)
        is_old = prefix.epoch <= self._highest_epochs.get(home, -1)
        if is_old or prefix.witness_nonce != self._nonce or self._table.is_full():
            return WitnessReply(WitnessStatus.REFUSED)
        self._highest_epochs[home] = prefix.epoch
        self._table.open(epoch)
        self._drop_old_epochs(home)
        return WitnessReply(WitnessStatus.DONE)

    def mark(self, epoch, key):
        """Allow the home to start a key.

        The mark is rejected if the key is void or has ended, or the table is full.
        """
        if epoch not in self._table:
            return WitnessReply(WitnessStatus.REFUSED)
        state = self._table.get(epoch, key)
        if state is None and not self._table.is_full():
            self._table.set(epoch, key, _MARKED)
            return WitnessReply(WitnessStatus.DONE)
        return WitnessReply(
            WitnessStatus.DONE if state is _MARKED else WitnessStatus.REFUSED
        )

    def record_outcome(self, epoch, key, outcome):
        """Store the outcome that the home has sent.

        A key that has an outcome or is void keeps its state. If the table has no room
        for the response, only its status is stored.
        """
        if epoch not in self._table:
            return WitnessReply(WitnessStatus.REFUSED)
        state = self._table.get(epoch, key)
        if state is None or state is _MARKED:
            size = len(outcome.body)
            if not self._table.has_room(size):
                outcome, size = (
                    OperationOutcome(outcome.ran, outcome.status, is_complete=False),
                    0,
                )
            self._table.set(epoch, key, outcome, size)
        return WitnessReply(WitnessStatus.DONE)

    def resolve(self, epoch, key):
        """Return how a key ended; a key without a mark becomes void."""
        if epoch not in self._table:
            return WitnessReply(WitnessStatus.REFUSED)
        state = self._table.get(epoch, key)
        if state is None:
            if self._table.is_full():
                return WitnessReply(WitnessStatus.REFUSED)
            self._table.set(epoch, key, NOT_RUN)
            return WitnessReply(WitnessStatus.OUTCOME, NOT_RUN)
        if state is _MARKED:
            return WitnessReply(WitnessStatus.MARKED)
        return WitnessReply(WitnessStatus.OUTCOME, state)

    def get_key_count(self):
        """Return the number of keys in the table."""
        return self._table.entries

    def _drop_old_epochs(self, home):
        epochs = []
        for epoch in self._table.get_epochs():
            prefix = KeyPrefix.parse(epoch)
            if (prefix.home, prefix.home_nonce) == home:
                epochs.append(epoch)
        for epoch in epochs[:-KEPT_EPOCHS_PER_HOME]:
            self._table.drop(epoch)
