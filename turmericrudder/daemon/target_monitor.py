"""Monitor owned targets by load reports and by the platform's instance list."""

import anyio
import httpcore
import msgspec

from ..control import TargetsLeaving
from ..discovery import InstanceRecord
from ..errors import StoreError
from ..forwarding.dispatcher import TargetLoadUpdate
from ..http_client import TRANSPORT_ERRORS, make_timeout_extensions, send_bounded
from ..platform import protocol
from ..ranges import NonNegativeCount

__all__ = ["Monitor"]

PROBE_TIMEOUT = 0.8  # seconds
MAX_REPORT_BYTES = 64 * 1024  # of a load report
LIST_READERS_PER_DOMAIN = 2


class LoadReport(msgspec.Struct, frozen=True):
    """The response of a target to a probe; it may be out of date or wrong.

    :param in_flight: requests the target is processing.
    :param draining: whether the target reports that it takes no new requests.
    """

    in_flight: NonNegativeCount = 0
    draining: bool = False


class Monitor:
    """Probes owned targets for their load and reads the platform's instance list.

    Load reports are sent to the dispatcher, which manages the slots of owned
    targets. Targets that the platform lists as leaving are marked as such, here
    and at the other instances of the region. Listed entry instances become seeds
    of the membership.
    """

    __slots__ = (
        "_channel",
        "_connection_pool",
        "_dispatcher",
        "_last_listed",
        "_leaving_targets",
        "_membership",
        "_store",
        "_timing",
    )

    def __init__(self, settings, dispatcher, membership, channel, store):
        self._timing = settings.timing
        self._dispatcher = dispatcher
        self._membership = membership
        self._channel = channel
        self._store = store
        self._leaving_targets = frozenset()
        self._last_listed = frozenset()
        self._connection_pool = httpcore.AsyncConnectionPool(max_connections=64)

    def set_leaving_targets(self, leaving):
        """Replace the set of targets that the platform lists as leaving.

        :param leaving: names of the targets, as read from the list by this instance
            or received from another one.
        """
        self._leaving_targets = frozenset(leaving)
        self._mark_leaving()

    async def run(self):
        """Probe the targets and read the list periodically until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._run_list_reader)
            while True:
                self._mark_leaving()
                async with anyio.create_task_group() as probes:
                    for state in self._dispatcher.allocator.get_states():
                        if state.service.load_path:
                            probes.start_soon(self._probe, state)
                    probes.start_soon(anyio.sleep, self._timing.report)

    async def _run_list_reader(self):
        while True:
            if self._membership.is_elected("list reader", LIST_READERS_PER_DOMAIN):
                await self._read_list()
            await anyio.sleep(self._timing.report)

    async def _read_list(self):
        try:
            page = await self._store.get_all(protocol.INSTANCE_PREFIX)
            records = [
                msgspec.json.decode(item.value, type=InstanceRecord)
                for item in page.entries
            ]
        except (StoreError, msgspec.DecodeError, RecursionError):
            # The list is optional; StoreReader logs an unreachable store.
            return
        for record in records:
            if record.role == "entry" and record.state == "live":
                self._membership.add_seed(record.address)
        leaving = frozenset(
            record.name
            for record in records
            if record.role == "upstream" and record.state == "leaving"
        )
        self.set_leaving_targets(leaving)
        if leaving or self._last_listed:
            self._send_leaving(leaving)
        self._last_listed = leaving

    def _send_leaving(self, leaving):
        """Send the names of leaving targets to the other instances of the region."""
        own_member = self._membership.own_member
        for member in self._membership.view.get_reachable():
            if member.name != own_member.name and member.region == own_member.region:
                self._channel.send(
                    member.control_address, TargetsLeaving(tuple(leaving))
                )

    def _mark_leaving(self):
        for state in self._dispatcher.allocator.get_states():
            state.is_listed_leaving = state.target.name in self._leaving_targets

    async def _probe(self, state):
        target = state.target
        url = f"http://{target.address}{state.service.load_path}"
        try:
            response = await send_bounded(
                self._connection_pool,
                "GET",
                url,
                max_bytes=MAX_REPORT_BYTES,
                timeout=PROBE_TIMEOUT,
                extensions=make_timeout_extensions(PROBE_TIMEOUT),
            )
            report = msgspec.json.decode(response.content, type=LoadReport)
        except (*TRANSPORT_ERRORS, msgspec.DecodeError, RecursionError):
            return  # without a report, the slot counts of this instance decide
        self._dispatcher.send(
            TargetLoadUpdate(target.name, report.in_flight, report.draining)
        )
