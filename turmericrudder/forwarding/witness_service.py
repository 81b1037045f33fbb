"""Calls to the witnesses of operation keys, and handling of received calls.

The home of an operation key, the only instance that may run it, has the key
marked at another instance, the witness, before it runs it. While the home cannot
be reached, the witness can report whether the key may have run.
"""

from ..control import MarkKey, OpenEpoch, RecordOutcome, ResolveKey, WitnessStatus
from ..errors import PeerUnreachable
from ..operation import WitnessTable

__all__ = ["WitnessService"]

OUTCOME_ATTEMPTS = 6  # calls to the witness per outcome, until it replies


class WitnessService:
    """Calls witnesses, and handles the calls of homes that chose this instance."""

    __slots__ = (
        "_call_timeout",
        "_channel",
        "_own_member",
        "_pending_outcomes",
        "_tasks",
        "_view",
        "_witness_table",
    )

    def __init__(self, own_member, settings, view, channel, tasks):
        """Prepare without any keys of other homes.

        :param view: the :class:`~turmericrudder.membership.MembershipView`.
        :param channel: the :class:`~turmericrudder.control.Channel`.
        :param tasks: task group in which outcomes are sent in the background.
        """
        self._own_member = own_member
        self._view = view
        self._channel = channel
        self._tasks = tasks
        self._call_timeout = settings.timing.mark_timeout
        self._witness_table = WitnessTable(own_member.nonce, settings.limits)
        self._pending_outcomes = 0

    def has_pending_outcomes(self):
        """Return whether outcomes are still being sent to witnesses."""
        return self._pending_outcomes > 0

    def get_key_count(self):
        """Return the number of keys of other homes in the witness table."""
        return self._witness_table.get_key_count()

    def handle_witness_message(self, message):
        """Handle a message of a home to its witness.

        :returns: the :class:`~turmericrudder.control.WitnessReply`, ``None`` if
            it is another kind of message.
        """
        match message:
            case OpenEpoch(epoch):
                return self._witness_table.open(epoch)
            case MarkKey(epoch, key):
                return self._witness_table.mark(epoch, key)
            case RecordOutcome(epoch, key, outcome):
                return self._witness_table.record_outcome(epoch, key, outcome)
            case ResolveKey(epoch, key):
                return self._witness_table.resolve(epoch, key)
        return None

    async def open_epoch(self, member, prefix):
        """Ask an instance to be the witness of an epoch.

        :param member: its member record.
        :param prefix: the :class:`~turmericrudder.operation.KeyPrefix`.
        :returns: whether it agreed.
        """
        reply = await self._call_member(member, OpenEpoch(str(prefix)))
        return reply is not None and reply.status is WitnessStatus.DONE

    async def mark(self, key):
        """Have the witness of a key mark it as started.

        :returns: whether the home may run the key now; always true for a key
            without a witness.
        """
        if not key.prefix.witness:
            return True
        reply = await self._call_witness(key, MarkKey(str(key.prefix), key.suffix))
        return reply is not None and reply.status is WitnessStatus.DONE

    async def resolve(self, key):
        """Ask the witness of a key how it ended.

        A key that is not marked becomes void: its home can no longer run it.

        :returns: the :class:`~turmericrudder.control.OperationOutcome`, ``None``
            if the key may have run.
        """
        reply = await self._call_witness(key, ResolveKey(str(key.prefix), key.suffix))
        if reply is None or reply.status is not WitnessStatus.OUTCOME:
            return None
        return reply.outcome

    def report_outcome(self, key, outcome):
        """Send the outcome of a key to its witness in the background."""
        if key.prefix.witness:
            message = RecordOutcome(str(key.prefix), key.suffix, outcome)
            self._pending_outcomes += 1
            self._tasks.start_soon(self._send_outcome, key, message)

    async def _send_outcome(self, key, message):
        try:
            for _ in range(OUTCOME_ATTEMPTS):
                if await self._call_witness(key, message) is not None:
                    return
        finally:
            self._pending_outcomes -= 1

    async def _call_witness(self, key, message):
        """Return the reply of a key's witness, ``None`` if there is none."""
        prefix = key.prefix
        own_identity = (self._own_member.name, self._own_member.nonce)
        if (prefix.witness, prefix.witness_nonce) == own_identity:
            return self.handle_witness_message(message)
        member = self._view.get(prefix.witness)
        if member is None or member.nonce != prefix.witness_nonce:
            return None
        return await self._call_member(member, message)

    async def _call_member(self, member, message):
        try:
            return await self._channel.call(
                member.control_address, message, self._call_timeout
            )
        except PeerUnreachable:
            return None
