"""Publication of crash reports to all instances through the store."""

import anyio

from ..errors import StoreError
from ..events import catalogue
from ..platform import encode_crash_report, get_crash_key

__all__ = ["CrashPublisher"]

REPORT_TTL = 600.0  # seconds until the store removes a report
# Seconds between writes of one instance, and for each instance: together they stay
# under half of the writes that the store accepts.
MIN_INTERVAL = 0.1
INTERVAL_PER_MEMBER = 0.005
MAX_KEYS_PER_WRITE = 32  # entries of one transaction of the store
MAX_PUBLISHED = 512  # reports of this instance that are kept; the oldest are dropped


class CrashPublisher:
    """Writes this instance's reports to the store and removes withdrawn ones.

    The store may be restored from an older copy; the reports are then written again.
    """

    __slots__ = (
        "_is_failing",
        "_lease",
        "_lease_until",
        "_log",
        "_members",
        "_pending",
        "_published",
        "_published_era",
        "_store",
    )

    def __init__(self, store, members, log):
        self._store = store
        self._members = members
        self._log = log
        self._pending = {}  # key -> value to write, None to remove it
        self._published = {}  # key -> (value, time at which it expires)
        self._published_era = 0
        self._lease = None
        self._lease_until = 0.0
        self._is_failing = False

    def publish(self, report):
        """Write a report soon."""
        key = get_crash_key(report.fingerprint, report.target)
        self._add_pending(key, encode_crash_report(report))

    def withdraw(self, fingerprint, target):
        """Remove a report soon."""
        key = get_crash_key(fingerprint, target)
        self._published.pop(key, None)
        self._add_pending(key, None)

    async def run(self):
        """Write what is pending until cancelled."""
        while True:
            await anyio.sleep(
                max(MIN_INTERVAL, INTERVAL_PER_MEMBER * len(self._members))
            )
            self._republish_after_restore()
            if not self._pending:
                continue
            try:
                await self._write()
            except StoreError as exc:
                self._lease = None
                if not self._is_failing:
                    self._log.write(catalogue.CRASH_REPORT_UNKEPT, error=str(exc))
                self._is_failing = True
            else:
                self._is_failing = False

    def _add_pending(self, key, value):
        self._pending.pop(key, None)
        self._pending[key] = value
        if len(self._pending) > MAX_PUBLISHED:
            del self._pending[next(iter(self._pending))]

    async def _write(self):
        keys = list(self._pending)[:MAX_KEYS_PER_WRITE]
        values = {key: self._pending[key] for key in keys}
        puts = {key: value for key, value in values.items() if value is not None}
        lease = await self._get_lease() if puts else 0
        await self._store.commit(puts, [key for key in keys if key not in puts], lease)
        now = anyio.current_time()
        for key, value in values.items():
            if self._pending.get(key) is value:
                del self._pending[key]
            if value is not None:
                self._published[key] = value, now + REPORT_TTL
        while len(self._published) > MAX_PUBLISHED:
            del self._published[next(iter(self._published))]

    async def _get_lease(self):
        """Return a lease that lasts for at least half of the reports' lifetime."""
        now = anyio.current_time()
        is_usable = self._published_era == self._store.era and now < self._lease_until
        if self._lease is None or not is_usable:
            self._lease = await self._store.grant_lease(REPORT_TTL)
            self._lease_until = now + REPORT_TTL / 2
            self._published_era = self._store.era
        return self._lease

    def _republish_after_restore(self):
        if not self._published or self._published_era == self._store.era:
            return
        now = anyio.current_time()
        self._lease = None
        self._published_era = self._store.era
        for key, (value, expires) in self._published.items():
            if expires > now:
                self._pending.setdefault(key, value)
        self._published.clear()
