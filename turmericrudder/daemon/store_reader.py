"""Watch the store for accepted configuration revisions."""

import anyio

from ..errors import StoreError
from ..events import catalogue

__all__ = ["StoreReader"]

STORE_READERS_PER_DOMAIN = 2
RETRY_DELAY = 0.5  # seconds


class StoreReader:
    """Watches the store's head key, which names the accepted revision.

    To limit the load on the store, only the elected instances of each failure
    domain do so, and those that have no configuration yet. The others get
    revisions from their peers.
    """

    __slots__ = (
        "_configurator",
        "_is_reachable",
        "_log",
        "_membership",
        "_repository",
        "_timing",
    )

    def __init__(self, settings, repository, configurator, membership, log):
        self._timing = settings.timing
        self._repository = repository
        self._configurator = configurator
        self._membership = membership
        self._log = log
        self._is_reachable = True

    async def run(self):
        """Watch the head while this instance may read the store, until cancelled."""
        version = 0
        while True:
            if not self._may_read():
                await anyio.sleep(self._timing.heartbeat)
                continue
            try:
                head, version = await self._repository.watch_head(
                    version, self._timing.store_watch
                )
            except StoreError as exc:
                self._record_reachable(False, exc)
                await anyio.sleep(RETRY_DELAY)
                continue
            self._record_reachable(True)
            if head is not None:
                self._submit(head)
                await self._wait_in_force(head)

    async def _wait_in_force(self, head):
        """Submit a revision until it is in force, since fetching it can fail."""
        while self._configurator.position < head.position and self._may_read():
            await anyio.sleep(RETRY_DELAY)
            self._submit(head)

    def _submit(self, head):
        self._configurator.submit_revision(head.revision, head.manifest, era=head.era)

    def _may_read(self):
        if not self._configurator.revision:
            return True
        return self._membership.is_elected("store reader", STORE_READERS_PER_DOMAIN)

    def _record_reachable(self, is_reachable, reason=""):
        if is_reachable != self._is_reachable:
            self._is_reachable = is_reachable
            event = (
                catalogue.STORE_REACHABLE
                if is_reachable
                else catalogue.STORE_UNREACHABLE
            )
            self._log.write(event, reason=reason)
