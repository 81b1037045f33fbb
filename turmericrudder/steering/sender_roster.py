"""The division of what a cold target tolerates among the instances.

A target that is cold tolerates few requests a second from all instances together, and
instances differ in what they know: the store may reject some of them, or all, and a
process may restart, stand still or be cut off. So each instance takes a fixed part, and
the parts add up to the bound for all that may be known:

- The part of an instance follows from its rank among the members that it knows. With
  more members, no part grows. So the parts of all senders stay within the bound if each
  sender knows at least all other senders, and perhaps further members.
- An instance sends only while its own registration and its view of the members have
  been confirmed within :data:`SHARE_TTL`, and from :data:`JOIN_DELAY` after it
  registered. By then each other sender has a view that is later than this registration.
- A member whose registration is removed counts for :data:`FORMER_MEMBER_TTL` more. By
  then it has stopped to send, since its registration is not confirmed any longer.

Times are those of :func:`~turmericrudder.clock.get_boot_time`, so that a suspended
process does not take an old confirmation for a recent one.
"""

import math

from ..rendezvous import rank_names

__all__ = ["FORMER_MEMBER_TTL", "JOIN_DELAY", "SHARE_TTL", "SenderRoster"]

SHARE_TTL = 4.0  # seconds
# Seconds; a confirmation that is under way when an instance registers may not show it.
JOIN_DELAY = SHARE_TTL + 1.5
# Seconds; longer than SHARE_TTL and than a stop takes.
FORMER_MEMBER_TTL = 12.0
# Fraction of the bound that is divided. The rest is left for what is under way to a
# target before any instance can know that it is cold.
DIVIDED_FRACTION = 0.8
LOCAL_FRACTION = 0.8  # of what is divided, for the instances in the target's region
MAX_CACHED_SHARES = 4096


class SenderRoster:
    """The members, present and former, and this instance's part of each bound.

    :param own_member: this instance's
        :class:`~turmericrudder.steering.GatewayMember`.
    """

    __slots__ = (
        "_former_until",
        "_members",
        "_own_member",
        "_registered_since",
        "_registration_confirmed_at",
        "_shares",
        "view_confirmed_at",
    )

    def __init__(self, own_member):
        self._own_member = own_member
        self._members = {own_member.name: own_member}
        self._former_until = {}  # name -> time from which it no longer counts
        self._registered_since = math.inf
        self._registration_confirmed_at = -math.inf
        self._shares = {}  # (target id, region) -> _Share
        self.view_confirmed_at = -math.inf

    def put(self, member):
        """Count a member that is registered."""
        self._former_until.pop(member.name, None)
        if self._members.get(member.name) != member:
            self._members[member.name] = member
            self._shares.clear()

    def remove(self, name, now):
        """Count a member as a former one for a while, since it may still send."""
        if name in self._members and name != self._own_member.name:
            self._former_until[name] = now + FORMER_MEMBER_TTL

    def forget_former(self, now):
        """Remove the former members that no longer count."""
        for name, until in list(self._former_until.items()):
            if now >= until:
                del self._former_until[name]
                del self._members[name]
                self._shares.clear()

    def confirm_registration(self, called_at):
        """Record that the store has kept this instance's registration.

        :param called_at: time at which the call to the store began.
        """
        if called_at >= self._registration_confirmed_at + SHARE_TTL:
            self._registered_since = called_at
        self._registration_confirmed_at = max(
            called_at, self._registration_confirmed_at
        )

    def confirm_view(self, as_of):
        """Record that this instance knows the store's content as of a time."""
        self.view_confirmed_at = max(as_of, self.view_confirmed_at)

    def get_view_age(self, now):
        """Return the seconds since the store's content was as it is known here."""
        return now - self.view_confirmed_at

    def may_send(self, now):
        """Return whether this instance may send to cold targets at all."""
        confirmed_at = min(self._registration_confirmed_at, self.view_confirmed_at)
        return (
            now < confirmed_at + SHARE_TTL
            and now >= self._registered_since + JOIN_DELAY
        )

    def get_share(self, target_id, region, bound, now):
        """Return how many requests a second this instance may send to a cold target.

        :param region: of the target.
        :param bound: requests a second of all instances together.
        """
        if not self.may_send(now):
            return 0
        key = (target_id, region, bound)
        share = self._shares.get(key)
        if share is None:
            if len(self._shares) >= MAX_CACHED_SHARES:
                self._shares.clear()
            share = self._shares[key] = self._divide(*key)
        return share

    def _divide(self, target_id, region, bound):
        total = max(1, int(DIVIDED_FRACTION * bound))
        local, remote = [], []
        for member in self._members.values():
            (local if member.region == region else remote).append(member.name)
        local_total = round(LOCAL_FRACTION * total)
        if not (local and remote):
            local_total = total if local else 0
        is_local = self._own_member.region == region
        names = local if is_local else remote
        rank = rank_names(target_id, names).index(self._own_member.name)
        return divide_evenly(
            local_total if is_local else total - local_total, len(names), rank
        )


def divide_evenly(total, count, rank):
    """Return the part of one of ``count`` members of a whole number.

    The parts of all ranks add up to the total. The part of a member does not grow if
    members are added, which leaves its rank or raises it.
    """
    return max(0, -((rank - total) // count))
