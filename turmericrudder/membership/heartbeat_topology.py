"""Selects the receivers of heartbeats and of membership updates.

Heartbeat receivers depend on the members only, so that instances with equal views
agree on them.
"""

import hashlib

__all__ = ["get_gossip_peers", "get_heartbeat_receivers", "get_heartbeat_senders"]

RECEIVERS_IN_DOMAIN = 3
RECEIVERS_IN_REGION = 2  # in other failure domains of the region
RECEIVERS_IN_OTHER_REGIONS = 5
RELAYS_PER_DOMAIN = 2  # in each other failure domain


def get_heartbeat_receivers(member, members):
    """Return the members to which ``member`` sends its heartbeats.

    They are its successors on a hash ring: some in its failure domain, some in its
    region and some in other regions, so that after a network partition the instances
    on either side are monitored by some on the other.
    """
    ring = _build_ring(members)
    return _select_receivers(member, ring, _get_index(member, ring))


def get_heartbeat_senders(member, members):
    """Return the members whose heartbeats ``member`` receives."""
    ring = _build_ring(members)
    return [
        other
        for index, other in enumerate(ring)
        if other.name != member.name
        and any(
            receiver.name == member.name
            for receiver in _select_receivers(other, ring, index)
        )
    ]


def get_gossip_peers(member, members, from_domain, random):
    """Return the members to which ``member`` sends a membership update.

    An update that originates at ``member`` goes to its whole failure domain and to
    some relays in each other domain. An update from another domain is forwarded
    within the domain of ``member`` only. An update from that domain itself is not
    forwarded, because its sender has sent it to the whole domain.

    :param from_domain: failure domain of the instance that sent the update, ``None``
        if the update originates at ``member``.
    :param random: the :class:`random.Random` that selects the relays.
    """
    if from_domain == member.failure_domain:
        return []
    domains = {}
    for other in members:
        if other.name != member.name:
            domains.setdefault(other.failure_domain, []).append(other)
    receivers = domains.pop(member.failure_domain, [])
    if from_domain is None:
        for candidates in domains.values():
            receivers += random.sample(
                candidates, min(RELAYS_PER_DOMAIN, len(candidates))
            )
    return receivers


def _get_distance(member, other):
    """Return 0 in the same failure domain, 1 in the same region, otherwise 2."""
    if member.failure_domain == other.failure_domain:
        return 0
    return 1 if member.region == other.region else 2


def _build_ring(members):
    return sorted(members, key=lambda member: _get_ring_key(member.name))


def _get_ring_key(name):
    return hashlib.blake2b(name.encode(), digest_size=8).digest(), name


def _get_index(member, ring):
    names = [other.name for other in ring]
    return names.index(member.name) if member.name in names else -1


def _select_receivers(member, ring, index):
    """Return the next members after an index, a fixed number at each distance."""
    missing = [RECEIVERS_IN_DOMAIN, RECEIVERS_IN_REGION, RECEIVERS_IN_OTHER_REGIONS]
    receivers = []
    for step in range(1, len(ring)):
        other = ring[(index + step) % len(ring)]
        distance = _get_distance(member, other)
        if missing[distance]:
            missing[distance] -= 1
            receivers.append(other)
            if not any(missing):
                break
    return receivers
