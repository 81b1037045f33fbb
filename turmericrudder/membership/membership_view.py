"""The merged records of all instances, without sockets or clocks."""

import hashlib

from .member import Status

__all__ = ["MembershipView"]

DIGEST_BYTES = 8


class MembershipView:
    """Records by name; merging is commutative, associative and idempotent.

    Two views that saw the same records are equal, in whatever order they came.
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
        """Return the record of an instance, or ``None``."""
        return self._members.get(name)

    def merge(self, member):
        """Take in a record; return whether it was news."""
        known = self._members.get(member.name)
        if known is not None and known.precedence >= member.precedence:
            return False
        self._members[member.name] = member
        self._note_change()
        return True

    def remove(self, name):
        """Drop the record of an instance that is gone."""
        if self._members.pop(name, None) is not None:
            self._note_change()

    def get_live(self):
        """Return the records with status ``LIVE``, by name."""
        return self._get_with(Status.LIVE)

    def get_reachable(self):
        """Return the starting, live and leaving records, by name."""
        return self._get_with(Status.STARTING, Status.LIVE, Status.LEAVING)

    def get_failed(self):
        """Return the failed records, by name."""
        return self._get_with(Status.FAILED)

    def get_digest(self):
        """Return a short hash that is equal for equal views."""
        if "digest" not in self._cache:
            self._cache["digest"] = self._hash()
        return self._cache["digest"]

    def _note_change(self):
        self.version += 1
        self._cache.clear()

    def _hash(self):
        digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
        for name in sorted(self._members):
            digest.update(repr((name, *self._members[name].precedence)).encode())
        return digest.digest()

    def _get_with(self, *statuses):
        if statuses not in self._cache:
            found = [m for m in self._members.values() if m.status in statuses]
            found.sort(key=lambda member: member.name)
            self._cache[statuses] = tuple(found)
        return self._cache[statuses]
