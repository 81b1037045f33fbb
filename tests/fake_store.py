"""An in-memory replacement of the store client, with faults on demand."""

import anyio

from turmericrudder.errors import CompareFailed, StoreUnavailable, ValueTooLarge
from turmericrudder.platform import StoreEntry

MAX_VALUE_BYTES = 1_048_576


class FakeStore:
    """Stores keys with revisions.

    ``has_outage`` makes all calls fail. The next ``lost_responses`` writes of a
    head, the key of the accepted revision, take effect but raise an error.
    ``before_write`` is awaited with the key before each write.
    """

    def __init__(self):
        self.keys = {}
        self.has_outage = False
        self.lost_responses = 0
        self.before_write = None
        self._revision = 0

    async def get(self, key):
        await anyio.lowlevel.checkpoint()
        if self.has_outage:
            raise StoreUnavailable("outage")
        value, revision = self.keys.get(key, (None, 0))
        return None if value is None else StoreEntry(key, value, revision)

    async def write(self, key, value, expected_revision=None, lease=0):
        await anyio.lowlevel.checkpoint()
        if self.has_outage:
            raise StoreUnavailable("outage")
        if self.before_write is not None:
            await self.before_write(key)
        if len(value) > MAX_VALUE_BYTES:
            raise ValueTooLarge(key)
        if (
            expected_revision is not None
            and self.keys.get(key, (None, 0))[1] != expected_revision
        ):
            raise CompareFailed(key)
        self._revision += 1
        self.keys[key] = (value, self._revision)
        if self.lost_responses and key.endswith("/head"):
            self.lost_responses -= 1
            raise StoreUnavailable("response lost")
        return self._revision
