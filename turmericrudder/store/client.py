"""Client of the platform's key-value service over HTTP."""

import httpcore
import msgspec

from ..errors import StoreUnavailable, ValueTooLarge, VersionConflict
from .listing import InstanceRecord

__all__ = ["StoreClient"]

TIMEOUT = 3.0  # seconds
MAX_CONNECTIONS = 4

_FAILURES = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
)


class StoreClient:
    """Reads and compare-and-swaps of single keys, watches as long polls."""

    __slots__ = ("_pool", "_url", "call_count")

    def __init__(self, address):
        self._url = f"http://{address}"
        self._pool = httpcore.AsyncConnectionPool(max_connections=MAX_CONNECTIONS)
        self.call_count = 0

    async def aclose(self):
        """Close all connections."""
        await self._pool.aclose()

    async def get(self, key):
        """Return (value or ``None``, version) of a key; version 0 is absence.

        :raises StoreUnavailable: if no answer came.
        """
        return await self._get(f"/v1/keys/{key}", TIMEOUT)

    async def watch(self, key, version, wait):
        """Return like :meth:`get` once the version differs, or after ``wait``.

        :param wait: seconds.
        """
        path = f"/v1/keys/{key}?version={version}&wait={wait}"
        return await self._get(path, wait + TIMEOUT)

    async def put(self, key, value, version):
        """Write a key whose version is ``version`` now; return the new one.

        :raises VersionConflict: if the key has another version.
        :raises ValueTooLarge: if the service refuses the size.
        :raises StoreUnavailable: if it is unknown whether it took effect.
        """
        headers = {"If-Version": str(version)}
        response = await self._call("PUT", f"/v1/keys/{key}", TIMEOUT, headers, value)
        match response.status:
            case 200:
                return _get_version(response)
            case 409:
                raise VersionConflict(f"{key} is not at version {version}")
            case 413:
                raise ValueTooLarge(f"{key}: {len(value)} bytes refused")
            case status:
                raise StoreUnavailable(f"PUT {key}: status {status}")

    async def get_instances(self):
        """Return the platform's lagging list of instances."""
        response = await self._call("GET", "/v1/instances", TIMEOUT)
        if response.status != 200:
            raise StoreUnavailable(f"instances: status {response.status}")
        return msgspec.json.decode(response.content, type=list[InstanceRecord])

    async def _get(self, path, timeout):
        response = await self._call("GET", path, timeout)
        match response.status:
            case 200:
                return response.content, _get_version(response)
            case 404:
                return None, 0
            case status:
                raise StoreUnavailable(f"GET {path}: status {status}")

    async def _call(self, method, path, timeout, headers=None, content=None):
        self.call_count += 1
        limits = dict.fromkeys(("connect", "read", "write", "pool"), timeout)
        try:
            return await self._pool.request(
                method,
                self._url + path,
                headers=headers,
                content=content,
                extensions={"timeout": limits},
            )
        except _FAILURES as exc:
            raise StoreUnavailable(f"{method} {path}: {exc!r}") from exc


def _get_version(response):
    for name, value in response.headers:
        if name.lower() == b"version":
            return int(value)
    raise StoreUnavailable("an answer without version")
