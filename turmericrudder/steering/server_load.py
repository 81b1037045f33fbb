"""A target's own word of its load."""

from dataclasses import dataclass

__all__ = ["ServerLoad"]

USUAL_PACE = 100.0  # the figure a target gives when work takes as long as usual


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """What a target says along with an answer.

    :param slowdown: how long work takes now, relative to the usual time.
    """

    active: int
    queued: int
    slots: int
    slowdown: float = 1.0

    @classmethod
    def parse(cls, text):
        """Return the load in a text like ``3,0,8`` or ``3,0,8,130``.

        :returns: ``None`` if the text is malformed: a report is only evidence.
        """
        parts = text.split(",")
        if len(parts) not in (3, 4):
            return None
        try:
            active, queued, slots = (int(part) for part in parts[:3])
            slowdown = float(parts[3]) / USUAL_PACE if len(parts) == 4 else 1.0
        except ValueError:
            return None
        if min(active, queued) < 0 or slots < 1 or not 0 < slowdown < 1000:
            return None
        return cls(active, queued, slots, slowdown)
