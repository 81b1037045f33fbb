"""The load that a target reports in its responses."""

from dataclasses import dataclass

from ..ranges import MAX_COUNT, parse_decimal, parse_integer

__all__ = ["MAX_UTILIZATION", "ServerLoad"]

NORMAL_PERCENT = 100.0  # slowdown that a target reports at normal speed
MAX_SLOWDOWN = 1000.0
# Active and queued requests in relation to slots; a report of more is malformed.
MAX_UTILIZATION = 64.0


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """A load report of one target.

    :param active: requests that the target is processing.
    :param queued: requests that wait for a slot.
    :param slots: requests that the target processes at the same time.
    :param slowdown: factor by which the target is slower than usual.
    """

    active: int
    queued: int
    slots: int
    slowdown: float = 1.0

    @classmethod
    def parse(cls, text):
        """Return the load from text like ``3,0,8`` or ``3,0,8,130``.

        The fields are active, queued, slots and the slowdown in percent.

        :returns: ``None`` if the text is malformed or a figure is out of range; load
            reports are optional, so this is no error.
        """
        fields = text.split(",")
        if len(fields) not in (3, 4):
            return None
        numbers = [parse_integer(field, MAX_COUNT) for field in fields[:3]]
        if None in numbers:
            return None
        active, queued, slots = numbers
        if slots < 1 or active + queued > MAX_UTILIZATION * slots:
            return None
        if len(fields) == 3:
            return cls(active, queued, slots)
        percent = parse_decimal(fields[3], MAX_SLOWDOWN * NORMAL_PERCENT)
        if not percent:
            return None
        return cls(active, queued, slots, percent / NORMAL_PERCENT)
