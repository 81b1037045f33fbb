"""What ran at the upstreams, read from their journals."""

from dataclasses import dataclass

from .cluster import get_json

__all__ = ["Span", "get_most", "get_spans"]


@dataclass(frozen=True, slots=True)
class Span:
    """One request that an upstream let in; times of the wall clock."""

    target: str
    path: str
    key: str
    began: float
    ended: float
    finished: bool

    @property
    def region(self):
        """The region of the client that sent it."""
        return self.path.rsplit("/", 1)[1].partition("-")[0]


async def get_spans(cluster, prefix=""):
    """Return the spans of all targets whose name starts with ``prefix``."""
    spans = []
    for name, address in cluster.get_upstreams().items():
        if name.startswith(prefix):
            for row in await get_json(address, "/admin/spans"):
                spans.append(Span(name, *row))
    return spans


def get_most(spans, until=float("inf")):
    """Return the largest number of spans that overlap at one time."""
    edges = []
    for span in spans:
        edges.append((span.began, 1))
        edges.append((span.ended or until, -1))
    edges.sort()
    most = held = 0
    for _, step in edges:
        held += step
        most = max(most, held)
    return most
