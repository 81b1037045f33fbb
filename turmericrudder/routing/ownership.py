"""Assigns each target to the one instance that grants its slots."""

from dataclasses import dataclass

from ..rendezvous import get_score

__all__ = ["Owner", "Ownership"]


@dataclass(frozen=True, slots=True)
class Owner:
    """The instance that owns a target.

    :param name: name of the instance.
    :param is_adopted: whether the target's failure domain has no live instance, but
        one may run there that this instance cannot reach.
    """

    name: str
    is_adopted: bool


class Ownership:
    """The owners of all targets.

    Owners are chosen by rendezvous hashing among the live instances of the target's
    failure domain or, if there are none, of its region. Instances with the same
    configuration and members compute the same owners.
    """

    __slots__ = ("_owners", "_services")

    def __init__(self, configuration, members, unreachable_domains=()):
        """Assign an owner to each target of a configuration.

        :param members: the live :class:`~turmericrudder.membership.Member` records.
        :param unreachable_domains: failure domains whose instances may run although
            this instance cannot reach them.
        """
        by_domain, by_region = {}, {}
        for member in members:
            by_domain.setdefault(member.failure_domain, []).append(member.name)
            by_region.setdefault(member.region, []).append(member.name)
        self._owners = {}
        self._services = {}
        for target in configuration.targets.values():
            names = by_domain.get(target.failure_domain)
            is_adopted = names is None and target.failure_domain in unreachable_domains
            if names is None:
                region = configuration.get_region(target.failure_domain)
                names = by_region.get(region, ())
            if names:
                self._assign(target, names, is_adopted)

    def get_owner(self, target_name):
        """Return the :class:`Owner` of a target, ``None`` if it has none."""
        return self._owners.get(target_name)

    def get_owned_targets(self, name):
        """Return {target name: whether it is adopted} for the targets of an instance.

        :param name: name of the instance.
        """
        return {
            target: owner.is_adopted
            for target, owner in self._owners.items()
            if owner.name == name
        }

    def get_owners(self, service):
        """Return the names of the instances that own targets of a service."""
        return self._services.get(service, frozenset())

    def _assign(self, target, names, is_adopted):
        name = max(names, key=lambda name: (get_score(target.name, name), name))
        self._owners[target.name] = Owner(name, is_adopted)
        self._services.setdefault(target.service, set()).add(name)
