"""Which duties of its failure domain an instance does."""

from ..rendezvous import rank_names

__all__ = ["Election"]


class Election:
    """Answers by the view, worked out once for each of its versions."""

    __slots__ = ("_duties", "_version")

    def __init__(self):
        self._version = -1
        self._duties = {}

    def is_elected(self, duty, count, own_member, view):
        """Return whether ``own_member`` does a duty of its failure domain.

        :param count: how many instances do it; one more does no harm.
        """
        if self._version != view.version:
            self._version = view.version
            self._duties = {}
        if duty not in self._duties:
            names = [
                member.name
                for member in view.get_reachable()
                if member.failure_domain == own_member.failure_domain
            ]
            self._duties[duty] = own_member.name in rank_names(duty, names)[:count]
        return self._duties[duty]
