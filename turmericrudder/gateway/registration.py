"""Keep this instance's own entry in the platform's store."""

import anyio

from ..errors import LeaseExpired, StoreError
from ..events import catalogue
from ..platform import encode_member, get_member_key

__all__ = ["Registration"]

# Three renewals may fail before the others take this instance for gone.
LEASE_SECONDS = 4.0
RENEWALS = 4  # in the life of a lease
# Those that follow a reader tell by its calls that it reaches the store.
READER_PAUSE = 0.4  # seconds
RETRY_PAUSE = 0.5  # seconds


class Registration:
    """Holds a lease with the instance's entry until :meth:`deregister`."""

    __slots__ = (
        "_instance",
        "_is_lost",
        "_is_withdrawn",
        "_lease",
        "_lease_seconds",
        "_member",
        "_store",
    )

    def __init__(self, instance, member, store):
        self._instance = instance
        self._store = store
        self._member = member
        self._lease_seconds = max(LEASE_SECONDS, instance.settings.lease_min)
        self._lease = None
        self._is_withdrawn = False
        self._is_lost = False

    async def run(self):
        """Register and renew until withdrawn."""
        while not self._is_withdrawn:
            try:
                if self._lease is None:
                    await self._register()
                else:
                    await self._store.renew_lease(self._lease)
            except LeaseExpired:
                self._lease = None
                continue
            except StoreError as exc:
                self._note_lost(exc)
                await anyio.sleep(RETRY_PAUSE)
                continue
            self._note_kept()
            self._instance.store_sync.record_store_contact()
            await anyio.sleep(self._get_pause())

    def schedule_reregistration(self):
        """Write the entry again: it is gone from the store, if not the lease."""
        self._lease = None

    async def deregister(self):
        """Take the entry away."""
        self._is_withdrawn = True
        lease, self._lease = self._lease, None
        if lease is None:
            return
        try:
            await self._store.revoke_lease(lease)
        except StoreError as exc:
            # The lease runs out by itself.
            self._instance.log.write(catalogue.ENTRY_UNKEPT, error=str(exc))

    def _note_lost(self, exc):
        """Write a line when the entry can no longer be kept, not at each try."""
        if not self._is_lost:
            self._is_lost = True
            self._instance.log.write(catalogue.ENTRY_UNKEPT, error=str(exc))

    def _note_kept(self):
        if self._is_lost:
            self._is_lost = False
            self._instance.log.write(catalogue.ENTRY_KEPT)

    def _get_pause(self):
        if self._instance.members.is_reader():
            return min(READER_PAUSE, self._lease_seconds / RENEWALS)
        return self._lease_seconds / RENEWALS

    async def _register(self):
        lease = await self._store.grant_lease(self._lease_seconds)
        value = encode_member(self._member)
        await self._store.write(get_member_key(self._member.name), value, lease=lease)
        self._lease = lease
        if self._is_withdrawn:
            await self._store.revoke_lease(lease)
