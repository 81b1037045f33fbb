"""Bounds on retries, caching and load shifts for a whole deployment."""

from dataclasses import dataclass

__all__ = ["BoundSettings"]


@dataclass(frozen=True, slots=True)
class BoundSettings:
    """The ``[bounds]`` section: bounds for the deployment as a whole.

    :param grace: seconds from SIGTERM to SIGKILL.
    :param lookup_ttl: seconds for which clients may cache a directory response.
    :param retry_ratio: retries and hedges allowed for each request of a service.
    :param retry_extra: further retries and hedges of a service in ``retry_window``,
        for all instances together.
    :param retry_window: seconds over which retries and hedges are counted.
    :param cold_overage: factor on the request rate that a cold target (one whose
        caches are empty after a start) tolerates; the product is the rate allowed.
    :param cold_slack: requests per second allowed beyond that.
    :param max_shift: bound on the region shift: the largest change of the share of a
        region's requests that run in other regions, between two windows of the
        region shift limiter.
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
