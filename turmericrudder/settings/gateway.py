"""The settings file of an entry instance on a platform with a directory."""

from dataclasses import dataclass

from ..address import Address
from .bounds import BoundSettings
from .file import read_settings
from .machine import MachineSettings
from .peers import read_addresses

__all__ = ["GatewaySettings", "read_gateway_settings"]

_SECTIONS = ("instance", "listen", "store", "regions", "bounds", "machine", "log")
_RELOADABLE_FIELDS = ("bounds", "regions", "seeds")
_REQUIRED = ("instance", "listen", "store", "regions", "bounds")


@dataclass(slots=True)
class GatewaySettings:
    """Settings of an entry instance on a platform with a directory.

    A running instance applies changes of some fields, see
    :meth:`apply_reloadable`.

    :param listen_clients: address for requests of clients.
    :param listen_readiness: address for the platform's readiness checks.
    :param listen_directory: address where clients look up entry instances.
    :param listen_peers: address where other instances poll the store's changes.
    :param listen_metrics: address where metrics are served.
    :param lease_min: shortest TTL in seconds for which the store grants a lease.
    :param seeds: peer addresses to poll while no other instance is known.
    :param regions: {failure domain: region}.
    """

    name: str
    failure_domain: str
    region: str
    listen_clients: Address
    listen_readiness: Address
    listen_directory: Address
    listen_peers: Address
    listen_metrics: Address
    store: Address
    lease_min: float
    seeds: tuple[Address, ...]
    regions: dict[str, str]
    bounds: BoundSettings
    machine: MachineSettings
    log_format: str
    log_level: str

    def __repr__(self):
        return f"<GatewaySettings {self.name}>"

    def apply_reloadable(self, other):
        """Copy the changed fields of ``other`` that may change without a restart.

        :returns: (names of fields that were copied, names of changed fields that
            need a restart).
        """
        changed = [
            name
            for name in self.__slots__
            if getattr(self, name) != getattr(other, name)
        ]
        reloadable = [name for name in changed if name in _RELOADABLE_FIELDS]
        for name in reloadable:
            setattr(self, name, getattr(other, name))
        return reloadable, [name for name in changed if name not in _RELOADABLE_FIELDS]


def read_gateway_settings(path):
    """Return the settings in the INI file at ``path``.

    :raises SettingsInvalid: naming file, section, key and reason.
    """
    return read_settings(path, _SECTIONS, _REQUIRED, _read_sections)


def _read_sections(sections):
    instance = sections["instance"]
    listen = sections["listen"]
    store = sections["store"]
    regions = sections["regions"]
    log = sections["log"]
    return GatewaySettings(
        name=instance.get_text("name"),
        failure_domain=instance.get_text("failure_domain"),
        region=instance.get_text("region"),
        listen_clients=listen.get_address("clients"),
        listen_readiness=listen.get_address("readiness"),
        listen_directory=listen.get_address("directory"),
        listen_peers=listen.get_address("peers"),
        listen_metrics=listen.get_address("metrics"),
        store=store.get_address("address"),
        lease_min=store.get_duration("lease_min"),
        seeds=read_addresses(listen, "seeds"),
        regions={name: regions.get_text(name) for name in list(regions)},
        bounds=BoundSettings.read(sections["bounds"]),
        machine=MachineSettings.read(sections["machine"]),
        log_format=log.get_choice("format", ("plain", "json"), "json"),
        log_level=log.get_choice("level", ("debug", "info", "warning"), "info"),
    )
