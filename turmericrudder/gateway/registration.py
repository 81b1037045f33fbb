"""Registration of this instance in the metadata store."""

import anyio

from ..clock import get_boot_time
from ..errors import LeaseExpired, StoreError
from ..events import catalogue
from ..platform import encode_member, get_member_key

__all__ = ["Registration"]

# Three renewals may fail before other instances consider this one dead.
LEASE_TTL = 4.0  # seconds
RENEWALS_PER_TTL = 4
# Longest renewal interval of a reader, the instance that watches the store for all of
# its region: the others rely on its calls to see that it reaches the store.
READER_RENEWAL_INTERVAL = 0.4  # seconds
RETRY_DELAY = 0.5  # seconds


class Registration:
    """Keeps the instance's entry in the store until :meth:`deregister` is called."""

    __slots__ = (
        "_instance",
        "_is_failing",
        "_is_stopping",
        "_lease",
        "_lease_era",
        "_lease_ttl",
        "_member",
        "_store",
    )

    def __init__(self, instance, member, store):
        self._instance = instance
        self._store = store
        self._member = member
        self._lease_ttl = max(LEASE_TTL, instance.settings.lease_min)
        self._lease = None
        self._lease_era = 0
        self._is_stopping = False
        self._is_failing = False

    async def run(self):
        """Register, and renew the lease until :meth:`deregister` is called.

        After a restore of the store from an older copy, the lease may be gone or belong
        to another instance, so the entry is written anew.
        """
        while not self._is_stopping:
            called_at = get_boot_time()
            try:
                if not self._has_lease():
                    await self._register()
                else:
                    await self._store.renew_lease(self._lease)
            except LeaseExpired:
                self._lease = None
                continue
            except StoreError as exc:
                self._record_failure(exc)
                await anyio.sleep(RETRY_DELAY)
                continue
            self._record_success()
            self._instance.store_sync.record_store_contact()
            if not self._has_lease():
                continue
            self._instance.members.senders.confirm_registration(called_at)
            await anyio.sleep(self._get_renewal_interval())

    def schedule_reregistration(self):
        """Make :meth:`run` rewrite the entry with a new lease.

        Called when the entry was deleted from the store, although its lease may still
        be valid.
        """
        self._lease = None

    async def deregister(self):
        """Remove the entry from the store."""
        self._is_stopping = True
        lease = self._lease if self._has_lease() else None
        self._lease = None
        if lease is None:
            return
        try:
            await self._store.revoke_lease(lease)
        except StoreError as exc:
            # The entry is removed when the lease expires.
            self._instance.log.write(catalogue.ENTRY_UNKEPT, error=str(exc))

    def _has_lease(self):
        return self._lease is not None and self._lease_era == self._store.era

    def _record_failure(self, exc):
        """Log the first of several failures in a row to register or to renew."""
        if not self._is_failing:
            self._is_failing = True
            self._instance.log.write(catalogue.ENTRY_UNKEPT, error=str(exc))

    def _record_success(self):
        if self._is_failing:
            self._is_failing = False
            self._instance.log.write(catalogue.ENTRY_KEPT)

    def _get_renewal_interval(self):
        if self._instance.members.is_reader():
            return min(READER_RENEWAL_INTERVAL, self._lease_ttl / RENEWALS_PER_TTL)
        return self._lease_ttl / RENEWALS_PER_TTL

    async def _register(self):
        lease = await self._store.grant_lease(self._lease_ttl)
        self._lease_era = self._store.era
        value = encode_member(self._member)
        await self._store.write(get_member_key(self._member.name), value, lease=lease)
        self._lease = lease
        if self._is_stopping:
            await self._store.revoke_lease(lease)
