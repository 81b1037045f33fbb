"""A target as it registered itself."""

from dataclasses import dataclass

from ..address import Address

__all__ = ["Endpoint"]


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One registration of a target.

    :param id: name of the target's incarnation, sent along with each request.
    :param cold_left: seconds it stays cold, counted from the registration.
    :param born: Unix milliseconds of its start, or ``None`` if it does not say.
    :param sequence: counts its registrations since its start.
    """

    id: str
    service: str
    address: Address
    failure_domain: str
    slots: int
    is_draining: bool
    cold_left: float
    born: int | None
    sequence: int

    def is_older_than(self, other):
        """Return whether ``other`` is a later word of the same target."""
        if self.born is None or other.born is None:
            return False
        return (self.born, self.sequence) < (other.born, other.sequence)

    def is_same_start(self, other):
        """Return whether both were said by the same incarnation."""
        return self.born == other.born and self.address == other.address
