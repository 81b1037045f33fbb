"""The configuration as operators write it, before it is compiled."""

import ipaddress
from dataclasses import dataclass, replace
from pathlib import Path

from ..errors import ConfigurationInvalid
from ..ini import parse_ini
from .packed_blocks import PackedBlocks

__all__ = ["ConfigurationSource", "read_source"]

TEMPLATES_FILE = "templates.ini"
PARAMETERS_FILE = "parameters.ini"
BLOCKS_FILE = "blocks.ini"


@dataclass(frozen=True, slots=True)
class ConfigurationSource:
    """The configuration source of one workspace.

    :param templates: text of the templates file.
    :param parameters: text of the parameters file.
    :param blocks: address blocks of the blocks file.
    :param drained: names of the drained targets and failure domains, sorted.
    """

    templates: str
    parameters: str
    blocks: PackedBlocks
    drained: tuple[str, ...] = ()

    def drain(self, name):
        """Return a copy in which a target or failure domain is drained."""
        return replace(self, drained=tuple(sorted({*self.drained, name})))

    def undrain(self, name):
        """Return a copy in which a target or failure domain is not drained."""
        return replace(self, drained=tuple(sorted({*self.drained} - {name})))


def read_source(directory):
    """Return the source in a directory with the three INI files.

    :raises ConfigurationInvalid: if a file cannot be read or the blocks file is
        invalid; the other two are parsed by
        :func:`~turmericrudder.configuration.compile_source`.
    """
    directory = Path(directory)
    return ConfigurationSource(
        _read_text(directory / TEMPLATES_FILE),
        _read_text(directory / PARAMETERS_FILE),
        _parse_blocks(_read_text(directory / BLOCKS_FILE)),
    )


def _read_text(path):
    try:
        return path.read_text()
    except (OSError, UnicodeDecodeError) as exc:
        raise ConfigurationInvalid(path.name, "-", "-", str(exc)) from None


def _parse_blocks(text):
    sections = parse_ini(text, BLOCKS_FILE, ConfigurationInvalid)
    blocks = []
    for section in sections.values():
        if section.name != "blocks":
            raise ConfigurationInvalid(
                BLOCKS_FILE, section.name, "-", "unknown section"
            )
        blocks = [_parse_block(section, key) for key in list(section)]
    return PackedBlocks.pack(blocks)


def _parse_block(section, key):
    locality = section.get_text(key)
    try:
        network = ipaddress.IPv4Network(key)
    except ValueError as exc:
        raise section.make_error(key, str(exc)) from None
    return int(network.network_address), network.prefixlen, locality
