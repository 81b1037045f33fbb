"""Request classes: how a template treats requests by method and path."""

from dataclasses import dataclass
from fnmatch import fnmatchcase

__all__ = ["RequestClass"]


@dataclass(frozen=True, slots=True)
class RequestClass:
    """How requests with one method and path pattern are treated.

    :param method: HTTP method, ``*`` for all.
    :param path: shell-style pattern that the whole path has to match.
    :param is_at_most_once: runs under an operation key and is never retried
        once it may have run.
    :param is_idempotent: may be retried although an earlier attempt may have run.
    :param is_long: counts against ``Service.long_slots``.
    :param timeout: seconds from the arrival of a request to the end of its response.
    :param first_byte_timeout: seconds that an upstream may take until the head of
        its response.
    :param idle_timeout: seconds without data after which a response counts as
        truncated.
    """

    name: str
    method: str
    path: str
    is_at_most_once: bool
    is_idempotent: bool
    is_long: bool
    timeout: float
    first_byte_timeout: float
    idle_timeout: float

    def is_match(self, method, path):
        """Return whether a request with this method and path is in this class."""
        return self.method in ("*", method) and fnmatchcase(path, self.path)
