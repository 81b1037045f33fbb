"""The settings file of an entry instance on a platform with a directory."""

from dataclasses import dataclass

from ..address import Address
from .bounds import BoundSettings
from .file import read_settings
from .machine import MachineSettings

__all__ = ["GatewaySettings", "read_gateway_settings"]

_SECTIONS = ("instance", "listen", "store", "regions", "bounds", "machine", "log")
_LIVE_FIELDS = ("bounds", "regions", "seeds")
_REQUIRED = ("instance", "listen", "store", "regions", "bounds")


@dataclass(slots=True)
class GatewaySettings:
    """Everything such an instance has to be told.

    ``listen_clients`` takes requests, ``listen_readiness`` the platform's
    checks, ``listen_directory`` questions of clients for entry instances and
    ``listen_peers`` questions of other instances. ``regions`` maps failure
    domains to regions. ``lease_min`` is the shortest lease in seconds that the
    store grants. A running instance takes over what :meth:`apply_reloadable`
    can change.
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
        """Take over what may change while an instance runs.

        :returns: (names of fields that changed, names that need a restart).
        """
        changed = [
            name
            for name in self.__slots__
            if getattr(self, name) != getattr(other, name)
        ]
        live = [name for name in changed if name in _LIVE_FIELDS]
        for name in live:
            setattr(self, name, getattr(other, name))
        return live, [name for name in changed if name not in _LIVE_FIELDS]


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
        seeds=tuple(map(Address.parse, listen.get_list("seeds", ""))),
        regions={name: regions.get_text(name) for name in list(regions)},
        bounds=BoundSettings.read(sections["bounds"]),
        machine=MachineSettings.read(sections["machine"]),
        log_format=log.get_choice("format", ("plain", "json"), "json"),
        log_level=log.get_choice("level", ("debug", "info", "warning"), "info"),
    )
