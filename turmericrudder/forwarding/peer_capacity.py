"""Free slots of the peers, as far as this instance knows."""

import anyio

__all__ = ["PeerCapacity"]

EXHAUSTED_SECONDS = 0.3  # for which a peer counts as full


class PeerCapacity:
    """Free slots by peer and service.

    They come from heartbeats. Between heartbeats, a peer that did not run a
    forwarded request counts as having none for :data:`EXHAUSTED_SECONDS`.
    """

    __slots__ = ("_exhausted_until", "_heartbeats")

    def __init__(self):
        self._heartbeats = {}
        self._exhausted_until = {}

    def update(self, heartbeats):
        """Set the heartbeats to read free slots from.

        :param heartbeats: {name: latest heartbeat}; it is not copied, so later
            changes to it count.
        """
        self._heartbeats = heartbeats

    def mark_exhausted(self, name, service):
        """Record that a peer did not run a request of a service just now."""
        self._exhausted_until[name, service] = anyio.current_time() + EXHAUSTED_SECONDS

    def get_free_slots(self, name, service):
        """Return the number of free slots of a peer for a service.

        :returns: ``None`` if no heartbeat of the peer has arrived.
        """
        if self._exhausted_until.get((name, service), 0.0) > anyio.current_time():
            return 0
        heartbeat = self._heartbeats.get(name)
        return None if heartbeat is None else heartbeat.free_slots.get(service, 0)
