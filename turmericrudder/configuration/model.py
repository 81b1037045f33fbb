"""The compiled configuration of a workspace."""

from dataclasses import dataclass

from .blocks import BlockTable
from .service import Service
from .target import Target

__all__ = ["Configuration"]


@dataclass(frozen=True, slots=True)
class Configuration:
    """One accepted revision, compiled.

    :param domain_regions: {failure domain: region}.
    :param entry_counts: {failure domain: number of entry instances}.
    :param services: {service name: service}.
    :param targets: {target name: target}.
    :param block_table: localities of the clients' addresses.
    :param drained: names of the targets and failure domains that operators drain.
    :param link_bytes_per_second: capacity of the network link between any two
        regions, in each direction.
    """

    revision: int
    workspace: str
    domain_regions: dict[str, str]
    entry_counts: dict[str, int]
    services: dict[str, Service]
    targets: dict[str, Target]
    block_table: BlockTable
    drained: frozenset[str]
    link_bytes_per_second: int

    @property
    def regions(self):
        """The names of all regions, sorted."""
        return sorted(set(self.domain_regions.values()))

    def get_region(self, failure_domain):
        """Return the region of a failure domain."""
        return self.domain_regions[failure_domain]

    def is_drained(self, target):
        """Return whether operators drain a target or its failure domain."""
        return target.name in self.drained or target.failure_domain in self.drained

    def get_targets(self, service, region=None):
        """Return the targets of a service, in the order of the configuration.

        :param region: only targets in this region, ``None`` for all regions.
        """
        return [
            target
            for target in self.targets.values()
            if target.service == service
            and region in (None, self.domain_regions[target.failure_domain])
        ]
