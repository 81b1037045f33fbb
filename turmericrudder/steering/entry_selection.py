"""Which entry instances a client should connect to."""

__all__ = ["choose_entry_instances"]

MAX_ENTRIES = 64  # addresses that one answer may name


def choose_entry_instances(members, failure_domain, region, random):
    """Return members nearest to a client, all of the same distance.

    Clients choose among the addresses at random, so a farther instance is named
    only where no nearer one lives, and one that can carry less than the
    strongest is named in so many fewer of the answers.

    :param random: a ``random.Random``.
    """
    for is_near in (
        lambda member: member.failure_domain == failure_domain,
        lambda member: member.region == region,
        lambda member: True,
    ):
        found = [member for member in members if is_near(member)]
        if found:
            most = max(member.capacity for member in found)
            named = [m for m in found if random.random() * most <= m.capacity]
            return sorted(named, key=lambda member: member.name)[:MAX_ENTRIES]
    return []
