"""The load that a target reports in its responses."""

from dataclasses import dataclass

__all__ = ["ServerLoad"]

NORMAL_PERCENT = 100.0  # slowdown that a target reports at normal speed


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

        :returns: ``None`` if the text is malformed; load reports are optional, so this
            is no error.
        """
        fields = text.split(",")
        if len(fields) not in (3, 4):
            return None
        try:
            active, queued, slots = (int(field) for field in fields[:3])
            slowdown = float(fields[3]) / NORMAL_PERCENT if len(fields) == 4 else 1.0
        except ValueError:
            return None
        if min(active, queued) < 0 or slots < 1 or not 0 < slowdown < 1000:
            return None
        return cls(active, queued, slots, slowdown)
