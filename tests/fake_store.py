"""An in-memory replacement of the store client, with faults on demand."""

import anyio

from turmericrudder.errors import CompareFailed, StoreUnavailable, ValueTooLarge
from turmericrudder.platform import StoreEntry

MAX_VALUE_BYTES = 1_048_576


class FakeStore:
    """Stores keys with revisions.

    :ivar has_outage: whether all calls fail.
    :ivar lost_responses: number of next writes of a head, the key that names the
        accepted revision, that take effect but raise an error.
    :ivar before_write: coroutine function called with the key before each write, or
        ``None``.
    """

    def __init__(self):
        self.keys = {}
        self.has_outage = False
        self.lost_responses = 0
        self.before_write = None
        self.era = 0
        self._revision = 0

    async def get(self, key):
        await anyio.lowlevel.checkpoint()
        if self.has_outage:
            raise StoreUnavailable("outage")
        value, revision = self.keys.get(key, (None, 0))
        return None if value is None else StoreEntry(key, value, revision)

    async def write(
        self, key, value, expected_revision=None, lease=0, other_revisions=None
    ):
        await anyio.lowlevel.checkpoint()
        if self.has_outage:
            raise StoreUnavailable("outage")
        if self.before_write is not None:
            await self.before_write(key)
        if len(value) > MAX_VALUE_BYTES:
            raise ValueTooLarge(key)
        expected_revisions = dict(other_revisions or {})
        if expected_revision is not None:
            expected_revisions[key] = expected_revision
        for name, revision in expected_revisions.items():
            if self.keys.get(name, (None, 0))[1] != revision:
                raise CompareFailed(name)
        self._revision += 1
        self.keys[key] = (value, self._revision)
        if self.lost_responses and key.endswith("/head"):
            self.lost_responses -= 1
            raise StoreUnavailable("response lost")
        return self._revision
