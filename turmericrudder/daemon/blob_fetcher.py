"""Fetch manifests and chunks of the configuration from other instances."""

from ..errors import PeerUnreachable, UpstreamCut
from ..forwarding import Response
from ..forwarding.headers import PEER_KEY_HEADER

__all__ = ["BlobFetcher"]

FETCH_TIMEOUT = 3.0  # seconds until the response's head, and for each read or write


class BlobFetcher:
    """Fetches a manifest or chunk by its hash from the peer server of an instance."""

    __slots__ = ("_connection_pool", "_headers")

    def __init__(self, settings, connection_pool):
        self._headers = [(PEER_KEY_HEADER, settings.peer_key.encode())]
        self._connection_pool = connection_pool

    async def __call__(self, address, kind, name):
        """Return the bytes of a manifest or chunk.

        :param address: peer address of the instance.
        :param kind: ``manifest`` or ``chunk``.
        :param name: hash of the content; the caller has to check it.
        :raises PeerUnreachable: if the instance does not return the content.
        """
        path = f"/part/{kind}/{name}".encode()
        response, connection = await self._connection_pool.send_request(
            address, "GET", path, self._headers, None, (FETCH_TIMEOUT, FETCH_TIMEOUT)
        )
        if not isinstance(response, Response):
            raise PeerUnreachable(f"{address}: {response.reason}")
        try:
            data = b"".join([chunk async for chunk in response.iter_chunks()])
        except UpstreamCut as exc:
            raise PeerUnreachable(f"{address}: {exc}") from None
        finally:
            await response.aclose()
        await self._connection_pool.release(address, connection)
        if response.status != 200:
            raise PeerUnreachable(f"{address} did not return {kind} {name}")
        return data
