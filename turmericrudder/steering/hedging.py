"""When a second send of an idempotent request may still make it faster.

Some answers take many times as long as others of their kind, for no reason that
is known before. A second send then often ends first, even at the same target.
"""

__all__ = ["can_hedge", "get_hedge_delay"]

# Times the expected seconds. Most answers come within the first; later than the
# last, the first send is more likely to be stuck than to be about to end.
EARLIEST = 1.4
LATEST = 2.5
SPARE = 1.2  # times the expected seconds that the second send is given
MAX_CROWD = 0.5  # requests for each slot; above, second sends delay other requests
MIN_DELAY = 0.02  # seconds; less is lost in scheduling


def get_hedge_delay(expected, left):
    """Return the seconds after which a second send may be tried.

    It is the last moment at which the second can keep the objective, if that is
    a time at which the first is late.

    :param expected: seconds that the first send is expected to take.
    :param left: seconds until the objective.
    """
    delay = min(LATEST * expected, left - SPARE * expected)
    return max(MIN_DELAY, EARLIEST * expected, delay)


def can_hedge(selection, now):
    """Return whether a second send would delay no other request.

    :param selection: the :class:`~turmericrudder.steering.selection.Selection` for it.
    """
    target = selection.target
    has_slot = target.get_load(now) + 1 <= target.endpoint.slots
    return has_slot and selection.region_utilization <= MAX_CROWD
