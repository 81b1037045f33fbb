"""The records that a configuration consists of in the store."""

import msgspec

__all__ = ["BlockChunk", "ConfigurationHead", "Manifest", "TextChunk"]


class ConfigurationHead(msgspec.Struct, frozen=True):
    """The one mutable record: which revision is accepted."""

    revision: int
    manifest: str
    change: str


class Manifest(msgspec.Struct, frozen=True):
    """An immutable record of one accepted revision, named by its hash."""

    revision: int
    change: str
    parent: str
    author: str
    note: str
    time: float
    chunks: tuple[str, ...]


class TextChunk(msgspec.Struct, frozen=True):
    """The chunk that holds the texts."""

    templates: str
    parameters: str
    drained: tuple[str, ...]


class BlockChunk(msgspec.Struct, frozen=True):
    """A run of blocks: packed addresses, lengths and indexes into places."""

    places: tuple[str, ...]
    starts: bytes
    lengths: bytes
    indexes: bytes
