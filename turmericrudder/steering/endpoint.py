"""A target as it registered itself."""

from dataclasses import dataclass

from ..address import Address

__all__ = ["Endpoint"]


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One registration of a target.

    :param id: name of the target's incarnation, sent along with each request.
    :param cold_remaining: seconds it stays cold, counted from the registration.
    :param started_at_ms: Unix milliseconds of its start, or ``None`` if it does not
        say.
    :param sequence: counts its registrations since its start.
    """

    id: str
    service: str
    address: Address
    failure_domain: str
    slots: int
    is_draining: bool
    cold_remaining: float
    started_at_ms: int | None
    sequence: int

    def is_older_than(self, other):
        """Return whether ``other`` is a later word of the same target."""
        if self.started_at_ms is None or other.started_at_ms is None:
            return False
        return (self.started_at_ms, self.sequence) < (
            other.started_at_ms,
            other.sequence,
        )

    def is_same_incarnation(self, other):
        """Return whether both were said by the same incarnation."""
        return (
            self.started_at_ms == other.started_at_ms and self.address == other.address
        )
