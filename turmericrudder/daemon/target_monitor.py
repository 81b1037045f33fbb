"""The task that asks owned targets for their load and reads the platform's list."""

import anyio
import httpcore
import msgspec

from ..control import TargetsLeaving
from ..discovery import InstanceRecord
from ..errors import StoreError
from ..forwarding.dispatcher import TargetLoadUpdate
from ..http_client import TRANSPORT_ERRORS, make_timeout_extensions
from ..platform import protocol

__all__ = ["Monitor"]

PROBE_TIMEOUT = 0.8  # seconds
LIST_READERS_PER_DOMAIN = 2


class LoadReport(msgspec.Struct, frozen=True):
    """What an upstream says of itself; it may lag or mislead."""

    in_flight: int = 0
    draining: bool = False


class Monitor:
    """Turns reports and the list into messages for the dispatcher."""

    __slots__ = (
        "_channel",
        "_dispatcher",
        "_leaving",
        "_listed",
        "_membership",
        "_pool",
        "_store",
        "_timing",
    )

    def __init__(self, settings, dispatcher, membership, channel, store):
        self._timing = settings.timing
        self._dispatcher = dispatcher
        self._membership = membership
        self._channel = channel
        self._store = store
        self._leaving = frozenset()
        self._listed = frozenset()
        self._pool = httpcore.AsyncConnectionPool(max_connections=64)

    def set_leaving_targets(self, leaving):
        """Take another instance's word for which upstreams are leaving.

        :param leaving: their names.
        """
        self._leaving = frozenset(leaving)
        self._apply_leaving()

    async def run(self):
        """Probe and read until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._run_list)
            while True:
                self._apply_leaving()
                async with anyio.create_task_group() as probes:
                    for state in self._dispatcher.allocator.get_states():
                        if state.service.load_path:
                            probes.start_soon(self._probe, state)
                    probes.start_soon(anyio.sleep, self._timing.report)

    async def _run_list(self):
        while True:
            if self._membership.is_elected("list reader", LIST_READERS_PER_DOMAIN):
                await self._read_list()
            await anyio.sleep(self._timing.report)

    async def _read_list(self):
        try:
            page = await self._store.get_all(protocol.INSTANCE_PREFIX)
            records = [
                msgspec.json.decode(item.value, type=InstanceRecord)
                for item in page.items
            ]
        except (StoreError, msgspec.DecodeError):
            # The list is only a hint; the store's reader logs that it is away.
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
        if leaving or self._listed:
            self._tell_leaving(leaving)
        self._listed = leaving

    def _tell_leaving(self, leaving):
        own_member = self._membership.own_member
        for member in self._membership.view.get_reachable():
            if member.name != own_member.name and member.region == own_member.region:
                self._channel.send(
                    member.control_address, TargetsLeaving(tuple(leaving))
                )

    def _apply_leaving(self):
        for state in self._dispatcher.allocator.get_states():
            state.is_listed_leaving = state.target.name in self._leaving

    async def _probe(self, state):
        target = state.target
        url = f"http://{target.address}{state.service.load_path}"
        try:
            response = await self._pool.request(
                "GET", url, extensions=make_timeout_extensions(PROBE_TIMEOUT)
            )
            report = msgspec.json.decode(response.content, type=LoadReport)
        except (*TRANSPORT_ERRORS, msgspec.DecodeError):
            return  # without a report, the owner's own counts decide
        self._dispatcher.send(
            TargetLoadUpdate(target.name, report.in_flight, report.draining)
        )
