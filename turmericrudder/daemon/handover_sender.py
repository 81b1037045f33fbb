"""Report to new owners of targets the requests still in flight from this instance."""

import anyio

from ..control import Handover

__all__ = ["HandoverSender"]


class HandoverSender:
    """Sends in-flight counts of released targets to their new owners.

    The owner of a target is the one instance that counts and grants the target's
    slots. A target is released when this instance is no longer its owner. The new
    owner keeps as many slots unused as requests of this instance are still in
    flight. Counts are sent again each heartbeat period until they are zero.
    """

    __slots__ = (
        "_allocator",
        "_channel",
        "_interval",
        "_membership",
        "_name",
        "_ownership",
    )

    def __init__(self, settings, dispatcher, ownership, membership, channel):
        self._name = settings.name
        self._interval = settings.timing.heartbeat
        self._allocator = dispatcher.allocator
        self._ownership = ownership
        self._membership = membership
        self._channel = channel

    def notify_owner(self, target_name):
        """Send the count of a target now, unless this instance owns the target."""
        if self._allocator.get_state(target_name) is None:
            self._send([target_name])

    async def run(self):
        """Send the counts of all released targets periodically until cancelled."""
        while True:
            await anyio.sleep(self._interval)
            self._send(self._allocator.get_released_in_flight(anyio.current_time()))

    def _send(self, target_names):
        released = self._allocator.get_released_in_flight(anyio.current_time())
        counts = {}
        for target_name in target_names:
            owner = self._ownership.current and self._ownership.current.get_owner(
                target_name
            )
            if owner is not None and owner.name != self._name:
                counts.setdefault(owner.name, {})[target_name] = released.get(
                    target_name, 0
                )
        for owner_name, in_flight in counts.items():
            member = self._membership.view.get(owner_name)
            if member is not None:
                self._channel.send(member.control_address, Handover(in_flight))
