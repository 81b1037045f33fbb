"""Synchronization of the cached state with the metadata store or with peers."""

import math
import random

import anyio

from ..clock import get_boot_time
from ..errors import (
    HistoryCompacted,
    PeerUnreachable,
    StoreEntryInvalid,
    StoreError,
    StoreUnavailable,
)
from ..events import catalogue
from ..platform import Deletion, protocol
from .change_log import ChangeLog
from .known_entries import KnownEntries
from .store_changes import apply_deletion, apply_entry

__all__ = ["StoreSync"]

ALL_KEYS_PREFIX = ""  # one watch covers all keys
# Seconds. The store may lose a watch without closing its connection, which only the
# call's timeout shows; changes after an outage must not wait for it.
WATCH_TIMEOUT = 1.0
RETRY_DELAY = 0.5  # seconds from a failed call to the next
PEER_POLL_DELAY = 0.25  # seconds from a poll without a fresh update to the next
PEER_POLL_TIMEOUT = 0.7  # seconds that a peer waits for a change before it responds
# The reader of a region calls the store at least twice a second. If the store's last
# response to it is older than this, it may be unable to reach the store, and the
# instances that poll it watch the store themselves before a change is overdue. A watch
# whose response is late by more than this may be lost.
MAX_CONTACT_AGE = 0.9  # seconds
# Seconds for which a peer's update stands in for a watch of the store; covers the
# wait and the timeout margin of the next poll.
PEER_UPDATE_TTL = 1.3
# Seconds from a watch that returned changes to the next. Changes come in groups, and
# every watch call is billed.
BATCH_DELAY = 0.2
ROLE_CHECK_INTERVAL = 0.05  # seconds between checks whether to watch the store
# Seconds after an outage or a restore of the store. The platform guarantees that
# entries whose lease expired during an outage are rewritten within two seconds.
REREGISTRATION_GRACE = 2.0
MIN_OUTAGE = 0.3  # seconds; no lease is assumed to expire in a shorter outage


