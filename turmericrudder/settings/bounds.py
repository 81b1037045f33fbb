"""Bounds on retries, caching and load shifts for a whole deployment."""

from dataclasses import dataclass

__all__ = ["BoundSettings"]


@dataclass(frozen=True, slots=True)
class BoundSettings:
    """The ``[bounds]`` section: bounds that all instances keep together.

    :param grace: seconds from SIGTERM to SIGKILL.
    :param lookup_ttl: seconds for which clients may cache a directory response.
    :param retry_ratio: retries and hedges allowed for each request of a service.
    :param retry_extra: further retries and hedges in a window, for all instances
        together.
    :param retry_window: seconds over which retries and hedges are counted.
    :param cold_overage: factor on the request rate that a cold target tolerates.
    :param cold_slack: requests per second allowed beyond that.
    :param max_shift: bound on the region shift: the share of a region's requests
        that may move to another region from one window to the next.
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
