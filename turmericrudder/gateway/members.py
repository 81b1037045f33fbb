"""The entry instances that are registered, and the duties among them."""

from ..rendezvous import get_score, rank_names
from ..steering import choose_entry_instances

__all__ = ["STORE_READER_KEY", "Members"]

STORE_READER_KEY = "store reader"  # the key by which a region's members choose one


class Members:
    """All live members, this one among them unless it stops.

    :ivar instance_counts: (members in this one's failure domain, failure domains of its
        region with members, all such domains).
    """

    __slots__ = (
        "_all",
        "_here",
        "_is_stopping",
        "_others",
        "_reader",
        "_settings",
        "instance_counts",
    )

    def __init__(self, settings, own_member):
        """Start alone.

        :param own_member: this instance's own
            :class:`~turmericrudder.steering.GatewayMember`.
        """
        self._settings = settings
        self._here = own_member
        self._is_stopping = False
        self._others = {}
        self._derive()

    def __len__(self):
        return len(self._all)

    def put(self, member):
        """Take a registration; return whether it was news."""
        if self._others.get(member.name) == member:
            return False
        self._others[member.name] = member
        self._derive()
        return True

    def remove(self, name):
        """Take the end of a registration; return whether it was news."""
        if self._others.pop(name, None) is None:
            return False
        self._derive()
        return True

    def remove_self(self):
        """Count this instance no longer."""
        self._is_stopping = True
        self._derive()

    def is_reader(self):
        """Return whether this instance watches the store for its region."""
        return self._reader is None or self._reader.name == self._here.name

    def get_reader_address(self):
        """Return where to ask the region's reader, ``None`` if it is this one."""
        return None if self.is_reader() else self._reader.peer_address

    def get_peer_addresses(self):
        """Return the addresses of other instances, near ones if there are any."""
        others = [m for m in self._all if m.name != self._here.name]
        near = [m.peer_address for m in others if m.region == self._here.region]
        found = near or [member.peer_address for member in others]
        if not found:
            found = [a for a in self._settings.seeds if a != self._here.peer_address]
        return found

    def may_send_to_cold(self, endpoint):
        """Return whether this instance sends to a target while it is cold."""
        members = self._all
        near = [m for m in members if m.failure_domain == endpoint.failure_domain]
        if not near:
            region = self._settings.regions.get(endpoint.failure_domain)
            near = [m for m in members if m.region == region] or members
        ranked = rank_names(endpoint.id, [member.name for member in near])
        return bool(ranked) and ranked[0] == self._here.name

    def choose_entry_instances(self, failure_domain, region, random):
        """Return the members that a client of a place should connect to."""
        return choose_entry_instances(self._all, failure_domain, region, random)

    def _derive(self):
        """Work out what is asked at each request, as members change rarely."""
        others = [m for m in self._others.values() if m.name != self._here.name]
        members = others if self._is_stopping else [*others, self._here]
        self._all = tuple(members)
        near = [m for m in members if m.region == self._here.region]
        domain = self._here.failure_domain
        self.instance_counts = (
            sum(m.failure_domain == domain for m in near),
            len({m.failure_domain for m in near}),
            len({m.failure_domain for m in members}),
        )
        self._reader = max(
            near, key=lambda m: get_score(STORE_READER_KEY, m.name), default=None
        )
