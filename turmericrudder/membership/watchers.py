"""Who watches whom, and who passes news on; functions of the view alone."""

import hashlib

__all__ = ["get_news_receivers", "get_watched", "get_watchers"]

WATCHERS_IN_DOMAIN = 3
WATCHERS_IN_REGION = 2
WATCHERS_ELSEWHERE = 5
RELAYS_PER_DOMAIN = 2


def get_watchers(member, members):
    """Return the members that expect heartbeats of ``member``.

    Some are in its failure domain, some in its region, some in others, so that
    every side of a network partition has watchers of the other.
    """
    groups = ([], [], [])
    for other in members:
        if other.name != member.name:
            groups[_get_distance(member, other)].append(other)
    watchers = []
    wanted = (WATCHERS_IN_DOMAIN, WATCHERS_IN_REGION, WATCHERS_ELSEWHERE)
    for group, count in zip(groups, wanted, strict=True):
        group.sort(key=lambda other: _get_weight(member.name, other.name))
        watchers += group[:count]
    return watchers


def get_watched(member, members):
    """Return the members of which ``member`` expects heartbeats."""
    return [
        other
        for other in members
        if other.name != member.name
        and any(w.name == member.name for w in get_watchers(other, members))
    ]


def get_news_receivers(member, members, from_domain, random):
    """Return the members to which ``member`` passes news on.

    News of one's own goes to the whole failure domain and to relays in each
    other one; news from another domain only to one's own; news from within the
    domain has been told to all of it already.

    :param from_domain: domain the news came from, ``None`` if it is one's own.
    """
    if from_domain == member.failure_domain:
        return []
    domains = {}
    for other in members:
        if other.name != member.name:
            domains.setdefault(other.failure_domain, []).append(other)
    receivers = domains.pop(member.failure_domain, [])
    if from_domain is None:
        for group in domains.values():
            receivers += random.sample(group, min(RELAYS_PER_DOMAIN, len(group)))
    return receivers


def _get_distance(member, other):
    if member.failure_domain == other.failure_domain:
        return 0
    return 1 if member.region == other.region else 2


def _get_weight(watched, watcher):
    return hashlib.blake2b(f"{watched} {watcher}".encode(), digest_size=8).digest()
