"""The entry instance: creates, connects, runs and stops its components."""

import random

import anyio

from ..cancellation import RequestCancelled, run_cancellable
from ..configuration import ConfigurationRepository
from ..control import Channel, Handover, Heartbeat, TargetsLeaving
from ..events import EventLog, catalogue, set_up_logging
from ..forwarding import (
    BandwidthLimiter,
    CallerDisconnected,
    ConnectionPool,
    Dispatcher,
    OperationCoordinator,
    PeerForwarder,
    Router,
    TargetConnectionPool,
    TargetForwarder,
)
from ..forwarding.dispatcher import OwnedTargetsUpdate, PredecessorInFlight
from ..lookup import LookupResolver, get_key_prefixes
from ..membership import Status
from ..metrics import Metrics
from ..platform import MetadataStoreClient
from ..routing import RetryBudget, SlotAllocator
from ..supervision import run_supervised
from .blob_fetcher import BlobFetcher
from .caller_application import CallerApplication
from .configurator import Configurator
from .graceful_shutdown import GracefulShutdown
from .handover_sender import HandoverSender
from .membership import Membership
from .own_member import make_own_member
from .ownership_tracker import OwnershipTracker
from .peer_application import PeerApplication
from .server import Server
from .status import build_status
from .store_reader import StoreReader
from .target_monitor import Monitor

__all__ = ["EntryInstance", "run_entry"]

UPDATE_DELAY = 0.05  # seconds; changes within it are applied together
RETRY_BUDGET_RATIO = 0.05  # retries and hedges earned per request
RETRY_BUDGET_BURST = 6  # retries and hedges saved at most
RETRY_BUDGET_RESERVE = 4  # saved ones that only retries may use
PART_TIMEOUT = 3.0  # seconds


