"""Which peers have free slots, as far as they told."""

import anyio

__all__ = ["PeerCapacity"]

EXHAUSTED_SECONDS = 0.3


class PeerCapacity:
    """Free slots from heartbeats, corrected by refusals in between."""

    __slots__ = ("_exhausted", "_heard")

    def __init__(self):
        self._heard = {}
        self._exhausted = {}

    def update(self, heartbeats):
        """Take the heartbeats.

        :param heartbeats: {name: latest heartbeat}, a live view.
        """
        self._heard = heartbeats

    def mark_exhausted(self, name, service):
        """Note that a peer had no slot for a service just now."""
        self._exhausted[name, service] = anyio.current_time() + EXHAUSTED_SECONDS

    def get_free_slots(self, name, service):
        """Return the free slots of a peer, ``None`` if it told nothing."""
        if self._exhausted.get((name, service), 0.0) > anyio.current_time():
            return 0
        heartbeat = self._heard.get(name)
        return None if heartbeat is None else heartbeat.free_slots.get(service, 0)
