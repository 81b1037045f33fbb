"""The documents in which the store keeps a configuration and its revisions."""

import msgspec

__all__ = ["BlockChunk", "ConfigurationHead", "Manifest", "TextChunk"]


class ConfigurationHead(msgspec.Struct, frozen=True):
    """The accepted revision, the only document that changes.

    :param manifest: hash of the revision's manifest.
    :param change: unique id of the change that made the revision.
    :param era: as of :class:`Manifest`.
    """

    revision: int
    manifest: str
    change: str
    era: int = 0

    @property
    def position(self):
        """The place of the revision among all revisions, as a tuple to compare."""
        return self.era, self.revision


class Manifest(msgspec.Struct, frozen=True):
    """Immutable description of one revision, stored under its hash.

    :param change: unique id of the change that made the revision.
    :param parent: hash of the manifest before it, ``""`` for the first.
    :param author: name of the operator.
    :param note: the operator's description of the change.
    :param time: Unix time in seconds.
    :param chunks: hashes of the chunks, the one with the texts first.
    :param era: the era of the store in which the revision was accepted. A restore of
        the store begins an era, in which numbers of lost revisions are used again.
    """

    revision: int
    change: str
    parent: str
    author: str
    note: str
    time: float
    chunks: tuple[str, ...]
    era: int = 0

    @property
    def position(self):
        """The place of the revision among all revisions, as a tuple to compare."""
        return self.era, self.revision


class TextChunk(msgspec.Struct, frozen=True):
    """The chunk with the texts of a source and the names that are drained."""

    templates: str
    parameters: str
    drained: tuple[str, ...]


class BlockChunk(msgspec.Struct, frozen=True):
    """A chunk of consecutive address blocks.

    :param places: names of the blocks' localities.
    :param starts: first addresses, little-endian with 4 bytes each.
    :param lengths: prefix lengths in bits, one byte each.
    :param indexes: indexes into ``places``, little-endian with 2 bytes each.
    """

    places: tuple[str, ...]
    starts: bytes
    lengths: bytes
    indexes: bytes
