"""Wire an entry instance: beliefs, listeners, tasks, the stop."""

import os
import random
import signal

import anyio

from ..errors import SettingsInvalid
from ..events import EventLog, catalogue
from ..metrics import Metrics
from ..platform import MetadataStoreClient
from ..settings import read_gateway_settings
from ..steering import Balancer, GatewayMember, SmoothWeightedRoundRobin
from .auxiliary_applications import (
    DirectoryApplication,
    MetricsApplication,
    ReadinessApplication,
)
from .cached_state import CachedState
from .client_application import ClientApplication
from .forwarder import Forwarder
from .listener import Listener
from .members import Members
from .peer_sync import PeerApplication, PeerClient
from .registration import Registration
from .request_log import RequestLog
from .store_sync import StoreSync
from .upstream_connection_pool import UpstreamConnectionPool

__all__ = ["Gateway", "run_gateway"]

NONCE_BYTES = 8
TICK = 0.5  # seconds between rounds of housekeeping
# Parts of the grace time after a stop signal: how long new requests are still
# taken, and when the instance ends whatever is left.
TAKE_PART = 0.45
END_PART = 0.85
# Seconds without a request after which a stopping instance may end early.
QUIET = 1.0


class Gateway:
    """One instance: what it believes, and the parts that act on it."""

    def __init__(self, settings, settings_path, settings_stamp):
        """Prepare without opening a socket.

        :param settings_path: file to read again when it changes.
        :param settings_stamp: the file's state just before it was read.
        """
        self.settings = settings
        self._settings_path = settings_path
        self._settings_stamp = settings_stamp
        self.log = EventLog(instance=settings.name)
        self.metrics = Metrics()
        self.request_log = RequestLog(self.log)
        self.is_stopping = False
        self._stop_began = None
        self._last_request = 0.0
        self._splits = {}
        self._random = random.Random(settings.name)
        self.own_member = GatewayMember(
            settings.name,
            settings.listen_clients,
            settings.listen_peers,
            settings.failure_domain,
            settings.region,
            os.urandom(NONCE_BYTES).hex(),
            settings.machine.capacity,
        )
        self.members = Members(settings, self.own_member)
        self.connection_pool = UpstreamConnectionPool()
        self.cached_state = CachedState(
            settings.name,
            self.members,
            self.connection_pool,
            self.log,
            self._rewrite_entry,
        )
        known = self.cached_state.catalog
        balancer = Balancer(settings, known, self.members, self._random)
        self.forwarder = Forwarder(
            settings, known, balancer, self.connection_pool, self.members
        )
        self.store = MetadataStoreClient(settings.store)
        self.store_sync = StoreSync(
            self.cached_state, self.store, PeerClient(), self.log
        )
        self.registration = Registration(self, self.own_member, self.store)
        self.client_listener = Listener(
            ClientApplication(self), settings.listen_clients
        )
        self._listeners = [
            self.client_listener,
            Listener(ReadinessApplication(self), settings.listen_readiness),
            Listener(DirectoryApplication(self), settings.listen_directory),
            Listener(PeerApplication(self), settings.listen_peers),
            Listener(MetricsApplication(self), settings.listen_metrics),
        ]

    def is_ready(self):
        """Return whether clients should come here."""
        return not self.is_stopping and self.cached_state.route_table is not None

    def is_rejecting_requests(self):
        """Return whether a stopping instance takes no more requests."""
        now = anyio.current_time()
        self._last_request = now
        if self._stop_began is None:
            return False
        return now > self._stop_began + TAKE_PART * self.settings.bounds.grace

    def choose_entry_instances(self, failure_domain, region):
        """Return the members that a client of a place should connect to."""
        return self.members.choose_entry_instances(failure_domain, region, self._random)

    def get_split(self, route):
        """Return the counters that distribute a route's requests."""
        key = (route.name, route.backends)
        split = self._splits.get(key)
        if split is None:
            split = self._splits[key] = SmoothWeightedRoundRobin()
        return split

    def format_metrics(self):
        """Return all series as text."""
        gauges = {
            "targets": len(self.cached_state.catalog),
            "members": len(self.members),
            "store_calls": self.store.call_count,
            "connections_opened": self.connection_pool.opened_count,
        }
        return self.metrics.format(gauges)

    async def run(self):
        """Serve until a stop signal has been carried out."""
        async with anyio.create_task_group() as tasks:
            with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGHUP) as signals:
                for listener in self._listeners:
                    await listener.open()
                self.log.write(
                    catalogue.INSTANCE_STARTED,
                    address=str(self.settings.listen_clients),
                    nonce=self.own_member.nonce,
                )
                tasks.start_soon(self.store_sync.run)
                tasks.start_soon(self._register)
                tasks.start_soon(self._keep_house)
                async for number in signals:
                    if number == signal.SIGTERM:
                        break
                    self._reload()
                await self._stop()
            tasks.cancel_scope.cancel()

    def _rewrite_entry(self):
        if not self.is_stopping:
            self.registration.schedule_reregistration()

    async def _register(self):
        await self.cached_state.wait_configured()
        await self.registration.run()

    async def _keep_house(self):
        while True:
            await anyio.sleep(TICK)
            self.connection_pool.close_idle()
            self.store_sync.apply_withheld_deletions()
            if _get_stamp(self._settings_path) != self._settings_stamp:
                self._reload()

    def _reload(self):
        """Read the settings again; a file that is refused changes nothing."""
        self._settings_stamp = _get_stamp(self._settings_path)
        try:
            found = read_gateway_settings(self._settings_path)
        except SettingsInvalid as exc:
            self.log.write(catalogue.SETTINGS_REFUSED, reason=str(exc))
            return
        changed, waiting = self.settings.apply_reloadable(found)
        self.log.write(
            catalogue.SETTINGS_RELOADED, changed=changed, needs_restart=waiting
        )

    async def _stop(self):
        self.is_stopping = True
        self.members.remove_self()
        began = self._stop_began = anyio.current_time()
        self.log.write(
            catalogue.INSTANCE_LEAVING, open=self.client_listener.in_flight_requests
        )
        with anyio.move_on_after(1.0):
            await self.registration.deregister()
        grace = self.settings.bounds.grace
        # Clients that hold an answer of the directory come until it ends.
        earliest = began + min(self.settings.bounds.lookup_ttl, TAKE_PART * grace)
        while anyio.current_time() < began + END_PART * grace:
            now = anyio.current_time()
            is_quiet = now - self._last_request > QUIET
            if (
                now > earliest
                and not self.client_listener.in_flight_requests
                and is_quiet
            ):
                break
            await anyio.sleep(0.05)
        for listener in self._listeners:
            listener.close()
        await anyio.sleep(0.02)
        self.log.write(
            catalogue.INSTANCE_STOPPED, open=self.client_listener.in_flight_requests
        )


async def run_gateway(path):
    """Run an instance with the settings file at ``path`` until it is stopped."""
    stamp = _get_stamp(path)
    await Gateway(read_gateway_settings(path), path, stamp).run()


def _get_stamp(path):
    """Return what tells one state of a file from the next, or ``None``."""
    try:
        found = os.stat(path)
    except OSError:
        return None
    return found.st_mtime_ns, found.st_size, found.st_ino
