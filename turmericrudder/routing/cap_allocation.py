"""Divide the cap of a service in a region over its targets."""

from ..rendezvous import rank_names

__all__ = ["allocate_cap"]


def allocate_cap(cap, service, names):
    """Return {target name: slots} that add up to ``cap``.

    A function of its arguments alone, so that owners need not agree on
    anything; a larger cap gives no target less.
    """
    ranked = rank_names(f"cap {service}", names)
    if not ranked:
        return {}
    base, rest = divmod(cap, len(ranked))
    return {name: base + (index < rest) for index, name in enumerate(ranked)}
