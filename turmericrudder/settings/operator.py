"""The settings file of the operators' commands."""

from dataclasses import dataclass

from ..address import Address
from .file import read_settings
from .peers import read_addresses, read_peer_key

__all__ = ["OperatorSettings", "read_operator_settings"]

_SECTIONS = ("operator",)


@dataclass(frozen=True, slots=True)
class OperatorSettings:
    """Settings of the operators' commands.

    :param author: name that is recorded with each accepted revision.
    :param store: address of the platform's store.
    :param entries: peer addresses of the entry instances to ask for their status.
    :param peer_key: secret that all instances share.
    """

    workspace: str
    author: str
    store: Address
    entries: tuple[Address, ...]
    peer_key: str

    def __repr__(self):
        return f"<OperatorSettings {self.workspace}>"


def read_operator_settings(path):
    """Return the settings in the INI file at ``path``.

    :raises SettingsInvalid: naming file, section, key and reason.
    """
    return read_settings(path, _SECTIONS, _SECTIONS, _read_sections)


def _read_sections(sections):
    section = sections["operator"]
    return OperatorSettings(
        workspace=section.get_text("workspace"),
        author=section.get_text("author"),
        store=section.get_address("store"),
        entries=read_addresses(section, "entries"),
        peer_key=read_peer_key(section),
    )
