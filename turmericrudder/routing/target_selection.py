"""Selects one of the targets that have a free slot for a request."""

__all__ = ["choose_target"]

# Seconds; a lower bound, so that targets without a known latency differ by load.
MIN_LATENCY = 0.0005


def choose_target(candidates, now, random):
    """Return the candidate expected to complete the request first.

    Among equal ones, the choice is random.

    The owner's counts of in-flight requests are exact, so the selection does not
    depend on outdated load reports.

    :param candidates: :class:`~turmericrudder.routing.TargetState` objects, at
        least one.
    """
    costs = [_get_cost(state, now) for state in candidates]
    lowest = min(costs)
    best = [
        state for state, cost in zip(candidates, costs, strict=True) if cost == lowest
    ]
    return random.choice(best)


def _get_cost(state, now):
    """Return the expected seconds of work per slot, with one more request."""
    utilization = (state.in_flight + 1) / state.service.slots
    return utilization * max(MIN_LATENCY, state.get_latency(now))
