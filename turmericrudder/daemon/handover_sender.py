"""The task that tells new owners what still runs at released targets."""

import anyio

from ..control import Handover

__all__ = ["HandoverSender"]


class HandoverSender:
    """Repeats the word until nothing of this instance's work runs there."""

    __slots__ = (
        "_channel",
        "_membership",
        "_name",
        "_ownership",
        "_period",
        "_pool",
    )

    def __init__(self, settings, dispatcher, ownership, membership, channel):
        self._name = settings.name
        self._period = settings.timing.heartbeat
        self._pool = dispatcher.allocator
        self._ownership = ownership
        self._membership = membership
        self._channel = channel

    def notify_owner(self, target_name):
        """Tell the owner of a target at once, if that is another instance."""
        if self._pool.get_state(target_name) is None:
            self._send([target_name])

    async def run(self):
        """Repeat what is known until cancelled."""
        while True:
            await anyio.sleep(self._period)
            self._send(self._pool.get_released_in_flight(anyio.current_time()))

    def _send(self, names):
        released = self._pool.get_released_in_flight(anyio.current_time())
        words = {}
        for name in names:
            owner = self._ownership.current and self._ownership.current.get_owner(name)
            if owner is not None and owner.name != self._name:
                words.setdefault(owner.name, {})[name] = released.get(name, 0)
        for name, in_flight in words.items():
            member = self._membership.view.get(name)
            if member is not None:
                self._channel.send(member.control_address, Handover(in_flight))
