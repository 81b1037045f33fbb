"""Entries, pages and change events of the metadata store, decoded."""

from dataclasses import dataclass

__all__ = ["Deletion", "Page", "StoreEntry", "WatchResponse"]


@dataclass(frozen=True, slots=True)
class StoreEntry:
    """A key and its value.

    :param revision: store revision at which the key last changed.
    """

    key: str
    value: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class Deletion:
    """A change event: a key was removed at a store revision."""

    key: str
    revision: int


@dataclass(frozen=True, slots=True)
class Page:
    """One page of the entries whose keys have a prefix.

    :param entries: the entries, sorted by key.
    :param revision: store revision at the time of the call.
    :param has_more: whether more entries follow the last one.
    :param era: the store's era, ``None`` if it sent none.
    """

    entries: tuple[StoreEntry, ...]
    revision: int
    has_more: bool
    era: int | None = None


@dataclass(frozen=True, slots=True)
class WatchResponse:
    """The change events that a watch returned.

    :param events: written entries and deletions, in the order they occurred.
    :param revision: store revision from which the next watch continues.
    :param era: the store's era, ``None`` if it sent none.
    """

    events: tuple[StoreEntry | Deletion, ...]
    revision: int
    era: int | None = None
