"""The entry instance: its components, listeners, tasks and graceful shutdown."""

import os
import random
import signal

import anyio

from ..clock import get_boot_time
from ..errors import SettingsInvalid
from ..events import EventLog, catalogue
from ..listener import Listener
from ..metrics import Metrics
from ..platform import MetadataStoreClient
from ..settings import read_gateway_settings
from ..steering import (
    Balancer,
    GatewayMember,
    LoadCollector,
    SmoothWeightedRoundRobin,
)
from ..supervision import run_supervised
from .auxiliary_applications import (
    DirectoryApplication,
    MetricsApplication,
    ReadinessApplication,
)
from .cached_state import CachedState
from .client_application import ClientApplication
from .crash_monitor import CrashMonitor
from .crash_publisher import CrashPublisher
from .forwarder import Forwarder
from .health_monitor import HealthMonitor
from .load_exchange import LoadExchange
from .members import Members
from .peer_sync import PeerApplication, PeerClient
from .registration import Registration
from .request_log import RequestLog
from .store_sync import StoreSync
from .upstream_connection_pool import UpstreamConnectionPool

__all__ = ["Gateway", "run_gateway"]

NONCE_BYTES = 8
HOUSEKEEPING_INTERVAL = 0.5  # seconds
HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGHUP)
# Fractions of the grace time, counted from a stop signal: new requests are rejected
# after the first, and after the second the instance stops even with requests in flight.
ADMISSION_FRACTION = 0.45
STOP_FRACTION = 0.85
# Seconds from a stop signal after which requests that may last until the stop are
# rejected. The platform expects that no request is cut that came after three seconds.
MAX_OPEN_ENDED_ADMISSION = 2.7
# Fraction of the grace time for which connections without a request are kept after the
# last was accepted, and its upper limit in seconds.
FIRST_REQUEST_FRACTION = 0.1
MAX_FIRST_REQUEST_TIMEOUT = 0.3
FINAL_WRITE_TIME = 0.02  # seconds for the responses to requests cut by the end
# Seconds without a request after which a stopping instance may stop early.
QUIET_PERIOD = 1.0


