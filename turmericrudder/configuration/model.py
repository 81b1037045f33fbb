"""The compiled configuration that is in force in an instance."""

from dataclasses import dataclass

from .blocks import BlockTable
from .service import Service
from .target import Target

__all__ = ["Configuration"]


@dataclass(frozen=True, slots=True)
class Configuration:
    """One accepted revision.

    :param domain_regions: failure domain to region.
    :param entry_counts: failure domain to number of entry instances.
    :param drained: names of targets and failure domains without new work.
    :param link_bytes_per_second: of each link between two regions, each way.
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
        """Return whether an operator took a target out of work."""
        return target.name in self.drained or target.failure_domain in self.drained

    def get_targets(self, service, region=None):
        """Return the targets of a service, of one region if given, by name."""
        return [
            target
            for target in self.targets.values()
            if target.service == service
            and region in (None, self.domain_regions[target.failure_domain])
        ]
