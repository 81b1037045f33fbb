"""Requests executed by the upstream stand-ins, read from their journals."""

from dataclasses import dataclass

from .cluster import get_json

__all__ = ["Span", "get_max_concurrency", "get_spans"]


@dataclass(frozen=True, slots=True)
class Span:
    """One request that an upstream accepted.

    :param target: name of the upstream target.
    :param key: operation key, empty if there is none.
    :param began: wall clock time in seconds.
    :param ended: wall clock time in seconds, 0 while the request runs.
    :param finished: whether the target processed the request to its end.
    """

    target: str
    path: str
    key: str
    began: float
    ended: float
    finished: bool

    @property
    def region(self):
        """Region of the client that sent the request."""
        return self.path.rsplit("/", 1)[1].partition("-")[0]


async def get_spans(cluster, prefix=""):
    """Return the spans of all targets whose names start with ``prefix``."""
    spans = []
    for name, address in cluster.get_upstreams().items():
        if name.startswith(prefix):
            for row in await get_json(address, "/admin/spans"):
                spans.append(Span(name, *row))
    return spans


def get_max_concurrency(spans, default_end=float("inf")):
    """Return the largest number of spans that overlap at one time.

    :param default_end: end assumed for spans that are still running.
    """
    changes = []
    for span in spans:
        changes.append((span.began, 1))
        changes.append((span.ended or default_end, -1))
    changes.sort()
    peak = in_flight = 0
    for _, change in changes:
        in_flight += change
        peak = max(peak, in_flight)
    return peak
