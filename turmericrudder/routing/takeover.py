"""Reserves the slots that a previous owner's requests may still hold."""

__all__ = ["Takeover"]

RELEASE_INTERVAL = 0.5  # seconds between the releases of two reserved slots
HANDOVER_TIMEOUT = 1.5  # seconds to wait for a previous owner's first report
MAX_REPORT_AGE = 3.0  # seconds; slots of an older report are released one by one


class Takeover:
    """The reserved slots of a newly owned target.

    A previous owner that is still reachable reports its requests in flight at the
    target; until then, all slots are reserved. If it is not reachable or does not
    report within :data:`HANDOVER_TIMEOUT`, the number of its requests is unknown:
    one slot can be used at once, and one more every :data:`RELEASE_INTERVAL`.
    """

    __slots__ = (
        "_is_awaiting_report",
        "_reported_at",
        "_reported_in_flight",
        "_slots",
        "_started_at",
    )

    def __init__(self, slots, now, has_predecessor):
        self._slots = slots
        self._started_at = now
        self._is_awaiting_report = has_predecessor
        self._reported_in_flight = None
        self._reported_at = now

    def record_predecessor_load(self, in_flight, now):
        """Record a report of the previous owner.

        The previous owner repeats it as long as it has requests in flight.

        :param in_flight: its in-flight requests at the target.
        """
        self._reported_in_flight = in_flight
        self._reported_at = now
        self._is_awaiting_report = False

    def restart(self, now):
        """Reserve all slots but one again, unless the previous owner has reported.

        Called when the target seems to have requests that this instance did not send.
        """
        if self._reported_in_flight is None:
            self._started_at = now
            self._is_awaiting_report = False

    def get_reserved_slots(self, now):
        """Return the number of slots that must not be granted at ``now``."""
        if self._reported_in_flight is not None:
            excess_age = now - self._reported_at - MAX_REPORT_AGE
            return max(
                0,
                self._reported_in_flight - max(0, int(excess_age / RELEASE_INTERVAL)),
            )
        elapsed = now - self._started_at
        if self._is_awaiting_report:
            if elapsed < HANDOVER_TIMEOUT:
                return self._slots
            elapsed -= HANDOVER_TIMEOUT
        return max(0, self._slots - 1 - int(elapsed / RELEASE_INTERVAL))
