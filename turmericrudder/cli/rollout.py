"""Wait until a revision is in force at every live instance."""

import anyio

from ..errors import PeerUnreachable

__all__ = ["wait_in_force"]

STEP = 0.1  # seconds


async def wait_in_force(session, revision, limit):
    """Return (names still behind, seconds waited).

    :param limit: seconds to wait at most.
    """
    began = anyio.current_time()
    while True:
        behind = await _get_behind(session, revision)
        seconds = anyio.current_time() - began
        if not behind or seconds >= limit:
            return behind, seconds
        await anyio.sleep(STEP)


async def _get_behind(session, revision):
    try:
        found, silent = await session.get_statuses()
    except PeerUnreachable as exc:
        return [str(exc)]
    late = {name for name, status in found.items() if status.revision < revision}
    return sorted(late | silent)
