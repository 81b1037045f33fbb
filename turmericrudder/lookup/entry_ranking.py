"""Ranking of entry instances for the clients of a locality.

Instances with the same members compute the same ranking.
"""

from ..rendezvous import rank_names

__all__ = ["rank_entry_instances"]

MAX_ENTRIES = 6  # instances in a ranking
MIN_OTHER_REGION_ENTRIES = 2  # of other regions, if there are as many


def rank_entry_instances(locality, client_group, members, regions_of_domains):
    """Return the members that a client should use, best first.

    The first is as near as possible, the second in another failure domain of the
    same region if there is one, and the last ones in other regions. So the client
    has an instance to use after the loss of an instance, a failure domain or a
    region.

    :param locality: name of the client's region or failure domain.
    :param client_group: any value; clients with an equal one get the same ranking.
    :param members: the members to rank.
    :param regions_of_domains: dict of failure domain to region.
    """
    region = regions_of_domains.get(locality, locality)
    ranked = rank_names(
        f"place {locality} {client_group}", [member.name for member in members]
    )
    by_name = {member.name: member for member in members}
    ordered = [by_name[name] for name in ranked]
    ordered.sort(key=lambda member: _get_distance(member, locality, region))
    return _limit_entries(ordered)


def _get_distance(member, locality, region):
    if member.failure_domain == locality:
        return 0
    return 1 if member.region == region else 2


def _limit_entries(ordered):
    """Return the ``MAX_ENTRIES`` best members, some of them in other regions."""
    if not ordered:
        return []
    region = ordered[0].region
    same_region = [member for member in ordered if member.region == region]
    other_regions = [member for member in ordered if member.region != region]
    other_region_count = min(MIN_OTHER_REGION_ENTRIES, len(other_regions))
    same_region = _move_first_of_domains_up(same_region)[
        : MAX_ENTRIES - other_region_count
    ]
    return (
        same_region
        + _move_first_of_domains_up(other_regions)[: MAX_ENTRIES - len(same_region)]
    )


def _move_first_of_domains_up(members):
    """Return the members with the first one of each failure domain in front."""
    seen_domains, first, rest = set(), [], []
    for member in members:
        (rest if member.failure_domain in seen_domains else first).append(member)
        seen_domains.add(member.failure_domain)
    return first + rest
