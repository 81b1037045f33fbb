"""The registration of a target."""

import hashlib
from dataclasses import dataclass

from ..address import Address

__all__ = ["Endpoint"]

DIGEST_BYTES = 8


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A target with all that is registered about it.

    :param id: name of the target, sent along with each request so that another target
        at the same address rejects it. After a restart, the target's next incarnation
        (one start of a process) may have the same id.
    :param slots: requests that the target processes at the same time.
    :param cold_remaining: seconds that the target stays cold (its caches are empty
        after a start), counted from the registration.
    :param started_at_ms: Unix time in milliseconds at which it started, ``None`` if
        the registration does not contain it.
    :param sequence: number of the registration, counted from the target's start.
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
        """Return whether ``other`` is a later registration of the same target.

        ``False`` if the start time of either is unknown.
        """
        if self.started_at_ms is None or other.started_at_ms is None:
            return False
        return (self.started_at_ms, self.sequence) < (
            other.started_at_ms,
            other.sequence,
        )

    def is_same_incarnation(self, other):
        """Return whether both are registrations of the same incarnation.

        These have equal start times and addresses.
        """
        return (
            self.started_at_ms == other.started_at_ms and self.address == other.address
        )

    def get_digest(self):
        """Return a short text that is equal for the same incarnation only."""
        text = f"{self.id} {self.started_at_ms} {self.address}"
        return hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).hexdigest()

    def is_ranked_like(self, other):
        """Return whether both have the same place in the orders of a service."""
        return (self.service, self.slots, self.failure_domain) == (
            other.service,
            other.slots,
            other.failure_domain,
        )
