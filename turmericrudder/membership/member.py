"""The record that instances exchange about one instance."""

from enum import IntEnum

import msgspec

from ..ranges import Revision

__all__ = ["Member", "Status"]


class Status(IntEnum):
    """State of an incarnation; with equal sequence, the highest state has precedence.

    An instance is ``STARTING`` until it has a configuration, and is not in look-up
    responses until then. ``LEAVING`` is an instance in graceful shutdown, ``LEFT``
    one that has completed it.
    """

    STARTING = 0
    LIVE = 1
    LEAVING = 2
    FAILED = 3
    LEFT = 4


class Member(msgspec.Struct, frozen=True, array_like=True):
    """The record of an instance; the one with the highest precedence is in use.

    :param incarnation: Unix time of this start in milliseconds; increases with each
        start under the same name.
    :param nonce: random text that identifies this start.
    :param sequence: increased by the instance itself to refute a record that
        declares it failed.
    :param caller_address: ``IP:PORT`` at which callers connect.
    :param peer_address: ``IP:PORT`` to which other instances forward requests.
    :param control_address: ``IP:PORT`` for control messages.
    """

    name: str
    incarnation: Revision
    nonce: str
    sequence: Revision
    status: Status
    region: str
    failure_domain: str
    caller_address: str
    peer_address: str
    control_address: str

    @property
    def precedence(self):
        """Sort key: of two records with one name, the greater one is used."""
        return (self.incarnation, self.sequence, self.status, self.nonce)

    def replace(self, **changes):
        """Return a copy with some fields changed."""
        return msgspec.structs.replace(self, **changes)