class EntryInstance:
    """One entry instance: its components and the state they share.

    An entry instance responds to look-ups of callers, the programs that use it to
    reach services, and forwards their requests to targets. It owns some of the
    targets, that is, it grants their slots; requests to other targets go through
    the instances that own them.
    """

    def __init__(self, settings):
        self.settings = settings
        self.log = EventLog(instance=settings.name)
        self.metrics = Metrics()
        self.bandwidth_limiter = BandwidthLimiter(settings.region)
        own_member = make_own_member(settings)
        self._channel = Channel(
            settings.listen_control, settings.peer_key, self._handle_message, self.log
        )
        self.membership = Membership(
            own_member, settings, self._channel, self.log, self._make_heartbeat
        )
        self.resolver = LookupResolver(own_member, settings.timing.lookup_ttl, self.log)
        self._peer_connection_pool = ConnectionPool()
        self._store = MetadataStoreClient(settings.store)
        repository = ConfigurationRepository(self._store, settings.workspace)
        self.configurator = Configurator(
            settings,
            repository,
            BlobFetcher(settings, self._peer_connection_pool),
            self.log,
        )
        self._store_reader = StoreReader(
            settings, repository, self.configurator, self.membership, self.log
        )
        self.dispatcher = Dispatcher(
            SlotAllocator(random.Random(own_member.nonce)), self.log
        )
        self._target_connection_pool = TargetConnectionPool()
        self.router = self._make_router(own_member)
        self._monitor = Monitor(
            settings,
            self.dispatcher,
            self.membership,
            self._channel,
            self._store,
        )
        self.operation_coordinator = None
        self._ownership_tracker = OwnershipTracker(settings.name)
        self._handover_sender = HandoverSender(
            settings,
            self.dispatcher,
            self._ownership_tracker,
            self.membership,
            self._channel,
        )
        self._caller_server = Server(CallerApplication(self), settings.listen_callers)
        self._peer_server = Server(PeerApplication(self), settings.listen_peers)
        self._shutdown = GracefulShutdown(
            settings,
            self.membership,
            lambda: self.operation_coordinator.has_pending_outcomes(),
            (self._caller_server, self._peer_server),
            self.log,
        )
        self._changed = anyio.Event()
        self.membership.on_change = self._mark_changed
        self.membership.on_revision = self._submit_revision
        self.configurator.on_change = self._apply_configuration
        self.dispatcher.on_release = self._handover_sender.notify_owner

    def is_ready(self):
        """Return whether this instance is live and look-up responses may name it."""
        own_member = self.membership.own_member
        return own_member.status is Status.LIVE

    def is_shutting_down(self):
        """Return whether a graceful shutdown is in progress."""
        return self.membership.own_member.status is Status.LEAVING

    def is_rejecting_requests(self):
        """Return whether new requests are rejected because of the shutdown."""
        return self._shutdown.is_rejecting_requests

    def track_in_flight(self):
        """Return a context manager that counts a request as in flight."""
        return self._shutdown.track_in_flight()

    async def run_until_disconnect(self, request, awaitable):
        """Run an awaitable; cancel it if the caller disconnects.

        :raises CallerDisconnected: if the caller disconnected.
        """
        try:
            await run_cancellable(request.body.wait_disconnected, awaitable)
        except RequestCancelled:
            raise CallerDisconnected("the caller closed its connection") from None

    def get_status(self):
        """Return the status that ``turmericrudder status`` shows."""
        return build_status(self)

    def get_gauges(self):
        """Return {metric name: value} of the metrics not kept in ``metrics``.

        ``home_keys`` and ``witness_keys`` count operation keys. A request with such
        a key runs at most once: one instance, the home of the key, runs it, and
        another, its witness, records the outcome.
        """
        home_count, witness_count = self.operation_coordinator.get_key_counts()
        return {
            "revision": self.configurator.revision,
            "members": len(self.membership.view.get_live()),
            "in_flight": self.dispatcher.allocator.get_in_flight(),
            "home_keys": home_count,
            "witness_keys": witness_count,
            "control_sent_bytes": self._channel.sent_bytes,
            "control_received_bytes": self._channel.received_bytes,
            "control_sent_messages": self._channel.sent_count,
            "store_calls": self._store.call_count,
        }

    async def run(self):
        """Serve until a stop signal, then shut down gracefully.

        :returns: exit code, 1 if a second signal stopped the instance at once.
        """
        async with anyio.create_task_group() as tasks:
            self.operation_coordinator = OperationCoordinator(
                self.membership.own_member,
                self.settings,
                self.membership.view,
                self._channel,
                self.router,
                tasks,
                self.log,
            )
            await tasks.start(self._channel.run)
            await tasks.start(self._peer_server.run)
            await tasks.start(self._caller_server.run)
            for task in (
                self.configurator.run,
                self.dispatcher.run,
                self.membership.run,
                self._monitor.run,
                self._store_reader.run,
                self._run_epochs,
                self._run_changes,
                self._handover_sender.run,
            ):
                tasks.start_soon(run_supervised, task, self.log)
            self.log.write(
                catalogue.INSTANCE_STARTED,
                callers=self.settings.listen_callers,
                peers=self.settings.listen_peers,
                control=self.settings.listen_control,
            )
            await self._shutdown.wait(tasks)
            tasks.cancel_scope.cancel()
        if self._shutdown.is_aborted:
            return 1
        await self._target_connection_pool.aclose()
        await self._peer_connection_pool.aclose()
        await self._store.aclose()
        self.log.write(catalogue.INSTANCE_STOPPED)
        return 0

    def _make_router(self, own_member):
        budget = RetryBudget(
            RETRY_BUDGET_RATIO, RETRY_BUDGET_BURST, RETRY_BUDGET_RESERVE
        )
        settings, log = self.settings, self.log
        return Router(
            own_member,
            self.dispatcher.allocator,
            TargetForwarder(
                settings, self.dispatcher, self._target_connection_pool, budget, log
            ),
            PeerForwarder(
                own_member,
                settings,
                self._peer_connection_pool,
                self.bandwidth_limiter,
                log,
            ),
            self.bandwidth_limiter,
            budget,
            log,
            random.Random(own_member.nonce),
        )

    def _handle_message(self, envelope):
        match envelope.message:
            case Handover(in_flight):
                self.dispatcher.send(PredecessorInFlight(in_flight))
            case TargetsLeaving(names):
                self._monitor.set_leaving_targets(names)
            case message:
                reply = self.operation_coordinator.handle_witness_message(message)
                if reply is not None:
                    self._channel.reply(envelope, reply)
                else:
                    self.membership.handle(envelope)

    def _make_heartbeat(self):
        own_member = self.membership.own_member
        prefix = self.operation_coordinator.prefix if self.operation_coordinator else ""
        return Heartbeat(
            own_member.name,
            own_member.incarnation,
            own_member.sequence,
            self.configurator.revision,
            self.configurator.manifest,
            prefix,
            self.dispatcher.allocator.get_free_slots(anyio.current_time()),
            self.configurator.era,
        )

    def _submit_revision(self, member, revision, manifest, era):
        self.configurator.submit_revision(revision, manifest, member.peer_address, era)

    def _apply_configuration(self):
        """Apply the configuration in force; if it is the first, become live."""
        self.bandwidth_limiter.update(self.configurator.configuration)
        if self.membership.own_member.status is Status.STARTING:
            self.membership.set_status(Status.LIVE)
        self.membership.announce_revision()
        self._mark_changed()

    def _mark_changed(self):
        self._changed.set()

    async def _run_changes(self):
        """Update look-ups, ownership and routing after changes, until cancelled."""
        while True:
            await self._changed.wait()
            self._changed = anyio.Event()
            await anyio.sleep(UPDATE_DELAY)
            if self.configurator.configuration is not None:
                self._apply_changes()

    def _apply_changes(self):
        configuration = self.configurator.configuration
        view = self.membership.view
        heartbeats = self.membership.get_heartbeats()
        prefixes = get_key_prefixes(view.get_live(), heartbeats)
        prefixes[self.settings.name] = self.operation_coordinator.prefix
        self.resolver.update(configuration, view.get_live(), prefixes)
        ownership_update = self._ownership_tracker.update(configuration, view)
        members = {member.name: member for member in view.get_reachable()}
        self.router.update(self._ownership_tracker.current, members, heartbeats)
        self.dispatcher.send(
            OwnedTargetsUpdate(
                configuration, ownership_update.owned, ownership_update.predecessors
            )
        )

    async def _run_epochs(self):
        """Open epochs, the sets of operation keys with one prefix, until cancelled."""
        await self.operation_coordinator.run_epochs(self._mark_changed)


async def run_entry(settings):
    """Run an entry instance until a stop signal; return the exit code."""
    set_up_logging(settings)
    return await EntryInstance(settings).run()
