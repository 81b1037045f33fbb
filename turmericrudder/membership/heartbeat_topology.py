"""Who watches whom, and who passes news on; functions of the view alone."""

import hashlib

__all__ = ["get_gossip_peers", "get_heartbeat_receivers", "get_heartbeat_senders"]

WATCHERS_IN_DOMAIN = 3
WATCHERS_IN_REGION = 2
WATCHERS_ELSEWHERE = 5
RELAYS_PER_DOMAIN = 2


def get_heartbeat_receivers(member, members):
    """Return the members that expect heartbeats of ``member``.

    They follow it on a ring. Some are in its failure domain, some in its
    region, some in others, so that every side of a network partition has
    watchers of the other.
    """
    ring = _build_ring(members)
    return _walk(member, ring, _find(member, ring))


def get_heartbeat_senders(member, members):
    """Return the members of which ``member`` expects heartbeats."""
    ring = _build_ring(members)
    return [
        other
        for index, other in enumerate(ring)
        if other.name != member.name
        and any(w.name == member.name for w in _walk(other, ring, index))
    ]


def get_gossip_peers(member, members, from_domain, random):
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


def _build_ring(members):
    return sorted(members, key=lambda member: _get_position(member.name))


def _get_position(name):
    return hashlib.blake2b(name.encode(), digest_size=8).digest(), name


def _find(member, ring):
    names = [other.name for other in ring]
    return names.index(member.name) if member.name in names else -1


def _walk(member, ring, index):
    """Return the next members on the ring, as many of each kind as wanted."""
    wanted = [WATCHERS_IN_DOMAIN, WATCHERS_IN_REGION, WATCHERS_ELSEWHERE]
    watchers = []
    for step in range(1, len(ring)):
        other = ring[(index + step) % len(ring)]
        distance = _get_distance(member, other)
        if wanted[distance]:
            wanted[distance] -= 1
            watchers.append(other)
            if not any(wanted):
                break
    return watchers
