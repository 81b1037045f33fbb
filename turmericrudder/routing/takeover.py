"""Slots that a previous owner's work may still hold."""

__all__ = ["Takeover"]

STEP = 0.5  # seconds from one freed slot to the next
HANDOVER_LIMIT = 1.5  # seconds to wait for a live predecessor's word
WORD_LIMIT = 3.0  # seconds after which an unrepeated word is stale


class Takeover:
    """How many slots of a newly owned target must be left alone.

    A live predecessor tells what it still runs. Of a failed one nothing is
    known: one slot is used at once and one more each :data:`STEP`.
    """

    __slots__ = ("_began", "_slots", "_told", "_told_at", "_waiting")

    def __init__(self, slots, now, has_live_predecessor):
        self._slots = slots
        self._began = now
        self._waiting = has_live_predecessor
        self._told = None
        self._told_at = now

    def record_predecessor_load(self, in_flight, now):
        """Take the predecessor's word, repeated while it runs anything."""
        self._told = in_flight
        self._told_at = now
        self._waiting = False

    def restart(self, now):
        """Start over: the target shows work that is not ours."""
        if self._told is None:
            self._began = now
            self._waiting = False

    def get_reserved_slots(self, now):
        """Return the number of slots to leave alone at ``now``."""
        if self._told is not None:
            stale = now - self._told_at - WORD_LIMIT
            return max(0, self._told - max(0, int(stale / STEP)))
        elapsed = now - self._began
        if self._waiting:
            if elapsed < HANDOVER_LIMIT:
                return self._slots
            elapsed -= HANDOVER_LIMIT
        return max(0, self._slots - 1 - int(elapsed / STEP))
