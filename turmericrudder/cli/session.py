"""Access of the operators' commands to the store and the entry instances."""

import contextlib

import anyio
import httpcore
import msgspec
import typer

from ..configuration import ConfigurationRepository
from ..daemon.status import InstanceStatus
from ..errors import PeerUnreachable
from ..http_client import make_timeout_extensions
from ..platform import MetadataStoreClient
from ..settings import read_operator_settings

__all__ = ["OPERATOR_OPTION", "Session", "run_with_session"]

OPERATOR_OPTION = typer.Option(
    "operator.ini", envvar="TURMERICRUDDER_OPERATOR", help="INI file of the operator"
)
STATUS_TIMEOUT = 2.0  # seconds


class Session:
    """An operator's access to the store and the entry instances.

    :ivar repository: accepted configurations of the operator's workspace.
    """

    __slots__ = ("_store", "repository", "settings")

    def __init__(self, settings):
        self.settings = settings
        self._store = MetadataStoreClient(settings.store)
        self.repository = ConfigurationRepository(self._store, settings.workspace)

    async def aclose(self):
        """Close the connections to the store."""
        await self._store.aclose()

    async def get_statuses(self):
        """Return the status of one reachable instance and of those that it lists.

        Only instances that it lists as live or leaving are asked.

        :returns: ({name: status}, {names of unreachable instances}).
        :raises PeerUnreachable: if no entry instance of the settings responds.
        """
        first = await self._get_first_status()
        statuses, unreachable = {first.name: first}, set()
        async with anyio.create_task_group() as tasks:
            for member in first.members:
                if member.name != first.name and member.status in ("live", "leaving"):
                    tasks.start_soon(self._add_status, member, statuses, unreachable)
        return statuses, unreachable

    async def get_status(self, address):
        """Return the status of the instance at a peer address.

        :raises PeerUnreachable: if no response with HTTP status 200 arrives in time.
        """
        headers = {"Turmericrudder-Peer-Key": self.settings.peer_key}
        try:
            async with httpcore.AsyncConnectionPool() as pool:
                response = await pool.request(
                    "GET",
                    f"http://{address}/status",
                    headers=headers,
                    extensions=make_timeout_extensions(STATUS_TIMEOUT),
                )
        except (httpcore.NetworkError, httpcore.TimeoutException) as exc:
            raise PeerUnreachable(
                f"status request to {address} failed: {exc!r}"
            ) from None
        if response.status != 200:
            raise PeerUnreachable(
                f"{address} gave HTTP status {response.status} for the status request"
            )
        return msgspec.json.decode(response.content, type=InstanceStatus)

    async def _get_first_status(self):
        for address in self.settings.entries:
            with contextlib.suppress(PeerUnreachable):
                return await self.get_status(address)
        raise PeerUnreachable("no entry instance in the operator's settings responded")

    async def _add_status(self, member, statuses, unreachable):
        try:
            statuses[member.name] = await self.get_status(member.peers)
        except PeerUnreachable:
            unreachable.add(member.name)


def run_with_session(operator, function, *args):
    """Run ``function(session, *args)`` in an event loop and return its result.

    :param operator: path of the operator's settings file.
    :param function: coroutine function whose first argument is a
        :class:`Session`, which is closed afterwards.
    """

    async def call():
        session = Session(read_operator_settings(operator))
        try:
            return await function(session, *args)
        finally:
            await session.aclose()

    return anyio.run(call)
