"""Order the other owners to which a request can be forwarded."""

from dataclasses import dataclass

__all__ = ["PeerLoad", "rank_peers"]


@dataclass(frozen=True, slots=True)
class PeerLoad:
    """What is known of another instance.

    :param free_slots: free slots it told for the service, ``None`` if unknown.
    """

    name: str
    region: str
    failure_domain: str
    free_slots: int | None


def rank_peers(peers, own_member, home_region, random):
    """Return the peers in the order in which they should be asked.

    Near ones first, those of the home region before other regions, and at
    equal distance a random one of those that told of free slots.

    :param peers: iterable of :class:`PeerLoad`.
    :param own_member: this instance's member record.
    """
    keyed = [(_get_cost(peer, own_member, home_region), peer) for peer in peers]
    random.shuffle(keyed)
    keyed.sort(key=lambda pair: pair[0])
    return [peer for _, peer in keyed]


def _get_cost(peer, own_member, home_region):
    if peer.failure_domain == own_member.failure_domain:
        distance = 0
    elif peer.region == own_member.region:
        distance = 1
    elif peer.region == home_region:
        distance = 2
    else:
        distance = 3
    return (peer.free_slots == 0, distance)
