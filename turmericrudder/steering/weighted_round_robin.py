"""Distribute a route's requests over its backends by weight."""

__all__ = ["SmoothWeightedRoundRobin"]


class SmoothWeightedRoundRobin:
    """Smooth weighted round robin: shares are exact over a few requests."""

    __slots__ = ("_credits",)

    def __init__(self):
        self._credits = {}

    def choose(self, backends):
        """Return the service of the next request.

        :param backends: the route's backends, at least one.
        """
        if len(backends) == 1:
            return backends[0].service
        credits = self._credits
        total = 0.0
        best = None
        for backend in backends:
            total += backend.weight
            credit = credits.get(backend.service, 0.0) + backend.weight
            credits[backend.service] = credit
            if backend.weight > 0 and (best is None or credit > credits[best]):
                best = backend.service
        if best is None:
            return backends[0].service
        credits[best] -= total
        return best
