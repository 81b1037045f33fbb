"""Follow which targets this instance owns as view and configuration change."""

from dataclasses import dataclass

from ..membership import Status
from ..routing import Ownership

__all__ = ["OwnershipTracker", "OwnershipUpdate"]


@dataclass(frozen=True, slots=True)
class OwnershipUpdate:
    """What this instance owns now.

    :param owned: {target name: adopted}.
    :param predecessors: targets whose previous owner is still reachable.
    """

    owned: dict[str, bool]
    predecessors: frozenset[str]


class OwnershipTracker:
    """The owners of all targets, now and before the last change."""

    __slots__ = ("_basis", "_name", "current")

    def __init__(self, name):
        self._name = name
        self._basis = None
        self.current = None

    def update(self, configuration, view):
        """Assign the owners anew and return the :class:`OwnershipUpdate`."""
        before, live = self.current, view.get_live()
        silent = _get_silent(view, configuration)
        basis = (configuration.revision, [member.name for member in live], silent)
        if basis != self._basis:
            self._basis = basis
            self.current = Ownership(configuration, live, silent)
        if before is None:
            others = [member for member in live if member.name != self._name]
            before = Ownership(configuration, others)
        return OwnershipUpdate(
            self.current.get_owned_targets(self._name),
            self._get_predecessors(before, configuration, view),
        )

    def _get_predecessors(self, before, configuration, view):
        reachable = {member.name for member in view.get_reachable()} - {self._name}
        owners = {target: before.get_owner(target) for target in configuration.targets}
        return frozenset(
            target
            for target, owner in owners.items()
            if owner is not None and owner.name in reachable
        )


def _get_silent(view, configuration):
    """Return the domains whose instances may run unseen from here."""
    planned = {}
    for member in view:
        is_planned = member.status in (Status.LEAVING, Status.LEFT)
        domain = member.failure_domain
        planned[domain] = planned.get(domain, True) and is_planned
    return {
        domain for domain in configuration.domain_regions if not planned.get(domain)
    }
