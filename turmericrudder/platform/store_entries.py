"""What the metadata store answers, decoded."""

from dataclasses import dataclass

__all__ = ["Deletion", "Page", "StoreEntry", "WatchResponse"]


@dataclass(frozen=True, slots=True)
class StoreEntry:
    """A key and its value.

    :param revision: the store's revision of its last change.
    """

    key: str
    value: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class Deletion:
    """A key that was removed at a revision."""

    key: str
    revision: int


@dataclass(frozen=True, slots=True)
class Page:
    """Part of the keys with a prefix.

    :param revision: the store's revision at the time of the call.
    :param has_more: whether another page follows the last item.
    """

    items: tuple[StoreEntry, ...]
    revision: int
    has_more: bool


@dataclass(frozen=True, slots=True)
class WatchResponse:
    """What changed, in order.

    :param revision: the revision to continue from.
    """

    events: tuple[StoreEntry | Deletion, ...]
    revision: int
