"""The registered entry instances and how tasks are assigned among them."""

from ..clock import get_boot_time
from ..rendezvous import get_score, rank_names
from ..steering import SenderRoster, choose_entry_instances

__all__ = ["STORE_READER_KEY", "Members"]

# Rendezvous key by which the members of a region choose the one that watches the store.
STORE_READER_KEY = "store reader"
# Weight of an instance in another region than the target in the division of the
# target's request rate; most requests come from the target's region.
REMOTE_RATE_WEIGHT = 0.1


class Members:
    """All live members, including this instance unless it is stopping.

    The reader of a region is the member that watches the store for all members of the
    region.

    :ivar instance_counts: (members in this instance's failure domain, failure domains
        of its region with members, failure domains of all regions with members).
    :ivar region_size: number of members in this instance's region.
    :ivar revision: number of changes so far.
    :ivar senders: the :class:`~turmericrudder.steering.SenderRoster`.
    """

    __slots__ = (
        "_is_stopping",
        "_members",
        "_others",
        "_own_member",
        "_reader",
        "_settings",
        "instance_counts",
        "region_size",
        "revision",
        "senders",
    )

    def __init__(self, settings, own_member):
        """Start with this instance as the only member.

        :param own_member: this instance's own
            :class:`~turmericrudder.steering.GatewayMember`.
        """
        self._settings = settings
        self._own_member = own_member
        self._is_stopping = False
        self._others = {}
        self.senders = SenderRoster(own_member)
        self.revision = 0
        self._update_derived()

    def __len__(self):
        return len(self._members)

    def put(self, member):
        """Add or update a member; return whether anything changed."""
        if self._others.get(member.name) == member:
            return False
        self._others[member.name] = member
        self.senders.put(member)
        self._update_derived()
        return True

    def remove(self, name):
        """Remove a member; return whether it was known."""
        if self._others.pop(name, None) is None:
            return False
        self.senders.remove(name, get_boot_time())
        self._update_derived()
        return True

    def remove_self(self):
        """Exclude this instance, which is stopping, from the members."""
        self._is_stopping = True
        self._update_derived()

    def is_reader(self):
        """Return whether this instance is the reader of its region."""
        return self._reader is None or self._reader.name == self._own_member.name

    def get_reader_address(self):
        """Return the peer address of the reader, ``None`` if it is this instance."""
        return None if self.is_reader() else self._reader.peer_address

    def get_peer_addresses(self):
        """Return the peer addresses of other instances to poll.

        They are the local ones if there are any, else the remote ones, else the seeds
        of the settings.
        """
        others = [m for m in self._members if m.name != self._own_member.name]
        local = [m.peer_address for m in others if m.region == self._own_member.region]
        addresses = local or [member.peer_address for member in others]
        if not addresses:
            addresses = [
                a for a in self._settings.seeds if a != self._own_member.peer_address
            ]
        return addresses

    def get_cold_share(self, endpoint, bound):
        """Return how many requests a second this instance may send to a cold target.

        :param bound: requests a second of all instances together.
        """
        region = self._settings.regions.get(endpoint.failure_domain)
        return self.senders.get_share(endpoint.id, region, bound, get_boot_time())

    def get_view_age(self):
        """Return the seconds since the store's content was as it is known here."""
        return self.senders.get_view_age(get_boot_time())

    def get_rate_share(self, endpoint, sender_count):
        """Return this instance's share of the request rate that a target accepts.

        The target's rate is divided among members chosen for it, those of its region
        before others, in proportion to their capacity.

        :param sender_count: number of members that send to the target at most.
        :returns: 0 to 1; 0 if this instance is not among them.
        """
        region = self._settings.regions.get(endpoint.failure_domain)
        members = {member.name: member for member in self._members}
        # While this instance stops, it still sends the requests it has accepted.
        members.setdefault(self._own_member.name, self._own_member)
        weights = {
            name: member.capacity
            * (1.0 if member.region == region else REMOTE_RATE_WEIGHT)
            for name, member in members.items()
        }
        ranked = sorted(
            rank_names(endpoint.id, members),
            key=lambda name: members[name].region != region,
        )
        senders = ranked[:sender_count]
        if self._own_member.name not in senders:
            return 0.0
        total = sum(weights[name] for name in senders)
        return weights[self._own_member.name] / total

    def choose_entry_instances(self, failure_domain, region, random):
        """Return the members that a client in a failure domain should connect to."""
        return choose_entry_instances(self._members, failure_domain, region, random)

    def _update_derived(self):
        """Compute the values needed for each request, since members rarely change."""
        self.revision += 1
        others = [m for m in self._others.values() if m.name != self._own_member.name]
        members = others if self._is_stopping else [*others, self._own_member]
        self._members = tuple(members)
        local = [m for m in members if m.region == self._own_member.region]
        domain = self._own_member.failure_domain
        self.instance_counts = (
            sum(m.failure_domain == domain for m in local),
            len({m.failure_domain for m in local}),
            len({m.failure_domain for m in members}),
        )
        self.region_size = len(local)
        self._reader = max(
            local, key=lambda m: get_score(STORE_READER_KEY, m.name), default=None
        )
