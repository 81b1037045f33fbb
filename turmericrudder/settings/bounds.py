"""Bounds that a deployment sets on what the system does."""

from dataclasses import dataclass

__all__ = ["BoundSettings"]


@dataclass(frozen=True, slots=True)
class BoundSettings:
    """Figures that all instances of a deployment keep together.

    :param grace: seconds from SIGTERM to SIGKILL.
    :param lookup_ttl: seconds that clients may keep a directory's answer.
    :param retry_ratio: repeats for each request of a service.
    :param retry_extra: further repeats in a window, for all instances together.
    :param retry_window: seconds.
    :param cold_overage: factor on the rate that a cold target tolerates.
    :param cold_slack: requests a second beyond that.
    :param max_shift: share of a region's requests that may change the region
        they run in from one window to the next.
    """

    grace: float
    lookup_ttl: float
    retry_ratio: float
    retry_extra: float
    retry_window: float
    cold_overage: float
    cold_slack: float
    max_shift: float

    @classmethod
    def read(cls, section):
        """Return the settings of the ``[bounds]`` section."""
        return cls(
            grace=section.get_duration("grace"),
            lookup_ttl=section.get_duration("lookup_ttl"),
            retry_ratio=section.get_float("retry_ratio"),
            retry_extra=section.get_float("retry_extra"),
            retry_window=section.get_duration("retry_window"),
            cold_overage=section.get_float("cold_overage", 1.0),
            cold_slack=section.get_float("cold_slack", 0.0),
            max_shift=section.get_float("max_shift", 1.0),
        )
