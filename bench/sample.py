"""One request of a load, and figures over many."""

import math

import msgspec

from turmericrudder.units import MS_PER_SECOND

__all__ = ["Sample", "count_ends", "get_quantile_ms"]


class Sample(msgspec.Struct, frozen=True):
    """How one request ended.

    :param end: ``answered``, a verdict, ``lost``, ``cut`` or ``wrong``.
    :param began: wall clock time in seconds.
    :param seconds: time to the whole answer or to the refusal.
    """

    kind: str
    end: str
    began: float
    seconds: float
    path: str = ""
    key: str = ""


def get_quantile_ms(samples, quantile):
    """Return a quantile (0 to 1) of the samples' times, 0 if there are none."""
    if not samples:
        return 0.0
    ranked = sorted(sample.seconds for sample in samples)
    index = max(0, math.ceil(quantile * len(ranked)) - 1)
    return ranked[index] * MS_PER_SECOND


def count_ends(samples):
    """Return {end: count}."""
    counts = {}
    for sample in samples:
        counts[sample.end] = counts.get(sample.end, 0) + 1
    return counts