class Gateway:
    """One entry instance with its state and components."""

    def __init__(self, settings, settings_path, settings_stamp):
        """Create the components without opening a socket.

        :param settings_path: file to reload when it changes.
        :param settings_stamp: :func:`_get_stamp` of the file just before it was read.
        """
        self.settings = settings
        self._settings_path = settings_path
        self._settings_stamp = settings_stamp
        self.log = EventLog(instance=settings.name)
        self.metrics = Metrics()
        self.request_log = RequestLog(self.log)
        self.is_shutting_down = False
        self._shutdown_began = None
        self._last_request_at = 0.0
        self._backend_selectors = {}
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
            self._handle_own_entry_removed,
        )
        catalog = self.cached_state.catalog
        self.health_monitor = HealthMonitor(catalog, self.log)
        balancer = Balancer(
            settings, catalog, self.members, self._random, self.health_monitor.ask
        )
        load_collector = LoadCollector()
        self.store = MetadataStoreClient(settings.store)
        self.crash_monitor = CrashMonitor(
            self.cached_state,
            CrashPublisher(self.store, self.members, self.log),
            self.log,
        )
        self.forwarder = Forwarder(
            settings,
            catalog,
            balancer,
            self.connection_pool,
            self.members,
            load_collector,
            self.crash_monitor,
            self.health_monitor,
            self.log,
        )
        peer_client = PeerClient()
        self.load_exchange = LoadExchange(
            settings,
            self.own_member,
            self.members,
            catalog,
            load_collector,
            balancer.weights,
            peer_client,
            self.log,
        )
        self.store_sync = StoreSync(
            self.cached_state, self.store, peer_client, self.log
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
        """Return whether clients should connect to this instance."""
        return not self.is_shutting_down and self.cached_state.route_table is not None

    def is_rejecting_requests(self, expires):
        """Return whether a request that was not sent to a target yet is rejected.

        The time of the call counts as that of the last request.

        :param expires: monotonic time of the request's timeout.
        """
        now = anyio.current_time()
        self._last_request_at = now
        if self._shutdown_began is None:
            return False
        admission = ADMISSION_FRACTION * self.settings.bounds.grace
        if expires > self.forwarder.stops_at:
            admission = min(admission, MAX_OPEN_ENDED_ADMISSION)
        return now > self._shutdown_began + admission

    def choose_entry_instances(self, failure_domain, region):
        """Return the members that a client in a failure domain should connect to."""
        return self.members.choose_entry_instances(failure_domain, region, self._random)

    def get_backend_selector(self, route):
        """Return the state that distributes a route's requests over its backends."""
        key = (route.name, route.backends)
        selector = self._backend_selectors.get(key)
        if selector is None:
            selector = self._backend_selectors[key] = SmoothWeightedRoundRobin()
        return selector

    def get_gauges(self):
        """Return the metrics that are not counted, as {name: current value}."""
        return {
            "targets": len(self.cached_state.catalog),
            "members": len(self.members),
            "store_calls": self.store.call_count,
            "store_reader": int(self.members.is_reader()),
            "store_revision": self.store_sync.change_log.revision,
            "store_era": self.store_sync.era,
            "watch_seconds": self.store_sync.get_watch_duration(),
            "configuration_version": self.cached_state.version or 0,
            "limited_targets": self.cached_state.catalog.count_limited(),
            "leaving_targets": self.cached_state.catalog.count_leaving(),
            "paused_targets": self.cached_state.catalog.count_paused(
                anyio.current_time()
            ),
            "blocked_requests": len(self.cached_state.crash_ledger.get_blocked()),
            "crash_reports": len(self.cached_state.crash_ledger),
            "ended_targets": self.crash_monitor.ended_count,
            "health_checks": self.health_monitor.check_count,
            "cold_sender": int(self.members.senders.may_send(get_boot_time())),
            "connections_opened": self.connection_pool.opened_count,
            "load_exchanges": self.load_exchange.exchange_count,
            "lowered_weights": len(self.load_exchange.get_weights()),
        }

    async def run(self):
        """Serve until SIGTERM, then shut down gracefully.

        SIGHUP reloads the settings.
        """
        async with anyio.create_task_group() as tasks:
            with anyio.open_signal_receiver(*HANDLED_SIGNALS) as signals:
                for listener in self._listeners:
                    await listener.open()
                self.log.write(
                    catalogue.INSTANCE_STARTED,
                    address=str(self.settings.listen_clients),
                    nonce=self.own_member.nonce,
                )
                for task in (
                    self.store_sync.run,
                    self.load_exchange.run,
                    self.crash_monitor.run,
                    self.health_monitor.run,
                    self._register,
                    self._run_housekeeping,
                ):
                    tasks.start_soon(run_supervised, task, self.log)
                async for signal_number in signals:
                    if signal_number == signal.SIGTERM:
                        break
                    self._reload()
                await self._shut_down()
                # The receiver restores the default action, which would end the process
                # with another exit status.
                signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)
            for number in HANDLED_SIGNALS:
                signal.signal(number, signal.SIG_IGN)
            tasks.cancel_scope.cancel()

    def _handle_own_entry_removed(self):
        if not self.is_shutting_down:
            self.registration.schedule_reregistration()

    async def _register(self):
        await self.cached_state.wait_configured()
        await self.registration.run()

    async def _run_housekeeping(self):
        while True:
            await anyio.sleep(HOUSEKEEPING_INTERVAL)
            self.connection_pool.close_expired()
            self.store_sync.apply_withheld_deletions()
            self.members.senders.forget_former(get_boot_time())
            if _get_stamp(self._settings_path) != self._settings_stamp:
                self._reload()

    def _reload(self):
        """Reload the settings; an invalid file changes nothing."""
        self._settings_stamp = _get_stamp(self._settings_path)
        try:
            new_settings = read_gateway_settings(self._settings_path)
        except SettingsInvalid as exc:
            self.log.write(catalogue.SETTINGS_REFUSED, reason=str(exc))
            return
        changed, needs_restart = self.settings.apply_reloadable(new_settings)
        self.log.write(
            catalogue.SETTINGS_RELOADED, changed=changed, needs_restart=needs_restart
        )

    async def _shut_down(self):
        self.is_shutting_down = True
        self.members.remove_self()
        shutdown_began = self._shutdown_began = anyio.current_time()
        grace = self.settings.bounds.grace
        self.forwarder.stops_at = shutdown_began + STOP_FRACTION * grace
        self.log.write(
            catalogue.INSTANCE_LEAVING, open=self.client_listener.in_flight_requests
        )
        with anyio.move_on_after(1.0):
            await self.registration.deregister()
        # Clients connect here until their cached directory response expires.
        earliest_stop = shutdown_began + min(
            self.settings.bounds.lookup_ttl, ADMISSION_FRACTION * grace
        )
        while anyio.current_time() < self.forwarder.stops_at:
            now = anyio.current_time()
            is_idle = now - self._last_request_at > QUIET_PERIOD
            if (
                now > earliest_stop
                and not self.client_listener.in_flight_requests
                and is_idle
            ):
                break
            await anyio.sleep(0.05)
        for listener in self._listeners:
            await listener.stop_accepting()
        await self.client_listener.wait_for_first_requests(
            min(MAX_FIRST_REQUEST_TIMEOUT, FIRST_REQUEST_FRACTION * grace)
        )
        self.forwarder.scopes.cancel_all()
        for listener in self._listeners:
            listener.close()
        await anyio.sleep(FINAL_WRITE_TIME)
        self.log.write(
            catalogue.INSTANCE_STOPPED, open=self.client_listener.in_flight_requests
        )


async def run_gateway(path):
    """Run an entry instance with a settings file until it is stopped."""
    stamp = _get_stamp(path)
    await Gateway(read_gateway_settings(path), path, stamp).run()


def _get_stamp(path):
    """Return a value that changes when a file does, ``None`` without the file."""
    try:
        status = os.stat(path)
    except OSError:
        return None
    return status.st_mtime_ns, status.st_size, status.st_ino
