"""Track which targets this instance owns as view and configuration change."""

from dataclasses import dataclass

from ..membership import Status
from ..routing import Ownership

__all__ = ["OwnershipTracker", "OwnershipUpdate"]


@dataclass(frozen=True, slots=True)
class OwnershipUpdate:
    """The targets that this instance owns after an update.

    :param owned: {target name: whether it is adopted}. A target is adopted if
        its failure domain has no live instance in the view, but an
        unreachable one may run there and still use the target.
    :param predecessors: names of all targets, whoever owns them now, whose previous
        owner is another instance that is still reachable.
    """

    owned: dict[str, bool]
    predecessors: frozenset[str]


class OwnershipTracker:
    """Assigns the owners of all targets and remembers the previous assignment.

    The owner of a target is the one instance that grants its slots.

    :ivar current: the latest :class:`~turmericrudder.routing.Ownership`,
        ``None`` before the first update.
    """

    __slots__ = ("_inputs", "_name", "current")

    def __init__(self, name):
        self._name = name
        self._inputs = None
        self.current = None

    def update(self, configuration, view):
        """Assign the owners for a new state and return the :class:`OwnershipUpdate`."""
        previous, live = self.current, view.get_live()
        unreachable_domains = _get_unreachable_domains(view, configuration)
        inputs = (
            configuration,
            [member.name for member in live],
            unreachable_domains,
        )
        if inputs != self._inputs:
            self._inputs = inputs
            self.current = Ownership(configuration, live, unreachable_domains)
        if previous is None:
            # Until this instance started, the others owned all targets.
            others = [member for member in live if member.name != self._name]
            previous = Ownership(configuration, others)
        return OwnershipUpdate(
            self.current.get_owned_targets(self._name),
            self._get_predecessors(previous, configuration, view),
        )

    def _get_predecessors(self, previous, configuration, view):
        reachable = {member.name for member in view.get_reachable()} - {self._name}
        owners = {
            target: previous.get_owner(target) for target in configuration.targets
        }
        return frozenset(
            target
            for target, owner in owners.items()
            if owner is not None and owner.name in reachable
        )


def _get_unreachable_domains(view, configuration):
    """Return the failure domains in which unreachable instances may run.

    These are all domains but those whose known instances have all announced a
    graceful shutdown.
    """
    stopped = {}
    for member in view:
        is_stopping = member.status in (Status.LEAVING, Status.LEFT)
        domain = member.failure_domain
        stopped[domain] = stopped.get(domain, True) and is_stopping
    return {
        domain for domain in configuration.domain_regions if not stopped.get(domain)
    }
