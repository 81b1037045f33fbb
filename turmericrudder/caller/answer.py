"""A whole answer."""

from dataclasses import dataclass

__all__ = ["CallerAnswer"]


@dataclass(frozen=True, slots=True)
class CallerAnswer:
    """An upstream's answer, read to its end.

    :param entry: address of the entry instance that gave it.
    :param tries: requests that were sent for it.
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes
    entry: str
    tries: int
