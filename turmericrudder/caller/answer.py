"""The result of a successful call."""

from dataclasses import dataclass

__all__ = ["CallerAnswer"]


@dataclass(frozen=True, slots=True)
class CallerAnswer:
    """A complete response of an upstream.

    :param entry: address of the entry instance that forwarded it.
    :param tries: attempts made until it arrived, at least 1.
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes
    entry: str
    tries: int
