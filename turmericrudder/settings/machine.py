"""The resources of the machine on which an instance runs."""

from dataclasses import dataclass

__all__ = ["MachineSettings"]

# Resources that an entry instance needs for one request; see docs/CAPACITY.md.
CORE_SECONDS_PER_REQUEST = 0.003
LINK_MBIT_PER_REQUEST = 0.3  # received and sent, towards the client and the target


@dataclass(frozen=True, slots=True)
class MachineSettings:
    """The ``[machine]`` section.

    :param cores: processor cores, times the share of their time that the instance
        may use.
    :param link: Mbit/s of the machine's network link in each direction.
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
        """Approximate number of requests per second that the machine can process."""
        return min(
            self.cores / CORE_SECONDS_PER_REQUEST, self.link / LINK_MBIT_PER_REQUEST
        )
