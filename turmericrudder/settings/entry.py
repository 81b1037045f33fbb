"""The settings file of an entry instance without a platform directory."""

from dataclasses import dataclass

from ..address import Address
from .file import read_settings
from .limits import LimitSettings
from .peers import read_addresses, read_peer_key
from .timing import TimingSettings

__all__ = ["EntrySettings", "read_entry_settings"]

_SECTIONS = ("instance", "listen", "store", "peers", "timing", "limits", "log")
_REQUIRED = ("instance", "listen", "store", "peers")


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """Settings of an entry instance.

    :param listen_callers: address for look-ups and requests of callers.
    :param listen_peers: address for requests that other instances forward.
    :param listen_control: address for control messages between instances.
    :param peer_key: secret that all instances share.
    :param seeds: control addresses that are contacted as long as no reachable
        instance has them.
    """

    name: str
    workspace: str
    region: str
    failure_domain: str
    listen_callers: Address
    listen_peers: Address
    listen_control: Address
    store: Address
    peer_key: str
    seeds: tuple[Address, ...]
    timing: TimingSettings
    limits: LimitSettings
    log_format: str
    log_level: str

    def __repr__(self):
        return f"<EntrySettings {self.name}>"


def read_entry_settings(path):
    """Return the settings in the INI file at ``path``.

    :raises SettingsInvalid: naming file, section, key and reason.
    """
    return read_settings(path, _SECTIONS, _REQUIRED, _read_sections)


def _read_sections(sections):
    instance = sections["instance"]
    listen = sections["listen"]
    peers = sections["peers"]
    log = sections["log"]
    return EntrySettings(
        name=instance.get_text("name"),
        workspace=instance.get_text("workspace"),
        region=instance.get_text("region"),
        failure_domain=instance.get_text("failure_domain"),
        listen_callers=listen.get_address("callers"),
        listen_peers=listen.get_address("peers"),
        listen_control=listen.get_address("control"),
        store=sections["store"].get_address("address"),
        peer_key=read_peer_key(peers),
        seeds=read_addresses(peers, "seeds"),
        timing=TimingSettings.read(sections["timing"]),
        limits=LimitSettings.read(sections["limits"]),
        log_format=log.get_choice("format", ("plain", "json"), "plain"),
        log_level=log.get_choice("level", ("debug", "info", "warning"), "info"),
    )
