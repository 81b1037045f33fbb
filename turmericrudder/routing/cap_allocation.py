"""Divides a service's cap on foreign requests in a region among its targets."""

from ..rendezvous import rank_names

__all__ = ["allocate_cap"]


def allocate_cap(cap, service, names):
    """Return {target name: slots} with ``cap`` slots in total.

    The result depends on the arguments only, so that all owners compute the same
    allocation without communication. A larger cap gives no target fewer slots.

    :param cap: slots that foreign requests, those with another home region, may hold
        at all targets together.
    :param service: name of the service.
    :param names: names of the service's targets in the region.
    """
    ranked = rank_names(f"cap {service}", names)
    if not ranked:
        return {}
    base, remainder = divmod(cap, len(ranked))
    return {name: base + (index < remainder) for index, name in enumerate(ranked)}
