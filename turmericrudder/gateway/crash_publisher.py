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
MAX_PUBLISHED = 4096  # reports of all instances together
MIN_PUBLISHED = 16  # reports that one of many instances may keep


class CrashPublisher:
    """Writes this instance's reports to the store and removes withdrawn ones.

    Of too many reports, the oldest of depth 1 are removed first. The store may be
    restored from an older copy; the reports are then written again.
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
        self._pending = {}  # key -> report to write, None to remove the key
        self._published = {}  # key -> (report, time at which it expires)
        self._published_era = 0
        self._lease = None
        self._lease_until = 0.0
        self._is_failing = False

    def publish(self, report):
        """Write a report soon."""
        key = get_crash_key(report.fingerprint, report.target)
        self._add_pending(key, report)

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

    def _get_limit(self):
        return max(MIN_PUBLISHED, MAX_PUBLISHED // max(1, len(self._members)))

    def _add_pending(self, key, report):
        self._pending.pop(key, None)
        self._pending[key] = report
        if len(self._pending) > self._get_limit():
            # Removals are kept: they bound what the store holds.
            writes = (name for name, put in self._pending.items() if put is not None)
            oldest = next(writes, None)
            if oldest is not None:
                del self._pending[oldest]

    async def _write(self):
        keys = list(self._pending)[:MAX_KEYS_PER_WRITE]
        reports = {key: self._pending[key] for key in keys}
        puts = {
            key: encode_crash_report(report)
            for key, report in reports.items()
            if report is not None
        }
        lease = await self._get_lease() if puts else 0
        await self._store.commit(puts, [key for key in keys if key not in puts], lease)
        now = anyio.current_time()
        for key, report in reports.items():
            if key in self._pending and self._pending[key] is report:
                del self._pending[key]
            if report is not None:
                self._published[key] = report, now + REPORT_TTL
        self._remove_expired(now)
        while len(self._published) > self._get_limit():
            key = self._choose_least_useful()
            del self._published[key]
            self._add_pending(key, None)

    def _remove_expired(self, now):
        self._published = {
            key: (report, expires)
            for key, (report, expires) in self._published.items()
            if expires > now
        }

    def _choose_least_useful(self):
        for key, (report, _) in self._published.items():
            if report.depth == 1:
                return key
        return next(iter(self._published))

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
        for key, (report, expires) in self._published.items():
            if expires > now:
                self._pending.setdefault(key, report)
        self._published.clear()
