"""Which instance owns which target's slots."""

from dataclasses import dataclass

from ..rendezvous import get_score

__all__ = ["Owner", "Ownership"]


@dataclass(frozen=True, slots=True)
class Owner:
    """The owner of a target.

    :param is_adopted: the owner of its own failure domain may be cut off from here.
    """

    name: str
    is_adopted: bool


class Ownership:
    """Owners of all targets, a function of configuration and view alone."""

    __slots__ = ("_owners", "_services")

    def __init__(self, configuration, members, unreachable_domains=()):
        """Assign owners.

        :param members: the live records of the view.
        :param unreachable_domains: failure domains that may have owners cut off
            from here.
        """
        by_domain, by_region = {}, {}
        for member in members:
            by_domain.setdefault(member.failure_domain, []).append(member.name)
            by_region.setdefault(member.region, []).append(member.name)
        self._owners = {}
        self._services = {}
        for target in configuration.targets.values():
            names = by_domain.get(target.failure_domain)
            adopted = names is None and target.failure_domain in unreachable_domains
            if names is None:
                region = configuration.get_region(target.failure_domain)
                names = by_region.get(region, ())
            if names:
                self._assign(target, names, adopted)

    def get_owner(self, target_name):
        """Return the :class:`Owner` of a target, or ``None``."""
        return self._owners.get(target_name)

    def get_owned_targets(self, name):
        """Return {target name: adopted} for one instance."""
        return {
            target: owner.is_adopted
            for target, owner in self._owners.items()
            if owner.name == name
        }

    def get_owners(self, service):
        """Return the names of all owners of a service's targets."""
        return self._services.get(service, frozenset())

    def _assign(self, target, names, adopted):
        name = max(names, key=lambda name: (get_score(target.name, name), name))
        self._owners[target.name] = Owner(name, adopted)
        self._services.setdefault(target.service, set()).add(name)
