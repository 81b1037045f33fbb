"""The task that watches the store for accepted revisions."""

import anyio

from ..errors import StoreError
from ..events import catalogue

__all__ = ["StoreReader"]

STORE_READERS_PER_DOMAIN = 2
RETRY_PAUSE = 0.5  # seconds


class StoreReader:
    """Watches the head key, in few instances of each failure domain."""

    __slots__ = (
        "_configurator",
        "_log",
        "_membership",
        "_repository",
        "_timing",
        "_up",
    )

    def __init__(self, settings, repository, configurator, membership, log):
        self._timing = settings.timing
        self._repository = repository
        self._configurator = configurator
        self._membership = membership
        self._log = log
        self._up = True

    async def run(self):
        """Watch while it is this instance's turn, until cancelled."""
        version = 0
        while True:
            if not self._is_turn():
                await anyio.sleep(self._timing.heartbeat)
                continue
            try:
                head, version = await self._repository.watch_head(
                    version, self._timing.store_watch
                )
            except StoreError as exc:
                self._note_reachable(False, exc)
                await anyio.sleep(RETRY_PAUSE)
                continue
            self._note_reachable(True)
            if head is not None:
                self._configurator.submit_revision(head.revision, head.manifest)
                await self._wait_adopted(head)

    async def _wait_adopted(self, head):
        """Offer a head until it is in force, since a fetch can fail."""
        while self._configurator.revision < head.revision and self._is_turn():
            await anyio.sleep(RETRY_PAUSE)
            self._configurator.submit_revision(head.revision, head.manifest)

    def _is_turn(self):
        if not self._configurator.revision:
            return True
        return self._membership.is_elected("store reader", STORE_READERS_PER_DOMAIN)

    def _note_reachable(self, up, reason=""):
        if up != self._up:
            self._up = up
            event = catalogue.STORE_REACHABLE if up else catalogue.STORE_UNREACHABLE
            self._log.write(event, reason=reason)
