"""Selection of the entry instances that a client should connect to."""

__all__ = ["choose_entry_instances"]

MAX_ENTRIES = 64  # instances in one response


def choose_entry_instances(members, failure_domain, region, random):
    """Return the members nearest to a client, sorted by name.

    They are those of the client's failure domain or, if it has none, those of its
    region or, if that has none either, all members. Clients choose one of the
    addresses at random, so nearer and farther members are not mixed. Each member is
    included with a probability of its capacity divided by the largest capacity, so
    that a smaller one gets fewer clients.

    :param failure_domain: of the client.
    :param region: of the client.
    :param random: a ``random.Random``.
    """
    for is_candidate in (
        lambda member: member.failure_domain == failure_domain,
        lambda member: member.region == region,
        lambda member: True,
    ):
        candidates = [member for member in members if is_candidate(member)]
        if candidates:
            largest = max(member.capacity for member in candidates)
            selected = [
                m for m in candidates if random.random() * largest <= m.capacity
            ]
            return sorted(selected, key=lambda member: member.name)[:MAX_ENTRIES]
    return []
