"""Classes of requests within a template."""

from dataclasses import dataclass
from fnmatch import fnmatchcase

__all__ = ["RequestClass"]


@dataclass(frozen=True, slots=True)
class RequestClass:
    """How requests of one method and path pattern are treated.

    :param is_at_most_once: run under an operation key, never sent twice.
    :param is_idempotent: may be sent again after an unknown end.
    :param is_long: counts against the part of the slots long work may hold.
    :param timeout: seconds from arrival to the end of the answer.
    :param first_byte_timeout: seconds an upstream may take to the answer's head.
    :param idle_timeout: seconds without a byte after which an answer counts as cut.
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
        """Return whether a request belongs to this class."""
        return self.method in ("*", method) and fnmatchcase(path, self.path)
