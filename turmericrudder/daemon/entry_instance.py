"""The entry instance: builds the parts, wires them, runs and stops them."""

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

GATHER = 0.05  # seconds in which changes are gathered
RESTART_PAUSE = 1.0  # seconds
EXTRA_SHARE = 0.05  # retries and hedges for each request
EXTRA_BURST = 6
EXTRA_RESERVE = 4
PART_TIMEOUT = 3.0  # seconds


class EntryInstance:
    """One entry instance and its state."""

    def __init__(self, settings):
        self.settings = settings
        self.log = EventLog(instance=settings.name)
        self.metrics = Metrics()
        self.bandwidth_limiter = BandwidthLimiter(settings.region)
        own_member = make_own_member(settings)
        self._channel = Channel(
            settings.listen_control, settings.peer_key, self._handle, self.log
        )
        self.membership = Membership(
            own_member, settings, self._channel, self.log, self._describe
        )
        self.resolver = LookupResolver(own_member, settings.timing.lookup_ttl, self.log)
        self._peer_links = ConnectionPool()
        self._store = MetadataStoreClient(settings.store)
        repository = ConfigurationRepository(self._store, settings.workspace)
        self.configurator = Configurator(
            settings, repository, BlobFetcher(settings, self._peer_links), self.log
        )
        self._reader = StoreReader(
            settings, repository, self.configurator, self.membership, self.log
        )
        self.dispatcher = Dispatcher(
            SlotAllocator(random.Random(own_member.nonce)), self.log
        )
        self._upstreams = TargetConnectionPool()
        self.router = self._make_router(own_member)
        self._monitor = Monitor(
            settings,
            self.dispatcher,
            self.membership,
            self._channel,
            self._store,
        )
        self.operations = None
        self._ownership = OwnershipTracker(settings.name)
        self._handover = HandoverSender(
            settings, self.dispatcher, self._ownership, self.membership, self._channel
        )
        self._callers = Server(CallerApplication(self), settings.listen_callers)
        self._peers = Server(PeerApplication(self), settings.listen_peers)
        self._stop = GracefulShutdown(
            settings,
            self.membership,
            lambda: self.operations.has_pending_outcomes(),
            (self._callers, self._peers),
            self.log,
        )
        self._changed = anyio.Event()
        self.membership.on_change = self._note_change
        self.membership.on_revision = self._offer_revision
        self.configurator.on_change = self._take_configuration
        self.dispatcher.on_release = self._handover.notify_owner

    def is_serving(self):
        """Return whether callers may be sent here."""
        own_member = self.membership.own_member
        return own_member.status is Status.LIVE

    def is_shutting_down(self):
        """Return whether a planned stop has begun."""
        return self.membership.own_member.status is Status.LEAVING

    def is_rejecting_requests(self):
        """Return whether new requests are refused."""
        return self._stop.is_rejecting_requests

    def track_in_flight(self):
        """Count a request that a planned stop has to wait for."""
        return self._stop.track_in_flight()

    async def run_until_disconnect(self, request, work):
        """Run an awaitable, cancelled if the caller goes away.

        :raises CallerDisconnected: if it did.
        """
        try:
            await run_cancellable(request.body.wait_disconnected, work)
        except RequestCancelled:
            raise CallerDisconnected("the caller closed its connection") from None

    def get_status(self):
        """Return the document that ``turmericrudder status`` shows."""
        return build_status(self)

    def get_gauges(self):
        """Return {series: value} of what is known besides the counters."""
        home, witness = self.operations.get_entry_counts()
        return {
            "revision": self.configurator.revision,
            "members": len(self.membership.view.get_live()),
            "in_flight": self.dispatcher.allocator.get_in_flight(),
            "home_keys": home,
            "witness_keys": witness,
            "control_sent_bytes": self._channel.sent_bytes,
            "control_received_bytes": self._channel.received_bytes,
            "control_sent_messages": self._channel.sent_count,
            "store_calls": self._store.call_count,
        }

    async def run(self):
        """Serve until a stop signal, then leave without cutting anything.

        :returns: exit code, 1 if a second signal stopped it at once.
        """
        async with anyio.create_task_group() as tasks:
            self.operations = OperationCoordinator(
                self.membership.own_member,
                self.settings,
                self.membership.view,
                self._channel,
                self.router,
                tasks,
                self.log,
            )
            await tasks.start(self._channel.run)
            await tasks.start(self._peers.run)
            await tasks.start(self._callers.run)
            for task in (
                self.configurator.run,
                self.dispatcher.run,
                self.membership.run,
                self._monitor.run,
                self._reader.run,
                self._run_epochs,
                self._run_changes,
                self._handover.run,
            ):
                tasks.start_soon(self._supervise, task)
            self.log.write(
                catalogue.INSTANCE_STARTED,
                callers=self.settings.listen_callers,
                peers=self.settings.listen_peers,
                control=self.settings.listen_control,
            )
            await self._stop.wait(tasks)
            tasks.cancel_scope.cancel()
        if self._stop.is_aborted:
            return 1
        await self._upstreams.aclose()
        await self._peer_links.aclose()
        await self._store.aclose()
        self.log.write(catalogue.INSTANCE_STOPPED)
        return 0

    def _make_router(self, own_member):
        budget = RetryBudget(EXTRA_SHARE, EXTRA_BURST, EXTRA_RESERVE)
        settings, log = self.settings, self.log
        return Router(
            own_member,
            self.dispatcher.allocator,
            TargetForwarder(settings, self.dispatcher, self._upstreams, budget, log),
            PeerForwarder(
                own_member, settings, self._peer_links, self.bandwidth_limiter, log
            ),
            self.bandwidth_limiter,
            budget,
            log,
            random.Random(own_member.nonce),
        )

    async def _supervise(self, task):
        """Run a task for ever; an error is logged and the task starts anew."""
        while True:
            try:
                await task()
            except Exception as exc:
                self.log.write(
                    catalogue.TASK_FAILED, task=task.__qualname__, error=repr(exc)
                )
                await anyio.sleep(RESTART_PAUSE)

    def _handle(self, envelope):
        match envelope.message:
            case Handover(in_flight):
                self.dispatcher.send(PredecessorInFlight(in_flight))
            case TargetsLeaving(names):
                self._monitor.set_leaving_targets(names)
            case message:
                answer = self.operations.handle_witness_message(message)
                if answer is not None:
                    self._channel.reply(envelope, answer)
                else:
                    self.membership.handle(envelope)

    def _describe(self):
        own_member = self.membership.own_member
        prefix = self.operations.prefix if self.operations else ""
        return Heartbeat(
            own_member.name,
            own_member.incarnation,
            own_member.sequence,
            self.configurator.revision,
            self.configurator.manifest,
            prefix,
            self.dispatcher.allocator.get_free_slots(anyio.current_time()),
        )

    def _offer_revision(self, member, revision, manifest):
        self.configurator.submit_revision(revision, manifest, member.peer_address)

    def _take_configuration(self):
        self.bandwidth_limiter.update(self.configurator.configuration)
        if self.membership.own_member.status is Status.STARTING:
            self.membership.set_status(Status.LIVE)
        self.membership.announce_revision()
        self._note_change()

    def _note_change(self):
        self._changed.set()

    async def _run_changes(self):
        """Derive look-ups, routes and ownership from what changed."""
        while True:
            await self._changed.wait()
            self._changed = anyio.Event()
            await anyio.sleep(GATHER)
            if self.configurator.configuration is not None:
                self._derive()

    def _derive(self):
        configuration = self.configurator.configuration
        view = self.membership.view
        heartbeats = self.membership.get_heartbeats()
        prefixes = get_key_prefixes(view.get_live(), heartbeats)
        prefixes[self.settings.name] = self.operations.prefix
        self.resolver.update(configuration, view.get_live(), prefixes)
        changed = self._ownership.update(configuration, view)
        members = {member.name: member for member in view.get_reachable()}
        self.router.update(self._ownership.current, members, heartbeats)
        self.dispatcher.send(
            OwnedTargetsUpdate(configuration, changed.owned, changed.predecessors)
        )

    async def _run_epochs(self):
        await self.operations.run_epochs(self._note_change)


async def run_entry(settings):
    """Run an entry instance until it is told to stop; return the exit code."""
    set_up_logging(settings)
    return await EntryInstance(settings).run()
