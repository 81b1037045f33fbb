"""What the machine of an instance can carry."""

from dataclasses import dataclass

__all__ = ["MachineSettings"]

# What a request costs an entry instance; docs/CAPACITY.md has the measurements.
CORE_SECONDS = 0.003
LINK_MBIT = 0.3  # received and sent, towards the client and the target


@dataclass(frozen=True, slots=True)
class MachineSettings:
    """The machine's share of the deployment.

    :param cores: processor cores' worth of time.
    :param link: Mbit/s of its own link, each way.
    """

    cores: float = 1.0
    link: float = 1000.0

    @classmethod
    def read(cls, section):
        """Return the settings of the ``[machine]`` section."""
        share = section.get_float("cpu_share", 1.0, low=0.001)
        cores = section.get_float("cores", 1.0, low=0.001)
        return cls(share * cores, section.get_float("link_mbps", 1000.0, low=0.001))

    @property
    def capacity(self):
        """Requests a second that the machine can carry, roughly."""
        return min(self.cores / CORE_SECONDS, self.link / LINK_MBIT)
