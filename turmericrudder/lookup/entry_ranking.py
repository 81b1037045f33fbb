"""Order entry instances for a place; equal views give equal orders."""

from ..rendezvous import rank_names

__all__ = ["rank_entry_instances"]

MAX_ENTRIES = 6
MIN_ELSEWHERE = 2


def rank_entry_instances(place, block, members, regions_of_domains):
    """Return member records for a client of a block, best first.

    The first is near; the second is in another failure domain of the region
    if there is one; then come other regions, so that each kind of loss leaves
    the caller something to try.

    :param place: name of a region or failure domain.
    :param block: any text that is equal for the clients to be kept together.
    :param members: records that may be named.
    :param regions_of_domains: dict of failure domain to region.
    """
    region = regions_of_domains.get(place, place)
    ranked = rank_names(f"place {place} {block}", [member.name for member in members])
    by_name = {member.name: member for member in members}
    ordered = [by_name[name] for name in ranked]
    ordered.sort(key=lambda member: _get_distance(member, place, region))
    return _spread(ordered)


def _get_distance(member, place, region):
    if member.failure_domain == place:
        return 0
    return 1 if member.region == region else 2


def _spread(ordered):
    """Cut the order so that all kinds of places are in it.

    Within a region, the first member of each failure domain goes first.
    """
    if not ordered:
        return []
    region = ordered[0].region
    near = [member for member in ordered if member.region == region]
    far = [member for member in ordered if member.region != region]
    elsewhere = min(MIN_ELSEWHERE, len(far))
    near = _interleave(near)[: MAX_ENTRIES - elsewhere]
    return near + _interleave(far)[: MAX_ENTRIES - len(near)]


def _interleave(members):
    seen, first, rest = set(), [], []
    for member in members:
        (rest if member.failure_domain in seen else first).append(member)
        seen.add(member.failure_domain)
    return first + rest
