"""The member record of this instance."""

import secrets
import time

from ..membership import Member, Status

__all__ = ["make_own_member"]

NONCE_BYTES = 4
NS_PER_MS = 1_000_000


def make_own_member(settings):
    """Return the :class:`Member` of this instance for this start of the process."""
    return Member(
        name=settings.name,
        incarnation=time.time_ns() // NS_PER_MS,
        nonce=secrets.token_hex(NONCE_BYTES),
        sequence=0,
        status=Status.STARTING,
        region=settings.region,
        failure_domain=settings.failure_domain,
        caller_address=str(settings.listen_callers),
        peer_address=str(settings.listen_peers),
        control_address=str(settings.listen_control),
    )
