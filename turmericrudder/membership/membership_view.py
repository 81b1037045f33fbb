"""The merged member records of all instances, as known to one of them."""

import hashlib

from .member import Status

__all__ = ["MembershipView"]

DIGEST_BYTES = 8


class MembershipView:
    """The :class:`Member` with the highest precedence for each name.

    Merging is commutative, associative and idempotent: views that got the same
    records are equal, whatever the order. ``version`` increases with each change.
    """

    __slots__ = ("_cache", "_members", "version")

    def __init__(self, members=()):
        self._members = {}
        self._cache = {}
        self.version = 0
        for member in members:
            self.merge(member)

    def __iter__(self):
        return iter(self._members.values())

    def __len__(self):
        return len(self._members)

    def get(self, name):
        """Return the member with a name, ``None`` if there is none."""
        return self._members.get(name)

    def merge(self, member):
        """Merge a member and return whether this changed the view."""
        current = self._members.get(member.name)
        if current is not None and current.precedence >= member.precedence:
            return False
        self._members[member.name] = member
        self._record_change()
        return True

    def remove(self, name):
        """Remove the member with a name, if there is one."""
        if self._members.pop(name, None) is not None:
            self._record_change()

    def get_live(self):
        """Return the members with status ``LIVE``, sorted by name."""
        return self._get_with(Status.LIVE)

    def get_reachable(self):
        """Return the starting, live and leaving members, sorted by name."""
        return self._get_with(Status.STARTING, Status.LIVE, Status.LEAVING)

    def get_failed(self):
        """Return the failed members, sorted by name."""
        return self._get_with(Status.FAILED)

    def get_digest(self):
        """Return a hash, as bytes, that is the same for equal views."""
        if "digest" not in self._cache:
            self._cache["digest"] = self._compute_digest()
        return self._cache["digest"]

    def _record_change(self):
        self.version += 1
        self._cache.clear()

    def _compute_digest(self):
        digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
        for name in sorted(self._members):
            digest.update(repr((name, *self._members[name].precedence)).encode())
        return digest.digest()

    def _get_with(self, *statuses):
        if statuses not in self._cache:
            members = [m for m in self._members.values() if m.status in statuses]
            members.sort(key=lambda member: member.name)
            self._cache[statuses] = tuple(members)
        return self._cache[statuses]
