"""What the operators' commands share: settings, store and instances."""

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
    """An operator's access to the store and the entry instances."""

    __slots__ = ("_store", "repository", "settings")

    def __init__(self, settings):
        self.settings = settings
        self._store = MetadataStoreClient(settings.store)
        self.repository = ConfigurationRepository(self._store, settings.workspace)

    async def aclose(self):
        """Close all connections."""
        await self._store.aclose()

    async def get_statuses(self):
        """Return the status of every instance that one reachable one knows.

        :returns: ({name: status}, {names that do not answer}).
        :raises PeerUnreachable: if no configured entry instance answers.
        """
        first = await self._get_first()
        found, silent = {first.name: first}, set()
        async with anyio.create_task_group() as tasks:
            for member in first.members:
                if member.name != first.name and member.status in ("live", "leaving"):
                    tasks.start_soon(self._add_status, member, found, silent)
        return found, silent

    async def get_status(self, address):
        """Return the status of the instance at a peer address.

        :raises PeerUnreachable: if it does not answer.
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
            raise PeerUnreachable(f"{address}: {exc!r}") from None
        if response.status != 200:
            raise PeerUnreachable(f"{address}: status {response.status}")
        return msgspec.json.decode(response.content, type=InstanceStatus)

    async def _get_first(self):
        for address in self.settings.entries:
            with contextlib.suppress(PeerUnreachable):
                return await self.get_status(address)
        raise PeerUnreachable("none of the operator's entry instances answers")

    async def _add_status(self, member, found, silent):
        try:
            found[member.name] = await self.get_status(member.peers)
        except PeerUnreachable:
            silent.add(member.name)


def run_with_session(operator, function, *args):
    """Run an async function with a :class:`Session` and return its result."""

    async def call():
        session = Session(read_operator_settings(operator))
        try:
            return await function(session, *args)
        finally:
            await session.aclose()

    return anyio.run(call)
