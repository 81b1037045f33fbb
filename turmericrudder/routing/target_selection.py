"""Choose among the targets that can take a request."""

__all__ = ["choose_target"]

MIN_LATENCY = 0.0005  # seconds


def choose_target(candidates, now, random):
    """Return the target state that would finish soonest, a random one of equals.

    An owner's counts are exact, so that the best one is no stale choice.
    """
    costs = [_get_cost(state, now) for state in candidates]
    least = min(costs)
    best = [
        state for state, cost in zip(candidates, costs, strict=True) if cost == least
    ]
    return random.choice(best)


def _get_cost(state, now):
    """Return the seconds of work in flight for each slot, with one more request."""
    load = (state.in_flight + 1) / state.service.slots
    return load * max(MIN_LATENCY, state.get_latency(now))
