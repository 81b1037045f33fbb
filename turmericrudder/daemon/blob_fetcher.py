"""Fetch manifests and chunks of the configuration from other instances."""

from ..errors import PeerUnreachable, UpstreamCut
from ..forwarding import Response
from ..forwarding.headers import PEER_KEY

__all__ = ["BlobFetcher"]

TIMEOUT = 3.0  # seconds


class BlobFetcher:
    """Asks the peers' address of an instance for a part by its hash."""

    __slots__ = ("_headers", "_links")

    def __init__(self, settings, connection_pool):
        self._headers = [(PEER_KEY, settings.peer_key.encode())]
        self._links = connection_pool

    async def __call__(self, address, kind, name):
        """Return the bytes of a ``manifest`` or ``chunk``.

        :raises PeerUnreachable: if the peer does not give it.
        """
        path = f"/part/{kind}/{name}".encode()
        response, link = await self._links.send_request(
            address, "GET", path, self._headers, None, (TIMEOUT, TIMEOUT)
        )
        if not isinstance(response, Response):
            raise PeerUnreachable(f"{address}: {response.reason}")
        try:
            data = b"".join([chunk async for chunk in response.iter_chunks()])
        except UpstreamCut as exc:
            raise PeerUnreachable(f"{address}: {exc}") from None
        finally:
            await response.aclose()
        await self._links.release(address, link)
        if response.status != 200:
            raise PeerUnreachable(f"{address} has no {kind} {name}")
        return data
