"""Conditions for a hedged attempt of an idempotent request.

Some responses take many times as long as others of their kind, for no reason known
in advance. A hedged attempt then often ends first, even at the same target.
"""

__all__ = ["can_hedge", "get_hedge_delay"]

# Bounds of the delay, as factors on the expected latency. Most responses arrive
# within the first; after the last, the first attempt is more likely to be stuck
# than to be about to end.
MIN_DELAY_FACTOR = 1.4
MAX_DELAY_FACTOR = 2.5
HEDGE_LATENCY_FACTOR = 1.2  # times the expected latency is reserved for the hedge
MAX_UTILIZATION = 0.5  # of the region; above it, hedges delay other requests
MIN_DELAY = 0.02  # seconds; scheduling is too imprecise for shorter delays


def get_hedge_delay(expected_latency, remaining):
    """Return the seconds after which a hedged attempt may be sent.

    It is the last moment at which the hedge can still meet the objective, bounded
    by ``MIN_DELAY_FACTOR`` and ``MAX_DELAY_FACTOR``.

    :param expected_latency: seconds that the first attempt is expected to take.
    :param remaining: seconds until the objective, negative after it.
    """
    delay = min(
        MAX_DELAY_FACTOR * expected_latency,
        remaining - HEDGE_LATENCY_FACTOR * expected_latency,
    )
    return max(MIN_DELAY, MIN_DELAY_FACTOR * expected_latency, delay)


def can_hedge(selection, now):
    """Return whether a hedged attempt would delay no other request.

    :param selection: the :class:`~turmericrudder.steering.selection.Selection` for it.
    """
    target = selection.target
    has_slot = target.get_load(now) + 1 <= target.endpoint.slots
    return has_slot and selection.region_utilization <= MAX_UTILIZATION
