"""What instances tell about one instance."""

from enum import IntEnum

import msgspec

__all__ = ["Member", "Status"]


class Status(IntEnum):
    """State of an incarnation; at equal sequence the higher one wins.

    A starting instance has no configuration yet and is not named to callers.
    """

    STARTING = 0
    LIVE = 1
    LEAVING = 2
    FAILED = 3
    LEFT = 4


class Member(msgspec.Struct, frozen=True, array_like=True):
    """An instance and its state, ordered by :attr:`precedence`.

    :param incarnation: grows with each start under the same name.
    :param nonce: random text of this start.
    :param sequence: raised by the instance itself to refute a failure.
    """

    name: str
    incarnation: int
    nonce: str
    sequence: int
    status: Status
    region: str
    failure_domain: str
    caller_address: str
    peer_address: str
    control_address: str

    @property
    def precedence(self):
        """Sort key: of two records of a name, the higher rank holds."""
        return (self.incarnation, self.sequence, self.status, self.nonce)

    def replace(self, **changes):
        """Return a copy with some fields changed."""
        return msgspec.structs.replace(self, **changes)
