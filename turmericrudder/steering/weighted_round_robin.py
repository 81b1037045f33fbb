"""Weighted round robin over the backends of a route."""

__all__ = ["SmoothWeightedRoundRobin"]


class SmoothWeightedRoundRobin:
    """Smooth weighted round robin, as in nginx.

    With integer weights, the shares are exact over as many requests as the weights
    add up to.
    """

    __slots__ = ("_current_weights",)

    def __init__(self):
        self._current_weights = {}

    def choose(self, backends):
        """Return the service of the next request.

        :param backends: the route's backends, at least one. If all weights are 0,
            the first is used.
        """
        if len(backends) == 1:
            return backends[0].service
        current_weights = self._current_weights
        total = 0.0
        best = None
        for backend in backends:
            total += backend.weight
            current_weight = current_weights.get(backend.service, 0.0) + backend.weight
            current_weights[backend.service] = current_weight
            if backend.weight > 0 and (
                best is None or current_weight > current_weights[best]
            ):
                best = backend.service
        if best is None:
            return backends[0].service
        current_weights[best] -= total
        return best
