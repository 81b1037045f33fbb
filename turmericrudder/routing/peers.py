"""Orders the other instances to which a request can be forwarded."""

from dataclasses import dataclass

__all__ = ["PeerLoad", "rank_peers"]


@dataclass(frozen=True, slots=True)
class PeerLoad:
    """An instance that owns targets of a service, and its free slots.

    :param free_slots: free slots that the instance last reported for the service,
        ``None`` if unknown.
    """

    name: str
    region: str
    failure_domain: str
    free_slots: int | None


def rank_peers(peers, own_member, home_region, random):
    """Return the peers in the order in which to forward the request to them.

    Peers known to have no free slots come last. Otherwise the order is: own failure
    domain, own region, the request's home region, other regions; peers at equal
    distance are in random order.

    :param peers: iterable of :class:`PeerLoad`.
    :param own_member: this instance's member record.
    """
    keyed = [(_get_sort_key(peer, own_member, home_region), peer) for peer in peers]
    random.shuffle(keyed)
    keyed.sort(key=lambda pair: pair[0])
    return [peer for _, peer in keyed]


def _get_sort_key(peer, own_member, home_region):
    if peer.failure_domain == own_member.failure_domain:
        distance = 0
    elif peer.region == own_member.region:
        distance = 1
    elif peer.region == home_region:
        distance = 2
    else:
        distance = 3
    return (peer.free_slots == 0, distance)
