"""Talk to the witnesses of keys, and be a witness for other homes."""

from ..control import MarkKey, OpenEpoch, RecordOutcome, ResolveKey, WitnessStatus
from ..errors import PeerUnreachable
from ..operation import WitnessTable

__all__ = ["WitnessService"]

OUTCOME_ATTEMPTS = 6


class WitnessService:
    """Calls witnesses; answers as one from its own table."""

    __slots__ = (
        "_channel",
        "_here",
        "_patience",
        "_table",
        "_tasks",
        "_telling",
        "_view",
    )

    def __init__(self, own_member, settings, view, channel, tasks):
        """Prepare an empty table.

        :param tasks: task group for telling outcomes in the background.
        """
        self._here = own_member
        self._view = view
        self._channel = channel
        self._tasks = tasks
        self._patience = settings.timing.mark_timeout
        self._table = WitnessTable(own_member.nonce, settings.limits)
        self._telling = 0

    def has_pending_outcomes(self):
        """Return whether a witness still has to be told of an outcome."""
        return self._telling > 0

    def get_entry_count(self):
        """Return the number of other homes' keys kept here."""
        return self._table.get_entry_count()

    def handle_witness_message(self, message):
        """Return the witness's answer, ``None`` to another kind of message."""
        match message:
            case OpenEpoch(epoch):
                return self._table.open(epoch)
            case MarkKey(epoch, key):
                return self._table.mark(epoch, key)
            case RecordOutcome(epoch, key, outcome):
                return self._table.record_outcome(epoch, key, outcome)
            case ResolveKey(epoch, key):
                return self._table.void(epoch, key)
        return None

    async def open_epoch(self, member, prefix):
        """Return whether a member keeps an epoch from now on."""
        answer = await self._call_member(member, OpenEpoch(str(prefix)))
        return answer is not None and answer.status is WitnessStatus.DONE

    async def mark(self, key):
        """Return whether the key may be started."""
        if not key.prefix.witness:
            return True
        answer = await self._call(key, MarkKey(str(key.prefix), key.suffix))
        return answer is not None and answer.status is WitnessStatus.DONE

    async def resolve(self, key):
        """Return how a key ended, voiding it if it is not marked.

        :returns: the outcome, ``None`` if the key may have run.
        """
        answer = await self._call(key, ResolveKey(str(key.prefix), key.suffix))
        if answer is None or answer.status is not WitnessStatus.OUTCOME:
            return None
        return answer.outcome

    def report_outcome(self, key, outcome):
        """Tell the witness in the background how a key ended."""
        if key.prefix.witness:
            message = RecordOutcome(str(key.prefix), key.suffix, outcome)
            self._telling += 1
            self._tasks.start_soon(self._repeat, key, message)

    async def _repeat(self, key, message):
        try:
            for _ in range(OUTCOME_ATTEMPTS):
                if await self._call(key, message) is not None:
                    return
        finally:
            self._telling -= 1

    async def _call(self, key, message):
        """Return the answer of a key's witness, ``None`` if there is none."""
        prefix = key.prefix
        here = (self._here.name, self._here.nonce)
        if (prefix.witness, prefix.witness_nonce) == here:
            return self.handle_witness_message(message)
        member = self._view.get(prefix.witness)
        if member is None or member.nonce != prefix.witness_nonce:
            return None
        return await self._call_member(member, message)

    async def _call_member(self, member, message):
        try:
            return await self._channel.call(
                member.control_address, message, self._patience
            )
        except PeerUnreachable:
            return None
