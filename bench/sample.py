"""The result of one request of a load generator, and statistics over many."""

import math

import msgspec

from turmericrudder.units import MS_PER_SECOND

__all__ = ["Sample", "count_ends", "get_quantile_ms"]


class Sample(msgspec.Struct, frozen=True):
    """The result of one request.

    :param kind: kind of request, such as ``read`` or ``upload``.
    :param end: ``answered`` (a complete, correct response), ``wrong`` (an
        incorrect one), ``not_run`` (rejected before it ran), ``lost`` (it ran,
        but its response was lost) or ``cut`` (no complete response came). For
        operations with a key, the verdict ``ran`` or ``may_have_run`` replaces
        ``lost`` and ``cut``.
    :param began: wall clock time in seconds.
    :param seconds: latency until the complete response or the error.
    :param path: path of the request, empty for operations.
    :param key: operation key, empty if there is none.
    """

    kind: str
    end: str
    began: float
    seconds: float
    path: str = ""
    key: str = ""


def get_quantile_ms(samples, quantile):
    """Return a quantile (0 to 1) of the latencies, 0.0 without samples."""
    if not samples:
        return 0.0
    ranked = sorted(sample.seconds for sample in samples)
    index = max(0, math.ceil(quantile * len(ranked)) - 1)
    return ranked[index] * MS_PER_SECOND


def count_ends(samples):
    """Return {end: number of samples}."""
    counts = {}
    for sample in samples:
        counts[sample.end] = counts.get(sample.end, 0) + 1
    return counts