class StoreSync:
    """Applies the store's changes to the cached state of an instance.

    The latest entry of each key is kept, so that older changes are ignored. One
    instance of each region, the reader, watches the store; the others of the region
    poll the reader, and watch the store themselves if the reader may be unable to
    reach it. While the store is unreachable, any peers are polled.

    After an outage, deletions of targets and members are withheld for a grace
    period, since their owners may rewrite entries whose lease expired in the outage.
    The same holds for all that is missing after the store was restored from an older
    copy, which begins a new era of its revisions.
    """

    __slots__ = (
        "_cached_state",
        "_is_synced",
        "_known",
        "_last_contact_at",
        "_log",
        "_peer_client",
        "_peer_valid_until",
        "_recovered_at",
        "_store",
        "_store_revision",
        "_unreachable_since",
        "_watch_began_at",
        "_withheld",
        "change_log",
    )

    def __init__(self, cached_state, store, peer_client, log):
        """Start without any state.

        :param peer_client: a :class:`~turmericrudder.gateway.peer_sync.PeerClient`.
        """
        self._cached_state = cached_state
        self._log = log
        self._store = store
        self._peer_client = peer_client
        self._known = KnownEntries()
        self._withheld = {}
        self._is_synced = False
        # The latest revision that the store itself, not a peer, named in this era.
        self._store_revision = 0
        self._unreachable_since = None
        self._recovered_at = None
        self._last_contact_at = None
        self._peer_valid_until = 0.0
        self._watch_began_at = None
        self.change_log = ChangeLog()

    @property
    def era(self):
        """The latest era of the store that is known, 0 if it has named none."""
        return self._known.era

    async def run(self):
        """Follow the store and peers until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._follow_peers)
            await self._follow_store()

    def record_store_contact(self):
        """Record that the store has responded to this instance."""
        self._last_contact_at = anyio.current_time()

    def get_store_contact_age(self):
        """Return the seconds since the store last responded to this instance.

        :returns: ``None`` if it has not yet, if this instance follows a peer or has to
            read the store anew, or if its watch may be lost, whatever the store's
            responses to other calls.
        """
        if self._last_contact_at is None or not self._is_synced:
            return None
        if not self._must_watch_store():
            return None
        if _is_overdue(self.get_watch_duration()):
            return None
        return anyio.current_time() - self._last_contact_at

    def get_view_age(self, now):
        """Return the seconds since the store's content was as it is known here.

        :param now: a time of :func:`~turmericrudder.clock.get_boot_time`.
        :returns: ``None`` if it has not been read yet.
        """
        confirmed_at = self._cached_state.members.senders.view_confirmed_at
        return now - confirmed_at if confirmed_at > -math.inf else None

    def get_watch_duration(self):
        """Return the seconds for which the current watch has waited, 0 without one."""
        if self._watch_began_at is None:
            return 0.0
        return anyio.current_time() - self._watch_began_at

    def apply_withheld_deletions(self):
        """Apply the withheld deletions once the grace period is over."""
        if self._is_in_grace_period():
            return
        for deletion in list(self._withheld.values()):
            self._apply_deletion(deletion)

    async def _follow_store(self):
        while True:
            if not self._must_watch_store():
                await anyio.sleep(ROLE_CHECK_INTERVAL)
                continue
            began_at = anyio.current_time()
            try:
                if self._is_synced:
                    await self._watch_changes()
                else:
                    await self._read_all()
            except HistoryCompacted as exc:
                self._is_synced = False
                self._log.write(catalogue.HISTORY_LOST, reason=str(exc))
            except StoreError as exc:
                self._record_unreachable(exc, began_at)
                await anyio.sleep_until(began_at + RETRY_DELAY)

    def _must_watch_store(self):
        if not self._is_synced or self._cached_state.members.is_reader():
            return True
        return anyio.current_time() >= self._peer_valid_until

    async def _read_all(self):
        as_of = get_boot_time()
        page = await self._store.get_all(ALL_KEYS_PREFIX)
        self._check_era(page.era)
        is_same_era = page.era is not None and page.era == self.era
        if is_same_era and page.revision < self._store_revision:
            raise StoreUnavailable(
                f"store response has revision {page.revision}, older than"
                f" {self._store_revision}"
            )
        self._record_reachable()
        self._log.write(
            catalogue.STORE_READ,
            era=page.era,
            revision=page.revision,
            known_revision=self.change_log.revision,
            entries=len(page.entries),
        )
        self._apply_snapshot(
            {entry.key: entry for entry in page.entries}, page.revision, page.era
        )
        self._cached_state.members.senders.confirm_view(as_of)
        self._store_revision = page.revision

    async def _watch_changes(self):
        after = self.change_log.revision
        as_of = get_boot_time()
        self._watch_began_at = anyio.current_time()
        try:
            response = await self._store.watch(ALL_KEYS_PREFIX, after, WATCH_TIMEOUT)
            duration = self.get_watch_duration()
        finally:
            self._watch_began_at = None
        if _is_overdue(duration):
            self._recovered_at = anyio.current_time()
        self._check_era(response.era)
        self._record_reachable()
        if response.era is not None and response.era > self.era:
            # Revisions that were given out again precede these changes.
            raise HistoryCompacted(f"the store began era {response.era}")
        for event in response.events:
            self._apply_event(event)
        self.change_log.advance(response.revision)
        if not response.events and response.revision <= after:
            as_of += WATCH_TIMEOUT  # for so long the store saw no change
        self._cached_state.members.senders.confirm_view(as_of)
        self._store_revision = max(self._store_revision, response.revision)
        if response.events:
            await anyio.sleep(BATCH_DELAY)

    async def _follow_peers(self):
        """Poll the region's reader, or any peer while the store is unreachable."""
        while True:
            address = self._choose_peer()
            if address is None:
                await anyio.sleep(PEER_POLL_DELAY)
                continue
            after = self.change_log.revision
            as_of = get_boot_time()
            try:
                update = await self._peer_client.get_update(
                    address, after, PEER_POLL_TIMEOUT, self.era
                )
            except PeerUnreachable:
                # Another peer is polled after the delay, or the store is watched.
                await anyio.sleep(PEER_POLL_DELAY)
                continue
            is_current = self._apply_update(update)
            if is_current and self._is_synced and update.view_age is not None:
                self._cached_state.members.senders.confirm_view(
                    min(as_of - update.view_age, get_boot_time())
                )
            contact_age = update.contact_age
            if (
                is_current
                and contact_age is not None
                and contact_age <= MAX_CONTACT_AGE
            ):
                self._peer_valid_until = anyio.current_time() + PEER_UPDATE_TTL
            else:
                await anyio.sleep(PEER_POLL_DELAY)

    def _choose_peer(self):
        if self._unreachable_since is None and self._is_synced:
            return self._cached_state.members.get_reader_address()
        addresses = self._cached_state.members.get_peer_addresses()
        return random.choice(addresses) if addresses else None

    def _apply_update(self, update):
        """Apply a peer's update; return whether it is of the current era."""
        era = self.era if update.era is None else update.era
        if update.is_whole:
            if (era, update.revision) > (self.era, self.change_log.revision):
                entries = {entry.key: entry for entry in update.get_events()}
                self._apply_snapshot(entries, update.revision, era)
        elif self._is_synced and era == self.era:
            for event in update.get_events():
                self._apply_event(event)
            self.change_log.advance(update.revision)
        return era == self.era

    def _check_era(self, era):
        """Raise :exc:`StoreUnavailable` for a response from before a restore."""
        if era is not None and era < self.era:
            raise StoreUnavailable(
                f"store response has era {era}, older than {self.era}"
            )

    def _apply_snapshot(self, entries, revision, era):
        """Replace the state by the store's complete content as of a revision.

        :param era: the era of the revision, ``None`` for the current one.
        """
        begins_era = era is not None and era > self.era
        if begins_era:
            self._begin_era(era)
        # By key, so that the configuration comes before the targets: it has the
        # duration of the cold start for each service.
        for entry in sorted(entries.values(), key=lambda entry: entry.key):
            self._apply_event(entry)
        for key in self._known.get_missing(entries, revision):
            deletion = Deletion(key, revision)
            if begins_era:
                self._withheld[key] = deletion
            else:
                self._apply_event(deletion)
        self.change_log.reset(entries, revision, self.era)
        if not begins_era:
            # Peers that learn of the era withhold what they miss themselves.
            for deletion in self._withheld.values():
                self.change_log.withhold(deletion)
        self._is_synced = True
        self._cached_state.mark_synced()

    def _begin_era(self, era):
        """Prepare for the entries of a restored store.

        What the store has lost is written again shortly; until then, it stays in use.
        """
        if self._known:
            self._log.write(
                catalogue.STORE_RESTORED,
                era=era,
                known_era=self.era,
                known_revision=self.change_log.revision,
            )
            self._recovered_at = anyio.current_time()
        self._known.begin_era(era)
        self._cached_state.catalog.begin_era()
        self._withheld.clear()
        self._store_revision = 0

    def _apply_event(self, event):
        known_revision = self._known.get_revision(event.key)
        if event.revision < known_revision:
            return
        if isinstance(event, Deletion):
            self.change_log.append(event)
            if self._is_in_grace_period() and self._may_be_rewritten(event.key):
                self._withheld[event.key] = event
                self.change_log.withhold(event)
            else:
                self._apply_deletion(event)
            return
        withheld = self._withheld.pop(event.key, None)
        if withheld is not None:
            self.change_log.release(withheld)
        if event.revision == known_revision:
            return
        if not event.key.startswith(protocol.EVACUATION_PREFIX) and (
            self._known.is_removed(event)
        ):
            return
        self.change_log.append(event)
        is_unchanged = self._known.is_unchanged(event)
        self._known.put(event)
        if is_unchanged:
            return
        try:
            apply_entry(self._cached_state, event)
        except StoreEntryInvalid as exc:
            self._log.write(catalogue.ENTRY_REFUSED, reason=str(exc))

    def _apply_deletion(self, deletion):
        if self._withheld.pop(deletion.key, None) is not None:
            self.change_log.release(deletion)
        self._known.remove(deletion.key)
        apply_deletion(self._cached_state, deletion)

    def _may_be_rewritten(self, key):
        is_leased = key.startswith((protocol.TARGET_PREFIX, protocol.MEMBER_PREFIX))
        return is_leased or self._known.is_lost(key)

    def _is_in_grace_period(self):
        recovered_at = self._recovered_at
        return (
            recovered_at is not None
            and anyio.current_time() < recovered_at + REREGISTRATION_GRACE
        )

    def _record_unreachable(self, exc, began_at):
        """Record a failed call, which shows when the outage began if it is overdue."""
        if self._unreachable_since is None:
            now = anyio.current_time()
            is_overdue = _is_overdue(now - began_at)
            self._unreachable_since = began_at if is_overdue else now
            self._log.write(catalogue.STORE_UNREACHABLE, error=str(exc))

    def _record_reachable(self):
        self.record_store_contact()
        if self._unreachable_since is None:
            return
        now = anyio.current_time()
        if now - self._unreachable_since >= MIN_OUTAGE:
            self._recovered_at = now
        self._log.write(
            catalogue.STORE_REACHABLE, away_s=round(now - self._unreachable_since, 3)
        )
        self._unreachable_since = None


def _is_overdue(duration):
    """Return whether a call of this duration, even a watch, is late."""
    return duration > WATCH_TIMEOUT + MAX_CONTACT_AGE
