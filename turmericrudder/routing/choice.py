"""Choose among the targets that can take a request."""

__all__ = ["choose_target"]

CHOICES = 2
MIN_LATENCY = 0.0005  # seconds


def choose_target(candidates, now, random):
    """Return the better of two randomly drawn target states.

    The better one would finish sooner: fewer requests in flight for its slots,
    at its own latency.
    """
    if len(candidates) > CHOICES:
        candidates = random.sample(candidates, CHOICES)
    return min(candidates, key=lambda state: _get_cost(state, now))


def _get_cost(state, now):
    load = (state.in_flight + 1) / state.service.slots
    return load * max(MIN_LATENCY, state.get_latency(now))
