"""Waiting until a revision is in force at every live instance."""

import anyio

from ..errors import PeerUnreachable

__all__ = ["wait_in_force"]

POLL_INTERVAL = 0.1  # seconds


async def wait_in_force(session, manifest, limit):
    """Wait until every live instance has a revision, or a newer one, in force.

    :param manifest: the revision's :class:`~turmericrudder.configuration.Manifest`.
    :param limit: seconds to wait at most.
    :returns: (names of instances still behind, seconds waited). If no instance
        responds, the error text is returned in place of the names.
    """
    started_at = anyio.current_time()
    while True:
        behind = await _get_behind(session, manifest)
        seconds = anyio.current_time() - started_at
        if not behind or seconds >= limit:
            return behind, seconds
        await anyio.sleep(POLL_INTERVAL)


async def _get_behind(session, manifest):
    try:
        statuses, unreachable = await session.get_statuses()
    except PeerUnreachable as exc:
        return [str(exc)]
    outdated = {
        name for name, status in statuses.items() if status.position < manifest.position
    }
    return sorted(outdated | unreachable)
