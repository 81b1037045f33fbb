"""Election of the instances of a failure domain that perform a role."""

from ..rendezvous import rank_names

__all__ = ["Election"]


class Election:
    """Elects by rendezvous hashing of the view, without messages.

    Results are cached until the version of the view changes.
    """

    __slots__ = ("_results", "_version")

    def __init__(self):
        self._version = -1
        self._results = {}

    def is_elected(self, role, count, own_member, view):
        """Return whether ``own_member`` performs a role in its failure domain.

        :param count: number of instances to elect. While views differ, more
            instances may be elected, which the role has to tolerate.
        """
        if self._version != view.version:
            self._version = view.version
            self._results = {}
        if role not in self._results:
            names = [
                member.name
                for member in view.get_reachable()
                if member.failure_domain == own_member.failure_domain
            ]
            self._results[role] = own_member.name in rank_names(role, names)[:count]
        return self._results[role]
